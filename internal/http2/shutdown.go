package http2

import (
	"encoding/binary"
	"time"
)

// Drain begins a shutdown without loss (RFC 9113 section 6.8): a first GOAWAY leaves open which
// stream is the last; once the client has shown that it read it, or DrainWait is over, a
// second one names the last that was opened, and later ones are not taken.
func (c *Conn) Drain(now time.Time) {
	c.now = now
	if c.drain != notDraining || c.ended {
		return
	}
	if !c.prefaceReceived {
		c.ended = true
		c.event(Event{Kind: Ended, Code: NoError})
		return
	}
	c.drain, c.drainDeadline = drainAnnounced, now.Add(c.cfg.DrainTimeout)
	c.scheduleExpiry(c.cfg.DrainTimeout)
	_ = c.framer.WriteGoAway(maxStreamID, NoError, nil)
	var mark [8]byte
	binary.BigEndian.PutUint32(mark[:], drainPingMark)
	_ = c.framer.WritePing(false, mark)
}

// StopNewStreams ends the wait that Drain began, or drains at once: what has been opened is served,
// and nothing later is taken.
func (c *Conn) StopNewStreams(now time.Time) {
	c.now = now
	if c.drain == draining || c.ended {
		return
	}
	if !c.prefaceReceived {
		c.Drain(now)
		return
	}
	c.sendFinalGoAway()
}

func (c *Conn) sendFinalGoAway() {
	c.drain = draining
	_ = c.framer.WriteGoAway(c.lastID, NoError, nil)
	c.endIfDrained()
}

// endIfDrained ends a connection that drains and has no stream left.
func (c *Conn) endIfDrained() {
	if c.drain == draining && c.openStreams == 0 && !c.ended {
		c.ended = true
		c.event(Event{Kind: Ended, Code: NoError})
	}
}

// fail ends the connection for a fault of the client's (RFC 9113 section 5.4.1).
func (c *Conn) fail(code Code, reason string) {
	if c.ended {
		return
	}
	c.ended = true
	_ = c.framer.WriteGoAway(c.lastID, code, []byte(reason))
	c.event(Event{Kind: Ended, Code: code, Reason: reason})
}

// Terminate ends the connection from the driver's side, with a reason for the client.
func (c *Conn) Terminate(code Code, reason string) {
	if !c.prefaceReceived && !c.ended {
		c.sendSettings()
	}
	c.fail(code, reason)
}

// Unanswered returns the streams that were Opened and not answered nor told as Gone. Once the connection is
// over, none of them can have an answer any more.
func (c *Conn) Unanswered() (lost []*Stream) {
	for _, s := range c.streams {
		if s.opened && !s.closed && !s.answered {
			lost = append(lost, s)
		}
	}
	return lost
}

// Close lets go of all that is held for streams, when the connection is gone. It returns the
// streams that were Opened, not answered in full and not told as Gone.
func (c *Conn) Close() (left []*Stream) {
	c.ended = true
	for _, s := range c.streams {
		c.releaseBody(s)
		if s.reservedAnswer > 0 {
			c.cfg.Release(s.reservedAnswer)
			s.reservedAnswer = 0
		}
		if s.opened && !s.closed {
			left = append(left, s)
		}
	}
	c.sendQueue, c.openStreams = nil, 0
	clear(c.streams)
	return left
}

// scheduleExpiry sees to it that Expire looks at what has begun now, once it may be due.
func (c *Conn) scheduleExpiry(in time.Duration) {
	c.nextDeadline = earlier(c.nextDeadline, c.now.Add(in))
}

// NextDeadline is when Expire may next have something to do; zero is never.
func (c *Conn) NextDeadline() time.Time { return c.nextDeadline }

// Expire does what is due at a time, and returns Due. It looks at the streams only when one of
// them may be due, however often it is called.
func (c *Conn) Expire(now time.Time) time.Time {
	c.now = now
	if c.ended || c.nextDeadline.IsZero() || now.Before(c.nextDeadline) {
		return c.nextDeadline
	}
	c.nextDeadline = time.Time{}
	if c.drain == drainAnnounced {
		if !now.Before(c.drainDeadline) {
			c.sendFinalGoAway()
		} else {
			c.nextDeadline = c.drainDeadline
		}
	}
	stalled := 0
	for _, s := range c.streams {
		var due time.Time
		switch {
		case s.closed:
			continue
		case !s.remoteClosed && !s.answered:
			due = earlier(s.lastProgress.Add(c.cfg.BodyIdleTimeout), s.openedAt.Add(c.cfg.BodyTimeout))
			if !now.Before(due) {
				c.reportAbuse(UnfinishedBody)
				c.reject(s, "408")
				continue
			}
		case s.answerPending:
			due = s.lastProgress.Add(c.cfg.StallTimeout)
			if !now.Before(due) {
				stalled++
				c.reportAbuse(StalledAnswer)
				c.resetStream(s, Cancel)
				continue
			}
		default:
			continue
		}
		c.nextDeadline = earlier(c.nextDeadline, due)
	}
	// Where not one byte of any answer moved for as long, the client has stopped reading.
	if stalled > 0 && now.Sub(c.lastProgress) >= c.cfg.StallTimeout {
		c.fail(EnhanceYourCalm, "the window stays shut")
	}
	return c.nextDeadline
}

// earlier is the earlier of two times of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
