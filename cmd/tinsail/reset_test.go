package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/standin/history"
	"tinsail/internal/standin/platform"
)

// TestUnsafeReqRunsOnceAfterReset: a real process sends requests that must not run twice to backends that reset their connections
// before the last byte was read, after it, and after they reported the start. None may run twice or be refused once it may have
// run. Each client gets its one answer within 20 s, long before its deadline of a minute: a read that waits for the deadline fails.
func TestUnsafeReqRunsOnceAfterReset(t *testing.T) {
	const reqs, wait = 5, 20 * time.Second
	for _, point := range []platform.ResetPoint{platform.BeforeLastByte, platform.BeforeStart, platform.AfterStart} {
		t.Run(fmt.Sprint("point ", point), func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			text, err := os.ReadFile(h.configPath)
			require.NoError(t, err)
			edited := strings.NewReplacer(`"idempotency_key"`, `"non_idempotent"`, `"HardLimitMs": 5000`, `"HardLimitMs": 60000`).Replace(string(text))
			require.NotEqual(t, string(text), edited)
			require.NoError(t, os.WriteFile(h.configPath, []byte(edited), 0o600))
			p := h.start()
			p.awaitReady()
			for i, b := range h.backends {
				if i > 0 || point != platform.BeforeLastByte { // one backend works, for requests that are sent again
					b.Set(platform.Faults{Reset: point})
				}
			}
			seen, body := &history.History{}, strings.Repeat("z", 60_000)
			for i := range reqs {
				c, err := h.dial()
				require.NoError(t, err)
				id := fmt.Sprint("u", i)
				_, err = fmt.Fprintf(c, "POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
				require.NoError(t, err)
				seen.AddReq(history.Req{Dispatcher: "demo", ID: id, Unsafe: true, SentAt: time.Now()})
				require.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
				status, result, _, err := c.readAnswer()
				if err != nil {
					seen.AddReset(id, err.Error())
				} else {
					seen.AddAnswer(history.Answer{ID: id, At: time.Now(), Status: status, Body: result})
				}
				if point != platform.BeforeLastByte {
					require.Equal(t, 502, status)
				}
				c.Close()
			}
			p.terminate(t)
			for _, b := range h.backends {
				seen.AddAttempts(b.Attempts()...)
			}
			assert.Empty(t, seen.Check(history.BasicRules(500*time.Millisecond)))
		})
	}
}
