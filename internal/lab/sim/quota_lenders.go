package sim

import (
	"fmt"
	"slices"

	"tinsail/internal/fleet/quota"
)

// This file holds the lenders of the simulated quotas: the root and one for each region.

// rootLender is the root of the lenders. In a real fleet it runs in the accord's leader.
type rootLender struct {
	processClock
	simulation *quotaSimulation
	lender     *quota.Lender
	region     int
	dead       bool
}

// elect starts an incarnation of the root in a region. The one before grants nothing from then on.
func (q *quotaSimulation) elect(region int, first bool) error {
	if q.root != nil {
		q.root.dead = true
	}
	r := &rootLender{processClock: q.newClock(), simulation: q, region: region}
	var children []string
	for _, child := range q.world.scenario.Regions {
		children = append(children, child.Name)
	}
	var err error
	r.lender, err = quota.NewLender(q.config.regionLeaseConfig(), q.nextEpoch(), r.now(q.world), quota.LenderOptions{Preallocate: true, Children: children, SkipRecovery: first})
	if err != nil {
		return err
	}
	for _, account := range q.accounts() {
		if account != quota.ReserveAccount {
			r.lender.SetCapacity(r.now(q.world), account, q.current[account])
		}
	}
	q.root = r
	r.step()
	return nil
}

// handleRequest responds to a region's lease request after a round trip to the nearest other region, where another
// voter confirms that this one leads.
func (r *rootLender) handleRequest(l *regionLender, request quota.LeaseRequest) {
	q, nearest := r.simulation, -1
	for i := range q.regions {
		if i != r.region && !q.partitioned(i, r.region) && (nearest < 0 || q.delay(i, r.region) < q.delay(nearest, r.region)) {
			nearest = i
		}
	}
	if r.dead || nearest < 0 && len(q.regions) > 1 {
		return
	}
	respond := func() {
		if r.dead {
			return
		}
		if response, ok := r.lender.Handle(r.now(q.world), request); ok {
			q.countInterRegionMessage(responseSize(response))
			q.send(r.region, l.index, func() { l.handleResponse(response) })
		}
		r.step()
	}
	if nearest < 0 {
		respond()
		return
	}
	q.send(r.region, nearest, func() { q.send(nearest, r.region, respond) })
}

// step performs the actions that the lender asks for, and schedules the next step.
func (r *rootLender) step() {
	if r.dead {
		return
	}
	q := r.simulation
	r.lender.Tick(r.now(q.world))
	for _, name := range r.lender.TakePolls() {
		l := q.regions[slices.IndexFunc(q.world.scenario.Regions, func(x Region) bool { return x.Name == name })]
		q.countInterRegionMessage(pollSize)
		q.send(r.region, l.index, func() {
			if !l.dead {
				l.lender.HandlePoll()
				l.step()
			}
		})
	}
	q.countEvents("root ", r.lender.TakeEvents())
	r.schedule(q.world, r.lender.NextTick(), r.step)
}

// regionLender is the lender of a region.
type regionLender struct {
	processClock
	simulation *quotaSimulation
	index      int
	lender     *quota.RegionLender
	dead       bool
}

// start starts an incarnation of the lender.
func (l *regionLender) start() (err error) {
	q := l.simulation
	l.processClock, l.dead = q.newClock(), false
	l.lender, err = quota.NewRegionLender(q.config.regionLeaseConfig(), q.config.dispatcherLeaseConfig(), q.world.scenario.Regions[l.index].Name, q.nextEpoch(), l.now(q.world))
	if err == nil {
		if q.root == nil { // the first incarnations of the run
			l.lender.SkipRecovery(l.now(q.world))
		}
		l.lender.SetReserve(l.now(q.world), q.config.Reserve)
		q.world.schedule(q.world.now, l.step)
	}
	return err
}

func (l *regionLender) handleResponse(response quota.LeaseResponse) {
	if !l.dead {
		l.lender.HandleResponse(l.now(l.simulation.world), response)
		l.step()
	}
}

// handleRequest responds to a dispatcher's lease request.
func (l *regionLender) handleRequest(d *dispatcherQuotas, request quota.LeaseRequest) {
	if l.dead {
		return
	}
	q := l.simulation
	if response, ok := l.lender.Handle(l.now(q.world), request); ok {
		q.world.result.Quotas.Responses++
		q.countDispatcherMessage(d.side.index, responseSize(response))
		q.send(l.index, l.index, func() { d.handleResponse(response) })
	}
	l.step()
}

// step performs the actions that the lender asks for, and schedules the next step.
func (l *regionLender) step() {
	if l.dead {
		return
	}
	q := l.simulation
	l.lender.Tick(l.now(q.world))
	if request, ok := l.lender.NextRequest(l.now(q.world)); ok {
		q.countInterRegionMessage(requestSize(request))
		root := q.root
		q.send(l.index, root.region, func() { root.handleRequest(l, request) })
	}
	for _, name := range l.lender.TakePolls() {
		dispatcher := 0
		_, _ = fmt.Sscanf(name, "n%d", &dispatcher)
		q.world.result.Quotas.Polls++
		q.countDispatcherMessage(dispatcher, pollSize)
		q.send(l.index, l.index, func() {
			if d := q.world.dispatchers[dispatcher].quotas; !d.side.dead {
				d.holder.HandlePoll()
				d.step()
			}
		})
	}
	q.countEvents("region ", l.lender.TakeEvents())
	l.schedule(q.world, l.lender.NextTick(), l.step)
}
