package core

import (
	"fmt"

	"tinsail/internal/balance"
)

// Ending is a way in which a connection, or one exchange on it, can end. Drivers report an
// Ending and nothing else; what it means to the decision module is said by Result alone.
type Ending uint8

// Endings of an attempt at a backend.
const (
	Served    Ending = iota // the backend sent its result
	Failed                  // the backend said that it failed, or answered with an error
	Rejected                // the backend said that the req itself is at fault
	Returned                // the backend handed the req back unstarted, or turned it away
	Unreached               // no connection, or one that broke before the req's last byte was written
	Lost                    // the backend said that the job was killed
	Broken                  // the connection broke or ended after the last byte and before the last line
	Garbled                 // the backend sent what the protocol does not know
	Overdue                 // the dispatcher stopped waiting
	Withdrawn               // the module called the attempt off
	Unsent                  // not a byte went out: the req was over, or the backend no longer listed as ready

	// Endings of a client session.
	ClientClosed // the client went away
	ClientSilent // the client was idle, or its req unfinished, for too long
	ClientBad    // the client sent what is not a req
	SessionDone  // the last answer said Connection: close
	SessionShed  // closed between reqs to make room, or for shutdown
	StreamReset  // the client took back one req of many on a connection

	// Endings of a call to the director.
	ListTold       // an answer with a list
	ListRefused    // another status
	ListUnread     // an answer that is not a list
	ListUnanswered // no connection, a reset, or silence
	endings
)

// Result is the one place where an ending becomes the module's result. Only what proves
// that a req never ran may map to Full, ConnectFailed or NotSent: the rule on duplicated
// effects rests on it. ok is false for endings that are not an attempt's.
func (e Ending) Result() (r balance.Result, ok bool) {
	switch e {
	case Served:
		return balance.OK, true
	case Failed:
		return balance.Error, true
	case Returned:
		return balance.Full, true
	case Unreached:
		return balance.ConnectFailed, true
	case Lost, Broken, Garbled:
		return balance.Reset, true
	case Overdue:
		return balance.TimedOut, true
	case Withdrawn, Rejected: // a client's fault is no bad ending of the backend's
		return balance.Cancelled, true
	case Unsent:
		return balance.NotSent, true
	}
	return 0, false
}

var endingNames = [endings]string{"served", "failed", "rejected", "returned", "unreached", "lost", "broken", "garbled",
	"overdue", "withdrawn", "unsent", "client_closed", "client_silent", "client_bad", "session_done",
	"session_shed", "stream_reset", "list_told", "list_refused", "list_unread", "list_unanswered"}

func (e Ending) String() string { return endingNames[e] }

// Endings lists every ending, for counters.
func Endings() []fmt.Stringer {
	all := make([]fmt.Stringer, endings)
	for i := range all {
		all[i] = Ending(i)
	}
	return all
}
