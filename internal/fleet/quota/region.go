package quota

// Region is a region's lender: a Holder toward the root, and a Lender toward the dispatchers whose capacity is what the
// Holder holds.
type Region struct {
	holder *Holder
	lender *Lender
}

// NewRegion starts a life of a region's lender. life rises with each (the start in Unix nanoseconds): lives of one region
// exclude each other, the caller sees to it. up is the plan toward the root, down that toward dispatchers.
func NewRegion(up, down Plan, name string, life uint64, now Time) (*Region, error) {
	h, err := NewHolder(up, name, life, true)
	if err != nil {
		return nil, err
	}
	l, err := NewLender(down, life, now, Options{Middle: true})
	return &Region{h, l}, err
}

// Reserve sets the urgent reserve, which is this region's own. To be called at the start and at each change.
func (r *Region) Reserve(now Time, units int) {}

// Take answers a dispatcher's ask; false: nothing is to be sent.
func (r *Region) Take(now Time, a Ask) (Answer, bool) { return r.lender.Take(now, a) }

// Due says whether an ask is to be sent to the root, and makes it.
func (r *Region) Due(now Time) (Ask, bool) { return r.holder.Due(now) }

// Answered takes the root's answer.
func (r *Region) Answered(now Time, a Answer) { r.holder.Answered(now, a) }

// Nudged takes the root's nudge.
func (r *Region) Nudged() { r.holder.Nudged() }

// Nudges are the dispatchers that should ask now, once each.
func (r *Region) Nudges() []string { return r.lender.Nudges() }

// Tick lets time pass.
func (r *Region) Tick(now Time) { r.lender.Tick(now) }

// Next is when Due or Tick has something to do, if nothing else happens before.
func (r *Region) Next() Time { return min(r.holder.Next(), r.lender.Next()) }

// Notes hands out what is to be logged.
func (r *Region) Notes() []Note { return r.lender.Notes() }

// Lender is the side toward the dispatchers, to be read only.
func (r *Region) Lender() *Lender { return r.lender }

// Holder is the side toward the root, to be read only.
func (r *Region) Holder() *Holder { return r.holder }
