// Package measure takes the slopes of docs/CAPACITY.md that need no accord: a real dispatcher between stand-ins, and the decision
// packages by themselves. Each part returns rows; the same code runs small in the tests and at full size by make measure-capacity.
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

// Program is how a dispatcher's process is started: Args are the program and what comes before "serve", Env is added to the
// environment.
type Program struct {
	Args, Env []string
}

// Patience bounds every wait for a process; nothing is judged by it but that nothing came at all.
const patience = 60 * time.Second

// setup is what a dispatcher is told.
type setup struct {
	discovery   string
	sockets     int
	memoryMB    int
	dispatchers int
	self        int // which of them this is
	tenants     int
	script      string // settings; may be empty
	known       []platform.Entry
	pushed      bool // discovery is an agent beside it
}

type object = map[string]any

// config is the platform's file. A req may take two minutes, and is sent to one backend alone: a second copy would take
// descriptors that the count of reqs does not show.
func (s setup) config() ([]byte, error) {
	mode := "on_request"
	if s.pushed {
		mode = "pushed"
	}
	parties := []object{}
	for i := range s.tenants {
		parties = append(parties, object{"Name": fmt.Sprint("team-", i), "QuotaPerS": 100, "Share": 1 / float64(s.tenants)})
	}
	c := object{"name": "capacity", "listen": "127.0.0.1:0", "discovery": s.discovery, "seed": fmt.Sprintf("%x", s.self+1),
		"limits": object{"cores": 2, "memory_mb": s.memoryMB, "sockets": s.sockets},
		"settings": object{
			"Allowed":   object{"Cancel": true, "ConnIdleMs": 10000, "ConnectTimeoutMs": 2000, "MaxAttempts": 3, "MaxRetryAfterMs": 2000, "MayDuplicate": false, "Probes": true, "RetryAfter": true},
			"Balancers": s.dispatchers, "Me": s.self,
			"Classes":    []object{{"AimMs": 60000, "AimStretch": 2, "DedupScope": "cell", "Effect": "idempotency_key", "HardLimitMs": 120000, "Name": "photo", "RepeatWindowMs": 7500, "Worth": 1}},
			"FamilyInfo": object{"TellsStart": true}, "GranularityMs": 2, "Models": []string{"fast", "std"},
			"Obligations":  object{"AnswerSlackMs": 8, "AskEveryMs": 10000, "FallMs": 2000, "FallMultiple": 3, "StartCapacity": 0.31, "StopSendingWithinMs": 500, "WarmAfterMs": 9000},
			"RegistryMode": mode, "Report": object{"Columns": []string{"x0", "busy_reqs"}, "How": "answers"},
			"Weights": "nominal", "Zones": []string{"here"}, "Parties": parties,
		}}
	if s.known != nil {
		c["known"] = object{"index": 1, "snapshot": true, "endpoints": s.known}
	}
	return json.Marshal(c)
}

// dispatcher is a running process. Its log is read to its end.
type dispatcher struct {
	cmd        *exec.Cmd
	dir        string
	address    string
	http2      string
	begun      time.Time
	ready      chan int64 // ms after its start, by its own log
	read       chan struct{}
	goroutines atomic.Int64 // counted in what it writes when it is told to quit
	once       sync.Once
}

func (p Program) start(s setup) (*dispatcher, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	text, err := s.config()
	if err != nil {
		return nil, err
	}
	conf, set := filepath.Join(dir, "c.json"), filepath.Join(dir, "s.star")
	if err := errors.Join(os.WriteFile(conf, text, 0o600), os.WriteFile(set, []byte(s.script), 0o600)); err != nil {
		return nil, err
	}
	d := &dispatcher{dir: dir, ready: make(chan int64, 1), read: make(chan struct{}), begun: time.Now()}
	d.cmd = exec.Command(p.Args[0], append(append([]string{}, p.Args[1:]...), "serve", "--settings", set, "--log-format", "json")...)
	d.cmd.Env = append(append(os.Environ(), p.Env...), "ROUTER_CONFIG="+conf, "TMPDIR="+dir)
	errs, err := d.cmd.StderrPipe()
	if err == nil {
		err = d.cmd.Start()
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	serving := make(chan string, 1)
	go d.listen(errs, serving)
	select {
	case said := <-serving:
		if d.address == "" {
			d.kill()
			return nil, fmt.Errorf("it did not serve: %s", said)
		}
	case <-time.After(patience):
		d.kill()
		return nil, errors.New("it did not serve in time")
	}
	return d, nil
}

func (d *dispatcher) listen(errs io.Reader, serving chan<- string) {
	defer close(d.read)
	last := ""
	lines := bufio.NewScanner(errs)
	lines.Buffer(nil, 1<<20)
	told := false
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "goroutine ") {
			d.goroutines.Add(1)
			continue
		}
		var e struct {
			Event, Listen, HTTP2 string
			AfterMS              int64 `json:"after_ms"`
		}
		last = lines.Text()
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		switch e.Event {
		case "serving":
			d.address, d.http2 = e.Listen, e.HTTP2
			serving <- ""
			told = true
		case "ready":
			d.ready <- e.AfterMS
		}
	}
	if !told {
		serving <- last
	}
}

// untilReady waits until the process has logged that it is ready, and returns the ms that it took by its own clock.
func (d *dispatcher) untilReady() (float64, error) {
	select {
	case ms := <-d.ready:
		return float64(ms), nil
	case <-d.read:
		return 0, errors.New("the process ended before it was ready")
	case <-time.After(patience):
		return 0, errors.New("the process was not ready in time")
	}
}

// kill ends the process, waits for it and removes its folder.
func (d *dispatcher) kill() {
	d.once.Do(func() {
		_ = d.cmd.Process.Kill()
		<-d.read
		_ = d.cmd.Wait()
		os.RemoveAll(d.dir)
	})
}

// quit ends the process by having it write all its goroutines, and returns how many there were.
func (d *dispatcher) quit() float64 {
	_ = d.cmd.Process.Signal(syscall.SIGQUIT)
	select {
	case <-d.read:
	case <-time.After(patience):
	}
	d.kill()
	return float64(d.goroutines.Load())
}

// cpu is the processor time that the process has used, of all its threads, to the kernel's nanosecond.
func (d *dispatcher) cpu() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^d.cmd.Process.Pid<<3|2), &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// memory is what the process holds, in MB of 2^20 bytes: all that is resident, and what of it is no file (heap and stacks).
func (d *dispatcher) memory() (rss, anon float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			rss = kb / 1024
		case "RssAnon:":
			anon = kb / 1024
		}
	}
	return rss, anon, nil
}

// descriptors is how many the process holds.
func (d *dispatcher) descriptors() (float64, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	return float64(len(list)), err
}

// traffic counts the bytes of the streams that a listener accepted, as the far side of the dispatcher has them.
type traffic struct {
	net.Listener
	in, out, conns atomic.Int64 // from the dispatcher, to it
}

func listenCounted() (*traffic, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &traffic{Listener: l}, nil
}

// Accept wraps the connection.
func (t *traffic) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.conns.Add(1)
	return &counted{c, t}, nil
}

type counted struct {
	net.Conn
	t *traffic
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.out.Add(int64(n))
	return n, err
}
