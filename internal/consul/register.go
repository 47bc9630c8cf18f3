package consul

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/consul/api"
	"github.com/rs/zerolog"
)

// Registration keeps this dispatcher registered in Consul's catalogue, with a TTL check that it updates or an HTTP
// check that the agent makes. It registers again if the agent has lost the registration, enters maintenance mode
// when a drain begins, and is removed at shutdown. The two processes of an upgrade share one entry: only the one that
// serves owns it and writes to it, from Start to Release.
type Registration struct {
	Config    Config        // only addresses, scheme, token and TLS are used
	Name      string        // of the service
	ID        string        // of this instance
	Address   string        // host:port, where clients reach it
	TTL       time.Duration // of the TTL check, or interval of the HTTP check
	HTTPCheck bool          // the agent requests /health/ready at Address; otherwise a TTL check is updated from here
	Log       zerolog.Logger

	agents []*api.Client

	calls sync.Mutex // held during the calls of EnterMaintenance, Release and Deregister

	mu            sync.Mutex
	inMaintenance bool
	stop          context.CancelFunc // ends the background task; nil while this process doesn't own the entry
	done          chan struct{}      // closed when the background task has ended
}

// maintenanceReason marks maintenance that a process of the dispatcher began, and not an operator.
const maintenanceReason = "drain"

// Init checks the configuration and makes the clients. It must be called before Start.
func (r *Registration) Init() (err error) {
	r.agents, err = r.Config.agents()
	return err
}

// Start registers the instance and maintains the registration in the background until Release or Deregister. Maintenance that
// an earlier process of the dispatcher has left is ended. It does nothing if it was started already.
func (r *Registration) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		return
	}
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	r.done = make(chan struct{})
	go r.maintain(ctx, r.done)
}

// maintain keeps the instance registered until ctx is done.
func (r *Registration) maintain(ctx context.Context, done chan struct{}) {
	defer close(done)
	current, registered := 0, false
	for {
		err := r.update(ctx, r.agents[current].Agent(), registered)
		if registered = err == nil; !registered && ctx.Err() == nil { // lost, or agent not reached: register at the next agent
			current = (current + 1) % len(r.agents)
			r.Log.Warn().Err(err).Msg("consul registration failed")
		}
		wait := r.TTL / 3
		if !registered {
			wait = min(wait, time.Second)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// update registers the instance if it is not registered, and passes its TTL check.
func (r *Registration) update(ctx context.Context, agent *api.Agent, registered bool) error {
	ctx, cancel := context.WithTimeout(ctx, r.TTL)
	defer cancel()
	q := (&api.QueryOptions{}).WithContext(ctx)
	if !registered {
		if err := r.register(ctx, agent); err != nil {
			return err
		}
		if err := r.restoreMaintenance(agent, q); err != nil {
			return err
		}
	}
	if r.HTTPCheck { // checks only that the agent still has the registration
		_, _, err := agent.Service(r.ID, q)
		return err
	}
	return agent.UpdateTTLOpts("service:"+r.ID, "", api.HealthPassing, q)
}

// restoreMaintenance makes the entry's maintenance what this process wants. What an operator has put into maintenance stays
// so.
func (r *Registration) restoreMaintenance(agent *api.Agent, q *api.QueryOptions) error {
	if r.wantsMaintenance() {
		return agent.EnableServiceMaintenanceOpts(r.ID, maintenanceReason, q)
	}
	checks, err := agent.ChecksWithFilterOpts("", q)
	if err != nil {
		return err
	}
	if c := checks[api.ServiceMaintPrefix+r.ID]; c == nil || c.Notes != maintenanceReason {
		return nil
	}
	if err := agent.DisableServiceMaintenanceOpts(r.ID, q); err != nil || !r.wantsMaintenance() {
		return err
	}
	return agent.EnableServiceMaintenanceOpts(r.ID, maintenanceReason, q) // EnterMaintenance was called meanwhile
}

func (r *Registration) wantsMaintenance() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inMaintenance
}

func (r *Registration) register(ctx context.Context, agent *api.Agent) error {
	host, port, err := net.SplitHostPort(r.Address)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	check := &api.AgentServiceCheck{CheckID: "service:" + r.ID, DeregisterCriticalServiceAfter: max(20*r.TTL, time.Minute).String()}
	if r.HTTPCheck {
		check.HTTP, check.Interval = "http://"+r.Address+"/health/ready", r.TTL.String()
	} else {
		check.TTL = r.TTL.String()
	}
	return agent.ServiceRegisterOpts(&api.AgentServiceRegistration{ID: r.ID, Name: r.Name, Address: host, Port: n, Check: check},
		api.ServiceRegisterOpts{}.WithContext(ctx))
}

// EnterMaintenance puts the instance into maintenance mode at every agent that can be reached; only the agent
// that has the registration acts on it. It returns within a second. A process that doesn't own the entry changes it when
// it takes it over, if it ever does.
func (r *Registration) EnterMaintenance() {
	r.calls.Lock()
	defer r.calls.Unlock()
	r.mu.Lock()
	owned := r.stop != nil
	r.inMaintenance = true
	r.mu.Unlock()
	if !owned {
		return
	}
	r.forEachAgent(func(a *api.Agent, q *api.QueryOptions) error {
		return a.EnableServiceMaintenanceOpts(r.ID, maintenanceReason, q)
	})
}

// Release leaves the entry to the other process of this dispatcher, which serves from now on: this process doesn't write to it
// any more, and ends the maintenance that it has begun. It returns within a second.
func (r *Registration) Release() {
	r.end(func() {
		if r.wantsMaintenance() {
			r.forEachAgent(func(a *api.Agent, q *api.QueryOptions) error { return a.DisableServiceMaintenanceOpts(r.ID, q) })
		}
	})
}

// Deregister ends the background task of Start and removes the instance. It does nothing if this process doesn't own the
// entry.
func (r *Registration) Deregister() {
	r.end(func() {
		r.forEachAgent(func(a *api.Agent, q *api.QueryOptions) error { return a.ServiceDeregisterOpts(r.ID, q) })
	})
}

// end ends the background task and then makes the last calls, if this process owns the entry.
func (r *Registration) end(lastCalls func()) {
	r.calls.Lock()
	defer r.calls.Unlock()
	r.mu.Lock()
	stop, done := r.stop, r.done
	r.stop = nil
	r.mu.Unlock()
	if stop == nil {
		return
	}
	stop()
	<-done
	lastCalls()
}

// forEachAgent calls f for all agents at the same time and waits up to a second.
func (r *Registration) forEachAgent(f func(*api.Agent, *api.QueryOptions) error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var all sync.WaitGroup
	for _, a := range r.agents {
		all.Go(func() {
			if err := f(a.Agent(), (&api.QueryOptions{}).WithContext(ctx)); err != nil {
				r.Log.Info().Err(err).Msg("consul registration not changed")
			}
		})
	}
	all.Wait()
}
