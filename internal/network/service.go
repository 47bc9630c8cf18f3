package network

import (
	"net"
	"sync"
	"time"

	"tinsail/internal/guard"
	"tinsail/internal/service"
)

// gate holds the listeners of all fronts. While it is shut nobody is accepted, and what waits in a listener's
// queue goes on waiting there, for us or for another process that holds the same listener.
type gate struct {
	mu   sync.Mutex
	list []net.Listener
	shut chan struct{} // nil while open; closed when it opens again
}

// deadliner is a listener whose Accept can be woken without closing it.
type deadliner interface{ SetDeadline(time.Time) error }

func (g *gate) add(l net.Listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = append(g.list, l)
	if d, ok := l.(deadliner); ok && g.shut != nil {
		d.SetDeadline(time.Unix(1, 0))
	}
}

// set opens or shuts.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open == (g.shut == nil) {
		return
	}
	at := time.Unix(1, 0)
	if open {
		at = time.Time{}
		close(g.shut)
		g.shut = nil
	} else {
		g.shut = make(chan struct{})
	}
	for _, l := range g.list {
		if d, ok := l.(deadliner); ok {
			d.SetDeadline(at)
		}
	}
}

// wait returns once the gate is open.
func (g *gate) wait() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// answering is how many sessions have a req that is read or answered now. The core counts a req no more once its answer is
// decided; the session that writes it is here until its last byte is out, also one that is told to close and took a req that
// crossed that. closing is how many are told to close.
func (t *table) answering() (answering, closing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.rows[working].Len(), t.owed), t.rows[leaving].Len()
}

// Service has the fronts follow what package service decides. Its methods may be called from any
// goroutine; what they say holds when they return.
type Service struct {
	Clients *Clients
	HTTP2   *HTTP2                       // nil where it is off
	Changed func(old, now service.State) // may be nil; must not block

	mu    sync.Mutex
	m     service.Machine
	last  service.Orders
	timer *time.Timer
	over  bool
	ended chan struct{}
}

// NewService makes the state of a process in service.
func NewService(c *Clients, h *HTTP2) *Service {
	return &Service{Clients: c, HTTP2: h, m: service.Machine{Longest: c.Longest}, last: inService, ended: make(chan struct{})}
}

// Ended is closed when the process is to end: all is answered after a SIGTERM or a hand-over.
func (s *Service) Ended() <-chan struct{} { return s.ended }

// State is where the process stands.
func (s *Service) State() service.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last.State
}

// IsOut says whether the dispatcher was taken out of service.
func (s *Service) IsOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.IsOut()
}

// Out takes the dispatcher out of service.
func (s *Service) Out() { s.do(func(now time.Time) { s.m.Out(now) }) }

// In takes it back; false says that the process is shutting down.
func (s *Service) In() (ok bool) {
	s.do(func(time.Time) { ok = s.m.In() })
	return ok
}

// Term begins the shutdown.
func (s *Service) Term() { s.do(func(now time.Time) { s.m.Term(now) }) }

// HandOver tells that another process accepts in this one's place, TakeBack that it is gone.
func (s *Service) HandOver() { s.do(func(now time.Time) { s.m.HandOver(now) }) }

// TakeBack serves again.
func (s *Service) TakeBack() { s.do(func(time.Time) { s.m.TakeBack() }) }

func (s *Service) look() { s.do(func(time.Time) {}) }

// closeReason is why sessions close by these orders.
func closeReason(o service.Orders) guard.Reason {
	if o.Handed {
		return guard.HandedOver
	}
	return guard.ServiceEnds
}

// do lets something happen and has the fronts follow.
func (s *Service) do(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	now := time.Now()
	f(now)
	c := s.Clients
	all, early := c.table.open(s.m.FrontStops())
	owed := c.Core.Open() // first: an answer that is decided from now on has its session among those counted next
	answering, closing := c.table.answering()
	o := s.m.Look(now, service.Load{Sessions: all, Early: early, Owed: max(owed, answering), Closing: closing})
	old := s.last
	s.last = o
	c.orders.Store(&o)
	c.gate.set(o.Accept && !o.End) // who waits in a listener that another process has too is left to that one
	if s.HTTP2 != nil {
		if o.Hint && !old.Hint {
			s.HTTP2.hint()
		}
		// Clients that come straight back would keep the shutdown from ending, and its end would
		// find their reqs open.
		if o.State == service.ShuttingDown && !o.Until.IsZero() {
			s.HTTP2.shut()
		}
	}
	if o.Close {
		c.table.shutIdle(o.Rest, closeReason(o))
	}
	if o.State != old.State {
		c.Guard.Note(guard.Event{At: now, Step: guard.ServiceState, Why: o.State})
	}
	if o.State != old.State && s.Changed != nil {
		s.Changed(old.State, o.State)
	}
	switch {
	case o.End:
		if o.Handed {
			c.Count.HandoverLeft.Add(int64(all))
		}
		s.over = true
		c.Guard.End(now)
		close(s.ended)
	case !s.m.Changing():
	case s.timer == nil:
		s.timer = time.AfterFunc(service.LookEvery, s.look)
	default:
		s.timer.Reset(service.LookEvery)
	}
}
