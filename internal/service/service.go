// Package service decides which service state a dispatcher has towards its clients (in service, draining, out of service,
// handed over, shutting down) and what its fronts do in that state. Its events are operators' calls, SIGTERM and the
// hand-over to a new process. It does no I/O and reads no clock.
//
// The load balancer in these comments is the platform's: it checks the dispatchers' health and sends new client connections to
// the healthy ones.
package service

import "time"

// Times of a drain, counted from its beginning: the call that takes the dispatcher out of service, or SIGTERM. The platform's
// figures are in its protocol documentation and in its documentation for operators.
const (
	balancerDelay    = 600 * time.Millisecond // the load balancer may still send new connections
	killWindow       = 700 * time.Millisecond // a request that arrives later is lost if it is unanswered at the kill
	maxKillBase      = 3 * time.Second        // the kill comes killWindow after this, or after the longest deadline if that is shorter
	killMargin       = 200 * time.Millisecond // time between the last answers and the kill
	lastAnswersTime  = 400 * time.Millisecond // time to answer the last requests; most take half of it
	lateAnswerSlack  = 500 * time.Millisecond // an answer later than its deadline by more is lost anyway
	quietEvaluations = 5                      // consecutive evaluations without a session before the process exits
	// An answer sent before sessions are closed leaves its connection open. The client's next request may be on its way for
	// this long (a round trip and a busy client) before the connection is closed as idle.
	lastIdleTimeout = 100 * time.Millisecond
)

// Times of a process that has handed over, counted from the hand-over. Its sessions close with their next answer. An idle
// session is closed once its client seems not to need it, so that the close doesn't cross a request; the client's next
// connection goes to the new process.
const (
	handedOverIdleTimeout = 400 * time.Millisecond
	handedOverCloseAll    = 1200 * time.Millisecond // from then on every idle session is closed
)

// PollInterval is how often Evaluate must be called while the state is changing or about to change.
const PollInterval = 20 * time.Millisecond

// State is the service state of a dispatcher's process.
type State uint8

// States of a process.
const (
	InService State = iota
	Draining        // taken out of service by a call; clients' requests are still answered
	OutOfService
	HandedOver   // another process of the same dispatcher serves in its place
	ShuttingDown // SIGTERM was received
)

var stateNames = [...]string{"in service", "draining", "out of service", "handed over", "shutting down"}

func (s State) String() string { return stateNames[s] }

// Directives tell the fronts what to do until the next ones.
type Directives struct {
	State            State
	HandedOver       bool          // another process accepts connections in place of this one
	Ready            bool          // health checks succeed if there is a backend
	Accept           bool          // new connections are accepted
	AnnounceClose    bool          // protocols that can announce a close (HTTP/2) do so to their clients
	CloseAfterAnswer bool          // a session closes after its next answer
	IdleTimeout      time.Duration // sessions idle for this long are closed; used only with CloseAfterAnswer
	AnswerBy         time.Time     // requests that arrive now are answered by then; zero for no limit. If past, they are refused and never sent on
	Exit             bool          // the process exits and accepts nothing any more
}

// Machine is the state machine of one process. It starts in service; LongestDeadline must be set first. It is not safe for
// concurrent use.
type Machine struct {
	LongestDeadline time.Duration // longest deadline of any class

	drainSince, shutdownSince, handedOverSince time.Time // start of each; zero if not in effect
	quietCount                                 int
	fullDeadlinesUntil                         time.Time // after SIGTERM, the last time at which directives gave requests their full deadline
	refusing                                   bool      // the last directives refuse new requests
}

// TakeOutOfService begins a drain. Repeated calls change nothing.
func (m *Machine) TakeOutOfService(now time.Time) {
	if m.drainSince.IsZero() {
		m.drainSince = now
	}
}

// ReturnToService takes the dispatcher back into service, also in the middle of a drain. It returns false, and changes
// nothing, if the process is shutting down and no other process has taken over.
func (m *Machine) ReturnToService() bool {
	if !m.shutdownSince.IsZero() && m.handedOverSince.IsZero() {
		return false
	}
	m.drainSince = time.Time{}
	return true
}

// BeginShutdown begins the shutdown.
func (m *Machine) BeginShutdown(now time.Time) {
	if m.shutdownSince.IsZero() {
		m.shutdownSince, m.quietCount = now, 0
	}
}

// HandOver records that another process of this dispatcher accepts new connections from now on.
func (m *Machine) HandOver(now time.Time) { m.handedOverSince, m.quietCount = now, 0 }

// ResumeAfterHandOver records that the process which had taken over is gone.
func (m *Machine) ResumeAfterHandOver() { m.handedOverSince = time.Time{} }

// IsOutOfService reports whether the dispatcher was taken out of service.
func (m *Machine) IsOutOfService() bool { return !m.drainSince.IsZero() }

// Changing reports whether the passing of time alone may change what Evaluate returns.
func (m *Machine) Changing() bool {
	return !m.drainSince.IsZero() || !m.shutdownSince.IsZero() || !m.handedOverSince.IsZero()
}

// killAfter returns how long after SIGTERM the platform kills the process.
func (m *Machine) killAfter() time.Duration { return min(m.LongestDeadline, maxKillBase) + killWindow }

// closeAfter returns how long after the beginning of a drain sessions are closed: as late as possible while requests that
// arrive on them until then can still be answered. The load balancer sends a client whose session is closed to another
// dispatcher if it knows a healthy one. It knows none where this dispatcher is the only one, or while it has not yet noticed
// that the dispatcher restarted before this one is back.
func (m *Machine) closeAfter() time.Duration { return m.killAfter() - killMargin - lastAnswersTime }

// Load counts the sessions and requests that clients have open now.
type Load struct {
	Sessions     int // all sessions
	BeforeCutoff int // sessions that connected before BalancerCutoff
	Unanswered   int // requests whose answer is not fully sent
	Closing      int // sessions told to close; one may have accepted a request that crossed that and be writing its answer
}

// BalancerCutoff returns when, after SIGTERM, the load balancer stops sending new connections at the latest; zero before
// SIGTERM. Clients that connect later were not sent by it.
func (m *Machine) BalancerCutoff() time.Time {
	if m.shutdownSince.IsZero() {
		return time.Time{}
	}
	return m.shutdownSince.Add(balancerDelay)
}

// Evaluate returns the directives for now.
func (m *Machine) Evaluate(now time.Time, l Load) Directives {
	o := Directives{Ready: m.drainSince.IsZero() && (m.shutdownSince.IsZero() || !m.handedOverSince.IsZero()), Accept: m.handedOverSince.IsZero()}
	switch {
	case !m.shutdownSince.IsZero():
		o.State = ShuttingDown
	case !m.handedOverSince.IsZero():
		o.State = HandedOver
	case !m.drainSince.IsZero():
		o.State = Draining
	}
	if !m.handedOverSince.IsZero() {
		o.HandedOver, o.CloseAfterAnswer, o.AnnounceClose = true, true, true
		if now.Sub(m.handedOverSince) < handedOverCloseAll {
			o.IdleTimeout = handedOverIdleTimeout
		}
	}
	for _, since := range [...]time.Time{m.drainSince, m.shutdownSince} {
		if since.IsZero() {
			continue
		}
		o.AnnounceClose = true
		age := now.Sub(since)
		switch { // a request that arrives early has its full deadline: neither the kill nor the end of the drain cuts it
		case age < balancerDelay:
		case age < m.killAfter() || since.Equal(m.shutdownSince): // so that no late request escapes the limit
			if until := since.Add(m.killAfter() - killMargin); o.AnswerBy.IsZero() || until.Before(o.AnswerBy) {
				o.AnswerBy = until
			}
		case o.State == Draining:
			o.State = OutOfService
		}
		switch {
		case age >= m.closeAfter()+lastIdleTimeout:
			o.CloseAfterAnswer, o.IdleTimeout = true, 0
		case age >= m.closeAfter() && !o.CloseAfterAnswer:
			o.CloseAfterAnswer, o.IdleTimeout = true, lastIdleTimeout
		}
	}
	m.decideExit(now, l, &o)
	return o
}

// balancerDone returns when a load balancer that checks the dispatcher's health stops sending it new connections, counted
// from when it was taken out of service or from SIGTERM, whichever came first.
func (m *Machine) balancerDone() time.Time {
	if !m.drainSince.IsZero() && m.drainSince.Before(m.shutdownSince) {
		return m.drainSince.Add(balancerDelay)
	}
	return m.BalancerCutoff()
}

// lastDue returns how long after SIGTERM the last answer is due. That is the answer to a request accepted just before
// directives began to limit deadlines, or to a later one that must be answered before the kill. Directives hold until the
// next evaluation, which is late if the process is delayed on a busy machine.
func (m *Machine) lastDue() time.Duration {
	return max(m.LongestDeadline+m.fullDeadlinesUntil.Sub(m.shutdownSince), m.killAfter())
}

// decideExit decides whether all requests are answered and no client has been connected for a moment. It waits that moment because
// a client whose request crossed the close of its session reconnects at once. Requests that arrive within one evaluation of
// the exit are refused, so that the process doesn't read a request, send it on, and then exit and cut it.
func (m *Machine) decideExit(now time.Time, l Load, o *Directives) {
	wasRefusing := m.refusing
	m.refusing = false
	if !m.shutdownSince.IsZero() && (m.fullDeadlinesUntil.IsZero() || m.fullDeadlinesUntil.Before(m.BalancerCutoff())) {
		m.fullDeadlinesUntil = now
	}
	if m.shutdownSince.IsZero() && m.handedOverSince.IsZero() || !o.CloseAfterAnswer {
		return
	}
	remaining, overdue := l.Sessions, false
	if !m.shutdownSince.IsZero() {
		if now.After(m.BalancerCutoff()) {
			remaining = l.BeforeCutoff
		}
		age := now.Sub(m.shutdownSince)
		overdue = age >= m.LongestDeadline+lateAnswerSlack && l.Unanswered == 0 && l.Closing == 0 || age >= m.lastDue()+lateAnswerSlack
		if m.handedOverSince.IsZero() && now.Before(m.balancerDone()) { // a client that is still sent here would find no process
			m.quietCount = 0
			return
		}
	}
	if m.quietCount++; remaining > 0 || l.Unanswered > 0 {
		m.quietCount = 0
	}
	o.Exit = wasRefusing && (m.quietCount > quietEvaluations || overdue)
	if (overdue || m.quietCount >= quietEvaluations) && (o.AnswerBy.IsZero() || now.Before(o.AnswerBy)) {
		o.AnswerBy = now
	}
	m.refusing = !o.AnswerBy.IsZero() && !now.Before(o.AnswerBy)
}
