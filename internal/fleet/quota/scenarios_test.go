package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newFleet is three regions 150 ms apart with leases as an operator would set them, on links that lose nothing.
func newFleet(t *testing.T, disps int, quotas map[string]int, reserve int) *simulation {
	sim := newSimulation(setup{
		up:     LeaseConfig{Lease: 600 * time.Second, MaxRunTime: 20 * time.Second, Drift: 0.001},
		down:   LeaseConfig{Lease: 3 * time.Second, MaxRunTime: 20 * time.Second, Drift: 0.001},
		quotas: quotas, reserve: reserve, regions: 3, dispatchers: disps, seed: 1,
		nearDelay: time.Millisecond, farDelay: 150 * time.Millisecond, fixedDelay: true, firstRoot: true,
	})
	sim.advance(5 * time.Second)
	require.NoError(t, sim.oracle.err)
	return sim
}

// waitFor lets time pass waitFor a condition holds, and says how long that took.
func (sim *simulation) waitFor(t *testing.T, most time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	from := sim.now
	for !holds() {
		require.Less(t, sim.now-from, most, what)
		sim.advance(max(20*time.Millisecond, sim.setup.tick))
		require.NoError(t, sim.oracle.err)
	}
	return sim.now - from
}

// advanceChecked lets time advanceChecked.
func (sim *simulation) advanceChecked(t *testing.T, d time.Duration) {
	t.Helper()
	sim.advance(d)
	require.NoError(t, sim.oracle.err)
}

func (sim *simulation) submitMany(i, reqs int, account string, urgent bool) {
	for range reqs {
		sim.submit(sim.dispatchers[i], account, urgent, 0)
	}
}

// running of dispatchers.
func (n *dispatcherNode) running(account string) int { return n.limiter.used(account) }

// TestRegionCutOffFiveMinutes: it lives on what it holds; a quota lowered meanwhile holds for the whole at once, since
// what the region may run is counted; and when it is back it goes by the new quota.
func TestRegionCutOffFiveMinutes(t *testing.T) {
	for _, quota := range []int{12, 60} {
		t.Run(fmt.Sprint("to ", quota), func(t *testing.T) {
			sim := newFleet(t, 6, map[string]int{"a": 30}, 0)
			sim.saturated = true
			sim.waitFor(t, 2*time.Second, "all units run", func() bool { return sim.oracle.running["a"] == 30 })
			cut := sim.regions[0]
			cut.cut = true
			sim.advanceChecked(t, time.Minute)
			sim.setQuota("a", quota)
			sim.advanceChecked(t, time.Minute)
			begun := sim.oracle.started["r0"]
			meanwhile := min(quota, 10+2*quota/3) // it is counted at what it holds, and its part is kept for it
			sim.waitFor(t, 25*time.Second, "the quota decided meanwhile", func() bool { return sim.oracle.running["a"] == meanwhile })
			sim.advanceChecked(t, 2*time.Minute)
			assert.Greater(t, sim.oracle.started["r0"], begun, "a region that is cut off goes on")
			held := sim.dispatchers[0].running("a") + sim.dispatchers[3].running("a")
			assert.Equal(t, 10, held, "it goes on by what it held")
			assert.Equal(t, meanwhile, sim.oracle.running["a"])
			sim.advanceChecked(t, time.Minute-25*time.Second)
			cut.cut = false
			took := sim.waitFor(t, 40*time.Second, "the region's part of the new quota", func() bool {
				return sim.oracle.running["a"] == quota && sim.dispatchers[0].running("a")+sim.dispatchers[3].running("a") == quota/3
			})
			t.Logf("the region has its part of the new quota %v after it is back", took)
		})
	}
}

// TestRegionsCutFromEachOther: regions never speak to each other, so that two that are cut from each other share all the
// same while both reach the root.
func TestRegionsCutFromEachOther(t *testing.T) {
	sim := newFleet(t, 6, map[string]int{"a": 30}, 0)
	sim.submitMany(0, 60, "a", false)
	sim.waitFor(t, 5*time.Second, "all to one", func() bool { return sim.dispatchers[0].running("a") == 30 })
	sim.submitMany(1, 60, "a", false)
	took := sim.waitFor(t, 25*time.Second, "half to the other", func() bool { return sim.dispatchers[1].running("a") == 15 })
	t.Logf("half of 30 units that ran for 20 s went from region to region in %v", took)
	for link := range sim.messages {
		assert.NotEqual(t, "rr", link, "a message from region to region")
	}
	assert.Equal(t, 30, sim.oracle.running["a"])
}

// TestQuotaLoweredBelowRunning: nothing that runs is stopped, and nothing begins until there is room.
func TestQuotaLoweredBelowRunning(t *testing.T) {
	sim := newFleet(t, 9, map[string]int{"a": 30}, 0)
	sim.saturated = true
	sim.waitFor(t, 2*time.Second, "all units run", func() bool { return sim.oracle.running["a"] == 30 })
	sim.advanceChecked(t, 5*time.Second)
	sim.setQuota("a", 10)
	begun := sim.oracle.started["a"]
	sim.advanceChecked(t, time.Second)
	for sim.oracle.running["a"] >= 10 {
		require.Equal(t, begun, sim.oracle.started["a"], "%d run", sim.oracle.running["a"])
		sim.advanceChecked(t, 20*time.Millisecond)
	}
	sim.waitFor(t, 2*time.Second, "the new quota", func() bool { return sim.oracle.running["a"] == 10 })
}

// TestWholeQuotaMovesBetweenDispatchers: a team whose reqs all come to one dispatcher has its whole quota there, and then at
// another in another region.
func TestWholeQuotaMovesBetweenDispatchers(t *testing.T) {
	sim := newFleet(t, 300, map[string]int{"a": 30, "b": 30}, 0)
	sim.submitMany(0, 30, "a", false)
	first := sim.waitFor(t, 5*time.Second, "all at the first", func() bool { return sim.dispatchers[0].running("a") == 30 })
	sim.waitFor(t, 25*time.Second, "they end", func() bool { return sim.oracle.running["a"] == 0 })
	sim.submitMany(200, 30, "a", false)
	second := sim.waitFor(t, 5*time.Second, "all at the other", func() bool { return sim.dispatchers[200].running("a") == 30 })
	t.Logf("all 30 run at one dispatcher in %v, then at another in another region in %v", first, second)
}

// TestLenderReplacedDuringRecall: a region's lender is replaced while the root calls units back from it.
func TestLenderReplacedDuringRecall(t *testing.T) {
	sim := newFleet(t, 6, map[string]int{"a": 30}, 2)
	sim.submitMany(0, 200, "a", false)
	sim.waitFor(t, 5*time.Second, "all to one", func() bool { return sim.dispatchers[0].running("a") == 30 })
	sim.submitMany(1, 200, "a", false)
	sim.advanceChecked(t, 400*time.Millisecond) // the root has heard, and nudges
	sim.startRegionLender(0)
	lost := sim.waitFor(t, sim.recoveryBound(), "half to the other", func() bool { return sim.dispatchers[1].running("a") == 15 })
	sim.waitFor(t, sim.recoveryBound(), "all run", func() bool { return sim.oracle.running["a"] == 30 })
	t.Logf("half of 30 units that ran for 20 s went over in %v", lost)
}

// TestLeadersMachineRestarts: the leader and the lender of its region are one machine: both are replaced at once. The
// other regions go on; that region goes on by what its dispatchers report, and has its whole part within the named time.
func TestLeadersMachineRestarts(t *testing.T) {
	sim := newFleet(t, 9, map[string]int{"a": 30}, 2)
	sim.saturated = true
	sim.waitFor(t, 2*time.Second, "all units run", func() bool { return sim.oracle.running["a"] == 30 })
	sim.root = nil
	sim.regions[2].stalled = true
	sim.advanceChecked(t, 2*time.Second)
	sim.electRoot(false)
	sim.advanceChecked(t, 3*time.Second)
	sim.startRegionLender(2)
	begun := map[string]int{}
	for _, r := range sim.regions {
		begun[r.name] = sim.oracle.started[r.name]
	}
	sim.advanceChecked(t, sim.recoveryBound())
	assert.Equal(t, 30, sim.oracle.running["a"])
	for _, r := range sim.regions {
		assert.Greater(t, sim.oracle.started[r.name], begun[r.name], r.name)
	}
}

// TestStalledPastLease: a region's lender, and a dispatcher, are stopped past their leases and wake with grants in
// hand and messages waiting.
func TestStalledPastLease(t *testing.T) {
	sim := newFleet(t, 6, map[string]int{"a": 30}, 1)
	sim.saturated = true
	sim.advanceChecked(t, 10*time.Second)
	sim.toggleRegionStall(0)
	sim.toggleDispatcherStall(sim.dispatchers[1])
	sim.advanceChecked(t, 650*time.Second)
	assert.Equal(t, 30, sim.oracle.running["a"], "the units of the stopped are lent again")
	sim.toggleDispatcherStall(sim.dispatchers[1])
	sim.toggleRegionStall(0)
	sim.advanceChecked(t, sim.recoveryBound())
	assert.Equal(t, 30, sim.oracle.running["a"])
	assert.Positive(t, sim.dispatchers[0].running("a")+sim.dispatchers[3].running("a"))
}

// TestAllDispatchersRestart: 300 dispatchers crash within a minute while their reqs run on, then 190 restart in order one after
// another.
func TestAllDispatchersRestart(t *testing.T) {
	sim := newFleet(t, 300, map[string]int{"a": 90, "b": 6}, 5)
	sim.queueDepth, sim.saturated, sim.setup.tick = 2, true, 200*time.Millisecond
	sim.waitFor(t, 5*time.Second, "all units run", func() bool { return sim.oracle.running["a"] == 90 && sim.oracle.running["b"] == 6 })
	for i := range sim.dispatchers {
		sim.advanceChecked(t, 200*time.Millisecond)
		sim.startDispatcher(i)
	}
	sim.waitFor(t, sim.recoveryBound(), "all units run", func() bool { return sim.oracle.running["a"] == 90 && sim.oracle.running["b"] == 6 })
	sent, least := sim.sent, 90
	for i := range 190 {
		sim.restartInOrder(i)
		sim.advanceChecked(t, time.Second)
		least = min(least, sim.oracle.running["a"])
	}
	t.Logf("190 restarts in order: %d messages each, at least %d of 90 units ran", (sim.sent-sent)/190, least)
	sim.waitFor(t, sim.recoveryBound(), "all units run", func() bool { return sim.oracle.running["a"] == 90 && sim.oracle.running["b"] == 6 })
}

// urgentWithin is the operators' bound on the start of an urgent req.
const urgentWithin = 2300 * time.Millisecond

// TestUrgentStartTime: an urgent req starts in time while all units of its team run elsewhere: by the reserve of its region,
// and, once that is used up, by units that are called back from where they are held and not used.
func TestUrgentStartTime(t *testing.T) {
	sim := newFleet(t, 300, map[string]int{"a": 30}, 2)
	sim.submitMany(0, 60, "a", false)
	sim.waitFor(t, 5*time.Second, "all to one region", func() bool { return sim.dispatchers[0].running("a") == 30 })
	for _, i := range []int{1, 4} { // dispatchers of another region, of which most hold no unit of the reserve
		clear(sim.messages)
		begun, from := sim.oracle.started["r1"], sim.now
		sim.submit(sim.dispatchers[i], "a", true, 0)
		for sim.oracle.started["r1"] == begun {
			require.Less(t, sim.now-from, urgentWithin)
			sim.advanceChecked(t, time.Millisecond)
		}
		t.Logf("dispatcher %d: %v; messages across regions: %d to the root, %d from it", i, sim.now-from, sim.messages["rR"], sim.messages["Rr"])
	}

	sim = newFleet(t, 300, map[string]int{"a": 30}, 0)
	sim.submitMany(0, 60, "a", false)
	sim.waitFor(t, 5*time.Second, "all to one region", func() bool { return sim.dispatchers[0].running("a") == 30 })
	for id := range sim.dispatchers[0].unanswered { // nobody waits there any more, and the units are let go of one by one
		sim.dispatchers[0].limiter.Release(id)
		delete(sim.dispatchers[0].unanswered, id)
	}
	sim.waitFor(t, 25*time.Second, "they end", func() bool { return sim.oracle.running["a"] == 0 })
	clear(sim.messages)
	sim.submitMany(298, 30, "a", true)
	took := sim.waitFor(t, urgentWithin, "all 30 urgent ones begin", func() bool { return sim.dispatchers[298].running("a") == 30 })
	t.Logf("30 units held by another region and not used: called back in %v, messages %v", took, sim.messages)
}

// TestScarceUnitsRotate: four units over thirty dispatchers that all want them go round, and are in use nearly all the time.
func TestScarceUnitsRotate(t *testing.T) {
	sim := newFleet(t, 30, map[string]int{"a": 4}, 0)
	sim.saturated = true
	sim.advanceChecked(t, 5*time.Second)
	had := map[string]bool{}
	sum, samples := 0, 0
	for range 10 * 60 * 5 {
		sim.advanceChecked(t, 200*time.Millisecond)
		sum, samples = sum+sim.oracle.running["a"], samples+1
		for _, n := range sim.dispatchers {
			had[n.name] = had[n.name] || n.running("a") > 0
		}
	}
	use := float64(sum) / float64(4*samples)
	t.Logf("%d of 30 dispatchers had a unit in ten minutes; %.3f in use", len(had), use)
	assert.GreaterOrEqual(t, use, 0.95)
	for _, n := range sim.dispatchers {
		assert.True(t, had[n.name], n.name)
	}
}

// TestIdleRegionAfterLeaderRestart: nothing runs when the leader's machine, which is its region's lender too, is replaced at
// once and unwarned. What the region held is nobody's until Run is over, but what the others hold and do not use goes to
// it as soon as they have reported.
func TestIdleRegionAfterLeaderRestart(t *testing.T) {
	sim := newFleet(t, 9, map[string]int{"a": 30}, 2)
	sim.root = nil
	sim.advanceChecked(t, 2*time.Second)
	sim.electRoot(false)
	sim.startRegionLender(2)
	sim.advanceChecked(t, time.Second)
	sim.submitMany(2, 20, "a", false)
	took := sim.waitFor(t, 4*time.Second, "twenty begin in that region", func() bool { return sim.dispatchers[2].running("a") == 20 })
	t.Logf("20 of 30 units run in the region %v after its lender's start", took+time.Second)
}
