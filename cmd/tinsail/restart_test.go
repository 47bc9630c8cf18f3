package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/standin/history"
	"tinsail/internal/standin/platform"
)

// TestTermWithBusyConnections: 40 connections are in use at SIGTERM, some with long jobs, and their clients send on each while it
// stays open. Each completely written request gets its one answer before its connection closes, and the process ends by itself.
func TestTermWithBusyConnections(t *testing.T) {
	const connections, before = 40, 400
	p := startProgram(t, "", 0)
	for _, b := range p.backends {
		b.JobDuration = func(id string) time.Duration {
			if id[len(id)-1] == '7' {
				return 300 * time.Millisecond
			}
			return 3 * time.Millisecond
		}
		b.Set(platform.Faults{}) // after JobDuration is set, so that the backend's goroutines see it
	}
	h := &history.History{}
	var all sync.WaitGroup
	var answered, answeredAfterTerm atomic.Int64
	var termSent atomic.Bool
	running := make(chan struct{})
	for c := range connections {
		conn, err := net.Dial("tcp", p.address[0])
		require.NoError(t, err)
		all.Go(func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for i, closing := 0, false; !closing; i++ {
				id := fmt.Sprintf("c%d-%d", c, i)
				r := history.Req{Dispatcher: "demo", ID: id, Deadline: time.Now().Add(5 * time.Second)}
				_, err := fmt.Fprintf(conn, "POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: 1\r\n\r\nb", id, id)
				if err == nil {
					r.SentAt = time.Now()
				}
				h.AddReq(r)
				a, err := http.ReadResponse(in, nil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(a.Body)
					a.Body.Close()
				}
				if err != nil {
					h.AddReset(id, err.Error())
					return
				}
				h.AddAnswer(history.Answer{ID: id, At: time.Now(), Status: a.StatusCode, Body: string(body)})
				if closing = a.Close; termSent.Load() {
					answeredAfterTerm.Add(1)
				}
				if answered.Add(1) == before {
					close(running)
				}
			}
		})
	}
	<-running
	termSent.Store(true)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	all.Wait()
	for range p.logLines {
	}
	assert.NoError(t, p.cmd.Wait())
	for _, b := range p.backends {
		h.AddAttempts(b.Attempts()...)
	}
	t.Logf("answered %d, %d of them after SIGTERM", answered.Load(), answeredAfterTerm.Load())
	assert.Empty(t, h.Check(history.BasicRules(500*time.Millisecond)))
	assert.Greater(t, answeredAfterTerm.Load(), int64(connections), "connections stayed in use after SIGTERM")
}
