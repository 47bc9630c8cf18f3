package hollow

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process is a real dispatcher.
type Process struct {
	Name    string
	Address string // where it serves clients

	cmd    *exec.Cmd
	exited chan struct{}
}

// serveTimeout bounds the time until a process serves, and the time that it has to end.
const serveTimeout = 20 * time.Second

// startProcess starts the program on a configuration and a script, which it writes into a folder. The lines of its log are
// passed to heard. It returns when the process has a listener.
func startProcess(program []string, env []string, dir, name string, conf, script []byte, heard io.Writer) (*Process, error) {
	at, set := filepath.Join(dir, name+".json"), filepath.Join(dir, name+".star")
	if err := errors.Join(os.WriteFile(at, conf, 0o600), os.WriteFile(set, script, 0o600)); err != nil {
		return nil, err
	}
	args := append(append([]string(nil), program[1:]...), "serve", "--settings", set, "--log-format", "json")
	p := &Process{Name: name, cmd: exec.Command(program[0], args...), exited: make(chan struct{})}
	p.cmd.Env = append(append(os.Environ(), env...), "ROUTER_CONFIG="+at)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left where the laboratory dies
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	serves := make(chan string, 1)
	go func() {
		defer close(p.exited)
		var last []byte
		for r := bufio.NewScanner(errs); r.Scan(); {
			last = bytes.Clone(r.Bytes())
			var e struct{ Event, Listen string }
			if json.Unmarshal(last, &e) == nil && e.Event == "serving" {
				serves <- e.Listen
			}
			_, _ = heard.Write(append(last, '\n'))
		}
		_ = p.cmd.Wait()
		select {
		case serves <- "":
		default:
		}
	}()
	select {
	case p.Address = <-serves:
	case <-time.After(serveTimeout):
	}
	if p.Address == "" {
		p.Kill()
		return nil, fmt.Errorf("%s did not serve", name)
	}
	return p, nil
}

// PID is the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends it a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends it outright.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited says whether it has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ResourceUsage is what a process has cost so far.
type ResourceUsage struct {
	CPU       time.Duration // user and system, in steps of 10 ms
	Memory    int64         // bytes that are resident
	Threads   int64
	OpenFiles int // descriptors that are open
}

// clockTick is the kernel's unit of processor time in /proc (USER_HZ, which is 100 on Linux).
const clockTick = 10 * time.Millisecond

// ReadResourceUsage reads what a process has cost, of this machine's /proc; -1 is this process.
func ReadResourceUsage(pid int) (ResourceUsage, error) {
	at := filepath.Join("/proc", strconv.Itoa(pid))
	if pid < 0 {
		at = "/proc/self"
	}
	text, err := os.ReadFile(filepath.Join(at, "stat"))
	if err != nil {
		return ResourceUsage{}, err
	}
	_, after, ok := strings.Cut(string(text), ") ")
	f := strings.Fields(after)
	if !ok || len(f) < 22 {
		return ResourceUsage{}, fmt.Errorf("%s/stat has %d fields", at, len(f))
	}
	n := func(i int) int64 { v, _ := strconv.ParseInt(f[i], 10, 64); return v } // 0 is the third field of proc(5)
	files, err := os.ReadDir(filepath.Join(at, "fd"))
	return ResourceUsage{CPU: time.Duration(n(11)+n(12)) * clockTick, Memory: n(21) * int64(os.Getpagesize()), Threads: n(17), OpenFiles: len(files)}, err
}
