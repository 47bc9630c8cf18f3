package fleet

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testKind() Kind {
	return Kind{Cores: 2, Speed: 1, Slots: 2, QueueLimit: 2, ThrashThreshold: 10, ThrashSlowdown: 0.5, RepeatWindow: 500}
}

func formatEvents(events []Event) string {
	var out []string
	for _, e := range events {
		out = append(out, fmt.Sprintf("%d %s %.0f", e.Job, e.Kind, e.At))
	}
	return strings.Join(out, ", ")
}

func warmBackend(k Kind) *Backend {
	return New(k, NewDedupGroup(), math.Inf(-1), 0, RandomStream(1, "t"))
}

func mustAccept(t *testing.T, b *Backend, now float64, id uint64, work float64) string {
	v, e := b.Offer(now, Job{ID: id, Work: work, Slots: 1}, false)
	require.Equal(t, Accepted, v)
	return formatEvents(e)
}

// TestQueueOrderAndLimit checks that jobs run while slots are free, that further jobs wait in order, and that a
// job beyond the queue limit is rejected.
func TestQueueOrderAndLimit(t *testing.T) {
	b := warmBackend(testKind())
	assert.Equal(t, "1 started 0", mustAccept(t, b, 0, 1, 100))
	assert.Equal(t, "2 started 0", mustAccept(t, b, 0, 2, 50))
	mustAccept(t, b, 0, 3, 10)
	mustAccept(t, b, 0, 4, 10)
	v, _ := b.Offer(0, Job{ID: 5, Work: 1, Slots: 1}, false)
	assert.Equal(t, Full, v)
	assert.Equal(t, "2 done 50, 3 started 50, 3 done 60, 4 started 60, 4 done 70, 1 done 100", formatEvents(b.Advance(1000)))
	assert.Equal(t, math.Inf(1), b.NextEvent())
}

// TestFaults checks a slowdown, a second tenant, a freeze with its end, and jobs that fail early.
func TestFaults(t *testing.T) {
	b := warmBackend(testKind())
	mustAccept(t, b, 0, 1, 100)
	b.SetFaults(50, Faults{SlowFactor: 10})
	assert.Equal(t, 550.0, b.NextEvent())
	b.SetFaults(100, Faults{NeighbourShare: 0.5})
	assert.Equal(t, 190.0, b.NextEvent())
	b.SetFaults(110, Faults{Frozen: true})
	assert.Empty(t, b.Advance(5000))
	assert.Equal(t, "", formatEvents(b.SetFaults(5000, Faults{})))
	assert.Equal(t, "1 done 5040", formatEvents(b.Advance(6000)))
	b.SetFaults(6000, Faults{FailureRate: 1})
	mustAccept(t, b, 6000, 2, 100)
	assert.Equal(t, "2 failed 6002", formatEvents(b.Advance(7000)))
}

// TestColdStart checks that a cold machine has less capacity, that the capacity rises linearly, and that the
// machine crashes if too much work is sent to it.
func TestColdStart(t *testing.T) {
	k := testKind()
	k.ColdCapacity, k.WarmUpTime, k.FallMultiple, k.FallWindow = 0.5, 1000, 3, 2000
	b := New(k, NewDedupGroup(), 0, 0, RandomStream(1, "t"))
	mustAccept(t, b, 0, 1, 750) // the mean capacity during warm-up is 0.75
	assert.InDelta(t, 1000, b.NextEvent(), 1e-6)
	assert.Equal(t, "1 done 1000", formatEvents(b.Advance(1001)))

	k.QueueLimit = 1000
	b = New(k, NewDedupGroup(), 0, 0, RandomStream(1, "t"))
	for i := range 59 { // the limit is 3 x 0.5 x 2 cores x 2000 ms = 6000
		mustAccept(t, b, 0, uint64(i+1), 100)
	}
	assert.False(t, b.Down())
	mustAccept(t, b, 0, 60, 100)
	v, e := b.Offer(0, Job{ID: 61, Work: 100, Slots: 1}, false)
	assert.Equal(t, Refused, v)
	assert.True(t, b.Down())
	assert.Len(t, e, 60, "all its jobs are lost")
	b.Start(10)
	assert.Equal(t, 0.5, b.Capacity(10))
}

// TestRepeatHasNoEffect checks that a key whose job was completed within the deduplication group is not run again
// within the repeat window.
func TestRepeatHasNoEffect(t *testing.T) {
	dedup := NewDedupGroup()
	a, b := New(testKind(), dedup, math.Inf(-1), 0, RandomStream(1, "a")), New(testKind(), dedup, math.Inf(-1), 0, RandomStream(1, "b"))
	a.Offer(0, Job{ID: 1, Key: 7, Work: 100, Slots: 1}, false)
	a.Advance(100)
	b.Advance(200)
	_, e := b.Offer(200, Job{ID: 2, Key: 7, Work: 100, Slots: 1}, false)
	assert.Equal(t, "2 started 200", formatEvents(e))
	assert.Equal(t, "2 done 200", formatEvents(b.Advance(201)))
	b.Offer(700, Job{ID: 3, Key: 7, Work: 100, Slots: 1}, false)
	assert.Equal(t, "3 done 800", formatEvents(b.Advance(900)))
}

// TestDrainAndKill checks that a drain hands waiting jobs back and rejects new ones, and that a kill loses the
// running jobs and refuses new ones.
func TestDrainAndKill(t *testing.T) {
	b := warmBackend(testKind())
	for i := range 4 {
		mustAccept(t, b, 0, uint64(i+1), 100)
	}
	assert.Equal(t, "3 returned 10, 4 returned 10", formatEvents(b.Drain(10, true)))
	v, _ := b.Offer(10, Job{ID: 5, Work: 1, Slots: 1}, false)
	assert.Equal(t, Full, v)
	assert.Equal(t, "1 lost 20, 2 lost 20", formatEvents(b.Kill(20)))
	v, _ = b.Offer(21, Job{ID: 6, Work: 1, Slots: 1}, false)
	assert.Equal(t, Refused, v)
}

// TestWideJobBlocksQueue checks that all jobs behind a two-slot job at the head of the queue wait, even one that
// would fit, and that the queue limit still holds.
func TestWideJobBlocksQueue(t *testing.T) {
	b := warmBackend(testKind())
	mustAccept(t, b, 0, 1, 100)
	v, _ := b.Offer(0, Job{ID: 2, Work: 50, Slots: 2}, false)
	assert.Equal(t, Accepted, v)
	assert.Equal(t, "", mustAccept(t, b, 0, 3, 10))
	v, _ = b.Offer(0, Job{ID: 4, Work: 10, Slots: 1}, false)
	assert.Equal(t, Full, v, "one slot is free, but two jobs wait")
	assert.Equal(t, "1 done 100, 2 started 100, 2 done 150, 3 started 150, 3 done 160", formatEvents(b.Advance(1000)))
	k := testKind()
	k.QueueLimit = 0
	b = warmBackend(k)
	b.SetFaults(0, Faults{Frozen: true})
	for id, want := range []OfferResult{Accepted, Accepted, Full} {
		v, _ = b.Offer(0, Job{ID: uint64(id + 1), Work: 10, Slots: 1}, false)
		assert.Equal(t, want, v)
	}
}

// TestOnCancel checks the effect of a cancellation for each value of OnCancel.
func TestOnCancel(t *testing.T) {
	for on, want := range map[OnCancel]string{DropWaiting: "1 done 100, 2 done 100", DropAll: "", DropNone: "1 done 100, 2 done 100, 3 started 100, 3 done 200"} {
		k := testKind()
		k.OnCancel = on
		b := warmBackend(k)
		for id := range uint64(3) {
			mustAccept(t, b, 0, id+1, 100)
		}
		for id := range uint64(3) {
			b.Cancel(1, id+1)
		}
		assert.Equal(t, want, formatEvents(b.Advance(1000)))
	}
}

// TestPauses checks that a machine pauses for the configured fraction of time, that it emits no event and its job
// makes no progress meanwhile, and that the job loses exactly that time.
func TestPauses(t *testing.T) {
	k := testKind()
	k.PauseEvery, k.Pause = 100, 30
	b := warmBackend(k)
	mustAccept(t, b, 0, 1, 2000)
	paused := 0.0
	for now := 0.5; now < 1000; now += 0.5 {
		before := b.Progress(1)
		require.Empty(t, b.Advance(now))
		if b.NextSendTime(now) > now {
			paused += 0.5
			assert.InDelta(t, before, b.Progress(1), 1e-3)
		}
	}
	assert.InDelta(t, 1000*30/130, paused, 100)
	assert.InDelta(t, (1000-paused)/2000, b.Progress(1), 1e-3)
	b.SetFaults(1000, Faults{PauseEvery: 1, Pause: 1e6})
	b.Advance(1100)
	assert.Greater(t, b.NextSendTime(1100), 1e6)
	assert.Zero(t, b.Progress(2))
	b = warmBackend(testKind())
	mustAccept(t, b, 0, 1, 100)
	mustAccept(t, b, 50, 2, 200)
	b.Advance(99)
	assert.InDelta(t, 49.0/200, b.Progress(2), 1e-9, "progress counts from the start of the job")
}

// TestAnyJobs checks, with random offers, cancellations and faults, that each job starts before it ends and ends
// at most once, and that no more jobs run than there are slots. Advancing the clock in smaller steps must not
// change the events.
func TestAnyJobs(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		k := testKind()
		k.ColdCapacity, k.WarmUpTime, k.QueueLimit, k.Handshake, k.OnCancel = 0.4, 700, 5, 3, DropAll
		if rapid.Bool().Draw(r, "pauses") {
			k.PauseEvery, k.Pause = 60, 25
		}
		often, seldom := New(k, NewDedupGroup(), 0, 0, RandomStream(1, "t")), New(k, NewDedupGroup(), 0, 0, RandomStream(1, "t"))
		var logs [2][]Event
		now := 0.0
		for id := uint64(1); id < uint64(rapid.IntRange(2, 30).Draw(r, "n")); id++ {
			gap := rapid.Float64Range(0, 80).Draw(r, "gap")
			for i := range 5 {
				logs[0] = append(logs[0], often.Advance(now+gap*float64(i)/5)...)
			}
			now += gap
			j := Job{ID: id, Key: uint64(rapid.IntRange(0, 3).Draw(r, "key")), Work: rapid.Float64Range(1, 200).Draw(r, "work"), Slots: float64(rapid.IntRange(1, 2).Draw(r, "slots"))}
			connect, trouble := rapid.Bool().Draw(r, "connect"), rapid.IntRange(0, 9).Draw(r, "trouble")
			for i, b := range []*Backend{often, seldom} {
				switch trouble {
				case 0:
					logs[i] = append(logs[i], b.SetFaults(now, Faults{SlowFactor: 3})...)
				case 1:
					logs[i] = append(logs[i], b.SetFaults(now, Faults{})...)
				case 2:
					logs[i] = append(logs[i], b.Cancel(now, id/2)...)
				default:
					_, e := b.Offer(now, j, connect)
					logs[i] = append(logs[i], e...)
				}
				require.LessOrEqual(r, b.usedSlots, k.Slots)
			}
		}
		for i, b := range []*Backend{often, seldom} {
			logs[i] = append(logs[i], b.Advance(now+1e6)...)
			run, wait := b.JobCounts()
			require.Zero(r, run+wait)
			require.InDelta(r, 0, b.usedSlots, 1e-9)
		}
		require.Equal(r, formatEvents(logs[0]), formatEvents(logs[1]))
		started, ended := map[uint64]bool{}, map[uint64]bool{}
		for _, e := range logs[0] {
			if e.Kind == Started {
				require.False(r, started[e.Job])
				started[e.Job] = true
				continue
			}
			require.True(r, started[e.Job])
			require.False(r, ended[e.Job], "job ended twice")
			ended[e.Job] = true
		}
	})
}
