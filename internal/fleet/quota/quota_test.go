package quota

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	shortLease = LeaseConfig{Lease: 3 * time.Second, MaxRunTime: 10 * time.Second, Drift: 0.001}
	longLease  = LeaseConfig{Lease: 600 * time.Second, MaxRunTime: 10 * time.Second, Drift: 0.001}
)

const second = Time(time.Second)

func TestLeaseConfig(t *testing.T) {
	p := LeaseConfig{Lease: 1100 * time.Millisecond, MaxRunTime: 900 * time.Millisecond, Drift: 0.1}
	require.NoError(t, p.Check())
	assert.InDelta(t, float64(900*time.Millisecond), float64(p.UsableLease()), 2)
	assert.InDelta(t, float64(p.Lease)*1.1/0.9, float64(p.QuietPeriod()), 2)
	assert.InDelta(t, float64(1100*time.Millisecond), float64(p.DrainPeriod()), 2)
	assert.InDelta(t, float64(300*time.Millisecond), float64(p.RenewInterval()), 2)
	for _, bad := range []LeaseConfig{{Lease: time.Millisecond}, {Lease: time.Second, MaxRunTime: -1}, {Lease: time.Second, Drift: 0.2}, {Lease: 48 * time.Hour}} {
		assert.Error(t, bad.Check())
	}
	_, err := NewHolder(shortLease, "", 1, false)
	assert.Error(t, err)
	_, err = NewLender(shortLease, 0, 0, LenderOptions{})
	assert.Error(t, err)
	_, err = NewRegionLender(shortLease, shortLease, "east", 1, 0)
	assert.ErrorContains(t, err, "4 times")
}

// fixture is a lender and holders on good links that take no time.
type fixture struct {
	t       *testing.T
	lender  *Lender
	holders map[string]*Holder
}

func newFixture(t *testing.T, p LeaseConfig, o LenderOptions, names ...string) *fixture {
	l, err := NewLender(p, 7, 0, o)
	require.NoError(t, err)
	x := &fixture{t, l, map[string]*Holder{}}
	for _, n := range names {
		x.addHolder(p, n, 1)
	}
	return x
}

func (x *fixture) addHolder(p LeaseConfig, name string, epoch uint64) {
	h, err := NewHolder(p, name, epoch, false)
	require.NoError(x.t, err)
	x.holders[name] = h
}

// exchange carries all messages that are due at a time, and says how many asks there were.
func (x *fixture) exchange(now Time) (asks int) {
	x.t.Helper()
	x.lender.Tick(now)
	for again := true; again; {
		again = false
		for _, n := range x.lender.TakePolls() {
			if h := x.holders[n]; h != nil {
				h.HandlePoll()
			}
		}
		for _, n := range slices.Sorted(maps.Keys(x.holders)) {
			h := x.holders[n]
			a, due := h.NextRequest(now)
			if !due {
				continue
			}
			again = true
			asks++
			require.Less(x.t, asks, 200, "a storm of asks")
			if answer, ok := x.lender.Handle(now, a); ok {
				h.HandleResponse(now, answer)
			}
		}
	}
	return asks
}

func (x *fixture) units(now Time, account string) map[string]int {
	out := map[string]int{}
	for n, h := range x.holders {
		out[n] = h.Units(now, account)
	}
	return out
}

func TestMaxMinAllocation(t *testing.T) {
	for name, c := range map[string]struct {
		capacity int
		wants    map[string]int
		want     map[string]int
	}{
		"enough":          {10, map[string]int{"a": 2, "b": 3}, map[string]int{"a": 2, "b": 3}},
		"the small whole": {10, map[string]int{"a": 2, "b": 30, "c": 40}, map[string]int{"a": 2, "b": 4, "c": 4}},
		"uneven":          {11, map[string]int{"a": 20, "b": 30, "c": 40}, map[string]int{"a": 4, "b": 4, "c": 3}},
		"none":            {0, map[string]int{"a": 2}, map[string]int{"a": 0}},
		"nobody wants":    {5, map[string]int{"a": 0, "b": 0}, map[string]int{"a": 0, "b": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b", "c")
			x.lender.SetCapacity(0, "team", c.capacity)
			for n, w := range c.wants {
				x.holders[n].SetUsage("team", 0, w)
			}
			x.exchange(0)
			x.exchange(0)
			for n, u := range c.want {
				assert.Equal(t, u, x.holders[n].Units(0, "team"), n)
			}
		})
	}
}

// TestPreallocation: the root parts ahead of need what nobody wants, and moves it to who does.
func TestPreallocation(t *testing.T) {
	x := newFixture(t, longLease, LenderOptions{Preallocate: true, SkipRecovery: true, Children: []string{"a", "b", "c"}}, "a", "b", "c")
	x.lender.SetCapacity(0, "team", 10)
	x.exchange(0)
	got := x.units(0, "team")
	assert.Equal(t, 10, got["a"]+got["b"]+got["c"])
	assert.GreaterOrEqual(t, min(got["a"], got["b"], got["c"]), 3)
	x.holders["b"].SetUsage("team", 3, 9)
	x.exchange(1)
	assert.GreaterOrEqual(t, x.holders["b"].Units(1, "team"), 9, "called back at once from those who don't want it")
	assert.LessOrEqual(t, x.lender.Outstanding(1, "team"), 10)

	_, ok := x.lender.Handle(2, LeaseRequest{Child: "stranger", Epoch: 1, Seq: 1, LenderIncarnation: 7, Full: true})
	assert.False(t, ok, "where all children are known by name others get no answer")
}

// TestLoweredQuota: a quota lowered under what runs: nothing begins until there is room.
func TestLoweredQuota(t *testing.T) {
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	x.lender.SetCapacity(0, "team", 10)
	x.holders["a"].SetUsage("team", 6, 6)
	x.holders["b"].SetUsage("team", 4, 4)
	x.exchange(0)
	x.exchange(0)
	require.Equal(t, map[string]int{"a": 6, "b": 4}, x.units(0, "team"))
	x.lender.SetCapacity(1, "team", 4)
	x.exchange(1)
	assert.Equal(t, 10, x.lender.Outstanding(1, "team"), "what runs is counted")
	for used := 6; used >= 0; used-- {
		x.holders["a"].SetUsage("team", used, used)
		x.exchange(2)
		for n, h := range x.holders {
			begins := h.Units(2, "team") - map[string]int{"a": used, "b": 4}[n]
			assert.LessOrEqual(t, begins, 0, "%s begins beside %d", n, used+4)
		}
	}
	x.holders["b"].SetUsage("team", 3, 3)
	x.holders["a"].SetUsage("team", 0, 5)
	x.exchange(2 * second)
	assert.Equal(t, 1, x.holders["a"].Units(2*second, "team"))
}

// TestExpiredChild: what a child that is silent may have begun is counted until its lease and Run are over, and what
// comes back of it says is taken in its place.
func TestExpiredChild(t *testing.T) {
	p := shortLease
	x := newFixture(t, p, LenderOptions{SkipRecovery: true}, "a", "b")
	x.lender.SetCapacity(0, "team", 5)
	x.holders["a"].SetUsage("team", 5, 5)
	x.exchange(0)
	x.exchange(0)
	a := x.holders["a"]
	delete(x.holders, "a")
	x.holders["b"].SetUsage("team", 0, 5)
	free := Time(p.Lease + p.DrainPeriod())
	for now := Time(0); now < free; now += second {
		x.exchange(now)
		require.Zero(t, x.holders["b"].Units(now, "team"), "at %v", now)
	}
	assert.Zero(t, a.Units(Time(p.Lease), "team"))
	x.exchange(free + second)
	assert.Equal(t, 5, x.holders["b"].Units(free+second, "team"))
	x.holders["b"].SetUsage("team", 5, 5)
	assert.Contains(t, x.lender.TakeEvents(), Event{Step: "lapsed", Child: "a", Units: 5})

	x.holders["a"] = a // stopped, and woken with its grant in hand
	assert.Zero(t, a.Units(free+second, "team"))
	x.exchange(free + 2*second)
	assert.Equal(t, 10, x.lender.Outstanding(free+2*second, "team"), "it runs 5 still, and says so")
	a.SetUsage("team", 0, 5)
	x.exchange(free + 3*second)
	x.exchange(free + 3*second)
	assert.LessOrEqual(t, a.Units(free+3*second, "team")+x.holders["b"].Units(free+3*second, "team"), 5)
}

// TestNewIncarnationOfChild: what the life before may have running stays counted; one that ended in order leaves nothing.
func TestNewIncarnationOfChild(t *testing.T) {
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	x.lender.SetCapacity(0, "team", 6)
	x.holders["a"].SetUsage("team", 4, 4)
	x.holders["b"].SetUsage("team", 2, 2)
	x.exchange(0)
	x.exchange(0)
	x.addHolder(shortLease, "a", 2)
	x.holders["a"].SetUsage("team", 0, 4)
	x.exchange(second)
	assert.Zero(t, x.holders["a"].Units(second, "team"))
	assert.Equal(t, 6, x.lender.Outstanding(second, "team"))

	x.holders["b"].Close()
	x.exchange(2 * second)
	x.exchange(2 * second)
	assert.Equal(t, 2, x.holders["a"].Units(2*second, "team"), "given back at once")
	_, ok := x.lender.Handle(3*second, LeaseRequest{Child: "a", Epoch: 1, Seq: 99, LenderIncarnation: 7, Full: true, Reports: []AccountReport{{"team", 9, 9, 9}}})
	assert.False(t, ok, "a life that was replaced")
	assert.Equal(t, 6, x.lender.Outstanding(3*second, "team"))
}

// TestOnlyNewestResponseCounts: late, doubled and foreign answers and asks change nothing.
func TestOnlyNewestResponseCounts(t *testing.T) {
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a")
	x.lender.SetCapacity(0, "team", 5)
	h := x.holders["a"]
	h.SetUsage("team", 0, 1)
	x.exchange(0)
	x.exchange(0)
	require.Equal(t, 1, h.Units(0, "team"))
	h.SetUsage("team", 1, 5)
	first, due := h.NextRequest(1)
	require.True(t, due)
	late, ok := x.lender.Handle(1, first)
	require.True(t, ok)
	assert.Equal(t, 5, x.lender.Outstanding(1, "team"))
	second, due := h.NextRequest(1 + Time(shortLease.RetryDelay()))
	require.True(t, due)
	h.HandleResponse(2*Time(time.Second), late)
	assert.Equal(t, 1, h.Units(2*Time(time.Second), "team"))
	_, ok = x.lender.Handle(2, first)
	assert.False(t, ok)
	answer, ok := x.lender.Handle(2, second)
	require.True(t, ok)
	for _, a := range []LeaseResponse{{Child: "b", Epoch: 1, Seq: second.Seq, LenderIncarnation: 7}, {Child: "a", Epoch: 2, Seq: second.Seq, LenderIncarnation: 7}} {
		a.Allocations = []Allocation{{"team", 99}}
		h.HandleResponse(2*Time(time.Second), a)
	}
	h.HandleResponse(2*Time(time.Second), answer)
	h.HandleResponse(2*Time(time.Second), answer)
	assert.Equal(t, 5, h.Units(2*Time(time.Second), "team"))
	assert.Equal(t, second.Seq, h.seq)
}

// TestNewIncarnationOfLender: a new life of a lender lends only what children report until what earlier lives lent is over.
func TestNewIncarnationOfLender(t *testing.T) {
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	x.lender.SetCapacity(0, "team", 10)
	x.holders["a"].SetUsage("team", 4, 4)
	x.holders["b"].SetUsage("team", 3, 3)
	x.exchange(0)
	x.exchange(0)
	var err error
	x.lender, err = NewLender(shortLease, 8, second, LenderOptions{})
	require.NoError(t, err)
	x.lender.SetCapacity(second, "team", 10)
	b := x.holders["b"]
	delete(x.holders, "b")
	x.holders["a"].SetUsage("team", 4, 10)
	x.exchange(second)
	x.exchange(2 * second)
	assert.Equal(t, 4, x.holders["a"].Units(2*second, "team"), "renewed, and no more")
	assert.Equal(t, 10, x.lender.Outstanding(2*second, "team"))
	x.holders["b"] = b
	b.SetUsage("team", 1, 1)
	x.exchange(5 * second / 2)
	x.exchange(5 * second / 2)
	assert.Equal(t, 6, x.holders["a"].Units(5*second/2, "team"), "what reported children give back is lent again")
	end := second + Time(shortLease.QuietPeriod()+shortLease.DrainPeriod())
	for now := 3 * second; now < end; now += second {
		x.exchange(now)
		require.LessOrEqual(t, x.holders["a"].Units(now, "team"), 6, "at %v", now)
	}
	x.exchange(end)
	x.exchange(end + second)
	assert.Equal(t, 9, x.holders["a"].Units(end+second, "team"))
}

// TestScarceUnitsRotateInLender: three units over eight dispatchers that all want one reach each of them.
func TestScarceUnitsRotateInLender(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, names...)
	x.lender.SetCapacity(0, "team", 3)
	had := map[string]int{}
	for now := Time(0); now < 120*second; now += second / 2 {
		for n, h := range x.holders {
			h.SetUsage("team", min(h.Units(now, "team"), 1), 2)
			if h.Units(now, "team") > 0 {
				had[n]++
			}
		}
		x.exchange(now)
	}
	for _, n := range names {
		assert.Greater(t, had[n], 20, "%s of 240 times", n)
	}
}

// TestRequestsBeyondLimitsAreIgnored: an ask beyond a limit gets no answer.
func TestRequestsBeyondLimitsAreIgnored(t *testing.T) {
	l, err := NewLender(shortLease, 7, 0, LenderOptions{SkipRecovery: true})
	require.NoError(t, err)
	long := make([]byte, MaxName+1)
	for name, a := range map[string]LeaseRequest{
		"no name":      {Epoch: 1, Seq: 1},
		"long name":    {Child: string(long), Epoch: 1, Seq: 1},
		"no epoch":     {Child: "a", Seq: 1},
		"no seq":       {Child: "a", Epoch: 1},
		"negative":     {Child: "a", Epoch: 1, Seq: 1, Reports: []AccountReport{{"x", -1, 0, 0}}},
		"too many":     {Child: "a", Epoch: 1, Seq: 1, Reports: []AccountReport{{"x", MaxUnits + 1, 0, 0}}},
		"twice":        {Child: "a", Epoch: 1, Seq: 1, Reports: []AccountReport{{"x", 1, 0, 0}, {"x", 0, 0, 0}}},
		"long account": {Child: "a", Epoch: 1, Seq: 1, Reports: []AccountReport{{string(long), 1, 0, 0}}},
		"many lines":   {Child: "a", Epoch: 1, Seq: 1, Reports: make([]AccountReport, MaxAccounts+1)},
	} {
		_, ok := l.Handle(0, a)
		assert.False(t, ok, name)
	}
}
