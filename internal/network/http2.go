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

// HTTP2 is the second front for clients: HTTP/2 in cleartext. It shares the table of sessions, the limits, the core and the
// drain with Clients. SetLimits may be called at any time and applies to new connections.
type HTTP2 struct {
	Clients *Clients
	limits  atomic.Pointer[HTTP2Limits]
	open    sync.Map // *http2Session of this front, for announceDrain
	ends    atomic.Pointer[net.Listener]
}

// HTTP2Limits are the limits announced to a new connection, and what becomes of requests that are reset.
type HTTP2Limits struct {
	MaxStreams, MaxHeaderBytes, MaxFrameBytes int
	StallTimeout, DrainTimeout                time.Duration
	CancelOnReset                             bool // a reset cancels the request's attempts at backends
}

// SetLimits sets the limits of connections from now on.
func (f *HTTP2) SetLimits(l HTTP2Limits) { f.limits.Store(&l) }

// Serve accepts connections until the listener is closed. SetLimits must have been called.
func (f *HTTP2) Serve(l net.Listener) {
	f.ends.Store(&l)
	f.Clients.accept(l, f.admit)
}

// Bounds of a connection's receive window, which is derived from the memory for all bodies.
const (
	windowLeast = 64 << 10
	windowMost  = 1 << 20
)

// http2Session is one client's HTTP/2 connection. One goroutine reads and one writes; the state machine is guarded by mu,
// which is never held while either waits. The core's goroutine only leaves its answers in the inbox.
type streams struct {
	sessionState
	front  *HTTP2
	limits *HTTP2Limits
	excess bool

	arrival *arrival // used by the reading goroutine

	mu     sync.Mutex
	m      *http2.Conn
	came   time.Time // when the bytes of the last read reached this machine
	busy   bool      // the table counts the session as having open streams
	over   bool
	ending core.Ending // set when the connection has ended
	out    bool        // the last byte is written, and the sending side closed
	armed  time.Time   // when the writer wakes by itself; zero if it does not

	mail struct {
		sync.Mutex
		list, spare []letter
		held        int  // bytes of answers reserved in the total of Clients
		closed      bool // nobody reads it any more
	}
	wake    chan struct{} // to the writer
	flushed chan struct{} // closed by the writer after the last byte
	quit    chan struct{} // closed by the reader when the connection is closed
}

// streamReq is a stream that carries a request, and the request's core.Client.
type streamReq struct {
	s      *streams
	id     uint32
	came   time.Time
	work   platform.Work
	job    core.Job
	taken  bool
	ticket core.Handle
}

// Answer leaves the final answer in the inbox.
func (r *streamReq) Answer(a core.Answer) { r.s.post(letter{id: r.id, answer: a}) }

func (r *streamReq) abandon() {
	if r.taken {
		r.ticket.Abandon(r.s.limits.CancelOnReset, func() { r.s.post(letter{id: r.id, free: true}) })
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
	window := int(min(max(c.MaxBufferedBytes/8, windowLeast), windowMost))
	s.m = http2.New(http2.Config{Streams: l.MaxStreams, HeaderBytes: l.MaxHeaderBytes, FrameBytes: l.MaxFrameBytes,
		BodyBytes: platform.MaxBody, Window: window, Queue: int(c.MaxBufferedBytes / 4), BodyWait: reqWait, WholeWait: max(c.LongestDeadline, reqWait),
		Stall: l.StallTimeout, DrainWait: l.DrainTimeout,
		Admit: c.hold, Release: func(n int) { c.held.Add(-int64(n)) },
		Count: func(a http2.Abuse) { c.Count.HTTP2Abuse[a].Add(1) }}, time.Now())
	c.Count.HTTP2Sessions.Add(1)
	excess, room := c.enter(&s.sessionState)
	if s.excess = excess; !room {
		s.m.End(http2.EnhanceYou, "too many clients")
		s.conn.SetWriteDeadline(time.Now().Add(l.StallTimeout))
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

// read passes bytes to the state machine until it ends the connection (over), or the connection ends otherwise.
func (s *streams) read() (e core.Ending, over bool) {
	for {
		s.mu.Lock()
		space, over, begun := s.m.Space(), s.over, s.m.Begun()
		if !over { // under the lock, so that the writer's wake-up at the end is not undone
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
		s.sort() // answers decided before these bytes were read must not be lost by what the bytes say
		s.m.Filled(n, now)
		if !begun { // bytes that are no complete preface don't protect a session any longer than silence
			s.front.Clients.table.begun(&s.sessionState)
		}
		s.events()
		if s.front.Clients.told().AnnounceClose && s.m.Begun() { // it began after announceDrain had run
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

// setReadDeadline sets how long to wait for bytes: for the preface from connecting on, between requests as long as HTTP/1.1
// does, and without limit while streams are open, which have timeouts of their own. s.mu is held.
func (s *streams) wait(begun bool, live int) {
	t := &s.front.Clients.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case s.shed && s.ending == 0: // otherwise it has had its last read, and only finishes its open streams
		s.conn.SetReadDeadline(time.Now().Add(lastLook))
	case !begun:
		s.conn.SetReadDeadline(s.since.Add(firstWait))
	case live > 0:
		s.conn.SetReadDeadline(time.Time{})
	default:
		s.conn.SetReadDeadline(s.since.Add(idleWait))
	}
}

// readTimedOut handles a read that ended without bytes: the writer has ended the connection, the session was told to close,
// or its client was silent for too long.
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

// write writes what the state machine has to send, and wakes for its timeouts.
func (s *streams) write() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []byte
	var last time.Time // deadline for all remaining bytes, once the connection has ended
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
			s.events() // a connection that drains ends when its last answer has been framed
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
				until := time.Now().Add(s.limits.StallTimeout)
				if over && last.IsZero() {
					last = until
				} else if over {
					until = last
				}
				s.conn.SetWriteDeadline(until)
				if _, err := s.conn.Write(b); err != nil {
					s.stalled(err)
					s.conn.Close()   // the reader notices this,
					close(s.flushed) // or waits for flushed already
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

// maxIdleWriteBuffer is the largest output buffer that an idle connection keeps.
const keepMost = 16 << 10

// noteIdle tells the table when the last stream has ended. s.mu is held.
func (s *streams) settle() {
	if !s.busy || s.m.Live() > 0 || s.over {
		return
	}
	s.m.Pending() // frames the pending output: a stream ends with that
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

// announceDrain tells all connections to drain, without loss of requests; new ones are told as soon as they have begun. The
// sessions themselves are in the table of Clients.
func (f *HTTP2) hint() {
	f.open.Range(func(key, _ any) bool {
		s := key.(*streams)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.m.Begun() { // a connection whose first bytes are still on their way is told by its reader
			s.m.Drain(time.Now())
			s.events()
			s.nudge()
		}
		return true
	})
}

// closeListener stops accepting for good.
func (f *HTTP2) shut() {
	if l := f.ends.Load(); l != nil {
		(*l).Close()
	}
}
