// Package platform stands in for the platform around a dispatcher: a director and backends, in
// process and on loopback, written from the published protocol with the standard library's
// HTTP server. It shares no code with what serves, so that a mistake there shows here.
package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Director serves the list of backends, whole and as a watch.
type Director struct {
	Address string

	server *http.Server
	mu     sync.Mutex
	index  uint64
	list   []Entry
	moved  chan struct{} // closed at the next change
	down   bool
}

// Entry is a line of the list, as the protocol has it.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
	index   uint64
}

// StartDirector listens on a free port of 127.0.0.1.
func StartDirector() (*Director, error) {
	d := &Director{index: 1, moved: make(chan struct{})}
	var err error
	d.server, d.Address, err = start(http.HandlerFunc(d.serve))
	return d, err
}

func start(h http.Handler, state ...func(net.Conn, http.ConnState)) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	if len(state) > 0 {
		s.ConnState = state[0] // before Serve, which reads it
	}
	go func() { _ = s.Serve(l) }() // ends with Close
	return s, l.Addr().String(), nil
}

// Set adds a backend to the list or changes its line. Status is Ready, Terminating or Gone.
func (d *Director) Set(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	e.index = d.index
	kept := d.list[:0]
	for _, old := range d.list {
		if old.Name != e.Name {
			kept = append(kept, old)
		}
	}
	d.list = append(kept, e)
	close(d.moved)
	d.moved = make(chan struct{})
}

// Down has every call fail with 503, or no longer.
func (d *Director) Down(down bool) {
	d.mu.Lock()
	d.down = down
	d.mu.Unlock()
}

// Close ends the director and all watches.
func (d *Director) Close() { d.server.Close() }

func (d *Director) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != "GET" || r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	if watch {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		d.await(r, since, time.Duration(min(ms, 60_000))*time.Millisecond)
	}
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := struct {
		Index     uint64  `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []Entry `json:"endpoints"`
	}{d.index, !watch, []Entry{}}
	for _, e := range d.list {
		if watch && e.index > since || !watch && e.Status != "Gone" {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	d.mu.Unlock()
	_ = json.NewEncoder(w).Encode(out) // a caller that has gone needs no answer
}

// await returns when something is newer than since, the time is up, or the caller has gone.
func (d *Director) await(r *http.Request, since uint64, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		d.mu.Lock()
		newer, moved := d.index > since, d.moved
		d.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-moved:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Faults are what a backend does wrong, from when they are set until they are set again.
type Faults struct {
	Fail   bool // every job fails at once
	Refuse bool // every job is turned away unstarted
	// RefuseAfter is how long each job that is turned away waits for that.
	RefuseAfter time.Duration
	Break       bool // the connection breaks once the job has started
	Hold        bool // a job that has started does not end until Hold is taken back
	// FailPart is the part of jobs, 0 to 1 by their ids, that fail as soon as they have started.
	FailPart float64
	// CloseEach ends each connection after its answer (Connection: close), so that every job
	// needs a new one.
	CloseEach bool
}

// Backend runs jobs: a job waits for one of its slots, tells that it has started, runs for as
// long as Work says and gives a result made of its id. A repeat of a key that ran here, or
// runs, waits for that run and gets its result: the job's effect happens once.
type Backend struct {
	Name, Address string
	Work          func(id string) time.Duration

	server *http.Server
	slots  chan struct{}
	mu     sync.Mutex
	faults Faults
	change chan struct{}     // closed when faults change
	ran    map[string]int    // how often a key's effect happened
	result map[string]string // by key
	counts Counts
	last   time.Time   // that a job's head came
	conns  []time.Time // when each connection came, the first mostConns
	starts []Start     // of attempts, the first mostConns
}

// Start is an attempt whose head is whole here, as it names itself.
type Start struct {
	At              time.Time
	Dispatcher, Req string
	Version         string // empty: it names none
}

// mostConns bounds what a backend remembers of its connections.
const mostConns = 1 << 20

// Connections are the times at which connections came, oldest first.
func (b *Backend) Connections() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.conns...)
}

// Starts are the attempts that came, in the order in which their heads were whole.
func (b *Backend) Starts() []Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Start(nil), b.starts...)
}

// part spreads ids over 0 to 1.
func part(id string) float64 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return float64(h.Sum32()>>8) / (1 << 24)
}

// LastJob is when the head of the last job came.
func (b *Backend) LastJob() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Counts are what a backend has seen.
type Counts struct{ Jobs, Started, Done, Left int }

// StartBackend listens on a free port of 127.0.0.1, with so many slots.
func StartBackend(name string, slots int, work func(id string) time.Duration) (*Backend, error) {
	b := &Backend{Name: name, Work: work, slots: make(chan struct{}, slots), change: make(chan struct{}),
		ran: map[string]int{}, result: map[string]string{}}
	var err error
	b.server, b.Address, err = start(http.HandlerFunc(b.serve), func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			b.mu.Lock()
			if len(b.conns) < mostConns {
				b.conns = append(b.conns, time.Now())
			}
			b.mu.Unlock()
		}
	})
	return b, err
}

// Entry is the backend's line in a list.
func (b *Backend) Entry(kind, zone string, group int, status string) Entry {
	return Entry{Name: b.Name, Address: b.Address, Zone: zone, Type: kind, Group: group, Status: status, Weight: float64(cap(b.slots))}
}

// Set has the backend fail in these ways from now on.
func (b *Backend) Set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.change)
	b.change = make(chan struct{})
}

// Counts tells what the backend has seen so far.
func (b *Backend) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Ran tells how often the effect of each key happened here.
func (b *Backend) Ran() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]int, len(b.ran))
	for k, n := range b.ran {
		all[k] = n
	}
	return all
}

// Close ends the backend and breaks its connections.
func (b *Backend) Close() { b.server.Close() }

func (b *Backend) load() string {
	return fmt.Sprintf(`{"x0":%d,"busy_reqs":%d}`, cap(b.slots)-len(b.slots), len(b.slots))
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == "POST":
		b.job(w, r)
	case r.URL.Path == "/health/live":
	case r.URL.Path == "/stats":
		fmt.Fprint(w, b.load())
	default:
		http.NotFound(w, r)
	}
}

func (b *Backend) state() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.change
}

func (b *Backend) add(f func(*Counts)) {
	b.mu.Lock()
	f(&b.counts)
	b.mu.Unlock()
}

func (b *Backend) job(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	b.last = time.Now()
	if len(b.starts) < mostConns {
		b.starts = append(b.starts, Start{b.last, r.Header.Get("X-Dispatcher"), id, r.Header.Get("X-Policy-Version")})
	}
	b.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		http.NotFound(w, r)
		return
	}
	b.add(func(c *Counts) { c.Jobs++ })
	f, _ := b.state()
	if f.CloseEach {
		w.Header().Set("Connection", "close")
	}
	if f.Refuse {
		select {
		case <-time.After(f.RefuseAfter):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done(): // called off while it waited: it never ran
		b.add(func(c *Counts) { c.Left++ })
		return
	}
	defer func() { <-b.slots }()
	b.add(func(c *Counts) { c.Started++ })
	line := func(rest string) {
		fmt.Fprintf(w, `{"id":%q,"from":%q,%s}`+"\n", id, b.Name, rest)
		_ = http.NewResponseController(w).Flush()
	}
	line(`"state":"started"`)
	if f.Fail || f.FailPart > 0 && part(id) < f.FailPart {
		line(`"state":"failed"`)
		return
	}
	if f.Break {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.Work(id)):
	case <-r.Context().Done():
		b.add(func(c *Counts) { c.Left++ })
		return
	}
	for f, change := b.state(); f.Hold; f, change = b.state() {
		select {
		case <-change:
		case <-r.Context().Done():
			b.add(func(c *Counts) { c.Left++ })
			return
		}
	}
	b.mu.Lock()
	result, again := b.result[key]
	if key == "" || !again {
		result = "small " + id
		b.result[key] = result
		b.ran[key]++
	}
	b.counts.Done++
	b.mu.Unlock()
	line(fmt.Sprintf(`"state":"done","result":%q,"load":%s`, result, b.load()))
}
