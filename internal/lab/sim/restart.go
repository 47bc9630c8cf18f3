package sim

import (
	"maps"
	"slices"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/lab/judge"
	"tinsail/internal/maintenance"
)

// Restart kills a dispatcher and starts a new process that keeps only the last list. Times are in ms.
type Restart struct {
	At         float64
	Dispatcher int
	Downtime   float64 // until the new process serves
	FrontDelay float64 // until the front load balancer stops sending it clients
	// Graceful: its reqs are lost as well, but its last message tells its region's lender that it holds nothing.
	Graceful bool
}

// routedDispatchers returns the dispatchers that the front load balancer sends clients to, among them killed ones that
// it has not noticed. If it knows of no ready dispatcher it sends to all, having nothing better to go by.
func (w *world) routedDispatchers() []*dispatcher {
	out := w.routedBuffer[:0]
	for _, d := range w.dispatchers {
		if d.routed && !d.notReady {
			out = append(out, d)
		}
	}
	for i := 0; len(out) == 0 && i < len(w.dispatchers); i++ {
		if d := w.dispatchers[i]; d.routed {
			out = append(out, d)
		}
	}
	w.routedBuffer = out
	return out
}

func (w *world) restart(r Restart) {
	old := w.dispatchers[r.Dispatcher]
	if old.dead {
		return
	}
	w.record(judge.Event{Kind: judge.DispatcherKilled, Node: old.index})
	old.dead = true
	for _, name := range w.backendNames { // in a fixed order, so that the run is reproducible
		for _, id := range slices.Sorted(maps.Keys(w.backends[name].attempts)) {
			if a := w.backends[name].attempts[id]; a.dispatcher == old {
				a.ended = true
				a.cancel()
			}
		}
	}
	if r.Graceful { // attempts on their way to a backend are withdrawn: a graceful shutdown ends with nothing in flight
		for _, c := range old.waitingClients() {
			for _, a := range c.attempts {
				a.ended = true
			}
		}
	}
	if old.quotas != nil {
		old.quotas.stop(r.Graceful)
	}
	for _, c := range old.waitingClients() {
		c.lost()
	}
	w.schedule(w.now+r.FrontDelay, func() { old.routed = false })
	w.schedule(w.now+r.Downtime, func() {
		w.restarts++
		settings := w.settings
		settings.Seed, settings.Self = w.scenario.Seed*1_000_003+uint64(r.Dispatcher)+uint64(w.restarts)*7919, r.Dispatcher
		d, err := newDispatcher(w, r.Dispatcher, settings, w.policy)
		if err != nil { // the same settings have created a dispatcher before
			panic(err)
		}
		w.dispatchers[r.Dispatcher], old.routed = d, false
		lastList := make([]maintenance.Backend, 0, len(w.backendNames))
		for _, name := range w.backendNames {
			if b, known := old.lastList[name]; known {
				lastList = append(lastList, b)
			}
		}
		d.applyList(balance.ListCached, lastList)
		// Where lists are pushed, the agent sends its current list at once.
		w.schedule(w.now+w.delay(), func() {
			if !d.dead {
				d.sendFullList(w.backendList())
			}
		})
	})
}

// waitingClients returns the clients that wait for this dispatcher, in the order in which they arrived.
func (d *dispatcher) waitingClients() []*client {
	var out []*client
	for c := range d.waiting {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *client) int { return a.number - b.number })
	return out
}

// lost ends a try whose dispatcher was killed.
func (c *client) lost() {
	w := c.world
	delete(c.dispatcher.waiting, c)
	w.unanswered--
	w.secondCounts(w.now).Failed++
	c.endTry("lost "+c.stage(), core.Failure, c.class().Effect == balance.Safe, 0)
}

// unreachable ends a try that no dispatcher took.
func (c *client) unreachable() {
	c.world.secondCounts(c.world.now).Failed++
	c.endTry("unreachable", core.Failure, true, 0)
}
