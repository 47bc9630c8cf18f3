package balance

import (
	"math"
	"slices"
)

// This file caches values that dispatcher.go would otherwise compute for each request and each worker, so that the
// cost of a decision does not grow with the fleet or with the number of held requests. It makes no decisions. A test
// computes each cached value again and compares.

// cache holds the cached values.
type cache struct {
	classValues       []float64   // by class, then by class for requests beyond their tenant's share; NaN if not computed
	filters           []filter    // of the ready workers, in the order of ready
	kindWeights       []weightSum // sums over the ready workers, by kind, if ...
	weightsKnown      bool        // ... they have been computed, as of ...
	weightsAt         Millis      // ... this time; they are valid ...
	weightsValidUntil Millis      // ... until this one, when a worker starts or becomes warm
	touched           []int32     // indexes of the workers that the current delta names
	noneEligible      []bool      // by kind, the last for any kind: no ready worker can take a request while held ones are served
	examined          int         // workers examined since the start, a measure of the cost of decisions
}

// filter is the part of a worker that rules out most workers for a request without reading the worker itself.
type filter struct {
	linkID uint64 // value from which link hashes are computed
	kind   int
}

func filterOf(w *worker) filter { return filter{uint64(w.ID) * 3, w.Kind} }

// weightSum sums up the ready workers of a kind. A worker's weight is its speed when warm, without the factor of
// its kind.
type weightSum struct {
	sum, growth float64 // sum of weight times capacity share, and its growth per millisecond
	largest     float64 // upper bound of the weights
}

func newCache(s *Settings) cache {
	k := cache{classValues: make([]float64, 2*len(s.Classes)), kindWeights: make([]weightSum, s.Kinds),
		noneEligible: make([]bool, s.Kinds+1)}
	k.forgetValues()
	return k
}

// forgetValues drops the cached values, since an arrival has changed their inputs.
func (k *cache) forgetValues() {
	for i := range k.classValues {
		k.classValues[i] = math.NaN()
	}
}

// cachedValue returns relativeValue, computed once after each arrival for all requests that share it.
func (d *Dispatcher) cachedValue(r *request) float64 {
	i := r.Class
	if r.overShare {
		i += len(d.cfg.Classes)
	}
	v := d.cache.classValues[i]
	if math.IsNaN(v) {
		v = d.relativeValue(r)
		d.cache.classValues[i] = v
	}
	return v
}

// applyList updates the workers from a list: it adds or updates the listed workers, updates the ready workers and
// frees the entries of workers that are gone, in the order of their indexes. The cost of a delta grows with its
// entries, not with the fleet.
func (d *Dispatcher) applyList(kind ListKind, list []Worker) {
	full := kind != ListDelta
	for i := 0; i < len(d.workers) && full; i++ { // workers that a full list omits are gone
		d.workers[i].State = Gone
	}
	d.touched = d.touched[:0]
	for _, e := range list {
		keys := keyGroups{zone: knownIndex(e.Zone, d.cfg.Zones), cell: max(e.Cell, Unknown)}
		e.Zone, e.Kind = min(max(e.Zone, 0), d.cfg.Zones-1), min(max(e.Kind, 0), d.cfg.Kinds-1)
		i, known := d.workerIndex[e.ID]
		if known && !full {
			d.countWeight(&d.workers[i], -1)
		}
		if i, known = d.upsertWorker(e); known {
			d.workers[i].keys = keys
			d.workers[i].distance = d.distanceTo(&d.workers[i])
			if !full {
				d.countWeight(&d.workers[i], 1)
				d.touched = append(d.touched, i)
			}
		}
	}
	if full {
		d.ready, d.filters, d.weightsKnown = d.ready[:0], d.filters[:0], false
		for i := range d.workers {
			if w := &d.workers[i]; w.State == Ready {
				d.ready, d.filters = append(d.ready, int32(i)), append(d.filters, filterOf(w))
			}
			d.releaseWorker(int32(i))
		}
		d.examined += len(d.workers)
		return
	}
	d.examined += len(d.touched)
	slices.Sort(d.touched)
	for _, i := range d.touched {
		d.updateReady(i)
		d.releaseWorker(i)
	}
}

// knownIndex returns an index below n as it is, and Unknown for any other.
func knownIndex(index, n int) int {
	if index < 0 || index >= n {
		return Unknown
	}
	return index
}

// updateReady adds the worker at index i to the ready workers or removes it, by its state.
func (d *Dispatcher) updateReady(i int32) {
	w := &d.workers[i]
	at, in := slices.BinarySearch(d.ready, i)
	switch {
	case w.State != Ready && in:
		d.ready, d.filters = slices.Delete(d.ready, at, at+1), slices.Delete(d.filters, at, at+1)
	case w.State == Ready && in:
		d.filters[at] = filterOf(w)
	case w.State == Ready:
		d.ready, d.filters = slices.Insert(d.ready, at, i), slices.Insert(d.filters, at, filterOf(w))
	}
}

// totalSpeed returns the sum of the speeds of the ready workers. For more than sampleSize workers it uses the sums by
// kind, which differ from it only by rounding.
func (d *Dispatcher) totalSpeed(now Millis) (total float64) {
	if len(d.ready) <= sampleSize {
		for _, i := range d.ready {
			total += d.speed(now, &d.workers[i])
		}
		return total
	}
	if !d.weightsKnown || now >= d.weightsValidUntil {
		d.weightsKnown, d.cache.weightsAt, d.weightsValidUntil = true, now, now+rateWindow // bounds the accumulated rounding errors
		clear(d.kindWeights)
		for _, i := range d.ready {
			d.addWeight(&d.workers[i], 1)
		}
	}
	for k, t := range d.kindTimeRatio {
		total += (d.kindWeights[k].sum + d.kindWeights[k].growth*(now-d.cache.weightsAt)) / (t * t)
	}
	return max(0, total)
}

// countWeight adds a worker, multiplied by times, to the sum of its kind if the worker is ready and the sums are known.
func (d *Dispatcher) countWeight(w *worker, times float64) {
	if d.weightsKnown && w.State == Ready {
		d.addWeight(w, times)
	}
}

// addWeight is countWeight without the condition.
func (d *Dispatcher) addWeight(w *worker, times float64) {
	sum, weight := &d.kindWeights[w.Kind], w.size/(w.timeRatio*w.timeRatio)
	sum.sum += times * weight * d.capacityShare(d.cache.weightsAt, w)
	if begins, ends := w.Started, w.Started+d.cfg.Rules.WarmAfter; begins > d.cache.weightsAt { // its capacity grows linearly from then on
		d.weightsValidUntil = min(d.weightsValidUntil, begins)
	} else if begins > 0 && ends > d.cache.weightsAt {
		sum.growth += times * weight * (1 - d.cfg.Rules.StartCapacity) / d.cfg.Rules.WarmAfter
		d.weightsValidUntil = min(d.weightsValidUntil, ends)
	}
	sum.largest = max(sum.largest, weight)
}

// setTimeRatio changes a worker's timeRatio and the sum of weights that depends on it.
func (d *Dispatcher) setTimeRatio(w *worker, ratio float64) {
	d.countWeight(w, -1)
	w.timeRatio = ratio
	d.countWeight(w, 1)
}

// blockedEverywhere reports whether the attempts of a request rule out every worker, whatever its group, by the rules
// of maySend.
func (d *Dispatcher) blockedEverywhere(r *request) bool {
	for k := range r.attempts {
		a := &r.attempts[k]
		if a.inFlight && !d.cfg.MayDuplicate || !a.neverRan && d.cfg.Classes[r.Class].Effect == Unsafe {
			return true
		}
	}
	return false
}

// maxLinkHash returns an upper bound of the hashes that link the request's key to a worker. linkShare is the share of
// the keys that a worker of speed 1 is linked to, or 0 if the request needs no link. The bound is negative if the
// request may go to no worker.
func (d *Dispatcher) maxLinkHash(r *request, linkShare float64) float64 {
	if d.blockedEverywhere(r) {
		return -1
	}
	if linkShare == 0 || len(d.ready) <= sampleSize {
		return 1
	}
	top := 0.0
	for k, t := range d.kindTimeRatio {
		top = max(top, d.kindWeights[k].largest/(t*t))
	}
	return linkShare * top * (1 + smoothing) // a margin, so that rounding excludes no worker
}

// nextCandidate skips ready workers from the j-th on whose kind does not run the request's class, or that are not
// linked to its key at any speed, which shortestQueue would reject one by one. k counts the workers passed, of n.
func (d *Dispatcher) nextCandidate(r *request, maxHash float64, k, j, n int) (int, int) {
	if maxHash < 0 {
		return n, j
	}
	kind := d.cfg.Classes[r.Class].Kind
	for ; k < n; k, j = k+1, j+1 {
		if j >= n {
			j -= n
		}
		f := &d.filters[j]
		if (kind < 0 || kind == f.kind) && (maxHash >= 1 || unitHash(r.Key^f.linkID) < maxHash) {
			d.examined++
			break
		}
	}
	return k, j
}

// unplaceable reports whether pick would find no worker for a held request, even when it ignores failures: either no
// listed worker runs it, or those that do are cold and have used up their budget of this window. The result is shared
// by requests of the same kind until clear(d.noneEligible); a request's own attempts could only rule out more workers.
// It makes the same random draws as pick, so that the same seed gives the same decisions.
func (d *Dispatcher) unplaceable(now Millis, r *request) bool {
	d.startColdWindow(now)
	kind := d.cfg.Classes[r.Class].Kind
	none := &d.noneEligible[len(d.noneEligible)-1]
	if kind >= 0 {
		none = &d.noneEligible[kind]
	}
	if !*none {
		n := len(d.ready)
		for k, j := d.nextCandidate(r, 1, 0, 0, n); k < n; k, j = d.nextCandidate(r, 1, k+1, j+1, n) {
			w := &d.workers[d.ready[j]]
			if min(w.coldBudget, d.zoneColdBudget[w.Zone]) >= 1 || d.capacityShare(now, w) >= 1 {
				return false
			}
		}
		*none = true
	}
	passes := 2
	if r.Key != 0 && float64(d.requestsByKey[r.Key]) <= linksPerKey {
		passes = 3
	}
	for ; passes > 0; passes-- {
		d.rng.Float64()
		d.rng.IntN(max(len(d.ready), 1))
	}
	return true
}
