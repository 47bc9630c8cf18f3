package network

import (
	"fmt"
	"time"

	"tinsail/internal/core"
	"tinsail/internal/guard"
)

// This file passes session events to package guard, for its trace and its check of requests that a close leaves unanswered.

// record adds an event of the session to the trace.
func (s *sessionState) record(step guard.Step, why fmt.Stringer) {
	if s.guard != nil {
		s.guard.Record(guard.Event{At: time.Now(), Session: s.id, Step: step, Reason: why})
	}
}

func (s *session) record(step guard.Step, why fmt.Stringer) {
	if s.sessionState.guard != nil {
		s.sessionState.guard.Record(guard.Event{At: time.Now(), Session: s.id, Request: s.reqID, Step: step, Reason: why})
	}
}

// closeCause returns why a session ends with the answer that was written, or nil if it goes on.
func (s *session) closeCause(closing, flooded bool, err error) fmt.Stringer {
	switch d := s.clients.currentDirectives(); {
	case err != nil:
		return guard.ClientDisconnected
	case !closing:
		return nil
	case flooded:
		return guard.ClientFlooded
	case d.CloseAfterAnswer:
		return closeReason(*d)
	case s.clients.table.mustClose(&s.sessionState):
		return guard.DescriptorNeeded
	}
	return guard.ClientRequestedClose
}

// checkUnanswered counts a violation if this side closes a session although a request that was read has no answer. A client
// that closed the connection, asked for the close, sent an invalid request or sent more than is buffered is excepted: what
// follows its last answer need not be answered.
func (s *session) checkUnanswered(e core.Ending) {
	if s.sessionState.guard == nil {
		return
	}
	t := &s.clients.table
	t.mu.Lock()
	pending := s.answerPending
	t.mu.Unlock()
	switch {
	case e == core.ClientClosed:
	case pending:
		s.sessionState.guard.ReportViolation(guard.ClosedUnanswered, s.id, s.reqID, "closed before its answer")
	case e == core.SessionShed || e == core.SessionDone && !s.clientEnds:
		if q, _ := s.parser.Next(); q != nil && q.Method == "POST" {
			s.sessionState.guard.ReportViolation(guard.ClosedUnanswered, s.id, "", "closed with a request read behind the last answer")
		}
	}
}

// checkUnanswered counts a violation if this side closes a connection, for no fault of its client, with a request that was
// taken and not answered.
func (s *http2Session) checkUnanswered(r *streamReq, e core.Ending) {
	if s.guard != nil && r.taken && e != core.ClientClosed && e != core.ClientBad {
		s.guard.ReportViolation(guard.ClosedUnanswered, s.id, r.job.ID, "its connection was closed before its answer")
	}
}
