package network

import (
	"errors"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"olivebarrow/internal/core"
	"olivebarrow/internal/counters"
	"olivebarrow/internal/platform"
)

// Times of a client session.
const (
	reqWait    = 10 * time.Second       // for the rest of a req that has begun
	idleWait   = 3 * time.Minute        // between reqs
	writeWait  = 5 * time.Second        // for an answer to be taken
	lingerWait = 500 * time.Millisecond // for a client to read why it is turned away
	lateFront  = 600 * time.Millisecond // after SIGTERM, the front may still send new connections
	shedPause  = 500 * time.Millisecond // advice to a client that there is no descriptor for
	freshWait  = time.Second            // a client that has just connected is about to send
	lastLook   = 5 * time.Millisecond   // for a req that came as its session was to be closed
	lookEvery  = 20 * time.Millisecond  // while shutting down
	quietLooks = 5                      // without a session, before the end
)

// Clients takes in client sessions.
type Clients struct {
	Names *platform.Names
	Count *counters.Set
	Core  *core.Core
	Most  int // sessions; beyond it the idlest goes, and if none is idle a few are told to come back
	Stats func() string

	draining atomic.Bool
	mu       sync.Mutex
	sessions map[*session]struct{}
	left     chan struct{} // a session has ended
}

// session is one client's connection. Its goroutine reads; the answer of a req is written by
// another, so that a client that goes away meanwhile is noticed.
type session struct {
	clients *Clients
	conn    net.Conn
	excess  bool // beyond the budget: turned away at its first req
	answer  chan core.Answer

	// Touched by the reading goroutine alone.
	in     platform.Requests
	came   time.Time // when the first byte came of what is being read
	looked bool      // its time is up, and this is the last look for a req

	mu    sync.Mutex
	busy  bool // a req has begun to come in or is being answered
	used  bool // it has had an answer
	shed  bool // told to close
	since time.Time
}

// written tells the reading goroutine that the answer has gone out.
type written struct {
	free, closing bool
	err           error
}

// excessMost is how many sessions beyond the budget are taken on to be told so.
const excessMost = 16

// Serve accepts eagerly until the listener is closed: a req counts as taken as soon as the
// kernel has it.
func (c *Clients) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: do not spin
			log.Print("accepting: ", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.admit(conn)
	}
}

// admit begins a session. The budget is kept by closing the session that has been idle for
// the longest time; where none is, by turning new ones away.
func (c *Clients) admit(conn net.Conn) {
	now := time.Now()
	s := &session{clients: c, conn: conn, since: now, answer: make(chan core.Answer, 1)}
	c.mu.Lock()
	if c.sessions == nil {
		c.sessions, c.left = map[*session]struct{}{}, make(chan struct{}, 1)
	}
	n := len(c.sessions)
	if n >= c.Most {
		s.excess = !c.shedOne()
	}
	c.sessions[s] = struct{}{}
	c.mu.Unlock()
	c.Count.ClientSessions.Add(1)
	go s.run()
	for n >= c.Most+excessMost { // the kernel's queue holds what comes now
		<-c.left
		c.mu.Lock()
		n = len(c.sessions)
		c.mu.Unlock()
	}
}

// shedOne closes the idlest session, if any is idle. c.mu is held.
func (c *Clients) shedOne() bool {
	var oldest *session
	for s := range c.sessions {
		s.mu.Lock()
		if s.idle() && (oldest == nil || s.since.Before(oldest.since)) {
			oldest = s
		}
		s.mu.Unlock()
	}
	return oldest != nil && oldest.shut()
}

// idle says whether the session may be closed: it is between reqs. Before its first req a
// client is given time, for that is on its way, and a client does not repeat it by itself as
// it does one that crosses the closing of a session in use. s.mu is held.
func (s *session) idle() bool {
	return !s.busy && !s.shed && (s.used || time.Since(s.since) >= freshWait)
}

// shut closes the session if it is between reqs.
func (s *session) shut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle() {
		return false
	}
	s.shed = true
	s.conn.SetReadDeadline(time.Now()) // its goroutine wakes, sees whether a req came after all, and closes
	return true
}

func (s *session) run() {
	e := s.serve()
	s.conn.Close()
	c := s.clients
	c.Count.Endings[e].Add(1)
	c.mu.Lock()
	delete(c.sessions, s)
	c.mu.Unlock()
	select {
	case c.left <- struct{}{}:
	default:
	}
}

// serve reads reqs and has them answered, one at a time.
func (s *session) serve() core.Ending {
	for {
		q, err := s.in.Next()
		if err != nil {
			return s.refuse(err)
		}
		if q != nil {
			if e, ends := s.handle(q); ends {
				return e
			}
			continue
		}
		if s.in.Continue() {
			s.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		partial := s.in.Partial()
		s.wait(partial)
		n, err := s.conn.Read(s.in.Space())
		if n == 0 && err != nil {
			// A read whose time is up does not look whether bytes are there. One more does.
			if !partial && !s.looked && errors.Is(err, os.ErrDeadlineExceeded) {
				s.looked = true
				continue
			}
			return s.readEnding(err)
		}
		s.filled(n, partial)
	}
}

// filled takes in bytes. A req is there from its first byte on.
func (s *session) filled(n int, partial bool) {
	if !partial {
		s.came = time.Now()
	}
	s.in.Filled(n)
	s.looked = false
	s.mu.Lock()
	s.busy = true
	s.mu.Unlock()
}

// wait sets the time to wait for bytes.
func (s *session) wait(partial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = partial
	switch {
	case partial:
		s.conn.SetReadDeadline(time.Now().Add(reqWait))
	case s.shed || s.looked:
		s.conn.SetReadDeadline(time.Now().Add(lastLook))
	default:
		if s.used {
			s.since = time.Now()
		}
		s.conn.SetReadDeadline(time.Now().Add(idleWait))
	}
}

func (s *session) readEnding(err error) core.Ending {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return core.ClientClosed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shed {
		return core.SessionShed
	}
	return core.ClientSilent
}

// refuse tells a client what is wrong with what it sent. What it goes on sending is read for
// a moment, so that the answer is not lost to a reset.
func (s *session) refuse(err error) core.Ending {
	s.clients.Count.ReqsBad.Add(1)
	status := 400
	var bad *platform.Bad
	if errors.As(err, &bad) {
		status = bad.Status
	}
	s.write(platform.AppendAnswer(nil, status, 0, true, err.Error()+"\n"))
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
		s.conn.SetReadDeadline(time.Now().Add(lingerWait))
		io.Copy(io.Discard, io.LimitReader(s.conn, 4*platform.MaxBody))
	}
	return core.ClientBad
}

func (s *session) write(b []byte) error {
	s.conn.SetWriteDeadline(time.Now().Add(writeWait))
	_, err := s.conn.Write(b)
	return err
}

// handle answers one request. ends is true where the session is over by it.
func (s *session) handle(q *platform.Request) (e core.Ending, ends bool) {
	if q.Method != "POST" {
		return s.plain(q)
	}
	c := s.clients
	w, err := c.Names.Read(q)
	if err != nil {
		return s.refuse(err), true
	}
	if s.excess {
		c.Count.ReqsShed.Add(1)
		s.write(platform.AppendAnswer(nil, 503, shedPause, true, ""))
		return core.SessionShed, true
	}
	c.Count.ReqsTaken.Add(1)
	job := &core.Job{Method: q.Method, Target: q.Target, ID: w.ID, IdempotencyKey: w.IdempotencyKey, Body: q.Body}
	s.conn.SetReadDeadline(time.Time{})
	return s.await(c.Core.Take(w.Ask, job, s.came, w.Left, s), q.Close)
}

// await waits for the answer to be written, and for the client to send its next req or to
// go away.
func (s *session) await(t core.Ticket, closing bool) (core.Ending, bool) {
	gone, done := make(chan struct{}), make(chan written, 1)
	go s.reply(closing, gone, done)
	var w written
	if s.in.Partial() { // sent ahead: what is here is to be taken up next, and nothing wakes a read
		w = <-done
		s.came = time.Now()
		s.in.Done(w.free)
		return core.SessionDone, w.closing || w.err != nil
	}
	n, err := s.conn.Read(s.in.Space())
	if n > 0 || errors.Is(err, os.ErrDeadlineExceeded) { // more has come, or the session is told to look
		w = <-done
	} else {
		select {
		case w = <-done:
		default:
			close(gone)
			t.Abandon()
			return core.ClientClosed, true
		}
	}
	// The bytes lie behind the req's own: they are taken in before those are given up, or the
	// next req would be read from where the last one stood.
	if n > 0 {
		s.filled(n, false)
	}
	s.in.Done(w.free)
	switch {
	case w.err != nil:
		return core.ClientClosed, true
	case w.closing:
		return core.SessionDone, true
	}
	s.looked = n == 0 // its time is up, or it is told to close
	return 0, false
}

// reply writes the answer once it is there.
func (s *session) reply(closing bool, gone chan struct{}, done chan written) {
	var a core.Answer
	select {
	case a = <-s.answer:
	case <-gone:
		return
	}
	closing = closing || s.clients.draining.Load()
	err := s.write(platform.AppendFinal(make([]byte, 0, 128+len(a.Result)), a, closing))
	s.mu.Lock()
	closing = closing || s.shed
	s.busy, s.used, s.since = false, true, time.Now()
	if closing || err != nil {
		s.conn.SetReadDeadline(s.since)
	} else {
		s.conn.SetReadDeadline(s.since.Add(idleWait))
	}
	s.mu.Unlock()
	done <- written{a.Free, closing, err}
}

// plain answers what is not a job.
func (s *session) plain(q *platform.Request) (core.Ending, bool) {
	c := s.clients
	draining := c.draining.Load()
	status, body := 404, ""
	switch {
	case q.Method != "GET":
		status = 405
	case q.Path() == "/health/ready":
		if status = 503; !draining && c.Core.Ready() > 0 {
			status = 200
		}
	case q.Path() == "/health/live":
		status = 200
	case q.Path() == "/counters":
		status, body = 200, c.Stats()
	}
	closing := q.Close || draining
	s.in.Done(true)
	s.mu.Lock()
	s.used = true
	s.mu.Unlock()
	if s.write(platform.AppendAnswer(nil, status, 0, closing, body)) != nil {
		return core.ClientClosed, true
	}
	return core.SessionDone, closing
}

// Answer takes the final answer of the req; the session's own goroutines write it.
func (s *session) Answer(a core.Answer) { s.answer <- a }

// Drain shuts the front down without losing a req: it goes on accepting and answering, says
// Connection: close, and closes sessions between reqs once the front sends no new ones. It
// returns when none has been left for a moment (a client whose req crossed the closing of its
// session comes back at once), or at the latest after most.
func (c *Clients) Drain(most time.Duration) {
	c.draining.Store(true)
	begun := time.Now()
	time.Sleep(lateFront)
	for quiet := 0; quiet < quietLooks && time.Since(begun) < most; time.Sleep(lookEvery) {
		c.mu.Lock()
		for s := range c.sessions {
			s.shut()
		}
		n := len(c.sessions)
		c.mu.Unlock()
		if quiet++; n > 0 || c.Core.Open() > 0 {
			quiet = 0
		}
	}
}
