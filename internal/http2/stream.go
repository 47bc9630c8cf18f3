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

	got      int   // bytes of its body
	window   int64 // the client's, for our DATA
	room     int64 // ours, for the client's
	held     int   // bytes that Admit allowed for it
	extra    int   // ... of which for its head
	opensAt  time.Time
	since    time.Time // of the last piece of its body, or of its answer that moved
	opened   bool      // told as Opened
	ended    bool      // the client has sent all
	answered bool      // Answer was called
	gone     bool      // reset; only its place is still taken
	waiting  bool      // in the queue or for its window
	queued   bool
	headed   bool // the answer's HEADERS are framed
	status   string
	pause    string
	out      string // of the answer's body, not yet framed
	kept     int    // bytes that Admit allowed for it
	next     *Stream
}

// open makes a stream for a head that has begun.
func (c *Conn) open(id uint32) *Stream {
	s := c.free
	if s == nil {
		s = &Stream{}
	} else {
		c.free = s.next
		*s = Stream{}
	}
	s.ID, s.window, s.room, s.opensAt, s.since = id, c.initial, int64(c.streamRoom()), c.now, c.now
	c.streams[id] = s
	c.live++
	c.arm(min(c.cfg.BodyIdleTimeout, c.cfg.BodyTimeout))
	return s
}

// letGo gives back what is held for a stream's body.
func (c *Conn) letGo(s *Stream) {
	if s.held > 0 {
		c.cfg.Release(s.held)
		s.held = 0
	}
	s.Body = nil
}

// forget drops a stream that nothing is to be heard of any more.
func (c *Conn) forget(s *Stream) {
	c.letGo(s)
	delete(c.streams, s.ID)
	if s.out = ""; s.kept > 0 {
		c.waiting -= s.kept
		c.cfg.Release(s.kept)
		s.kept = 0
	}
	if !s.queued { // its event may still be waiting; no stream is opened before that is taken
		s.next, c.free = c.free, s
	}
}

// end closes a stream that has had its answer or its reset.
func (c *Conn) end(s *Stream) {
	c.live--
	c.forget(s)
	c.finish()
}

// ReleaseStream tells that the work for a stream that was told as Gone is over: its place is free.
func (c *Conn) ReleaseStream(id uint32) {
	if s := c.streams[id]; s != nil && s.gone {
		c.forget(s)
	}
}

// resetStream ends a stream by a reset of ours. Frames for it that have crossed it are ignored.
func (c *Conn) resetStream(s *Stream, code Code) {
	_ = c.fr.WriteRSTStream(s.ID, code)
	c.remember(s.ID)
	if s.opened && s.ended && !s.answered { // its work goes on, and holds its place
		c.vanish(s)
		return
	}
	if s.opened && !s.ended && !s.answered {
		c.event(Event{Kind: Aborted, Stream: s})
	}
	s.gone = true
	c.end(s)
}

// vanish leaves of a stream nothing but its place: the driver still has to Free it.
func (c *Conn) vanish(s *Stream) {
	s.gone, s.waiting = true, false
	c.letGo(s)
	c.live--
	c.event(Event{Kind: ClientReset, Stream: s})
	c.finish()
}

func (c *Conn) remember(id uint32) {
	c.reset[c.resets%resetsKept] = id
	c.resets++
}

// crossed says whether a frame for a stream that is over may have crossed our reset of it.
func (c *Conn) crossed(id uint32) bool {
	for _, r := range c.reset[:min(c.resets, resetsKept)] {
		if r == id {
			return true
		}
	}
	return false
}

// streamError resets a stream for a fault of the client's. Each is counted: a client can have
// us reset as cheaply as it can reset (CVE-2025-8671).
func (c *Conn) streamError(id uint32, code Code) {
	if c.blame(RapidReset) {
		return
	}
	if s := c.streams[id]; s != nil && !s.gone {
		c.resetStream(s, code)
		return
	}
	_ = c.fr.WriteRSTStream(id, code)
	c.remember(id)
}

// Reset ends a stream by a reset of the driver's.
func (c *Conn) Reset(id uint32, code Code) {
	s := c.streams[id]
	if c.over || s == nil || s.gone || s.answered {
		return
	}
	s.answered = true // nothing is owed any more, and nothing to be told
	c.resetStream(s, code)
}

// rst takes in a reset of the client's.
func (c *Conn) rst(f *http2.RSTStreamFrame) {
	if c.idle(f.StreamID) {
		c.fail(http2.ErrCodeProtocol, "RST_STREAM for a stream that is idle")
		return
	}
	if c.blame(RapidReset) {
		return
	}
	s := c.streams[f.StreamID]
	if s == nil || s.gone {
		return
	}
	if s.opened && !s.answered {
		if s.ended {
			c.vanish(s)
			return
		}
		c.event(Event{Kind: ClientReset, Stream: s})
	}
	s.gone = true
	c.end(s)
}

// data takes in a piece of a body. What is not kept is given back to the connection's window at
// once, and so is what is: bodies are bounded by Admit, not by the window.
func (c *Conn) data(f *http2.DataFrame) {
	n := int64(f.Length) // padding counts (RFC 9113 section 6.9)
	if c.room -= n; c.room < 0 {
		c.count(Overflow)
		c.fail(http2.ErrCodeFlowControl, "more than the window allows")
		return
	}
	if c.owed += n; c.owed*2 >= int64(c.cfg.ConnectionWindow) {
		_ = c.fr.WriteWindowUpdate(0, uint32(c.owed))
		c.room += c.owed
		c.owed = 0
	}
	s := c.streams[f.StreamID]
	switch {
	case c.idle(f.StreamID):
		c.fail(http2.ErrCodeProtocol, "DATA for a stream that is idle")
		return
	case s != nil && s.answered && !s.ended: // its answer came first, and its reset will
		s.ended = f.StreamEnded()
		c.useless(ClosedStream, int(n))
		return
	case s == nil && c.crossed(f.StreamID), s != nil && s.gone && !s.ended, c.later(f.StreamID):
		c.useless(ClosedStream, int(n))
		return
	case s == nil || s.gone || s.ended:
		c.streamError(f.StreamID, http2.ErrCodeStreamClosed)
		return
	}
	if s.room -= n; s.room < 0 {
		c.count(Overflow)
		c.streamError(s.ID, http2.ErrCodeFlowControl)
		return
	}
	piece := f.Data()
	if len(piece) == 0 && !f.StreamEnded() {
		c.useless(EmptyData, int(n)) // CVE-2019-9518
	}
	if pad := n - int64(len(piece)); pad > 0 && !f.StreamEnded() {
		s.room += pad
		_ = c.fr.WriteWindowUpdate(s.ID, uint32(pad))
		c.useless(EmptyData, int(pad))
	}
	if !c.keep(s, piece) {
		return
	}
	s.since = c.now
	if f.StreamEnded() {
		c.whole(s)
	}
}

// keep adds a piece to a stream's body, within the bounds.
func (c *Conn) keep(s *Stream, piece []byte) bool {
	s.got += len(piece)
	all := s.got
	if s.Head.Length >= 0 && int64(all) > s.Head.Length {
		c.streamError(s.ID, http2.ErrCodeProtocol) // RFC 9113 section 8.1.1
		return false
	}
	if all > c.cfg.MaxBodyBytes {
		c.turnAway(s, "413")
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
		if !c.hold(s, size+s.extra) {
			return false
		}
		s.Body = append(make([]byte, 0, size), s.Body...)
	}
	s.Body = append(s.Body, piece...)
	return true
}

// hold takes the room for a body of a size; where there is none, the stream is refused, and
// the client may send it again.
func (c *Conn) hold(s *Stream, size int) bool {
	more := size - s.held
	if more <= 0 {
		return true
	}
	if !c.cfg.Admit(more) {
		c.count(NoCapacity)
		if !c.blame(NoCapacity) {
			c.resetStream(s, RefusedStream)
		}
		return false
	}
	s.held = size
	return true
}

func (c *Conn) whole(s *Stream) {
	if s.Head.Length >= 0 && int64(s.got) != s.Head.Length {
		c.streamError(s.ID, http2.ErrCodeProtocol)
		return
	}
	s.ended = true
	if !s.answered {
		c.event(Event{Kind: BodyComplete, Stream: s})
	}
}

// turnAway answers a stream that is not to be read to its end: an answer without a body, then a
// reset that does not void it (RFC 9113 section 8.1).
func (c *Conn) turnAway(s *Stream, status string) {
	if s.opened && !s.answered && !s.ended {
		c.event(Event{Kind: Aborted, Stream: s})
	}
	if s.answered { // its own answer is on its way; the rest of its body is not wanted
		return
	}
	if c.blame(RejectedRequest) {
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
	if c.over || s == nil || s.gone || s.answered {
		return false
	}
	s.answered, s.status, s.Data = true, statusText(status), nil // a stream is used again, and must not keep a body until then
	if pause > 0 {
		s.pause = strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)
	}
	s.since = now
	if s.ended {
		c.letGo(s)
	}
	if s.Head.Method == "HEAD" {
		body = ""
	}
	// What the client does not take is not gathered up for it without end.
	if len(body) > smallAnswer {
		if c.waiting+len(body) > c.cfg.MaxQueuedBytes || !c.cfg.Admit(len(body)) {
			c.count(UnreadOutput)
			c.resetStream(s, EnhanceYourCalm)
			return true
		}
		s.kept = len(body)
		c.waiting += s.kept
	}
	s.out = body
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
