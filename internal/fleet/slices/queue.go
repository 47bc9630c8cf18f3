package slices

import (
	sorted "slices"
	"time"
)

// waitingDemand is a demand in the queue: no device can take it now.
type waitingDemand struct {
	demand        Demand
	submitSeq     uint64 // order of submission
	reason        string
	queued        bool
	passedOver    int // placements of later demands on devices that could hold it, while it had no reserved device
	starved       bool
	starvedBefore int     // demands that had starved before it: it is passed over at most MaxPassedOver+starvedBefore times
	reserved      *device // device on which no other demand is placed; nil if there is none
}

// compare orders the queue by descending priority, then by submission.
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

// enqueue inserts a demand into the queue in its order.
func (t *Table) enqueue(w *waitingDemand) {
	i, _ := sorted.BinarySearchFunc(t.waiting, w, (*waitingDemand).compare)
	t.waiting = sorted.Insert(t.waiting, i, w)
	t.waitingByID[w.demand.ID] = w
	w.queued = true
}

// dequeue removes a demand from the queue, if it is there, and frees its reserved device.
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

// countPassedOver counts the placement of placed on v for every waiting demand that was submitted earlier and
// that an empty device like v could hold.
func (t *Table) countPassedOver(placed *waitingDemand, v *device) {
	starving := false
	for _, w := range t.waiting {
		if w.submitSeq > placed.submitSeq || w.reserved != nil || !t.couldHold(v.class, &w.demand) {
			continue
		}
		w.passedOver++
		starving = starving || w.passedOver >= t.limits.MaxPassedOver && !w.starved
	}
	if starving {
		t.markStarved()
	}
}

// markStarved appends the demands that have been passed over MaxPassedOver times to the starved list, the
// oldest first, and reserves devices for them.
func (t *Table) markStarved() {
	var starving []*waitingDemand
	for _, w := range t.waiting {
		if !w.starved && w.passedOver >= t.limits.MaxPassedOver {
			starving = append(starving, w)
		}
	}
	sorted.SortFunc(starving, func(a, b *waitingDemand) int { return int(int64(a.submitSeq) - int64(b.submitSeq)) })
	for _, w := range starving {
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

// assignReservations reserves a device for each starved demand, in the order in which they starved: of the free
// ones that could hold it, the device whose slices expire first. If no device is free, the demand takes over a
// suitable device from the demand that starved last.
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

// lastExpiry returns when the last slice on the device expires.
func (v *device) lastExpiry() (at time.Duration) {
	for _, s := range v.slices {
		at = max(at, s.expiresAt)
	}
	return at
}

// queueRetry schedules an attempt to place waiting demands on the device.
func (t *Table) queueRetry(v *device) {
	if !v.queuedForRetry {
		v.queuedForRetry = true
		t.retryQueue = append(t.retryQueue, v)
	}
}

// placeWaiting tries the waiting demands, in queue order, on each device that may have capacity again. The loop
// terminates: each round either places a waiting demand or removes a device from the list for good.
func (t *Table) placeWaiting(now time.Duration) {
	for len(t.retryQueue) > 0 && t.unreportedDevices == 0 {
		v := t.retryQueue[0]
		t.retryQueue = t.retryQueue[1:]
		v.queuedForRetry = false
		if t.devices[v.Name] != v || !v.ready {
			continue
		}
		for _, w := range t.waiting {
			if a, reason := t.fits(v, &w.demand, w); reason == "" {
				t.place(now, w, v, a)
				t.queueRetry(v)
				break
			}
		}
	}
}
