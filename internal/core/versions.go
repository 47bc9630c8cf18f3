package core

import "time"

// Versions decides under which version of the fleet's policy requests are admitted, where dispatchers agree on one
// (docs/design/accord.md). Its methods are called from many goroutines and must not block.
type Versions interface {
	// Admit admits a request under the version in force. If ok, the request counts as waiting until Started is called;
	// otherwise retryAfter is the delay suggested to its client.
	Admit() (version uint64, retryAfter time.Duration, ok bool)
	// Started is called once for each admitted request, when it has started at a backend or never will.
	Started(version uint64)
	// MayStart reports whether an attempt of a request admitted under a version may start now.
	MayStart(version uint64) bool
	// Serves reports whether requests are admitted now.
	Serves() bool
}

// Serves reports whether requests are admitted now, as far as the fleet's policy is concerned.
func (c *Core) Serves() bool { return c.Versions == nil || c.Versions.Serves() }

// admit records the version under which a request is admitted. If no version is known to be in force, it refuses the request
// at once: no attempt has started, so another dispatcher may run it.
func (c *Core) admit(r *req) bool {
	version, retryAfter, ok := c.Versions.Admit()
	if ok {
		r.policyVersion = version
		return true
	}
	client := r.client
	r.open, r.job, r.client = false, nil, nil
	c.post(func() {
		c.count.AnswersRefused.Add(1)
		client.Answer(Answer{Kind: Refusal, RetryAfter: retryAfter, JobReleased: true})
	})
	return false
}

// versionAllowsStart is the last check before an attempt starts, as far as the fleet's policy is concerned.
func (c *Core) versionAllowsStart(r *req) bool {
	if !c.Versions.MayStart(r.policyVersion) {
		return false
	}
	c.reportStart(r)
	return true
}

func (c *Core) reportStart(r *req) {
	if !r.startReported.Swap(true) {
		c.Versions.Started(r.policyVersion)
	}
}

// answerExpired answers a request whose version is no longer in force and which has no attempt outstanding, since none can
// start any more. A request that never ran, whether it was sent or not, is refused and may go to another dispatcher.
func (c *Core) answerExpired(r *req) {
	if !r.open || r.outstanding > 0 || c.Versions.MayStart(r.policyVersion) {
		return
	}
	for _, a := range r.attempts {
		if !a.neverRan.Load() { // sending it again could run it twice
			c.answer(r, Answer{Kind: Failure})
			return
		}
	}
	c.answer(r, Answer{Kind: Refusal, RetryAfter: expiredRetryAfter})
}

// expiredRetryAfter is the delay suggested to the client of a request whose version is no longer in force.
const expiredRetryAfter = 500 * time.Millisecond
