// Package guard checks at run time that the dispatcher keeps its rules. It reports and never decides: a check is handed
// facts and times, counts what is broken by rule, and logs one event with the request's id and the last moments of that
// request from a bounded trace. It does no I/O but for the log, and never ends the process.
//
// The figures are those of the platform's pages: PROTOCOL ("The rules on sockets") and the standing test.
package guard

import (
	"time"

	"tinsail/internal/balance"
)

// Rule is one invariant.
type Rule uint8

// The invariants.
const (
	StartedAfterClientGone Rule = iota // an attempt began more than GoneGrace after its client had gone
	StartedAfterDrain                  // an attempt began at a draining, gone or banned backend after the grace
	StartedAfterShutdown               // an attempt began when the process had decided to end
	RepeatUnsafe                       // an attempt began whose class must not repeat, and one before it may have run
	RepeatOutsideWindow                // a keyed repeat began outside the window of an attempt that may have run
	TimeLeftTooLong                    // a backend was told more time than the client has left, with TimeSlack
	AnswerTwice                        // a request got a second final answer
	AnswerLate                         // a final answer was decided more than LateSlack after the client's time
	RefuseMayHaveRun                   // a request was refused though it may have run, and a repeat is not harmless
	ClosedUnanswered                   // a session was closed from here with a request that was read and not answered
	ReadyAfterShutdown                 // the check of health said yes after the process had decided to end
	ruleCount
)

var ruleNames = [ruleCount]string{"begin_client_gone", "begin_drained", "begin_ended", "repeat_unsafe", "repeat_window", "time_told",
	"answer_twice", "answer_late", "refuse_may_have_run", "close_owed", "serve_not_ready"}

func (r Rule) String() string { return ruleNames[r] }

// TimingDependent says that a process which the machine did not run for a while can break the rule by that alone: between a look
// at the clock and the write that follows it.
func (r Rule) TimingDependent() bool {
	switch r {
	case StartedAfterClientGone, StartedAfterDrain, RepeatOutsideWindow, TimeLeftTooLong, AnswerLate:
		return true
	}
	return false
}

// Rules lists every rule.
func Rules() []Rule {
	all := make([]Rule, ruleCount)
	for i := range all {
		all[i] = Rule(i)
	}
	return all
}

// Figures of the pages.
const (
	ClientGoneGrace = 100 * time.Millisecond // after its client has gone an attempt may still begin for so long
	TimeLeftSlack   = 150 * time.Millisecond // the time told may exceed the client's by so much
	LateSlack       = 500 * time.Millisecond // an answer later than its time by more is lost
)

// PriorAttempt is an attempt of the same request that began before.
type PriorAttempt struct {
	StartedAt time.Time // its first byte was written; zero: none was
	NeverRan  bool      // it is proven never to have run
}

// AttemptStart are the facts of an attempt at the moment its first byte had been written.
type AttemptStart struct {
	At           time.Time
	ClientGone   time.Time // zero: it is there
	Drained      time.Time // since when the backend is known to take nothing new; zero: it takes more
	Grace        time.Duration
	ShutdownAt   time.Time     // the process had decided to end; zero: it had not
	Deadline     time.Time     // of the client
	SentTimeLeft time.Duration // to the backend
	Effect       balance.Effect
	Window       time.Duration // for repeats
	Prior        []PriorAttempt
}

// Check names the rules that the attempt broke.
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

// FinalAnswer are the facts of a final answer at the moment it was decided.
type FinalAnswer struct {
	At        time.Time
	Deadline  time.Time
	Refused   bool
	Effect    balance.Effect
	Scope     balance.Scope
	Window    time.Duration
	Attempts  []PriorAttempt
	Duplicate bool // the request has had its final answer
}

// Check names the rules that the answer broke.
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
