package core

import (
	"fmt"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/guard"
)

// This file reports facts to package guard, which checks invariants. It makes no decisions: MayStart decides which attempts
// may start, and the module decides the answers.

// trace adds an event of a request to the trace.
func (c *Core) trace(at time.Time, r *req, step guard.Step, reason fmt.Stringer) {
	if c.Guard != nil {
		c.Guard.Record(guard.Event{At: at, Request: r.correlationID, Step: step, Reason: reason})
	}
}

// Started reports that the attempt's first byte was written at a time. timeLeft is how long its client still waits, as
// stated to the backend. It may be called from any goroutine.
func (a *Attempt) Started(at time.Time, timeLeft time.Duration) {
	c, r := a.core, a.req
	if c == nil || c.Guard == nil {
		return
	}
	c.Guard.Record(guard.Event{At: at, Request: r.correlationID, Step: guard.AttemptStarted})
	facts := guard.AttemptStart{At: at, ClientGone: c.clock.fromStamp(r.clientGoneAt.Load()), Drained: a.Backend.unavailableSince(), Grace: c.drainGrace,
		ShutdownAt: c.Guard.ShutdownTime(), Deadline: c.clock.fromMillis(r.deadline), SentTimeLeft: timeLeft, Effect: r.effect,
		Window: time.Duration(r.repeatWindow * float64(time.Millisecond)), Prior: c.earlierAttempts(a.previous)}
	for _, rule := range facts.Check() {
		c.Guard.ReportViolation(rule, 0, r.correlationID, fmt.Sprintf("attempt %d at %s: backend told %v, %v left", a.number, a.Backend.Name, timeLeft, facts.Deadline.Sub(at)))
	}
}

// unavailableSince returns since when the backend is draining, gone or banned; the zero time if it is available.
func (b *Backend) unavailableSince() time.Time {
	if b.core == nil {
		return time.Time{}
	}
	since := b.notReadySince.Load()
	if banned := b.core.bannedSince(b.ID); banned != 0 && (since == 0 || banned < since) {
		since = banned
	}
	return b.core.clock.fromStamp(since)
}

// earlierAttempts describes an attempt and all before it; nil, without allocation, if there is none.
func (c *Core) earlierAttempts(a *Attempt) (out []guard.PriorAttempt) {
	for ; a != nil; a = a.previous {
		out = append(out, guard.PriorAttempt{StartedAt: c.clock.fromStamp(a.startedAt.Load()), NeverRan: a.neverRan.Load()})
	}
	return out
}

// checkFinal checks the invariants of a request's final answer at the moment it is decided.
func (c *Core) checkFinal(r *req, a Answer) {
	if c.Guard == nil {
		return
	}
	now := c.clock.read()
	var reason fmt.Stringer
	if a.Kind != Result {
		reason = c.refusalReason(r, now)
	}
	c.Guard.Record(guard.Event{At: now, Request: r.correlationID, Step: guard.RequestDecided, Reason: reason})
	facts := guard.FinalAnswer{At: now, Deadline: c.clock.fromMillis(r.deadline), Refused: a.Kind == Refusal, Effect: r.effect, Scope: r.dedupScope,
		Window: time.Duration(r.repeatWindow * float64(time.Millisecond)), Duplicate: r.answered, Attempts: c.earlierAttempts(r.latest.Load())}
	r.answered = true
	for _, rule := range facts.Check() {
		c.Guard.ReportViolation(rule, 0, r.correlationID, fmt.Sprintf("answer kind %d after %d attempts, %v past the deadline", a.Kind, len(r.attempts), now.Sub(facts.Deadline)))
	}
}

// refusalReason returns why a request is answered without a result.
func (c *Core) refusalReason(r *req, now time.Time) guard.Reason {
	last := r.latest.Load()
	switch {
	case c.readyCount.Load() == 0:
		return guard.NoBackend
	case c.clock.millis(now) >= r.deadline:
		return guard.DeadlinePassed
	case last == nil:
		return guard.NoAttempt
	case !last.neverRan.Load() && last.startedAt.Load() != 0 && r.effect != balance.Safe:
		return guard.MayHaveRun
	case last.number > 0:
		return guard.AttemptsExhausted
	}
	return guard.Unclassified
}

// retryReason returns why a further attempt is sent; nil for the first.
func (c *Core) retryReason(r *req) fmt.Stringer {
	last := r.latest.Load()
	switch {
	case last == nil:
		return nil
	case !last.done:
		return guard.SecondCopy
	}
	switch last.ending {
	case Returned:
		return guard.AfterReturned
	case Unreached:
		return guard.AfterUnreachable
	case Unsent:
		return guard.AfterUnsent
	}
	return guard.AfterFailure
}
