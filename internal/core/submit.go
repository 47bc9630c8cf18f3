package core

import (
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/guard"
)

// Handle refers to a submitted request.
type Handle struct {
	core *Core
	req  *req
}

// Submit accepts a request: one final answer is due from now on. arrived is the earliest known time of its arrival, and
// timeLeft is how long its client waits from then. If another request has the same ID, Submit returns false and no answer
// is due, because backends would confuse the two. It waits while more requests come than the core handles.
func (c *Core) Submit(q balance.Request, job *Job, arrived time.Time, timeLeft time.Duration, client Client) (Handle, bool) {
	r := &req{correlationID: job.ID, idKey: keyOf(job.ID), client: client, job: job, open: true}
	if q.Class >= 0 && q.Class < len(c.classes) { // the module fails a request of any other class
		class := &c.classes[q.Class]
		r.effect, r.repeatWindow, r.dedupScope = class.Effect, class.RepeatWindow, class.Scope
	}
	if c.Versions != nil && !c.admit(r) {
		return Handle{c, r}, true
	}
	if !c.ids.claim(r.idKey, c.clock.read()) {
		c.count.ReqsRepeated.Add(1)
		if c.Versions != nil {
			c.reportStart(r)
		}
		return Handle{}, false
	}
	r.deadline = c.clock.millis(arrived.Add(timeLeft))
	c.openCount.Add(1)
	c.trace(arrived, r, guard.RequestAccepted, nil)
	queued := c.submitted.enter()
	c.post(func() {
		if queued {
			c.submitted.leave()
		}
		c.lastID++
		r.id, q.ID = c.lastID, c.lastID
		c.reqs[r.id] = r
		if c.Quotas != nil {
			c.awaitQuota(r, q)
			return
		}
		c.arrive(r, q)
	})
	return Handle{c, r}, true
}

// arrive hands a request to the module.
func (c *Core) arrive(r *req, q balance.Request) {
	r.inModule, q.Deadline = true, r.deadline
	// The module is expected to answer by the deadline. If it doesn't, the core fails the request so that the client isn't
	// left without an answer.
	r.timer = c.timers.add(r.deadline+c.answerSlack, func() {
		if r.open {
			c.count.Overlooked.Add(1)
			c.answer(r, Answer{Kind: Failure})
			c.module.Abandoned(c.clock.now(), r.id)
			c.forget(r)
		}
	})
	c.module.Arrive(c.clock.now(), q)
}

// Abandon says that the client of a request is gone and can no longer get an answer. No further attempt starts once it
// returns. With stop, outstanding attempts are cancelled where the settings allow it; otherwise they run on. over, if not
// nil, is called once no attempt is outstanding, on the core's goroutine; it must not block.
func (h Handle) Abandon(stop bool, over func()) {
	h.req.closed.Store(true)
	if h.req.clientGoneAt.CompareAndSwap(0, h.core.clock.toStamp(h.core.clock.read())) {
		h.core.trace(h.core.clock.read(), h.req, guard.ClientGone, nil)
	}
	h.core.post(func() {
		c, r := h.core, h.req
		r.onDone = over
		if r.open {
			c.close(r)
			if r.queued = false; r.inModule {
				c.module.Abandoned(c.clock.now(), r.id)
			}
			for i := 0; stop && c.mayCancel && i < len(r.attempts); i++ {
				c.stopAttempt(r.attempts[i], Withdrawn)
			}
		}
		c.forget(r)
	})
}
