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
	if c.drain != serving || c.over {
		return
	}
	if !c.begun {
		c.over = true
		c.event(Event{Kind: Ended, Code: NoError})
		return
	}
	c.drain, c.drainBy = asking, now.Add(c.cfg.DrainTimeout)
	c.arm(c.cfg.DrainTimeout)
	_ = c.fr.WriteGoAway(unusedID, NoError, nil)
	var mark [8]byte
	binary.BigEndian.PutUint32(mark[:], drainMark)
	_ = c.fr.WritePing(false, mark)
}

// StopNewStreams ends the wait that Drain began, or drains at once: what has been opened is served,
// and nothing later is taken.
func (c *Conn) StopNewStreams(now time.Time) {
	c.now = now
	if c.drain == draining || c.over {
		return
	}
	if !c.begun {
		c.Drain(now)
		return
	}
	c.settle()
}

func (c *Conn) settle() {
	c.drain = draining
	_ = c.fr.WriteGoAway(c.lastID, NoError, nil)
	c.finish()
}

// finish ends a connection that drains and has no stream left.
func (c *Conn) finish() {
	if c.drain == draining && c.live == 0 && !c.over {
		c.over = true
		c.event(Event{Kind: Ended, Code: NoError})
	}
}

// fail ends the connection for a fault of the client's (RFC 9113 section 5.4.1).
func (c *Conn) fail(code Code, reason string) {
	if c.over {
		return
	}
	c.over = true
	_ = c.fr.WriteGoAway(c.lastID, code, []byte(reason))
	c.event(Event{Kind: Ended, Code: code, Reason: reason})
}

// Terminate ends the connection from the driver's side, with a reason for the client.
func (c *Conn) Terminate(code Code, reason string) {
	if !c.begun && !c.over {
		c.greet()
	}
	c.fail(code, reason)
}

// Unanswered returns the streams that were Opened and not answered nor told as Gone. Once the connection is
// over, none of them can have an answer any more.
func (c *Conn) Unanswered() (lost []*Stream) {
	for _, s := range c.streams {
		if s.opened && !s.gone && !s.answered {
			lost = append(lost, s)
		}
	}
	return lost
}

// Close lets go of all that is held for streams, when the connection is gone. It returns the
// streams that were Opened, not answered in full and not told as Gone.
func (c *Conn) Close() (left []*Stream) {
	c.over = true
	for _, s := range c.streams {
		c.letGo(s)
		if s.kept > 0 {
			c.cfg.Release(s.kept)
			s.kept = 0
		}
		if s.opened && !s.gone {
			left = append(left, s)
		}
	}
	c.queue, c.live = nil, 0
	clear(c.streams)
	return left
}

// arm sees to it that Expire looks at what has begun now, once it may be due.
func (c *Conn) arm(in time.Duration) { c.due = earlier(c.due, c.now.Add(in)) }

// NextDeadline is when Expire may next have something to do; zero is never.
func (c *Conn) NextDeadline() time.Time { return c.due }

// Expire does what is due at a time, and returns Due. It looks at the streams only when one of
// them may be due, however often it is called.
func (c *Conn) Expire(now time.Time) time.Time {
	c.now = now
	if c.over || c.due.IsZero() || now.Before(c.due) {
		return c.due
	}
	c.due = time.Time{}
	if c.drain == asking {
		if !now.Before(c.drainBy) {
			c.settle()
		} else {
			c.due = c.drainBy
		}
	}
	stalled := 0
	for _, s := range c.streams {
		var due time.Time
		switch {
		case s.gone:
			continue
		case !s.ended && !s.answered:
			due = earlier(s.since.Add(c.cfg.BodyIdleTimeout), s.opensAt.Add(c.cfg.BodyTimeout))
			if !now.Before(due) {
				c.count(UnfinishedBody)
				c.turnAway(s, "408")
				continue
			}
		case s.waiting:
			due = s.since.Add(c.cfg.StallTimeout)
			if !now.Before(due) {
				stalled++
				c.count(StalledAnswer)
				c.resetStream(s, Cancel)
				continue
			}
		default:
			continue
		}
		c.due = earlier(c.due, due)
	}
	// Where not one byte of any answer moved for as long, the client has stopped reading.
	if stalled > 0 && now.Sub(c.moved) >= c.cfg.StallTimeout {
		c.fail(EnhanceYourCalm, "the window stays shut")
	}
	return c.due
}

// earlier is the earlier of two times of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
