package network

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/http2"
)

// helloScript begins a connection of an HTTP/2 client.
const helloScript = `
	h1 send {hello}{ack}
	h1 expect settings
	h1 expect window 0 1
	h1 expect ack
`

func TestHTTP2(t *testing.T) {
	for name, text := range map[string]string{
		"many reqs on one connection, by both fronts": helloScript + `
			h1 send {post 1 x}{data 1 e photo}
			s1/1 expect POST /ingest r1 k1 2000 photo
			h1 send {post 3 e}
			s1/2 expect POST /ingest r3 k3 2000
			c1 send {req 9b x}
			s1/3 expect POST /ingest?v=1 9b k9b 2000 x
			s1/2 send {started r3}{done r3 b}
			h1 expect head 3 200
			h1 expect data 3 b end
			s1/1 send {started r1}{done r1 a}
			h1 expect head 1 200
			h1 expect data 1 a end
			s1/3 send {started 9b}{done 9b c}
			c1 expect 200 c`,
		"a refusal says when to come back": helloScript + `
			s1 close
			h1 send {post 1 e}
			h1 expect head 1 503 retry-after=0.120 end`,
		"a failure": helloScript + `
			h1 send {post 1 e}
			s1/1 send {started r1}{failed r1}
			h1 expect head 1 502 end
			s1/1 expect POST /ingest r1 k1 2000`,
		"a reset after the job has started calls it off and frees its place": helloScript + `
			h1 send {post 1 e}
			s1/1 expect POST /ingest r1 k1 2000
			s1/1 send {started r1}
			h1 send {rst 1}
			s1/1 expect closed
			h1 send {post 3 e}
			s1/2 expect POST /ingest r3 k3 2000
			h1 send {post 5 e}{post 7 e}{post 9 e}
			h1 expect nothing`,
		"more streams than announced": helloScript + `
			h1 send {post 1 x}{post 3 x}{post 5 x}{post 7 x}{post 9 x}
			h1 expect rst 9 REFUSED_STREAM`,
		"a body whose time is up": helloScript + `
			h1 send {post 1 x}{data 1 x ab}
			wait 2490ms
			h1 expect nothing
			wait 10ms
			h1 expect head 1 408 end
			h1 expect rst 1 NO_ERROR
			s1/1 expect no connection`,
		"the fields are validated as HTTP/1.1's are": helloScript + `
			h1 send {head 1 e :method=POST :scheme=http :path=/ingest}
			h1 expect head 1 400
			h1 expect data 1 400: a bad X-Correlation-Id or Idempotency-Key\n end
			h1 send {head 3 e :method=POST :scheme=http :path=/video x-correlation-id=r3}
			h1 expect head 3 404
			h1 expect data 3 404: an unknown class\n end
			h1 send {post 5 e x-repeat=1 x-repeat=1}
			h1 expect head 5 400
			h1 expect data 5 400: a field stands there twice\n end
			h1 send {head 7 e :method=PUT :scheme=http :path=/ingest}
			h1 expect head 7 405
			h1 expect data 7 405: a method that is not POST\n end
			h1 send {head 9 e :method=GET :scheme=http :path=/health/ready}
			h1 expect head 9 200 end
			h1 send {head 11 e :method=HEAD :scheme=http :path=/counters}
			h1 expect head 11 200 end
			h1 send {head 13 e :method=GET :scheme=http :path=/counters}
			h1 expect head 13 200
			h1 expect data 13 counters end`,
		"an id that the other front has in use": helloScript + `
			c1 send {req r1 x}
			h1 send {post 1 e}
			h1 expect head 1 409
			h1 expect data 1 409: this X-Correlation-Id has been used\n end`,
		"silence from the start": `
			h1 send
			wait 2490ms
			h1 expect nothing
			wait 20ms
			h1 expect closed`,
		"half a preface, and no more": `
			h1 send {text PRI * HTT}
			wait 2510ms
			h1 expect closed`,
		"HTTP/1.1 on this port": `
			h1 send {text GET / HTTP/1.1\r\n}
			h1 expect HTTP/1.1 505 HTTP Version Not Supported
			h1 expect closed`,
		"idle for too long": helloScript + `
			wait 179s
			h1 expect nothing
			wait 1010ms
			h1 expect goaway 0 NO_ERROR
			h1 expect closed`,
		"bodies beyond what may be held": helloScript + `
			h1 send {post 1 x content-length=6000}{post 3 x content-length=6000}
			h1 expect rst 3 REFUSED_STREAM
			h1 send {rst 1}{post 5 x content-length=6000}
			h1 expect nothing`,
	} {
		t.Run(name, func(t *testing.T) { runScenario(t, newEntries(balance.Ready, "s1"), 9, text) })
	}
}

// TestHTTP2ResetLetsJobFinish: where a reset does not cancel a job, its stream slot stays taken until the job ends.
func TestHTTP2ResetLetsJobFinish(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
		w.http2.SetLimits(HTTP2Limits{MaxStreams: 1, MaxHeaderBytes: 4096, MaxFrameBytes: 16384, StallTimeout: time.Second, DrainTimeout: time.Second})
	}, helloScript+`
		h1 send {post 1 e}
		s1/1 expect POST /ingest r1 k1 2000
		s1/1 send {started r1}
		h1 send {rst 1}{post 3 e}
		h1 expect rst 3 REFUSED_STREAM
		s1/1 send {done r1 late}
		h1 send {post 5 e}
		s1/1 expect POST /ingest r5 k5 2000
		s1/1 send {started r5}{done r5 b}
		h1 expect head 5 200
		h1 expect data 5 b end`,
		func(w *fixture) { assert.Equal(t, int64(1), w.count.Endings[core.StreamReset].Load()) })
}

// hundredPosts opens a hundred streams at once, the first numbered 1.
func hundredPosts() string {
	var b strings.Builder
	for i := range 100 {
		fmt.Fprintf(&b, "{post %d e}", 2*i+1)
	}
	return b.String()
}

func allowManyStreams(w *fixture) {
	w.http2.SetLimits(HTTP2Limits{MaxStreams: 200, MaxHeaderBytes: 4096, MaxFrameBytes: 16384, StallTimeout: 5 * time.Second, DrainTimeout: 300 * time.Millisecond, CancelOnReset: true})
	w.pool.MaxConnections = 200
}

// heavyBackend is a backend that the dispatch module lets run a hundred jobs at once.
func heavyBackend() []core.Entry {
	l := newEntries(balance.Ready, "s1")
	l[0].Weight = 400
	return l
}

// TestHTTP2ConnectionLost: a connection that breaks with a hundred streams running leaves nothing behind.
func TestHTTP2ConnectionLost(t *testing.T) {
	runScenario(t, heavyBackend(), 9, allowManyStreams, helloScript+"h1 send "+hundredPosts(),
		func(w *fixture) {
			assert.Equal(t, 100, w.core.OpenReqs())
			assert.Equal(t, int64(100), w.count.Attempts.Load())
		}, "h1 close",
		func(w *fixture) {
			assert.Zero(t, w.core.OpenReqs())
			assert.Equal(t, int64(100), w.count.Endings[core.Withdrawn].Load())
			for k := range 100 {
				p := w.peers[fmt.Sprintf("s1/%d", k+1)]
				assert.Regexp(t, "^POST /ingest r", p.nextMessage(false))
				assert.Equal(t, "closed", p.nextMessage(false))
			}
			assert.Zero(t, w.clients.bufferedBytes.Load())
		})
}

// TestHTTP2ClosedWindow: a client that keeps its window closed while a hundred answers wait loses its own streams after the
// stall timeout, and another client is not affected.
func TestHTTP2ClosedWindow(t *testing.T) {
	runScenario(t, heavyBackend(), 300, allowManyStreams, `
		c1 send {req 9b x}
		s1/1 expect POST /ingest?v=1 9b k9b 2000 x
		s1/1 send {started 9b}`, helloScript+"h1 send {set 4 0}\nh1 expect ack\nh1 send "+hundredPosts(),
		func(w *fixture) {
			for k := range 100 { // which request went out on which connection is random
				conn := fmt.Sprintf("s1/%d", k+2)
				id := strings.Fields(w.peers[conn].nextMessage(false))[2]
				w.play(fmt.Sprintf("%s send {started %s}{done %s small}", conn, id, id))
			}
		}, `
		wait 1s
		s1/1 send {done 9b r}
		c1 expect 200 r
		wait 3990ms`,
		func(w *fixture) {
			for range 100 {
				assert.Regexp(t, "^head .* 200$", w.peers["h1"].nextFrame())
			}
			assert.Equal(t, "nothing", w.peers["h1"].nextFrame())
		}, "wait 20ms",
		func(w *fixture) {
			for range 100 {
				assert.Regexp(t, "^rst .* CANCEL$", w.peers["h1"].nextFrame())
			}
			assert.Equal(t, int64(100), w.count.HTTP2Abuse[http2.StalledAnswer].Load())
			assert.Zero(t, w.clients.bufferedBytes.Load())
		}, `
		h1 expect goaway 199 ENHANCE_YOUR_CALM the window stays shut
		h1 expect closed
		c2 send GET /health/live HTTP/1.1\r\n\r\n
		c2 expect 200`)
}

// TestHTTP2Drain: at a shutdown a client is told to drain before its connection is closed, requests that cross that are served,
// and the shutdown ends as soon as everything is answered.
func TestHTTP2Drain(t *testing.T) {
	ended := false
	runScenario(t, newEntries(balance.Ready, "s1"), 9, helloScript+`
		h1 send {post 1 e}
		s1/1 expect POST /ingest r1 k1 2000`,
		func(w *fixture) {
			go func() {
				w.service.BeginShutdown()
				<-w.service.Ended()
				ended = true
			}()
		}, `
		h1 expect goaway open NO_ERROR
		h1 expect ping
		h1 send {post 3 e}{ping 0x7461696c ack}
		h1 expect goaway 3 NO_ERROR
		h1 send {post 5 e}
		s1/2 expect POST /ingest r3 k3 2000
		s1/3 expect no connection
		s1/2 send {started r3}{done r3 b}
		h1 expect head 3 200
		h1 expect data 3 b end
		h1 expect nothing
		s1/1 send {started r1}{done r1 a}
		h1 expect head 1 200
		h1 expect data 1 a end
		h1 expect closed
		h2 send {hello}{head 1 e :method=POST :scheme=http :path=/ingest x-correlation-id=r7 idempotency-key=k7}
		h2 expect settings
		h2 expect window 0 1
		h2 expect ack
		h2 expect goaway open NO_ERROR
		h2 expect ping
		wait 300ms
		h2 expect goaway 1 NO_ERROR
		s1/1 send {started r7}{done r7 late}
		h2 expect head 1 200
		h2 expect data 1 late end
		h2 expect closed
		wait 5s`,
		func(w *fixture) {
			assert.True(t, ended)
			assert.Zero(t, w.core.OpenReqs())
			assert.Zero(t, w.clients.table.count)
		})
}

// TestHTTP2OutOfService: taking the dispatcher out of service also drains this front's connections, and loses none of their
// streams. Back in service, the dispatcher keeps new connections open.
func TestHTTP2OutOfService(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, helloScript+`
		h1 send {post 1 e}
		s1/1 expect POST /ingest r1 k1 2000`,
		func(w *fixture) { w.service.TakeOutOfService() }, `
		h1 expect goaway open NO_ERROR
		h1 expect ping
		h1 send {ping 0x7461696c ack}
		h1 expect goaway 1 NO_ERROR
		s1/1 send {started r1}{done r1 a}
		h1 expect head 1 200
		h1 expect data 1 a end
		h1 expect closed
		wait 5s`,
		func(w *fixture) { assert.True(t, w.service.ReturnToService()) }, `
		h2 send {hello}{head 1 e :method=POST :scheme=http :path=/ingest x-correlation-id=r7 idempotency-key=k7}
		h2 expect settings
		h2 expect window 0 1
		h2 expect ack
		s1/1 send {started r7}{done r7 late}
		h2 expect head 1 200
		h2 expect data 1 late end
		wait 1s
		h2 expect nothing`)
}

// TestHTTP2SessionLimit: idle connections of this front are closed for clients of the other. Where all are busy, streams are
// refused unprocessed.
func TestHTTP2SessionLimit(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 1, func(w *fixture) { w.pool.MaxConnections = 9 }, helloScript+`
		h1 send {post 1 e}
		s1/1 expect POST /ingest r1 k1 2000
		s1/1 send {started r1}{done r1 a}
		h1 expect head 1 200
		h1 expect data 1 a end
		c1 send {req 9b x}
		s1/1 expect POST /ingest?v=1 9b k9b 2000 x
		wait 10ms
		h1 expect goaway 1 NO_ERROR
		h1 expect closed
		h2 send {hello}{ack}{post 1 e}
		h2 expect settings
		h2 expect window 0 1
		h2 expect ack
		h2 expect rst 1 REFUSED_STREAM
		s1/1 send {started 9b}{done 9b r}
		c1 expect 200 r`)
	runScenario(t, newEntries(balance.Ready, "s1"), 1, "c1 send {req 9a x}", func(w *fixture) {
		for i := range maxExcessSessions {
			w.play(fmt.Sprintf("cx%d send", i))
		}
	}, `
		h1 send
		h1 expect settings
		h1 expect window 0 1
		h1 expect goaway 0 ENHANCE_YOUR_CALM too many clients
		h1 expect closed`)
}
