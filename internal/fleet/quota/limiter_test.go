package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func fixedUnits(units map[string]int) func(string) int { return func(a string) int { return units[a] } }

func takeUsage(l *Limiter) map[string][2]int {
	out := map[string][2]int{}
	l.TakeUsageChanges(func(a string, used, want int) { out[a] = [2]int{used, want} })
	return out
}

func TestLimiterOrder(t *testing.T) {
	l := NewLimiter()
	l.SetQuotas(0, []string{"team", ReserveAccount})
	assert.True(t, l.Acquire(0, 1, "free", false, Never), "no quota")
	assert.True(t, l.Acquire(0, 2, "", false, Never), "of no account")
	for id := uint64(10); id < 14; id++ {
		assert.False(t, l.Acquire(0, id, "team", false, Never))
	}
	assert.False(t, l.Acquire(0, 20, "team", true, Never))
	assert.False(t, l.Acquire(0, 21, "team", true, Never))
	assert.False(t, l.Acquire(0, 22, "team", true, Never))
	assert.Equal(t, map[string][2]int{"team": {0, 7}, ReserveAccount: {0, 4}}, takeUsage(l))
	assert.Empty(t, takeUsage(l), "told once")

	begin, refuse := l.Admit(0, fixedUnits(map[string]int{"team": 1, ReserveAccount: 1}))
	assert.Equal(t, []uint64{20, 21}, begin, "urgent ones first, by the own unit and by the reserve's")
	assert.Empty(t, refuse)
	for id, want := range map[uint64]string{20: "team", 21: ReserveAccount} {
		got, ok := l.ChargedAccount(id)
		assert.True(t, ok)
		assert.Equal(t, want, got)
	}
	assert.Equal(t, map[string][2]int{"team": {1, 6}, ReserveAccount: {1, 3}}, takeUsage(l))
	l.Release(20)
	begin, _ = l.Admit(0, fixedUnits(map[string]int{"team": 3, ReserveAccount: 1}))
	assert.Equal(t, []uint64{22, 10, 11}, begin, "first in, first out")
	l.Release(12)
	l.Release(99)
	begin, _ = l.Admit(0, fixedUnits(map[string]int{"team": 9}))
	assert.Equal(t, []uint64{13}, begin)
	assert.Equal(t, map[string][2]int{"team": {4, 4}, ReserveAccount: {1, 2}}, takeUsage(l))
	begin, _ = l.Admit(0, fixedUnits(map[string]int{"team": 9}))
	assert.Empty(t, begin)
}

func TestLimiterTimeouts(t *testing.T) {
	l := NewLimiter()
	l.SetQuotas(0, []string{"team"})
	l.Acquire(0, 1, "team", false, 30)
	l.Acquire(0, 2, "team", true, 10)
	l.Acquire(0, 3, "team", false, 20)
	assert.Equal(t, Time(10), l.NextTimeout())
	begin, refuse := l.Admit(20, fixedUnits(nil))
	assert.Empty(t, begin)
	assert.Equal(t, []uint64{2, 3}, refuse)
	assert.Equal(t, Time(30), l.NextTimeout())
	assert.Equal(t, [2]int{0, 1}, takeUsage(l)["team"])
	begin, refuse = l.Admit(29, fixedUnits(map[string]int{"team": 1}))
	assert.Equal(t, []uint64{1}, begin)
	assert.Empty(t, refuse)
	assert.Equal(t, Never, l.NextTimeout())
}

// TestLimiterQuotaChanges: what is in flight counts once an account gains a quota; what waits of one that loses it begins.
func TestLimiterQuotaChanges(t *testing.T) {
	l := NewLimiter()
	for id := range uint64(3) {
		assert.True(t, l.Acquire(0, id, "team", false, Never))
	}
	l.SetQuotas(0, []string{"team"})
	assert.Equal(t, [2]int{3, 3}, takeUsage(l)["team"])
	assert.False(t, l.Acquire(0, 7, "team", false, Never))
	begin, _ := l.Admit(0, fixedUnits(map[string]int{"team": 3}))
	assert.Empty(t, begin)
	l.SetQuotas(0, nil)
	assert.Equal(t, map[string][2]int{"team": {0, 0}}, takeUsage(l))
	begin, _ = l.Admit(0, fixedUnits(nil))
	assert.Equal(t, []uint64{7}, begin)
	assert.Empty(t, takeUsage(l))
	for _, id := range []uint64{0, 1, 2, 7} {
		l.Release(id)
	}
	assert.Empty(t, l.queues, "nothing is kept")
	assert.Empty(t, l.reqs)
	assert.Empty(t, l.waitingAccounts)
}

// TestLimiterVerdicts: each req gets one verdict, none begins beyond the units, urgent ones take the reserve's only where
// their own account has none free, and nothing is kept of those that left.
func TestLimiterVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter()
		accounts := []string{"a", "b", ReserveAccount}
		l.SetQuotas(0, accounts)
		units := map[string]int{}
		running := map[string]int{}
		waits, runs := map[uint64]bool{}, map[uint64]string{}
		now, id := Time(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				id++
				waits[id] = true
				assert.False(t, l.Acquire(now, id, accounts[rapid.IntRange(0, 1).Draw(t, "account")], rapid.Bool().Draw(t, "urgent"),
					now+rapid.SampledFrom([]Time{1, 5, 20}).Draw(t, "patience")))
			case 2:
				units[rapid.SampledFrom(accounts).Draw(t, "of")] = rapid.IntRange(0, 4).Draw(t, "units")
			case 3:
				leaves := rapid.Uint64Range(1, id+1).Draw(t, "leaves")
				if charged, ok := runs[leaves]; ok {
					running[charged]--
				}
				delete(runs, leaves)
				delete(waits, leaves)
				l.Release(leaves)
			case 4:
				now += rapid.SampledFrom([]Time{0, 1, 7}).Draw(t, "time")
			}
			begin, refuse := l.Admit(now, fixedUnits(units))
			for _, r := range append(append([]uint64{}, begin...), refuse...) {
				assert.True(t, waits[r], "req %d has two verdicts", r)
				delete(waits, r)
			}
			for _, r := range begin {
				charged, ok := l.ChargedAccount(r)
				assert.True(t, ok)
				runs[r] = charged
				running[charged]++
				assert.LessOrEqual(t, running[charged], units[charged])
			}
			used := map[string][2]int{}
			l.SetQuotas(now, accounts)
			l.TakeUsageChanges(func(a string, u, w int) { used[a] = [2]int{u, w} })
			for _, a := range accounts {
				assert.Equal(t, running[a], used[a][0])
			}
			assert.Equal(t, len(waits)+running["a"]+running["b"], used["a"][1]+used["b"][1])
		}
		for r := range id + 1 {
			l.Release(r)
		}
		assert.Empty(t, l.queues)
		assert.Equal(t, Never, l.NextTimeout())
	})
}

// TestLimiterReserveRemoved: what runs by a reserve that is no more counts on, so that it is counted when there is one again.
func TestLimiterReserveRemoved(t *testing.T) {
	l := NewLimiter()
	l.SetQuotas(0, []string{"team", ReserveAccount})
	l.Acquire(0, 1, "team", true, Never)
	begin, _ := l.Admit(0, fixedUnits(map[string]int{ReserveAccount: 1}))
	assert.Equal(t, []uint64{1}, begin)
	takeUsage(l)
	l.SetQuotas(0, []string{"team"})
	assert.Equal(t, [2]int{1, 1}, takeUsage(l)[ReserveAccount])
	l.Release(1)
	assert.Equal(t, map[string][2]int{ReserveAccount: {0, 0}}, takeUsage(l))
	assert.Empty(t, takeUsage(l))
}
