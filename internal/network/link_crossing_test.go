package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
)

// unsolicited is what a backend may write on an idle connection.
var unasked = map[string]func(c *rawConn){
	"half a line":                      func(c *rawConn) { c.say("HTTP/1.1 503 B") },
	"half a line of a reply's body":    func(c *rawConn) { c.say(`{"id":"b","sta`) },
	"a whole surplus line":             func(c *rawConn) { c.say(done("b")) },
	"a reply that another never asked": func(c *rawConn) { c.say(never) },
	"a second answer":                  func(c *rawConn) { c.say(ok200 + done("a") + end0) },
	"one byte":                         func(c *rawConn) { c.say("\n") },
}

// TestUnsolicitedBytesWhileIdle: bytes that arrive on an idle connection are not taken for the answer to the next request,
// which goes out on another connection.
func TestUnaskedAtRest(t *testing.T) {
	for name, write := range unasked {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			c := r.serve("a")
			write(c)
			c.closed()
			y := r.try("b", nil)
			r.pool.begin(y.exchange)
			r.elsewhere(nil, y)
		})
	}
}

// TestUnsolicitedBytesAtClaim: bytes that have arrived just before a request is written are not taken for its answer. The
// connection was claimed, and its reading goroutine has not run yet, or has read the bytes and not parsed them.
func TestUnaskedAtTheClaim(t *testing.T) {
	for name, write := range unasked {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			c := r.serve("a")
			y := r.try("b", nil)
			y.may = sync.OnceValue(func() bool { write(c); c.arrived(); return true })
			r.pool.begin(y.exchange)
			r.elsewhere(c, y)
		})
	}
}

// TestClosedAtClaim: if a close or a reset has arrived before the first byte is written, the request goes out on another
// connection.
func TestEndedAtTheClaim(t *testing.T) {
	for name, end := range map[string]func(c *rawConn){
		"ended": func(c *rawConn) { assert.NoError(c.t, c.CloseWrite()) },
		"reset": func(c *rawConn) { assert.NoError(c.t, c.SetLinger(0)); assert.NoError(c.t, c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			c := r.serve("a")
			y := r.try("b", nil)
			y.may = sync.OnceValue(func() bool { end(c); shut(t, r.ours[0]); return true })
			r.pool.begin(y.exchange)
			r.elsewhere(c, y)
		})
	}
}

// TestUnsolicitedBytesAfterReply: the end of a reply and unsolicited bytes come in one segment. The next request begins
// before the reading goroutine has parsed beyond the end.
func TestUnaskedBehindAnEnd(t *testing.T) {
	for name, surplus := range map[string]string{"half a head": never[:40], "a whole reply": never, "a line": done("b")} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a, b := r.try("a", nil), r.try("b", nil)
			came := make(chan struct{}, 2) // b is being written, on any connection
			b.head = func(left time.Duration) []byte {
				came <- struct{}{}
				return platform.AppendJob(nil, &core.Job{Method: "POST", Target: "/ingest", ID: "b"}, "s", left, nil)
			}
			a.ended = func(e core.Ending, result string, _ []float32) { // called by the reading goroutine
				r.pool.begin(b.exchange)
				<-came
				a.ends <- told{e, result}
			}
			r.pool.begin(a.exchange)
			c := r.accept()
			_, err := c.req()
			require.NoError(t, err)
			c.say(ok200 + done("a") + end0 + surplus)
			assert.Equal(t, told{core.Served, "of a"}, a.wait(t))
			r.elsewhere(c, b)
		})
	}
}

// TestSurplusLine: a line after the last one does not change the answer, and its connection carries no other request.
func TestSurplusLine(t *testing.T) {
	for _, together := range []bool{true, false} {
		t.Run(fmt.Sprint("together ", together), func(t *testing.T) {
			r := newRig(t)
			a := r.try("a", nil)
			r.pool.begin(a.exchange)
			c := r.accept()
			_, err := c.req()
			require.NoError(t, err)
			if together {
				c.say(ok200 + done("a") + done("b") + end0)
				assert.Equal(t, told{core.Served, "of a"}, a.wait(t))
			} else {
				c.say(ok200 + done("a"))
				assert.Equal(t, told{core.Served, "of a"}, a.wait(t))
				c.say(done("b") + end0)
			}
			c.closed()
		})
	}
}

// TestReplyWhileWriting: a reply is complete while the request is still being written, and the backend reads no more of it.
// The reply counts at once, and the connection, with half a request on it, carries no other one.
func TestAnswerWhileWriting(t *testing.T) {
	r := newRig(t)
	a := r.try("a", make([]byte, 32<<20)) // more than the buffers of both sides
	r.pool.begin(a.exchange)
	c := r.accept()
	_, err := http.ReadRequest(c.r)
	require.NoError(t, err)
	c.say(never)
	assert.Equal(t, told{core.Returned, ""}, a.wait(t))
	b := r.try("b", nil)
	r.pool.begin(b.exchange)
	r.elsewhere(nil, b)
}

// TestTwoRepliesWhileWriting: two replies arrive before the write of the request has returned. The first one counts.
func TestTwoAnswersWhileWriting(t *testing.T) {
	r := newRig(t)
	dial, judged := r.pool.Dial, make(chan struct{})
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		ours, err := dial(ctx, address)
		reads, once := 0, sync.OnceFunc(func() { close(judged) })
		return &hooked{Conn: ours, before: func(time.Time) {}, written: func() { <-judged }, over: once, reading: func() {
			if reads++; reads > 1 { // the input of the first read has been handled
				once()
			}
		}}, err
	}
	a := r.try("a", nil)
	r.pool.begin(a.exchange)
	c := r.accept()
	_, err := c.req()
	require.NoError(t, err)
	c.say(ok200 + done("a") + end0 + never)
	assert.Equal(t, told{core.Served, "of a"}, a.wait(t))
	c.closed()
}

// TestOutcomeOfEndedExchange: an outcome for an exchange that has ended does not end the next one on its connection.
func TestVerdictOfAnother(t *testing.T) {
	r := newRig(t)
	c := r.serve("first")
	l := r.pool.idle[r.backend.ID][0]
	a, b := r.try("a", nil), r.try("b", nil)
	r.pool.begin(b.exchange)
	_, err := c.req()
	require.NoError(t, err)
	l.finish(a.exchange, verdict{ending: core.Served, result: "of a"})
	c.say(ok200 + done("b") + end0)
	assert.Equal(t, told{core.Served, "of b"}, b.wait(t))
	assert.Empty(t, a.ends)
}

// TestBackendClosesAtOnce: a backend that accepts connections and closes them at once is dialled once per attempt, not in a
// loop.
func TestHungUpAtOnce(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newRig(t)
		dial := r.pool.Dial
		r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			ours, err := dial(ctx, address)
			if err == nil {
				if c := r.accept(); reset {
					c.SetLinger(0)
					c.Close()
				} else {
					c.CloseWrite()
				}
				shut(t, ours)
			}
			return ours, err
		}
		a := r.try("a", nil)
		r.pool.begin(a.exchange)
		assert.Equal(t, told{core.Unreached, ""}, a.wait(t))
		assert.Equal(t, int32(1), r.made.Load())
	}
}

// TestBytesBeforeFirstRequest: bytes that arrive before the first request are not taken for its answer.
func TestGreeting(t *testing.T) {
	r := newRig(t)
	dial := r.pool.Dial
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		ours, err := dial(ctx, address)
		c := r.accept()
		c.say(never)
		c.arrived()
		return ours, err
	}
	a := r.try("a", nil)
	r.pool.begin(a.exchange)
	assert.Equal(t, told{core.Unreached, ""}, a.wait(t)) // the request provably never ran, whatever the bytes say
	assert.Equal(t, int32(1), r.made.Load())
}

// TestUnusedClaimKeepsIdleTime: the idle timeout goes on while a connection is claimed and not written to, as it does at the
// backend.
func TestIdleTimeGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		p := &Pool{Names: &platform.Names{}, Count: &counters.Set{}, ConnectTimeout: time.Second, IdleTimeout: 7 * time.Second, MaxConnections: 1}
		p.Dial = func(context.Context, string) (net.Conn, error) { return near, nil }
		x := &exchange{backend: &core.Backend{}, until: time.Now().Add(time.Hour), may: func() bool { return false }, ended: func(core.Ending, string, []float32) {}}
		began := time.Now()
		p.begin(x)
		time.Sleep(5 * time.Second)
		again := *x
		p.begin(&again)
		_, err := far.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, p.IdleTimeout, time.Since(began))
		synctest.Wait()
		assert.Zero(t, p.OpenConnections())
	})
}

// TestClaimAfterIdleTimeout: a connection whose idle timeout has passed carries no request, even if its reader has not woken
// yet.
func TestClaimedTooLate(t *testing.T) {
	r := newRig(t)
	c := r.serve("a")
	l := r.pool.idle[r.backend.ID][0]
	l.mu.Lock()
	l.used = l.used.Add(-r.pool.IdleTimeout)
	l.mu.Unlock()
	y := r.try("b", nil)
	r.pool.begin(y.exchange)
	r.elsewhere(c, y)
}

// hooked is a connection with callbacks. It has no SyscallConn, so that the code under test uses plain reads.
type hooked struct {
	net.Conn
	before func(time.Time) // called before a read deadline is set
	read   func(error)     // called after a read; this one and those below may be nil
	// reading is called before a read, written after a write, over before the connection is closed.
	reading, written, over func()
}

func (h *hooked) Write(p []byte) (int, error) {
	n, err := h.Conn.Write(p)
	if h.written != nil {
		h.written()
	}
	return n, err
}

func (h *hooked) Close() error {
	if h.over != nil {
		h.over()
	}
	return h.Conn.Close()
}

func (h *hooked) Read(p []byte) (int, error) {
	if h.reading != nil {
		h.reading()
	}
	n, err := h.Conn.Read(p)
	if h.read != nil {
		h.read(err)
	}
	return n, err
}

func (h *hooked) SetReadDeadline(t time.Time) error {
	h.before(t)
	return h.Conn.SetReadDeadline(t)
}

// TestClosedWhileBecomingIdle: a connection that is closed while it is put among the idle ones does not stay there.
func TestEndedOnTheWayToRest(t *testing.T) {
	r := newRig(t)
	dial := r.pool.Dial
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		ours, err := dial(ctx, address)
		c := r.accept()
		return &hooked{Conn: ours, before: func(at time.Time) {
			if !at.IsZero() {
				c.Close()
				for r.pool.OpenConnections() > 0 { // until its reader has ended
					time.Sleep(50 * time.Microsecond)
				}
			}
		}}, err
	}
	a := r.try("a", nil)
	a.may = func() bool { return false }
	r.pool.begin(a.exchange)
	assert.Equal(t, core.Unsent, a.wait(t).ending)
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	assert.Empty(t, r.pool.idle[r.backend.ID])
}

// TestClaimAfterIdleDeadlineSet: a connection can be claimed only after its idle deadline was set, so that the next
// request's own deadline is not overwritten by it.
func TestNotYetClaimed(t *testing.T) {
	r := newRig(t)
	y := r.try("b", nil)
	dial, first := r.pool.Dial, true
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		ours, err := dial(ctx, address)
		if !first {
			return ours, err
		}
		first = false
		return &hooked{Conn: ours, before: func(at time.Time) {
			if !at.IsZero() && y.begun.CompareAndSwap(false, true) {
				r.pool.begin(y.exchange)
				r.elsewhere(nil, y)
			}
		}}, err
	}
	r.serve("a")
	assert.Equal(t, int32(2), r.made.Load())
}

// TestIdleTimeoutAtClaim: the idle timeout of a connection passes just after a request has claimed it. The request is
// served on it, and not cut off by the idle deadline.
func TestRetiredAtTheClaim(t *testing.T) {
	r := newRig(t)
	dial, woken := r.pool.Dial, make(chan struct{}, 1000)
	var reading atomic.Bool
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		ours, err := dial(ctx, address)
		return &hooked{Conn: ours, before: func(time.Time) {}, reading: func() { reading.Store(true) }, read: func(err error) {
			reading.Store(false)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				select {
				case woken <- struct{}{}:
				default:
				}
			}
		}}, err
	}
	c := r.serve("a")
	for !reading.Load() { // until its reader has handled the reply and waits in the next read
		time.Sleep(50 * time.Microsecond)
	}
	y := r.try("b", nil)
	y.may = func() bool {
		r.ours[0].SetReadDeadline(time.Unix(1, 0))
		<-woken // its reader has woken, and is about to retire the connection
		return true
	}
	r.pool.begin(y.exchange)
	got, err := c.req()
	require.NoError(t, err)
	assert.Equal(t, "b", got)
	c.say(ok200 + done("b") + end0)
	assert.Equal(t, told{core.Served, "of b"}, y.wait(t))
	assert.Zero(t, r.pool.Count.BackendRetired.Load())
}

// TestEndingOfTruncatedReply: of a reply that is cut off, only a complete head with X-Unprocessed proves that the request
// never ran. Each attempt has one ending.
func TestWhatProves(t *testing.T) {
	for text, want := range map[string]core.Ending{
		"HTTP/1.1 503 B\r\nX-Unprocessed: 1\r\nContent-Length: 5\r\n\r\nab": core.Returned,
		"HTTP/1.1 504 B\r\nX-Unprocessed: 1\r\nContent-Length: 5\r\n\r\n":   core.Returned,
		"HTTP/1.1 503 B\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n":       core.Broken,
		"HTTP/1.1 503 B\r\nX-Unprocessed: 1\r\nX-Unprocessed: 0\r\n\r\n":    core.Failed,
		"HTTP/1.1 503 B\r\nContent-Length: 5\r\n\r\nab":                     core.Failed,
		"HTTP/1.1 500 B\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n":   core.Failed,
		"HTTP/1.1 5":                                  core.Broken,
		ok200 + "5\r\n{":                              core.Broken,
		ok200 + ok200:                                 core.Garbled,
		ok200 + lineOf("b", "returned", ""):           core.Garbled,
		ok200 + lineOf("a", "returned", ""):           core.Returned,
		ok200 + lineOf("a", "returned", "")[:20]:      core.Broken,
		ok200 + lineOf("a", "lost", ""):               core.Lost,
		ok200 + done("a") + lineOf("a", "failed", ""): core.Served,
	} {
		r := newRig(t)
		a := r.try("a", nil)
		r.pool.begin(a.exchange)
		c := r.accept()
		_, err := c.req()
		require.NoError(t, err)
		c.say(text)
		assert.NoError(t, c.CloseWrite())
		assert.Equal(t, want, a.wait(t).ending, "%q", text)
		c.closed()
		assert.Empty(t, a.ends, "%q: a second ending", text)
	}
}
