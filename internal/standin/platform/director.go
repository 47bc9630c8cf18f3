package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Director serves the list of backends, whole and as a watch. Dispatchers reach it by seats; the
// one that it starts with is at Address.
type Director struct {
	Address string

	mu      sync.Mutex
	index   uint64
	list    []Entry
	changes []Change
	seats   []*DirectorListener
	moved   chan struct{} // closed at the next change
	down    bool
	downs   []span
	indent  bool
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

// Change is one change of the list.
type Change struct {
	Index        uint64
	Name, Status string
	ChangedAt    time.Time
}

// span is a time in which something did not work; a zero end is yet to come.
type span struct{ from, to time.Time }

func (s span) holds(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// StartDirector listens on a free port of 127.0.0.1.
func StartDirector() (*Director, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	return NewDirector(l), nil
}

// NewDirector answers on a listener, which Close closes.
func NewDirector(l net.Listener) *Director {
	d := &Director{index: 1, moved: make(chan struct{})}
	d.Address = d.AddListener(l, false).Address
	return d
}

// Set adds a backend to the list or changes its line. Status is Ready, Terminating or Gone.
func (d *Director) Set(e Entry) Change {
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
	c := Change{d.index, e.Name, e.Status, time.Now()}
	d.changes = append(d.changes, c)
	d.stir()
	return c
}

// stir wakes every call that waits. d.mu is held.
func (d *Director) stir() {
	close(d.moved)
	d.moved = make(chan struct{})
}

// SetIndent has lists come indented, over many lines, or no longer.
func (d *Director) SetIndent(on bool) {
	d.mu.Lock()
	d.indent = on
	d.mu.Unlock()
}

// SetDown has every call fail with 503, and ends the watches, or no longer. Agents are told nothing.
func (d *Director) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down == d.down {
		return
	}
	if d.down = down; down {
		d.downs = append(d.downs, span{from: time.Now()})
	} else {
		d.downs[len(d.downs)-1].to = time.Now()
	}
	d.stir()
}

// Close ends the director and all watches.
func (d *Director) Close() {
	d.mu.Lock()
	seats := d.seats
	d.mu.Unlock()
	for _, s := range seats {
		s.server.Close()
	}
}

func (d *Director) serve(s *DirectorListener, w http.ResponseWriter, r *http.Request) {
	if r.Method != "GET" || r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	c := &call{Call: Call{At: time.Now()}, hush: make(chan struct{})}
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if c.Watch = err == nil; c.Watch {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		c.Wait = time.Duration(min(ms, 60_000)) * time.Millisecond
	}
	s.came(c)
	answered := s.await(r, c, since)
	d.mu.Lock()
	if !answered || !c.SilentAt.IsZero() { // fallen silent, or its caller has gone
		d.mu.Unlock()
		<-r.Context().Done()
		s.left(c)
		panic(http.ErrAbortHandler)
	}
	if d.down && !s.agent {
		c.Failed, c.EndedAt = true, time.Now()
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := struct {
		Index     uint64  `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []Entry `json:"endpoints"`
	}{d.index, !c.Watch, []Entry{}}
	for _, e := range d.list {
		if c.Watch && e.index > since || !c.Watch && e.Status != "Gone" {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	c.Index, c.EndedAt = d.index, time.Now() // noted before a byte goes out: never later than the dispatcher's
	indent := d.indent
	d.mu.Unlock()
	enc := json.NewEncoder(w)
	if indent {
		enc.SetIndent("", "  ")
	}
	_ = enc.Encode(out) // a caller that has gone needs no answer
}
