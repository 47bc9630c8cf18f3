package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	standin "tinsail/internal/standin/consul"
	"tinsail/internal/standin/platform"
)

// setDeadline sets the hard limit of the class, in ms.
func (h *deployment) setDeadline(ms int) {
	text, err := os.ReadFile(h.configPath)
	require.NoError(h.t, err)
	edited := strings.Replace(string(text), `"HardLimitMs": 5000`, fmt.Sprintf(`"HardLimitMs": %d`, ms), 1)
	require.NotEqual(h.t, string(text), edited)
	require.NoError(h.t, os.WriteFile(h.configPath, []byte(edited), 0o600))
}

// setEntries has the director list these backends and no others.
func (h *deployment) setEntries(entries ...platform.Entry) {
	for i, b := range h.backends {
		h.director.Set(b.Entry("fast", "here", i, "Gone"))
	}
	for _, e := range entries {
		h.director.Set(e)
	}
}

// startScriptedBackend starts a backend whose answers are written by a function of the test.
func startScriptedBackend(t *testing.T, name string, group int, job func(w http.ResponseWriter, line func(rest string))) platform.Entry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Method != "POST" {
			http.NotFound(w, r)
			return
		}
		job(w, func(rest string) {
			fmt.Fprintf(w, `{"id":%q,"from":%q,%s}`+"\n", r.Header.Get("X-Correlation-Id"), name, rest)
			_ = http.NewResponseController(w).Flush()
		})
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return platform.Entry{Name: name, Address: l.Addr().String(), Zone: "here", Type: "fast", Group: group, Status: "Ready", Weight: 8}
}

func (p *process) sendSignals(t *testing.T, all ...syscall.Signal) {
	for _, s := range all {
		require.NoError(t, p.cmd.Process.Signal(s))
	}
}

// suspend stops the process with SIGSTOP and waits until it is stopped. The kernel goes on accepting connections
// and bytes for it.
func (p *process) suspend(t *testing.T) {
	p.sendSignals(t, syscall.SIGSTOP)
	for {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		require.NoError(t, err)
		if _, state, _ := strings.Cut(string(stat), ") "); state[0] == 'T' {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitShutdown waits until the process logs that the shutdown has begun.
func (p *process) awaitShutdown(t *testing.T) {
	for p.awaitEvent(t, "service")["to"] != "shutting down" {
	}
}

func (h *deployment) connect() *conn {
	c, err := h.dial()
	require.NoError(h.t, err)
	h.t.Cleanup(func() { c.Close() })
	return c
}

func (c *conn) write(t *testing.T, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func reqHead(id string, length int, further string) string {
	return fmt.Sprintf("POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n%s\r\n", id, id, length, further)
}

// sendHalfBody sends a request except for its last byte, and returns once the process has read the head.
func (c *conn) sendHalfBody(t *testing.T, id string) {
	c.write(t, reqHead(id, 2, "Expect: 100-continue\r\n"))
	a, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, 100, a.StatusCode)
	c.write(t, "b")
}

// sendHalfHead sends a request together with the first half of the head of another one, and reads the answer to
// the first. It returns the rest of the second request.
func (c *conn) sendHalfHead(t *testing.T, p *timingCheck, id string) (rest string) {
	next := reqHead(id, 1, "") + "b"
	c.write(t, reqHead(id+"-before", 1, "")+"b"+next[:len(next)/2])
	c.expectAnswer(t, p, 200, "small "+id+"-before")
	return next[len(next)/2:]
}

// expectAnswer reads a whole answer and returns whether the server closes the connection after it. When the time
// of the timing check is over, an error status other than the expected one is not counted as a failure, and the
// check records that.
func (c *conn) expectAnswer(t *testing.T, p *timingCheck, status int, body string) (closing bool) {
	t.Helper()
	got, text, closing, err := c.readAnswer()
	require.NoError(t, err)
	if got != status && got != 200 && p.expired() {
		p.skip("status %d instead of %d %s", got, status, body)
		return closing
	}
	assert.Equal(t, status, got)
	if status == 200 {
		assert.Equal(t, body, text)
	}
	return closing
}

// TestTermWithConcurrentEvents: SIGTERM, a second SIGTERM, SIGINT and SIGHUP arrive at the same moment as a
// connection that has not been accepted and the rest of a request, while other requests are half read or at a
// backend. Each whole request is answered, a client that never sends the rest gets an error answer, and the
// process ends by itself.
func TestTermWithConcurrentEvents(t *testing.T) { runTimed(t, termWithConcurrentEvents) }

func termWithConcurrentEvents(t *testing.T, timing *timingCheck) {
	h := newDeployment(t, "127.0.0.1:0")
	h.setDeadline(2000)
	p, _ := h.startReady(t)
	timing.allow(1800 * time.Millisecond)
	soon, later, instant, silent := h.connect(), h.connect(), h.connect(), h.connect()
	soon.sendHalfBody(t, "soon")
	later.sendHalfBody(t, "later")
	instant.sendHalfBody(t, "instant")
	silent.sendHalfBody(t, "silent")
	half, halfSilent := h.connect(), h.connect()
	rest := half.sendHalfHead(t, timing, "half")
	halfSilent.sendHalfHead(t, timing, "half-silent")
	idle := h.connect()
	idle.write(t, reqHead("idle-before", 1, "")+"b")
	idle.expectAnswer(t, timing, 200, "small idle-before")
	for _, b := range h.backends {
		b.Set(platform.Faults{HoldJobs: true})
	}
	held, hung, before := h.connect(), h.connect(), h.jobCount()
	held.write(t, reqHead("held", 1, "")+"b")
	hung.write(t, reqHead("hung", 1, "")+"b")
	for h.jobCount() < before+2 && !timing.expired() {
		time.Sleep(time.Millisecond)
	}
	if n := h.jobCount() - before; n < 2 {
		timing.skip("%d of 2 at a backend when SIGTERM came", n)
	}

	p.suspend(t)
	queued := h.connect()
	queued.write(t, reqHead("queued", 1, "")+"b")
	instant.write(t, "b")
	idle.write(t, reqHead("idle", 1, "")+"b")
	p.sendSignals(t, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGCONT)
	p.awaitShutdown(t)
	assert.False(t, h.isReady())
	p.sendSignals(t, syscall.SIGTERM, syscall.SIGINT)
	soon.write(t, "b")
	half.write(t, rest)
	for _, b := range h.backends {
		b.Set(platform.Faults{})
	}
	held.expectAnswer(t, timing, 200, "small held")
	hung.expectAnswer(t, timing, 200, "small hung")
	soon.expectAnswer(t, timing, 200, "small soon")
	half.expectAnswer(t, timing, 200, "small half")
	queued.expectAnswer(t, timing, 200, "small queued")
	instant.expectAnswer(t, timing, 200, "small instant")
	idle.expectAnswer(t, timing, 200, "small idle")
	time.Sleep(700 * time.Millisecond) // the load balancer has stopped sending by now: requests that arrive get a shorter deadline
	later.write(t, "b")
	later.expectAnswer(t, timing, 200, "small later")
	assert.True(t, silent.expectAnswer(t, nil, 503, ""))
	assert.True(t, halfSilent.expectAnswer(t, nil, 408, ""))
	for range p.logLines {
	}
	assert.NoError(t, p.cmd.Wait(), "it exits by itself")
	ran := 0
	for _, b := range h.backends {
		for key, n := range b.RunsByKey() {
			ran++
			assert.Equal(t, 1, n, key)
			assert.NotContains(t, []string{"silent", "half-silent"}, key, "it was never complete")
		}
	}
	if len(timing.skipped) == 0 {
		assert.Equal(t, 11, ran, "all but the incomplete ones")
	}
}

// TestTermWithHangingBackend: a backend hangs when SIGTERM comes. Each request sent before has its one answer at
// its deadline, and so has one that comes late, before the process would be killed.
func TestTermWithHangingBackend(t *testing.T) { runTimed(t, termWithHangingBackend) }

func termWithHangingBackend(t *testing.T, timing *timingCheck) {
	h := newDeployment(t, "127.0.0.1:0")
	h.setDeadline(1000)
	p, _ := h.startReady(t)
	for _, b := range h.backends {
		b.Set(platform.Faults{HoldJobs: true})
	}
	const reqs = 20
	var all sync.WaitGroup
	var shutdownAt time.Time // when the shutdown was requested; zero before
	var failures sync.Map
	var answered atomic.Int64
	send := func(id string) {
		c, err := h.dial()
		if err == nil {
			t.Cleanup(func() { c.Close() })
			err = c.sendReq(id)
		}
		// A request sent a second or more after SIGTERM may find the process gone, if the machine did not run it meanwhile.
		late := !shutdownAt.IsZero() && time.Since(shutdownAt) > time.Second
		failed := func(err error) bool {
			if err != nil && late {
				timing.skip("%s, sent more than a second after SIGTERM: %v", id, err)
			} else {
				assert.NoError(t, err, id)
			}
			return err != nil
		}
		if failed(err) {
			return
		}
		all.Go(func() {
			status, _, _, err := c.readAnswer()
			answered.Add(1)
			assert.NotEqual(t, 200, status, id)
			if failed(err) {
				failures.Store(id, err)
			}
		})
	}
	for i := range reqs {
		send(fmt.Sprint("before-", i))
	}
	for h.jobCount() < reqs && answered.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if n := h.jobCount(); n < reqs { // the deadline of 1 s has passed already
		timing.skip("%d of %d at a backend when SIGTERM came", n, reqs)
	}
	shutdownAt = time.Now()
	p.sendSignals(t, syscall.SIGTERM)
	p.awaitShutdown(t)
	for i := range 10 { // up to 0.9 s after SIGTERM
		send(fmt.Sprint("after-", i))
		time.Sleep(90 * time.Millisecond)
	}
	all.Wait()
	for range p.logLines {
	}
	assert.NoError(t, p.cmd.Wait())
	for _, b := range h.backends {
		for _, a := range b.Attempts() {
			err, found := failures.Load(a.ID)
			assert.False(t, found, "%s was sent to a backend and not answered: %v", a.ID, err)
		}
	}
}

// TestTermRetryDue: a request waits for a backend when SIGTERM comes, and its first attempt is returned
// unprocessed after that. It is sent once more, and answered.
func TestTermRetryDue(t *testing.T) { runTimed(t, termRetryDue) }

func termRetryDue(t *testing.T, timing *timingCheck) {
	h := newDeployment(t, "127.0.0.1:0")
	first, refuse := make(chan struct{}), make(chan struct{})
	var once sync.Once
	job := func(w http.ResponseWriter, line func(string)) {
		mine := false
		if once.Do(func() { mine = true }); mine {
			close(first)
			<-refuse
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		line(`"state":"started"`)
		line(`"state":"done","result":"second try"`)
	}
	entries := []platform.Entry{startScriptedBackend(t, "s0", 0, job), startScriptedBackend(t, "s1", 1, job)}
	list := func(status string) (last platform.Change) {
		for _, e := range entries {
			e.Status = status
			last = h.director.Set(e)
		}
		return last
	}
	h.setEntries(entries...)
	p, _ := h.startReady(t)
	list("Gone")
	for h.isReady() {
		time.Sleep(time.Millisecond)
	}
	timing.allow(4 * time.Second)
	held := h.connect()
	held.write(t, reqHead("held", 1, "")+"b")
	for h.counter("reqs_taken") == 0 {
	}
	p.sendSignals(t, syscall.SIGTERM)
	p.awaitShutdown(t)
	change := list("Ready")
	<-first
	for calls := h.director.MainListener().Calls(); ; calls = h.director.MainListener().Calls() { // it polls for a newer list: it has both entries
		if n := len(calls); n > 1 && calls[n-1].EndedAt.IsZero() && calls[n-2].Index >= change.Index {
			break
		}
		time.Sleep(time.Millisecond)
	}
	close(refuse)
	held.expectAnswer(t, timing, 200, "second try")
	held.Close()
	p.terminate(t)
}

// TestTermNotReady: SIGTERM comes while the process has no list yet and the director is down. A request that
// waits for the list is answered, so is one in the accept queue of the listener, and the process ends.
func TestTermNotReady(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	h.setDeadline(1000)
	h.director.SetDown(true)
	p := h.start()
	held := h.connect()
	held.write(t, reqHead("held", 1, "")+"b")
	for h.counter("reqs_taken") == 0 {
	}
	p.suspend(t)
	queued := h.connect()
	queued.write(t, reqHead("queued", 1, "")+"b")
	p.sendSignals(t, syscall.SIGTERM, syscall.SIGCONT)
	held.expectAnswer(t, nil, 503, "")
	queued.expectAnswer(t, nil, 503, "")
	for range p.logLines {
	}
	assert.NoError(t, p.cmd.Wait())
	assert.Zero(t, h.jobCount())
}

// counter returns one of the process's counters, and fails the test where it has none of that name.
func (h *deployment) counter(name string) (n int) {
	a, err := http.Get("http://" + h.clientAddress + "/counters")
	require.NoError(h.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(h.t, err)
	_, rest, _ := strings.Cut(string(text), "counter "+name+" ")
	_, err = fmt.Sscan(rest, &n)
	require.NoError(h.t, err)
	return n
}

// TestTermSlowReader: an answer is half written, to a client that reads slowly, when SIGTERM comes. The client
// gets all of it.
func TestTermSlowReader(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	result := strings.Repeat("r", 60_000)
	h.setEntries(startScriptedBackend(t, "s0", 0, func(_ http.ResponseWriter, line func(string)) {
		line(`"state":"started"`)
		line(`"state":"done","result":"` + result + `"`)
	}))
	p, _ := h.startReady(t)
	// Small segments and a small window: the kernels at both ends hold less than the answer.
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		control := raw.Control(func(fd uintptr) {
			if err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 500); err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048)
			}
		})
		if err == nil {
			err = control
		}
		return err
	}}
	slow, err := d.Dial("tcp", h.clientAddress)
	require.NoError(t, err)
	defer slow.Close()
	_, err = io.WriteString(slow, reqHead("slow", 1, "")+"b")
	require.NoError(t, err)
	one := make([]byte, 1)
	_, err = io.ReadFull(slow, one)
	require.NoError(t, err)
	p.sendSignals(t, syscall.SIGTERM)
	p.awaitShutdown(t)
	require.NoError(t, slow.(*net.TCPConn).SetReadBuffer(1<<20))
	text, err := io.ReadAll(slow) // until the process closes the connection
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(one)+string(text), "HTTP/1.1 200 OK\r\n"))
	assert.True(t, strings.HasSuffix(string(text), "\r\n\r\n"+result), "the answer ended after %d bytes", len(text))
	p.terminate(t)
}

// TestTermWithIdleClients: idle clients each send a request at the same moment: when their connection is closed,
// or when the process ends. Each request is answered whole, or was never sent to a backend.
func TestTermWithIdleClients(t *testing.T) {
	for name, wakes := range map[string]time.Duration{ // since SIGTERM; the deadline is 1 s, the kill is due at 1.7 s
		"as sessions close":      1150 * time.Millisecond,
		"as the process ends":    1300 * time.Millisecond,
		"when it should be gone": 3000 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			h.setDeadline(1000)
			p, _ := h.startReady(t)
			var resting []*conn
			for i := range 40 {
				c := h.connect()
				c.write(t, reqHead(fmt.Sprint("before-", i), 1, "")+"b")
				_, _, _, err := c.readAnswer()
				require.NoError(t, err)
				resting = append(resting, c)
			}
			p.sendSignals(t, syscall.SIGTERM)
			termAt := time.Now()
			p.awaitShutdown(t)
			p.suspend(t) // before any connection is closed, which is within a second
			for i, c := range resting {
				_ = c.sendReq(fmt.Sprint("then-", i)) // fails if the machine was slow and the connection is closed already
			}
			time.Sleep(wakes - time.Since(termAt))
			p.sendSignals(t, syscall.SIGCONT)
			answered := map[string]bool{}
			for i, c := range resting {
				if _, _, _, err := c.readAnswer(); err == nil {
					answered[fmt.Sprint("then-", i)] = true
				} else {
					t.Logf("then-%d: %v", i, err)
				}
			}
			for range p.logLines {
			}
			assert.NoError(t, p.cmd.Wait())
			for _, b := range h.backends {
				for _, a := range b.Attempts() {
					assert.True(t, answered[a.ID] || strings.HasPrefix(a.ID, "before-"), "%s was sent to a backend and not answered", a.ID)
				}
			}
			t.Logf("%d of 40 answered", len(answered))
		})
	}
}

// TestTermWithSilentAgent: the health check fails right after SIGTERM, although the agent of the Consul
// catalogue, whose registration is changed too, never answers.
func TestTermWithSilentAgent(t *testing.T) {
	agent, err := standin.Start()
	require.NoError(t, err)
	t.Cleanup(agent.Close)
	h := newDeployment(t, "127.0.0.1:0")
	h.scriptPath = filepath.Join(t.TempDir(), "s.star")
	require.NoError(t, os.WriteFile(h.scriptPath, []byte(`consul(address = [`+strconv.Quote(agent.Address)+`], service = "photo", register = "origin")
backends(director = True)`), 0o600))
	p, _ := h.startReady(t)
	for len(agent.ServiceStatuses()) == 0 {
		time.Sleep(time.Millisecond)
	}
	agent.SetFaults(standin.Faults{Silent: true})
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	for { // whichever event comes first
		line := <-p.logLines
		if line["event"] == "consul registration not changed" {
			require.Fail(t, "the shutdown waited until the agent timed out")
		}
		if line["event"] == "service" {
			assert.Equal(t, "shutting down", line["to"])
			break
		}
	}
	assert.False(t, h.isReady())
	agent.SetFaults(standin.Faults{})
	p.terminate(t)
}
