package network

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
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
	backend *core.Backend
	in      *platform.Replies // touched by the reading goroutine alone
	since   time.Time         // idle since; read under the pool's lock

	mu      sync.Mutex
	state   linkState
	cur     *exchange
	writing bool
	early   *verdict // came while the request was still being written
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

func (l *link) claim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != idle {
		return false
	}
	l.state = taken
	return true
}

// rest puts the connection among the idle ones. Called by the reading goroutine, or before
// it could have anything to read.
func (l *link) rest() {
	l.mu.Lock()
	if l.state == dead {
		l.mu.Unlock()
		return
	}
	l.state = idle
	l.mu.Unlock()
	p := l.pool
	l.conn.SetReadDeadline(time.Now().Add(p.Idle))
	p.mu.Lock()
	// Looked at under the lock that HangUpOn takes after a ban holds: this connection is seen here or there.
	if l.backend.Withheld() {
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
// prove that the req cannot have run.
func (l *link) send(x *exchange) {
	l.mu.Lock()
	if l.state == dead { // broke while idle, and not a byte of this req was written
		l.mu.Unlock()
		l.pool.run(x)
		return
	}
	if !x.may() {
		l.mu.Unlock()
		l.rest()
		x.end(verdict{ending: core.Unsent})
		return
	}
	l.cur, l.state, l.writing, l.early = x, busy, true, nil
	x.unhook = context.AfterFunc(x.ctx, func() { l.abort(x) })
	l.mu.Unlock()
	l.conn.SetReadDeadline(time.Time{})
	l.conn.SetWriteDeadline(x.until)

	parts := net.Buffers{x.head(time.Until(x.until))}
	if len(x.body) > 0 {
		parts = append(parts, x.body)
	}
	_, err := parts.WriteTo(l.conn)

	l.mu.Lock()
	l.writing = false
	if l.cur != x { // given up meanwhile
		l.mu.Unlock()
		return
	}
	early := l.early
	if err != nil && (early == nil || early.ending == core.Broken) {
		// Taken off under the lock: the reader, which sees the same break a moment later, knows nothing of the last
		// byte and would call it one after which the req may have run.
		l.cur, l.state = nil, dead
		l.mu.Unlock()
		l.conn.Close()
		x.end(verdict{ending: core.Unreached})
		return
	}
	l.mu.Unlock()
	if early != nil {
		l.finish(*early)
	}
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

// finish ends the exchange that is out, once. While the request is still being written that
// is left to the writer, which knows whether its last byte went out.
func (l *link) finish(v verdict) {
	l.mu.Lock()
	x := l.cur
	if x == nil {
		l.mu.Unlock()
		return
	}
	if l.writing {
		l.early = &v
		l.mu.Unlock()
		return
	}
	l.cur = nil
	switch {
	case v.whole:
		l.mu.Unlock()
		l.rest() // before the outcome is told: the next attempt may want this connection
	case v.due && l.state != dead:
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

// read feeds the machine until the connection ends.
func (l *link) read() {
	defer func() {
		l.conn.Close()
		l.pool.mu.Lock()
		l.pool.drop(l)
		l.pool.open--
		l.pool.mu.Unlock()
	}()
	got := verdict{ending: core.Broken} // of the reply that is coming in
	last := false
	for {
		n, err := l.conn.Read(l.in.Space())
		l.in.Filled(n)
		bad := l.parts(&got, &last)
		if err != nil && l.in.Closed() {
			bad = l.parts(&got, &last) || bad
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
	l.mu.Unlock()
	l.finish(verdict{ending: e})
}

// parts takes what the machine finds. It returns true for what the protocol does not know.
func (l *link) parts(got *verdict, last *bool) (bad bool) {
	for {
		part, line, err := l.in.Next()
		if err != nil {
			return true
		}
		l.mu.Lock()
		x, state := l.cur, l.state
		l.mu.Unlock()
		switch part {
		case platform.More:
			if *last && x != nil { // nobody need wait for the end of the reply
				v := *got
				v.due = true
				l.finish(v)
			}
			return state == idle && l.in.Partial()
		case platform.Head:
			if x == nil {
				return true
			}
			*got, *last = verdict{ending: core.Broken, report: l.pool.Names.ReadLoad(l.in.Load)}, false
			if l.in.Status != 200 {
				got.ending, *last = l.in.Ending(), true
			}
		case platform.Line:
			if x == nil || l.in.Status != 200 {
				continue
			}
			if x.probe {
				got.ending, got.report, *last = core.Served, l.pool.Names.ReadLoad(string(line)), true
				continue
			}
			if *last {
				return true
			}
			news, err := l.pool.Names.ReadLine(line, x.id)
			switch {
			case err != nil:
				return true
			case news.Last:
				*last, got.ending, got.result = true, news.Ending, news.Result
				if news.Report != nil {
					got.report = news.Report
				}
			case news.Started:
				x.started()
			default:
				x.share(news.Progress)
			}
		case platform.End:
			if x != nil && x.probe && l.in.Status == 200 {
				got.ending = core.Served
			}
			got.whole = l.in.Keep && (*last || got.ending == core.Served)
			if state == ending {
				if !l.in.Keep {
					return true
				}
				l.rest()
			} else {
				l.finish(*got)
			}
			// What this reply said is over with it. Left standing, it would be taken for the answer
			// to the connection's next req as soon as that breaks, or before its head is whole.
			*got, *last = verdict{ending: core.Broken}, false
		}
	}
}
