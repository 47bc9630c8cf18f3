package balance

import (
	"math"
	"slices"
)

// This file caches values that dispatcher.go would otherwise compute for each request and each worker, so that the
// cost of a decision does not grow with the fleet or with the number of held requests. It makes no decisions. A test
// computes each cached value again and compares.

// cache holds the cached values.
type kept struct {
	values []float64 // by class, then by class for requests beyond their tenant's share; NaN if not computed
	marks  []mark    // of the ready workers, in the order of ready
	byKind []weights // sums over the ready workers, by kind, if ...
	summed bool      // ... they have been computed, as of ...
	at     Millis    // ... this time; they are valid ...
	bend   Millis    // ... until this one, when a worker starts or becomes warm
	seated []int32   // indexes of the workers that the current delta names
	none   []bool    // by kind, the last for any kind: no ready worker can take a request while held ones are served
	looks  int       // workers examined since the start, a measure of the cost of decisions
}

// filter is the part of a worker that rules out most workers for a request without reading the worker itself.
type mark struct {
	id   uint64 // value from which link hashes are computed
	kind int
}

func markOf(w *worker) mark { return mark{uint64(w.ID) * 3, w.Kind} }

// weightSum sums up the ready workers of a kind. A worker's weight is its speed when warm, without the factor of
// its kind.
type weights struct {
	sum, rise float64 // sum of weight times capacity share, and its growth per millisecond
	top       float64 // upper bound of the weights
}

func newKept(s *Settings) kept {
	k := kept{values: make([]float64, 2*len(s.Classes)), byKind: make([]weights, s.Kinds),
		none: make([]bool, s.Kinds+1)}
	k.metered()
	return k
}

// forgetValues drops the cached values, since an arrival has changed their inputs.
func (k *kept) metered() {
	for i := range k.values {
		k.values[i] = math.NaN()
	}
}

// cachedValue returns relativeValue, computed once after each arrival for all requests that share it.
func (d *Dispatcher) valueOf(r *request) float64 {
	i := r.Class
	if r.over {
		i += len(d.set.Classes)
	}
	v := d.kept.values[i]
	if math.IsNaN(v) {
		v = d.value(r)
		d.kept.values[i] = v
	}
	return v
}

// applyList updates the workers from a list: it adds or updates the listed workers, updates the ready workers and
// frees the entries of workers that are gone, in the order of their indexes. The cost of a delta grows with its
// entries, not with the fleet.
func (d *Dispatcher) relist(kind ListKind, list []Worker) {
	full := kind != ListDelta
	for i := 0; i < len(d.workers) && full; i++ { // workers that a full list omits are gone
		d.workers[i].State = Gone
	}
	d.seated = d.seated[:0]
	for _, e := range list {
		e.Zone, e.Kind = min(max(e.Zone, 0), d.set.Zones-1), min(max(e.Kind, 0), d.set.Kinds-1)
		i, known := d.index[e.ID]
		if known && !full {
			d.count(&d.workers[i], -1)
		}
		if i, known = d.seat(e); known {
			d.workers[i].link = d.link(&d.workers[i])
			if !full {
				d.count(&d.workers[i], 1)
				d.seated = append(d.seated, i)
			}
		}
	}
	if full {
		d.ready, d.marks, d.summed = d.ready[:0], d.marks[:0], false
		for i := range d.workers {
			if w := &d.workers[i]; w.State == Ready {
				d.ready, d.marks = append(d.ready, int32(i)), append(d.marks, markOf(w))
			}
			d.release(int32(i))
		}
		d.looks += len(d.workers)
		return
	}
	d.looks += len(d.seated)
	slices.Sort(d.seated)
	for _, i := range d.seated {
		d.line(i)
		d.release(i)
	}
}

// updateReady adds the worker at index i to the ready workers or removes it, by its state.
func (d *Dispatcher) line(i int32) {
	w := &d.workers[i]
	at, in := slices.BinarySearch(d.ready, i)
	switch {
	case w.State != Ready && in:
		d.ready, d.marks = slices.Delete(d.ready, at, at+1), slices.Delete(d.marks, at, at+1)
	case w.State == Ready && in:
		d.marks[at] = markOf(w)
	case w.State == Ready:
		d.ready, d.marks = slices.Insert(d.ready, at, i), slices.Insert(d.marks, at, markOf(w))
	}
}

// totalSpeed returns the sum of the speeds of the ready workers. For more than sampleSize workers it uses the sums by
// kind, which give the same but for rounding.
func (d *Dispatcher) allSpeed(now Millis) (total float64) {
	if len(d.ready) <= sample {
		for _, i := range d.ready {
			total += d.speed(now, &d.workers[i])
		}
		return total
	}
	if !d.summed || now >= d.bend {
		d.summed, d.kept.at, d.bend = true, now, now+window // bounds the accumulated rounding errors
		clear(d.byKind)
		for _, i := range d.ready {
			d.weigh(&d.workers[i], 1)
		}
	}
	for k, t := range d.kinds {
		total += (d.byKind[k].sum + d.byKind[k].rise*(now-d.kept.at)) / (t * t)
	}
	return max(0, total)
}

// countWeight adds a worker, multiplied by times, to the sum of its kind if the worker is ready and the sums are known.
func (d *Dispatcher) count(w *worker, times float64) {
	if d.summed && w.State == Ready {
		d.weigh(w, times)
	}
}

// addWeight is countWeight without the condition.
func (d *Dispatcher) weigh(w *worker, times float64) {
	sum, weight := &d.byKind[w.Kind], w.size/(w.pace*w.pace)
	sum.sum += times * weight * d.warmth(d.kept.at, w)
	if begins, ends := w.Started, w.Started+d.set.Rules.WarmAfter; begins > d.kept.at { // its capacity grows linearly from then on
		d.bend = min(d.bend, begins)
	} else if begins > 0 && ends > d.kept.at {
		sum.rise += times * weight * (1 - d.set.Rules.StartCapacity) / d.set.Rules.WarmAfter
		d.bend = min(d.bend, ends)
	}
	sum.top = max(sum.top, weight)
}

// setTimeRatio changes a worker's timeRatio and the sum of weights that depends on it.
func (d *Dispatcher) setPace(w *worker, pace float64) {
	d.count(w, -1)
	w.pace = pace
	d.count(w, 1)
}

// blockedEverywhere reports whether the attempts of a request rule out every worker, whatever its group, by the rules
// of maySend.
func (d *Dispatcher) barred(r *request) bool {
	for k := range r.attempts {
		a := &r.attempts[k]
		if a.out && !d.set.MayDuplicate || !a.never && d.set.Classes[r.Class].Effect == Unsafe {
			return true
		}
	}
	return false
}

// maxLinkHash returns an upper bound of the hashes that link the request's key to a worker. linkShare is the share of
// the keys that a worker of speed 1 is linked to, or 0 if the request needs no link. The bound is negative if the
// request may go to no worker.
func (d *Dispatcher) reach(r *request, keyed float64) float64 {
	if d.barred(r) {
		return -1
	}
	if keyed == 0 || len(d.ready) <= sample {
		return 1
	}
	top := 0.0
	for k, t := range d.kinds {
		top = max(top, d.byKind[k].top/(t*t))
	}
	return keyed * top * (1 + gain) // a margin, so that rounding excludes no worker
}

// nextCandidate skips ready workers from the j-th on whose kind does not run the request's class, or that are not
// linked to its key at any speed, which shortestQueue would reject one by one. k counts the workers passed, of n.
func (d *Dispatcher) skip(r *request, reach float64, k, j, n int) (int, int) {
	if reach < 0 {
		return n, j
	}
	kind := d.set.Classes[r.Class].Kind
	for ; k < n; k, j = k+1, j+1 {
		if j >= n {
			j -= n
		}
		m := &d.marks[j]
		if (kind < 0 || kind == m.kind) && (reach >= 1 || hash(r.Key^m.id) < reach) {
			d.looks++
			break
		}
	}
	return k, j
}

// unplaceable reports whether pick would find no worker for a held request, even when it ignores failures: either no
// listed worker runs it, or those that do are cold and have used up their budget of this window. The result is shared
// by requests of the same kind until clear(d.noneEligible); a request's own attempts could only rule out more workers.
// It makes the same random draws as pick, so that the same seed gives the same decisions.
func (d *Dispatcher) hopeless(now Millis, r *request) bool {
	d.newWindow(now)
	kind := d.set.Classes[r.Class].Kind
	none := &d.none[len(d.none)-1]
	if kind >= 0 {
		none = &d.none[kind]
	}
	if !*none {
		n := len(d.ready)
		for k, j := d.skip(r, 1, 0, 0, n); k < n; k, j = d.skip(r, 1, k+1, j+1, n) {
			w := &d.workers[d.ready[j]]
			if min(w.tickets, d.cold[w.Zone]) >= 1 || d.warmth(now, w) >= 1 {
				return false
			}
		}
		*none = true
	}
	passes := 2
	if r.Key != 0 && float64(d.keys[r.Key]) <= keyLinks {
		passes = 3
	}
	for ; passes > 0; passes-- {
		d.rng.Float64()
		d.rng.IntN(max(len(d.ready), 1))
	}
	return true
}
