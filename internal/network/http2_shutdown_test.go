package network

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/net/http2"

	"tinsail/internal/core"
)

// ackDrainPing acknowledges the PING that goes with the first GOAWAY.
func (c *http2Client) ackDrainPing() { c.framer.WritePing(true, [8]byte{0x74, 0x61, 0x69, 0x6c}) }

// TestHTTP2DrainBeforePreface: a client that has connected, and whose first bytes are still on their way when the shutdown
// begins, is told to drain as others are, and what it sent is answered.
func TestHTTP2DrainBeforePreface(t *testing.T) {
	for _, early := range []int{0, 10, len(http2.ClientPreface)} { // bytes that arrive before the shutdown
		t.Run(fmt.Sprint(early), func(t *testing.T) {
			t.Parallel()
			h := newHoldingBackends()
			s := startWithLongDeadlines(t, h)
			c := dialHTTP2(t, s.addresses[1], 0)
			c.appendPreface()
			c.appendPost(1)
			all := append([]byte(nil), c.out.Bytes()...)
			c.out.Reset()
			c.out.Write(all[:early])
			c.flush()
			eventually(t, "the connection is accepted, and its first bytes are read", func() bool {
				if len(s.sessions()) == 0 {
					return false
				}
				f := s.sessions()[0]
				f.mu.Lock()
				defer f.mu.Unlock()
				return early == 0 || f.machine.Partial() && f.rank == rankPartial
			})
			svc := NewService(s.clients, s.http2)
			svc.BeginShutdown()
			c.out.Write(all[early:])
			c.flush()
			c.readUntil("goaway 2147483647 NO_ERROR")
			c.readUntil("ping")
			c.ackDrainPing()
			c.flush()
			c.readUntil("goaway 1 NO_ERROR")
			receive(t, "an attempt", h.attempts).Ended(core.Served, "r", nil)
			whole, last := c.readAnswers()
			assert.Equal(t, map[uint32]int{1: 1}, whole)
			assert.Equal(t, "end", last)
			c.conn.Close()
			receive(t, "the process's end", svc.Ended())
			s.checkNoSessions(t)
		})
	}
}

// TestHTTP2StreamsDuringShutdown: new streams, both GOAWAYs and the shutdown at the same time. Streams up to the last one named
// by GOAWAY are answered in full, and later ones are never sent to a backend.
func TestHTTP2StreamsDuringShutdown(t *testing.T) {
	for round := range 20 {
		h := newHoldingBackends()
		s := startWithLongDeadlines(t, h)
		s.changeLimits(func(l *HTTP2Limits) { l.DrainTimeout = time.Hour }) // only the client's acknowledgement brings the second GOAWAY
		c := connectHTTP2(t, s.addresses[1], 0)
		c.readUntil("settings")
		begin := make(chan struct{})
		var wg sync.WaitGroup
		svc := NewService(s.clients, s.http2)
		wg.Go(func() { <-begin; svc.BeginShutdown() })
		wg.Go(func() {
			<-begin
			for i := range uint32(8) {
				c.appendPost(1 + 2*i)
				if i == 3 {
					c.framer.WriteGoAway(0, http2.ErrCodeNo, nil)
				}
				c.flush()
			}
		})
		close(begin)
		wg.Wait()
		last := uint32(0)
		for word := ""; last == 0; {
			var f http2.Frame
			switch word, f = c.nextFrame(); f := f.(type) {
			case *http2.PingFrame:
				c.ackDrainPing()
				c.appendPost(17) // may or may not cross the second GOAWAY
				c.flush()
			case *http2.GoAwayFrame:
				if f.LastStreamID < 1<<31-1 {
					last = f.LastStreamID
				}
			case nil:
				t.Fatal("round ", round, ": ", word)
			}
		}
		c.appendPost(last + 2)
		c.appendPost(last + 20)
		c.framer.WritePing(false, [8]byte{1})
		c.flush()
		c.readUntil("ping") // all of it has been read
		reqs := int(last+1) / 2
		assert.Equal(t, reqs, s.clients.Core.OpenReqs(), "round %d: open requests, with %d as the last stream", round, last)
		go func() {
			for range reqs {
				(<-h.attempts).Ended(core.Served, "r", nil)
			}
		}()
		whole, ending := c.readAnswers()
		assert.Len(t, whole, reqs, "round %d", round)
		assert.Equal(t, "end", ending)
		c.conn.Close()
		s.checkNoSessions(t)
		assert.Empty(t, h.attempts, "a stream beyond the last one named was sent to a backend")
	}
}

// TestHTTP2ShutdownWaitsForUnreadAnswer: the process does not end while an answer is decided and its client has yet to read it.
func TestHTTP2ShutdownWaitsForUnreadAnswer(t *testing.T) {
	t.Parallel()
	h := newHoldingBackends()
	s := startWithLongReply(t, h, time.Hour)
	c, a, l := s.pauseWriter(t, h.attempts)
	svc := NewService(s.clients, s.http2)
	svc.BeginShutdown()
	a.Ended(core.Served, "decided", nil)
	s.waitOpenReqs(t, 0)
	// No request is open any more, and the shutdown has begun to close sessions.
	eventually(t, "the shutdown to close sessions", func() bool { return s.clients.currentDirectives().CloseAfterAnswer })
	for range 2 * 5 { // more updates than the end would take without a session
		svc.refresh()
		select {
		case <-svc.Ended():
			t.Fatal("the process ended before the answer was written")
		default:
		}
	}
	close(l.resume)
	for {
		word, _ := c.nextFrame()
		if word == "ping" {
			c.ackDrainPing()
			c.flush()
		} else if word == "data 1" {
			break
		}
		if word == "end" || word == "reset" {
			t.Fatal(word)
		}
	}
	c.conn.Close()
	receive(t, "the process's end", svc.Ended())
}

// heldRead is the front's end of a connection on which a test holds a read that returned bytes.
type heldRead struct {
	*net.TCPConn
	onRead       func()
	onNoDeadline func() // the next read is to wait without limit
}

func (h *heldRead) Read(b []byte) (int, error) {
	n, err := h.TCPConn.Read(b)
	if n > 0 {
		h.onRead()
	}
	return n, err
}

func (h *heldRead) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		h.onNoDeadline()
	}
	return h.TCPConn.SetReadDeadline(t)
}

// TestHTTP2ReqDuringShed: a request that is read just as its idle session is shed is answered, the client is told to close, and
// the session does not poll meanwhile.
func TestHTTP2ReqDuringShed(t *testing.T) {
	h := newHoldingBackends()
	s := startWithLongDeadlines(t, h)
	var hold, shed atomic.Bool
	reqRead, resume, noDeadline := make(chan struct{}), make(chan struct{}), make(chan struct{}, 100)
	address := s.listenHTTP2(t, func(conn *net.TCPConn) net.Conn {
		return &heldRead{conn, func() {
			if hold.CompareAndSwap(true, false) {
				close(reqRead)
				<-resume
			}
		}, func() {
			if shed.Load() {
				noDeadline <- struct{}{}
			}
		}}
	})
	c := connectHTTP2(t, address, 0)
	c.appendPost(1)
	c.flush()
	receive(t, "an attempt", h.attempts).Ended(core.Served, "r", nil)
	c.readUntil("data 1")
	eventually(t, "the session is idle", func() bool {
		f := s.sessions()[0]
		s.clients.table.mu.Lock()
		defer s.clients.table.mu.Unlock()
		return f.rank == rankIdle
	})
	hold.Store(true)
	c.appendPost(3)
	c.flush()
	receive(t, "the request's bytes", reqRead)
	s.clients.Resize(DescriptorLimits{}) // no idle session may stay
	shed.Store(true)
	close(resume)
	a := receive(t, "an attempt", h.attempts)
	c.readUntil("goaway 3 NO_ERROR")
	receive(t, "a read without a deadline", noDeadline)
	a.Ended(core.Served, "r", nil)
	whole, last := c.readAnswers()
	assert.Equal(t, map[uint32]int{3: 1}, whole)
	assert.Equal(t, "end", last)
	c.conn.Close()
	s.checkNoSessions(t)
	assert.Equal(t, int64(1), s.count.Endings[core.SessionShed].Load())
}
