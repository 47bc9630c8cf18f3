package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation runs one keeper and some holders on a network that loses and delays messages and cuts links. Each
// process has a clock of its own, whose rate is within the plan's drift. The keeper and the holders see only their
// own clocks, never the simulation's real time.
type simulation struct {
	plan        Plan
	realTime    int64 // nanoseconds
	keeper      *Keeper
	keeperClock clock
	holders     []*simulatedHolder
	inTransit   []message
	maxDelay    int64  // maximum delay of a message, in nanoseconds
	epochs      uint64 // used so far
}

// clock turns real time into the readings of one process's clock.
type clock struct {
	rate   float64
	offset int64
}

func (c clock) at(real int64) Time { return Time(c.offset + int64(float64(real)*c.rate)) }

type simulatedHolder struct {
	name   string
	holder *Holder
	clock  clock
	left   bool // has left: it sends no requests and spends nothing
	cut    bool // no message passes between it and the keeper
}

type message struct {
	at      int64 // real time of arrival
	to      int   // -1 for the keeper, else the index of a holder
	request LeaseRequest
	grant   Grant
}

func (sim *simulation) newHolder(t *rapid.T, i int) *Holder {
	sim.epochs++
	h, err := NewHolder(sim.plan, sim.holders[i].name, sim.epochs)
	require.NoError(t, err)
	return h
}

// spendable returns the sum of what all present holders may spend now.
func (sim *simulation) spendable() int {
	sum := 0
	for _, h := range sim.holders {
		if !h.left {
			sum += h.holder.Share(h.clock.at(sim.realTime))
		}
	}
	return sum
}

// send sends a message over the link of the given holder, unless the link is cut or the message is lost.
func (sim *simulation) send(t *rapid.T, to int, holder int, request LeaseRequest, grant Grant, lossy bool) {
	if sim.holders[holder].cut || lossy && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return
	}
	delay := rapid.Int64Range(0, sim.maxDelay).Draw(t, "delay")
	sim.inTransit = append(sim.inTransit, message{at: sim.realTime + delay, to: to, request: request, grant: grant})
}

// step advances real time by dt nanoseconds, sends the lease requests that are due and delivers the messages that
// have arrived.
func (sim *simulation) step(t *rapid.T, dt int64, lossy bool) {
	sim.realTime += dt
	for i, h := range sim.holders {
		if h.left {
			continue
		}
		if request, ok := h.holder.NextRequest(h.clock.at(sim.realTime)); ok {
			sim.send(t, -1, i, request, Grant{}, lossy)
		}
	}
	kept := sim.inTransit[:0]
	var due []message
	for _, msg := range sim.inTransit {
		if msg.at <= sim.realTime {
			due = append(due, msg)
		} else {
			kept = append(kept, msg)
		}
	}
	sim.inTransit = kept
	for _, msg := range due {
		if msg.to < 0 {
			from := sim.index(msg.request.Peer)
			g := sim.keeper.Handle(sim.keeperClock.at(sim.realTime), msg.request)
			sim.send(t, from, from, LeaseRequest{}, g, lossy)
		} else if h := sim.holders[msg.to]; !h.left && !h.cut {
			h.holder.HandleGrant(h.clock.at(sim.realTime), msg.grant)
		}
	}
}

func (sim *simulation) index(name string) int {
	for i, h := range sim.holders {
		if h.name == name {
			return i
		}
	}
	panic("no holder " + name)
}

// newSimulation starts a keeper and n holders at real time 0, each with a random clock.
func newSimulation(t *rapid.T, p Plan, n int, maxDelay time.Duration) *simulation {
	sim := &simulation{plan: p, keeperClock: drawClock(t, p, "keeper"), maxDelay: int64(maxDelay)}
	var err error
	sim.keeper, err = NewKeeper(p, sim.keeperClock.at(0))
	require.NoError(t, err)
	for i := range n {
		sim.holders = append(sim.holders, &simulatedHolder{name: fmt.Sprintf("n%d", i), clock: drawClock(t, p, fmt.Sprintf("h%d", i))})
		sim.holders[i].holder = sim.newHolder(t, i)
	}
	return sim
}

// run makes a number of steps of dt and checks after each that the holders may spend no more than limit. lossy(k)
// says whether the k-th step loses messages.
func (sim *simulation) run(t *rapid.T, steps int, dt time.Duration, limit int, lossy func(k int) bool) {
	for k := range steps {
		sim.step(t, int64(dt), lossy(k))
		require.LessOrEqual(t, sim.spendable(), limit, "spendable at %d ns", sim.realTime)
	}
}

// requireFairShares checks that every present holder may spend at least want now.
func (sim *simulation) requireFairShares(t *rapid.T, want int) {
	for _, h := range sim.holders {
		if !h.left {
			require.GreaterOrEqual(t, h.holder.Share(h.clock.at(sim.realTime)), want, h.name)
		}
	}
}

func always(int) bool { return true }
func never(int) bool  { return false }

func drawPlan(t *rapid.T) Plan {
	return Plan{Name: "connections", Total: rapid.IntRange(0, 600).Draw(t, "total"),
		MaxDispatchers: rapid.IntRange(1, 12).Draw(t, "max_dispatchers"), ReserveShare: rapid.Float64Range(0, 1).Draw(t, "reserve_share"),
		Lease: time.Duration(rapid.IntRange(300, 3000).Draw(t, "lease_ms")) * time.Millisecond,
		Drift: rapid.Float64Range(0, MaxDrift).Draw(t, "drift")}
}

// drawClock draws a clock, often one at a limit of the drift: with a fast keeper and a slow holder the holder's use
// of a lease comes closest to the lease's end.
func drawClock(t *rapid.T, p Plan, label string) clock {
	rate := rapid.SampledFrom([]float64{1 - p.Drift, 1 + p.Drift, 0}).Draw(t, label+"_edge")
	if rate == 0 {
		rate = rapid.Float64Range(1-p.Drift, 1+p.Drift).Draw(t, label+"_rate")
	}
	return clock{rate: rate, offset: rapid.Int64Range(-1e12, 1e12).Draw(t, label+"_offset")}
}

// TestSharesNeverExceedTotal checks that the holders together may never spend more than the total, whatever happens:
// random joins, leaves, crashes of holders and of the keeper, cut links, lost and late messages, drifting clocks.
// Once the faults end, every present holder has its reserve and its fair share of the pool less one unit within 4
// leases and the keeper's quiet period.
func TestSharesNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		n := rapid.IntRange(1, p.MaxDispatchers).Draw(t, "holders")
		sim := newSimulation(t, p, n, time.Duration(rapid.IntRange(0, 2*int(p.Lease.Milliseconds())).Draw(t, "delay_ms"))*time.Millisecond)
		var err error
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			h := sim.holders[i]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // crashes and starts again under its name, without any state
				h.holder = sim.newHolder(t, i)
			case 1:
				h.cut = !h.cut
			case 2: // leaves, or comes back as a new incarnation
				if h.left = !h.left; !h.left {
					h.holder = sim.newHolder(t, i)
				}
			case 3: // the keeper crashes and starts again without any state
				sim.keeper, err = NewKeeper(p, sim.keeperClock.at(sim.realTime))
				require.NoError(t, err)
			default:
				sim.step(t, int64(rapid.IntRange(1, 1000).Draw(t, "dt_ms"))*1e6, true)
			}
			require.LessOrEqual(t, sim.keeper.Lent(sim.keeperClock.at(sim.realTime)), p.Pool(), "lent by the keeper")
			require.LessOrEqual(t, sim.spendable(), p.Total, "spendable at %d ns", sim.realTime)
		}

		// The faults end: no link is cut, messages are fast and none is lost.
		sim.maxDelay = int64(5 * time.Millisecond)
		present := 0
		for _, h := range sim.holders {
			h.cut = false
			if !h.left {
				present++
			}
		}
		settle := 2 * (4*p.Lease + p.QuietPeriod()) // in real time, with a margin for the slowest clock
		sim.run(t, int(settle/(10*time.Millisecond))+1, 10*time.Millisecond, p.Total, never)
		if present > 0 {
			sim.requireFairShares(t, p.Reserve()+p.Pool()/present-1)
		}
	})
}

// TestCrashedHolderShareComesBackAfterItsLease checks that the keeper counts the units of a crashed holder until its
// lease ends. Until then a new holder gets only what is free.
func TestCrashedHolderShareComesBackAfterItsLease(t *testing.T) {
	p := Plan{Name: "probes", Total: 100, MaxDispatchers: 4, ReserveShare: 0.2, Lease: time.Second}
	k, err := NewKeeper(p, 0)
	require.NoError(t, err)
	start := Time(p.QuietPeriod())
	g := k.Handle(start, LeaseRequest{Peer: "a", Seq: 1, Wanted: 80})
	require.Equal(t, 80, g.Units, "a is alone and gets the whole pool")
	// a crashes here and b joins
	g = k.Handle(start.Add(p.Lease/2), LeaseRequest{Peer: "b", Seq: 1, Wanted: 80})
	assert.Equal(t, 0, g.Units, "a's lease has not ended: nothing is free")
	g = k.Handle(start.Add(p.Lease), LeaseRequest{Peer: "b", Seq: 2, Wanted: 80})
	assert.Equal(t, 80, g.Units, "a's lease has ended")
}

// TestPartitionFallsBackToTheReserve checks that a holder that is cut off spends only its reserve before, in real
// time, the keeper lends the units again. The holder's clock is as slow and the keeper's as fast as the drift allows.
func TestPartitionFallsBackToTheReserve(t *testing.T) {
	p := Plan{Name: "retries", Total: 1000, MaxDispatchers: 10, ReserveShare: 0.1, Lease: 2 * time.Second, Drift: 0.05}
	slow, fast := clock{rate: 1 - p.Drift}, clock{rate: 1 + p.Drift}
	k, err := NewKeeper(p, fast.at(0))
	require.NoError(t, err)
	h, err := NewHolder(p, "a", 1)
	require.NoError(t, err)
	sentAt := int64(p.QuietPeriod()) // the quiet period has passed on the keeper's fast clock
	request, ok := h.NextRequest(slow.at(sentAt))
	require.True(t, ok)
	lentAt := sentAt + int64(100*time.Millisecond) // the request arrives late
	g := k.Handle(fast.at(lentAt), request)
	require.Equal(t, p.Pool(), g.Units)
	h.HandleGrant(slow.at(lentAt), g)
	freedAt := lentAt
	for k.Lent(fast.at(freedAt)) > 0 { // when the keeper could lend the units to another
		freedAt += int64(time.Millisecond)
	}
	assert.Equal(t, p.Reserve(), h.Share(slow.at(freedAt)), "only the reserve once the keeper may lend again")
	assert.Equal(t, p.Reserve()+p.Pool(), h.Share(slow.at(freedAt-int64(p.Lease)/2)), "reserve and grant before")
}

// TestGrantForEarlierIncarnationIgnored checks that a holder that has started again ignores a grant for its earlier
// incarnation. The keeper counts that lease from an earlier time than the holder would.
func TestGrantForEarlierIncarnationIgnored(t *testing.T) {
	p := Plan{Name: "connections", Total: 100, MaxDispatchers: 2, Lease: time.Second}
	old, err := NewHolder(p, "a", 1)
	require.NoError(t, err)
	request, _ := old.NextRequest(0)
	again, err := NewHolder(p, "a", 2)
	require.NoError(t, err)
	again.NextRequest(Time(time.Second))
	again.HandleGrant(Time(time.Second), Grant{Peer: "a", Epoch: request.Epoch, Seq: request.Seq, Units: 100})
	assert.Equal(t, 0, again.Share(Time(time.Second)))
}

// TestReducedGrantWaitsForOldLease checks that after a renewal with fewer units the keeper counts the earlier grant
// until it ends, since the holder may still be using it.
func TestReducedGrantWaitsForOldLease(t *testing.T) {
	p := Plan{Name: "connections", Total: 90, MaxDispatchers: 3, Lease: time.Second}
	k, err := NewKeeper(p, 0)
	require.NoError(t, err)
	at := Time(p.QuietPeriod())
	require.Equal(t, 90, k.Handle(at, LeaseRequest{Peer: "a", Seq: 1, Wanted: 90}).Units)
	require.Equal(t, 0, k.Handle(at, LeaseRequest{Peer: "b", Seq: 1, Wanted: 90}).Units, "nothing is free")
	require.Equal(t, 45, k.Handle(at.Add(p.Lease/4), LeaseRequest{Peer: "a", Seq: 2, Wanted: 90}).Units, "a is reduced to its fair share")
	assert.Equal(t, 0, k.Handle(at.Add(p.Lease/2), LeaseRequest{Peer: "b", Seq: 2, Wanted: 90}).Units, "a's first grant has not ended")
	assert.Equal(t, 45, k.Handle(at.Add(p.Lease), LeaseRequest{Peer: "b", Seq: 3, Wanted: 90}).Units, "a's first grant has ended")
	assert.Equal(t, 90, k.Lent(at.Add(p.Lease)))
}

func TestSplit(t *testing.T) {
	assert.Equal(t, 2, Split(600, 300, 0))
	assert.Equal(t, 0, Split(100, 300, 0), "rounded down")
	assert.Equal(t, 1, Split(100, 300, 1), "the minimum")
	assert.Equal(t, 600, Split(600, 0, 0), "a fleet below 1 counts as 1")
	assert.Equal(t, 0, Split(-5, 3, 0))
	assert.Equal(t, 300, EstimateFleetSize(300, 12, 40))
	assert.Equal(t, 41, EstimateFleetSize(0, 12, 41))
	assert.Equal(t, 1, EstimateFleetSize(0))
}

func TestPlanCheckNamesTheField(t *testing.T) {
	good := Plan{Name: "x", Total: 10, MaxDispatchers: 2, ReserveShare: 0.5, Lease: time.Second, Drift: 0.01}
	require.NoError(t, good.Check())
	for field, spoil := range map[string]func(*Plan){
		"total": func(p *Plan) { p.Total = -1 }, "most": func(p *Plan) { p.MaxDispatchers = 0 },
		"reserve": func(p *Plan) { p.ReserveShare = 1.5 }, "lease": func(p *Plan) { p.Lease = 0 },
		"drift": func(p *Plan) { p.Drift = 0.2 },
	} {
		p := good
		spoil(&p)
		assert.ErrorContains(t, p.Check(), field)
	}
	assert.Equal(t, good.Total, good.MaxDispatchers*good.Reserve()+good.Pool(), "reserves and pool sum to the total")
}

// TestThreeHundredJoinAtOnce: after a release 300 dispatchers start together and send their requests at once, and one
// message in ten is lost for the duration of a lease. The sum never exceeds the total, and two leases later each
// holder has its fair share less one unit. The first holders get more, since the pool is divided among those whose
// requests have arrived so far; the others get their share once those leases end. The two leases (2 L) that the
// design allows for the start cover this.
func TestThreeHundredJoinAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Plan{Name: "connections", Total: 3000, MaxDispatchers: 300, ReserveShare: 0.2, Lease: 3 * time.Second, Drift: 0.001}
		sim := newSimulation(t, p, p.MaxDispatchers, 20*time.Millisecond)
		sim.realTime = int64(p.QuietPeriod()) * 2 // the keeper's quiet period is over
		const dt = 30 * time.Millisecond
		sim.run(t, int(3*p.Lease/dt), dt, p.Total, func(k int) bool { return k < int(p.Lease/dt) })
		sim.requireFairShares(t, p.Reserve()+p.Pool()/p.MaxDispatchers-1)
	})
}

// TestFlappingPeerKeepsTotal: a peer leaves and comes back as a new incarnation every second, for twenty seconds. The
// sum of the shares never exceeds the total, and once the peer stays all holders get their fair shares.
func TestFlappingPeerKeepsTotal(t *testing.T) {
	p := Plan{Name: "probes", Total: 100, MaxDispatchers: 5, ReserveShare: 0.1, Lease: 2 * time.Second, Drift: 0.01}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, p, 4, 50*time.Millisecond)
		flapper := sim.holders[3]
		for second := range 21 { // in the 21st second it comes back and stays
			if flapper.left = second%2 == 1; !flapper.left {
				flapper.holder = sim.newHolder(t, 3)
			}
			sim.run(t, 100, 10*time.Millisecond, p.Total, always)
		}
		sim.run(t, int(4*p.Lease/(10*time.Millisecond)), 10*time.Millisecond, p.Total, never)
		sim.requireFairShares(t, p.Reserve()+p.Pool()/4-1)
	})
}

// TestLoweredTotalHoldsOnceAllApplyIt: a reload halves the total while units are lent. The keeper and the holders
// apply it one after another at random times. Until the last has done so, the sum of the shares stays within the old
// total; from then on it stays within the new one, and every holder gets its new fair share.
func TestLoweredTotalHoldsOnceAllApplyIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Plan{Name: "connections", Total: 400, MaxDispatchers: 5, ReserveShare: 0.25, Lease: time.Second, Drift: 0.01}
		sim := newSimulation(t, p, 4, 30*time.Millisecond)
		sim.run(t, int(4*(p.Lease+p.QuietPeriod())/(10*time.Millisecond)), 10*time.Millisecond, p.Total, never)
		lower := p
		lower.Total = 200
		order := rapid.Permutation([]int{-1, 0, 1, 2, 3}).Draw(t, "order")
		for _, process := range order {
			sim.run(t, rapid.IntRange(0, 50).Draw(t, "steps"), 10*time.Millisecond, p.Total, always)
			if process < 0 {
				require.NoError(t, sim.keeper.Replan(lower))
			} else {
				require.NoError(t, sim.holders[process].holder.Replan(lower))
			}
		}
		sim.plan = lower // for holders that start later
		sim.run(t, int(3*lower.Lease/(10*time.Millisecond)), 10*time.Millisecond, lower.Total, never)
		sim.requireFairShares(t, lower.Reserve()+lower.Pool()/4-1)
	})
}
