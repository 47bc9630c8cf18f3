package network

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
)

// TestSessionLimits: the session idle for longest is closed for a new one. Where all are busy, a client is told to come back;
// where all connections to backends are, its request is refused.
func TestSessionLimits(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 1, `
		c1 send GET /health/live HTTP/1.1\r\n\r\n
		c1 expect 200
		c2 send {req 9b x}
		wait 10ms
		c1 expect closed
		s1/1 expect POST /ingest?v=1 9b k9b 2000 x
		c3 send {req 9c x}
		c3 expect 503 after 0.500 close 503: too many clients
		s1/1 send {started 9b}{done 9b r}
		c2 expect 200 r`)
}

// TestSplitDescriptors: the limits fit together under any number of descriptors that the configuration allows.
func TestSplitDescriptors(t *testing.T) {
	for _, limit := range []int{64, 160, 1024} {
		b := SplitDescriptors(limit)
		assert.LessOrEqual(t, b.Clients+b.Backends+reservedDescriptors, limit)
		assert.GreaterOrEqual(t, b.Backends, b.Clients)
		assert.Positive(t, b.Clients)
		assert.Less(t, b.JobSessions, limit/3)
	}
}

// TestShedOrder: beyond the limit sessions without an open request are shed, and idle ones that served a job last. A session
// that has just connected is not shed yet: its first request, which a client does not repeat by itself, is on its way.
func TestShedOrder(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 4, `
		c1 send {req 9a x}
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r
		c2 send POST /ingest HTTP/1.1\r\n
		c3 send
		c4 send GET /health/live HTTP/1.1\r\n\r\n
		c4 expect 200
		wait 800ms
		c5 send
		wait 6ms
		c4 expect closed
		c3 expect nothing
		c6 send
		wait 6ms
		c3 expect closed
		c2 expect nothing
		c7 send
		wait 6ms
		c2 expect 503 after 0.500 close
		c2 expect closed
		c1 expect nothing
		c8 send
		wait 6ms
		c1 expect closed
		c5 expect nothing
		c9 send {req 9c x}
		c9 expect 503 after 0.500 close 503: too many clients
		c5 send {req 9d x}
		s1/1 expect POST /ingest?v=1 9a k9a 2000 x
		s1/1 expect POST /ingest?v=1 9d k9d 2000 x
		wait 250ms
		cA send
		wait 6ms
		c6 expect closed
		c7 expect nothing`)
}

// TestJobSessionLimit: the clients that send jobs can hold only so many sessions. As idle ones add up, the one idle for longest
// is closed before the clients run out of sessions, but none that was used just before.
func TestJobSessionLimit(t *testing.T) {
	serveReq := func(c, id, conn string) string {
		return fmt.Sprintf("%s send {req %s x}\n%s send {started %s}{done %s r}\n%s expect 200 r\n", c, id, conn, id, id, c)
	}
	runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) { w.clients.MaxJobSessions = 2 },
		serveReq("c1", "9a", "s1/1")+"wait 50ms\n"+serveReq("c2", "9b", "s1/1")+serveReq("c3", "9c", "s1/1")+`
		wait 6ms
		c1 expect nothing
		wait 50ms
		`+serveReq("c3", "9d", "s1/1")+`
		wait 6ms
		c1 expect closed
		c2 expect nothing
		`+serveReq("c2", "9e", "s1/1")+`
		wait 150ms
		c4 send {req 9f x}
		wait 6ms
		c3 expect closed
		c4 expect nothing`)
}

// TestAllSessionsBusy: where all sessions have an open request, new clients are refused at once, and accepting goes on.
func TestAllSessionsBusy(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 1, "c1 send {req 9a x}", func(w *fixture) {
		for i := range maxExcessSessions + 1 {
			w.play(fmt.Sprintf("cx%d send", i))
		}
	}, `
		cx16 expect 503 after 0.500 close
		cx16 expect closed
		cx15 expect nothing
		cx15 send {req 9b x}
		cx15 expect 503 after 0.500 close 503: too many clients
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`,
		func(w *fixture) { assert.Equal(t, int64(1), w.count.SessionsRefused.Load()) })
}

// lateConn is a connection whose bytes have arrived when the read deadline passes.
type lateConn struct {
	net.Conn
	timedOut bool
}

func (l *lateConn) Read(p []byte) (int, error) {
	if !l.timedOut {
		l.timedOut = true
		return 0, os.ErrDeadlineExceeded
	}
	return l.Conn.Read(p)
}

// TestFinalRead: a request that has arrived when its session is to be closed is answered first.
func TestFinalRead(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
		go w.clients.admit(&lateConn{Conn: w.newPeer("c1")})
		go w.peers["c1"].conn.Write([]byte(expand("{req 9b x}")))
	}, `
		s1/1 send {started 9b}{done 9b r}
		c1 expect 200 r`)
}
