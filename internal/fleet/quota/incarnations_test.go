package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLateAnswer: a lease runs from its ask, however late the answer is.
func TestLateAnswer(t *testing.T) {
	x := newPair(t, shortPlan, LenderOptions{SkipRecovery: true}, "a")
	x.l.SetCapacity(0, "team", 5)
	h := x.all["a"]
	x.turn(0)
	h.SetUsage("team", 0, 5)
	a, due := h.NextRequest(0)
	require.True(t, due)
	answer, ok := x.l.Handle(0, a)
	require.True(t, ok)
	h.HandleResponse(second/2, answer)
	d := Time(shortPlan.UsableLease())
	assert.Equal(t, d, h.LeaseEnd())
	assert.Equal(t, 5, h.Units(d-1, "team"))
	assert.Zero(t, h.Units(d, "team"))
}

// TestLeasesDiffer: while some go by settings with another lease, no holder begins by a longer one than its lender counts.
func TestLeasesDiffer(t *testing.T) {
	longer := shortPlan
	longer.Lease *= 4
	for _, p := range []LeaseConfig{shortPlan, longer} {
		x := newPair(t, shortPlan, LenderOptions{SkipRecovery: true})
		x.join(p, "a", 1)
		x.l.SetCapacity(0, "team", 5)
		x.all["a"].SetUsage("team", 0, 1)
		x.turn(0)
		assert.Equal(t, Time(shortPlan.UsableLease()), x.all["a"].LeaseEnd())
	}
}

// TestAskOfAnEarlierLife: an ask that was sent before a life of the lender began tells that life nothing: the child may
// have given away since what it says it holds.
func TestAskOfAnEarlierLife(t *testing.T) {
	x := newPair(t, shortPlan, LenderOptions{SkipRecovery: true}, "a", "b")
	x.l.SetCapacity(0, "team", 10)
	x.all["a"].SetUsage("team", 8, 8)
	x.turn(0)
	x.turn(0)
	late, due := x.all["a"].NextRequest(second)
	require.True(t, due)
	late.Full = true
	var err error
	x.l, err = NewLender(shortPlan, 8, 2*second, LenderOptions{})
	require.NoError(t, err)
	x.l.SetCapacity(2*second, "team", 10)
	for _, lender := range []uint64{0, 7} {
		late.LenderIncarnation = lender
		answer, ok := x.l.Handle(2*second, late)
		require.True(t, ok)
		assert.True(t, answer.ResendFull)
		assert.Empty(t, answer.Allocations)
	}
	assert.Zero(t, x.l.accounts["team"].reported)
	assert.Equal(t, 10, x.l.Outstanding(2*second, "team"))
}

// TestUnsure: a root that knows nothing of what a region's earlier life lent gives the new one no more than it reports,
// and lends the rest to nobody until the region can vouch for all.
func TestUnsure(t *testing.T) {
	x := newPair(t, longPlan, LenderOptions{Preallocate: true, Children: []string{"east", "west", "north"}}, "west")
	x.l.SetCapacity(0, "team", 10)
	west := x.all["west"]
	west.accounts["team"] = &heldAccount{units: 4, used: 2, demand: 9, reported: AccountReport{Account: "team"}} // by an earlier leader
	west.dirty["team"], west.leaseEnd = true, second
	east, err := NewHolder(longPlan, "east", 2, true)
	require.NoError(t, err)
	x.all["east"] = east
	east.SetUsage("team", 3, 7)
	x.turn(0)
	x.turn(0)
	assert.True(t, east.Recovering())
	assert.Equal(t, 3, east.Units(0, "team"), "what its dispatchers reported goes on")
	assert.LessOrEqual(t, west.Units(0, "team"), 4)
	assert.Equal(t, 10, x.l.Outstanding(0, "team"))
	east.SetUsage("team", 5, 7) // two more are reported
	now := 10 * second
	x.turn(now)
	x.turn(now)
	assert.Equal(t, 4, east.Units(now, "team"), "what is reported is parted")
	assert.Equal(t, 4, west.Units(now, "team"), "one more once east runs no more than its part")
	assert.Equal(t, 10, x.l.Outstanding(now, "team"), "and not lent twice")

	x.join(longPlan, "north", 3)
	x.turn(15 * second)
	assert.False(t, east.Recovering(), "nobody else can have the rest, so it is told")
	assert.Equal(t, []Allocation{{"team", 6}}, east.inherited, "five that it reported, and one")
	east.SetUsage("team", 6, 7)
	x.turn(20 * second)
	assert.Equal(t, 10, x.l.Outstanding(20*second, "team"))
	x.all["north"].SetUsage("team", 0, 0)
	east.SetUsage("team", 5, 7) // what it inherited is over
	x.turn(21 * second)
	x.turn(30 * second)
	x.turn(40 * second)
	assert.False(t, x.l.Recovering())
	x.all["north"].Close()
	x.turn(40 * second)
	assert.Equal(t, 10, east.Units(40*second, "team")+west.Units(40*second, "team")+x.all["north"].Units(40*second, "team"))
}

// TestInherited: what a region's earlier life was counted at stays counted, is told to the new one, and is no grant.
func TestInherited(t *testing.T) {
	x := newPair(t, longPlan, LenderOptions{Preallocate: true, SkipRecovery: true, Children: []string{"east", "west"}}, "east", "west")
	x.l.SetCapacity(0, "team", 10)
	x.all["east"].SetUsage("team", 6, 6)
	x.turn(0)
	x.turn(0)
	held := x.all["east"].Units(0, "team")
	require.GreaterOrEqual(t, held, 6)
	x.l.SetCapacity(second, "team", 2)
	r, err := NewRegionLender(longPlan, shortPlan, "east", 2, 0)
	require.NoError(t, err)
	delete(x.all, "east")
	for range 2 {
		a, due := r.NextRequest(0)
		require.True(t, due)
		answer, ok := x.l.Handle(second, a)
		require.True(t, ok)
		r.HandleResponse(0, answer)
	}
	assert.False(t, r.Holder().Recovering())
	assert.Zero(t, r.Holder().Units(0, "team"), "nothing to begin by")
	assert.Equal(t, held, r.Lender().Outstanding(0, "team"), "and all counted")
	x.all["west"].SetUsage("team", 0, 2)
	x.turn(second)
	assert.Zero(t, x.all["west"].Units(second, "team"))
}

// TestStarts: a first life waits for nothing.
func TestStarts(t *testing.T) {
	r, err := NewRegionLender(longPlan, shortPlan, "east", 1, 0)
	require.NoError(t, err)
	r.SkipRecovery(0)
	r.SetReserve(0, 3)
	assert.Zero(t, r.Lender().Outstanding(0, ReserveAccount))
	assert.False(t, r.Holder().Recovering())
	later, err := NewRegionLender(longPlan, shortPlan, "east", 2, 0)
	require.NoError(t, err)
	later.SetReserve(0, 3)
	assert.Equal(t, 3, later.Lender().Outstanding(0, ReserveAccount), "an earlier life may have lent it")
	assert.True(t, later.Holder().Recovering())
	end := Time(shortPlan.QuietPeriod() + shortPlan.DrainPeriod())
	later.Tick(end - 1)
	assert.Equal(t, 3, later.Lender().Outstanding(end-1, ReserveAccount))
	later.Tick(end)
	assert.Zero(t, later.Lender().Outstanding(end, ReserveAccount))
	assert.False(t, later.Holder().Recovering())
}

// TestUncovered: a region whose own lease is over lends the reserve alone.
func TestUncovered(t *testing.T) {
	r, err := NewRegionLender(longPlan, shortPlan, "east", 1, 0)
	require.NoError(t, err)
	r.SkipRecovery(0)
	r.SetReserve(0, 3)
	h, err := NewHolder(shortPlan, "d", 1, false)
	require.NoError(t, err)
	turn := func(now Time) {
		r.Tick(now)
		for range 3 {
			if a, due := h.NextRequest(now); due {
				if answer, ok := r.Handle(now, a); ok {
					h.HandleResponse(now, answer)
				}
			}
		}
	}
	h.SetUsage("team", 0, 2)
	h.SetUsage(ReserveAccount, 0, 1)
	turn(0)
	assert.Zero(t, h.Units(0, ReserveAccount), "nothing in the first moments: the cover may come soon")
	r.holder.lenderIncarnation = 9
	a, due := r.NextRequest(0)
	require.True(t, due)
	r.HandleResponse(0, LeaseResponse{Child: "east", Epoch: 1, Seq: a.Seq, LenderIncarnation: 9, Lease: longPlan.Lease, Allocations: []Allocation{{"team", 2}}})
	now := second
	turn(now)
	assert.Equal(t, 2, h.Units(now, "team"))
	assert.Equal(t, 1, h.Units(now, ReserveAccount))
	over := r.Holder().LeaseEnd() - Time(shortPlan.Lease) + 1
	for now = second; now < over; now += second {
		turn(now)
	}
	assert.LessOrEqual(t, h.LeaseEnd(), r.Holder().LeaseEnd())
	turn(over + second)
	assert.Zero(t, h.Units(over+second, "team"))
	assert.Equal(t, 1, h.Units(over+second, ReserveAccount))
}

// TestLateWholeAsk: a lender that has forgotten a child takes a late ask of it with all lines for the first; what the
// child then says has changed since an ask that the lender does not know is not taken for all that has.
func TestLateWholeAsk(t *testing.T) {
	x := newPair(t, shortPlan, LenderOptions{SkipRecovery: true}, "a", "b")
	x.l.SetCapacity(0, "team", 10)
	h := x.all["a"]
	h.SetUsage("team", 0, 1)
	a, _ := h.NextRequest(0)
	again, _ := x.l.Handle(0, a)
	h.HandleResponse(0, again)
	late, _ := h.NextRequest(0) // all lines, and nothing of them held
	require.True(t, late.Full)
	h.SetUsage("team", 0, 8)
	x.turn(second) // sent again: the first is late
	x.turn(second)
	h.SetUsage("team", 8, 8)
	x.turn(2 * second)
	x.turn(2 * second)
	require.Equal(t, 8, h.Units(2*second, "team"))

	forgotten := 2*second + Time(shortPlan.Lease+shortPlan.DrainPeriod())
	x.l.Tick(forgotten)
	_, ok := x.l.Handle(forgotten, late)
	require.True(t, ok)
	delta, due := h.NextRequest(forgotten)
	require.True(t, due)
	delta.Reports = nil // and nothing changed
	answer, ok := x.l.Handle(forgotten, delta)
	require.True(t, ok)
	assert.True(t, answer.ResendFull)
	h.HandleResponse(forgotten, answer)
	x.turn(forgotten)
	assert.Equal(t, 8, x.l.Outstanding(forgotten, "team"))
}

// TestKnownWhileAFreshAskFlies: the answer to a fresh ask is no grant, also where the region has since come to know all.
func TestKnownWhileAFreshAskFlies(t *testing.T) {
	h, err := NewHolder(longPlan, "east", 2, true)
	require.NoError(t, err)
	h.lenderIncarnation = 7
	a, due := h.NextRequest(0)
	require.True(t, due)
	require.True(t, a.Recovering)
	h.FinishRecovery()
	h.HandleResponse(1, LeaseResponse{Child: "east", Epoch: 2, Seq: a.Seq, LenderIncarnation: 7, Lease: longPlan.Lease, Allocations: []Allocation{{"team", 12}}})
	assert.Zero(t, h.Units(1, "team"))
	next, due := h.NextRequest(1)
	require.True(t, due)
	assert.False(t, next.Recovering)
	assert.True(t, next.Full)
	assert.Empty(t, next.Reports)
}

// TestLapsedComesBack: what a lapsed child may have had running is parted among the others once it is back and says that
// nothing of it runs.
func TestLapsedComesBack(t *testing.T) {
	x := newPair(t, shortPlan, LenderOptions{SkipRecovery: true}, "a", "b")
	x.l.SetCapacity(0, "team", 10)
	x.all["a"].SetUsage("team", 6, 6)
	x.turn(0)
	x.turn(0)
	a := x.all["a"]
	delete(x.all, "a")
	x.all["b"].SetUsage("team", 4, 9)
	for now := Time(0); now < 5*second; now += second {
		x.turn(now)
	}
	require.Equal(t, 4, x.all["b"].Units(4*second, "team"))
	x.all["a"] = a
	a.SetUsage("team", 0, 0)
	x.turn(5 * second)
	x.turn(5 * second)
	assert.Equal(t, 9, x.all["b"].Units(5*second, "team"))
}
