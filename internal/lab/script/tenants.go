package script

import (
	"fmt"

	"go.starlark.net/starlark"

	"tinsail/internal/lab/sim"
)

// tenants adds tenants. Each has a standing demand for jobs, a multiple of its quota.
func (r *reader) tenants(a *args) (starlark.Value, error) {
	prefix := a.text("prefix")
	v, ok := a.value("count")
	if !ok {
		a.fail("count is missing")
		return nil, nil
	}
	count := int(a.bounded("count", v, 1, 10_000))
	t := sim.Tenant{Quota: int(a.number("quota", 30, 1, 1e6)), DispatcherCount: int(a.number("at", 0, 0, 1000)), ThinkTime: a.number("think_ms", 200, 0, 1e6)}
	t.Demand = int(float64(t.Quota)*a.number("times", 1, 0, 1000) + 0.5)
	if v, ok := a.named("job_class"); ok {
		t.Class, _ = starlark.AsString(v)
	}
	if t.Class == "" {
		a.fail("job_class is missing or no text")
	}
	if len(r.sc.Tenants)+count > maxTenants {
		a.fail("more than %d tenants", maxTenants)
	}
	if a.err != nil {
		return nil, nil
	}
	var names []starlark.Value
	for i := range count {
		t.Name = fmt.Sprint(prefix, i+1)
		r.sc.Tenants = append(r.sc.Tenants, t)
		names = append(names, starlark.String(t.Name))
	}
	return starlark.NewList(names), nil
}

// maxTenants limits the tenants of a scenario, in case of a typing error: each tenant has an entry in every dispatcher.
const maxTenants = 10_000

// measure sets the part of the run over which tenants' shares are measured, and the time over which their first
// requests are spread.
func (r *reader) measure(a *args) (starlark.Value, error) {
	r.once(a)
	r.sc.Window = sim.Window{From: a.seconds("start", 0), To: a.seconds("end", r.sc.Length), Ramp: a.seconds("ramp", 10_000)}
	return nil, nil
}

// regions divides the dispatchers among regions, in order and as evenly as possible.
func (r *reader) regions(a *args) (starlark.Value, error) {
	r.once(a)
	names := a.names("names")
	n := max(r.sc.Dispatchers, 1)
	if a.err == nil && (len(names) == 0 || len(names) > n) {
		a.fail("names holds %s for %s; call dispatchers() before", plural(len(names), "region"), plural(n, "dispatcher"))
	}
	if a.err != nil {
		return nil, nil
	}
	for i, name := range names {
		g := sim.Region{Name: name}
		for at := i * n / len(names); at < (i+1)*n/len(names); at++ {
			g.Dispatchers = append(g.Dispatchers, at)
		}
		r.sc.Regions = append(r.sc.Regions, g)
	}
	return nil, nil
}

// dispatchersOf returns the dispatchers of the region with this name.
func (r *reader) dispatchersOf(a *args, name string) []int {
	for i := range r.sc.Regions {
		if r.sc.Regions[i].Name == name {
			return r.sc.Regions[i].Dispatchers
		}
	}
	a.fail("region is %q, which regions() has not named", name)
	return nil
}
