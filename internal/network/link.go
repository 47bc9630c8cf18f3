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
type link struct {
	pool    *Pool
	conn    net.Conn
	raw     syscall.RawConn // of conn; nil if it has none, such as a pipe
	backend *core.Backend
	in      *platform.Replies // used by the reading goroutine alone
	since   time.Time         // since when it is idle; guarded by the pool's lock
	gone    bool              // the reading goroutine has ended; guarded by the pool's lock

	mu      sync.Mutex
	state   linkState
	cur     *exchange
	writing bool
	early   *verdict  // outcome that was found while the request was still being written
	owed    bool      // a request was sent and its reply is not complete: bytes may come
	used    time.Time // when it was established, or the last reply ended: the backend's idle timeout counts from then

	// For reads through raw, and the result of one; used by the reading goroutine alone.
	look  func(fd uintptr) bool // tryRead
	into  []byte
	n     int
	fault error
}

type linkState uint8

const (
	taken  linkState = iota // for a request that is not written yet
	busy                    // a request was sent, or is being sent
	ending                  // the outcome is known, and the end of the reply is still to come
	idle
	dead
)

// replyEndTimeout is how long a backend may take to end a reply after its last line.
const lastChunkWait = 2 * time.Second

// maxReplyBytes limits the bytes of one reply with its framing. The protocol has no body longer than platform.MaxBody, but
// chunks of a few bytes make it several times longer on the connection.
const mostReply = 4 * platform.MaxLine

// newBackendConn wraps a connection that is to carry a request at once. The caller starts its reading goroutine.
func newLink(p *Pool, conn net.Conn, b *core.Backend) *link {
	l := &link{pool: p, conn: conn, backend: b, in: platform.NewReplies(false, platform.MaxLine), state: taken, used: time.Now()}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			l.raw, l.look = raw, l.try
		}
	}
	return l
}

// claim takes the connection for a request if it is idle. One whose idle timeout has passed counts as closed, though its
// reader may not have woken yet.
func (l *link) claim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != idle || !time.Now().Before(l.used.Add(l.pool.IdleTimeout)) {
		return false
	}
	l.state = taken
	return true
}

// putIdle puts the connection among the idle ones. It is called by the goroutine that ended an exchange on the connection,
// or that claimed it and wrote nothing. In the second case the idle timeout goes on from before, as it does at the backend.
func (l *link) rest() {
	l.mu.Lock()
	if l.state == dead {
		l.mu.Unlock()
		return
	}
	l.state = idle
	used := l.used
	l.mu.Unlock()
	p := l.pool
	l.conn.SetReadDeadline(used.Add(p.IdleTimeout)) // before it can be claimed: a request that claims it must not lose its own deadline to this one
	p.mu.Lock()
	// Checked under the lock that CloseIdleByID takes once a ban is in force: the connection is closed either here or there.
	// A reading goroutine that has ended took the connection off the list before it was on it: it must not be added any more.
	if l.gone || l.backend.Banned() {
		p.mu.Unlock()
		l.conn.Close() // its reader cleans up
		return
	}
	l.since = time.Now()
	if p.idle == nil {
		p.idle = map[balance.WorkerID][]*link{}
	}
	p.idle[l.backend.ID] = append(p.idle[l.backend.ID], l)
	p.mu.Unlock()
}

// send writes the exchange's request. A connection error proves that the request cannot have run only if it comes before
// the last byte was written. fresh says that the connection was established for this exchange.
func (l *link) send(x *exchange, fresh bool) {
	l.mu.Lock()
	if l.state != dead && !x.may() {
		l.mu.Unlock()
		l.rest()
		x.end(verdict{ending: core.Unsent})
		return
	}
	if l.state == dead || l.spoilt() { // and no byte of this request was written
		l.state = dead
		l.mu.Unlock()
		l.conn.Close()
		if fresh { // no further try: a backend that closes each new connection at once must not be dialled in a loop
			x.end(verdict{ending: core.Unreached})
		} else {
			l.pool.run(x)
		}
		return
	}
	l.cur, l.state, l.writing, l.early, l.owed = x, busy, true, nil, true
	l.conn.SetReadDeadline(time.Time{})
	l.conn.SetWriteDeadline(x.until)
	x.unhook = context.AfterFunc(x.ctx, func() { l.abort(x) })
	l.mu.Unlock()

	wrote := time.Now()
	left := x.until.Sub(wrote)
	parts := net.Buffers{x.head(left)}
	if len(x.body) > 0 {
		parts = append(parts, x.body)
	}
	n, err := parts.WriteTo(l.conn)
	if n > 0 && x.began != nil {
		if len(x.body) <= smallBody { // a longer one may have waited for the backend to read it
			wrote = time.Now()
		}
		x.began(wrote, left)
	}

	l.mu.Lock()
	l.writing = false
	if l.cur != x { // aborted meanwhile
		l.mu.Unlock()
		return
	}
	v := l.early
	if err != nil {
		// The exchange ends under this lock: the reader sees the same error a moment later, does not know whether the last
		// byte was written, and would report that the request may have run. Half a request is on the connection: whatever
		// the reply says, the connection carries no other request.
		if v == nil || v.ending == core.Broken {
			v = &verdict{ending: core.Unreached}
		}
		v.whole, v.due = false, false
	}
	if v == nil {
		l.mu.Unlock()
		return
	}
	l.settle(x, *v)
}

// hasUnsolicitedInput says whether bytes or the connection's end have arrived before a request is written. They cannot be
// its reply, and a reply to an earlier request that was left unread must not be taken for it. It peeks at the kernel's
// buffer without consuming, since the reader may not have woken yet; what the reader consumed, it recorded under the lock.
// l.mu is held.
func (l *link) spoilt() bool {
	if l.raw == nil {
		return false
	}
	var err error
	var b [1]byte
	if l.raw.Control(func(fd uintptr) {
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
func (l *link) abort(x *exchange) {
	l.mu.Lock()
	mine := l.cur == x
	if mine {
		l.cur, l.state = nil, dead
	}
	l.mu.Unlock()
	if mine {
		l.conn.Close()
	}
}

// finish ends an exchange if it is still under way. While the request is being written this is left to the writer, which
// knows whether the last byte was sent; it is stopped, as the rest of the request need not be written.
func (l *link) finish(x *exchange, v verdict) {
	l.mu.Lock()
	switch e := l.early; {
	case l.cur != x || x == nil: // it has ended meanwhile, and the connection may carry another one
		l.mu.Unlock()
	case !l.writing:
		l.settle(x, v)
	default:
		if e == nil {
			l.early = &v
		} else { // the end of the same reply, or of the connection: the outcome that was found first holds
			e.due, e.whole = v.due, v.whole && v.ending == e.ending
		}
		l.conn.SetWriteDeadline(time.Unix(1, 0))
		l.mu.Unlock()
	}
}

// endExchange ends the exchange that is under way and has no write in progress. l.mu is held, and released here.
func (l *link) settle(x *exchange, v verdict) {
	l.cur = nil
	switch {
	case l.state == dead:
		l.mu.Unlock()
		l.conn.Close()
	case v.whole:
		l.used = time.Now()
		l.mu.Unlock()
		l.rest() // before the outcome is reported: the next attempt may use this connection
	case v.due:
		l.state = ending
		l.conn.SetReadDeadline(time.Now().Add(lastChunkWait))
		l.mu.Unlock()
	default:
		l.state = dead
		l.mu.Unlock()
		l.conn.Close()
	}
	x.end(v)
}

// reply is what the reader knows of the reply that is being read.
type reply struct {
	got   verdict
	last  bool // the outcome is known: nothing that still comes changes it
	probe bool
	bytes int
}

// read passes the bytes of the connection to the parser until the connection ends.
func (l *link) read() {
	defer func() {
		l.conn.Close()
		l.pool.mu.Lock()
		l.gone = true
		l.pool.drop(l)
		l.pool.open--
		l.pool.mu.Unlock()
	}()
	r := reply{got: verdict{ending: core.Broken}}
	for {
		n, err := l.receive(l.in.Space())
		if err == errUnasked {
			return
		}
		l.in.Filled(n)
		r.bytes += n
		bad := l.parts(&r) || r.bytes > mostReply
		if err != nil && l.in.Closed() {
			bad = l.parts(&r) || bad
		}
		switch {
		case bad:
			l.broke(core.Garbled)
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if l.retire() {
				return
			}
		case err != nil:
			l.broke(core.Broken)
			return
		}
	}
}

// errUnsolicited is for bytes, or the connection's end, that came while no reply was due.
var errUnasked = errors.New("unsolicited input from the backend")

// receive reads once. Input that comes while no reply is due marks the connection as closed in the same step in which it
// is taken from the kernel: a request that is about to be written finds it in the kernel or sees the mark, and misses
// neither.
func (l *link) receive(p []byte) (n int, err error) {
	if l.raw == nil {
		n, err = l.conn.Read(p)
		l.mu.Lock()
		defer l.mu.Unlock()
		return n, l.note(n, err)
	}
	l.into = p
	if err = l.raw.Read(l.look); err != nil { // the deadline passed, or this side closed the connection
		return 0, err
	}
	return l.n, l.fault
}

// tryRead reads without blocking. It returns false if there is nothing to read yet.
func (l *link) try(fd uintptr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.fault = syscall.EINTR; l.fault == syscall.EINTR; {
		l.n, l.fault = syscall.Read(int(fd), l.into)
	}
	if l.fault == syscall.EAGAIN {
		return false
	}
	if l.fault == nil && l.n == 0 {
		l.fault = errEnded
	}
	l.n = max(l.n, 0)
	l.fault = l.note(l.n, l.fault)
	return true
}

var errEnded = errors.New("the backend closed the connection")

// checkSolicited marks the connection as closed if a read brought input while no reply was due. l.mu is held.
func (l *link) note(n int, err error) error {
	if l.owed || n == 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		return err
	}
	l.state = dead
	return errUnasked
}

// retire marks a connection whose deadline has passed as closed, unless a request has just claimed it.
func (l *link) retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == taken || l.state == busy {
		return false
	}
	if l.state == idle {
		l.pool.Count.BackendRetired.Add(1)
	}
	l.state = dead
	return true
}

func (l *link) broke(e core.Ending) {
	l.mu.Lock()
	l.state = dead
	x := l.cur
	l.mu.Unlock()
	l.finish(x, verdict{ending: e})
}

// handleParts handles what the parser found. It returns true if the connection is to be closed: after a protocol error,
// after input beyond a reply, and after the last reply that the connection carries.
func (l *link) parts(r *reply) (bad bool) {
	for {
		part, line, err := l.in.Next()
		if err != nil {
			return true
		}
		l.mu.Lock()
		x := l.cur
		l.mu.Unlock()
		switch part {
		case platform.More:
			if r.last && x != nil { // the outcome need not wait for the end of the reply
				v := r.got
				v.due = true
				l.finish(x, v)
			}
			return false
		case platform.Head:
			if x == nil {
				return true
			}
			r.got, r.last, r.probe = verdict{ending: core.Broken, report: l.pool.Names.ReadLoad(l.in.Load)}, false, x.probe
			if l.in.Status != 200 {
				r.got.ending, r.last = l.in.Ending(), true
			}
		case platform.Line:
			if l.line(r, x, line) {
				return true
			}
		case platform.End:
			if l.whole(r, x) {
				return true
			}
		}
	}
}

// handleLine handles a line of a reply's body.
func (l *link) line(r *reply, x *exchange, line []byte) (bad bool) {
	switch {
	case l.in.Status != 200 || r.probe && x == nil:
		return false
	case r.probe:
		r.got.ending, r.got.report, r.last = core.Served, l.pool.Names.ReadLoad(string(line)), true
		return false
	case r.last: // a line after the last one; the outcome that is known holds
		l.finish(x, r.got)
		return true
	case x == nil: // aborted, and closed
		return true
	}
	news, err := l.pool.Names.ReadLine(line, x.id)
	switch {
	case err != nil:
		return true
	case news.Last:
		r.last, r.got.ending, r.got.result = true, news.Ending, news.Result
		if news.Report != nil {
			r.got.report = news.Report
		}
	case news.Started:
		x.started()
	default:
		x.share(news.Progress)
	}
	return false
}

// handleEnd handles the end of a reply. It returns true if the connection carries no further request: the backend closes
// it, unsolicited bytes came with the end, or the reply had no outcome.
func (l *link) whole(r *reply, x *exchange) (over bool) {
	if r.probe && l.in.Status == 200 {
		r.got.ending, r.last = core.Served, true
	}
	v := r.got
	v.whole = l.in.Keep && r.last && !l.in.Partial()
	// The outcome ends with this reply. If it were kept, it would be reported for the connection's
	// next request as soon as that one fails, or before the head of its reply is complete.
	*r = reply{got: verdict{ending: core.Broken}}
	l.mu.Lock()
	l.owed = false // from here on, input is unsolicited
	ended := l.state == ending
	if ended {
		l.used = time.Now()
	}
	l.mu.Unlock()
	switch {
	case !ended:
		l.finish(x, v)
	case v.whole:
		l.rest()
	}
	return !v.whole
}
