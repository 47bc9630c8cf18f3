package judge

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestQuotaViolations checks that the QuotaChecker reports each start beyond a tenant's quota or beyond the reserve,
// and no other.
func TestQuotaViolations(t *testing.T) {
	s := QuotaChecker{LoweringGrace: 100, Reserve: 2}
	s.SetQuota(0, "a", 2)
	s.SetQuota(0, "b", 1)
	for range 50 {
		s.HandleStart(1, "free", false)
	}
	s.HandleStart(1, "a", false)
	s.HandleStart(1, "a", false)
	assert.Zero(t, s.Count())
	s.HandleStart(2, "a", false)
	assert.Equal(t, 1, s.Count())
	assert.Contains(t, s.Violations()[0].String(), "3 of a run beside 0 urgent ones, its quota is 2")
	s.HandleEnd("a", false)

	s.HandleStart(3, "a", true)
	s.HandleStart(3, "b", true) // uses b's own unit
	s.HandleStart(3, "b", true)
	assert.Equal(t, 1, s.Count(), "the reserve has two units")
	s.HandleStart(3, "b", true)
	assert.Equal(t, 2, s.Count())
	assert.Contains(t, s.Violations()[1].Message, "3 urgent reqs run beyond their tenants' quotas, the reserve is 2")
	s.HandleEnd("b", true)

	s.HandleStart(4, "b", false) // an urgent request uses b's own unit, and the reserve is used up
	assert.Equal(t, 3, s.Count())
	s.HandleEnd("b", false)

	s.SetQuota(50, "a", 1)
	s.HandleEnd("a", false)
	s.HandleStart(149, "a", false)
	assert.Equal(t, 3, s.Count(), "within LoweringGrace")
	s.HandleEnd("a", false)
	s.HandleStart(151, "a", false)
	assert.Equal(t, 4, s.Count())
}
