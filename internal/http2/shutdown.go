package http2

import (
	"encoding/binary"
	"time"
)

// Drain begins a graceful shutdown (RFC 9113 section 6.8). A first GOAWAY does not yet name the
// last stream. Once the client has shown that it read it, or after DrainTimeout, a second one names
// the last stream that was opened, and later streams are not accepted.
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

// StopNewStreams ends the wait that Drain began, or drains at once: streams that are open are
// served, and no later stream is accepted.
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

// endIfDrained ends a draining connection that has no open stream left.
func (c *Conn) endIfDrained() {
	if c.drain == draining && c.openStreams == 0 && !c.ended {
		c.ended = true
		c.event(Event{Kind: Ended, Code: NoError})
	}
}

// fail ends the connection because of a fault of the client's (RFC 9113 section 5.4.1).
func (c *Conn) fail(code Code, reason string) {
	if c.ended {
		return
	}
	c.ended = true
	_ = c.framer.WriteGoAway(c.lastID, code, []byte(reason))
	c.event(Event{Kind: Ended, Code: code, Reason: reason})
}

// Terminate ends the connection on the driver's behalf, with a reason for the client.
func (c *Conn) Terminate(code Code, reason string) {
	if !c.prefaceReceived && !c.ended {
		c.sendSettings()
	}
	c.fail(code, reason)
}

// Unanswered returns the streams that were Opened and neither answered nor reported as StreamReset.
// Once the connection has ended, none of them can be answered any more.
func (c *Conn) Unanswered() (lost []*Stream) {
	for _, s := range c.streams {
		if s.opened && !s.closed && !s.answered {
			lost = append(lost, s)
		}
	}
	return lost
}

// Close releases all that is held for streams, when the underlying connection is closed. It returns
// the streams that were Opened, not completely answered and not reported as StreamReset.
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

// scheduleExpiry makes sure that Expire examines the streams once the given time has passed.
func (c *Conn) scheduleExpiry(in time.Duration) {
	c.nextDeadline = earlier(c.nextDeadline, c.now.Add(in))
}

// NextDeadline returns when Expire may next have something to do; zero means never.
func (c *Conn) NextDeadline() time.Time { return c.nextDeadline }

// Expire applies the timeouts that have passed and returns NextDeadline. It examines the streams
// only when one of them may be due, however often it is called.
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
	// If no byte of any answer has moved for StallTimeout, the client has stopped reading.
	if stalled > 0 && now.Sub(c.lastProgress) >= c.cfg.StallTimeout {
		c.fail(EnhanceYourCalm, "the window stays shut")
	}
	return c.nextDeadline
}

// earlier returns the earlier of two times; a zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
