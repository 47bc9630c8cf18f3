package balance

import "math"

// This file holds sums that dispatcher.go would otherwise make anew for each request and each worker, so that a
// decision's cost does not grow with the fleet or with what is held. It decides nothing: each sum has a test that
// makes it anew and compares.

// kept are the sums.
type kept struct {
	values []float64 // of requests, by class, for those beyond their tenant's share after all others; NaN: not known
	marks  []mark    // of the ready workers, in their order
	byKind []weights // of the ready workers, by kind, as of ...
	at     Millis    // ... this time; 0: not known
	none   []bool    // by kind, the last for any: no ready worker can take a request while the held are served
	looks  int       // at workers, since the start: what a decision's cost grows with
}

// mark is what tells of most workers that a request cannot go there, without a look at them.
type mark struct {
	id   uint64 // as link hashes are made of it
	kind int
}

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

// relisted makes the marks of a new list of ready workers.
func (d *Dispatcher) relisted() {
	d.marks, d.kept.at = d.marks[:0], 0
	for _, i := range d.ready {
		w := &d.workers[i]
		d.marks = append(d.marks, mark{uint64(w.ID) * 3, w.Kind})
	}
}

// allSpeed sums up the speeds of the ready workers. In a fleet of more than sample workers it goes by sums that are
// made anew every window, with a straight line for what has warmed up since.
func (d *Dispatcher) allSpeed(now Millis) (total float64) {
	if len(d.ready) <= sample {
		for _, i := range d.ready {
			total += d.speed(now, &d.workers[i])
		}
		return total
	}
	if d.kept.at == 0 || now-d.kept.at >= window {
		d.kept.at = now
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

// weigh adds a ready worker to its kind's weights, some times.
func (d *Dispatcher) weigh(w *worker, times float64) {
	sum, weight := &d.byKind[w.Kind], w.size/(w.pace*w.pace)
	warm := d.warmth(d.kept.at, w)
	sum.sum += times * weight * warm
	if warm < 1 {
		sum.rise += times * weight * (1 - d.set.Rules.StartCapacity) / d.set.Rules.WarmAfter
	}
	sum.top = max(sum.top, weight)
}

// setPace changes a worker's pace.
func (d *Dispatcher) setPace(w *worker, pace float64) {
	counted := d.kept.at > 0 && w.State == Ready
	if counted {
		d.weigh(w, -1)
	}
	if w.pace = pace; counted {
		d.weigh(w, 1)
	}
}

// reach is a hash that no link's of a key is above, given the part of the keys that a worker of speed 1 is linked to;
// 0 is for requests that need no link.
func (d *Dispatcher) reach(keyed float64) float64 {
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
// It makes pick's draws, so that the same seed decides the same.
func (d *Dispatcher) hopeless(now Millis, r *request) bool {
	if len(r.attempts) > 0 { // what was tried already stands against others
		return false
	}
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
