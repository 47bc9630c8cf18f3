package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/config"
	"tinsail/internal/door"
	"tinsail/internal/faultnet"
	"tinsail/internal/handover"
	"tinsail/internal/network/handoff"
	"tinsail/internal/standin/platform"
)

// deployment is one configured dispatcher: a configuration and a folder for temporary files, which its processes
// use one after the other or at the same time.
type deployment struct {
	t             testing.TB
	director      *platform.Director
	backends      []*platform.Backend
	env           []string
	configPath    string
	tempDir       string
	scriptPath    string // the path of a settings script; empty: none
	clientAddress string // where clients connect; set by the first start
	lastID        atomic.Int64
}

// process is one process of a deployment, with its log.
type process struct {
	cmd          *exec.Cmd
	adminAddress string
	logLines     chan map[string]any
}

func newDeployment(t testing.TB, listen string) *deployment {
	h := &deployment{t: t, tempDir: t.TempDir()}
	var err error
	h.director, err = platform.StartDirector()
	require.NoError(t, err)
	t.Cleanup(h.director.Close)
	for i := range 3 {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 64, func(string) time.Duration { return 2 * time.Millisecond })
		require.NoError(t, err)
		t.Cleanup(b.Close)
		h.backends = append(h.backends, b)
		h.director.Set(b.Entry("fast", "here", i, "Ready"))
	}
	h.configPath = filepath.Join(t.TempDir(), "c.json")
	text := strings.NewReplacer(`"127.0.0.1:1"`, `"`+h.director.Address+`"`, `"127.0.0.1:0"`, `"`+listen+`"`).Replace(string(demoConfig))
	require.NoError(t, os.WriteFile(h.configPath, []byte(text), 0o600))
	h.env = append(os.Environ(), "TINSAIL_TEST_PROGRAM=1", "ROUTER_CONFIG="+h.configPath, "ROUTER_ADMIN=127.0.0.1:0", "TMPDIR="+h.tempDir,
		"GORACE=atexit_sleep_ms=0")
	return h
}

// start starts a process and returns once it logs "serving". It may still wait for the process that serves to
// hand over.
func (h *deployment) start() *process {
	p := h.spawn()
	line := p.awaitEvent(h.t, "serving")
	p.adminAddress, _ = line["admin"].(string)
	if h.clientAddress == "" { // all processes share it
		h.clientAddress, _ = line["listen"].(string)
	}
	return p
}

// spawn starts a process and does not wait for any log line.
func (h *deployment) spawn() *process {
	p := &process{cmd: exec.Command(os.Args[0], "serve", "--log-format", "json"), logLines: make(chan map[string]any, 10_000)}
	if h.scriptPath != "" {
		p.cmd.Args = append(p.cmd.Args, "--settings", h.scriptPath)
	}
	p.cmd.Env = h.env
	errs, err := p.cmd.StderrPipe()
	require.NoError(h.t, err)
	require.NoError(h.t, p.cmd.Start())
	h.t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	go func() {
		defer close(p.logLines)
		for r := bufio.NewScanner(errs); r.Scan(); {
			var line map[string]any
			if json.Unmarshal(r.Bytes(), &line) != nil {
				line = map[string]any{"event": r.Text()}
				fmt.Fprintln(os.Stderr, r.Text()) // for example the race detector's report
			}
			p.logLines <- line
		}
	}()
	return p
}

// awaitEvent reads the log up to a line of this event, and fails the test when the process ends first.
func (p *process) awaitEvent(t testing.TB, name string) map[string]any {
	for line := range p.logLines {
		if line["event"] == name {
			return line
		}
	}
	t.Fatal("the log ended without event ", name)
	return nil
}

// call makes a call at the process's control listener for operators, and returns whether the answer was positive.
func (p *process) call(op door.Operation, backend string) bool {
	yes, _, err := callDoor(p.adminAddress, door.Call{Operation: op, Backend: backend})
	return err == nil && yes
}

// awaitReady polls until the process answers that it is ready.
func (p *process) awaitReady() {
	for !p.call(door.Ready, "") {
		time.Sleep(time.Millisecond)
	}
}

// terminate sends SIGTERM and waits for the process to exit with code 0. It may have exited by itself before.
func (p *process) terminate(t *testing.T) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	for range p.logLines {
	}
	assert.NoError(t, p.cmd.Wait())
}

// conn is a client's connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func (h *deployment) dial() (*conn, error) {
	c, err := net.Dial("tcp", h.clientAddress)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

func (c *conn) sendReq(id string) error {
	_, err := fmt.Fprintf(c, "POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: 1\r\n\r\nb", id, id)
	return err
}

// readAnswer reads one answer; closing tells whether the server closes the connection after it.
func (c *conn) readAnswer() (status int, body string, closing bool, err error) {
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return a.StatusCode, string(text), a.Close, err
}

// sendJob sends a job on a connection of its own and returns the status of the answer.
func (h *deployment) sendJob() (status int) {
	c, err := h.dial()
	require.NoError(h.t, err)
	defer c.Close()
	require.NoError(h.t, c.sendReq(fmt.Sprint("one-", h.lastID.Add(1))))
	status, _, _, err = c.readAnswer()
	require.NoError(h.t, err)
	return status
}

// isReady asks for the readiness endpoint as the platform's load balancer does.
func (h *deployment) isReady() bool {
	a, err := http.Get("http://" + h.clientAddress + "/health/ready")
	require.NoError(h.t, err)
	a.Body.Close()
	return a.StatusCode == 200
}

func (h *deployment) jobCount() (n int) {
	for _, b := range h.backends {
		n += b.Counts().Jobs
	}
	return n
}

func (h *deployment) hello() handover.Hello {
	return handover.Hello{Version: handover.Version, Name: "demo", Listen: "127.0.0.1:0"}
}

func (h *deployment) socketPath() string {
	return strings.Replace(statePath(&config.Config{Name: "demo", Listen: "127.0.0.1:0"}, "sock"), os.TempDir(), h.tempDir, 1)
}

// TestUpgrades: under a steady load and through ten upgrades in a row, each job is answered once, with the
// result of a backend, and no connection is refused, reset or closed without an answer.
func TestUpgrades(t *testing.T) { runUpgrades(t, newDeployment(t, "127.0.0.1:0"), 10) }

func runUpgrades(t *testing.T, h *deployment, times int) {
	old := h.start()
	old.awaitReady()
	var all sync.WaitGroup
	var answered atomic.Int64
	stop := make(chan struct{})
	for k := range 8 {
		all.Go(func() {
			var c *conn
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = h.dial(); !assert.NoError(t, err, "refused") {
						return
					}
				}
				id := fmt.Sprintf("u-%d-%d", k, i)
				if !assert.NoError(t, c.sendReq(id), "reset") {
					return
				}
				status, body, closing, err := c.readAnswer()
				if !assert.NoError(t, err, "incomplete answer") || !assert.Equal(t, 200, status) || !assert.Equal(t, "small "+id, body) {
					return
				}
				answered.Add(1)
				if closing || k%2 == 1 { // half the clients use each connection once
					c.Close()
					c = nil
				}
			}
		})
	}
	for range times {
		before := answered.Load()
		for answered.Load() < before+50 && !t.Failed() {
			time.Sleep(time.Millisecond)
		}
		next := h.start()
		next.awaitReady()
		assert.False(t, old.call(door.Ready, ""), "two processes report ready")
		_ = old.cmd.Process.Signal(syscall.SIGTERM) // it may have exited by itself
		count := old.awaitEvent(t, "counters")
		assert.Equal(t, []any{1.0, 0.0, nil, nil}, []any{count["handovers_given"], count["handovers_failed"], count["handover_reqs_cut"], count["handover_sessions_left"]})
		old.terminate(t)
		old = next
	}
	close(stop)
	all.Wait()
	ran := 0
	for _, b := range h.backends {
		for key, n := range b.RunsByKey() {
			assert.Equal(t, 1, n, key)
			ran++
		}
	}
	assert.EqualValues(t, answered.Load(), ran)
	left, err := filepath.Glob(filepath.Join(h.tempDir, "*"))
	require.NoError(t, err)
	for i := range left {
		left[i] = filepath.Ext(left[i])
	}
	assert.Equal(t, []string{".bans", ".old", ".sock"}, left, "one socket, two generations of bans, and no file of processes that have ended")
	old.terminate(t)
	assert.NoFileExists(t, h.socketPath())
}

// TestNewProcessDies: a new process that dies before it has the state, before it accepts or after it accepts
// does no harm. The old process serves and gets back its listener and its share of the sockets.
func TestNewProcessDies(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	old := h.start()
	old.awaitReady()
	for range 3 { // clients that do not speak the protocol
		for _, text := range []string{"", "THO1\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n", "THO1\x00\x00\x00\x05{}"} {
			c, err := net.Dial("unix", h.socketPath())
			require.NoError(t, err)
			_, err = io.WriteString(c, text)
			require.NoError(t, err)
			if text != "" {
				c.Close()
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	assert.Equal(t, 200, h.sendJob())
	for _, ready := range []bool{false, true, true} {
		l, state, files, err := handoff.Join(h.socketPath(), h.hello())
		require.NoError(t, err)
		assert.Equal(t, 512, state.MaxSockets)
		assert.Len(t, state.List, 3)
		require.Len(t, files, 1)
		_, _, _, err = handoff.Join(h.socketPath(), h.hello())
		var no *handoff.Refusal
		require.ErrorAs(t, err, &no)
		assert.True(t, no.Busy)
		third := h.spawn()
		for range third.logLines {
		}
		var code *exec.ExitError
		require.ErrorAs(t, third.cmd.Wait(), &code)
		assert.Equal(t, exitFailed, code.ExitCode(), "a third process is refused and exits")
		if ready {
			require.NoError(t, l.Send(handover.StatusUpdate{Ready: true}))
			done := make(chan struct{})
			go l.Read(func(n handover.StatusUpdate) {
				if n.StoppedAccepting {
					close(done)
				}
			})
			<-done
			assert.False(t, old.call(door.Ready, ""))
		}
		for _, f := range files {
			f.Close()
		}
		l.Close()
		assert.Equal(t, ready, old.awaitEvent(t, "hand-over: the new process is gone")["accepts_again"])
		assert.Equal(t, 200, h.sendJob())
		old.awaitReady()
	}
	_, _, _, err := handoff.Join(h.socketPath(), handover.Hello{Version: 99, Name: "demo", Listen: "127.0.0.1:0"})
	assert.ErrorContains(t, err, "version 99 is not spoken here")
	_, _, _, err = handoff.Join(h.socketPath(), handover.Hello{Version: 1, Name: "other", Listen: "127.0.0.1:0"})
	assert.ErrorContains(t, err, "this is demo")
	old.terminate(t)
}

// TestOldProcessDies: the old process is killed after the new one accepts, or before any new process connects,
// which leaves a stale socket file. The new process serves in both cases, and bans and service state survive.
func TestOldProcessDies(t *testing.T) {
	address, err := faultnet.FreeAddress() // for both: one process is gone before the other starts
	require.NoError(t, err)
	h := newDeployment(t, address)
	old := h.start()
	old.awaitReady()
	assert.True(t, old.call(door.Offline, "b1"))
	assert.True(t, old.call(door.OutOfService, ""))
	require.NoError(t, old.cmd.Process.Kill())
	_ = old.cmd.Wait()
	next := h.start()
	next.awaitReady()
	assert.False(t, h.isReady())
	assert.True(t, next.call(door.InService, ""))
	assert.True(t, h.isReady())
	last := h.start()
	last.awaitReady()
	require.NoError(t, next.cmd.Process.Kill())
	_ = next.cmd.Wait()
	last.awaitEvent(t, "hand-over: the old process is gone")
	for range 30 {
		assert.Equal(t, 200, h.sendJob())
	}
	assert.Zero(t, h.backends[1].Counts().Jobs, "banned at the first of three processes")
	assert.Equal(t, 30, h.jobCount())
}

// Guards against a new process that never asks for a list, and so never serves, where the settings name further sources and
// none but the director names a backend (2026-12-04-list-not-asked).
func TestUpgradeWithFurtherSources(t *testing.T) {
	for _, script := range []string{"backends(director = True)\n", "consul(address = [\"127.0.0.1:1\"], service = \"photo\")\n"} {
		h := newDeployment(t, "127.0.0.1:0")
		h.scriptPath = filepath.Join(t.TempDir(), "s.star")
		require.NoError(t, os.WriteFile(h.scriptPath, []byte(script), 0o600))
		old := h.start()
		waitFor(t, "the first process serves", func() bool { return old.call(door.Ready, "") })
		next := h.start()
		waitFor(t, "the new process serves", func() bool { return next.call(door.Ready, "") })
		old.terminate(t)
		assert.Equal(t, 200, h.sendJob())
		next.terminate(t)
	}
}

// TestBansAcrossUpgrade: a ban set before, during or after an upgrade, at either process, holds in both.
func TestBansAcrossUpgrade(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	old := h.start()
	old.awaitReady()
	assert.False(t, old.call(door.Offline, "b9"), "never listed")
	assert.True(t, old.call(door.Offline, "b0"))
	h.backends[1].Set(platform.Faults{HoldJobs: true})
	h.backends[2].Set(platform.Faults{HoldJobs: true})
	held, err := h.dial() // keeps the old process from exiting
	require.NoError(t, err)
	require.NoError(t, held.sendReq("held"))
	for h.backends[1].Counts().Started+h.backends[2].Counts().Started == 0 {
		time.Sleep(time.Millisecond)
	}
	next := h.start()
	next.awaitReady()
	assert.True(t, old.call(door.Offline, "b1"))
	next.awaitBanned(t, "b0", "b1")
	assert.True(t, next.call(door.Offline, "b2"))
	old.awaitBanned(t, "b0", "b1", "b2")
	assert.False(t, h.isReady(), "all are banned")
	before := h.jobCount()
	assert.Equal(t, 503, h.sendJob())
	assert.Equal(t, before, h.jobCount())
	for _, p := range []*process{old, next} { // a reload between the two
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
		p.awaitEvent(t, "reloaded")
	}
	h.director.Set(h.backends[0].Entry("fast", "here", 0, "Ready"))
	for i := range h.backends {
		h.backends[i].Set(platform.Faults{})
	}
	status, _, _, err := held.readAnswer()
	require.NoError(t, err)
	assert.Equal(t, 200, status, "an attempt that started before the ban is answered")
	assert.True(t, next.call(door.OutOfService, ""))
	assert.True(t, next.call(door.Online, "b0"))
	old.terminate(t)
	assert.False(t, h.isReady())
	assert.True(t, next.call(door.InService, ""))
	for !h.isReady() {
		time.Sleep(time.Millisecond)
	}
	for h.sendJob() != 200 { // the backend is cold: the first jobs may have to wait
		time.Sleep(10 * time.Millisecond)
	}
	assert.Positive(t, h.backends[0].Counts().Jobs)
}

// awaitBanned waits until the process counts as many banned backends as are given.
func (p *process) awaitBanned(t *testing.T, want ...string) {
	for {
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGUSR1))
		line := p.awaitEvent(t, "counters")
		if n, _ := line["banned"].(float64); int(n) == len(want) {
			return
		}
	}
}

// TestNewProcessEndsFirst: the new process is killed or terminated while the old one still has a request to
// answer. The old process serves again. The next upgrade, of a dispatcher that is out of service, leaves it out
// of service.
func TestNewProcessEndsFirst(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		t.Run(sig.String(), func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			old := h.start()
			old.awaitReady()
			for _, b := range h.backends {
				b.Set(platform.Faults{HoldJobs: true})
			}
			held, err := h.dial()
			require.NoError(t, err)
			require.NoError(t, held.sendReq("held"))
			for h.jobCount() == 0 {
				time.Sleep(time.Millisecond)
			}
			next := h.start()
			next.awaitReady()
			require.NoError(t, next.cmd.Process.Signal(sig))
			_ = next.cmd.Wait()
			old.awaitEvent(t, "hand-over: the new process is gone")
			for _, b := range h.backends {
				b.Set(platform.Faults{})
			}
			status, _, _, err := held.readAnswer()
			require.NoError(t, err)
			assert.Equal(t, 200, status)
			assert.Equal(t, 200, h.sendJob())
			old.awaitReady()
			assert.True(t, old.call(door.OutOfService, ""))
			last := h.start()
			last.awaitReady()
			assert.False(t, h.isReady())
			old.terminate(t)
			assert.False(t, h.isReady())
			assert.Equal(t, 200, h.sendJob(), "requests that still arrive are served")
			assert.True(t, last.call(door.InService, ""))
			assert.True(t, h.isReady())
		})
	}
}
