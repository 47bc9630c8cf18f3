package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/guard"
)

// The run-time checks must detect a driver that starts attempts without asking MayStart, and a policy that refuses requests
// which may have run. Each violation counts under its own rule only, and correct behaviour counts under none.
func TestGuardDetectsViolations(t *testing.T) {
	const grace = 500 * time.Millisecond
	pass := func(w *clockFixture, d time.Duration) { w.now = w.now.Add(d) }
	start := func(w *clockFixture, i int) {
		w.sent[i].startedAt.Store(w.core.clock.toStamp(w.now))
		w.sent[i].Started(w.now, time.Second)
	}
	drain := func(w *clockFixture) {
		w.core.HandleList(balance.ListDelta, []Entry{{Worker: balance.Worker{ID: 1, State: balance.Draining, Weight: 4}}})
		w.core.step()
	}
	for name, c := range map[string]struct {
		effect balance.Effect
		do     func(*clockFixture)
		want   []guard.Rule
	}{
		"no violation":           {balance.Unsafe, func(w *clockFixture) { start(w, 0) }, nil},
		"draining, within grace": {balance.Safe, func(w *clockFixture) { drain(w); pass(w, grace); start(w, 0) }, nil},
		"draining, after grace":  {balance.Safe, func(w *clockFixture) { drain(w); pass(w, grace+1); start(w, 0) }, []guard.Rule{guard.StartedAfterDrain}},
		"draining, listed as draining again": {balance.Safe, func(w *clockFixture) {
			drain(w)
			pass(w, grace)
			drain(w)
			pass(w, 1)
			start(w, 0)
		}, []guard.Rule{guard.StartedAfterDrain}},
		"banned": {balance.Safe, func(w *clockFixture) {
			w.core.SetBanned(map[balance.WorkerID]struct{}{1: {}})
			pass(w, grace)
			w.core.SetBanned(map[balance.WorkerID]struct{}{1: {}, 2: {}}) // another backend is added; the first keeps the time of its ban
			pass(w, 1)
			start(w, 0)
		}, []guard.Rule{guard.StartedAfterDrain}},
		"client gone": {balance.Safe, func(w *clockFixture) {
			w.handle.Abandon(false, nil)
			pass(w, guard.ClientGoneGrace+1)
			start(w, 0)
		}, []guard.Rule{guard.StartedAfterClientGone}},
		"after the end": {balance.Safe, func(w *clockFixture) {
			w.core.Guard.MarkShutdown(w.now)
			pass(w, 1)
			start(w, 0)
		}, []guard.Rule{guard.StartedAfterShutdown}},
		"backend told too much time": {balance.Safe, func(w *clockFixture) {
			w.sent[0].Started(w.now, time.Minute+guard.TimeLeftSlack+1)
		}, []guard.Rule{guard.TimeLeftTooLong}},
		"started twice": {balance.Unsafe, func(w *clockFixture) {
			start(w, 0)
			w.dispatch()
			start(w, 1)
		}, []guard.Rule{guard.RepeatUnsafe}},
		"started again after it was returned": {balance.Unsafe, func(w *clockFixture) {
			start(w, 0)
			w.sent[0].Ended(Returned, "", nil)
			w.core.step()
			w.dispatch()
			start(w, 1)
		}, nil},
		"outside the window": {balance.Deduped, func(w *clockFixture) {
			start(w, 0)
			w.dispatch()
			pass(w, time.Second+1)
			start(w, 1)
		}, []guard.Rule{guard.RepeatOutsideWindow}},
		"refused though it may have run": {balance.Unsafe, func(w *clockFixture) {
			start(w, 0)
			actions{w.core}.Refuse(1, 0)
		}, []guard.Rule{guard.RefuseMayHaveRun}},
		"answered late": {balance.Unsafe, func(w *clockFixture) {
			pass(w, time.Minute+guard.LateSlack+1)
			actions{w.core}.Fail(1)
		}, []guard.Rule{guard.AnswerLate}},
		"answered twice": {balance.Unsafe, func(w *clockFixture) {
			r := w.core.reqs[1]
			w.core.answer(r, Answer{Kind: Failure})
			r.open = true // simulates corrupted state
			w.core.openCount.Add(1)
			w.core.answer(r, Answer{Kind: Failure})
		}, []guard.Rule{guard.AnswerTwice}},
	} {
		w := newClockFixture(t, balance.Class{Effect: c.effect, RepeatWindow: 1000})
		w.core.Guard, w.core.drainGrace = &guard.Recorder{}, grace
		c.do(w)
		var got []guard.Rule
		for _, rule := range guard.Rules() {
			for range w.core.Guard.Violations(rule) {
				got = append(got, rule)
			}
		}
		assert.Equal(t, c.want, got, name)
	}
}

// Each answer without a result, and each further attempt, is counted with its reason.
func TestRefusalReasons(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(*clockFixture)
		want string
	}{
		"no backend": {func(w *clockFixture) {
			w.core.HandleList(balance.ListFull, nil)
			w.core.step()
			actions{w.core}.Fail(1)
		}, "refuse_no_backend"},
		"out of time": {func(w *clockFixture) { w.now = w.now.Add(time.Minute); actions{w.core}.Fail(1) }, "refuse_out_of_time"},
		"attempts used up": {func(w *clockFixture) {
			for range 2 {
				w.sent[len(w.sent)-1].Ended(Returned, "", nil)
				w.core.step()
				w.dispatch()
			}
			w.sent[2].Ended(Returned, "", nil)
			w.core.step()
			actions{w.core}.Fail(1)
		}, "refuse_tries_spent"},
		"may have run": {func(w *clockFixture) { w.sent[0].MayStart(); actions{w.core}.Fail(1) }, "refuse_may_have_run"},
		"second copy":  {func(w *clockFixture) { w.dispatch() }, "again_second_copy"},
		"returned":     {func(w *clockFixture) { w.sent[0].Ended(Returned, "", nil); w.core.step(); w.dispatch() }, "again_returned"},
		"unreached":    {func(w *clockFixture) { w.sent[0].Ended(Unreached, "", nil); w.core.step(); w.dispatch() }, "again_unreached"},
		"unsent":       {func(w *clockFixture) { w.sent[0].Ended(Unsent, "", nil); w.core.step(); w.dispatch() }, "again_unsent"},
		"broken":       {func(w *clockFixture) { w.sent[0].Ended(Broken, "", nil); w.core.step(); w.dispatch() }, "again_failure"},
	} {
		w := newClockFixture(t, balance.Class{Effect: balance.Deduped, RepeatWindow: 1000})
		w.core.Guard = &guard.Recorder{}
		c.do(w)
		counts := map[string]int64{}
		w.core.Guard.Each(func(name string, n int64) { counts[name] = n })
		assert.Positive(t, counts[c.want], "%s: %v", name, counts)
	}
}
