package core

import (
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tinsail/internal/balance"
)

// recordingClient stands for a session, which has a buffer of its own.
type recordingClient struct{ answers []Answer }

func (c *recordingClient) Answer(a Answer) { c.answers = append(c.answers, a) }

// submittedMemory is what a submitted request may hold, seen by references that keep none of it.
type submittedMemory struct {
	body   weak.Pointer[byte]
	client weak.Pointer[recordingClient]
}

// submitLong submits a request with a long body and keeps neither the body nor the client.
func submitLong(c *Core, id string, now time.Time, timeLeft time.Duration) (submittedMemory, Handle) {
	body, client := make([]byte, 64_000), &recordingClient{}
	handle, _ := c.Submit(balance.Request{Slots: 1}, &Job{ID: id, Body: body}, now, timeLeft, client)
	c.Step()
	return submittedMemory{weak.Make(&body[0]), weak.Make(client)}, handle
}

// assertCollected checks that nothing holds the request's body or its client, while the core and its surroundings live on.
func (m submittedMemory) assertCollected(t *testing.T, living ...any) {
	t.Helper()
	runtime.GC()
	assert.Nil(t, m.body.Value(), "the body is still held")
	assert.Nil(t, m.client.Value(), "the client is still held")
	runtime.KeepAlive(living)
}

// Guards against bodies that live until their request's deadline however early it was answered (2026-12-04-held-bodies).
// Backends and quotas keep what the core gives them, as a pool does with attempts that run on.
func TestAnsweredRequestHoldsNoBody(t *testing.T) {
	t.Run("answered", func(t *testing.T) {
		b := newFixture(t, balance.Ready)
		m, _ := submitLong(b.core, "a", time.Now(), time.Minute)
		b.sent[0].Ended(Served, "r", nil)
		b.core.step()
		m.assertCollected(t, b)
	})
	t.Run("answered while another attempt runs on", func(t *testing.T) {
		w := newClockFixture(t, balance.Class{Effect: balance.Safe})
		m, _ := submitLong(w.core, "b", w.now, time.Minute)
		for range 2 {
			actions{w.core}.Dispatch(2, 1, 0)
		}
		w.sent[1].Ended(Served, "r", nil)
		w.core.step()
		assert.Equal(t, 2, w.core.reqs[2].outstanding+1, "one attempt must still be outstanding")
		m.assertCollected(t, w)
	})
	t.Run("client gone while its attempt runs on", func(t *testing.T) {
		w := newClockFixture(t, balance.Class{Effect: balance.Safe})
		m, handle := submitLong(w.core, "b", w.now, time.Minute)
		actions{w.core}.Dispatch(2, 1, 0)
		handle.Abandon(false, nil)
		w.core.step()
		assert.Equal(t, 1, w.core.reqs[2].outstanding)
		m.assertCollected(t, w, handle) // a front may keep the handle until the attempt has ended
	})
	t.Run("refused without an attempt", func(t *testing.T) {
		b := newFixture(t)
		m, _ := submitLong(b.core, "a", time.Now(), 100*time.Millisecond)
		b.after(200 * time.Millisecond)
		m.assertCollected(t, b)
	})
	for name, do := range map[string]func(*quotaFixture, Handle){
		"quota granted, answered":            func(h *quotaFixture, _ Handle) { h.quotas.calls[0].ready(h.now, 0, true) },
		"quota refused":                      func(h *quotaFixture, _ Handle) { h.quotas.calls[0].ready(time.Time{}, time.Second, false) },
		"quota not decided in time":          func(h *quotaFixture, _ Handle) { h.pass(time.Minute) },
		"client gone while queued for quota": func(_ *quotaFixture, a Handle) { a.Abandon(false, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newQuotaFixture(t, nil)
			m, handle := submitLong(h.core, "a", h.now, 50*time.Second)
			do(h, handle)
			h.core.Step()
			for _, a := range h.sent {
				a.Ended(Served, "r", nil)
			}
			h.core.Step()
			m.assertCollected(t, h, handle)
		})
	}
}

// Once a request is answered and its attempts have ended, no timer of it is left.
func TestTimersEndWithTheirRequest(t *testing.T) {
	w := newClockFixture(t, balance.Class{Effect: balance.Safe})
	require.Len(t, w.core.timers.list, 2, "one of the request and one of its attempt")
	w.sent[0].Ended(Served, "r", nil)
	w.core.step()
	assert.Empty(t, w.core.timers.list)
}

// Timers run by time and, at the same time, in the order in which they were added; cancelled ones never run.
func TestTimersAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type expected struct {
			at     float64
			number int
		}
		var pending timers
		var model []expected
		var ran []int
		handles := map[int]*timer{}
		now := 0.0
		runDue := func() {
			for do := pending.popDue(now); do != nil; do = pending.popDue(now) {
				do()
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.SampledFrom([]string{"add", "add", "cancel", "pass"}).Draw(r, "step") {
			case "add":
				at := now + float64(rapid.IntRange(0, 5).Draw(r, "in"))
				handles[step] = pending.add(at, func() { ran = append(ran, step) })
				model = append(model, expected{at, step})
			case "cancel":
				number := rapid.IntRange(0, step).Draw(r, "which")
				pending.cancel(handles[number])
				for i := range model {
					if model[i].number == number {
						model = append(model[:i], model[i+1:]...)
						break
					}
				}
			case "pass":
				now += float64(rapid.IntRange(0, 3).Draw(r, "ms"))
				runDue()
				var want []int
				for more := true; more; {
					next := -1
					for i, e := range model {
						if e.at <= now && (next < 0 || e.at < model[next].at) {
							next = i
						}
					}
					if more = next >= 0; more {
						want = append(want, model[next].number)
						model = append(model[:next], model[next+1:]...)
					}
				}
				require.Equal(r, want, ran)
				ran = nil
			}
			require.Len(r, pending.list, len(model))
		}
	})
}
