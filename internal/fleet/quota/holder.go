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
	plan   LeaseConfig
	name   string
	epoch  uint64
	fresh  bool
	seq    uint64
	lender uint64 // the life heard last
	base   uint64 // the newest ask that was answered by it
	all    bool   // the next ask carries all lines
	at     map[string]*held
	stale  map[string]bool // accounts whose line the lender may not know

	inherited []Allocation // what earlier lives may have running, by the answer that said so

	vouched bool // the newest ask was not fresh
	flying  bool // the newest ask has no answer yet
	asap    bool // something is to be said
	nudged  bool
	sent    Time // the newest ask
	wait    time.Duration
	until   Time
}

// held is one account as the holder knows it.
type held struct {
	units, used, want int
	told              AccountReport // in the newest ask that had it
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
	return &Holder{plan: p, name: name, epoch: epoch, fresh: fresh, all: true, asap: true,
		at: map[string]*held{}, stale: map[string]bool{}, until: always}, nil
}

// SetUsage tells what is used of an account now, and what could be used in all. Where that is more than is held and than the
// lender was told, an ask is due at once.
func (h *Holder) SetUsage(account string, used, want int) {
	k := h.at[account]
	if k == nil {
		if used <= 0 && want <= 0 || len(h.at) >= MaxAccounts {
			return
		}
		k = &held{told: AccountReport{Account: account}}
		h.at[account] = k
	}
	if k.used == used && k.want == want {
		return
	}
	k.used, k.want = used, want
	h.stale[account] = true
	// Short of what the lender knows of; or fewer run of more than is held, and somebody may wait for that.
	if want > k.units && want > k.told.Demand || k.told.Used > k.told.Held && used < k.told.Used {
		h.asap = true
	}
}

// Units is how many units of an account may be in use by what begins now: none once the lease is over. A holder that uses
// as many or more begins nothing.
func (h *Holder) Units(now Time, account string) int {
	if k := h.at[account]; k != nil && now < h.until {
		return k.units
	}
	return 0
}

// LeaseEnd is the end of the right to begin, by the holder's own clock.
func (h *Holder) LeaseEnd() Time { return h.until }

// Recovering says whether an earlier life may have lent what this one has yet to hear of.
func (h *Holder) Recovering() bool { return h.fresh }

// FinishRecovery tells that nothing that an earlier life lent can be unheard of any more.
func (h *Holder) FinishRecovery() {
	if h.fresh {
		h.fresh, h.asap = false, true
	}
}

// HandlePoll takes a nudge: the holder asks now, and gives back what it does not want.
func (h *Holder) HandlePoll() { h.nudged, h.asap = true, true }

// Close tells that this life ends in order and nothing is in flight: the ask that is due then gives all back.
func (h *Holder) Close() {
	for account := range h.at {
		h.SetUsage(account, 0, 0)
	}
	h.HandlePoll()
}

// Each tells the units of each account, whether the lease is over or not.
func (h *Holder) Each(tell func(account string, units int)) {
	for _, account := range slices.Sorted(maps.Keys(h.at)) { // in one order, so that a run stays the same
		tell(account, h.at[account].units)
	}
}

// NextRequestTime is when Due says yes if nothing else happens before.
func (h *Holder) NextRequestTime() Time {
	switch {
	case h.seq == 0 || h.asap && !h.flying:
		return always
	case h.flying:
		return h.sent.Add(h.wait)
	case len(h.stale) > 0:
		return h.sent.Add(h.plan.ReportDelay())
	}
	return h.sent.Add(h.plan.RenewInterval())
}

// NextRequest says whether an ask is to be sent at now, and makes it. What it says is held is all that may be begun by until its
// answer comes, whatever older answers come.
func (h *Holder) NextRequest(now Time) (LeaseRequest, bool) {
	if now < h.NextRequestTime() {
		return LeaseRequest{}, false
	}
	h.wait = h.backoff()
	if now >= h.until || h.nudged {
		for account, k := range h.at {
			keep := max(k.used, k.want)
			if now >= h.until {
				keep = 0
			}
			if k.units > keep {
				k.units = keep
				h.stale[account] = true
			}
		}
	}
	h.seq++
	h.sent, h.flying, h.asap, h.nudged, h.vouched = now, true, false, false, !h.fresh
	if h.all {
		h.base = 0
	}
	return LeaseRequest{Child: h.name, Epoch: h.epoch, Seq: h.seq, LenderIncarnation: h.lender, Full: h.all, BaseSeq: h.base, Recovering: h.fresh, Reports: h.lines()}, true
}

func (h *Holder) backoff() time.Duration {
	if !h.flying {
		return h.plan.RetryDelay()
	}
	return min(2*h.wait, max(mostRetry, h.plan.RetryDelay()), h.plan.RenewInterval())
}

// lines are those to be sent, by account.
func (h *Holder) lines() (out []AccountReport) {
	names := h.stale
	if h.all {
		names = make(map[string]bool, len(h.at))
		for account := range h.at {
			names[account] = true
		}
	}
	for _, account := range slices.Sorted(maps.Keys(names)) {
		k := h.at[account]
		k.told = AccountReport{Account: account, Held: k.units, Used: k.used, Demand: k.want}
		if h.stale[account] = true; h.all && k.units == 0 && k.used == 0 && k.want == 0 {
			continue // said by leaving it out
		}
		out = append(out, k.told)
	}
	return out
}

// HandleResponse takes an answer at now. Only one to the newest ask is believed; of a life of the lender that was not heard
// before it grants nothing.
func (h *Holder) HandleResponse(now Time, a LeaseResponse) {
	if a.Child != h.name || a.Epoch != h.epoch || a.Seq != h.seq || !h.flying {
		return
	}
	h.flying = false
	if a.ResendFull || a.LenderIncarnation != h.lender {
		h.lender, h.all, h.asap = a.LenderIncarnation, true, true
		return
	}
	if !h.vouched && !a.NoRecord { // no grant, also where all has become known since the ask was sent
		h.fresh, h.all, h.asap, h.inherited = false, true, true, a.Allocations
		return
	}
	counted := h.plan
	counted.Lease = max(min(counted.Lease, a.Lease), 0)
	h.until = h.sent.Add(counted.UsableLease())
	h.all, h.base = h.fresh, a.Seq
	for account := range h.stale {
		if k := h.at[account]; k.told == (AccountReport{account, k.units, k.used, k.want}) {
			delete(h.stale, account)
		}
	}
	for _, s := range a.Allocations {
		h.lent(s)
	}
	for account, k := range h.at {
		if k.units == 0 && k.used == 0 && k.want == 0 && !h.stale[account] {
			delete(h.at, account)
		}
	}
}

// lent takes what an answer says of one account. Less than was told is said back at once: only then may another have it.
func (h *Holder) lent(s Allocation) {
	k := h.at[s.Account]
	if k == nil {
		if s.Units <= 0 || len(h.at) >= MaxAccounts {
			return
		}
		k = &held{told: AccountReport{Account: s.Account}}
		h.at[s.Account] = k
	}
	if s.Units = min(max(s.Units, 0), MaxUnits); s.Units == k.units {
		return
	}
	if s.Units < k.units {
		h.asap = true
	}
	k.units = s.Units
	h.stale[s.Account] = true
}
