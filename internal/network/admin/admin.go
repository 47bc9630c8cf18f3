// Package admin is the driver of the door, the operators' control listener. It has a listener of its own and a few
// reserved descriptors, so that no client, job or silent caller delays an operator's call.
package admin

import (
	linked "container/list"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/door"
	"tinsail/internal/network/accepting"
)

// Time limits of a caller.
const (
	callTimeout   = 3 * time.Second        // from connecting until the call is complete
	writeTimeout  = 500 * time.Millisecond // for writing the answer
	lingerTimeout = 100 * time.Millisecond // for the caller to read the answer before the close, which may reset the connection
	evictionWait  = 50 * time.Millisecond  // for an evicted caller's connection to be closed
	lastReadWait  = 5 * time.Millisecond   // for an evicted caller's call that has arrived, or is about to
)

// Answer is the answer to a call.
type Answer struct {
	Status  int
	Allow   string // for a 405
	Message string // one short line
}

// Counts are the door's counters.
type Counts struct {
	Callers, Calls, Refused, Silent, Shed atomic.Int64
	Slowest                               atomic.Int64 // ns from a complete call to the last byte of its answer
}

// Each calls f for every counter.
func (c *Counts) Each(f func(name string, n int64)) {
	f("door_callers", c.Callers.Load())
	f("door_calls", c.Calls.Load())
	f("door_refused", c.Refused.Load())
	f("door_silent", c.Silent.Load())
	f("door_shed", c.Shed.Load())
	f("door_slowest_us", c.Slowest.Load()/1000)
}

// Server serves the door.
type Server struct {
	MaxCallers int // limit of callers at a time; beyond it the one that has been unfinished longest is evicted
	Handle     func(door.Call) Answer
	Log        zerolog.Logger
	Count      Counts

	mu         sync.Mutex
	evictable  [2]linked.List // callers that may be evicted, by row and within a row the oldest first
	open       int
	callerLeft chan struct{} // signals that a caller has gone
}

// Rows of callers that may be evicted, in the order of eviction.
const (
	answered = iota // has its answer, and stays only until it has read it
	unfinished
)

// caller is the connection of one caller.
type caller struct {
	conn    net.Conn
	row     int
	element *linked.Element // nil while the call is being answered, and after an eviction
	evicted bool
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.callerLeft = make(chan struct{}, 1)
	s.mu.Unlock()
	loop := accepting.Loop{Admit: s.admit, Log: s.Log, Name: "operators"}
	loop.Run(l)
}

func (s *Server) admit(conn net.Conn) {
	s.Count.Callers.Add(1)
	conn.SetReadDeadline(time.Now().Add(callTimeout)) // before it can be evicted
	c := s.enter(conn)
	go s.serve(c)
	s.awaitEviction()
}

// enter adds a caller. Beyond the limit one caller is evicted: one that has its answer, else the one that has been
// unfinished longest, but never one whose call is being answered.
func (s *Server) enter(conn net.Conn) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &caller{conn: conn}
	if s.open++; s.open > s.MaxCallers {
		for row := range s.evictable {
			if e := s.evictable[row].Front(); e != nil {
				s.Count.Shed.Add(1)
				old := s.evictable[row].Remove(e).(*caller)
				old.element, old.evicted = nil, true
				old.conn.SetReadDeadline(time.Now()) // wakes its goroutine, which closes it
				break
			}
		}
	}
	s.addEvictable(c, unfinished)
	return c
}

// addEvictable puts a caller among those that may be evicted. s.mu is held.
func (s *Server) addEvictable(c *caller, row int) {
	c.row, c.element = row, s.evictable[row].PushBack(c)
}

// removeEvictable takes a caller out of those that may be evicted. s.mu is held.
func (s *Server) removeEvictable(c *caller) {
	if c.element != nil {
		s.evictable[c.row].Remove(c.element)
		c.element = nil
	}
}

// awaitEviction waits for an evicted caller's descriptor to be freed, before the next connection is accepted.
func (s *Server) awaitEviction() {
	timer := time.NewTimer(evictionWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		over := s.open > s.MaxCallers
		s.mu.Unlock()
		if !over {
			return
		}
		select {
		case <-s.callerLeft:
		case <-timer.C:
			return
		}
	}
}

// protect records that a call is complete: its caller is not evicted any more.
func (s *Server) protect(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeEvictable(c)
}

// allowLastRead gives an evicted caller one more short read, and returns whether it did: a call that has arrived already
// and was not read yet is answered all the same.
func (s *Server) allowLastRead(c *caller, lastReadDone bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.evicted && !lastReadDone {
		c.conn.SetReadDeadline(time.Now().Add(lastReadWait))
		return true
	}
	return false
}

func (s *Server) remove(c *caller) {
	c.conn.Close()
	s.mu.Lock()
	s.removeEvictable(c)
	s.open--
	s.mu.Unlock()
	select {
	case s.callerLeft <- struct{}{}:
	default:
	}
}

func (s *Server) serve(c *caller) {
	defer s.remove(c)
	m, lastReadDone := door.NewParser(), false
	for {
		call, ok, err := m.Next()
		if ok || err != nil {
			s.protect(c)
			s.answer(c, m, call, err)
			return
		}
		n, err := c.conn.Read(m.Space())
		m.Filled(n)
		switch {
		case n > 0:
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return
		case s.allowLastRead(c, lastReadDone):
			lastReadDone = true
			continue
		case !lastReadDone:
			s.Count.Silent.Add(1)
			if m.HasInput() {
				s.write(c, m, Answer{Status: 408, Message: "the rest of the call did not come"})
			}
		}
		return
	}
}

// answer carries a call out, or refuses it, and answers it.
func (s *Server) answer(c *caller, m *door.Parser, call door.Call, err error) {
	begun := time.Now()
	var a Answer
	e := s.Log.Info()
	var refusal *door.Refusal
	if errors.As(err, &refusal) {
		s.Count.Refused.Add(1)
		a = Answer{refusal.Status, refusal.Allow, refusal.Reason}
	} else {
		s.Count.Calls.Add(1)
		a = s.Handle(call)
		e.Stringer("call", call.Operation)
		if call.Backend != "" {
			e.Str("backend", call.Backend)
		}
	}
	s.write(c, m, a)
	took := time.Since(begun)
	for old := s.Count.Slowest.Load(); int64(took) > old && !s.Count.Slowest.CompareAndSwap(old, int64(took)); old = s.Count.Slowest.Load() {
	}
	if a.Status < 300 && call.Operation == door.Ready { // called often, and the state is logged when it changes
		e.Discard()
	}
	e.Int("status", a.Status).Str("says", a.Message).Dur("took_ms", took).Msg("door")
}

// write sends an answer. What the caller still sends is read and dropped for a moment: closing with unread bytes
// would reset the connection, and the answer would be lost.
func (s *Server) write(c *caller, m *door.Parser, a Answer) {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.conn.Write(door.AppendAnswer(make([]byte, 0, 256), a.Status, a.Allow, a.Message)); err != nil {
		return
	}
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // under the lock: it must not undo the deadline that an eviction sets
	if s.removeEvictable(c); !c.evicted {
		s.addEvictable(c, answered)
	}
	s.mu.Unlock()
	waste := m.DiscardSpace()
	for left := 64 << 10; left > 0; {
		n, err := c.conn.Read(waste)
		if left -= n; err != nil {
			return
		}
	}
}
