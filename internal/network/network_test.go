package network

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
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
		t.Run(name, func(t *testing.T) { run(t, list(balance.Ready, "s1"), 9, text) })
	}
}

// TestDrainedWhileConnecting: a backend that drains while a connection to it is being made
// gets nothing, not even what was decided before.
func TestDrainedWhileConnecting(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 9, "s1 wait 100ms\nc1 send {req 9b x}\nwait 50ms",
		func(w *world) { w.core.Listed(balance.ListDelta, list(balance.Draining, "s1")) }, `
		wait 60ms
		s1/1 expect closed
		c2 send GET /health/ready HTTP/1.1\r\n\r\n
		c2 expect 503
		wait 1900ms
		c1 expect 503 after 0.120`)
}

// TestAbandoned: a client that goes away while its attempt is out is owed nothing any more.
func TestAbandoned(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 9, "c1 send {req 9b x}",
		func(w *world) { assert.Equal(t, 1, w.core.Open()) }, "c1 close",
		func(w *world) { assert.Equal(t, 0, w.core.Open()) })
}

// brittle breaks after it has taken so many bytes.
type brittle struct {
	net.Conn
	room int
}

func (b *brittle) Write(p []byte) (int, error) {
	n := min(len(p), b.room)
	if b.room -= n; n < len(p) {
		b.Close()
		return n, io.ErrClosedPipe
	}
	return n, nil
}

// TestBreakWhileWriting: only before a req's last byte is written does a break prove that it
// never ran.
func TestBreakWhileWriting(t *testing.T) {
	job := &core.Job{Method: "POST", Target: "/ingest", ID: "9b", Body: []byte("photo")}
	whole := len(platform.AppendJob(nil, job, "s1", time.Minute, nil)) + len(job.Body)
	for room, want := range map[int]core.Ending{0: core.Unreached, 9: core.Unreached, whole - 1: core.Unreached, whole: core.Broken} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			p := &Pool{Names: &platform.Names{}, Count: &counters.Set{}, Connect: time.Second, Idle: time.Second, Most: 1}
			p.Dial = func(context.Context, string) (net.Conn, error) { return &brittle{near, room}, nil }
			var got []core.Ending
			x := &exchange{backend: &core.Backend{}, body: job.Body, until: time.Now().Add(time.Minute), id: job.ID,
				may: func() bool { return true }, ended: func(e core.Ending, _ string, _ []float32) { got = append(got, e) }}
			x.head = func(left time.Duration) []byte { return platform.AppendJob(nil, job, "s1", left, nil) }
			p.begin(x)
			synctest.Wait()
			far.Close()
			synctest.Wait()
			assert.Equal(t, []core.Ending{want}, got, room)
			assert.Zero(t, p.open, room)
		})
	}
}

// TestProbe: a probe brings a load report, and silence has an end.
func TestProbe(t *testing.T) {
	type found struct {
		ending core.Ending
		report []float32
	}
	var got []found
	backend := &core.Backend{Address: "s1"}
	probe := func(w *world) {
		w.pool.Probe(backend, func(e core.Ending, r []float32) { got = append(got, found{e, r}) })
	}
	run(t, nil, 9, probe, `
		s1/1 expect GET /stats
		s1/1 send HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"x0":2.5}`, probe, `
		s1/1 expect GET /stats
		s1/1 send HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n`, probe, `
		s1/1 expect GET /stats
		wait 2s
		s1/1 expect closed`)
	assert.Equal(t, []found{{core.Served, []float32{2.5}}, {core.Failed, nil}, {core.Overdue, nil}}, got)
}

// TestNotReadyWithoutBackends: the front must not admit a dispatcher that cannot serve.
func TestNotReadyWithoutBackends(t *testing.T) {
	run(t, nil, 9, `
		c1 send GET /health/ready HTTP/1.1\r\n\r\n
		c1 expect 503
		c1 send GET /health/live HTTP/1.1\r\n\r\n
		c1 expect 200`)
}

// TestMovedBackend: nothing goes to an address that the list no longer gives.
func TestMovedBackend(t *testing.T) {
	moved := list(balance.Ready, "s1")
	moved[0].Address = "s2"
	run(t, list(balance.Ready, "s1"), 9, `
		c1 send {req 9b x}
		s1/1 send {started 9b}{done 9b r}
		c1 expect 200 r`,
		func(w *world) { w.core.Listed(balance.ListDelta, moved) }, `
		s1/1 expect POST /ingest?v=1 9b k9b 2000 x
		s1/1 expect closed
		c1 send {req 9c x}
		s2/1 expect POST /ingest?v=1 9c k9c 2000 x`)
	run(t, list(balance.Ready, "s1"), 9, "c1 send {req 9b x}",
		func(w *world) { w.core.Listed(balance.ListDelta, moved) }, `
		s1/1 send {started 9b}{done 9b r}
		c1 expect 200 r
		c1 send {req 9c x}
		s2/1 expect POST /ingest?v=1 9c k9c 2000 x`)
}

// TestBudgets: the idlest session makes room for a new one. Where all are busy, a client is
// told to come back; where all connections to backends are, its req is refused.
func TestBudgets(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 1, `
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

// TestShare: under any limit that the configuration lets pass, all budgets fit.
func TestShare(t *testing.T) {
	for _, limit := range []int{64, 160, 1024} {
		b := Share(limit)
		assert.LessOrEqual(t, b.Clients+b.Backends+kept, limit)
		assert.GreaterOrEqual(t, b.Backends, b.Clients)
		assert.Positive(t, b.Clients)
		assert.Less(t, b.Usual, limit/3)
	}
}

// TestWhoGoesFirst: beyond the budget those go that ask for nothing, and a usual client's
// session last. One that has just connected is not silent yet; its first req, which no client
// repeats by itself, is on its way.
func TestWhoGoesFirst(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 4, `
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

// TestUsualSessionsStayFew: usual clients can hold only so many sessions. Where their idle ones
// add up, the one idle for longest is closed before they run out, but none that was just used.
func TestUsualSessionsStayFew(t *testing.T) {
	serve := func(c, id, conn string) string {
		return fmt.Sprintf("%s send {req %s x}\n%s send {started %s}{done %s r}\n%s expect 200 r\n", c, id, conn, id, id, c)
	}
	run(t, list(balance.Ready, "s1"), 9, func(w *world) { w.clients.Usual = 2 },
		serve("c1", "9a", "s1/1")+"wait 50ms\n"+serve("c2", "9b", "s1/1")+serve("c3", "9c", "s1/1")+`
		wait 6ms
		c1 expect nothing
		wait 50ms
		`+serve("c3", "9d", "s1/1")+`
		wait 6ms
		c1 expect closed
		c2 expect nothing
		`+serve("c2", "9e", "s1/1")+`
		wait 150ms
		c4 send {req 9f x}
		wait 6ms
		c3 expect closed
		c4 expect nothing`)
}

// TestRejected: a req that a backend finds at fault is failed at once and not sent to another
// of its cell, and the backend is as good as before: it gets its half of the next reqs.
func TestRejected(t *testing.T) {
	pair := list(balance.Ready, "s1", "s2")
	pair[1].Cell = pair[0].Cell
	run(t, pair, 9, `
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

// TestFull: where all sessions are owed an answer, new ones are told at once, and accepting
// goes on.
func TestFull(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 1, "c1 send {req 9a x}", func(w *world) {
		for i := range excessMost + 1 {
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
		func(w *world) { assert.Equal(t, int64(1), w.count.SessionsRefused.Load()) })
}

// late is a connection whose bytes lie there when the time to read is up.
type late struct {
	net.Conn
	up bool
}

func (l *late) Read(p []byte) (int, error) {
	if !l.up {
		l.up = true
		return 0, os.ErrDeadlineExceeded
	}
	return l.Conn.Read(p)
}

// TestLastLook: a req that is there when its session is to be closed is answered first.
func TestLastLook(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 9, func(w *world) {
		go w.clients.admit(&late{Conn: w.pipe("c1")})
		go w.peers["c1"].conn.Write([]byte(expand("{req 9b x}")))
	}, `
		s1/1 send {started 9b}{done 9b r}
		c1 expect 200 r`)
}

// TestDirector: the watch goes on at once after each answer, from the version it has; a list
// that cannot be read changes nothing.
func TestDirector(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 9, `
		wait 2600ms
		d/1 expect GET /registry/instances?since=41&timeout_ms=2500
		d/1 send HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":43,"snapshot":false,"endpoints":[]}
		d/1 expect GET /registry/instances?since=43&timeout_ms=2500
		d/1 send HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{"in
		wait 1s
		d/1 expect closed
		d/2 expect GET /registry/instances?since=43&timeout_ms=2500
		c1 send GET /health/ready HTTP/1.1\r\n\r\n
		c1 expect 200
		d/2 send HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{"index":44,"snapshot":true,"endpoints":[]}
		c1 send GET /health/ready HTTP/1.1\r\n\r\n
		c1 expect 503
		d/2 expect GET /registry/instances?since=44&timeout_ms=2500
		d/2 send HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{"index":2,"snapshot":false,"endpoints":[]}
		d/2 expect GET /registry/instances
		wait 4s
		d/3 expect GET /registry/instances`)
}

// TestRedirect: a new address of the director cuts what is under way at the old one, whether
// a call, a connection in the making or a pause, and is asked for the whole list until it has
// told it. What the old one still says changes nothing.
func TestRedirect(t *testing.T) {
	to := func(address string) func(*world) { return func(w *world) { w.watch.Redirect(address) } }
	const whole = `HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{"index":7,"snapshot":true,"endpoints":[]}`
	for name, parts := range map[string][]any{
		"while a call waits": {`
			wait 2600ms
			d/1 expect GET /registry/instances?since=41&timeout_ms=2500`, to("e"), `
			d/1 expect closed
			e/1 expect GET /registry/instances
			e/1 send HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n
			wait 1s
			e/2 expect GET /registry/instances
			e/2 send HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":99,"snapshot":false,"endpoints":[]}
			wait 1s
			e/3 expect GET /registry/instances
			e/3 send ` + whole + `
			e/3 expect GET /registry/instances?since=7&timeout_ms=2500
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 503`},
		"while a connection is made": {"d wait 900ms\nwait 2600ms", to("e"), "e/1 expect GET /registry/instances"},
		"twice, and to the same one": {"wait 2600ms", to("e"), "e/1 expect GET /registry/instances", to("d"), `
			e/1 expect closed
			d/2 expect GET /registry/instances`, to("d"), "d/2 expect nothing"},
		"in a pause after a failure": {"d close\nwait 8s", to("e"), "e/1 expect GET /registry/instances"},
		"before the first call":      {to("e"), "wait 2600ms\ne/1 expect GET /registry/instances\nd/1 expect no connection"},
		"in the midst of an answer": {`
			wait 2600ms
			d/1 send HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{"index":44,"snapshot":true,`, to("e"), `
			d/1 expect GET /registry/instances?since=41&timeout_ms=2500
			d/1 expect closed
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 200`},
	} {
		t.Run(name, func(t *testing.T) { run(t, list(balance.Ready, "s1"), 9, parts...) })
	}
}

// TestDrain: after SIGTERM new connections and reqs are still answered, and sessions stay, for
// as long as reqs can be answered before the kill. Then answers say Connection: close, sessions
// between reqs are closed, and no req that came late outlasts the kill.
func TestDrain(t *testing.T) {
	done := make(chan time.Duration, 1)
	run(t, list(balance.Ready, "s1"), 9, `
		c1 send {req 9a x}
		s1/1 expect POST /ingest?v=1 9a k9a 2000 x`,
		func(w *world) {
			go func() {
				begun := time.Now()
				w.service.Term()
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
		func(*world) { assert.InDelta(t, 3650*time.Millisecond, <-done, float64(50*time.Millisecond)) })
}

// TestDrainInACrowd: slow writers of a req are not cut off as long as they go on, those who stalled are, and
// the shutdown does not wait for strangers who connect late.
func TestDrainInACrowd(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 9, `
		c1 send {req 9a x}
		s1/1 expect POST /ingest?v=1 9a k9a 2000 x
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`,
		func(w *world) { w.service.Term() }, `
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
		func(w *world) {
			select {
			case <-w.service.Ended():
			default:
				assert.Fail(t, "the shutdown goes on")
			}
		})
}

// TestOutOfService: a drain by a call serves what comes, new connections too, closes sessions in
// time, and ends nothing; taken back in its middle or after it, the dispatcher serves as before.
func TestOutOfService(t *testing.T) {
	const health = `GET /health/ready HTTP/1.1\r\n\r\n`
	run(t, list(balance.Ready, "s1"), 9, `
		c1 send {req 9a x}
		s1/1 expect POST /ingest?v=1 9a k9a 2000 x
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`,
		func(w *world) { w.service.Out(); w.service.Out() }, `
		c2 send `+health+`
		c2 expect 503
		wait 150ms
		c3 send {req 9b x}
		s1/1 expect POST /ingest?v=1 9b k9b 2000 x
		s1/1 send {started 9b}{done 9b r}
		c3 expect 200 r
		wait 2s`,
		func(w *world) { assert.True(t, w.service.In()) }, `
		c2 send `+health+`
		c2 expect 200
		wait 10s
		c1 send {req 9c x}
		s1/2 expect POST /ingest?v=1 9c k9c 2000 x
		s1/2 send {started 9c}{done 9c r}
		c1 expect 200 r`,
		func(w *world) { w.service.Out() }, `
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
		func(w *world) { assert.True(t, w.service.In()) }, `
		c6 send `+health+`
		c6 expect 200
		c6 send {req 9e x}
		s1/3 expect POST /ingest?v=1 9e k9e 2000 x
		s1/3 send {started 9e}{done 9e r}
		c6 expect 200 r`,
		func(w *world) { w.service.Out(); time.Sleep(time.Minute); w.service.Term() }, `
		wait 120ms`,
		func(w *world) { <-w.service.Ended() })
}

// TestAfresh: a process that was handed a list asks for the whole one first: versions are of an address, and its own may be
// another.
func TestAfresh(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 9,
		func(w *world) { w.watch.Afresh() }, `
		wait 3s
		d/1 expect GET /registry/instances
		d/1 send HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":2,"snapshot":true,"endpoints":[]  }
		d/1 expect GET /registry/instances?since=2&timeout_ms=2500`)
}

const drained = `HTTP/1.1 200 OK\r\nContent-Length: 130\r\n\r\n{"index":44,"snapshot":false,"endpoints":[{"name":"s1","address":"s1","zone":"a","type":"m","status":"Terminating","since_ms":0}]}`

// TestSilentWatch: a watch that says nothing past its wait is held for silent, and another is made beside it in time for
// a drain that counts as told 6 s after the silence began; what the silent one says after all is still heard.
func TestSilentWatch(t *testing.T) {
	begin := `
		wait 2600ms
		d/1 expect GET /registry/instances?since=41&timeout_ms=2500
		wait 2s
		d/1 expect nothing
		d/2 expect GET /registry/instances?since=41&timeout_ms=2500
		c1 send GET /health/ready HTTP/1.1\r\n\r\n
		c1 expect 200`
	for name, rest := range map[string]string{
		"the new one tells": `
			d/2 send ` + drained + `
			d/1 expect closed
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 503
			d/2 expect GET /registry/instances?since=44&timeout_ms=2500`,
		"the old one was only late": `
			d/1 send ` + drained + `
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 503
			d/2 expect nothing
			d/2 send HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":44,"snapshot":false,"endpoints":[]}
			d/2 expect GET /registry/instances?since=44&timeout_ms=2500`,
		"the old one says what is past": `
			d/2 send HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":45,"snapshot":false,"endpoints":[]}
			d/1 expect closed
			d/2 expect GET /registry/instances?since=45&timeout_ms=2500
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 200`,
		"both are silent": `
			wait 4s
			d/1 expect closed
			d/3 expect GET /registry/instances?since=41&timeout_ms=2500
			d/3 send ` + drained + `
			d/2 expect closed`,
	} {
		t.Run(name, func(t *testing.T) { run(t, list(balance.Ready, "s1"), 9, begin, rest) })
	}
}

// TestSilentAgent: an agent that pushes lists is asked again several times a second while it is silent, and no more often;
// once it speaks, the watch is one and the same again. The settings give no time for asking there.
func TestSilentAgent(t *testing.T) {
	run(t, list(balance.Ready, "s1"), 9, func(w *world) {
		w.watch.mu.Lock() // which the watch takes before it looks
		w.watch.Pace = Pushed()
		w.watch.mu.Unlock()
	}, `
		wait 3s
		d/1 expect GET /registry/instances?since=41&timeout_ms=1000`,
		func(w *world) {
			time.Sleep(10 * time.Second)
			calls := w.count.DirectorCalls.Load()
			assert.InDelta(t, 33, calls, 8, "calls in 10 s of silence")
			w.t.Logf("calls in 10 s of silence: %d", calls)
			w.mu.Lock()
			w.refuse["d"] = true
			w.mu.Unlock()
			time.Sleep(10 * time.Second)
			calls = w.count.DirectorCalls.Load() - calls
			assert.InDelta(t, 65, calls, 30, "calls in 10 s of refusals")
			w.t.Logf("calls in 10 s of refusals: %d", calls)
		})
}
