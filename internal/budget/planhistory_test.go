package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMixedPlansStayWithinTotal: after several changes of the plan, some dispatchers apply one plan and the others,
// or the keeper, another one. Reserves and pool together stay within the larger of the two totals, as long as there
// are no more dispatchers than each of the two plans allows.
func TestMixedPlansStayWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history planHistory
		var reserves, pools []int
		var plans []Plan
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			p := drawPlan(t)
			plans, reserves, pools = append(plans, p), append(reserves, history.reserve(p)), append(pools, history.pool(p))
			history = history.add(p)
		}
		require.Equal(t, plans[0].Reserve(), reserves[0], "nothing is held back at the start")
		require.Equal(t, plans[0].Pool(), pools[0])
		for i := range plans {
			for j := range i + 1 {
				dispatchers, total := min(plans[i].MaxDispatchers, plans[j].MaxDispatchers), max(plans[i].Total, plans[j].Total)
				require.LessOrEqual(t, dispatchers*max(reserves[i], reserves[j])+max(pools[i], pools[j]), total, "plans %v and %v", plans[j], plans[i])
			}
		}
	})
}

// TestTotalChangeTakesEffectAtOnce checks that a change of the total alone holds nothing back, apart from what
// rounding moves.
func TestTotalChangeTakesEffectAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		changed := p
		changed.Total = rapid.IntRange(0, 600).Draw(t, "changed")
		history := planHistory{p}
		require.GreaterOrEqual(t, history.pool(changed), changed.Pool()-changed.MaxDispatchers)
		require.GreaterOrEqual(t, history.reserve(changed), changed.Reserve()-1)
	})
}
