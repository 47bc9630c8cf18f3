package core

import (
	"fmt"

	"tinsail/internal/balance"
)

// Ending is a way in which a connection, or one exchange on it, can end. Drivers report only an Ending; its meaning for the
// decision module is defined by Result alone.
type Ending uint8

// Endings of an attempt at a backend.
const (
	Served    Ending = iota // the backend sent its result
	Failed                  // the backend reported a failure, or answered with an error
	Rejected                // the backend reported that the request itself is invalid
	Returned                // the backend returned the request before starting it, or refused it
	Unreached               // connecting failed, or the connection broke before the request's last byte was written
	Lost                    // the backend reported that the job was killed
	Broken                  // the connection broke or ended between the request's last byte and the answer's last line
	Garbled                 // the backend violated the protocol
	Overdue                 // the dispatcher stopped waiting
	Withdrawn               // the module cancelled the attempt
	Unsent                  // no byte was written: the request was over, or the backend not listed as ready any more

	// Endings of a client session.
	ClientClosed // the client closed the connection
	ClientSilent // the client was idle, or left its request unfinished, for too long
	ClientBad    // the client sent something that is not a request
	SessionDone  // the last answer said Connection: close
	SessionShed  // closed between requests to free its descriptor, or for shutdown
	StreamReset  // the client reset one of several streams on a connection

	// Endings of a call to the director.
	ListReceived   // an answer with a list
	ListRefused    // an answer with another status
	ListInvalid    // an answer that is not a valid list
	ListUnanswered // no connection, a reset, or a timeout
	endingCount
)

// Result converts an ending to the module's result; no other code does. Only an ending that proves that the request never
// ran may map to Full, ConnectFailed or NotSent: the rule on duplicated effects relies on that. ok is false for endings that
// are not an attempt's.
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
	case Withdrawn, Rejected: // an invalid request doesn't count against the backend
		return balance.Cancelled, true
	case Unsent:
		return balance.NotSent, true
	}
	return 0, false
}

var endingNames = [endingCount]string{"served", "failed", "rejected", "returned", "unreached", "lost", "broken", "garbled",
	"overdue", "withdrawn", "unsent", "client_closed", "client_silent", "client_bad", "session_done",
	"session_shed", "stream_reset", "list_told", "list_refused", "list_unread", "list_unanswered"}

func (e Ending) String() string { return endingNames[e] }

// Endings lists all endings, for the counters.
func Endings() []fmt.Stringer {
	all := make([]fmt.Stringer, endingCount)
	for i := range all {
		all[i] = Ending(i)
	}
	return all
}
