package guard

import (
	"fmt"
	"sync"
	"time"
)

// Step is what happened to a session, a request or the process.
type Step uint8

// Steps.
const (
	SessionOpened         Step = iota
	SessionCloseAnnounced      // with a Reason
	SessionLingering           // the dispatcher has closed its side and still reads
	SessionClosed              // with the core's ending
	RequestAccepted
	AttemptSent    // given to the connection pool; for a further attempt, with a Reason
	AttemptStarted // its first byte was written
	AttemptEnded   // with the core's ending
	RequestDecided // the final answer was decided, with a Reason if the request was refused
	AnswerWritten  // the last byte of the final answer was written
	ClientGone
	BackendListed // with the backend's state
	ServiceState  // with the new state
	ListCallEnded // a call to the director for the list ended, with the core's ending
	stepCount
)

var stepNames = [stepCount]string{"session opened", "session told to close", "session lingers", "session closed", "request taken",
	"attempt sent", "attempt began", "attempt ended", "request over", "answer written", "client gone", "backend listed",
	"service", "list call ended"}

func (s Step) String() string { return stepNames[s] }

// Reason is why a session was closed, an attempt followed another, or a request was refused.
type Reason uint8

// Reasons, grouped by what they explain.
const (
	NoReason Reason = iota

	// Why a session is closed.
	ClientRequestedClose // Connection: close
	ClientDisconnected   // the client closed the connection, or a write to it failed
	InvalidRequest       // the client sent something that is not a valid request
	ClientFlooded        // the client sent more after a request than is buffered
	IncompleteRequest    // the rest of a request did not arrive in time
	IdleTooLong
	DescriptorNeeded // the session's file descriptor is needed for another client
	NoDescriptor     // refused: the descriptor limit is reached
	ShuttingDown
	HandedOver

	// Why a further attempt is sent: how the one before it ended.
	AfterReturned // the backend returned the job unprocessed
	AfterUnreachable
	AfterUnsent  // no byte of it was written
	AfterFailure // the attempt may have run
	SecondCopy   // the attempt before it is still running

	// Why a request is refused or failed.
	NoBackend         // no backend is listed as ready
	NoAttempt         // no attempt was sent: no backend had capacity, or none would answer in time
	DeadlinePassed    // the client's deadline has passed
	AttemptsExhausted // all allowed attempts were made
	MayHaveRun        // an attempt may have run and must not be repeated
	Unclassified      // none of these
	reasonCount
)

var reasonNames = [reasonCount]string{"", "client_asked", "client_ended", "client_faulty", "client_flooded", "half_request", "idle",
	"room_wanted", "no_room", "service_ends", "handed_over", "returned", "unreached", "unsent", "failure", "second_copy",
	"no_backend", "not_taken", "out_of_time", "tries_spent", "may_have_run", "unclassified"}

func (r Reason) String() string { return reasonNames[r] }

// Event is one entry of the trace. Session is 0 and Request is empty where the event concerns none.
type Event struct {
	At      time.Time
	Session uint64
	Request string
	Step    Step
	Reason  fmt.Stringer // a Reason, the core's Ending or a state; may be nil
}

// maxIDBytes is how much of a request's id the trace keeps. The id is copied: it may be a slice of
// a whole request head, which the trace would otherwise keep in memory.
const maxIDBytes = 40

// entry is an Event as the trace stores it.
type entry struct {
	at      time.Time
	session uint64
	reason  fmt.Stringer
	id      [maxIDBytes]byte
	length  uint8
	step    Step
}

func (e *entry) set(v *Event) {
	e.at, e.session, e.reason, e.step = v.At, v.Session, v.Reason, v.Step
	e.length = uint8(copy(e.id[:], v.Request))
}

func (e *entry) request() string { return string(e.id[:e.length]) }

func (e *entry) text(from time.Time) string {
	why := ""
	if e.reason != nil {
		why = ": " + e.reason.String()
	}
	return fmt.Sprintf("%+.1fms session %d request %q %s%s", float64(e.at.Sub(from))/float64(time.Millisecond), e.session, e.request(), e.step, why)
}

// traceLength is the number of events kept: a few seconds of a dispatcher's traffic, in 208 KiB.
const traceLength = 2048

// trace is a ring buffer of the last events.
type trace struct {
	mu   sync.Mutex
	ring []entry
	next int
}

func (t *trace) add(e *Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < traceLength {
		t.ring = append(t.ring, entry{})
		t.ring[len(t.ring)-1].set(e)
		return
	}
	t.ring[t.next].set(e)
	t.next = (t.next + 1) % traceLength
}

// last returns the newest events that match, at most limit of them, oldest first.
func (t *trace) last(limit int, match func(*entry) bool) (out []entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.ring) - 1; i >= 0 && len(out) < limit; i-- {
		if e := &t.ring[(t.next+i)%len(t.ring)]; match(e) {
			out = append(out, *e)
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}
