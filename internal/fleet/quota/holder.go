package quota

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// Holder is the side that is lent to: a dispatcher toward its region's lender, a region toward the root. It asks, one
// ask at a time, and may begin by what the answer to its newest ask gave it until Usable after that ask was sent.
type Holder struct {
	cfg               LeaseConfig
	name              string
	epoch             uint64
	recovering        bool
	seq               uint64
	lenderIncarnation uint64 // the life heard last
	baseSeq           uint64 // the newest ask that was answered by it
	sendFull          bool   // the next ask carries all lines
	accounts          map[string]*heldAccount
	dirty             map[string]bool // accounts whose line the lender may not know

	inherited []Allocation // what earlier lives may have running, by the answer that said so

	sentRecovered bool // the newest ask was not fresh
	inFlight      bool // the newest ask has no answer yet
	requestDue    bool // something is to be said
	polled        bool
	sentAt        Time // the newest ask
	retryDelay    time.Duration
	leaseEnd      Time
}

// heldAccount is one account as the holder knows it.
type heldAccount struct {
	units, used, demand int
	reported            AccountReport // in the newest ask that had it
}

// NewHolder starts a life of a holder. epoch is higher than that of each earlier life: the start in Unix nanoseconds will
// do. fresh: an earlier life may have lent what this one has yet to hear of (a region's lender; a dispatcher never).
func NewHolder(p LeaseConfig, name string, epoch uint64, fresh bool) (*Holder, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if name == "" || len(name) > MaxName || epoch == 0 {
		return nil, errors.New("quota: a holder's name is empty or too long, or its epoch is 0")
	}
	return &Holder{cfg: p, name: name, epoch: epoch, recovering: fresh, sendFull: true, requestDue: true,
		accounts: map[string]*heldAccount{}, dirty: map[string]bool{}, leaseEnd: distantPast}, nil
}

// SetUsage tells what is used of an account now, and what could be used in all. Where that is more than is held and than the
// lender was told, an ask is due at once.
func (h *Holder) SetUsage(account string, used, want int) {
	k := h.accounts[account]
	if k == nil {
		if used <= 0 && want <= 0 || len(h.accounts) >= MaxAccounts {
			return
		}
		k = &heldAccount{reported: AccountReport{Account: account}}
		h.accounts[account] = k
	}
	if k.used == used && k.demand == want {
		return
	}
	k.used, k.demand = used, want
	h.dirty[account] = true
	// Short of what the lender knows of; or fewer run of more than is held, and somebody may wait for that.
	if want > k.units && want > k.reported.Demand || k.reported.Used > k.reported.Held && used < k.reported.Used {
		h.requestDue = true
	}
}

// Units is how many units of an account may be in use by what begins now: none once the lease is over. A holder that uses
// as many or more begins nothing.
func (h *Holder) Units(now Time, account string) int {
	if k := h.accounts[account]; k != nil && now < h.leaseEnd {
		return k.units
	}
	return 0
}

// LeaseEnd is the end of the right to begin, by the holder's own clock.
func (h *Holder) LeaseEnd() Time { return h.leaseEnd }

// Recovering says whether an earlier life may have lent what this one has yet to hear of.
func (h *Holder) Recovering() bool { return h.recovering }

// FinishRecovery tells that nothing that an earlier life lent can be unheard of any more.
func (h *Holder) FinishRecovery() {
	if h.recovering {
		h.recovering, h.requestDue = false, true
	}
}

// HandlePoll takes a nudge: the holder asks now, and gives back what it does not want.
func (h *Holder) HandlePoll() { h.polled, h.requestDue = true, true }

// Close tells that this life ends in order and nothing is in flight: the ask that is due then gives all back.
func (h *Holder) Close() {
	for account := range h.accounts {
		h.SetUsage(account, 0, 0)
	}
	h.HandlePoll()
}

// Each tells the units of each account, whether the lease is over or not.
func (h *Holder) Each(tell func(account string, units int)) {
	for _, account := range slices.Sorted(maps.Keys(h.accounts)) { // in one order, so that a run stays the same
		tell(account, h.accounts[account].units)
	}
}

// NextRequestTime is when Due says yes if nothing else happens before.
func (h *Holder) NextRequestTime() Time {
	switch {
	case h.seq == 0 || h.requestDue && !h.inFlight:
		return distantPast
	case h.inFlight:
		return h.sentAt.Add(h.retryDelay)
	case len(h.dirty) > 0:
		return h.sentAt.Add(h.cfg.ReportDelay())
	}
	return h.sentAt.Add(h.cfg.RenewInterval())
}

// NextRequest says whether an ask is to be sent at now, and makes it. What it says is held is all that may be begun by until its
// answer comes, whatever older answers come.
func (h *Holder) NextRequest(now Time) (LeaseRequest, bool) {
	if now < h.NextRequestTime() {
		return LeaseRequest{}, false
	}
	h.retryDelay = h.backoff()
	if now >= h.leaseEnd || h.polled {
		for account, k := range h.accounts {
			keep := max(k.used, k.demand)
			if now >= h.leaseEnd {
				keep = 0
			}
			if k.units > keep {
				k.units = keep
				h.dirty[account] = true
			}
		}
	}
	h.seq++
	h.sentAt, h.inFlight, h.requestDue, h.polled, h.sentRecovered = now, true, false, false, !h.recovering
	if h.sendFull {
		h.baseSeq = 0
	}
	return LeaseRequest{Child: h.name, Epoch: h.epoch, Seq: h.seq, LenderIncarnation: h.lenderIncarnation, Full: h.sendFull, BaseSeq: h.baseSeq, Recovering: h.recovering, Reports: h.reports()}, true
}

func (h *Holder) backoff() time.Duration {
	if !h.inFlight {
		return h.cfg.RetryDelay()
	}
	return min(2*h.retryDelay, max(maxRetryDelay, h.cfg.RetryDelay()), h.cfg.RenewInterval())
}

// reports are those to be sent, by account.
func (h *Holder) reports() (out []AccountReport) {
	names := h.dirty
	if h.sendFull {
		names = make(map[string]bool, len(h.accounts))
		for account := range h.accounts {
			names[account] = true
		}
	}
	for _, account := range slices.Sorted(maps.Keys(names)) {
		k := h.accounts[account]
		k.reported = AccountReport{Account: account, Held: k.units, Used: k.used, Demand: k.demand}
		if h.dirty[account] = true; h.sendFull && k.units == 0 && k.used == 0 && k.demand == 0 {
			continue // said by leaving it out
		}
		out = append(out, k.reported)
	}
	return out
}

// HandleResponse takes an answer at now. Only one to the newest ask is believed; of a life of the lender that was not heard
// before it grants nothing.
func (h *Holder) HandleResponse(now Time, a LeaseResponse) {
	if a.Child != h.name || a.Epoch != h.epoch || a.Seq != h.seq || !h.inFlight {
		return
	}
	h.inFlight = false
	if a.ResendFull || a.LenderIncarnation != h.lenderIncarnation {
		h.lenderIncarnation, h.sendFull, h.requestDue = a.LenderIncarnation, true, true
		return
	}
	if !h.sentRecovered && !a.NoRecord { // no grant, also where all has become known since the ask was sent
		h.recovering, h.sendFull, h.requestDue, h.inherited = false, true, true, a.Allocations
		return
	}
	counted := h.cfg
	counted.Lease = max(min(counted.Lease, a.Lease), 0)
	h.leaseEnd = h.sentAt.Add(counted.UsableLease())
	h.sendFull, h.baseSeq = h.recovering, a.Seq
	for account := range h.dirty {
		if k := h.accounts[account]; k.reported == (AccountReport{account, k.units, k.used, k.demand}) {
			delete(h.dirty, account)
		}
	}
	for _, s := range a.Allocations {
		h.applyAllocation(s)
	}
	for account, k := range h.accounts {
		if k.units == 0 && k.used == 0 && k.demand == 0 && !h.dirty[account] {
			delete(h.accounts, account)
		}
	}
}

// applyAllocation takes what an answer says of one account. Less than was told is said back at once: only then may another have it.
func (h *Holder) applyAllocation(s Allocation) {
	k := h.accounts[s.Account]
	if k == nil {
		if s.Units <= 0 || len(h.accounts) >= MaxAccounts {
			return
		}
		k = &heldAccount{reported: AccountReport{Account: s.Account}}
		h.accounts[s.Account] = k
	}
	if s.Units = min(max(s.Units, 0), MaxUnits); s.Units == k.units {
		return
	}
	if s.Units < k.units {
		h.requestDue = true
	}
	k.units = s.Units
	h.dirty[s.Account] = true
}
