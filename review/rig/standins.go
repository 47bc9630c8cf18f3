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
}

// Backend is a stand-in of a backend, a group of its own. It begins each job on its last byte, when a slot is free, says so,
// runs it for the time that the query of its path names (?ms=), and drops repeats of a key. A job that runs goes on where
// its connection is lost. With reset in the query the connection of a job's first attempt is reset once it has run.
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
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: idleTimeout}
	go func() { _ = b.server.Serve(l) }()
	return b
}

func (b *Backend) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Correlation-Id")
	if q.Method == "GET" && (q.URL.Path == "/health/live" || q.URL.Path == "/stats") { // a probe
		return
	}
	if q.Method != "POST" || id == "" {
		http.NotFound(w, q)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	ms, _ := strconv.Atoi(q.URL.Query().Get("ms"))
	key := q.Header.Get("Idempotency-Key")
	if b.dropsRepeat(key) { // it has the result of the job that ran before
		note("backend %s: %s, key %s, a repeat that is dropped", b.Name, id, key)
		fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,\"state\":\"done\",\"result\":\"made %s\"}\n", id, b.Name, id)
		return
	}
	if b.slots != nil {
		select {
		case b.slots <- struct{}{}:
			defer func() { <-b.slots }()
		case <-q.Context().Done(): // given up while it waited
			return
		}
	}
	j := &Job{Backend: b.Name, ID: id, Key: key, Start: time.Now()}
	if q.URL.Query().Get("reset") != "" {
		_, again := begunBefore.LoadOrStore(id, true)
		j.Reset = !again
	}
	b.mu.Lock()
	b.jobs = append(b.jobs, j)
	b.mu.Unlock()
	note("backend %s: %s, key %s, begins", b.Name, id, key)
	fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,\"state\":\"started\"}\n", id, b.Name)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(time.Duration(ms) * time.Millisecond)
	b.mu.Lock()
	j.End = time.Now()
	b.mu.Unlock()
	note("backend %s: %s, key %s, has run, reset %v", b.Name, id, key, j.Reset)
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

// repeatWindow is for how long a backend drops a repeat of a key, and idleTimeout when it closes a connection that rests; both
// are those of PlatformSettings.
const (
	repeatWindow = 7500 * time.Millisecond
	idleTimeout  = 10 * time.Second
)

// dropsRepeat reports whether a job of a key has run here within repeatWindow.
func (b *Backend) dropsRepeat(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.jobs {
		if key != "" && j.Key == key && !j.End.IsZero() && time.Since(j.Start) < repeatWindow {
			return true
		}
	}
	return false
}

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
func Send(c *http.Client, address string, r Request) (answer Answer) {
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
	note("client: %s key %s sent to %s, %s%s, %v left, %d bytes", r.ID, r.Key, address, r.Class, r.Query, r.TimeLeft, len(r.Body))
	defer func() { note("client: %s answered %d %v", r.ID, answer.Status, answer.Err) }()
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
