package core

import (
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/guard"
)

// Ticket stands for a req that was taken.
type Ticket struct {
	core *Core
	r    *req
}

// Take takes a req on: one final answer is owed from now on. came is the earliest time
// known at which it was there, left how long its client waits from then. It is not taken, and
// nothing is owed, if its id is that of another: backends would take one for the other.
func (c *Core) Take(q balance.Request, job *Job, came time.Time, left time.Duration, client Client) (Ticket, bool) {
	r := &req{client: client, job: job, open: true}
	if q.Class >= 0 && q.Class < len(c.classes) { // the module fails others
		class := &c.classes[q.Class]
		r.effect, r.window, r.scope = class.Effect, class.RepeatWindow, class.Scope
	}
	if c.Versions != nil && !c.admit(r) {
		return Ticket{c, r}, true
	}
	if !c.ids.take(job.ID, c.clock.read()) {
		c.count.ReqsRepeated.Add(1)
		if c.Versions != nil {
			c.begun(r)
		}
		return Ticket{}, false
	}
	r.deadline = c.clock.millis(came.Add(left))
	c.open.Add(1)
	c.note(came, r, guard.RequestTaken, nil)
	c.post(func() {
		c.last++
		r.id, q.ID = c.last, c.last
		c.reqs[r.id] = r
		if c.Quotas != nil {
			c.queue(r, q)
			return
		}
		c.arrive(r, q)
	})
	return Ticket{c, r}, true
}

// arrive hands a req to the module.
func (c *Core) arrive(r *req, q balance.Request) {
	r.arrived, q.Deadline = true, r.deadline
	// The module answers for itself by the deadline. Should it not, the core fails the req
	// rather than leave a client without an answer.
	c.timers.set(r.deadline+c.slack, func() {
		if r.open {
			c.count.Overlooked.Add(1)
			c.answer(r, Answer{Verdict: Failure})
			c.mod.Abandoned(c.clock.now(), r.id)
			c.forget(r)
		}
	})
	c.mod.Arrive(c.clock.now(), q)
}

// Abandon tells that the client of a req has gone, and takes no answer any more. When it returns,
// no attempt begins that has not. With stop, what is out at backends is called off, where the
// settings allow that; else it runs on. over, if not nil, is called once nothing of the req is out
// any more, from the core's goroutine; it must not block.
func (t Ticket) Abandon(stop bool, over func()) {
	t.r.over.Store(true)
	if t.r.goneAt.CompareAndSwap(0, t.core.clock.stamp(t.core.clock.read())) {
		t.core.note(t.core.clock.read(), t.r, guard.ClientGone, nil)
	}
	t.core.post(func() {
		c, r := t.core, t.r
		r.gone = over
		if r.open {
			c.close(r)
			if r.waits = false; r.arrived {
				c.mod.Abandoned(c.clock.now(), r.id)
			}
			for i := 0; stop && c.mayCancel && i < len(r.attempts); i++ {
				c.cut(r.attempts[i], Withdrawn)
			}
		}
		c.forget(r)
	})
}
