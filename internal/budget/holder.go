package budget

// asked is one ask on its way: its number and when it was sent, by the holder's clock.
type asked struct {
	seq uint64
	at  Time
}

// inFlight is how many asks a holder remembers: the answer to an older one is not believed.
const inFlight = 4

// Holder is one dispatcher's share of a budget: its reserve, and what the keeper lent it while
// that lease is surely valid by its own clock (Plan.Usable from the ask, which ends before the
// keeper's lease in real time within the plan's drift). It falls back to its reserve alone when
// renewals fail, before the keeper lends the units to another.
type Holder struct {
	plan    Plan
	past    past
	name    string
	epoch   uint64
	seq     uint64
	sent    [inFlight]asked
	applied uint64 // the seq of the grant in force; older answers are not believed
	units   int
	until   Time
	next    Time // when to ask again ...
	asap    bool // ... or at once: the plan changed
	want    int
}

// NewHolder starts a holder. epoch must differ from that of every earlier life of this
// dispatcher (a random number from its seed will do): answers meant for one are ignored.
func NewHolder(p Plan, name string, epoch uint64) (*Holder, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	return &Holder{plan: p, name: name, epoch: epoch, want: p.Pool()}, nil
}

// SetWanted sets how many units of the pool to ask for from the next ask on; it starts at the whole
// pool, of which the keeper gives the fair part.
func (h *Holder) SetWanted(units int) { h.want = max(units, 0) }

// NextAsk says whether an ask is to be sent at now, and makes it. The caller sends it to the keeper.
// After a failure the caller may call NextAsk again at once: it asks at most once a renewal period.
func (h *Holder) NextAsk(now Time) (Ask, bool) {
	if h.seq > 0 && !h.asap && now < h.next { // the first ask goes at once: a clock's origin may lie ahead
		return Ask{}, false
	}
	h.asap = false
	h.seq++
	h.sent[h.seq%inFlight] = asked{h.seq, now}
	h.next = now.Add(h.plan.RenewInterval())
	return Ask{Peer: h.name, Epoch: h.epoch, Seq: h.seq, Wanted: h.want}, true
}

// HandleGrant takes the keeper's answer at now. An answer to another life, to an ask no longer
// remembered, older than the grant in force, or from a keeper on another plan (a reload that
// has not reached both) changes nothing.
func (h *Holder) HandleGrant(now Time, g Grant) {
	a := h.sent[g.Seq%inFlight]
	if g.Epoch != h.epoch || g.Peer != h.name || a.seq != g.Seq || g.Seq <= h.applied || g.Total != h.plan.Total {
		return
	}
	h.applied, h.units, h.until = g.Seq, g.Units, a.at.Add(h.plan.UsableLease())
}

// Share is what this dispatcher may spend at now: its reserve, and its lease while it is valid.
func (h *Holder) Share(now Time) int {
	if now < h.until {
		return h.past.reserve(h.plan) + h.units
	}
	return h.past.reserve(h.plan)
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
		h.units, h.until, h.asap, h.applied = 0, 0, true, h.seq
	}
	if h.want == h.plan.Pool() {
		h.want = p.Pool()
	}
	if p != h.plan {
		h.past, h.plan = h.past.add(h.plan), p
	}
	return nil
}
