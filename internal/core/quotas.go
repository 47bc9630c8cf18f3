package core

import (
	"time"

	"tinsail/internal/balance"
)

// Quotas says when there is room for a req, where a fleet bounds how many of a tenant may be in flight at once
// (docs/design/quota.md). Its methods are called from the core's goroutine and must not block.
type Quotas interface {
	// Take asks for room for a req of a tenant and a class, both as in balance.Request (a tenant beyond those of the
	// settings is none). ready is called once with whether there is room, unless leave was called first. Where ok,
	// from is a time read before the right to give the room was looked at: a process may be stopped between that and
	// ready. Where there is none by until, pause is advice to its client. ready may be called from any goroutine, also
	// before Take returns, and does not block. leave tells that the req wants or needs its room no more: it is called
	// once for each Take, whatever ready said, and after it ready does nothing.
	Take(tenant, class int, until time.Time, ready func(from time.Time, pause time.Duration, ok bool)) (leave func())
	// Most is the longest that room may be held, counted from ready's from: the core ends the req and all its attempts
	// by then. 0: no bound.
	Most() time.Duration
}

const (
	// roomLeft is how long before its deadline a req that waits for room is refused, so that its client hears of it in
	// time. Should whoever gives room not say so by half of that, the core does.
	roomLeft = 20 * time.Millisecond
	// roomPause is the core's advice then.
	roomPause = 500 * time.Millisecond
	// versionLook is how often the core looks whether the version of a req that waits for room is still in force: a
	// change that thousands of them outlive is looked at as often as that, not once for each.
	versionLook = 100 * time.Millisecond
)

// queue has a req wait for room; the module knows nothing of it until it has it. Until then nothing of it has begun.
func (c *Core) queue(r *req, q balance.Request) {
	if r.over.Load() { // its client has gone, and the event that says so is posted
		return
	}
	r.waits = true
	until := r.deadline - ms(roomLeft)
	r.leave = c.Quotas.Take(q.Tenant, q.Class, c.clock.time(until), func(from time.Time, pause time.Duration, ok bool) {
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

// roomed takes what was said of a req's room.
func (c *Core) roomed(r *req, q balance.Request, from time.Time, pause time.Duration, ok bool) {
	if !r.waits { // it was answered, or its client has gone, and it has left
		return
	}
	r.waits = false
	switch {
	case r.over.Load(): // its client has gone: the event that says so is posted, and has it leave
	case !ok:
		c.turnAway(r, pause)
	case c.Versions != nil && !c.Versions.MayStart(r.version):
		c.turnAway(r, outlivedPause)
	default:
		if most := c.Quotas.Most(); most > 0 { // a client may have any patience
			r.deadline = min(r.deadline, c.clock.millis(from)+ms(most)-c.slack)
		}
		c.arrive(r, q)
	}
}

// turnAway refuses a req that has begun nowhere, since it has no room: another dispatcher may have it.
func (c *Core) turnAway(r *req, pause time.Duration) {
	r.waits = false
	c.answer(r, Answer{Verdict: Refusal, Pause: pause})
	c.forget(r)
}

// lookAtVersions refuses those that wait for room by a version that is over.
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
