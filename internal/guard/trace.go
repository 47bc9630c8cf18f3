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
	SessionCloseAnnounced      // told to close, with a Reason
	SessionLingering
	SessionClosed // with the core's ending
	RequestAccepted
	AttemptSent    // given to the pool; the reason says why a further one
	AttemptStarted // its first byte was written
	AttemptEnded   // with the core's ending
	RequestDecided // the final answer was decided, with a Reason where it was refused
	AnswerWritten  // the final answer's last byte was written
	ClientGone
	BackendListed // with its state
	ServiceState  // with the state
	ListCallEnded // a call for the list, with the core's ending
	stepCount
)

var stepNames = [stepCount]string{"session opened", "session told to close", "session lingers", "session closed", "request taken",
	"attempt sent", "attempt began", "attempt ended", "request over", "answer written", "client gone", "backend listed",
	"service", "list call ended"}

func (s Step) String() string { return stepNames[s] }

// Reason is why a session was closed, an attempt followed another, or a request was refused.
type Reason uint8

// Reasons, by what they explain.
const (
	NoReason Reason = iota

	// Why a session closes.
	ClientRequestedClose // by Connection: close
	ClientDisconnected   // the client went, or a write to it failed
	InvalidRequest       // it sent what is not a request
	ClientFlooded        // it sent more behind a request than is kept
	IncompleteRequest    // the rest of a request did not come
	IdleTooLong
	DescriptorNeeded // its descriptor is needed
	NoDescriptor     // turned away at the budget
	ShuttingDown
	HandedOver

	// Why a further attempt is sent: how the one before it ended.
	AfterReturned
	AfterUnreachable
	AfterUnsent
	AfterFailure // it may have run
	SecondCopy   // the one before it is still out

	// Why a request is refused or failed.
	NoBackend         // none is listed as ready
	NoAttempt         // no attempt was sent: no room, or none would be in time
	DeadlinePassed    // the client's time is over
	AttemptsExhausted // all attempts that are allowed
	MayHaveRun        // nothing may follow what may have run
	Unclassified      // none of these
	reasonCount
)

var reasonNames = [reasonCount]string{"", "client_asked", "client_ended", "client_faulty", "client_flooded", "half_request", "idle",
	"room_wanted", "no_room", "service_ends", "handed_over", "returned", "unreached", "unsent", "failure", "second_copy",
	"no_backend", "not_taken", "out_of_time", "tries_spent", "may_have_run", "unclassified"}

func (r Reason) String() string { return reasonNames[r] }

// Event is one entry of the trace. Session is 0 and Request empty where it concerns none.
type Event struct {
	At      time.Time
	Session uint64
	Request string
	Step    Step
	Reason  fmt.Stringer // a Reason, the core's Ending or a state; may be nil
}

// maxIDBytes is how much of a request's id the trace keeps. The id itself may be a slice of a whole head, which is not to be
// held for its sake.
const maxIDBytes = 40

// entry is an Event as the trace keeps it.
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

// traceLength is how many events are kept: some seconds of a dispatcher's traffic, in 208 KiB.
const traceLength = 2048

// trace keeps the last events.
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

// last are the newest events that match, oldest first, at most so many.
func (t *trace) last(most int, match func(*entry) bool) (out []entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.ring) - 1; i >= 0 && len(out) < most; i-- {
		if e := &t.ring[(t.next+i)%len(t.ring)]; match(e) {
			out = append(out, *e)
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}
