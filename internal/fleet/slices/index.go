package slices

import sorted "slices"

// shape is what the choice knows of a device: those of one shape are one candidate.
type shape struct {
	class int
	free  Amount
	empty bool
	sole  bool // one tenant alone is on it (in that tenant's index)
}

type bucket struct {
	shape
	at      int // in its index's list
	devices []*device
}

// entry is what the choice reads of a bucket, beside one another in memory.
type entry struct {
	shape
	unusable float64
	waste    float64
	bucket   *bucket
}

// index holds the devices that may take something, by shape. The open one has those that any tenant may
// still use. A tenant's has those that it has a slice on, and that either hold nobody else or no new tenant.
type index struct {
	byShape map[shape]*bucket
	list    []entry
	tenant  string
	room    bool // of a tenant
}

func newIndex() *index { return &index{byShape: map[shape]*bucket{}} }

type member struct {
	index  *index
	bucket *bucket
	pos    int
}

// reindex puts a device where its state belongs: nowhere, if it takes nothing new from just anyone.
func (t *Table) reindex(v *device) {
	for _, m := range v.members {
		m.index.remove(v, m)
		if m.index.room && len(m.index.list) == 0 {
			delete(t.rooms, m.index.tenant)
		}
	}
	v.members = v.members[:0]
	if t.choice == FirstFit || !v.ready || v.keptFor != nil || len(v.slices) >= t.limits.MaxSlices {
		return
	}
	locked := false
	for _, s := range v.slices {
		if s.demand.Isolation == Exclusive {
			return
		}
		locked = locked || s.demand.Isolation == SharedWithTenant
	}
	free := v.free(t)
	if free.Parts <= 0 || free.Memory <= 0 {
		return
	}
	sh := shape{class: v.class, free: free, empty: len(v.slices) == 0}
	full := len(v.tenants) >= t.limits.MaxTenants
	if !locked && !full {
		t.add(t.open, v, sh)
	}
	if sh.sole = len(v.tenants) == 1; sh.sole || full {
		for _, n := range v.tenants {
			x := t.rooms[n.name]
			if x == nil {
				x = newIndex()
				x.tenant, x.room = n.name, true
				t.rooms[n.name] = x
			}
			t.add(x, v, sh)
		}
	}
}

func (t *Table) add(x *index, v *device, sh shape) {
	b := x.byShape[sh]
	if b == nil {
		b = &bucket{shape: sh, at: len(x.list)}
		e := entry{shape: sh, unusable: t.unusable(&t.classes[sh.class], sh.free, sh.empty), bucket: b}
		if t.choice == Pattern {
			t.fuel = MaxWasteEvaluations
			e.waste = t.waste(&t.classes[sh.class], sh.free)
		}
		x.byShape[sh] = b
		x.list = append(x.list, e)
	}
	v.members = append(v.members, member{x, b, len(b.devices)})
	b.devices = append(b.devices, v)
}

func (x *index) remove(v *device, m member) {
	b := m.bucket
	last := b.devices[len(b.devices)-1]
	b.devices[m.pos] = last
	b.devices = b.devices[:len(b.devices)-1]
	if last != v {
		i := sorted.IndexFunc(last.members, func(o member) bool { return o.bucket == b })
		last.members[i].pos = m.pos
	}
	if len(b.devices) == 0 {
		end := x.list[len(x.list)-1]
		x.list[b.at], end.bucket.at = end, b.at
		x.list[len(x.list)-1] = entry{}
		x.list = x.list[:len(x.list)-1]
		delete(x.byShape, b.shape)
	}
}
