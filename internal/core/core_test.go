package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/counters"
)

// bench stands in for all that is around a core.
type bench struct {
	core    *Core
	sent    []*Attempt
	stopped int
	answers []Answer
}

func (b *bench) Send(a *Attempt) func() {
	b.sent = append(b.sent, a)
	return func() { b.stopped++ }
}
func (b *bench) Probe(_ *Backend, done func(Ending, []float32)) { done(Served, []float32{1}) }
func (b *bench) HangUp(*Backend)                                {}
func (b *bench) Subscribe()                                     {}
func (b *bench) Answer(a Answer)                                { b.answers = append(b.answers, a) }

func start(t *testing.T, states ...balance.State) *bench {
	b := &bench{}
	var err error
	b.core, err = New(balance.Settings{Seed: 1, Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 2, TellsStart: true,
		MayDuplicate: true, ConnectTimeout: 120, Tick: 2, Rules: balance.Rules{AnswerSlack: 8},
		Classes: []balance.Class{{Worth: 1, Aim: 120, Deadline: 5000, Kind: -1, Effect: balance.Unsafe}}}, b, b, &counters.Set{})
	require.NoError(t, err)
	var list []Entry
	for i, s := range states {
		list = append(list, Entry{Worker: balance.Worker{ID: balance.WorkerID(i + 1), State: s, Weight: 4}})
	}
	b.core.Listed(balance.ListFull, list)
	b.core.step()
	return b
}

func (b *bench) take() Ticket {
	t, _ := b.core.Take(balance.Request{Slots: 1}, &Job{}, time.Now(), 2*time.Second, b)
	b.core.step()
	return t
}

// after lets time pass and takes the timers that came due.
func (b *bench) after(d time.Duration) { time.Sleep(d); b.core.step() }

// TestOneAnswer: of all that may end a req, the first does, and nothing after it.
func TestOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(*bench, Ticket)
		want []Verdict
		free bool
	}{
		"a result, and late news of the attempt": {func(b *bench, _ Ticket) {
			b.sent[0].Ended(Served, "r", nil)
			b.sent[0].Ended(Broken, "", nil)
			b.sent[0].Started()
		}, []Verdict{ResultOf}, true},
		"the deadline, and a result too late for it": {func(b *bench, _ Ticket) {
			b.after(2 * time.Second)
			b.sent[0].Ended(Served, "r", nil)
		}, []Verdict{Failure}, false}, // the stopped attempt may be reading the job still
		"a result that is here at the deadline": {func(b *bench, _ Ticket) {
			time.Sleep(2 * time.Second)
			b.sent[0].Ended(Served, "r", nil)
		}, []Verdict{ResultOf}, true},
		"a client gone before": {func(b *bench, t Ticket) {
			t.Abandon(false, nil)
			b.sent[0].Ended(Served, "r", nil)
		}, nil, false},
		"a client gone after": {func(b *bench, t Ticket) {
			b.sent[0].Ended(Failed, "", nil)
			t.Abandon(false, nil)
		}, []Verdict{Failure}, true},
		"a req that the backend finds at fault": {func(b *bench, _ Ticket) {
			b.sent[0].Ended(Rejected, "", nil)
		}, []Verdict{Failure}, true},
		"an ending that is no attempt's": {func(b *bench, _ Ticket) {
			b.sent[0].Ended(ListTold, "", nil)
		}, []Verdict{Failure}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := start(t, balance.Ready)
			ticket := b.take()
			require.Len(t, b.sent, 1, name)
			c.do(b, ticket)
			b.core.step()
			b.after(10 * time.Second)
			var got []Verdict
			for _, a := range b.answers {
				got = append(got, a.Verdict)
				assert.Equal(t, c.free, a.Free, name)
			}
			assert.Equal(t, c.want, got, name)
			assert.Zero(t, b.core.Open(), name)
			assert.Empty(t, b.core.reqs, name)
		})
	}
}

// TestFailsAtOnce: an action that fails while the module acts becomes a later event.
func TestFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, balance.Ready)
		b.take()
		act := actions{b.core}
		act.Dispatch(1, 77, 0) // was never listed
		act.Dispatch(1, 1, -1) // its time is up
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

// TestMayBegin is asked just before the first byte goes out.
func TestMayBegin(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(*bench)
		want bool
	}{
		"nothing happened": {func(*bench) {}, true},
		"drains": {func(b *bench) {
			b.core.Listed(balance.ListDelta, []Entry{{Worker: balance.Worker{ID: 1, State: balance.Draining}}})
		}, false},
		"gone from a whole list": {func(b *bench) { b.core.Listed(balance.ListFull, nil) }, false},
		"a failed call":          {func(b *bench) { b.core.Listed(balance.ListFailed, nil) }, true},
		"too late":               {func(*bench) { time.Sleep(2 * time.Second) }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := start(t, balance.Ready)
			b.take()
			c.do(b)
			b.core.mu.Lock()
			events := b.core.inbox
			b.core.inbox = nil
			b.core.mu.Unlock()
			for _, e := range events { // without the timers: the attempt is still out
				e()
			}
			assert.Equal(t, c.want, b.sent[0].MayBegin(), name)
		})
	}
}

// TestClock: a backend that started a little before this program reads as a recent start,
// not as one long past, which the module takes zero or less for.
func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := float64(time.Now().Add(-3 * time.Second).UnixMilli())
		c := newClock(time.Now)
		time.Sleep(time.Second)
		assert.InDelta(t, 4000, c.now()-started, 1)
		assert.Positive(t, started)
	})
}

// TestIDs: an id belongs to one req, and for a while after it is over. A req whose client has
// gone keeps its id for as long as a backend may speak of it.
func TestIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, balance.Ready)
		take := func(id string) bool {
			_, fresh := b.core.Take(balance.Request{Slots: 1}, &Job{ID: id}, time.Now(), 20*time.Second, b)
			b.core.step()
			return fresh
		}
		assert.True(t, take("a"))
		assert.False(t, take("a"), "open")
		assert.True(t, take("b"))
		b.after(idKept)
		assert.False(t, take("a"), "still open")
		b.sent[0].Ended(Served, "r", nil)
		b.core.step()
		assert.False(t, take("a"), "answered just now")
		b.after(idKept)
		assert.True(t, take("a"))
		assert.Equal(t, int64(3), b.core.count.ReqsRepeated.Load())
		for range idsMost + 2 { // what is kept is bounded
			b.core.ids.drop("x", time.Now())
		}
		b.core.ids.take("y", time.Now())
		assert.LessOrEqual(t, len(b.core.ids.over), idsMost)
	})
}

// TestAbandon: what a client that goes away had asked for is called off at the backends where it
// is to stop and the settings allow it, and the client's place is free once nothing of it is out.
func TestAbandon(t *testing.T) {
	for _, c := range []struct {
		name      string
		allowed   bool
		stop      bool
		answered  bool
		wantStops int
		freeAt    int // step: 0 at once, 1 when the attempt has ended
	}{
		{"called off", true, true, false, 1, 0},
		{"not allowed", false, true, false, 0, 1},
		{"not wanted", true, false, false, 0, 1},
		{"crossing the answer", true, true, true, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := start(t, balance.Ready)
			b.core.mayCancel = c.allowed
			ticket := b.take()
			require.Len(t, b.sent, 1, c.name)
			b.sent[0].Started()
			b.core.step()
			if c.answered {
				b.sent[0].Ended(Served, "r", nil)
			}
			freed := 0
			ticket.Abandon(c.stop, func() { freed++ })
			b.core.step()
			assert.Equal(t, c.wantStops, b.stopped, c.name)
			assert.Equal(t, 1-c.freeAt, freed, c.name)
			b.sent[0].Ended(Served, "r", nil)
			b.core.step()
			assert.Equal(t, 1, freed, c.name)
			assert.Empty(t, b.core.reqs, c.name)
			assert.Equal(t, c.answered, len(b.answers) == 1, c.name)
		})
	}
}

// TestGoneAtOnce: a client that takes its req back before the core has heard of it, where what is out is to be called off:
// the attempt that the module still makes was never given to the pool, and ends by itself.
func TestGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, balance.Ready)
		b.core.mayCancel = true
		ticket, _ := b.core.Take(balance.Request{Slots: 1}, &Job{}, time.Now(), 2*time.Second, b)
		freed := 0
		ticket.Abandon(true, func() { freed++ })
		b.core.step()
		b.core.step()
		assert.Equal(t, 1, freed)
		assert.Empty(t, b.sent)
		assert.Zero(t, b.stopped)
		assert.Empty(t, b.core.reqs)
		assert.Equal(t, int64(1), b.core.count.Endings[Unsent].Load())
	})
}
