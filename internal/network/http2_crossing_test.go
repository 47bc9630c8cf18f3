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
var ends = map[string]func(*caller){
	"RST_STREAM": func(c *caller) { c.fr.WriteRSTStream(1, http2.ErrCodeCancel); c.send() },
	"FIN":        func(c *caller) { c.conn.CloseWrite() },
	"RST":        func(c *caller) { c.conn.SetLinger(0); c.conn.Close() },
	"GOAWAY, and gone": func(c *caller) {
		c.fr.WriteGoAway(0, http2.ErrCodeNo, nil)
		c.send()
		c.conn.CloseWrite()
	},
	"a frame that ends the connection": func(c *caller) { c.bad(); c.send() },
	"FIN behind a flood": func(c *caller) {
		for range 1500 {
			c.fr.WriteWindowUpdate(0, 1)
		}
		c.send()
		c.conn.CloseWrite()
	},
	"RST_STREAM behind a flood": func(c *caller) {
		for range 1500 {
			c.fr.WritePriority(1, http2.PriorityParam{StreamDep: 7})
		}
		c.fr.WriteRSTStream(1, http2.ErrCodeCancel)
		c.send()
	},
	"a flood that is too much": func(c *caller) {
		for range 12000 { // more than the allowance that the waiting answer gives
			c.fr.WriteWindowUpdate(0, 1)
		}
		c.send()
	},
}

// TestHTTP2ClientCancels: however a client cancels its request, the core learns of it at once, whether the front's writer is
// idle or waits for that client.
func TestHTTP2Gone(t *testing.T) {
	for name, end := range ends {
		t.Run(name+"/writer free", func(t *testing.T) {
			h := newHolding()
			s := serveLong(t, h)
			c := phoneUp(t, s.address[1], 0)
			c.post(1)
			c.send()
			came(t, "an attempt", h.out)
			s.owes(t, 1)
			end(c)
			s.gone(t)
			c.conn.Close()
			s.empty(t)
		})
		t.Run(name+"/writer waits", func(t *testing.T) {
			h := newHolding()
			s := serveFull(t, h, time.Hour)
			c, _ := s.full(t, h.out)
			s.owes(t, 1)
			end(c)
			s.gone(t)
			c.conn.Close() // resets the connection, as bytes are unread
			s.empty(t)
		})
	}
}

// TestHTTP2ClientCancelsWhileDialing: no attempt begins for a client that cancelled its request while the connection to the
// backend was being made.
func TestHTTP2GoneWhileDialing(t *testing.T) {
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			d := newDialing(t)
			s := serveLong(t, d.pool)
			c := phoneUp(t, s.address[1], 0)
			c.post(1)
			c.send()
			came(t, "a connection to a backend", d.asked)
			s.owes(t, 1)
			end(c)
			s.gone(t)
			close(d.goOn)
			soon(t, "the attempt's end", func() bool { return d.bytes() > 0 || s.count.Endings[core.Unsent].Load() == 1 })
			assert.Zero(t, d.bytes(), "a req was begun whose client had gone")
			c.conn.Close()
			s.empty(t)
		})
	}
}

// TestHTTP2ClientGoAway: a GOAWAY from the client says only that it opens no more streams. It does not cancel a request, even
// while its connection to a backend is being made.
func TestHTTP2ClientGoAway(t *testing.T) {
	d := newDialing(t)
	s := serveLong(t, d.pool)
	c := phoneUp(t, s.address[1], 0)
	c.post(1)
	c.send()
	came(t, "a connection to a backend", d.asked)
	c.fr.WriteGoAway(0, http2.ErrCodeNo, nil)
	c.fr.WritePing(false, [8]byte{1})
	c.send()
	c.until("ping") // the GOAWAY has been read
	assert.Equal(t, 1, s.clients.Core.OpenReqs())
	close(d.goOn)
	soon(t, "the req's bytes", func() bool { return d.bytes() > 0 })
}

// lingeringConn is the front's end of a connection that ends with an answer which its client has not read.
type lastConn struct {
	*net.TCPConn
	out     func() bool   // reports whether the front has written its last byte
	stays   chan struct{} // the front has set how long its client may read
	woken   chan struct{} // its writer has woken its reader for the end
	reads   chan struct{} // it is about to read what its client still sends, and waits for resume
	goOn    chan struct{}
	again   chan struct{} // it reads once more after bytes that crossed the end
	crossed chan struct{} // these bytes were sent; the connection is not closed before
	closed  chan struct{}
	onces   [4]sync.Once
	count   int
	halved  atomic.Bool // the front's sending side is closed
	waits   atomic.Bool // in a Read that began before the end, for which the wake-up is meant
}

// bigResult is more than a client with a small receive buffer takes without reading: the rest stays with the front.
var big = strings.Repeat("b", 700<<10)

func (l *lastConn) once(i int, c chan struct{}) { l.onces[i].Do(func() { close(c) }) }

func (l *lastConn) SetReadDeadline(until time.Time) error {
	now := time.Now()
	wakes := !until.IsZero() && !until.After(now)
	if !wakes && until.Before(now.Add(lastLook+time.Millisecond)) && !until.IsZero() { // a final read, made longer for a loaded machine
		until = now.Add(time.Second)
	}
	if wakes && l.out() && !l.waits.Load() { // after flushed was closed: this could undo what the reader sets
		<-l.stays
	}
	err := l.TCPConn.SetReadDeadline(until)
	if wakes {
		l.once(0, l.woken)
	} else if !until.IsZero() && l.over() {
		l.once(1, l.stays)
	}
	return err
}

func (l *lastConn) CloseWrite() error {
	err := l.TCPConn.CloseWrite()
	l.halved.Store(true)
	return err
}

func (l *lastConn) over() bool { return l.halved.Load() || l.out() }

func (l *lastConn) Read(b []byte) (int, error) {
	if l.over() {
		<-l.woken
		if l.count++; l.count == 1 {
			close(l.reads)
			<-l.goOn
		} else {
			l.once(2, l.again)
		}
		return l.TCPConn.Read(b)
	}
	l.waits.Store(true)
	defer l.waits.Store(false)
	return l.TCPConn.Read(b)
}

func (l *lastConn) Close() error {
	if l.over() {
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
	for name, end := range map[string]func(s *served, c *caller, a *core.Attempt){
		"an error of the client's": func(_ *served, c *caller, a *core.Attempt) {
			a.Ended(core.Served, big, nil)
			c.until("head 1 200")
			c.bad()
			c.send()
		},
		"a drain": func(s *served, c *caller, a *core.Attempt) {
			s.http2.hint()
			c.until("ping")
			c.fr.WritePing(true, [8]byte{0x74, 0x61, 0x69, 0x6c})
			c.send()
			c.until("goaway 1 NO_ERROR")
			a.Ended(core.Served, big, nil)
		},
	} {
		for _, when := range []string{"", "/in a shutdown", "/when its time is up"} {
			t.Run(name+when, func(t *testing.T) {
				t.Parallel()
				h := newHolding()
				s := serveLong(t, h, func(c *Clients) { c.LongestDeadline = -100 * time.Millisecond }) // a shutdown closes at once
				made := make(chan *lastConn, 1)
				address := s.listen(t, func(conn *net.TCPConn) net.Conn {
					conn.SetWriteBuffer(2 << 20)
					l := &lastConn{TCPConn: conn, stays: make(chan struct{}), woken: make(chan struct{}), reads: make(chan struct{}),
						goOn: make(chan struct{}), again: make(chan struct{}), crossed: make(chan struct{}), closed: make(chan struct{})}
					l.out = func() bool {
						for _, f := range s.streamsNow() {
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
				c := phoneUp(t, address, 64<<10)
				l := came(t, "the connection", made)
				c.post(1)
				c.send()
				end(s, c, came(t, "an attempt", h.out))
				came(t, "the reading after the end", l.reads)
				switch when {
				case "/in a shutdown":
					NewService(s.clients, s.http2).BeginShutdown()
				case "/when its time is up":
					time.Sleep(lingerWait)
				}
				c.fr.WriteData(3, false, []byte(big[:1000])) // crosses the end
				c.send()
				close(l.crossed)
				close(l.goOn)
				select {
				case <-l.again:
				case <-l.closed:
				case <-time.After(patience):
					require.Fail(t, "neither read on nor closed")
				}
				whole, last := c.answers()
				assert.Equal(t, len(big), whole[1], "bytes of the answer")
				assert.Equal(t, "end", last)
				c.conn.Close()
				s.empty(t)
			})
		}
	}
}
