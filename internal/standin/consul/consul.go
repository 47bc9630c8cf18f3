// Package consul stands in for a Consul agent: the part of its published HTTP API (v1) that has to
// do with services and their health, with blocking queries, and with faults on command. In
// process and on loopback; it shares no code with what serves.
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

// Check is a health check of a service.
type Check struct {
	Node, CheckID, Name, Status, Output string
	ServiceID, ServiceName              string
}

// Weights of a service, by its health.
type Weights struct{ Passing, Warning int }

// Service is an instance of a service.
type Service struct {
	ID, Service, Address     string
	Port                     int
	Tags                     []string
	Meta                     map[string]string
	Weights                  Weights
	CreateIndex, ModifyIndex uint64
}

type instance struct {
	Service Service
	Node    struct{ Node, Address, Datacenter string }
	Checks  []Check
}

// Faults are what the agent does wrong, from when they are set until they are set again.
type Faults struct {
	Silent    bool          // no call is answered, for as long as this lasts
	Reset     bool          // every connection is reset
	Status    int           // every call is answered with this status
	Slow      time.Duration // before every answer
	Half      bool          // bodies break off in the middle
	Empty     bool          // lists are empty
	Double    bool          // lists name everything twice
	Back      uint64        // the index is told lower by this
	NoLeader  bool          // X-Consul-KnownLeader: false
	Stale     time.Duration // X-Consul-LastContact
	Malformed bool          // one more entry without an address, one with port 0, one with a control byte in its name
}

// Agent is a Consul agent.
type Agent struct {
	Address string

	server        *http.Server
	mu            sync.Mutex
	index         uint64
	instances     map[string]*instance // by service id
	indexChanged  chan struct{}
	faults        Faults
	faultsChanged chan struct{}
	calls         int
	token         string
}

// Start listens on a free port of 127.0.0.1.
func Start() (*Agent, error) { return StartAt("127.0.0.1:0") }

// StartAt listens on an address.
func StartAt(address string) (*Agent, error) {
	a := &Agent{index: 10, instances: map[string]*instance{}, indexChanged: make(chan struct{}), faultsChanged: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a.Address = l.Addr().String()
	a.server = &http.Server{Handler: http.HandlerFunc(a.handle)}
	go func() { _ = a.server.Serve(l) }() // ends with Close
	return a, nil
}

// Close ends the agent and all calls.
func (a *Agent) Close() { a.server.Close() }

// RequireToken has every call without this token answered 403.
func (a *Agent) RequireToken(token string) {
	a.mu.Lock()
	a.token = token
	a.mu.Unlock()
}

// SetFaults has the agent fail in these ways from now on.
func (a *Agent) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
	close(a.faultsChanged)
	a.faultsChanged = make(chan struct{})
}

// Calls is how many calls came so far.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Put adds a service or changes it; it passes.
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

// SetCheckStatus sets the status of a service's own check: passing, warning or critical.
func (a *Agent) SetCheckStatus(id, status string) {
	a.update(func() {
		if i := a.instances[id]; i != nil {
			i.Checks[0].Status = status
		}
	})
}

// SetMaintenance puts a service into maintenance, or takes it back.
func (a *Agent) SetMaintenance(id string, on bool) {
	a.update(func() {
		i := a.instances[id]
		if i == nil {
			return
		}
		i.Checks = i.Checks[:1]
		if on {
			i.Checks = append(i.Checks, Check{Node: "node-1", CheckID: "_service_maintenance:" + id, Status: "critical", ServiceID: id, ServiceName: i.Service.Service})
		}
	})
}

// RemoveService drops a service.
func (a *Agent) RemoveService(id string) { a.update(func() { delete(a.instances, id) }) }

// RemoveAll drops all services, as an agent does that restarts without its data.
func (a *Agent) RemoveAll() { a.update(func() { clear(a.instances) }) }

// ServiceStatuses tells the ids that are there with the status of all their checks together.
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

func (a *Agent) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	f()
	close(a.indexChanged)
	a.indexChanged = make(chan struct{})
}

// applyFaults does what is wrong now, and says whether the call is over by it.
func (a *Agent) applyFaults(w http.ResponseWriter, r *http.Request) (f Faults, over bool) {
	for {
		a.mu.Lock()
		f = a.faults
		change := a.faultsChanged
		a.mu.Unlock()
		if !f.Silent {
			break
		}
		select {
		case <-change:
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
	if r.URL.Path == "/lab/faults" && r.Method == "PUT" { // no path of Consul's: orders by hand
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
	f, over := a.applyFaults(w, r)
	if over {
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
		a.SetMaintenance(name, r.URL.Query().Get("enable") == "true")
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
	a.SetCheckStatus(s.ID, "critical") // a TTL check is critical until it is first passed
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

// handleHealth answers /v1/handleHealth/service/NAME, at once or when something newer than index is there.
func (a *Agent) handleHealth(w http.ResponseWriter, r *http.Request, name string, f Faults) {
	q := r.URL.Query()
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	if wait, err := time.ParseDuration(q.Get("wait")); index > 0 && err == nil {
		a.awaitIndex(r, index, min(wait, 10*time.Minute))
		var over bool
		if f, over = a.applyFaults(w, r); over { // it may have gone wrong meanwhile
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
	at := a.index
	a.mu.Unlock()
	if f.Double {
		out = append(out, out...)
	}
	if f.Malformed {
		bad := func(id, address string, port int) {
			i := instance{Service: Service{ID: id, Service: name, Address: address, Port: port}}
			out = append(out, i)
		}
		bad("no-address", "", 80)
		bad("no-port", "127.0.0.1", 0)
		bad("con\x01trol", "127.0.0.1", 80)
	}
	body, err := json.Marshal(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(at-min(f.Back, at), 10))
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(!f.NoLeader))
	h.Set("X-Consul-LastContact", strconv.FormatInt(f.Stale.Milliseconds(), 10))
	if f.Half {
		h.Set("Content-Length", strconv.Itoa(len(body)))
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // a caller that has gone needs no answer
}

func (a *Agent) awaitIndex(r *http.Request, index uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a.mu.Lock()
		newer, moved, change := a.index > index, a.indexChanged, a.faultsChanged
		a.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-moved:
		case <-change:
			return
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}
