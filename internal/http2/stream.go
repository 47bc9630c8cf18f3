package http2

import (
	"strconv"
	"time"

	"golang.org/x/net/http2"
)

// Stream is one of a client's, from its head on. Fields in capitals are the driver's to read;
// Data is the driver's own.
type Stream struct {
	ID   uint32
	Head Head
	Body []byte // whole from the Whole event on, and the driver's to keep
	Data any

	// Discard has the body counted and not kept; a driver that knows at Opened what it will
	// answer sets it then. A body that ends too soon is still the client's fault.
	Discard bool

	bodyReceived   int   // bytes of its body
	sendWindow     int64 // the client's, for our DATA
	recvWindow     int64 // ours, for the client's
	reservedBody   int   // bytes that Admit allowed for it
	reservedHead   int   // ... of which for its head
	openedAt       time.Time
	lastProgress   time.Time // of the last piece of its body, or of its answer that moved
	opened         bool      // told as Opened
	remoteClosed   bool      // the client has sent all
	answered       bool      // Answer was called
	closed         bool      // reset; only its place is still taken
	answerPending  bool      // in the queue or for its window
	queued         bool
	headersFramed  bool // the answer's HEADERS are framed
	status         string
	retryAfter     string
	unsent         string // of the answer's body, not yet framed
	reservedAnswer int    // bytes that Admit allowed for it
	nextFree       *Stream
}

// open makes a stream for a head that has begun.
func (c *Conn) open(id uint32) *Stream {
	s := c.freeStreams
	if s == nil {
		s = &Stream{}
	} else {
		c.freeStreams = s.nextFree
		*s = Stream{}
	}
	s.ID, s.sendWindow, s.recvWindow, s.openedAt, s.lastProgress = id, c.initialSendWindow, int64(c.initialRecvWindow()), c.now, c.now
	c.streams[id] = s
	c.openStreams++
	c.scheduleExpiry(min(c.cfg.BodyIdleTimeout, c.cfg.BodyTimeout))
	return s
}

// releaseBody gives back what is held for a stream's body.
func (c *Conn) releaseBody(s *Stream) {
	if s.reservedBody > 0 {
		c.cfg.Release(s.reservedBody)
		s.reservedBody = 0
	}
	s.Body = nil
}

// removeStream drops a stream that nothing is to be heard of any more.
func (c *Conn) removeStream(s *Stream) {
	c.releaseBody(s)
	delete(c.streams, s.ID)
	if s.unsent = ""; s.reservedAnswer > 0 {
		c.queuedBytes -= s.reservedAnswer
		c.cfg.Release(s.reservedAnswer)
		s.reservedAnswer = 0
	}
	if !s.queued { // its event may still be waiting; no stream is opened before that is taken
		s.nextFree, c.freeStreams = c.freeStreams, s
	}
}

// closeStream closes a stream that has had its answer or its reset.
func (c *Conn) closeStream(s *Stream) {
	c.openStreams--
	c.removeStream(s)
	c.endIfDrained()
}

// ReleaseStream tells that the work for a stream that was told as Gone is over: its place is free.
func (c *Conn) ReleaseStream(id uint32) {
	if s := c.streams[id]; s != nil && s.closed {
		c.removeStream(s)
	}
}

// resetStream ends a stream by a reset of ours. Frames for it that have crossed it are ignored.
func (c *Conn) resetStream(s *Stream, code Code) {
	_ = c.framer.WriteRSTStream(s.ID, code)
	c.rememberReset(s.ID)
	if s.opened && s.remoteClosed && !s.answered { // its work goes on, and holds its place
		c.detachStream(s)
		return
	}
	if s.opened && !s.remoteClosed && !s.answered {
		c.event(Event{Kind: Aborted, Stream: s})
	}
	s.closed = true
	c.closeStream(s)
}

// detachStream leaves of a stream nothing but its place: the driver still has to Free it.
func (c *Conn) detachStream(s *Stream) {
	s.closed, s.answerPending = true, false
	c.releaseBody(s)
	c.openStreams--
	c.event(Event{Kind: ClientReset, Stream: s})
	c.endIfDrained()
}

func (c *Conn) rememberReset(id uint32) {
	c.recentResets[c.resetCount%rememberedResets] = id
	c.resetCount++
}

// recentlyReset says whether a frame for a stream that is over may have recentlyReset our reset of it.
func (c *Conn) recentlyReset(id uint32) bool {
	for _, r := range c.recentResets[:min(c.resetCount, rememberedResets)] {
		if r == id {
			return true
		}
	}
	return false
}

// streamError resets a stream for a fault of the client's. Each is counted: a client can have
// us reset as cheaply as it can reset (CVE-2025-8671).
func (c *Conn) streamError(id uint32, code Code) {
	if c.chargeReset(RapidReset) {
		return
	}
	if s := c.streams[id]; s != nil && !s.closed {
		c.resetStream(s, code)
		return
	}
	_ = c.framer.WriteRSTStream(id, code)
	c.rememberReset(id)
}

// Reset ends a stream by a reset of the driver's.
func (c *Conn) Reset(id uint32, code Code) {
	s := c.streams[id]
	if c.ended || s == nil || s.closed || s.answered {
		return
	}
	s.answered = true // nothing is owed any more, and nothing to be told
	c.resetStream(s, code)
}

// handleReset takes in a reset of the client's.
func (c *Conn) handleReset(f *http2.RSTStreamFrame) {
	if c.isIdle(f.StreamID) {
		c.fail(http2.ErrCodeProtocol, "RST_STREAM for a stream that is idle")
		return
	}
	if c.chargeReset(RapidReset) {
		return
	}
	s := c.streams[f.StreamID]
	if s == nil || s.closed {
		return
	}
	if s.opened && !s.answered {
		if s.remoteClosed {
			c.detachStream(s)
			return
		}
		c.event(Event{Kind: ClientReset, Stream: s})
	}
	s.closed = true
	c.closeStream(s)
}

// handleData takes in a piece of a body. What is not kept is given back to the connection's window at
// once, and so is what is: bodies are bounded by Admit, not by the window.
func (c *Conn) handleData(f *http2.DataFrame) {
	n := int64(f.Length) // padding counts (RFC 9113 section 6.9)
	if c.recvWindow -= n; c.recvWindow < 0 {
		c.reportAbuse(Overflow)
		c.fail(http2.ErrCodeFlowControl, "more than the window allows")
		return
	}
	if c.recvUncredited += n; c.recvUncredited*2 >= int64(c.cfg.ConnectionWindow) {
		_ = c.framer.WriteWindowUpdate(0, uint32(c.recvUncredited))
		c.recvWindow += c.recvUncredited
		c.recvUncredited = 0
	}
	s := c.streams[f.StreamID]
	switch {
	case c.isIdle(f.StreamID):
		c.fail(http2.ErrCodeProtocol, "DATA for a stream that is idle")
		return
	case s != nil && s.answered && !s.remoteClosed: // its answer came first, and its reset will
		s.remoteClosed = f.StreamEnded()
		c.countUnproductive(ClosedStream, int(n))
		return
	case s == nil && c.recentlyReset(f.StreamID), s != nil && s.closed && !s.remoteClosed, c.openedAfterDrain(f.StreamID):
		c.countUnproductive(ClosedStream, int(n))
		return
	case s == nil || s.closed || s.remoteClosed:
		c.streamError(f.StreamID, http2.ErrCodeStreamClosed)
		return
	}
	if s.recvWindow -= n; s.recvWindow < 0 {
		c.reportAbuse(Overflow)
		c.streamError(s.ID, http2.ErrCodeFlowControl)
		return
	}
	piece := f.Data()
	if len(piece) == 0 && !f.StreamEnded() {
		c.countUnproductive(EmptyData, int(n)) // CVE-2019-9518
	}
	if pad := n - int64(len(piece)); pad > 0 && !f.StreamEnded() {
		s.recvWindow += pad
		_ = c.framer.WriteWindowUpdate(s.ID, uint32(pad))
		c.countUnproductive(EmptyData, int(pad))
	}
	if !c.appendBody(s, piece) {
		return
	}
	s.lastProgress = c.now
	if f.StreamEnded() {
		c.completeBody(s)
	}
}

// appendBody adds a piece to a stream's body, within the bounds.
func (c *Conn) appendBody(s *Stream, piece []byte) bool {
	s.bodyReceived += len(piece)
	all := s.bodyReceived
	if s.Head.Length >= 0 && int64(all) > s.Head.Length {
		c.streamError(s.ID, http2.ErrCodeProtocol) // RFC 9113 section 8.1.1
		return false
	}
	if all > c.cfg.MaxBodyBytes {
		c.reject(s, "413")
		return false
	}
	if s.Discard {
		return true
	}
	if all > cap(s.Body) {
		size := max(all, min(2*all, c.cfg.MaxBodyBytes))
		if s.Head.Length >= 0 {
			size = int(s.Head.Length)
		}
		if !c.reserve(s, size+s.reservedHead) {
			return false
		}
		s.Body = append(make([]byte, 0, size), s.Body...)
	}
	s.Body = append(s.Body, piece...)
	return true
}

// reserve takes the room for a body of a size; where there is none, the stream is refused, and
// the client may send it again.
func (c *Conn) reserve(s *Stream, size int) bool {
	more := size - s.reservedBody
	if more <= 0 {
		return true
	}
	if !c.cfg.Admit(more) {
		c.reportAbuse(NoCapacity)
		if !c.chargeReset(NoCapacity) {
			c.resetStream(s, RefusedStream)
		}
		return false
	}
	s.reservedBody = size
	return true
}

func (c *Conn) completeBody(s *Stream) {
	if s.Head.Length >= 0 && int64(s.bodyReceived) != s.Head.Length {
		c.streamError(s.ID, http2.ErrCodeProtocol)
		return
	}
	s.remoteClosed = true
	if !s.answered {
		c.event(Event{Kind: BodyComplete, Stream: s})
	}
}

// reject answers a stream that is not to be read to its end: an answer without a body, then a
// reset that does not void it (RFC 9113 section 8.1).
func (c *Conn) reject(s *Stream, status string) {
	if s.opened && !s.answered && !s.remoteClosed {
		c.event(Event{Kind: Aborted, Stream: s})
	}
	if s.answered { // its own answer is on its way; the rest of its body is not wanted
		return
	}
	if c.chargeReset(RejectedRequest) {
		return
	}
	s.answered, s.status = true, status
	c.enqueue(s)
}

// Answer gives a stream its final answer. A pause above zero goes into Retry-After, in seconds.
// It says whether the stream was still there to be answered; body must not change after.
func (c *Conn) Answer(id uint32, status int, pause time.Duration, body string, now time.Time) bool {
	c.now = now
	s := c.streams[id]
	if c.ended || s == nil || s.closed || s.answered {
		return false
	}
	s.answered, s.status, s.Data = true, statusText(status), nil // a stream is used again, and must not keep a body until then
	if pause > 0 {
		s.retryAfter = strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)
	}
	s.lastProgress = now
	if s.remoteClosed {
		c.releaseBody(s)
	}
	if s.Head.Method == "HEAD" {
		body = ""
	}
	// What the client does not take is not gathered up for it without end.
	if len(body) > smallAnswer {
		if c.queuedBytes+len(body) > c.cfg.MaxQueuedBytes || !c.cfg.Admit(len(body)) {
			c.reportAbuse(UnreadOutput)
			c.resetStream(s, EnhanceYourCalm)
			return true
		}
		s.reservedAnswer = len(body)
		c.queuedBytes += s.reservedAnswer
	}
	s.unsent = body
	c.enqueue(s)
	return true
}

func statusText(status int) string {
	switch status { // the usual ones cost nothing
	case 200:
		return "200"
	case 502:
		return "502"
	case 503:
		return "503"
	}
	return strconv.Itoa(status)
}
