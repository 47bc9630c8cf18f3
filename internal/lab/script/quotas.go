package script

import (
	"go.starlark.net/starlark"

	"tinsail/internal/lab/sim"
)

// quotas enables the lending of tenants' quotas in levels (root, region, dispatcher). The script must call regions()
// before.
func (r *reader) quotas(a *args) (starlark.Value, error) {
	r.once(a)
	n := len(r.sc.Regions)
	if n == 0 {
		a.fail("call regions() before")
	}
	q := sim.Quotas{Lease: a.number("lease_ms", 3000, 100, 86_400_000), RegionLease: a.number("region_lease_ms", 600_000, 100, 86_400_000),
		MaxRunTime: a.number("run_ms", 1_000_000, 0, 86_400_000), Drift: a.number("drift", 0.001, 0, 0.1), Reserve: int(a.number("urgent_reserve", 0, 0, 1e6)),
		Latency: a.number("latency_ms", 1, 0, 1e5), Loss: a.number("loss", 0, 0, 1), ElectionTime: a.number("elect_ms", 5000, 0, 1e6)}
	q.RegionDelays = make([]float64, n*(n-1)/2)
	v, ok := a.named("between_ms")
	if !ok {
		v = starlark.MakeInt(50)
	}
	list, isList := v.(starlark.Sequence)
	switch {
	case !isList:
		ms := a.bounded("between_ms", v, 0, 1e5)
		for i := range q.RegionDelays {
			q.RegionDelays[i] = ms
		}
	case list.Len() != len(q.RegionDelays):
		a.fail("between_ms holds %s, want one for each of %s, first with second, first with third", plural(list.Len(), "delay"), plural(len(q.RegionDelays), "pair"))
	default:
		i := 0
		for x := range starlark.Elements(list) {
			q.RegionDelays[i] = a.bounded("between_ms", x, 0, 1e5)
			i++
		}
	}
	r.sc.Quotas = q
	return nil, nil
}

// sever partitions a region from all others, or from one other, for some time: messages between them are lost.
func (r *reader) sever(a *args) (starlark.Value, error) {
	s := sim.Partition{Region: r.regionIndex(a, "region"), Other: -1, At: a.seconds("start", 0), Length: a.seconds("length", 300_000)}
	if _, ok := a.kw["other"]; ok {
		s.Other = r.regionIndex(a, "other")
	}
	r.sc.Partitions = append(r.sc.Partitions, s)
	return nil, nil
}

// crash kills the lender of a region, or the root lender, whose next incarnation runs in the given region.
func (r *reader) crash(a *args) (starlark.Value, error) {
	c := sim.LenderCrash{At: a.seconds("start", 0), Down: a.seconds("down", 2000), Region: -1}
	if _, ok := a.kw["to"]; ok {
		c.NextRegion = r.regionIndex(a, "to")
	} else {
		c.Region = r.regionIndex(a, "lender")
	}
	r.sc.LenderCrashes = append(r.sc.LenderCrashes, c)
	return nil, nil
}

// requota changes a tenant's quota at a given time.
func (r *reader) requota(a *args) (starlark.Value, error) {
	r.sc.QuotaChanges = append(r.sc.QuotaChanges, sim.QuotaChange{Tenant: a.text("tenant"), At: a.seconds("start", 0), Quota: int(a.number("quota", 1, 1, 1e6))})
	return nil, nil
}

// regionIndex removes a keyword argument that names a region, and returns the index of that region.
func (r *reader) regionIndex(a *args, key string) int {
	v, _ := a.named(key)
	name, _ := starlark.AsString(v)
	for i := range r.sc.Regions {
		if r.sc.Regions[i].Name == name {
			return i
		}
	}
	a.fail("%s is %q, which regions() has not named", key, name)
	return 0
}
