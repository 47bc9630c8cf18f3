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
	Clients  *Clients
	limits   atomic.Pointer[HTTP2Limits]
	sessions sync.Map    // its keys are the *http2Session of this front; for announceDrain and evictUnread
	evicting atomic.Bool // evictUnread runs
	listener atomic.Pointer[net.Listener]
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
	f.listener.Store(&l)
	f.Clients.accept(l, f.admit)
}

// Limits of a connection's receive window, which is derived from the memory for all bodies.
const (
	minWindow = 64 << 10
	maxWindow = 1 << 20
)

// http2Session is one client's HTTP/2 connection. One goroutine reads and one writes; the state machine is guarded by mu,
// which neither holds while it waits. The core's goroutine only leaves its answers in the inbox.
type http2Session struct {
	sessionState
	front     *HTTP2
	limits    *HTTP2Limits
	overLimit bool

	arrival *arrivalClock // used by the reading goroutine

	mu           sync.Mutex
	machine      *http2.Conn
	lastByteAt   time.Time // when the bytes of the last read reached this machine
	hasStreams   bool      // the table counts the session as having open streams
	ended        bool
	ending       core.Ending // set when the connection has ended
	sendClosed   bool        // the last byte is written, and the sending side closed
	writerWakeAt time.Time   // when the writer wakes by itself; zero if it does not

	inbox struct {
		sync.Mutex
		items, spare  []inboxItem
		bufferedBytes int       // bytes of answers reserved in the total of Clients
		since         time.Time // when the first of the items came
		closed        bool      // nobody reads it any more
	}
	inboxBytes int           // bytes reserved for items that processInbox passes on; guarded by mu
	wakeWriter chan struct{} // wakes the writer; holds one signal
	flushed    chan struct{} // closed by the writer after the last byte
	readerDone chan struct{} // closed by the reader when the connection is closed
}

// streamReq is a stream that carries a request, and the request's core.Client.
type streamReq struct {
	session   *http2Session
	id        uint32
	arrivedAt time.Time
	work      platform.JobRequest
	job       *core.Job // nil once it is submitted: the stream may live on long after the answer
	taken     bool
	handle    core.Handle
}

// Answer leaves the final answer in the inbox.
func (r *streamReq) Answer(a core.Answer) { r.session.post(inboxItem{streamID: r.id, answer: a}) }

func (r *streamReq) abandon() {
	if r.taken {
		r.handle.Abandon(r.session.limits.CancelOnReset, func() { r.session.post(inboxItem{streamID: r.id, released: true}) })
	}
}

func (s *http2Session) signalWriter() {
	select {
	case s.wakeWriter <- struct{}{}:
	default:
	}
}

func (f *HTTP2) admit(conn net.Conn) {
	c, l := f.Clients, f.limits.Load()
	s := &http2Session{sessionState: sessionState{conn: conn}, front: f, limits: l, wakeWriter: make(chan struct{}, 1),
		flushed: make(chan struct{}), readerDone: make(chan struct{}), arrival: newArrivalClock(conn, c.acceptQueue.queuedSince())}
	window := int(min(max(c.MaxBufferedBytes/8, minWindow), maxWindow))
	s.machine = http2.New(http2.Config{MaxStreams: l.MaxStreams, MaxHeaderBytes: l.MaxHeaderBytes, MaxFrameBytes: l.MaxFrameBytes,
		MaxBodyBytes: platform.MaxBody, ConnectionWindow: window, MaxQueuedBytes: int(c.MaxBufferedBytes / 4), BodyIdleTimeout: reqTimeout, BodyTimeout: max(c.LongestDeadline, reqTimeout),
		StallTimeout: l.StallTimeout, DrainTimeout: l.DrainTimeout,
		Admit: c.reserveBytes, AdmitAnswer: s.admitAnswer, Release: func(n int) { c.bufferedBytes.Add(-int64(n)) },
		OnAbuse: func(a http2.Abuse) { c.Count.HTTP2Abuse[a].Add(1) }}, time.Now())
	c.Count.HTTP2Sessions.Add(1)
	excess, admitted := c.register(&s.sessionState)
	if s.overLimit = excess; !admitted {
		s.machine.Terminate(http2.EnhanceYourCalm, "too many clients")
		s.conn.SetWriteDeadline(time.Now().Add(l.StallTimeout))
		s.conn.Write(s.machine.TakeOutput(nil))
		c.table.remove(&s.sessionState)
		s.reject()
		return
	}
	f.sessions.Store(s, nil)
	go s.run()
}

// run reads until the connection ends.
func (s *http2Session) run() {
	c := s.front.Clients
	go s.write()
	e, over := s.read()
	if over {
		s.linger()
	}
	s.mu.Lock()
	if s.ended {
		e = s.ending
	}
	s.ended = true
	left := s.machine.Close()
	s.closeInbox()
	s.mu.Unlock()
	close(s.readerDone)
	s.conn.Close()
	for _, st := range left {
		if r, ok := st.Data.(*streamReq); ok {
			s.checkUnanswered(r, e)
			r.abandon()
		}
	}
	s.front.sessions.Delete(s)
	c.Count.Endings[e].Add(1)
	c.table.remove(&s.sessionState)
	s.record(guard.SessionClosed, e)
}

// read passes bytes to the state machine until it ends the connection (over), or the connection ends otherwise.
func (s *http2Session) read() (e core.Ending, over bool) {
	for {
		s.mu.Lock()
		space, over, begun := s.machine.Space(), s.ended, s.machine.SettingsReceived()
		if !over { // under the lock, so that the writer's wake-up at the end is not undone
			s.setReadDeadline(begun, s.machine.OpenStreams())
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
			if e, ends := s.readTimedOut(); ends {
				return e, false
			}
			continue
		}
		now := time.Now()
		arrivedAt := s.arrival.timeOf(now)
		s.mu.Lock()
		s.lastByteAt = arrivedAt
		s.processInbox() // answers decided before these bytes were read must not be lost because of what the bytes contain
		s.machine.Filled(n, now)
		if !begun { // an incomplete preface protects a session no longer than silence does
			s.front.Clients.table.reqStarted(&s.sessionState)
		}
		s.handleEvents()
		if s.front.Clients.currentDirectives().AnnounceClose && s.machine.SettingsReceived() { // it began after announceDrain had run
			s.machine.Drain(time.Now())
			s.handleEvents()
		}
		due := s.machine.NextDeadline()
		pending := s.machine.HasOutput() || !due.IsZero() && (s.writerWakeAt.IsZero() || due.Before(s.writerWakeAt))
		s.mu.Unlock()
		if pending {
			s.signalWriter()
		}
	}
}

// setReadDeadline sets how long to wait for bytes: for the preface from connecting on, between requests as long as HTTP/1.1
// does, and without limit while streams are open, which have timeouts of their own. s.mu is held.
func (s *http2Session) setReadDeadline(begun bool, live int) {
	t := &s.front.Clients.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case s.closeRequested && s.ending == 0: // otherwise it has had its last read, and only finishes its open streams
		s.conn.SetReadDeadline(time.Now().Add(finalReadWait))
	case !begun:
		s.conn.SetReadDeadline(s.idleSince.Add(firstReqTimeout))
	case live > 0:
		s.conn.SetReadDeadline(time.Time{})
	default:
		s.conn.SetReadDeadline(s.idleSince.Add(idleTimeout))
	}
}

// readTimedOut handles a read that ended without bytes: the writer has ended the connection, the session was told to close,
// or its client was silent for too long.
func (s *http2Session) readTimedOut() (core.Ending, bool) {
	t := &s.front.Clients.table
	mustClose := t.mustClose(&s.sessionState)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended:
		return 0, false
	case mustClose:
		s.ending = core.SessionShed
		s.machine.StopNewStreams(time.Now())
	case s.machine.OpenStreams() > 0:
		return 0, false
	case !s.machine.SettingsReceived():
		return core.ClientSilent, true
	case !t.closeDue(&s.sessionState):
		return 0, false
	default:
		s.ending = core.ClientSilent
		s.machine.StopNewStreams(time.Now())
	}
	s.handleEvents()
	s.signalWriter()
	return 0, false
}

// write writes what the state machine has to send, and wakes for its timeouts.
func (s *http2Session) write() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []byte
	var finalDeadline time.Time // deadline for all remaining bytes, once the connection has ended
	for {
		select {
		case <-s.wakeWriter:
		case <-timer.C:
			s.mu.Lock()
			s.writerWakeAt = time.Time{}
			s.mu.Unlock()
		case <-s.readerDone:
			return
		}
		for {
			s.mu.Lock()
			s.processInbox()
			next := s.machine.Expire(time.Now())
			s.handleEvents()
			s.machine.HasOutput()
			s.handleEvents() // a connection that drains ends when its last answer has been framed
			b := s.machine.TakeOutput(spare)
			over := s.ended
			if next != s.writerWakeAt {
				if s.writerWakeAt = next; next.IsZero() {
					timer.Stop()
				} else {
					timer.Reset(max(time.Until(next), time.Millisecond))
				}
			}
			s.mu.Unlock()
			if len(b) > 0 {
				until := time.Now().Add(s.limits.StallTimeout)
				if over && finalDeadline.IsZero() {
					finalDeadline = until
				} else if over {
					until = finalDeadline
				}
				s.conn.SetWriteDeadline(until)
				if _, err := s.conn.Write(b); err != nil {
					s.writeFailed(err)
					s.conn.Close()   // the reader notices this,
					close(s.flushed) // or waits for flushed already
					return
				}
			}
			if spare = b; cap(spare) > maxIdleWriteBuffer {
				spare = nil
			}
			if len(b) > 0 {
				continue
			}
			if over {
				s.closeSend()
				return
			}
			break
		}
	}
}

// maxIdleWriteBuffer is the largest output buffer that an idle connection keeps.
const maxIdleWriteBuffer = 16 << 10

// reportIdle tells the table when the last stream has ended. s.mu is held.
func (s *http2Session) reportIdle() {
	if !s.hasStreams || s.machine.OpenStreams() > 0 || s.ended {
		return
	}
	s.machine.HasOutput() // frames the pending output: a stream ends with that
	if s.machine.OpenStreams() > 0 {
		return
	}
	s.hasStreams = false
	t := &s.front.Clients.table
	if t.reqAnswered(&s.sessionState, true, false, false) {
		s.ending = core.SessionShed
		s.machine.StopNewStreams(time.Now())
	}
	t.trimJobSessions(s.front.Clients.maxJobSessions())
}

// announceDrain tells all connections to drain, without loss of requests; new ones are told as soon as they have begun. The
// sessions themselves are in the table of Clients.
func (f *HTTP2) announceDrain() {
	f.sessions.Range(func(key, _ any) bool {
		s := key.(*http2Session)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.machine.SettingsReceived() { // a connection whose first bytes are still on their way is told by its reader
			s.machine.Drain(time.Now())
			s.handleEvents()
			s.signalWriter()
		}
		return true
	})
}

// closeListener stops accepting for good.
func (f *HTTP2) closeListener() {
	if l := f.listener.Load(); l != nil {
		(*l).Close()
	}
}
