package http2

import (
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// enqueue has a stream's answer framed when its turn comes.
func (c *Conn) enqueue(s *Stream) {
	s.waiting = true
	c.arm(c.cfg.StallTimeout)
	if !s.queued {
		s.queued = true
		c.queue = append(c.queue, s)
	}
}

// unblock puts a stream back in the queue, whose window was shut.
func (c *Conn) unblock(s *Stream) {
	if s.waiting && !s.queued && s.window > 0 {
		c.enqueue(s)
	}
}

// HasOutput says whether Take has something to hand out.
func (c *Conn) HasOutput() bool {
	c.pull()
	return len(c.out) > 0
}

// TakeOutput hands out the bytes that are to be written, and takes a buffer for the next.
func (c *Conn) TakeOutput(spare []byte) []byte {
	c.pull()
	b := c.out
	c.out = spare[:0]
	return b
}

// pull frames answers, a frame of each stream in turn, until there is enough to write or the
// windows are shut. What waits stays where it is: unframed text, not a second copy of it.
func (c *Conn) pull() {
	for turns := len(c.queue); turns > 0 && len(c.out) < outPull && len(c.queue) > 0; turns-- {
		s := c.queue[0]
		c.queue[0] = nil
		if c.queue = c.queue[1:]; len(c.queue) == 0 {
			c.queue = nil
		}
		s.queued = false
		if s.gone || c.streams[s.ID] != s {
			continue
		}
		if !s.headed {
			c.writeHead(s)
			if s.out == "" {
				c.sent(s)
				continue
			}
		}
		n := min(int64(len(s.out)), c.window, s.window, int64(c.peerMax))
		if n > 0 {
			c.writeData(s, int(n))
			turns = max(turns, 1+len(c.queue)) // something moved: others may get another turn
		}
		switch {
		case s.out == "":
			c.sent(s)
		case s.window <= 0: // until its WINDOW_UPDATE
		default:
			s.queued = true
			c.queue = append(c.queue, s)
		}
	}
}

func (c *Conn) writeHead(s *Stream) {
	s.headed = true
	c.pack.Reset()
	_ = c.enc.WriteField(hpack.HeaderField{Name: ":status", Value: s.status})
	if s.pause != "" {
		_ = c.enc.WriteField(hpack.HeaderField{Name: "retry-after", Value: s.pause})
	}
	_ = c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: s.ID, BlockFragment: c.pack.Bytes(), EndHeaders: true, EndStream: s.out == ""})
	c.moved, s.since = c.now, c.now
}

// interim tells a client that waits for it to send its body (RFC 9110 section 10.1.1).
func (c *Conn) interim(s *Stream) {
	c.pack.Reset()
	_ = c.enc.WriteField(hpack.HeaderField{Name: ":status", Value: "100"})
	_ = c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: s.ID, BlockFragment: c.pack.Bytes(), EndHeaders: true})
}

func (c *Conn) writeData(s *Stream, n int) {
	c.pack.Reset()
	c.pack.WriteString(s.out[:n])
	s.out = s.out[n:]
	_ = c.fr.WriteData(s.ID, s.out == "", c.pack.Bytes())
	c.window -= int64(n)
	s.window -= int64(n)
	c.moved, s.since = c.now, c.now
	c.calm.use(n >> 7) // not by the frame: a window that opens byte by byte is no use (CVE-2019-9511)
}

// sent closes a stream whose answer is framed to its end. Where the client is still sending,
// it is told to stop, by a reset that does not void the answer.
func (c *Conn) sent(s *Stream) {
	s.waiting = false
	c.calm.use(4)
	if !s.ended {
		_ = c.fr.WriteRSTStream(s.ID, NoError)
		c.remember(s.ID)
	}
	s.gone = true
	c.end(s)
}
