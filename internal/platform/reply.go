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

// Part is what Replies finds in a peer's bytes.
type Part uint8

// Parts of a reply.
const (
	NeedMore Part = iota // more bytes are due
	Head                 // a head: see Status, Load and the rest
	Line                 // a line of the body, or all of it at once
	End                  // the reply is whole; Keep says whether another may follow
)

// ReplyParser takes in what a backend or the director sends: a head, and a body in chunks, of a
// stated length, or up to the connection's end.
type ReplyParser struct {
	buffer
	Status                   int
	Unprocessed              bool   // it says that the req never ran
	Load                     string // a load report in the head
	KeepAlive                bool
	wholeBody                bool // bodies come as one part
	maxPart                  int  // bytes of a part
	state                    replyState
	chunked                  bool
	remaining                int // of the chunk or body; -1 for all up to the connection's end
	pendingStart, pendingEnd int // what is decoded and not handed out lies in the buffer from here to here
	scanned                  int // no line ends before this
}

type replyState uint8

const (
	inHead replyState = iota
	inSize
	inData
	inChunkEnd // the line end behind a chunk
	inTrailer
	inRemainder // handing out what is left of the body
)

// NewReplyParser makes a machine that hands out bodies by line, or whole.
func NewReplyParser(whole bool, most int) *ReplyParser {
	return &ReplyParser{wholeBody: whole, maxPart: most}
}

var errMalformedReply = errors.New("not a reply of the protocol")

// Space is where the next bytes are to be read.
func (m *ReplyParser) Space() []byte {
	if len(m.data)-m.end < minReadSpace/4 { // what is decoded moves on with what is not
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

// Next returns the next part. The bytes of a Line stay as they are until Space is called.
func (m *ReplyParser) Next() (Part, []byte, error) {
	for {
		switch m.state {
		case inHead:
			if m.start == m.end { // nothing that was handed out is in use when the next reply begins
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
				continue // an interim answer
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
			if m.pendingEnd != m.start { // close the gap that the framing left
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
			if line := m.nextLine(); line != nil { // lines that the last chunk still holds
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

// ConnectionClosed tells that the connection ended. A body without a stated length is whole by that.
func (m *ReplyParser) ConnectionClosed() (whole bool) {
	if m.state == inData && m.remaining < 0 {
		m.state, m.remaining = inRemainder, 0
		return true
	}
	return false
}

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

// framingLine is the next line of the framing, without its LF.
func (m *ReplyParser) framingLine() (string, bool) {
	i := bytes.IndexByte(m.unread(), '\n')
	if i < 0 {
		return "", false
	}
	s := string(m.data[m.start : m.start+i])
	m.start += i + 1
	return s, true
}

// handleFramingLine takes a line of the framing. One of chunks ends in CR LF, as net/http has it: two readings of
// the framing would let a body pass for a second reply.
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
		} else if strings.IndexByte(text, ':') <= 0 { // no field: the next reply's head must not pass for one
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
	m.Unprocessed = once && unprocessed == "1" // two of them prove nothing
	m.Load, _ = h.single("X-Backend-Load")
	m.KeepAlive = !h.hasToken("Connection", "close") && version != "HTTP/1.0"
	m.chunked = h.hasToken("Transfer-Encoding", "chunked")
	m.state = inData
	if m.chunked && version == "HTTP/1.0" { // knows no chunks (RFC 9112 section 6.1)
		return errMalformedReply
	}
	if status == 204 || status == 304 { // no body, whatever the head says (section 6.3)
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

// JobUpdate is what a line of a backend says.
type JobUpdate struct {
	Last     bool // the attempt has ended, as Ending
	Ending   core.Ending
	Started  bool
	Progress float64
	Result   string // a copy: it goes to the client when the buffer is another req's
	Report   []float32
}

var errMalformedLine = errors.New("not a line of the protocol")

var json = jsoniter.ConfigDefault

// ReadLine reads a backend's line about the req with this id.
func (n *Names) ReadLine(line []byte, id string) (news JobUpdate, err error) {
	it := json.BorrowIterator(line)
	defer json.ReturnIterator(it)
	var got, state string
	result := false
	for field := it.ReadObject(); field != ""; field = it.ReadObject() {
		switch field {
		case "id":
			got = it.ReadString()
		case "state":
			state = it.ReadString()
		case "share":
			news.Progress = it.ReadFloat64()
		case "result":
			result = true
			if it.WhatIsNext() == jsoniter.StringValue {
				news.Result = it.ReadString()
			} else {
				news.Result = string(it.SkipAndReturnBytes())
			}
		case "load":
			news.Report = n.readReport(it)
		default:
			it.Skip()
		}
	}
	if !atEnd(it) || got != id {
		return JobUpdate{}, errMalformedLine
	}
	news.Last = true
	switch state {
	case "started":
		news.Last, news.Started = false, true
	case "running":
		news.Last = false
	case "done":
		if news.Ending = core.Served; !result {
			return JobUpdate{}, errMalformedLine
		}
	case "failed":
		news.Ending = core.Failed
	case "returned":
		news.Ending = core.Returned
	case "lost":
		news.Ending = core.Lost
	default:
		return JobUpdate{}, errMalformedLine
	}
	return news, nil
}

// readReport reads a load readReport into the settings' order of columns. A column that is absent
// is zero, as on the simulator's wire.
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

// ReadLoad reads a load report that stands alone; one that cannot be read is none.
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

// Ending is how an attempt ended that was answered with this head, if it is not 200.
func (m *ReplyParser) Ending() core.Ending {
	if m.Unprocessed && (m.Status == 503 || m.Status == 504) {
		return core.Returned
	}
	if m.Status >= 400 && m.Status < 500 {
		return core.Rejected
	}
	return core.Failed
}

// HasExtraBytes says whether bytes are there that no request asked for.
func (m *ReplyParser) HasExtraBytes() bool { return m.start < m.end }
