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

// RequestError is why a client's bytes are refused, as the status of the answer.
type RequestError struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // advice when to come back, 0 for none
}

func (b *RequestError) Error() string { return fmt.Sprintf("%d: %s", b.Status, b.Reason) }

// Request is a whole message of a client. Body is a slice of the buffer it came in.
type Request struct {
	Method, Target  string
	Body            []byte
	Close           bool // the client will send no more on this connection
	Fields          Fields
	expectsContinue bool // it waits to be told to send its body
	chunked         bool // its body comes in chunks
}

// Field is a field of a head that reqs are made of.
type Field uint8

// Fields of a req. Clients write them as FieldNames has them.
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

// maxWeightHint is the heaviest work that a client may guess, in microseconds: a day.
const maxWeightHint = 24 * 3600 * 1e6

// FieldNames are the fields' names, as HTTP/1.1 writes them; in HTTP/2 they are in lower case.
var FieldNames = [fieldCount]string{"X-Correlation-Id", "X-Service-Class", "X-Time-Left-Ms", "Idempotency-Key", "X-Repeat", "X-Facts",
	"X-Weight-Hint", "X-Account"}

// Value is what stands in a field: its first text, and how often it stands there.
type Value struct {
	Text  string
	Count int
}

// Fields are those of one head. A front fills them as it finds them; Read judges them.
type Fields [fieldCount]Value

// Add takes a field down, as it stands in a head.
func (f *Fields) Add(name Field, text string) {
	if v := &f[name]; v.Count == 0 {
		*v = Value{text, 1}
	} else {
		v.Count++
	}
}

// RequestParser takes in what a client sends.
type RequestParser struct {
	buffer
	// Admit, if set, is asked before there is space for so many bytes of a body in all, and refuses
	// it by an error. Of a body in chunks it is asked again as it grows.
	Admit       func(length int) error
	current     *Request
	bodyLength  int // bytes of the body
	chunks      chunkedBody
	err         error
	continueDue bool
}

// Next returns the next whole request, or nil while more bytes are due. An error is a *Bad
// and ends the session.
func (m *RequestParser) Next() (*Request, error) {
	if m.err != nil {
		return nil, m.err
	}
	if m.current == nil {
		for m.start < m.end && (m.data[m.start] == '\r' || m.data[m.start] == '\n') { // empty lines before a request
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
		whole, err := m.chunks.decode(&m.buffer, m.Admit)
		if m.err = err; err != nil || !whole {
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

// WantsContinue says, once for each such request, that the client waits to be told to send on.
func (m *RequestParser) WantsContinue() bool {
	c := m.continueDue
	m.continueDue = false
	return c
}

// Partial says whether a request has begun and is not whole.
func (m *RequestParser) Partial() bool { return m.current != nil || m.start < m.end }

// Buffered is how many bytes lie behind the last request that Next returned.
func (m *RequestParser) Buffered() int { return m.end - m.start }

// DiscardSpace is space for bytes that nobody will read.
func (m *RequestParser) DiscardSpace() []byte {
	if len(m.data) < minReadSpace {
		m.data = make([]byte, minReadSpace)
	}
	return m.data
}

// Done tells that the last request is answered; free, that its bytes are in no use.
func (m *RequestParser) Done(free bool) {
	if free {
		m.rewind()
	}
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
		case len(h.fields["Content-Length"]) > 0: // RFC 9112 section 6.1: the body may hide another req
			return nil, 0, badRequest("a length and a Transfer-Encoding")
		case parts[2] == "HTTP/1.0":
			return nil, 0, badRequest("a Transfer-Encoding in HTTP/1.0")
		case !once || !strings.EqualFold(coding, "chunked"): // nothing else that we could decode, nor guess the end of
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

// visibleASCII says whether a text may go into a head of our own: with a stray line end, one req
// could pass for two.
func visibleASCII(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// Path is the target without its query.
func (q *Request) Path() string {
	path, _, _ := strings.Cut(q.Target, "?")
	return path
}

// maxID is the longest id or key that is passed on. Ids are remembered for a while.
const maxID = 256

// Names are the names that stand on the sockets for the module's numbers.
type Names struct {
	Classes     []string
	RequiresKey []bool          // a class's reqs carry an Idempotency-Key
	Deadlines   []time.Duration // how long a client of each class waits in all
	Tenants     []string
	Zones       []string
	Kinds       []string
	Columns     []string // of a load report
}

// JobRequest is what a client asks for.
type JobRequest struct {
	Request        balance.Request // ID and Deadline are the core's to set
	ID             string
	IdempotencyKey string
	TimeLeft       time.Duration
}

// ReadJobRequest makes a req of a POST. What is absent stays zero, as it does for the simulator's
// adapter.
func (n *Names) ReadJobRequest(q *Request) (w JobRequest, err error) {
	bad := func(status int, reason string) (JobRequest, error) {
		return JobRequest{}, &RequestError{Status: status, Reason: reason}
	}
	if !visibleASCII(q.Target) {
		return bad(400, "a bad path")
	}
	for f := range q.Fields {
		if v := &q.Fields[f]; v.Count > 0 && v.Text == "" && Field(f) <= IdempotencyKey { // not the same as absent: it was to say something
			return bad(400, "an empty "+FieldNames[f])
		}
	}
	for f := range q.Fields {
		if q.Fields[f].Count > 1 {
			return bad(400, "a field stands there twice")
		}
	}
	class, left := q.Fields[ServiceClass].Text, q.Fields[TimeLeft].Text
	w.ID, w.IdempotencyKey = q.Fields[CorrelationID].Text, q.Fields[IdempotencyKey].Text
	if w.ID == "" || !visibleASCII(w.ID) || !visibleASCII(w.IdempotencyKey) || len(w.ID) > maxID || len(w.IdempotencyKey) > maxID {
		return bad(400, "a bad X-Correlation-Id or Idempotency-Key")
	}
	first, rest, _ := strings.Cut(strings.TrimPrefix(q.Path(), "/"), "/")
	if class == "" {
		class = first
	}
	if class != first { // two readings of one request: backends could take another than we do
		return bad(404, "a path that is not of the class")
	}
	w.Request.Class = -1
	for i, name := range n.Classes {
		if name == class {
			w.Request.Class = i
		}
	}
	if w.Request.Class < 0 {
		return bad(404, "an unknown class")
	}
	if n.RequiresKey[w.Request.Class] && w.IdempotencyKey == "" { // no backend could tell its repeat
		return bad(400, "no Idempotency-Key")
	}
	if w.TimeLeft = n.Deadlines[w.Request.Class]; left != "" {
		ms, err := strconv.ParseUint(left, 10, 31)
		if err != nil {
			return bad(400, "a bad X-Time-Left-Ms")
		}
		w.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	if hint := q.Fields[WeightHint].Text; hint != "" { // a guess at the work, in microseconds
		us, err := strconv.ParseFloat(hint, 64)
		if err != nil || !(us >= 0 && us <= maxWeightHint) {
			return bad(400, "a bad X-Weight-Hint")
		}
		w.Request.Work = us / 1000
	}
	w.Request.Tenant = slices.Index(n.Tenants, q.Fields[Account].Text)
	if w.Request.Tenant < 0 { // absent, or none that the settings name: in no tenant's share
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
		v, err := strconv.ParseFloat(value, 32) // as wide as the simulator's
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return bad(400, "a bad X-Facts")
		}
		*to = v
	}
	return w, nil
}

// requestKey is what a request concerns: the last part of a path that has more than the class.
// A hexadecimal number is taken as it is, other text by its hash; 0 is none.
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

// Hash spreads a name over 64 bits, alike at every dispatcher.
func Hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
