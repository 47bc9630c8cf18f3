package balance

import "math"

// This file holds sums that dispatcher.go would otherwise make anew for each request and each worker, so that a
// decision's cost does not grow with the fleet or with what is held. It decides nothing: each sum has a test that
// makes it anew and compares.

// kept are the sums.
type kept struct {
	values []float64 // of requests, by class, for those beyond their tenant's share after all others; NaN: not known
}

func newKept(s *Settings) kept {
	k := kept{values: make([]float64, 2*len(s.Classes))}
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
