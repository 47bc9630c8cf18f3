package sim

import (
	"maps"
	"slices"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/lab/judge"
	"tinsail/internal/maintenance"
)

// Restart kills a dispatcher and starts it again from nothing but its last list. Times are ms.
type Restart struct {
	At         float64
	Dispatcher int
	Downtime   float64 // until the new process serves
	FrontDelay float64 // until the front sends it nobody any more
	// Graceful: what it runs is lost as well, but its last word to its region's lender is that it holds nothing.
	Graceful bool
}

// routedDispatchers are the dispatchers that the front sends clients to, dead ones that it has not noticed among them. Where it
// has heard of none that it is ready it sends to all, as a front that knows no better.
func (w *world) routedDispatchers() []*dispatcher {
	out := w.fronted[:0]
	for _, s := range w.dispatchers {
		if s.routed && !s.notReady {
			out = append(out, s)
		}
	}
	for i := 0; len(out) == 0 && i < len(w.dispatchers); i++ {
		if s := w.dispatchers[i]; s.routed {
			out = append(out, s)
		}
	}
	w.fronted = out
	return out
}

func (w *world) restart(r Restart) {
	old := w.dispatchers[r.Dispatcher]
	if old.dead {
		return
	}
	w.note(judge.Event{Kind: judge.DispatcherKilled, Node: old.index})
	old.dead = true
	for _, n := range w.names { // in one order, so that a run stays the same
		for _, id := range slices.Sorted(maps.Keys(w.backends[n].out)) {
			if t := w.backends[n].out[id]; t.dispatcher == old {
				t.over = true
				t.call()
			}
		}
	}
	if r.Graceful { // what is on its way to a backend is taken back: a process that ends in order ends when nothing of it is out
		for _, c := range old.clients() {
			for _, t := range c.trips {
				t.over = true
			}
		}
	}
	if old.quotas != nil {
		old.quotas.stop(r.Graceful)
	}
	for _, c := range old.clients() {
		c.lost()
	}
	w.schedule(w.now+r.FrontDelay, func() { old.routed = false })
	w.schedule(w.now+r.Downtime, func() {
		w.restarts++
		settings := w.settings
		settings.Seed, settings.Self = w.scenario.Seed*1_000_003+uint64(r.Dispatcher)+uint64(w.restarts)*7919, r.Dispatcher
		s, err := newSide(w, r.Dispatcher, settings, w.policy)
		if err != nil { // the same settings have made one before
			panic(err)
		}
		w.dispatchers[r.Dispatcher], old.routed = s, false
		last := make([]maintenance.Backend, 0, len(w.names))
		for _, n := range w.names {
			if b, known := old.last[n]; known {
				last = append(last, b)
			}
		}
		s.listed(balance.ListCached, last)
		// Where lists are pushed, the agent tells at once what it has.
		w.schedule(w.now+w.delay(), func() {
			if !s.dead {
				s.whole(w.list())
			}
		})
	})
}

// clients are those that wait for this dispatcher, in the order in which they came.
func (s *dispatcher) clients() []*client {
	var out []*client
	for c := range s.asked {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *client) int { return a.n - b.n })
	return out
}

// lost ends a try whose dispatcher was killed.
func (c *client) lost() {
	w := c.world
	delete(c.dispatcher.asked, c)
	w.unanswered--
	w.second(w.now).Failed++
	c.ended("lost "+c.where(), core.Failure, c.class().Effect == balance.Safe, 0)
}

// unreachable ends a try that no dispatcher took.
func (c *client) unreachable() {
	c.world.second(c.world.now).Failed++
	c.ended("unreachable", core.Failure, true, 0)
}
