// Package consul simulates a Consul agent for tests and the laboratory: the part of its published HTTP API (v1) that concerns
// services and their health, with blocking queries and with faults that can be switched on. It runs in process, on
// loopback, and shares no code with the Consul client that it tests.
package consul

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Check is a health check of a service, encoded as in Consul's API.
type Check struct {
	Node, CheckID, Name, Status, Output, Notes string
	ServiceID, ServiceName                     string
}

// Weights are the load balancing weights of a service, by the status of its checks.
type Weights struct{ Passing, Warning int }

// Service is one instance of a service, encoded as in Consul's API.
type Service struct {
	ID, Service, Address     string
	Port                     int
	Tags                     []string
	Meta                     map[string]string
	Weights                  Weights
	CreateIndex, ModifyIndex uint64
}

// instance is an entry of the answer to /v1/health/service/NAME. Its field names are those of Consul's API.
type instance struct {
	Service Service
	Node    struct{ Node, Address, Datacenter string }
	Checks  []Check
}

// Faults are the faults of the agent, in effect until they are set again. The field names are also the JSON keys of PUT
// /lab/faults.
type Faults struct {
	Silent    bool          // calls wait without an answer while this is set
	Reset     bool          // every connection is closed without an answer
	Status    int           // every call is answered with this status; 0: none
	Slow      time.Duration // delay before every answer
	Half      bool          // bodies of lists end after half of their length
	Empty     bool          // lists are empty
	Double    bool          // lists contain every entry twice
	Back      uint64        // X-Consul-Index is lower by this than the true index
	NoLeader  bool          // X-Consul-KnownLeader is false
	Stale     time.Duration // value of X-Consul-LastContact
	Malformed bool          // lists have three more entries: one without an address, one with port 0, one with a control byte in its ID
}

// Agent is a simulated Consul agent.
type Agent struct {
	Address string // host and port it listens on

	server        *http.Server
	mu            sync.Mutex
	index         uint64
	instances     map[string]*instance // by service ID
	indexChanged  chan struct{}        // closed, and replaced, when index grows
	faults        Faults
	faultsChanged chan struct{} // closed, and replaced, when the faults are set
	calls         int
	token         string // required of every call; empty: none
}

// Start starts an agent on a free port of 127.0.0.1.
func Start() (*Agent, error) { return StartAt("127.0.0.1:0") }

// StartAt starts an agent that listens on the given address.
func StartAt(address string) (*Agent, error) {
	a := &Agent{index: 10, instances: map[string]*instance{}, indexChanged: make(chan struct{}), faultsChanged: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a.Address = l.Addr().String()
	a.server = &http.Server{Handler: http.HandlerFunc(a.handle)}
	go func() { _ = a.server.Serve(l) }() // returns when Close is called
	return a, nil
}

// Close stops the agent and closes its connections.
func (a *Agent) Close() { a.server.Close() }

// RequireToken makes the agent answer 403 to calls without this token.
func (a *Agent) RequireToken(token string) {
	a.mu.Lock()
	a.token = token
	a.mu.Unlock()
}

// SetFaults replaces the faults of the agent.
func (a *Agent) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
	close(a.faultsChanged)
	a.faultsChanged = make(chan struct{})
}

// Calls returns how many calls the agent has received, apart from those that set faults.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Put adds or replaces a service. The check of a new one is passing; weights default to 1.
func (a *Agent) Put(s Service) {
	a.update(func() {
		i := a.instances[s.ID]
		if i == nil {
			i = &instance{}
			i.Node.Node, i.Node.Address, i.Node.Datacenter = "node-1", "127.0.0.1", "dc1"
			i.Checks = []Check{{Node: "node-1", CheckID: "service:" + s.ID, Status: "passing", ServiceID: s.ID, ServiceName: s.Service}}
			s.CreateIndex = a.index
			a.instances[s.ID] = i
		}
		if s.Weights == (Weights{}) {
			s.Weights = Weights{1, 1}
		}
		s.ModifyIndex = a.index
		i.Service = s
	})
}

// SetCheckStatus sets the status of a service's own check to passing, warning or critical.
func (a *Agent) SetCheckStatus(id, status string) {
	a.update(func() {
		if i := a.instances[id]; i != nil {
			i.Checks[0].Status = status
		}
	})
}

// SetMaintenance puts a service into maintenance, or ends it, as an operator does.
func (a *Agent) SetMaintenance(id string, on bool) { a.setMaintenance(id, on, "") }

// checks returns all checks by ID, as GET /agent/checks does.
func (a *Agent) checks() map[string]Check {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := map[string]Check{}
	for _, i := range a.instances {
		for _, c := range i.Checks {
			all[c.CheckID] = c
		}
	}
	return all
}

func (a *Agent) setMaintenance(id string, on bool, reason string) {
	a.update(func() {
		i := a.instances[id]
		if i == nil {
			return
		}
		i.Checks = i.Checks[:1]
		if on {
			i.Checks = append(i.Checks, Check{Node: "node-1", CheckID: "_service_maintenance:" + id, Status: "critical", Notes: reason, ServiceID: id, ServiceName: i.Service.Service})
		}
	})
}

// RemoveService removes a service.
func (a *Agent) RemoveService(id string) { a.update(func() { delete(a.instances, id) }) }

// RemoveAll removes all services, as happens when an agent restarts without its data.
func (a *Agent) RemoveAll() { a.update(func() { clear(a.instances) }) }

// ServiceStatuses returns the status of every service by ID: maintenance, or the status of its last check that isn't passing,
// or passing.
func (a *Agent) ServiceStatuses() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := map[string]string{}
	for id, i := range a.instances {
		all[id] = "passing"
		for _, c := range i.Checks {
			if c.Status != "passing" {
				all[id] = c.Status
			}
			if strings.HasPrefix(c.CheckID, "_service_maintenance") {
				all[id] = "maintenance"
				break
			}
		}
	}
	return all
}

// update runs f under the lock with a new index, and wakes the blocking queries.
func (a *Agent) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	f()
	close(a.indexChanged)
	a.indexChanged = make(chan struct{})
}

// applyFaults applies the current faults to a call. done reports that the call needs no further answer.
func (a *Agent) applyFaults(w http.ResponseWriter, r *http.Request) (f Faults, done bool) {
	for {
		a.mu.Lock()
		f = a.faults
		faultsChanged := a.faultsChanged
		a.mu.Unlock()
		if !f.Silent {
			break
		}
		select {
		case <-faultsChanged:
		case <-r.Context().Done():
			return f, true
		}
	}
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow):
		case <-r.Context().Done():
			return f, true
		}
	}
	switch {
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		http.Error(w, "as ordered", f.Status)
		return f, true
	}
	return f, false
}

func (a *Agent) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/lab/faults" && r.Method == "PUT" { // not a path of Consul's API: sets the faults by hand
		var f Faults
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a.SetFaults(f)
		return
	}
	a.mu.Lock()
	a.calls++
	token := a.token
	a.mu.Unlock()
	f, done := a.applyFaults(w, r)
	if done {
		return
	}
	if token != "" && r.Header.Get("X-Consul-Token") != token {
		http.Error(w, "Permission denied", http.StatusForbidden)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/v1/")
	name := path[strings.LastIndexByte(path, '/')+1:]
	switch {
	case strings.HasPrefix(path, "health/service/"):
		a.handleHealth(w, r, name, f)
	case path == "agent/service/register" && r.Method == "PUT":
		a.handleRegister(w, r)
	case strings.HasPrefix(path, "agent/service/deregister/") && r.Method == "PUT":
		a.RemoveService(name)
	case strings.HasPrefix(path, "agent/service/maintenance/") && r.Method == "PUT":
		if _, ok := a.ServiceStatuses()[name]; !ok {
			http.Error(w, "unknown service", http.StatusNotFound)
			return
		}
		a.setMaintenance(name, r.URL.Query().Get("enable") == "true", r.URL.Query().Get("reason"))
	case path == "agent/checks" && r.Method == "GET":
		_ = json.NewEncoder(w).Encode(a.checks())
	case strings.HasPrefix(path, "agent/service/") && r.Method == "GET":
		a.mu.Lock()
		i := a.instances[name]
		a.mu.Unlock()
		if i == nil {
			http.Error(w, "unknown service ID: "+name, http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"ID": name})
	case strings.HasPrefix(path, "agent/check/update/") && r.Method == "PUT":
		a.handleCheckUpdate(w, r, strings.TrimPrefix(path, "agent/check/update/"))
	default:
		http.NotFound(w, r)
	}
}

func (a *Agent) handleRegister(w http.ResponseWriter, r *http.Request) {
	var s struct {
		ID, Name, Address string
		Port              int
		Tags              []string
		Meta              map[string]string
	}
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.Put(Service{ID: s.ID, Service: s.Name, Address: s.Address, Port: s.Port, Tags: s.Tags, Meta: s.Meta})
	a.SetCheckStatus(s.ID, "critical") // a TTL check is critical until its first update
}

func (a *Agent) handleCheckUpdate(w http.ResponseWriter, r *http.Request, check string) {
	var u struct{ Status string }
	if err := json.NewDecoder(r.Body).Decode(&u); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := strings.TrimPrefix(check, "service:")
	if _, ok := a.ServiceStatuses()[id]; !ok {
		http.Error(w, fmt.Sprintf("Unknown check ID %q", check), http.StatusNotFound)
		return
	}
	a.SetCheckStatus(id, u.Status)
}

// handleHealth answers /v1/health/service/NAME. With a wait and an index in the query, it first waits for a newer index.
func (a *Agent) handleHealth(w http.ResponseWriter, r *http.Request, name string, f Faults) {
	q := r.URL.Query()
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	if wait, err := time.ParseDuration(q.Get("wait")); index > 0 && err == nil {
		a.awaitIndex(r, index, min(wait, 10*time.Minute))
		var done bool
		if f, done = a.applyFaults(w, r); done { // the faults may have changed during the wait
			return
		}
	}
	a.mu.Lock()
	out := []instance{}
	for _, id := range slices.Sorted(maps.Keys(a.instances)) {
		i := *a.instances[id]
		i.Checks = slices.Clone(i.Checks)
		tagged := true
		for _, tag := range q["tag"] {
			tagged = tagged && slices.Contains(i.Service.Tags, tag)
		}
		if i.Service.Service == name && tagged && !f.Empty {
			out = append(out, i)
		}
	}
	current := a.index
	a.mu.Unlock()
	if f.Double {
		out = append(out, out...)
	}
	if f.Malformed {
		addMalformed := func(id, address string, port int) {
			i := instance{Service: Service{ID: id, Service: name, Address: address, Port: port}}
			out = append(out, i)
		}
		addMalformed("no-address", "", 80)
		addMalformed("no-port", "127.0.0.1", 0)
		addMalformed("con\x01trol", "127.0.0.1", 80)
	}
	body, err := json.Marshal(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(current-min(f.Back, current), 10))
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(!f.NoLeader))
	h.Set("X-Consul-LastContact", strconv.FormatInt(f.Stale.Milliseconds(), 10))
	if f.Half {
		h.Set("Content-Length", strconv.Itoa(len(body)))
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // fails only if the caller has closed the connection
}

// awaitIndex returns when the agent's index is larger than the given one, the faults change, the wait is over or the caller has
// closed the connection.
func (a *Agent) awaitIndex(r *http.Request, index uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a.mu.Lock()
		newer, indexChanged, faultsChanged := a.index > index, a.indexChanged, a.faultsChanged
		a.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-indexChanged:
		case <-faultsChanged:
			return
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}
