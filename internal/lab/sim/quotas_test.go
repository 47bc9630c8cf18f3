package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// lentDay is teamDay with its quotas lent in levels.
func lentDay(seed uint64, times int) Scenario {
	sc := teamDay(seed, times)
	sc.Quotas = Quotas{Lease: 500, RegionLease: 6000, Drift: 0.001, Run: 30_000, Reserve: 2, Latency: 0.3, Far: []float64{5, 40, 70}, Elect: 1000}
	return sc
}

// TestQuotasHold: a tenant that wants ten times its quota has that quota, and each of the others what is theirs, with lost
// messages too.
func TestQuotasHold(t *testing.T) {
	for seed := range uint64(4) {
		for _, loss := range []float64{0, 0.1} {
			sc := lentDay(seed, 10)
			sc.Quotas.Loss = loss
			r := play(t, sc)
			assert.Zero(t, r.Quotas.Breaches, "%v", r.Quotas.Broken)
			assert.LessOrEqual(t, r.Tenants.Over(), 1.0)
			t.Log(seed, loss, r.Tenants.Least(), r.Tenants.Use(), r.Tenants.Over(), r.Quotas)
			for _, e := range r.Tenants.Each {
				t.Log(e, e.Part())
			}
		}
	}
}
