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

// Process is a dispatcher that runs as a separate process.
type Process struct {
	Name    string
	Address string // at which it serves clients

	cmd    *exec.Cmd
	exited chan struct{} // closed once it has exited and its log is read
}

// serveTimeout limits the time from the start of a process until it serves, and the wait for the voters' initial
// policy.
const serveTimeout = 20 * time.Second

// startProcess writes the configuration and the settings script to dir, starts the program on them, and passes the
// lines of its log to logWriter. It returns once the process serves.
func startProcess(program []string, env []string, dir, name string, configuration, script []byte, logWriter io.Writer) (*Process, error) {
	configPath, scriptPath := filepath.Join(dir, name+".json"), filepath.Join(dir, name+".star")
	if err := errors.Join(os.WriteFile(configPath, configuration, 0o600), os.WriteFile(scriptPath, script, 0o600)); err != nil {
		return nil, err
	}
	args := append(append([]string(nil), program[1:]...), "serve", "--settings", scriptPath, "--log-format", "json")
	p := &Process{Name: name, cmd: exec.Command(program[0], args...), exited: make(chan struct{})}
	p.cmd.Env = append(append(os.Environ(), env...), "ROUTER_CONFIG="+configPath)
	// The kernel kills the dispatcher when this process ends, even if that is killed itself.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	addresses := make(chan string, 1)
	var lastLine []byte // may be read once the process has exited
	go func() {
		defer close(p.exited)
		for r := bufio.NewScanner(stderr); r.Scan(); {
			lastLine = bytes.Clone(r.Bytes())
			var e struct{ Event, Listen string }
			if json.Unmarshal(lastLine, &e) == nil && e.Event == "serving" {
				addresses <- e.Listen
			}
			_, _ = logWriter.Write(append(lastLine, '\n'))
		}
		_ = p.cmd.Wait()
		select {
		case addresses <- "":
		default:
		}
	}()
	select {
	case p.Address = <-addresses:
	case <-time.After(serveTimeout):
	}
	if p.Address == "" {
		p.Kill()
		return nil, fmt.Errorf("dispatcher %s exited or did not start to serve within %v; last log line: %s", name, serveTimeout, lastLine)
	}
	return p, nil
}

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process. It ignores an error, such as that the process has exited.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ResourceUsage is what a process has used since its start, and what it holds now.
type ResourceUsage struct {
	CPU       time.Duration // user and system time, in steps of 10 ms
	Memory    int64         // resident set size in bytes
	Threads   int64
	OpenFiles int // open file descriptors
}

// clockTick is the kernel's unit of CPU time in /proc (USER_HZ, which is 100 on Linux).
const clockTick = 10 * time.Millisecond

// ReadResourceUsage reads the usage of a process from /proc. A negative pid stands for this process.
func ReadResourceUsage(pid int) (ResourceUsage, error) {
	procDir := filepath.Join("/proc", strconv.Itoa(pid))
	if pid < 0 {
		procDir = "/proc/self"
	}
	text, err := os.ReadFile(filepath.Join(procDir, "stat"))
	if err != nil {
		return ResourceUsage{}, err
	}
	_, afterCommand, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterCommand)
	if !ok || len(fields) < 22 {
		return ResourceUsage{}, fmt.Errorf("%s/stat has %d fields after the command name, want at least 22", procDir, len(fields))
	}
	field := func(i int) int64 { v, _ := strconv.ParseInt(fields[i], 10, 64); return v } // index 0 is field 3 of proc(5)
	files, err := os.ReadDir(filepath.Join(procDir, "fd"))
	return ResourceUsage{CPU: time.Duration(field(11)+field(12)) * clockTick, Memory: field(21) * int64(os.Getpagesize()), Threads: field(17), OpenFiles: len(files)}, err
}
