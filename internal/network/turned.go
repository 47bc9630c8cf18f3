package network

import (
	"sync"
	"time"

	"tinsail/internal/platform"
)

// Clients that are turned away unread. Whoever connects next waits while one is, so that a crowd that never goes by itself
// is let go at a pace: turnedLook and lastLook for each.
const (
	turnedMost = 2                     // that linger at a time, of both fronts: within what Share keeps
	turnedLook = 2 * time.Millisecond  // for what such a one sends to have come
	turnedWait = 50 * time.Millisecond // for such a one to read so, if no other is turned away meanwhile
)

// turnedAway are the clients of HTTP/1.1 that linger so, the first that came first.
type turnedAway struct {
	mu   sync.Mutex
	list []*turned
}

type turned struct {
	*session
	gone chan struct{} // closed once its descriptor is free
}

// turnAway tells a client that there is no descriptor for it, unread. The close must not reset the connection over what it
// sent: that is read and dropped, until the client goes or others that come after it need its place.
func (c *Clients) turnAway(s *session) {
	gone := func() {
		s.conn.Close()
		c.table.leave(&s.sessionState)
	}
	end, ok := s.conn.(interface{ CloseWrite() error })
	if !ok {
		s.write(platform.AppendAnswer(nil, 503, shedPause, true, ""))
		gone()
		return
	}
	s.drop(turnedLook)
	s.write(platform.AppendAnswer(nil, 503, shedPause, true, ""))
	end.CloseWrite()
	if !c.turnedPlace() {
		s.drop(lastLook)
		gone()
		return
	}
	t := &turned{s, make(chan struct{})}
	s.conn.SetReadDeadline(time.Now().Add(turnedWait)) // before another can take its place
	a := &c.away
	a.mu.Lock()
	a.list = append(a.list, t)
	a.mu.Unlock()
	go func() {
		s.dropUntil(lingerMost)
		gone()
		a.leave(t)
		c.turned.Add(-1)
		close(t.gone)
	}()
}

// turnedPlace takes one of the places, if need be that of the client that has had it for longest, and at once only after
// lastLook. It returns false where the other front's clients have all.
func (c *Clients) turnedPlace() bool {
	for range 2 {
		if c.turned.Add(1) <= turnedMost {
			return true
		}
		c.turned.Add(-1)
		if !c.away.cut() {
			return false
		}
	}
	return false
}

func (a *turnedAway) leave(t *turned) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.list {
		if a.list[i] == t {
			a.list = append(a.list[:i], a.list[i+1:]...)
			return
		}
	}
}

// cut waits for the first that came to be gone, and ends it if it stays; false says that there is none.
func (a *turnedAway) cut() bool {
	a.mu.Lock()
	if len(a.list) == 0 {
		a.mu.Unlock()
		return false
	}
	first := a.list[0]
	a.mu.Unlock()
	timer := time.NewTimer(lastLook)
	defer timer.Stop()
	select {
	case <-first.gone:
	case <-timer.C:
		first.conn.SetReadDeadline(time.Now())
		<-first.gone // it reads no more, and writes nothing
	}
	return true
}
