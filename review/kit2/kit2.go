// Package kit2 starts the processes of a review case: dispatchers as the deploy file starts them, with stand-ins around them in
// the case's own process, on loopback. It records what was sent, answered and run in record.txt.
package kit2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/faultnet"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // false with TROUBLE=0: the same without the disruption
	Root    string // of the repository
	Temp    string

	start time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*Process
	broken    []string
	cleanups  []func()
}

// stop ends a run early; Run recovers it.
type stop struct{ reason string }

// Run runs a case and exits the program. args[1] is the folder of the case, args[2] the root of the repository.
func Run(limit time.Duration, body func(*Case)) {
	if len(os.Args) != 3 {
		fmt.Println("usage: case FOLDER ROOT")
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: os.Args[2], start: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	if c.Temp, err = os.MkdirTemp("", "tinsail-review-"); err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	ended := make(chan string, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				s, ok := p.(stop)
				if !ok {
					panic(p)
				}
				ended <- s.reason
			}
		}()
		body(c)
		ended <- ""
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	reason := ""
	select {
	case reason = <-ended:
	case s := <-signals:
		reason = "ended by a signal: " + s.String()
	case <-time.After(limit):
		reason = "the case took longer than its limit"
	}
	os.Exit(c.finish(reason))
}

func (c *Case) finish(reason string) int {
	c.mu.Lock()
	processes, cleanups, broken := c.processes, c.cleanups, c.broken
	c.mu.Unlock()
	for _, p := range processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		<-p.exited
	}
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.RemoveAll(c.Temp)
	code := Held
	switch {
	case len(broken) > 0:
		code = Broken
	case reason != "":
		c.Note("could not run: %s", reason)
		code = NotRun
	}
	c.Note("trouble %v, exit %d: %d breaks of the rule", c.Trouble, code, len(broken))
	for i, b := range broken {
		if i == 10 {
			break
		}
		c.Note("broken: %s", b)
	}
	fmt.Printf("trouble %v, exit %d, %d breaks of the rule\n", c.Trouble, code, len(broken))
	if len(broken) > 0 {
		fmt.Println("first:", broken[0])
	}
	c.record.Close()
	return code
}

// Note writes a line to record.txt, with the time since the start.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), c.Temp, "TEMP")
	fmt.Fprintf(c.record, "%9.3f %s\n", time.Since(c.start).Seconds(), text)
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("BROKEN %s", text)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
}

// Cannot ends the run: the case could not run.
func (c *Case) Cannot(format string, args ...any) { panic(stop{fmt.Sprintf(format, args...)}) }

// Must ends the run where err is not nil.
func (c *Case) Must(err error) {
	if err != nil {
		c.Cannot("%v", err)
	}
}

// Cleanup has f called at the end.
func (c *Case) Cleanup(f func()) {
	c.mu.Lock()
	c.cleanups = append(c.cleanups, f)
	c.mu.Unlock()
}

// FreeAddress returns a loopback address that is free.
func (c *Case) FreeAddress() string {
	address, err := faultnet.FreeAddress()
	c.Must(err)
	return address
}

// Folder makes a folder.
func (c *Case) Folder(name string) string {
	path := filepath.Join(c.Temp, name)
	c.Must(os.MkdirAll(path, 0o700))
	return path
}

// Write writes a file into the temporary folder and returns its path.
func (c *Case) Write(name, text string) string {
	path := filepath.Join(c.Temp, name)
	c.Must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Process is one process of a dispatcher.
type Process struct {
	Name   string
	Admin  string // of its operators' listener, as it logged it
	cmd    *exec.Cmd
	exited chan struct{}
	c      *Case

	mu     sync.Mutex
	events map[string]chan struct{}
	err    error
}

// Start starts a dispatcher by the run command of the deploy file. script may be empty; temp is its TMPDIR.
func (c *Case) Start(name, config, script, temp, admin string) *Process {
	command := "exec bin/tinsail serve"
	if script != "" {
		command += " --settings " + script
	}
	p := &Process{Name: name, cmd: exec.Command("/bin/sh", "-c", command), exited: make(chan struct{}), c: c, events: map[string]chan struct{}{}}
	p.cmd.Dir = c.Root
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+temp)
	if admin != "" {
		p.cmd.Env = append(p.cmd.Env, "ROUTER_ADMIN="+admin)
	}
	lines, err := p.cmd.StderrPipe()
	c.Must(err)
	c.Must(p.cmd.Start())
	c.Note("%s: started, process %d", name, p.cmd.Process.Pid)
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go func() {
		r := bufio.NewScanner(lines)
		r.Buffer(nil, 1<<20)
		for r.Scan() {
			c.Note("%s log: %s", name, r.Text())
			var line struct{ Event, Admin string }
			if json.Unmarshal(r.Bytes(), &line) != nil {
				continue
			}
			p.mu.Lock()
			if line.Admin != "" {
				p.Admin = line.Admin
			}
			p.mu.Unlock()
			p.seen(line.Event)
		}
		err := p.cmd.Wait()
		c.Note("%s: ended, %v", name, err)
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.exited)
	}()
	return p
}

func (p *Process) event(name string) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.events[name]
	if e == nil {
		e = make(chan struct{})
		p.events[name] = e
	}
	return e
}

func (p *Process) seen(name string) {
	e := p.event(name)
	select {
	case <-e:
	default:
		close(e)
	}
}

// Await waits for a log event and says whether it came.
func (p *Process) Await(event string, wait time.Duration) bool {
	select {
	case <-p.event(event):
		return true
	case <-p.exited:
		return false
	case <-time.After(wait):
		return false
	}
}

// Exited says whether the process ends within a time.
func (p *Process) Exited(wait time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(wait):
		return false
	}
}

// Err returns how the process ended.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.exited:
		return
	default:
	}
	if s != syscall.SIGCONT && s != syscall.SIGKILL {
		p.c.Note("%s: gets signal %v", p.Name, s)
	}
	_ = p.cmd.Process.Signal(s)
}

var doorClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Call makes an operator's call and returns its status (0: no answer) and text.
func (c *Case) Call(p *Process, admin, method, path string) (int, string) {
	q, err := http.NewRequest(method, "http://"+admin+path, nil)
	c.Must(err)
	r, err := doorClient.Do(q)
	if err != nil {
		c.Note("%s: %s %s: %v", p.Name, method, path, err)
		return 0, err.Error()
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(r.Body, 4096))
	c.Note("%s: %s %s: %d %s", p.Name, method, path, r.StatusCode, strings.TrimSpace(string(text)))
	return r.StatusCode, string(text)
}

// AwaitYes calls ready until it is a yes, and says whether it was in time.
func (c *Case) AwaitYes(p *Process, admin string, wait time.Duration) bool {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := doorClient.Get("http://" + admin + "/control/ready")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(io.LimitReader(r.Body, 4096))
		r.Body.Close()
		if r.StatusCode == 200 {
			c.Note("%s: ready: yes, %s", p.Name, strings.TrimSpace(string(text)))
			return true
		}
	}
	c.Note("%s: ready: no yes within %v", p.Name, wait)
	return false
}

// Client is one client connection over HTTP/1.1.
type Client struct {
	Address string
	Slack   time.Duration // how long after the patience of a request Do still waits; 0: 2 s
	conn    net.Conn
	reader  *bufio.Reader
}

// ErrClosed says that the connection was closed by the other side with no byte of an answer.
var ErrClosed = errors.New("closed without an answer")

// Connect connects, unless it is connected.
func (k *Client) Connect() error {
	if k.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", k.Address, time.Second)
	if err != nil {
		return err
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return nil
}

// Connected says whether there is a connection.
func (k *Client) Connected() bool { return k.conn != nil }

// Close closes the connection.
func (k *Client) Close() {
	if k.conn != nil {
		k.conn.Close()
	}
	k.conn = nil
}

// Do sends one request and returns its answer's status and body.
func (k *Client) Do(class, id, key, headers string, body string, patience time.Duration) (status int, text string, err error) {
	if err := k.Connect(); err != nil {
		return 0, "", err
	}
	if key != "" {
		headers += "Idempotency-Key: " + key + "\r\n"
	}
	slack := k.Slack
	if slack == 0 {
		slack = 2 * time.Second
	}
	k.conn.SetDeadline(time.Now().Add(patience + slack))
	head := fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		class, id, class, patience.Milliseconds(), headers, len(body))
	if _, err := io.WriteString(k.conn, head+body); err != nil {
		k.Close()
		return 0, "", err
	}
	r, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.Close()
		return 0, "", fmt.Errorf("%w: %w", ErrClosed, err)
	}
	b, err := io.ReadAll(r.Body)
	r.Body.Close()
	if err != nil {
		k.Close()
		return 0, "", err
	}
	if r.Close {
		k.Close()
	}
	return r.StatusCode, string(b), nil
}
