package core

import (
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/guard"
)

// actions performs the module's actions. The module calls it while it handles an event, so it must not call back into the
// module: an action that fails immediately posts an event instead.
type actions struct{ c *Core }

func (x actions) Dispatch(id balance.RequestID, to balance.WorkerID, within balance.Millis) {
	c, r := x.c, x.c.reqs[id]
	if r == nil {
		return
	}
	now := c.clock.now()
	until := r.deadline
	if within != 0 {
		until = min(until, now+within)
	}
	reason := c.retryReason(r)
	a := &Attempt{Backend: c.listed[to], core: c, req: r, previous: r.latest.Load(), number: len(r.attempts), sentAt: now,
		Deadline: c.clock.fromMillis(until)}
	r.attempts = append(r.attempts, a)
	r.latest.Store(a)
	r.outstanding++
	if a.Backend == nil || r.closed.Load() || until <= now || // attempts go to listed backends only
		c.Versions != nil && !c.Versions.MayStart(r.policyVersion) {
		if a.Backend == nil {
			a.Backend = &Backend{ID: to}
		}
		a.Ended(Unsent, "", nil)
		return
	}
	c.count.Attempts.Add(1)
	if reason != nil {
		c.trace(c.clock.fromMillis(now), r, guard.AttemptSent, reason)
	}
	a.stop = c.backends.Send(a, r.job)
	a.timer = c.timers.add(until, func() { c.stopAttempt(a, Overdue) })
}

func (x actions) Refuse(id balance.RequestID, retryAfter balance.Millis) {
	x.end(id, Answer{Kind: Refusal, RetryAfter: time.Duration(retryAfter * float64(time.Millisecond))})
}

func (x actions) Fail(id balance.RequestID) { x.end(id, Answer{Kind: Failure}) }

func (x actions) end(id balance.RequestID, a Answer) {
	if r := x.c.reqs[id]; r != nil {
		x.c.answer(r, a)
		x.c.forget(r)
	}
}

func (x actions) Cancel(id balance.RequestID, attempt int) {
	if r := x.c.reqs[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		a := r.attempts[attempt]
		x.c.post(func() { x.c.stopAttempt(a, Withdrawn) })
	}
}

func (x actions) Probe(to balance.WorkerID) {
	c, b, sent := x.c, x.c.listed[to], x.c.clock.now()
	done := func(e Ending, report []float32) {
		c.post(func() {
			res, _ := e.Result()
			now := c.clock.now()
			c.module.Probed(now, balance.ProbeResult{Worker: to, Result: res, Took: now - sent, Report: report})
		})
	}
	if b == nil {
		done(Unsent, nil)
		return
	}
	c.count.Probes.Add(1)
	c.backends.Probe(b, done)
}

func (x actions) CloseIdle(to balance.WorkerID) {
	if b := x.c.listed[to]; b != nil {
		x.c.backends.CloseIdle(b)
	}
}

func (x actions) Wake(in balance.Millis, token uint64) {
	c := x.c
	c.timers.add(c.clock.now()+in, func() { c.module.Wake(c.clock.now(), token) })
}

func (x actions) Subscribe()      { x.c.director.Subscribe() }
func (x actions) Log(line string) { x.c.Log.Info().Str("line", line).Msg("module") }
