package network

import (
	"time"

	"tinsail/internal/core"
	"tinsail/internal/http2"
)

// letter is news of a stream from the core: its final answer, or that nothing of it is out any
// more after it was abandoned.
type letter struct {
	id     uint32
	free   bool
	lost   bool // there was no room for the answer
	held   int  // bytes of it that Clients holds
	answer core.Answer
}

// smallLetter is the longest answer, in bytes, that waits in the mail without being asked for: no longer than what
// the machine holds so.
const smallLetter = 1 << 10

// post leaves news in the mail. Called from the core's goroutine, which waits for no connection. Answers wait
// here while a client reads nothing, and are held like any other bytes for clients: no connection has
// more of them than of answers that wait for its windows.
func (s *streams) post(l letter) {
	c := s.front.Clients
	s.mail.Lock()
	if s.mail.closed {
		s.mail.Unlock()
		return
	}
	if n := len(l.answer.Result); n > smallLetter {
		if s.mail.held+n > int(c.Held/4) || !c.hold(n) {
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

// shutMail gives back what is held for the mail of a connection that is gone.
func (s *streams) shutMail() {
	s.mail.Lock()
	defer s.mail.Unlock()
	s.front.Clients.held.Add(-int64(s.mail.held))
	s.mail.closed, s.mail.held, s.mail.list, s.mail.spare = true, 0, nil, nil
}

// sort takes what is in the mail to the machine. s.mu is held.
func (s *streams) sort() {
	c := s.front.Clients
	s.mail.Lock()
	list := s.mail.list
	if len(list) == 0 {
		s.mail.Unlock()
		return
	}
	s.mail.list = s.mail.spare[:0]
	c.held.Add(-int64(s.mail.held)) // the machine asks for what it keeps
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
		case l.answer.Verdict == core.ResultOf:
			s.m.Answer(l.id, 200, 0, l.answer.Result, now)
		case l.answer.Verdict == core.Refusal:
			s.m.Answer(l.id, 503, l.answer.Pause, "", now)
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
