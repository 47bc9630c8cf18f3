package rig

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Job is one job that a backend ran.
type Job struct {
	Backend, ID, Key string
	Start, End       time.Time // End is zero while it runs
	Reset            bool      // its connection was reset once it had run
	Version          string    // of the policy under which the dispatcher took it, if it says so
}

// Backend is a stand-in of a backend. It begins each job on its last byte, says so, and runs it for the time that
// the query of its path names (?ms=), but no longer than the dispatcher said that it waits. A job whose connection is
// lost runs on, as the pages say of some days. With reset in the query the connection of a job's first attempt is reset
// once it has run.
type Backend struct {
	Name, Address string

	server *http.Server
	slots  chan struct{} // nil for no limit
	mu     sync.Mutex
	jobs   []*Job
}

// StartBackend starts a backend on a free loopback port. Its jobs wait for one of the given slots; 0 is no limit.
func StartBackend(name string, slots int) *Backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	b := &Backend{Name: name, Address: l.Addr().String()}
	if slots > 0 {
		b.slots = make(chan struct{}, slots)
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(l) }()
	return b
}

func (b *Backend) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Correlation-Id")
	if q.Method != "POST" || id == "" {
		http.NotFound(w, q)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	ms, _ := strconv.Atoi(q.URL.Query().Get("ms"))
	if left, err := strconv.Atoi(q.Header.Get("X-Time-Left-Ms")); err == nil {
		ms = min(ms, max(left-endBefore, 0))
	}
	if b.slots != nil {
		select {
		case b.slots <- struct{}{}:
			defer func() { <-b.slots }()
		case <-q.Context().Done(): // given up while it waited
			return
		}
	}
	j := &Job{Backend: b.Name, ID: id, Key: q.Header.Get("Idempotency-Key"), Version: q.Header.Get("X-Policy-Version"), Start: time.Now()}
	if q.URL.Query().Get("reset") != "" {
		_, again := begunBefore.LoadOrStore(id, true)
		j.Reset = !again
	}
	b.mu.Lock()
	b.jobs = append(b.jobs, j)
	b.mu.Unlock()
	fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,\"state\":\"started\"}\n", id, b.Name)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(time.Duration(ms) * time.Millisecond)
	b.mu.Lock()
	j.End = time.Now()
	b.mu.Unlock()
	if j.Reset {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return
	}
	fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,\"state\":\"done\",\"result\":\"made %s\"}\n", id, b.Name, id)
}

// Jobs returns all jobs so far.
func (b *Backend) Jobs() (all []Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.jobs {
		all = append(all, *j)
	}
	return all
}

// endBefore is how many milliseconds before the dispatcher's time is over a backend ends a job.
const endBefore = 60

// begunBefore has the ids of jobs that ask for a reset and have begun at any backend.
var begunBefore sync.Map

var lastID atomic.Int64

// NewID returns an id that no request has had.
func NewID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, lastID.Add(1)) }

// Request is what a client sends.
type Request struct {
	ID, Class, Key, Account string
	Query                   string
	TimeLeft                time.Duration
	Body                    []byte
}

// Answer is what a client got: a status, or an error if its connection ended without an answer.
type Answer struct {
	Status int
	Body   string
	Err    error
}

// NewClient returns a client that keeps its connections.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
}

// Send sends a request to a dispatcher and waits for its answer, for half a second more than its time at most.
func Send(c *http.Client, address string, r Request) Answer {
	q, err := http.NewRequest("POST", "http://"+address+"/"+r.Class+"/7f3a9c21e0b4d655"+r.Query, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	q.Header.Set("X-Correlation-Id", r.ID)
	q.Header.Set("X-Service-Class", r.Class)
	q.Header.Set("X-Time-Left-Ms", strconv.FormatInt(r.TimeLeft.Milliseconds(), 10))
	if r.Key != "" {
		q.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Account != "" {
		q.Header.Set("X-Account", r.Account)
	}
	q.GetBody = nil // the id of a request is sent once
	timeout := *c
	timeout.Timeout = r.TimeLeft + 500*time.Millisecond
	a, err := timeout.Do(q)
	if err != nil {
		return Answer{Err: err}
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return Answer{Status: a.StatusCode, Body: string(body), Err: err}
}

// Get asks for a path and returns the status, 0 if there was no answer.
func Get(address, path string) int {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	a.Body.Close()
	return a.StatusCode
}
