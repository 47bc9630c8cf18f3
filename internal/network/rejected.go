package network

import (
	"sync"
	"time"

	"tinsail/internal/platform"
)

// Limits for clients that are rejected before anything of them is handled, as there is no descriptor for them. New clients
// wait while one is rejected, so clients that never close are processed at a fixed pace: rejectedReadWait plus finalReadWait
// for each.
const (
	turnedMost = 2                     // that linger at a time, of both fronts: within the descriptors that SplitDescriptors reserves
	turnedLook = 2 * time.Millisecond  // for the bytes that such a client sent to arrive
	turnedWait = 50 * time.Millisecond // for such a client to read its answer, if no other is rejected meanwhile
)

// rejectedSessions are the rejected HTTP/1.1 clients that linger, oldest first.
type turnedAway struct {
	mu   sync.Mutex
	list []*turned
}

type turned struct {
	*session
	gone chan struct{} // closed once its descriptor is free
}

// reject answers 503 to a client that there is no descriptor for, without parsing its request. Its bytes are read and discarded,
// so that the close does not reset the connection, until it closes or later rejected clients need its slot.
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
	s.conn.SetReadDeadline(time.Now().Add(turnedWait)) // before another client can take its slot
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

// reserveRejectedSlot takes a slot for a lingering rejected client. If all are taken it frees that of the oldest one, which
// gets finalReadWait first. It returns false if clients of the HTTP/2 front hold all slots.
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

// evictOldest waits for the oldest one to close, and ends it after finalReadWait. It returns false if there is none.
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
		<-first.gone // its read has ended, and it writes nothing
	}
	return true
}
