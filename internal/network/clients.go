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

// Timeouts of a client session.
const (
	firstReqTimeout = 2500 * time.Millisecond // from connecting until the first request is complete
	reqTimeout      = 2500 * time.Millisecond // for the rest of a later request that has begun
	idleTimeout     = 3 * time.Minute         // between requests
	writeTimeout    = 5 * time.Second         // for an answer to be written
	shedRetryAfter  = 500 * time.Millisecond  // Retry-After of a client that is refused for lack of descriptors
	finalReadWait   = 5 * time.Millisecond    // for a request that arrives as its session is about to be closed
	closeWait       = 20 * time.Millisecond   // for sessions that were told to close to be gone
)

// Clients serves client sessions over HTTP/1.1, and keeps the table of the sessions of both fronts.
type Clients struct {
	Names            *platform.Names
	Count            *counters.Set
	Core             *core.Core
	MaxSessions      int   // until Resize; beyond it an idle one is closed, or if there is none a few new clients are refused
	MaxJobSessions   int   // of sessions that serve jobs, until Resize; beyond it the one idle for longest is closed
	MaxBufferedBytes int64 // bytes of bodies and answers that may be buffered for all sessions together, before bodies are refused
	LongestDeadline  time.Duration
	Stats            func() string
	Members          func() string // the list of backends in a readable form; may be nil
	Log              zerolog.Logger
	Guard            *guard.Recorder // checks the rules at run time and keeps the trace; may be nil

	directives        atomic.Pointer[service.Directives] // nil for a dispatcher in service
	acceptGate        acceptGate
	acceptQueue       acceptQueue
	limits            atomic.Pointer[DescriptorLimits] // set by Resize; nil for MaxSessions and MaxJobSessions
	bufferedBytes     atomic.Int64
	rejectedLingering atomic.Int32 // clients of both fronts that were rejected for lack of a descriptor and still linger
	rejected          rejectedSessions
	table             table
}

// currentDirectives returns what the service state asks for now.
func (c *Clients) currentDirectives() *service.Directives {
	if d := c.directives.Load(); d != nil {
		return d
	}
	return &inServiceDirectives
}

// Resize sets how many sessions there may be from now on. Idle ones beyond it are closed; sessions with an unanswered request
// go on.
func (c *Clients) Resize(limits DescriptorLimits) {
	c.limits.Store(&limits)
	c.table.shrinkTo(limits.Clients)
}

// OpenSessions returns how many sessions there are.
func (c *Clients) OpenSessions() int {
	n, _ := c.table.sessionCounts(time.Time{})
	return n
}

func (c *Clients) maxSessions() int {
	if limits := c.limits.Load(); limits != nil {
		return limits.Clients
	}
	return c.MaxSessions
}

func (c *Clients) maxJobSessions() int {
	if limits := c.limits.Load(); limits != nil {
		return limits.JobSessions
	}
	return c.MaxJobSessions
}

var inServiceDirectives = service.Directives{Ready: true, Accept: true}

// session is one client's HTTP/1.1 connection. Its goroutine reads. The answer to a request is written by another goroutine,
// so that a client that closes the connection meanwhile is noticed.
type session struct {
	sessionState
	clients   *Clients
	arrival   *arrivalClock
	overLimit bool   // beyond the limit: refused at its first request
	reqID     string // id of the last request that was taken, for the trace
	// clientEnds says that the client asked for the close or sent more than is buffered. What follows the last answer is then
	// not handled.
	clientEnds bool
	answer     chan core.Answer

	// Used by the reading goroutine only.
	parser         platform.RequestParser
	firstByteAt    time.Time // when the first byte of the request that is being read reached this machine
	lastByteAt     time.Time // when the last byte received so far did
	pipelineTurn   time.Time // when pipelined bytes became the current request: the timeout for its rest counts from then
	finalRead      bool      // its timeout has passed, and this is the last read for a request
	bufferedBytes  int64     // of the body that is being read or answered
	clientDeadline time.Time // until then the client of the current request waits for its answer
}

// writeResult tells the reading goroutine how the write of the answer ended.
type writeResult struct {
	jobReleased, closing bool
	err                  error
}

// maxExcessSessions is how many sessions beyond the limit are accepted in order to be refused.
const maxExcessSessions = 16

// lingerHeadroom is how many sessions beyond the limit there may be before lingering sessions are closed for new ones. The
// rest of maxExcessSessions is for new clients while those close, so that many of them close together and not one after the
// other.
const lingerHeadroom = maxExcessSessions / 2

// Serve accepts connections until the listener is closed. It accepts without delay, as a request counts as accepted once the
// kernel has it.
func (c *Clients) Serve(l net.Listener) { c.accept(l, c.admit) }

func (c *Clients) accept(l net.Listener, admit func(net.Conn)) {
	c.acceptGate.add(l)
	loop := accepting.Loop{Admit: admit, AwaitResume: c.acceptGate.waitOpen, OnQueueEmpty: c.acceptQueue.emptied, Log: c.Log, Name: "clients"}
	loop.OnError = func(error) {
		c.Count.AcceptsFailed.Add(1)
		c.acceptQueue.acceptFailed(time.Now())
	}
	loop.Run(l)
}

// admit begins a session. The limit is enforced by closing an idle session. If all sessions are busy, a few new clients are read
// so that they can be refused, and further ones are rejected unread: waiting for them would leave regular clients in the
// kernel's queue behind those who fill it.
func (c *Clients) admit(conn net.Conn) {
	s := &session{sessionState: sessionState{conn: conn}, clients: c, arrival: newArrivalClock(conn, c.acceptQueue.queuedSince()), answer: make(chan core.Answer, 1)}
	s.parser.Admit = s.reserveBody
	excess, admitted := c.register(&s.sessionState)
	if s.overLimit = excess; !admitted {
		c.reject(s)
		return
	}
	go s.run()
}

// register adds a session of either front to the table. excess reports that it is beyond the limit and no other could be
// closed for it: its requests are refused. admitted is false if there is no descriptor even for that.
func (c *Clients) register(s *sessionState) (excess, admitted bool) {
	c.Count.ClientSessions.Add(1)
	limit := c.maxSessions()
	n, all, shed := c.table.add(s, limit, c.Guard)
	if admitted = all <= limit+maxExcessSessions || c.waitForCapacity(limit+maxExcessSessions); !admitted {
		c.Count.SessionsRefused.Add(1)
		return true, false
	}
	return n > limit && !shed, true
}

// waitForCapacity waits until there are no more than n sessions. Sessions whose clients still send get longer to end by
// themselves; one of them is cut only if none did.
func (c *Clients) waitForCapacity(n int) bool {
	t := &c.table
	if t.waitForCount(n, closeWait) {
		return true
	}
	return t.oldestExtendedRead() != nil && (t.waitForCount(n, extendedReadGrace) || t.cutExtendedRead() && t.waitForCount(n, closeWait))
}

func (s *session) run() {
	e := s.serve()
	if e != core.ClientClosed {
		s.linger()
	}
	s.checkUnanswered(e)
	s.conn.Close()
	s.release()
	s.clients.Count.Endings[e].Add(1)
	s.clients.table.remove(&s.sessionState)
	s.record(guard.SessionClosed, e)
}

// serve reads requests and has them answered, one at a time.
func (s *session) serve() core.Ending {
	for {
		q, err := s.parser.Next()
		if err != nil {
			return s.refuse(err)
		}
		if q != nil {
			if e, ends := s.handle(q); ends {
				return e
			}
			continue
		}
		if s.parser.WantsContinue() {
			s.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		partial := s.parser.Partial()
		s.setReadDeadline(partial)
		n, err := s.conn.Read(s.parser.Space())
		if n == 0 && err != nil {
			// A read after its deadline returns without checking for bytes. One more read does check.
			if !partial && !s.finalRead && errors.Is(err, os.ErrDeadlineExceeded) {
				s.finalRead = true
				continue
			}
			return s.readEnding(err, partial)
		}
		s.received(n, partial)
	}
}

// smallBody is the longest body that is not counted against the total, as each session has a buffer of that size anyway.
const smallBody = 4 << 10

// reserveBody reserves space for the body of the incoming request in the total for all sessions: all of it if its head tells
// the length, else more as it grows. A body that does not fit is not read.
func (s *session) reserveBody(n int) error {
	if n <= smallBody {
		return nil
	}
	if !s.clients.reserveBytes(n - int(s.bufferedBytes)) {
		return &platform.RequestError{Status: 503, Reason: "no room for the body now", RetryAfter: shedRetryAfter}
	}
	s.bufferedBytes = int64(n)
	return nil
}

// reserveBytes reserves n bytes in the total for all sessions, if they are free.
func (c *Clients) reserveBytes(n int) bool {
	if c.bufferedBytes.Add(int64(n)) > c.MaxBufferedBytes {
		c.bufferedBytes.Add(-int64(n))
		c.Count.BodiesShed.Add(1)
		return false
	}
	return true
}

// Bytes of answers that may be held beyond MaxBufferedBytes, in parts of it. An answer is owed to its client, whatever other
// clients hold: bodies never take this room.
const (
	answerHeadroom   = 4 // while nobody else has to make room
	evictionHeadroom = 2 // while answers that their clients do not read are being dropped
	evictionTarget   = 8 // what is left once enough of them are dropped
)

// reserveAnswer reserves n bytes for an answer, with a part of MaxBufferedBytes beyond that.
func (c *Clients) reserveAnswer(n int, headroom int64) bool {
	if c.bufferedBytes.Add(int64(n)) > c.MaxBufferedBytes+c.MaxBufferedBytes/headroom {
		c.bufferedBytes.Add(-int64(n))
		return false
	}
	return true
}

func (s *session) release() {
	s.clients.bufferedBytes.Add(-s.bufferedBytes)
	s.bufferedBytes = 0
}

// received accounts for n bytes that were read. A request begins with its first byte.
func (s *session) received(n int, partial bool) {
	s.lastByteAt = s.arrival.timeOf(time.Now())
	if !partial {
		s.firstByteAt = s.lastByteAt
	}
	s.parser.Filled(n)
	s.finalRead = false
	s.clients.table.reqStarted(&s.sessionState)
}

// setReadDeadline sets how long to wait for bytes. The first request has a fixed time from connecting, whatever arrives: a
// client that sends nothing, or an incomplete request, must not keep a descriptor.
func (s *session) setReadDeadline(partial bool) {
	t := &s.clients.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case partial && s.hadAnswer:
		from := s.firstByteAt
		if s.pipelineTurn.After(from) {
			from = s.pipelineTurn
		}
		s.conn.SetReadDeadline(from.Add(reqTimeout))
	case partial && s.closeRequested:
		s.conn.SetReadDeadline(time.Now())
	case !partial && (s.closeRequested || s.finalRead):
		s.conn.SetReadDeadline(time.Now().Add(finalReadWait))
	case !s.hadAnswer:
		s.conn.SetReadDeadline(s.idleSince.Add(firstReqTimeout))
	default:
		s.conn.SetReadDeadline(s.idleSince.Add(idleTimeout))
	}
}

// readEnding ends a session from which nothing more arrived. A client that has sent part of a request gets
// an answer with the reason.
func (s *session) readEnding(err error, partial bool) core.Ending {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return core.ClientClosed
	}
	e := core.ClientSilent
	if s.clients.table.mustClose(&s.sessionState) {
		e = core.SessionShed
	}
	switch {
	case !partial:
	case e == core.SessionShed:
		if s.clients.currentDirectives().HandedOver {
			s.clients.Count.HandoverReqsCut.Add(1)
		}
		s.write(platform.AppendAnswer(nil, 503, shedRetryAfter, true, ""))
	default:
		s.write(platform.AppendAnswer(nil, 408, 0, true, "408: the rest of the request did not come\n"))
	}
	return e
}

// refuse answers an invalid request, or one that is not taken, with the reason. Nothing further is read from the client.
func (s *session) refuse(err error) core.Ending {
	c := s.clients
	bad, e := &platform.RequestError{Status: 400}, core.ClientBad
	errors.As(err, &bad)
	if bad.Status == 503 {
		c.Count.ReqsShed.Add(1)
		e = core.SessionShed
	} else {
		c.Count.ReqsBad.Add(1)
	}
	if s.write(platform.AppendAnswer(nil, bad.Status, bad.RetryAfter, true, err.Error()+"\n")) != nil {
		return core.ClientClosed
	}
	return e
}

func (s *session) write(b []byte) error {
	// Not shorter than the client's own deadline: an answer that it has begun to read must not be cut off before.
	deadline := time.Now().Add(writeTimeout)
	if s.clientDeadline.After(deadline) {
		deadline = s.clientDeadline
	}
	s.conn.SetWriteDeadline(deadline)
	_, err := s.conn.Write(b)
	return err
}

// handle answers one request. ends reports that the session ends with it.
func (s *session) handle(q *platform.Request) (e core.Ending, ends bool) {
	if q.Method != "POST" {
		return s.answerDirectly(q)
	}
	c := s.clients
	work, err := c.Names.ReadJobRequest(q)
	if err != nil {
		return s.refuse(err), true
	}
	if s.overLimit {
		return s.refuse(&platform.RequestError{Status: 503, Reason: "too many clients", RetryAfter: shedRetryAfter}), true
	}
	left := c.timeLeft(work.TimeLeft, s.firstByteAt)
	s.clientDeadline = s.firstByteAt.Add(left)
	c.table.reqReceived(&s.sessionState)
	s.reqID = work.ID
	c.table.trimJobSessions(c.maxJobSessions()) // now that one more is busy, as the next client may find no connection left
	job := &core.Job{Method: q.Method, Target: q.Target, ID: work.ID, IdempotencyKey: work.IdempotencyKey, Body: q.Body}
	handle, fresh := c.Core.Submit(work.Request, job, s.firstByteAt, left, s)
	if !fresh {
		return s.refuse(&platform.RequestError{Status: 409, Reason: "this X-Correlation-Id has been used"}), true
	}
	c.Count.ReqsTaken.Add(1)
	s.conn.SetReadDeadline(time.Time{})
	return s.awaitAnswer(handle, q.Close)
}

// timeLeft returns how long a request that arrived at a time may take: in a shutdown, no longer than the shutdown lasts.
func (c *Clients) timeLeft(left time.Duration, arrivedAt time.Time) time.Duration {
	if deadline := c.currentDirectives().AnswerBy; !deadline.IsZero() {
		left = max(min(left, deadline.Sub(arrivedAt)), 0)
	}
	return left
}

// answerDirectly answers a request that is not a job.
func (s *session) answerDirectly(q *platform.Request) (core.Ending, bool) {
	c := s.clients
	status, body := c.statusResponse(q.Method, q.Path())
	closing := q.Close || c.currentDirectives().CloseAfterAnswer
	s.finishReq(true)
	if s.write(platform.AppendAnswer(nil, status, 0, closing, body)) != nil {
		return core.ClientClosed, true
	}
	return core.SessionDone, c.table.reqAnswered(&s.sessionState, false, closing, false)
}

// statusResponse answers the read-only requests about the dispatcher's state.
func (c *Clients) statusResponse(method, path string) (status int, body string) {
	switch {
	case method != "GET":
		return 405, ""
	case path == "/health/ready":
		if !c.currentDirectives().Ready || c.Core.ReadyBackends() == 0 || !c.Core.Serves() {
			return 503, ""
		}
		if !c.Guard.ShutdownTime().IsZero() && !c.currentDirectives().HandedOver { // if handed over, another process serves in the dispatcher's name
			c.Guard.ReportViolation(guard.ReadyAfterShutdown, 0, "", "ready after the process had decided to end")
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

// Answer delivers the final answer of the request; the session's own goroutines write it.
func (s *session) Answer(a core.Answer) { s.answer <- a }
