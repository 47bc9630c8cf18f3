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
// when a drain begins, and is removed at shutdown.
type Registration struct {
	Config    Config        // only addresses, scheme, token and TLS are used
	Name      string        // of the service
	ID        string        // of this instance
	Address   string        // host:port, where clients reach it
	TTL       time.Duration // of the TTL check, or interval of the HTTP check
	HTTPCheck bool          // the agent requests /health/ready at Address; otherwise a TTL check is updated from here
	Log       zerolog.Logger

	agents        []*api.Client
	mu            sync.Mutex
	inMaintenance bool
	stop          context.CancelFunc
	done          chan struct{}
}

// Init checks the configuration and makes the clients. It must be called before Start.
func (r *Registration) Init() (err error) {
	r.agents, err = r.Config.agents()
	return err
}

// Start registers the instance and maintains the registration in the background until Deregister.
func (r *Registration) Start() {
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	r.done = make(chan struct{})
	go func() {
		defer close(r.done)
		current, registered := 0, false
		for {
			callCtx, cancel := context.WithTimeout(ctx, r.TTL)
			q := (&api.QueryOptions{}).WithContext(callCtx)
			agent := r.agents[current].Agent()
			err := error(nil)
			if !registered {
				if err = r.register(callCtx, agent); err == nil {
					r.mu.Lock()
					if r.inMaintenance {
						err = agent.EnableServiceMaintenanceOpts(r.ID, "drain", q)
					}
					r.mu.Unlock()
				}
			}
			switch {
			case err != nil:
			case r.HTTPCheck: // checks only that the agent still has the registration
				_, _, err = agent.Service(r.ID, q)
			default:
				err = agent.UpdateTTLOpts("service:"+r.ID, "", api.HealthPassing, q)
			}
			cancel()
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
	}()
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
// that has the registration acts on it. It returns within a second.
func (r *Registration) EnterMaintenance() {
	r.mu.Lock()
	r.inMaintenance = true
	r.mu.Unlock()
	r.forEachAgent(func(a *api.Agent, q *api.QueryOptions) error { return a.EnableServiceMaintenanceOpts(r.ID, "drain", q) })
}

// Deregister ends the background task of Start and removes the instance.
func (r *Registration) Deregister() {
	r.stop()
	<-r.done
	r.forEachAgent(func(a *api.Agent, q *api.QueryOptions) error { return a.ServiceDeregisterOpts(r.ID, q) })
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
