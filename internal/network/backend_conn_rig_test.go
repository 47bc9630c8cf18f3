package network

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
)

// These tests force each order of two concurrent events on a connection to a backend, over loopback sockets: by a callback
// during which the backend writes, or by a dial that waits. rigTimeout is the timeout of a test that would never end; no
// assertion depends on it.
const rigTimeout = 20 * time.Second

// rawBackend is a listener whose connections a test reads and writes byte by byte.
type rawBackend struct {
	t     *testing.T
	l     net.Listener
	conns chan *rawConn
	made  atomic.Int32
}

type rawConn struct {
	t *testing.T
	*net.TCPConn
	r *bufio.Reader
}

func newRawBackend(t *testing.T) *rawBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &rawBackend{t: t, l: l, conns: make(chan *rawConn, 64)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.made.Add(1)
			c.SetDeadline(time.Now().Add(rigTimeout))
			t.Cleanup(func() { c.Close() })
			select {
			case b.conns <- &rawConn{t, c.(*net.TCPConn), bufio.NewReader(c)}:
			default:
				c.Close()
			}
		}
	}()
	return b
}

func (b *rawBackend) address() string { return b.l.Addr().String() }

func (b *rawBackend) accept() *rawConn {
	select {
	case c := <-b.conns:
		return c
	case <-time.After(rigTimeout):
		require.Fail(b.t, "no connection came")
		return nil
	}
}

// req reads one whole request and returns its id; the error is io.EOF if the connection ends before its first byte.
func (c *rawConn) req() (string, error) {
	q, err := http.ReadRequest(c.r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q.Header.Get("X-Correlation-Id"), err
}

func (c *rawConn) send(text string) {
	_, err := io.WriteString(c, text)
	assert.NoError(c.t, err)
}

// awaitDelivery waits until the remote kernel has received all that was written here.
func (c *rawConn) awaitDelivery() {
	raw, err := c.SyscallConn()
	require.NoError(c.t, err)
	for left := int32(1); left > 0; time.Sleep(50 * time.Microsecond) {
		require.NoError(c.t, raw.Control(func(fd uintptr) {
			_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&left)))
			require.Zero(c.t, errno)
		}))
	}
}

// awaitRemoteClose waits until the kernel has received the remote side's close or reset of a connection.
func awaitRemoteClose(t *testing.T, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	const established = 1
	for state := established; state == established; time.Sleep(50 * time.Microsecond) {
		if raw.Control(func(fd uintptr) {
			state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
			state &= 0xff
		}) != nil || err != nil { // closed here already
			return
		}
	}
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const (
	ok200          = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	end0           = "0\r\n\r\n"
	unprocessed503 = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

func replyLine(id, state, rest string) string {
	return chunk(fmt.Sprintf(`{"id":"%s","from":"s","state":"%s"%s}`+"\n", id, state, rest))
}

func doneLine(id string) string { return replyLine(id, "done", `,"result":"of `+id+`"`) }

// exchangeEnd is how an exchange ended.
type exchangeEnd struct {
	ending core.Ending
	result string
}

// testExchange is a test's exchange and its end.
type testExchange struct {
	*exchange
	ends    chan exchangeEnd
	started atomic.Bool
}

func (y *testExchange) wait(t *testing.T) exchangeEnd {
	select {
	case e := <-y.ends:
		return e
	case <-time.After(rigTimeout):
		require.Fail(t, "the exchange never ended")
		return exchangeEnd{}
	}
}

// poolRig is a pool with one raw backend.
type poolRig struct {
	*rawBackend
	pool    *Pool
	backend *core.Backend
	mu      sync.Mutex
	dialled []net.Conn // in the order in which they were dialled
}

func newPoolRig(t *testing.T) *poolRig {
	r := &poolRig{rawBackend: newRawBackend(t)}
	r.backend = &core.Backend{ID: 1, Name: "s", Address: r.address()}
	r.pool = &Pool{Names: &platform.Names{}, Count: &counters.Set{}, ConnectTimeout: rigTimeout, IdleTimeout: time.Hour, MaxConnections: 8}
	r.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := DialTCP(ctx, address)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.dialled = append(r.dialled, c)
		return c, err
	}
	return r
}

func (r *poolRig) newExchange(id string, body []byte) *testExchange {
	job := &core.Job{Method: "POST", Target: "/ingest", ID: id, Body: body}
	y := &testExchange{ends: make(chan exchangeEnd, 4)}
	y.exchange = &exchange{backend: r.backend, body: body, deadline: time.Now().Add(time.Hour), id: id, mayStart: func() bool { return true },
		onJobStarted: func() {}, onProgress: func(float64) {}}
	y.makeHead = func(left time.Duration) []byte { return platform.AppendJob(nil, job, "s", left, nil) }
	y.onEnded = func(e core.Ending, result string, _ []float32) { y.ends <- exchangeEnd{e, result} }
	return y
}

// serveOne has one request served on a new connection, which is idle from then on.
func (r *poolRig) serveOne(id string) *rawConn {
	y := r.newExchange(id, nil)
	r.pool.startExchange(y.exchange)
	c := r.accept()
	got, err := c.req()
	require.NoError(r.t, err)
	require.Equal(r.t, id, got)
	c.send(ok200 + doneLine(id) + end0)
	require.Equal(r.t, exchangeEnd{core.Served, "of " + id}, y.wait(r.t))
	return c
}

// expectClosed checks that the pool closes a connection, and writes nothing more to it.
func (c *rawConn) expectClosed() {
	n, err := c.r.Read(make([]byte, 1))
	assert.Zero(c.t, n, "the old connection carries the request")
	assert.Error(c.t, err)
	assert.NotErrorIs(c.t, err, os.ErrDeadlineExceeded, "the connection is still open")
}

// expectOnNewConn checks that a request comes on a new connection and is served there, and that the old one carried nothing of it.
func (r *poolRig) expectOnNewConn(old *rawConn, y *testExchange) {
	var c *rawConn
	select {
	case c = <-r.conns:
	case e := <-y.ends:
		require.Fail(r.t, "the request ended on the old connection", "%v %q", e.ending, e.result)
	case <-time.After(rigTimeout):
		require.Fail(r.t, "the request came on no new connection")
	}
	got, err := c.req()
	require.NoError(r.t, err)
	assert.Equal(r.t, y.id, got)
	c.send(ok200 + doneLine(y.id) + end0)
	assert.Equal(r.t, exchangeEnd{core.Served, "of " + y.id}, y.wait(r.t))
	if old != nil {
		old.expectClosed()
	}
}
