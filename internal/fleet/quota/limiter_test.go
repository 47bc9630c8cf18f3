package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// fixedUnits returns a callback for Admit with the given units of accounts.
func fixedUnits(units map[string]int) func(string) int { return func(a string) int { return units[a] } }

// takeUsage returns the used units and the demand of accounts that changed.
func takeUsage(l *Limiter) map[string][2]int {
	out := map[string][2]int{}
	l.TakeUsageChanges(func(a string, used, demand int) { out[a] = [2]int{used, demand} })
	return out
}

func TestLimiterOrder(t *testing.T) {
	l := NewLimiter()
	l.SetQuotas(0, []string{"team", ReserveAccount})
	assert.True(t, l.Acquire(0, 1, "free", false, Never), "no quota")
	assert.True(t, l.Acquire(0, 2, "", false, Never), "no account")
	for id := uint64(10); id < 14; id++ {
		assert.False(t, l.Acquire(0, id, "team", false, Never))
	}
	assert.False(t, l.Acquire(0, 20, "team", true, Never))
	assert.False(t, l.Acquire(0, 21, "team", true, Never))
	assert.False(t, l.Acquire(0, 22, "team", true, Never))
	assert.Equal(t, map[string][2]int{"team": {0, 7}, ReserveAccount: {0, 4}}, takeUsage(l))
	assert.Empty(t, takeUsage(l), "reported once")

	started, expired := l.Admit(0, fixedUnits(map[string]int{"team": 1, ReserveAccount: 1}))
	assert.Equal(t, []uint64{20, 21}, started, "urgent requests first, one by a unit of the account and one by the reserve")
	assert.Empty(t, expired)
	for id, want := range map[uint64]string{20: "team", 21: ReserveAccount} {
		got, ok := l.ChargedAccount(id)
		assert.True(t, ok)
		assert.Equal(t, want, got)
	}
	assert.Equal(t, map[string][2]int{"team": {1, 6}, ReserveAccount: {1, 3}}, takeUsage(l))
	l.Release(20)
	started, _ = l.Admit(0, fixedUnits(map[string]int{"team": 3, ReserveAccount: 1}))
	assert.Equal(t, []uint64{22, 10, 11}, started, "oldest first")
	l.Release(12)
	l.Release(99)
	started, _ = l.Admit(0, fixedUnits(map[string]int{"team": 9}))
	assert.Equal(t, []uint64{13}, started)
	assert.Equal(t, map[string][2]int{"team": {4, 4}, ReserveAccount: {1, 2}}, takeUsage(l))
	started, _ = l.Admit(0, fixedUnits(map[string]int{"team": 9}))
	assert.Empty(t, started)
}

func TestLimiterTimeouts(t *testing.T) {
	l := NewLimiter()
	l.SetQuotas(0, []string{"team"})
	l.Acquire(0, 1, "team", false, 30)
	l.Acquire(0, 2, "team", true, 10)
	l.Acquire(0, 3, "team", false, 20)
	assert.Equal(t, Time(10), l.NextTimeout())
	started, expired := l.Admit(20, fixedUnits(nil))
	assert.Empty(t, started)
	assert.Equal(t, []uint64{2, 3}, expired)
	assert.Equal(t, Time(30), l.NextTimeout())
	assert.Equal(t, [2]int{0, 1}, takeUsage(l)["team"])
	started, expired = l.Admit(29, fixedUnits(map[string]int{"team": 1}))
	assert.Equal(t, []uint64{1}, started)
	assert.Empty(t, expired)
	assert.Equal(t, Never, l.NextTimeout())
}

// TestLimiterQuotaChanges: requests in flight count when their account gets a quota, and waiting requests start when it loses
// its quota.
func TestLimiterQuotaChanges(t *testing.T) {
	l := NewLimiter()
	for id := range uint64(3) {
		assert.True(t, l.Acquire(0, id, "team", false, Never))
	}
	l.SetQuotas(0, []string{"team"})
	assert.Equal(t, [2]int{3, 3}, takeUsage(l)["team"])
	assert.False(t, l.Acquire(0, 7, "team", false, Never))
	started, _ := l.Admit(0, fixedUnits(map[string]int{"team": 3}))
	assert.Empty(t, started)
	l.SetQuotas(0, nil)
	assert.Equal(t, map[string][2]int{"team": {0, 0}}, takeUsage(l))
	started, _ = l.Admit(0, fixedUnits(nil))
	assert.Equal(t, []uint64{7}, started)
	assert.Empty(t, takeUsage(l))
	for _, id := range []uint64{0, 1, 2, 7} {
		l.Release(id)
	}
	assert.Empty(t, l.queues, "no state is left")
	assert.Empty(t, l.reqs)
	assert.Empty(t, l.waitingAccounts)
}

// TestLimiterVerdicts: each request is started or refused once, and none starts beyond the units. An urgent request uses the
// reserve only if its own account has no free unit. No state is left of released requests.
func TestLimiterVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter()
		accounts := []string{"a", "b", ReserveAccount}
		l.SetQuotas(0, accounts)
		units := map[string]int{}
		running := map[string]int{}
		waiting, chargedTo := map[uint64]bool{}, map[uint64]string{}
		now, id := Time(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				id++
				waiting[id] = true
				assert.False(t, l.Acquire(now, id, accounts[rapid.IntRange(0, 1).Draw(t, "account")], rapid.Bool().Draw(t, "urgent"),
					now+rapid.SampledFrom([]Time{1, 5, 20}).Draw(t, "patience")))
			case 2:
				units[rapid.SampledFrom(accounts).Draw(t, "of")] = rapid.IntRange(0, 4).Draw(t, "units")
			case 3:
				released := rapid.Uint64Range(1, id+1).Draw(t, "leaves")
				if charged, ok := chargedTo[released]; ok {
					running[charged]--
				}
				delete(chargedTo, released)
				delete(waiting, released)
				l.Release(released)
			case 4:
				now += rapid.SampledFrom([]Time{0, 1, 7}).Draw(t, "time")
			}
			started, expired := l.Admit(now, fixedUnits(units))
			for _, r := range append(append([]uint64{}, started...), expired...) {
				assert.True(t, waiting[r], "request %d was started or refused twice", r)
				delete(waiting, r)
			}
			for _, r := range started {
				charged, ok := l.ChargedAccount(r)
				assert.True(t, ok)
				chargedTo[r] = charged
				running[charged]++
				assert.LessOrEqual(t, running[charged], units[charged])
			}
			used := map[string][2]int{}
			l.SetQuotas(now, accounts)
			l.TakeUsageChanges(func(a string, u, w int) { used[a] = [2]int{u, w} })
			for _, a := range accounts {
				assert.Equal(t, running[a], used[a][0])
			}
			assert.Equal(t, len(waiting)+running["a"]+running["b"], used["a"][1]+used["b"][1])
		}
		for r := range id + 1 {
			l.Release(r)
		}
		assert.Empty(t, l.queues)
		assert.Equal(t, Never, l.NextTimeout())
	})
}

// TestLimiterReserveRemoved: requests that use a reserve still count after it was removed, so that they are counted if it is
// set again.
func TestLimiterReserveRemoved(t *testing.T) {
	l := NewLimiter()
	l.SetQuotas(0, []string{"team", ReserveAccount})
	l.Acquire(0, 1, "team", true, Never)
	started, _ := l.Admit(0, fixedUnits(map[string]int{ReserveAccount: 1}))
	assert.Equal(t, []uint64{1}, started)
	takeUsage(l)
	l.SetQuotas(0, []string{"team"})
	assert.Equal(t, [2]int{1, 1}, takeUsage(l)[ReserveAccount])
	l.Release(1)
	assert.Equal(t, map[string][2]int{ReserveAccount: {0, 0}}, takeUsage(l))
	assert.Empty(t, takeUsage(l))
}
