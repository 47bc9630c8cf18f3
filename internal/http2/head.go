package http2

import (
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// block is the field block that is coming in, and what has been found in it. Blocks come one
// at a time (RFC 9113 section 4.3), and each must be decoded, wanted or not.
type block struct {
	on      bool
	id      uint32
	stream  *Stream // nil where it is decoded for the table alone
	trailer bool
	ends    bool // of the stream
	parts   int  // frames
	bytes   int  // compressed
	size    int  // decoded, as SETTINGS_MAX_HEADER_LIST_SIZE counts
	large   bool
	bad     bool // malformed
	regular bool // a field that is no pseudo-field has come
	refuse  Code // of a stream that is not taken; NoError if it is
	head    Head
	length  bool
	fields  []hpack.HeaderField
}

func (c *Conn) headers(f *http2.HeadersFrame) {
	b := &c.block
	*b = block{on: true, id: f.StreamID, ends: f.StreamEnded(), fields: b.fields[:0], head: Head{Length: -1}}
	s := c.streams[f.StreamID]
	switch {
	case f.StreamID%2 == 0:
		c.fail(http2.ErrCodeProtocol, "a stream with an even number")
		return
	case s != nil && !s.gone && !s.ended: // trailers
		b.stream, b.trailer = s, true
		b.bad = !b.ends
	case s != nil && s.ended:
		b.refuse = http2.ErrCodeStreamClosed
	case f.StreamID <= c.lastID && c.crossed(f.StreamID): // what crossed our reset
		b.refuse = NoError
	case f.StreamID <= c.lastID:
		c.fail(http2.ErrCodeStreamClosed, "HEADERS for a stream that is closed")
		return
	case c.drain == draining: // never taken: the client knows by GOAWAY
		b.refuse = NoError
	case len(c.streams) >= c.cfg.MaxStreams:
		c.lastID = f.StreamID
		c.count(OverLimit)
		b.refuse = RefusedStream
	default:
		c.lastID = f.StreamID
		b.stream = c.open(f.StreamID)
		if f.HasPriority() && f.Priority.StreamDep == f.StreamID {
			b.bad = true
		}
	}
	c.dec.SetEmitEnabled(b.stream != nil)
	c.fragment(f.HeaderBlockFragment(), f.HeadersEnded())
}

// later says whether a stream was opened after the last one that is served.
func (c *Conn) later(id uint32) bool { return c.drain == draining && id > c.lastID }

func (c *Conn) continuation(f *http2.ContinuationFrame) {
	c.fragment(f.HeaderBlockFragment(), f.HeadersEnded())
}

// fragment decodes a part of a block. A block without end is cut off by its length and by the
// number of its frames, before it costs much (CVE-2023-45288, CVE-2019-9516).
func (c *Conn) fragment(p []byte, last bool) {
	b := &c.block
	b.parts++
	b.bytes += len(p)
	if b.bytes > c.cfg.MaxHeaderBytes+blockExtra || b.parts > continuations {
		c.abuse(Continuation)
		return
	}
	if _, err := c.dec.Write(p); err != nil {
		c.fail(http2.ErrCodeCompression, "a field block that cannot be decoded")
		return
	}
	if !last {
		return
	}
	if err := c.dec.Close(); err != nil {
		c.fail(http2.ErrCodeCompression, "a field block that ends too soon")
		return
	}
	b.on = false
	c.headed()
}

// field takes in one field of a block, as the decoder finds it.
func (c *Conn) field(f hpack.HeaderField) {
	b := &c.block
	if b.size += len(f.Name) + len(f.Value) + 32; b.size > c.cfg.MaxHeaderBytes {
		b.large = true
		c.dec.SetEmitEnabled(false) // a short block can stand for a very long list
		return
	}
	switch {
	case b.bad:
	case strings.HasPrefix(f.Name, ":"):
		b.pseudo(f)
	default:
		b.regular = true
		b.plain(f)
	}
}

// pseudo takes a pseudo-field: each once, before all others, none in trailers (RFC 9113
// section 8.3).
func (b *block) pseudo(f hpack.HeaderField) {
	var to *string
	switch f.Name {
	case ":method":
		to = &b.head.Method
	case ":scheme":
		to = &b.head.Scheme
	case ":path":
		to = &b.head.Path
	case ":authority":
		to = &b.head.Authority
	}
	if to == nil || *to != "" || f.Value == "" || b.regular || b.trailer || !httpguts.ValidHeaderFieldValue(f.Value) {
		b.bad = true
		return
	}
	*to = f.Value
}

// plain takes any other field (RFC 9113 sections 8.2.1 and 8.2.2).
func (b *block) plain(f hpack.HeaderField) {
	switch f.Name {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
		b.bad = true
	case "te":
		b.bad = f.Value != "trailers"
	case "content-length":
		n, err := strconv.ParseUint(f.Value, 10, 62)
		if err != nil || f.Value[0] == '+' || b.length && int64(n) != b.head.Length {
			b.bad = true
		}
		b.length, b.head.Length = true, int64(n)
	}
	if b.bad || !validName(f.Name) || !validValue(f.Value) {
		b.bad = true
		return
	}
	if !b.trailer {
		b.fields = append(b.fields, f)
	}
}

func validName(name string) bool {
	for i := range len(name) {
		if 'A' <= name[i] && name[i] <= 'Z' {
			return false
		}
	}
	return httpguts.ValidHeaderFieldName(name)
}

func validValue(v string) bool {
	if v != "" && (isSpace(v[0]) || isSpace(v[len(v)-1])) {
		return false
	}
	return httpguts.ValidHeaderFieldValue(v)
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' }

// headed has a whole block, and judges it.
func (c *Conn) headed() {
	b := &c.block
	s := b.stream
	// A block can take longer to come than its stream may: the stream has had its answer, and may be gone.
	if s != nil && (s.answered || c.streams[s.ID] != s) {
		s.ended = s.ended || b.ends
		c.useless(ClosedStream, b.bytes)
		return
	}
	switch {
	case s == nil:
		switch b.refuse {
		case NoError:
			c.useless(ClosedStream, b.bytes)
		default:
			c.streamError(b.id, b.refuse)
		}
	case b.trailer:
		if b.bad || b.large {
			c.streamError(s.ID, http2.ErrCodeProtocol)
			return
		}
		c.whole(s)
	case b.large:
		c.count(HeaderList)
		s.ended = b.ends
		c.turnAway(s, "431")
	case b.bad || !b.head.complete():
		c.streamError(s.ID, http2.ErrCodeProtocol)
	case b.ends && b.head.Length > 0:
		c.streamError(s.ID, http2.ErrCodeProtocol)
	default:
		s.Head = b.head
		s.Head.Fields = b.fields
		if s.Head.Length > int64(c.cfg.MaxBodyBytes) {
			c.turnAway(s, "413")
			return
		}
		if b.size > smallHead { // its path may be long, and stays as long as the stream does
			s.extra = b.size
		}
		if !c.hold(s, s.extra+int(max(s.Head.Length, 0))) {
			return
		}
		s.opened = true
		c.calm.use(32)
		c.event(Event{Kind: Opened, Stream: s})
		if b.ends {
			c.whole(s)
		} else if b.head.expects(b.fields) {
			c.interim(s)
		}
	}
}

// complete says whether a request has the pseudo-fields that it must have (RFC 9113 section
// 8.3.1); CONNECT has fewer (section 8.5).
func (h *Head) complete() bool {
	if h.Method == "CONNECT" {
		return h.Scheme == "" && h.Path == "" && h.Authority != ""
	}
	return h.Method != "" && h.Scheme != "" && (strings.HasPrefix(h.Path, "/") || h.Path == "*" && h.Method == "OPTIONS")
}

func (h *Head) expects(fields []hpack.HeaderField) bool {
	for _, f := range fields {
		if f.Name == "expect" {
			return strings.EqualFold(f.Value, "100-continue")
		}
	}
	return false
}
