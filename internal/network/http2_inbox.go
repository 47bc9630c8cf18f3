package network

import (
	"time"

	"tinsail/internal/core"
	"tinsail/internal/http2"
)

// inboxItem is an event of a stream from the core: its final answer, or that nothing of it is at a backend any more after it
// was abandoned.
type inboxItem struct {
	streamID      uint32
	released      bool // nothing of its job is at a backend any more
	dropped       bool // there was no memory for the answer
	bufferedBytes int  // bytes of it that are reserved in the total of Clients
	answer        core.Answer
}

// smallAnswer is the longest answer, in bytes, that waits in the inbox without a reservation; the state machine uses the same
// bound.
const smallAnswer = 1 << 10

// post puts an item into the inbox. It is called from the core's goroutine, which must not wait for a connection. Answers
// stay here while a client reads nothing, and are counted like any other bytes buffered for clients. One connection may hold
// no more of them than of answers that wait for its flow-control windows.
func (s *http2Session) post(item inboxItem) {
	c := s.front.Clients
	s.inbox.Lock()
	if s.inbox.closed {
		s.inbox.Unlock()
		return
	}
	if n := len(item.answer.Result); n > smallAnswer {
		if s.inbox.bufferedBytes+n > int(c.MaxBufferedBytes/4) || !s.front.reserveAnswer(n) {
			item.dropped, item.answer.Result = true, ""
		} else {
			item.bufferedBytes = n
			s.inbox.bufferedBytes += n
		}
	}
	if len(s.inbox.items) == 0 {
		s.inbox.since = time.Now()
	}
	s.inbox.items = append(s.inbox.items, item)
	s.inbox.Unlock()
	s.signalWriter()
}

// closeInbox releases what is reserved for the inbox of a connection that is closed.
func (s *http2Session) closeInbox() {
	s.inbox.Lock()
	defer s.inbox.Unlock()
	s.front.Clients.bufferedBytes.Add(-int64(s.inbox.bufferedBytes))
	s.inbox.closed, s.inbox.bufferedBytes, s.inbox.items, s.inbox.spare = true, 0, nil, nil
}

// admitAnswer reserves the bytes of an answer for the state machine: from the inbox's reservation, where it comes from there. s.mu is
// held.
func (s *http2Session) admitAnswer(n int) bool {
	if n <= s.inboxBytes {
		s.inboxBytes -= n
		return true
	}
	return s.front.reserveAnswer(n)
}

// processInbox passes the items of the inbox to the state machine. s.mu is held.
func (s *http2Session) processInbox() {
	c := s.front.Clients
	s.inbox.Lock()
	items := s.inbox.items
	if len(items) == 0 {
		s.inbox.Unlock()
		return
	}
	s.inbox.items = s.inbox.spare[:0]
	s.inboxBytes = s.inbox.bufferedBytes // the state machine keeps its part of the reservation
	s.inbox.bufferedBytes = 0
	s.inbox.Unlock()
	now := time.Now()
	for i := range items {
		item := &items[i]
		switch {
		case item.released:
			s.machine.ReleaseStream(item.streamID)
		case item.dropped:
			c.Count.HTTP2Abuse[http2.UnreadOutput].Add(1)
			s.machine.Reset(item.streamID, http2.EnhanceYourCalm)
		case item.answer.Kind == core.Result:
			s.machine.Answer(item.streamID, 200, 0, item.answer.Result, now)
		case item.answer.Kind == core.Refusal:
			s.machine.Answer(item.streamID, 503, item.answer.RetryAfter, "", now)
		default:
			s.machine.Answer(item.streamID, 502, 0, "", now)
		}
	}
	c.bufferedBytes.Add(-int64(s.inboxBytes))
	s.inboxBytes = 0
	clear(items)
	if s.inbox.spare = items; cap(items) > 1024 {
		s.inbox.spare = nil
	}
	s.reportIdle()
}
