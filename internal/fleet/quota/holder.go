package quota

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// Holder is the borrowing side: a dispatcher that borrows from its region's lender, or a region that borrows from the root.
// Only the response to its newest lease request counts. It may use what that response granted until UsableLease after the
// lease request was sent.
type Holder struct {
	cfg               LeaseConfig
	name              string
	epoch             uint64
	recovering        bool
	seq               uint64
	lenderIncarnation uint64 // in the last response
	baseSeq           uint64 // the newest lease request that lenderIncarnation answered
	sendFull          bool   // the next lease request must report all accounts
	accounts          map[string]*heldAccount
	dirty             map[string]bool // accounts whose current state the lender may not know

	inherited []Allocation // units that earlier incarnations may have in use, from the response that said so

	sentRecovered bool          // the newest lease request did not have Recovering set
	inFlight      bool          // the newest lease request has no response yet
	requestDue    bool          // a lease request must be sent as soon as none is in flight
	polled        bool          // since the newest lease request
	sentAt        Time          // of the newest lease request
	retryDelay    time.Duration // from sentAt until the next lease request if no response arrives
	leaseEnd      Time          // as LeaseEnd returns it
}

// heldAccount is the state of one account of a holder.
type heldAccount struct {
	units, used, demand int
	reported            AccountReport // in the newest lease request that included the account
}

// NewHolder starts an incarnation of a holder. The epoch must be higher than that of each earlier incarnation; its start in
// Unix nanoseconds is suitable. recovering states that an earlier incarnation may have lent units that have not been
// reported to this one yet, which is so for a region's lender and never for a dispatcher.
func NewHolder(cfg LeaseConfig, name string, epoch uint64, recovering bool) (*Holder, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if name == "" || len(name) > MaxName || epoch == 0 {
		return nil, errors.New("quota: a holder's name is empty or too long, or its epoch is 0")
	}
	return &Holder{cfg: cfg, name: name, epoch: epoch, recovering: recovering, sendFull: true, requestDue: true,
		accounts: map[string]*heldAccount{}, dirty: map[string]bool{}, leaseEnd: distantPast}, nil
}

// SetUsage sets the units of an account in use and the demand, which includes them. If the demand is higher than both the
// held units and the demand that the lender knows, a lease request is due at once.
func (h *Holder) SetUsage(account string, used, demand int) {
	k := h.accounts[account]
	if k == nil {
		if used <= 0 && demand <= 0 || len(h.accounts) >= MaxAccounts {
			return
		}
		k = &heldAccount{reported: AccountReport{Account: account}}
		h.accounts[account] = k
	}
	if k.used == used && k.demand == demand {
		return
	}
	k.used, k.demand = used, demand
	h.dirty[account] = true
	// Either the lender does not know of the demand yet, or units in use beyond those held have become free, and
	// another holder may be waiting for them.
	if demand > k.units && demand > k.reported.Demand || k.reported.Used > k.reported.Held && used < k.reported.Used {
		h.requestDue = true
	}
}

// Units returns how many units of an account may be in use when a request starts now; it is 0 after the lease has ended. A
// holder that uses as many or more may start no request.
func (h *Holder) Units(now Time, account string) int {
	if k := h.accounts[account]; k != nil && now < h.leaseEnd {
		return k.units
	}
	return 0
}

// LeaseEnd returns the time until which the held units may be used to start requests, by the holder's own clock.
func (h *Holder) LeaseEnd() Time { return h.leaseEnd }

// Recovering reports whether an earlier incarnation may have lent units that have not been reported to this one yet.
func (h *Holder) Recovering() bool { return h.recovering }

// FinishRecovery states that all units that earlier incarnations lent have been reported or are no longer in use.
func (h *Holder) FinishRecovery() {
	if h.recovering {
		h.recovering, h.requestDue = false, true
	}
}

// HandlePoll handles a poll: the holder sends a lease request now and returns the units for which it has no demand.
func (h *Holder) HandlePoll() { h.polled, h.requestDue = true, true }

// Close ends this incarnation in an orderly way, while nothing is in flight. The lease request that is due then returns all
// units.
func (h *Holder) Close() {
	for account := range h.accounts {
		h.SetUsage(account, 0, 0)
	}
	h.HandlePoll()
}

// Each calls f with the units of each account, also after the lease has ended.
func (h *Holder) Each(f func(account string, units int)) {
	for _, account := range slices.Sorted(maps.Keys(h.accounts)) { // sorted, so that simulated runs can be repeated
		f(account, h.accounts[account].units)
	}
}

// NextRequestTime returns when NextRequest returns a lease request if nothing else happens before.
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

// NextRequest returns the lease request that is to be sent at now, if one is due. Until its response arrives the holder uses
// only what it reports as held, whatever responses to older lease requests arrive.
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
	return LeaseRequest{Child: h.name, Epoch: h.epoch, Seq: h.seq, LenderIncarnation: h.lenderIncarnation,
		Full: h.sendFull, BaseSeq: h.baseSeq, Recovering: h.recovering, Reports: h.reports()}, true
}

// backoff returns the wait for the response to the lease request that is due.
func (h *Holder) backoff() time.Duration {
	if !h.inFlight {
		return h.cfg.RetryDelay()
	}
	return min(2*h.retryDelay, max(maxRetryDelay, h.cfg.RetryDelay()), h.cfg.RenewInterval())
}

// reports returns the reports of the lease request that is due, sorted by account.
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
			continue // a full lease request reports such an account by omitting it
		}
		out = append(out, k.reported)
	}
	return out
}

// HandleResponse handles a response that arrived at now. It ignores any but the one to the newest lease request. The first
// response of another incarnation of the lender grants nothing.
func (h *Holder) HandleResponse(now Time, r LeaseResponse) {
	if r.Child != h.name || r.Epoch != h.epoch || r.Seq != h.seq || !h.inFlight {
		return
	}
	h.inFlight = false
	if r.ResendFull || r.LenderIncarnation != h.lenderIncarnation {
		h.lenderIncarnation, h.sendFull, h.requestDue = r.LenderIncarnation, true, true
		return
	}
	if !h.sentRecovered && !r.NoRecord { // not a grant, even if the recovery has ended since the lease request was sent
		h.recovering, h.sendFull, h.requestDue, h.inherited = false, true, true, r.Allocations
		return
	}
	cfg := h.cfg
	cfg.Lease = max(min(cfg.Lease, r.Lease), 0)
	h.leaseEnd = h.sentAt.Add(cfg.UsableLease())
	h.sendFull, h.baseSeq = h.recovering, r.Seq
	for account := range h.dirty {
		if k := h.accounts[account]; k.reported == (AccountReport{account, k.units, k.used, k.demand}) {
			delete(h.dirty, account)
		}
	}
	for _, allocation := range r.Allocations {
		h.applyAllocation(allocation)
	}
	for account, k := range h.accounts {
		if k.units == 0 && k.used == 0 && k.demand == 0 && !h.dirty[account] {
			delete(h.accounts, account)
		}
	}
}

// applyAllocation applies a response to one account. If the holder got fewer units than it reported as held, it confirms
// that at once, because only then may another holder get them.
func (h *Holder) applyAllocation(a Allocation) {
	k := h.accounts[a.Account]
	if k == nil {
		if a.Units <= 0 || len(h.accounts) >= MaxAccounts {
			return
		}
		k = &heldAccount{reported: AccountReport{Account: a.Account}}
		h.accounts[a.Account] = k
	}
	if a.Units = min(max(a.Units, 0), MaxUnits); a.Units == k.units {
		return
	}
	if a.Units < k.units {
		h.requestDue = true
	}
	k.units = a.Units
	h.dirty[a.Account] = true
}
