package quota

import "fmt"

// RegionLender is a region's lender. It combines a Holder that borrows from the root with a Lender for the region's
// dispatchers, whose capacity is the units that the Holder holds.
type RegionLender struct {
	holder *Holder
	lender *Lender
}

// minLeaseRatio is how many times as long as its dispatchers' leases a region's own lease must be at least. The region
// renews its lease after a third of UsableLease, so that a further dispatchers' lease fits into it at any time.
const minLeaseRatio = 4

// NewRegionLender starts an incarnation of a region's lender. The incarnation's number must rise with each one; its start in
// Unix nanoseconds is suitable. The caller must ensure that a region has only one incarnation at a time, or the region's
// units are lent twice. up configures the level above, toward the root, and down the level of the dispatchers.
func NewRegionLender(up, down LeaseConfig, name string, incarnation uint64, now Time) (*RegionLender, error) {
	h, err := NewHolder(up, name, incarnation, true)
	if err != nil {
		return nil, err
	}
	l, err := NewLender(down, incarnation, now, LenderOptions{Intermediate: true})
	if err != nil {
		return nil, err
	}
	if up.Lease < minLeaseRatio*down.Lease {
		return nil, fmt.Errorf("quota: a region's lease of %v is shorter than %d times its dispatchers' lease of %v",
			up.Lease, minLeaseRatio, down.Lease)
	}
	return &RegionLender{h, l}, nil
}

// SkipRecovery states that no earlier incarnation of this region's lender lent anything, so that there is nothing to
// recover. It must be called at the start, and only if that is certain, for example because the data folder did not exist.
func (r *RegionLender) SkipRecovery(now Time) {
	r.lender.finishRecovery(now)
	r.holder.FinishRecovery()
}

// SetReserve sets the urgent reserve, which belongs to this region. It must be called at the start and at each change.
func (r *RegionLender) SetReserve(now Time, units int) {
	r.lender.AssumeLent(now, []Allocation{{ReserveAccount, units}})
	r.lender.SetCapacity(now, ReserveAccount, units)
}

// Handle answers a dispatcher's lease request. It returns false if no response is to be sent.
func (r *RegionLender) Handle(now Time, request LeaseRequest) (LeaseResponse, bool) {
	response, ok := r.lender.Handle(now, request)
	r.updateUsage()
	return response, ok
}

// updateUsage passes changes of the outstanding units and the demand on to the holder. The demand includes the units that
// ended incarnations of dispatchers or earlier incarnations of this lender may have in use. Otherwise the region would have
// no units for the demand of its current dispatchers.
func (r *RegionLender) updateUsage() {
	for name := range r.lender.changed {
		delete(r.lender.changed, name)
		a := r.lender.accounts[name]
		if a == nil {
			r.holder.SetUsage(name, 0, 0)
		} else if name != ReserveAccount {
			unreported := r.lender.unreported(a)
			r.holder.SetUsage(name, a.counted+unreported, a.demand+a.ended+unreported)
		}
	}
}

// syncCapacity sets the lender's capacity and lease end to those of the holder.
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

// NextRequest returns the lease request that is to be sent to the root, if one is due.
func (r *RegionLender) NextRequest(now Time) (LeaseRequest, bool) {
	r.Tick(now)
	request, due := r.holder.NextRequest(now)
	if due { // the holder may have returned units
		r.syncCapacity(now)
	}
	return request, due
}

// HandleResponse handles the root's response.
func (r *RegionLender) HandleResponse(now Time, response LeaseResponse) {
	r.lender.Tick(now)
	r.holder.HandleResponse(now, response)
	r.lender.AssumeLent(now, r.holder.inherited)
	r.holder.inherited = nil
	r.syncCapacity(now)
	r.updateUsage()
}

// HandlePoll handles the root's poll.
func (r *RegionLender) HandlePoll() { r.holder.HandlePoll() }

// TakePolls returns the dispatchers that should send a lease request now, each once.
func (r *RegionLender) TakePolls() []string { return r.lender.TakePolls() }

// Tick advances the lender to now.
func (r *RegionLender) Tick(now Time) {
	r.lender.Tick(now)
	if !r.lender.Recovering() {
		r.holder.FinishRecovery()
	}
	r.updateUsage()
}

// NextTick returns when NextRequest or Tick next has something to do, if nothing else happens before.
func (r *RegionLender) NextTick() Time { return min(r.holder.NextRequestTime(), r.lender.NextTick()) }

// TakeEvents returns the events to be logged, each once.
func (r *RegionLender) TakeEvents() []Event { return r.lender.TakeEvents() }

// Lender returns the side toward the dispatchers. Callers may only read it.
func (r *RegionLender) Lender() *Lender { return r.lender }

// Holder returns the side toward the root. Callers may only read it.
func (r *RegionLender) Holder() *Holder { return r.holder }
