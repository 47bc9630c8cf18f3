package balance

import (
	"math/rand/v2"
	"testing"
)

func TestDrainStopsAtOnce(t *testing.T) {
	d, rec := startDispatcher(t, testSettings(), fleet(2))
	first := dispatchedTo(d, rec, 10, newRequest(1, 0))
	other := WorkerID(2001) - first // the IDs are 1000 and 1001
	d.Workers(20, ListDelta, []Worker{{ID: other, State: Draining}})
	rec.actions = rec.actions[:0]
	d.AttemptEnded(30, Outcome{ID: 1, Worker: first, Result: Full})
	for i := 2; i < 10; i++ {
		d.Arrive(40, newRequest(i, 0))
	}
	d.Workers(50, ListFull, nil)
	for i := 10; i < 20; i++ {
		d.Arrive(60, newRequest(i, 0))
	}
	for _, a := range rec.take("dispatch") {
		if a.worker == other || a.id >= 10 {
			t.Errorf("request %d went to worker %d, which drains or is gone", a.id, a.worker)
		}
	}
}

func TestRestartDropsWhatWasLearned(t *testing.T) {
	d, rec := startDispatcher(t, testSettings(), fleet(1))
	for i := 0; i < 3; i++ {
		if w := dispatchedTo(d, rec, float64(10+i*20000), withDeadline(newRequest(i, 0), 1e6)); w != 0 {
			d.AttemptEnded(float64(10+i*20000), Outcome{ID: RequestID(i), Worker: w, Result: ConnectFailed})
		}
	}
	w := &d.workers[0]
	if w.backoffLevel == 0 {
		t.Fatal("failed connections did not raise the backoff level")
	}
	again := fleet(1)
	again[0].Started = 70000
	d.Workers(71000, ListDelta, again)
	if w.backoffLevel != 0 || w.avoidUntil != 0 {
		t.Errorf("after a restart the backoff level is %d, the worker is avoided until %v", w.backoffLevel, w.avoidUntil)
	}
	if got := d.capacityShare(70000, w); got != 0.2 {
		t.Errorf("capacity share at the start is %v, want the start capacity 0.2", got)
	}
}

// TestColdBudget has many dispatchers with few requests each share one cold worker among warm ones. It checks what they
// send to it together in every window.
func TestColdBudget(t *testing.T) {
	for _, otherSlots := range []float64{0, 8} { // with all others loaded, the cold worker is by far the least loaded
		checkColdBudget(t, otherSlots)
	}
}

func checkColdBudget(t *testing.T, otherSlots float64) {
	t.Helper()
	for _, n := range []int{2, 40, 300} {
		s := testSettings()
		s.Instances, s.Zones = n, 1
		list := oneZone(8)
		list[0].Started = 100000
		var arrivals []Millis
		rng := rand.New(rand.NewPCG(9, 9))
		ds, recs := make([]*Dispatcher, n), make([]*recorder, n)
		for k := range ds {
			s.Self, s.Seed = k, uint64(k)
			ds[k], recs[k] = startDispatcher(t, s, list)
		}
		id := 0
		for now := 100000.0; now < 112000; now += 12.5 { // 80 jobs per second, the capacity of 8 workers of 4 slots
			k := rng.IntN(n)
			for i := range ds[k].workers[1:] {
				ds[k].learnOtherSlots(now, &ds[k].workers[i+1], otherSlots, 0 > otherSlots)
			}
			id++
			w := dispatchedTo(ds[k], recs[k], now, Request{ID: RequestID(id), Deadline: now + 9000, Slots: 1})
			if w == list[0].ID {
				arrivals = append(arrivals, now)
			}
			if w != 0 {
				ds[k].AttemptEnded(now+400, Outcome{ID: RequestID(id), Worker: w, Took: 400, Closed: true})
			}
		}
		for i, from := range arrivals {
			j, capacity := i, 0.2+0.8*min(1, (from-100000)/10000)
			for j < len(arrivals) && arrivals[j] < from+1000 {
				j++
			}
			if sentIn, allowed := float64(j-i), 3*capacity*4/0.4+1; from+1000 < 110000 && sentIn > allowed {
				t.Errorf("%d dispatchers: %v jobs in a second to a worker with %.2f of its capacity, want at most %.1f",
					n, sentIn, capacity, allowed)
			}
		}
		if len(arrivals) == 0 {
			t.Errorf("%d dispatchers: the cold worker got nothing in 12 s", n)
		}
	}
}

// TestManyColdWorkersAreUsed: with half of a large fleet cold and the rest loaded, the cold workers get a good part of
// what they can do, though each dispatcher's budget for a worker is far below one job.
func TestManyColdWorkersAreUsed(t *testing.T) {
	const n, size = 100, 200
	s := testSettings()
	s.Instances, s.Zones = n, 1
	list := fleet(size)
	for i := range list {
		list[i].Zone = 0
		if i%2 == 0 {
			list[i].Started = 100000
		}
	}
	ds, recs := make([]*Dispatcher, n), make([]*recorder, n)
	for k := range ds {
		s.Self, s.Seed = k, uint64(k)
		ds[k], recs[k] = startDispatcher(t, s, list)
	}
	rng, cold, id := rand.New(rand.NewPCG(9, 9)), 0.0, 0
	for now := 100000.0; now < 103000; now += 0.5 { // ten jobs per second for each worker
		k := rng.IntN(n)
		for i := 1; i < size; i += 2 {
			ds[k].learnOtherSlots(now, &ds[k].workers[i], 8, false)
		}
		id++
		w := dispatchedTo(ds[k], recs[k], now, Request{ID: RequestID(id), Deadline: now + 9000, Slots: 1})
		if w != 0 {
			ds[k].AttemptEnded(now+400, Outcome{ID: RequestID(id), Worker: w, Took: 400, Closed: true})
			cold += float64(1 - w%2)
		}
	}
	// four slots, jobs of 400 ms, a mean capacity share of 0.3: nine jobs each in three seconds
	if capacity := 9.0 * size / 2; cold < capacity/3 || cold > capacity {
		t.Errorf("%v jobs went to cold workers, want a third to all of the %v that they can do", cold, capacity)
	}
}

// TestQuickErrorsDoNotWin: a worker that fails at once always has a low load and must not be preferred because of it.
func TestQuickErrorsDoNotWin(t *testing.T) {
	for _, result := range []Result{Error, ConnectFailed, Full, Reset} {
		d, rec := startDispatcher(t, testSettings(), fleet(6))
		bad, hits := WorkerID(1000), 0
		for i := 0; i < 200; i++ {
			now := float64(10 + i*5)
			w := dispatchedTo(d, rec, now, newRequest(i, 0))
			if w == bad {
				hits++
				d.AttemptEnded(now+1, Outcome{ID: RequestID(i), Worker: w, Result: result})
			}
		}
		if hits > 20 {
			t.Errorf("result %d: the broken worker got %d of 200 jobs", result, hits)
		}
	}
}

// TestUnreachableZoneIsAvoided: a zone that is cut off is avoided after a few failed connections, not after one for each
// of its workers.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	s := testSettings()
	s.Zone = 1
	d, rec := startDispatcher(t, s, fleet(600))
	failed := 0
	for n := 1; n <= 100; n++ {
		q := withDeadline(newRequest(n, 0), 1e6)
		id := dispatchedTo(d, rec, Millis(n), q)
		for k := 0; id != 0 && d.requests[q.ID] != nil; k++ {
			o := Outcome{ID: q.ID, Attempt: k, Worker: id, Result: OK, Took: 100, Closed: true}
			if (id-1000)%3 == 1 {
				o.Result, o.Closed = ConnectFailed, false
				failed++
			}
			rec.actions = rec.actions[:0]
			d.AttemptEnded(Millis(n), o)
			if a := rec.take("dispatch"); len(a) == 1 {
				id = a[0].worker
			}
		}
	}
	if failed > 60 {
		t.Errorf("%d connections to the unreachable zone, want at most 60", failed)
	}
}

// TestFailuresOfAllWorkersAreIgnored: if all workers have failed, requests are still sent.
func TestFailuresOfAllWorkersAreIgnored(t *testing.T) {
	d, rec := startDispatcher(t, testSettings(), fleet(3))
	for i := range d.workers {
		d.recordFailure(10, &d.workers[i], "test")
	}
	if w := dispatchedTo(d, rec, 11, newRequest(1, 0)); w == 0 {
		t.Error("after failures of all workers nothing was sent")
	}
}

// TestSlowWorkersGetOneJobAtATime: a worker that has become far slower than its kind has a short queue but long waits.
// It gets one job at a time, with pauses, until it has recovered.
func TestSlowWorkersGetOneJobAtATime(t *testing.T) {
	d, rec := startDispatcher(t, testSettings(), fleet(1))
	w, now := &d.workers[0], Millis(10)
	for _, c := range []struct {
		pace, own float64
		want      bool
	}{{1.5, 3, true}, {2.5, 0, true}, {2.5, 1, false}} {
		w.timeRatio, w.ownSlots = c.pace, c.own
		if got := d.usable(now, w, 1); got != c.want {
			t.Errorf("time ratio %v with %v slots in use: usable %v", c.pace, c.own, got)
		}
	}
	w.timeRatio, w.ownSlots = 4, 0
	for id := 1; id <= 40; id++ {
		dispatchedTo(d, rec, now, Request{ID: RequestID(id), Deadline: now + 9000, Slots: 1})
		d.Progressed(now, Progress{ID: RequestID(id), Worker: w.ID, Started: true})
		d.AttemptEnded(now+400, Outcome{ID: RequestID(id), Worker: w.ID, Took: 400, Closed: true})
		if paused := w.avoidUntil > now+400; paused != (w.timeRatio >= slowRatio) {
			t.Errorf("job %d, time ratio %v: paused %v", id, w.timeRatio, paused)
		}
		now = max(now+400, w.avoidUntil)
	}
	if w.timeRatio >= slowRatio || !d.usable(now, w, 1) {
		t.Errorf("after 40 jobs of the usual time its time ratio is %v", w.timeRatio)
	}
}
