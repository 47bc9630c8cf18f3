package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/door"
)

// runControl runs the control command and returns its exit code and its output.
func runControl(args ...string) (int, string) {
	var out bytes.Buffer
	code := execute(append([]string{"control"}, args...), &out, &out)
	return code, strings.TrimSpace(out.String())
}

// TestControlCommands: each control command against a real program prints its answer and returns it as the exit code.
func TestControlCommands(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	p := h.start()
	p.awaitReady()
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"ready", exitOK, "yes: serves, in service"},
		{"offline b1", exitOK, "yes: nothing more goes to b1"},
		{"offline b1", exitOK, "yes: nothing more goes to b1"},
		{"offline b7", exitFailed, "tinsail: no: no backend of this name was ever listed"},
		{"online b1", exitOK, "yes: b1 is used again, if its source says that it is ready"},
		{"online b2", exitOK, "yes: b2 is used again, if its source says that it is ready"},
		{"out-of-service", exitOK, "yes: goes out of service: not ready, drains, and runs on"},
		{"ready", exitOK, "yes: serves, draining"},
		{"in-service", exitOK, "yes: in service"},
	} {
		code, message := runControl(append(strings.Fields(c.args), "--admin", p.adminAddress)...)
		assert.Equal(t, c.code, code, c.args)
		assert.Equal(t, c.want, message, c.args)
	}
	answer, err := http.Get("http://" + p.adminAddress + "/metrics")
	require.NoError(t, err)
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(answer.Body)
	answer.Body.Close()
	require.NoError(t, err, "the door's metrics in Prometheus' text form")
	if assert.Contains(t, families, "tinsail_banned") {
		assert.Equal(t, dto.MetricType_GAUGE, families["tinsail_banned"].GetType())
		assert.Zero(t, families["tinsail_banned"].GetMetric()[0].GetGauge().GetValue(), "b1 and b2 online again")
	}
	if assert.Contains(t, families, "tinsail_door_slowest_us") {
		assert.Equal(t, dto.MetricType_GAUGE, families["tinsail_door_slowest_us"].GetType(), "a maximum, not a count")
	}
	if assert.Contains(t, families, "tinsail_reqs_taken") {
		assert.Equal(t, dto.MetricType_COUNTER, families["tinsail_reqs_taken"].GetType())
	}
	require.NoError(t, os.RemoveAll(h.tempDir))
	code, message := runControl("offline", "b1", "--admin", p.adminAddress)
	assert.Equal(t, exitFailed, code, "a ban that cannot be stored")
	assert.Contains(t, message, "holds in this process, but would not outlive it")
	p.terminate(t)
	code, _ = runControl("ready", "--admin", p.adminAddress)
	assert.Equal(t, exitInvalidInput, code, "no process listens")
}

// TestNotReadyBeforeFirstList: a process without a list of backends does not report that it serves.
func TestNotReadyBeforeFirstList(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	h.director.SetDown(true)
	p := h.start()
	for range 20 {
		assert.False(t, p.call(door.Ready, ""))
	}
	h.director.SetDown(false)
	p.awaitReady()
}

// TestDoorAnswersUnderFlood: each complete call at the operators' control listener (the door) is answered while clients flood the
// other listener and while idle connections hold the door with no call or half a call.
func TestDoorAnswersUnderFlood(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	p := h.start()
	p.awaitReady()
	stop := h.flood(16)
	for i := range 100 {
		p.holdDoorConnection(t, i)
		if i%4 == 3 {
			assert.True(t, p.call(door.Operation(i/4%2)*door.Offline, "b0"))
		}
	}
	stop()
	assert.True(t, p.call(door.Online, "b0"))
}

// holdDoorConnection connects to the door, sends no call or half a call, and stays connected.
func (p *process) holdDoorConnection(t testing.TB, i int) {
	c, err := net.Dial("tcp", p.adminAddress)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = c.Write([]byte([]string{"", "POST /control/in-serv", "GET /control/ready HTTP/1.1\r\nHost: x\r\n"}[i%3]))
	require.NoError(t, err)
}

// flood has clients send requests without a pause until stop is called.
func (h *deployment) flood(clients int) (stop func()) {
	stopped := make(chan struct{})
	var all sync.WaitGroup
	for k := range clients {
		all.Go(func() {
			var c *conn
			for i := 0; i < 1_000_000; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				var err error
				if c == nil {
					if c, err = h.dial(); err != nil {
						return
					}
				}
				if c.sendReq(fmt.Sprintf("f-%d-%d", k, i)) != nil {
					return
				}
				_, _, closing, err := c.readAnswer()
				if closing || err != nil {
					c.Close()
					c = nil
				}
			}
		})
	}
	return func() { close(stopped); all.Wait() }
}

// BenchmarkDoor measures the slowest call at the door of an idle program, and of one on one core under a flood with silent callers.
// docs/design/service.md has the figures.
func BenchmarkDoor(b *testing.B) {
	for _, flooded := range []bool{false, true} {
		b.Run(map[bool]string{false: "idle", true: "flooded"}[flooded], func(b *testing.B) {
			h := newDeployment(b, "127.0.0.1:0")
			for _, x := range h.backends {
				x.JobDuration = func(string) time.Duration { return 0 }
			}
			p := h.start()
			p.awaitReady()
			if flooded {
				defer h.flood(32)()
			}
			slowest := time.Duration(0)
			for i := range 400 {
				if flooded {
					p.holdDoorConnection(b, i)
				}
				startedAt := time.Now()
				require.True(b, p.call(door.Offline, "b2"))
				slowest = max(slowest, time.Since(startedAt))
			}
			b.ReportMetric(float64(slowest.Microseconds())/1000, "slowest_ms")
		})
	}
}

// TestDuplicateAddressesAreFaults: an address that is used twice, or no valid address, is a fault that names the key.
func TestDuplicateAddressesAreFaults(t *testing.T) {
	dir := t.TempDir()
	conf, script := filepath.Join(dir, "c.json"), filepath.Join(dir, "s.star")
	require.NoError(t, os.WriteFile(conf, []byte(strings.Replace(string(demoConfig), "127.0.0.1:0", "127.0.0.1:7", 1)), 0o600))
	require.NoError(t, os.WriteFile(script, []byte(`http2(listen = "127.0.0.1:9")`), 0o600))
	t.Setenv("ROUTER_CONFIG", conf)
	for admin, want := range map[string]string{
		"127.0.0.1:7": `admin is "127.0.0.1:7", where clients connect already`,
		"127.0.0.1:9": "http2.listen: is 127.0.0.1:9, where the operators' door is",
		"there":       `admin is "there", want host:port`,
		"127.0.0.1:8": "are well",
	} {
		t.Setenv("ROUTER_ADMIN", admin)
		var out bytes.Buffer
		execute([]string{"check", "--settings", script}, &out, &out)
		assert.Contains(t, out.String(), want)
	}
}
