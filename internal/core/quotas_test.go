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
type asked struct {
	tenant, class int
	until         time.Time
	ready         func(time.Time, time.Duration, bool)
	left          int // number of calls of release
}

type rooms struct {
	asked []*asked
	most  time.Duration
	now   bool // ready is called before Acquire returns
	clock func() time.Time
}

func (q *rooms) Acquire(tenant, class int, until time.Time, ready func(time.Time, time.Duration, bool)) func() {
	a := &asked{tenant: tenant, class: class, until: until, ready: ready}
	q.asked = append(q.asked, a)
	if q.now {
		ready(q.clock(), 0, true)
	}
	return func() { a.left++ }
}
func (q *rooms) MaxHold() time.Duration { return q.most }

// quotaFixture is a core with quotas, two backends and the real module, on a manual clock.
type hall struct {
	*bench
	now    time.Time
	quotas *rooms
}

func newHall(t require.TestingT, set func(*balance.Settings)) *hall {
	h := &hall{bench: &bench{}, now: time.Unix(1e9, 0), quotas: &rooms{}}
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

func (h *hall) take(id string, left time.Duration) Handle {
	t, _ := h.core.Submit(balance.Request{Slots: 1}, &Job{ID: id}, h.now, left, h)
	h.core.Step()
	return t
}

// pass advances the clock, stopping at each timer.
func (h *hall) pass(d time.Duration) {
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

func (h *hall) verdicts() []AnswerKind {
	var out []AnswerKind
	for _, a := range h.answers {
		out = append(out, a.Kind)
	}
	return out
}

// assertReleased asserts that no request is left and that each released its quota once.
func (h *hall) over(t require.TestingT, name string) {
	assert.Zero(t, h.core.OpenReqs(), name)
	assert.Empty(t, h.core.reqs, name)
	for _, a := range h.quotas.asked {
		assert.Equal(t, 1, a.left, "%s: quota releases", name)
	}
}

// The module sees a request only once its quota is granted, whether the grant comes before or after Acquire returns.
func TestWaitsForRoom(t *testing.T) {
	h := newHall(t, nil)
	h.take("a", 2*time.Second)
	require.Len(t, h.quotas.asked, 1)
	assert.Equal(t, h.now.Add(2*time.Second-roomLeft), h.quotas.asked[0].until)
	assert.Empty(t, h.sent)
	assert.Equal(t, 1, h.core.OpenReqs())
	h.pass(time.Second)
	assert.Empty(t, h.sent)
	h.quotas.asked[0].ready(h.now, 0, true)
	h.core.Step()
	require.Len(t, h.sent, 1)
	assert.True(t, h.sent[0].MayBegin())
	assert.Zero(t, h.quotas.asked[0].left)
	h.quotas.asked[0].ready(h.now, 0, true)
	h.core.Step()
	assert.Len(t, h.sent, 1, "decided twice")
	h.sent[0].Ended(Served, "r", nil)
	h.core.Step()
	assert.Equal(t, []AnswerKind{Result}, h.verdicts())
	h.over(t, "")

	h.quotas.now = true // before Acquire returns
	h.take("b", 2*time.Second)
	require.Len(t, h.sent, 2)
	h.sent[1].Ended(Served, "r", nil)
	h.core.Step()
	assert.Equal(t, []AnswerKind{Result, Result}, h.verdicts())
	h.over(t, "at once")
}

// A request that gets no quota is refused with a suggested delay before its deadline, whether Quotas decides in time or not,
// and releases its place once.
func TestNoRoom(t *testing.T) {
	for name, c := range map[string]struct {
		do    func(*hall)
		pause time.Duration
	}{
		"decided": {func(h *hall) { h.quotas.asked[0].ready(h.now, 70*time.Millisecond, false) }, 70 * time.Millisecond},
		"decided just in time": {func(h *hall) {
			h.pass(2*time.Second - roomLeft)
			h.quotas.asked[0].ready(h.now, 70*time.Millisecond, false)
		}, 70 * time.Millisecond},
		"never decided":    {func(h *hall) { h.pass(2*time.Second - roomLeft/2) }, roomPause},
		"decided too late": {func(h *hall) { h.pass(2*time.Second - roomLeft/2); h.quotas.asked[0].ready(h.now, 0, true) }, roomPause},
		"decided twice": {func(h *hall) {
			h.quotas.asked[0].ready(h.now, 70*time.Millisecond, false)
			h.quotas.asked[0].ready(h.now, 0, true)
		}, 70 * time.Millisecond},
	} {
		h := newHall(t, nil)
		ticket := h.take("a", 2*time.Second)
		c.do(h)
		h.core.Step()
		assert.False(t, ticket.r.arrived, "%s: the module must not know of it", name)
		assert.Equal(t, []Answer{{Kind: Refusal, RetryAfter: c.pause, JobReleased: true}}, h.answers, name)
		h.over(t, name)
		h.pass(time.Minute)
		assert.Len(t, h.answers, 1, name)
		assert.Empty(t, h.sent, name)
		h.over(t, name)
	}
}

// A client that leaves gives up its place in the queue and no attempt begins, in any order of the events.
func TestGoneWhileItWaits(t *testing.T) {
	for name, do := range map[string]func(*hall, func(*hall) Handle) Handle{
		"gone": func(h *hall, take func(*hall) Handle) Handle {
			ticket := take(h)
			ticket.Abandon(true, nil)
			return ticket
		},
		"gone, then granted": func(h *hall, take func(*hall) Handle) Handle {
			ticket := take(h)
			ticket.Abandon(false, nil)
			h.quotas.asked[0].ready(h.now, 0, true)
			return ticket
		},
		"gone and handled, then granted": func(h *hall, take func(*hall) Handle) Handle {
			ticket := take(h)
			ticket.Abandon(false, nil)
			h.core.Step()
			h.quotas.asked[0].ready(h.now, 0, true)
			return ticket
		},
		"granted, then gone before the core handled either": func(h *hall, take func(*hall) Handle) Handle {
			ticket := take(h)
			h.quotas.asked[0].ready(h.now, 0, true)
			ticket.Abandon(false, nil)
			return ticket
		},
		"refused, then gone before the core handled either": func(h *hall, take func(*hall) Handle) Handle {
			ticket := take(h)
			h.quotas.asked[0].ready(h.now, 0, false)
			ticket.Abandon(false, nil)
			return ticket
		},
		"gone before it asked for quota": func(h *hall, _ func(*hall) Handle) Handle {
			ticket, _ := h.core.Submit(balance.Request{Slots: 1}, &Job{ID: "a"}, h.now, time.Second, h)
			ticket.Abandon(false, nil)
			h.core.Step()
			assert.Empty(t, h.quotas.asked, "it must not ask")
			return ticket
		},
	} {
		h := newHall(t, nil)
		ticket := do(h, func(h *hall) Handle { return h.take("a", time.Second) })
		h.core.Step()
		assert.False(t, ticket.r.arrived, "%s: the module must not know of it", name)
		h.over(t, name)
		h.pass(time.Minute)
		assert.Empty(t, h.sent, name)
		assert.LessOrEqual(t, len(h.answers), 1, name)
		for _, a := range h.answers {
			assert.Equal(t, Refusal, a.Kind, name)
		}
		h.over(t, name)
	}
	h := newHall(t, nil)
	freed := 0
	ticket := h.take("a", time.Second)
	ticket.Abandon(false, func() { freed++; assert.Equal(t, 1, h.quotas.asked[0].left) })
	h.core.Step()
	assert.Equal(t, 1, freed, "the over callback runs once")
}

// An attempt that is outstanding when its client leaves keeps its quota until the attempt ends.
func TestGoneWithRoom(t *testing.T) {
	h := newHall(t, nil)
	ticket := h.take("a", time.Second)
	h.quotas.asked[0].ready(h.now, 0, true)
	h.core.Step()
	require.Len(t, h.sent, 1)
	ticket.Abandon(false, nil)
	h.core.Step()
	assert.Zero(t, h.quotas.asked[0].left, "the attempt is outstanding")
	h.sent[0].Ended(Served, "r", nil)
	h.core.Step()
	assert.Empty(t, h.answers)
	h.over(t, "")
}

// Quota is released at the latest MaxHold after the grant by the core's clock, whatever deadline a client sets, whatever
// backends do, and even if the policy forgets the request. After that no attempt may begin.
func TestMostOfRoom(t *testing.T) {
	const most = 3 * time.Second
	for name, c := range map[string]struct {
		left   time.Duration
		wait   time.Duration // before the grant
		stall  time.Duration // from the grant until the core handles it
		do     func(*hall, Handle)
		module bool // the real module, or else a policy that never answers or ends anything
	}{
		"a backend that never answers":        {24 * 24 * time.Hour, 0, 0, func(*hall, Handle) {}, true},
		"after a long wait":                   {24 * 24 * time.Hour, time.Hour, 0, func(*hall, Handle) {}, true},
		"grant handled late":                  {24 * 24 * time.Hour, 0, 2 * time.Second, func(*hall, Handle) {}, true},
		"client gone, attempt outstanding":    {24 * 24 * time.Hour, 0, 0, func(_ *hall, t Handle) { t.Abandon(false, nil) }, true},
		"policy forgets the request":          {24 * 24 * time.Hour, 0, 0, func(*hall, Handle) {}, false},
		"policy forgets, attempt outstanding": {24 * 24 * time.Hour, 0, 0, func(h *hall, _ Handle) { actions{h.core}.Dispatch(1, 1, 0) }, false},
		"deadline before the limit":           {time.Second, 0, 0, func(*hall, Handle) {}, true},
		"attempt broken, another sent":        {24 * 24 * time.Hour, 0, 0, func(h *hall, _ Handle) { h.sent[0].Ended(Broken, "", nil) }, true},
	} {
		h := newHall(t, nil)
		h.quotas.most = most
		if !c.module {
			h.core.mod = mute{}
		}
		ticket := h.take("a", c.left)
		h.pass(c.wait)
		got := h.now
		h.quotas.asked[0].ready(h.now, 0, true)
		h.now = h.now.Add(c.stall)
		h.core.Step()
		if c.module {
			require.Len(t, h.sent, 1, name)
		}
		c.do(h, ticket)
		h.core.Step()
		for h.quotas.asked[0].left == 0 && h.now.Before(got.Add(time.Hour)) {
			h.pass(time.Millisecond)
		}
		assert.LessOrEqual(t, h.now.Sub(got), most, name)
		if c.left > most {
			assert.GreaterOrEqual(t, h.now.Sub(got), most-10*time.Millisecond, "%s: held until shortly before the limit", name)
		}
		for _, a := range h.sent {
			assert.False(t, a.Deadline.After(got.Add(most)), name)
			assert.False(t, a.MayBegin(), name)
		}
		h.pass(time.Minute)
		h.over(t, name)
	}
	h := newHall(t, nil)
	h.take("a", time.Hour)
	h.quotas.asked[0].ready(h.now, 0, true)
	h.pass(time.Hour - time.Second)
	assert.Zero(t, h.quotas.asked[0].left, "no limit")
}

// A process can be stopped between the grant and the core's handling of it. If it resumes after the maximum hold time, it
// must begin nothing.
func TestStoppedWithRoom(t *testing.T) {
	h := newHall(t, nil)
	h.quotas.most = 3 * time.Second
	h.take("a", time.Hour)
	h.quotas.asked[0].ready(h.now, 0, true)
	h.now = h.now.Add(10 * time.Second)
	h.core.Step()
	for _, a := range h.sent {
		assert.False(t, a.MayBegin())
	}
	h.pass(10 * time.Millisecond)
	assert.Len(t, h.answers, 1)
	h.over(t, "")

	h = newHall(t, nil) // stopped after the grant was handled, before the first byte
	h.quotas.most = 3 * time.Second
	h.take("a", time.Hour)
	h.quotas.asked[0].ready(h.now, 0, true)
	h.core.Step()
	require.Len(t, h.sent, 1)
	require.True(t, h.sent[0].MayBegin())
	h.now = h.now.Add(10 * time.Second)
	assert.False(t, h.sent[0].MayBegin())
}

// A request queued for quota counts as waiting for its policy version, and is refused once the version is no longer in force.
func TestRoomAndVersions(t *testing.T) {
	h := newHall(t, nil)
	p := &policy{version: 7, open: true, starts: 7}
	h.core.Versions = p
	h.take("a", 2*time.Second)
	h.take("b", 2*time.Second)
	assert.Equal(t, 2, p.waiting)
	h.quotas.asked[0].ready(h.now, 0, true)
	h.core.Step()
	require.Len(t, h.sent, 1)
	assert.EqualValues(t, 7, h.sent[0].Version())
	assert.True(t, h.sent[0].MayBegin())
	assert.Equal(t, 1, p.waiting, "one began, one is queued")

	h.pass(time.Second)
	assert.Empty(t, h.answers)
	p.open, p.starts = false, 0 // the version is no longer in force
	h.pass(versionLook)
	assert.Equal(t, []Answer{{Kind: Refusal, RetryAfter: outlivedPause, JobReleased: true}}, h.answers)
	assert.Zero(t, p.waiting)
	assert.Equal(t, 1, h.quotas.asked[1].left)
	assert.Zero(t, h.quotas.asked[0].left, "the running request continues")
	h.sent[0].Ended(Served, "r", nil)
	h.core.Step()
	assert.Len(t, h.answers, 2)
	h.over(t, "version ended while queued")

	p.open, p.starts = true, 7
	c := h.take("c", 2*time.Second)
	p.open, p.starts = false, 0
	h.quotas.asked[2].ready(h.now, 0, true) // before the core checks versions
	h.core.Step()
	assert.Len(t, h.sent, 1)
	require.Len(t, h.answers, 3)
	assert.Equal(t, Answer{Kind: Refusal, RetryAfter: outlivedPause, JobReleased: true}, h.answers[2])
	assert.False(t, c.r.arrived)
	h.over(t, "version ended, then granted")

	p.open, p.starts = true, 7
	h.take("d", 2*time.Second).Abandon(false, nil)
	h.core.Step()
	h.take("e", 2*time.Second)
	h.quotas.asked[4].ready(h.now, 0, false)
	h.core.Step()
	assert.Zero(t, p.waiting)
	h.pass(2 * versionLook)
	assert.Empty(t, h.core.waiting, "queued requests are forgotten")
	p.open = false
	h.take("f", time.Second)
	assert.Len(t, h.quotas.asked, 5, "a core that admits nothing asks for no quota")
	h.over(t, "")
	assert.Equal(t, 0, p.waiting)
}

// A request whose ID is in use is not accepted and asks for no quota.
func TestRepeatedAsksForNoRoom(t *testing.T) {
	h := newHall(t, nil)
	h.take("a", time.Second)
	h.take("a", time.Second)
	assert.Len(t, h.quotas.asked, 1)
}

// In any order of grants, refusals of quota, answers, clients leaving, time passing and versions ending: each accepted
// request gets one answer unless its client left, releases its quota once, holds it no longer than MaxHold, and begins only
// with quota.
func TestOneAnswerOneLeave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 1500 * time.Millisecond
		h := newHall(t, func(s *balance.Settings) { s.MayCancel = rapid.Bool().Draw(t, "may cancel") })
		h.quotas.most = most
		var p *policy
		if rapid.Bool().Draw(t, "versions") {
			p = &policy{version: 1, open: true, starts: 1}
			h.core.Versions = p
		}
		type one struct {
			*guest
			ticket Handle
			gone   bool
			got    time.Time
			room   bool
		}
		var all []*one
		begins, ended := map[*Attempt]bool{}, map[*Attempt]bool{}
		begin := func() {
			for _, a := range h.sent {
				if !ended[a] && a.MayBegin() {
					begins[a] = true
				}
			}
		}
		step := func() {
			if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
				h.core.Step()
			}
			for i, o := range all {
				if i < len(h.quotas.asked) && o.room && h.quotas.asked[i].left == 0 && h.now.Sub(o.got) > most {
					t.Fatalf("request %d holds its quota for %v", i, h.now.Sub(o.got))
				}
			}
			begin()
		}
		pick := func() *one { return all[rapid.IntRange(0, len(all)-1).Draw(t, "req")] }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 8).Draw(t, "what"); {
			case what <= 1 || len(all) == 0:
				if p != nil && !p.open {
					continue
				}
				h.quotas.now = rapid.IntRange(0, 3).Draw(t, "at once") == 0
				o := &one{guest: &guest{}, room: h.quotas.now, got: h.now}
				left := time.Duration(rapid.IntRange(0, 4000).Draw(t, "left")) * time.Millisecond
				o.ticket, _ = h.core.Submit(balance.Request{Slots: 1}, &Job{ID: fmt.Sprint(len(all))}, h.now, left, o)
				all = append(all, o)
				h.core.Step() // so that requests ask for quota in the order of all
			case what <= 4:
				i := rapid.IntRange(0, len(all)-1).Draw(t, "ask")
				ok := rapid.IntRange(0, 3).Draw(t, "ok") > 0
				if ok && !all[i].room && h.quotas.asked[i].left == 0 {
					all[i].room, all[i].got = true, h.now
				}
				h.quotas.asked[i].ready(h.now, time.Second, ok)
			case what == 5:
				o := pick()
				if !o.gone {
					o.gone = true
					o.ticket.Abandon(rapid.Bool().Draw(t, "stop"), func() { o.over++ })
				}
			case what == 6 && len(h.sent) > 0:
				a := h.sent[rapid.IntRange(0, len(h.sent)-1).Draw(t, "attempt")]
				e := rapid.SampledFrom([]Ending{Served, Failed, Rejected, Returned, Unreached, Lost, Broken, Unsent}).Draw(t, "ending")
				ended[a] = true
				a.Ended(e, "r", nil)
			case what == 7 && p != nil:
				if p.open = !p.open; p.open {
					p.version++
					p.starts = p.version
				} else {
					p.starts = 0
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
		h.over(t, "at the end")
		if p != nil && p.waiting != 0 {
			t.Fatalf("%d requests still wait for their version", p.waiting)
		}
		for i, o := range all {
			if len(o.answers) > 1 || len(o.answers) == 0 && !o.gone {
				t.Fatalf("request %d has %d answers (client gone: %v)", i, len(o.answers), o.gone)
			}
			if o.gone && o.over != 1 {
				t.Fatalf("over was called %[2]d times for request %[1]d", i, o.over)
			}
		}
		for a := range begins {
			i := slices.IndexFunc(all, func(o *one) bool { return o.ticket.r == a.req })
			if !all[i].room {
				t.Fatalf("an attempt of request %d began without quota", i)
			}
		}
	})
}

// testClient is a client that records its own answers.
type guest struct {
	answers []Answer
	over    int
}

func (g *guest) Answer(a Answer) { g.answers = append(g.answers, a) }
