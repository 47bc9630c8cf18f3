package network

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
)

// Helpers for tests of events that cross each other on an HTTP/2 connection, over loopback sockets. Which comes first is
// forced: a backend holds its attempt, a client its bytes, or a wrapped socket a call. Time limits only bound how long a
// failing test waits.
const testTimeout = 20 * time.Second

// eventually waits for a condition, however loaded the machine is.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, time.Millisecond, what)
}

// receive waits for an event.
func receive[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		require.FailNow(t, "timed out waiting for "+what)
	}
	return v
}

// holdingBackends start each attempt and leave the rest to the test.
type holdingBackends struct {
	instantBackends
	attempts chan *core.Attempt
}

func newHoldingBackends() *holdingBackends {
	return &holdingBackends{attempts: make(chan *core.Attempt, 256)}
}

func (h *holdingBackends) Send(a *core.Attempt, _ *core.Job) func() {
	a.JobStarted()
	h.attempts <- a
	return func() {}
}

// wrappingListener is a listener whose connections a test wraps.
type wrappingListener struct {
	*net.TCPListener
	wrap func(*net.TCPConn) net.Conn
}

func (w wrappingListener) Accept() (net.Conn, error) {
	conn, err := w.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return w.wrap(conn), nil
}

// listenHTTP2 opens one more port of the front, whose connections are wrapped.
func (s *testServer) listenHTTP2(t *testing.T, wrap func(*net.TCPConn) net.Conn) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go s.http2.Serve(wrappingListener{l.(*net.TCPListener), wrap})
	return l.Addr().String()
}

// smallWriteBuffer has the kernel hold little of what is written to a connection.
func smallWriteBuffer(conn *net.TCPConn) net.Conn {
	conn.SetWriteBuffer(4 << 10)
	return conn
}

// changeLimits changes the limits of connections from now on.
func (s *testServer) changeLimits(change func(*HTTP2Limits)) {
	l := *s.http2.limits.Load()
	change(&l)
	s.http2.SetLimits(l)
}

// sessions returns the front's connections.
func (s *testServer) sessions() (all []*http2Session) {
	s.http2.sessions.Range(func(key, _ any) bool {
		all = append(all, key.(*http2Session))
		return true
	})
	return all
}

// http2Client is an HTTP/2 client that uses x/net's Framer. Its frames are buffered, and flush sends them in one write.
type http2Client struct {
	t       *testing.T
	conn    *net.TCPConn
	out     bytes.Buffer
	framer  *http2.Framer
	decoder *hpack.Decoder
}

// connectHTTP2 connects and sends the preface, with very large flow-control windows. read is the size of its receive buffer; 0 for
// the default.
func connectHTTP2(t *testing.T, address string, read int) *http2Client {
	c := dialHTTP2(t, address, read)
	c.appendPreface()
	c.flush()
	return c
}

func dialHTTP2(t *testing.T, address string, read int) *http2Client {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	c := &http2Client{t: t, conn: conn.(*net.TCPConn)}
	if read > 0 {
		c.conn.SetReadBuffer(read)
	}
	c.framer = http2.NewFramer(&c.out, c.conn)
	c.decoder = hpack.NewDecoder(4096, nil)
	return c
}

func (c *http2Client) appendPreface() {
	c.out.WriteString(http2.ClientPreface)
	c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
	c.framer.WriteWindowUpdate(0, 1<<30)
}

// appendReq buffers a request without a body.
func (c *http2Client) appendReq(stream uint32, fields ...string) {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	enc.SetMaxDynamicTableSize(0)
	for i := 0; i < len(fields); i += 2 {
		enc.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true})
}

func (c *http2Client) appendPost(stream uint32) {
	c.appendReq(stream, ":method", "POST", ":scheme", "http", ":path", "/photo/1",
		"x-correlation-id", fmt.Sprintf("%v/%d", c.conn.LocalAddr(), stream), "x-time-left-ms", "3600000")
}

func (c *http2Client) appendGet(stream uint32, path string) {
	c.appendReq(stream, ":method", "GET", ":scheme", "http", ":path", path)
}

// appendInvalid buffers a frame that ends a connection: DATA on a stream that was never opened.
func (c *http2Client) appendInvalid() { c.framer.WriteRawFrame(http2.FrameData, 0, 99999, []byte("x")) }

// flush writes the buffered frames.
func (c *http2Client) flush() {
	_, err := c.conn.Write(c.out.Bytes())
	require.NoError(c.t, err)
	c.out.Reset()
}

// nextFrame returns the next frame and a short text of it: "end" once the peer has closed, "reset" if the connection broke.
func (c *http2Client) nextFrame() (word string, f http2.Frame) {
	c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	f, err := c.framer.ReadFrame()
	switch {
	case errors.Is(err, io.EOF):
		return "end", nil
	case err != nil:
		return "reset", nil
	}
	switch f := f.(type) {
	case *http2.HeadersFrame:
		fields, err := c.decoder.DecodeFull(f.HeaderBlockFragment())
		require.NoError(c.t, err)
		return fmt.Sprintf("head %d %s", f.StreamID, fields[0].Value), f
	case *http2.DataFrame:
		return fmt.Sprintf("data %d", f.StreamID), f
	case *http2.RSTStreamFrame:
		return fmt.Sprintf("rst %d %v", f.StreamID, f.ErrCode), f
	case *http2.GoAwayFrame:
		return fmt.Sprintf("goaway %d %v", f.LastStreamID, f.ErrCode), f
	case *http2.PingFrame:
		return "ping", f
	}
	return strings.ToLower(f.Header().Type.String()), f
}

// readUntil reads up to a frame.
func (c *http2Client) readUntil(want string) {
	c.t.Helper()
	for {
		word, _ := c.nextFrame()
		if word == want {
			return
		}
		require.NotContains(c.t, []string{"end", "reset"}, word, "instead of "+want)
	}
}

// readAnswers reads to the end and counts the bytes of each stream that had its complete answer. last is how the connection
// ended.
func (c *http2Client) readAnswers() (whole map[uint32]int, last string) {
	received := map[uint32]int{}
	whole = map[uint32]int{}
	for {
		word, f := c.nextFrame()
		switch f := f.(type) {
		case nil:
			return whole, word
		case *http2.DataFrame:
			received[f.StreamID] += len(f.Data())
			if f.StreamEnded() {
				whole[f.StreamID] = received[f.StreamID]
			}
		case *http2.HeadersFrame:
			if f.StreamEnded() {
				whole[f.StreamID] = 0
			}
		}
	}
}

// waitOpenReqs waits until n requests are open.
func (s *testServer) waitOpenReqs(t *testing.T, n int) {
	t.Helper()
	eventually(t, fmt.Sprint(n, " requests are open"), func() bool { return s.clients.Core.OpenReqs() == n })
}

// waitAbandoned waits until no request is open, and checks that the requests were abandoned. A request that was not would be
// answered at its deadline, with nobody to read the answer.
func (s *testServer) waitAbandoned(t *testing.T) {
	t.Helper()
	s.waitOpenReqs(t, 0)
	n := s.count
	assert.Zero(t, n.AnswersServed.Load()+n.AnswersRefused.Load()+n.AnswersFailed.Load(), "answered instead of abandoned")
}

// checkNoSessions checks that nothing is left of the sessions.
func (s *testServer) checkNoSessions(t *testing.T) {
	t.Helper()
	eventually(t, "no session is left", func() bool { return s.clients.OpenSessions() == 0 && len(s.sessions()) == 0 })
	assert.Zero(t, s.clients.bufferedBytes.Load(), "no bytes may stay reserved")
}

// blockWriter connects a client that has a request open and then reads nothing, so that the front's writer waits for it. What
// the front writes is the reply to /counters, a megabyte.
func (s *testServer) blockWriter(t *testing.T, attempts chan *core.Attempt) (*http2Client, *core.Attempt) {
	c := connectHTTP2(t, s.listenHTTP2(t, smallWriteBuffer), 4<<10)
	c.appendPost(1)
	c.flush()
	a := receive(t, "an attempt", attempts)
	c.appendGet(3, "/counters")
	c.flush()
	c.readUntil("head 3 200")
	return c, a
}

// pausedWriter is the front's end of a connection whose first long write waits until resume is closed.
type pausedWriter struct {
	*net.TCPConn
	once    sync.Once
	writing chan struct{}
	resume  chan struct{}
}

func (l *pausedWriter) Write(b []byte) (int, error) {
	if len(b) > 32<<10 {
		l.once.Do(func() {
			close(l.writing)
			<-l.resume
		})
	}
	return l.TCPConn.Write(b)
}

// pauseWriter is like blockWriter, for a client that reads after all once resume is closed.
func (s *testServer) pauseWriter(t *testing.T, attempts chan *core.Attempt) (*http2Client, *core.Attempt, *pausedWriter) {
	l := &pausedWriter{writing: make(chan struct{}), resume: make(chan struct{})}
	c := connectHTTP2(t, s.listenHTTP2(t, func(conn *net.TCPConn) net.Conn {
		l.TCPConn = conn
		return l
	}), 0)
	c.appendPost(1)
	c.flush()
	a := receive(t, "an attempt", attempts)
	c.appendGet(3, "/counters")
	c.flush()
	receive(t, "a long write", l.writing)
	return c, a, l
}

// startWithLongDeadlines starts a dispatcher whose requests have a deadline of one hour, so that no deadline ends them in a test.
func startWithLongDeadlines(t *testing.T, b core.Backends, change ...func(*Clients)) *testServer {
	long := func(c *Clients) { c.Names.Deadlines, c.LongestDeadline = []time.Duration{time.Hour}, time.Hour }
	return startServer(t, b, append([]func(*Clients){long}, change...)...)
}

func startWithLongReply(t *testing.T, b core.Backends, stall time.Duration) *testServer {
	s := startWithLongDeadlines(t, b, func(c *Clients) {
		c.MaxBufferedBytes, c.Stats = 4<<20, func() string { return strings.Repeat("s", 1<<20) }
	})
	s.changeLimits(func(l *HTTP2Limits) { l.StallTimeout = stall })
	return s
}

// heldDials is a pool of backends whose connections come up when the test says so.
type heldDials struct {
	pool      *Pool
	started   chan struct{}
	resume    chan struct{}
	mu        sync.Mutex
	bytesRead int
}

func (d *heldDials) bytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytesRead
}

func newHeldDials(t *testing.T) *heldDials {
	d := &heldDials{started: make(chan struct{}, 16), resume: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				b := make([]byte, 4<<10)
				for {
					n, err := conn.Read(b)
					d.mu.Lock()
					d.bytesRead += n
					d.mu.Unlock()
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	d.pool = &Pool{Names: &platform.Names{}, Count: &counters.Set{}, ConnectTimeout: time.Minute, IdleTimeout: time.Minute, MaxConnections: 9}
	d.pool.Dial = func(context.Context, string) (net.Conn, error) {
		d.started <- struct{}{}
		<-d.resume
		return net.Dial("tcp", l.Addr().String())
	}
	return d
}
