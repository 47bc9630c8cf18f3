package core

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/counters"
)

// fixture is a core with fakes for everything around it.
type fixture struct {
	core    *Core
	sent    []*Attempt
	stopped int
	answers []Answer
}

func (b *fixture) Send(a *Attempt, _ *Job) func() {
	b.sent = append(b.sent, a)
	return func() { b.stopped++ }
}
func (b *fixture) Probe(_ *Backend, done func(Ending, []float32)) { done(Served, []float32{1}) }
func (b *fixture) CloseIdle(*Backend)                             {}
func (b *fixture) Subscribe()                                     {}
func (b *fixture) Answer(a Answer)                                { b.answers = append(b.answers, a) }

func newFixture(t *testing.T, states ...balance.State) *fixture {
	b := &fixture{}
	var err error
	b.core, err = New(balance.Settings{Seed: 1, Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 2, TellsStart: true,
		MayDuplicate: true, ConnectTimeout: 120, Tick: 2, Rules: balance.Rules{AnswerSlack: 8},
		Classes: []balance.Class{{Worth: 1, Aim: 120, Deadline: 5000, Kind: -1, Effect: balance.Unsafe}}}, b, b, &counters.Set{})
	require.NoError(t, err)
	var list []Entry
	for i, s := range states {
		list = append(list, Entry{Worker: balance.Worker{ID: balance.WorkerID(i + 1), State: s, Weight: 4}})
	}
	b.core.HandleList(balance.ListFull, list)
	b.core.step()
	return b
}

func (b *fixture) submit() Handle {
	t, _ := b.core.Submit(balance.Request{Slots: 1}, &Job{}, time.Now(), 2*time.Second, b)
	b.core.step()
	return t
}

// after lets time pass and runs the timers that are due.
func (b *fixture) after(d time.Duration) { time.Sleep(d); b.core.step() }

// Of several events that may end a request, only the first produces an answer.
func TestOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		do          func(*fixture, Handle)
		want        []AnswerKind
		jobReleased bool
	}{
		"a result, then late events of the attempt": {func(b *fixture, _ Handle) {
			b.sent[0].Ended(Served, "r", nil)
			b.sent[0].Ended(Broken, "", nil)
			b.sent[0].JobStarted()
		}, []AnswerKind{Result}, true},
		"the deadline, then a late result": {func(b *fixture, _ Handle) {
			b.after(2 * time.Second)
			b.sent[0].Ended(Served, "r", nil)
		}, []AnswerKind{Failure}, false}, // the stopped attempt may still be reading the job
		"a result posted before the deadline is handled": {func(b *fixture, _ Handle) {
			time.Sleep(2 * time.Second)
			b.sent[0].Ended(Served, "r", nil)
		}, []AnswerKind{Result}, true},
		"client gone before the result": {func(b *fixture, t Handle) {
			t.Abandon(false, nil)
			b.sent[0].Ended(Served, "r", nil)
		}, nil, false},
		"client gone after the answer": {func(b *fixture, t Handle) {
			b.sent[0].Ended(Failed, "", nil)
			t.Abandon(false, nil)
		}, []AnswerKind{Failure}, true},
		"request rejected by the backend": {func(b *fixture, _ Handle) {
			b.sent[0].Ended(Rejected, "", nil)
		}, []AnswerKind{Failure}, true},
		"an ending of another kind": {func(b *fixture, _ Handle) {
			b.sent[0].Ended(ListReceived, "", nil)
		}, []AnswerKind{Failure}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(t, balance.Ready)
			handle := b.submit()
			require.Len(t, b.sent, 1, name)
			c.do(b, handle)
			b.core.step()
			b.after(10 * time.Second)
			var got []AnswerKind
			for _, a := range b.answers {
				got = append(got, a.Kind)
				assert.Equal(t, c.jobReleased, a.JobReleased, name)
			}
			assert.Equal(t, c.want, got, name)
			assert.Zero(t, b.core.OpenReqs(), name)
			assert.Empty(t, b.core.reqs, name)
		})
	}
}

// An action that fails immediately must not call back into the module: it becomes a later event.
func TestImmediateFailureIsPosted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, balance.Ready)
		b.submit()
		act := actions{b.core}
		act.Dispatch(1, 77, 0) // never listed
		act.Dispatch(1, 1, -1) // deadline in the past
		act.Cancel(1, 0)
		act.Probe(77)
		assert.Empty(t, b.answers)
		assert.Len(t, b.sent, 1)
		assert.Len(t, b.core.inbox, 4)
		b.core.step()
		b.core.step()
		assert.Equal(t, 1, b.stopped)
		assert.Equal(t, int64(1), b.core.count.Endings[Withdrawn].Load())
	})
}

// MayStart is asked just before the first byte is written.
func TestMayStart(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(*fixture)
		want bool
	}{
		"nothing happened": {func(*fixture) {}, true},
		"drains": {func(b *fixture) {
			b.core.HandleList(balance.ListDelta, []Entry{{Worker: balance.Worker{ID: 1, State: balance.Draining}}})
		}, false},
		"missing from a full list": {func(b *fixture) { b.core.HandleList(balance.ListFull, nil) }, false},
		"a failed call":            {func(b *fixture) { b.core.HandleList(balance.ListFailed, nil) }, true},
		"past its deadline":        {func(*fixture) { time.Sleep(2 * time.Second) }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(t, balance.Ready)
			b.submit()
			c.do(b)
			b.core.mu.Lock()
			events := b.core.inbox
			b.core.inbox = nil
			b.core.mu.Unlock()
			for _, e := range events { // timers don't run, so the attempt is still outstanding
				e()
			}
			assert.Equal(t, c.want, b.sent[0].MayStart(), name)
		})
	}
}

// A backend that started shortly before this program must have a recent start time. Zero or less means "long ago" to the
// module.
func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := float64(time.Now().Add(-3 * time.Second).UnixMilli())
		c := newClock(time.Now)
		time.Sleep(time.Second)
		assert.InDelta(t, 4000, c.now()-started, 1)
		assert.Positive(t, started)
	})
}

// An ID belongs to one request, and stays reserved for a while after the request is over. A request whose client is gone
// keeps its ID as long as a backend may send messages about it.
func TestIDsStayReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, balance.Ready)
		submit := func(id string) bool {
			_, fresh := b.core.Submit(balance.Request{Slots: 1}, &Job{ID: id}, time.Now(), 20*time.Second, b)
			b.core.step()
			return fresh
		}
		assert.True(t, submit("a"))
		assert.False(t, submit("a"), "open")
		assert.True(t, submit("b"))
		b.after(idRetention)
		assert.False(t, submit("a"), "still open")
		b.sent[0].Ended(Served, "r", nil)
		b.core.step()
		assert.False(t, submit("a"), "answered just now")
		b.after(idRetention)
		assert.True(t, submit("a"))
		assert.Equal(t, int64(3), b.core.count.ReqsRepeated.Load())
		for i := range maxBegunIDs + 2 { // the number of reserved IDs is bounded
			id := strconv.Itoa(i)
			assert.True(t, b.core.ids.claim(keyOf(id), time.Now()))
			b.core.ids.release(keyOf(id), i >= maxNeverSentIDs+2, time.Now())
		}
		b.core.ids.claim(keyOf("y"), time.Now())
		assert.LessOrEqual(t, len(b.core.ids.neverSent), maxNeverSentIDs)
		assert.LessOrEqual(t, len(b.core.ids.begun), maxBegunIDs)
		assert.LessOrEqual(t, len(b.core.ids.reserved), maxNeverSentIDs+maxBegunIDs+2, "with the two that are open")
		b.after(idRetention)
		b.core.ids.claim(keyOf("z"), time.Now())
		assert.Equal(t, 2+1, len(b.core.ids.reserved), "y, z and the second request of a")
	})
}

// When a client goes away, its request's attempts are stopped if asked for and allowed by the settings. The over callback
// runs once no attempt is outstanding.
func TestAbandon(t *testing.T) {
	for _, c := range []struct {
		name      string
		allowed   bool
		stop      bool
		answered  bool
		wantStops int
		doneStep  int // 0: freed at once; 1: when the attempt ended
	}{
		{"stopped", true, true, false, 1, 0},
		{"not allowed", false, true, false, 0, 1},
		{"not asked for", true, false, false, 0, 1},
		{"answered meanwhile", true, true, true, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(t, balance.Ready)
			b.core.mayCancel = c.allowed
			handle := b.submit()
			require.Len(t, b.sent, 1, c.name)
			b.sent[0].JobStarted()
			b.core.step()
			if c.answered {
				b.sent[0].Ended(Served, "r", nil)
			}
			overCalls := 0
			handle.Abandon(c.stop, func() { overCalls++ })
			b.core.step()
			assert.Equal(t, c.wantStops, b.stopped, c.name)
			assert.Equal(t, 1-c.doneStep, overCalls, c.name)
			b.sent[0].Ended(Served, "r", nil)
			b.core.step()
			assert.Equal(t, 1, overCalls, c.name)
			assert.Empty(t, b.core.reqs, c.name)
			assert.Equal(t, c.answered, len(b.answers) == 1, c.name)
		})
	}
}

// The client withdraws its request before the core has handled Submit. The module still dispatches an attempt, which
// is never given to the pool and must end by itself.
func TestAbandonBeforeSubmitHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, balance.Ready)
		b.core.mayCancel = true
		handle, _ := b.core.Submit(balance.Request{Slots: 1}, &Job{}, time.Now(), 2*time.Second, b)
		freed := 0
		handle.Abandon(true, func() { freed++ })
		b.core.step()
		b.core.step()
		assert.Equal(t, 1, freed)
		assert.Empty(t, b.sent)
		assert.Zero(t, b.stopped)
		assert.Empty(t, b.core.reqs)
		assert.Equal(t, int64(1), b.core.count.Endings[Unsent].Load())
	})
}
