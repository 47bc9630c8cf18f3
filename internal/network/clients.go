package network

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/guard"
	"tinsail/internal/network/accepting"
	"tinsail/internal/platform"
	"tinsail/internal/service"
)

// Times of a client session.
const (
	firstWait = 2500 * time.Millisecond // for the first req to be whole, from connecting
	reqWait   = 2500 * time.Millisecond // for the rest of a later req that has begun
	idleWait  = 3 * time.Minute         // between reqs
	writeWait = 5 * time.Second         // for an answer to be taken
	shedPause = 500 * time.Millisecond  // advice to a client that there is no descriptor for
	lastLook  = 5 * time.Millisecond    // for a req that came as its session was to be closed
	roomWait  = 20 * time.Millisecond   // for a session that is being shed to be gone
)

// Clients takes in client sessions.
type Clients struct {
	Names   *platform.Names
	Count   *counters.Set
	Core    *core.Core
	Most    int   // sessions, until Resize; beyond it one that asks for nothing goes, and if there is none a few are told to come back
	Usual   int   // sessions that serve jobs, until Resize; beyond it the one that has been idle longest goes
	Held    int64 // bytes of bodies that may be held for all sessions together
	Longest time.Duration
	Stats   func() string
	Members func() string // the list of backends for people; may be nil
	Log     zerolog.Logger
	Guard   *guard.Recorder // checks the rules at run time and keeps the trace; may be nil

	orders atomic.Pointer[service.Orders] // nil stands for a dispatcher in service
	gate   gate
	queue  acceptQueue
	size   atomic.Pointer[Budget] // by Resize; nil for Most and Usual
	held   atomic.Int64
	turned atomic.Int32 // clients of both fronts that were turned away unread, and still linger
	away   turnedAway
	table  table
}

// told is what the state of service asks for now.
func (c *Clients) told() *service.Orders {
	if o := c.orders.Load(); o != nil {
		return o
	}
	return &inService
}

// Resize sets how many sessions there may be from now on. Idle ones beyond it are closed; those that are
// owed an answer go on.
func (c *Clients) Resize(b Budget) {
	c.size.Store(&b)
	c.table.shrink(b.Clients)
}

// Open is how many sessions there are.
func (c *Clients) Open() int {
	n, _ := c.table.open(time.Time{})
	return n
}

func (c *Clients) most() int {
	if b := c.size.Load(); b != nil {
		return b.Clients
	}
	return c.Most
}

func (c *Clients) usual() int {
	if b := c.size.Load(); b != nil {
		return b.Usual
	}
	return c.Usual
}

var inService = service.Orders{Ready: true, Accept: true}

// session is one client's connection. Its goroutine reads; the answer of a req is written by
// another, so that a client that goes away meanwhile is noticed.
type session struct {
	sessionState
	clients *Clients
	arrival *arrival
	excess  bool   // beyond the budget: turned away at its first req
	request string // the last that was taken, for the trace
	// endsItself says that its client asked for the close or sent more than is kept: nothing behind the last answer counts.
	endsItself bool
	answer     chan core.Answer

	// Touched by the reading goroutine alone.
	in     platform.Requests
	came   time.Time // when the first byte came to this machine of what is being read
	read   time.Time // when the last byte came
	turn   time.Time // when what was sent ahead had its turn: the rest of it is due from then on
	looked bool      // its time is up, and this is the last look for a req
	held   int64     // of the body that is being read or answered
	until  time.Time // the client of the req that is answered waits so long
}

// written tells the reading goroutine that the answer has gone out.
type written struct {
	free, closing bool
	err           error
}

// excessMost is how many sessions beyond the budget are taken on to be told so.
const excessMost = 16

// lingerRoom is how many sessions beyond the budget there may be before those that linger go for whoever comes: the rest of
// excessMost is for newcomers while they go, so that a crowd of them is gone together and not one after the other.
const lingerRoom = excessMost / 2

// Serve accepts eagerly until the listener is closed: a req counts as taken as soon as the
// kernel has it.
func (c *Clients) Serve(l net.Listener) { c.accept(l, c.admit) }

func (c *Clients) accept(l net.Listener, admit func(net.Conn)) {
	c.gate.add(l)
	loop := accepting.Loop{Admit: admit, Paused: c.gate.wait, Waited: c.queue.empty, Log: c.Log, Name: "clients"}
	loop.Failed = func(error) {
		c.Count.AcceptsFailed.Add(1)
		c.queue.failed(time.Now())
	}
	loop.Run(l)
}

// admit begins a session. The budget is kept by closing one that asks for nothing; where all
// ask, a few are read so that they can be told, and the rest is told unread: to wait for them
// would leave the usual clients in the kernel's queue behind those who fill it.
func (c *Clients) admit(conn net.Conn) {
	s := &session{sessionState: sessionState{conn: conn}, clients: c, arrival: newArrival(conn, c.queue.from()), answer: make(chan core.Answer, 1)}
	s.in.Admit = s.hold
	excess, room := c.enter(&s.sessionState)
	if s.excess = excess; !room {
		c.turnAway(s)
		return
	}
	go s.run()
}

// enter seats a session of either front. excess says that it is beyond the budget and all others
// are owed an answer, room whether it can be read to be told so.
func (c *Clients) enter(s *sessionState) (excess, room bool) {
	c.Count.ClientSessions.Add(1)
	most := c.most()
	n, all, shed := c.table.enter(s, most, c.Guard)
	if room = all <= most+excessMost || c.waitRoom(most+excessMost); !room {
		c.Count.SessionsRefused.Add(1)
		return true, false
	}
	return n > most && !shed, true
}

// waitRoom waits until there are no more than n sessions. Those whose clients' bytes come are given longer to go by themselves;
// one of them is cut short only where none did.
func (c *Clients) waitRoom(n int) bool {
	t := &c.table
	if t.waitBelow(n, roomWait) {
		return true
	}
	return t.lateReader() != nil && (t.waitBelow(n, lateReadWait) || t.cutLateReader() && t.waitBelow(n, roomWait))
}

func (s *session) run() {
	e := s.serve()
	if e != core.ClientClosed {
		s.linger()
	}
	s.checkOwed(e)
	s.conn.Close()
	s.release()
	s.clients.Count.Endings[e].Add(1)
	s.clients.table.leave(&s.sessionState)
	s.note(guard.SessionClosed, e)
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
			return s.readEnding(err, partial)
		}
		s.filled(n, partial)
	}
}

// smallBody is the longest that a session has space for anyhow.
const smallBody = 4 << 10

// hold takes the body of the req that is coming in out of the bytes that all sessions
// together may hold: all of it where its head tells the length, else more as it grows. What cannot
// be held is not read.
func (s *session) hold(n int) error {
	if n <= smallBody {
		return nil
	}
	if !s.clients.hold(n - int(s.held)) {
		return &platform.Bad{Status: 503, Reason: "no room for the body now", Pause: shedPause}
	}
	s.held = int64(n)
	return nil
}

// hold takes n bytes of a body out of what all sessions may hold, if they are there.
func (c *Clients) hold(n int) bool {
	if c.held.Add(int64(n)) > c.Held {
		c.held.Add(-int64(n))
		c.Count.BodiesShed.Add(1)
		return false
	}
	return true
}

func (s *session) release() {
	s.clients.held.Add(-s.held)
	s.held = 0
}

// filled takes in bytes. A req is there from its first byte on.
func (s *session) filled(n int, partial bool) {
	s.read = s.arrival.at(time.Now())
	if !partial {
		s.came = s.read
	}
	s.in.Filled(n)
	s.looked = false
	s.clients.table.begun(&s.sessionState)
}

// wait sets the time to wait for bytes. The first req has its time from connecting on, however
// few its bytes: who says nothing, or not all, must not keep a descriptor.
func (s *session) wait(partial bool) {
	t := &s.clients.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case partial && s.used:
		from := s.came
		if s.turn.After(from) {
			from = s.turn
		}
		s.conn.SetReadDeadline(from.Add(reqWait))
	case partial && s.shed:
		s.conn.SetReadDeadline(time.Now())
	case !partial && (s.shed || s.looked):
		s.conn.SetReadDeadline(time.Now().Add(lastLook))
	case !s.used:
		s.conn.SetReadDeadline(s.since.Add(firstWait))
	default:
		s.conn.SetReadDeadline(s.since.Add(idleWait))
	}
}

// readEnding ends a session from which nothing more came. A client that has sent half a req
// is told why.
func (s *session) readEnding(err error, partial bool) core.Ending {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return core.ClientClosed
	}
	e := core.ClientSilent
	if s.clients.table.isShed(&s.sessionState) {
		e = core.SessionShed
	}
	switch {
	case !partial:
	case e == core.SessionShed:
		if s.clients.told().Handed {
			s.clients.Count.HandoverCut.Add(1)
		}
		s.write(platform.AppendAnswer(nil, 503, shedPause, true, ""))
	default:
		s.write(platform.AppendAnswer(nil, 408, 0, true, "408: the rest of the request did not come\n"))
	}
	return e
}

// refuse tells a client what is wrong with what it sent. Nothing more of it is taken up.
func (s *session) refuse(err error) core.Ending {
	c := s.clients
	bad, e := &platform.Bad{Status: 400}, core.ClientBad
	errors.As(err, &bad)
	if bad.Status == 503 {
		c.Count.ReqsShed.Add(1)
		e = core.SessionShed
	} else {
		c.Count.ReqsBad.Add(1)
	}
	if s.write(platform.AppendAnswer(nil, bad.Status, bad.Pause, true, err.Error()+"\n")) != nil {
		return core.ClientClosed
	}
	return e
}

func (s *session) write(b []byte) error {
	// No shorter than the client of a req waits: an answer that it has begun to read must not be cut before.
	by := time.Now().Add(writeWait)
	if s.until.After(by) {
		by = s.until
	}
	s.conn.SetWriteDeadline(by)
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
		return s.refuse(&platform.Bad{Status: 503, Reason: "too many clients", Pause: shedPause}), true
	}
	left := c.patience(w.Left, s.came)
	s.until = s.came.Add(left)
	c.table.taken(&s.sessionState)
	s.request = w.ID
	c.table.trim(c.usual()) // as soon as more are busy: the next client may find no connection left
	job := &core.Job{Method: q.Method, Target: q.Target, ID: w.ID, IdempotencyKey: w.IdempotencyKey, Body: q.Body}
	ticket, fresh := c.Core.Take(w.Ask, job, s.came, left, s)
	if !fresh {
		return s.refuse(&platform.Bad{Status: 409, Reason: "this X-Correlation-Id has been used"}), true
	}
	c.Count.ReqsTaken.Add(1)
	s.conn.SetReadDeadline(time.Time{})
	return s.await(ticket, q.Close)
}

// patience is how long a req that came at a time may take: in a shutdown, not past its end.
func (c *Clients) patience(left time.Duration, came time.Time) time.Duration {
	if until := c.told().Until; !until.IsZero() {
		left = max(min(left, until.Sub(came)), 0)
	}
	return left
}

// plain answers what is not a job.
func (s *session) plain(q *platform.Request) (core.Ending, bool) {
	c := s.clients
	status, body := c.look(q.Method, q.Path())
	closing := q.Close || c.told().Close
	s.done(true)
	if s.write(platform.AppendAnswer(nil, status, 0, closing, body)) != nil {
		return core.ClientClosed, true
	}
	return core.SessionDone, c.table.answered(&s.sessionState, false, closing, false)
}

// look answers what asks how things are.
func (c *Clients) look(method, path string) (status int, body string) {
	switch {
	case method != "GET":
		return 405, ""
	case path == "/health/ready":
		if !c.told().Ready || c.Core.Ready() == 0 || !c.Core.Serves() {
			return 503, ""
		}
		if !c.Guard.Ended().IsZero() && !c.told().Handed { // else another process serves in the dispatcher's name
			c.Guard.Violated(guard.ServeNotReady, 0, "", "ready after the process had decided to end")
		}
		return 200, ""
	case path == "/health/live":
		return 200, ""
	case path == "/counters":
		return 200, c.Stats()
	case path == "/members" && c.Members != nil:
		return 200, c.Members()
	}
	return 404, ""
}

// Answer takes the final answer of the req; the session's own goroutines write it.
func (s *session) Answer(a core.Answer) { s.answer <- a }
