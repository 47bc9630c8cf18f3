package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startWithUnknownSizes starts a dispatcher for workers whose sizes are not known, of two kinds, the second twice as fast as the
// first.
func untoldSite(t *testing.T, instances int) (*Dispatcher, *recorder) {
	s := testSettings()
	s.Zones, s.Instances, s.Weight = 1, instances, WeightNone
	list := make([]Worker, 8)
	for i := range list {
		list[i] = Worker{ID: WorkerID(1 + i), Kind: i % 2, State: Ready, Weight: 1}
	}
	d, rec := start(t, s, list)
	d.kinds[0], d.kinds[1] = 4.0/3, 2.0/3
	return d, rec
}

// TestInitialLimitWithUnknownSizes: a dispatcher that has just started has capacity for about four jobs per worker. It
// used to assume one slot per worker, and held or refused requests until reported starts had shown more.
func TestFirstLimitWhereSizesAreNotTold(t *testing.T) {
	d, rec := untoldSite(t, 1)
	placed := 0
	for i := range 32 {
		if sent(d, rec, 10, req(i, 0)) != 0 {
			placed++
		}
	}
	assert.Equal(t, 32, placed, "of 32 jobs for 8 workers")
}

// TestSizesAreLearnedFromStarts: jobs that run at the same time on a worker show how many slots its kind has at least. A
// second copy may then use a free one of them; with the assumed single slot there never was one.
func TestSizesAreLearnedFromStarts(t *testing.T) {
	d, rec := untoldSite(t, 1)
	at := map[WorkerID]int{}
	for i := range 32 {
		w := sent(d, rec, 10, req(i, 0))
		at[w]++
		d.Progressed(20, Progress{ID: RequestID(i), Worker: w, Started: true})
	}
	highest := [2]int{}
	for w, n := range at {
		k := d.workers[d.index[w]].Kind
		highest[k] = max(highest[k], n)
	}
	assert.Equal(t, []float64{float64(highest[0]), float64(highest[1])}, d.wide)
	for i := range 32 {
		d.AttemptEnded(30, Outcome{ID: RequestID(i), Worker: d.workers[d.reqs[RequestID(i)].attempts[0].worker].ID, Took: 10, Closed: true})
	}
	for i := range d.workers {
		assert.Zero(t, d.workers[i].running)
	}
	one := &request{Request: req(99, 0)}
	one.Slots = 1
	w := &d.workers[1]
	w.own, w.others, d.zones[0] = 1, 0, 0
	assert.True(t, d.free(1e6, w, one), "one of several slots is taken")
}

// TestUnsafeJobsPreferFastWorkers: an Unsafe job is lost if the dispatcher ends while it is in flight. It goes to the
// faster kind while that has a free slot, where Safe jobs begin to spread to the slower one.
func TestUnsafeJobsGoToTheFast(t *testing.T) {
	slow := func(class int) (n int) {
		d, rec := untoldSite(t, 1)
		d.wide[0], d.wide[1] = 4, 4
		for i := range 16 {
			n += int(sent(d, rec, 10, req(i, class))) % 2
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
		d, rec := untoldSite(t, 300)
		d.rng = rand.New(rand.NewPCG(uint64(i), 1))
		slow += int(sent(d, rec, 10, req(1, 1))) % 2
	}
	assert.Greater(t, slow, 4, "of 60 first jobs, on slow workers")

	d, rec := untoldSite(t, 300)
	d.kinds[0], d.kinds[1], d.limit = 1.01, 0.99, 100 // hardly slower
	slow = 0
	for i := range 8 { // one job on each worker, all linked
		sent(d, rec, 10, req(i, 0))
	}
	for i := range 40 { // all have one job: a finer load would send each of these to the faster kind
		d.rng = rand.New(rand.NewPCG(uint64(i), 2))
		slow += int(sent(d, rec, 11, req(100+i, 0))) % 2
		d.AttemptEnded(12, Outcome{ID: RequestID(100 + i), Worker: d.workers[d.reqs[RequestID(100+i)].attempts[0].worker].ID, Result: Reset, Closed: true})
		for k := range d.workers {
			d.workers[k].strikes, d.workers[k].until = 0, 0
		}
	}
	assert.Greater(t, slow, 8, "of 40 second jobs, on slow workers")
}

// TestLastAttemptsWaitForASlot: full workers reject at once. After three rejections in a row, a few milliseconds apart,
// the two remaining attempts are not spent on others; they wait until a job of this dispatcher succeeds.
func TestLastTriesWaitForASlot(t *testing.T) {
	for instances, wait := range map[int]bool{1: true, 300: false} { // among many dispatchers, the end of an own job is far off
		s := testSettings()
		s.Zones, s.MaxAttempts, s.Instances = 1, 5, instances
		d, rec := start(t, s, oneZone(8))
		own := sent(d, rec, 10, req(1, 1))
		w := sent(d, rec, 11, req(2, 1))
		var again []act
		for k := range 3 {
			rec.acts = rec.acts[:0]
			d.AttemptEnded(12+Millis(k), Outcome{ID: 2, Attempt: k, Worker: w, Result: Full, Took: 1})
			if again = rec.only("dispatch"); k < 2 {
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
		if again = rec.only("dispatch"); assert.Len(t, again, 1, "a slot is free") {
			assert.Equal(t, RequestID(2), again[0].id)
		}
	}
}

// TestJobWithoutEnoughTimeIsNotSent: in a shutdown a request has a second or two left. A job that runs for longer would be
// cut off: its work is wasted and, if it is Unsafe, the request is lost. It is refused at once without being sent.
func TestWhatCannotEndIsNotBegun(t *testing.T) {
	d, rec := untoldSite(t, 1)
	d.runs[1] = 3000
	assert.NotZero(t, sent(d, rec, 10, withDeadline(req(1, 1), 2000)), "two thirds of its mean time are left")
	rec.acts = rec.acts[:0]
	d.Arrive(10, withDeadline(req(2, 1), 1000))
	assert.Empty(t, d.held)
	assert.Len(t, rec.only("refuse"), 1)
}

// TestRestartedWorkerKeepsItsSlotEstimate: attempts at a process that is gone may stay in flight for long if its machine
// does not respond. They must not count as running beside the jobs of the next process, or the worker's kind would be
// taken to have twice the slots from then on.
func TestRestartedWorkerIsNotWider(t *testing.T) {
	d, rec := untoldSite(t, 1)
	list := []Worker{{ID: 9, Kind: 0, State: Ready, Weight: 1}}
	fill := func(first int) {
		for i := first; i < first+3; i++ {
			require.EqualValues(t, 9, sent(d, rec, 1e5, withDeadline(req(i, 0), 1e6)))
			d.Progressed(1e5, Progress{ID: RequestID(i), Worker: 9, Started: true})
		}
	}
	d.Workers(10, ListFull, list)
	fill(0)
	list[0].Started = 20
	d.Workers(30, ListFull, list)
	fill(3)
	assert.EqualValues(t, 3, d.wide[0])
	for i := range 6 {
		d.AttemptEnded(2e5, Outcome{ID: RequestID(i), Worker: 9, Result: Reset, Closed: true})
	}
	assert.Zero(t, d.workers[d.index[9]].running)
}
