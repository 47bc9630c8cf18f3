package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// overloadCase is a small fleet simulated in virtual time: dispatchers that each get few requests learn of cold
// workers at the same moment. Workers serve jobs first come, first served.
type overloadCase struct {
	dispatchers, warm, cold, slots int
	aim, work                      Millis  // the settings' aim; the mean running time of a request on a warm worker
	rate                           float64 // requests per second at each dispatcher
	rules                          Rules
	seed                           uint64
}

func (d overloadCase) String() string {
	return fmt.Sprintf("%d dispatchers, %d warm and %d cold of %d slots, aim %v, work %v, seed %d", d.dispatchers, d.warm, d.cold, d.slots, d.aim, d.work, d.seed)
}

type simEvent struct {
	at  Millis
	seq int // sequence number, so that simultaneous events keep their order
	do  func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type simJob struct {
	sender  *simDispatcher
	id      RequestID
	attempt int
	sentAt  Millis
}

type simWorker struct {
	Worker
	freeSlots int
	queue     []simJob
	arrivals  []Millis // arrival times of all attempts, rejected or not
}

// simDispatcher is a simulated dispatcher and its Actions.
type simDispatcher struct {
	sim        *simulation
	dispatcher *Dispatcher
	attempts   map[RequestID]int
}

type simulation struct {
	params  overloadCase
	now     Millis
	lastSeq int
	events  eventQueue
	rng     *rand.Rand
	workers map[WorkerID]*simWorker
}

func (w *simulation) after(in Millis, do func()) {
	w.lastSeq++
	heap.Push(&w.events, simEvent{w.now + in, w.lastSeq, do})
}

const networkDelay = 0.3 // ms from a dispatcher to a worker, and the same back

func (n *simDispatcher) Dispatch(id RequestID, to WorkerID, _ Millis) {
	j := simJob{n, id, n.attempts[id], n.sim.now}
	n.attempts[id]++
	n.sim.after(networkDelay, func() { n.sim.arrive(n.sim.workers[to], j) })
}
func (n *simDispatcher) Wake(in Millis, token uint64) {
	n.sim.after(in, func() { n.dispatcher.Wake(n.sim.now, token) })
}
func (*simDispatcher) Refuse(RequestID, Millis) {}
func (*simDispatcher) Fail(RequestID)           {}
func (*simDispatcher) Cancel(RequestID, int)    {}
func (*simDispatcher) Probe(WorkerID)           {}
func (*simDispatcher) CloseIdle(WorkerID)       {}
func (*simDispatcher) Subscribe()               {}
func (*simDispatcher) Log(string)               {}

// capacity is the least share of a worker's full capacity that the settings promise at a time.
func (w *simulation) capacity(b *simWorker, at Millis) float64 {
	r := w.params.rules
	if age := at - b.Started; b.Started > 0 && age < r.WarmAfter {
		return r.StartCapacity + (1-r.StartCapacity)*max(0, age)/r.WarmAfter
	}
	return 1
}

func (w *simulation) arrive(b *simWorker, j simJob) {
	b.arrivals = append(b.arrivals, w.now)
	if len(b.queue) >= 4*w.params.slots {
		w.answer(b, j, Full)
		return
	}
	b.queue = append(b.queue, j)
	w.serve(b)
}

func (w *simulation) serve(b *simWorker) {
	for b.freeSlots > 0 && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue, b.freeSlots = b.queue[1:], b.freeSlots-1
		w.after(networkDelay, func() {
			j.sender.dispatcher.Progressed(w.now, Progress{ID: j.id, Attempt: j.attempt, Worker: b.ID, Started: true})
		})
		took := w.params.work * (0.5 + w.rng.ExpFloat64()/2) / w.capacity(b, w.now)
		w.after(took, func() {
			b.freeSlots++
			w.answer(b, j, OK)
			w.serve(b)
		})
	}
}

func (w *simulation) answer(b *simWorker, j simJob, r Result) {
	w.after(networkDelay, func() {
		j.sender.dispatcher.AttemptEnded(w.now, Outcome{ID: j.id, Attempt: j.attempt, Worker: b.ID, Result: r, Took: w.now - j.sentAt, Closed: r == OK})
	})
}

// run returns the highest number of requests that a cold worker got in any window relative to the allowed number,
// both numbers, and the worker's age. N + 3·√N + 3 are allowed, where N follows from the least capacity that the
// settings promise at the window's start or, if flat is set, from StartCapacity until the worker is warm.
func (d overloadCase) run(t *testing.T, flat bool) (ratio, got, allowed, age float64) {
	const before, after = 10_000, 12_000
	w := &simulation{params: d, now: 1000, rng: rand.New(rand.NewPCG(d.seed, 7)), workers: map[WorkerID]*simWorker{}}
	startAt := w.now + before + w.rng.Float64()*d.rules.FallWindow // at a random moment of a budget window
	var warm, cold []Worker
	for i := range d.warm + d.cold {
		b := &simWorker{Worker: Worker{ID: WorkerID(100 + i), State: Ready, Weight: float64(d.slots)}, freeSlots: d.slots}
		w.workers[b.ID] = b
		if i < d.warm {
			warm = append(warm, b.Worker)
		} else {
			b.Started = startAt
			cold = append(cold, b.Worker)
		}
	}
	id := RequestID(0)
	for k := range d.dispatchers {
		set := testSettings()
		set.Seed, set.Self, set.Instances, set.Zones, set.ProgressEvery, set.Rules = d.seed<<8|uint64(k), k, d.dispatchers, 1, 0, d.rules
		set.Classes = []Class{{Worth: 1, Aim: d.aim, Stretch: 2, Deadline: 5000, Kind: -1, Effect: Safe}}
		n := &simDispatcher{sim: w, attempts: map[RequestID]int{}}
		var err error
		n.dispatcher, err = New(set, n)
		require.NoError(t, err)
		n.dispatcher.Workers(w.now, ListFull, warm)
		w.after(startAt-w.now, func() { n.dispatcher.Workers(w.now, ListDelta, cold) })
		var arrive func()
		arrive = func() {
			id++
			n.dispatcher.Arrive(w.now, Request{ID: id, Deadline: w.now + 5000, Slots: 1})
			w.after(w.rng.ExpFloat64()*1000/d.rate, arrive)
		}
		w.after(w.rng.ExpFloat64()*1000/d.rate, arrive)
	}
	for w.now < startAt+after {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
	for _, c := range cold {
		b := w.workers[c.ID]
		for i, from := range b.arrivals {
			if from >= startAt+d.rules.WarmAfter {
				break
			}
			capacity := w.capacity(b, from)
			if flat {
				capacity = d.rules.StartCapacity
			}
			n := d.rules.FallMultiple * capacity * float64(d.slots) * d.rules.FallWindow / d.work
			j := i
			for j < len(b.arrivals) && b.arrivals[j] < min(from+d.rules.FallWindow, startAt+d.rules.WarmAfter) { // from then on the worker is warm
				j++
			}
			if limit := n + 3*math.Sqrt(n) + 3; float64(j-i)/limit > ratio {
				ratio, got, allowed, age = float64(j-i)/limit, float64(j-i), limit, from-startAt
			}
		}
	}
	return ratio, got, allowed, age
}

const overloadSeeds = uint64(30)

// worstOverSeeds runs a case with many seeds. It returns the highest number of requests relative to the allowed number, which
// is computed from the growing capacity and from StartCapacity alone.
func (d overloadCase) worstOverSeeds(t *testing.T) (growing, flat float64) {
	var details [2]string
	for seed := range overloadSeeds {
		d.seed = seed
		if ratio, got, allowed, age := d.run(t, false); ratio > growing {
			growing, details[0] = ratio, fmt.Sprintf("%.0f of %.1f (%.2f) at %.0f ms, seed %d", got, allowed, ratio, age, seed)
		}
		if ratio, got, allowed, age := d.run(t, true); ratio > flat {
			flat, details[1] = ratio, fmt.Sprintf("%.0f of %.1f (%.2f) at %.0f ms, seed %d", got, allowed, ratio, age, seed)
		}
	}
	t.Logf("%v: highest, by a growing capacity: %s; by StartCapacity alone: %s", d, details[0], details[1])
	return growing, flat
}

// twentyDispatchers is a case with twenty dispatchers that get one request per second each on average.
func twentyDispatchers(warm, cold, slots int, aim, work Millis) overloadCase {
	rules := testSettings().Rules
	rules.FallWindow, rules.StartCapacity, rules.WarmAfter = 2000, 0.31, 9000
	return overloadCase{dispatchers: 20, warm: warm, cold: cold, slots: slots, aim: aim, work: work, rate: 1, rules: rules}
}

// TestColdBudgetOfSmallFleet: twenty dispatchers, each with about one request per second, learn of cold workers at once.
// In no window of FallWindow does a cold worker get more than N + 3·√N + 3 requests. Where a request's work is the aim,
// this holds even if the capacity stayed StartCapacity until the worker is warm.
func TestColdBudgetOfSmallFleet(t *testing.T) {
	for _, d := range []overloadCase{twentyDispatchers(1, 1, 4, 400, 400), twentyDispatchers(4, 1, 1, 400, 400), twentyDispatchers(0, 1, 1, 400, 400), twentyDispatchers(2, 6, 2, 400, 400),
		twentyDispatchers(4, 1, 4, 400, 800), twentyDispatchers(0, 1, 4, 400, 800), twentyDispatchers(2, 1, 1, 120, 400), twentyDispatchers(4, 1, 4, 120, 1200)} {
		growing, flat := d.worstOverSeeds(t)
		assert.Less(t, growing, 1.0, "%v", d)
		if d.work == d.aim {
			assert.Less(t, flat, 1.0, "%v", d)
		}
	}
}
