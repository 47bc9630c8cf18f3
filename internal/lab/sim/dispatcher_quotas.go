package sim

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/quota"
)

// dispatcherQuotas is a dispatcher's side: the core's Quotas by the real Desk, with the real Holder.
type dispatcherQuotas struct {
	processClock
	q             *quotaSimulation
	side          *side
	limiter       *quota.Limiter
	holder        *quota.Holder
	lastID        uint64
	waiting       map[uint64]func(time.Time, time.Duration, bool)
	stepScheduled bool           // a turn is set for this moment
	maxHeld       map[string]int // what was held last, for the seeded fault
	inFlight      map[uint64]quotaReq
}

type quotaReq struct {
	account   string
	urgent    bool
	arrivedAt float64
}

func newDispatcherQuotas(s *side) (*dispatcherQuotas, error) {
	q := s.w.quotas
	d := &dispatcherQuotas{processClock: q.newClock(), q: q, side: s, limiter: quota.NewLimiter(), waiting: map[uint64]func(time.Time, time.Duration, bool){}, maxHeld: map[string]int{}, inFlight: map[uint64]quotaReq{}}
	var err error
	if d.holder, err = quota.NewHolder(q.config.dispatcherLeaseConfig(), fmt.Sprint("n", s.at), q.nextEpoch(), false); err != nil {
		return nil, err
	}
	d.limiter.SetQuotas(d.now(s.w), q.accounts())
	d.scheduleStep()
	return d, nil
}

// scheduleStep sets a turn for this moment: the core is in the middle of an event.
func (d *dispatcherQuotas) scheduleStep() {
	if d.stepScheduled {
		return
	}
	d.stepScheduled = true
	d.q.w.at(d.q.w.now, func() { d.stepScheduled = false; d.step() })
}

// Acquire asks for room: core.Quotas.
func (d *dispatcherQuotas) Acquire(tenant, class int, until time.Time, ready func(time.Time, time.Duration, bool)) (leave func()) {
	w := d.q.w
	d.lastID++
	id, name := d.lastID, ""
	if tenant < len(w.sc.Tenants) {
		name = w.sc.Tenants[tenant].Name
	}
	a := quotaReq{name, d.q.urgentClass[class], w.now}
	patience := float64(until.Sub(origin))/1e6 - w.now
	if d.limiter.Acquire(d.now(w), id, name, a.urgent, d.now(w)+quota.Time(patience*1e6*d.rate)) {
		d.handleStart(id, a)
		ready(w.time(), 0, true)
	} else {
		d.waiting[id] = func(from time.Time, pause time.Duration, ok bool) {
			if ok {
				d.handleStart(id, a)
			}
			ready(from, pause, ok)
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

// MaxHold is the longest that room may be held.
func (d *dispatcherQuotas) MaxHold() time.Duration { return msToDuration(d.q.config.MaxRunTime) }

func (d *dispatcherQuotas) handleStart(id uint64, a quotaReq) {
	d.inFlight[id] = a
	d.q.countInFlight(a.account, a.urgent, 1)
	if d.q.isolated(d.q.w.sc.RegionOf(d.side.at)) {
		d.q.w.res.Quotas.StartedIsolated++
	}
	if w := d.q.w; a.urgent && w.tenants.inWindow(a.arrivedAt) {
		_ = w.res.Quotas.UrgentGrantDelay.RecordValue(int64((w.now-a.arrivedAt)*1000) + 1) // in its bounds: patience is shorter
	}
	d.q.dispatcherChecker.HandleStart(d.q.w.now, a.account, a.urgent)
}

func (d *dispatcherQuotas) handleEnd(id uint64) {
	if a, flies := d.inFlight[id]; flies {
		delete(d.inFlight, id)
		d.q.countInFlight(a.account, a.urgent, -1)
		d.q.dispatcherChecker.HandleEnd(a.account, a.urgent)
	}
}

// stop takes what was in flight at a dispatcher that was killed out of the count, once its attempts are called off; one
// that ends in order says then that it holds nothing.
func (d *dispatcherQuotas) stop(orderly bool) {
	w := d.q.w
	w.at(w.now+2*w.sc.Latency, func() {
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
		d.limiter.SetQuotas(d.now(w), nil) // nothing is wanted ahead of need
		d.limiter.TakeUsageChanges(d.holder.SetUsage)
		d.holder.HandlePoll()
		d.holder.HandleReconnect() // it waits for no answer
		if a, ok := d.holder.NextRequest(d.now(w)); ok {
			d.sendRequest(a)
		}
	})
}

func (d *dispatcherQuotas) units(name string) int {
	units := d.holder.Units(d.now(d.q.w), name)
	if !d.q.config.faultKeepUnits {
		return units
	}
	d.maxHeld[name] = max(d.maxHeld[name], units) // the seeded fault: what was held once is held for good
	return d.maxHeld[name]
}

// step carries out what the desk and the holder want.
func (d *dispatcherQuotas) step() {
	if d.side.dead {
		return
	}
	w := d.q.w
	begin, refuse := d.limiter.Admit(d.now(w), d.units)
	for _, id := range begin {
		d.reply(id, 0, true)
	}
	for _, id := range refuse {
		w.res.Quotas.Refused++
		d.reply(id, refusalRetryAfter, false)
	}
	d.limiter.TakeUsageChanges(d.holder.SetUsage)
	if a, ok := d.holder.NextRequest(d.now(w)); ok {
		d.sendRequest(a)
	}
	d.schedule(w, min(d.holder.NextRequestTime(), d.limiter.NextTimeout()), d.step)
}

// refusalRetryAfter is advised to clients of reqs that had no room in time.
const refusalRetryAfter = 500 * time.Millisecond

func (d *dispatcherQuotas) reply(id uint64, pause time.Duration, ok bool) {
	if ready := d.waiting[id]; ready != nil {
		delete(d.waiting, id)
		ready(d.q.w.time(), pause, ok)
		d.side.touch()
	}
}

func (d *dispatcherQuotas) sendRequest(a quota.LeaseRequest) {
	q := d.q
	q.w.res.Quotas.Requests++
	q.countDispatcherMessage(d.side.at, requestSize(a))
	region := q.w.sc.RegionOf(d.side.at)
	q.send(region, region, func() { q.regions[region].handleRequest(d, a) })
}

func (d *dispatcherQuotas) handleResponse(a quota.LeaseResponse) {
	if !d.side.dead {
		d.holder.HandleResponse(d.now(d.q.w), a)
		d.step()
	}
}

// countInFlight counts what is in flight of a tenant, of no urgent class, from now on.
func (q *quotaSimulation) countInFlight(name string, urgent bool, more int) {
	if urgent {
		return
	}
	f, win := q.inFlight[name], &q.w.sc.Window
	if f == nil {
		f = &tenantInFlight{}
		q.inFlight[name] = f
	}
	if d := min(q.w.now, win.To) - max(f.changedAt, win.From); d > 0 {
		f.sum += d * float64(f.count)
	}
	f.changedAt = q.w.now
	f.count += more
}

type tenantInFlight struct {
	count          int
	changedAt, sum float64
}
