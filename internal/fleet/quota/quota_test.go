package quota

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Configurations of the two levels.
var (
	shortLease = LeaseConfig{Lease: 3 * time.Second, MaxRunTime: 10 * time.Second, Drift: 0.001}
	longLease  = LeaseConfig{Lease: 600 * time.Second, MaxRunTime: 10 * time.Second, Drift: 0.001}
)

const second = Time(time.Second)

func TestLeaseConfig(t *testing.T) {
	cfg := LeaseConfig{Lease: 1100 * time.Millisecond, MaxRunTime: 900 * time.Millisecond, Drift: 0.1}
	require.NoError(t, cfg.Check())
	assert.InDelta(t, float64(900*time.Millisecond), float64(cfg.UsableLease()), 2)
	assert.InDelta(t, float64(cfg.Lease)*1.1/0.9, float64(cfg.QuietPeriod()), 2)
	assert.InDelta(t, float64(1100*time.Millisecond), float64(cfg.DrainPeriod()), 2)
	assert.InDelta(t, float64(300*time.Millisecond), float64(cfg.RenewInterval()), 2)
	for _, invalid := range []LeaseConfig{{Lease: time.Millisecond}, {Lease: time.Second, MaxRunTime: -1},
		{Lease: time.Second, Drift: 0.2}, {Lease: 48 * time.Hour}} {
		assert.Error(t, invalid.Check())
	}
	_, err := NewHolder(shortLease, "", 1, false)
	assert.Error(t, err)
	_, err = NewLender(shortLease, 0, 0, LenderOptions{})
	assert.Error(t, err)
	_, err = NewRegionLender(shortLease, shortLease, "east", 1, 0)
	assert.ErrorContains(t, err, "4 times")
}

// fixture is a lender and its holders, connected without delay or loss.
type fixture struct {
	t       *testing.T
	lender  *Lender
	holders map[string]*Holder
}

// newFixture creates a lender and holders with the given names, all with the same configuration.
func newFixture(t *testing.T, cfg LeaseConfig, options LenderOptions, names ...string) *fixture {
	l, err := NewLender(cfg, 7, 0, options)
	require.NoError(t, err)
	f := &fixture{t, l, map[string]*Holder{}}
	for _, n := range names {
		f.addHolder(cfg, n, 1)
	}
	return f
}

// addHolder adds a holder, or a new incarnation of one.
func (f *fixture) addHolder(cfg LeaseConfig, name string, epoch uint64) {
	h, err := NewHolder(cfg, name, epoch, false)
	require.NoError(f.t, err)
	f.holders[name] = h
}

// exchange exchanges all messages that are due at a time, and returns the number of requests.
func (f *fixture) exchange(now Time) (requests int) {
	f.t.Helper()
	f.lender.Tick(now)
	for again := true; again; {
		again = false
		for _, n := range f.lender.TakePolls() {
			if h := f.holders[n]; h != nil {
				h.HandlePoll()
			}
		}
		for _, n := range slices.Sorted(maps.Keys(f.holders)) {
			h := f.holders[n]
			request, due := h.NextRequest(now)
			if !due {
				continue
			}
			again = true
			requests++
			require.Less(f.t, requests, 200, "too many requests")
			if response, ok := f.lender.Handle(now, request); ok {
				h.HandleResponse(now, response)
			}
		}
	}
	return requests
}

// units returns the units of an account that each holder may use.
func (f *fixture) units(now Time, account string) map[string]int {
	out := map[string]int{}
	for n, h := range f.holders {
		out[n] = h.Units(now, account)
	}
	return out
}

func TestMaxMinAllocation(t *testing.T) {
	for name, c := range map[string]struct {
		capacity int
		demands  map[string]int
		want     map[string]int
	}{
		"enough":           {10, map[string]int{"a": 2, "b": 3}, map[string]int{"a": 2, "b": 3}},
		"small demand met": {10, map[string]int{"a": 2, "b": 30, "c": 40}, map[string]int{"a": 2, "b": 4, "c": 4}},
		"uneven":           {11, map[string]int{"a": 20, "b": 30, "c": 40}, map[string]int{"a": 4, "b": 4, "c": 3}},
		"none":             {0, map[string]int{"a": 2}, map[string]int{"a": 0}},
		"no demand":        {5, map[string]int{"a": 0, "b": 0}, map[string]int{"a": 0, "b": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b", "c")
			f.lender.SetCapacity(0, "team", c.capacity)
			for n, demand := range c.demands {
				f.holders[n].SetUsage("team", 0, demand)
			}
			f.exchange(0)
			f.exchange(0)
			for n, units := range c.want {
				assert.Equal(t, units, f.holders[n].Units(0, "team"), n)
			}
		})
	}
}

// TestPreallocation: the root lends units without demand evenly in advance, and moves them to a holder with demand.
func TestPreallocation(t *testing.T) {
	f := newFixture(t, longLease, LenderOptions{Preallocate: true, SkipRecovery: true, Children: []string{"a", "b", "c"}}, "a", "b", "c")
	f.lender.SetCapacity(0, "team", 10)
	f.exchange(0)
	got := f.units(0, "team")
	assert.Equal(t, 10, got["a"]+got["b"]+got["c"])
	assert.GreaterOrEqual(t, min(got["a"], got["b"], got["c"]), 3)
	f.holders["b"].SetUsage("team", 3, 9)
	f.exchange(1)
	assert.GreaterOrEqual(t, f.holders["b"].Units(1, "team"), 9, "recalled at once from holders without demand")
	assert.LessOrEqual(t, f.lender.Outstanding(1, "team"), 10)

	_, ok := f.lender.Handle(2, LeaseRequest{Child: "stranger", Epoch: 1, Seq: 1, LenderIncarnation: 7, Full: true})
	assert.False(t, ok, "a child that is not among those known by name gets no response")
}

// TestLoweredQuota: if a quota is lowered below the units in use, no request starts until fewer units than the new quota are
// in use.
func TestLoweredQuota(t *testing.T) {
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	f.lender.SetCapacity(0, "team", 10)
	f.holders["a"].SetUsage("team", 6, 6)
	f.holders["b"].SetUsage("team", 4, 4)
	f.exchange(0)
	f.exchange(0)
	require.Equal(t, map[string]int{"a": 6, "b": 4}, f.units(0, "team"))
	f.lender.SetCapacity(1, "team", 4)
	f.exchange(1)
	assert.Equal(t, 10, f.lender.Outstanding(1, "team"), "units in use are counted")
	for used := 6; used >= 0; used-- {
		f.holders["a"].SetUsage("team", used, used)
		f.exchange(2)
		for n, h := range f.holders {
			free := h.Units(2, "team") - map[string]int{"a": used, "b": 4}[n]
			assert.LessOrEqual(t, free, 0, "%s may start a request while %d run", n, used+4)
		}
	}
	f.holders["b"].SetUsage("team", 3, 3)
	f.holders["a"].SetUsage("team", 0, 5)
	f.exchange(2 * second)
	assert.Equal(t, 1, f.holders["a"].Units(2*second, "team"))
}

// TestExpiredChild: units that a child without contact may have in use are counted until its lease and MaxRunTime have
// passed. What the child reports when it returns replaces them.
func TestExpiredChild(t *testing.T) {
	cfg := shortLease
	f := newFixture(t, cfg, LenderOptions{SkipRecovery: true}, "a", "b")
	f.lender.SetCapacity(0, "team", 5)
	f.holders["a"].SetUsage("team", 5, 5)
	f.exchange(0)
	f.exchange(0)
	a := f.holders["a"]
	delete(f.holders, "a")
	f.holders["b"].SetUsage("team", 0, 5)
	free := Time(cfg.Lease + cfg.DrainPeriod())
	for now := Time(0); now < free; now += second {
		f.exchange(now)
		require.Zero(t, f.holders["b"].Units(now, "team"), "at %v", now)
	}
	assert.Zero(t, a.Units(Time(cfg.Lease), "team"))
	f.exchange(free + second)
	assert.Equal(t, 5, f.holders["b"].Units(free+second, "team"))
	f.holders["b"].SetUsage("team", 5, 5)
	assert.Contains(t, f.lender.TakeEvents(), Event{Step: "lapsed", Child: "a", Units: 5})

	f.holders["a"] = a // it was stalled, and continues with its old grant
	assert.Zero(t, a.Units(free+second, "team"))
	f.exchange(free + 2*second)
	assert.Equal(t, 10, f.lender.Outstanding(free+2*second, "team"), "it reports the 5 units that it still uses")
	a.SetUsage("team", 0, 5)
	f.exchange(free + 3*second)
	f.exchange(free + 3*second)
	assert.LessOrEqual(t, a.Units(free+3*second, "team")+f.holders["b"].Units(free+3*second, "team"), 5)
}

// TestNewIncarnationOfChild: units that the previous incarnation may have in use stay counted. One that ended in an orderly
// way leaves none.
func TestNewIncarnationOfChild(t *testing.T) {
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	f.lender.SetCapacity(0, "team", 6)
	f.holders["a"].SetUsage("team", 4, 4)
	f.holders["b"].SetUsage("team", 2, 2)
	f.exchange(0)
	f.exchange(0)
	f.addHolder(shortLease, "a", 2)
	f.holders["a"].SetUsage("team", 0, 4)
	f.exchange(second)
	assert.Zero(t, f.holders["a"].Units(second, "team"))
	assert.Equal(t, 6, f.lender.Outstanding(second, "team"))

	f.holders["b"].Close()
	f.exchange(2 * second)
	f.exchange(2 * second)
	assert.Equal(t, 2, f.holders["a"].Units(2*second, "team"), "returned at once")
	_, ok := f.lender.Handle(3*second, LeaseRequest{Child: "a", Epoch: 1, Seq: 99, LenderIncarnation: 7, Full: true,
		Reports: []AccountReport{{"team", 9, 9, 9}}})
	assert.False(t, ok, "an incarnation that was replaced")
	assert.Equal(t, 6, f.lender.Outstanding(3*second, "team"))
}

// TestOnlyNewestResponseCounts: late and duplicated requests and responses, and responses for another child or incarnation,
// have no effect.
func TestOnlyNewestResponseCounts(t *testing.T) {
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a")
	f.lender.SetCapacity(0, "team", 5)
	h := f.holders["a"]
	h.SetUsage("team", 0, 1)
	f.exchange(0)
	f.exchange(0)
	require.Equal(t, 1, h.Units(0, "team"))
	h.SetUsage("team", 1, 5)
	first, due := h.NextRequest(1)
	require.True(t, due)
	late, ok := f.lender.Handle(1, first)
	require.True(t, ok)
	assert.Equal(t, 5, f.lender.Outstanding(1, "team"))
	second, due := h.NextRequest(1 + Time(shortLease.RetryDelay()))
	require.True(t, due)
	h.HandleResponse(2*Time(time.Second), late)
	assert.Equal(t, 1, h.Units(2*Time(time.Second), "team"))
	_, ok = f.lender.Handle(2, first)
	assert.False(t, ok)
	response, ok := f.lender.Handle(2, second)
	require.True(t, ok)
	for _, other := range []LeaseResponse{{Child: "b", Epoch: 1, Seq: second.Seq, LenderIncarnation: 7},
		{Child: "a", Epoch: 2, Seq: second.Seq, LenderIncarnation: 7}} {
		other.Allocations = []Allocation{{"team", 99}}
		h.HandleResponse(2*Time(time.Second), other)
	}
	h.HandleResponse(2*Time(time.Second), response)
	h.HandleResponse(2*Time(time.Second), response)
	assert.Equal(t, 5, h.Units(2*Time(time.Second), "team"))
	assert.Equal(t, second.Seq, h.seq)
}

// TestNewIncarnationOfLender: a new incarnation of a lender lends only the units that children report, until those that
// earlier incarnations lent can no longer be in use.
func TestNewIncarnationOfLender(t *testing.T) {
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	f.lender.SetCapacity(0, "team", 10)
	f.holders["a"].SetUsage("team", 4, 4)
	f.holders["b"].SetUsage("team", 3, 3)
	f.exchange(0)
	f.exchange(0)
	var err error
	f.lender, err = NewLender(shortLease, 8, second, LenderOptions{})
	require.NoError(t, err)
	f.lender.SetCapacity(second, "team", 10)
	b := f.holders["b"]
	delete(f.holders, "b")
	f.holders["a"].SetUsage("team", 4, 10)
	f.exchange(second)
	f.exchange(2 * second)
	assert.Equal(t, 4, f.holders["a"].Units(2*second, "team"), "renewed, but not increased")
	assert.Equal(t, 10, f.lender.Outstanding(2*second, "team"))
	f.holders["b"] = b
	b.SetUsage("team", 1, 1)
	f.exchange(5 * second / 2)
	f.exchange(5 * second / 2)
	assert.Equal(t, 6, f.holders["a"].Units(5*second/2, "team"), "units that were reported and returned are lent again")
	end := second + Time(shortLease.QuietPeriod()+shortLease.DrainPeriod())
	for now := 3 * second; now < end; now += second {
		f.exchange(now)
		require.LessOrEqual(t, f.holders["a"].Units(now, "team"), 6, "at %v", now)
	}
	f.exchange(end)
	f.exchange(end + second)
	assert.Equal(t, 9, f.holders["a"].Units(end+second, "team"))
}

// TestScarceUnitsRotateInLender: three units reach each of eight holders that all have demand.
func TestScarceUnitsRotateInLender(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, names...)
	f.lender.SetCapacity(0, "team", 3)
	had := map[string]int{}
	for now := Time(0); now < 120*second; now += second / 2 {
		for n, h := range f.holders {
			h.SetUsage("team", min(h.Units(now, "team"), 1), 2)
			if h.Units(now, "team") > 0 {
				had[n]++
			}
		}
		f.exchange(now)
	}
	for _, n := range names {
		assert.Greater(t, had[n], 20, "%s of 240 times", n)
	}
}

// TestRequestsBeyondLimitsAreIgnored: a request beyond a limit gets no response.
func TestRequestsBeyondLimitsAreIgnored(t *testing.T) {
	l, err := NewLender(shortLease, 7, 0, LenderOptions{SkipRecovery: true})
	require.NoError(t, err)
	long := make([]byte, MaxName+1)
	for name, request := range map[string]LeaseRequest{
		"no name":      {Epoch: 1, Seq: 1},
		"long name":    {Child: string(long), Epoch: 1, Seq: 1},
		"no epoch":     {Child: "a", Seq: 1},
		"no seq":       {Child: "a", Epoch: 1},
		"negative":     {Child: "a", Epoch: 1, Seq: 1, Reports: []AccountReport{{"x", -1, 0, 0}}},
		"too many":     {Child: "a", Epoch: 1, Seq: 1, Reports: []AccountReport{{"x", MaxUnits + 1, 0, 0}}},
		"twice":        {Child: "a", Epoch: 1, Seq: 1, Reports: []AccountReport{{"x", 1, 0, 0}, {"x", 0, 0, 0}}},
		"long account": {Child: "a", Epoch: 1, Seq: 1, Reports: []AccountReport{{string(long), 1, 0, 0}}},
		"many reports": {Child: "a", Epoch: 1, Seq: 1, Reports: make([]AccountReport, MaxAccounts+1)},
	} {
		_, ok := l.Handle(0, request)
		assert.False(t, ok, name)
	}
}
