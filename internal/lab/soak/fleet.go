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

// config is a process's configuration.
const config = `{"name":%q,"listen":%q,"admin":"127.0.0.1:0","discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":512},
"settings":{"Allowed":{"Cancel":true,"ConnIdleMs":5000,"ConnectTimeoutMs":150,"MaxAttempts":4,"MaxRetryAfterMs":500,"MayDuplicate":true,"RetryAfter":true},
"Balancers":%d,"Classes":[{"AimMs":150,"AimStretch":2,"DedupScope":%q,"Effect":%q,"HardLimitMs":%d,"Name":"photo","RepeatWindowMs":%d,"Worth":1}],
"FamilyInfo":{"TellsStart":true},"GranularityMs":2,"Models":["fast"],
"Obligations":{"AnswerSlackMs":8,"AskEveryMs":8000,"FallMs":2000,"FallMultiple":3,"StartCapacity":0.31,"StopSendingWithinMs":500,"WarmAfterMs":4000},
"RegistryMode":%q,"Weights":"nominal","Zones":["here"]}}`

// backend is one with its relay, which dispatchers know it by.
type backend struct {
	*platform.Backend
	relay *faultnet.TCP
	since int64
}

func (b *backend) entry(cell int, status string) platform.Entry {
	e := b.Entry("fast", "here", cell, status)
	e.Address, e.SinceMS = b.relay.Addr(), b.since
	return e
}

// life is one process of a dispatcher.
type life struct {
	cmd    *exec.Cmd
	seat   *platform.DirectorListener
	began  time.Time
	admin  string
	shim   string // the file that the shim reads
	conf   string
	served chan struct{} // closed once it has told its addresses
	over   chan struct{} // closed once it has ended

	mu       sync.Mutex
	ended    time.Time
	asked    time.Time // SIGTERM or SIGKILL was sent
	killed   time.Time // SIGKILL was sent
	violated []string
	streams  string // address of HTTP/2
	exit     error
}

// node is a dispatcher: a name, an address, a folder, and one process after another.
type node struct {
	f      *fleet
	number int
	folder string

	mu         sync.Mutex
	lives      []*life
	addr       string
	restarting bool // by a trouble
}

// claim takes the node for a restart; false if another trouble restarts it now.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.restarting {
		return false
	}
	n.restarting = true
	return true
}

func (n *node) free() {
	n.mu.Lock()
	n.restarting = false
	n.mu.Unlock()
}

func (n *node) name() string { return fmt.Sprintf("n%d", n.number) }

// now is the process that serves, or was started last.
func (n *node) now() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lives[len(n.lives)-1]
}

func (n *node) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr
}

// killedAfter says whether a process of the node was killed by SIGKILL after then: what was on it is nobody's fault.
func (n *node) killedAfter(then time.Time) bool {
	n.mu.Lock()
	lives := append([]*life(nil), n.lives...)
	n.mu.Unlock()
	for _, l := range lives {
		if l.killedAfter(then) {
			return true
		}
	}
	return false
}

// fronted says whether the front sends the node new connections: up to 0.3 s after SIGTERM (the page: 0.2 to 0.4 s).
func (n *node) fronted() bool {
	l := n.now()
	asked := l.askedAt()
	return !l.isOver() && (asked.IsZero() || time.Since(asked) < 300*time.Millisecond)
}

// start starts a process, with its wall clock off by so much, and waits until it listens.
func (n *node) start(wall time.Duration) (*life, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	number, listen := len(n.lives), n.addr
	n.mu.Unlock()
	p := &life{seat: n.f.director.AddListener(l, n.f.Site.Pushed), began: time.Now(), served: make(chan struct{}), over: make(chan struct{}),
		conf: filepath.Join(n.folder, fmt.Sprintf("c%d.json", number)), shim: filepath.Join(n.folder, fmt.Sprintf("shim%d", number))}
	mode := "on_request"
	if n.f.Site.Pushed {
		mode = "pushed"
	}
	text := fmt.Sprintf(config, n.name(), listen, p.seat.Address, n.f.Seed*100+uint64(n.number)+1, n.f.Processes, n.f.Site.Scope, n.f.Site.Effect,
		n.f.Site.Deadline.Milliseconds(), n.f.Site.Window.Milliseconds(), mode)
	if err := os.WriteFile(p.conf, []byte(text), 0o600); err != nil {
		return nil, err
	}
	script := filepath.Join(n.folder, "settings.star")
	if err := os.WriteFile(script, []byte(`http2(listen = "127.0.0.1:0")`), 0o600); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(n.f.program, "serve", "--log-format", "json", "--settings", script)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+p.conf, "TMPDIR="+n.folder, "TINSAIL_SHIM="+p.shim,
		fmt.Sprintf("TINSAIL_SHIM_WALL_MS=%d", wall.Milliseconds()))
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.follow(bufio.NewScanner(errs))
	select {
	case <-p.served:
	case <-p.over:
		return nil, fmt.Errorf("%s ended at its start: %v", n.name(), p.exit)
	case <-time.After(startWait):
		p.cmd.Process.Kill()
		return nil, fmt.Errorf("%s did not listen within %v", n.name(), startWait)
	}
	n.mu.Lock()
	n.lives = append(n.lives, p)
	n.mu.Unlock()
	return p, nil
}

const startWait = 10 * time.Second

// follow reads a process's log to its end.
func (p *life) follow(in *bufio.Scanner) {
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var line map[string]any
		if json.Unmarshal(in.Bytes(), &line) != nil {
			p.mu.Lock()
			p.violated = append(p.violated, in.Text()) // a panic's words
			p.mu.Unlock()
			continue
		}
		switch line["event"] {
		case "serving":
			p.mu.Lock()
			p.admin, _ = line["admin"].(string)
			p.streams, _ = line["http2"].(string)
			p.mu.Unlock()
			close(p.served)
		case "door", "service", "hand-over: the old process is gone":
			if os.Getenv("SOAK_LOG") != "" {
				fmt.Println(time.Now().Format("05.000"), p.cmd.Process.Pid, in.Text())
			}
		case "invariant violated":
			p.mu.Lock()
			p.violated = append(p.violated, fmt.Sprintf("%v: request %v: %v %v", line["rule"], line["request"], line["says"], line["trace"]))
			p.mu.Unlock()
		}
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	p.exit, p.ended = err, time.Now()
	p.mu.Unlock()
	close(p.over)
}

func (p *life) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.mu.Lock()
		if p.asked.IsZero() {
			p.asked = time.Now()
		}
		if s == syscall.SIGKILL {
			p.killed = time.Now()
		}
		p.mu.Unlock()
	}
	_ = p.cmd.Process.Signal(s)
}

// killedAfter says whether it was killed by SIGKILL and was there still after then: it ends some milliseconds after the signal.
func (p *life) killedAfter(then time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killed.IsZero() && (p.ended.IsZero() || p.ended.After(then))
}

// askedAt is when it was told to end; zero if it was not.
func (p *life) askedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

func (p *life) isOver() bool {
	select {
	case <-p.over:
		return true
	default:
		return false
	}
}

// fleet is all of a play.
type fleet struct {
	Schedule
	program  string
	folder   string
	director *platform.Director
	backends []*backend
	nodes    []*node
}

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
		n := &node{f: f, number: i, folder: filepath.Join(folder, fmt.Sprintf("n%d", i))}
		if err := os.MkdirAll(n.folder, 0o700); err != nil {
			return nil, err
		}
		if n.addr, err = freeAddress(); err != nil { // its own from the first process on: a hand-over goes by it
			return nil, err
		}
		if _, err := n.start(0); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// freeAddress is one that nobody listens at now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// close ends all that is left.
func (f *fleet) close() {
	for _, n := range f.nodes {
		for _, p := range n.lives {
			if !p.isOver() {
				p.cmd.Process.Signal(syscall.SIGCONT)
				p.cmd.Process.Kill()
				<-p.over
			}
		}
	}
	for _, b := range f.backends {
		b.relay.Close()
		b.Close()
	}
	f.director.Close()
}
