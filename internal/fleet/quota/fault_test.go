package quota

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestOracleDetectsDefects: each fault put into the world on purpose is caught, by the oracle alone, within so many schedules.
func TestOracleDetectsDefects(t *testing.T) {
	const most = 200
	for name, f := range map[string]defects{
		"an older answer is believed":              {acceptOldResponses: true},
		"the whole lease is used, whatever clocks": {useWholeLease: true},
		"what runs after a lease is forgotten":     {ignoreRunning: true},
		"a new life lends at once":                 {skipRecovery: true},
		"two lives of a region's lender at once":   {twoLenders: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plays := rapid.Custom(func(t *rapid.T) *simulation {
				s := drawSetup(t)
				if s.defect = f; f.useWholeLease { // seen only where clocks differ much and what runs is short beside the lease
					s.up.Drift, s.down.Drift = 0.1, 0.1
					s.up.MaxRunTime, s.down.MaxRunTime = s.down.Lease/8, s.down.Lease/8
				}
				return runSchedule(t, s)
			})
			caught := 0
			for seed := range most {
				if sim := plays.Example(seed); sim.oracle.err != nil {
					if caught++; caught == 1 {
						t.Logf("schedule %d: %v", seed, sim.oracle.err)
						if os.Getenv("QUOTA_CASES") == "" {
							return
						}
					}
				}
			}
			t.Logf("caught in %d of %d schedules", caught, most)
			assert.Positive(t, caught)
		})
	}
}
