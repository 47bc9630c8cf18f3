package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
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

	"tinsail/internal/standin/platform"
)

// TestMain runs the dispatcher instead of the tests if a test started this binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("TINSAIL_TEST_PROGRAM") != "" {
		main()
	}
	os.Exit(m.Run())
}

// program is the real program, started as operators start it, with stand-ins of the director and the backends.
type program struct {
	cmd      *exec.Cmd
	address  [2]string // of HTTP/1.1 and HTTP/2
	logLines chan map[string]any
	director *platform.Director
	backends []*platform.Backend
}

func startProgram(t *testing.T, script string, work time.Duration) *program {
	p := &program{logLines: make(chan map[string]any, 1000)}
	var err error
	p.director, err = platform.StartDirector()
	require.NoError(t, err)
	t.Cleanup(p.director.Close)
	for i := range 3 {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 64, func(string) time.Duration { return work })
		require.NoError(t, err)
		t.Cleanup(b.Close)
		p.backends = append(p.backends, b)
		p.director.Set(b.Entry("fast", "here", i, "Ready"))
	}
	var errs io.Reader
	p.cmd, errs = startServe(t, strings.Replace(string(demoConfig), "127.0.0.1:1", p.director.Address, 1), script)
	go func() {
		defer close(p.logLines)
		for r := bufio.NewScanner(errs); r.Scan(); {
			var line map[string]any
			if json.Unmarshal(r.Bytes(), &line) != nil {
				line = map[string]any{"event": "not a log line", "text": r.Text()}
			}
			p.logLines <- line
		}
	}()
	line := p.awaitEvent(t, "serving")
	p.address[0], _ = line["listen"].(string)
	p.address[1], _ = line["http2"].(string)
	for { // until it knows a ready backend
		answer, err := http.Get("http://" + p.address[0] + "/health/ready")
		require.NoError(t, err)
		answer.Body.Close()
		if answer.StatusCode == 200 {
			return p
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// startServe starts the program's serve command with a configuration and a settings script, and returns its log. The process is
// killed at the end of the test.
func startServe(t testing.TB, config, script string) (*exec.Cmd, io.Reader) {
	dir := t.TempDir()
	conf, set := filepath.Join(dir, "c.json"), filepath.Join(dir, "s.star")
	require.NoError(t, os.WriteFile(conf, []byte(config), 0o600))
	require.NoError(t, os.WriteFile(set, []byte(script), 0o600))
	cmd := exec.Command(os.Args[0], "serve", "--settings", set, "--log-format", "json")
	cmd.Env = append(os.Environ(), "TINSAIL_TEST_PROGRAM=1", "ROUTER_CONFIG="+conf)
	errs, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	return cmd, errs
}

// awaitEvent waits for the log line of an event. It fails the test on output that is not a log line.
func (p *program) awaitEvent(t *testing.T, name string) map[string]any {
	for line := range p.logLines {
		require.NotEqual(t, "not a log line", line["event"], line["text"])
		if line["event"] == name {
			return line
		}
	}
	t.Fatal("no event ", name)
	return nil
}

// TestTermLosesNoReqUnderLoad: a SIGTERM under load over HTTP/2 loses no accepted request. The client of each completed job gets
// its result, and the program ends by itself with code 0.
func TestTermLosesNoReqUnderLoad(t *testing.T) {
	p := startProgram(t, `http2(listen = "127.0.0.1:0")`, 20*time.Millisecond)
	var all sync.WaitGroup
	var served, sent, notAccepted atomic.Int64
	running, stop := make(chan struct{}), make(chan struct{})
	for c := range 4 {
		tr := &http.Transport{Protocols: new(http.Protocols)}
		tr.Protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: tr}
		for k := range 8 {
			all.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					r, err := http.NewRequest("POST", "http://"+p.address[1]+"/photo/1", strings.NewReader("b"))
					if !assert.NoError(t, err) {
						return
					}
					r.GetBody = nil // keeps the client from repeating the request by itself
					id := fmt.Sprintf("t-%d-%d-%d", c, k, i)
					r.Header.Set("X-Correlation-Id", id)
					r.Header.Set("Idempotency-Key", id)
					sent.Add(1)
					answer, err := client.Do(r)
					if err != nil { // the request was not accepted, or the program has ended
						notAccepted.Add(1)
						time.Sleep(10 * time.Millisecond)
						continue
					}
					body, err := io.ReadAll(answer.Body)
					answer.Body.Close()
					if !assert.NoError(t, err, "an incomplete answer") {
						return
					}
					if answer.StatusCode == 200 && assert.Equal(t, "small "+id, string(body)) && served.Add(1) == 300 {
						close(running)
					}
				}
			})
		}
	}
	<-running
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	count := p.awaitEvent(t, "counters")
	p.awaitEvent(t, "ended on a signal")
	close(stop)
	all.Wait()
	assert.NoError(t, p.cmd.Wait())
	done := 0
	for _, b := range p.backends {
		done += b.Counts().Done
		for key, n := range b.RunsByKey() {
			assert.Equal(t, 1, n, key)
		}
	}
	t.Logf("sent %d, served %d, not accepted %d, done by backends %d", sent.Load(), served.Load(), notAccepted.Load(), done)
	assert.Equal(t, float64(served.Load()), count["answers_served"])
	answered := served.Load()
	for _, name := range []string{"answers_refused", "answers_failed"} {
		if n, ok := count[name].(float64); ok {
			answered += int64(n)
		}
	}
	assert.Equal(t, float64(answered), count["reqs_taken"])
}

// TestCurlOnBothFronts: the real program answers curl over HTTP/1.1 and HTTP/2, and SIGHUP applies the settings that can change at
// run time and reports the others.
func TestCurlOnBothFronts(t *testing.T) {
	curl, err := exec.LookPath("curl")
	if err != nil && os.Getenv("CI") == "" {
		t.Skip("curl is not installed; CI installs it")
	}
	require.NoError(t, err)
	p := startProgram(t, `http2(listen = "127.0.0.1:0", max_streams = 7)`, 0)
	for i, version := range []string{"--http1.1", "--http2-prior-knowledge"} {
		id := fmt.Sprint("curl-", i)
		out, err := exec.Command(curl, "-sS", "--max-time", "20", version, "-H", "X-Correlation-Id: "+id, "-H", "Idempotency-Key: "+id,
			"-d", "photo", "-w", " %{http_code}", "http://"+p.address[i]+"/photo/1").CombinedOutput()
		require.NoError(t, err, string(out))
		assert.Equal(t, "small "+id+" 200", string(out))
	}
	set := p.cmd.Args[3]
	require.NoError(t, os.WriteFile(set, []byte(`http2(listen = "127.0.0.1:0", max_streams = 0)`), 0o600))
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	assert.Contains(t, p.awaitEvent(t, "not reloaded")["error"], "http2.max_streams: is 0, want")
	require.NoError(t, os.WriteFile(set, []byte(`http2(listen = "127.0.0.1:1", max_streams = 9)`), 0o600))
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	line := p.awaitEvent(t, "reloaded")
	assert.Equal(t, []any{"http2.max_streams"}, line["changed"])
	assert.Equal(t, []any{"http2.listen"}, line["next_start"])
}

// TestFirstListSetsCapacity: a dispatcher that starts without a known backend accepts as many jobs as the first non-empty list has
// capacity for. An earlier version derived its capacity from the empty list, and refused jobs while backends were idle.
func TestFirstListSetsCapacity(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	for _, b := range h.backends {
		b.Set(platform.Faults{HoldJobs: true})
	}
	p := h.start()
	p.awaitReady()
	const jobs = 30
	statuses := make(chan int, jobs)
	var all sync.WaitGroup
	for i := range jobs {
		c, err := h.dial()
		require.NoError(t, err)
		require.NoError(t, c.sendReq(fmt.Sprint("first-", i)))
		all.Go(func() {
			status, _, _, err := c.readAnswer()
			assert.NoError(t, err)
			statuses <- status
		})
	}
	for h.jobCount() < jobs && len(statuses) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, jobs, h.jobCount(), "all run at once, none is refused")
	for _, b := range h.backends {
		b.Set(platform.Faults{})
	}
	all.Wait()
}
