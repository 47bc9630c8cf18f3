package balance

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
)

// eventGenerator delivers random events to one dispatcher. Which event comes next depends on its earlier decisions.
type course struct {
	d        *Dispatcher
	rec      *recorder
	rng      *rand.Rand
	now      Millis
	list     []Worker
	open     []Outcome // attempts in flight; Took is the time of the dispatch
	tries    map[RequestID]int
	wakes    []act // in is the time at which the timer expires
	last     RequestID
	sum      uint64
	verbs    map[string]int
	pace     float64
	mostHeld int
	hopeless int // requests that no worker could take, as found by compareCache ...
	barred   int // ... and requests that may not be sent again
}

func newCourse(t testing.TB, fleet, variant int) *course {
	s := testSettings()
	s.Seed, s.MaxPause, s.Metrics, s.Instances = uint64(fleet*10+variant), 500, []Metric{MetricFreeSlots}, 3
	s.Rules.FallMultiple, s.Prices.CrossZone = 1.5, 0.02
	p := &course{rec: &recorder{}, rng: rand.New(rand.NewPCG(uint64(fleet), uint64(variant))), now: 1.7e12,
		tries: map[RequestID]int{}, verbs: map[string]int{}, pace: 1}
	switch variant {
	case 1:
		s.TellsStart, s.MayCancel, s.Weight, s.MaxAttempts = false, false, WeightNone, 2
	case 2:
		s.Tenants = []Tenant{{Share: 0.5, QuotaPerS: 40}, {Share: 0.3, QuotaPerS: 20}, {Share: 0.2}}
		s.Subscribe, s.WorthByWork, s.MayDuplicate = true, true, false
	case 3:
		s.Rules.FallWindow, s.Rules.WarmAfter = 200, 4000
	case 4: // far too little capacity
		p.pace = 8
	case 5: // keyed requests, high load on cold workers
		s.Rules.FallMultiple, s.Rules.FallWindow, p.pace = 0.4, 2000, 3
	}
	for i := range fleet {
		w := Worker{ID: WorkerID(i*7919 + 5), Kind: i % 2, Zone: p.rng.IntN(s.Zones), Cell: p.rng.IntN(9), State: Ready, Weight: float64(1 + p.rng.IntN(5))}
		if p.rng.IntN(10) < 3 || variant == 5 {
			w.Started = p.now - p.rng.Float64()*s.Rules.WarmAfter
		}
		p.list = append(p.list, w)
	}
	var err error
	p.d, err = New(s, p.rec)
	if err != nil {
		t.Fatal(err)
	}
	p.d.Workers(p.now, ListCached, p.list)
	p.take()
	return p
}

// take adds the decisions to the hash and keeps the attempts and timers that follow from them.
func (p *course) take() {
	for _, a := range p.rec.acts {
		h := fnv.New64a()
		fmt.Fprintf(h, "%x %v", p.sum, a)
		p.sum = h.Sum64()
		p.verbs[a.verb]++
		switch a.verb {
		case "dispatch":
			p.open = append(p.open, Outcome{ID: a.id, Attempt: p.tries[a.id], Worker: a.worker, Took: p.now})
			p.tries[a.id]++
		case "wake":
			a.in += p.now
			p.wakes = append(p.wakes, a)
		}
	}
	p.rec.acts = p.rec.acts[:0]
	p.mostHeld = max(p.mostHeld, len(p.d.held))
}

func (p *course) event() {
	p.now += p.rng.ExpFloat64() * 100 / p.pace / float64(min(len(p.list), 40))
	for i := 0; i < len(p.wakes); i++ {
		if a := p.wakes[i]; a.in <= p.now {
			p.wakes = slices.Delete(p.wakes, i, i+1)
			i = -1
			p.d.Wake(p.now, a.token)
			p.take()
		}
	}
	k := -1
	if len(p.open) > 0 {
		k = p.rng.IntN(len(p.open))
	}
	switch roll := p.rng.IntN(1000); {
	case roll < 450:
		p.last++
		q := Request{ID: p.last, Class: p.rng.IntN(6), Tenant: p.rng.IntN(3), Deadline: p.now + 200 + p.rng.Float64()*3000, Slots: float64(1 + p.rng.IntN(20)/18)}
		if p.rng.IntN(3) > 0 {
			q.Key = uint64(1 + p.rng.IntN(30))
		}
		p.d.Arrive(p.now, q)
	case roll < 850 && k >= 0:
		o := p.open[k]
		p.open = slices.Delete(p.open, k, k+1)
		if o.Took = p.now - o.Took; p.rng.IntN(8) == 0 {
			o.Result = []Result{Error, Full, Full, TimedOut, ConnectFailed, Reset, Cancelled, NotSent}[p.rng.IntN(8)]
		}
		if o.Closed = o.Result == OK; p.rng.IntN(2) == 0 {
			o.Report = []float32{float32(p.rng.IntN(5))}
		}
		p.d.AttemptEnded(p.now, o)
	case roll < 930 && k >= 0:
		o := p.open[k]
		p.d.Progressed(p.now, Progress{ID: o.ID, Attempt: o.Attempt, Worker: o.Worker, Started: p.rng.IntN(2) == 0})
	case roll < 940:
		p.d.Probed(p.now, ProbeResult{Worker: p.list[p.rng.IntN(len(p.list))].ID, Report: []float32{2}})
	case roll < 960:
		p.d.Abandoned(p.now, p.last-RequestID(p.rng.IntN(5)))
	case roll < 964:
		p.d.Workers(p.now, ListFull, p.list)
	case roll < 966:
		p.d.Workers(p.now, ListFailed, nil)
	case roll < 968:
		p.d.SetOverlap(p.rng.IntN(2) == 0)
	case roll < 980: // some workers go, drain, restart or are replaced
		var delta []Worker
		for range 1 + p.rng.IntN(3) {
			w := &p.list[p.rng.IntN(len(p.list))]
			switch p.rng.IntN(6) {
			case 0:
				w.State = Gone
			case 1:
				w.State = Draining
			case 2:
				w.State, w.Started = Ready, p.now
			case 3:
				w.ID += 1 << 20
			default:
				w.State, w.Weight = Ready, float64(1+p.rng.IntN(6))
			}
			delta = append(delta, *w)
		}
		p.d.Workers(p.now, ListDelta, delta)
	}
	p.take()
}
