package balance

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
)

// eventGenerator delivers random events to one dispatcher. Which event comes next depends on its earlier decisions.
type eventGenerator struct {
	dispatcher  *Dispatcher
	recorder    *recorder
	rng         *rand.Rand
	now         Millis
	workers     []Worker
	inFlight    []Outcome // attempts in flight; Took is the time of the dispatch
	attempts    map[RequestID]int
	timers      []action // in is the time at which the timer expires
	lastID      RequestID
	hash        uint64
	verbCounts  map[string]int
	load        float64
	maxHeld     int
	unplaceable int // requests that no worker could take, as found by compareCache ...
	blocked     int // ... and requests that may not be sent again
}

func newEventGenerator(t testing.TB, fleet, variant int) *eventGenerator {
	s := testSettings()
	s.Seed, s.MaxPause, s.Metrics, s.Instances = uint64(fleet*10+variant), 500, []Metric{MetricFreeSlots}, 3
	s.Rules.FallMultiple, s.Prices.CrossZone = 1.5, 0.02
	p := &eventGenerator{recorder: &recorder{}, rng: rand.New(rand.NewPCG(uint64(fleet), uint64(variant))), now: 1.7e12,
		attempts: map[RequestID]int{}, verbCounts: map[string]int{}, load: 1}
	switch variant {
	case 1:
		s.TellsStart, s.MayCancel, s.Weight, s.MaxAttempts = false, false, WeightNone, 2
	case 2:
		s.Tenants = []Tenant{{Share: 0.5, QuotaPerS: 40}, {Share: 0.3, QuotaPerS: 20}, {Share: 0.2}}
		s.Subscribe, s.WorthByWork, s.MayDuplicate = true, true, false
	case 3:
		s.Rules.FallWindow, s.Rules.WarmAfter = 200, 4000
	case 4: // far too little capacity
		p.load = 8
	case 5: // keyed requests, high load on cold workers
		s.Rules.FallMultiple, s.Rules.FallWindow, p.load = 0.4, 2000, 3
	}
	for i := range fleet {
		w := Worker{ID: WorkerID(i*7919 + 5), Kind: i % 2, Zone: p.rng.IntN(s.Zones), Cell: p.rng.IntN(9), State: Ready, Weight: float64(1 + p.rng.IntN(5))}
		if p.rng.IntN(10) < 3 || variant == 5 {
			w.Started = p.now - p.rng.Float64()*s.Rules.WarmAfter
		}
		p.workers = append(p.workers, w)
	}
	var err error
	p.dispatcher, err = New(s, p.recorder)
	if err != nil {
		t.Fatal(err)
	}
	p.dispatcher.Workers(p.now, ListCached, p.workers)
	p.takeActions()
	return p
}

// takeActions adds the decisions to the hash and keeps the attempts and timers that follow from them.
func (p *eventGenerator) takeActions() {
	for _, a := range p.recorder.actions {
		h := fnv.New64a()
		fmt.Fprintf(h, "%x %v", p.hash, a)
		p.hash = h.Sum64()
		p.verbCounts[a.verb]++
		switch a.verb {
		case "dispatch":
			p.inFlight = append(p.inFlight, Outcome{ID: a.id, Attempt: p.attempts[a.id], Worker: a.worker, Took: p.now})
			p.attempts[a.id]++
		case "wake":
			a.in += p.now
			p.timers = append(p.timers, a)
		}
	}
	p.recorder.actions = p.recorder.actions[:0]
	p.maxHeld = max(p.maxHeld, len(p.dispatcher.held))
}

func (p *eventGenerator) deliverEvent() {
	p.now += p.rng.ExpFloat64() * 100 / p.load / float64(min(len(p.workers), 40))
	for i := 0; i < len(p.timers); i++ {
		if a := p.timers[i]; a.in <= p.now {
			p.timers = slices.Delete(p.timers, i, i+1)
			i = -1
			p.dispatcher.Wake(p.now, a.token)
			p.takeActions()
		}
	}
	k := -1
	if len(p.inFlight) > 0 {
		k = p.rng.IntN(len(p.inFlight))
	}
	switch roll := p.rng.IntN(1000); {
	case roll < 450:
		p.lastID++
		q := Request{ID: p.lastID, Class: p.rng.IntN(6), Tenant: p.rng.IntN(3), Deadline: p.now + 200 + p.rng.Float64()*3000, Slots: float64(1 + p.rng.IntN(20)/18)}
		if p.rng.IntN(3) > 0 {
			q.Key = uint64(1 + p.rng.IntN(30))
		}
		p.dispatcher.Arrive(p.now, q)
	case roll < 850 && k >= 0:
		o := p.inFlight[k]
		p.inFlight = slices.Delete(p.inFlight, k, k+1)
		if o.Took = p.now - o.Took; p.rng.IntN(8) == 0 {
			o.Result = []Result{Error, Full, Full, TimedOut, ConnectFailed, Reset, Cancelled, NotSent}[p.rng.IntN(8)]
		}
		if o.Closed = o.Result == OK; p.rng.IntN(2) == 0 {
			o.Report = []float32{float32(p.rng.IntN(5))}
		}
		p.dispatcher.AttemptEnded(p.now, o)
	case roll < 930 && k >= 0:
		o := p.inFlight[k]
		p.dispatcher.Progressed(p.now, Progress{ID: o.ID, Attempt: o.Attempt, Worker: o.Worker, Started: p.rng.IntN(2) == 0})
	case roll < 940:
		p.dispatcher.Probed(p.now, ProbeResult{Worker: p.workers[p.rng.IntN(len(p.workers))].ID, Report: []float32{2}})
	case roll < 960:
		p.dispatcher.Abandoned(p.now, p.lastID-RequestID(p.rng.IntN(5)))
	case roll < 964:
		p.dispatcher.Workers(p.now, ListFull, p.workers)
	case roll < 966:
		p.dispatcher.Workers(p.now, ListFailed, nil)
	case roll < 968:
		p.dispatcher.SetOverlap(p.rng.IntN(2) == 0)
	case roll < 980: // some workers go, drain, restart or are replaced
		var delta []Worker
		for range 1 + p.rng.IntN(3) {
			w := &p.workers[p.rng.IntN(len(p.workers))]
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
		p.dispatcher.Workers(p.now, ListDelta, delta)
	}
	p.takeActions()
}
