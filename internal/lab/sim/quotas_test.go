package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/lab/defaults"
)

// quotaScenario returns teamScenario with quotas, jobs of 6 s, and more slots than the quotas use.
func quotaScenario(seed uint64, demandFactor int) Scenario {
	sc := teamScenario(seed, demandFactor)
	for i := range sc.Backends {
		sc.Backends[i].Kind.Cores, sc.Backends[i].Kind.Slots = 12, 12
	}
	sc.Classes[0].Work, sc.Length, sc.Window = 6000, 40_000, Window{From: 10_000, To: 40_000, Ramp: 1000}
	sc.Quotas = Quotas{Lease: 500, RegionLease: 9000, Drift: 0.001, MaxRunTime: 60_000, Reserve: 4, Latency: 0.3, RegionDelays: []float64{5, 40, 70}, ElectionTime: 1000}
	return sc
}

// TestQuotasHold checks that a tenant that demands ten times its quota never has more than its quota running, and
// each other tenant gets its entitlement. Urgent reqs start in time although all units of their tenants are in use,
// and the messages need little bandwidth.
func TestQuotasHold(t *testing.T) {
	for seed := range uint64(4) {
		r := runChecked(t, quotaScenario(seed, 10))
		assert.Empty(t, r.Quotas.Violations, "seed %d", seed)
		assert.Equal(t, 1.0, r.Tenants.MaxOverQuota())
		assert.Greater(t, r.Tenants.WorstShare(), 0.9)
		assert.Greater(t, r.Tenants.Utilization(), 0.92)
		assert.Less(t, float64(r.Tenants.UrgentStartDelay.Max())/1e6, 2.3)
		assert.Zero(t, r.Tenants.UrgentNeverStarted)
		assert.Positive(t, r.Tenants.UrgentStartDelay.TotalCount())
		assert.Less(t, r.Quotas.MaxByteRate, 15_000.0, "bytes a second")
	}
}

// TestQuotasUnderFaults checks that no tenant ever runs more reqs than its quota under lost messages, partitions,
// crashes, restarts and quota changes, that each req gets one answer, and that jobs still run.
func TestQuotasUnderFaults(t *testing.T) {
	for name, addFaults := range map[string]func(*Scenario){
		"lost messages":                           func(sc *Scenario) { sc.Quotas.Loss = 0.1 },
		"a region is isolated":                    func(sc *Scenario) { sc.Partitions = []Partition{{At: 8000, Length: 20_000, Region: 0, Other: -1}} },
		"two regions are cut off from each other": func(sc *Scenario) { sc.Partitions = []Partition{{At: 8000, Length: 10_000, Region: 1, Other: 2}} },
		"a region's lender crashes":               func(sc *Scenario) { sc.LenderCrashes = []LenderCrash{{At: 12_000, Down: 700, Region: 1}} },
		"the root crashes": func(sc *Scenario) {
			sc.LenderCrashes = []LenderCrash{{At: 12_000, Down: 700, Region: -1, NextRegion: 2}}
		},
		"a region's lender and the root crash at once": func(sc *Scenario) {
			sc.LenderCrashes = []LenderCrash{{At: 12_000, Down: 700, Region: 0}, {At: 12_000, Down: 900, Region: -1, NextRegion: 1}}
		},
		"dispatchers restart": func(sc *Scenario) {
			for i := range 9 {
				sc.Restarts = append(sc.Restarts, Restart{At: 9000 + 300*float64(i), Dispatcher: i, Downtime: 300, Graceful: i%2 == 0})
			}
		},
		"quotas change while a region is isolated": func(sc *Scenario) {
			sc.Partitions = []Partition{{At: 8000, Length: 15_000, Region: 2, Other: -1}}
			sc.QuotaChanges = []QuotaChange{{At: 10_000, Tenant: "a", Quota: 5}, {At: 12_000, Tenant: "b", Quota: 20}, {At: 20_000, Tenant: "a", Quota: 12}}
		},
		"clock drift, lost messages, isolation, crashes and restarts": func(sc *Scenario) {
			sc.Quotas.Drift, sc.Quotas.Loss = 0.05, 0.05
			sc.Partitions = []Partition{{At: 8000, Length: 12_000, Region: 0, Other: -1}}
			sc.LenderCrashes = []LenderCrash{{At: 14_000, Down: 300, Region: 0}, {At: 22_000, Down: 300, Region: -1, NextRegion: 0}}
			sc.Restarts = []Restart{{At: 11_000, Dispatcher: 1, Downtime: 200}, {At: 12_000, Dispatcher: 8, Downtime: 200}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				sc := quotaScenario(seed, 10)
				addFaults(&sc)
				r := runChecked(t, sc)
				assert.Empty(t, r.Quotas.Violations, "seed %d", seed)
				assert.Greater(t, r.Tenants.Utilization(), 0.25, "seed %d", seed)
			}
		})
	}
}

// TestIsolatedRegionUsesHeldUnits checks that a region that is cut off continues to start jobs with the units lent to
// it.
func TestIsolatedRegionUsesHeldUnits(t *testing.T) {
	for seed := range uint64(4) {
		sc := quotaScenario(seed, 1)
		sc.Quotas.RegionLease = 60_000
		sc.Partitions = []Partition{{At: 10_000, Length: 30_000, Region: 0, Other: -1}}
		r := runChecked(t, sc)
		assert.Empty(t, r.Quotas.Violations)
		// A third of the 72 units is lent to it, and it runs jobs of 6 s for 30 s.
		assert.Greater(t, r.Quotas.StartedIsolated, 60, "seed %d", seed)
		assert.Greater(t, r.Tenants.Utilization(), 0.67, "seed %d", seed)
	}
}

// TestKeptUnitsFaultIsDetected checks that the judge detects the injected fault: dispatchers continue to use units
// that they no longer hold.
func TestKeptUnitsFaultIsDetected(t *testing.T) {
	detected := 0
	for seed := range uint64(4) {
		sc := quotaScenario(seed, 10)
		sc.Quotas.faultKeepUnits = true
		for i := range sc.Tenants {
			sc.Tenants[i].Demand = 3 * sc.Tenants[i].Quota
		}
		if r := runChecked(t, sc); r.Quotas.ViolationCount > 0 {
			detected++
		}
	}
	assert.Equal(t, 4, detected)
}

// TestQuotasAreDeterministic checks that two runs of the same scenario with quotas have identical logs and results.
func TestQuotasAreDeterministic(t *testing.T) {
	sc := quotaScenario(3, 10)
	sc.Quotas.Loss = 0.05
	a, b := runChecked(t, sc), runChecked(t, sc)
	assert.Equal(t, a.LogHash, b.LogHash)
	assert.Equal(t, a.Quotas, b.Quotas)
}

// TestQuotaScenarioErrors checks that errors in a scenario are reported.
func TestQuotaScenarioErrors(t *testing.T) {
	for want, breakScenario := range map[string]func(*Scenario){
		"one delay for each pair of regions":                          func(sc *Scenario) { sc.Quotas.RegionDelays = nil },
		"lease is not between":                                        func(sc *Scenario) { sc.Quotas.Lease = 1 },
		"a partition separates region 7":                              func(sc *Scenario) { sc.Partitions = []Partition{{Region: 7, Other: -1}} },
		"a lender crash names region 3 and next region 0":             func(sc *Scenario) { sc.LenderCrashes = []LenderCrash{{Region: 3}} },
		`a quota change names tenant "z", which does not exist`:       func(sc *Scenario) { sc.QuotaChanges = []QuotaChange{{Tenant: "z", Quota: 1}} },
		"partitions, lender crashes and quota changes require quotas": func(sc *Scenario) { sc.Quotas, sc.Partitions = Quotas{}, []Partition{{Other: -1}} },
	} {
		sc := quotaScenario(1, 1)
		breakScenario(&sc)
		_, err := Run(sc, defaults.Settings())
		assert.ErrorContains(t, err, want)
	}
}
