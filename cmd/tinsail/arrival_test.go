package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// timeLeftSlack is how much more time a backend may be told than its client has left.
const timeLeftSlack = 150 * time.Millisecond

// TestTimeLeftCountsKernelQueues: requests wait in the kernel while the process is stopped: on a connection that is not accepted
// yet, on open connections and on an HTTP/2 stream. Backends must be told no more time than the clients have left, and a client
// whose time has passed meanwhile gets an answer without an attempt.
func TestTimeLeftCountsKernelQueues(t *testing.T) {
	const left, stop = 3000 * time.Millisecond, 1200 * time.Millisecond
	h := newDeployment(t, "127.0.0.1:0")
	h.scriptPath = filepath.Join(t.TempDir(), "s.star")
	require.NoError(t, os.WriteFile(h.scriptPath, []byte(`http2(listen = "127.0.0.1:0")`), 0o600))
	p := h.spawn()
	serving := p.awaitEvent(t, "serving")
	h.clientAddress, p.adminAddress = serving["listen"].(string), serving["admin"].(string)
	p.awaitReady()
	timed := func(id string, left time.Duration) string {
		return reqText(id, fmt.Sprintf("X-Time-Left-Ms: %d\r\n", left.Milliseconds()))
	}
	open, short := h.connect(), h.connect()
	for i, c := range []*conn{open, short} {
		c.write(t, reqText(fmt.Sprint("before-", i)))
		c.expectAnswer(t, nil, 200, fmt.Sprint("small before-", i))
	}
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	stream := func(id string) (int, string) {
		r, err := http.NewRequest("POST", "http://"+serving["http2"].(string)+"/photo/1", strings.NewReader("b"))
		require.NoError(t, err)
		r.Header.Set("X-Correlation-Id", id)
		r.Header.Set("Idempotency-Key", id)
		r.Header.Set("X-Time-Left-Ms", fmt.Sprint(left.Milliseconds()))
		a, err := transport.RoundTrip(r)
		require.NoError(t, err)
		defer a.Body.Close()
		body, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		return a.StatusCode, string(body)
	}
	stream("before-h2")

	p.suspend(t)
	sent := map[string]time.Time{}
	send := func(c *conn, id string, left time.Duration) {
		sent[id] = time.Now()
		c.write(t, timed(id, left))
	}
	queued := h.connect()
	send(queued, "queued", left)
	send(open, "open", left)
	send(short, "short", stop/2)
	sent["stream"] = time.Now()
	streamed := make(chan struct{})
	go func() {
		defer close(streamed)
		status, body := stream("stream")
		assert.Equal(t, 200, status)
		assert.Equal(t, "small stream", body)
	}()
	time.Sleep(stop)
	p.sendSignals(t, syscall.SIGCONT)
	queued.expectAnswer(t, nil, 200, "small queued")
	open.expectAnswer(t, nil, 200, "small open")
	short.expectAnswer(t, nil, 503, "")
	<-streamed
	p.terminate(t)
	for _, b := range h.backends {
		for _, a := range b.Attempts() {
			sentAt, known := sent[a.ID]
			if !known {
				continue
			}
			assert.NotEqual(t, "short", a.ID, "its time was over")
			remaining := left - a.LastByteAt.Sub(sentAt)
			assert.LessOrEqual(t, a.TimeLeft, remaining+timeLeftSlack, "%s was told more than its client had left", a.ID)
		}
	}
}
