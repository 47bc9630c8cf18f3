package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/fleet"
)

// teamScenario is a small form of the coming size: nine dispatchers in three regions, six teams whose jobs run for 2.5 s, one of
// them that wants times its quota.
func teamScenario(seed uint64, times int) Scenario {
	kind := fleet.Kind{Name: "m", Cores: 8, Speed: 1, Slots: 8, OnCancel: fleet.DropAll}
	sc := Scenario{Seed: seed, Dispatchers: 9, Length: 20_000, Rate: 0.5, Work: 2500, Spread: 0.4, Deadline: 60_000, Retries: 100, Backoff: 100,
		Latency: 0.3, Connect: 0.6, Window: Window{From: 8000, To: 20_000, Ramp: 1000},
		Classes: []Class{{Name: "batch", Work: 2500, Spread: 0.4, Aim: 500, Stretch: 2, Deadline: 60_000, Worth: 1, Effect: balance.Unsafe},
			{Name: "urgent", Share: 1, Work: 600, Spread: 0.4, Aim: 300, Stretch: 2, Deadline: 20_000, Worth: 1, Effect: balance.Unsafe, Urgent: true}},
		Regions: []Region{{"east", []int{0, 1, 2}}, {"mid", []int{3, 4, 5}}, {"west", []int{6, 7, 8}}}}
	for range 10 {
		sc.Backends = append(sc.Backends, Backend{Name: string(rune('a' + len(sc.Backends))), Kind: kind, Pod: len(sc.Backends) / 3})
	}
	for i := range 6 {
		sc.Tenants = append(sc.Tenants, Tenant{Name: string(rune('a' + i)), Quota: 12, Demand: 12, Class: "batch", ThinkTime: 50})
	}
	sc.Tenants[0].Demand *= times
	return sc
}

// TestTenantsRunTheirDemand: where there is room for all, each tenant has running about what it wants, no more, and each
// req has one answer. A req of a tenant that comes to three dispatchers comes to no other.
func TestTenantsRunTheirDemand(t *testing.T) {
	for seed := range uint64(4) {
		r := play(t, teamScenario(seed, 1))
		assert.Greater(t, r.Tenants.WorstShare(), 0.85, "seed %d", seed)
		assert.InDelta(t, 0.95, r.Tenants.Utilization(), 0.07)
		assert.LessOrEqual(t, r.Tenants.MaxOverQuota(), 1.0, "no more is wanted")
		assert.Equal(t, r.First, r.Served+r.Refused+r.Failed+r.Open)
		assert.Positive(t, r.Tenants.UrgentStartDelay.TotalCount())
		assert.InDelta(t, 80, r.Tenants.Slots, 0)
	}
	sc := teamScenario(1, 1)
	for i := range sc.Tenants {
		sc.Tenants[i].DispatcherCount = 3
	}
	w, err := newWorld(sc, defaults.Settings(), Module)
	if !assert.NoError(t, err) {
		return
	}
	seen := map[int]bool{}
	for region := range 3 {
		for _, s := range (&client{w: w, tenant: 2, region: region}).reachable(w.fronts()) {
			seen[s.at] = true
		}
	}
	assert.Len(t, seen, 3)
}

// TestTenantExceedsQuotaWithoutQuotas: without quotas a tenant that wants ten times its quota has several times that
// running, and others lack what is theirs. This is the fault that quotas are there for.
func TestTenantExceedsQuotaWithoutQuotas(t *testing.T) {
	for seed := range uint64(4) {
		r := play(t, teamScenario(seed, 10)).Tenants
		assert.Greater(t, r.MaxOverQuota(), 2.0, "seed %d", seed)
		assert.Less(t, r.WorstShare(), 0.95)
	}
}

// TestTenantScenarioErrors: faults of a scenario are told.
func TestTenantScenarioErrors(t *testing.T) {
	for want, harm := range map[string]func(*Scenario){
		`tenant "a" stands there twice`:        func(sc *Scenario) { sc.Tenants[1].Name = "a" },
		`tenant "a": a quota of 0`:             func(sc *Scenario) { sc.Tenants[0].Quota = 0 },
		`tenant "b": reqs of class "x"`:        func(sc *Scenario) { sc.Tenants[1].Class = "x" },
		"shares measured from 8000 to 8000 ms": func(sc *Scenario) { sc.Window.To = 8000 },
	} {
		sc := teamScenario(1, 1)
		harm(&sc)
		_, err := Play(sc, defaults.Settings())
		assert.ErrorContains(t, err, want)
	}
}
