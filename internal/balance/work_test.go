package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWorkDoesNotGrow counts, instead of time, the looks at backends that an event takes in the largest fleet and with
// many held, and what it allocates. Each bound is a few times sample at most, far below the fleet.
func TestWorkDoesNotGrow(t *testing.T) {
	for _, n := range []int{15, 200, 4000} {
		for _, cold := range []bool{false, true} {
			now := 1.7e12
			d, list := costly(t, n, cold, now)
			looks := func(do func()) int {
				before := d.looks
				do()
				return d.looks - before
			}
			most, i, report := [2]int{}, 0, []float32{2}
			for range 2000 {
				for keyed := range 2 {
					key := uint64(keyed * (1 + i%997))
					most[keyed] = max(most[keyed], looks(func() { round(d, now, i, key, report) }))
					now += 5
					i++
				}
			}
			assert.LessOrEqual(t, most[0], sample, "unkeyed, %d backends, cold: %v", n, cold)
			assert.LessOrEqual(t, most[1], 2*sample, "keyed, %d backends, cold: %v", n, cold)
			assert.Zero(t, testing.AllocsPerRun(100, func() { round(d, now, i, uint64(i%3), report); i++ }))

			for k := range 20 {
				list[k%n].State = []State{Draining, Ready}[k%2]
				assert.LessOrEqual(t, looks(func() { d.Workers(now, ListDelta, list[k%n:k%n+1]) }), 1, "delta, %d backends", n)
			}
			for k := range list {
				list[k].Kind = 0
			}
			d.Workers(now, ListFull, list)
			for k := range 500 { // of a kind that is not there
				d.Arrive(now, Request{ID: RequestID(1e6 + k), Class: 5, Key: uint64(k), Deadline: now + 9000, Slots: 1})
			}
			require.Len(t, d.held, 500)
			assert.Zero(t, looks(func() { d.serveHeld(now) }), "500 held that none can take, %d backends", n)
		}
	}
}

// TestWorkOfHeld: 500 held that all could take, had the cold not had what they may be sent, look once for all.
func TestWorkOfHeld(t *testing.T) {
	now := 1.7e12
	d, list := costly(t, 200, false, now)
	for i := range list {
		list[i].Started = now - 100
	}
	d.Workers(now, ListFull, list)
	d.newWindow(now)
	clear(d.cold)
	for k := range 500 {
		d.Arrive(now, Request{ID: RequestID(k), Deadline: now + 9000, Slots: 1})
	}
	require.Len(t, d.held, 500)
	before := d.looks
	d.serveHeld(now)
	assert.LessOrEqual(t, d.looks-before, len(list))
	list[0].Started = 0
	d.Workers(now, ListDelta, list[:1])
	assert.Less(t, len(d.held), 500, "a warm backend came back")
	for i := range 50 { // each comes and goes
		e := Worker{ID: WorkerID(1e9 + i), State: Draining, Weight: 1}
		d.Workers(now, ListDelta, []Worker{e})
		e.State = Gone
		d.Workers(now, ListDelta, []Worker{e})
	}
	assert.LessOrEqual(t, len(d.workers), len(list)+1, "places are used again")
}

// TestMarginOfAHoldUp: a repeat is decided on so early that a process held up for 0.15 s still sends it within the window, and
// with a tenth of it to spare where that is more.
func TestMarginOfAHoldUp(t *testing.T) {
	assert.Equal(t, 6750.0, EffectiveRepeatWindow(7500))
	assert.Equal(t, 850.0, EffectiveRepeatWindow(1000))
	assert.Equal(t, 0.0, EffectiveRepeatWindow(MaxProcessPause))
	assert.Negative(t, EffectiveRepeatWindow(100), "never")
}
