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

// link is a connection to a backend. One goroutine reads it for as long as it lives, so that
// the end of an idle connection is seen at once and no req is written to it any more.
type link struct {
	pool    *Pool
	conn    net.Conn
	raw     syscall.RawConn // of conn; nil where it has none, as a pipe
	backend *core.Backend
	in      *platform.Replies // touched by the reading goroutine alone
	since   time.Time         // idle since; under the pool's lock
	gone    bool              // its reader has ended; under the pool's lock

	mu      sync.Mutex
	state   linkState
	cur     *exchange
	writing bool
	early   *verdict  // came while the request was still being written
	owed    bool      // a request went out, and the reply is not all here: bytes may come
	used    time.Time // when it was made, or the last reply ended: the backend's time for idle connections runs from there

	// For reads through raw, and what one found; touched by the reading goroutine alone.
	look  func(fd uintptr) bool // try
	into  []byte
	n     int
	fault error
}

type linkState uint8

const (
	taken  linkState = iota // claimed for a request that is not written yet
	busy                    // a request is out
	ending                  // its outcome is known, the reply's end is still due
	idle
	dead
)

// lastChunkWait is how long a backend may take to end a reply after its last line.
const lastChunkWait = 2 * time.Second

// mostReply bounds the bytes of one reply with its framing. The protocol knows no body beyond platform.MaxBody; chunks of
// few bytes make it some times longer on the connection.
const mostReply = 4 * platform.MaxLine

// newLink makes a link of a connection that is to carry a request at once. Its reader is not yet started.
func newLink(p *Pool, conn net.Conn, b *core.Backend) *link {
	l := &link{pool: p, conn: conn, backend: b, in: platform.NewReplies(false, platform.MaxLine), state: taken, used: time.Now()}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			l.raw, l.look = raw, l.try
		}
	}
	return l
}

// claim takes an idle connection for a request. One whose time is up is none, though its reader may not have woken yet.
func (l *link) claim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != idle || !time.Now().Before(l.used.Add(l.pool.Idle)) {
		return false
	}
	l.state = taken
	return true
}

// rest puts the connection among the idle ones. Called by the goroutine that ended an exchange on it, or that claimed it
// and wrote nothing: then its time goes on from before, as the backend's does.
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
	l.conn.SetReadDeadline(used.Add(p.Idle)) // nobody can claim it yet, and clear what is set here
	p.mu.Lock()
	// Looked at under the lock that HangUpOn takes after a ban holds: this connection is seen here or there. A reader
	// that has ended has taken it out of the list before it was in: it must not come in any more.
	if l.gone || l.backend.Withheld() {
		p.mu.Unlock()
		l.conn.Close() // its reader does the rest
		return
	}
	l.since = time.Now()
	if p.idle == nil {
		p.idle = map[balance.WorkerID][]*link{}
	}
	p.idle[l.backend.ID] = append(p.idle[l.backend.ID], l)
	p.mu.Unlock()
}

// send writes the exchange's request. Only before its last byte is written does a break
// prove that the req cannot have run. fresh says that the connection was made for it.
func (l *link) send(x *exchange, fresh bool) {
	l.mu.Lock()
	if l.state != dead && !x.may() {
		l.mu.Unlock()
		l.rest()
		x.end(verdict{ending: core.Unsent})
		return
	}
	if l.state == dead || l.spoilt() { // and not a byte of this req was written
		l.state = dead
		l.mu.Unlock()
		l.conn.Close()
		if fresh { // the next one would fare no better: a backend that hangs up at once is not dialled without end
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
		if len(x.body) <= smallBody { // a longer one may have waited for the backend to take it
			wrote = time.Now()
		}
		x.began(wrote, left)
	}

	l.mu.Lock()
	l.writing = false
	if l.cur != x { // given up meanwhile
		l.mu.Unlock()
		return
	}
	v := l.early
	if err != nil {
		// Taken off under the lock: the reader, which sees the same break a moment later, knows nothing of the last
		// byte and would call it one after which the req may have run. Half a request is on the connection: whatever
		// the reply says, it carries no other.
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

// spoilt says whether bytes or the connection's end are here before a request is written: they cannot be its reply, and
// a reply that another left unread must not be taken for one. It asks the kernel and takes nothing, since the reader may
// not have woken yet; what the reader has taken, it has noted under the lock. l.mu is held.
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
		return true // closed from here
	}
	switch err {
	case syscall.EAGAIN, syscall.ENOSYS, syscall.EINVAL, syscall.EOPNOTSUPP, syscall.ENOTSOCK: // nothing, or no way to know
		return false
	}
	return true // a byte, the end or a break
}

// abort gives an exchange up by closing the connection, which tells the backend.
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

// finish ends an exchange, if it is still out. While the request is still being written that is left to the writer,
// which knows whether its last byte went out; what is not written by then need not be.
func (l *link) finish(x *exchange, v verdict) {
	l.mu.Lock()
	switch e := l.early; {
	case l.cur != x || x == nil: // it was ended meanwhile, and the connection may carry another
		l.mu.Unlock()
	case !l.writing:
		l.settle(x, v)
	default:
		if e == nil {
			l.early = &v
		} else { // the end of the same reply, or of the connection: what the reply said first holds
			e.due, e.whole = v.due, v.whole && v.ending == e.ending
		}
		l.conn.SetWriteDeadline(time.Unix(1, 0))
		l.mu.Unlock()
	}
}

// settle ends the exchange that is out, of which nothing is being written. l.mu is held, and let go.
func (l *link) settle(x *exchange, v verdict) {
	l.cur = nil
	switch {
	case l.state == dead:
		l.mu.Unlock()
		l.conn.Close()
	case v.whole:
		l.used = time.Now()
		l.mu.Unlock()
		l.rest() // before the outcome is told: the next attempt may want this connection
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

// reply is what the reader knows of the reply that is coming in.
type reply struct {
	got   verdict
	last  bool // nothing that matters is due any more
	probe bool
	bytes int
}

// read feeds the machine until the connection ends.
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

// errUnasked is for bytes, or the connection's end, that came while no reply was due.
var errUnasked = errors.New("nothing was asked")

// receive reads once. What comes while no reply is due makes the connection dead in the same step in which it is taken
// from the kernel: a request that is about to be written finds it there or here, never in between.
func (l *link) receive(p []byte) (n int, err error) {
	if l.raw == nil {
		n, err = l.conn.Read(p)
		l.mu.Lock()
		defer l.mu.Unlock()
		return n, l.note(n, err)
	}
	l.into = p
	if err = l.raw.Read(l.look); err != nil { // its deadline, or closed from here
		return 0, err
	}
	return l.n, l.fault
}

// try reads without waiting, and returns whether that is all for now.
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

var errEnded = errors.New("the backend ended the connection")

// note judges what a read brought. l.mu is held.
func (l *link) note(n int, err error) error {
	if l.owed || n == 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		return err
	}
	l.state = dead
	return errUnasked
}

// retire closes a connection whose time is up, unless a request has just claimed it.
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

// parts takes what the machine finds. It returns true where the connection is to be closed: for what the protocol does
// not know, for what is beyond a reply, and after a reply that is its last.
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
			if r.last && x != nil { // nobody need wait for the end of the reply
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

// line takes a line of a reply's body.
func (l *link) line(r *reply, x *exchange, line []byte) (bad bool) {
	switch {
	case l.in.Status != 200 || r.probe && x == nil:
		return false
	case r.probe:
		r.got.ending, r.got.report, r.last = core.Served, l.pool.Names.ReadLoad(string(line)), true
		return false
	case r.last: // a surplus line; the answer before it holds
		l.finish(x, r.got)
		return true
	case x == nil: // given up, and closed
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

// whole takes the end of a reply. It returns true where the connection carries no other: the backend closes it, bytes
// that nobody asked for came with the end, or the reply said nothing that counts.
func (l *link) whole(r *reply, x *exchange) (over bool) {
	if r.probe && l.in.Status == 200 {
		r.got.ending, r.last = core.Served, true
	}
	v := r.got
	v.whole = l.in.Keep && r.last && !l.in.Partial()
	// What this reply said is over with it. Left standing, it would be taken for the answer
	// to the connection's next req as soon as that breaks, or before its head is whole.
	*r = reply{got: verdict{ending: core.Broken}}
	l.mu.Lock()
	l.owed = false // from here on, what comes is noted as unasked
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
