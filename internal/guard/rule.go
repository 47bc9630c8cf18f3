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
	BeginClientGone  Rule = iota // an attempt began more than GoneGrace after its client had gone
	BeginDrained                 // an attempt began at a draining, gone or banned backend after the grace
	BeginEnded                   // an attempt began when the process had decided to end
	RepeatUnsafe                 // an attempt began whose class must not repeat, and one before it may have run
	RepeatWindow                 // a keyed repeat began outside the window of an attempt that may have run
	TimeTold                     // a backend was told more time than the client has left, with TimeSlack
	AnswerTwice                  // a request got a second final answer
	AnswerLate                   // a final answer was decided more than LateSlack after the client's time
	RefuseMayHaveRun             // a request was refused though it may have run, and a repeat is not harmless
	CloseOwed                    // a session was closed from here with a request that was read and not answered
	ServeNotReady                // the check of health said yes after the process had decided to end
	rules
)

var ruleNames = [rules]string{"begin_client_gone", "begin_drained", "begin_ended", "repeat_unsafe", "repeat_window", "time_told",
	"answer_twice", "answer_late", "refuse_may_have_run", "close_owed", "serve_not_ready"}

func (r Rule) String() string { return ruleNames[r] }

// Timed says that a process which the machine did not run for a while can break the rule by that alone: between a look
// at the clock and the write that follows it.
func (r Rule) Timed() bool {
	switch r {
	case BeginClientGone, BeginDrained, RepeatWindow, TimeTold, AnswerLate:
		return true
	}
	return false
}

// Rules lists every rule.
func Rules() []Rule {
	all := make([]Rule, rules)
	for i := range all {
		all[i] = Rule(i)
	}
	return all
}

// Figures of the pages.
const (
	GoneGrace = 100 * time.Millisecond // after its client has gone an attempt may still begin for so long
	TimeSlack = 150 * time.Millisecond // the time told may exceed the client's by so much
	LateSlack = 500 * time.Millisecond // an answer later than its time by more is lost
)

// Earlier is an attempt of the same request that began before.
type Earlier struct {
	Began time.Time // its first byte was written; zero: none was
	Never bool      // it is proven never to have run
}

// Begin are the facts of an attempt at the moment its first byte had been written.
type Begin struct {
	At         time.Time
	ClientGone time.Time // zero: it is there
	Drained    time.Time // since when the backend is known to take nothing new; zero: it takes more
	Grace      time.Duration
	Ended      time.Time     // the process had decided to end; zero: it had not
	Deadline   time.Time     // of the client
	Told       time.Duration // to the backend
	Effect     balance.Effect
	Window     time.Duration // for repeats
	Earlier    []Earlier
}

// Check names the rules that the attempt broke.
func (b *Begin) Check() (broken []Rule) {
	if !b.ClientGone.IsZero() && b.At.Sub(b.ClientGone) > GoneGrace {
		broken = append(broken, BeginClientGone)
	}
	if !b.Drained.IsZero() && b.At.Sub(b.Drained) > b.Grace {
		broken = append(broken, BeginDrained)
	}
	if !b.Ended.IsZero() && b.At.After(b.Ended) {
		broken = append(broken, BeginEnded)
	}
	if b.Told > max(b.Deadline.Sub(b.At), 0)+TimeSlack {
		broken = append(broken, TimeTold)
	}
	if b.Effect != balance.Safe {
		broken = append(broken, b.repeat()...)
	}
	return broken
}

func (b *Begin) repeat() (broken []Rule) {
	for _, e := range b.Earlier {
		switch {
		case e.Began.IsZero() || e.Never:
		case b.Effect == balance.Unsafe:
			return []Rule{RepeatUnsafe}
		case b.At.Sub(e.Began) > b.Window:
			broken = []Rule{RepeatWindow}
		}
	}
	return broken
}

// Final are the facts of a final answer at the moment it was decided.
type Final struct {
	At       time.Time
	Deadline time.Time
	Refused  bool
	Effect   balance.Effect
	Scope    balance.Scope
	Window   time.Duration
	Attempts []Earlier
	Again    bool // the request has had its final answer
}

// Check names the rules that the answer broke.
func (f *Final) Check() (broken []Rule) {
	if f.Again {
		broken = append(broken, AnswerTwice)
	}
	if f.At.Sub(f.Deadline) > LateSlack {
		broken = append(broken, AnswerLate)
	}
	if !f.Refused || f.Effect == balance.Safe {
		return broken
	}
	for _, e := range f.Attempts {
		known := f.Effect == balance.Deduped && f.Scope == balance.ScopeAll && f.At.Sub(e.Began) <= f.Window
		if !e.Began.IsZero() && !e.Never && !known {
			return append(broken, RefuseMayHaveRun)
		}
	}
	return broken
}
