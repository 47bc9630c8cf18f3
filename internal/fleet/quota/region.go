package quota

import "fmt"

// Region is a region's lender: a Holder toward the root, and a Lender toward the dispatchers whose capacity is what the
// Holder holds.
type Region struct {
	holder *Holder
	lender *Lender
}

// leases is how many of its dispatchers' leases a region's own has to last at least: renewed each third of Usable, it
// covers a further one at any time.
const leases = 4

// NewRegion starts a life of a region's lender. life rises with each (the start in Unix nanoseconds). Lives of one region
// exclude each other: the caller sees to it, or the region lends its units twice. up is the plan toward the root, down
// that toward dispatchers.
func NewRegion(up, down Plan, name string, life uint64, now Time) (*Region, error) {
	h, err := NewHolder(up, name, life, true)
	if err != nil {
		return nil, err
	}
	l, err := NewLender(down, life, now, Options{Middle: true})
	if err != nil {
		return nil, err
	}
	if up.Lease < leases*down.Lease {
		return nil, fmt.Errorf("quota: a region's lease of %v is not %d times its dispatchers', %v", up.Lease, leases, down.Lease)
	}
	return &Region{h, l}, nil
}

// Starts tells that no life of this region's lender lent before: nothing is waited for. To be called at the start, and only
// where that is known, as by a data folder that did not exist.
func (r *Region) Starts(now Time) {
	r.lender.grown(now)
	r.holder.Known()
}

// Reserve sets the urgent reserve, which is this region's own. To be called at the start and at each change.
func (r *Region) Reserve(now Time, units int) {
	r.lender.Inherit(now, []Share{{Urgent, units}})
	r.lender.Capacity(now, Urgent, units)
}

// Take answers a dispatcher's ask; false: nothing is to be sent.
func (r *Region) Take(now Time, a Ask) (Answer, bool) {
	out, ok := r.lender.Take(now, a)
	r.needs()
	return out, ok
}

// needs tells the holder what is lent and wanted. What past lives and earlier lives of this lender may have running is
// wanted too: without it there would be no room for what the dispatchers want.
func (r *Region) needs() {
	for name := range r.lender.moved {
		delete(r.lender.moved, name)
		a := r.lender.accounts[name]
		if a == nil {
			r.holder.Need(name, 0, 0)
		} else if name != Urgent {
			legacy := r.lender.legacy(a)
			r.holder.Need(name, a.counted+legacy, a.want+a.past+legacy)
		}
	}
}

// sync lends what is held.
func (r *Region) sync(now Time) {
	r.lender.Cover(now, r.holder.Until())
	for _, name := range r.lender.Accounts() {
		if k := r.holder.at[name]; name != Urgent && k == nil {
			r.lender.Capacity(now, name, 0)
		}
	}
	r.holder.Each(func(name string, units int) {
		if name != Urgent {
			r.lender.Capacity(now, name, units)
		}
	})
}

// Due says whether an ask is to be sent to the root, and makes it.
func (r *Region) Due(now Time) (Ask, bool) {
	r.Tick(now)
	a, due := r.holder.Due(now)
	if due { // some may have been given back
		r.sync(now)
	}
	return a, due
}

// Answered takes the root's answer.
func (r *Region) Answered(now Time, a Answer) {
	r.lender.Tick(now)
	r.holder.Answered(now, a)
	r.lender.Inherit(now, r.holder.inherited)
	r.holder.inherited = nil
	r.sync(now)
	r.needs()
}

// Nudged takes the root's nudge.
func (r *Region) Nudged() { r.holder.Nudged() }

// Nudges are the dispatchers that should ask now, once each.
func (r *Region) Nudges() []string { return r.lender.Nudges() }

// Tick lets time pass.
func (r *Region) Tick(now Time) {
	r.lender.Tick(now)
	if !r.lender.Young() {
		r.holder.Known()
	}
	r.needs()
}

// Next is when Due or Tick has something to do, if nothing else happens before.
func (r *Region) Next() Time { return min(r.holder.Next(), r.lender.Next()) }

// Notes hands out what is to be logged.
func (r *Region) Notes() []Note { return r.lender.Notes() }

// Lender is the side toward the dispatchers, to be read only.
func (r *Region) Lender() *Lender { return r.lender }

// Holder is the side toward the root, to be read only.
func (r *Region) Holder() *Holder { return r.holder }
