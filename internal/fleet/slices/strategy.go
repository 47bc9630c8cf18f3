package slices

import "math"

// Strategy says how a device is chosen among those that fit. docs/design/slices.md has measurements of each.
type Strategy uint8

// The strategies.
const (
	FirstFit   Strategy = iota // the first device, in the order in which they were acquired
	BestFit                    // fewest processor parts left
	DotProduct                 // the demand's ratio of resources closest to that of the free amount (cosine)
	Gradient                   // smallest growth of the remainder that the typical mix cannot use
	Pattern                    // smallest growth of what no combination of the typical mix can use, then as Gradient
)

// gradientWeight is the weight of Gradient's score within Pattern's. Above 0.3 placement gets worse.
const gradientWeight = 0.1

// TypicalDemand is one kind of demand in the mix that the fleet expects. Weight is its relative frequency, in
// any unit.
type TypicalDemand struct {
	Demand Demand
	Weight float64
}

// chooseDevice returns the device on which to place a new demand, or nil if no device can take it.
func (t *Table) chooseDevice(d *Demand) (*device, Amount) {
	if t.strategy == FirstFit {
		for _, v := range t.order {
			if a, reason := t.fits(v, d, nil); reason == "" {
				return v, a
			}
		}
		return nil, Amount{}
	}
	t.wasteEvaluations = MaxWasteEvaluations
	allocations := t.allocations[:0]
	for i := range t.classes {
		a, reason := t.classes[i].allocation(d)
		if reason != "" {
			a.Parts = -1
		}
		allocations = append(allocations, a)
	}
	t.allocations = allocations
	best, score := t.searchIndex(t.openIndex, d, allocations, nil, math.Inf(1))
	if x := t.tenantIndexes[d.Tenant]; x != nil {
		best, _ = t.searchIndex(x, d, allocations, best, score)
	}
	if best == nil {
		return nil, Amount{}
	}
	v := best.devices[len(best.devices)-1]
	a, reason := t.fits(v, d, nil)
	if reason != "" { // the index contradicts the placement rules: the rules take precedence, and the demand waits
		return nil, Amount{}
	}
	return v, a
}

// searchIndex searches one index for the bucket with the lowest score. best and lowest are the result of an
// earlier search.
func (t *Table) searchIndex(x *index, d *Demand, allocations []Amount, best *bucket, lowest float64) (*bucket, float64) {
	for i := range x.list {
		b := &x.list[i]
		a := allocations[b.class]
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

// score rates a placement; lower is better. It stops early and returns limit once the score cannot be below it.
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

// unusable returns the expected part of a device (0 to 1) that is free but that the typical mix cannot use: for
// each kind of demand that does not fit, all of the free amount counts as unusable.
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

// Unusable returns the expected unusable remainder of all ready devices, in devices, and the number of ready devices.
func (t *Table) Unusable() (sum float64, devices int) {
	for _, v := range t.order {
		if v.ready {
			sum += t.unusable(&t.classes[v.class], v.free(t), len(v.slices) == 0)
			devices++
		}
	}
	return sum, devices
}

// MaxWasteEvaluations bounds the free amounts whose waste is worked out for one demand, as a mix of very small demands
// has too many combinations. Beyond it the waste is taken from the combinations tried so far.
const MaxWasteEvaluations = 4096

// MaxCachedWastes bounds the cached results of leastWaste for each class. A full cache is cleared.
const MaxCachedWastes = 1 << 16

// leastWaste returns the smallest part of a device (0 to 1, the mean of both resources) that any combination of
// the typical mix leaves unused in the free amount.
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
		return best // not cached: it may be too high
	}
	if len(c.wasteCache) >= MaxCachedWastes {
		clear(c.wasteCache)
	}
	c.wasteCache[free] = best
	return best
}
