package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/lab/defaults"
)

// quotaScenario is teamDay with its quotas lent in levels, jobs of 6 s, and backends that are not full of them.
func quotaScenario(seed uint64, times int) Scenario {
	sc := teamScenario(seed, times)
	for i := range sc.Backends {
		sc.Backends[i].Kind.Cores, sc.Backends[i].Kind.Slots = 12, 12
	}
	sc.Classes[0].Work, sc.Length, sc.Window = 6000, 40_000, Window{From: 10_000, To: 40_000, Ramp: 1000}
	sc.Quotas = Quotas{Lease: 500, RegionLease: 9000, Drift: 0.001, MaxRunTime: 60_000, Reserve: 4, Latency: 0.3, RegionDelays: []float64{5, 40, 70}, ElectionTime: 1000}
	return sc
}

// TestQuotasHold: a tenant that wants ten times its quota has that quota, never more, and each of the others what is
// theirs; urgent reqs begin in time though their tenants' units are all in use, and messages cost little.
func TestQuotasHold(t *testing.T) {
	for seed := range uint64(4) {
		r := play(t, quotaScenario(seed, 10))
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

// TestQuotasUnderFaults: whatever is lost, cut off, killed or changed, no more runs for a tenant than its quota, and each
// req has one answer.
func TestQuotasUnderFaults(t *testing.T) {
	for name, harm := range map[string]func(*Scenario){
		"loss":                   func(sc *Scenario) { sc.Quotas.Loss = 0.1 },
		"a region cut off":       func(sc *Scenario) { sc.Partitions = []Partition{{At: 8000, Length: 20_000, Region: 0, Other: -1}} },
		"two lose each other":    func(sc *Scenario) { sc.Partitions = []Partition{{At: 8000, Length: 10_000, Region: 1, Other: 2}} },
		"a region's lender dies": func(sc *Scenario) { sc.LenderCrashes = []LenderCrash{{At: 12_000, Down: 700, Region: 1}} },
		"the root dies": func(sc *Scenario) {
			sc.LenderCrashes = []LenderCrash{{At: 12_000, Down: 700, Region: -1, NextRegion: 2}}
		},
		"both die at once": func(sc *Scenario) {
			sc.LenderCrashes = []LenderCrash{{At: 12_000, Down: 700, Region: 0}, {At: 12_000, Down: 900, Region: -1, NextRegion: 1}}
		},
		"dispatchers restart": func(sc *Scenario) {
			for i := range 9 {
				sc.Restarts = append(sc.Restarts, Restart{At: 9000 + 300*float64(i), Node: i, Down: 300, Orderly: i%2 == 0})
			}
		},
		"quotas change while cut off": func(sc *Scenario) {
			sc.Partitions = []Partition{{At: 8000, Length: 15_000, Region: 2, Other: -1}}
			sc.QuotaChanges = []QuotaChange{{At: 10_000, Tenant: "a", Quota: 5}, {At: 12_000, Tenant: "b", Quota: 20}, {At: 20_000, Tenant: "a", Quota: 12}}
		},
		"clocks drift, all at once": func(sc *Scenario) {
			sc.Quotas.Drift, sc.Quotas.Loss = 0.05, 0.05
			sc.Partitions = []Partition{{At: 8000, Length: 12_000, Region: 0, Other: -1}}
			sc.LenderCrashes = []LenderCrash{{At: 14_000, Down: 300, Region: 0}, {At: 22_000, Down: 300, Region: -1, NextRegion: 0}}
			sc.Restarts = []Restart{{At: 11_000, Node: 1, Down: 200}, {At: 12_000, Node: 8, Down: 200}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				sc := quotaScenario(seed, 10)
				harm(&sc)
				r := play(t, sc)
				assert.Empty(t, r.Quotas.Violations, "seed %d", seed)
				assert.Greater(t, r.Tenants.Utilization(), 0.25, "seed %d", seed)
			}
		})
	}
}

// TestIsolatedRegionUsesHeldUnits: a region that is cut off goes on beginning jobs by the units lent to it.
func TestIsolatedRegionUsesHeldUnits(t *testing.T) {
	for seed := range uint64(4) {
		sc := quotaScenario(seed, 1)
		sc.Quotas.RegionLease = 60_000
		sc.Partitions = []Partition{{At: 10_000, Length: 30_000, Region: 0, Other: -1}}
		r := play(t, sc)
		assert.Empty(t, r.Quotas.Violations)
		// A third of the 72 units are lent to it, and it has jobs of 6 s for 30 s.
		assert.Greater(t, r.Quotas.StartedIsolated, 60, "seed %d", seed)
		assert.Greater(t, r.Tenants.Utilization(), 0.67, "seed %d", seed)
	}
}

// TestKeptUnitsFaultIsDetected: the judge finds dispatchers that go on by what was lent to them once.
func TestKeptUnitsFaultIsDetected(t *testing.T) {
	seen := 0
	for seed := range uint64(4) {
		sc := quotaScenario(seed, 10)
		sc.Quotas.faultKeepUnits = true
		for i := range sc.Tenants {
			sc.Tenants[i].Demand = 3 * sc.Tenants[i].Quota
		}
		if r := play(t, sc); r.Quotas.ViolationCount > 0 {
			seen++
		}
	}
	assert.Equal(t, 4, seen)
}

// TestQuotasAreDeterministic: a run with quotas is the same to the byte.
func TestQuotasAreDeterministic(t *testing.T) {
	sc := quotaScenario(3, 10)
	sc.Quotas.Loss = 0.05
	a, b := play(t, sc), play(t, sc)
	assert.Equal(t, a.Hash, b.Hash)
	assert.Equal(t, a.Quotas, b.Quotas)
}

// TestQuotaScenarioErrors: faults of a scenario are told.
func TestQuotaScenarioErrors(t *testing.T) {
	for want, harm := range map[string]func(*Scenario){
		"a delay for each pair":                func(sc *Scenario) { sc.Quotas.RegionDelays = nil },
		"lease is not between":                 func(sc *Scenario) { sc.Quotas.Lease = 1 },
		"region 7 is cut off":                  func(sc *Scenario) { sc.Partitions = []Partition{{Region: 7, Other: -1}} },
		"the lender of region 3 is killed":     func(sc *Scenario) { sc.LenderCrashes = []LenderCrash{{Region: 3}} },
		`quota of tenant "z", which is none`:   func(sc *Scenario) { sc.QuotaChanges = []QuotaChange{{Tenant: "z", Quota: 1}} },
		"spans, crashes and changes of quotas": func(sc *Scenario) { sc.Quotas, sc.Partitions = Quotas{}, []Partition{{Other: -1}} },
	} {
		sc := quotaScenario(1, 1)
		harm(&sc)
		_, err := Play(sc, defaults.Settings())
		assert.ErrorContains(t, err, want)
	}
}
