package budget

// sentAsk is one ask on its way: its number and when it was sent, by the holder's clock.
type sentAsk struct {
	seq    uint64
	sentAt Time
}

// askHistory is how many asks a holder remembers: the answer to an older one is not believed.
const askHistory = 4

// Holder is one dispatcher's share of a budget: its reserve, and what the keeper lent it while
// that lease is surely valid by its own clock (Plan.Usable from the ask, which ends before the
// keeper's lease in real time within the plan's drift). It falls back to its reserve alone when
// renewals fail, before the keeper lends the units to another.
type Holder struct {
	plan       Plan
	history    planHistory
	name       string
	epoch      uint64
	seq        uint64
	sent       [askHistory]sentAsk
	appliedSeq uint64 // the seq of the grant in force; older answers are not believed
	units      int
	validUntil Time
	nextAskAt  Time // when to ask again ...
	askNow     bool // ... or at once: the plan changed
	wanted     int
}

// NewHolder starts a holder. epoch must differ from that of every earlier life of this
// dispatcher (a random number from its seed will do): answers meant for one are ignored.
func NewHolder(p Plan, name string, epoch uint64) (*Holder, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	return &Holder{plan: p, name: name, epoch: epoch, wanted: p.Pool()}, nil
}

// SetWanted sets how many units of the pool to ask for from the next ask on; it starts at the whole
// pool, of which the keeper gives the fair part.
func (h *Holder) SetWanted(units int) { h.wanted = max(units, 0) }

// NextAsk says whether an ask is to be sent at now, and makes it. The caller sends it to the keeper.
// After a failure the caller may call NextAsk again at once: it asks at most once a renewal period.
func (h *Holder) NextAsk(now Time) (Ask, bool) {
	if h.seq > 0 && !h.askNow && now < h.nextAskAt { // the first ask goes at once: a clock's origin may lie ahead
		return Ask{}, false
	}
	h.askNow = false
	h.seq++
	h.sent[h.seq%askHistory] = sentAsk{h.seq, now}
	h.nextAskAt = now.Add(h.plan.RenewInterval())
	return Ask{Peer: h.name, Epoch: h.epoch, Seq: h.seq, Wanted: h.wanted}, true
}

// HandleGrant takes the keeper's answer at now. An answer to another life, to an ask no longer
// remembered, older than the grant in force, or from a keeper on another plan (a reload that
// has not reached both) changes nothing.
func (h *Holder) HandleGrant(now Time, g Grant) {
	a := h.sent[g.Seq%askHistory]
	if g.Epoch != h.epoch || g.Peer != h.name || a.seq != g.Seq || g.Seq <= h.appliedSeq || g.Total != h.plan.Total {
		return
	}
	h.appliedSeq, h.units, h.validUntil = g.Seq, g.Units, a.sentAt.Add(h.plan.UsableLease())
}

// Share is what this dispatcher may spend at now: its reserve, and its lease while it is valid.
func (h *Holder) Share(now Time) int {
	if now < h.validUntil {
		return h.history.reserve(h.plan) + h.units
	}
	return h.history.reserve(h.plan)
}

// Replan puts a changed plan in force, from a reload. Where the whole or the reserve gets smaller,
// the lease in force is given up at once and the holder asks anew: its units came from the larger
// pool, and the others, once they have read the same plan, spend only the new reserves and what
// the keeper lends of the new pool beside all that it still counts. So the new total holds from
// when the last dispatcher has read it; until then the old one does.
func (h *Holder) Replan(p Plan) error {
	if err := p.Check(); err != nil {
		return err
	}
	if p.Total < h.plan.Total || p.Reserve() < h.plan.Reserve() {
		// answers to asks sent before now were lent from the larger pool: none is believed
		h.units, h.validUntil, h.askNow, h.appliedSeq = 0, 0, true, h.seq
	}
	if h.wanted == h.plan.Pool() {
		h.wanted = p.Pool()
	}
	if p != h.plan {
		h.history, h.plan = h.history.add(h.plan), p
	}
	return nil
}
