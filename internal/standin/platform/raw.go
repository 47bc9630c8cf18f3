package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Raw is a backend whose every byte a test writes: it reads reqs, notes them and leaves the answer to
// Answer, so that half a line, a surplus one or a reset can come at any moment. Close ends it.
type Raw struct {
	Name, Address string

	answer  func(RawReq)
	l       *net.TCPListener
	fillers []net.Conn

	mu    sync.Mutex
	seen  []RawReq
	conns []*net.TCPConn
	done  bool
}

// RawReq is a req as far as it came.
type RawReq struct {
	Conn, Turn int       // the number of its connection, and its own there, from 0
	ID         string    // empty: its head never came whole
	First      time.Time // its first byte came
	Whole      bool      // its last byte came
	C          *net.TCPConn
}

// StartRaw listens on a free port of 127.0.0.1. answer is called once a req is whole, in a goroutine of its connection, which
// reads on when answer returns; nil answers each with its result.
func StartRaw(name string, answer func(RawReq)) (*Raw, error) {
	r, err := newRaw(name, answer)
	if err == nil {
		go r.accept()
	}
	return r, err
}

// StartHeld is a Raw at which connections don't come up until Release is called: its listener's queue is full.
func StartHeld(name string, answer func(RawReq)) (*Raw, error) {
	r, err := newRaw(name, answer)
	if err != nil {
		return nil, err
	}
	if err := r.backlog(0); err != nil {
		return nil, err
	}
	for len(r.fillers) < 10 {
		c, err := net.DialTimeout("tcp", r.Address, 500*time.Millisecond)
		if err != nil {
			return r, nil
		}
		r.fillers = append(r.fillers, c)
	}
	return nil, fmt.Errorf("the queue of %s takes connections without end", r.Address)
}

func newRaw(name string, answer func(RawReq)) (*Raw, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	r := &Raw{Name: name, Address: l.Addr().String(), answer: answer, l: l.(*net.TCPListener)}
	if r.answer == nil {
		r.answer = func(q RawReq) { q.Write(r.Served(q.ID)) }
	}
	return r, nil
}

// backlog changes how many connections the listener's queue takes.
func (r *Raw) backlog(n int) error {
	raw, err := r.l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}

// Release lets connections come up.
func (r *Raw) Release() error {
	for _, c := range r.fillers {
		c.Close()
	}
	go r.accept()
	return r.backlog(128)
}

func (r *Raw) accept() {
	for {
		c, err := r.l.AcceptTCP()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.done {
			c.Close()
		}
		n := len(r.conns)
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go r.read(n, c)
	}
}

func (r *Raw) read(n int, c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for turn := 0; ; turn++ {
		if _, err := in.Peek(1); err != nil {
			return
		}
		q := RawReq{Conn: n, Turn: turn, First: time.Now(), C: c}
		head, err := http.ReadRequest(in)
		if err == nil {
			q.ID = head.Header.Get("X-Correlation-Id")
		}
		r.mu.Lock()
		at := len(r.seen)
		r.seen = append(r.seen, q)
		r.mu.Unlock()
		if err != nil {
			return
		}
		if head.Method != "POST" { // a probe
			q.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return
		}
		r.mu.Lock()
		r.seen[at].Whole = true
		r.mu.Unlock()
		q.Whole = true
		r.answer(q)
	}
}

// Seen are the reqs that came, jobs and probes, in the order of their heads.
func (r *Raw) Seen() []RawReq {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RawReq(nil), r.seen...)
}

// Close ends the listener and resets all connections.
func (r *Raw) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.l.Close()
	for _, c := range r.fillers {
		c.Close()
	}
	for _, c := range r.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// Entry is its line in a list.
func (r *Raw) Entry(group int, status string) Entry {
	return Entry{Name: r.Name, Address: r.Address, Zone: "here", Type: "fast", Group: group, Status: status, Weight: 64}
}

// Served is a whole answer with the result "small ID".
func (r *Raw) Served(id string) string {
	return Head + Chunk(r.Line(id, `"started"`)) + Chunk(r.Line(id, fmt.Sprintf(`"done","result":"small %s"`, id))) + "0\r\n\r\n"
}

// Line is a line of an answer, in the given state.
func (r *Raw) Line(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"from":%q,"state":%s}`+"\n", id, r.Name, state)
}

// Head begins an answer.
const Head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// Chunk frames a piece of an answer.
func Chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Write writes to the req's connection in one piece; a peer that has gone doesn't matter.
func (q RawReq) Write(text string) { _, _ = io.WriteString(q.C, text) }

// Reset breaks the req's connection as a process that dies does.
func (q RawReq) Reset() {
	_ = q.C.SetLinger(0)
	q.C.Close()
}
