package platform

import (
	"net"
	"net/http"
	"time"
)

// DirectorListener is an address at which one dispatcher reaches the director. Each dispatcher has its
// own, so that its calls and the answers to them are recorded separately. An agent's listener stands for
// the director's agent on the dispatcher's machine.
type DirectorListener struct {
	Address string

	d      *Director
	agent  bool
	server *http.Server
	// the following fields are guarded by d.mu
	calls    []*call
	inOutage bool
	outages  []span
}

// Call is a dispatcher's call to the director and its outcome.
type Call struct {
	At       time.Time
	Watch    bool          // waits for a list newer than the caller's
	Wait     time.Duration // longest time a watch may wait for a change
	SilentAt time.Time     // from then on the call is never answered; zero: not silenced
	EndedAt  time.Time     // when it was answered or failed, or its caller hung up; zero: still open
	Failed   bool          // answered with an error, or its caller hung up
	Index    uint64        // list version in the answer
}

type call struct {
	Call
	silenced chan struct{} // closed when the call is silenced
}

// AddListener serves the director on one more listener, which Close closes.
func (d *Director) AddListener(l net.Listener, agent bool) *DirectorListener {
	s := &DirectorListener{Address: l.Addr().String(), d: d, agent: agent}
	s.server = serve(l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(s, w, r) })})
	d.mu.Lock()
	d.listeners = append(d.listeners, s)
	d.mu.Unlock()
	return s
}

// MainListener returns the listener at the director's own address.
func (d *Director) MainListener() *DirectorListener {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listeners[0]
}

// SilenceOpenCalls makes sure that no call that is open now is ever answered; their connections stay open.
// New calls are answered. It returns the number of calls silenced.
func (s *DirectorListener) SilenceOpenCalls() int {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	return s.silenceOpenCalls()
}

func (s *DirectorListener) silenceOpenCalls() (n int) {
	for _, c := range s.calls {
		if c.EndedAt.IsZero() && c.SilentAt.IsZero() {
			c.SilentAt = time.Now()
			close(c.silenced)
			n++
		}
	}
	return n
}

// SetOutage cuts an agent off from the director or reconnects it. During an outage the agent gets no changes,
// and calls that are open or made then are never answered. After the outage it has the director's current list.
func (s *DirectorListener) SetOutage(on bool) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if on == s.inOutage {
		return
	}
	if s.inOutage = on; on {
		s.outages = append(s.outages, span{from: time.Now()})
		s.silenceOpenCalls()
	} else {
		s.outages[len(s.outages)-1].to = time.Now()
	}
}

// Calls returns the dispatcher's calls so far, oldest first.
func (s *DirectorListener) Calls() []Call {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	all := make([]Call, len(s.calls))
	for i, c := range s.calls {
		all[i] = c.Call
	}
	return all
}

// recordCall adds a call to the record and silences it during an outage.
func (s *DirectorListener) recordCall(c *call) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.calls = append(s.calls, c)
	if s.inOutage {
		c.SilentAt = c.At
		close(c.silenced)
	}
}

// recordAbandoned records that the caller hung up before its answer.
func (s *DirectorListener) recordAbandoned(c *call) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	c.EndedAt, c.Failed = time.Now(), true
}

// await blocks until the call is to be answered and returns true: the list is newer than since, the call's
// wait is over, or the director is down. It returns false if the call was silenced or its caller hung up.
// A call may still be silenced between this return and its answer, so the caller checks SilentAt again.
func (s *DirectorListener) await(r *http.Request, c *call, since uint64) bool {
	timer := time.NewTimer(c.Wait)
	defer timer.Stop()
	for {
		s.d.mu.Lock()
		answer := !c.Watch || s.d.index > since || s.d.down && !s.agent
		silent, changed := !c.SilentAt.IsZero(), s.d.changed
		s.d.mu.Unlock()
		if silent {
			return false
		}
		if answer {
			return true
		}
		select {
		case <-changed:
		case <-c.silenced:
			return false
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}
