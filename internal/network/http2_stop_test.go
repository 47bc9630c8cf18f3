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
func (c *caller) mark() { c.fr.WritePing(true, [8]byte{0x74, 0x61, 0x69, 0x6c}) }

// TestHTTP2DrainBeforePreface: a client that has connected, and whose first bytes are still on their way when the shutdown
// begins, is told to drain as others are, and what it sent is answered.
func TestHTTP2HintBeforeHello(t *testing.T) {
	for _, early := range []int{0, 10, len(http2.ClientPreface)} { // bytes that arrive before the shutdown
		t.Run(fmt.Sprint(early), func(t *testing.T) {
			t.Parallel()
			h := newHolding()
			s := serveLong(t, h)
			c := connect(t, s.address[1], 0)
			c.hello()
			c.post(1)
			all := append([]byte(nil), c.out.Bytes()...)
			c.out.Reset()
			c.out.Write(all[:early])
			c.send()
			soon(t, "it is accepted, and has sent so much", func() bool {
				if len(s.streamsNow()) == 0 {
					return false
				}
				f := s.streamsNow()[0]
				f.mu.Lock()
				defer f.mu.Unlock()
				return early == 0 || f.m.Partial() && f.shedRank == half
			})
			end := NewService(s.clients, s.http2)
			end.BeginShutdown()
			c.out.Write(all[early:])
			c.send()
			c.until("goaway 2147483647 NO_ERROR")
			c.until("ping")
			c.mark()
			c.send()
			c.until("goaway 1 NO_ERROR")
			came(t, "an attempt", h.out).Ended(core.Served, "r", nil)
			whole, last := c.answers()
			assert.Equal(t, map[uint32]int{1: 1}, whole)
			assert.Equal(t, "end", last)
			c.conn.Close()
			came(t, "the process's end", end.Ended())
			s.empty(t)
		})
	}
}

// TestHTTP2StreamsDuringShutdown: new streams, both GOAWAYs and the shutdown at the same time. Streams up to the last one named
// by GOAWAY are answered in full, and later ones are never sent to a backend.
func TestHTTP2StopAtOnce(t *testing.T) {
	for round := range 20 {
		h := newHolding()
		s := serveLong(t, h)
		s.limits(func(l *HTTP2Limits) { l.DrainTimeout = time.Hour }) // only the client's acknowledgement brings the second GOAWAY
		c := phoneUp(t, s.address[1], 0)
		c.until("settings")
		begin := make(chan struct{})
		var all sync.WaitGroup
		end := NewService(s.clients, s.http2)
		all.Go(func() { <-begin; end.BeginShutdown() })
		all.Go(func() {
			<-begin
			for i := range uint32(8) {
				c.post(1 + 2*i)
				if i == 3 {
					c.fr.WriteGoAway(0, http2.ErrCodeNo, nil)
				}
				c.send()
			}
		})
		close(begin)
		all.Wait()
		last := uint32(0)
		for word := ""; last == 0; {
			var f http2.Frame
			switch word, f = c.next(); f := f.(type) {
			case *http2.PingFrame:
				c.mark()
				c.post(17) // may or may not cross the second GOAWAY
				c.send()
			case *http2.GoAwayFrame:
				if f.LastStreamID < 1<<31-1 {
					last = f.LastStreamID
				}
			case nil:
				t.Fatal("round ", round, ": ", word)
			}
		}
		c.post(last + 2)
		c.post(last + 20)
		c.fr.WritePing(false, [8]byte{1})
		c.send()
		c.until("ping") // all of it has been read
		reqs := int(last+1) / 2
		assert.Equal(t, reqs, s.clients.Core.OpenReqs(), "round %d: taken, the last stream being %d", round, last)
		go func() {
			for range reqs {
				(<-h.out).Ended(core.Served, "r", nil)
			}
		}()
		whole, how := c.answers()
		assert.Len(t, whole, reqs, "round %d", round)
		assert.Equal(t, "end", how)
		c.conn.Close()
		s.empty(t)
		assert.Empty(t, h.out, "sent on beyond the last stream")
	}
}

// TestHTTP2ShutdownWaitsForUnreadAnswer: the process does not end while an answer is decided and its client has yet to read it.
func TestHTTP2StopWhileUnread(t *testing.T) {
	t.Parallel()
	h := newHolding()
	s := serveFull(t, h, time.Hour)
	c, a, l := s.late(t, h.out)
	end := NewService(s.clients, s.http2)
	end.BeginShutdown()
	a.Ended(core.Served, "decided", nil)
	s.owes(t, 0)
	// No request is open any more, and the shutdown has begun to close sessions.
	soon(t, "the shutdown closes sessions", func() bool { return s.clients.told().CloseAfterAnswer })
	for range 2 * 5 { // more updates than the end would take without a session
		end.look()
		select {
		case <-end.Ended():
			t.Fatal("ended with an answer unwritten")
		default:
		}
	}
	close(l.goOn)
	for {
		word, _ := c.next()
		if word == "ping" {
			c.mark()
			c.send()
		} else if word == "data 1" {
			break
		}
		if word == "end" || word == "reset" {
			t.Fatal(word)
		}
	}
	c.conn.Close()
	came(t, "the process's end", end.Ended())
}

// heldRead is the front's end of a connection on which a test holds a read that returned bytes.
type heldRead struct {
	*net.TCPConn
	read  func()
	quiet func() // the next read is to wait without limit
}

func (h *heldRead) Read(b []byte) (int, error) {
	n, err := h.TCPConn.Read(b)
	if n > 0 {
		h.read()
	}
	return n, err
}

func (h *heldRead) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		h.quiet()
	}
	return h.TCPConn.SetReadDeadline(t)
}

// TestHTTP2ReqDuringShed: a request that is read just as its idle session is shed is answered, the client is told to close, and
// the session does not poll meanwhile.
func TestHTTP2ShedAsReqComes(t *testing.T) {
	h := newHolding()
	s := serveLong(t, h)
	var hold, shed atomic.Bool
	came1, goOn, quiet := make(chan struct{}), make(chan struct{}), make(chan struct{}, 100)
	address := s.listen(t, func(conn *net.TCPConn) net.Conn {
		return &heldRead{conn, func() {
			if hold.CompareAndSwap(true, false) {
				close(came1)
				<-goOn
			}
		}, func() {
			if shed.Load() {
				quiet <- struct{}{}
			}
		}}
	})
	c := phoneUp(t, address, 0)
	c.post(1)
	c.send()
	came(t, "an attempt", h.out).Ended(core.Served, "r", nil)
	c.until("data 1")
	soon(t, "the session rests", func() bool {
		f := s.streamsNow()[0]
		s.clients.table.mu.Lock()
		defer s.clients.table.mu.Unlock()
		return f.shedRank == resting
	})
	hold.Store(true)
	c.post(3)
	c.send()
	came(t, "the req's bytes", came1)
	s.clients.Resize(DescriptorLimits{}) // no idle session may stay
	shed.Store(true)
	close(goOn)
	a := came(t, "an attempt", h.out)
	c.until("goaway 3 NO_ERROR")
	came(t, "a read that waits for bytes alone", quiet)
	a.Ended(core.Served, "r", nil)
	whole, last := c.answers()
	assert.Equal(t, map[uint32]int{3: 1}, whole)
	assert.Equal(t, "end", last)
	c.conn.Close()
	s.empty(t)
	assert.Equal(t, int64(1), s.count.Endings[core.SessionShed].Load())
}
