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

// Registration keeps this dispatcher in Consul's catalogue: with a TTL check that is passed in
// time or an HTTP check that the agent makes, taken up again when the agent has forgotten it, put into maintenance when a drain begins,
// and dropped at the end.
type Registration struct {
	Config    Config // addresses, scheme, token and TLS; the rest is not used
	Name      string // of the service
	ID        string // of this instance
	Address   string // host:port, where clients reach it
	TTL       time.Duration
	HTTPCheck bool // the agent asks /health/ready at Address; else a TTL check is passed from here
	Log       zerolog.Logger

	agents        []*api.Client
	mu            sync.Mutex
	inMaintenance bool
	stop          context.CancelFunc
	done          chan struct{}
}

// Init checks the configuration. It must be called before Start.
func (r *Registration) Init() (err error) {
	r.agents, err = r.Config.agents()
	return err
}

// Start registers and keeps it up, in the background, until End.
func (r *Registration) Start() {
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	r.done = make(chan struct{})
	go func() {
		defer close(r.done)
		at, known := 0, false
		for {
			pass, cancel := context.WithTimeout(ctx, r.TTL)
			q := (&api.QueryOptions{}).WithContext(pass)
			agent := r.agents[at].Agent()
			err := error(nil)
			if !known {
				if err = r.register(pass, agent); err == nil {
					r.mu.Lock()
					if r.inMaintenance {
						err = agent.EnableServiceMaintenanceOpts(r.ID, "drain", q)
					}
					r.mu.Unlock()
				}
			}
			switch {
			case err != nil:
			case r.HTTPCheck: // only whether the agent still knows it
				_, _, err = agent.Service(r.ID, q)
			default:
				err = agent.UpdateTTLOpts("service:"+r.ID, "", api.HealthPassing, q)
			}
			cancel()
			if known = err == nil; !known && ctx.Err() == nil { // forgotten, or not reached: from the start, at the next agent
				at = (at + 1) % len(r.agents)
				r.Log.Warn().Err(err).Msg("consul registration failed")
			}
			wait := r.TTL / 3
			if !known {
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

// EnterMaintenance puts the instance into maintenance, at every agent that can be reached: the one that has
// it knows it. It returns within a second.
func (r *Registration) EnterMaintenance() {
	r.mu.Lock()
	r.inMaintenance = true
	r.mu.Unlock()
	r.forEachAgent(func(a *api.Agent, q *api.QueryOptions) error { return a.EnableServiceMaintenanceOpts(r.ID, "drain", q) })
}

// Deregister drops the instance and ends what Start began.
func (r *Registration) Deregister() {
	r.stop()
	<-r.done
	r.forEachAgent(func(a *api.Agent, q *api.QueryOptions) error { return a.ServiceDeregisterOpts(r.ID, q) })
}

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
