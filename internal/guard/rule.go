// Package guard checks at run time that the dispatcher keeps its own invariants. It only reports
// and never decides. A check is given facts and times, and names the rules they break. The recorder
// counts violations by rule and logs one event with the request's id and the last events of that
// request from a bounded trace. The package does no I/O except the log, and never ends the process.
//
// The limits are those of the platform's protocol documentation (its rules on sockets) and of the
// platform's acceptance test.
package guard

import (
	"time"

	"tinsail/internal/balance"
)

// Rule is one invariant.
type Rule uint8

// Rules, each described by what breaks it.
const (
	StartedAfterClientGone Rule = iota // an attempt started more than ClientGoneGrace after its client disconnected
	StartedAfterDrain                  // an attempt started at a draining, gone or banned backend after the grace period
	StartedAfterShutdown               // an attempt started after the process had decided to end
	RepeatUnsafe                       // an attempt started although its class must not repeat and an earlier one may have run
	RepeatOutsideWindow                // a keyed repeat started outside the repeat window of an attempt that may have run
	TimeLeftTooLong                    // a backend was sent more time than the client has left plus TimeLeftSlack
	AnswerTwice                        // a request got a second final answer
	AnswerLate                         // a final answer was decided more than LateSlack after the client's deadline
	RefuseMayHaveRun                   // a request was refused although it may have run and a repeat is not harmless
	ClosedUnanswered                   // the dispatcher closed a session with a request that was read and not answered
	ReadyAfterShutdown                 // the health check reported ready after the process had decided to end
	ruleCount
)

var ruleNames = [ruleCount]string{"begin_client_gone", "begin_drained", "begin_ended", "repeat_unsafe", "repeat_window", "time_told",
	"answer_twice", "answer_late", "refuse_may_have_run", "close_owed", "serve_not_ready"}

func (r Rule) String() string { return ruleNames[r] }

// TimingDependent reports whether a pause of the process alone can break the rule: the machine may
// not run the process between its reading of the clock and the write that follows.
func (r Rule) TimingDependent() bool {
	switch r {
	case StartedAfterClientGone, StartedAfterDrain, RepeatOutsideWindow, TimeLeftTooLong, AnswerLate:
		return true
	}
	return false
}

// Rules returns all rules.
func Rules() []Rule {
	all := make([]Rule, ruleCount)
	for i := range all {
		all[i] = Rule(i)
	}
	return all
}

// Limits from the platform's protocol documentation and acceptance test.
const (
	ClientGoneGrace = 100 * time.Millisecond // an attempt may still start for this long after its client disconnected
	TimeLeftSlack   = 150 * time.Millisecond // the time left sent to a backend may exceed the client's by this much
	LateSlack       = 500 * time.Millisecond // an answer later than its deadline by more counts as lost
)

// PriorAttempt is an earlier attempt of the same request.
type PriorAttempt struct {
	StartedAt time.Time // when its first byte was written; zero if none was
	NeverRan  bool      // the attempt is proven never to have run
}

// AttemptStart holds the facts of an attempt at the moment its first byte had been written.
type AttemptStart struct {
	At           time.Time
	ClientGone   time.Time // when the client disconnected; zero if it has not
	Drained      time.Time // since when the backend is known to accept nothing new; zero if it accepts requests
	Grace        time.Duration
	ShutdownAt   time.Time     // when the process decided to end; zero if it has not
	Deadline     time.Time     // of the client
	SentTimeLeft time.Duration // as sent to the backend
	Effect       balance.Effect
	Window       time.Duration // repeat window
	Prior        []PriorAttempt
}

// Check returns the rules that the attempt broke.
func (b *AttemptStart) Check() (broken []Rule) {
	if !b.ClientGone.IsZero() && b.At.Sub(b.ClientGone) > ClientGoneGrace {
		broken = append(broken, StartedAfterClientGone)
	}
	if !b.Drained.IsZero() && b.At.Sub(b.Drained) > b.Grace {
		broken = append(broken, StartedAfterDrain)
	}
	if !b.ShutdownAt.IsZero() && b.At.After(b.ShutdownAt) {
		broken = append(broken, StartedAfterShutdown)
	}
	if b.SentTimeLeft > max(b.Deadline.Sub(b.At), 0)+TimeLeftSlack {
		broken = append(broken, TimeLeftTooLong)
	}
	if b.Effect != balance.Safe {
		broken = append(broken, b.checkRepeat()...)
	}
	return broken
}

func (b *AttemptStart) checkRepeat() (broken []Rule) {
	for _, e := range b.Prior {
		switch {
		case e.StartedAt.IsZero() || e.NeverRan:
		case b.Effect == balance.Unsafe:
			return []Rule{RepeatUnsafe}
		case b.At.Sub(e.StartedAt) > b.Window:
			broken = []Rule{RepeatOutsideWindow}
		}
	}
	return broken
}

// FinalAnswer holds the facts of a final answer at the moment it was decided.
type FinalAnswer struct {
	At        time.Time
	Deadline  time.Time
	Refused   bool
	Effect    balance.Effect
	Scope     balance.Scope
	Window    time.Duration
	Attempts  []PriorAttempt
	Duplicate bool // the request already had a final answer
}

// Check returns the rules that the answer broke.
func (f *FinalAnswer) Check() (broken []Rule) {
	if f.Duplicate {
		broken = append(broken, AnswerTwice)
	}
	if f.At.Sub(f.Deadline) > LateSlack {
		broken = append(broken, AnswerLate)
	}
	if !f.Refused || f.Effect == balance.Safe {
		return broken
	}
	for _, e := range f.Attempts {
		known := f.Effect == balance.Deduped && f.Scope == balance.ScopeAll && f.At.Sub(e.StartedAt) <= f.Window
		if !e.StartedAt.IsZero() && !e.NeverRan && !known {
			return append(broken, RefuseMayHaveRun)
		}
	}
	return broken
}
