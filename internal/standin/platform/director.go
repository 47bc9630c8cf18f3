package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Director serves the list of backends, in full and as a watch that returns changes. Dispatchers reach it
// through listeners; the main one is at Address.
type Director struct {
	Address string

	mu        sync.Mutex
	index     uint64
	list      []Entry
	changes   []Change
	listeners []*DirectorListener
	changed   chan struct{} // closed and replaced at each change
	down      bool
	downtimes []span
	indent    bool
}

// Entry is a backend in the list, in the protocol's form.
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

// Change is a change of one entry of the list.
type Change struct {
	Index        uint64
	Name, Status string
	ChangedAt    time.Time
}

// span is a period of failure; it lasts still if its end is zero.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// StartDirector starts a director on a free port of 127.0.0.1.
func StartDirector() (*Director, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	return NewDirector(l), nil
}

// NewDirector starts a director on the listener, which Close closes.
func NewDirector(l net.Listener) *Director {
	d := &Director{index: 1, changed: make(chan struct{})}
	d.Address = d.AddListener(l, false).Address
	return d
}

// Set adds a backend to the list or replaces its entry. Status is Ready, Terminating or Gone.
func (d *Director) Set(e Entry) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	e.index = d.index
	others := d.list[:0]
	for _, old := range d.list {
		if old.Name != e.Name {
			others = append(others, old)
		}
	}
	d.list = append(others, e)
	c := Change{d.index, e.Name, e.Status, time.Now()}
	d.changes = append(d.changes, c)
	d.wakeCalls()
	return c
}

// wakeCalls wakes all waiting calls. d.mu is held.
func (d *Director) wakeCalls() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetIndent sets whether lists are sent as indented JSON over many lines.
func (d *Director) SetIndent(on bool) {
	d.mu.Lock()
	d.indent = on
	d.mu.Unlock()
}

// SetDown sets whether the director is down: then all calls fail with 503, and so do the watches that are open.
// Agents keep answering.
func (d *Director) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down == d.down {
		return
	}
	if d.down = down; down {
		d.downtimes = append(d.downtimes, span{from: time.Now()})
	} else {
		d.downtimes[len(d.downtimes)-1].to = time.Now()
	}
	d.wakeCalls()
}

// Close closes all listeners and their connections.
func (d *Director) Close() {
	d.mu.Lock()
	listeners := d.listeners
	d.mu.Unlock()
	for _, s := range listeners {
		s.server.Close()
	}
}

func (d *Director) serve(s *DirectorListener, w http.ResponseWriter, r *http.Request) {
	if r.Method != "GET" || r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	c := &call{Call: Call{At: time.Now()}, silenced: make(chan struct{})}
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if c.Watch = err == nil; c.Watch {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		c.Wait = time.Duration(min(ms, 60_000)) * time.Millisecond
	}
	s.recordCall(c)
	answered := s.await(r, c, since)
	d.mu.Lock()
	if !answered || !c.SilentAt.IsZero() { // silenced, or its caller hung up
		d.mu.Unlock()
		<-r.Context().Done()
		s.recordAbandoned(c)
		panic(http.ErrAbortHandler)
	}
	if d.down && !s.agent {
		c.Failed, c.EndedAt = true, time.Now()
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := struct {
		Index     uint64  `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []Entry `json:"endpoints"`
	}{d.index, !c.Watch, []Entry{}}
	for _, e := range d.list {
		if c.Watch && e.index > since || !c.Watch && e.Status != "Gone" {
			answer.Endpoints = append(answer.Endpoints, e)
		}
	}
	c.Index, c.EndedAt = d.index, time.Now() // taken before the first byte is sent, so never later than the dispatcher receives it
	indent := d.indent
	d.mu.Unlock()
	enc := json.NewEncoder(w)
	if indent {
		enc.SetIndent("", "  ")
	}
	_ = enc.Encode(answer) // fails if the caller has hung up, which is no error here
}
