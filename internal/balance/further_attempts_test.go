package balance

import (
	"testing"
)

// TestMaySend checks which attempts may follow a first one, for each way in which that may end.
func TestMaySend(t *testing.T) {
	s := testSettings()
	same := Worker{ID: 1, Zone: 1, Cell: 1, State: Ready, Weight: 1}
	zone := Worker{ID: 2, Zone: 1, Cell: 2, State: Ready, Weight: 1}
	far := Worker{ID: 3, Zone: 2, Cell: 3, State: Ready, Weight: 1}
	cases := []struct {
		class           int
		result          Result
		after           Millis
		same, zone, far bool
		refuse          bool
	}{
		{0, Error, 100, true, true, true, true},
		{1, Error, 100, false, false, false, false},
		{1, Reset, 100, false, false, false, false},
		{1, Cancelled, 100, false, false, false, false},
		{1, TimedOut, 100, false, false, false, false},
		{1, Full, 100, true, true, true, true},
		{1, ConnectFailed, 100, true, true, true, true},
		{1, NotSent, 100, true, true, true, true},
		{2, Error, 100, true, true, false, false},
		{2, Error, 4999, false, false, false, false},
		{2, Full, 4999, true, true, true, true},
		{3, TimedOut, 100, true, false, false, false},
		{4, TimedOut, 100, true, true, true, true},
		{4, TimedOut, 5000, false, false, false, false},
	}
	for _, c := range cases {
		d, _ := startDispatcher(t, s, []Worker{same, zone, far})
		first := d.workerIndex[1]
		r := &request{Request: newRequest(1, c.class), open: true, attempts: []attempt{{workerIndex: first, keys: keyGroups{zone: 1, cell: 1}, sentAt: 10,
			neverRan: c.result == Full || c.result == ConnectFailed || c.result == NotSent}}}
		for id, want := range map[WorkerID]bool{1: c.same, 2: c.zone, 3: c.far} {
			if got := d.maySend(10+c.after, r, &d.workers[d.workerIndex[id]]); got != want {
				t.Errorf("class %d after result %d, %v ms, worker %d: may send %v, want %v",
					c.class, c.result, c.after, id, got, want)
			}
		}
		if got := d.mayRefuse(10+c.after, r); got != c.refuse {
			t.Errorf("class %d after result %d, %v ms: refuse %v, want %v", c.class, c.result, c.after, got, c.refuse)
		}
	}
}

// Guards against a second run of a keyed request at workers whose groups nobody told: they must not count as one group
// (2026-12-04-untold-groups). Class 2 shares keys within a zone, class 3 within a cell, class 4 everywhere.
func TestUnknownGroupSharesNoKeys(t *testing.T) {
	s := testSettings()
	named := Worker{ID: 1, Zone: 1, Cell: 1, State: Ready, Weight: 1}
	workers := []Worker{named,
		{ID: 2, Zone: Unknown, Cell: Unknown, State: Ready, Weight: 1},
		{ID: 3, Zone: Unknown, Cell: Unknown, State: Ready, Weight: 1},
		{ID: 4, Zone: s.Zones, Cell: -7, State: Ready, Weight: 1}, // no zone of the settings, no cell
		{ID: 5, Zone: s.Zones, Cell: -7, State: Ready, Weight: 1},
		{ID: 6, Zone: 0, Cell: 0, State: Ready, Weight: 1}, // the first zone and cell, where work of an unknown one is placed
		{ID: 7, Zone: 1, Cell: 1, State: Ready, Weight: 1}}
	for _, class := range []int{2, 3, 4} {
		d, _ := startDispatcher(t, s, workers)
		for _, first := range workers {
			r := &request{Request: newRequest(1, class), open: true}
			d.send(10, r, d.workerIndex[first.ID])
			r.attempts[0].inFlight = false
			for _, next := range workers {
				want := class == 4 || first.Cell == 1 && next.Cell == 1
				if first.ID == 6 && next.ID == 6 { // known, though pick never repeats at the same worker
					want = true
				}
				if got := d.maySend(20, r, &d.workers[d.workerIndex[next.ID]]); got != want {
					t.Errorf("class %d, sent to worker %d: may send to worker %d %v, want %v", class, first.ID, next.ID, got, want)
				}
			}
		}
	}
}

// TestDedupGroupOutlivesWorker: the index of a worker that is gone is reused for another one. A repeat must still go
// to the first worker's cell.
func TestDedupGroupOutlivesWorker(t *testing.T) {
	s := testSettings()
	d, rec := startDispatcher(t, s, []Worker{{ID: 1, Zone: 1, Cell: 1, State: Ready, Weight: 1}})
	d.Arrive(10, newRequest(1, 3))
	d.Workers(20, ListFull, nil)
	d.AttemptEnded(30, Outcome{ID: 1, Worker: 1, Result: Reset})
	d.Workers(40, ListFull, []Worker{{ID: 2, Zone: 1, Cell: 2, State: Ready, Weight: 1}})
	for _, a := range rec.take("dispatch") {
		if a.worker == 2 {
			t.Error("a repeat left the cell that remembers its key")
		}
	}
}

func TestNoSecondCopyWhereNotAllowed(t *testing.T) {
	s := testSettings()
	s.MayDuplicate = false
	d, _ := startDispatcher(t, s, fleet(3))
	r := &request{Request: newRequest(1, 0), open: true, attempts: []attempt{{workerIndex: 0, inFlight: true, sentAt: 10}}}
	if d.maySend(20, r, &d.workers[1]) {
		t.Error("a second attempt is allowed while the first is in flight")
	}
}

func TestSecondCopyOnlyWhereHarmless(t *testing.T) {
	for class, want := range map[int]int{0: 1, 1: 0, 2: 1, 4: 1} {
		d, rec := startDispatcher(t, testSettings(), fleet(9))
		d.copyBudget = 1e6
		dispatchedTo(d, rec, 10, newRequest(1, class))
		d.Wake(10+d.checkDelay(d.requests[1]), 1<<8)
		if a := rec.take("dispatch"); len(a) != want {
			t.Errorf("class %d: %d second copies, want %d", class, len(a), want)
		}
	}
}

// TestRunningJobsAreNotCopied: where starts are not reported, progress shows that a job runs. A copy would only take a
// slot from other jobs.
func TestRunningJobsAreNotCopied(t *testing.T) {
	s := testSettings()
	s.TellsStart = false
	for _, running := range []bool{false, true} {
		d, rec := startDispatcher(t, s, fleet(9))
		d.copyBudget = 1e6
		w := dispatchedTo(d, rec, 10, newRequest(1, 0))
		now := 10 + d.checkDelay(d.requests[1])
		if running {
			d.Progressed(now-1, Progress{ID: 1, Worker: w, Done: 0.3})
		}
		d.Wake(now, 1<<8)
		if a := rec.take("dispatch"); (len(a) == 1) == running {
			t.Errorf("running %v: %d copies", running, len(a))
		}
	}
}

// TestStartedJobsWithoutProgressAreLeft: where workers report starts but no progress, a started job sends nothing more.
// Its silence is no failure and no reason for a copy.
func TestStartedJobsWithoutProgressAreLeft(t *testing.T) {
	for progress, want := range map[Millis]int{0: 0, 1000: 1} {
		s := testSettings()
		s.ProgressEvery = progress
		d, rec := startDispatcher(t, s, fleet(9))
		d.copyBudget = 1e6
		w := dispatchedTo(d, rec, 10, newRequest(1, 0))
		d.Progressed(20, Progress{ID: 1, Worker: w, Started: true})
		for _, a := range rec.take("wake") { // only these timers expire in real use
			d.Wake(20+a.in, a.token)
		}
		d.Wake(10+d.checkDelay(d.requests[1])+2500, 1<<8) // the timer set at the dispatch
		if got := d.workers[d.workerIndex[w]].backoffLevel; (got > 0) != (want > 0) {
			t.Errorf("progress every %v: backoff level %d", progress, got)
		}
		if a := rec.take("dispatch"); (len(a) > 0) != (want > 0) {
			t.Errorf("progress every %v: %d copies", progress, len(a))
		}
	}
}

// TestOtherCopiesAreCancelled: when one copy has succeeded, the others are cancelled, except where starts are reported:
// a worker that does not stop a cancelled job would look less loaded than it is.
func TestOtherCopiesAreCancelled(t *testing.T) {
	for _, reportsStart := range []bool{true, false} {
		s := testSettings()
		s.TellsStart = reportsStart
		d, rec := startDispatcher(t, s, fleet(9))
		d.copyBudget = 1e6
		w := dispatchedTo(d, rec, 10, newRequest(1, 0))
		d.Wake(5000, 1<<8)
		rec.actions = rec.actions[:0]
		d.AttemptEnded(5010, Outcome{ID: 1, Worker: w, Took: 5000, Closed: true})
		if a := rec.take("cancel"); (len(a) == 0) != reportsStart {
			t.Errorf("starts reported %v: %d cancels", reportsStart, len(a))
		}
		if left := d.busySlots; left != 1 {
			t.Errorf("starts reported %v: %v slots counted with one attempt in flight", reportsStart, left)
		}
	}
}

// TestQueuedCopyIsCancelledOnStart: once one attempt has started, attempts still in a queue are cancelled, as nothing is
// gained by running the job twice. An attempt that runs is not cancelled.
func TestQueuedCopyIsCancelledOnStart(t *testing.T) {
	for _, running := range []bool{false, true} {
		d, rec := startDispatcher(t, testSettings(), fleet(9))
		d.copyBudget = 1e6
		first := dispatchedTo(d, rec, 10, newRequest(1, 0))
		d.Wake(10+d.checkDelay(d.requests[1]), 1<<8)
		second := rec.take("dispatch")[0].worker
		if running {
			d.Progressed(300, Progress{ID: 1, Worker: first, Started: true})
			rec.actions = rec.actions[:0]
		}
		d.Progressed(301, Progress{ID: 1, Attempt: 1, Worker: second, Started: true})
		if a := rec.take("cancel"); (len(a) == 1 && a[0].attempt == 0) == running {
			t.Errorf("first one running %v: cancelled %v", running, a)
		}
	}
}

// TestStretchedAimAllowsLongerWait: where the aim grows with a job's own work, a wait that takes only a part of that
// growth does not count as overload.
func TestStretchedAimAllowsLongerWait(t *testing.T) {
	for _, c := range []struct {
		stretch float64
		wait    Millis
		loaded  bool
	}{{0, 199, false}, {0, 201, true}, {2, 299, false}, {2, 301, true}} {
		s := testSettings()
		s.Classes[0].Stretch = c.stretch
		d, rec := startDispatcher(t, s, fleet(9))
		d.classTime[0] = 400
		limit := d.slotLimit
		w := dispatchedTo(d, rec, 10, newRequest(1, 0))
		d.Progressed(10+c.wait, Progress{ID: 1, Worker: w, Started: true})
		if (d.slotLimit < limit) != c.loaded {
			t.Errorf("stretch %v, waited %v: limit %v, was %v", c.stretch, c.wait, d.slotLimit, limit)
		}
	}
}

// TestNoCopyBehindAQueue: a second copy that has to wait too only makes the queues longer.
func TestNoCopyBehindAQueue(t *testing.T) {
	for _, free := range []float64{0, 1} {
		d, rec := startDispatcher(t, testSettings(), fleet(9))
		d.copyBudget, d.slotLimit = 1e6, 1e6
		dispatchedTo(d, rec, 10, newRequest(1, 0))
		for i := range d.workers {
			d.workers[i].ownSlots = d.workers[i].size - free
		}
		d.Wake(10+d.checkDelay(d.requests[1]), 1<<8)
		if a := rec.take("dispatch"); len(a) != int(free) {
			t.Errorf("%v slots free: %d copies", free, len(a))
		}
	}
}
