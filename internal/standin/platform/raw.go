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

// RawBackend is a backend whose every byte a test writes: it reads reqs, notes them and leaves the answer to
// Answer, so that half a line, a surplus one or a reset can come at any moment. Close ends it.
type RawBackend struct {
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
	Connection, Number int       // the number of its connection, and its own there, from 0
	ID                 string    // empty: its head never came whole
	FirstByteAt        time.Time // its first byte came
	Complete           bool      // its last byte came
	TCP                *net.TCPConn
}

// StartRawBackend listens on a free port of 127.0.0.1. answer is called once a req is whole, in a goroutine of its connection, which
// reads on when answer returns; nil answers each with its result.
func StartRawBackend(name string, answer func(RawReq)) (*RawBackend, error) {
	r, err := newRaw(name, answer)
	if err == nil {
		go r.accept()
	}
	return r, err
}

// StartStalledBackend is a Raw at which connections don't come up until Release is called: its listener's queue is full.
func StartStalledBackend(name string, answer func(RawReq)) (*RawBackend, error) {
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

func newRaw(name string, answer func(RawReq)) (*RawBackend, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	r := &RawBackend{Name: name, Address: l.Addr().String(), answer: answer, l: l.(*net.TCPListener)}
	if r.answer == nil {
		r.answer = func(q RawReq) { q.Write(r.ResultAnswer(q.ID)) }
	}
	return r, nil
}

// backlog changes how many connections the listener's queue takes.
func (r *RawBackend) backlog(n int) error {
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

// AcceptConnections lets connections come up.
func (r *RawBackend) AcceptConnections() error {
	for _, c := range r.fillers {
		c.Close()
	}
	go r.accept()
	return r.backlog(128)
}

func (r *RawBackend) accept() {
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

func (r *RawBackend) read(n int, c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for turn := 0; ; turn++ {
		if _, err := in.Peek(1); err != nil {
			return
		}
		q := RawReq{Connection: n, Number: turn, FirstByteAt: time.Now(), TCP: c}
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
		r.seen[at].Complete = true
		r.mu.Unlock()
		q.Complete = true
		r.answer(q)
	}
}

// Reqs are the reqs that came, jobs and probes, in the order of their heads.
func (r *RawBackend) Reqs() []RawReq {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RawReq(nil), r.seen...)
}

// Close ends the listener and resets all connections.
func (r *RawBackend) Close() {
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
func (r *RawBackend) Entry(group int, status string) Entry {
	return Entry{Name: r.Name, Address: r.Address, Zone: "here", Type: "fast", Group: group, Status: status, Weight: 64}
}

// ResultAnswer is a whole answer with the result "small ID".
func (r *RawBackend) ResultAnswer(id string) string {
	return AnswerHeader + EncodeChunk(r.StateLine(id, `"started"`)) + EncodeChunk(r.StateLine(id, fmt.Sprintf(`"done","result":"small %s"`, id))) + "0\r\n\r\n"
}

// StateLine is a line of an answer, in the given state.
func (r *RawBackend) StateLine(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"from":%q,"state":%s}`+"\n", id, r.Name, state)
}

// AnswerHeader begins an answer.
const AnswerHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// EncodeChunk frames a piece of an answer.
func EncodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Write writes to the req's connection in one piece; a peer that has gone doesn't matter.
func (q RawReq) Write(text string) { _, _ = io.WriteString(q.TCP, text) }

// Reset breaks the req's connection as a process that dies does.
func (q RawReq) Reset() {
	_ = q.TCP.SetLinger(0)
	q.TCP.Close()
}
