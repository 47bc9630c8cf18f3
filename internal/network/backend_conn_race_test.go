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
var unsolicited = map[string]func(c *rawConn){
	"half a line":                   func(c *rawConn) { c.send("HTTP/1.1 503 B") },
	"half a line of a reply's body": func(c *rawConn) { c.send(`{"id":"b","sta`) },
	"a whole surplus line":          func(c *rawConn) { c.send(doneLine("b")) },
	"a reply without a request":     func(c *rawConn) { c.send(unprocessed503) },
	"a second answer":               func(c *rawConn) { c.send(ok200 + doneLine("a") + end0) },
	"one byte":                      func(c *rawConn) { c.send("\n") },
}

// TestUnsolicitedBytesWhileIdle: bytes that arrive on an idle connection are not taken for the answer to the next request,
// which goes out on another connection.
func TestUnsolicitedBytesWhileIdle(t *testing.T) {
	for name, write := range unsolicited {
		t.Run(name, func(t *testing.T) {
			r := newPoolRig(t)
			c := r.serveOne("a")
			write(c)
			c.expectClosed()
			y := r.newExchange("b", nil)
			r.pool.startExchange(y.exchange)
			r.expectOnNewConn(nil, y)
		})
	}
}

// TestUnsolicitedBytesAtClaim: bytes that have arrived just before a request is written are not taken for its answer. The
// connection was claimed, and its reading goroutine has not run yet, or has read the bytes and not parsed them.
func TestUnsolicitedBytesAtClaim(t *testing.T) {
	for name, write := range unsolicited {
		t.Run(name, func(t *testing.T) {
			r := newPoolRig(t)
			c := r.serveOne("a")
			y := r.newExchange("b", nil)
			y.mayStart = sync.OnceValue(func() bool { write(c); c.awaitDelivery(); return true })
			r.pool.startExchange(y.exchange)
			r.expectOnNewConn(c, y)
		})
	}
}

// TestClosedAtClaim: if a close or a reset has arrived before the first byte is written, the request goes out on another
// connection.
func TestClosedAtClaim(t *testing.T) {
	for name, end := range map[string]func(c *rawConn){
		"ended": func(c *rawConn) { assert.NoError(c.t, c.CloseWrite()) },
		"reset": func(c *rawConn) { assert.NoError(c.t, c.SetLinger(0)); assert.NoError(c.t, c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newPoolRig(t)
			c := r.serveOne("a")
			y := r.newExchange("b", nil)
			y.mayStart = sync.OnceValue(func() bool { end(c); awaitRemoteClose(t, r.dialled[0]); return true })
			r.pool.startExchange(y.exchange)
			r.expectOnNewConn(c, y)
		})
	}
}

// TestUnsolicitedBytesAfterReply: the end of a reply and unsolicited bytes come in one segment. The next request starts
// before the reading goroutine has parsed beyond the end.
func TestUnsolicitedBytesAfterReply(t *testing.T) {
	for name, surplus := range map[string]string{"half a head": unprocessed503[:40], "a whole reply": unprocessed503, "a line": doneLine("b")} {
		t.Run(name, func(t *testing.T) {
			r := newPoolRig(t)
			a, b := r.newExchange("a", nil), r.newExchange("b", nil)
			came := make(chan struct{}, 2) // b is being written, on any connection
			b.makeHead = func(left time.Duration) []byte {
				came <- struct{}{}
				return platform.AppendJob(nil, &core.Job{Method: "POST", Target: "/ingest", ID: "b"}, "s", left, nil)
			}
			a.onEnded = func(e core.Ending, result string, _ []float32) { // called by the reading goroutine
				r.pool.startExchange(b.exchange)
				<-came
				a.ends <- exchangeEnd{e, result}
			}
			r.pool.startExchange(a.exchange)
			c := r.accept()
			_, err := c.req()
			require.NoError(t, err)
			c.send(ok200 + doneLine("a") + end0 + surplus)
			assert.Equal(t, exchangeEnd{core.Served, "of a"}, a.wait(t))
			r.expectOnNewConn(c, b)
		})
	}
}

// TestSurplusLine: a line after the last one does not change the answer, and its connection carries no other request.
func TestSurplusLine(t *testing.T) {
	for _, together := range []bool{true, false} {
		t.Run(fmt.Sprint("together ", together), func(t *testing.T) {
			r := newPoolRig(t)
			a := r.newExchange("a", nil)
			r.pool.startExchange(a.exchange)
			c := r.accept()
			_, err := c.req()
			require.NoError(t, err)
			if together {
				c.send(ok200 + doneLine("a") + doneLine("b") + end0)
				assert.Equal(t, exchangeEnd{core.Served, "of a"}, a.wait(t))
			} else {
				c.send(ok200 + doneLine("a"))
				assert.Equal(t, exchangeEnd{core.Served, "of a"}, a.wait(t))
				c.send(doneLine("b") + end0)
			}
			c.expectClosed()
		})
	}
}

// TestReplyWhileWriting: a reply is complete while the request is still being written, and the backend reads no more of it.
// The reply counts at once, and the connection, with half a request on it, carries no other one.
func TestReplyWhileWriting(t *testing.T) {
	r := newPoolRig(t)
	a := r.newExchange("a", make([]byte, 32<<20)) // more than the buffers of both sides
	r.pool.startExchange(a.exchange)
	c := r.accept()
	_, err := http.ReadRequest(c.r)
	require.NoError(t, err)
	c.send(unprocessed503)
	assert.Equal(t, exchangeEnd{core.Returned, ""}, a.wait(t))
	b := r.newExchange("b", nil)
	r.pool.startExchange(b.exchange)
	r.expectOnNewConn(nil, b)
}

// TestTwoRepliesWhileWriting: two replies arrive before the write of the request has returned. The first one counts.
func TestTwoRepliesWhileWriting(t *testing.T) {
	r := newPoolRig(t)
	dial, handled := r.pool.Dial, make(chan struct{})
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		reads, once := 0, sync.OnceFunc(func() { close(handled) })
		return &hookedConn{Conn: conn, beforeDeadline: func(time.Time) {}, afterWrite: func() { <-handled }, beforeClose: once, beforeRead: func() {
			if reads++; reads > 1 { // the input of the first read has been handled
				once()
			}
		}}, err
	}
	a := r.newExchange("a", nil)
	r.pool.startExchange(a.exchange)
	c := r.accept()
	_, err := c.req()
	require.NoError(t, err)
	c.send(ok200 + doneLine("a") + end0 + unprocessed503)
	assert.Equal(t, exchangeEnd{core.Served, "of a"}, a.wait(t))
	c.expectClosed()
}

// TestOutcomeOfEndedExchange: an outcome for an exchange that has ended does not end the next one on its connection.
func TestOutcomeOfEndedExchange(t *testing.T) {
	r := newPoolRig(t)
	c := r.serveOne("first")
	conn := r.pool.idle[r.backend.ID][0]
	a, b := r.newExchange("a", nil), r.newExchange("b", nil)
	r.pool.startExchange(b.exchange)
	_, err := c.req()
	require.NoError(t, err)
	conn.finish(a.exchange, outcome{ending: core.Served, result: "of a"})
	c.send(ok200 + doneLine("b") + end0)
	assert.Equal(t, exchangeEnd{core.Served, "of b"}, b.wait(t))
	assert.Empty(t, a.ends)
}

// TestBackendClosesAtOnce: a backend that accepts connections and closes them at once is dialled once per attempt, not in a
// loop.
func TestBackendClosesAtOnce(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newPoolRig(t)
		dial := r.pool.Dial
		r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err == nil {
				if c := r.accept(); reset {
					c.SetLinger(0)
					c.Close()
				} else {
					c.CloseWrite()
				}
				awaitRemoteClose(t, conn)
			}
			return conn, err
		}
		a := r.newExchange("a", nil)
		r.pool.startExchange(a.exchange)
		assert.Equal(t, exchangeEnd{core.Unreached, ""}, a.wait(t))
		assert.Equal(t, int32(1), r.made.Load())
	}
}

// TestBytesBeforeFirstRequest: bytes that arrive before the first request are not taken for its answer.
func TestBytesBeforeFirstRequest(t *testing.T) {
	r := newPoolRig(t)
	dial := r.pool.Dial
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		c := r.accept()
		c.send(unprocessed503)
		c.awaitDelivery()
		return conn, err
	}
	a := r.newExchange("a", nil)
	r.pool.startExchange(a.exchange)
	assert.Equal(t, exchangeEnd{core.Unreached, ""}, a.wait(t)) // the request provably never ran, whatever the bytes say
	assert.Equal(t, int32(1), r.made.Load())
}

// TestUnusedClaimKeepsIdleTime: the idle timeout goes on while a connection is claimed and not written to, as it does at the
// backend.
func TestUnusedClaimKeepsIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		p := &Pool{Names: &platform.Names{}, Count: &counters.Set{}, ConnectTimeout: time.Second, IdleTimeout: 7 * time.Second, MaxConnections: 1}
		p.Dial = func(context.Context, string) (net.Conn, error) { return near, nil }
		x := &exchange{backend: &core.Backend{}, deadline: time.Now().Add(time.Hour), mayStart: func() bool { return false }, onEnded: func(core.Ending, string, []float32) {}}
		began := time.Now()
		p.startExchange(x)
		time.Sleep(5 * time.Second)
		again := *x
		p.startExchange(&again)
		_, err := far.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, p.IdleTimeout, time.Since(began))
		synctest.Wait()
		assert.Zero(t, p.OpenConnections())
	})
}

// TestClaimAfterIdleTimeout: a connection whose idle timeout has passed carries no request, even if its reader has not woken
// yet.
func TestClaimAfterIdleTimeout(t *testing.T) {
	r := newPoolRig(t)
	c := r.serveOne("a")
	conn := r.pool.idle[r.backend.ID][0]
	conn.mu.Lock()
	conn.lastUsed = conn.lastUsed.Add(-r.pool.IdleTimeout)
	conn.mu.Unlock()
	y := r.newExchange("b", nil)
	r.pool.startExchange(y.exchange)
	r.expectOnNewConn(c, y)
}

// hookedConn is a connection with callbacks. It has no SyscallConn, so that the code under test uses plain reads.
type hookedConn struct {
	net.Conn
	beforeDeadline func(time.Time) // called before a read deadline is set
	afterRead      func(error)     // called after a read; this one and those below may be nil
	// beforeRead is called before a read, afterWrite after a write, beforeClose before the connection is closed.
	beforeRead, afterWrite, beforeClose func()
}

func (h *hookedConn) Write(p []byte) (int, error) {
	n, err := h.Conn.Write(p)
	if h.afterWrite != nil {
		h.afterWrite()
	}
	return n, err
}

func (h *hookedConn) Close() error {
	if h.beforeClose != nil {
		h.beforeClose()
	}
	return h.Conn.Close()
}

func (h *hookedConn) Read(p []byte) (int, error) {
	if h.beforeRead != nil {
		h.beforeRead()
	}
	n, err := h.Conn.Read(p)
	if h.afterRead != nil {
		h.afterRead(err)
	}
	return n, err
}

func (h *hookedConn) SetReadDeadline(t time.Time) error {
	h.beforeDeadline(t)
	return h.Conn.SetReadDeadline(t)
}

// TestClosedWhileBecomingIdle: a connection that is closed while it is put among the idle ones does not stay there.
func TestClosedWhileBecomingIdle(t *testing.T) {
	r := newPoolRig(t)
	dial := r.pool.Dial
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		c := r.accept()
		return &hookedConn{Conn: conn, beforeDeadline: func(at time.Time) {
			if !at.IsZero() {
				c.Close()
				for r.pool.OpenConnections() > 0 { // until its reader has ended
					time.Sleep(50 * time.Microsecond)
				}
			}
		}}, err
	}
	a := r.newExchange("a", nil)
	a.mayStart = func() bool { return false }
	r.pool.startExchange(a.exchange)
	assert.Equal(t, core.Unsent, a.wait(t).ending)
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	assert.Empty(t, r.pool.idle[r.backend.ID])
}

// TestClaimAfterIdleDeadlineSet: a connection can be claimed only after its idle deadline was set, so that the next
// request's own deadline is not overwritten by it.
func TestClaimAfterIdleDeadlineSet(t *testing.T) {
	r := newPoolRig(t)
	y := r.newExchange("b", nil)
	dial, first := r.pool.Dial, true
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if !first {
			return conn, err
		}
		first = false
		return &hookedConn{Conn: conn, beforeDeadline: func(at time.Time) {
			if !at.IsZero() && y.started.CompareAndSwap(false, true) {
				r.pool.startExchange(y.exchange)
				r.expectOnNewConn(nil, y)
			}
		}}, err
	}
	r.serveOne("a")
	assert.Equal(t, int32(2), r.made.Load())
}

// TestIdleTimeoutAtClaim: the idle timeout of a connection passes just after a request has claimed it. The request is
// served on it, and not cut off by the idle deadline.
func TestIdleTimeoutAtClaim(t *testing.T) {
	r := newPoolRig(t)
	dial, woken := r.pool.Dial, make(chan struct{}, 1000)
	var reading atomic.Bool
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return &hookedConn{Conn: conn, beforeDeadline: func(time.Time) {}, beforeRead: func() { reading.Store(true) }, afterRead: func(err error) {
			reading.Store(false)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				select {
				case woken <- struct{}{}:
				default:
				}
			}
		}}, err
	}
	c := r.serveOne("a")
	for !reading.Load() { // until its reader has handled the reply and waits in the next read
		time.Sleep(50 * time.Microsecond)
	}
	y := r.newExchange("b", nil)
	y.mayStart = func() bool {
		r.dialled[0].SetReadDeadline(time.Unix(1, 0))
		<-woken // its reader has woken, and is about to retire the connection
		return true
	}
	r.pool.startExchange(y.exchange)
	got, err := c.req()
	require.NoError(t, err)
	assert.Equal(t, "b", got)
	c.send(ok200 + doneLine("b") + end0)
	assert.Equal(t, exchangeEnd{core.Served, "of b"}, y.wait(t))
	assert.Zero(t, r.pool.Count.BackendRetired.Load())
}

// TestEndingOfTruncatedReply: of a reply that is cut off, only a complete head with X-Unprocessed proves that the request
// never ran. Each attempt has one ending.
func TestEndingOfTruncatedReply(t *testing.T) {
	for text, want := range map[string]core.Ending{
		"HTTP/1.1 503 B\r\nX-Unprocessed: 1\r\nContent-Length: 5\r\n\r\nab": core.Returned,
		"HTTP/1.1 504 B\r\nX-Unprocessed: 1\r\nContent-Length: 5\r\n\r\n":   core.Returned,
		"HTTP/1.1 503 B\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n":       core.Broken,
		"HTTP/1.1 503 B\r\nX-Unprocessed: 1\r\nX-Unprocessed: 0\r\n\r\n":    core.Failed,
		"HTTP/1.1 503 B\r\nContent-Length: 5\r\n\r\nab":                     core.Failed,
		"HTTP/1.1 500 B\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n":   core.Failed,
		"HTTP/1.1 5":                                         core.Broken,
		ok200 + "5\r\n{":                                     core.Broken,
		ok200 + ok200:                                        core.Garbled,
		ok200 + replyLine("b", "returned", ""):               core.Garbled,
		ok200 + replyLine("a", "returned", ""):               core.Returned,
		ok200 + replyLine("a", "returned", "")[:20]:          core.Broken,
		ok200 + replyLine("a", "lost", ""):                   core.Lost,
		ok200 + doneLine("a") + replyLine("a", "failed", ""): core.Served,
	} {
		r := newPoolRig(t)
		a := r.newExchange("a", nil)
		r.pool.startExchange(a.exchange)
		c := r.accept()
		_, err := c.req()
		require.NoError(t, err)
		c.send(text)
		assert.NoError(t, c.CloseWrite())
		assert.Equal(t, want, a.wait(t).ending, "%q", text)
		c.expectClosed()
		assert.Empty(t, a.ends, "%q: a second ending", text)
	}
}
