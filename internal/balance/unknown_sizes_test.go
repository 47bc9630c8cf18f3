package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startWithUnknownSizes starts a dispatcher for workers whose sizes are not known, of two kinds, the second twice as fast as the
// first.
func startWithUnknownSizes(t *testing.T, instances int) (*Dispatcher, *recorder) {
	s := testSettings()
	s.Zones, s.Instances, s.Weight = 1, instances, WeightNone
	list := make([]Worker, 8)
	for i := range list {
		list[i] = Worker{ID: WorkerID(1 + i), Kind: i % 2, State: Ready, Weight: 1}
	}
	d, rec := startDispatcher(t, s, list)
	d.kindTimeRatio[0], d.kindTimeRatio[1] = 4.0/3, 2.0/3
	return d, rec
}

// TestInitialLimitWithUnknownSizes: a dispatcher that has just started has capacity for about four jobs per worker. It
// used to assume one slot per worker, and held or refused requests until reported starts had shown more.
func TestInitialLimitWithUnknownSizes(t *testing.T) {
	d, rec := startWithUnknownSizes(t, 1)
	placed := 0
	for i := range 32 {
		if dispatchedTo(d, rec, 10, newRequest(i, 0)) != 0 {
			placed++
		}
	}
	assert.Equal(t, 32, placed, "of 32 jobs for 8 workers")
}

// TestSizesAreLearnedFromStarts: jobs that run at the same time on a worker show how many slots its kind has at least. A
// second copy may then use a free one of them; with the assumed single slot there never was one.
func TestSizesAreLearnedFromStarts(t *testing.T) {
	d, rec := startWithUnknownSizes(t, 1)
	at := map[WorkerID]int{}
	for i := range 32 {
		w := dispatchedTo(d, rec, 10, newRequest(i, 0))
		at[w]++
		d.Progressed(20, Progress{ID: RequestID(i), Worker: w, Started: true})
	}
	highest := [2]int{}
	for w, n := range at {
		k := d.workers[d.workerIndex[w]].Kind
		highest[k] = max(highest[k], n)
	}
	assert.Equal(t, []float64{float64(highest[0]), float64(highest[1])}, d.kindMaxRunning)
	for i := range 32 {
		d.AttemptEnded(30, Outcome{ID: RequestID(i), Worker: d.workers[d.requests[RequestID(i)].attempts[0].workerIndex].ID, Took: 10, Closed: true})
	}
	for i := range d.workers {
		assert.Zero(t, d.workers[i].runningSlots)
	}
	one := &request{Request: newRequest(99, 0)}
	one.Slots = 1
	w := &d.workers[1]
	w.ownSlots, w.otherSlots, d.zoneOtherSlots[0] = 1, 0, 0
	assert.True(t, d.hasFreeSlots(1e6, w, one), "one of several slots is taken")
}

// TestUnsafeJobsPreferFastWorkers: an Unsafe job is lost if the dispatcher ends while it is in flight. It goes to the
// faster kind while that has a free slot, where Safe jobs begin to spread to the slower one.
func TestUnsafeJobsPreferFastWorkers(t *testing.T) {
	slow := func(class int) (n int) {
		d, rec := startWithUnknownSizes(t, 1)
		d.kindMaxRunning[0], d.kindMaxRunning[1] = 4, 4
		for i := range 16 {
			n += int(dispatchedTo(d, rec, 10, newRequest(i, class))) % 2
		}
		return n
	}
	safe, unsafe := slow(0), slow(1)
	assert.Greater(t, safe, unsafe, "of 16 jobs on slow workers")
	assert.LessOrEqual(t, unsafe, 3)
}

// TestManyDispatchersSpread: where there are more dispatchers than slots, an idle slow worker differs from an idle fast
// one only in the draw. Otherwise all dispatchers would fill the fast workers at once.
func TestManyDispatchersSpread(t *testing.T) {
	slow := 0
	for i := range 60 {
		d, rec := startWithUnknownSizes(t, 300)
		d.rng = rand.New(rand.NewPCG(uint64(i), 1))
		slow += int(dispatchedTo(d, rec, 10, newRequest(1, 1))) % 2
	}
	assert.Greater(t, slow, 4, "of 60 first jobs, on slow workers")

	d, rec := startWithUnknownSizes(t, 300)
	d.kindTimeRatio[0], d.kindTimeRatio[1], d.slotLimit = 1.01, 0.99, 100 // hardly slower
	slow = 0
	for i := range 8 { // one job on each worker, all preferred
		dispatchedTo(d, rec, 10, newRequest(i, 0))
	}
	for i := range 40 { // all have one job: a finer load would send each of these to the faster kind
		d.rng = rand.New(rand.NewPCG(uint64(i), 2))
		slow += int(dispatchedTo(d, rec, 11, newRequest(100+i, 0))) % 2
		d.AttemptEnded(12, Outcome{ID: RequestID(100 + i), Worker: d.workers[d.requests[RequestID(100+i)].attempts[0].workerIndex].ID, Result: Reset, Closed: true})
		for k := range d.workers {
			d.workers[k].backoffLevel, d.workers[k].avoidUntil = 0, 0
		}
	}
	assert.Greater(t, slow, 8, "of 40 second jobs, on slow workers")
}

// TestLastAttemptsWaitForASlot: full workers reject at once. After three rejections in a row, a few milliseconds apart,
// the two remaining attempts are not spent on others; they wait until a job of this dispatcher succeeds.
func TestLastAttemptsWaitForASlot(t *testing.T) {
	for instances, wait := range map[int]bool{1: true, 300: false} { // among many dispatchers, the end of an own job is far off
		s := testSettings()
		s.Zones, s.MaxAttempts, s.Instances = 1, 5, instances
		d, rec := startDispatcher(t, s, oneZone(8))
		own := dispatchedTo(d, rec, 10, newRequest(1, 1))
		w := dispatchedTo(d, rec, 11, newRequest(2, 1))
		var again []action
		for k := range 3 {
			rec.actions = rec.actions[:0]
			d.AttemptEnded(12+Millis(k), Outcome{ID: 2, Attempt: k, Worker: w, Result: Full, Took: 1})
			if again = rec.take("dispatch"); k < 2 {
				require.Len(t, again, 1)
				w = again[0].worker
			}
		}
		if !wait {
			assert.Len(t, again, 1, "after the third")
			continue
		}
		assert.Empty(t, again, "after the third")
		d.AttemptEnded(60, Outcome{ID: 1, Worker: own, Took: 50, Closed: true})
		if again = rec.take("dispatch"); assert.Len(t, again, 1, "a slot is free") {
			assert.Equal(t, RequestID(2), again[0].id)
		}
	}
}

// TestJobWithoutEnoughTimeIsNotSent: in a shutdown a request has a second or two left. A job that runs for longer would be
// cut off: its work is wasted and, if it is Unsafe, the request is lost. It is refused at once without being sent.
func TestJobWithoutEnoughTimeIsNotSent(t *testing.T) {
	d, rec := startWithUnknownSizes(t, 1)
	d.classTime[1] = 3000
	assert.NotZero(t, dispatchedTo(d, rec, 10, withDeadline(newRequest(1, 1), 2000)), "two thirds of its mean time are left")
	rec.actions = rec.actions[:0]
	d.Arrive(10, withDeadline(newRequest(2, 1), 1000))
	assert.Empty(t, d.held)
	assert.Len(t, rec.take("refuse"), 1)
}

// TestRestartedWorkerKeepsItsSlotEstimate: attempts at a process that is gone may stay in flight for long if its machine
// does not respond. They must not count as running beside the jobs of the next process, or the worker's kind would be
// taken to have twice the slots from then on.
func TestRestartedWorkerKeepsItsSlotEstimate(t *testing.T) {
	d, rec := startWithUnknownSizes(t, 1)
	list := []Worker{{ID: 9, Kind: 0, State: Ready, Weight: 1}}
	fill := func(first int) {
		for i := first; i < first+3; i++ {
			require.EqualValues(t, 9, dispatchedTo(d, rec, 1e5, withDeadline(newRequest(i, 0), 1e6)))
			d.Progressed(1e5, Progress{ID: RequestID(i), Worker: 9, Started: true})
		}
	}
	d.Workers(10, ListFull, list)
	fill(0)
	list[0].Started = 20
	d.Workers(30, ListFull, list)
	fill(3)
	assert.EqualValues(t, 3, d.kindMaxRunning[0])
	for i := range 6 {
		d.AttemptEnded(2e5, Outcome{ID: RequestID(i), Worker: 9, Result: Reset, Closed: true})
	}
	assert.Zero(t, d.workers[d.workerIndex[9]].runningSlots)
}
