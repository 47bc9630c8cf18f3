package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newFleet creates three regions with one-way delays of 150 ms and leases as an operator would set them. No message is lost.
func newFleet(t *testing.T, dispatchers int, quotas map[string]int, reserve int) *simulation {
	sim := newSimulation(setup{
		up:     LeaseConfig{Lease: 600 * time.Second, MaxRunTime: 20 * time.Second, Drift: 0.001},
		down:   LeaseConfig{Lease: 3 * time.Second, MaxRunTime: 20 * time.Second, Drift: 0.001},
		quotas: quotas, reserve: reserve, regions: 3, dispatchers: dispatchers, seed: 1,
		nearDelay: time.Millisecond, farDelay: 150 * time.Millisecond, fixedDelay: true, firstRoot: true,
	})
	sim.advance(5 * time.Second)
	require.NoError(t, sim.oracle.err)
	return sim
}

// waitFor advances the simulation until a condition holds, and returns how long that took.
func (sim *simulation) waitFor(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	start := sim.now
	for !holds() {
		require.Less(t, sim.now-start, limit, what)
		sim.advance(max(20*time.Millisecond, sim.setup.tick))
		require.NoError(t, sim.oracle.err)
	}
	return sim.now - start
}

// advanceChecked advances the simulation and fails the test if the oracle found a violation.
func (sim *simulation) advanceChecked(t *testing.T, d time.Duration) {
	t.Helper()
	sim.advance(d)
	require.NoError(t, sim.oracle.err)
}

// submitMany lets several requests arrive at dispatcher i.
func (sim *simulation) submitMany(i, reqs int, account string, urgent bool) {
	for range reqs {
		sim.submit(sim.dispatchers[i], account, urgent, 0)
	}
}

// running returns a dispatcher's requests in flight by units of an account.
func (n *dispatcherNode) running(account string) int { return n.limiter.used(account) }

// TestRegionCutOffFiveMinutes: a region that is cut off continues with the units it holds. A quota that is lowered meanwhile
// takes effect in the whole fleet, because the units that the region may use are counted. After reconnecting the region
// uses its share of the new quota.
func TestRegionCutOffFiveMinutes(t *testing.T) {
	for _, quota := range []int{12, 60} {
		t.Run(fmt.Sprint("to ", quota), func(t *testing.T) {
			sim := newFleet(t, 6, map[string]int{"a": 30}, 0)
			sim.saturated = true
			sim.waitFor(t, 2*time.Second, "all units in use", func() bool { return sim.oracle.running["a"] == 30 })
			cut := sim.regions[0]
			cut.cut = true
			sim.advanceChecked(t, time.Minute)
			sim.setQuota("a", quota)
			sim.advanceChecked(t, time.Minute)
			startedBefore := sim.oracle.started["r0"]
			meanwhile := min(quota, 10+2*quota/3) // its 10 units are counted, and its share is reserved for it
			sim.waitFor(t, 25*time.Second, "quota decided meanwhile", func() bool { return sim.oracle.running["a"] == meanwhile })
			sim.advanceChecked(t, 2*time.Minute)
			assert.Greater(t, sim.oracle.started["r0"], startedBefore, "a region that is cut off continues")
			held := sim.dispatchers[0].running("a") + sim.dispatchers[3].running("a")
			assert.Equal(t, 10, held, "it continues with the units it held")
			assert.Equal(t, meanwhile, sim.oracle.running["a"])
			sim.advanceChecked(t, time.Minute-25*time.Second)
			cut.cut = false
			took := sim.waitFor(t, 40*time.Second, "the region has its share of the new quota", func() bool {
				return sim.oracle.running["a"] == quota && sim.dispatchers[0].running("a")+sim.dispatchers[3].running("a") == quota/3
			})
			t.Logf("the region has its share of the new quota %v after reconnecting", took)
		})
	}
}

// TestRegionsCutFromEachOther: two regions that are cut off from each other still share a quota while both reach the root,
// because regions never exchange messages.
func TestRegionsCutFromEachOther(t *testing.T) {
	sim := newFleet(t, 6, map[string]int{"a": 30}, 0)
	sim.submitMany(0, 60, "a", false)
	sim.waitFor(t, 5*time.Second, "all units in one region", func() bool { return sim.dispatchers[0].running("a") == 30 })
	sim.submitMany(1, 60, "a", false)
	took := sim.waitFor(t, 25*time.Second, "half of the units in the other region", func() bool { return sim.dispatchers[1].running("a") == 15 })
	t.Logf("half of 30 units, each in use for 20 s, moved to another region in %v", took)
	for link := range sim.messages {
		assert.NotEqual(t, "rr", link, "a message from region to region")
	}
	assert.Equal(t, 30, sim.oracle.running["a"])
}

// TestQuotaLoweredBelowRunning: if a quota is lowered below the units in use, running requests continue, and none starts
// until there are fewer than the new quota.
func TestQuotaLoweredBelowRunning(t *testing.T) {
	sim := newFleet(t, 9, map[string]int{"a": 30}, 0)
	sim.saturated = true
	sim.waitFor(t, 2*time.Second, "all units in use", func() bool { return sim.oracle.running["a"] == 30 })
	sim.advanceChecked(t, 5*time.Second)
	sim.setQuota("a", 10)
	startedBefore := sim.oracle.started["a"]
	sim.advanceChecked(t, time.Second)
	for sim.oracle.running["a"] >= 10 {
		require.Equal(t, startedBefore, sim.oracle.started["a"], "%d run", sim.oracle.running["a"])
		sim.advanceChecked(t, 20*time.Millisecond)
	}
	sim.waitFor(t, 2*time.Second, "new quota in use", func() bool { return sim.oracle.running["a"] == 10 })
}

// TestWholeQuotaMovesBetweenDispatchers: a team whose requests all arrive at one dispatcher gets its whole quota there, and
// later at another dispatcher in another region.
func TestWholeQuotaMovesBetweenDispatchers(t *testing.T) {
	sim := newFleet(t, 300, map[string]int{"a": 30, "b": 30}, 0)
	sim.submitMany(0, 30, "a", false)
	first := sim.waitFor(t, 5*time.Second, "all units at the first dispatcher", func() bool { return sim.dispatchers[0].running("a") == 30 })
	sim.waitFor(t, 25*time.Second, "all requests ended", func() bool { return sim.oracle.running["a"] == 0 })
	sim.submitMany(200, 30, "a", false)
	second := sim.waitFor(t, 5*time.Second, "all units at the other dispatcher", func() bool { return sim.dispatchers[200].running("a") == 30 })
	t.Logf("all 30 units at one dispatcher in %v, then at one in another region in %v", first, second)
}

// TestLenderReplacedDuringRecall: a region's lender is replaced while the root recalls units from it.
func TestLenderReplacedDuringRecall(t *testing.T) {
	sim := newFleet(t, 6, map[string]int{"a": 30}, 2)
	sim.submitMany(0, 200, "a", false)
	sim.waitFor(t, 5*time.Second, "all units in one region", func() bool { return sim.dispatchers[0].running("a") == 30 })
	sim.submitMany(1, 200, "a", false)
	sim.advanceChecked(t, 400*time.Millisecond) // the root knows of the demand and polls the first region
	sim.startRegionLender(0)
	took := sim.waitFor(t, sim.recoveryBound(), "half of the units in the other region", func() bool { return sim.dispatchers[1].running("a") == 15 })
	sim.waitFor(t, sim.recoveryBound(), "all units in use", func() bool { return sim.oracle.running["a"] == 30 })
	t.Logf("half of 30 units, each in use for 20 s, moved in %v", took)
}

// TestLeadersMachineRestarts: the leader runs on the same machine as its region's lender, and both are replaced at once. The
// other regions continue. This region continues with the units that its dispatchers report, and has its whole share within
// recoveryBound.
func TestLeadersMachineRestarts(t *testing.T) {
	sim := newFleet(t, 9, map[string]int{"a": 30}, 2)
	sim.saturated = true
	sim.waitFor(t, 2*time.Second, "all units in use", func() bool { return sim.oracle.running["a"] == 30 })
	sim.root = nil
	sim.regions[2].stalled = true
	sim.advanceChecked(t, 2*time.Second)
	sim.electRoot(false)
	sim.advanceChecked(t, 3*time.Second)
	sim.startRegionLender(2)
	startedBefore := map[string]int{}
	for _, r := range sim.regions {
		startedBefore[r.name] = sim.oracle.started[r.name]
	}
	sim.advanceChecked(t, sim.recoveryBound())
	assert.Equal(t, 30, sim.oracle.running["a"])
	for _, r := range sim.regions {
		assert.Greater(t, sim.oracle.started[r.name], startedBefore[r.name], r.name)
	}
}

// TestStalledPastLease: a region's lender and a dispatcher are stalled beyond the end of their leases. When they continue
// they still hold grants and have pending messages.
func TestStalledPastLease(t *testing.T) {
	sim := newFleet(t, 6, map[string]int{"a": 30}, 1)
	sim.saturated = true
	sim.advanceChecked(t, 10*time.Second)
	sim.toggleRegionStall(0)
	sim.toggleDispatcherStall(sim.dispatchers[1])
	sim.advanceChecked(t, 650*time.Second)
	assert.Equal(t, 30, sim.oracle.running["a"], "units of stalled nodes are lent again")
	sim.toggleDispatcherStall(sim.dispatchers[1])
	sim.toggleRegionStall(0)
	sim.advanceChecked(t, sim.recoveryBound())
	assert.Equal(t, 30, sim.oracle.running["a"])
	assert.Positive(t, sim.dispatchers[0].running("a")+sim.dispatchers[3].running("a"))
}

// TestAllDispatchersRestart: 300 dispatchers crash within a minute while their requests continue at the backends. Then 190
// restart in an orderly way, one after another.
func TestAllDispatchersRestart(t *testing.T) {
	sim := newFleet(t, 300, map[string]int{"a": 90, "b": 6}, 5)
	sim.queueDepth, sim.saturated, sim.setup.tick = 2, true, 200*time.Millisecond
	sim.waitFor(t, 5*time.Second, "all units in use", func() bool { return sim.oracle.running["a"] == 90 && sim.oracle.running["b"] == 6 })
	for i := range sim.dispatchers {
		sim.advanceChecked(t, 200*time.Millisecond)
		sim.startDispatcher(i)
	}
	sim.waitFor(t, sim.recoveryBound(), "all units in use", func() bool { return sim.oracle.running["a"] == 90 && sim.oracle.running["b"] == 6 })
	sent, lowest := sim.sent, 90
	for i := range 190 {
		sim.restartInOrder(i)
		sim.advanceChecked(t, time.Second)
		lowest = min(lowest, sim.oracle.running["a"])
	}
	t.Logf("190 orderly restarts: %d messages each, at least %d of 90 units in use", (sim.sent-sent)/190, lowest)
	sim.waitFor(t, sim.recoveryBound(), "all units in use", func() bool { return sim.oracle.running["a"] == 90 && sim.oracle.running["b"] == 6 })
}

// urgentWithin is the operators' limit on the time until an urgent request starts.
const urgentWithin = 2300 * time.Millisecond

// TestUrgentStartTime: an urgent request starts in time while all units of its team are in use in another region. It uses the
// reserve of its region; without a reserve, units are recalled from where they are held and not in use.
func TestUrgentStartTime(t *testing.T) {
	sim := newFleet(t, 300, map[string]int{"a": 30}, 2)
	sim.submitMany(0, 60, "a", false)
	sim.waitFor(t, 5*time.Second, "all units in one region", func() bool { return sim.dispatchers[0].running("a") == 30 })
	for _, i := range []int{1, 4} { // dispatchers of another region, in which most hold no unit of the reserve
		clear(sim.messages)
		startedBefore, since := sim.oracle.started["r1"], sim.now
		sim.submit(sim.dispatchers[i], "a", true, 0)
		for sim.oracle.started["r1"] == startedBefore {
			require.Less(t, sim.now-since, urgentWithin)
			sim.advanceChecked(t, time.Millisecond)
		}
		t.Logf("dispatcher %d: %v; messages across regions: %d to the root, %d from it", i, sim.now-since, sim.messages["rR"], sim.messages["Rr"])
	}

	sim = newFleet(t, 300, map[string]int{"a": 30}, 0)
	sim.submitMany(0, 60, "a", false)
	sim.waitFor(t, 5*time.Second, "all units in one region", func() bool { return sim.dispatchers[0].running("a") == 30 })
	for id := range sim.dispatchers[0].unanswered { // no request waits there any more, so the units become free one by one
		sim.dispatchers[0].limiter.Release(id)
		delete(sim.dispatchers[0].unanswered, id)
	}
	sim.waitFor(t, 25*time.Second, "all requests ended", func() bool { return sim.oracle.running["a"] == 0 })
	clear(sim.messages)
	sim.submitMany(298, 30, "a", true)
	took := sim.waitFor(t, urgentWithin, "all 30 urgent requests started", func() bool { return sim.dispatchers[298].running("a") == 30 })
	t.Logf("30 units held by another region and not in use: recalled in %v, messages %v", took, sim.messages)
}

// TestScarceUnitsRotate: four units rotate over thirty dispatchers that all have demand, and are in use nearly all the time.
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
	t.Logf("%d of 30 dispatchers had a unit within ten minutes; %.3f of the units in use", len(had), use)
	assert.GreaterOrEqual(t, use, 0.95)
	for _, n := range sim.dispatchers {
		assert.True(t, had[n.name], n.name)
	}
}

// TestIdleRegionAfterLeaderRestart: nothing runs when the leader's machine, which also runs its region's lender, is replaced
// without warning. Units that the region held cannot be lent until MaxRunTime has passed. Units that other regions hold and
// do not use go to it as soon as those regions have reported.
func TestIdleRegionAfterLeaderRestart(t *testing.T) {
	sim := newFleet(t, 9, map[string]int{"a": 30}, 2)
	sim.root = nil
	sim.advanceChecked(t, 2*time.Second)
	sim.electRoot(false)
	sim.startRegionLender(2)
	sim.advanceChecked(t, time.Second)
	sim.submitMany(2, 20, "a", false)
	took := sim.waitFor(t, 4*time.Second, "twenty requests run in that region", func() bool { return sim.dispatchers[2].running("a") == 20 })
	t.Logf("20 of 30 units in use in the region %v after its lender's start", took+time.Second)
}
