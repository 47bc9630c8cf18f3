package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleet is three regions 150 ms apart with leases as an operator would set them, on links that lose nothing.
func fleet(t *testing.T, disps int, quotas map[string]int, reserve int) *world {
	w := newWorld(setup{
		up:     LeaseConfig{Lease: 600 * time.Second, MaxRunTime: 20 * time.Second, Drift: 0.001},
		down:   LeaseConfig{Lease: 3 * time.Second, MaxRunTime: 20 * time.Second, Drift: 0.001},
		quotas: quotas, reserve: reserve, regions: 3, disps: disps, seed: 1,
		near: time.Millisecond, far: 150 * time.Millisecond, steady: true, first: true,
	})
	w.advance(5 * time.Second)
	require.NoError(t, w.truth.bad)
	return w
}

// until lets time pass until a condition holds, and says how long that took.
func (w *world) until(t *testing.T, most time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	from := w.now
	for !holds() {
		require.Less(t, w.now-from, most, what)
		w.advance(max(20*time.Millisecond, w.setup.tick))
		require.NoError(t, w.truth.bad)
	}
	return w.now - from
}

// pass lets time pass.
func (w *world) pass(t *testing.T, d time.Duration) {
	t.Helper()
	w.advance(d)
	require.NoError(t, w.truth.bad)
}

func (w *world) flood(i, reqs int, account string, urgent bool) {
	for range reqs {
		w.take(w.disps[i], account, urgent, 0)
	}
}

// runs of dispatchers.
func (n *dispNode) runs(account string) int { return n.d.used(account) }

// TestRegionCutOffFiveMinutes: it lives on what it holds; a quota lowered meanwhile holds for the whole at once, since
// what the region may run is counted; and when it is back it goes by the new quota.
func TestRegionCutOffFiveMinutes(t *testing.T) {
	for _, quota := range []int{12, 60} {
		t.Run(fmt.Sprint("to ", quota), func(t *testing.T) {
			w := fleet(t, 6, map[string]int{"a": 30}, 0)
			w.crowded = true
			w.until(t, 2*time.Second, "all units run", func() bool { return w.truth.running["a"] == 30 })
			cut := w.regions[0]
			cut.cut = true
			w.pass(t, time.Minute)
			w.requota("a", quota)
			w.pass(t, time.Minute)
			begun := w.truth.begun["r0"]
			meanwhile := min(quota, 10+2*quota/3) // it is counted at what it holds, and its part is kept for it
			w.until(t, 25*time.Second, "the quota decided meanwhile", func() bool { return w.truth.running["a"] == meanwhile })
			w.pass(t, 2*time.Minute)
			assert.Greater(t, w.truth.begun["r0"], begun, "a region that is cut off goes on")
			held := w.disps[0].runs("a") + w.disps[3].runs("a")
			assert.Equal(t, 10, held, "it goes on by what it held")
			assert.Equal(t, meanwhile, w.truth.running["a"])
			w.pass(t, time.Minute-25*time.Second)
			cut.cut = false
			took := w.until(t, 40*time.Second, "the region's part of the new quota", func() bool {
				return w.truth.running["a"] == quota && w.disps[0].runs("a")+w.disps[3].runs("a") == quota/3
			})
			t.Logf("the region has its part of the new quota %v after it is back", took)
		})
	}
}

// TestRegionsCutFromEachOther: regions never speak to each other, so that two that are cut from each other share all the
// same while both reach the root.
func TestRegionsCutFromEachOther(t *testing.T) {
	w := fleet(t, 6, map[string]int{"a": 30}, 0)
	w.flood(0, 60, "a", false)
	w.until(t, 5*time.Second, "all to one", func() bool { return w.disps[0].runs("a") == 30 })
	w.flood(1, 60, "a", false)
	took := w.until(t, 25*time.Second, "half to the other", func() bool { return w.disps[1].runs("a") == 15 })
	t.Logf("half of 30 units that ran for 20 s went from region to region in %v", took)
	for link := range w.trips {
		assert.NotEqual(t, "rr", link, "a message from region to region")
	}
	assert.Equal(t, 30, w.truth.running["a"])
}

// TestQuotaLoweredUnderWhatRuns: nothing that runs is stopped, and nothing begins until there is room.
func TestQuotaLoweredUnderWhatRuns(t *testing.T) {
	w := fleet(t, 9, map[string]int{"a": 30}, 0)
	w.crowded = true
	w.until(t, 2*time.Second, "all units run", func() bool { return w.truth.running["a"] == 30 })
	w.pass(t, 5*time.Second)
	w.requota("a", 10)
	begun := w.truth.begun["a"]
	w.pass(t, time.Second)
	for w.truth.running["a"] >= 10 {
		require.Equal(t, begun, w.truth.begun["a"], "%d run", w.truth.running["a"])
		w.pass(t, 20*time.Millisecond)
	}
	w.until(t, 2*time.Second, "the new quota", func() bool { return w.truth.running["a"] == 10 })
}

// TestOneDispatcherThenAnother: a team whose reqs all come to one dispatcher has its whole quota there, and then at
// another in another region.
func TestOneDispatcherThenAnother(t *testing.T) {
	w := fleet(t, 300, map[string]int{"a": 30, "b": 30}, 0)
	w.flood(0, 30, "a", false)
	first := w.until(t, 5*time.Second, "all at the first", func() bool { return w.disps[0].runs("a") == 30 })
	w.until(t, 25*time.Second, "they end", func() bool { return w.truth.running["a"] == 0 })
	w.flood(200, 30, "a", false)
	second := w.until(t, 5*time.Second, "all at the other", func() bool { return w.disps[200].runs("a") == 30 })
	t.Logf("all 30 run at one dispatcher in %v, then at another in another region in %v", first, second)
}

// TestLenderReplacedDuringCallBack: a region's lender is replaced while the root calls units back from it.
func TestLenderReplacedDuringCallBack(t *testing.T) {
	w := fleet(t, 6, map[string]int{"a": 30}, 2)
	w.flood(0, 200, "a", false)
	w.until(t, 5*time.Second, "all to one", func() bool { return w.disps[0].runs("a") == 30 })
	w.flood(1, 200, "a", false)
	w.pass(t, 400*time.Millisecond) // the root has heard, and nudges
	w.newRegion(0)
	lost := w.until(t, w.named(), "half to the other", func() bool { return w.disps[1].runs("a") == 15 })
	w.until(t, w.named(), "all run", func() bool { return w.truth.running["a"] == 30 })
	t.Logf("half of 30 units that ran for 20 s went over in %v", lost)
}

// TestLeadersMachineRestarts: the leader and the lender of its region are one machine: both are replaced at once. The
// other regions go on; that region goes on by what its dispatchers report, and has its whole part within the named time.
func TestLeadersMachineRestarts(t *testing.T) {
	w := fleet(t, 9, map[string]int{"a": 30}, 2)
	w.crowded = true
	w.until(t, 2*time.Second, "all units run", func() bool { return w.truth.running["a"] == 30 })
	w.root = nil
	w.regions[2].stalled = true
	w.pass(t, 2*time.Second)
	w.elect(false)
	w.pass(t, 3*time.Second)
	w.newRegion(2)
	begun := map[string]int{}
	for _, r := range w.regions {
		begun[r.name] = w.truth.begun[r.name]
	}
	w.pass(t, w.named())
	assert.Equal(t, 30, w.truth.running["a"])
	for _, r := range w.regions {
		assert.Greater(t, w.truth.begun[r.name], begun[r.name], r.name)
	}
}

// TestStalledPastItsLease: a region's lender, and a dispatcher, are stopped past their leases and wake with grants in
// hand and messages waiting.
func TestStalledPastItsLease(t *testing.T) {
	w := fleet(t, 6, map[string]int{"a": 30}, 1)
	w.crowded = true
	w.pass(t, 10*time.Second)
	w.stallRegion(0)
	w.stallDisp(w.disps[1])
	w.pass(t, 650*time.Second)
	assert.Equal(t, 30, w.truth.running["a"], "the units of the stopped are lent again")
	w.stallDisp(w.disps[1])
	w.stallRegion(0)
	w.pass(t, w.named())
	assert.Equal(t, 30, w.truth.running["a"])
	assert.Positive(t, w.disps[0].runs("a")+w.disps[3].runs("a"))
}

// TestAllRestart: 300 dispatchers crash within a minute while their reqs run on, then 190 restart in order one after
// another.
func TestAllRestart(t *testing.T) {
	w := fleet(t, 300, map[string]int{"a": 90, "b": 6}, 5)
	w.deep, w.crowded, w.setup.tick = 2, true, 200*time.Millisecond
	w.until(t, 5*time.Second, "all units run", func() bool { return w.truth.running["a"] == 90 && w.truth.running["b"] == 6 })
	for i := range w.disps {
		w.pass(t, 200*time.Millisecond)
		w.newDisp(i)
	}
	w.until(t, w.named(), "all units run", func() bool { return w.truth.running["a"] == 90 && w.truth.running["b"] == 6 })
	sent, least := w.sent, 90
	for i := range 190 {
		w.restart(i)
		w.pass(t, time.Second)
		least = min(least, w.truth.running["a"])
	}
	t.Logf("190 restarts in order: %d messages each, at least %d of 90 units ran", (w.sent-sent)/190, least)
	w.until(t, w.named(), "all units run", func() bool { return w.truth.running["a"] == 90 && w.truth.running["b"] == 6 })
}

// urgentWithin is the operators' bound on the start of an urgent req.
const urgentWithin = 2300 * time.Millisecond

// TestUrgentStart: an urgent req starts in time while all units of its team run elsewhere: by the reserve of its region,
// and, once that is used up, by units that are called back from where they are held and not used.
func TestUrgentStart(t *testing.T) {
	w := fleet(t, 300, map[string]int{"a": 30}, 2)
	w.flood(0, 60, "a", false)
	w.until(t, 5*time.Second, "all to one region", func() bool { return w.disps[0].runs("a") == 30 })
	for _, i := range []int{1, 4} { // dispatchers of another region, of which most hold no unit of the reserve
		clear(w.trips)
		begun, from := w.truth.begun["r1"], w.now
		w.take(w.disps[i], "a", true, 0)
		for w.truth.begun["r1"] == begun {
			require.Less(t, w.now-from, urgentWithin)
			w.pass(t, time.Millisecond)
		}
		t.Logf("dispatcher %d: %v; messages across regions: %d to the root, %d from it", i, w.now-from, w.trips["rR"], w.trips["Rr"])
	}

	w = fleet(t, 300, map[string]int{"a": 30}, 0)
	w.flood(0, 60, "a", false)
	w.until(t, 5*time.Second, "all to one region", func() bool { return w.disps[0].runs("a") == 30 })
	for id := range w.disps[0].waits { // nobody waits there any more, and the units are let go of one by one
		w.disps[0].d.Release(id)
		delete(w.disps[0].waits, id)
	}
	w.until(t, 25*time.Second, "they end", func() bool { return w.truth.running["a"] == 0 })
	clear(w.trips)
	w.flood(298, 30, "a", true)
	took := w.until(t, urgentWithin, "all 30 urgent ones begin", func() bool { return w.disps[298].runs("a") == 30 })
	t.Logf("30 units held by another region and not used: called back in %v, messages %v", took, w.trips)
}

// TestGoingRound: four units over thirty dispatchers that all want them go round, and are in use nearly all the time.
func TestGoingRound(t *testing.T) {
	w := fleet(t, 30, map[string]int{"a": 4}, 0)
	w.crowded = true
	w.pass(t, 5*time.Second)
	had := map[string]bool{}
	sum, samples := 0, 0
	for range 10 * 60 * 5 {
		w.pass(t, 200*time.Millisecond)
		sum, samples = sum+w.truth.running["a"], samples+1
		for _, n := range w.disps {
			had[n.name] = had[n.name] || n.runs("a") > 0
		}
	}
	use := float64(sum) / float64(4*samples)
	t.Logf("%d of 30 dispatchers had a unit in ten minutes; %.3f in use", len(had), use)
	assert.GreaterOrEqual(t, use, 0.95)
	for _, n := range w.disps {
		assert.True(t, had[n.name], n.name)
	}
}

// TestIdleWhenLeaderRestarts: nothing runs when the leader's machine, which is its region's lender too, is replaced at
// once and unwarned. What the region held is nobody's until Run is over, but what the others hold and do not use goes to
// it as soon as they have reported.
func TestIdleWhenLeaderRestarts(t *testing.T) {
	w := fleet(t, 9, map[string]int{"a": 30}, 2)
	w.root = nil
	w.pass(t, 2*time.Second)
	w.elect(false)
	w.newRegion(2)
	w.pass(t, time.Second)
	w.flood(2, 20, "a", false)
	took := w.until(t, 4*time.Second, "twenty begin in that region", func() bool { return w.disps[2].runs("a") == 20 })
	t.Logf("20 of 30 units run in the region %v after its lender's start", took+time.Second)
}
