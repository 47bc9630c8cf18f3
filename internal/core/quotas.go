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
	Acquire(tenant, class int, until time.Time, ready func(from time.Time, pause time.Duration, ok bool)) (leave func())
	// MaxHold is the longest time for which a grant may be held, counted from ready's from: the core ends the request and all
	// its attempts by then. 0 means no limit.
	MaxHold() time.Duration
}

const (
	// quotaMargin is how long before its deadline a request queued for quota is refused, so that its client learns of it in
	// time. If Quotas has not decided when half of that is left, the core refuses the request itself.
	roomLeft = 20 * time.Millisecond
	// quotaRetryAfter is the delay that the core then suggests to the client.
	roomPause = 500 * time.Millisecond
	// versionCheckInterval is how often the core checks whether queued requests belong to a policy version still in force.
	// One periodic check handles a version change for thousands of queued requests at once.
	versionLook = 100 * time.Millisecond
)

// awaitQuota queues a request for quota. Until it is granted the module doesn't know of the request and no attempt begins.
func (c *Core) queue(r *req, q balance.Request) {
	if r.over.Load() { // its client is gone, and Abandon has posted the event
		return
	}
	r.waits = true
	until := r.deadline - ms(roomLeft)
	r.leave = c.Quotas.Acquire(q.Tenant, q.Class, c.clock.time(until), func(from time.Time, pause time.Duration, ok bool) {
		c.post(func() { c.roomed(r, q, from, pause, ok) })
	})
	c.timers.set(until+ms(roomLeft)/2, func() {
		if r.waits {
			c.turnAway(r, roomPause)
		}
	})
	if c.Versions != nil {
		if c.waiting = append(c.waiting, r); len(c.waiting) == 1 {
			c.timers.set(c.clock.now()+ms(versionLook), c.lookAtVersions)
		}
	}
}

// quotaDecided handles the outcome of a request's Acquire.
func (c *Core) roomed(r *req, q balance.Request, from time.Time, pause time.Duration, ok bool) {
	if !r.waits { // it was answered, or its client left, and its place was released
		return
	}
	r.waits = false
	switch {
	case r.over.Load(): // its client is gone; the event that Abandon posted releases the quota
	case !ok:
		c.turnAway(r, pause)
	case c.Versions != nil && !c.Versions.MayStart(r.version):
		c.turnAway(r, outlivedPause)
	default:
		if most := c.Quotas.MaxHold(); most > 0 { // a client may set any deadline
			r.deadline = min(r.deadline, c.clock.millis(from)+ms(most)-c.slack)
		}
		c.arrive(r, q)
	}
}

// refuse refuses a request that got no quota. It has begun nowhere, so another dispatcher may run it.
func (c *Core) turnAway(r *req, pause time.Duration) {
	r.waits = false
	c.answer(r, Answer{Kind: Refusal, RetryAfter: pause})
	c.forget(r)
}

// checkQueuedVersions refuses queued requests whose policy version is no longer in force.
func (c *Core) lookAtVersions() {
	left := c.waiting[:0]
	for _, r := range c.waiting {
		switch {
		case !r.waits:
		case !c.Versions.MayStart(r.version):
			c.turnAway(r, outlivedPause)
		default:
			left = append(left, r)
		}
	}
	clear(c.waiting[len(left):])
	if c.waiting = left; len(left) > 0 {
		c.timers.set(c.clock.now()+ms(versionLook), c.lookAtVersions)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
