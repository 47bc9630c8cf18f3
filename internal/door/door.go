// Package door parses the calls on the operators' control listener (the "door") of a running dispatcher:
// HTTP/1.1 (RFC 9112), one call per connection. It works on bytes and does no I/O; the caller carries the calls
// out. Package platform does the framing.
package door

import (
	"errors"
	"net/url"
	"strings"

	"tinsail/internal/platform"
)

// Operation is what a call asks for.
type Operation uint8

// The operations.
const (
	Ready Operation = iota
	Offline
	Online
	OutOfService
	InService
	Metrics // the counters in Prometheus' text form
	operationCount
)

var opNames = [operationCount]string{"ready", "offline", "online", "out_of_service", "in_service", "metrics"}

func (o Operation) String() string { return opNames[o] }

// Call is one call of an operator. Backend is set for Offline and Online.
type Call struct {
	Operation Operation
	Backend   string
}

// Bounds on what a caller may send, in bytes. No call needs a body, but a short one is accepted and ignored,
// since some clients send a body with every POST.
const (
	MaxBody      = 1 << 10
	MaxBackendID = 256
)

// Refusal is the error for an invalid call: the status and text of the answer and, for status 405, the allowed
// method.
type Refusal struct {
	Status int
	Reason string
	Allow  string
}

func (r *Refusal) Error() string { return r.Reason }

// Parser parses the bytes of one connection, which carries a single call.
type Parser struct {
	requests platform.RequestParser
	done     bool
}

func NewParser() *Parser {
	c := &Parser{}
	c.requests.Admit = func(n int) error {
		if n > MaxBody {
			return &platform.RequestError{Status: 413, Reason: "the body is too long: no call needs one"}
		}
		return nil
	}
	return c
}

// Space returns the buffer for the next read. Filled must be called after it.
func (c *Parser) Space() []byte { return c.requests.Space() }

// Filled reports that n bytes have been read into Space.
func (c *Parser) Filled(n int) { c.requests.Filled(n) }

// DiscardSpace returns a buffer for bytes that are discarded.
func (c *Parser) DiscardSpace() []byte { return c.requests.DiscardSpace() }

// Next returns the call once it is complete; ok is false while more bytes are needed. The error is a
// *Refusal. Bytes after the call are ignored.
func (c *Parser) Next() (call Call, ok bool, err error) {
	if c.done {
		return Call{}, false, &Refusal{Status: 400, Reason: "one call to a connection"}
	}
	q, err := c.requests.Next()
	if err != nil {
		c.done = true
		invalid := &platform.RequestError{Status: 400, Reason: "a bad head"}
		errors.As(err, &invalid)
		return Call{}, false, &Refusal{Status: invalid.Status, Reason: invalid.Reason}
	}
	if q == nil {
		return Call{}, false, nil
	}
	c.done = true
	if call, err = ParseCall(q.Method, q.Path()); err != nil {
		return Call{}, false, err
	}
	return call, true, nil
}

// HasInput reports whether the caller has sent any bytes of a call.
func (c *Parser) HasInput() bool { return c.requests.Partial() }

// fixedPaths are the calls without a backend in their path.
var fixedPaths = map[string]struct {
	method string
	op     Operation
}{
	"/control/ready":          {"GET", Ready},
	"/control/out-of-service": {"POST", OutOfService},
	"/control/in-service":     {"POST", InService},
	"/metrics":                {"GET", Metrics},
}

// backendPrefix starts the paths of the calls that name a backend.
const backendPrefix = "/control/photo-workers/"

// ParseCall returns the call for a method and a path. The error is a *Refusal.
func ParseCall(method, path string) (Call, error) {
	unknown := &Refusal{Status: 404, Reason: "no such call"}
	call, want := Call{}, "POST"
	if p, ok := fixedPaths[path]; ok {
		call.Operation, want = p.op, p.method
	} else {
		rest, ok := strings.CutPrefix(path, backendPrefix)
		id, verb, ok2 := strings.Cut(rest, "/")
		if !ok || !ok2 {
			return Call{}, unknown
		}
		switch verb {
		case "offline":
			call.Operation = Offline
		case "online":
			call.Operation = Online
		default:
			return Call{}, unknown
		}
		name, err := url.PathUnescape(id)
		if err != nil {
			return Call{}, &Refusal{Status: 400, Reason: "an id that cannot be decoded"}
		}
		if name == "" || len(name) > MaxBackendID {
			return Call{}, &Refusal{Status: 404, Reason: "no backend has such an id"}
		}
		call.Backend = name
	}
	if method != want {
		return Call{}, &Refusal{Status: 405, Reason: "this call is a " + want, Allow: want}
	}
	return call, nil
}

// MethodAndPath returns a call's method and percent-encoded path, for clients of the control listener.
func (c Call) MethodAndPath() (method, path string) {
	switch c.Operation {
	case Offline, Online:
		return "POST", backendPrefix + url.PathEscape(c.Backend) + "/" + c.Operation.String()
	}
	for path, p := range fixedPaths {
		if p.op == c.Operation {
			return p.method, path
		}
	}
	return "", ""
}

// AppendAnswer appends the answer to a call to b. The connection is closed after it.
func AppendAnswer(b []byte, status int, allow, body string) []byte {
	if allow != "" {
		allow = "Allow: " + allow + "\r\n"
	}
	return platform.AppendAnswerWithFields(b, status, 0, true, allow, body+"\n")
}
