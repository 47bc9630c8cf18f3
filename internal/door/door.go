// Package door reads what operators ask of a running dispatcher: HTTP/1.1 (RFC 9112), one call to a
// connection, as the operators' page has it. It is fed bytes and knows no socket; what a call does
// is not its business. The framing is package platform's.
package door

import (
	"errors"
	"net/url"
	"strings"

	"tinsail/internal/platform"
)

// Operation is what a call asks for.
type Operation uint8

// Calls.
const (
	Ready Operation = iota
	Offline
	Online
	OutOfService
	InService
	Metrics // the counters in Prometheus' text form
	ops
)

var opNames = [ops]string{"ready", "offline", "online", "out_of_service", "in_service", "metrics"}

func (o Operation) String() string { return opNames[o] }

// Call is one call. Backend is set for Offline and Online.
type Call struct {
	Operation Operation
	Backend   string
}

// Bounds on what a caller may send. No call needs a body; a short one is read and left aside,
// since some callers send one with every POST.
const (
	MaxBody      = 1 << 10
	MaxBackendID = 256
)

// Refusal is why there is no call: the status of the answer, and for 405 what is allowed.
type Refusal struct {
	Status int
	Reason string
	Allow  string
}

func (r *Refusal) Error() string { return r.Reason }

// Parser is one connection's calls. It hands out one and no more.
type Parser struct {
	requests platform.RequestParser
	done     bool
}

// NewParser makes a machine for a connection.
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

// Space is where the next bytes are to be read, Filled tells how many were.
func (c *Parser) Space() []byte { return c.requests.Space() }

// Filled tells that n bytes have been read into Space.
func (c *Parser) Filled(n int) { c.requests.Filled(n) }

// DiscardSpace is space for bytes that nobody will read.
func (c *Parser) DiscardSpace() []byte { return c.requests.DiscardSpace() }

// Next returns the call once it is whole; ok is false while more bytes are due. The error is a
// *Refusal. What comes behind the call is never looked at.
func (c *Parser) Next() (call Call, ok bool, err error) {
	if c.done {
		return Call{}, false, &Refusal{Status: 400, Reason: "one call to a connection"}
	}
	q, err := c.requests.Next()
	if err != nil {
		c.done = true
		bad := &platform.RequestError{Status: 400, Reason: "a bad head"}
		errors.As(err, &bad)
		return Call{}, false, &Refusal{Status: bad.Status, Reason: bad.Reason}
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

// HasInput says whether the caller has sent anything.
func (c *Parser) HasInput() bool { return c.requests.Partial() }

// fixedPaths are the calls that name nothing.
var fixedPaths = map[string]struct {
	method string
	op     Operation
}{
	"/control/ready":          {"GET", Ready},
	"/control/out-of-service": {"POST", OutOfService},
	"/control/in-service":     {"POST", InService},
	"/metrics":                {"GET", Metrics},
}

// backendPrefix is of the calls that name a backend.
const backendPrefix = "/control/photo-workers/"

// ParseCall makes a call of a method and a path. The error is a *Refusal.
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

// MethodAndPath is a call's method and path, percent-coded, for those who make it.
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

// AppendAnswer writes the answer to a call; the connection ends with it.
func AppendAnswer(b []byte, status int, allow, body string) []byte {
	if allow != "" {
		allow = "Allow: " + allow + "\r\n"
	}
	return platform.AppendAnswerWithFields(b, status, 0, true, allow, body+"\n")
}
