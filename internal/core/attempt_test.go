package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/counters"
)

// noopPolicy is a decision policy that takes no action.
type noopPolicy struct{ balance.Events }

func (noopPolicy) Arrive(balance.Millis, balance.Request)                     {}
func (noopPolicy) Workers(balance.Millis, balance.ListKind, []balance.Worker) {}
func (noopPolicy) Abandoned(balance.Millis, balance.RequestID)                {}
func (noopPolicy) AttemptEnded(balance.Millis, balance.Outcome)               {}
func (noopPolicy) Progressed(balance.Millis, balance.Progress)                {}

// clockFixture is a fixture with a manual clock and one request, whose attempts the test dispatches itself.
type clockFixture struct {
	*fixture
	now    time.Time
	handle Handle
}

func newClockFixture(t *testing.T, class balance.Class) *clockFixture {
	w := &clockFixture{fixture: &fixture{}, now: time.Unix(1e9, 0)}
	var err error
	w.core, err = NewWith(func() time.Time { return w.now }, func(balance.Settings, balance.Actions) (balance.Events, error) { return noopPolicy{}, nil },
		balance.Settings{MayCancel: true, Classes: []balance.Class{class}}, w, w, &counters.Set{})
	require.NoError(t, err)
	w.core.duplicateRule = true
	w.core.HandleList(balance.ListFull, []Entry{{Worker: balance.Worker{ID: 1, State: balance.Ready, Weight: 4}}})
	w.core.step()
	w.handle, _ = w.core.Submit(balance.Request{Slots: 1}, &Job{ID: "a"}, w.now, time.Minute, w)
	w.core.step()
	w.dispatch()
	return w
}

func (w *clockFixture) dispatch() { actions{w.core}.Dispatch(1, 1, 0) }

// Once its client is gone or it is answered, no further attempt of a request starts: from that instant on, not only after
// the core has handled the event. An attempt that has started runs on.
func TestNoStartAfterClientGone(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(*clockFixture)
		want bool
	}{
		"nothing happened":              {func(*clockFixture) {}, true},
		"gone, event not handled yet":   {func(w *clockFixture) { w.handle.Abandon(false, nil) }, false},
		"gone":                          {func(w *clockFixture) { w.handle.Abandon(false, nil); w.core.step() }, false},
		"gone, attempts cancelled":      {func(w *clockFixture) { w.handle.Abandon(true, nil); w.core.step() }, false},
		"answered by the other attempt": {func(w *clockFixture) { w.sent[0].Ended(Served, "r", nil); w.core.step() }, false},
		"the other attempt failed":      {func(w *clockFixture) { w.sent[0].Ended(Broken, "", nil); w.core.step() }, true},
	} {
		w := newClockFixture(t, balance.Class{Effect: balance.Safe})
		require.True(t, w.sent[0].MayStart())
		w.dispatch()
		c.do(w)
		assert.Equal(t, c.want, w.sent[1].MayStart(), name)
		sent := len(w.sent)
		w.dispatch()
		assert.Equal(t, c.want, len(w.sent) > sent, "%s: a further attempt", name)
		w.core.step()
		for _, a := range w.sent {
			a.Ended(Served, "r", nil)
		}
		w.core.step()
		assert.Zero(t, w.core.OpenReqs(), name)
		assert.Empty(t, w.core.reqs, name)
	}
}

// MayStart enforces the rule on duplicated effects just before the first byte. It depends on the class's effect, on when the
// other attempts actually started, and on whether they are proven never to have run.
func TestMayStartDuplicateRule(t *testing.T) {
	const window = 1000
	pass := func(w *clockFixture, ms int) { w.now = w.now.Add(time.Duration(ms) * time.Millisecond) }
	end := func(e Ending) func(*clockFixture) {
		return func(w *clockFixture) { w.sent[0].MayStart(); w.sent[0].Ended(e, "", nil); w.core.step() }
	}
	for name, c := range map[string]struct {
		effect balance.Effect
		first  func(*clockFixture)
		delay  int // ms until the second attempt is about to start
		want   bool
	}{
		"safe":                             {balance.Safe, end(Broken), 5000, true},
		"within the window":                {balance.Deduped, end(Broken), 849, true},
		"after the window":                 {balance.Deduped, end(Broken), 850, false},
		"after it, the first outstanding":  {balance.Deduped, func(w *clockFixture) { w.sent[0].MayStart() }, 850, false},
		"after it, the first overdue":      {balance.Deduped, end(Overdue), 850, false},
		"after it, the first never ran":    {balance.Deduped, end(Unreached), 5000, true},
		"after it, the first was returned": {balance.Deduped, end(Returned), 5000, true},
		"counted from when it started": {balance.Deduped, func(w *clockFixture) {
			pass(w, 800)
			w.sent[0].MayStart()
		}, 849, true},
		"not yet started":               {balance.Deduped, func(*clockFixture) {}, 5000, true},
		"unsafe, the first outstanding": {balance.Unsafe, func(w *clockFixture) { w.sent[0].MayStart() }, 1, false},
		"unsafe, not yet started":       {balance.Unsafe, func(*clockFixture) {}, 1, false},
		"unsafe, overdue while connecting": {balance.Unsafe, func(w *clockFixture) {
			w.core.stopAttempt(w.sent[0], Overdue)
			assert.False(t, w.sent[0].MayStart())
		}, 1, false},
		"unsafe, withdrawn": {balance.Unsafe, end(Withdrawn), 1, false},
		"unsafe, broken":    {balance.Unsafe, end(Broken), 1, false},
		"unsafe, garbled":   {balance.Unsafe, end(Garbled), 1, false},
		"unsafe, lost":      {balance.Unsafe, end(Lost), 1, false},
		"unsafe, failed":    {balance.Unsafe, end(Failed), 1, false},
		"unsafe, unreached": {balance.Unsafe, end(Unreached), 5000, true},
		"unsafe, returned":  {balance.Unsafe, end(Returned), 5000, true},
		"unsafe, unsent":    {balance.Unsafe, end(Unsent), 5000, true},
	} {
		w := newClockFixture(t, balance.Class{Effect: c.effect, RepeatWindow: window})
		c.first(w)
		w.dispatch()
		require.Len(t, w.sent, 2, name)
		pass(w, c.delay)
		assert.Equal(t, c.want, w.sent[1].MayStart(), name)
	}
}

// The attempt sent first can be the one that starts last. The repeat window counts from the attempt that started first.
func TestWindowCountsFromFirstStarted(t *testing.T) {
	for late, want := range map[time.Duration]bool{849: true, 850: false} {
		w := newClockFixture(t, balance.Class{Effect: balance.Deduped, RepeatWindow: 1000})
		w.dispatch()
		require.True(t, w.sent[1].MayStart())
		w.now = w.now.Add(late * time.Millisecond)
		assert.Equal(t, want, w.sent[0].MayStart(), late)
	}
}

// MayStart can allow an attempt that then writes no byte and asks again. The repeat window counts from the second time.
func TestWindowCountsFromLastMayStart(t *testing.T) {
	w := newClockFixture(t, balance.Class{Effect: balance.Deduped, RepeatWindow: 1000})
	w.dispatch()
	require.True(t, w.sent[0].MayStart())
	w.now = w.now.Add(800 * time.Millisecond)
	require.True(t, w.sent[0].MayStart())
	w.now = w.now.Add(800 * time.Millisecond)
	assert.True(t, w.sent[1].MayStart())
}

// A backend that reports start and progress without end must not fill the inbox: at most one event of each is pending.
func TestRepeatedProgressIsBounded(t *testing.T) {
	w := newClockFixture(t, balance.Class{Effect: balance.Safe})
	for i := range 1000 {
		w.sent[0].JobStarted()
		w.sent[0].Progress(float64(i) / 1000)
	}
	assert.Len(t, w.core.inbox, 2)
	w.core.step()
	w.sent[0].JobStarted()
	assert.Empty(t, w.core.inbox)
	w.sent[0].Progress(1)
	assert.Len(t, w.core.inbox, 1)
}
