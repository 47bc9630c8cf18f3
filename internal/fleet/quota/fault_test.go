package quota

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestTheOracleSaysNo: each fault put into the world on purpose is caught, by the oracle alone, within so many schedules.
func TestTheOracleSaysNo(t *testing.T) {
	const most = 200
	for name, f := range map[string]flaw{
		"an older answer is believed":              {older: true},
		"the whole lease is used, whatever clocks": {wholeLease: true},
		"what runs after a lease is forgotten":     {noTail: true},
		"a new life lends at once":                 {noLegacy: true},
		"two lives of a region's lender at once":   {twoLives: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plays := rapid.Custom(func(t *rapid.T) *world {
				s := drawSetup(t)
				if s.flaw = f; f.wholeLease { // seen only where clocks differ much and what runs is short beside the lease
					s.up.Drift, s.down.Drift = 0.1, 0.1
					s.up.MaxRunTime, s.down.MaxRunTime = s.down.Lease/8, s.down.Lease/8
				}
				return schedule(t, s)
			})
			caught := 0
			for seed := range most {
				if w := plays.Example(seed); w.truth.bad != nil {
					if caught++; caught == 1 {
						t.Logf("schedule %d: %v", seed, w.truth.bad)
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
