package http2

import (
	"strconv"
	"time"

	"golang.org/x/net/http2"
)

// Stream is one stream of a client, from its head on. The driver may read the exported fields; Data
// is for its own use.
type Stream struct {
	ID   uint32
	Head Head
	Body []byte // complete from the BodyComplete event on; the driver may keep it
	Data any

	// If Discard is set, the body's bytes are counted but not stored. A driver that already knows its answer at
	// Opened sets it then. A body that ends too early is still the client's fault.
	Discard bool

	bodyReceived   int   // bytes of the body
	sendWindow     int64 // the client's window for our DATA
	recvWindow     int64 // our window for the client's DATA
	reservedBody   int   // bytes granted by Admit for the head and the body
	reservedHead   int   // the part of them for the head
	openedAt       time.Time
	lastProgress   time.Time // of the last piece of the body, or of the answer
	opened         bool      // the Opened event was created
	remoteClosed   bool      // the client has sent END_STREAM
	answered       bool      // an answer or reset was decided
	closed         bool      // reset or finished; it may still count against MaxStreams
	answerPending  bool      // in the queue or waiting for its window
	queued         bool
	headersFramed  bool // the HEADERS of the answer are framed
	status         string
	retryAfter     string
	unsent         string // rest of the answer's body
	reservedAnswer int    // bytes granted by AdmitAnswer for the answer
	nextFree       *Stream
}

// open creates the stream of a head that has begun to arrive.
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

// releaseBody releases what is held for a stream's head and body.
func (c *Conn) releaseBody(s *Stream) {
	if s.reservedBody > 0 {
		c.cfg.Release(s.reservedBody)
		s.reservedBody = 0
	}
	s.Body = nil
}

// removeStream removes a stream about which no further event follows.
func (c *Conn) removeStream(s *Stream) {
	c.releaseBody(s)
	delete(c.streams, s.ID)
	if s.unsent = ""; s.reservedAnswer > 0 {
		c.queuedBytes -= s.reservedAnswer
		c.cfg.Release(s.reservedAnswer)
		s.reservedAnswer = 0
	}
	if !s.queued { // an event about it may still be pending; no stream is opened before that event is taken
		s.nextFree, c.freeStreams = c.freeStreams, s
	}
}

// closeStream closes a stream that was answered or reset.
func (c *Conn) closeStream(s *Stream) {
	c.openStreams--
	c.removeStream(s)
	c.endIfDrained()
}

// ReleaseStream records that the work for a stream reported as StreamReset is over, so that it no
// longer counts against MaxStreams.
func (c *Conn) ReleaseStream(id uint32) {
	if s := c.streams[id]; s != nil && s.closed {
		c.removeStream(s)
	}
}

// resetStream sends a reset of a stream. Frames for the stream that the client sent before it read
// the reset are ignored.
func (c *Conn) resetStream(s *Stream, code Code) {
	_ = c.framer.WriteRSTStream(s.ID, code)
	c.rememberReset(s.ID)
	if s.opened && s.remoteClosed && !s.answered { // its work goes on, and counts against MaxStreams
		c.detachStream(s)
		return
	}
	if s.opened && !s.remoteClosed && !s.answered {
		c.event(Event{Kind: Aborted, Stream: s})
	}
	s.closed = true
	c.closeStream(s)
}

// detachStream closes a stream whose work still runs. It counts against MaxStreams until the driver
// calls ReleaseStream.
func (c *Conn) detachStream(s *Stream) {
	s.closed, s.answerPending = true, false
	c.releaseBody(s)
	c.openStreams--
	c.event(Event{Kind: StreamReset, Stream: s})
	c.endIfDrained()
}

func (c *Conn) rememberReset(id uint32) {
	c.recentResets[c.resetCount%rememberedResets] = id
	c.resetCount++
}

// recentlyReset reports whether we reset a stream recently, so that frames for it may have been
// sent before the client read the reset.
func (c *Conn) recentlyReset(id uint32) bool {
	for _, r := range c.recentResets[:min(c.resetCount, rememberedResets)] {
		if r == id {
			return true
		}
	}
	return false
}

// streamError resets a stream because of a fault of the client's. Each is counted: a client can
// provoke our resets as cheaply as it can send its own (CVE-2025-8671).
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

// Reset ends a stream with a reset on the driver's behalf.
func (c *Conn) Reset(id uint32, code Code) {
	s := c.streams[id]
	if c.ended || s == nil || s.closed || s.answered {
		return
	}
	s.answered = true // no answer and no event follow
	c.resetStream(s, code)
}

// handleReset handles a reset by the client.
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
		c.event(Event{Kind: StreamReset, Stream: s})
	}
	s.closed = true
	c.closeStream(s)
}

// handleData handles a piece of a body. Bytes are returned to the connection window at once,
// whether they are kept or not: bodies are limited by Admit, not by the window.
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
	case s != nil && s.answered && !s.remoteClosed: // answered before its body was complete; our reset follows the answer
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

// appendBody adds a piece to a stream's body, within the limits.
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

// reserve asks Admit for the memory of a body. If it is refused, the stream is refused, and the
// client may send the request again.
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

// completeBody handles the end of a stream's body.
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

// reject answers a stream before its body has arrived completely: an answer without a body, then a
// reset that does not cancel the answer (RFC 9113 section 8.1).
func (c *Conn) reject(s *Stream, status string) {
	if s.opened && !s.answered && !s.remoteClosed {
		c.event(Event{Kind: Aborted, Stream: s})
	}
	if s.answered { // its answer is being sent; the rest of its body is not needed
		return
	}
	if c.chargeReset(RejectedRequest) {
		return
	}
	s.answered, s.status = true, status
	c.enqueue(s)
}

// Answer gives a stream its final answer. A retryAfter above zero is sent in the Retry-After field,
// in seconds. It reports whether the stream could still be answered; body must not change
// afterwards.
func (c *Conn) Answer(id uint32, status int, retryAfter time.Duration, body string, now time.Time) bool {
	c.now = now
	s := c.streams[id]
	if c.ended || s == nil || s.closed || s.answered {
		return false
	}
	s.answered, s.status, s.Data = true, statusText(status), nil // streams are reused, and must not hold driver data until then
	if retryAfter > 0 {
		s.retryAfter = strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)
	}
	s.lastProgress = now
	if s.remoteClosed {
		c.releaseBody(s)
	}
	if s.Head.Method == "HEAD" {
		body = ""
	}
	// Limits the bytes of answers that the client does not read.
	if len(body) > smallAnswer {
		if c.queuedBytes+len(body) > c.cfg.MaxQueuedBytes || !c.cfg.AdmitAnswer(len(body)) {
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
	switch status { // the usual ones without an allocation
	case 200:
		return "200"
	case 502:
		return "502"
	case 503:
		return "503"
	}
	return strconv.Itoa(status)
}
