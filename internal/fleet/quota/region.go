package quota

import "fmt"

// RegionLender is a region's lender: a Holder toward the root, and a Lender toward the dispatchers whose capacity is what the
// Holder holds.
type RegionLender struct {
	holder *Holder
	lender *Lender
}

// minLeaseRatio is how many of its dispatchers' minLeaseRatio a region's own has to last at least: renewed each third of Usable, it
// covers a further one at any time.
const minLeaseRatio = 4

// NewRegionLender starts a life of a region's lender. life rises with each (the start in Unix nanoseconds). Lives of one region
// exclude each other: the caller sees to it, or the region lends its units twice. up is the plan toward the root, down
// that toward dispatchers.
func NewRegionLender(up, down LeaseConfig, name string, life uint64, now Time) (*RegionLender, error) {
	h, err := NewHolder(up, name, life, true)
	if err != nil {
		return nil, err
	}
	l, err := NewLender(down, life, now, LenderOptions{Intermediate: true})
	if err != nil {
		return nil, err
	}
	if up.Lease < minLeaseRatio*down.Lease {
		return nil, fmt.Errorf("quota: a region's lease of %v is not %d times its dispatchers', %v", up.Lease, minLeaseRatio, down.Lease)
	}
	return &RegionLender{h, l}, nil
}

// SkipRecovery tells that no life of this region's lender lent before: nothing is waited for. To be called at the start, and only
// where that is known, as by a data folder that did not exist.
func (r *RegionLender) SkipRecovery(now Time) {
	r.lender.finishRecovery(now)
	r.holder.FinishRecovery()
}

// SetReserve sets the urgent reserve, which is this region's own. To be called at the start and at each change.
func (r *RegionLender) SetReserve(now Time, units int) {
	r.lender.AssumeLent(now, []Allocation{{ReserveAccount, units}})
	r.lender.SetCapacity(now, ReserveAccount, units)
}

// Handle answers a dispatcher's ask; false: nothing is to be sent.
func (r *RegionLender) Handle(now Time, a LeaseRequest) (LeaseResponse, bool) {
	out, ok := r.lender.Handle(now, a)
	r.updateUsage()
	return out, ok
}

// updateUsage tells the holder what is lent and wanted. What past lives and earlier lives of this lender may have running is
// wanted too: without it there would be no room for what the dispatchers want.
func (r *RegionLender) updateUsage() {
	for name := range r.lender.changed {
		delete(r.lender.changed, name)
		a := r.lender.accounts[name]
		if a == nil {
			r.holder.SetUsage(name, 0, 0)
		} else if name != ReserveAccount {
			legacy := r.lender.unreported(a)
			r.holder.SetUsage(name, a.counted+legacy, a.demand+a.ended+legacy)
		}
	}
}

// syncCapacity lends what is held.
func (r *RegionLender) syncCapacity(now Time) {
	r.lender.SetLeaseEnd(now, r.holder.LeaseEnd())
	for _, name := range r.lender.Accounts() {
		if k := r.holder.accounts[name]; name != ReserveAccount && k == nil {
			r.lender.SetCapacity(now, name, 0)
		}
	}
	r.holder.Each(func(name string, units int) {
		if name != ReserveAccount {
			r.lender.SetCapacity(now, name, units)
		}
	})
}

// NextRequest says whether an ask is to be sent to the root, and makes it.
func (r *RegionLender) NextRequest(now Time) (LeaseRequest, bool) {
	r.Tick(now)
	a, due := r.holder.NextRequest(now)
	if due { // some may have been given back
		r.syncCapacity(now)
	}
	return a, due
}

// HandleResponse takes the root's answer.
func (r *RegionLender) HandleResponse(now Time, a LeaseResponse) {
	r.lender.Tick(now)
	r.holder.HandleResponse(now, a)
	r.lender.AssumeLent(now, r.holder.inherited)
	r.holder.inherited = nil
	r.syncCapacity(now)
	r.updateUsage()
}

// HandlePoll takes the root's nudge.
func (r *RegionLender) HandlePoll() { r.holder.HandlePoll() }

// TakePolls are the dispatchers that should ask now, once each.
func (r *RegionLender) TakePolls() []string { return r.lender.TakePolls() }

// Tick lets time pass.
func (r *RegionLender) Tick(now Time) {
	r.lender.Tick(now)
	if !r.lender.Recovering() {
		r.holder.FinishRecovery()
	}
	r.updateUsage()
}

// NextTick is when Due or Tick has something to do, if nothing else happens before.
func (r *RegionLender) NextTick() Time { return min(r.holder.NextRequestTime(), r.lender.NextTick()) }

// TakeEvents hands out what is to be logged.
func (r *RegionLender) TakeEvents() []Event { return r.lender.TakeEvents() }

// Lender is the side toward the dispatchers, to be read only.
func (r *RegionLender) Lender() *Lender { return r.lender }

// Holder is the side toward the root, to be read only.
func (r *RegionLender) Holder() *Holder { return r.holder }
