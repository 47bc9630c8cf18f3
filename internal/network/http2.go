package network

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/core"
	"tinsail/internal/guard"
	"tinsail/internal/http2"
	"tinsail/internal/platform"
)

// HTTP2 is the second front for clients: HTTP/2 in cleartext, through the same table of
// sessions, budgets, core and drain as Clients. Set may be called at any time and holds for new
// connections.
type HTTP2 struct {
	Clients *Clients
	limits  atomic.Pointer[HTTP2Limits]
	open    sync.Map // *streams of this front, for hint
	ends    atomic.Pointer[net.Listener]
}

// HTTP2Limits are what a new connection is told, and what becomes of reqs that are reset.
type HTTP2Limits struct {
	Streams, HeaderBytes, FrameBytes int
	Stall, DrainWait                 time.Duration
	Stop                             bool // a reset calls off what is out at backends
}

// Set changes the limits for connections from now on.
func (f *HTTP2) Set(l HTTP2Limits) { f.limits.Store(&l) }

// Serve accepts until the listener is closed. Set must have been called.
func (f *HTTP2) Serve(l net.Listener) {
	f.ends.Store(&l)
	f.Clients.accept(l, f.admit)
}

// Windows and queues of a connection, by the memory that all bodies may take.
const (
	windowLeast = 64 << 10
	windowMost  = 1 << 20
)

// streams is one client's connection. A goroutine reads and one writes; the machine is under
// mu, which is never held while either waits. The core's goroutine only leaves its answers in
// the mail.
type streams struct {
	sessionState
	front  *HTTP2
	limits *HTTP2Limits
	excess bool

	arrival *arrival // of the reading goroutine

	mu     sync.Mutex
	m      *http2.Conn
	came   time.Time // when the last bytes that were read came to this machine
	busy   bool      // the table knows that there are streams
	over   bool
	ending core.Ending // once over
	out    bool        // the last byte is written, and the sending side closed
	armed  time.Time   // that the writer wakes by itself; zero if it does not

	mail struct {
		sync.Mutex
		list, spare []letter
		held        int  // bytes of answers that Clients holds for them
		closed      bool // nobody reads it any more
	}
	wake    chan struct{} // to the writer
	flushed chan struct{} // closed by the writer, after the last byte
	quit    chan struct{} // closed by the reader, when the connection is gone
}

// streamReq is a stream that carries a req, and the req's Client.
type streamReq struct {
	s      *streams
	id     uint32
	came   time.Time
	work   platform.Work
	job    core.Job
	taken  bool
	ticket core.Ticket
}

// Answer leaves the final answer in the mail.
func (r *streamReq) Answer(a core.Answer) { r.s.post(letter{id: r.id, answer: a}) }

func (r *streamReq) abandon() {
	if r.taken {
		r.ticket.Abandon(r.s.limits.Stop, func() { r.s.post(letter{id: r.id, free: true}) })
	}
}

func (s *streams) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (f *HTTP2) admit(conn net.Conn) {
	c, l := f.Clients, f.limits.Load()
	s := &streams{sessionState: sessionState{conn: conn}, front: f, limits: l, wake: make(chan struct{}, 1),
		flushed: make(chan struct{}), quit: make(chan struct{}), arrival: newArrival(conn, c.queue.from())}
	window := int(min(max(c.Held/8, windowLeast), windowMost))
	s.m = http2.New(http2.Config{Streams: l.Streams, HeaderBytes: l.HeaderBytes, FrameBytes: l.FrameBytes,
		BodyBytes: platform.MaxBody, Window: window, Queue: int(c.Held / 4), BodyWait: reqWait, WholeWait: max(c.Longest, reqWait),
		Stall: l.Stall, DrainWait: l.DrainWait,
		Admit: c.hold, Release: func(n int) { c.held.Add(-int64(n)) },
		Count: func(a http2.Abuse) { c.Count.HTTP2Abuse[a].Add(1) }}, time.Now())
	c.Count.HTTP2Sessions.Add(1)
	excess, room := c.enter(&s.sessionState)
	if s.excess = excess; !room {
		s.m.End(http2.EnhanceYou, "too many clients")
		s.conn.SetWriteDeadline(time.Now().Add(l.Stall))
		s.conn.Write(s.m.Take(nil))
		c.table.leave(&s.sessionState)
		s.turnAway()
		return
	}
	f.open.Store(s, nil)
	go s.run()
}

// run reads until the connection ends.
func (s *streams) run() {
	c := s.front.Clients
	go s.write()
	e, over := s.read()
	if over {
		s.linger()
	}
	s.mu.Lock()
	if s.over {
		e = s.ending
	}
	s.over = true
	left := s.m.Close()
	s.shutMail()
	s.mu.Unlock()
	close(s.quit)
	s.conn.Close()
	for _, st := range left {
		if r, ok := st.Data.(*streamReq); ok {
			s.checkOwed(r, e)
			r.abandon()
		}
	}
	s.front.open.Delete(s)
	c.Count.Endings[e].Add(1)
	c.table.leave(&s.sessionState)
	s.note(guard.SessionClosed, e)
}

// read feeds the machine until the connection is over, or ends otherwise.
func (s *streams) read() (e core.Ending, over bool) {
	for {
		s.mu.Lock()
		space, over, begun := s.m.Space(), s.over, s.m.Begun()
		if !over { // under the lock: the writer's wake-up, at the end, must not be undone
			s.wait(begun, s.m.Live())
		}
		s.mu.Unlock()
		if over {
			return 0, true
		}
		n, err := s.conn.Read(space)
		if n == 0 && err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return core.ClientClosed, false
			}
			if e, ends := s.late(); ends {
				return e, false
			}
			continue
		}
		now := time.Now()
		came := s.arrival.at(now)
		s.mu.Lock()
		s.came = came
		s.sort() // what was decided before these bytes were read is not lost by what they say
		s.m.Filled(n, now)
		if !begun { // bytes that make no preface are no reason to be kept longer than silence
			s.front.Clients.table.begun(&s.sessionState)
		}
		s.events()
		if s.front.Clients.told().Hint && s.m.Begun() { // it came too late for hint to find it
			s.m.Drain(time.Now())
			s.events()
		}
		due := s.m.Due()
		pending := s.m.Pending() || !due.IsZero() && (s.armed.IsZero() || due.Before(s.armed))
		s.mu.Unlock()
		if pending {
			s.nudge()
		}
	}
}

// wait sets the time to wait for bytes: for the preface from connecting on, between reqs as
// long as HTTP/1.1 does, and without end while streams are open, which have times of their own.
// s.mu is held.
func (s *streams) wait(begun bool, live int) {
	t := &s.front.Clients.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case s.shed && s.ending == 0: // else it has had its last look, and serves what it has
		s.conn.SetReadDeadline(time.Now().Add(lastLook))
	case !begun:
		s.conn.SetReadDeadline(s.since.Add(firstWait))
	case live > 0:
		s.conn.SetReadDeadline(time.Time{})
	default:
		s.conn.SetReadDeadline(s.since.Add(idleWait))
	}
}

// late finds out why a read ended without bytes: the writer has ended the connection, the
// session is shed, or its client was silent for too long.
func (s *streams) late() (core.Ending, bool) {
	t := &s.front.Clients.table
	shed := t.isShed(&s.sessionState)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.over:
		return 0, false
	case shed:
		s.ending = core.SessionShed
		s.m.Settle(time.Now())
	case s.m.Live() > 0:
		return 0, false
	case !s.m.Begun():
		return core.ClientSilent, true
	case !t.over(&s.sessionState):
		return 0, false
	default:
		s.ending = core.ClientSilent
		s.m.Settle(time.Now())
	}
	s.events()
	s.nudge()
	return 0, false
}

// write writes what the machine has, whenever there is something, and minds the machine's times.
func (s *streams) write() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []byte
	var last time.Time // for the rest, once the connection is over
	for {
		select {
		case <-s.wake:
		case <-timer.C:
			s.mu.Lock()
			s.armed = time.Time{}
			s.mu.Unlock()
		case <-s.quit:
			return
		}
		for {
			s.mu.Lock()
			s.sort()
			next := s.m.Expire(time.Now())
			s.events()
			s.m.Pending()
			s.events() // the last answer of a connection that drains has been framed
			b := s.m.Take(spare)
			over := s.over
			if next != s.armed {
				if s.armed = next; next.IsZero() {
					timer.Stop()
				} else {
					timer.Reset(max(time.Until(next), time.Millisecond))
				}
			}
			s.mu.Unlock()
			if len(b) > 0 {
				until := time.Now().Add(s.limits.Stall)
				if over && last.IsZero() {
					last = until
				} else if over {
					until = last
				}
				s.conn.SetWriteDeadline(until)
				if _, err := s.conn.Write(b); err != nil {
					s.stalled(err)
					s.conn.Close()   // the reader sees that,
					close(s.flushed) // or waits for it already
					return
				}
			}
			if spare = b; cap(spare) > keepMost {
				spare = nil
			}
			if len(b) > 0 {
				continue
			}
			if over {
				s.finish()
				return
			}
			break
		}
	}
}

// keepMost is the largest buffer that an idle connection keeps for output.
const keepMost = 16 << 10

// settle tells the table when the last stream has ended. s.mu is held.
func (s *streams) settle() {
	if !s.busy || s.m.Live() > 0 || s.over {
		return
	}
	s.m.Pending() // frames what is to go out: a stream ends with that
	if s.m.Live() > 0 {
		return
	}
	s.busy = false
	t := &s.front.Clients.table
	if t.answered(&s.sessionState, true, false, false) {
		s.ending = core.SessionShed
		s.m.Settle(time.Now())
	}
	t.trim(s.front.Clients.usual())
}

// hint has all connections go away without loss; new ones are told as soon as they have begun. The
// sessions themselves are in Clients' table.
func (f *HTTP2) hint() {
	f.open.Range(func(key, _ any) bool {
		s := key.(*streams)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.m.Begun() { // one whose first bytes are on their way is told by its reader
			s.m.Drain(time.Now())
			s.events()
			s.nudge()
		}
		return true
	})
}

// shut accepts nobody any more.
func (f *HTTP2) shut() {
	if l := f.ends.Load(); l != nil {
		(*l).Close()
	}
}
