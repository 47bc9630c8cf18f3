package network

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSlowReaderLongDeadline: a client that waits up to 40 s, and begins to read 6 s after its answer is ready, gets all of it.
func TestSlowReaderLongDeadline(t *testing.T) {
	withConfiguredSite(t, "long.json", nil, func(s *configuredSite) {
		near, far := net.Pipe() // buffers no byte: the write of the answer waits for the reader
		defer far.Close()
		go s.clients.admit(near)
		_, err := fmt.Fprint(far, "POST /route-survey HTTP/1.1\r\nX-Correlation-Id: slow\r\nX-Time-Left-Ms: 40000\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(6 * time.Second)
		a, err := http.ReadResponse(bufio.NewReader(far), nil)
		if assert.NoError(t, err) {
			a.Body.Close()
		}
	})
}
