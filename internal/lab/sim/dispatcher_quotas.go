package sim

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/quota"
)

// dispatcherQuotas is the part of the quotas in a dispatcher. It implements core.Quotas with a real quota.Limiter and
// a real quota.Holder.
type dispatcherQuotas struct {
	processClock
	simulation    *quotaSimulation
	side          *dispatcher
	limiter       *quota.Limiter
	holder        *quota.Holder
	lastID        uint64                                          // the last id given to a req
	waiting       map[uint64]func(time.Time, time.Duration, bool) // callbacks of waiting reqs, by id
	stepScheduled bool                                            // a step is scheduled for the current time
	maxHeld       map[string]int                                  // most units held so far, by account; only for the injected fault
	inFlight      map[uint64]quotaReq                             // by id
}

// quotaReq is a req that waits for a unit or holds one.
type quotaReq struct {
	account   string
	urgent    bool
	arrivedAt float64 // in simulated time, ms
}

func newDispatcherQuotas(s *dispatcher) (*dispatcherQuotas, error) {
	q := s.world.quotas
	d := &dispatcherQuotas{processClock: q.newClock(), simulation: q, side: s, limiter: quota.NewLimiter(), waiting: map[uint64]func(time.Time, time.Duration, bool){}, maxHeld: map[string]int{}, inFlight: map[uint64]quotaReq{}}
	var err error
	if d.holder, err = quota.NewHolder(q.config.dispatcherLeaseConfig(), fmt.Sprint("n", s.index), q.nextEpoch(), false); err != nil {
		return nil, err
	}
	d.limiter.SetQuotas(d.now(s.world), q.accounts())
	d.scheduleStep()
	return d, nil
}

// scheduleStep schedules a step for the current time, after the event that the core is handling.
func (d *dispatcherQuotas) scheduleStep() {
	if d.stepScheduled {
		return
	}
	d.stepScheduled = true
	d.simulation.world.schedule(d.simulation.world.now, func() { d.stepScheduled = false; d.step() })
}

// Acquire implements core.Quotas: it asks for a unit of a tenant's quota.
func (d *dispatcherQuotas) Acquire(tenant, class int, until time.Time, ready func(time.Time, time.Duration, bool)) (release func()) {
	w := d.simulation.world
	d.lastID++
	id, account := d.lastID, ""
	if tenant < len(w.scenario.Tenants) {
		account = w.scenario.Tenants[tenant].Name
	}
	req := quotaReq{account, d.simulation.urgentClass[class], w.now}
	timeLeft := float64(until.Sub(origin))/1e6 - w.now
	if d.limiter.Acquire(d.now(w), id, account, req.urgent, d.now(w)+quota.Time(timeLeft*1e6*d.rate)) {
		d.handleStart(id, req)
		ready(w.wallClock(), 0, true)
	} else {
		d.waiting[id] = func(from time.Time, retryAfter time.Duration, ok bool) {
			if ok {
				d.handleStart(id, req)
			}
			ready(from, retryAfter, ok)
		}
		d.scheduleStep()
	}
	return func() {
		delete(d.waiting, id)
		d.limiter.Release(id)
		d.handleEnd(id)
		d.scheduleStep()
	}
}

// MaxHold implements core.Quotas: it returns the longest time for which a req may hold a unit.
func (d *dispatcherQuotas) MaxHold() time.Duration {
	return msToDuration(d.simulation.config.MaxRunTime)
}

// handleStart counts a req that got a unit.
func (d *dispatcherQuotas) handleStart(id uint64, req quotaReq) {
	d.inFlight[id] = req
	d.simulation.countInFlight(req.account, req.urgent, 1)
	if d.simulation.isolated(d.simulation.world.scenario.RegionOf(d.side.index)) {
		d.simulation.world.result.Quotas.StartedIsolated++
	}
	if w := d.simulation.world; req.urgent && w.tenants.inWindow(req.arrivedAt) {
		_ = w.result.Quotas.UrgentGrantDelay.RecordValue(int64((w.now-req.arrivedAt)*1000) + 1) // cannot fail: the req's deadline is below the histogram's maximum
	}
	d.simulation.dispatcherChecker.HandleStart(d.simulation.world.now, req.account, req.urgent)
}

// handleEnd counts a req that no longer holds a unit; one that held none is ignored.
func (d *dispatcherQuotas) handleEnd(id uint64) {
	if req, ok := d.inFlight[id]; ok {
		delete(d.inFlight, id)
		d.simulation.countInFlight(req.account, req.urgent, -1)
		d.simulation.dispatcherChecker.HandleEnd(req.account, req.urgent)
	}
}

// stop ends the reqs in flight of a dispatcher that was killed, once the backends have cancelled its attempts. After
// an orderly end the dispatcher then returns all its units to its region's lender.
func (d *dispatcherQuotas) stop(orderly bool) {
	w := d.simulation.world
	w.schedule(w.now+2*w.scenario.Latency, func() {
		for id := range d.inFlight {
			d.limiter.Release(id)
			d.handleEnd(id)
		}
		if !orderly {
			return
		}
		for id := range d.waiting {
			d.limiter.Release(id)
		}
		d.limiter.SetQuotas(d.now(w), nil) // so that no unit of the reserve is requested in advance
		d.limiter.TakeUsageChanges(d.holder.SetUsage)
		d.holder.HandlePoll()
		d.holder.HandleReconnect() // the request is sent without waiting for the response to an earlier one
		if request, ok := d.holder.NextRequest(d.now(w)); ok {
			d.sendRequest(request)
		}
	})
}

// units returns how many units of an account may be in use.
func (d *dispatcherQuotas) units(account string) int {
	units := d.holder.Units(d.now(d.simulation.world), account)
	if !d.simulation.config.faultKeepUnits {
		return units
	}
	d.maxHeld[account] = max(d.maxHeld[account], units) // the injected fault: units once held are never given up
	return d.maxHeld[account]
}

// step performs the actions that the limiter and the holder ask for, and schedules the next step.
func (d *dispatcherQuotas) step() {
	if d.side.dead {
		return
	}
	w := d.simulation.world
	started, expired := d.limiter.Admit(d.now(w), d.units)
	for _, id := range started {
		d.reply(id, 0, true)
	}
	for _, id := range expired {
		w.result.Quotas.Refused++
		d.reply(id, refusalRetryAfter, false)
	}
	d.limiter.TakeUsageChanges(d.holder.SetUsage)
	if request, ok := d.holder.NextRequest(d.now(w)); ok {
		d.sendRequest(request)
	}
	d.schedule(w, min(d.holder.NextRequestTime(), d.limiter.NextTimeout()), d.step)
}

// refusalRetryAfter is the delay suggested to clients of reqs that got no unit in time.
const refusalRetryAfter = 500 * time.Millisecond

// reply reports to the core whether a waiting req got a unit.
func (d *dispatcherQuotas) reply(id uint64, retryAfter time.Duration, ok bool) {
	if ready := d.waiting[id]; ready != nil {
		delete(d.waiting, id)
		ready(d.simulation.world.wallClock(), retryAfter, ok)
		d.side.markDirty()
	}
}

// sendRequest sends a lease request to the region's lender.
func (d *dispatcherQuotas) sendRequest(request quota.LeaseRequest) {
	q := d.simulation
	q.world.result.Quotas.Requests++
	q.countDispatcherMessage(d.side.index, requestSize(request))
	region := q.world.scenario.RegionOf(d.side.index)
	q.send(region, region, func() { q.regions[region].handleRequest(d, request) })
}

func (d *dispatcherQuotas) handleResponse(response quota.LeaseResponse) {
	if !d.side.dead {
		d.holder.HandleResponse(d.now(d.simulation.world), response)
		d.step()
	}
}

// countInFlight changes the number of a tenant's reqs in flight by delta, and updates their sum over time. Urgent
// reqs are not counted.
func (q *quotaSimulation) countInFlight(name string, urgent bool, delta int) {
	if urgent {
		return
	}
	f, window := q.inFlight[name], &q.world.scenario.Window
	if f == nil {
		f = &tenantInFlight{}
		q.inFlight[name] = f
	}
	if elapsed := min(q.world.now, window.To) - max(f.changedAt, window.From); elapsed > 0 {
		f.sum += elapsed * float64(f.count)
	}
	f.changedAt = q.world.now
	f.count += delta
}

// tenantInFlight is the number of a tenant's reqs in flight, when it last changed, and its sum over the measurement
// window in reqs times ms.
type tenantInFlight struct {
	count          int
	changedAt, sum float64
}
