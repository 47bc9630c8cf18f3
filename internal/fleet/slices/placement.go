package slices

import "fmt"

// class is what devices that are alike share: a choice is made once for all of them.
type class struct {
	size           Amount // less the memory kept free
	zone           string
	profiles       []Amount
	wasteCache     map[Amount]float64
	typicalAmounts []Amount // what each demand of the typical mix counts as; zero parts: it never fits
}

// allocation is what a demand counts as on an empty device of the class; why names the limit that forbids it.
func (c *class) allocation(d *Demand) (a Amount, why string) {
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

func (c *class) shortage(d *Demand) string {
	if d.Size.Parts > c.size.Parts {
		return fmt.Sprintf("parts: %d of at most %d", d.Size.Parts, c.size.Parts)
	}
	return fmt.Sprintf("memory: %d MiB of at most %d", d.Size.Memory, c.size.Memory)
}

// smallerProfile orders profiles by the part of a device that they take, both dimensions together.
func smallerProfile(a, b, of Amount) bool {
	x, y := relativeSize(a, of), relativeSize(b, of)
	return x < y || x == y && a.Parts < b.Parts
}

func relativeSize(a, of Amount) float64 {
	return float64(a.Parts)/float64(max(of.Parts, 1)) + float64(a.Memory)/float64(max(of.Memory, 1))
}

// fits says whether a demand may be placed on a device now: it is the one judge of every placement,
// whatever the index and the choice have found. why is the first rule that forbids it.
func (t *Table) fits(v *device, d *Demand, w *waitingDemand) (a Amount, why string) {
	if !v.ready {
		return a, "device not ready"
	}
	if v.reservedFor != nil && v.reservedFor != w {
		return a, "kept for another"
	}
	a, why = t.classes[v.class].allocation(d)
	if why != "" {
		return a, why
	}
	if len(v.slices) >= t.limits.MaxSlices {
		return a, "slices a device"
	}
	mine := false
	for _, s := range v.slices {
		same := s.demand.Tenant == d.Tenant
		mine = mine || same
		if !s.demand.Isolation.acceptsNeighbour(same) || !d.Isolation.acceptsNeighbour(same) {
			return a, "isolation"
		}
	}
	if !mine && len(v.tenants) >= t.limits.MaxTenants {
		return a, "tenants a device"
	}
	if !v.free(t).contains(a) {
		return a, "room"
	}
	return a, ""
}

// couldHold says whether any device of the class couldHold hold the demand if it were empty.
func (t *Table) couldHold(class int, d *Demand) bool {
	_, why := t.classes[class].allocation(d)
	return why == ""
}

// whyImpossible is why no device known could ever hold the demand; "" if one could. Of several reasons it names
// that of the device which came nearest, by the order of the checks.
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
	nearest, rank := "no device", -1
	for i := range t.classes {
		if t.classSizes[i] == 0 {
			continue
		}
		_, why := t.classes[i].allocation(d)
		if why == "" {
			return ""
		}
		r := 0
		switch why[0] {
		case 'i': // isolation
			r = 1
		case 'p', 'm': // parts, profiles, memory
			r = 2
		}
		if r > rank {
			nearest, rank = why, r
		}
	}
	return nearest
}
