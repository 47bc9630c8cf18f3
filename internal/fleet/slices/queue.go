package slices

import (
	sorted "slices"
	"time"
)

// waiting is a demand that no device has room for.
type waiting struct {
	demand  Demand
	seq     uint64 // the order of asks
	why     string
	queued  bool
	passed  int // placements of later asks on devices that could hold it, while none was kept for it
	starved bool
	ahead   int     // devices kept for others when it starved: the R of its bound
	keeps   *device // nothing else is placed there
}

// before is the queue's order: priority, then age.
func (w *waiting) before(o *waiting) int {
	switch {
	case w.demand.Priority != o.demand.Priority:
		return o.demand.Priority - w.demand.Priority
	case w.seq < o.seq:
		return -1
	case w.seq > o.seq:
		return 1
	}
	return 0
}

func (t *Table) enqueue(w *waiting) {
	i, _ := sorted.BinarySearchFunc(t.waiting, w, (*waiting).before)
	t.waiting = sorted.Insert(t.waiting, i, w)
	t.byID[w.demand.ID] = w
	w.queued = true
}

func (t *Table) dequeue(w *waiting) {
	if !w.queued {
		return
	}
	w.queued = false
	i, _ := sorted.BinarySearchFunc(t.waiting, w, (*waiting).before)
	t.waiting = sorted.Delete(t.waiting, i, i+1)
	delete(t.byID, w.demand.ID)
	if w.starved {
		i = sorted.Index(t.starved, w)
		t.starved = sorted.Delete(t.starved, i, i+1)
		t.unkeep(w)
		t.keep()
	}
}

// pass counts a placement against those that asked earlier and could have been held by the same device.
func (t *Table) pass(by *waiting, v *device) {
	starving := false
	for _, w := range t.waiting {
		if w.seq > by.seq || w.keeps != nil || !t.could(v.class, &w.demand) {
			continue
		}
		w.passed++
		starving = starving || w.passed >= t.limits.MaxPassedOver && !w.starved
	}
	if starving {
		t.starve()
	}
}

// starve lists those that have been passed often enough, the oldest first.
func (t *Table) starve() {
	var now []*waiting
	for _, w := range t.waiting {
		if !w.starved && w.passed >= t.limits.MaxPassedOver {
			now = append(now, w)
		}
	}
	sorted.SortFunc(now, func(a, b *waiting) int { return int(int64(a.seq) - int64(b.seq)) })
	for _, w := range now {
		w.starved, w.ahead = true, len(t.starved)
		t.starved = append(t.starved, w)
	}
	t.keep()
}

func (t *Table) unkeep(w *waiting) {
	if v := w.keeps; v != nil {
		w.keeps, v.keptFor = nil, nil
		t.reindex(v)
		t.touch(v)
	}
}

// keep gives each starved demand a device of its own, in the order in which they starved. One for which
// none is left takes that of the last to have starved that has one which could hold it.
func (t *Table) keep() {
	for i, w := range t.starved {
		if v := w.keeps; v != nil && v.ready && t.could(v.class, &w.demand) {
			continue
		}
		t.unkeep(w)
		var best *device
		var soonest time.Duration
		for _, v := range t.order {
			if !v.ready || v.keptFor != nil || !t.could(v.class, &w.demand) {
				continue
			}
			if at := v.emptyAt(); best == nil || at < soonest {
				best, soonest = v, at
			}
		}
		for j := len(t.starved) - 1; best == nil && j > i; j-- {
			if v := t.starved[j].keeps; v != nil && v.ready && t.could(v.class, &w.demand) {
				t.unkeep(t.starved[j])
				best = v
			}
		}
		if best != nil {
			w.keeps, best.keptFor = best, w
			t.reindex(best)
			t.touch(best)
		}
	}
}

// emptyAt is when the last lifetime on the device ends.
func (v *device) emptyAt() (at time.Duration) {
	for _, s := range v.slices {
		at = max(at, s.until)
	}
	return at
}

// touch marks a device on which those that wait are to be tried.
func (t *Table) touch(v *device) {
	if !v.dirty {
		v.dirty = true
		t.touched = append(t.touched, v)
	}
}

// settle tries those that wait, in their order, on each device that got room. It ends: each round either
// places a demand that waited or takes a device off the list for good.
func (t *Table) settle(now time.Duration) {
	for len(t.touched) > 0 && t.unheard == 0 {
		v := t.touched[0]
		t.touched = t.touched[1:]
		v.dirty = false
		if t.devices[v.Name] != v || !v.ready {
			continue
		}
		for _, w := range t.waiting {
			if a, why := t.fits(v, &w.demand, w); why == "" {
				t.place(now, w, v, a)
				t.touch(v)
				break
			}
		}
	}
}
