package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleetCase is a simulation in virtual time of a fleet of dispatchers that begin to use cold workers. Its parameters are
// drawn from its seed.
type coldFleet struct {
	seed             uint64
	nodes, zones     int     // dispatchers, and zones of them and of the backends
	down             float64 // share of the dispatchers that get no requests
	warm, cold       int     // numbers of workers
	again            bool    // the cold workers are restarted ones with the same ID
	spread           Millis  // time over which the cold workers start
	slots            []int   // slots of a worker, by its kind ...
	one              bool    // ... with all workers of kind 0 but with these different slots
	speeds           float64 // greatest deviation of a worker's speed from 1
	work             Millis  // mean running time of the first class on a warm worker
	mix              float64 // running time of the second class relative to the first
	share            float64 // share of requests of the second class
	wide             float64 // share of requests that take two slots
	aim, stretch     float64 // of both classes, as multiples of their work
	load             float64 // relative to the capacity of all workers once they are warm
	skew             float64 // of the dispatchers' shares of the load: 0 is even, with 1 some have several times the mean
	notice           Millis  // greatest delay until a dispatcher learns of a start
	bad              float64 // share of the warm workers that answer with errors
	queue            int     // requests that a worker queues per slot
	restarts, killed float64 // restarts of dispatchers while workers are cold, and the share of the dispatchers restarted
	cross            float64
	rules            Rules
}

func drawColdFleet(seed uint64) coldFleet {
	g := rand.New(rand.NewPCG(seed, 33))
	of := func(from, to float64) float64 { return from + (to-from)*g.Float64() }
	pick := func(all ...int) int { return all[g.IntN(len(all))] }
	r := testSettings().Rules
	r.FallWindow, r.FallMultiple = of(1000, 3000), of(2, 4)
	r.StartCapacity, r.WarmAfter = of(0.2, 0.5), of(5000, 10000)
	f := coldFleet{seed: seed, rules: r, nodes: pick(1, 2, 4, 8, 20, 30, 60, 120, 300), zones: pick(1, 1, 2), work: of(100, 800),
		mix: of(1, 3), aim: of(0.4, 1), stretch: of(1, 2), load: of(0.4, 1.2), skew: of(0, 1), notice: of(0, 6000),
		queue: pick(1, 4, 10), cross: float64(pick(0, 0, 1)) * of(0, 0.05), speeds: of(0, 0.3), spread: of(0, 7000)}
	f.slots = [][]int{{1}, {2}, {4}, {4, 5}, {12}, {1, 2, 4}, {2, 16}}[g.IntN(7)]
	all := pick(4, 10, 20, 40)
	if f.nodes >= 120 && g.IntN(3) == 0 {
		all = 200
	}
	switch g.IntN(3) {
	case 0:
		f.warm, f.cold = all, 1
	case 1:
		f.warm, f.cold = all*4/10, all*6/10
	default:
		f.warm, f.cold = all/2, all/2 // with two zones, one of them comes back
	}
	if g.IntN(3) == 0 {
		f.again = true
	}
	if g.IntN(3) == 0 {
		f.bad = of(0.05, 0.3)
	}
	if g.IntN(2) == 0 {
		f.restarts, f.killed = float64(pick(1, 3)), of(0.1, 0.7)
	}
	if g.IntN(4) == 0 {
		f.down = of(0.1, 0.4)
	}
	if g.IntN(3) == 0 && f.slots[0] > 1 {
		f.wide = 0.2
	}
	f.one = g.IntN(4) == 0
	f.share = 0.5
	if g.IntN(2) == 0 { // aims that say little about the running times, and less about their mean
		f.share, f.mix, f.aim, f.stretch = of(0.05, 0.95), of(1, 4), of(0.3, 1), of(0, 2)
	}
	return f
}

// fleetJob is an attempt on its way or on a worker.
type coldJob struct {
	by      *coldNode
	gen     int
	id      RequestID
	attempt int
	class   int
	slots   float64
	sent    Millis
}

// coldArrival is an arrival at a cold worker: its time, its work relative to a request of mean work, and whether its
// dispatcher knew of the start.
type coldCame struct {
	at, work float64
	told     bool
}

type coldBackend struct {
	Worker
	slots, free, speed float64
	bad                bool
	gen                int // number of its process
	queue              []coldJob
	came               []coldCame // at the cold process
}

type coldNode struct {
	w        *coldWorld
	d        *Dispatcher
	self     int
	zone     int
	gen      int
	rate     float64
	attempts map[RequestID]int
	reqs     map[RequestID]Request
	told     map[WorkerID]bool
	list     map[WorkerID]Worker // last known entries, which its agent keeps
}

type coldWorld struct {
	coldFleet
	now      Millis
	made     int
	last     RequestID
	queue    fallQueue
	rng      *rand.Rand
	backends map[WorkerID]*coldBackend
	works    [2]float64 // of the classes
}

func (w *coldWorld) after(in Millis, do func()) {
	w.made++
	heap.Push(&w.queue, fallEvent{w.now + in, w.made, do})
}

func (n *coldNode) Dispatch(id RequestID, to WorkerID, _ Millis) {
	q := n.reqs[id]
	j := coldJob{n, n.gen, id, n.attempts[id], q.Class, q.Slots, n.w.now}
	n.attempts[id]++
	known := n.told[to] || !n.w.again
	n.w.after(networkDelay, func() { n.w.take(n.w.backends[to], j, known) })
}
func (n *coldNode) Wake(in Millis, token uint64) {
	gen := n.gen
	n.w.after(in, func() {
		if n.gen == gen {
			n.d.Wake(n.w.now, token)
		}
	})
}
func (*coldNode) Refuse(RequestID, Millis) {}
func (*coldNode) Fail(RequestID)           {}
func (*coldNode) Cancel(RequestID, int)    {}
func (*coldNode) Probe(WorkerID)           {}
func (*coldNode) CloseIdle(WorkerID)       {}
func (*coldNode) Subscribe()               {}
func (*coldNode) Log(string)               {}

func (n *coldNode) hear(list ...Worker) {
	for _, e := range list {
		n.list[e.ID] = e
		n.told[e.ID] = n.told[e.ID] || e.Started > 0
	}
	n.d.Workers(n.w.now, ListDelta, list)
}

// restart makes a new process, which gets at once the entries that its agent knows.
func (n *coldNode) begin(t *testing.T, index []WorkerID) {
	w, set := n.w, testSettings()
	set.Seed, set.Self, set.Instances, set.Zone, set.Zones, set.ProgressEvery = w.seed<<12|uint64(n.self), n.self, w.nodes, n.zone, w.zones, 0
	set.Rules, set.Kinds, set.MaxAttempts, set.Weight, set.Prices.CrossZone = w.rules, len(w.slots), 5, WeightSize, w.cross
	set.Classes = []Class{{Effect: Safe}, {Effect: Deduped, Scope: ScopeCell, RepeatWindow: 7500}}
	for i := range set.Classes {
		c := &set.Classes[i]
		c.Worth, c.Aim, c.Stretch, c.Deadline, c.Kind = 1, w.aim*w.works[i], w.stretch, 5000, -1
	}
	n.gen++
	n.attempts, n.reqs = map[RequestID]int{}, map[RequestID]Request{}
	var err error
	n.d, err = New(set, n)
	require.NoError(t, err)
	var list []Worker
	for _, id := range index {
		if e, known := n.list[id]; known {
			list = append(list, e)
		}
	}
	n.d.Workers(w.now, ListFull, list)
}

func (n *coldNode) arrive() {
	w := n.w
	w.last++
	q := Request{ID: w.last, Deadline: w.now + 5000, Slots: 1}
	if w.rng.Float64() < w.share {
		q.Class = 1
	}
	if w.rng.Float64() < w.wide {
		q.Slots = 2
	}
	n.reqs[q.ID] = q
	n.d.Arrive(w.now, q)
	w.after(w.rng.ExpFloat64()*1000/n.rate, n.arrive)
}

// capacityShare is the least share of a worker's full capacity that the settings promise at a time.
func (w *coldWorld) warmth(b *coldBackend, at Millis) float64 {
	if age := at - b.Started; b.Started > 0 && age < w.rules.WarmAfter {
		return w.rules.StartCapacity + (1-w.rules.StartCapacity)*max(0, age)/w.rules.WarmAfter
	}
	return 1
}

// meanWork is the mean work of a request: its running time on a warm worker of speed 1 times its slots.
func (w *coldWorld) mean() float64 {
	return (w.works[0]*(1-w.share) + w.works[1]*w.share) * (1 + w.wide)
}

func (w *coldWorld) take(b *coldBackend, j coldJob, startKnown bool) {
	if b.Started > 0 {
		b.came = append(b.came, coldCame{w.now, w.works[j.class] * j.slots / w.mean(), startKnown})
	}
	switch {
	case b.bad:
		w.answer(b, j, Error)
	case float64(len(b.queue)) >= float64(w.coldFleet.queue)*b.slots:
		w.answer(b, j, Full)
	default:
		b.queue = append(b.queue, j)
		w.serve(b)
	}
}

func (w *coldWorld) serve(b *coldBackend) {
	for len(b.queue) > 0 && b.free >= min(b.queue[0].slots, b.slots) {
		j, gen := b.queue[0], b.gen
		need := min(j.slots, b.slots)
		b.queue, b.free = b.queue[1:], b.free-need
		w.after(networkDelay, func() {
			if j.by.gen == j.gen {
				j.by.d.Progressed(w.now, Progress{ID: j.id, Attempt: j.attempt, Worker: b.ID, Started: true})
			}
		})
		took := w.works[j.class] * (0.5 + w.rng.ExpFloat64()/2) / w.warmth(b, w.now) / b.speed
		w.after(took, func() {
			if b.gen != gen { // the worker's process has ended
				w.answer(b, j, Reset)
				return
			}
			b.free += need
			w.answer(b, j, OK)
			w.serve(b)
		})
	}
}

func (w *coldWorld) answer(b *coldBackend, j coldJob, r Result) {
	w.after(networkDelay, func() {
		if j.by.gen == j.gen {
			j.by.d.AttemptEnded(w.now, Outcome{ID: j.id, Attempt: j.attempt, Worker: b.ID, Result: r, Took: w.now - j.sent, Closed: r == OK})
		}
	})
}

// fleetResult is the result of a case: the highest number of requests that a cold worker got in any FallWindow relative to
// N + 2·√N + 2, where N follows from the least capacity that the settings promise at the window's start; and the used share
// of that least capacity, from when all dispatchers know of the start.
type coldResult struct {
	part, got, most, age float64
	used, able           float64
	retries              int
}

func (f coldFleet) play(t *testing.T) (res coldResult) {
	const before = 6000
	w := &coldWorld{coldFleet: f, now: 1e6, rng: rand.New(rand.NewPCG(f.seed, 7)), backends: map[WorkerID]*coldBackend{}}
	w.works = [2]float64{f.work, f.work * f.mix}
	startAt := w.now + before + w.rng.Float64()*f.rules.FallWindow
	end := startAt + f.spread + f.notice + f.rules.WarmAfter
	var index []WorkerID
	capacity := 0.0
	for i := range f.warm + f.cold {
		kind := w.rng.IntN(len(f.slots))
		slots := float64(f.slots[kind])
		if f.one {
			kind = 0
		}
		b := &coldBackend{slots: slots, free: slots, speed: 1 + f.speeds*(2*w.rng.Float64()-1)}
		b.Worker = Worker{ID: WorkerID(hash(f.seed+uint64(i))*(1<<52)) + 1, State: Ready, Kind: kind, Weight: slots, Zone: i % f.zones, Cell: i % 5}
		b.bad = i < f.warm && w.rng.Float64() < f.bad
		w.backends[b.ID] = b
		index = append(index, b.ID)
		capacity += slots * b.speed
	}
	rate, shares, sum := f.load*capacity*1000/w.mean(), make([]float64, f.nodes), 0.0
	for k := range shares {
		shares[k] = math.Exp(f.skew * w.rng.NormFloat64())
		sum += shares[k]
	}
	nodes := make([]*coldNode, f.nodes)
	for k := range nodes {
		n := &coldNode{w: w, self: k, zone: k % f.zones, rate: rate * shares[k] / sum, told: map[WorkerID]bool{}, list: map[WorkerID]Worker{}}
		nodes[k] = n
		for i, id := range index {
			if i < f.warm || f.again {
				n.list[id] = w.backends[id].Worker
			}
		}
		n.begin(t, index)
		if k == 0 || w.rng.Float64() >= f.down {
			w.after(w.rng.ExpFloat64()*1000/n.rate, n.arrive)
		}
	}
	for _, id := range index[f.warm:] {
		b, at := w.backends[id], startAt+w.rng.Float64()*f.spread
		w.after(at-w.now, func() {
			b.Started, b.gen, b.free, b.queue = w.now, b.gen+1, b.slots, nil
			for _, n := range nodes {
				w.after(w.rng.Float64()*f.notice, func() { n.hear(b.Worker) })
			}
		})
	}
	for range int(f.restarts) {
		at := startAt + w.rng.Float64()*(end-startAt)
		for _, n := range nodes {
			if w.rng.Float64() < f.killed {
				w.after(at-w.now+w.rng.Float64()*500, func() { n.begin(t, index) })
			}
		}
	}
	for w.now < end {
		e := heap.Pop(&w.queue).(fallEvent)
		w.now = e.at
		e.do()
	}
	for _, id := range index[f.warm:] {
		b := w.backends[id]
		knownAt, warmAt := b.Started+f.notice, b.Started+f.rules.WarmAfter
		for i, first := range b.came {
			from := first.at
			if from >= warmAt {
				break
			}
			n := f.rules.FallMultiple * w.warmth(b, from) * b.slots * b.speed * f.rules.FallWindow / w.mean()
			allowed, all, withStartKnown := n+2*math.Sqrt(n)+2, 0.0, 0.0
			for j := i; j < len(b.came) && b.came[j].at < min(from+f.rules.FallWindow, warmAt); j++ {
				all += b.came[j].work
				if b.came[j].told {
					withStartKnown += b.came[j].work
				}
			}
			if withStartKnown > all*2/3 && all/allowed > res.part { // otherwise dispatchers that did not know of the start caused it
				res.part, res.got, res.most, res.age = all/allowed, all, allowed, from-b.Started
			}
			if from >= knownAt {
				res.used += first.work
			}
		}
		if knownAt < warmAt {
			res.able += (w.warmth(b, knownAt) + 1) / 2 * (warmAt - knownAt) * b.slots * b.speed / w.mean()
		}
	}
	for _, n := range nodes {
		for _, a := range n.attempts {
			res.retries += max(0, a-1)
		}
	}
	return res
}

// TestColdBudgetOfRandomFleets: with 1 to 300 dispatchers, whatever their shares of the load, their restarts and the times at
// which they learn of cold workers, no cold worker gets more than N + 2·√N + 2 requests of mean work in any window. If there is
// more work than warm workers can take, the cold ones do a good part of what they can, even though in some cases the list is
// late or dispatchers are down.
func TestFleetFall(t *testing.T) {
	seeds := []uint64{
		1142, 1192, // several sizes: workers of each size got one job per window from each dispatcher
		1122, 1434, // several sizes of one kind: a small worker was given the slots seen on a large one
	}
	days := uint64(8)
	if s := os.Getenv("COLD_DAYS"); s != "" { // for a longer run
		var err error
		days, err = strconv.ParseUint(s, 10, 64)
		require.NoError(t, err)
	}
	for seed := range days {
		seeds = append(seeds, seed)
	}
	worst, used, busy := 0.0, 0.0, 0.0
	for _, seed := range seeds {
		f := drawColdFleet(seed)
		r := f.play(t)
		details := fmt.Sprintf("%.1f of %.1f (%.2f) at %.0f ms; used %.2f of the cold capacity; %d retries: %+v",
			r.got, r.most, r.part, r.age, r.used/max(r.able, 1e-9), r.retries, f)
		t.Log(details)
		assert.LessOrEqual(t, r.part, 1.0, details)
		worst = max(worst, r.part)
		if f.load >= 0.8 && r.able > 0 {
			used, busy = used+r.used/r.able, busy+1
		}
	}
	t.Logf("highest: %.2f of the bound; in busy cases %.2f of the cold capacity was used", worst, used/busy)
	assert.Greater(t, used/busy, 0.4, "used share of the cold capacity, in busy cases")
}
