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

// RawBackend is a backend for tests that write the bytes of each answer themselves. It reads and records requests and
// leaves the answer to a function, which can send part of a line, an extra line or a reset at any moment.
type RawBackend struct {
	Name, Address string

	answer   func(RawReq)
	listener *net.TCPListener
	fillers  []net.Conn // connections that fill the accept queue

	mu     sync.Mutex
	reqs   []RawReq
	conns  []*net.TCPConn
	closed bool // connections accepted from now on are closed at once
}

// RawReq is a request, as far as it was received.
type RawReq struct {
	Connection, Number int    // number of the connection, and of the request on it, from 0
	ID                 string // empty if its header didn't arrive in full
	FirstByteAt        time.Time
	Complete           bool // its last byte arrived
	TCP                *net.TCPConn
}

// StartRawBackend starts a backend on a free port of 127.0.0.1. answer is called when a request has arrived in full,
// in the connection's goroutine, which reads the next request after answer returns. If answer is nil, each request is
// answered with ResultAnswer.
func StartRawBackend(name string, answer func(RawReq)) (*RawBackend, error) {
	r, err := newRaw(name, answer)
	if err == nil {
		go r.accept()
	}
	return r, err
}

// StartStalledBackend starts a RawBackend whose accept queue is full, so that new connections aren't established until
// AcceptConnections is called.
func StartStalledBackend(name string, answer func(RawReq)) (*RawBackend, error) {
	r, err := newRaw(name, answer)
	if err != nil {
		return nil, err
	}
	if err := r.setBacklog(0); err != nil {
		return nil, err
	}
	for len(r.fillers) < 10 {
		c, err := net.DialTimeout("tcp", r.Address, 500*time.Millisecond)
		if err != nil {
			return r, nil
		}
		r.fillers = append(r.fillers, c)
	}
	return nil, fmt.Errorf("the accept queue of %s did not fill up", r.Address)
}

func newRaw(name string, answer func(RawReq)) (*RawBackend, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	r := &RawBackend{Name: name, Address: listener.Addr().String(), answer: answer, listener: listener.(*net.TCPListener)}
	if r.answer == nil {
		r.answer = func(q RawReq) { q.Write(r.ResultAnswer(q.ID)) }
	}
	return r, nil
}

// setBacklog changes the size of the listener's accept queue.
func (r *RawBackend) setBacklog(n int) error {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}

// AcceptConnections empties the accept queue and accepts connections from then on.
func (r *RawBackend) AcceptConnections() error {
	for _, c := range r.fillers {
		c.Close()
	}
	go r.accept()
	return r.setBacklog(128)
}

func (r *RawBackend) accept() {
	for {
		c, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.closed {
			c.Close()
		}
		n := len(r.conns)
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go r.read(n, c)
	}
}

// read reads and records the requests of a connection, answers probes and hands jobs to answer.
func (r *RawBackend) read(n int, c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for number := 0; ; number++ {
		if _, err := in.Peek(1); err != nil {
			return
		}
		q := RawReq{Connection: n, Number: number, FirstByteAt: time.Now(), TCP: c}
		head, err := http.ReadRequest(in)
		if err == nil {
			q.ID = head.Header.Get("X-Correlation-Id")
		}
		r.mu.Lock()
		at := len(r.reqs)
		r.reqs = append(r.reqs, q)
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
		r.reqs[at].Complete = true
		r.mu.Unlock()
		q.Complete = true
		r.answer(q)
	}
}

// Reqs returns the requests received, jobs and probes, in the order of their headers.
func (r *RawBackend) Reqs() []RawReq {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RawReq(nil), r.reqs...)
}

// Close closes the listener and resets all connections.
func (r *RawBackend) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.listener.Close()
	for _, c := range r.fillers {
		c.Close()
	}
	for _, c := range r.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// Entry returns the backend's entry for the director's list.
func (r *RawBackend) Entry(group int, status string) Entry {
	return Entry{Name: r.Name, Address: r.Address, Zone: "here", Type: "fast", Group: group, Status: status, Weight: 64}
}

// ResultAnswer returns a complete answer with the result "small ID".
func (r *RawBackend) ResultAnswer(id string) string {
	return AnswerHeader + EncodeChunk(r.StateLine(id, `"started"`)) + EncodeChunk(r.StateLine(id, fmt.Sprintf(`"done","result":"small %s"`, id))) + "0\r\n\r\n"
}

// StateLine returns a line of an answer. state is inserted as JSON: a quoted state, which further fields may follow.
func (r *RawBackend) StateLine(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"from":%q,"state":%s}`+"\n", id, r.Name, state)
}

// AnswerHeader is the status line and header of an answer, whose body is chunked.
const AnswerHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// EncodeChunk returns the text as a chunk of a chunked body.
func EncodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Write writes to the request's connection in one piece. Errors are ignored: the peer may have closed it.
func (q RawReq) Write(text string) { _, _ = io.WriteString(q.TCP, text) }

// Reset resets the request's connection, as the kernel does for a process that dies.
func (q RawReq) Reset() {
	_ = q.TCP.SetLinger(0)
	q.TCP.Close()
}
