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

	"tinsail/internal/door"
	"tinsail/internal/standin/platform"
)

// reservedAddress is a bound address of 127.0.0.1 on which nothing listens: connections are refused, and no one else can bind it.
type reservedAddress struct {
	address string
	socket  int
}

func reserveAddress(t *testing.T) *reservedAddress {
	s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(s, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(s)
	require.NoError(t, err)
	d := &reservedAddress{fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), s}
	t.Cleanup(func() { syscall.Close(d.socket) })
	return d
}

// listen starts listening on the address.
func (d *reservedAddress) listen(t *testing.T) net.Listener {
	require.NoError(t, syscall.Listen(d.socket, 64))
	s, err := syscall.Dup(d.socket)
	require.NoError(t, err)
	f := os.NewFile(uintptr(s), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	require.NoError(t, err)
	return l
}

// floodIdle has idle clients use up all descriptors that they can get until the test ends. Clients that are refused or closed
// connect again. Some send nothing, some half a request head, and some stay idle after an answer.
func floodIdle(t *testing.T, address string, clients int) {
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for {
				c, err := net.Dial("tcp", address)
				if err == nil {
					closed := make(chan struct{})
					go func() {
						select {
						case <-stop:
						case <-closed:
						}
						c.Close()
					}()
					_, _ = io.WriteString(c, []string{"", "POST /photo/1 HT", "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"}[i%3])
					_, _ = io.Copy(io.Discard, c)
					close(closed)
				}
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond): // limits the load on the machine
				}
			}
		})
	}
	t.Cleanup(func() { close(stop); all.Wait() })
}

// TestIdleClientsDoNotBlockDiscovery: idle clients use up all descriptors that they can get while discovery is down. When it is
// back, its list must be read, new backends reached and requests served. The operators' control listener (the door) answers
// throughout. The process never holds more descriptors than its limit: the configuration's or, if lower, the process's own.
func TestIdleClientsDoNotBlockDiscovery(t *testing.T) {
	for _, c := range []struct {
		sockets, allowed int
		door             bool
	}{{64, 0, false}, {128, 0, true}, {64, 64, false}, {128, 128, true}, {1024, 128, false}, {1024, 128, true}} {
		t.Run(fmt.Sprintf("%d sockets, %d allowed, door %v", c.sockets, c.allowed, c.door), func(t *testing.T) {
			discovery, limit := reserveAddress(t), c.sockets
			if c.allowed > 0 {
				limit = min(limit, c.allowed)
			}
			p := startLimited(t, discovery.address, c.sockets, c.allowed, c.door)
			atStart := p.descriptors(t)
			var maxHeld atomic.Int64
			watched := make(chan struct{})
			stop := make(chan struct{})
			go func() {
				defer close(watched)
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						maxHeld.Store(max(maxHeld.Load(), int64(p.descriptors(t))))
					}
				}
			}()
			floodIdle(t, p.address, limit+100)
			p.waitUntil(t, "idle clients use up the descriptors", func() bool { return p.hasRefusedSessions(t) })
			if c.door {
				assert.True(t, p.doorAnswers(), "the door answers while clients use up the descriptors")
			}
			d := platform.NewDirector(discovery.listen(t))
			defer d.Close()
			for i := range 3 {
				b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 8, func(string) time.Duration { return 0 })
				require.NoError(t, err)
				defer b.Close()
				d.Set(b.Entry("fast", "here", i, "Ready"))
			}
			n := 0
			p.waitUntil(t, "a req is served by a backend of the new list", func() bool { n++; return p.reqServed(n) })
			close(stop)
			<-watched
			t.Logf("descriptors at start %d, maximum %d of %d, served at try %d", atStart, maxHeld.Load(), limit, n)
			assert.LessOrEqual(t, maxHeld.Load(), int64(limit))
			_ = p.cmd.Process.Kill()
			for line := range p.logLines {
				require.NotEqual(t, "accept failed", line["event"], line["error"])
			}
		})
	}
}

// limitedProgram is the real program with a limit of descriptors.
type limitedProgram struct {
	cmd                   *exec.Cmd
	address, adminAddress string
	logLines              chan map[string]any
}

func startLimited(t *testing.T, discovery string, sockets, allowed int, door bool) *limitedProgram {
	text := strings.NewReplacer(`"127.0.0.1:1"`, `"`+discovery+`"`, `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, sockets)).Replace(string(demoConfig))
	conf := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(conf, []byte(text), 0o600))
	limit := ""
	if allowed > 0 {
		limit = fmt.Sprintf("ulimit -n %d && ", allowed)
	}
	p := &limitedProgram{cmd: exec.Command("/bin/sh", "-c", limit+`exec "$0" serve --log-format json`, os.Args[0]), logLines: make(chan map[string]any, 10_000)}
	p.cmd.Env = append(os.Environ(), "TINSAIL_TEST_PROGRAM=1", "ROUTER_CONFIG="+conf, "TMPDIR="+t.TempDir())
	if door {
		p.cmd.Env = append(p.cmd.Env, "ROUTER_ADMIN=127.0.0.1:0")
	}
	errs, err := p.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	r := bufio.NewScanner(errs)
	for p.address == "" && r.Scan() {
		var line map[string]any
		if json.Unmarshal(r.Bytes(), &line) == nil && line["event"] == "serving" {
			p.address, _ = line["listen"].(string)
			p.adminAddress, _ = line["admin"].(string)
		}
	}
	require.NotEmpty(t, p.address)
	go func() {
		defer close(p.logLines)
		for r.Scan() {
			var line map[string]any
			if json.Unmarshal(r.Bytes(), &line) == nil {
				p.logLines <- line
			}
		}
	}()
	return p
}

// descriptors returns how many descriptors the process holds now.
func (p *limitedProgram) descriptors(t *testing.T) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NoError(t, err)
	return len(list)
}

// waitUntil waits until a condition holds. It checks every 5 ms, at most 4,000 times.
func (p *limitedProgram) waitUntil(t *testing.T, what string, holds func() bool) {
	for range 4000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.Fail(t, "the condition never held", what)
}

// hasRefusedSessions reports whether the process has refused sessions for lack of descriptors.
func (p *limitedProgram) hasRefusedSessions(t *testing.T) bool {
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGUSR1))
	for line := range p.logLines {
		if line["event"] == "counters" {
			n, _ := line["sessions_refused"].(float64)
			return n > 0
		}
		require.NotEqual(t, "accept failed", line["event"], line["error"])
	}
	require.Fail(t, "the program ended")
	return false
}

// doorAnswers reports whether the door answers a call for metrics, which always succeeds.
func (p *limitedProgram) doorAnswers() bool {
	yes, _, err := callDoor(p.adminAddress, door.Call{Operation: door.Metrics})
	return err == nil && yes
}

// reqServed reports whether a request on a new connection is answered by a backend. It may be repeated after a refusal.
func (p *limitedProgram) reqServed(n int) bool {
	c, err := net.DialTimeout("tcp", p.address, 5*time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	id := fmt.Sprint("d-", n)
	_, _ = fmt.Fprintf(c, "POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: 1\r\n\r\nb", id, id)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	body, _ := io.ReadAll(a.Body)
	return a.StatusCode == 200 && string(body) == "small "+id
}
