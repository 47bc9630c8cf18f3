package slices

import (
	sorted "slices"
	"time"
)

// waitingDemand is a demand that no device has room for.
type waitingDemand struct {
	demand        Demand
	submitSeq     uint64 // the order of asks
	reason        string
	queued        bool
	passedOver    int // placements of later asks on devices that could hold it, while none was kept for it
	starved       bool
	starvedBefore int     // devices kept for others when it starved: the R of its bound
	reserved      *device // nothing else is placed there
}

// compare is the queue's order: priority, then age.
func (w *waitingDemand) compare(o *waitingDemand) int {
	switch {
	case w.demand.Priority != o.demand.Priority:
		return o.demand.Priority - w.demand.Priority
	case w.submitSeq < o.submitSeq:
		return -1
	case w.submitSeq > o.submitSeq:
		return 1
	}
	return 0
}

func (t *Table) enqueue(w *waitingDemand) {
	i, _ := sorted.BinarySearchFunc(t.waiting, w, (*waitingDemand).compare)
	t.waiting = sorted.Insert(t.waiting, i, w)
	t.waitingByID[w.demand.ID] = w
	w.queued = true
}

func (t *Table) dequeue(w *waitingDemand) {
	if !w.queued {
		return
	}
	w.queued = false
	i, _ := sorted.BinarySearchFunc(t.waiting, w, (*waitingDemand).compare)
	t.waiting = sorted.Delete(t.waiting, i, i+1)
	delete(t.waitingByID, w.demand.ID)
	if w.starved {
		i = sorted.Index(t.starved, w)
		t.starved = sorted.Delete(t.starved, i, i+1)
		t.releaseReservation(w)
		t.assignReservations()
	}
}

// countPassedOver counts a placement against those that asked earlier and could have been held by the same device.
func (t *Table) countPassedOver(by *waitingDemand, v *device) {
	starving := false
	for _, w := range t.waiting {
		if w.submitSeq > by.submitSeq || w.reserved != nil || !t.couldHold(v.class, &w.demand) {
			continue
		}
		w.passedOver++
		starving = starving || w.passedOver >= t.limits.MaxPassedOver && !w.starved
	}
	if starving {
		t.markStarved()
	}
}

// markStarved lists those that have been passed often enough, the oldest first.
func (t *Table) markStarved() {
	var now []*waitingDemand
	for _, w := range t.waiting {
		if !w.starved && w.passedOver >= t.limits.MaxPassedOver {
			now = append(now, w)
		}
	}
	sorted.SortFunc(now, func(a, b *waitingDemand) int { return int(int64(a.submitSeq) - int64(b.submitSeq)) })
	for _, w := range now {
		w.starved, w.starvedBefore = true, len(t.starved)
		t.starved = append(t.starved, w)
	}
	t.assignReservations()
}

func (t *Table) releaseReservation(w *waitingDemand) {
	if v := w.reserved; v != nil {
		w.reserved, v.reservedFor = nil, nil
		t.reindex(v)
		t.queueRetry(v)
	}
}

// assignReservations gives each starved demand a device of its own, in the order in which they starved. One for which
// none is left takes that of the last to have starved that has one which could hold it.
func (t *Table) assignReservations() {
	for i, w := range t.starved {
		if v := w.reserved; v != nil && v.ready && t.couldHold(v.class, &w.demand) {
			continue
		}
		t.releaseReservation(w)
		var best *device
		var soonest time.Duration
		for _, v := range t.order {
			if !v.ready || v.reservedFor != nil || !t.couldHold(v.class, &w.demand) {
				continue
			}
			if at := v.lastExpiry(); best == nil || at < soonest {
				best, soonest = v, at
			}
		}
		for j := len(t.starved) - 1; best == nil && j > i; j-- {
			if v := t.starved[j].reserved; v != nil && v.ready && t.couldHold(v.class, &w.demand) {
				t.releaseReservation(t.starved[j])
				best = v
			}
		}
		if best != nil {
			w.reserved, best.reservedFor = best, w
			t.reindex(best)
			t.queueRetry(best)
		}
	}
}

// lastExpiry is when the last lifetime on the device ends.
func (v *device) lastExpiry() (at time.Duration) {
	for _, s := range v.slices {
		at = max(at, s.expiresAt)
	}
	return at
}

// queueRetry marks a device on which those that wait are to be tried.
func (t *Table) queueRetry(v *device) {
	if !v.queuedForRetry {
		v.queuedForRetry = true
		t.retryQueue = append(t.retryQueue, v)
	}
}

// placeWaiting tries those that wait, in their order, on each device that got room. It ends: each round either
// places a demand that waited or takes a device off the list for good.
func (t *Table) placeWaiting(now time.Duration) {
	for len(t.retryQueue) > 0 && t.unreportedDevices == 0 {
		v := t.retryQueue[0]
		t.retryQueue = t.retryQueue[1:]
		v.queuedForRetry = false
		if t.devices[v.Name] != v || !v.ready {
			continue
		}
		for _, w := range t.waiting {
			if a, why := t.fits(v, &w.demand, w); why == "" {
				t.place(now, w, v, a)
				t.queueRetry(v)
				break
			}
		}
	}
}
