package network

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/net/http2"

	"tinsail/internal/core"
	ours "tinsail/internal/http2"
)

// TestHTTP2AnswerSentBeforeClientError: an answer that was decided before a client's error is read is sent with what was
// written before, although the writer waited for that client.
func TestHTTP2AnswerSentBeforeClientError(t *testing.T) {
	h := newHoldingBackends()
	s := startWithLongReply(t, h, time.Hour)
	c, a, l := s.pauseWriter(t, h.attempts)
	a.Ended(core.Served, "decided", nil)
	f := s.sessions()[0]
	eventually(t, "the answer in the inbox", func() bool {
		f.inbox.Lock()
		defer f.inbox.Unlock()
		return len(f.inbox.items) == 1
	})
	c.appendInvalid()
	c.flush()
	eventually(t, "the error is read", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.ended
	})
	close(l.resume)
	whole, last := c.readAnswers()
	assert.Equal(t, len("decided"), whole[1], "bytes of the answer received")
	assert.Equal(t, "end", last)
	c.conn.Close()
	s.checkNoSessions(t)
	assert.Equal(t, int64(1), s.count.Endings[core.ClientBad].Load())
}

// TestHTTP2UnreadAnswers: answers for a client that reads nothing count, from the core on, among the bytes buffered for all
// clients, and are bounded for one connection.
func TestHTTP2UnreadAnswers(t *testing.T) {
	h := newHoldingBackends()
	s := startWithLongReply(t, h, time.Hour)
	c, a, l := s.pauseWriter(t, h.attempts)
	a.Ended(core.Served, "", nil)
	s.waitOpenReqs(t, 0)
	const reqs, size = 20, 100 << 10
	var out []*core.Attempt
	for i := range uint32(reqs) {
		c.appendPost(5 + 2*i)
	}
	c.flush()
	for range reqs {
		out = append(out, receive(t, "an attempt", h.attempts))
	}
	s.waitOpenReqs(t, reqs)
	for _, a := range out {
		a.Ended(core.Served, strings.Repeat("r", size), nil)
	}
	s.waitOpenReqs(t, 0)
	fit := s.clients.MaxBufferedBytes / 4 / size
	eventually(t, "the answers are reserved", func() bool { return s.clients.bufferedBytes.Load() == 1<<20+fit*size })
	close(l.resume)
	whole, reset := map[uint32]bool{}, 0
	for len(whole)+reset < reqs+2 {
		switch word, f := c.nextFrame(); f := f.(type) {
		case *http2.DataFrame:
			if f.StreamEnded() {
				whole[f.StreamID] = true
			}
		case *http2.HeadersFrame:
			if f.StreamEnded() {
				whole[f.StreamID] = true
			}
		case *http2.RSTStreamFrame:
			assert.Equal(t, http2.ErrCodeEnhanceYourCalm, f.ErrCode)
			reset++
		case nil:
			t.Fatal(word)
		}
	}
	assert.GreaterOrEqual(t, reset, reqs-int(fit))
	assert.Equal(t, int64(reset), s.count.HTTP2Abuse[ours.UnreadOutput].Load())
	c.conn.Close()
	s.checkNoSessions(t)
}

// TestHTTP2CloseWithUnreadAnswers: nothing stays reserved for a client that closed while its answers waited.
func TestHTTP2CloseWithUnreadAnswers(t *testing.T) {
	h := newHoldingBackends()
	s := startWithLongReply(t, h, time.Hour)
	c, a, l := s.pauseWriter(t, h.attempts)
	a.Ended(core.Served, strings.Repeat("r", 100<<10), nil)
	eventually(t, "the answer is reserved", func() bool { return s.clients.bufferedBytes.Load() == 1<<20+100<<10 })
	c.conn.Close()
	s.checkNoSessions(t) // the writer still waits
	close(l.resume)
}

// TestHTTP2StalledWrite: a connection whose client takes no byte is ended and counted as the client's fault, not as one that
// the client closed.
func TestHTTP2StalledWrite(t *testing.T) {
	h := newHoldingBackends()
	s := startWithLongReply(t, h, 50*time.Millisecond)
	c := connectHTTP2(t, s.listenHTTP2(t, smallWriteBuffer), 64<<10)
	c.appendPost(1)
	c.flush()
	receive(t, "an attempt", h.attempts)
	c.appendGet(3, "/counters")
	c.flush()
	s.waitAbandoned(t)
	s.checkNoSessions(t)
	assert.Equal(t, int64(1), s.count.Endings[core.ClientBad].Load())
	assert.Zero(t, s.count.Endings[core.ClientClosed].Load())
	assert.Equal(t, int64(1), s.count.HTTP2Abuse[ours.StalledAnswer].Load())
}

// TestHTTP2StalledClientDoesNotBlockOthers: while one client reads nothing, another is served.
func TestHTTP2StalledClientDoesNotBlockOthers(t *testing.T) {
	h := newHoldingBackends()
	s := startWithLongReply(t, h, time.Hour)
	s.blockWriter(t, h.attempts)
	c := connectHTTP2(t, s.addresses[1], 0)
	for i := range uint32(50) {
		c.appendPost(1 + 2*i)
		c.flush()
		receive(t, "an attempt", h.attempts).Ended(core.Served, "r", nil)
		for word := ""; word != "data "+fmt.Sprint(1+2*i); word, _ = c.nextFrame() {
			assert.NotContains(t, []string{"end", "reset"}, word)
		}
	}
}

// TestHTTP2RejectedUnread: a client that there is no descriptor for reads the reason, although what it sent is not handled.
func TestHTTP2RejectedUnread(t *testing.T) {
	s := startWithLongDeadlines(t, newHoldingBackends(), func(c *Clients) { c.MaxSessions = 1 })
	for range s.clients.MaxSessions + maxExcessSessions { // sessions with a pending answer
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		busy := &sessionState{conn: near}
		s.clients.table.add(busy, s.clients.MaxSessions+maxExcessSessions, nil)
		s.clients.table.reqReceived(busy)
	}
	sent := make(chan struct{})
	c := dialHTTP2(t, s.listenHTTP2(t, func(conn *net.TCPConn) net.Conn {
		<-sent
		return conn
	}), 0)
	c.appendPreface()
	c.appendPost(1)
	c.flush()
	close(sent)
	c.readUntil("goaway 0 ENHANCE_YOUR_CALM")
	word, _ := c.nextFrame()
	assert.Equal(t, "end", word)
	c.conn.Close()
	eventually(t, "the rejected client is gone", func() bool { return s.clients.rejectedLingering.Load() == 0 })
	assert.Equal(t, int64(1), s.count.Endings[core.SessionShed].Load())
	assert.Equal(t, s.clients.MaxSessions+maxExcessSessions, s.clients.OpenSessions())
	assert.Zero(t, s.count.ReqsTaken.Load())
}
