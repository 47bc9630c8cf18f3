package http2

import (
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// block is the field block that is arriving, and what has been found in it so far. Blocks arrive
// one at a time (RFC 9113 section 4.3), and each must be decoded to keep the HPACK table correct,
// even if its stream is not accepted.
type block struct {
	inProgress      bool
	id              uint32
	stream          *Stream // nil if the block is decoded only for the HPACK table
	trailer         bool
	endStream       bool
	frames          int
	compressedBytes int
	listSize        int // decoded, as SETTINGS_MAX_HEADER_LIST_SIZE counts
	tooLarge        bool
	malformed       bool
	regularSeen     bool // a field other than a pseudo-header field has been decoded
	refuseCode      Code // reset code of a stream that is not accepted; NoError: ignore the block
	head            Head
	lengthSeen      bool
	fields          []hpack.HeaderField
}

func (c *Conn) handleHeaders(f *http2.HeadersFrame) {
	b := &c.block
	*b = block{inProgress: true, id: f.StreamID, endStream: f.StreamEnded(), fields: b.fields[:0], head: Head{Length: -1}}
	s := c.streams[f.StreamID]
	switch {
	case f.StreamID%2 == 0:
		c.fail(http2.ErrCodeProtocol, "a stream with an even number")
		return
	case s != nil && !s.closed && !s.remoteClosed: // trailers
		b.stream, b.trailer = s, true
		b.malformed = !b.endStream
	case s != nil && s.remoteClosed:
		b.refuseCode = http2.ErrCodeStreamClosed
	case f.StreamID <= c.lastID && c.recentlyReset(f.StreamID): // sent before the client read our reset
		b.refuseCode = NoError
	case f.StreamID <= c.lastID:
		c.fail(http2.ErrCodeStreamClosed, "HEADERS for a stream that is closed")
		return
	case c.drain == draining: // not accepted: the client knows from the GOAWAY
		b.refuseCode = NoError
	case len(c.streams) >= c.cfg.MaxStreams:
		c.lastID = f.StreamID
		c.reportAbuse(OverLimit)
		b.refuseCode = RefusedStream
	default:
		c.lastID = f.StreamID
		b.stream = c.open(f.StreamID)
		if f.HasPriority() && f.Priority.StreamDep == f.StreamID {
			b.malformed = true
		}
	}
	c.decoder.SetEmitEnabled(b.stream != nil)
	c.decodeFragment(f.HeaderBlockFragment(), f.HeadersEnded())
}

// openedAfterDrain reports whether a stream was opened after the last one that is served.
func (c *Conn) openedAfterDrain(id uint32) bool { return c.drain == draining && id > c.lastID }

func (c *Conn) handleContinuation(f *http2.ContinuationFrame) {
	c.decodeFragment(f.HeaderBlockFragment(), f.HeadersEnded())
}

// decodeFragment decodes a part of a block. The size and the number of frames of a block are
// limited before an endless block costs much (CVE-2023-45288, CVE-2019-9516).
func (c *Conn) decodeFragment(p []byte, last bool) {
	b := &c.block
	b.frames++
	b.compressedBytes += len(p)
	if b.compressedBytes > c.cfg.MaxHeaderBytes+fieldBlockSlack || b.frames > maxBlockFrames {
		c.failAbuse(Continuation)
		return
	}
	if _, err := c.decoder.Write(p); err != nil {
		c.fail(http2.ErrCodeCompression, "a field block that cannot be decoded")
		return
	}
	if !last {
		return
	}
	if err := c.decoder.Close(); err != nil {
		c.fail(http2.ErrCodeCompression, "a field block that ends too soon")
		return
	}
	b.inProgress = false
	c.handleBlockEnd()
}

// handleField handles one decoded field of a block.
func (c *Conn) handleField(f hpack.HeaderField) {
	b := &c.block
	if b.listSize += len(f.Name) + len(f.Value) + 32; b.listSize > c.cfg.MaxHeaderBytes {
		b.tooLarge = true
		c.decoder.SetEmitEnabled(false) // a short block can encode a very long list
		return
	}
	switch {
	case b.malformed:
	case strings.HasPrefix(f.Name, ":"):
		b.addPseudoField(f)
	default:
		b.regularSeen = true
		b.addRegularField(f)
	}
}

// addPseudoField handles a pseudo-header field: each at most once, before all other fields, none in
// trailers (RFC 9113 section 8.3).
func (b *block) addPseudoField(f hpack.HeaderField) {
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
	if to == nil || *to != "" || f.Value == "" || b.regularSeen || b.trailer || !httpguts.ValidHeaderFieldValue(f.Value) {
		b.malformed = true
		return
	}
	*to = f.Value
}

// addRegularField handles any other field (RFC 9113 sections 8.2.1 and 8.2.2).
func (b *block) addRegularField(f hpack.HeaderField) {
	switch f.Name {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
		b.malformed = true
	case "te":
		b.malformed = f.Value != "trailers"
	case "content-length":
		n, err := strconv.ParseUint(f.Value, 10, 62)
		if err != nil || f.Value[0] == '+' || b.lengthSeen && int64(n) != b.head.Length {
			b.malformed = true
		}
		b.lengthSeen, b.head.Length = true, int64(n)
	}
	if b.malformed || !validName(f.Name) || !validValue(f.Value) {
		b.malformed = true
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

// handleBlockEnd validates a complete block and opens the stream, ends it, or rejects it.
func (c *Conn) handleBlockEnd() {
	b := &c.block
	s := b.stream
	// A block can take longer to arrive than its stream's timeout: the stream has been answered and may be closed.
	if s != nil && (s.answered || c.streams[s.ID] != s) {
		s.remoteClosed = s.remoteClosed || b.endStream
		c.countUnproductive(ClosedStream, b.compressedBytes)
		return
	}
	switch {
	case s == nil:
		switch b.refuseCode {
		case NoError:
			c.countUnproductive(ClosedStream, b.compressedBytes)
		default:
			c.streamError(b.id, b.refuseCode)
		}
	case b.trailer:
		if b.malformed || b.tooLarge {
			c.streamError(s.ID, http2.ErrCodeProtocol)
			return
		}
		c.completeBody(s)
	case b.tooLarge:
		c.reportAbuse(HeaderList)
		s.remoteClosed = b.endStream
		c.reject(s, "431")
	case b.malformed || !b.head.complete():
		c.streamError(s.ID, http2.ErrCodeProtocol)
	case b.endStream && b.head.Length > 0:
		c.streamError(s.ID, http2.ErrCodeProtocol)
	default:
		s.Head = b.head
		s.Head.Fields = b.fields
		if s.Head.Length > int64(c.cfg.MaxBodyBytes) {
			c.reject(s, "413")
			return
		}
		if b.listSize > smallHead { // the path may be long, and is held as long as the stream
			s.reservedHead = b.listSize
		}
		if !c.reserve(s, s.reservedHead+int(max(s.Head.Length, 0))) {
			return
		}
		s.opened = true
		c.limits.credit(32)
		c.event(Event{Kind: Opened, Stream: s})
		if b.endStream {
			c.completeBody(s)
		} else if b.head.expectsContinue(b.fields) {
			c.writeContinue(s)
		}
	}
}

// complete reports whether a request has the required pseudo-header fields (RFC 9113 section
// 8.3.1); CONNECT has fewer (section 8.5).
func (h *Head) complete() bool {
	if h.Method == "CONNECT" {
		return h.Scheme == "" && h.Path == "" && h.Authority != ""
	}
	return h.Method != "" && h.Scheme != "" && (strings.HasPrefix(h.Path, "/") || h.Path == "*" && h.Method == "OPTIONS")
}

func (h *Head) expectsContinue(fields []hpack.HeaderField) bool {
	for _, f := range fields {
		if f.Name == "expect" {
			return strings.EqualFold(f.Value, "100-continue")
		}
	}
	return false
}
