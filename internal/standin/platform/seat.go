package platform

import (
	"net"
	"net/http"
	"time"
)

// DirectorListener is the director as one dispatcher reaches it: at an address of its own, so that it is known
// what was told to whom. An agent's seat is the agent on the dispatcher's own machine.
type DirectorListener struct {
	Address string

	d      *Director
	agent  bool
	server *http.Server
	// all under d.mu
	calls   []*call
	out     bool
	outages []span
}

// Call is a dispatcher's call, and what became of it.
type Call struct {
	At       time.Time
	Watch    bool
	Wait     time.Duration // how long it may wait for news
	SilentAt time.Time     // when it fell silent, never to be answered; zero: it did not
	EndedAt  time.Time     // it was answered, failed, or its caller went; zero: it is open
	Failed   bool          // answered with a failure, or its caller went
	Index    uint64        // the version that the answer brought
}

type call struct {
	Call
	hush chan struct{} // closed when it falls silent
}

// AddListener adds a way to the director, on a listener that Close closes.
func (d *Director) AddListener(l net.Listener, agent bool) *DirectorListener {
	s := &DirectorListener{Address: l.Addr().String(), d: d, agent: agent}
	s.server = serve(l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(s, w, r) })})
	d.mu.Lock()
	d.seats = append(d.seats, s)
	d.mu.Unlock()
	return s
}

// MainListener is the seat at the director's own address.
func (d *Director) MainListener() *DirectorListener {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seats[0]
}

// SilenceOpenCalls has the calls that are open fall silent: none is ever answered, and their connections stay
// open. New calls are answered. It returns how many there were.
func (s *DirectorListener) SilenceOpenCalls() int {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	return s.silence()
}

func (s *DirectorListener) silence() (n int) {
	for _, c := range s.calls {
		if c.EndedAt.IsZero() && c.SilentAt.IsZero() {
			c.SilentAt = time.Now()
			close(c.hush)
			n++
		}
	}
	return n
}

// SetOutage cuts an agent off from the director, or joins it again: in an outage it gets no changes, and
// calls open or made then are never answered. After it the agent holds the list as it is then.
func (s *DirectorListener) SetOutage(on bool) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if on == s.out {
		return
	}
	if s.out = on; on {
		s.outages = append(s.outages, span{from: time.Now()})
		s.silence()
	} else {
		s.outages[len(s.outages)-1].to = time.Now()
	}
}

// Calls are the dispatcher's calls so far, oldest first.
func (s *DirectorListener) Calls() []Call {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	all := make([]Call, len(s.calls))
	for i, c := range s.calls {
		all[i] = c.Call
	}
	return all
}

func (s *DirectorListener) came(c *call) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.calls = append(s.calls, c)
	if s.out {
		c.SilentAt = c.At
		close(c.hush)
	}
}

// left notes that a caller did not wait for its answer.
func (s *DirectorListener) left(c *call) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	c.EndedAt, c.Failed = time.Now(), true
}

// await returns true when the call is to be answered, unless it has just fallen silent: something is
// newer than since, its wait is over, or the director is down. It returns false for a call that fell
// silent or was given up.
func (s *DirectorListener) await(r *http.Request, c *call, since uint64) bool {
	timer := time.NewTimer(c.Wait)
	defer timer.Stop()
	for {
		s.d.mu.Lock()
		answer := !c.Watch || s.d.index > since || s.d.down && !s.agent
		silent, moved := !c.SilentAt.IsZero(), s.d.moved
		s.d.mu.Unlock()
		if silent {
			return false
		}
		if answer {
			return true
		}
		select {
		case <-moved:
		case <-c.hush:
			return false
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}
