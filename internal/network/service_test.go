package network

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
)

// TestNotReadyWithoutBackends: a load balancer must not use a dispatcher that cannot serve.
func TestNotReadyWithoutBackends(t *testing.T) {
	runScenario(t, nil, 9, `
		c1 send GET /health/ready HTTP/1.1\r\n\r\n
		c1 expect 503
		c1 send GET /health/live HTTP/1.1\r\n\r\n
		c1 expect 200`)
}

// TestDrain: after SIGTERM new connections and requests are still answered, and sessions stay open, as long as a request can
// be answered before the process is killed. Then answers say Connection: close, idle sessions are closed, and no late
// request runs past the kill.
func TestDrain(t *testing.T) {
	done := make(chan time.Duration, 1)
	runScenario(t, newEntries(balance.Ready, "s1"), 9, `
		c1 send {req 9a x}
		s1/1 expect POST /ingest?v=1 9a k9a 2000 x`,
		func(w *fixture) {
			go func() {
				begun := time.Now()
				w.service.BeginShutdown()
				<-w.service.Ended()
				done <- time.Since(begun)
			}()
		}, `
		wait 300ms
		c2 send GET /health/ready HTTP/1.1\r\n\r\n
		c2 expect 503
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r
		c3 send {req 9z x}
		s1/1 expect POST /ingest?v=1 9z k9z 2000 x
		wait 1700ms
		s1/1 send {started 9z}{done 9z r}
		c3 expect 200 r
		c1 send {req 9b x}
		s1/1 expect POST /ingest?v=1 9b k9b 1500 x
		s1/1 send {started 9b}{done 9b r}
		c1 expect 200 r
		c2 send {req 9c x}
		s1/1 expect POST /ingest?v=1 9c k9c 1500 x
		wait 1090ms
		c1 expect nothing
		c4 send {req 9d x}
		s1/2 expect POST /ingest?v=1 9d k9d 410 x
		wait 20ms
		c1 expect closed
		s1/2 send {started 9d}{done 9d r}
		c4 expect 200 close r
		wait 380ms
		c2 expect nothing
		wait 15ms
		c2 expect 502 close
		wait 50ms
		c5 send {req 9e x}
		c5 expect 503 after 0.120 close
		wait 150ms`,
		func(*fixture) { assert.InDelta(t, 3650*time.Millisecond, <-done, float64(50*time.Millisecond)) })
}

// TestDrainWithSlowWriters: clients that write a request slowly are not cut off while they go on, stalled ones are, and the
// shutdown does not wait for clients that connect late.
func TestDrainWithSlowWriters(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, `
		c1 send {req 9a x}
		s1/1 expect POST /ingest?v=1 9a k9a 2000 x
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`,
		func(w *fixture) { w.service.BeginShutdown() }, `
		wait 1900ms
		c2 send POST /ingest HTTP/1.1\r\n
		c3 send POST /ingest HTTP/1.1\r\nX-Correlation-Id: 9c\r\n
		wait 700ms
		c3 send Idempotency-Key: k9c\r\nX-Time-Left-Ms: 2000\r\n
		wait 520ms
		c1 expect closed
		c2 expect 503 after 0.500 close
		c3 send Content-Length: 1\r\n\r\n
		c4 send POST
		wait 30ms
		c3 send x
		s1/1 expect POST /ingest 9c k9c 350 x
		s1/1 send {started 9c}{done 9c r}
		c3 expect 200 close r
		wait 140ms`,
		func(w *fixture) {
			select {
			case <-w.service.Ended():
			default:
				assert.Fail(t, "the shutdown has not ended")
			}
		})
}

// TestOutOfService: a drain by an operator's call serves whatever arrives, new connections too, closes sessions in time, and
// does not end the process. Back in service, during the drain or after it, the dispatcher serves as before.
func TestOutOfService(t *testing.T) {
	const health = `GET /health/ready HTTP/1.1\r\n\r\n`
	runScenario(t, newEntries(balance.Ready, "s1"), 9, `
		c1 send {req 9a x}
		s1/1 expect POST /ingest?v=1 9a k9a 2000 x
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`,
		func(w *fixture) { w.service.TakeOutOfService(); w.service.TakeOutOfService() }, `
		c2 send `+health+`
		c2 expect 503
		wait 150ms
		c3 send {req 9b x}
		s1/1 expect POST /ingest?v=1 9b k9b 2000 x
		s1/1 send {started 9b}{done 9b r}
		c3 expect 200 r
		wait 2s`,
		func(w *fixture) { assert.True(t, w.service.ReturnToService()) }, `
		c2 send `+health+`
		c2 expect 200
		wait 10s
		c1 send {req 9c x}
		s1/2 expect POST /ingest?v=1 9c k9c 2000 x
		s1/2 send {started 9c}{done 9c r}
		c1 expect 200 r`,
		func(w *fixture) { w.service.TakeOutOfService() }, `
		wait 3050ms
		c1 expect nothing
		wait 70ms
		c1 expect closed
		c2 expect closed
		c3 expect closed
		wait 900ms
		c4 send `+health+`
		c4 expect 503 close
		wait 10s
		c5 send {req 9d x}
		s1/3 expect POST /ingest?v=1 9d k9d 2000 x
		s1/3 send {started 9d}{done 9d r}
		c5 expect 200 close r`,
		func(w *fixture) { assert.True(t, w.service.ReturnToService()) }, `
		c6 send `+health+`
		c6 expect 200
		c6 send {req 9e x}
		s1/3 expect POST /ingest?v=1 9e k9e 2000 x
		s1/3 send {started 9e}{done 9e r}
		c6 expect 200 r`,
		func(w *fixture) { w.service.TakeOutOfService(); time.Sleep(time.Minute); w.service.BeginShutdown() }, `
		wait 120ms`,
		func(w *fixture) { <-w.service.Ended() })
}
