package network

import (
	"time"

	"tinsail/internal/core"
	"tinsail/internal/http2"
)

// inboxItem is an event of a stream from the core: its final answer, or that nothing of it is at a backend any more after it
// was abandoned.
type letter struct {
	id     uint32
	free   bool
	lost   bool // there was no memory for the answer
	held   int  // bytes of it that are reserved in the total of Clients
	answer core.Answer
}

// smallAnswer is the longest answer, in bytes, that waits in the inbox without a reservation; the state machine uses the same
// bound.
const smallLetter = 1 << 10

// post puts an item into the inbox. It is called from the core's goroutine, which must not wait for a connection. Answers
// stay here while a client reads nothing, and are counted like any other bytes buffered for clients. One connection may hold
// no more of them than of answers that wait for its flow-control windows.
func (s *streams) post(l letter) {
	c := s.front.Clients
	s.mail.Lock()
	if s.mail.closed {
		s.mail.Unlock()
		return
	}
	if n := len(l.answer.Result); n > smallLetter {
		if s.mail.held+n > int(c.MaxBufferedBytes/4) || !c.hold(n) {
			l.lost, l.answer.Result = true, ""
		} else {
			l.held = n
			s.mail.held += n
		}
	}
	s.mail.list = append(s.mail.list, l)
	s.mail.Unlock()
	s.nudge()
}

// closeInbox releases what is reserved for the inbox of a connection that is closed.
func (s *streams) shutMail() {
	s.mail.Lock()
	defer s.mail.Unlock()
	s.front.Clients.held.Add(-int64(s.mail.held))
	s.mail.closed, s.mail.held, s.mail.list, s.mail.spare = true, 0, nil, nil
}

// processInbox passes the items of the inbox to the state machine. s.mu is held.
func (s *streams) sort() {
	c := s.front.Clients
	s.mail.Lock()
	list := s.mail.list
	if len(list) == 0 {
		s.mail.Unlock()
		return
	}
	s.mail.list = s.mail.spare[:0]
	c.held.Add(-int64(s.mail.held)) // the state machine reserves what it keeps
	s.mail.held = 0
	s.mail.Unlock()
	now := time.Now()
	for i := range list {
		l := &list[i]
		switch {
		case l.free:
			s.m.Free(l.id)
		case l.lost:
			c.Count.HTTP2Abuse[http2.Unread].Add(1)
			s.m.Reset(l.id, http2.EnhanceYou)
		case l.answer.Kind == core.Result:
			s.m.Answer(l.id, 200, 0, l.answer.Result, now)
		case l.answer.Kind == core.Refusal:
			s.m.Answer(l.id, 503, l.answer.RetryAfter, "", now)
		default:
			s.m.Answer(l.id, 502, 0, "", now)
		}
	}
	clear(list)
	if s.mail.spare = list; cap(list) > 1024 {
		s.mail.spare = nil
	}
	s.settle()
}
