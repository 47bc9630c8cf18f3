package network

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
)

func (s *Service) hasEnded() bool {
	select {
	case <-s.Ended():
		return true
	default:
		return false
	}
}

// TestSlowReader: an answer of which a client has read one byte when everything else has ended is written to its last byte
// before the process ends, whenever the client connected. The pipe buffers nothing: a write returns when it is read.
func TestSlowReader(t *testing.T) {
	for name, c := range map[string]struct {
		connects, answered, reads time.Duration
		left                      string
	}{
		"who came before the front had stopped": {500 * time.Millisecond, 2400 * time.Millisecond, 5800 * time.Millisecond, "2000"},
		"a stranger":                            {700 * time.Millisecond, 700 * time.Millisecond, 3700 * time.Millisecond, "2000"},
		"in the last moment":                    {3050 * time.Millisecond, 3050 * time.Millisecond, 3700 * time.Millisecond, "450"},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
				begun := time.Now()
				till := func(at time.Duration) { time.Sleep(at - time.Since(begun)); synctest.Wait() }
				w.service.BeginShutdown()
				till(c.connects)
				near, far := net.Pipe()
				defer far.Close()
				go w.clients.admit(near)
				_, err := io.WriteString(far, expand("{req 9a x}"))
				require.NoError(t, err)
				till(c.answered)
				w.play("s1/1 expect POST /ingest?v=1 9a k9a " + c.left + " x\ns1/1 send {started 9a}{done 9a r}")
				one := make([]byte, 1)
				_, err = io.ReadFull(far, one)
				require.NoError(t, err)
				assert.Zero(t, w.core.OpenReqs(), "the answer must be decided")
				till(c.reads)
				assert.False(t, w.service.hasEnded(), "the process ended with part of an answer written")
				a, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(one), far)), nil)
				require.NoError(t, err)
				body, err := io.ReadAll(a.Body)
				require.NoError(t, err)
				assert.Equal(t, "r", string(body))
				time.Sleep(250 * time.Millisecond)
				synctest.Wait()
				assert.True(t, w.service.hasEnded(), "the process must end when nothing is left")
			})
		})
	}
}

// TestReqDuringSessionClose: a request that arrives 1 ms after its session was told to close is taken. The process does not end
// before its answer is written, however slowly that is read.
func TestReqDuringSessionClose(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
		near, far := net.Pipe()
		defer far.Close()
		in := bufio.NewReaderSize(far, 16) // takes less than an answer at a time
		answer := func() string {
			a, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(a.Body)
			require.NoError(t, err)
			return string(body)
		}
		go w.clients.admit(near)
		_, err := io.WriteString(far, expand("{req 9a x}"))
		require.NoError(t, err)
		synctest.Wait()
		w.play("s1/1 expect POST /ingest?v=1 9a k9a 2000 x\ns1/1 send {started 9a}{done 9a r}")
		require.Equal(t, "r", answer())
		begun := time.Now()
		w.service.BeginShutdown()
		time.Sleep(3101 * time.Millisecond) // the update at 3.1 s has told it to close
		_, err = io.WriteString(far, expand("{req 9b x}"))
		require.NoError(t, err)
		synctest.Wait()
		w.play("s1/1 expect POST /ingest?v=1 9b k9b 399 x\ns1/1 send {started 9b}{done 9b last}")
		_, err = in.Peek(1)
		require.NoError(t, err)
		time.Sleep(5800*time.Millisecond - time.Since(begun))
		synctest.Wait()
		assert.Zero(t, w.core.OpenReqs(), "the answer must be decided")
		assert.False(t, w.service.hasEnded(), "the process ended with part of an answer written")
		assert.Equal(t, "last", answer())
	})
}

// TestReqAfterDecisionToEnd: a request that is read when the process has decided to end is refused, and never sent to a
// backend. New connections stay in the listener's queue.
func TestReqAfterDecisionToEnd(t *testing.T) {
	listener := &deadlineRecorder{}
	runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
		w.clients.acceptGate.add(listener)
		w.service.BeginShutdown()
	}, `
		wait 3050ms
		c1 send POST /ingest HTTP/1.1\r\nX-Correlation-Id: 9a\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\n
		wait 170ms`, // a late client with an incomplete request: nobody waits for it
		func(w *fixture) {
			require.True(t, w.service.hasEnded())
			assert.False(t, listener.until.IsZero(), "the accept gate must be closed")
			assert.NotNil(t, w.clients.acceptGate.reopened)
		}, `
		c1 send x
		c1 expect 503 after 0.120 close
		c2 send {req 9b x}
		c2 expect 503 after 0.120 close
		s1/1 expect no connection`)
}

// deadlineRecorder is a listener that records its deadline.
type deadlineRecorder struct {
	net.Listener
	until time.Time
}

func (l *deadlineRecorder) SetDeadline(t time.Time) error { l.until = t; return nil }

// TestNextReqBeforeIdleClose: a client gets an answer that leaves its connection open just before idle sessions are closed,
// and sends its next request a round trip later. That request is read and answered: the connection must stay open long
// enough for the client to use it.
func TestNextReqBeforeIdleClose(t *testing.T) {
	const closing = 3100 * time.Millisecond // after SIGTERM, with a longest deadline of 3 s or more
	for _, trip := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond, 90 * time.Millisecond} {
		t.Run(trip.String(), func(t *testing.T) {
			runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
				begun := time.Now()
				w.service.BeginShutdown()
				near, far := net.Pipe()
				defer far.Close()
				in := bufio.NewReader(far)
				go w.clients.admit(near)
				ask := func(id, left string) *http.Response {
					_, err := io.WriteString(far, expand("{req "+id+" x}"))
					require.NoError(t, err, "the connection was closed as its next request arrived")
					synctest.Wait()
					w.play("s1/1 expect POST /ingest?v=1 " + id + " k" + id + " " + left + " x\ns1/1 send {started " + id + "}{done " + id + " r}")
					a, err := http.ReadResponse(in, nil)
					require.NoError(t, err)
					_, err = io.Copy(io.Discard, a.Body)
					require.NoError(t, err)
					return a
				}
				ask("9", "2000")
				time.Sleep(closing - time.Millisecond)
				first := ask("9a", "401")
				assert.False(t, first.Close, "the connection must stay open")
				time.Sleep(trip)
				left := closing + 400*time.Millisecond - time.Since(begun)
				assert.True(t, ask("9b", fmt.Sprint(left.Milliseconds())).Close)
			})
		})
	}
}
