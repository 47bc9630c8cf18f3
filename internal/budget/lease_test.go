package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation is one keeper and some holders on a network that drops, delays and cuts off, each
// process with a clock of its own that runs at a rate within the plan's drift. Real time is the
// simulation's alone; the keeper and holders see only their own clocks.
type simulation struct {
	plan        Plan
	realTime    int64 // nanoseconds
	keeper      *Keeper
	keeperClock clock
	holders     []*simulatedHolder
	inTransit   []message
	maxDelay    int64 // most delay of a message, ns
	epochs      uint64
}

type clock struct {
	rate   float64
	offset int64
}

func (c clock) at(real int64) Time { return Time(c.offset + int64(float64(real)*c.rate)) }

type simulatedHolder struct {
	name   string
	holder *Holder
	clock  clock
	left   bool // left for good: asks no more and spends nothing
	cut    bool // no message passes between it and the keeper
}

type message struct {
	at    int64 // real time of arrival
	to    int   // -1: the keeper; else a holder
	ask   Ask
	grant Grant
}

func (w *simulation) newHolder(t *rapid.T, i int) *Holder {
	w.epochs++
	h, err := NewHolder(w.plan, w.holders[i].name, w.epochs)
	require.NoError(t, err)
	return h
}

// spendable is what all holders that are there may spend at this moment of real time.
func (w *simulation) spendable() int {
	sum := 0
	for _, m := range w.holders {
		if !m.left {
			sum += m.holder.Share(m.clock.at(w.realTime))
		}
	}
	return sum
}

func (w *simulation) send(t *rapid.T, to int, from int, ask Ask, grant Grant, lossy bool) {
	if w.holders[from].cut || lossy && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return
	}
	delay := rapid.Int64Range(0, w.maxDelay).Draw(t, "delay")
	w.inTransit = append(w.inTransit, message{at: w.realTime + delay, to: to, ask: ask, grant: grant})
}

// step moves real time on by dt and does all that falls due: asks, their arrival, answers.
func (w *simulation) step(t *rapid.T, dt int64, lossy bool) {
	w.realTime += dt
	for i, m := range w.holders {
		if m.left {
			continue
		}
		if a, ok := m.holder.NextAsk(m.clock.at(w.realTime)); ok {
			w.send(t, -1, i, a, Grant{}, lossy)
		}
	}
	kept := w.inTransit[:0]
	var due []message
	for _, msg := range w.inTransit {
		if msg.at <= w.realTime {
			due = append(due, msg)
		} else {
			kept = append(kept, msg)
		}
	}
	w.inTransit = kept
	for _, msg := range due {
		if msg.to < 0 {
			from := w.index(msg.ask.Peer)
			g := w.keeper.HandleAsk(w.keeperClock.at(w.realTime), msg.ask)
			w.send(t, from, from, Ask{}, g, lossy)
		} else if m := w.holders[msg.to]; !m.left && !m.cut {
			m.holder.HandleGrant(m.clock.at(w.realTime), msg.grant)
		}
	}
}

func (w *simulation) index(name string) int {
	for i, m := range w.holders {
		if m.name == name {
			return i
		}
	}
	panic("no holder " + name)
}

// newSimulation starts a keeper at real time 0 and n holders, each clock drawn.
func newSimulation(t *rapid.T, p Plan, n int, delay time.Duration) *simulation {
	w := &simulation{plan: p, keeperClock: drawClock(t, p, "keeper"), maxDelay: int64(delay)}
	var err error
	w.keeper, err = NewKeeper(p, w.keeperClock.at(0))
	require.NoError(t, err)
	for i := range n {
		w.holders = append(w.holders, &simulatedHolder{name: fmt.Sprintf("n%d", i), clock: drawClock(t, p, fmt.Sprintf("h%d", i))})
		w.holders[i].holder = w.newHolder(t, i)
	}
	return w
}

// run steps on by dt, steps times, and checks at each step that the holders spend no more than
// most; lossy(k) says whether the k-th step loses messages.
func (w *simulation) run(t *rapid.T, steps int, dt time.Duration, most int, lossy func(k int) bool) {
	for k := range steps {
		w.step(t, int64(dt), lossy(k))
		require.LessOrEqual(t, w.spendable(), most, "spent at %d ns", w.realTime)
	}
}

// requireFairShares checks that every holder that is there has at least want at this moment.
func (w *simulation) requireFairShares(t *rapid.T, want int) {
	for _, m := range w.holders {
		if !m.left {
			require.GreaterOrEqual(t, m.holder.Share(m.clock.at(w.realTime)), want, m.name)
		}
	}
}

func always(int) bool { return true }
func never(int) bool  { return false }

func drawPlan(t *rapid.T) Plan {
	return Plan{Name: "connections", Total: rapid.IntRange(0, 600).Draw(t, "total"),
		MaxDispatchers: rapid.IntRange(1, 12).Draw(t, "most"), ReserveShare: rapid.Float64Range(0, 1).Draw(t, "part"),
		Lease: time.Duration(rapid.IntRange(300, 3000).Draw(t, "lease_ms")) * time.Millisecond,
		Drift: rapid.Float64Range(0, MaxDrift).Draw(t, "drift")}
}

// drawClock draws a clock, as often as not at an edge of the drift: the keeper fast and a holder
// slow is where a lease's end is closest to being crossed.
func drawClock(t *rapid.T, p Plan, label string) clock {
	rate := rapid.SampledFrom([]float64{1 - p.Drift, 1 + p.Drift, 0}).Draw(t, label+"_edge")
	if rate == 0 {
		rate = rapid.Float64Range(1-p.Drift, 1+p.Drift).Draw(t, label+"_rate")
	}
	return clock{rate: rate, offset: rapid.Int64Range(-1e12, 1e12).Draw(t, label+"_offset")}
}

// TestSharesNeverExceedTotal: over random joins, leaves, crashes of holders and of the keeper,
// cut links, lost and late messages and drifting clocks, what the holders may spend together never
// exceeds the total, at any moment of real time. Once the faults end, every holder that is there
// holds its reserve and at least its fair part of the pool less one unit within 4 leases and the
// keeper's quiet time.
func TestSharesNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		n := rapid.IntRange(1, p.MaxDispatchers).Draw(t, "holders")
		w := newSimulation(t, p, n, time.Duration(rapid.IntRange(0, 2*int(p.Lease.Milliseconds())).Draw(t, "delay_ms"))*time.Millisecond)
		var err error
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			m := w.holders[i]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // crashes and starts again from nothing, under its name
				m.holder = w.newHolder(t, i)
			case 1:
				m.cut = !m.cut
			case 2: // leaves, or comes back as a new life
				if m.left = !m.left; !m.left {
					m.holder = w.newHolder(t, i)
				}
			case 3: // the keeper crashes and starts again, knowing nothing
				w.keeper, err = NewKeeper(p, w.keeperClock.at(w.realTime))
				require.NoError(t, err)
			default:
				w.step(t, int64(rapid.IntRange(1, 1000).Draw(t, "dt_ms"))*1e6, true)
			}
			require.LessOrEqual(t, w.keeper.Lent(w.keeperClock.at(w.realTime)), p.Pool(), "lent by the keeper")
			require.LessOrEqual(t, w.spendable(), p.Total, "spent at %d ns", w.realTime)
		}

		// The faults end: links mend, messages are quick and none is lost.
		w.maxDelay = int64(5 * time.Millisecond)
		there := 0
		for _, m := range w.holders {
			m.cut = false
			if !m.left {
				there++
			}
		}
		settle := 2 * (4*p.Lease + p.QuietPeriod()) // real time, with the slowest clock's margin
		w.run(t, int(settle/(10*time.Millisecond))+1, 10*time.Millisecond, p.Total, never)
		if there > 0 {
			w.requireFairShares(t, p.Reserve()+p.Pool()/there-1)
		}
	})
}

// TestCrashedHolderShareComesBackAfterItsLease: a holder that dies holding a share keeps it, in
// the keeper's count, until its lease ends; a newcomer gets only what is free until then.
func TestCrashedHolderShareComesBackAfterItsLease(t *testing.T) {
	p := Plan{Name: "probes", Total: 100, MaxDispatchers: 4, ReserveShare: 0.2, Lease: time.Second}
	k, err := NewKeeper(p, 0)
	require.NoError(t, err)
	start := Time(p.QuietPeriod())
	g := k.HandleAsk(start, Ask{Peer: "a", Seq: 1, Wanted: 80})
	require.Equal(t, 80, g.Units, "alone, all of the pool")
	// a dies here; b comes
	g = k.HandleAsk(start.Add(p.Lease/2), Ask{Peer: "b", Seq: 1, Wanted: 80})
	assert.Equal(t, 0, g.Units, "a's lease stands: nothing is free")
	g = k.HandleAsk(start.Add(p.Lease), Ask{Peer: "b", Seq: 2, Wanted: 80})
	assert.Equal(t, 80, g.Units, "a's lease has ended")
}

// TestPartitionFallsBackToTheReserve: a holder that is cut off spends its reserve alone once what
// it may use of its lease is over, and that is before the keeper lends the units again, in real
// time, with its clock as slow and the keeper's as fast as the drift allows.
func TestPartitionFallsBackToTheReserve(t *testing.T) {
	p := Plan{Name: "retries", Total: 1000, MaxDispatchers: 10, ReserveShare: 0.1, Lease: 2 * time.Second, Drift: 0.05}
	slow, fast := clock{rate: 1 - p.Drift}, clock{rate: 1 + p.Drift}
	k, err := NewKeeper(p, fast.at(0))
	require.NoError(t, err)
	h, err := NewHolder(p, "a", 1)
	require.NoError(t, err)
	real := int64(p.QuietPeriod()) // the keeper's quiet time has passed on the fast clock, and more
	a, ok := h.NextAsk(slow.at(real))
	require.True(t, ok)
	lentAt := real + int64(100*time.Millisecond) // the ask arrives late
	g := k.HandleAsk(fast.at(lentAt), a)
	require.Equal(t, p.Pool(), g.Units)
	h.HandleGrant(slow.at(lentAt), g)
	freedAt := lentAt
	for k.Lent(fast.at(freedAt)) > 0 { // when the keeper could lend the units to another
		freedAt += int64(time.Millisecond)
	}
	assert.Equal(t, p.Reserve(), h.Share(slow.at(freedAt)), "cut off: the reserve alone when the keeper lends again")
	assert.Equal(t, p.Reserve()+p.Pool(), h.Share(slow.at(freedAt-int64(p.Lease)/2)), "the lease in force before")
}

// TestGrantForEarlierIncarnationIgnored: a holder that started again is not given, by an answer
// meant for its earlier life, a lease the keeper counts from an earlier time.
func TestGrantForEarlierIncarnationIgnored(t *testing.T) {
	p := Plan{Name: "connections", Total: 100, MaxDispatchers: 2, Lease: time.Second}
	old, err := NewHolder(p, "a", 1)
	require.NoError(t, err)
	a, _ := old.NextAsk(0)
	again, err := NewHolder(p, "a", 2)
	require.NoError(t, err)
	again.NextAsk(Time(time.Second))
	again.HandleGrant(Time(time.Second), Grant{Peer: "a", Epoch: a.Epoch, Seq: a.Seq, Units: 100})
	assert.Equal(t, 0, again.Share(Time(time.Second)))
}

// TestReducedGrantWaitsForOldLease: a renewal that gives less leaves the difference counted until
// the grant before it ends, for the holder may still be using that one.
func TestReducedGrantWaitsForOldLease(t *testing.T) {
	p := Plan{Name: "connections", Total: 90, MaxDispatchers: 3, Lease: time.Second}
	k, err := NewKeeper(p, 0)
	require.NoError(t, err)
	at := Time(p.QuietPeriod())
	require.Equal(t, 90, k.HandleAsk(at, Ask{Peer: "a", Seq: 1, Wanted: 90}).Units)
	require.Equal(t, 0, k.HandleAsk(at, Ask{Peer: "b", Seq: 1, Wanted: 90}).Units, "nothing free")
	require.Equal(t, 45, k.HandleAsk(at.Add(p.Lease/4), Ask{Peer: "a", Seq: 2, Wanted: 90}).Units, "a comes down to its part")
	assert.Equal(t, 0, k.HandleAsk(at.Add(p.Lease/2), Ask{Peer: "b", Seq: 2, Wanted: 90}).Units, "a's first grant stands")
	assert.Equal(t, 45, k.HandleAsk(at.Add(p.Lease), Ask{Peer: "b", Seq: 3, Wanted: 90}).Units, "and has ended")
	assert.Equal(t, 90, k.Lent(at.Add(p.Lease)))
}

func TestSplit(t *testing.T) {
	assert.Equal(t, 2, Split(600, 300, 0))
	assert.Equal(t, 0, Split(100, 300, 0), "rounded down")
	assert.Equal(t, 1, Split(100, 300, 1), "the floor")
	assert.Equal(t, 600, Split(600, 0, 0), "a fleet below 1 counts as 1")
	assert.Equal(t, 0, Split(-5, 3, 0))
	assert.Equal(t, 300, Estimate(300, 12, 40))
	assert.Equal(t, 41, Estimate(0, 12, 41))
	assert.Equal(t, 1, Estimate(0))
}

func TestPlanCheckNamesTheField(t *testing.T) {
	good := Plan{Name: "x", Total: 10, MaxDispatchers: 2, ReserveShare: 0.5, Lease: time.Second, Drift: 0.01}
	require.NoError(t, good.Check())
	for field, spoil := range map[string]func(*Plan){
		"total": func(p *Plan) { p.Total = -1 }, "most": func(p *Plan) { p.MaxDispatchers = 0 },
		"part": func(p *Plan) { p.ReserveShare = 1.5 }, "lease": func(p *Plan) { p.Lease = 0 },
		"drift": func(p *Plan) { p.Drift = 0.2 },
	} {
		p := good
		spoil(&p)
		assert.ErrorContains(t, p.Check(), field)
	}
	assert.Equal(t, good.Total, good.MaxDispatchers*good.Reserve()+good.Pool(), "reserves and pool make the whole")
}

// TestThreeHundredJoinAtOnce: after a release 300 dispatchers start together and ask at once, with
// one ask or answer in ten lost for a lease; the sum never exceeds the whole, and two leases later
// each holds its fair part less one unit. The first askers get the most (n counts those that have
// asked), and the others get theirs once those leases end: the slow start that the design's 2 L
// allows for.
func TestThreeHundredJoinAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Plan{Name: "connections", Total: 3000, MaxDispatchers: 300, ReserveShare: 0.2, Lease: 3 * time.Second, Drift: 0.001}
		w := newSimulation(t, p, p.MaxDispatchers, 20*time.Millisecond)
		w.realTime = int64(p.QuietPeriod()) * 2 // the keeper has been up a while
		const dt = 30 * time.Millisecond
		w.run(t, int(3*p.Lease/dt), dt, p.Total, func(k int) bool { return k < int(p.Lease/dt) })
		w.requireFairShares(t, p.Reserve()+p.Pool()/p.MaxDispatchers-1)
	})
}

// TestFlappingPeerKeepsTotal: a peer that leaves and comes back as a new life every second, for
// twenty seconds, never lifts the sum above the whole, and once it stays the others keep their
// fair parts.
func TestFlappingPeerKeepsTotal(t *testing.T) {
	p := Plan{Name: "probes", Total: 100, MaxDispatchers: 5, ReserveShare: 0.1, Lease: 2 * time.Second, Drift: 0.01}
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, p, 4, 50*time.Millisecond)
		flapper := w.holders[3]
		for s := range 21 { // the 21st time it comes back and stays
			if flapper.left = s%2 == 1; !flapper.left {
				flapper.holder = w.newHolder(t, 3)
			}
			w.run(t, 100, 10*time.Millisecond, p.Total, always)
		}
		w.run(t, int(4*p.Lease/(10*time.Millisecond)), 10*time.Millisecond, p.Total, never)
		w.requireFairShares(t, p.Reserve()+p.Pool()/4-1)
	})
}

// TestLoweredTotalHoldsOnceAllApplyIt: a reload halves the total while shares are held. The
// keeper and the holders read it one after another at random moments; until the last has, the sum
// stays within the old total, and from then on within the new one, and every holder gets its new
// fair part.
func TestLoweredTotalHoldsOnceAllApplyIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Plan{Name: "connections", Total: 400, MaxDispatchers: 5, ReserveShare: 0.25, Lease: time.Second, Drift: 0.01}
		w := newSimulation(t, p, 4, 30*time.Millisecond)
		w.run(t, int(4*(p.Lease+p.QuietPeriod())/(10*time.Millisecond)), 10*time.Millisecond, p.Total, never)
		lower := p
		lower.Total = 200
		order := rapid.Permutation([]int{-1, 0, 1, 2, 3}).Draw(t, "order")
		for _, who := range order {
			w.run(t, rapid.IntRange(0, 50).Draw(t, "steps"), 10*time.Millisecond, p.Total, always)
			if who < 0 {
				require.NoError(t, w.keeper.Replan(lower))
			} else {
				require.NoError(t, w.holders[who].holder.Replan(lower))
			}
		}
		w.plan = lower // holders that start from here on start with it
		w.run(t, int(3*lower.Lease/(10*time.Millisecond)), 10*time.Millisecond, lower.Total, never)
		w.requireFairShares(t, lower.Reserve()+lower.Pool()/4-1)
	})
}
