package network

import (
	"net"
	"sync"
	"time"

	"tinsail/internal/guard"
	"tinsail/internal/service"
)

// acceptGate pauses the accept loops of all fronts. While it is closed nothing is accepted: new connections stay in the
// listeners' queues, for this process or for another one that holds the same listening sockets.
type gate struct {
	mu   sync.Mutex
	list []net.Listener
	shut chan struct{} // nil while the gate is open; closed when it opens again
}

// deadlineListener is a listener whose Accept can be interrupted without closing it.
type deadliner interface{ SetDeadline(time.Time) error }

func (g *gate) add(l net.Listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = append(g.list, l)
	if d, ok := l.(deadliner); ok && g.shut != nil {
		d.SetDeadline(time.Unix(1, 0))
	}
}

// setOpen opens or closes the gate.
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

// waitOpen blocks until the gate is open.
func (g *gate) wait() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// unfinished returns how many sessions are reading or answering a request, and how many were told to close (closing). The core
// stops counting a request once its answer is decided; the session that writes the answer counts here until the last byte is
// written. This includes a session that was told to close while a request was already on its way.
func (t *table) answering() (answering, closing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.rows[working].Len(), t.owed), t.rows[leaving].Len()
}

// Service applies the state decided by package service to the fronts. Its methods may be called from any goroutine, and
// their effect is in place when they return.
type Service struct {
	Clients       *Clients
	HTTP2         *HTTP2                       // nil if HTTP/2 is off
	OnStateChange func(old, now service.State) // may be nil; must not block

	mu    sync.Mutex
	m     service.Machine
	last  service.Directives
	timer *time.Timer
	over  bool
	ended chan struct{}
}

// NewService returns a Service whose process is in service.
func NewService(c *Clients, h *HTTP2) *Service {
	return &Service{Clients: c, HTTP2: h, m: service.Machine{LongestDeadline: c.LongestDeadline}, last: inService, ended: make(chan struct{})}
}

// Ended is closed when the process has to end: everything is answered after a SIGTERM or a hand-over.
func (s *Service) Ended() <-chan struct{} { return s.ended }

// State returns the current state of the process.
func (s *Service) State() service.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last.State
}

// IsOutOfService reports whether the dispatcher was taken out of service.
func (s *Service) IsOutOfService() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.IsOutOfService()
}

// TakeOutOfService starts to take the dispatcher out of service.
func (s *Service) TakeOutOfService() { s.do(func(now time.Time) { s.m.TakeOutOfService(now) }) }

// ReturnToService puts the dispatcher back in service. It returns false if the process is shutting down.
func (s *Service) ReturnToService() (ok bool) {
	s.do(func(time.Time) { ok = s.m.ReturnToService() })
	return ok
}

// BeginShutdown starts the shutdown, as on SIGTERM.
func (s *Service) BeginShutdown() { s.do(func(now time.Time) { s.m.BeginShutdown(now) }) }

// HandOver reports that another process accepts connections in place of this one.
func (s *Service) HandOver() { s.do(func(now time.Time) { s.m.HandOver(now) }) }

// ResumeAfterHandOver reports that the process that had taken over is gone; this one serves again.
func (s *Service) ResumeAfterHandOver() { s.do(func(time.Time) { s.m.ResumeAfterHandOver() }) }

func (s *Service) look() { s.do(func(time.Time) {}) }

// closeReason returns the reason for closing sessions under these orders.
func closeReason(o service.Directives) guard.Reason {
	if o.HandedOver {
		return guard.HandedOver
	}
	return guard.ServiceEnds
}

// update applies an event to the state machine and carries out the resulting orders.
func (s *Service) do(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	now := time.Now()
	f(now)
	c := s.Clients
	all, early := c.table.open(s.m.BalancerCutoff())
	owed := c.Core.OpenReqs() // read first: an answer decided after this is covered by the session counts below
	answering, closing := c.table.answering()
	o := s.m.Evaluate(now, service.Load{Sessions: all, BeforeCutoff: early, Unanswered: max(owed, answering), Closing: closing})
	old := s.last
	s.last = o
	c.orders.Store(&o)
	c.gate.set(o.Accept && !o.Exit) // connections queued in a listener that another process shares are left to that process
	if s.HTTP2 != nil {
		if o.AnnounceClose && !old.AnnounceClose {
			s.HTTP2.hint()
		}
		// Clients that reconnect at once would prolong the shutdown, and their requests would still be open
		// when it ends.
		if o.State == service.ShuttingDown && !o.AnswerBy.IsZero() {
			s.HTTP2.shut()
		}
	}
	if o.CloseAfterAnswer {
		c.table.shutIdle(o.IdleTimeout, closeReason(o))
	}
	if o.State != old.State {
		c.Guard.Note(guard.Event{At: now, Step: guard.ServiceState, Why: o.State})
	}
	if o.State != old.State && s.OnStateChange != nil {
		s.OnStateChange(old.State, o.State)
	}
	switch {
	case o.Exit:
		if o.HandedOver {
			c.Count.HandoverLeft.Add(int64(all))
		}
		s.over = true
		c.Guard.End(now)
		close(s.ended)
	case !s.m.Changing():
	case s.timer == nil:
		s.timer = time.AfterFunc(service.PollInterval, s.look)
	default:
		s.timer.Reset(service.PollInterval)
	}
}
