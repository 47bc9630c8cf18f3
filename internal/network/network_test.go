package network

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
)

func TestOneBackend(t *testing.T) {
	for name, text := range map[string]string{
		"served, and both connections used again": `
			c1 send {req 9b photo}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 photo
			s1/1 send {started 9b}
			c1 expect nothing
			wait 300ms
			s1/1 send {done 9b small}
			c1 expect 200 small
			c1 send {req 9c photo}
			s1/1 expect POST /ingest?v=1 9c k9c 2000 photo
			s1/1 send {started 9c}{done 9c tiny}
			c1 expect 200 tiny
			s1/2 expect no connection`,
		"the answer does not wait for the end of the reply": `
			c1 send {req 9b x}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			s1/1 send {started 9b}{last 9b r}
			c1 expect 200 r
			c2 send {req 9c x}
			s1/2 expect POST /ingest?v=1 9c k9c 2000 x
			s1/1 send 0\r\n\r\n
			c1 send {req 9d x}
			s1/1 expect POST /ingest?v=1 9d k9d 2000 x`,
		"no connection proves that it never ran": `
			s1 close
			c1 send {req 9b x}
			c1 expect 503 after 0.120`,
		"a connection that never comes up has a timer": `
			s1 wait 1h
			c1 send {req 9b x}
			wait 119ms
			c1 expect nothing
			wait 1ms
			c1 expect 503 after 0.120`,
		"turned away": `
			c1 send {req 9b x}
			s1/1 send HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n
			c1 expect 503 after 0.120`,
		"a break after the last byte may have run": `
			c1 send {req 9b x}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			s1/1 close
			c1 expect 502`,
		"a reply that ends before the last line": `
			c1 send {req 9b x}
			s1/1 send {started 9b}0\r\n\r\n
			c1 expect 502`,
		"failed, and the connection stays": `
			c1 send {req 9b x}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			s1/1 send {started 9b}{failed 9b}
			c1 expect 502
			s1/1 expect nothing`,
		"a bad line ends the attempt and its connection": `
			c1 send {req 9b x}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			s1/1 send {started 9b}{done other r}
			c1 expect 502
			s1/1 expect closed`,
		"silence lasts to the deadline, and gives the attempt up": `
			c1 send {req 9b x}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			wait 1990ms
			c1 expect nothing
			wait 10ms
			c1 expect 502
			s1/1 expect closed`,
		"a deadline counts from the first byte": `
			c1 send POST /ingest HTTP/1.1\r\nX-Correlation-Id: 9b\r\nIdempotency-Key: k\r\nX-Time-Left-Ms: 2000\r\nContent-Length: 2\r\n\r\na
			wait 500ms
			c1 send b
			s1/1 expect POST /ingest 9b k 1500 ab
			wait 1500ms
			c1 expect 502`,
		"a client that goes away is not answered, and its attempt goes on": `
			c1 send {req 9b x}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			c1 close
			s1/1 send {started 9b}{done 9b r}
			c2 send {req 9c x}
			s1/1 expect POST /ingest?v=1 9c k9c 2000 x`,
		"an idle connection is retired before the backend does it": `
			c1 send {req 9b x}
			s1/1 send {started 9b}{done 9b r}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			wait 6990ms
			s1/1 expect nothing
			wait 10ms
			s1/1 expect closed`,
		"a reset at the second req is not the first one's answer": `
			c1 send {req 9b x}
			s1/1 send {started 9b}{done 9b r}
			c1 expect 200 r
			c1 send {req 9c x}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			s1/1 expect POST /ingest?v=1 9c k9c 2000 x
			s1/1 close
			c1 expect 502`,
		"nor is half a head": `
			c1 send {req 9b x}
			s1/1 send {started 9b}{done 9b r}
			c1 expect 200 r
			c1 send {req 9c x}
			s1/1 send HTTP/1.1 2
			c1 expect nothing
			s1/1 send 00 OK\r\nContent-Length: 0\r\n\r\n
			c1 expect 502`,
		"an id that is in use, and one that was": `
			c1 send {req 9b x}
			c2 send {req 9b x}
			c2 expect 409 close 409: this X-Correlation-Id has been used
			s1/1 send {started 9b}{done 9b r}
			c1 expect 200 r
			c3 send {req 9b x}
			c3 expect 409 close 409: this X-Correlation-Id has been used
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			s1/1 expect nothing`,
		"silence from the start": `
			c1 send
			wait 2490ms
			c1 expect nothing
			wait 20ms
			c1 expect closed`,
		"half a req, dripping": `
			c1 send POST /ingest HTTP/1.1\r\n
			wait 2s
			c1 send X-Correlation-Id: 9b\r\n
			wait 490ms
			c1 expect nothing
			wait 20ms
			c1 expect 408 close 408: the rest of the request did not come
			c1 expect closed`,
		"half of a later req": `
			c1 send GET /health/live HTTP/1.1\r\n\r\n
			c1 expect 200
			wait 10s
			c1 send POST /ingest HTTP/1.1\r\n
			wait 2490ms
			c1 expect nothing
			wait 20ms
			c1 expect 408 close 408: the rest of the request did not come`,
		"bodies beyond what may be held are not read": `
			c1 send POST /ingest HTTP/1.1\r\nContent-Length: 6000\r\n\r\n
			c2 send POST /ingest HTTP/1.1\r\nContent-Length: 6000\r\n\r\n
			c2 expect 503 after 0.500 close 503: no room for the body now
			c1 close
			c3 send {req 9b {{6000*z}}}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 {{6000*z}}
			s1/1 send {started 9b}{done 9b r}
			c3 expect 200 r
			c4 send {req 9c {{6000*z}}}
			s1/1 expect POST /ingest?v=1 9c k9c 2000 {{6000*z}}`,
		"an idle connection that broke is not written to": `
			c1 send {req 9b x}
			s1/1 send {started 9b}{done 9b r}
			s1/1 close
			c1 expect 200 r
			c1 send {req 9c x}
			s1/2 expect POST /ingest?v=1 9c k9c 2000 x`,
		"bytes that nobody asked for end an idle connection": `
			c1 send {req 9b x}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			s1/1 send {started 9b}{done 9b r}
			s1/1 send HTTP/1.1
			s1/1 expect closed`,
		"sent ahead": `
			c1 send {req 9b x}{req 9c y}
			s1/1 expect POST /ingest?v=1 9b k9b 2000 x
			s1/1 expect nothing
			s1/1 send {started 9b}{done 9b r}
			c1 expect 200 r
			s1/1 expect POST /ingest?v=1 9c k9c 2000 y`,
		"nonsense": `
			c1 send nonsense\r\n\r\n
			c1 expect 400 close 400: a bad request line
			c1 close`,
		"what is not a job": `
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 200
			c1 send GET /counters HTTP/1.1\r\n\r\n
			c1 expect 200 counters
			c1 send GET /ingest HTTP/1.1\r\n\r\n
			c1 expect 404
			c1 send PUT /ingest HTTP/1.1\r\nContent-Length: 0\r\n\r\n
			c1 expect 405`,
	} {
		t.Run(name, func(t *testing.T) { runScenario(t, newEntries(balance.Ready, "s1"), 9, text) })
	}
}

// TestDrainedWhileConnecting: a backend that begins to drain while a connection to it is being made gets nothing, not even
// attempts that were decided before.
func TestDrainedWhileConnecting(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, "s1 wait 100ms\nc1 send {req 9b x}\nwait 50ms",
		func(w *fixture) { w.core.HandleList(balance.ListDelta, newEntries(balance.Draining, "s1")) }, `
		wait 60ms
		s1/1 expect closed
		c2 send GET /health/ready HTTP/1.1\r\n\r\n
		c2 expect 503
		wait 1900ms
		c1 expect 503 after 0.120`)
}

// TestClientCloseAbandonsReq: after a client closes while its attempt is out, its request is no longer open.
func TestClientCloseAbandonsReq(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, "c1 send {req 9b x}",
		func(w *fixture) { assert.Equal(t, 1, w.core.OpenReqs()) }, "c1 close",
		func(w *fixture) { assert.Equal(t, 0, w.core.OpenReqs()) })
}

// breakingConn breaks after it has taken room bytes.
type breakingConn struct {
	net.Conn
	room int
}

func (b *breakingConn) Write(p []byte) (int, error) {
	n := min(len(p), b.room)
	if b.room -= n; n < len(p) {
		b.Close()
		return n, io.ErrClosedPipe
	}
	return n, nil
}

// TestConnectionBreakWhileWriting: only a break before a request's last byte is written proves that it never ran.
func TestConnectionBreakWhileWriting(t *testing.T) {
	job := &core.Job{Method: "POST", Target: "/ingest", ID: "9b", Body: []byte("photo")}
	total := len(platform.AppendJob(nil, job, "s1", time.Minute, nil)) + len(job.Body)
	for room, want := range map[int]core.Ending{0: core.Unreached, 9: core.Unreached, total - 1: core.Unreached, total: core.Broken} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			p := &Pool{Names: &platform.Names{}, Count: &counters.Set{}, ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxConnections: 1}
			p.Dial = func(context.Context, string) (net.Conn, error) { return &breakingConn{near, room}, nil }
			var got []core.Ending
			x := &exchange{backend: &core.Backend{}, body: job.Body, deadline: time.Now().Add(time.Minute), id: job.ID,
				mayStart: func() bool { return true }, onEnded: func(e core.Ending, _ string, _ []float32) { got = append(got, e) }}
			x.makeHead = func(left time.Duration) []byte { return platform.AppendJob(nil, job, "s1", left, nil) }
			p.startExchange(x)
			synctest.Wait()
			far.Close()
			synctest.Wait()
			assert.Equal(t, []core.Ending{want}, got, room)
			assert.Zero(t, p.open, room)
		})
	}
}

// TestProbe: a probe brings a load report, and a probe without reply times out.
func TestProbe(t *testing.T) {
	type probeResult struct {
		ending core.Ending
		report []float32
	}
	var got []probeResult
	backend := &core.Backend{Address: "s1"}
	probe := func(w *fixture) {
		w.pool.Probe(backend, func(e core.Ending, r []float32) { got = append(got, probeResult{e, r}) })
	}
	runScenario(t, nil, 9, probe, `
		s1/1 expect GET /stats
		s1/1 send HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"x0":2.5}`, probe, `
		s1/1 expect GET /stats
		s1/1 send HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n`, probe, `
		s1/1 expect GET /stats
		wait 2s
		s1/1 expect closed`)
	assert.Equal(t, []probeResult{{core.Served, []float32{2.5}}, {core.Failed, nil}, {core.Overdue, nil}}, got)
}

// TestBackendAddressChange: nothing is sent to an address that the list no longer names.
func TestBackendAddressChange(t *testing.T) {
	moved := newEntries(balance.Ready, "s1")
	moved[0].Address = "s2"
	runScenario(t, newEntries(balance.Ready, "s1"), 9, `
		c1 send {req 9b x}
		s1/1 send {started 9b}{done 9b r}
		c1 expect 200 r`,
		func(w *fixture) { w.core.HandleList(balance.ListDelta, moved) }, `
		s1/1 expect POST /ingest?v=1 9b k9b 2000 x
		s1/1 expect closed
		c1 send {req 9c x}
		s2/1 expect POST /ingest?v=1 9c k9c 2000 x`)
	runScenario(t, newEntries(balance.Ready, "s1"), 9, "c1 send {req 9b x}",
		func(w *fixture) { w.core.HandleList(balance.ListDelta, moved) }, `
		s1/1 send {started 9b}{done 9b r}
		c1 expect 200 r
		c1 send {req 9c x}
		s2/1 expect POST /ingest?v=1 9c k9c 2000 x`)
}

// TestBackendRejectsReq: a request that a backend rejects as invalid fails at once and is not sent to another backend of the
// cell. The backend's rating is unchanged: it gets its half of the next requests.
func TestBackendRejectsReq(t *testing.T) {
	pair := newEntries(balance.Ready, "s1", "s2")
	pair[1].Cell = pair[0].Cell
	runScenario(t, pair, 9, `
		c1 send {req 9b x}
		s1/1 expect POST /ingest?v=1 9b k9b 2000 x
		s1/1 send HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n
		c1 expect 502
		s2/1 expect no connection
		c2 send {req 9c x}
		c3 send {req 9d x}
		s2/1 expect POST /ingest?v=1 9c k9c 2000 x
		s1/1 expect POST /ingest?v=1 9d k9d 2000 x`)
}

const drainedListReply = `HTTP/1.1 200 OK\r\nContent-Length: 130\r\n\r\n{"index":44,"snapshot":false,"endpoints":[{"name":"s1","address":"s1","zone":"a","type":"m","status":"Terminating","since_ms":0}]}`
