package network

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"tinsail/internal/core"
)

// cancellations are the ways in which a client cancels its requests.
var cancellations = map[string]func(*http2Client){
	"RST_STREAM": func(c *http2Client) { c.framer.WriteRSTStream(1, http2.ErrCodeCancel); c.flush() },
	"FIN":        func(c *http2Client) { c.conn.CloseWrite() },
	"RST":        func(c *http2Client) { c.conn.SetLinger(0); c.conn.Close() },
	"GOAWAY, and gone": func(c *http2Client) {
		c.framer.WriteGoAway(0, http2.ErrCodeNo, nil)
		c.flush()
		c.conn.CloseWrite()
	},
	"a frame that ends the connection": func(c *http2Client) { c.appendInvalid(); c.flush() },
	"FIN behind a flood": func(c *http2Client) {
		for range 1500 {
			c.framer.WriteWindowUpdate(0, 1)
		}
		c.flush()
		c.conn.CloseWrite()
	},
	"RST_STREAM behind a flood": func(c *http2Client) {
		for range 1500 {
			c.framer.WritePriority(1, http2.PriorityParam{StreamDep: 7})
		}
		c.framer.WriteRSTStream(1, http2.ErrCodeCancel)
		c.flush()
	},
	"a flood that is too much": func(c *http2Client) {
		for range 12000 { // more than the allowance that the waiting answer gives
			c.framer.WriteWindowUpdate(0, 1)
		}
		c.flush()
	},
}

// TestHTTP2ClientCancels: however a client cancels its request, the core learns of it at once, whether the front's writer is
// idle or waits for that client.
func TestHTTP2ClientCancels(t *testing.T) {
	for name, cancel := range cancellations {
		t.Run(name+"/writer free", func(t *testing.T) {
			h := newHoldingBackends()
			s := startWithLongDeadlines(t, h)
			c := connectHTTP2(t, s.addresses[1], 0)
			c.appendPost(1)
			c.flush()
			receive(t, "an attempt", h.attempts)
			s.waitOpenReqs(t, 1)
			cancel(c)
			s.waitAbandoned(t)
			c.conn.Close()
			s.checkNoSessions(t)
		})
		t.Run(name+"/writer waits", func(t *testing.T) {
			h := newHoldingBackends()
			s := startWithLongReply(t, h, time.Hour)
			c, _ := s.blockWriter(t, h.attempts)
			s.waitOpenReqs(t, 1)
			cancel(c)
			s.waitAbandoned(t)
			c.conn.Close() // resets the connection, as bytes are unread
			s.checkNoSessions(t)
		})
	}
}

// TestHTTP2ClientCancelsWhileDialing: no attempt starts for a client that cancelled its request while the connection to the
// backend was being made.
func TestHTTP2ClientCancelsWhileDialing(t *testing.T) {
	for name, cancel := range cancellations {
		t.Run(name, func(t *testing.T) {
			d := newHeldDials(t)
			s := startWithLongDeadlines(t, d.pool)
			c := connectHTTP2(t, s.addresses[1], 0)
			c.appendPost(1)
			c.flush()
			receive(t, "a connection to a backend", d.started)
			s.waitOpenReqs(t, 1)
			cancel(c)
			s.waitAbandoned(t)
			close(d.resume)
			eventually(t, "the attempt's end", func() bool { return d.bytes() > 0 || s.count.Endings[core.Unsent].Load() == 1 })
			assert.Zero(t, d.bytes(), "a request was sent although its client had cancelled it")
			c.conn.Close()
			s.checkNoSessions(t)
		})
	}
}

// TestHTTP2ClientGoAway: a GOAWAY from the client says only that it opens no more streams. It does not cancel a request, even
// while its connection to a backend is being made.
func TestHTTP2ClientGoAway(t *testing.T) {
	d := newHeldDials(t)
	s := startWithLongDeadlines(t, d.pool)
	c := connectHTTP2(t, s.addresses[1], 0)
	c.appendPost(1)
	c.flush()
	receive(t, "a connection to a backend", d.started)
	c.framer.WriteGoAway(0, http2.ErrCodeNo, nil)
	c.framer.WritePing(false, [8]byte{1})
	c.flush()
	c.readUntil("ping") // the GOAWAY has been read
	assert.Equal(t, 1, s.clients.Core.OpenReqs())
	close(d.resume)
	eventually(t, "the request's bytes", func() bool { return d.bytes() > 0 })
}

// lingeringConn is the front's end of a connection that ends with an answer which its client has not read.
type lingeringConn struct {
	*net.TCPConn
	written    func() bool   // reports whether the front has written its last byte
	lingerSet  chan struct{} // the front has set how long its client may read
	woken      chan struct{} // its writer has woken its reader for the end
	reading    chan struct{} // it is about to read what its client still sends, and waits for resume
	resume     chan struct{}
	readAgain  chan struct{} // it reads once more after bytes that crossed the end
	crossed    chan struct{} // these bytes were sent; the connection is not closed before
	closed     chan struct{}
	onces      [4]sync.Once
	reads      int
	sendClosed atomic.Bool // the front's sending side is closed
	inRead     atomic.Bool // in a Read that began before the end, for which the wake-up is meant
}

// bigResult is more than a client with a small receive buffer takes without reading: the rest stays with the front.
var bigResult = strings.Repeat("b", 700<<10)

func (l *lingeringConn) once(i int, c chan struct{}) { l.onces[i].Do(func() { close(c) }) }

func (l *lingeringConn) SetReadDeadline(until time.Time) error {
	now := time.Now()
	wakes := !until.IsZero() && !until.After(now)
	if !wakes && until.Before(now.Add(finalReadWait+time.Millisecond)) && !until.IsZero() { // a final read, made longer for a loaded machine
		until = now.Add(time.Second)
	}
	if wakes && l.written() && !l.inRead.Load() { // after flushed was closed: this could undo what the reader sets
		<-l.lingerSet
	}
	err := l.TCPConn.SetReadDeadline(until)
	if wakes {
		l.once(0, l.woken)
	} else if !until.IsZero() && l.ended() {
		l.once(1, l.lingerSet)
	}
	return err
}

func (l *lingeringConn) CloseWrite() error {
	err := l.TCPConn.CloseWrite()
	l.sendClosed.Store(true)
	return err
}

func (l *lingeringConn) ended() bool { return l.sendClosed.Load() || l.written() }

func (l *lingeringConn) Read(b []byte) (int, error) {
	if l.ended() {
		<-l.woken
		if l.reads++; l.reads == 1 {
			close(l.reading)
			<-l.resume
		} else {
			l.once(2, l.readAgain)
		}
		return l.TCPConn.Read(b)
	}
	l.inRead.Store(true)
	defer l.inRead.Store(false)
	return l.TCPConn.Read(b)
}

func (l *lingeringConn) Close() error {
	if l.ended() {
		<-l.crossed
	}
	err := l.TCPConn.Close()
	l.once(3, l.closed)
	return err
}

// TestHTTP2Linger: a client reads an answer that was written before its connection ended, although it still sends. The time
// that it has for that is not undone by the writer's wake-up at the end, nor by the table when it closes all sessions in a
// shutdown.
func TestHTTP2Linger(t *testing.T) {
	for name, end := range map[string]func(s *testServer, c *http2Client, a *core.Attempt){
		"an error of the client's": func(_ *testServer, c *http2Client, a *core.Attempt) {
			a.Ended(core.Served, bigResult, nil)
			c.readUntil("head 1 200")
			c.appendInvalid()
			c.flush()
		},
		"a drain": func(s *testServer, c *http2Client, a *core.Attempt) {
			s.http2.announceDrain()
			c.readUntil("ping")
			c.framer.WritePing(true, [8]byte{0x74, 0x61, 0x69, 0x6c})
			c.flush()
			c.readUntil("goaway 1 NO_ERROR")
			a.Ended(core.Served, bigResult, nil)
		},
	} {
		for _, when := range []string{"", "/in a shutdown", "/when its time is up"} {
			t.Run(name+when, func(t *testing.T) {
				t.Parallel()
				h := newHoldingBackends()
				s := startWithLongDeadlines(t, h, func(c *Clients) { c.LongestDeadline = -100 * time.Millisecond }) // a shutdown closes at once
				made := make(chan *lingeringConn, 1)
				address := s.listenHTTP2(t, func(conn *net.TCPConn) net.Conn {
					conn.SetWriteBuffer(2 << 20)
					l := &lingeringConn{TCPConn: conn, lingerSet: make(chan struct{}), woken: make(chan struct{}), reading: make(chan struct{}),
						resume: make(chan struct{}), readAgain: make(chan struct{}), crossed: make(chan struct{}), closed: make(chan struct{})}
					l.written = func() bool {
						for _, f := range s.sessions() {
							select {
							case <-f.flushed:
								return true
							default:
							}
						}
						return false
					}
					made <- l
					return l
				})
				c := connectHTTP2(t, address, 64<<10)
				l := receive(t, "the connection", made)
				c.appendPost(1)
				c.flush()
				end(s, c, receive(t, "an attempt", h.attempts))
				receive(t, "the read after the end", l.reading)
				switch when {
				case "/in a shutdown":
					NewService(s.clients, s.http2).BeginShutdown()
				case "/when its time is up":
					time.Sleep(lingerTimeout)
				}
				c.framer.WriteData(3, false, []byte(bigResult[:1000])) // crosses the end
				c.flush()
				close(l.crossed)
				close(l.resume)
				select {
				case <-l.readAgain:
				case <-l.closed:
				case <-time.After(testTimeout):
					require.Fail(t, "neither read on nor closed")
				}
				whole, last := c.readAnswers()
				assert.Equal(t, len(bigResult), whole[1], "bytes of the answer received")
				assert.Equal(t, "end", last)
				c.conn.Close()
				s.checkNoSessions(t)
			})
		}
	}
}
