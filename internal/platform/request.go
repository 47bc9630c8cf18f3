package platform

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"tinsail/internal/balance"
)

// RequestError is why a client's request is refused, with the status of the answer.
type RequestError struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // value of Retry-After, 0 for none
}

func (b *RequestError) Error() string { return fmt.Sprintf("%d: %s", b.Status, b.Reason) }

// Request is one complete request of a client. Body is a slice of the buffer it was read into.
type Request struct {
	Method, Target  string
	Body            []byte
	Close           bool // the client will send no further request on this connection
	Fields          Fields
	expectsContinue bool // Expect: 100-continue
	chunked         bool // the body has the chunked transfer coding
}

// Field identifies a header field that the dispatcher reads from a request.
type Field uint8

// Header fields of a request, named in FieldNames.
const (
	CorrelationID Field = iota
	ServiceClass
	TimeLeft
	IdempotencyKey
	Repeat
	Facts
	WeightHint
	Account
	fieldCount
)

// maxWeightHint is the largest estimate of work that a client may give, in microseconds: one day.
const maxWeightHint = 24 * 3600 * 1e6

// FieldNames are the fields' names as HTTP/1.1 writes them. HTTP/2 writes them in lower case.
var FieldNames = [fieldCount]string{"X-Correlation-Id", "X-Service-Class", "X-Time-Left-Ms", "Idempotency-Key", "X-Repeat", "X-Facts",
	"X-Weight-Hint", "X-Account"}

// Value is the first value of a field, and how often the field occurs.
type Value struct {
	Text  string
	Count int
}

// Fields are the header fields of one request. A front fills them in as received; ReadJobRequest
// validates them.
type Fields [fieldCount]Value

// Add records one occurrence of a field.
func (f *Fields) Add(name Field, text string) {
	if v := &f[name]; v.Count == 0 {
		*v = Value{text, 1}
	} else {
		v.Count++
	}
}

// RequestParser parses the requests that a client sends on one connection.
type RequestParser struct {
	buffer
	// Admit, if set, is called with the size of a body before memory is allocated for it; an error
	// refuses the request. For a chunked body it is called again as the body grows.
	Admit       func(length int) error
	current     *Request
	bodyLength  int // bytes of the current body, if it is not chunked
	chunks      chunkedBody
	err         error
	continueDue bool
}

// Next returns the next complete request, or nil while more bytes are needed. An error is a
// *RequestError and ends the session.
func (m *RequestParser) Next() (*Request, error) {
	if m.err != nil {
		return nil, m.err
	}
	if m.current == nil {
		for m.start < m.end && (m.data[m.start] == '\r' || m.data[m.start] == '\n') { // skip empty lines before a request
			m.start++
		}
		block, err := m.headBlock()
		if err != nil {
			return nil, m.fail(431, err.Error())
		}
		if block == nil {
			return nil, nil
		}
		if m.current, m.bodyLength, err = readRequest(block); err != nil {
			m.err = err
			return nil, err
		}
		if m.bodyLength > MaxBody {
			return nil, m.fail(413, "the body is too long")
		}
		if m.Admit != nil {
			if m.err = m.Admit(m.bodyLength); m.err != nil {
				return nil, m.err
			}
		}
		m.chunks = chunkedBody{}
		m.continueDue = (m.bodyLength > 0 || m.current.chunked) && m.current.expectsContinue
		if len(m.data)-m.start < m.bodyLength {
			m.grow(m.bodyLength)
		}
	}
	if m.current.chunked {
		complete, err := m.chunks.decode(&m.buffer, m.Admit)
		if m.err = err; err != nil || !complete {
			return nil, err
		}
		q := m.current
		q.Body = m.chunks.body
		m.current, m.continueDue, m.chunks = nil, false, chunkedBody{}
		return q, nil
	}
	if m.end-m.start < m.bodyLength {
		return nil, nil
	}
	q := m.current
	q.Body = m.data[m.start : m.start+m.bodyLength : m.start+m.bodyLength]
	m.start += m.bodyLength
	m.current, m.continueDue = nil, false
	return q, nil
}

func (m *RequestParser) fail(status int, reason string) error {
	m.err = &RequestError{Status: status, Reason: reason}
	return m.err
}

// WantsContinue reports, once for each such request, that the client waits for 100 Continue before
// it sends the body.
func (m *RequestParser) WantsContinue() bool {
	c := m.continueDue
	m.continueDue = false
	return c
}

// Partial reports whether a request has begun and is not complete.
func (m *RequestParser) Partial() bool { return m.current != nil || m.start < m.end }

// Buffered returns the number of bytes after the last request that Next returned.
func (m *RequestParser) Buffered() int { return m.end - m.start }

// DiscardSpace returns space to read bytes into that will be discarded.
func (m *RequestParser) DiscardSpace() []byte {
	if len(m.data) < minReadSpace {
		m.data = make([]byte, minReadSpace)
	}
	return m.data
}

// Done records that the last request is answered. If free is set, its bytes are no longer in use
// and the buffer is reused; otherwise the buffer is left to whoever still uses them.
func (m *RequestParser) Done(free bool) {
	if free {
		m.rewind()
		return
	}
	m.grow(minReadSpace)
}

func badRequest(reason string) error { return &RequestError{Status: 400, Reason: reason} }

func readRequest(block []byte) (*Request, int, error) {
	h, err := parseHead(block)
	if err != nil {
		return nil, 0, badRequest("a bad head")
	}
	parts := strings.Split(h.firstLine, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return nil, 0, badRequest("a bad request line")
	}
	if !visibleASCII(parts[0] + parts[1]) {
		return nil, 0, badRequest("a bad request line")
	}
	coding, once := h.single("Transfer-Encoding")
	if coded := len(h.fields["Transfer-Encoding"]) > 0; coded {
		switch {
		case len(h.fields["Content-Length"]) > 0: // RFC 9112 section 6.1: the body may hide another request
			return nil, 0, badRequest("a length and a Transfer-Encoding")
		case parts[2] == "HTTP/1.0":
			return nil, 0, badRequest("a Transfer-Encoding in HTTP/1.0")
		case !once || !strings.EqualFold(coding, "chunked"): // no other coding can be decoded, nor its end found
			return nil, 0, &RequestError{Status: 501, Reason: "an unknown Transfer-Encoding"}
		}
	}
	n, err := h.contentLength()
	if err != nil {
		return nil, 0, badRequest(err.Error())
	}
	q := &Request{Method: parts[0], Target: parts[1], expectsContinue: h.hasToken("Expect", "100-continue"), chunked: coding != ""}
	for f, name := range FieldNames {
		for _, text := range h.fields[name] {
			q.Fields.Add(Field(f), text)
		}
	}
	q.Close = h.hasToken("Connection", "close") || parts[2] == "HTTP/1.0" && !h.hasToken("Connection", "keep-alive")
	return q, max(n, 0), nil
}

// visibleASCII reports whether a text may be copied into the head of a request to a backend. With a
// stray line end in it, one request could pass for two.
func visibleASCII(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// Path returns the target without its query.
func (q *Request) Path() string {
	path, _, _ := strings.Cut(q.Target, "?")
	return path
}

// maxID is the longest id or key that is forwarded. Ids are remembered for a while, so their size
// is bounded.
const maxID = 256

// Names maps the names used in requests, replies and lists to the indexes that the settings give
// them.
type Names struct {
	Classes     []string
	RequiresKey []bool          // by class: requests must carry an Idempotency-Key
	Deadlines   []time.Duration // by class: how long a client waits in all
	Tenants     []string
	Zones       []string
	Kinds       []string
	Columns     []string // of a load report
}

// JobRequest is what a client asks for, parsed and validated.
type JobRequest struct {
	Request        balance.Request // ID and Deadline are set by the core
	ID             string
	IdempotencyKey string
	TimeLeft       time.Duration
}

// ReadJobRequest validates a POST request and converts it for the core. What is absent stays zero,
// as in the simulator's adapter.
func (n *Names) ReadJobRequest(q *Request) (w JobRequest, err error) {
	refuse := func(status int, reason string) (JobRequest, error) {
		return JobRequest{}, &RequestError{Status: status, Reason: reason}
	}
	if !visibleASCII(q.Target) {
		return refuse(400, "a bad path")
	}
	for f := range q.Fields {
		if v := &q.Fields[f]; v.Count > 0 && v.Text == "" && Field(f) <= IdempotencyKey { // an empty value differs from an absent field: the client meant to state something
			return refuse(400, "an empty "+FieldNames[f])
		}
	}
	for f := range q.Fields {
		if q.Fields[f].Count > 1 {
			return refuse(400, "a field stands there twice")
		}
	}
	class, timeLeft := q.Fields[ServiceClass].Text, q.Fields[TimeLeft].Text
	w.ID, w.IdempotencyKey = q.Fields[CorrelationID].Text, q.Fields[IdempotencyKey].Text
	if w.ID == "" || !visibleASCII(w.ID) || !visibleASCII(w.IdempotencyKey) || len(w.ID) > maxID || len(w.IdempotencyKey) > maxID {
		return refuse(400, "a bad X-Correlation-Id or Idempotency-Key")
	}
	first, rest, _ := strings.Cut(strings.TrimPrefix(q.Path(), "/"), "/")
	if class == "" {
		class = first
	}
	if class != first { // a backend that reads the class from the other place would run another request
		return refuse(404, "a path that is not of the class")
	}
	w.Request.Class = -1
	for i, name := range n.Classes {
		if name == class {
			w.Request.Class = i
		}
	}
	if w.Request.Class < 0 {
		return refuse(404, "an unknown class")
	}
	if n.RequiresKey[w.Request.Class] && w.IdempotencyKey == "" { // without a key no backend could recognise a repeat
		return refuse(400, "no Idempotency-Key")
	}
	if w.TimeLeft = n.Deadlines[w.Request.Class]; timeLeft != "" {
		ms, err := strconv.ParseUint(timeLeft, 10, 31)
		if err != nil {
			return refuse(400, "a bad X-Time-Left-Ms")
		}
		w.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	if hint := q.Fields[WeightHint].Text; hint != "" { // the client's estimate of the work, in microseconds
		us, err := strconv.ParseFloat(hint, 64)
		if err != nil || !(us >= 0 && us <= maxWeightHint) {
			return refuse(400, "a bad X-Weight-Hint")
		}
		w.Request.Work = us / 1000
	}
	w.Request.Tenant = slices.Index(n.Tenants, q.Fields[Account].Text)
	if w.Request.Tenant < 0 { // absent or not in the settings: counted in no tenant's share
		w.Request.Tenant = len(n.Tenants)
	}
	w.Request.Retry = q.Fields[Repeat].Text == "1"
	w.Request.Key = requestKey(rest)
	for fact := range strings.SplitSeq(q.Fields[Facts].Text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		var to *float64
		switch name {
		case "slots":
			to = &w.Request.Slots
		case "memory":
			to = &w.Request.Memory
		default:
			continue
		}
		v, err := strconv.ParseFloat(value, 32) // single precision, as in the simulator's protocol
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return refuse(400, "a bad X-Facts")
		}
		*to = v
	}
	return w, nil
}

// requestKey returns the key of the object that a request concerns, from the last segment of a path
// that has more than the class. A hexadecimal number is used as it is, other text is hashed; 0
// means none.
func requestKey(rest string) uint64 {
	last := rest[strings.LastIndexByte(rest, '/')+1:]
	if last == "" {
		return 0
	}
	if v, err := strconv.ParseUint(last, 16, 64); err == nil {
		return v
	}
	return Hash(last)
}

// Hash maps a name to 64 bits, identically in every dispatcher.
func Hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
