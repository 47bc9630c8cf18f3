package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOneBudgetForTwoProcesses: across a hand-over, whatever its moment in a window, both processes send to a cold worker at once, each
// less than one process alone, together no more than twice one alone in the window of the hand-over and FallMultiple/2 (1.5) times
// after it, the margin that one process keeps below FallMultiple; the old one has its whole budget again where the new one is gone.
func TestOneBudgetForTwoProcesses(t *testing.T) {
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
			for _, x := range p.rec.only("dispatch") {
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
		assert.Positive(t, next.sent[10], "the new one sends to a cold worker at once, in the window that goes on")
		// The window of the hand-over: what the old one had, and the new one's part (FallMultiple/4 = 0.75), drawn later in
		// the window, when the worker is warmer.
		assert.LessOrEqual(t, old.sent[10]+next.sent[10], 2*alone.sent[10]+2, "below FallMultiple (3)")
		for w := int64(11); w < 13; w++ { // then FallMultiple/2 together, the margin of one process
			assert.Positive(t, alone.sent[w])
			assert.LessOrEqual(t, float64(old.sent[w]+next.sent[w]), 1.5*float64(alone.sent[w])+2, "parts of a job are drawn")
			assert.Less(t, old.sent[w], alone.sent[w], "the old one has a part alone")
			assert.Less(t, next.sent[w], alone.sent[w], "and so has the new one")
		}
		assert.Positive(t, old.sent[11]+old.sent[12], "the old one keeps its part: it still serves its sessions")
		old.SetOverlap(false)
		ask(old, 14_000)
		assert.Positive(t, old.sent[14])
	}
}
