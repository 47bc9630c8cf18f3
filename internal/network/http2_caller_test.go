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

// Helpers for tests of events that cross each other on an HTTP/2 connection, over loopback sockets. Which comes first is forced:
// a backend holds its attempt, a client its bytes, or a wrapped socket a call. Time limits only bound how long a failing test
// waits.
const patience = 20 * time.Second

// eventually waits for a condition, however loaded the machine is.
func soon(t *testing.T, what string, is func() bool) {
	t.Helper()
	require.Eventually(t, is, patience, time.Millisecond, what)
}

// receive waits for an event.
func came[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		require.FailNow(t, "did not come: "+what)
	}
	return v
}

// holdingBackends start each attempt and leave the rest to the test.
type holding struct {
	instant
	out chan *core.Attempt
}

func newHolding() *holding { return &holding{out: make(chan *core.Attempt, 256)} }

func (h *holding) Send(a *core.Attempt) func() {
	a.Started()
	h.out <- a
	return func() {}
}

// wrappingListener is a listener whose connections a test wraps.
type wrapped struct {
	*net.TCPListener
	wrap func(*net.TCPConn) net.Conn
}

func (w wrapped) Accept() (net.Conn, error) {
	conn, err := w.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return w.wrap(conn), nil
}

// listenHTTP2 opens one more port of the front, whose connections are wrapped.
func (s *served) listen(t *testing.T, wrap func(*net.TCPConn) net.Conn) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go s.http2.Serve(wrapped{l.(*net.TCPListener), wrap})
	return l.Addr().String()
}

// smallWriteBuffer has the kernel hold little of what is written to a connection.
func narrow(conn *net.TCPConn) net.Conn {
	conn.SetWriteBuffer(4 << 10)
	return conn
}

// changeLimits changes the limits of connections from now on.
func (s *served) limits(change func(*HTTP2Limits)) {
	l := *s.http2.limits.Load()
	change(&l)
	s.http2.SetLimits(l)
}

// sessions returns the front's connections.
func (s *served) streamsNow() (all []*streams) {
	s.http2.open.Range(func(key, _ any) bool {
		all = append(all, key.(*streams))
		return true
	})
	return all
}

// http2Client is an HTTP/2 client that uses x/net's Framer. What it sends is collected and goes out in one write.
type caller struct {
	t    *testing.T
	conn *net.TCPConn
	out  bytes.Buffer
	fr   *http2.Framer
	dec  *hpack.Decoder
}

// connectHTTP2 connects and sends the preface with windows that are wide open. read is the size of its receive buffer; 0 for
// the default.
func phoneUp(t *testing.T, address string, read int) *caller {
	c := connect(t, address, read)
	c.hello()
	c.send()
	return c
}

func connect(t *testing.T, address string, read int) *caller {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	c := &caller{t: t, conn: conn.(*net.TCPConn)}
	if read > 0 {
		c.conn.SetReadBuffer(read)
	}
	c.fr = http2.NewFramer(&c.out, c.conn)
	c.dec = hpack.NewDecoder(4096, nil)
	return c
}

func (c *caller) hello() {
	c.out.WriteString(http2.ClientPreface)
	c.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
	c.fr.WriteWindowUpdate(0, 1<<30)
}

// appendReq collects a request without a body.
func (c *caller) ask(stream uint32, fields ...string) {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	enc.SetMaxDynamicTableSize(0)
	for i := 0; i < len(fields); i += 2 {
		enc.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true})
}

func (c *caller) post(stream uint32) {
	c.ask(stream, ":method", "POST", ":scheme", "http", ":path", "/photo/1",
		"x-correlation-id", fmt.Sprintf("%v/%d", c.conn.LocalAddr(), stream), "x-time-left-ms", "3600000")
}

func (c *caller) get(stream uint32, path string) {
	c.ask(stream, ":method", "GET", ":scheme", "http", ":path", path)
}

// appendInvalid collects a frame that ends a connection: DATA on a stream that was never opened.
func (c *caller) bad() { c.fr.WriteRawFrame(http2.FrameData, 0, 99999, []byte("x")) }

// flush writes what is collected.
func (c *caller) send() {
	_, err := c.conn.Write(c.out.Bytes())
	require.NoError(c.t, err)
	c.out.Reset()
}

// nextFrame returns the next frame and a short text of it: "end" once the peer has closed, "reset" if the connection broke.
func (c *caller) next() (word string, f http2.Frame) {
	c.conn.SetReadDeadline(time.Now().Add(patience))
	f, err := c.fr.ReadFrame()
	switch {
	case errors.Is(err, io.EOF):
		return "end", nil
	case err != nil:
		return "reset", nil
	}
	switch f := f.(type) {
	case *http2.HeadersFrame:
		fields, err := c.dec.DecodeFull(f.HeaderBlockFragment())
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
func (c *caller) until(want string) {
	c.t.Helper()
	for {
		word, _ := c.next()
		if word == want {
			return
		}
		require.NotContains(c.t, []string{"end", "reset"}, word, "instead of "+want)
	}
}

// readAnswers reads to the end and counts the bytes of each stream that had its complete answer. last is how the connection
// ended.
func (c *caller) answers() (whole map[uint32]int, last string) {
	got := map[uint32]int{}
	whole = map[uint32]int{}
	for {
		word, f := c.next()
		switch f := f.(type) {
		case nil:
			return whole, word
		case *http2.DataFrame:
			got[f.StreamID] += len(f.Data())
			if f.StreamEnded() {
				whole[f.StreamID] = got[f.StreamID]
			}
		case *http2.HeadersFrame:
			if f.StreamEnded() {
				whole[f.StreamID] = 0
			}
		}
	}
}

// waitOpenReqs waits until n requests are open.
func (s *served) owes(t *testing.T, n int) {
	t.Helper()
	soon(t, fmt.Sprint(n, " reqs are owed an answer"), func() bool { return s.clients.Core.OpenReqs() == n })
}

// waitAbandoned waits until no request is open, and checks that the requests were abandoned rather than answered, at the latest
// at their deadline, with nobody to read the answer.
func (s *served) gone(t *testing.T) {
	t.Helper()
	s.owes(t, 0)
	n := s.count
	assert.Zero(t, n.AnswersServed.Load()+n.AnswersRefused.Load()+n.AnswersFailed.Load(), "answered, not abandoned")
}

// checkNoSessions checks that nothing is left of the sessions.
func (s *served) empty(t *testing.T) {
	t.Helper()
	soon(t, "no session", func() bool { return s.clients.OpenSessions() == 0 && len(s.streamsNow()) == 0 })
	assert.Zero(t, s.clients.held.Load(), "bytes are held for nobody")
}

// blockWriter connects a client that has a request open and then reads nothing, so that the front's writer waits for it. What
// the front writes is the reply to /counters, a megabyte.
func (s *served) full(t *testing.T, out chan *core.Attempt) (*caller, *core.Attempt) {
	c := phoneUp(t, s.listen(t, narrow), 4<<10)
	c.post(1)
	c.send()
	a := came(t, "an attempt", out)
	c.get(3, "/counters")
	c.send()
	c.until("head 3 200")
	return c, a
}

// pausedWriter is the front's end of a connection whose first long write waits until resume is closed.
type lateWriter struct {
	*net.TCPConn
	once    sync.Once
	writing chan struct{}
	goOn    chan struct{}
}

func (l *lateWriter) Write(b []byte) (int, error) {
	if len(b) > 32<<10 {
		l.once.Do(func() {
			close(l.writing)
			<-l.goOn
		})
	}
	return l.TCPConn.Write(b)
}

// pauseWriter is like blockWriter, for a client that reads after all once resume is closed.
func (s *served) late(t *testing.T, out chan *core.Attempt) (*caller, *core.Attempt, *lateWriter) {
	l := &lateWriter{writing: make(chan struct{}), goOn: make(chan struct{})}
	c := phoneUp(t, s.listen(t, func(conn *net.TCPConn) net.Conn {
		l.TCPConn = conn
		return l
	}), 0)
	c.post(1)
	c.send()
	a := came(t, "an attempt", out)
	c.get(3, "/counters")
	c.send()
	came(t, "a long write", l.writing)
	return c, a, l
}

// startWithLongDeadlines starts a dispatcher whose requests have an hour, so that no deadline ends them in a test.
func serveLong(t *testing.T, b core.Backends, change ...func(*Clients)) *served {
	long := func(c *Clients) { c.Names.Limits, c.LongestDeadline = []time.Duration{time.Hour}, time.Hour }
	return serveReal(t, b, append([]func(*Clients){long}, change...)...)
}

func serveFull(t *testing.T, b core.Backends, stall time.Duration) *served {
	s := serveLong(t, b, func(c *Clients) {
		c.MaxBufferedBytes, c.Stats = 4<<20, func() string { return strings.Repeat("s", 1<<20) }
	})
	s.limits(func(l *HTTP2Limits) { l.StallTimeout = stall })
	return s
}

// heldDials is a pool of backends whose connections come up when the test says so.
type dialing struct {
	pool  *Pool
	asked chan struct{}
	goOn  chan struct{}
	mu    sync.Mutex
	got   int
}

func (d *dialing) bytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.got
}

func newDialing(t *testing.T) *dialing {
	d := &dialing{asked: make(chan struct{}, 16), goOn: make(chan struct{})}
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
					d.got += n
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
		d.asked <- struct{}{}
		<-d.goOn
		return net.Dial("tcp", l.Addr().String())
	}
	return d
}
