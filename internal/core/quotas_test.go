package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tinsail/internal/balance"
	"tinsail/internal/counters"
)

// quotaCall is one Acquire of fakeQuotas, which the test answers.
type quotaCall struct {
	tenant, class int
	until         time.Time
	ready         func(time.Time, time.Duration, bool)
	released      int // number of calls of release
}

type fakeQuotas struct {
	calls       []*quotaCall
	maxHold     time.Duration
	grantAtOnce bool // ready is called before Acquire returns
	clock       func() time.Time
}

func (q *fakeQuotas) Acquire(tenant, class int, until time.Time, ready func(time.Time, time.Duration, bool)) func() {
	a := &quotaCall{tenant: tenant, class: class, until: until, ready: ready}
	q.calls = append(q.calls, a)
	if q.grantAtOnce {
		ready(q.clock(), 0, true)
	}
	return func() { a.released++ }
}
func (q *fakeQuotas) MaxHold() time.Duration { return q.maxHold }

// quotaFixture is a core with quotas, two backends and the real module, on a manual clock.
type quotaFixture struct {
	*fixture
	now    time.Time
	quotas *fakeQuotas
}

func newQuotaFixture(t require.TestingT, set func(*balance.Settings)) *quotaFixture {
	h := &quotaFixture{fixture: &fixture{}, now: time.Unix(1e9, 0), quotas: &fakeQuotas{}}
	h.quotas.clock = func() time.Time { return h.now }
	s := balance.Settings{Seed: 1, Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 2, TellsStart: true, MayDuplicate: true, MayCancel: true,
		ConnectTimeout: 120, Tick: 2, Rules: balance.Rules{AnswerSlack: 8}, Tenants: []balance.Tenant{{Share: 1}},
		Classes: []balance.Class{{Worth: 1, Aim: 120, Deadline: 5000, Kind: -1, Effect: balance.Safe}}}
	if set != nil {
		set(&s)
	}
	var err error
	h.core, err = NewAt(func() time.Time { return h.now }, s, h, h, &counters.Set{})
	require.NoError(t, err)
	h.core.Quotas = h.quotas
	h.core.HandleList(balance.ListFull, []Entry{{Worker: balance.Worker{ID: 1, State: balance.Ready, Weight: 1e4}},
		{Worker: balance.Worker{ID: 2, State: balance.Ready, Weight: 1e4}}})
	h.core.Step()
	return h
}

func (h *quotaFixture) submit(id string, timeLeft time.Duration) Handle {
	t, _ := h.core.Submit(balance.Request{Slots: 1}, &Job{ID: id}, h.now, timeLeft, h)
	h.core.Step()
	return t
}

// pass advances the clock, stopping at each timer.
func (h *quotaFixture) pass(d time.Duration) {
	end := h.now.Add(d)
	for next := h.core.NextTimer(); !next.IsZero() && !next.After(end); next = h.core.NextTimer() {
		if next.After(h.now) {
			h.now = next
		}
		h.core.Step()
	}
	h.now = end
	h.core.Step()
}

func (h *quotaFixture) answerKinds() []AnswerKind {
	var out []AnswerKind
	for _, a := range h.answers {
		out = append(out, a.Kind)
	}
	return out
}

// assertReleased asserts that no request is left and that each released its quota once.
func (h *quotaFixture) assertReleased(t require.TestingT, name string) {
	assert.Zero(t, h.core.OpenReqs(), name)
	assert.Empty(t, h.core.reqs, name)
	for _, a := range h.quotas.calls {
		assert.Equal(t, 1, a.released, "%s: quota releases", name)
	}
}

// The module sees a request only once its quota is granted, whether the grant comes before or after Acquire returns.
func TestWaitsForQuota(t *testing.T) {
	h := newQuotaFixture(t, nil)
	h.submit("a", 2*time.Second)
	require.Len(t, h.quotas.calls, 1)
	assert.Equal(t, h.now.Add(2*time.Second-quotaMargin), h.quotas.calls[0].until)
	assert.Empty(t, h.sent)
	assert.Equal(t, 1, h.core.OpenReqs())
	h.pass(time.Second)
	assert.Empty(t, h.sent)
	h.quotas.calls[0].ready(h.now, 0, true)
	h.core.Step()
	require.Len(t, h.sent, 1)
	assert.True(t, h.sent[0].MayStart())
	assert.Zero(t, h.quotas.calls[0].released)
	h.quotas.calls[0].ready(h.now, 0, true)
	h.core.Step()
	assert.Len(t, h.sent, 1, "granted twice")
	h.sent[0].Ended(Served, "r", nil)
	h.core.Step()
	assert.Equal(t, []AnswerKind{Result}, h.answerKinds())
	h.assertReleased(t, "")

	h.quotas.grantAtOnce = true // before Acquire returns
	h.submit("b", 2*time.Second)
	require.Len(t, h.sent, 2)
	h.sent[1].Ended(Served, "r", nil)
	h.core.Step()
	assert.Equal(t, []AnswerKind{Result, Result}, h.answerKinds())
	h.assertReleased(t, "at once")
}

// A request that gets no quota is refused with a suggested delay before its deadline, whether Quotas decides in time or not,
// and releases its place once.
func TestNoQuota(t *testing.T) {
	for name, c := range map[string]struct {
		do         func(*quotaFixture)
		retryAfter time.Duration
	}{
		"decided": {func(h *quotaFixture) { h.quotas.calls[0].ready(h.now, 70*time.Millisecond, false) }, 70 * time.Millisecond},
		"decided just in time": {func(h *quotaFixture) {
			h.pass(2*time.Second - quotaMargin)
			h.quotas.calls[0].ready(h.now, 70*time.Millisecond, false)
		}, 70 * time.Millisecond},
		"never decided":    {func(h *quotaFixture) { h.pass(2*time.Second - quotaMargin/2) }, quotaRetryAfter},
		"decided too late": {func(h *quotaFixture) { h.pass(2*time.Second - quotaMargin/2); h.quotas.calls[0].ready(h.now, 0, true) }, quotaRetryAfter},
		"decided twice": {func(h *quotaFixture) {
			h.quotas.calls[0].ready(h.now, 70*time.Millisecond, false)
			h.quotas.calls[0].ready(h.now, 0, true)
		}, 70 * time.Millisecond},
	} {
		h := newQuotaFixture(t, nil)
		handle := h.submit("a", 2*time.Second)
		c.do(h)
		h.core.Step()
		assert.False(t, handle.req.inModule, "%s: the module must not know of it", name)
		assert.Equal(t, []Answer{{Kind: Refusal, RetryAfter: c.retryAfter, JobReleased: true}}, h.answers, name)
		h.assertReleased(t, name)
		h.pass(time.Minute)
		assert.Len(t, h.answers, 1, name)
		assert.Empty(t, h.sent, name)
		h.assertReleased(t, name)
	}
}

// A client that leaves gives up its place in the queue and no attempt starts, in any order of the events.
func TestClientGoneWhileQueued(t *testing.T) {
	for name, do := range map[string]func(*quotaFixture, func(*quotaFixture) Handle) Handle{
		"gone": func(h *quotaFixture, submit func(*quotaFixture) Handle) Handle {
			handle := submit(h)
			handle.Abandon(true, nil)
			return handle
		},
		"gone, then granted": func(h *quotaFixture, submit func(*quotaFixture) Handle) Handle {
			handle := submit(h)
			handle.Abandon(false, nil)
			h.quotas.calls[0].ready(h.now, 0, true)
			return handle
		},
		"gone and handled, then granted": func(h *quotaFixture, submit func(*quotaFixture) Handle) Handle {
			handle := submit(h)
			handle.Abandon(false, nil)
			h.core.Step()
			h.quotas.calls[0].ready(h.now, 0, true)
			return handle
		},
		"granted, then gone before the core handled either": func(h *quotaFixture, submit func(*quotaFixture) Handle) Handle {
			handle := submit(h)
			h.quotas.calls[0].ready(h.now, 0, true)
			handle.Abandon(false, nil)
			return handle
		},
		"refused, then gone before the core handled either": func(h *quotaFixture, submit func(*quotaFixture) Handle) Handle {
			handle := submit(h)
			h.quotas.calls[0].ready(h.now, 0, false)
			handle.Abandon(false, nil)
			return handle
		},
		"gone before it asked for quota": func(h *quotaFixture, _ func(*quotaFixture) Handle) Handle {
			handle, _ := h.core.Submit(balance.Request{Slots: 1}, &Job{ID: "a"}, h.now, time.Second, h)
			handle.Abandon(false, nil)
			h.core.Step()
			assert.Empty(t, h.quotas.calls, "it must not ask")
			return handle
		},
	} {
		h := newQuotaFixture(t, nil)
		handle := do(h, func(h *quotaFixture) Handle { return h.submit("a", time.Second) })
		h.core.Step()
		assert.False(t, handle.req.inModule, "%s: the module must not know of it", name)
		h.assertReleased(t, name)
		h.pass(time.Minute)
		assert.Empty(t, h.sent, name)
		assert.LessOrEqual(t, len(h.answers), 1, name)
		for _, a := range h.answers {
			assert.Equal(t, Refusal, a.Kind, name)
		}
		h.assertReleased(t, name)
	}
	h := newQuotaFixture(t, nil)
	overCalls := 0
	handle := h.submit("a", time.Second)
	handle.Abandon(false, func() { overCalls++; assert.Equal(t, 1, h.quotas.calls[0].released) })
	h.core.Step()
	assert.Equal(t, 1, overCalls, "the over callback runs once")
}

// An attempt that is outstanding when its client leaves keeps its quota until the attempt ends.
func TestClientGoneKeepsQuotaUntilEnd(t *testing.T) {
	h := newQuotaFixture(t, nil)
	handle := h.submit("a", time.Second)
	h.quotas.calls[0].ready(h.now, 0, true)
	h.core.Step()
	require.Len(t, h.sent, 1)
	handle.Abandon(false, nil)
	h.core.Step()
	assert.Zero(t, h.quotas.calls[0].released, "the attempt is outstanding")
	h.sent[0].Ended(Served, "r", nil)
	h.core.Step()
	assert.Empty(t, h.answers)
	h.assertReleased(t, "")
}

// Quota is released at the latest MaxHold after the grant by the core's clock, whatever deadline a client sets, whatever
// backends do, and even if the policy forgets the request. After that no attempt may start.
func TestMaxHold(t *testing.T) {
	const maxHold = 3 * time.Second
	for name, c := range map[string]struct {
		timeLeft time.Duration
		wait     time.Duration // before the grant
		stall    time.Duration // from the grant until the core handles it
		do       func(*quotaFixture, Handle)
		module   bool // the real module, or else a policy that never answers or ends anything
	}{
		"a backend that never answers":        {24 * 24 * time.Hour, 0, 0, func(*quotaFixture, Handle) {}, true},
		"after a long wait":                   {24 * 24 * time.Hour, time.Hour, 0, func(*quotaFixture, Handle) {}, true},
		"grant handled late":                  {24 * 24 * time.Hour, 0, 2 * time.Second, func(*quotaFixture, Handle) {}, true},
		"client gone, attempt outstanding":    {24 * 24 * time.Hour, 0, 0, func(_ *quotaFixture, t Handle) { t.Abandon(false, nil) }, true},
		"policy forgets the request":          {24 * 24 * time.Hour, 0, 0, func(*quotaFixture, Handle) {}, false},
		"policy forgets, attempt outstanding": {24 * 24 * time.Hour, 0, 0, func(h *quotaFixture, _ Handle) { actions{h.core}.Dispatch(1, 1, 0) }, false},
		"deadline before the limit":           {time.Second, 0, 0, func(*quotaFixture, Handle) {}, true},
		"attempt broken, another sent":        {24 * 24 * time.Hour, 0, 0, func(h *quotaFixture, _ Handle) { h.sent[0].Ended(Broken, "", nil) }, true},
	} {
		h := newQuotaFixture(t, nil)
		h.quotas.maxHold = maxHold
		if !c.module {
			h.core.module = noopPolicy{}
		}
		handle := h.submit("a", c.timeLeft)
		h.pass(c.wait)
		grantedAt := h.now
		h.quotas.calls[0].ready(h.now, 0, true)
		h.now = h.now.Add(c.stall)
		h.core.Step()
		if c.module {
			require.Len(t, h.sent, 1, name)
		}
		c.do(h, handle)
		h.core.Step()
		for h.quotas.calls[0].released == 0 && h.now.Before(grantedAt.Add(time.Hour)) {
			h.pass(time.Millisecond)
		}
		assert.LessOrEqual(t, h.now.Sub(grantedAt), maxHold, name)
		if c.timeLeft > maxHold {
			assert.GreaterOrEqual(t, h.now.Sub(grantedAt), maxHold-10*time.Millisecond, "%s: held until shortly before the limit", name)
		}
		for _, a := range h.sent {
			assert.False(t, a.Deadline.After(grantedAt.Add(maxHold)), name)
			assert.False(t, a.MayStart(), name)
		}
		h.pass(time.Minute)
		h.assertReleased(t, name)
	}
	h := newQuotaFixture(t, nil)
	h.submit("a", time.Hour)
	h.quotas.calls[0].ready(h.now, 0, true)
	h.pass(time.Hour - time.Second)
	assert.Zero(t, h.quotas.calls[0].released, "no limit")
}

// A process can be stopped between the grant and the core's handling of it. If it resumes after the maximum hold time, it
// must start nothing.
func TestStoppedBeyondMaxHold(t *testing.T) {
	h := newQuotaFixture(t, nil)
	h.quotas.maxHold = 3 * time.Second
	h.submit("a", time.Hour)
	h.quotas.calls[0].ready(h.now, 0, true)
	h.now = h.now.Add(10 * time.Second)
	h.core.Step()
	for _, a := range h.sent {
		assert.False(t, a.MayStart())
	}
	h.pass(10 * time.Millisecond)
	assert.Len(t, h.answers, 1)
	h.assertReleased(t, "")

	h = newQuotaFixture(t, nil) // stopped after the grant was handled, before the first byte
	h.quotas.maxHold = 3 * time.Second
	h.submit("a", time.Hour)
	h.quotas.calls[0].ready(h.now, 0, true)
	h.core.Step()
	require.Len(t, h.sent, 1)
	require.True(t, h.sent[0].MayStart())
	h.now = h.now.Add(10 * time.Second)
	assert.False(t, h.sent[0].MayStart())
}

// A request queued for quota counts as waiting for its policy version, and is refused once the version is no longer in force.
func TestQueuedAcrossVersions(t *testing.T) {
	h := newQuotaFixture(t, nil)
	p := &fakeVersions{version: 7, serving: true, startVersion: 7}
	h.core.Versions = p
	h.submit("a", 2*time.Second)
	h.submit("b", 2*time.Second)
	assert.Equal(t, 2, p.waiting)
	h.quotas.calls[0].ready(h.now, 0, true)
	h.core.Step()
	require.Len(t, h.sent, 1)
	assert.EqualValues(t, 7, h.sent[0].Version())
	assert.True(t, h.sent[0].MayStart())
	assert.Equal(t, 1, p.waiting, "one started, one is queued")

	h.pass(time.Second)
	assert.Empty(t, h.answers)
	p.serving, p.startVersion = false, 0 // the version is no longer in force
	h.pass(versionCheckInterval)
	assert.Equal(t, []Answer{{Kind: Refusal, RetryAfter: expiredRetryAfter, JobReleased: true}}, h.answers)
	assert.Zero(t, p.waiting)
	assert.Equal(t, 1, h.quotas.calls[1].released)
	assert.Zero(t, h.quotas.calls[0].released, "the running request continues")
	h.sent[0].Ended(Served, "r", nil)
	h.core.Step()
	assert.Len(t, h.answers, 2)
	h.assertReleased(t, "version ended while queued")

	p.serving, p.startVersion = true, 7
	c := h.submit("c", 2*time.Second)
	p.serving, p.startVersion = false, 0
	h.quotas.calls[2].ready(h.now, 0, true) // before the core checks versions
	h.core.Step()
	assert.Len(t, h.sent, 1)
	require.Len(t, h.answers, 3)
	assert.Equal(t, Answer{Kind: Refusal, RetryAfter: expiredRetryAfter, JobReleased: true}, h.answers[2])
	assert.False(t, c.req.inModule)
	h.assertReleased(t, "version ended, then granted")

	p.serving, p.startVersion = true, 7
	h.submit("d", 2*time.Second).Abandon(false, nil)
	h.core.Step()
	h.submit("e", 2*time.Second)
	h.quotas.calls[4].ready(h.now, 0, false)
	h.core.Step()
	assert.Zero(t, p.waiting)
	h.pass(2 * versionCheckInterval)
	assert.Empty(t, h.core.queuedReqs, "queued requests are forgotten")
	p.serving = false
	h.submit("f", time.Second)
	assert.Len(t, h.quotas.calls, 5, "a core that admits nothing asks for no quota")
	h.assertReleased(t, "")
	assert.Equal(t, 0, p.waiting)
}

// A request whose ID is in use is not accepted and asks for no quota.
func TestRepeatedIDAsksForNoQuota(t *testing.T) {
	h := newQuotaFixture(t, nil)
	h.submit("a", time.Second)
	h.submit("a", time.Second)
	assert.Len(t, h.quotas.calls, 1)
}

// In any order of grants, refusals of quota, answers, clients leaving, time passing and versions ending: each accepted
// request gets one answer unless its client left, releases its quota once, holds it no longer than MaxHold, and starts only
// with quota.
func TestOneAnswerOneRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxHold = 1500 * time.Millisecond
		h := newQuotaFixture(t, func(s *balance.Settings) { s.MayCancel = rapid.Bool().Draw(t, "may cancel") })
		h.quotas.maxHold = maxHold
		var p *fakeVersions
		if rapid.Bool().Draw(t, "versions") {
			p = &fakeVersions{version: 1, serving: true, startVersion: 1}
			h.core.Versions = p
		}
		type submitted struct {
			*testClient
			handle    Handle
			gone      bool
			grantedAt time.Time
			granted   bool
		}
		var all []*submitted
		started, ended := map[*Attempt]bool{}, map[*Attempt]bool{}
		start := func() {
			for _, a := range h.sent {
				if !ended[a] && a.MayStart() {
					started[a] = true
				}
			}
		}
		step := func() {
			if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
				h.core.Step()
			}
			for i, o := range all {
				if i < len(h.quotas.calls) && o.granted && h.quotas.calls[i].released == 0 && h.now.Sub(o.grantedAt) > maxHold {
					t.Fatalf("request %d holds its quota for %v", i, h.now.Sub(o.grantedAt))
				}
			}
			start()
		}
		pick := func() *submitted { return all[rapid.IntRange(0, len(all)-1).Draw(t, "req")] }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 8).Draw(t, "what"); {
			case what <= 1 || len(all) == 0:
				if p != nil && !p.serving {
					continue
				}
				h.quotas.grantAtOnce = rapid.IntRange(0, 3).Draw(t, "at once") == 0
				o := &submitted{testClient: &testClient{}, granted: h.quotas.grantAtOnce, grantedAt: h.now}
				left := time.Duration(rapid.IntRange(0, 4000).Draw(t, "left")) * time.Millisecond
				o.handle, _ = h.core.Submit(balance.Request{Slots: 1}, &Job{ID: fmt.Sprint(len(all))}, h.now, left, o)
				all = append(all, o)
				h.core.Step() // so that requests ask for quota in the order of all
			case what <= 4:
				i := rapid.IntRange(0, len(all)-1).Draw(t, "ask")
				ok := rapid.IntRange(0, 3).Draw(t, "ok") > 0
				if ok && !all[i].granted && h.quotas.calls[i].released == 0 {
					all[i].granted, all[i].grantedAt = true, h.now
				}
				h.quotas.calls[i].ready(h.now, time.Second, ok)
			case what == 5:
				o := pick()
				if !o.gone {
					o.gone = true
					o.handle.Abandon(rapid.Bool().Draw(t, "stop"), func() { o.overCalls++ })
				}
			case what == 6 && len(h.sent) > 0:
				a := h.sent[rapid.IntRange(0, len(h.sent)-1).Draw(t, "attempt")]
				e := rapid.SampledFrom([]Ending{Served, Failed, Rejected, Returned, Unreached, Lost, Broken, Unsent}).Draw(t, "ending")
				ended[a] = true
				a.Ended(e, "r", nil)
			case what == 7 && p != nil:
				if p.serving = !p.serving; p.serving {
					p.version++
					p.startVersion = p.version
				} else {
					p.startVersion = 0
				}
			default:
				d := time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
				h.core.Step()
				h.pass(d)
			}
			step()
		}
		h.core.Step()
		h.pass(10 * time.Second)
		h.assertReleased(t, "at the end")
		if p != nil && p.waiting != 0 {
			t.Fatalf("%d requests still wait for their version", p.waiting)
		}
		for i, o := range all {
			if len(o.answers) > 1 || len(o.answers) == 0 && !o.gone {
				t.Fatalf("request %d has %d answers (client gone: %v)", i, len(o.answers), o.gone)
			}
			if o.gone && o.overCalls != 1 {
				t.Fatalf("over was called %[2]d times for request %[1]d", i, o.overCalls)
			}
		}
		for a := range started {
			i := slices.IndexFunc(all, func(o *submitted) bool { return o.handle.req == a.req })
			if !all[i].granted {
				t.Fatalf("an attempt of request %d started without quota", i)
			}
		}
	})
}

// testClient is a client that records its own answers.
type testClient struct {
	answers   []Answer
	overCalls int
}

func (g *testClient) Answer(a Answer) { g.answers = append(g.answers, a) }
