package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/fleet"
)

// teamScenario returns a small scenario with nine dispatchers in three regions and six tenants whose jobs run for
// 2.5 s. The demand of the first tenant is demandFactor times its quota, that of the others equals their quota.
func teamScenario(seed uint64, demandFactor int) Scenario {
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
	sc.Tenants[0].Demand *= demandFactor
	return sc
}

// TestTenantsRunTheirDemand checks that if there are slots for all, each tenant has about as many jobs running as it
// demands and not more, and each req gets one answer. Reqs of a tenant that is limited to three dispatchers go to no
// other.
func TestTenantsRunTheirDemand(t *testing.T) {
	for seed := range uint64(4) {
		r := runChecked(t, teamScenario(seed, 1))
		assert.Greater(t, r.Tenants.WorstShare(), 0.85, "seed %d", seed)
		assert.InDelta(t, 0.95, r.Tenants.Utilization(), 0.07)
		assert.LessOrEqual(t, r.Tenants.MaxOverQuota(), 1.0, "no tenant demands more than its quota")
		assert.Equal(t, r.Reqs, r.Served+r.Refused+r.Failed+r.Unanswered)
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
	used := map[int]bool{}
	for region := range 3 {
		for _, s := range (&client{world: w, tenant: 2, region: region}).reachable(w.routedDispatchers()) {
			used[s.index] = true
		}
	}
	assert.Len(t, used, 3)
}

// TestTenantExceedsQuotaWithoutQuotas checks that without quotas a tenant that demands ten times its quota has
// several times its quota running, and other tenants get less than their entitlement. Quotas exist to prevent this.
func TestTenantExceedsQuotaWithoutQuotas(t *testing.T) {
	for seed := range uint64(4) {
		r := runChecked(t, teamScenario(seed, 10)).Tenants
		assert.Greater(t, r.MaxOverQuota(), 2.0, "seed %d", seed)
		assert.Less(t, r.WorstShare(), 0.95)
	}
}

// TestTenantScenarioErrors checks that errors in a scenario are reported.
func TestTenantScenarioErrors(t *testing.T) {
	for want, breakScenario := range map[string]func(*Scenario){
		`tenant name "a" is empty or not unique`:  func(sc *Scenario) { sc.Tenants[1].Name = "a" },
		`tenant "a": invalid quota 0`:             func(sc *Scenario) { sc.Tenants[0].Quota = 0 },
		`tenant "b": class "x" does not exist`:    func(sc *Scenario) { sc.Tenants[1].Class = "x" },
		"measurement window from 8000 to 8000 ms": func(sc *Scenario) { sc.Window.To = 8000 },
	} {
		sc := teamScenario(1, 1)
		breakScenario(&sc)
		_, err := Run(sc, defaults.Settings())
		assert.ErrorContains(t, err, want)
	}
}
