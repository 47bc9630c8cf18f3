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
type acceptGate struct {
	mu        sync.Mutex
	listeners []net.Listener
	reopened  chan struct{} // nil while the gate is open; closed when it opens again
}

// deadlineListener is a listener whose Accept can be interrupted without closing it.
type deadlineListener interface{ SetDeadline(time.Time) error }

func (g *acceptGate) add(l net.Listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	if d, ok := l.(deadlineListener); ok && g.reopened != nil {
		d.SetDeadline(time.Unix(1, 0))
	}
}

// setOpen opens or closes the gate.
func (g *acceptGate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open == (g.reopened == nil) {
		return
	}
	deadline := time.Unix(1, 0)
	if open {
		deadline = time.Time{}
		close(g.reopened)
		g.reopened = nil
	} else {
		g.reopened = make(chan struct{})
	}
	for _, l := range g.listeners {
		if d, ok := l.(deadlineListener); ok {
			d.SetDeadline(deadline)
		}
	}
}

// waitOpen blocks until the gate is open.
func (g *acceptGate) waitOpen() {
	g.mu.Lock()
	reopened := g.reopened
	g.mu.Unlock()
	if reopened != nil {
		<-reopened
	}
}

// unfinished returns how many sessions are reading or answering a request, and how many were told to close. The core stops
// counting a request once its answer is decided; the session that writes the answer counts here until the last byte is
// written. This includes a session that was told to close while a request was already on its way.
func (t *table) unfinished() (answering, closing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.byRank[rankBusy].Len(), t.pendingAnswers), t.byRank[rankClosing].Len()
}

// Service applies the state decided by package service to the fronts. Its methods may be called from any goroutine, and
// their effect is in place when they return.
type Service struct {
	Clients       *Clients
	HTTP2         *HTTP2                       // nil if HTTP/2 is off
	OnStateChange func(old, now service.State) // may be nil; must not block

	mu         sync.Mutex
	machine    service.Machine
	directives service.Directives
	timer      *time.Timer
	finished   bool
	ended      chan struct{}
}

// NewService returns a Service whose process is in service.
func NewService(c *Clients, h *HTTP2) *Service {
	return &Service{Clients: c, HTTP2: h, machine: service.Machine{LongestDeadline: c.LongestDeadline}, directives: inServiceDirectives, ended: make(chan struct{})}
}

// Ended is closed when the process has to end: everything is answered after a SIGTERM or a hand-over.
func (s *Service) Ended() <-chan struct{} { return s.ended }

// State returns the current state of the process.
func (s *Service) State() service.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directives.State
}

// IsOutOfService reports whether the dispatcher was taken out of service.
func (s *Service) IsOutOfService() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.IsOutOfService()
}

// TakeOutOfService starts to take the dispatcher out of service.
func (s *Service) TakeOutOfService() {
	s.update(func(now time.Time) { s.machine.TakeOutOfService(now) })
}

// ReturnToService puts the dispatcher back in service. It returns false if the process is shutting down.
func (s *Service) ReturnToService() (ok bool) {
	s.update(func(time.Time) { ok = s.machine.ReturnToService() })
	return ok
}

// BeginShutdown starts the shutdown, as on SIGTERM.
func (s *Service) BeginShutdown() { s.update(func(now time.Time) { s.machine.BeginShutdown(now) }) }

// HandOver reports that another process accepts connections in place of this one.
func (s *Service) HandOver() { s.update(func(now time.Time) { s.machine.HandOver(now) }) }

// ResumeAfterHandOver reports that the process that had taken over is gone; this one serves again.
func (s *Service) ResumeAfterHandOver() {
	s.update(func(time.Time) { s.machine.ResumeAfterHandOver() })
}

func (s *Service) refresh() { s.update(func(time.Time) {}) }

// closeReason returns the reason for closing sessions under these directives.
func closeReason(d service.Directives) guard.Reason {
	if d.HandedOver {
		return guard.HandedOver
	}
	return guard.ShuttingDown
}

// update applies an event to the state machine and carries out the resulting directives.
func (s *Service) update(event func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return
	}
	now := time.Now()
	event(now)
	c := s.Clients
	all, beforeCutoff := c.table.sessionCounts(s.machine.BalancerCutoff())
	openReqs := c.Core.OpenReqs() // read first: an answer decided after this is covered by the session counts below
	answering, closing := c.table.unfinished()
	d := s.machine.Evaluate(now, service.Load{Sessions: all, BeforeCutoff: beforeCutoff, Unanswered: max(openReqs, answering), Closing: closing})
	old := s.directives
	s.directives = d
	c.directives.Store(&d)
	c.acceptGate.setOpen(d.Accept && !d.Exit) // connections queued in a listener that another process shares are left to that process
	if s.HTTP2 != nil {
		if d.AnnounceClose && !old.AnnounceClose {
			s.HTTP2.announceDrain()
		}
		// Clients that reconnect at once would prolong the shutdown, and their requests would still be open
		// when it ends.
		if d.State == service.ShuttingDown && !d.AnswerBy.IsZero() {
			s.HTTP2.closeListener()
		}
	}
	if d.CloseAfterAnswer {
		c.table.closeIdle(d.IdleTimeout, closeReason(d))
	}
	if d.State != old.State {
		c.Guard.Record(guard.Event{At: now, Step: guard.ServiceState, Reason: d.State})
	}
	if d.State != old.State && s.OnStateChange != nil {
		s.OnStateChange(old.State, d.State)
	}
	switch {
	case d.Exit:
		if d.HandedOver {
			c.Count.HandoverSessionsLeft.Add(int64(all))
		}
		s.finished = true
		c.Guard.MarkShutdown(now)
		close(s.ended)
	case !s.machine.Changing():
	case s.timer == nil:
		s.timer = time.AfterFunc(service.PollInterval, s.refresh)
	default:
		s.timer.Reset(service.PollInterval)
	}
}
