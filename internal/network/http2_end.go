package network

import (
	"errors"
	"os"
	"time"

	"tinsail/internal/core"
	"tinsail/internal/http2"
	"tinsail/internal/platform"
)

// shedLinger is how long a session that is shed stays for its client to read what it was sent
// last: streams that cross the GOAWAY would turn a close at once into a reset.
const shedLinger = 100 * time.Millisecond

// lingerBytes is how much of what a client goes on sending is read and dropped after the end.
const lingerBytes = 4 * platform.MaxBody

// halfCloser is a connection that can say that no more bytes follow, and still be read.
type halfCloser interface{ CloseWrite() error }

// giveUp calls off the reqs that can have no answer any more, as soon as the connection is over: their
// client is not waited for to read what was sent last. s.mu is held.
func (s *streams) giveUp() {
	for _, st := range s.m.Lost() {
		if r, ok := st.Data.(*streamReq); ok {
			st.Data = nil
			r.abandon()
		}
	}
}

// finish tells the client, and the reader, that the last byte is written. The reader is woken before
// flushed is closed and under the lock: what it sets from then on for its client to read must not be undone.
func (s *streams) finish() {
	s.mu.Lock()
	s.out = true
	if half, ok := s.conn.(halfCloser); ok {
		half.CloseWrite()
	}
	s.conn.SetReadDeadline(time.Now())
	s.mu.Unlock()
	close(s.flushed)
}

// linger reads on and drops what comes, while the last bytes are written and until the client has had
// time to read them: a close with unread bytes would destroy them on their way, and a client that
// writes before it reads would never come to read.
func (s *streams) linger() {
	if _, ok := s.conn.(halfCloser); ok {
		waste := make([]byte, 4<<10)
		var until time.Time // once all is written
		for left, stays := lingerBytes, true; left > 0 && stays; {
			stays = s.stays(&until)
			n, err := s.conn.Read(waste)
			left -= n
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
		}
	}
	<-s.flushed // within the time that an answer may wait for its client
}

// stays says whether the session is to stay for its client beyond the next read, and sets how long that may wait. The
// table may wake that read at any time, to have the session end. For a shutdown it does so with every
// session, and this one ends in time anyhow; else the descriptor is wanted.
func (s *streams) stays(until *time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.out && until.IsZero() {
		*until = now.Add(s.lingers(now))
	}
	c := s.front.Clients
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if s.shed && s.ending != core.SessionShed && !until.IsZero() && !c.told().Close {
		if soon := now.Add(lastLook); soon.Before(*until) {
			*until = soon
		}
	}
	if until.IsZero() || now.Before(*until) {
		s.conn.SetReadDeadline(*until)
		return true
	}
	s.conn.SetReadDeadline(now.Add(lastLook)) // a read whose time is up does not look whether bytes are there
	return false
}

// lingers is for how long the client may read what was sent last.
func (s *streams) lingers(now time.Time) time.Duration {
	c := s.front.Clients
	stay := lingerWait
	switch s.ending {
	case core.SessionShed: // its descriptor is wanted
		stay = shedLinger
	case core.ClientBad:
		if !c.table.linger(&s.sessionState, c.most()/8+1) {
			stay = lastLook
		}
	}
	// In a shutdown sessions have to be gone before the kill.
	if end := c.told().Until; !end.IsZero() {
		stay = max(min(stay, end.Sub(now)), lastLook)
	}
	return stay
}

// stalled ends a connection whose client took no byte for the whole time that a write may last.
func (s *streams) stalled(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	s.front.Clients.Count.HTTP2Abuse[http2.Stalled].Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over {
		s.over, s.ending = true, core.ClientBad
	}
}

// turnAway ends a connection that there was no room for, which has been told so. It is not waited for
// here, is not in the table any more, and lingers for its client only while few do.
func (s *streams) turnAway() {
	s.over, s.ending = true, core.SessionShed
	c := s.front.Clients
	c.Count.Endings[s.ending].Add(1)
	s.finish()
	if c.turned.Add(1) > turnedMost { // their descriptors are among the few that Share keeps back
		c.turned.Add(-1)
		s.conn.Close()
		return
	}
	go func() {
		s.linger()
		s.conn.Close()
		c.turned.Add(-1)
	}()
}
