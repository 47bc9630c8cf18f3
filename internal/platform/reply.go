package platform

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"tinsail/internal/core"
)

// Part is what ReplyParser.Next found.
type Part uint8

// Parts of a reply.
const (
	NeedMore Part = iota // more bytes are needed
	Head                 // a head: see Status, Load and the other fields
	Line                 // one line of the body, or the whole body
	End                  // the reply is complete; KeepAlive reports whether another may follow
)

// ReplyParser parses the replies of a backend or the director: a head, and a body that is chunked,
// has a Content-Length, or ends with the connection.
type ReplyParser struct {
	buffer
	Status                   int
	Unprocessed              bool   // the backend states that the request never ran
	Load                     string // load report from the head
	KeepAlive                bool
	wholeBody                bool // return each body as one part
	maxPart                  int  // limit of a part, in bytes
	state                    replyState
	chunked                  bool
	remaining                int // of the chunk or body; -1 if the body ends with the connection
	pendingStart, pendingEnd int // range of the buffer that is decoded and not handed out
	scanned                  int // no line ends before this offset
}

type replyState uint8

const (
	inHead replyState = iota
	inSize
	inData
	inChunkEnd // the line end after a chunk
	inTrailer
	inRemainder // handing out the rest of the body
)

// NewReplyParser returns a parser that hands out bodies line by line, or whole, with at most
// maxPart bytes in one part.
func NewReplyParser(wholeBody bool, maxPart int) *ReplyParser {
	return &ReplyParser{wholeBody: wholeBody, maxPart: maxPart}
}

var errMalformedReply = errors.New("malformed reply")

// Space returns the space for the next read.
func (m *ReplyParser) Space() []byte {
	if len(m.data)-m.end < minReadSpace/4 { // move the decoded bytes together with the unread ones
		start := min(m.pendingStart, m.start)
		if m.pendingStart == m.pendingEnd {
			start = m.start
		}
		size := m.end - start
		next := make([]byte, max(2*size, size+minReadSpace))
		copy(next, m.data[start:m.end])
		m.pendingStart, m.pendingEnd, m.scanned = max(m.pendingStart-start, 0), max(m.pendingEnd-start, 0), max(m.scanned-start, 0)
		m.data, m.start, m.end = next, m.start-start, size
	}
	return m.data[m.end:]
}

// Next returns the next part. The bytes of a Line stay valid until Space is called.
func (m *ReplyParser) Next() (Part, []byte, error) {
	for {
		switch m.state {
		case inHead:
			if m.start == m.end { // no handed-out bytes are in use when the next reply begins
				m.start, m.end = 0, 0
			}
			block, err := m.headBlock()
			if block == nil {
				return NeedMore, nil, err
			}
			if err := m.readHead(block); err != nil {
				return NeedMore, nil, err
			}
			if m.Status < 200 {
				continue // an interim response
			}
			m.pendingStart, m.pendingEnd, m.scanned = m.start, m.start, m.start
			return Head, nil, nil
		case inData:
			n := m.end - m.start
			if m.remaining >= 0 {
				n = min(n, m.remaining)
			}
			if m.pendingStart == m.pendingEnd {
				m.pendingStart, m.pendingEnd, m.scanned = m.start, m.start, m.start
			}
			if m.pendingEnd != m.start { // close the gap left by the chunk framing
				copy(m.data[m.pendingEnd:], m.data[m.start:m.start+n])
			}
			m.pendingEnd, m.start = m.pendingEnd+n, m.start+n
			if m.remaining >= 0 {
				m.remaining -= n
			}
			if m.pendingEnd-m.pendingStart > m.maxPart {
				return NeedMore, nil, errMalformedReply
			}
			if m.remaining == 0 {
				if m.state = inRemainder; m.chunked {
					m.state = inChunkEnd
				}
			}
			if line := m.nextLine(); line != nil {
				return Line, line, nil
			}
			if m.remaining != 0 {
				return NeedMore, nil, nil
			}
		case inChunkEnd, inSize, inTrailer:
			if line := m.nextLine(); line != nil { // lines completed by the last chunk
				return Line, line, nil
			}
			text, ok := m.framingLine()
			if !ok {
				if m.end-m.start > MaxHead {
					return NeedMore, nil, errMalformedReply
				}
				return NeedMore, nil, nil
			}
			if err := m.handleFramingLine(text); err != nil {
				return NeedMore, nil, err
			}
		case inRemainder:
			if line := m.nextLine(); line != nil {
				return Line, line, nil
			}
			if m.pendingStart < m.pendingEnd {
				tail := m.data[m.pendingStart:m.pendingEnd]
				m.pendingStart = m.pendingEnd
				return Line, tail, nil
			}
			m.state = inHead
			return End, nil, nil
		}
	}
}

// ConnectionClosed records that the connection ended, and reports whether that completes a body
// without a stated length.
func (m *ReplyParser) ConnectionClosed() (complete bool) {
	if m.state == inData && m.remaining < 0 {
		m.state, m.remaining = inRemainder, 0
		return true
	}
	return false
}

// nextLine returns the next non-empty line of the body that is complete, or nil.
func (m *ReplyParser) nextLine() []byte {
	if m.wholeBody {
		return nil
	}
	for m.scanned < m.pendingEnd {
		i := bytes.IndexByte(m.data[m.scanned:m.pendingEnd], '\n')
		if i < 0 {
			m.scanned = m.pendingEnd
			break
		}
		line := bytes.TrimSpace(m.data[m.pendingStart : m.scanned+i])
		m.scanned += i + 1
		m.pendingStart = m.scanned
		if len(line) > 0 {
			return line
		}
	}
	return nil
}

// framingLine returns the next line of the chunked framing, without its LF.
func (m *ReplyParser) framingLine() (string, bool) {
	i := bytes.IndexByte(m.unread(), '\n')
	if i < 0 {
		return "", false
	}
	s := string(m.data[m.start : m.start+i])
	m.start += i + 1
	return s, true
}

// handleFramingLine handles one line of the chunked framing. Lines of chunks must end in CR LF, as
// net/http requires: if the framing could be read in two ways, a body could pass for a second
// reply.
func (m *ReplyParser) handleFramingLine(text string) error {
	text, cr := strings.CutSuffix(text, "\r")
	if !cr && m.state != inTrailer {
		return errMalformedReply
	}
	switch m.state {
	case inChunkEnd:
		m.state = inSize
		if text != "" {
			return errMalformedReply
		}
	case inSize:
		size, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || int(n) > m.maxPart {
			return errMalformedReply
		}
		if m.remaining, m.state = int(n), inData; n == 0 {
			m.state = inTrailer
		}
	case inTrailer:
		if text == "" {
			m.state = inRemainder
		} else if strings.IndexByte(text, ':') <= 0 { // not a field: the head of the next reply must not pass for a trailer
			return errMalformedReply
		}
	}
	return nil
}

func (m *ReplyParser) readHead(block []byte) error {
	h, err := parseHead(block)
	if err != nil {
		return errMalformedReply
	}
	version, rest, _ := strings.Cut(h.firstLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 10)
	if err != nil || status < 100 || status > 599 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return errMalformedReply
	}
	m.Status = int(status)
	if status < 200 {
		return nil
	}
	unprocessed, once := h.single("X-Unprocessed")
	m.Unprocessed = once && unprocessed == "1" // a repeated field proves nothing
	m.Load, _ = h.single("X-Backend-Load")
	m.KeepAlive = !h.hasToken("Connection", "close") && version != "HTTP/1.0"
	m.chunked = h.hasToken("Transfer-Encoding", "chunked")
	m.state = inData
	if m.chunked && version == "HTTP/1.0" { // HTTP/1.0 has no chunked coding (RFC 9112 section 6.1)
		return errMalformedReply
	}
	if status == 204 || status == 304 { // no body, whatever the head states (section 6.3)
		m.remaining, m.chunked = 0, false
		return nil
	}
	if m.chunked {
		m.state, m.remaining = inSize, 0
		return nil
	}
	if m.remaining, err = h.contentLength(); err != nil || m.remaining > m.maxPart {
		return errMalformedReply
	}
	if m.remaining < 0 {
		m.KeepAlive = false
	}
	return nil
}

// JobUpdate is one status line that a backend sends about a job.
type JobUpdate struct {
	Last     bool // the attempt has ended, as Ending says
	Ending   core.Ending
	Started  bool
	Progress float64
	Result   string // a copy: it is sent to the client after the buffer is reused
	Report   []float32
}

var errMalformedLine = errors.New("malformed status line of a job")

var json = jsoniter.ConfigDefault

// ReadLine parses a backend's line about the request with this id.
func (n *Names) ReadLine(line []byte, id string) (update JobUpdate, err error) {
	it := json.BorrowIterator(line)
	defer json.ReturnIterator(it)
	var gotID, state string
	result := false
	for field := it.ReadObject(); field != ""; field = it.ReadObject() {
		switch field {
		case "id":
			gotID = it.ReadString()
		case "state":
			state = it.ReadString()
		case "share":
			update.Progress = it.ReadFloat64()
		case "result":
			result = true
			if it.WhatIsNext() == jsoniter.StringValue {
				update.Result = it.ReadString()
			} else {
				update.Result = string(it.SkipAndReturnBytes())
			}
		case "load":
			update.Report = n.readReport(it)
		default:
			it.Skip()
		}
	}
	if !atEnd(it) || gotID != id {
		return JobUpdate{}, errMalformedLine
	}
	update.Last = true
	switch state {
	case "started":
		update.Last, update.Started = false, true
	case "running":
		update.Last = false
	case "done":
		if update.Ending = core.Served; !result {
			return JobUpdate{}, errMalformedLine
		}
	case "failed":
		update.Ending = core.Failed
	case "returned":
		update.Ending = core.Returned
	case "lost":
		update.Ending = core.Lost
	default:
		return JobUpdate{}, errMalformedLine
	}
	return update, nil
}

// readReport reads a load report into the settings' order of columns. An absent column is zero, as
// in the simulator's protocol.
func (n *Names) readReport(it *jsoniter.Iterator) []float32 {
	if it.WhatIsNext() != jsoniter.ObjectValue {
		it.Skip()
		return nil
	}
	values := make([]float32, len(n.Columns))
	any := false
	for field := it.ReadObject(); field != ""; field = it.ReadObject() {
		at := -1
		for i, c := range n.Columns {
			if c == field {
				at = i
			}
		}
		if at < 0 || it.WhatIsNext() != jsoniter.NumberValue {
			it.Skip()
			continue
		}
		v := it.ReadFloat64()
		if any = true; math.Abs(v) <= math.MaxFloat32 {
			values[at] = float32(v)
		}
	}
	if !any {
		return nil
	}
	return values
}

// ReadLoad parses a load report from a header field. It returns nil for one that cannot be parsed.
func (n *Names) ReadLoad(text string) []float32 {
	if text == "" {
		return nil
	}
	it := json.BorrowIterator([]byte(text))
	defer json.ReturnIterator(it)
	if values := n.readReport(it); it.Error == nil {
		return values
	}
	return nil
}

// Ending returns how an attempt ended whose reply has this head, for a status other than 200.
func (m *ReplyParser) Ending() core.Ending {
	if m.Unprocessed && (m.Status == 503 || m.Status == 504) {
		return core.Returned
	}
	if m.Status >= 400 && m.Status < 500 {
		return core.Rejected
	}
	return core.Failed
}

// HasExtraBytes reports whether the buffer holds bytes that belong to no request.
func (m *ReplyParser) HasExtraBytes() bool { return m.start < m.end }
