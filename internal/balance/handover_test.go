package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestColdBudgetAcrossHandover: during a hand-over that begins at any moment of a window, both processes send to a cold
// worker, each less than one process alone. Together they send at most twice as much as one alone in the window of the
// hand-over, and FallMultiple/2 (1.5) times as much after it, the margin that one process keeps below FallMultiple. The
// old process has its whole budget again when the new one is gone.
func TestColdBudgetAcrossHandover(t *testing.T) {
	set := testSettings()
	type process struct {
		*Dispatcher
		rec  *recorder
		sent map[int64]int // by window
		last RequestID
	}
	begin := func(now Millis) *process {
		p := &process{rec: &recorder{}, sent: map[int64]int{}}
		var err error
		p.Dispatcher, err = New(set, p.rec)
		require.NoError(t, err)
		p.Workers(now, ListFull, []Worker{{ID: 9, State: Ready, Weight: 40, Started: 9000}})
		return p
	}
	ask := func(p *process, now Millis) {
		for range 100 {
			p.last++
			p.Arrive(now, Request{ID: p.last, Deadline: now + 5000})
			for _, x := range p.rec.take("dispatch") {
				p.sent[int64(now/set.Rules.FallWindow)]++
				p.AttemptEnded(now, Outcome{ID: x.id, Worker: x.worker, Result: OK, Took: 400, Closed: true})
			}
		}
	}
	for _, moment := range []Millis{0, 1, 499, 999} {
		alone, old := begin(10_000), begin(10_000)
		ask(alone, 10_000)
		ask(old, 10_000)
		next := begin(10_000 + moment)
		old.SetOverlap(true)
		next.StartOverlapped(10_000 + moment)
		for now := 10_000 + moment; now < 13_000; now += 250 {
			ask(alone, now)
			ask(old, now)
			ask(next, now)
		}
		assert.Positive(t, next.sent[10], "the new process sends to a cold worker in the current window")
		// In the window of the hand-over: the old process's whole budget, and the new one's part (FallMultiple/4 = 0.75),
		// computed later in the window, when the worker is warmer.
		assert.LessOrEqual(t, old.sent[10]+next.sent[10], 2*alone.sent[10]+2, "below FallMultiple (3)")
		for w := int64(11); w < 13; w++ { // afterwards FallMultiple/2 together, the margin of one process
			assert.Positive(t, alone.sent[w])
			assert.LessOrEqual(t, float64(old.sent[w]+next.sent[w]), 1.5*float64(alone.sent[w])+2, "plus 2, as fractions of a job are rounded at random")
			assert.Less(t, old.sent[w], alone.sent[w], "the old process has only a part of the budget")
			assert.Less(t, next.sent[w], alone.sent[w], "the new process has only a part of the budget")
		}
		assert.Positive(t, old.sent[11]+old.sent[12], "the old process keeps its part, since it still serves its sessions")
		old.SetOverlap(false)
		ask(old, 14_000)
		assert.Positive(t, old.sent[14])
	}
}
