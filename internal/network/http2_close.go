package network

import (
	"errors"
	"os"
	"time"

	"tinsail/internal/core"
	"tinsail/internal/http2"
	"tinsail/internal/platform"
)

// shedLingerTimeout is how long a session that was told to close waits for its client to read what was sent last: an immediate
// close would reset the connection if streams cross the GOAWAY.
const shedLingerTimeout = 100 * time.Millisecond

// maxHTTP2LingerBytes is how much of what a client sends after the end is read and discarded.
const maxHTTP2LingerBytes = 4 * platform.MaxBody

// halfCloser is a connection whose sending side can be closed while it is still read.
type halfCloser interface{ CloseWrite() error }

// abandonLost abandons the requests that can have no answer any more, as soon as the connection has ended. It does not wait
// for the client to read what was sent last. s.mu is held.
func (s *http2Session) abandonLost() {
	for _, st := range s.machine.Unanswered() {
		if r, ok := st.Data.(*streamReq); ok {
			st.Data = nil
			r.abandon()
		}
	}
}

// closeSend closes the sending side after the last byte and wakes the reader. The reader is woken under the lock and before
// flushed is closed: a read deadline that it sets for its client from then on must not be undone.
func (s *http2Session) closeSend() {
	s.mu.Lock()
	s.sendClosed = true
	if half, ok := s.conn.(halfCloser); ok {
		half.CloseWrite()
	}
	s.conn.SetReadDeadline(time.Now())
	s.mu.Unlock()
	close(s.flushed)
}

// linger reads on and discards what arrives, while the last bytes are written and until the client has had time to read them.
// A close with unread bytes would destroy the last bytes on their way, and a client that writes before it reads would never
// come to read them.
func (s *http2Session) linger() {
	if _, ok := s.conn.(halfCloser); ok {
		buf := make([]byte, 4<<10)
		var until time.Time // set once all is written
		for left, stays := maxHTTP2LingerBytes, true; left > 0 && stays; {
			stays = s.keepLingering(&until)
			n, err := s.conn.Read(buf)
			left -= n
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
		}
	}
	<-s.flushed // within the stall timeout of a write
}

// keepLingering reports whether to read once more for the client, and sets how long that read may wait. The table may wake the
// read at any time so that the session ends. In a shutdown it wakes every session, and this one ends in time anyhow; at other
// times its descriptor is needed.
func (s *http2Session) keepLingering(until *time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.sendClosed && until.IsZero() {
		*until = now.Add(s.lingerDuration(now))
	}
	c := s.front.Clients
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if s.closeRequested && s.ending != core.SessionShed && !until.IsZero() && !c.currentDirectives().CloseAfterAnswer {
		if soon := now.Add(finalReadWait); soon.Before(*until) {
			*until = soon
		}
	}
	if until.IsZero() || now.Before(*until) {
		s.conn.SetReadDeadline(*until)
		return true
	}
	s.conn.SetReadDeadline(now.Add(finalReadWait)) // a read after its deadline returns without checking for bytes
	return false
}

// lingerDuration returns how long the client may take to read what was sent last.
func (s *http2Session) lingerDuration(now time.Time) time.Duration {
	c := s.front.Clients
	stay := lingerTimeout
	switch s.ending {
	case core.SessionShed: // its descriptor is needed
		stay = shedLingerTimeout
	case core.ClientBad:
		if !c.table.startLingering(&s.sessionState, c.maxSessions()/8+1) {
			stay = finalReadWait
		}
	}
	// In a shutdown sessions must be closed before the process is killed.
	if end := c.currentDirectives().AnswerBy; !end.IsZero() {
		stay = max(min(stay, end.Sub(now)), finalReadWait)
	}
	return stay
}

// writeFailed ends a connection whose client took no byte for the whole time that a write may last.
func (s *http2Session) writeFailed(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	s.front.Clients.Count.HTTP2Abuse[http2.StalledAnswer].Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended, s.ending = true, core.ClientBad
	}
}

// reject ends a connection that there is no descriptor for, after the client was told so. It does not wait for the client.
// The session is not in the table any more, and lingers only while few rejected ones do.
func (s *http2Session) reject() {
	s.ended, s.ending = true, core.SessionShed
	c := s.front.Clients
	c.Count.Endings[s.ending].Add(1)
	s.closeSend()
	if c.rejectedLingering.Add(1) > maxRejectedLingering { // their descriptors are among the few that SplitDescriptors reserves
		c.rejectedLingering.Add(-1)
		s.conn.Close()
		return
	}
	go func() {
		s.linger()
		s.conn.Close()
		c.rejectedLingering.Add(-1)
	}()
}
