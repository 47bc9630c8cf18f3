package slices

import "math"

// Strategy is how a device is chosen among those that fit; docs/design/slices.md has them measured.
type Strategy uint8

// The choices.
const (
	FirstFit   Strategy = iota // the first device, in the order in which they came
	BestFit                    // the fewest parts left
	DotProduct                 // the demand that points most as the room does (cosine)
	Gradient                   // the unusable remainder for the typical mix grows least
	Pattern                    // what no combination of the typical mix can use grows least, then as Gradient
)

// gradientWeight is how much of Gradient's score counts beside Pattern's own; above 0.3 the figures get worse.
const gradientWeight = 0.1

// TypicalDemand is one kind of demand in the mix that the fleet expects, and how often it comes (any unit).
type TypicalDemand struct {
	Demand Demand
	Weight float64
}

// chooseDevice is the device for a newcomer, nil if none has room.
func (t *Table) chooseDevice(d *Demand) (*device, Amount) {
	if t.strategy == FirstFit {
		for _, v := range t.order {
			if a, why := t.fits(v, d, nil); why == "" {
				return v, a
			}
		}
		return nil, Amount{}
	}
	t.wasteEvaluations = MaxWasteEvaluations
	charges := t.allocations[:0]
	for i := range t.classes {
		a, why := t.classes[i].allocation(d)
		if why != "" {
			a.Parts = -1
		}
		charges = append(charges, a)
	}
	t.allocations = charges
	best, score := t.searchIndex(t.openIndex, d, charges, nil, math.Inf(1))
	if x := t.tenantIndexes[d.Tenant]; x != nil {
		best, _ = t.searchIndex(x, d, charges, best, score)
	}
	if best == nil {
		return nil, Amount{}
	}
	v := best.devices[len(best.devices)-1]
	a, why := t.fits(v, d, nil)
	if why != "" { // the index and the rules do not agree: the rules hold, and the demand waits
		return nil, Amount{}
	}
	return v, a
}

// searchIndex looks through one index; best is what another has found, with its score.
func (t *Table) searchIndex(x *index, d *Demand, charges []Amount, best *bucket, lowest float64) (*bucket, float64) {
	for i := range x.list {
		b := &x.list[i]
		a := charges[b.class]
		if a.Parts < 0 || !b.free.contains(a) || d.Isolation == Exclusive && !b.empty {
			continue
		}
		if d.Isolation == SharedWithTenant && !b.empty && !b.singleTenant {
			continue
		}
		if s := t.score(b, a, lowest); s < lowest {
			best, lowest = b.bucket, s
		}
	}
	return best, lowest
}

// score is lower for the better device. What is found not to be below limit is not worked out any further.
func (t *Table) score(b *candidate, a Amount, limit float64) float64 {
	c := &t.classes[b.class]
	left := b.free.minus(a)
	switch t.strategy {
	case DotProduct:
		p, m := float64(c.size.Parts), float64(c.size.Memory)
		x, y := float64(b.free.Parts)/p, float64(b.free.Memory)/m
		u, v := float64(a.Parts)/p, float64(a.Memory)/m
		return -(x*u+y*v)/math.Sqrt((x*x+y*y)*(u*u+v*v)) + 1e-3*relativeSize(left, c.size)
	case Gradient:
		return t.unusable(c, left, false) - b.unusable + 1e-3*relativeSize(left, c.size)
	case Pattern:
		least := -b.waste + 1e-3*relativeSize(left, c.size)
		if least-gradientWeight*b.unusable >= limit {
			return limit
		}
		if least += gradientWeight * (t.unusable(c, left, false) - b.unusable); least >= limit {
			return limit
		}
		return least + t.leastWaste(c, left)
	default:
		return float64(left.Parts) / float64(c.size.Parts)
	}
}

// unusable is the part of a device's room (0 to 1) that the typical mix is expected not to be able to
// use: for each kind of demand that does not fit, all of the room.
func (t *Table) unusable(c *class, free Amount, empty bool) float64 {
	if free.Parts <= 0 || free.Memory <= 0 {
		return float64(max(free.Parts, 0)) / float64(c.size.Parts)
	}
	sum, all := 0.0, 0.0
	for i := range c.typicalAmounts {
		w := t.mix[i].Weight
		all += w
		a := c.typicalAmounts[i]
		if a.Parts == 0 || !free.contains(a) || t.mix[i].Demand.Isolation == Exclusive && !empty {
			sum += w
		}
	}
	if all == 0 {
		return 0
	}
	return sum / all * float64(free.Parts) / float64(c.size.Parts)
}

// Unusable is the expected unusable remainder over all devices that are ready, and their number: in devices.
func (t *Table) Unusable() (sum float64, devices int) {
	for _, v := range t.order {
		if v.ready {
			sum += t.unusable(&t.classes[v.class], v.free(t), len(v.slices) == 0)
			devices++
		}
	}
	return sum, devices
}

// MaxWasteEvaluations bounds the rooms whose waste is worked out for one demand, against a mix of very small demands: above
// it a room's waste is taken for what the combinations tried so far leave.
const MaxWasteEvaluations = 4096

// MaxCachedWastes bounds the rooms whose waste is remembered, for each class; above it they are begun anew.
const MaxCachedWastes = 1 << 16

// leastWaste is the least part of a device's room (0 to 1, of both dimensions' mean) that is left over by any
// combination of the typical mix.
func (t *Table) leastWaste(c *class, free Amount) float64 {
	if free.Parts <= 0 || free.Memory <= 0 {
		return (float64(max(free.Parts, 0))/float64(c.size.Parts) + float64(max(free.Memory, 0))/float64(c.size.Memory)) / 2
	}
	if w, has := c.wasteCache[free]; has {
		return w
	}
	best := relativeSize(free, c.size) / 2
	if t.wasteEvaluations--; t.wasteEvaluations < 0 {
		return best
	}
	for _, a := range c.typicalAmounts {
		if a.Parts > 0 && free.contains(a) {
			best = min(best, t.leastWaste(c, free.minus(a)))
		}
	}
	if t.wasteEvaluations <= 0 {
		return best // not remembered: it may be too high
	}
	if len(c.wasteCache) >= MaxCachedWastes {
		clear(c.wasteCache)
	}
	c.wasteCache[free] = best
	return best
}
