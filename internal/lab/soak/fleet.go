package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/faultnet"
	"tinsail/internal/standin/platform"
)

const backendCount = 5

// configFormat is the format of a dispatcher's configuration file.
const configFormat = `{"name":%q,"listen":%q,"admin":"127.0.0.1:0","discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":512},
"settings":{"Allowed":{"Cancel":true,"ConnIdleMs":5000,"ConnectTimeoutMs":150,"MaxAttempts":4,"MaxRetryAfterMs":500,"MayDuplicate":true,"RetryAfter":true},
"Balancers":%d,"Classes":[{"AimMs":150,"AimStretch":2,"DedupScope":%q,"Effect":%q,"HardLimitMs":%d,"Name":"photo","RepeatWindowMs":%d,"Worth":1}],
"FamilyInfo":{"TellsStart":true},"GranularityMs":2,"Models":["fast"],
"Obligations":{"AnswerSlackMs":8,"AskEveryMs":8000,"FallMs":2000,"FallMultiple":3,"StartCapacity":0.31,"StopSendingWithinMs":500,"WarmAfterMs":4000},
"RegistryMode":%q,"Weights":"nominal","Zones":["here"]}}`

// backend is a simulated backend with the relay through which the dispatchers reach it.
type backend struct {
	*platform.Backend
	relay     *faultnet.TCP
	startedMS int64 // start time that the list of backends gives, ms since the epoch; 0: none
}

// entry returns the backend's entry in the list of backends, with the relay's address.
func (b *backend) entry(cell int, status string) platform.Entry {
	e := b.Entry("fast", "here", cell, status)
	e.Address, e.SinceMS = b.relay.Addr(), b.startedMS
	return e
}

// process is one process of a dispatcher.
type process struct {
	cmd              *exec.Cmd
	directorListener *platform.DirectorListener
	startedAt        time.Time
	adminAddress     string
	shimFile         string // the shim reads the fault to inject from it
	configFile       string
	serving          chan struct{} // closed once the process has logged its addresses
	exited           chan struct{} // closed once the process has ended

	mu              sync.Mutex
	exitedAt        time.Time
	stopRequestedAt time.Time // when the first SIGTERM or SIGKILL was sent
	killedAt        time.Time // when SIGKILL was sent
	violations      []string  // invariant violations from the log, and the text of panics
	http2Address    string
	exitErr         error
}

// node is a dispatcher: a name, an address and a folder, which its successive processes use.
type node struct {
	fleet  *fleet
	number int
	folder string

	mu         sync.Mutex
	processes  []*process
	address    string
	restarting bool // a fault is restarting it
}

// beginRestart reserves the node for a restart. It returns false if another fault is restarting it.
func (n *node) beginRestart() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.restarting {
		return false
	}
	n.restarting = true
	return true
}

// endRestart ends the reservation that beginRestart made.
func (n *node) endRestart() {
	n.mu.Lock()
	n.restarting = false
	n.mu.Unlock()
}

func (n *node) name() string { return fmt.Sprintf("n%d", n.number) }

// currentProcess returns the process that was started last.
func (n *node) currentProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processes[len(n.processes)-1]
}

func (n *node) listenAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.address
}

// wasKilledAfter reports whether SIGKILL ended a process of the node after the given time. Requests that were open then are
// excused.
func (n *node) wasKilledAfter(at time.Time) bool {
	n.mu.Lock()
	processes := append([]*process(nil), n.processes...)
	n.mu.Unlock()
	for _, p := range processes {
		if p.wasKilledAfter(at) {
			return true
		}
	}
	return false
}

// receivesNewConnections reports whether the front end sends new connections to the node: until 0.3 s after SIGTERM (the
// documentation says 0.2 to 0.4 s).
func (n *node) receivesNewConnections() bool {
	p := n.currentProcess()
	stopRequestedAt := p.stopRequestTime()
	return !p.hasExited() && (stopRequestedAt.IsZero() || time.Since(stopRequestedAt) < 300*time.Millisecond)
}

// start starts a process whose wall clock is off by wallOffset, and waits until it listens.
func (n *node) start(wallOffset time.Duration) (*process, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	number, listen := len(n.processes), n.address
	n.mu.Unlock()
	p := &process{directorListener: n.fleet.director.AddListener(l, n.fleet.Site.Pushed), startedAt: time.Now(), serving: make(chan struct{}), exited: make(chan struct{}),
		configFile: filepath.Join(n.folder, fmt.Sprintf("c%d.json", number)), shimFile: filepath.Join(n.folder, fmt.Sprintf("shim%d", number))}
	registryMode := "on_request"
	if n.fleet.Site.Pushed {
		registryMode = "pushed"
	}
	config := fmt.Sprintf(configFormat, n.name(), listen, p.directorListener.Address, n.fleet.Seed*100+uint64(n.number)+1, n.fleet.Processes, n.fleet.Site.Scope, n.fleet.Site.Effect,
		n.fleet.Site.Deadline.Milliseconds(), n.fleet.Site.Window.Milliseconds(), registryMode)
	if err := os.WriteFile(p.configFile, []byte(config), 0o600); err != nil {
		return nil, err
	}
	script := filepath.Join(n.folder, "settings.star")
	if err := os.WriteFile(script, []byte(`http2(listen = "127.0.0.1:0")`), 0o600); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(n.fleet.program, "serve", "--log-format", "json", "--settings", script)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+p.configFile, "TMPDIR="+n.folder, "TINSAIL_SHIM="+p.shimFile,
		fmt.Sprintf("TINSAIL_SHIM_WALL_MS=%d", wallOffset.Milliseconds()))
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.readLog(bufio.NewScanner(stderr))
	select {
	case <-p.serving:
	case <-p.exited:
		return nil, fmt.Errorf("%s exited during startup: %v", n.name(), p.exitErr)
	case <-time.After(startTimeout):
		p.cmd.Process.Kill()
		return nil, fmt.Errorf("%s did not listen within %v", n.name(), startTimeout)
	}
	n.mu.Lock()
	n.processes = append(n.processes, p)
	n.mu.Unlock()
	return p, nil
}

const startTimeout = 10 * time.Second

// readLog reads the log of the process until its end, then waits for the process to exit.
func (p *process) readLog(in *bufio.Scanner) {
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var line map[string]any
		if json.Unmarshal(in.Bytes(), &line) != nil {
			p.mu.Lock()
			p.violations = append(p.violations, in.Text()) // the text of a panic
			p.mu.Unlock()
			continue
		}
		switch line["event"] {
		case "serving":
			p.mu.Lock()
			p.adminAddress, _ = line["admin"].(string)
			p.http2Address, _ = line["http2"].(string)
			p.mu.Unlock()
			close(p.serving)
		case "door", "service", "hand-over: the old process is gone":
			if os.Getenv("SOAK_LOG") != "" {
				fmt.Println(time.Now().Format("05.000"), p.cmd.Process.Pid, in.Text())
			}
		case "invariant violated":
			p.mu.Lock()
			p.violations = append(p.violations, fmt.Sprintf("%v: request %v: %v %v", line["rule"], line["request"], line["says"], line["trace"]))
			p.mu.Unlock()
		}
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	p.exitErr, p.exitedAt = err, time.Now()
	p.mu.Unlock()
	close(p.exited)
}

// signal sends a signal and records the time of SIGTERM and SIGKILL.
func (p *process) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.mu.Lock()
		if p.stopRequestedAt.IsZero() {
			p.stopRequestedAt = time.Now()
		}
		if s == syscall.SIGKILL {
			p.killedAt = time.Now()
		}
		p.mu.Unlock()
	}
	_ = p.cmd.Process.Signal(s)
}

// wasKilledAfter reports whether SIGKILL was sent and the process was still running after the given time. It ends some
// milliseconds after the signal.
func (p *process) wasKilledAfter(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killedAt.IsZero() && (p.exitedAt.IsZero() || p.exitedAt.After(at))
}

// stopRequestTime returns when the first SIGTERM or SIGKILL was sent; zero if none was.
func (p *process) stopRequestTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequestedAt
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// fleet holds the director, the backends and the dispatchers of a play.
type fleet struct {
	Schedule
	program  string
	folder   string
	director *platform.Director
	backends []*backend
	nodes    []*node
}

// newFleet starts the director, the backends and one process of each dispatcher.
func newFleet(s Schedule, program, folder string) (*fleet, error) {
	f := &fleet{Schedule: s, program: program, folder: folder}
	var err error
	if f.director, err = platform.StartDirector(); err != nil {
		return nil, err
	}
	for i := range backendCount {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 32, func(id string) time.Duration {
			return time.Duration(3+len(id)*7%17) * time.Millisecond
		})
		if err != nil {
			return nil, err
		}
		relay, err := faultnet.ListenTCP(b.Address)
		if err != nil {
			return nil, err
		}
		f.backends = append(f.backends, &backend{Backend: b, relay: relay})
		f.director.Set(f.backends[i].entry(i%2, "Ready"))
	}
	for i := range s.Processes {
		n := &node{fleet: f, number: i, folder: filepath.Join(folder, fmt.Sprintf("n%d", i))}
		if err := os.MkdirAll(n.folder, 0o700); err != nil {
			return nil, err
		}
		if n.address, err = faultnet.FreeAddress(); err != nil { // fixed, since all processes of the node listen at it, also during a hand-over
			return nil, err
		}
		if _, err := n.start(0); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// close kills the processes that still run, and closes the backends and the director.
func (f *fleet) close() {
	for _, n := range f.nodes {
		for _, p := range n.processes {
			if !p.hasExited() {
				p.cmd.Process.Signal(syscall.SIGCONT)
				p.cmd.Process.Kill()
				<-p.exited
			}
		}
	}
	for _, b := range f.backends {
		b.relay.Close()
		b.Close()
	}
	f.director.Close()
}
