package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/door"
)

func open(t *testing.T, maxCallers int) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &Server{MaxCallers: maxCallers, Log: zerolog.Nop(), Handle: func(c door.Call) Answer { return Answer{Status: 200, Message: c.Operation.String() + " " + c.Backend} }}
	go s.Serve(l)
	return s, l.Addr().String()
}

func dial(t *testing.T, at, text string) net.Conn {
	c, err := net.Dial("tcp", at)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// read returns the status and body of an answer; the connection must end after it.
func read(t *testing.T, c net.Conn) string {
	r := bufio.NewReader(c)
	a, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	assert.True(t, a.Close)
	_, err = r.ReadByte()
	assert.Equal(t, io.EOF, err)
	return fmt.Sprint(a.StatusCode, " ", strings.TrimSpace(string(body)))
}

// TestSilentCallers: hundreds of callers that send nothing, or half a call, neither keep descriptors nor delay a complete
// call.
func TestSilentCallers(t *testing.T) {
	s, at := open(t, 4)
	for i := range 300 {
		dial(t, at, []string{"", "POST /control/in-serv", "GET /control/ready HTTP/1.1\r\nHost: x\r\n"}[i%3])
		if i%10 == 9 {
			assert.Equal(t, "200 offline b", read(t, dial(t, at, "POST /control/photo-workers/b/offline HTTP/1.1\r\n\r\n")))
		}
	}
	assert.EqualValues(t, 30, s.Count.Calls.Load())
	assert.GreaterOrEqual(t, s.Count.Shed.Load(), int64(290))
}

// TestManyCalls: complete calls beyond the limit of callers are all answered.
func TestManyCalls(t *testing.T) {
	_, at := open(t, 2)
	all := make([]net.Conn, 40)
	for i := range all {
		all[i] = dial(t, at, "")
		go io.WriteString(all[i], "POST /control/out-of-service HTTP/1.1\r\n\r\n")
		if i >= 1 {
			assert.Contains(t, read(t, all[i-1]), "200 out_of_service")
		}
	}
}

// TestMisbehavingCallers: bytes behind a call, invalid calls, and a caller that never reads do not affect other callers.
func TestMisbehavingCallers(t *testing.T) {
	s, at := open(t, 4)
	assert.Equal(t, "200 ready", read(t, dial(t, at, "GET /control/ready HTTP/1.1\r\n\r\nPOST /control/out-of-service HTTP/1.1\r\n\r\n"+strings.Repeat("x", 10_000))))
	assert.Equal(t, "405 this call is a POST", read(t, dial(t, at, "GET /control/in-service HTTP/1.1\r\n\r\n")))
	assert.Equal(t, "431 the head is too long", read(t, dial(t, at, "GET /"+strings.Repeat("x", 20<<10))))
	dial(t, at, "GET /control/ready HTTP/1.1\r\n\r\n") // never read
	assert.Equal(t, "200 in_service", read(t, dial(t, at, "POST /control/in-service HTTP/1.1\r\n\r\n")))
	assert.EqualValues(t, 2, s.Count.Refused.Load())
}
