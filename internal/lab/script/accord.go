package script

import (
	"go.starlark.net/starlark"

	"tinsail/internal/lab/sim"
)

// accord makes the dispatchers agree on policy versions and accept requests under the version in force.
func (r *reader) accord(a *args) (starlark.Value, error) {
	r.once(a)
	r.sc.Accord = sim.Accord{Lease: a.number("lease_ms", 3000, 100, 600_000), Drift: a.number("drift", 0.001, 0, 0.1),
		ContinueWhenCut: oneOf(a, "when_cut", "stop", map[string]bool{"stop": false, "keep": true}),
		Latency:         a.number("latency_ms", 1, 0, 1e5), Loss: a.number("loss", 0, 0, 1), FlushTime: a.number("flush_ms", 5, 0, 1e5),
		CheckTime: a.number("check_ms", 2, 0, 1e5), ProbeInterval: a.number("probe_ms", 1000, 1, 1e6)}
	return nil, nil
}

// cut disconnects dispatchers, numbered from 0, or all dispatchers of a region, from the accord.
func (r *reader) cut(a *args) (starlark.Value, error) {
	c := sim.Cut{At: a.seconds("start", 0), Length: a.seconds("length", 10_000)}
	if v, ok := a.named("region"); ok {
		name, _ := starlark.AsString(v)
		c.Dispatchers = r.dispatchersOf(a, name)
		r.sc.Cuts = append(r.sc.Cuts, c)
		return nil, nil
	}
	v, ok := a.value("dispatchers")
	list, isList := v.(starlark.Iterable)
	if !ok || !isList {
		a.fail("dispatchers is missing, or no list of numbers")
		return nil, nil
	}
	for x := range starlark.Elements(list) {
		c.Dispatchers = append(c.Dispatchers, int(a.bounded("dispatchers", x, 0, 999)))
	}
	r.sc.Cuts = append(r.sc.Cuts, c)
	return nil, nil
}

// change makes a dispatcher, numbered from 0, propose a new policy version.
func (r *reader) change(a *args) (starlark.Value, error) {
	r.sc.PolicyChanges = append(r.sc.PolicyChanges, sim.PolicyChange{At: a.seconds("start", 0), Dispatcher: int(a.number("dispatcher", 0, 0, 999))})
	return nil, nil
}
