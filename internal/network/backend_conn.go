package network

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/platform"
)

// backendConn is a connection to a backend. One goroutine reads it until it is closed, so that
// the end of an idle connection is seen at once and no request is written to it any more.
type backendConn struct {
	pool        *Pool
	conn        net.Conn
	raw         syscall.RawConn // of conn; nil if it has none, such as a pipe
	backend     *core.Backend
	replies     *platform.ReplyParser // used by the reading goroutine alone
	idleSince   time.Time             // since when it is idle; guarded by the pool's lock
	readerEnded bool                  // the reading goroutine has ended; guarded by the pool's lock

	mu           sync.Mutex
	state        connState
	current      *exchange
	writing      bool
	earlyOutcome *outcome  // outcome that was found while the request was still being written
	replyDue     bool      // a request was sent and its reply is not complete: bytes may come
	lastUsed     time.Time // when it was established, or the last reply ended: the backend's idle timeout counts from then

	// For reads through raw, and the result of one; used by the reading goroutine alone.
	readFunc func(fd uintptr) bool // tryRead
	readBuf  []byte
	readN    int
	readErr  error
}

type connState uint8

const (
	stateClaimed connState = iota // for a request that is not written yet
	stateBusy                     // a request was sent, or is being sent
	stateEnding                   // the outcome is known, and the end of the reply is still to come
	stateIdle
	stateClosed
)

// replyEndTimeout is how long a backend may take to end a reply after its last line.
const replyEndTimeout = 2 * time.Second

// maxReplyBytes limits the bytes of one reply with its framing. The protocol has no body longer than platform.MaxBody, but
// chunks of a few bytes make it several times longer on the connection.
const maxReplyBytes = 4 * platform.MaxLine

// newBackendConn wraps a connection that is to carry a request at once. The caller starts its reading goroutine.
func newBackendConn(p *Pool, conn net.Conn, b *core.Backend) *backendConn {
	c := &backendConn{pool: p, conn: conn, backend: b, replies: platform.NewReplyParser(false, platform.MaxLine), state: stateClaimed, lastUsed: time.Now()}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw, c.readFunc = raw, c.tryRead
		}
	}
	return c
}

// claim takes the connection for a request if it is idle. One whose idle timeout has passed counts as closed, though its
// reader may not have woken yet.
func (c *backendConn) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateIdle || !time.Now().Before(c.lastUsed.Add(c.pool.IdleTimeout)) {
		return false
	}
	c.state = stateClaimed
	return true
}

// putIdle puts the connection among the idle ones. It is called by the goroutine that ended an exchange on the connection,
// or that claimed it and wrote nothing. In the second case the idle timeout still counts from the last use, as
// it does at the backend.
func (c *backendConn) putIdle() {
	c.mu.Lock()
	if c.state == stateClosed {
		c.mu.Unlock()
		return
	}
	c.state = stateIdle
	used := c.lastUsed
	c.mu.Unlock()
	p := c.pool
	c.conn.SetReadDeadline(used.Add(p.IdleTimeout)) // before it can be claimed: a request that claims it must not lose its own deadline to this one
	p.mu.Lock()
	// Checked under the lock that CloseIdleByID takes once a ban is in force: the connection is closed either here or there.
	// A reading goroutine that has ended cannot remove the connection from the list any more, so it must not be added.
	if c.readerEnded || c.backend.Banned() {
		p.mu.Unlock()
		c.conn.Close() // its reader cleans up
		return
	}
	c.idleSince = time.Now()
	if p.idle == nil {
		p.idle = map[balance.WorkerID][]*backendConn{}
	}
	p.idle[c.backend.ID] = append(p.idle[c.backend.ID], c)
	p.mu.Unlock()
}

// send writes the exchange's request. A connection error proves that the request cannot have run only if it comes before
// the last byte was written. fresh says that the connection was established for this exchange.
func (c *backendConn) send(x *exchange, fresh bool) {
	c.mu.Lock()
	if c.state != stateClosed && !x.mayStart() {
		c.mu.Unlock()
		c.putIdle()
		x.end(outcome{ending: core.Unsent})
		return
	}
	if c.state == stateClosed || c.hasUnsolicitedInput() { // and no byte of this request was written
		c.state = stateClosed
		c.mu.Unlock()
		c.conn.Close()
		if fresh { // no further try: a backend that closes each new connection at once must not be dialled in a loop
			x.end(outcome{ending: core.Unreached})
		} else {
			c.pool.run(x)
		}
		return
	}
	c.current, c.state, c.writing, c.earlyOutcome, c.replyDue = x, stateBusy, true, nil, true
	c.conn.SetReadDeadline(time.Time{})
	c.conn.SetWriteDeadline(x.deadline)
	x.stopAbort = context.AfterFunc(x.ctx, func() { c.abort(x) })
	c.mu.Unlock()

	wrote := time.Now()
	left := x.deadline.Sub(wrote)
	parts := net.Buffers{x.makeHead(left)}
	if len(x.body) > 0 {
		parts = append(parts, x.body)
	}
	n, err := parts.WriteTo(c.conn)
	longBody := len(x.body) > smallBody
	x.dropRequest() // the reply may take long, and the request is not sent again
	if n > 0 && x.onStarted != nil {
		if !longBody { // a longer one may have waited for the backend to read it
			wrote = time.Now()
		}
		x.onStarted(wrote, left)
	}

	c.mu.Lock()
	c.writing = false
	if c.current != x { // aborted meanwhile
		c.mu.Unlock()
		return
	}
	v := c.earlyOutcome
	if err != nil {
		// The exchange ends under this lock: the reader sees the same error a moment later, does not know whether the last
		// byte was written, and would report that the request may have run. Half a request is on the connection: whatever
		// the reply says, the connection carries no other request.
		if v == nil || v.ending == core.Broken {
			v = &outcome{ending: core.Unreached}
		}
		v.reusable, v.endPending = false, false
	}
	if v == nil {
		c.mu.Unlock()
		return
	}
	c.endExchange(x, *v)
}

// hasUnsolicitedInput says whether bytes or the connection's end have arrived before a request is written. They cannot be
// its reply, and a reply to an earlier request that was left unread must not be taken for it. It peeks at the kernel's
// buffer without consuming, since the reader may not have woken yet; what the reader consumed, it recorded under the lock.
// c.mu is held.
func (c *backendConn) hasUnsolicitedInput() bool {
	if c.raw == nil {
		return false
	}
	var err error
	var b [1]byte
	if c.raw.Control(func(fd uintptr) {
		for err = syscall.EINTR; err == syscall.EINTR; {
			_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
	}) != nil {
		return true // closed by this side
	}
	switch err {
	case syscall.EAGAIN, syscall.ENOSYS, syscall.EINVAL, syscall.EOPNOTSUPP, syscall.ENOTSOCK: // nothing arrived, or there is no way to know
		return false
	}
	return true // a byte, the end or an error
}

// abort ends an exchange by closing the connection, which tells the backend.
func (c *backendConn) abort(x *exchange) {
	c.mu.Lock()
	mine := c.current == x
	if mine {
		c.current, c.state = nil, stateClosed
	}
	c.mu.Unlock()
	if mine {
		c.conn.Close()
	}
}

// finish ends an exchange if it is still under way. While the request is being written this is left to the writer, which
// knows whether the last byte was sent; its write is interrupted, as the rest of the request need not be sent.
func (c *backendConn) finish(x *exchange, v outcome) {
	c.mu.Lock()
	switch e := c.earlyOutcome; {
	case c.current != x || x == nil: // it has ended meanwhile, and the connection may carry another one
		c.mu.Unlock()
	case !c.writing:
		c.endExchange(x, v)
	default:
		if e == nil {
			c.earlyOutcome = &v
		} else { // the end of the same reply, or of the connection: the outcome that was found first holds
			e.endPending, e.reusable = v.endPending, v.reusable && v.ending == e.ending
		}
		c.conn.SetWriteDeadline(time.Unix(1, 0))
		c.mu.Unlock()
	}
}

// endExchange ends the exchange that is under way and has no write in progress. c.mu is held, and released here.
func (c *backendConn) endExchange(x *exchange, v outcome) {
	c.current = nil
	switch {
	case c.state == stateClosed:
		c.mu.Unlock()
		c.conn.Close()
	case v.reusable:
		c.lastUsed = time.Now()
		c.mu.Unlock()
		c.putIdle() // before the outcome is reported: the next attempt may use this connection
	case v.endPending:
		c.state = stateEnding
		c.conn.SetReadDeadline(time.Now().Add(replyEndTimeout))
		c.mu.Unlock()
	default:
		c.state = stateClosed
		c.mu.Unlock()
		c.conn.Close()
	}
	x.end(v)
}

// reply is what the reader knows of the reply that is being read.
type reply struct {
	outcome outcome
	decided bool // the outcome is known: nothing that still comes changes it
	probe   bool
	bytes   int
}

// readLoop passes the bytes of the connection to the parser until the connection ends.
func (c *backendConn) readLoop() {
	defer func() {
		c.conn.Close()
		c.pool.mu.Lock()
		c.readerEnded = true
		c.pool.removeIdle(c)
		c.pool.open--
		c.pool.mu.Unlock()
	}()
	r := reply{outcome: outcome{ending: core.Broken}}
	for {
		n, err := c.receive(c.replies.Space())
		if err == errUnsolicited {
			return
		}
		c.replies.Filled(n)
		r.bytes += n
		bad := c.handleParts(&r) || r.bytes > maxReplyBytes
		if err != nil && c.replies.ConnectionClosed() {
			bad = c.handleParts(&r) || bad
		}
		switch {
		case bad:
			c.fail(core.Garbled)
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if c.retire() {
				return
			}
		case err != nil:
			c.fail(core.Broken)
			return
		}
	}
}

// errUnsolicited is for bytes, or the connection's end, that came while no reply was due.
var errUnsolicited = errors.New("unsolicited input from the backend")

// receive reads once. Input that comes while no reply is due marks the connection as closed in the same step in which it
// is taken from the kernel: a request that is about to be written finds it in the kernel or sees the mark, and misses
// neither.
func (c *backendConn) receive(p []byte) (n int, err error) {
	if c.raw == nil {
		n, err = c.conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		return n, c.checkSolicited(n, err)
	}
	c.readBuf = p
	if err = c.raw.Read(c.readFunc); err != nil { // the deadline passed, or this side closed the connection
		return 0, err
	}
	return c.readN, c.readErr
}

// tryRead reads without blocking. It returns false if there is nothing to read yet.
func (c *backendConn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.readErr = syscall.EINTR; c.readErr == syscall.EINTR; {
		c.readN, c.readErr = syscall.Read(int(fd), c.readBuf)
	}
	if c.readErr == syscall.EAGAIN {
		return false
	}
	if c.readErr == nil && c.readN == 0 {
		c.readErr = errClosedByBackend
	}
	c.readN = max(c.readN, 0)
	c.readErr = c.checkSolicited(c.readN, c.readErr)
	return true
}

var errClosedByBackend = errors.New("the backend closed the connection")

// checkSolicited marks the connection as closed if a read brought input while no reply was due. c.mu is held.
func (c *backendConn) checkSolicited(n int, err error) error {
	if c.replyDue || n == 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		return err
	}
	c.state = stateClosed
	return errUnsolicited
}

// retire marks a connection whose deadline has passed as closed, unless a request has just claimed it.
func (c *backendConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClaimed || c.state == stateBusy {
		return false
	}
	if c.state == stateIdle {
		c.pool.Count.BackendRetired.Add(1)
	}
	c.state = stateClosed
	return true
}

func (c *backendConn) fail(e core.Ending) {
	c.mu.Lock()
	c.state = stateClosed
	x := c.current
	c.mu.Unlock()
	c.finish(x, outcome{ending: e})
}

// handleParts handles what the parser found. It returns true if the connection is to be closed: after a protocol error,
// after input beyond a reply, and after the last reply that the connection carries.
func (c *backendConn) handleParts(r *reply) (bad bool) {
	for {
		part, line, err := c.replies.Next()
		if err != nil {
			return true
		}
		c.mu.Lock()
		x := c.current
		c.mu.Unlock()
		switch part {
		case platform.NeedMore:
			if r.decided && x != nil { // the outcome need not wait for the end of the reply
				v := r.outcome
				v.endPending = true
				c.finish(x, v)
			}
			return false
		case platform.Head:
			if x == nil {
				return true
			}
			r.outcome, r.decided, r.probe = outcome{ending: core.Broken, report: c.pool.Names.ReadLoad(c.replies.Load)}, false, x.probe
			if c.replies.Status != 200 {
				r.outcome.ending, r.decided = c.replies.Ending(), true
			}
		case platform.Line:
			if c.handleLine(r, x, line) {
				return true
			}
		case platform.End:
			if c.handleEnd(r, x) {
				return true
			}
		}
	}
}

// handleLine handles a line of a reply's body.
func (c *backendConn) handleLine(r *reply, x *exchange, line []byte) (bad bool) {
	switch {
	case c.replies.Status != 200 || r.probe && x == nil:
		return false
	case r.probe:
		r.outcome.ending, r.outcome.report, r.decided = core.Served, c.pool.Names.ReadLoad(string(line)), true
		return false
	case r.decided: // a line after the last one; the outcome that is known holds
		c.finish(x, r.outcome)
		return true
	case x == nil: // aborted, and closed
		return true
	}
	update, err := c.pool.Names.ReadLine(line, x.id)
	switch {
	case err != nil:
		return true
	case update.Last:
		r.decided, r.outcome.ending, r.outcome.result = true, update.Ending, update.Result
		if update.Report != nil {
			r.outcome.report = update.Report
		}
	case update.Started:
		x.onJobStarted()
	default:
		x.onProgress(update.Progress)
	}
	return false
}

// handleEnd handles the end of a reply. It returns true if the connection carries no further request: the backend closes
// it, unsolicited bytes came with the end, or the reply had no outcome.
func (c *backendConn) handleEnd(r *reply, x *exchange) (over bool) {
	if r.probe && c.replies.Status == 200 {
		r.outcome.ending, r.decided = core.Served, true
	}
	v := r.outcome
	v.reusable = c.replies.KeepAlive && r.decided && !c.replies.HasExtraBytes()
	// The outcome ends with this reply. If it were kept, it would be reported for the connection's
	// next request as soon as that one fails, or before the head of its reply is complete.
	*r = reply{outcome: outcome{ending: core.Broken}}
	c.mu.Lock()
	c.replyDue = false // from here on, input is unsolicited
	ended := c.state == stateEnding
	if ended {
		c.lastUsed = time.Now()
	}
	c.mu.Unlock()
	switch {
	case !ended:
		c.finish(x, v)
	case v.reusable:
		c.putIdle()
	}
	return !v.reusable
}
