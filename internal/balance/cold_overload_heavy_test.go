package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestColdBudgetWithHeavyRequests is TestColdBudgetOfSmallFleet where all workers are cold, as in a zone that comes
// back, and requests take far longer than the aim, which grows by their work. The budget of a cold worker must not be
// derived from the aim.
func TestColdBudgetWithHeavyRequests(t *testing.T) {
	for _, d := range []overloadCase{twentyDispatchers(0, 1, 1, 120, 1200), twentyDispatchers(0, 1, 4, 120, 1200), twentyDispatchers(0, 4, 4, 120, 1200)} {
		growing, _ := d.worstOverSeeds(t)
		assert.Less(t, growing, 1.0, "%v", d)
	}
}
