package core

import "time"

// Versions says by which version of the fleet's policy reqs are taken, where dispatchers agree on one
// (docs/design/accord.md). Its methods are called from many goroutines and must not block.
type Versions interface {
	// Take admits a req by the version in force. Where ok, the req counts as waiting until Begun is
	// told; else pause is advice to its client.
	Take() (version uint64, pause time.Duration, ok bool)
	// Begun tells, once for each req that was admitted, that it has begun at a backend or never will.
	Begun(version uint64)
	// MayStart says whether an attempt of a req that was taken by a version may start now.
	MayStart(version uint64) bool
	// Serves says whether reqs are taken now.
	Serves() bool
}

// Serves says whether reqs are taken now, as far as the fleet's policy goes.
func (c *Core) Serves() bool { return c.Versions == nil || c.Versions.Serves() }

// admit stamps a req with the version that it is taken by. Where none is known to hold it answers the
// req at once: nothing of it was begun, so that another dispatcher may have it.
func (c *Core) admit(r *req) bool {
	version, pause, ok := c.Versions.Take()
	if ok {
		r.version = version
		return true
	}
	r.open = false
	c.post(func() {
		c.count.AnswersRefused.Add(1)
		r.client.Answer(Answer{Verdict: Refusal, Pause: pause, Free: true})
	})
	return false
}

// mayStart is the last gate of an attempt, as far as the fleet's policy goes.
func (c *Core) mayStart(r *req) bool {
	if !c.Versions.MayStart(r.version) {
		return false
	}
	c.begun(r)
	return true
}

func (c *Core) begun(r *req) {
	if !r.began.Swap(true) {
		c.Versions.Begun(r.version)
	}
}

// outlived answers a req whose version is over and of which nothing is out: no attempt of it will
// ever start. One that has run nowhere, sent or not, may go to another dispatcher.
func (c *Core) outlived(r *req) {
	if !r.open || r.out > 0 || c.Versions.MayStart(r.version) {
		return
	}
	for _, a := range r.attempts {
		if !a.never.Load() { // sending it again may run it twice
			c.answer(r, Answer{Verdict: Failure})
			return
		}
	}
	c.answer(r, Answer{Verdict: Refusal, Pause: outlivedPause})
}

// outlivedPause is the advice to the client of a req that its version did not outlive.
const outlivedPause = 500 * time.Millisecond
