package http2

import (
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// enqueue schedules a stream's answer to be framed in turn.
func (c *Conn) enqueue(s *Stream) {
	s.answerPending = true
	c.scheduleExpiry(c.cfg.StallTimeout)
	if !s.queued {
		s.queued = true
		c.sendQueue = append(c.sendQueue, s)
	}
}

// unblock puts a stream back into the queue after its window has opened.
func (c *Conn) unblock(s *Stream) {
	if s.answerPending && !s.queued && s.sendWindow > 0 {
		c.enqueue(s)
	}
}

// HasOutput reports whether TakeOutput has something to return.
func (c *Conn) HasOutput() bool {
	c.frameAnswers()
	return len(c.output) > 0
}

// TakeOutput returns the bytes to be written, and keeps spare as the buffer for the next output.
func (c *Conn) TakeOutput(spare []byte) []byte {
	c.frameAnswers()
	b := c.output
	c.output = spare[:0]
	return b
}

// frameAnswers frames answers, one frame of each stream in turn, until there is enough output or
// the windows are closed. Answers that wait stay unframed, so that no second copy of them is held.
func (c *Conn) frameAnswers() {
	for turns := len(c.sendQueue); turns > 0 && len(c.output) < outputTarget && len(c.sendQueue) > 0; turns-- {
		s := c.sendQueue[0]
		c.sendQueue[0] = nil
		if c.sendQueue = c.sendQueue[1:]; len(c.sendQueue) == 0 {
			c.sendQueue = nil
		}
		s.queued = false
		if s.closed || c.streams[s.ID] != s {
			continue
		}
		if !s.headersFramed {
			c.writeHeaders(s)
			if s.unsent == "" {
				c.finishAnswer(s)
				continue
			}
		}
		n := min(int64(len(s.unsent)), c.sendWindow, s.sendWindow, int64(c.maxSendFrame))
		if n > 0 {
			c.writeData(s, int(n))
			turns = max(turns, 1+len(c.sendQueue)) // progress was made: the others may get another turn
		}
		switch {
		case s.unsent == "":
			c.finishAnswer(s)
		case s.sendWindow <= 0: // waits for WINDOW_UPDATE
		default:
			s.queued = true
			c.sendQueue = append(c.sendQueue, s)
		}
	}
}

func (c *Conn) writeHeaders(s *Stream) {
	s.headersFramed = true
	c.encoded.Reset()
	_ = c.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: s.status})
	if s.retryAfter != "" {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: "retry-after", Value: s.retryAfter})
	}
	_ = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.ID, BlockFragment: c.encoded.Bytes(), EndHeaders: true, EndStream: s.unsent == ""})
	c.lastProgress, s.lastProgress = c.now, c.now
}

// writeContinue sends 100 Continue to a client that waits for it before it sends its body (RFC 9110
// section 10.1.1).
func (c *Conn) writeContinue(s *Stream) {
	c.encoded.Reset()
	_ = c.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: "100"})
	_ = c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.ID, BlockFragment: c.encoded.Bytes(), EndHeaders: true})
}

func (c *Conn) writeData(s *Stream, n int) {
	c.encoded.Reset()
	c.encoded.WriteString(s.unsent[:n])
	s.unsent = s.unsent[n:]
	_ = c.framer.WriteData(s.ID, s.unsent == "", c.encoded.Bytes())
	c.sendWindow -= int64(n)
	s.sendWindow -= int64(n)
	c.lastProgress, s.lastProgress = c.now, c.now
	c.limits.credit(n >> 7) // by bytes, not frames: a window opened byte by byte is abuse (CVE-2019-9511)
}

// finishAnswer closes a stream whose answer is completely framed. If the client is still sending, a
// reset with NO_ERROR tells it to stop, which does not cancel the answer.
func (c *Conn) finishAnswer(s *Stream) {
	s.answerPending = false
	c.limits.credit(4)
	if !s.remoteClosed {
		_ = c.framer.WriteRSTStream(s.ID, NoError)
		c.rememberReset(s.ID)
	}
	s.closed = true
	c.closeStream(s)
}

// UnreadAnswers returns how many bytes of longer answers wait for the client to read, and since when nothing was sent to it: at the
// earliest since the first of them came.
func (c *Conn) UnreadAnswers() (bytes int, since time.Time) {
	for _, s := range c.streams {
		if s.reservedAnswer > 0 && (since.IsZero() || s.lastProgress.Before(since)) {
			since = s.lastProgress
		}
	}
	if c.queuedBytes > 0 && c.lastProgress.After(since) {
		since = c.lastProgress
	}
	return c.queuedBytes, since
}

// DropUnreadAnswers resets the streams whose longer answers wait for the client to read.
func (c *Conn) DropUnreadAnswers() {
	for _, s := range c.streams {
		if s.reservedAnswer > 0 && !c.ended {
			c.reportAbuse(UnreadOutput)
			s.answerPending = false
			c.resetStream(s, EnhanceYourCalm)
		}
	}
}
