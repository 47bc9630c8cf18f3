package network

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
)

// TestDirectorWatch: after each answer the next call follows at once, from the version of the answer; a list
// that cannot be read changes nothing.
func TestDirectorWatch(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, `
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

// TestRedirect: a redirect to a new address cancels what is under way at the old one, whether
// a call, a connection attempt or a delay. The new address is asked for the full list until it has
// sent it. What the old one still sends changes nothing.
func TestRedirect(t *testing.T) {
	to := func(address string) func(*fixture) { return func(w *fixture) { w.director.Redirect(address) } }
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
		t.Run(name, func(t *testing.T) { runScenario(t, newEntries(balance.Ready, "s1"), 9, parts...) })
	}
}

// TestRequestFullList: a process that took over a list asks for the full list first: versions are counted per address, and
// its own address may be another one.
func TestRequestFullList(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9,
		func(w *fixture) { w.director.RequestFullList() }, `
		wait 3s
		d/1 expect GET /registry/instances
		d/1 send HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":2,"snapshot":true,"endpoints":[]  }
		d/1 expect GET /registry/instances?since=2&timeout_ms=2500`)
}

// TestSilentWatch: a watch without an answer after its long poll counts as silent, and a backup call is made in time for
// a drain that counts as published 6 s after the silence began; a late answer of the silent call is still used.
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
		"the backup call answers": `
			d/2 send ` + drainedListReply + `
			d/1 expect closed
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 503
			d/2 expect GET /registry/instances?since=44&timeout_ms=2500`,
		"the silent call was only late": `
			d/1 send ` + drainedListReply + `
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 503
			d/2 expect nothing
			d/2 send HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":44,"snapshot":false,"endpoints":[]}
			d/2 expect GET /registry/instances?since=44&timeout_ms=2500`,
		"the silent call is given up": `
			d/2 send HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":45,"snapshot":false,"endpoints":[]}
			d/1 expect closed
			d/2 expect GET /registry/instances?since=45&timeout_ms=2500
			c1 send GET /health/ready HTTP/1.1\r\n\r\n
			c1 expect 200`,
		"both are silent": `
			wait 4s
			d/1 expect closed
			d/3 expect GET /registry/instances?since=41&timeout_ms=2500
			d/3 send ` + drainedListReply + `
			d/2 expect closed`,
	} {
		t.Run(name, func(t *testing.T) { runScenario(t, newEntries(balance.Ready, "s1"), 9, begin, rest) })
	}
}

// TestSilentAgent: an agent that is sent lists is called several times a second while it is silent, and not more often.
// The settings give no interval of asking there.
func TestSilentAgent(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
		w.director.mu.Lock() // the watch takes it before it reads the field
		w.director.Timings = AgentTimings()
		w.director.mu.Unlock()
	}, `
		wait 3s
		d/1 expect GET /registry/instances?since=41&timeout_ms=1000`,
		func(w *fixture) {
			time.Sleep(10 * time.Second)
			calls := w.count.DirectorCalls.Load()
			assert.InDelta(t, 33, calls, 8, "calls in 10 s of silence")
			w.t.Logf("calls in 10 s of silence: %d", calls)
			w.mu.Lock()
			w.refusedDials["d"] = true
			w.mu.Unlock()
			time.Sleep(10 * time.Second)
			calls = w.count.DirectorCalls.Load() - calls
			assert.InDelta(t, 65, calls, 30, "calls in 10 s of refusals")
			w.t.Logf("calls in 10 s of refusals: %d", calls)
		})
}
