package core

import (
	"time"

	"tinsail/internal/balance"
)

// Quotas decides when a request may run, where a fleet limits how many requests of a tenant are in flight at once
// (docs/design/quota.md). Its methods are called on the core's goroutine and must not block.
type Quotas interface {
	// Acquire asks for a grant of a tenant's quota for one request. tenant and class are as in balance.Request; a tenant
	// outside the settings has none. ready is called once with the outcome, unless release was called first. If ok, from is
	// a time read before the right to give the grant was checked, because the process may be stopped between the check and
	// the call. If there is no grant by until, retryAfter is the delay suggested to the client. ready may be called from any
	// goroutine, also before Acquire returns, and doesn't block. release says that the request needs no grant any more. It
	// is called once for each Acquire, whatever the outcome was, and ready does nothing after it.
	Acquire(tenant, class int, until time.Time, ready func(from time.Time, retryAfter time.Duration, ok bool)) (release func())
	// MaxHold is the longest time for which a grant may be held, counted from ready's from: the core ends the request and all
	// its attempts by then. 0 means no limit.
	MaxHold() time.Duration
}

const (
	// quotaMargin is how long before its deadline a request queued for quota is refused, so that its client learns of it in
	// time. If Quotas has not decided when half of that is left, the core refuses the request itself.
	quotaMargin = 20 * time.Millisecond
	// quotaRetryAfter is the delay that the core then suggests to the client.
	quotaRetryAfter = 500 * time.Millisecond
	// versionCheckInterval is how often the core checks whether queued requests belong to a policy version still in force.
	// One periodic check handles a version change for thousands of queued requests at once.
	versionCheckInterval = 100 * time.Millisecond
)

// awaitQuota queues a request for quota. Until it is granted the module doesn't know of the request and no attempt starts.
func (c *Core) awaitQuota(r *req, q balance.Request) {
	if r.closed.Load() { // its client is gone, and Abandon has posted the event
		return
	}
	r.queued = true
	until := r.deadline - toMillis(quotaMargin)
	r.releaseQuota = c.Quotas.Acquire(q.Tenant, q.Class, c.clock.fromMillis(until), func(from time.Time, retryAfter time.Duration, ok bool) {
		c.post(func() { c.quotaDecided(r, q, from, retryAfter, ok) })
	})
	r.timer = c.timers.add(until+toMillis(quotaMargin)/2, func() {
		if r.queued {
			c.refuse(r, quotaRetryAfter)
		}
	})
	if c.Versions != nil {
		if c.queuedReqs = append(c.queuedReqs, r); len(c.queuedReqs) == 1 {
			c.timers.add(c.clock.now()+toMillis(versionCheckInterval), c.checkQueuedVersions)
		}
	}
}

// quotaDecided handles the outcome of a request's Acquire.
func (c *Core) quotaDecided(r *req, q balance.Request, from time.Time, retryAfter time.Duration, ok bool) {
	if !r.queued { // it was answered, or its client left, and its place was released
		return
	}
	r.queued = false
	c.timers.cancel(r.timer)
	r.timer = nil
	switch {
	case r.closed.Load(): // its client is gone; the event that Abandon posted releases the quota
	case !ok:
		c.refuse(r, retryAfter)
	case c.Versions != nil && !c.Versions.MayStart(r.policyVersion):
		c.refuse(r, expiredRetryAfter)
	default:
		if maxHold := c.Quotas.MaxHold(); maxHold > 0 { // a client may set any deadline
			r.deadline = min(r.deadline, c.clock.millis(from)+toMillis(maxHold)-c.answerSlack)
		}
		c.arrive(r, q)
	}
}

// refuse refuses a request that got no quota. It has started nowhere, so another dispatcher may run it.
func (c *Core) refuse(r *req, retryAfter time.Duration) {
	r.queued = false
	c.answer(r, Answer{Kind: Refusal, RetryAfter: retryAfter})
	c.forget(r)
}

// checkQueuedVersions refuses queued requests whose policy version is no longer in force.
func (c *Core) checkQueuedVersions() {
	remaining := c.queuedReqs[:0]
	for _, r := range c.queuedReqs {
		switch {
		case !r.queued:
		case !c.Versions.MayStart(r.policyVersion):
			c.refuse(r, expiredRetryAfter)
		default:
			remaining = append(remaining, r)
		}
	}
	clear(c.queuedReqs[len(remaining):])
	if c.queuedReqs = remaining; len(remaining) > 0 {
		c.timers.add(c.clock.now()+toMillis(versionCheckInterval), c.checkQueuedVersions)
	}
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
