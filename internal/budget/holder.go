package budget

// sentRequest is a lease request that may still be answered.
type sentRequest struct {
	seq    uint64
	sentAt Time // by the holder's clock
}

// requestHistory is how many lease requests a holder remembers. Grants for older ones are ignored.
const requestHistory = 4

// Holder holds one dispatcher's share of a budget: its reserve, and the units that the keeper lent it. It uses a
// grant for Plan.UsableLease from the time at which it sent the request, by its own clock. That ends in real time
// before the keeper's lease does, as long as the clocks are within the plan's drift. So if renewals fail, the holder
// falls back to its reserve before the keeper lends the units to another dispatcher. Not safe for concurrent use.
type Holder struct {
	plan          Plan
	history       planHistory
	name          string // of the dispatcher
	epoch         uint64
	seq           uint64 // of the last request
	sent          [requestHistory]sentRequest
	appliedSeq    uint64 // seq of the grant in force; grants for earlier requests are ignored
	units         int    // of the grant in force
	validUntil    Time   // when the grant in force ends
	nextRequestAt Time
	requestNow    bool // the plan changed: the next request is due at once
	wanted        int
}

// NewHolder returns a holder that has no grant yet. name is the dispatcher's name. epoch must differ from the epochs
// of all earlier incarnations of this dispatcher; a random number from its seed is sufficient. Grants for another
// epoch are ignored.
func NewHolder(p Plan, name string, epoch uint64) (*Holder, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	return &Holder{plan: p, name: name, epoch: epoch, wanted: p.Pool()}, nil
}

// SetWanted sets how many units of the pool to request, from the next lease request on. The initial value is the
// whole pool, of which the keeper grants a fair share.
func (h *Holder) SetWanted(units int) { h.wanted = max(units, 0) }

// NextRequest returns the lease request that the caller must send to the keeper now, if one is due. It may be called
// at any time, also right after a failure to send: a request is due at most once per RenewInterval.
func (h *Holder) NextRequest(now Time) (LeaseRequest, bool) {
	if h.seq > 0 && !h.requestNow && now < h.nextRequestAt { // the first request is due at once, although the clock may read less than 0, the initial nextRequestAt
		return LeaseRequest{}, false
	}
	h.requestNow = false
	h.seq++
	h.sent[h.seq%requestHistory] = sentRequest{h.seq, now}
	h.nextRequestAt = now.Add(h.plan.RenewInterval())
	return LeaseRequest{Peer: h.name, Epoch: h.epoch, Seq: h.seq, Wanted: h.wanted}, true
}

// HandleGrant applies a grant that has arrived from the keeper. A grant is ignored if it is for another incarnation,
// for a request that is no longer remembered, older than the grant in force, or from a keeper with another total (a
// reload has not reached both yet).
func (h *Holder) HandleGrant(now Time, g Grant) {
	request := h.sent[g.Seq%requestHistory]
	if g.Epoch != h.epoch || g.Peer != h.name || request.seq != g.Seq || g.Seq <= h.appliedSeq || g.Total != h.plan.Total {
		return
	}
	h.appliedSeq, h.units, h.validUntil = g.Seq, g.Units, request.sentAt.Add(h.plan.UsableLease())
}

// Share returns what this dispatcher may spend now, in units per second: its reserve, and the granted units while the
// grant is valid.
func (h *Holder) Share(now Time) int {
	if now < h.validUntil {
		return h.history.reserve(h.plan) + h.units
	}
	return h.history.reserve(h.plan)
}

// Replan puts a changed plan in force after a reload. If the total or the reserve is smaller than before, the grant
// in force is dropped and the next lease request is due at once, because the units may have been lent from a larger
// pool. The other holders, once they have applied the same plan, spend only the new reserves and what the keeper
// lends of the new pool, and the keeper still counts the earlier grants. So the shares sum to no more than the new
// total once the last dispatcher has applied the plan. Until then they sum to no more than the larger of the two
// totals.
func (h *Holder) Replan(p Plan) error {
	if err := p.Check(); err != nil {
		return err
	}
	if p.Total < h.plan.Total || p.Reserve() < h.plan.Reserve() {
		// Grants for requests sent before now may also come from a larger pool: all are ignored.
		h.units, h.validUntil, h.requestNow, h.appliedSeq = 0, 0, true, h.seq
	}
	if h.wanted == h.plan.Pool() {
		h.wanted = p.Pool()
	}
	if p != h.plan {
		h.history, h.plan = h.history.add(h.plan), p
	}
	return nil
}
