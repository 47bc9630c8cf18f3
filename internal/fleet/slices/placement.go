package slices

import "fmt"

// class is what identical devices have in common. Placement decisions are worked out once per class.
type class struct {
	size           Amount // without the reserved memory
	zone           string
	profiles       []Amount
	wasteCache     map[Amount]float64 // results of leastWaste by free amount
	typicalAmounts []Amount           // allocation of each demand of the typical mix; zero parts: it never fits
}

// allocation returns what a demand is allocated on an empty device of the class, or the reason why the class
// cannot hold it.
func (c *class) allocation(d *Demand) (a Amount, reason string) {
	if d.Zone != "" && d.Zone != c.zone {
		return a, "zone"
	}
	if d.Isolation == Exclusive {
		if !c.size.contains(d.Size) {
			return a, c.shortage(d)
		}
		return c.size, ""
	}
	if d.Isolation == Partitioned && len(c.profiles) == 0 {
		return a, "isolation: no fixed profiles"
	}
	if !c.size.contains(d.Size) {
		return a, c.shortage(d)
	}
	if len(c.profiles) == 0 {
		return d.Size, ""
	}
	found := false
	for _, p := range c.profiles {
		if p.contains(d.Size) && c.size.contains(p) && (!found || smallerProfile(p, a, c.size)) {
			a, found = p, true
		}
	}
	if !found {
		return a, "profiles: none is large enough"
	}
	return a, ""
}

// shortage names the resource of which the demand asks more than the device has.
func (c *class) shortage(d *Demand) string {
	if d.Size.Parts > c.size.Parts {
		return fmt.Sprintf("parts: %d of at most %d", d.Size.Parts, c.size.Parts)
	}
	return fmt.Sprintf("memory: %d MiB of at most %d", d.Size.Memory, c.size.Memory)
}

// smallerProfile orders profiles by the part of a device that they take, both resources together.
func smallerProfile(a, b, of Amount) bool {
	x, y := relativeSize(a, of), relativeSize(b, of)
	return x < y || x == y && a.Parts < b.Parts
}

// relativeSize returns the sum of a's shares of both resources.
func relativeSize(a, of Amount) float64 {
	return float64(a.Parts)/float64(max(of.Parts, 1)) + float64(a.Memory)/float64(max(of.Memory, 1))
}

// fits reports whether a demand may be placed on a device now. Every placement passes this check, whatever the
// index and the strategy have found. If reason is not empty, it names the first rule that forbids the placement.
func (t *Table) fits(v *device, d *Demand, w *waitingDemand) (a Amount, reason string) {
	if !v.ready {
		return a, "device not ready"
	}
	if v.reservedFor != nil && v.reservedFor != w {
		return a, "kept for another"
	}
	a, reason = t.classes[v.class].allocation(d)
	if reason != "" {
		return a, reason
	}
	if len(v.slices) >= t.limits.MaxSlices {
		return a, "slices a device"
	}
	tenantPresent := false
	for _, s := range v.slices {
		same := s.demand.Tenant == d.Tenant
		tenantPresent = tenantPresent || same
		if !s.demand.Isolation.acceptsNeighbour(same) || !d.Isolation.acceptsNeighbour(same) {
			return a, "isolation"
		}
	}
	if !tenantPresent && len(v.tenants) >= t.limits.MaxTenants {
		return a, "tenants a device"
	}
	if !v.free(t).contains(a) {
		return a, "room"
	}
	return a, ""
}

// couldHold reports whether an empty device of the class could hold the demand.
func (t *Table) couldHold(class int, d *Demand) bool {
	_, reason := t.classes[class].allocation(d)
	return reason == ""
}

// whyImpossible returns why no known device could hold the demand even when empty, or "" if one could. If the
// classes have different reasons, it returns the one of the class that passed the most checks.
func (t *Table) whyImpossible(d *Demand) string {
	if d.ID == "" || len(d.ID) > MaxNameBytes || len(d.Tenant) > MaxNameBytes {
		return "id or tenant: length"
	}
	if d.Size.Parts < 1 || d.Size.Memory < 1 || d.Size.Parts > MaxParts || d.Size.Memory > MaxMemory || d.Isolation > Exclusive {
		return "demand out of range"
	}
	if d.Lifetime <= 0 || d.Lifetime > t.limits.MaxLifetime {
		return fmt.Sprintf("lifetime: %v, above 0 and at most %v", d.Lifetime, t.limits.MaxLifetime)
	}
	nearest, highest := "no device", -1
	for i := range t.classes {
		if t.classSizes[i] == 0 {
			continue
		}
		_, reason := t.classes[i].allocation(d)
		if reason == "" {
			return ""
		}
		rank := 0
		switch reason[0] {
		case 'i': // isolation
			rank = 1
		case 'p', 'm': // parts, profiles, memory
			rank = 2
		}
		if rank > highest {
			nearest, highest = reason, rank
		}
	}
	return nearest
}
