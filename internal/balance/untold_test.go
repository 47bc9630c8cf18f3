package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// untoldSite is a site that tells no sizes, with two kinds of workers, the second twice as fast as the first.
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

// TestFirstLimitWhereSizesAreNotTold: a dispatcher that has just started has room for about four jobs a worker. It
// took each worker for one slot, and held or refused what came until starts had told of more.
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

// TestSizesAreLearnedFromStarts: jobs that run at once at a worker show how many slots its kind has at least; then a
// second copy may go where one of them is free, which a worker of one slot never had.
func TestSizesAreLearnedFromStarts(t *testing.T) {
	d, rec := untoldSite(t, 1)
	at := map[WorkerID]int{}
	for i := range 32 {
		w := sent(d, rec, 10, req(i, 0))
		at[w]++
		d.Progressed(20, Progress{ID: RequestID(i), Worker: w, Started: true})
	}
	most := [2]int{}
	for w, n := range at {
		k := d.workers[d.index[w]].Kind
		most[k] = max(most[k], n)
	}
	assert.Equal(t, []float64{float64(most[0]), float64(most[1])}, d.wide)
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

// TestUnsafeJobsGoToTheFast: what must never run twice is lost with the dispatcher while it is out. It goes to the
// faster kind while that has a slot free, where safe jobs begin to spread to the slower one.
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

// TestManyDispatchersSpread: where dispatchers are more than slots, an idle slow worker is as good as an idle fast
// one but for the draw: all of them would fill the fast at once.
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
	for i := range 8 { // one job at each worker, all linked
		sent(d, rec, 10, req(i, 0))
	}
	for i := range 40 { // all have one: a finer count would send each of these to the faster kind
		d.rng = rand.New(rand.NewPCG(uint64(i), 2))
		slow += int(sent(d, rec, 11, req(100+i, 0))) % 2
		d.AttemptEnded(12, Outcome{ID: RequestID(100 + i), Worker: d.workers[d.reqs[RequestID(100+i)].attempts[0].worker].ID, Result: Reset, Closed: true})
		for k := range d.workers {
			d.workers[k].strikes, d.workers[k].until = 0, 0
		}
	}
	assert.Greater(t, slow, 8, "of 40 second jobs, on slow workers")
}

// TestLastTriesWaitForASlot: workers that are full answer at once. Three of them in a row, a few milliseconds apart, are
// no reason to spend the two tries that are left on others; they wait for a job of this dispatcher's own to end well.
func TestLastTriesWaitForASlot(t *testing.T) {
	for instances, wait := range map[int]bool{1: true, 300: false} { // among many, an own job that ends is far off
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

// TestWhatCannotEndIsNotBegun: in a shutdown a req has a second or two left, and a class that runs for longer than that
// could only be cut off, its work wasted and, where it must never run twice, lost. It is refused at once, unsent.
func TestWhatCannotEndIsNotBegun(t *testing.T) {
	d, rec := untoldSite(t, 1)
	d.runs[1] = 3000
	assert.NotZero(t, sent(d, rec, 10, withDeadline(req(1, 1), 2000)), "two thirds of its mean time are left")
	rec.acts = rec.acts[:0]
	d.Arrive(10, withDeadline(req(2, 1), 1000))
	assert.Empty(t, d.held)
	assert.Len(t, rec.only("refuse"), 1)
}

// TestRestartedWorkerIsNotWider: jobs of a process that is gone may stay out for long, where its machine says nothing. They
// do not run beside those of the process that follows it, which would pass for a worker of twice the slots from then on.
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
