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
	Method, Target string
	Body           []byte
	Close          bool // the client will send no more on this connection
	Fields         Fields
	expects        bool // it waits to be told to send its body
	chunked        bool // its body comes in chunks
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

// maxHint is the heaviest work that a client may guess, in microseconds: a day.
const maxHint = 24 * 3600 * 1e6

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
	Admit  func(length int) error
	cur    *Request
	need   int // bytes of the body
	chunks chunks
	bad    error
	cont   bool
}

// Next returns the next whole request, or nil while more bytes are due. An error is a *Bad
// and ends the session.
func (m *RequestParser) Next() (*Request, error) {
	if m.bad != nil {
		return nil, m.bad
	}
	if m.cur == nil {
		for m.r < m.w && (m.b[m.r] == '\r' || m.b[m.r] == '\n') { // empty lines before a request
			m.r++
		}
		block, err := m.block()
		if err != nil {
			return nil, m.fail(431, err.Error())
		}
		if block == nil {
			return nil, nil
		}
		if m.cur, m.need, err = readRequest(block); err != nil {
			m.bad = err
			return nil, err
		}
		if m.need > MaxBody {
			return nil, m.fail(413, "the body is too long")
		}
		if m.Admit != nil {
			if m.bad = m.Admit(m.need); m.bad != nil {
				return nil, m.bad
			}
		}
		m.chunks = chunks{}
		m.cont = (m.need > 0 || m.cur.chunked) && m.cur.expects
		if len(m.b)-m.r < m.need {
			m.grow(m.need)
		}
	}
	if m.cur.chunked {
		whole, err := m.chunks.take(&m.buffer, m.Admit)
		if m.bad = err; err != nil || !whole {
			return nil, err
		}
		q := m.cur
		q.Body = m.chunks.body
		m.cur, m.cont, m.chunks = nil, false, chunks{}
		return q, nil
	}
	if m.w-m.r < m.need {
		return nil, nil
	}
	q := m.cur
	q.Body = m.b[m.r : m.r+m.need : m.r+m.need]
	m.r += m.need
	m.cur, m.cont = nil, false
	return q, nil
}

func (m *RequestParser) fail(status int, reason string) error {
	m.bad = &RequestError{Status: status, Reason: reason}
	return m.bad
}

// WantsContinue says, once for each such request, that the client waits to be told to send on.
func (m *RequestParser) WantsContinue() bool {
	c := m.cont
	m.cont = false
	return c
}

// Partial says whether a request has begun and is not whole.
func (m *RequestParser) Partial() bool { return m.cur != nil || m.r < m.w }

// Buffered is how many bytes lie behind the last request that Next returned.
func (m *RequestParser) Buffered() int { return m.w - m.r }

// DiscardSpace is space for bytes that nobody will read.
func (m *RequestParser) DiscardSpace() []byte {
	if len(m.b) < room {
		m.b = make([]byte, room)
	}
	return m.b
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
	parts := strings.Split(h.first, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return nil, 0, badRequest("a bad request line")
	}
	if !plain(parts[0] + parts[1]) {
		return nil, 0, badRequest("a bad request line")
	}
	coding, once := h.one("Transfer-Encoding")
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
	n, err := h.length()
	if err != nil {
		return nil, 0, badRequest(err.Error())
	}
	q := &Request{Method: parts[0], Target: parts[1], expects: h.has("Expect", "100-continue"), chunked: coding != ""}
	for f, name := range FieldNames {
		for _, text := range h.fields[name] {
			q.Fields.Add(Field(f), text)
		}
	}
	q.Close = h.has("Connection", "close") || parts[2] == "HTTP/1.0" && !h.has("Connection", "keep-alive")
	return q, max(n, 0), nil
}

// plain says whether a text may go into a head of our own: with a stray line end, one req
// could pass for two.
func plain(text string) bool {
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
	if !plain(q.Target) {
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
	if w.ID == "" || !plain(w.ID) || !plain(w.IdempotencyKey) || len(w.ID) > maxID || len(w.IdempotencyKey) > maxID {
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
		if err != nil || !(us >= 0 && us <= maxHint) {
			return bad(400, "a bad X-Weight-Hint")
		}
		w.Request.Work = us / 1000
	}
	w.Request.Tenant = slices.Index(n.Tenants, q.Fields[Account].Text)
	if w.Request.Tenant < 0 { // absent, or none that the settings name: in no tenant's share
		w.Request.Tenant = len(n.Tenants)
	}
	w.Request.Retry = q.Fields[Repeat].Text == "1"
	w.Request.Key = key(rest)
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

// key is what a request concerns: the last part of a path that has more than the class.
// A hexadecimal number is taken as it is, other text by its hash; 0 is none.
func key(rest string) uint64 {
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
