package balance

import (
	"math"
	"slices"
)

// This file holds sums that dispatcher.go would otherwise make anew for each request and each worker, so that a
// decision's cost does not grow with the fleet or with what is held. It decides nothing: each sum has a test that
// makes it anew and compares.

// kept are the sums.
type kept struct {
	values []float64 // of requests, by class, for those beyond their tenant's share after all others; NaN: not known
	marks  []mark    // of the ready workers, in their order
	byKind []weights // of the ready workers, by kind, if ...
	summed bool      // ... they have been made, as of ...
	at     Millis    // ... this time ...
	bend   Millis    // ... and good until then: a worker starts or becomes warm
	seated []int32   // places that a list has touched
	none   []bool    // by kind, the last for any: no ready worker can take a request while the held are served
	looks  int       // at workers, since the start: what a decision's cost grows with
}

// mark is what tells of most workers that a request cannot go there, without a look at them.
type mark struct {
	id   uint64 // as link hashes are made of it
	kind int
}

func markOf(w *worker) mark { return mark{uint64(w.ID) * 3, w.Kind} }

// weights sum up the ready workers of a kind. A worker's weight is its speed when warm, but for its kind's part.
type weights struct {
	sum, rise float64 // of weight times warmth, and by how much that grows in a millisecond
	top       float64 // no worker's weight is above it
}

func newKept(s *Settings) kept {
	k := kept{values: make([]float64, 2*len(s.Classes)), byKind: make([]weights, s.Kinds),
		none: make([]bool, s.Kinds+1)}
	k.metered()
	return k
}

// metered forgets the values: an arrival has changed what they rest on.
func (k *kept) metered() {
	for i := range k.values {
		k.values[i] = math.NaN()
	}
}

// valueOf is value, worked out once after each arrival for requests that are alike.
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

// relist seats the workers of a list, puts those that are ready in line and lets go of places of those that are gone,
// in the order of their places. A delta costs what it names, not what the fleet holds.
func (d *Dispatcher) relist(kind ListKind, list []Worker) {
	full := kind != ListDelta
	for i := 0; i < len(d.workers) && full; i++ { // who is not in a full list is gone
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

// line puts the worker in a place in line or takes it out, as it is ready or not.
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

// allSpeed sums up the speeds of the ready workers. In a fleet of more than sample workers it goes by the sums by kind,
// which are the same but for rounding.
func (d *Dispatcher) allSpeed(now Millis) (total float64) {
	if len(d.ready) <= sample {
		for _, i := range d.ready {
			total += d.speed(now, &d.workers[i])
		}
		return total
	}
	if !d.summed || now >= d.bend {
		d.summed, d.kept.at, d.bend = true, now, now+window // no longer, so that roundings do not add up
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

// count adds a worker to its kind's weights, some times, if it is ready and they are known.
func (d *Dispatcher) count(w *worker, times float64) {
	if d.summed && w.State == Ready {
		d.weigh(w, times)
	}
}

// weigh is count without the condition.
func (d *Dispatcher) weigh(w *worker, times float64) {
	sum, weight := &d.byKind[w.Kind], w.size/(w.pace*w.pace)
	sum.sum += times * weight * d.warmth(d.kept.at, w)
	if begins, ends := w.Started, w.Started+d.set.Rules.WarmAfter; begins > d.kept.at { // its warmth is a line from then on
		d.bend = min(d.bend, begins)
	} else if begins > 0 && ends > d.kept.at {
		sum.rise += times * weight * (1 - d.set.Rules.StartCapacity) / d.set.Rules.WarmAfter
		d.bend = min(d.bend, ends)
	}
	sum.top = max(sum.top, weight)
}

// setPace changes a worker's pace.
func (d *Dispatcher) setPace(w *worker, pace float64) {
	d.count(w, -1)
	w.pace = pace
	d.count(w, 1)
}

// barred says that what has been tried of a request stands against every worker, whatever its group: legal says why.
func (d *Dispatcher) barred(r *request) bool {
	for k := range r.attempts {
		a := &r.attempts[k]
		if a.out && !d.set.MayDuplicate || !a.never && d.set.Classes[r.Class].Effect == Unsafe {
			return true
		}
	}
	return false
}

// reach is a hash that no link's of the request's key is above, given the part of the keys that a worker of speed 1 is
// linked to, 0 if the request needs no link. It is below 0 if no worker may have the request.
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
	return keyed * top * (1 + gain) // no rounding may leave a worker out
}

// skip passes over ready workers from the j-th on that are of a kind that does not run the request's class, or not
// linked to its key, whatever their speed: shortest would turn them away one by one. It counts them in k as well, up to all n.
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

// hopeless says that pick would find no worker for a held request, doubt or no doubt, as for others of its kind since
// clear(d.none): the list names none that runs it, or those are cold and have had what they can take in this window.
// What a request has tried already could only stand against more. It makes pick's draws, so that the same seed decides the same.
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
