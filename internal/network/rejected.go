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
	maxRejectedLingering  = 2                     // of both fronts together; within reservedDescriptors
	rejectedReadWait      = 2 * time.Millisecond  // for the bytes that such a client sent to arrive
	rejectedLingerTimeout = 50 * time.Millisecond // for such a client to read its answer, if no other is rejected meanwhile
)

// rejectedSessions are the rejected HTTP/1.1 clients that linger, oldest first.
type rejectedSessions struct {
	mu   sync.Mutex
	list []*rejectedSession
}

type rejectedSession struct {
	*session
	closed chan struct{} // closed once its descriptor is free
}

// reject answers 503 to a client that there is no descriptor for, without parsing its request. Its bytes are read and
// discarded, so that the close does not reset the connection, until it closes or later rejected clients need its slot.
func (c *Clients) reject(s *session) {
	closeAndRemove := func() {
		s.conn.Close()
		c.table.remove(&s.sessionState)
	}
	conn, ok := s.conn.(interface{ CloseWrite() error })
	if !ok {
		s.write(platform.AppendAnswer(nil, 503, shedRetryAfter, true, ""))
		closeAndRemove()
		return
	}
	s.discardFor(rejectedReadWait)
	s.write(platform.AppendAnswer(nil, 503, shedRetryAfter, true, ""))
	conn.CloseWrite()
	if !c.reserveRejectedSlot() {
		s.discardFor(finalReadWait)
		closeAndRemove()
		return
	}
	t := &rejectedSession{s, make(chan struct{})}
	s.conn.SetReadDeadline(time.Now().Add(rejectedLingerTimeout)) // before another client can take its slot
	a := &c.rejected
	a.mu.Lock()
	a.list = append(a.list, t)
	a.mu.Unlock()
	go func() {
		s.discard(maxLingerBytes)
		closeAndRemove()
		a.remove(t)
		c.rejectedLingering.Add(-1)
		close(t.closed)
	}()
}

// reserveRejectedSlot takes a slot for a lingering rejected client. If all are taken it frees that of the oldest one, which
// gets finalReadWait first. It returns false if clients of the HTTP/2 front hold all slots.
func (c *Clients) reserveRejectedSlot() bool {
	for range 2 {
		if c.rejectedLingering.Add(1) <= maxRejectedLingering {
			return true
		}
		c.rejectedLingering.Add(-1)
		if !c.rejected.evictOldest() {
			return false
		}
	}
	return false
}

func (a *rejectedSessions) remove(t *rejectedSession) {
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
func (a *rejectedSessions) evictOldest() bool {
	a.mu.Lock()
	if len(a.list) == 0 {
		a.mu.Unlock()
		return false
	}
	first := a.list[0]
	a.mu.Unlock()
	timer := time.NewTimer(finalReadWait)
	defer timer.Stop()
	select {
	case <-first.closed:
	case <-timer.C:
		first.conn.SetReadDeadline(time.Now())
		<-first.closed // its read has ended, and it writes nothing
	}
	return true
}
