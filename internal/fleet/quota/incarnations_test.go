package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLeaseCountsFromRequest: a lease runs from its ask, however late the answer is.
func TestLeaseCountsFromRequest(t *testing.T) {
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a")
	x.lender.SetCapacity(0, "team", 5)
	h := x.holders["a"]
	x.exchange(0)
	h.SetUsage("team", 0, 5)
	a, due := h.NextRequest(0)
	require.True(t, due)
	answer, ok := x.lender.Handle(0, a)
	require.True(t, ok)
	h.HandleResponse(second/2, answer)
	d := Time(shortLease.UsableLease())
	assert.Equal(t, d, h.LeaseEnd())
	assert.Equal(t, 5, h.Units(d-1, "team"))
	assert.Zero(t, h.Units(d, "team"))
}

// TestDifferingLeases: while some go by settings with another lease, no holder begins by a longer one than its lender counts.
func TestDifferingLeases(t *testing.T) {
	longer := shortLease
	longer.Lease *= 4
	for _, p := range []LeaseConfig{shortLease, longer} {
		x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true})
		x.addHolder(p, "a", 1)
		x.lender.SetCapacity(0, "team", 5)
		x.holders["a"].SetUsage("team", 0, 1)
		x.exchange(0)
		assert.Equal(t, Time(shortLease.UsableLease()), x.holders["a"].LeaseEnd())
	}
}

// TestRequestToEarlierLender: an ask that was sent before a life of the lender began tells that life nothing: the child may
// have given away since what it says it holds.
func TestRequestToEarlierLender(t *testing.T) {
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	x.lender.SetCapacity(0, "team", 10)
	x.holders["a"].SetUsage("team", 8, 8)
	x.exchange(0)
	x.exchange(0)
	late, due := x.holders["a"].NextRequest(second)
	require.True(t, due)
	late.Full = true
	var err error
	x.lender, err = NewLender(shortLease, 8, 2*second, LenderOptions{})
	require.NoError(t, err)
	x.lender.SetCapacity(2*second, "team", 10)
	for _, lender := range []uint64{0, 7} {
		late.LenderIncarnation = lender
		answer, ok := x.lender.Handle(2*second, late)
		require.True(t, ok)
		assert.True(t, answer.ResendFull)
		assert.Empty(t, answer.Allocations)
	}
	assert.Zero(t, x.lender.accounts["team"].reported)
	assert.Equal(t, 10, x.lender.Outstanding(2*second, "team"))
}

// TestNoRecord: a root that knows nothing of what a region's earlier life lent gives the new one no more than it reports,
// and lends the rest to nobody until the region can vouch for all.
func TestNoRecord(t *testing.T) {
	x := newFixture(t, longLease, LenderOptions{Preallocate: true, Children: []string{"east", "west", "north"}}, "west")
	x.lender.SetCapacity(0, "team", 10)
	west := x.holders["west"]
	west.accounts["team"] = &heldAccount{units: 4, used: 2, demand: 9, reported: AccountReport{Account: "team"}} // by an earlier leader
	west.dirty["team"], west.leaseEnd = true, second
	east, err := NewHolder(longLease, "east", 2, true)
	require.NoError(t, err)
	x.holders["east"] = east
	east.SetUsage("team", 3, 7)
	x.exchange(0)
	x.exchange(0)
	assert.True(t, east.Recovering())
	assert.Equal(t, 3, east.Units(0, "team"), "what its dispatchers reported goes on")
	assert.LessOrEqual(t, west.Units(0, "team"), 4)
	assert.Equal(t, 10, x.lender.Outstanding(0, "team"))
	east.SetUsage("team", 5, 7) // two more are reported
	now := 10 * second
	x.exchange(now)
	x.exchange(now)
	assert.Equal(t, 4, east.Units(now, "team"), "what is reported is parted")
	assert.Equal(t, 4, west.Units(now, "team"), "one more once east runs no more than its part")
	assert.Equal(t, 10, x.lender.Outstanding(now, "team"), "and not lent twice")

	x.addHolder(longLease, "north", 3)
	x.exchange(15 * second)
	assert.False(t, east.Recovering(), "nobody else can have the rest, so it is told")
	assert.Equal(t, []Allocation{{"team", 6}}, east.inherited, "five that it reported, and one")
	east.SetUsage("team", 6, 7)
	x.exchange(20 * second)
	assert.Equal(t, 10, x.lender.Outstanding(20*second, "team"))
	x.holders["north"].SetUsage("team", 0, 0)
	east.SetUsage("team", 5, 7) // what it inherited is over
	x.exchange(21 * second)
	x.exchange(30 * second)
	x.exchange(40 * second)
	assert.False(t, x.lender.Recovering())
	x.holders["north"].Close()
	x.exchange(40 * second)
	assert.Equal(t, 10, east.Units(40*second, "team")+west.Units(40*second, "team")+x.holders["north"].Units(40*second, "team"))
}

// TestInheritedUnits: what a region's earlier life was counted at stays counted, is told to the new one, and is no grant.
func TestInheritedUnits(t *testing.T) {
	x := newFixture(t, longLease, LenderOptions{Preallocate: true, SkipRecovery: true, Children: []string{"east", "west"}}, "east", "west")
	x.lender.SetCapacity(0, "team", 10)
	x.holders["east"].SetUsage("team", 6, 6)
	x.exchange(0)
	x.exchange(0)
	held := x.holders["east"].Units(0, "team")
	require.GreaterOrEqual(t, held, 6)
	x.lender.SetCapacity(second, "team", 2)
	r, err := NewRegionLender(longLease, shortLease, "east", 2, 0)
	require.NoError(t, err)
	delete(x.holders, "east")
	for range 2 {
		a, due := r.NextRequest(0)
		require.True(t, due)
		answer, ok := x.lender.Handle(second, a)
		require.True(t, ok)
		r.HandleResponse(0, answer)
	}
	assert.False(t, r.Holder().Recovering())
	assert.Zero(t, r.Holder().Units(0, "team"), "nothing to begin by")
	assert.Equal(t, held, r.Lender().Outstanding(0, "team"), "and all counted")
	x.holders["west"].SetUsage("team", 0, 2)
	x.exchange(second)
	assert.Zero(t, x.holders["west"].Units(second, "team"))
}

// TestSkipRecovery: a first life waits for nothing.
func TestSkipRecovery(t *testing.T) {
	r, err := NewRegionLender(longLease, shortLease, "east", 1, 0)
	require.NoError(t, err)
	r.SkipRecovery(0)
	r.SetReserve(0, 3)
	assert.Zero(t, r.Lender().Outstanding(0, ReserveAccount))
	assert.False(t, r.Holder().Recovering())
	later, err := NewRegionLender(longLease, shortLease, "east", 2, 0)
	require.NoError(t, err)
	later.SetReserve(0, 3)
	assert.Equal(t, 3, later.Lender().Outstanding(0, ReserveAccount), "an earlier life may have lent it")
	assert.True(t, later.Holder().Recovering())
	end := Time(shortLease.QuietPeriod() + shortLease.DrainPeriod())
	later.Tick(end - 1)
	assert.Equal(t, 3, later.Lender().Outstanding(end-1, ReserveAccount))
	later.Tick(end)
	assert.Zero(t, later.Lender().Outstanding(end, ReserveAccount))
	assert.False(t, later.Holder().Recovering())
}

// TestReserveWithoutOwnLease: a region whose own lease is over lends the reserve alone.
func TestReserveWithoutOwnLease(t *testing.T) {
	r, err := NewRegionLender(longLease, shortLease, "east", 1, 0)
	require.NoError(t, err)
	r.SkipRecovery(0)
	r.SetReserve(0, 3)
	h, err := NewHolder(shortLease, "d", 1, false)
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
	r.HandleResponse(0, LeaseResponse{Child: "east", Epoch: 1, Seq: a.Seq, LenderIncarnation: 9, Lease: longLease.Lease, Allocations: []Allocation{{"team", 2}}})
	now := second
	turn(now)
	assert.Equal(t, 2, h.Units(now, "team"))
	assert.Equal(t, 1, h.Units(now, ReserveAccount))
	over := r.Holder().LeaseEnd() - Time(shortLease.Lease) + 1
	for now = second; now < over; now += second {
		turn(now)
	}
	assert.LessOrEqual(t, h.LeaseEnd(), r.Holder().LeaseEnd())
	turn(over + second)
	assert.Zero(t, h.Units(over+second, "team"))
	assert.Equal(t, 1, h.Units(over+second, ReserveAccount))
}

// TestLateFullRequest: a lender that has forgotten a child takes a late ask of it with all lines for the first; what the
// child then says has changed since an ask that the lender does not know is not taken for all that has.
func TestLateFullRequest(t *testing.T) {
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	x.lender.SetCapacity(0, "team", 10)
	h := x.holders["a"]
	h.SetUsage("team", 0, 1)
	a, _ := h.NextRequest(0)
	again, _ := x.lender.Handle(0, a)
	h.HandleResponse(0, again)
	late, _ := h.NextRequest(0) // all lines, and nothing of them held
	require.True(t, late.Full)
	h.SetUsage("team", 0, 8)
	x.exchange(second) // sent again: the first is late
	x.exchange(second)
	h.SetUsage("team", 8, 8)
	x.exchange(2 * second)
	x.exchange(2 * second)
	require.Equal(t, 8, h.Units(2*second, "team"))

	forgotten := 2*second + Time(shortLease.Lease+shortLease.DrainPeriod())
	x.lender.Tick(forgotten)
	_, ok := x.lender.Handle(forgotten, late)
	require.True(t, ok)
	delta, due := h.NextRequest(forgotten)
	require.True(t, due)
	delta.Reports = nil // and nothing changed
	answer, ok := x.lender.Handle(forgotten, delta)
	require.True(t, ok)
	assert.True(t, answer.ResendFull)
	h.HandleResponse(forgotten, answer)
	x.exchange(forgotten)
	assert.Equal(t, 8, x.lender.Outstanding(forgotten, "team"))
}

// TestRecoveryEndsDuringRequest: the answer to a fresh ask is no grant, also where the region has since come to know all.
func TestRecoveryEndsDuringRequest(t *testing.T) {
	h, err := NewHolder(longLease, "east", 2, true)
	require.NoError(t, err)
	h.lenderIncarnation = 7
	a, due := h.NextRequest(0)
	require.True(t, due)
	require.True(t, a.Recovering)
	h.FinishRecovery()
	h.HandleResponse(1, LeaseResponse{Child: "east", Epoch: 2, Seq: a.Seq, LenderIncarnation: 7, Lease: longLease.Lease, Allocations: []Allocation{{"team", 12}}})
	assert.Zero(t, h.Units(1, "team"))
	next, due := h.NextRequest(1)
	require.True(t, due)
	assert.False(t, next.Recovering)
	assert.True(t, next.Full)
	assert.Empty(t, next.Reports)
}

// TestExpiredChildReturns: what a lapsed child may have had running is parted among the others once it is back and says that
// nothing of it runs.
func TestExpiredChildReturns(t *testing.T) {
	x := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	x.lender.SetCapacity(0, "team", 10)
	x.holders["a"].SetUsage("team", 6, 6)
	x.exchange(0)
	x.exchange(0)
	a := x.holders["a"]
	delete(x.holders, "a")
	x.holders["b"].SetUsage("team", 4, 9)
	for now := Time(0); now < 5*second; now += second {
		x.exchange(now)
	}
	require.Equal(t, 4, x.holders["b"].Units(4*second, "team"))
	x.holders["a"] = a
	a.SetUsage("team", 0, 0)
	x.exchange(5 * second)
	x.exchange(5 * second)
	assert.Equal(t, 9, x.holders["b"].Units(5*second, "team"))
}
