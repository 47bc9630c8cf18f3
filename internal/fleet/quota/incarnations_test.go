package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLeaseCountsFromRequest: a lease counts from the sending of its request, however late the response is.
func TestLeaseCountsFromRequest(t *testing.T) {
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a")
	f.lender.SetCapacity(0, "team", 5)
	h := f.holders["a"]
	f.exchange(0)
	h.SetUsage("team", 0, 5)
	request, due := h.NextRequest(0)
	require.True(t, due)
	response, ok := f.lender.Handle(0, request)
	require.True(t, ok)
	h.HandleResponse(second/2, response)
	usable := Time(shortLease.UsableLease())
	assert.Equal(t, usable, h.LeaseEnd())
	assert.Equal(t, 5, h.Units(usable-1, "team"))
	assert.Zero(t, h.Units(usable, "team"))
}

// TestDifferingLeases: while dispatchers have settings with different leases, no holder uses a lease longer than its lender
// counts.
func TestDifferingLeases(t *testing.T) {
	longer := shortLease
	longer.Lease *= 4
	for _, cfg := range []LeaseConfig{shortLease, longer} {
		f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true})
		f.addHolder(cfg, "a", 1)
		f.lender.SetCapacity(0, "team", 5)
		f.holders["a"].SetUsage("team", 0, 1)
		f.exchange(0)
		assert.Equal(t, Time(shortLease.UsableLease()), f.holders["a"].LeaseEnd())
	}
}

// TestRequestToEarlierLender: a request to an earlier incarnation of the lender tells the new one nothing, because the child
// may have returned units since it reported them as held.
func TestRequestToEarlierLender(t *testing.T) {
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	f.lender.SetCapacity(0, "team", 10)
	f.holders["a"].SetUsage("team", 8, 8)
	f.exchange(0)
	f.exchange(0)
	late, due := f.holders["a"].NextRequest(second)
	require.True(t, due)
	late.Full = true
	var err error
	f.lender, err = NewLender(shortLease, 8, 2*second, LenderOptions{})
	require.NoError(t, err)
	f.lender.SetCapacity(2*second, "team", 10)
	for _, lender := range []uint64{0, 7} {
		late.LenderIncarnation = lender
		response, ok := f.lender.Handle(2*second, late)
		require.True(t, ok)
		assert.True(t, response.ResendFull)
		assert.Empty(t, response.Allocations)
	}
	assert.Zero(t, f.lender.accounts["team"].reported)
	assert.Equal(t, 10, f.lender.Outstanding(2*second, "team"))
}

// TestNoRecord: a root without a record of what a region's earlier incarnation lent grants the new one no more than it
// reports. It lends the other units to nobody until the region's recovery has ended.
func TestNoRecord(t *testing.T) {
	f := newFixture(t, longLease, LenderOptions{Preallocate: true, Children: []string{"east", "west", "north"}}, "west")
	f.lender.SetCapacity(0, "team", 10)
	west := f.holders["west"]
	west.accounts["team"] = &heldAccount{units: 4, used: 2, demand: 9, reported: AccountReport{Account: "team"}} // lent by an earlier root
	west.dirty["team"], west.leaseEnd = true, second
	east, err := NewHolder(longLease, "east", 2, true)
	require.NoError(t, err)
	f.holders["east"] = east
	east.SetUsage("team", 3, 7)
	f.exchange(0)
	f.exchange(0)
	assert.True(t, east.Recovering())
	assert.Equal(t, 3, east.Units(0, "team"), "units that its dispatchers reported are renewed")
	assert.LessOrEqual(t, west.Units(0, "team"), 4)
	assert.Equal(t, 10, f.lender.Outstanding(0, "team"))
	east.SetUsage("team", 5, 7) // its dispatchers report two more
	now := 10 * second
	f.exchange(now)
	f.exchange(now)
	assert.Equal(t, 4, east.Units(now, "team"), "reported units are divided")
	assert.Equal(t, 4, west.Units(now, "team"), "one more only when east uses no more than its share")
	assert.Equal(t, 10, f.lender.Outstanding(now, "team"), "no unit is lent twice")

	f.addHolder(longLease, "north", 3)
	f.exchange(15 * second)
	assert.False(t, east.Recovering(), "no other child can hold the remaining units, so east is told of them")
	assert.Equal(t, []Allocation{{"team", 6}}, east.inherited, "five units that it reported, and one that nobody did")
	east.SetUsage("team", 6, 7)
	f.exchange(20 * second)
	assert.Equal(t, 10, f.lender.Outstanding(20*second, "team"))
	f.holders["north"].SetUsage("team", 0, 0)
	east.SetUsage("team", 5, 7) // the inherited unit is no longer in use
	f.exchange(21 * second)
	f.exchange(30 * second)
	f.exchange(40 * second)
	assert.False(t, f.lender.Recovering())
	f.holders["north"].Close()
	f.exchange(40 * second)
	assert.Equal(t, 10, east.Units(40*second, "team")+west.Units(40*second, "team")+f.holders["north"].Units(40*second, "team"))
}

// TestInheritedUnits: units counted for a region's earlier incarnation stay counted. The new incarnation is told of them, and
// they are not a grant.
func TestInheritedUnits(t *testing.T) {
	f := newFixture(t, longLease, LenderOptions{Preallocate: true, SkipRecovery: true, Children: []string{"east", "west"}}, "east", "west")
	f.lender.SetCapacity(0, "team", 10)
	f.holders["east"].SetUsage("team", 6, 6)
	f.exchange(0)
	f.exchange(0)
	held := f.holders["east"].Units(0, "team")
	require.GreaterOrEqual(t, held, 6)
	f.lender.SetCapacity(second, "team", 2)
	r, err := NewRegionLender(longLease, shortLease, "east", 2, 0)
	require.NoError(t, err)
	delete(f.holders, "east")
	for range 2 {
		request, due := r.NextRequest(0)
		require.True(t, due)
		response, ok := f.lender.Handle(second, request)
		require.True(t, ok)
		r.HandleResponse(0, response)
	}
	assert.False(t, r.Holder().Recovering())
	assert.Zero(t, r.Holder().Units(0, "team"), "no units to use")
	assert.Equal(t, held, r.Lender().Outstanding(0, "team"), "all units counted")
	f.holders["west"].SetUsage("team", 0, 2)
	f.exchange(second)
	assert.Zero(t, f.holders["west"].Units(second, "team"))
}

// TestSkipRecovery: the first incarnation of a region's lender has nothing to wait for, a later one has.
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
	assert.Equal(t, 3, later.Lender().Outstanding(0, ReserveAccount), "an earlier incarnation may have lent it")
	assert.True(t, later.Holder().Recovering())
	end := Time(shortLease.QuietPeriod() + shortLease.DrainPeriod())
	later.Tick(end - 1)
	assert.Equal(t, 3, later.Lender().Outstanding(end-1, ReserveAccount))
	later.Tick(end)
	assert.Zero(t, later.Lender().Outstanding(end, ReserveAccount))
	assert.False(t, later.Holder().Recovering())
}

// TestReserveWithoutOwnLease: a region whose own lease has ended lends only the reserve.
func TestReserveWithoutOwnLease(t *testing.T) {
	r, err := NewRegionLender(longLease, shortLease, "east", 1, 0)
	require.NoError(t, err)
	r.SkipRecovery(0)
	r.SetReserve(0, 3)
	h, err := NewHolder(shortLease, "d", 1, false)
	require.NoError(t, err)
	exchange := func(now Time) {
		r.Tick(now)
		for range 3 {
			if request, due := h.NextRequest(now); due {
				if response, ok := r.Handle(now, request); ok {
					h.HandleResponse(now, response)
				}
			}
		}
	}
	h.SetUsage("team", 0, 2)
	h.SetUsage(ReserveAccount, 0, 1)
	exchange(0)
	assert.Zero(t, h.Units(0, ReserveAccount), "nothing in the first QuietPeriod: the region's own lease may begin soon")
	r.holder.lenderIncarnation = 9
	request, due := r.NextRequest(0)
	require.True(t, due)
	r.HandleResponse(0, LeaseResponse{Child: "east", Epoch: 1, Seq: request.Seq, LenderIncarnation: 9, Lease: longLease.Lease,
		Allocations: []Allocation{{"team", 2}}})
	now := second
	exchange(now)
	assert.Equal(t, 2, h.Units(now, "team"))
	assert.Equal(t, 1, h.Units(now, ReserveAccount))
	over := r.Holder().LeaseEnd() - Time(shortLease.Lease) + 1
	for now = second; now < over; now += second {
		exchange(now)
	}
	assert.LessOrEqual(t, h.LeaseEnd(), r.Holder().LeaseEnd())
	exchange(over + second)
	assert.Zero(t, h.Units(over+second, "team"))
	assert.Equal(t, 1, h.Units(over+second, ReserveAccount))
}

// TestLateFullRequest: a lender that has forgotten a child takes a late full request for its first one. If the child then
// sends only changes since a request that the lender does not know, the lender must not take them for the whole state.
func TestLateFullRequest(t *testing.T) {
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	f.lender.SetCapacity(0, "team", 10)
	h := f.holders["a"]
	h.SetUsage("team", 0, 1)
	a, _ := h.NextRequest(0)
	resend, _ := f.lender.Handle(0, a)
	h.HandleResponse(0, resend)
	late, _ := h.NextRequest(0) // full, and without held units
	require.True(t, late.Full)
	h.SetUsage("team", 0, 8)
	f.exchange(second) // repeated, because the first one is late
	f.exchange(second)
	h.SetUsage("team", 8, 8)
	f.exchange(2 * second)
	f.exchange(2 * second)
	require.Equal(t, 8, h.Units(2*second, "team"))

	forgotten := 2*second + Time(shortLease.Lease+shortLease.DrainPeriod())
	f.lender.Tick(forgotten)
	_, ok := f.lender.Handle(forgotten, late)
	require.True(t, ok)
	delta, due := h.NextRequest(forgotten)
	require.True(t, due)
	delta.Reports = nil // nothing changed
	response, ok := f.lender.Handle(forgotten, delta)
	require.True(t, ok)
	assert.True(t, response.ResendFull)
	h.HandleResponse(forgotten, response)
	f.exchange(forgotten)
	assert.Equal(t, 8, f.lender.Outstanding(forgotten, "team"))
}

// TestRecoveryEndsDuringRequest: the response to a recovering child is not a grant, even if its recovery has ended since it
// sent the request.
func TestRecoveryEndsDuringRequest(t *testing.T) {
	h, err := NewHolder(longLease, "east", 2, true)
	require.NoError(t, err)
	h.lenderIncarnation = 7
	a, due := h.NextRequest(0)
	require.True(t, due)
	require.True(t, a.Recovering)
	h.FinishRecovery()
	h.HandleResponse(1, LeaseResponse{Child: "east", Epoch: 2, Seq: a.Seq, LenderIncarnation: 7, Lease: longLease.Lease,
		Allocations: []Allocation{{"team", 12}}})
	assert.Zero(t, h.Units(1, "team"))
	next, due := h.NextRequest(1)
	require.True(t, due)
	assert.False(t, next.Recovering)
	assert.True(t, next.Full)
	assert.Empty(t, next.Reports)
}

// TestExpiredChildReturns: units that an expired child may have had in use are divided among the others when it returns and
// reports that it uses none.
func TestExpiredChildReturns(t *testing.T) {
	f := newFixture(t, shortLease, LenderOptions{SkipRecovery: true}, "a", "b")
	f.lender.SetCapacity(0, "team", 10)
	f.holders["a"].SetUsage("team", 6, 6)
	f.exchange(0)
	f.exchange(0)
	a := f.holders["a"]
	delete(f.holders, "a")
	f.holders["b"].SetUsage("team", 4, 9)
	for now := Time(0); now < 5*second; now += second {
		f.exchange(now)
	}
	require.Equal(t, 4, f.holders["b"].Units(4*second, "team"))
	f.holders["a"] = a
	a.SetUsage("team", 0, 0)
	f.exchange(5 * second)
	f.exchange(5 * second)
	assert.Equal(t, 9, f.holders["b"].Units(5*second, "team"))
}
