package quota

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestOracleDetectsDefects checks that the oracle alone detects each of a set of defects that are built in on purpose,
// within a limited number of schedules.
func TestOracleDetectsDefects(t *testing.T) {
	const maxSchedules = 200
	for name, f := range map[string]defects{
		"response to an older request is accepted":     {acceptOldResponses: true},
		"whole lease is used regardless of drift":      {useWholeLease: true},
		"requests in flight after a lease are ignored": {ignoreRunning: true},
		"a new incarnation lends at once":              {skipRecovery: true},
		"two lenders of a region at once":              {twoLenders: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := rapid.Custom(func(t *rapid.T) *simulation {
				s := drawSetup(t)
				if s.defect = f; f.useWholeLease { // has an effect only with a large drift and short requests
					s.up.Drift, s.down.Drift = 0.1, 0.1
					s.up.MaxRunTime, s.down.MaxRunTime = s.down.Lease/8, s.down.Lease/8
				}
				return runSchedule(t, s)
			})
			detected := 0
			for seed := range maxSchedules {
				if sim := runs.Example(seed); sim.oracle.err != nil {
					if detected++; detected == 1 {
						t.Logf("schedule %d: %v", seed, sim.oracle.err)
						if os.Getenv("QUOTA_CASES") == "" {
							return
						}
					}
				}
			}
			t.Logf("detected in %d of %d schedules", detected, maxSchedules)
			assert.Positive(t, detected)
		})
	}
}
