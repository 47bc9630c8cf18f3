package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMixedPlansStayWithinTotal: while some dispatchers go by one plan of a row of changes and the others,
// or the keeper, by another, reserves and pool fit into the larger total of the two, as long as no
// more are there than each of the two plans allows.
func TestMixedPlansStayWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e planHistory
		var reserves, pools []int
		var plans []Plan
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			p := drawPlan(t)
			plans, reserves, pools = append(plans, p), append(reserves, e.reserve(p)), append(pools, e.pool(p))
			e = e.add(p)
		}
		require.Equal(t, plans[0].Reserve(), reserves[0], "nothing is held back at the start")
		require.Equal(t, plans[0].Pool(), pools[0])
		for i := range plans {
			for j := range i + 1 {
				there, whole := min(plans[i].MaxDispatchers, plans[j].MaxDispatchers), max(plans[i].Total, plans[j].Total)
				require.LessOrEqual(t, there*max(reserves[i], reserves[j])+max(pools[i], pools[j]), whole, "plans %v and %v", plans[j], plans[i])
			}
		}
	})
}

// TestTotalChangeTakesEffectAtOnce: a change of the total alone holds nothing back but what rounding moves.
func TestTotalChangeTakesEffectAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		q := p
		q.Total = rapid.IntRange(0, 600).Draw(t, "changed")
		e := planHistory{p}
		require.GreaterOrEqual(t, e.pool(q), q.Pool()-q.MaxDispatchers)
		require.GreaterOrEqual(t, e.reserve(q), q.Reserve()-1)
	})
}
