// Package rig starts the project's dispatchers as processes of their own, with the commands of the
// deploy file, and provides stand-ins of backends and clients for the cases of the review.
package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/standin/platform"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Rig is one play of a case: its folder, its record and the processes that it started.
type Rig struct {
	Root    string // of the repository
	Dir     string // temporary folder, removed at the end
	Trouble bool   // false with TROUBLE=0: the same play without its disruption

	started time.Time
	mu      sync.Mutex
	record  *os.File
	procs   []*Process
}

// Run plays a case and exits with its result. folder is the case's folder under review/, limit bounds the play.
func Run(folder string, limit time.Duration, play func(*Rig) int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r := &Rig{Root: root, Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	current = r
	if r.record, err = os.Create(filepath.Join(root, "review", folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if r.Dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r.Logf("trouble %v", r.Trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				r.Logf("could not run: %v", p)
				result <- NotRun
			}
		}()
		result <- play(r)
	}()
	code := NotRun
	select {
	case code = <-result:
	case <-time.After(limit):
		r.Logf("could not run: not over after %v", limit)
	case s := <-interrupted:
		r.Logf("could not run: %v", s)
	}
	for _, p := range r.processes() {
		p.Kill()
	}
	r.Logf("exit %d", code)
	if os.Getenv("KEEP_DIR") == "1" { // with the configurations and logs, for a look
		r.Logf("kept %s", r.Dir)
	} else {
		os.RemoveAll(r.Dir)
	}
	os.Exit(code)
}

// Logf writes a line to the record and to standard output, with the seconds since the start.
func (r *Rig) Logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

// current is the play of this process.
var current *Rig

// note writes a line to the record alone: what was sent, answered or run.
func note(format string, args ...any) {
	r := current
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line)
}

// Must ends the play as one that could not run if err is not nil.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// Await waits until the condition holds; if it does not in time, the case could not run.
func (r *Rig) Await(what string, within time.Duration, ok func() bool) {
	for end := time.Now().Add(within); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, p := range r.processes() {
				text := p.LogText()
				r.Logf("%s, ended %v, its log ends with: %s", p.Name, p.Ended(), text[max(0, len(text)-600):])
			}
			panic("waited in vain: " + what)
		}
	}
	r.Logf("%s", what)
}

// given has the addresses that FreeAddress returned.
var given sync.Map

// FreeAddress returns a loopback address that was free a moment ago, each once. Its port is below those that the system
// gives to connections by itself, so that none of these takes it before the dispatcher does.
func FreeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if _, again := given.LoadOrStore(address, true); again {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	panic("no free port")
}

// Process is a dispatcher's process.
type Process struct {
	Name, Listen, Admin string
	Log                 string // file of its log

	cmd   *exec.Cmd
	ended chan struct{}
}

// Options are what differs between dispatchers.
type Options struct {
	Name, Listen, Discovery, Admin string
	Settings                       map[string]any   // the platform's settings
	Known                          []platform.Entry // the list of backends as last known
	MemoryMB                       int
	Script                         string // settings script; empty for none
	TempDir                        string // TMPDIR; one of its own if empty
}

func (r *Rig) processes() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Process(nil), r.procs...)
}

// ScriptPath returns the path of a dispatcher's settings script.
func (r *Rig) ScriptPath(name string) string { return filepath.Join(r.Dir, name+".star") }

// Start starts a dispatcher with the run command of the deploy file. It listens on the given addresses, or free ones.
func (r *Rig) Start(o Options) *Process {
	if o.Listen == "" {
		o.Listen = FreeAddress()
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = 192
	}
	if o.TempDir == "" {
		o.TempDir = filepath.Join(r.Dir, "tmp-"+o.Name)
	}
	Must(os.MkdirAll(o.TempDir, 0o700))
	conf := map[string]any{"name": o.Name, "listen": o.Listen, "discovery": o.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": 1024}, "settings": o.Settings}
	if o.Admin != "" {
		conf["admin"] = o.Admin
	}
	if o.Known != nil {
		conf["known"] = map[string]any{"index": 1, "snapshot": true, "endpoints": o.Known}
	}
	text, err := json.MarshalIndent(conf, "", " ")
	Must(err)
	confPath := filepath.Join(r.Dir, o.Name+"-"+strings.ReplaceAll(o.Admin, ":", "-")+".json")
	Must(os.WriteFile(confPath, text, 0o600))
	command := "exec bin/tinsail serve"
	if o.Script != "" {
		Must(os.WriteFile(r.ScriptPath(o.Name), []byte(o.Script), 0o600))
		command += " --settings " + r.ScriptPath(o.Name)
	}
	r.mu.Lock()
	n := len(r.procs)
	r.mu.Unlock()
	p := &Process{Name: o.Name, Listen: o.Listen, Admin: o.Admin, Log: filepath.Join(r.Dir, fmt.Sprintf("log-%d-%s", n, o.Name)), ended: make(chan struct{})}
	log, err := os.Create(p.Log)
	Must(err)
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.Root, log, log
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+confPath, "TMPDIR="+o.TempDir)
	Must(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		log.Close()
		close(p.ended)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Logf("%s started, process %d, clients at %s", o.Name, p.cmd.Process.Pid, o.Listen)
	return p
}

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// LogText returns the process's log so far.
func (p *Process) LogText() string {
	text, _ := os.ReadFile(p.Log)
	return string(text)
}

// Class is a class of requests in the platform's settings.
type Class struct {
	Name, Effect, Scope string
	AimMS, HardLimitMS  float64
	Stretch, RepeatMS   float64
}

// PlatformSettings returns settings like those of a small deployment, with one kind of backend and one zone.
func PlatformSettings(balancers int, tenants []string, classes ...Class) map[string]any {
	var list []map[string]any
	var none, zero, stretch []any
	for _, c := range classes {
		m := map[string]any{"Name": c.Name, "Effect": c.Effect, "AimMs": c.AimMS, "HardLimitMs": c.HardLimitMS, "LateShare": 0.0, "Stream": false, "Worth": 1.0}
		if c.Scope != "" {
			m["DedupScope"], m["RepeatWindowMs"] = c.Scope, c.RepeatMS
		}
		if c.Stretch > 0 {
			m["AimStretch"] = c.Stretch
		}
		list, none, zero, stretch = append(list, m), append(none, -1), append(zero, 0), append(stretch, c.Stretch)
	}
	parties := []map[string]any{}
	for _, t := range tenants {
		parties = append(parties, map[string]any{"Name": t, "Share": 1 / float64(len(tenants)), "QuotaPerS": 1e6})
	}
	return map[string]any{
		"Allowed": map[string]any{"Cancel": true, "ConnIdleMs": 10000.0, "ConnectTimeoutMs": 120.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 800000, "MaxAttempts": 5,
			"MaxRetryAfterMs": 2000.0, "MaxStreams": 1, "MayDuplicate": true, "MostHeld": 40000, "PeerMessages": false, "Probes": true, "RetryAfter": true},
		"Balancers": balancers, "Classes": list, "Clients": map[string]any{"MarksRetry": true},
		"FamilyInfo": map[string]any{"ClassKind": none, "ClassPriority": zero, "ClassStretch": stretch, "ProgressMs": 0.0, "QueueOrder": "fifo", "ReportX0": "free slots",
			"ReportX1": "free memory", "TellsStart": true},
		"GranularityMs": 2.0, "Layer": 0, "Me": 0, "Models": []string{"std-4core"}, "MyZone": 0,
		"Obligations": map[string]any{"AnswerSlackMs": 8.0, "AskEveryMs": 10000.0, "FallMs": 2000.0, "FallMultiple": 3.0, "StartCapacity": 0.31, "StopSendingWithinMs": 500.0,
			"WarmAfterMs": 9000.0},
		"OverShareWorth": 0.1, "Parties": parties, "RegistryMode": "on_request",
		"Report": map[string]any{"Columns": []string{"failed_ps", "busy_reqs", "x0", "x1"}, "How": "answers"},
		"Tiers":  []string{"photo-workers"}, "Weights": "nominal", "WorthBy": "request", "Zones": []string{"dc1"}}
}
