// Package admin is the thin driver of the operators' door: a listener of its own with a few
// descriptors set aside, so that no client, no job and no silent caller keeps a call waiting.
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

// Times of a caller.
const (
	callWait   = 3 * time.Second        // for the call to be whole, from connecting
	writeWait  = 500 * time.Millisecond // for the answer to be taken
	lingerWait = 100 * time.Millisecond // for the caller to read it before what it still sends resets it
	roomWait   = 50 * time.Millisecond  // for a caller who was sent away to be gone
	lastLook   = 5 * time.Millisecond   // for a call that is here, or nearly, as its caller is to be sent away
)

// Answer is what a call is answered by.
type Answer struct {
	Status int
	Allow  string // for a 405
	Says   string // one short line
}

// Counts are what the door has seen.
type Counts struct {
	Callers, Calls, Refused, Silent, Shed atomic.Int64
	Slowest                               atomic.Int64 // ns from a whole call to its answer's last byte
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

// Server is the door.
type Server struct {
	Most  int // callers at a time; beyond it the longest unfinished one goes
	Do    func(door.Call) Answer
	Log   zerolog.Logger
	Count Counts

	mu   sync.Mutex
	rows [2]linked.List // callers who may be sent away, the longest there first
	open int
	left chan struct{} // a caller has gone
}

// Rows of callers who may be sent away, from the first to go.
const (
	answered = iota // and only there so that the answer is read
	unfinished
)

// caller is one connection.
type caller struct {
	conn  net.Conn
	row   int
	place *linked.Element // nil while it is answered, or once it was sent away
	shed  bool
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.left = make(chan struct{}, 1)
	s.mu.Unlock()
	loop := accepting.Loop{Admit: s.admit, Log: s.Log, Name: "operators"}
	loop.Run(l)
}

func (s *Server) admit(conn net.Conn) {
	s.Count.Callers.Add(1)
	conn.SetReadDeadline(time.Now().Add(callWait)) // before it can be sent away
	c := s.enter(conn)
	go s.serve(c)
	s.makeRoom()
}

// enter seats a caller. Beyond the number, the one goes that has been unfinished for the longest
// time: never one whose call is whole, and its answer under way.
func (s *Server) enter(conn net.Conn) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &caller{conn: conn}
	if s.open++; s.open > s.Most {
		for row := range s.rows {
			if e := s.rows[row].Front(); e != nil {
				s.Count.Shed.Add(1)
				old := s.rows[row].Remove(e).(*caller)
				old.place, old.shed = nil, true
				old.conn.SetReadDeadline(time.Now()) // its goroutine closes it
				break
			}
		}
	}
	s.sit(c, unfinished)
	return c
}

// sit puts a caller among those who may be sent away. s.mu is held.
func (s *Server) sit(c *caller, row int) { c.row, c.place = row, s.rows[row].PushBack(c) }

// stand takes a caller out of them. s.mu is held.
func (s *Server) stand(c *caller) {
	if c.place != nil {
		s.rows[c.row].Remove(c.place)
		c.place = nil
	}
}

// makeRoom waits for one who was sent away to be gone, before another descriptor is taken.
func (s *Server) makeRoom() {
	timer := time.NewTimer(roomWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		over := s.open > s.Most
		s.mu.Unlock()
		if !over {
			return
		}
		select {
		case <-s.left:
		case <-timer.C:
			return
		}
	}
}

// whole tells that a call is all here: its caller is not sent away any more.
func (s *Server) whole(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stand(c)
}

// wait sets how long to wait for what comes next, and returns whether to. One who is sent away
// while its call is here already, unread, has it answered all the same.
func (s *Server) wait(c *caller, looked bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.shed && !looked {
		c.conn.SetReadDeadline(time.Now().Add(lastLook))
		return true
	}
	return false
}

func (s *Server) leave(c *caller) {
	c.conn.Close()
	s.mu.Lock()
	s.stand(c)
	s.open--
	s.mu.Unlock()
	select {
	case s.left <- struct{}{}:
	default:
	}
}

func (s *Server) serve(c *caller) {
	defer s.leave(c)
	m, looked := door.NewCaller(), false
	for {
		call, ok, err := m.Next()
		if ok || err != nil {
			s.whole(c)
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
		case s.wait(c, looked):
			looked = true
			continue
		case !looked:
			s.Count.Silent.Add(1)
			if m.Begun() {
				s.write(c, m, Answer{Status: 408, Says: "the rest of the call did not come"})
			}
		}
		return
	}
}

// answer does what a call says and tells how it went.
func (s *Server) answer(c *caller, m *door.Caller, call door.Call, err error) {
	begun := time.Now()
	var a Answer
	e := s.Log.Info()
	var no *door.Refusal
	if errors.As(err, &no) {
		s.Count.Refused.Add(1)
		a = Answer{no.Status, no.Allow, no.Reason}
	} else {
		s.Count.Calls.Add(1)
		a = s.Do(call)
		e.Stringer("call", call.Op)
		if call.Backend != "" {
			e.Str("backend", call.Backend)
		}
	}
	s.write(c, m, a)
	took := time.Since(begun)
	for old := s.Count.Slowest.Load(); int64(took) > old && !s.Count.Slowest.CompareAndSwap(old, int64(took)); old = s.Count.Slowest.Load() {
	}
	if a.Status < 300 && call.Op == door.Ready { // asked often, and the state is logged when it changes
		e.Discard()
	}
	e.Int("status", a.Status).Str("says", a.Says).Dur("took_ms", took).Msg("door")
}

// write sends an answer. What the caller goes on sending is read for a moment: closed over unread bytes, the
// connection would be reset and the answer lost with it.
func (s *Server) write(c *caller, m *door.Caller, a Answer) {
	c.conn.SetWriteDeadline(time.Now().Add(writeWait))
	if _, err := c.conn.Write(door.AppendAnswer(make([]byte, 0, 256), a.Status, a.Allow, a.Says)); err != nil {
		return
	}
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	c.conn.SetReadDeadline(time.Now().Add(lingerWait)) // under the lock: it must not undo what sends the caller away
	if s.stand(c); !c.shed {
		s.sit(c, answered)
	}
	s.mu.Unlock()
	waste := m.Waste()
	for left := 64 << 10; left > 0; {
		n, err := c.conn.Read(waste)
		if left -= n; err != nil {
			return
		}
	}
}
