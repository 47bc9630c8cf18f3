package judge

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSharesSaysNo: the judge of quotas finds a begin too many, of a tenant and of the reserve, and no other.
func TestSharesSaysNo(t *testing.T) {
	s := Shares{Grace: 100, Reserve: 2}
	s.Quota(0, "a", 2)
	s.Quota(0, "b", 1)
	for range 50 {
		s.Began(1, "free", false)
	}
	s.Began(1, "a", false)
	s.Began(1, "a", false)
	assert.Zero(t, s.Count())
	s.Began(2, "a", false)
	assert.Equal(t, 1, s.Count())
	assert.Contains(t, s.Breaches()[0].String(), "3 of a run beside 0 urgent ones, its quota is 2")
	s.Ended("a", false)

	s.Began(3, "a", true)
	s.Began(3, "b", true) // by b's own unit
	s.Began(3, "b", true)
	assert.Equal(t, 1, s.Count(), "the reserve has two")
	s.Began(3, "b", true)
	assert.Equal(t, 2, s.Count())
	assert.Contains(t, s.Breaches()[1].Says, "3 urgent reqs run beyond their tenants' quotas, the reserve is 2")
	s.Ended("b", true)

	s.Began(4, "b", false) // its own unit is an urgent req's, and the reserve is used up
	assert.Equal(t, 3, s.Count())
	s.Ended("b", false)

	s.Quota(50, "a", 1)
	s.Ended("a", false)
	s.Began(149, "a", false)
	assert.Equal(t, 3, s.Count(), "within the grace")
	s.Ended("a", false)
	s.Began(151, "a", false)
	assert.Equal(t, 4, s.Count())
}
