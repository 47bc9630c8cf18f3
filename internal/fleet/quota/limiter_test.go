package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func fixed(units map[string]int) func(string) int { return func(a string) int { return units[a] } }

func needs(d *Limiter) map[string][2]int {
	out := map[string][2]int{}
	d.TakeUsageChanges(func(a string, used, want int) { out[a] = [2]int{used, want} })
	return out
}

func TestDeskOrder(t *testing.T) {
	d := NewLimiter()
	d.SetQuotas(0, []string{"team", ReserveAccount})
	assert.True(t, d.Acquire(0, 1, "free", false, Never), "no quota")
	assert.True(t, d.Acquire(0, 2, "", false, Never), "of no account")
	for id := uint64(10); id < 14; id++ {
		assert.False(t, d.Acquire(0, id, "team", false, Never))
	}
	assert.False(t, d.Acquire(0, 20, "team", true, Never))
	assert.False(t, d.Acquire(0, 21, "team", true, Never))
	assert.False(t, d.Acquire(0, 22, "team", true, Never))
	assert.Equal(t, map[string][2]int{"team": {0, 7}, ReserveAccount: {0, 4}}, needs(d))
	assert.Empty(t, needs(d), "told once")

	begin, refuse := d.Admit(0, fixed(map[string]int{"team": 1, ReserveAccount: 1}))
	assert.Equal(t, []uint64{20, 21}, begin, "urgent ones first, by the own unit and by the reserve's")
	assert.Empty(t, refuse)
	for id, want := range map[uint64]string{20: "team", 21: ReserveAccount} {
		got, ok := d.ChargedAccount(id)
		assert.True(t, ok)
		assert.Equal(t, want, got)
	}
	assert.Equal(t, map[string][2]int{"team": {1, 6}, ReserveAccount: {1, 3}}, needs(d))
	d.Release(20)
	begin, _ = d.Admit(0, fixed(map[string]int{"team": 3, ReserveAccount: 1}))
	assert.Equal(t, []uint64{22, 10, 11}, begin, "first in, first out")
	d.Release(12)
	d.Release(99)
	begin, _ = d.Admit(0, fixed(map[string]int{"team": 9}))
	assert.Equal(t, []uint64{13}, begin)
	assert.Equal(t, map[string][2]int{"team": {4, 4}, ReserveAccount: {1, 2}}, needs(d))
	begin, _ = d.Admit(0, fixed(map[string]int{"team": 9}))
	assert.Empty(t, begin)
}

func TestDeskPatience(t *testing.T) {
	d := NewLimiter()
	d.SetQuotas(0, []string{"team"})
	d.Acquire(0, 1, "team", false, 30)
	d.Acquire(0, 2, "team", true, 10)
	d.Acquire(0, 3, "team", false, 20)
	assert.Equal(t, Time(10), d.NextTimeout())
	begin, refuse := d.Admit(20, fixed(nil))
	assert.Empty(t, begin)
	assert.Equal(t, []uint64{2, 3}, refuse)
	assert.Equal(t, Time(30), d.NextTimeout())
	assert.Equal(t, [2]int{0, 1}, needs(d)["team"])
	begin, refuse = d.Admit(29, fixed(map[string]int{"team": 1}))
	assert.Equal(t, []uint64{1}, begin)
	assert.Empty(t, refuse)
	assert.Equal(t, Never, d.NextTimeout())
}

// TestDeskReplan: what is in flight counts once an account gains a quota; what waits of one that loses it begins.
func TestDeskReplan(t *testing.T) {
	d := NewLimiter()
	for id := range uint64(3) {
		assert.True(t, d.Acquire(0, id, "team", false, Never))
	}
	d.SetQuotas(0, []string{"team"})
	assert.Equal(t, [2]int{3, 3}, needs(d)["team"])
	assert.False(t, d.Acquire(0, 7, "team", false, Never))
	begin, _ := d.Admit(0, fixed(map[string]int{"team": 3}))
	assert.Empty(t, begin)
	d.SetQuotas(0, nil)
	assert.Equal(t, map[string][2]int{"team": {0, 0}}, needs(d))
	begin, _ = d.Admit(0, fixed(nil))
	assert.Equal(t, []uint64{7}, begin)
	assert.Empty(t, needs(d))
	for _, id := range []uint64{0, 1, 2, 7} {
		d.Release(id)
	}
	assert.Empty(t, d.queues, "nothing is kept")
	assert.Empty(t, d.reqs)
	assert.Empty(t, d.waitingAccounts)
}

// TestDeskVerdicts: each req gets one verdict, none begins beyond the units, urgent ones take the reserve's only where
// their own account has none free, and nothing is kept of those that left.
func TestDeskVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewLimiter()
		accounts := []string{"a", "b", ReserveAccount}
		d.SetQuotas(0, accounts)
		units := map[string]int{}
		running := map[string]int{}
		waits, runs := map[uint64]bool{}, map[uint64]string{}
		now, id := Time(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				id++
				waits[id] = true
				assert.False(t, d.Acquire(now, id, accounts[rapid.IntRange(0, 1).Draw(t, "account")], rapid.Bool().Draw(t, "urgent"),
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
				d.Release(leaves)
			case 4:
				now += rapid.SampledFrom([]Time{0, 1, 7}).Draw(t, "time")
			}
			begin, refuse := d.Admit(now, fixed(units))
			for _, r := range append(append([]uint64{}, begin...), refuse...) {
				assert.True(t, waits[r], "req %d has two verdicts", r)
				delete(waits, r)
			}
			for _, r := range begin {
				charged, ok := d.ChargedAccount(r)
				assert.True(t, ok)
				runs[r] = charged
				running[charged]++
				assert.LessOrEqual(t, running[charged], units[charged])
			}
			used := map[string][2]int{}
			d.SetQuotas(now, accounts)
			d.TakeUsageChanges(func(a string, u, w int) { used[a] = [2]int{u, w} })
			for _, a := range accounts {
				assert.Equal(t, running[a], used[a][0])
			}
			assert.Equal(t, len(waits)+running["a"]+running["b"], used["a"][1]+used["b"][1])
		}
		for r := range id + 1 {
			d.Release(r)
		}
		assert.Empty(t, d.queues)
		assert.Equal(t, Never, d.NextTimeout())
	})
}

// TestDeskReserveGone: what runs by a reserve that is no more counts on, so that it is counted when there is one again.
func TestDeskReserveGone(t *testing.T) {
	d := NewLimiter()
	d.SetQuotas(0, []string{"team", ReserveAccount})
	d.Acquire(0, 1, "team", true, Never)
	begin, _ := d.Admit(0, fixed(map[string]int{ReserveAccount: 1}))
	assert.Equal(t, []uint64{1}, begin)
	needs(d)
	d.SetQuotas(0, []string{"team"})
	assert.Equal(t, [2]int{1, 1}, needs(d)[ReserveAccount])
	d.Release(1)
	assert.Equal(t, map[string][2]int{ReserveAccount: {0, 0}}, needs(d))
	assert.Empty(t, needs(d))
}
