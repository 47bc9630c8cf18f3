package sim

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/quota"
)

// dispatcherQuotas is a dispatcher's side: the core's Quotas by the real Desk, with the real Holder.
type dispatcherQuotas struct {
	clock
	q      *quotaSimulation
	side   *side
	desk   *quota.Limiter
	holder *quota.Holder
	last   uint64
	ready  map[uint64]func(time.Time, time.Duration, bool)
	set    bool           // a turn is set for this moment
	held   map[string]int // what was held last, for the seeded fault
	flying map[uint64]account
}

type account struct {
	name   string
	urgent bool
	came   float64
}

func newDispatcherQuotas(s *side) (*dispatcherQuotas, error) {
	q := s.w.quotas
	d := &dispatcherQuotas{clock: q.clock(), q: q, side: s, desk: quota.NewLimiter(), ready: map[uint64]func(time.Time, time.Duration, bool){}, held: map[string]int{}, flying: map[uint64]account{}}
	var err error
	if d.holder, err = quota.NewHolder(q.set.down(), fmt.Sprint("n", s.at), q.life(), false); err != nil {
		return nil, err
	}
	d.desk.SetQuotas(d.now(s.w), q.accounts())
	d.soon()
	return d, nil
}

// soon sets a turn for this moment: the core is in the middle of an event.
func (d *dispatcherQuotas) soon() {
	if d.set {
		return
	}
	d.set = true
	d.q.w.at(d.q.w.now, func() { d.set = false; d.turn() })
}

// Acquire asks for room: core.Quotas.
func (d *dispatcherQuotas) Acquire(tenant, class int, until time.Time, ready func(time.Time, time.Duration, bool)) (leave func()) {
	w := d.q.w
	d.last++
	id, name := d.last, ""
	if tenant < len(w.sc.Tenants) {
		name = w.sc.Tenants[tenant].Name
	}
	a := account{name, d.q.urgent[class], w.now}
	patience := float64(until.Sub(origin))/1e6 - w.now
	if d.desk.Acquire(d.now(w), id, name, a.urgent, d.now(w)+quota.Time(patience*1e6*d.rate)) {
		d.begun(id, a)
		ready(w.time(), 0, true)
	} else {
		d.ready[id] = func(from time.Time, pause time.Duration, ok bool) {
			if ok {
				d.begun(id, a)
			}
			ready(from, pause, ok)
		}
		d.soon()
	}
	return func() {
		delete(d.ready, id)
		d.desk.Release(id)
		d.ended(id)
		d.soon()
	}
}

// MaxHold is the longest that room may be held.
func (d *dispatcherQuotas) MaxHold() time.Duration { return msToDuration(d.q.set.MaxRunTime) }

func (d *dispatcherQuotas) begun(id uint64, a account) {
	d.flying[id] = a
	d.q.passes(a.name, a.urgent, 1)
	if d.q.alone(d.q.w.sc.RegionOf(d.side.at)) {
		d.q.w.res.Quotas.StartedIsolated++
	}
	if w := d.q.w; a.urgent && w.tenants.inWindow(a.came) {
		_ = w.res.Quotas.UrgentGrantDelay.RecordValue(int64((w.now-a.came)*1000) + 1) // in its bounds: patience is shorter
	}
	d.q.flight.HandleStart(d.q.w.now, a.name, a.urgent)
}

func (d *dispatcherQuotas) ended(id uint64) {
	if a, flies := d.flying[id]; flies {
		delete(d.flying, id)
		d.q.passes(a.name, a.urgent, -1)
		d.q.flight.HandleEnd(a.name, a.urgent)
	}
}

// stop takes what was in flight at a dispatcher that was killed out of the count, once its attempts are called off; one
// that ends in order says then that it holds nothing.
func (d *dispatcherQuotas) stop(orderly bool) {
	w := d.q.w
	w.at(w.now+2*w.sc.Latency, func() {
		for id := range d.flying {
			d.desk.Release(id)
			d.ended(id)
		}
		if !orderly {
			return
		}
		for id := range d.ready {
			d.desk.Release(id)
		}
		d.desk.SetQuotas(d.now(w), nil) // nothing is wanted ahead of need
		d.desk.TakeUsageChanges(d.holder.SetUsage)
		d.holder.HandlePoll()
		d.holder.HandleReconnect() // it waits for no answer
		if a, ok := d.holder.NextRequest(d.now(w)); ok {
			d.ask(a)
		}
	})
}

func (d *dispatcherQuotas) units(name string) int {
	units := d.holder.Units(d.now(d.q.w), name)
	if !d.q.set.faultKeepUnits {
		return units
	}
	d.held[name] = max(d.held[name], units) // the seeded fault: what was held once is held for good
	return d.held[name]
}

// turn carries out what the desk and the holder want.
func (d *dispatcherQuotas) turn() {
	if d.side.dead {
		return
	}
	w := d.q.w
	begin, refuse := d.desk.Admit(d.now(w), d.units)
	for _, id := range begin {
		d.say(id, 0, true)
	}
	for _, id := range refuse {
		w.res.Quotas.Refused++
		d.say(id, refusedPause, false)
	}
	d.desk.TakeUsageChanges(d.holder.SetUsage)
	if a, ok := d.holder.NextRequest(d.now(w)); ok {
		d.ask(a)
	}
	d.again(w, min(d.holder.NextRequestTime(), d.desk.NextTimeout()), d.turn)
}

// refusedPause is advised to clients of reqs that had no room in time.
const refusedPause = 500 * time.Millisecond

func (d *dispatcherQuotas) say(id uint64, pause time.Duration, ok bool) {
	if ready := d.ready[id]; ready != nil {
		delete(d.ready, id)
		ready(d.q.w.time(), pause, ok)
		d.side.touch()
	}
}

func (d *dispatcherQuotas) ask(a quota.LeaseRequest) {
	q := d.q
	q.w.res.Quotas.Requests++
	q.near(d.side.at, sizeOfAsk(a))
	region := q.w.sc.RegionOf(d.side.at)
	q.carry(region, region, func() { q.regions[region].take(d, a) })
}

func (d *dispatcherQuotas) answered(a quota.LeaseResponse) {
	if !d.side.dead {
		d.holder.HandleResponse(d.now(d.q.w), a)
		d.turn()
	}
}

// passes counts what is in flight of a tenant, of no urgent class, from now on.
func (q *quotaSimulation) passes(name string, urgent bool, more int) {
	if urgent {
		return
	}
	f, win := q.mean[name], &q.w.sc.Window
	if f == nil {
		f = &inFlight{}
		q.mean[name] = f
	}
	if d := min(q.w.now, win.To) - max(f.since, win.From); d > 0 {
		f.sum += d * float64(f.now)
	}
	f.since = q.w.now
	f.now += more
}

type inFlight struct {
	now        int
	since, sum float64
}
