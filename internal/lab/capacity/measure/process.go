// Package measure measures the slopes of docs/CAPACITY.md that do not need the accord: dispatcher processes between
// simulated clients, backends and directors, and the decision packages called directly. Each measurement returns rows.
// Tests run the same code at small sizes; make measure-capacity runs it at full size.
package measure

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tinsail/internal/standin/platform"
)

// Program is the command that starts a dispatcher process. Args holds the program and its arguments before "serve"; Env
// is added to the environment.
type Program struct {
	Args, Env []string
}

// processTimeout limits every wait for a process. It only detects a process that does not react at all.
const processTimeout = 60 * time.Second

// dispatcherConfig holds the variable settings of a dispatcher process.
type dispatcherConfig struct {
	discovery      string
	sockets        int
	memoryMB       int
	dispatchers    int
	selfIndex      int // index of this dispatcher in the fleet
	tenants        int
	settingsScript string // contents of the settings file; may be empty
	knownBackends  []platform.Entry
	pushed         bool // discovery is an agent on the same host
}

type jsonObject = map[string]any

// platformConfig returns the contents of the platform's configuration file. A req may take two minutes. It is sent to
// one backend only, because a duplicate would use descriptors that the number of reqs does not account for.
func (c dispatcherConfig) platformConfig() ([]byte, error) {
	mode := "on_request"
	if c.pushed {
		mode = "pushed"
	}
	parties := []jsonObject{}
	for i := range c.tenants {
		parties = append(parties, jsonObject{"Name": fmt.Sprint("team-", i), "QuotaPerS": 100, "Share": 1 / float64(c.tenants)})
	}
	config := jsonObject{"name": "capacity", "listen": "127.0.0.1:0", "discovery": c.discovery, "seed": fmt.Sprintf("%x", c.selfIndex+1),
		"limits": jsonObject{"cores": 2, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"settings": jsonObject{
			"Allowed":   jsonObject{"Cancel": true, "ConnIdleMs": 10000, "ConnectTimeoutMs": 2000, "MaxAttempts": 3, "MaxRetryAfterMs": 2000, "MayDuplicate": false, "Probes": true, "RetryAfter": true},
			"Balancers": c.dispatchers, "Me": c.selfIndex,
			"Classes":    []jsonObject{{"AimMs": 60000, "AimStretch": 2, "DedupScope": "cell", "Effect": "idempotency_key", "HardLimitMs": 120000, "Name": "photo", "RepeatWindowMs": 7500, "Worth": 1}},
			"FamilyInfo": jsonObject{"TellsStart": true}, "GranularityMs": 2, "Models": []string{"fast", "std"},
			"Obligations":  jsonObject{"AnswerSlackMs": 8, "AskEveryMs": 10000, "FallMs": 2000, "FallMultiple": 3, "StartCapacity": 0.31, "StopSendingWithinMs": 500, "WarmAfterMs": 9000},
			"RegistryMode": mode, "Report": jsonObject{"Columns": []string{"x0", "busy_reqs"}, "How": "answers"},
			"Weights": "nominal", "Zones": []string{"here"}, "Parties": parties,
		}}
	if c.knownBackends != nil {
		config["known"] = jsonObject{"index": 1, "snapshot": true, "endpoints": c.knownBackends}
	}
	return json.Marshal(config)
}

// dispatcher is a running dispatcher process whose log is read until it ends.
type dispatcher struct {
	cmd            *exec.Cmd
	dir            string
	address        string
	http2Address   string
	startedAt      time.Time
	readyAfterMs   chan int64 // ms from its start until it was ready, according to its log
	logEnded       chan struct{}
	goroutineCount atomic.Int64 // counted in the dump that it writes on SIGQUIT
	killOnce       sync.Once
}

// start starts a dispatcher process and waits until it serves.
func (p Program) start(c dispatcherConfig) (*dispatcher, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	config, err := c.platformConfig()
	if err != nil {
		return nil, err
	}
	configPath, settingsPath := filepath.Join(dir, "c.json"), filepath.Join(dir, "s.star")
	if err := errors.Join(os.WriteFile(configPath, config, 0o600), os.WriteFile(settingsPath, []byte(c.settingsScript), 0o600)); err != nil {
		return nil, err
	}
	d := &dispatcher{dir: dir, readyAfterMs: make(chan int64, 1), logEnded: make(chan struct{}), startedAt: time.Now()}
	d.cmd = exec.Command(p.Args[0], append(append([]string{}, p.Args[1:]...), "serve", "--settings", settingsPath, "--log-format", "json")...)
	d.cmd.Env = append(append(os.Environ(), p.Env...), "ROUTER_CONFIG="+configPath, "TMPDIR="+dir)
	stderr, err := d.cmd.StderrPipe()
	if err == nil {
		err = d.cmd.Start()
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	served := make(chan string, 1)
	go d.readLog(stderr, served)
	select {
	case lastLine := <-served:
		if d.address == "" {
			d.kill()
			return nil, fmt.Errorf("the dispatcher ended before it served; last log line: %s", lastLine)
		}
	case <-time.After(processTimeout):
		d.kill()
		return nil, errors.New("the dispatcher did not serve in time")
	}
	return d, nil
}

// readLog reads the log until it ends. It sends an empty string to served once the process serves, or the last line if
// the log ends before that.
func (d *dispatcher) readLog(stderr io.Reader, served chan<- string) {
	defer close(d.logEnded)
	lastLine := ""
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	sentServed := false
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "goroutine ") {
			d.goroutineCount.Add(1)
			continue
		}
		var entry struct {
			Event, Listen, HTTP2 string
			AfterMS              int64 `json:"after_ms"`
		}
		lastLine = lines.Text()
		if json.Unmarshal(lines.Bytes(), &entry) != nil {
			continue
		}
		switch entry.Event {
		case "serving":
			d.address, d.http2Address = entry.Listen, entry.HTTP2
			served <- ""
			sentServed = true
		case "ready":
			d.readyAfterMs <- entry.AfterMS
		}
	}
	if !sentServed {
		served <- lastLine
	}
}

// untilReady waits until the process logs that it is ready and returns the time that this took in ms by the process's
// own clock.
func (d *dispatcher) untilReady() (float64, error) {
	select {
	case ms := <-d.readyAfterMs:
		return float64(ms), nil
	case <-d.logEnded:
		return 0, errors.New("the dispatcher ended before it was ready")
	case <-time.After(processTimeout):
		return 0, errors.New("the dispatcher was not ready in time")
	}
}

// kill kills the process, waits for it and removes its folder.
func (d *dispatcher) kill() {
	d.killOnce.Do(func() {
		_ = d.cmd.Process.Kill()
		<-d.logEnded
		_ = d.cmd.Wait()
		os.RemoveAll(d.dir)
	})
}

// quitAndCountGoroutines ends the process with SIGQUIT, which makes it dump all goroutines, and returns their number.
func (d *dispatcher) quitAndCountGoroutines() float64 {
	_ = d.cmd.Process.Signal(syscall.SIGQUIT)
	select {
	case <-d.logEnded:
	case <-time.After(processTimeout):
	}
	d.kill()
	return float64(d.goroutineCount.Load())
}

// cpu returns the processor time used by all threads of the process, with the kernel's nanosecond resolution.
func (d *dispatcher) cpu() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^d.cmd.Process.Pid<<3|2), &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// memory returns the resident memory of the process and its anonymous part (heap and stacks), in MB of 2^20 bytes.
func (d *dispatcher) memory() (rss, anon float64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			rss = kb / 1024
		case "RssAnon:":
			anon = kb / 1024
		}
	}
	return rss, anon, nil
}

// descriptors returns the number of open file descriptors of the process.
func (d *dispatcher) descriptors() (float64, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	return float64(len(list)), err
}

// countingListener counts the bytes of all connections that it accepts from dispatchers, as seen by the peer.
type countingListener struct {
	net.Listener
	bytesFromDispatcher, bytesToDispatcher, connections atomic.Int64
}

// newCountingListener listens on a free port of 127.0.0.1.
func newCountingListener() (*countingListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: listener}, nil
}

// Accept accepts a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.connections.Add(1)
	return &countingConn{c, l}, nil
}

// countingConn adds its bytes to the counts of its listener.
type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytesFromDispatcher.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytesToDispatcher.Add(int64(n))
	return n, err
}
