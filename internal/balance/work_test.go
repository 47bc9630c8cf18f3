package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWorkIsIndependentOfFleetSize counts the workers that an event examines, instead of its time, in the largest fleet
// and with many held requests, and its allocations. Each bound is at most a few times sampleSize, far below the fleet.
func TestWorkIsIndependentOfFleetSize(t *testing.T) {
	for _, n := range []int{15, 200, 4000} {
		for _, cold := range []bool{false, true} {
			now := 1.7e12
			d, list := newCostDispatcher(t, n, cold, now)
			examined := func(do func()) int {
				before := d.examined
				do()
				return d.examined - before
			}
			highest, i, report := [2]int{}, 0, []float32{2}
			for range 2000 {
				for keyed := range 2 {
					key := uint64(keyed * (1 + i%997))
					highest[keyed] = max(highest[keyed], examined(func() { runRequest(d, now, i, key, report) }))
					now += 5
					i++
				}
			}
			assert.LessOrEqual(t, highest[0], sampleSize, "unkeyed, %d workers, cold: %v", n, cold)
			assert.LessOrEqual(t, highest[1], 2*sampleSize, "keyed, %d workers, cold: %v", n, cold)
			assert.Zero(t, testing.AllocsPerRun(100, func() { runRequest(d, now, i, uint64(i%3), report); i++ }))

			for k := range 20 {
				list[k%n].State = []State{Draining, Ready}[k%2]
				assert.LessOrEqual(t, examined(func() { d.Workers(now, ListDelta, list[k%n:k%n+1]) }), 1, "delta, %d workers", n)
			}
			for k := range list {
				list[k].Kind = 0
			}
			d.Workers(now, ListFull, list)
			for k := range 500 { // of a kind that no worker has
				d.Arrive(now, Request{ID: RequestID(1e6 + k), Class: 5, Key: uint64(k), Deadline: now + 9000, Slots: 1})
			}
			require.Len(t, d.held, 500)
			assert.Zero(t, examined(func() { d.serveHeld(now) }), "500 held requests that no worker can take, %d workers", n)
		}
	}
}

// TestWorkOfHeldRequests: 500 held requests that any worker could run, if the cold workers had budget left in this window,
// examine the workers once for all.
func TestWorkOfHeldRequests(t *testing.T) {
	now := 1.7e12
	d, list := newCostDispatcher(t, 200, false, now)
	for i := range list {
		list[i].Started = now - 100
	}
	d.Workers(now, ListFull, list)
	d.startColdWindow(now)
	clear(d.zoneColdBudget)
	for k := range 500 {
		d.Arrive(now, Request{ID: RequestID(k), Deadline: now + 9000, Slots: 1})
	}
	require.Len(t, d.held, 500)
	before := d.examined
	d.serveHeld(now)
	assert.LessOrEqual(t, d.examined-before, len(list))
	list[0].Started = 0
	d.Workers(now, ListDelta, list[:1])
	assert.Less(t, len(d.held), 500, "a warm worker came back")
	for i := range 50 { // each joins and leaves
		e := Worker{ID: WorkerID(1e9 + i), State: Draining, Weight: 1}
		d.Workers(now, ListDelta, []Worker{e})
		e.State = Gone
		d.Workers(now, ListDelta, []Worker{e})
	}
	assert.LessOrEqual(t, len(d.workers), len(list)+1, "entries are reused")
}

// TestRepeatWindowLeavesMargin: a repeat is decided on early enough that a process paused for 0.15 s still sends it within
// the window, and with a tenth of the window to spare where that is more.
func TestRepeatWindowLeavesMargin(t *testing.T) {
	assert.Equal(t, 6750.0, EffectiveRepeatWindow(7500))
	assert.Equal(t, 850.0, EffectiveRepeatWindow(1000))
	assert.Equal(t, 0.0, EffectiveRepeatWindow(MaxProcessPause))
	assert.Negative(t, EffectiveRepeatWindow(100), "never")
}
