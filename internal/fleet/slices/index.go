package slices

import sorted "slices"

// shape is what a strategy knows of a device. Devices of the same shape are one candidate.
type shape struct {
	class        int
	free         Amount
	empty        bool
	singleTenant bool // only one tenant has slices on it (set in that tenant's index)
}

// bucket holds the devices of one shape in an index.
type bucket struct {
	shape
	position int // in the list of its index
	devices  []*device
}

// candidate is what a strategy reads of a bucket. Candidates lie in one array, since every placement scans them.
type candidate struct {
	shape
	unusable float64
	waste    float64
	bucket   *bucket
}

// index holds, by shape, the devices that may take new slices. The open index has the devices that any tenant may
// use. A tenant's index has the devices on which the tenant has a slice and that either hold no other tenant or
// take no new tenant.
type index struct {
	byShape   map[shape]*bucket
	list      []candidate
	tenant    string
	perTenant bool // a tenant's index
}

func newIndex() *index { return &index{byShape: map[shape]*bucket{}} }

// indexEntry is the position of a device in one index.
type indexEntry struct {
	index    *index
	bucket   *bucket
	position int
}

// reindex updates the indexes after a device has changed. A device that takes no new slices, or that is reserved,
// is in no index.
func (t *Table) reindex(v *device) {
	for _, m := range v.indexEntries {
		m.index.remove(v, m)
		if m.index.perTenant && len(m.index.list) == 0 {
			delete(t.tenantIndexes, m.index.tenant)
		}
	}
	v.indexEntries = v.indexEntries[:0]
	if t.strategy == FirstFit || !v.ready || v.reservedFor != nil || len(v.slices) >= t.limits.MaxSlices {
		return
	}
	tenantOnly := false
	for _, s := range v.slices {
		if s.demand.Isolation == Exclusive {
			return
		}
		tenantOnly = tenantOnly || s.demand.Isolation == SharedWithTenant
	}
	free := v.free(t)
	if free.Parts <= 0 || free.Memory <= 0 {
		return
	}
	sh := shape{class: v.class, free: free, empty: len(v.slices) == 0}
	full := len(v.tenants) >= t.limits.MaxTenants
	if !tenantOnly && !full {
		t.add(t.openIndex, v, sh)
	}
	if sh.singleTenant = len(v.tenants) == 1; sh.singleTenant || full {
		for _, n := range v.tenants {
			x := t.tenantIndexes[n.name]
			if x == nil {
				x = newIndex()
				x.tenant, x.perTenant = n.name, true
				t.tenantIndexes[n.name] = x
			}
			t.add(x, v, sh)
		}
	}
}

func (t *Table) add(x *index, v *device, sh shape) {
	b := x.byShape[sh]
	if b == nil {
		b = &bucket{shape: sh, position: len(x.list)}
		e := candidate{shape: sh, unusable: t.unusable(&t.classes[sh.class], sh.free, sh.empty), bucket: b}
		if t.strategy == Pattern {
			t.wasteEvaluations = MaxWasteEvaluations
			e.waste = t.leastWaste(&t.classes[sh.class], sh.free)
		}
		x.byShape[sh] = b
		x.list = append(x.list, e)
	}
	v.indexEntries = append(v.indexEntries, indexEntry{x, b, len(b.devices)})
	b.devices = append(b.devices, v)
}

func (x *index) remove(v *device, m indexEntry) {
	b := m.bucket
	last := b.devices[len(b.devices)-1]
	b.devices[m.position] = last
	b.devices = b.devices[:len(b.devices)-1]
	if last != v {
		i := sorted.IndexFunc(last.indexEntries, func(o indexEntry) bool { return o.bucket == b })
		last.indexEntries[i].position = m.position
	}
	if len(b.devices) == 0 {
		end := x.list[len(x.list)-1]
		x.list[b.position], end.bucket.position = end, b.position
		x.list[len(x.list)-1] = candidate{}
		x.list = x.list[:len(x.list)-1]
		delete(x.byShape, b.shape)
	}
}
