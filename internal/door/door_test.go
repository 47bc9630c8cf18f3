package door

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// parseInPieces feeds text to a parser in pieces of the given size and returns the result as text.
func parseInPieces(text string, size int) string {
	c := NewParser()
	for {
		call, ok, err := c.Next()
		var refusal *Refusal
		switch {
		case errors.As(err, &refusal):
			return strings.TrimSpace(fmt.Sprint(refusal.Status, " ", refusal.Allow))
		case ok:
			return strings.TrimSpace(call.Operation.String() + " " + call.Backend)
		case text == "":
			return "more"
		}
		n := copy(c.Space(), text[:min(size, len(text))])
		c.Filled(n)
		text = text[n:]
	}
}

func TestParseCalls(t *testing.T) {
	long := strings.Repeat("a", 300)
	for text, want := range map[string]string{
		"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n":                                         "ready",
		"GET /control/ready?now HTTP/1.0\r\n\r\n":                                                "ready",
		"POST /control/out-of-service HTTP/1.1\r\n\r\n":                                          "out_of_service",
		"POST /control/in-service HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}":                       "in_service",
		"POST /control/photo-workers/s-5be2a07c/offline HTTP/1.1\r\n\r\n":                        "offline s-5be2a07c",
		"POST /control/photo-workers/a%20b%2Fc/online HTTP/1.1\r\n\r\n":                          "online a b/c",
		"POST /control/in-service HTTP/1.1\r\n\r\nPOST /control/out-of-service HTTP/1.1\r\n\r\n": "in_service",
		"POST /control/photo-workers/%zz/offline HTTP/1.1\r\n\r\n":                               "400",
		"POST /control/photo-workers//offline HTTP/1.1\r\n\r\n":                                  "404",
		"POST /control/photo-workers/" + long + "/offline HTTP/1.1\r\n\r\n":                      "404",
		"POST /control/photo-workers/a/b/offline HTTP/1.1\r\n\r\n":                               "404",
		"POST /control/photo-workers/a/away HTTP/1.1\r\n\r\n":                                    "404",
		"POST /control/photo-workers/a HTTP/1.1\r\n\r\n":                                         "404",
		"GET / HTTP/1.1\r\n\r\n":                                                                 "404",
		"GET /control/out-of-service HTTP/1.1\r\n\r\n":                                           "405 POST",
		"GET /control/photo-workers/a/offline HTTP/1.1\r\n\r\n":                                  "405 POST",
		"POST /control/ready HTTP/1.1\r\n\r\n":                                                   "405 GET",
		"POST /control/in-service HTTP/1.1\r\nContent-Length: 1025\r\n\r\n":                      "413",
		"POST /control/in-service HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                        "400",
		"nonsense\r\n\r\n": "400",
		"POST /control/in-service HTTP/1.1\r\nX: " + strings.Repeat("b", 20<<10) + "\r\n\r\n": "431",
		"POST /control/in-service HTTP/1.1\r\nHost: x\r\n":                                    "more",
		"POST /control/in-service HTTP/1.1\r\nContent-Length: 4\r\n\r\nab":                    "more",
	} {
		for _, size := range []int{1, 3, 1 << 20} {
			assert.Equal(t, want, parseInPieces(text, size), text[:min(len(text), 80)])
		}
	}
}

// TestMethodAndPathRoundTrip: a call that MethodAndPath writes is parsed back as the same call, whatever the id.
func TestMethodAndPathRoundTrip(t *testing.T) {
	for op := range operationCount {
		for _, id := range []string{"s-1", "a/b c%2f?#", "é\x00"} {
			c := Call{Operation: op}
			if op == Offline || op == Online {
				c.Backend = id
			}
			got, err := ParseCall(c.MethodAndPath())
			require.NoError(t, err)
			assert.Equal(t, c, got)
		}
	}
}
