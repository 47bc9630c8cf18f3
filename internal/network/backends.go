package network

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
)

// Dial makes a connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// TCP is the Dial of the real program.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps connections to backends and carries out attempts on them.
type Pool struct {
	Names   *platform.Names
	Count   *counters.Set
	Connect time.Duration // a connection that is not up by then is given up
	Idle    time.Duration // an idle connection is closed by us after this, before the backend does
	Most    int           // connections open or being made
	Dial    Dial
	// Gate, where set, is waited on before each new connection, within the connect time: a share of
	// a fleet-wide budget of new connections. An attempt that finds no room ends unsent.
	Gate interface{ Wait(context.Context) error }
	// Stamp, where set, is this dispatcher's name, which attempts carry to backends with the version
	// of the fleet's policy that their req was taken by.
	Stamp string

	connected atomic.Pointer[time.Time] // when the last connection came up

	mu   sync.Mutex
	idle map[balance.WorkerID][]*link // the last used is last
	open int
}

// exchange is one request on a connection and what its reply tells. Its callbacks come from
// the connection's goroutines.
type exchange struct {
	backend *core.Backend
	ctx     context.Context
	cancel  context.CancelFunc
	unhook  func() bool // from cancel
	head    func(left time.Duration) []byte
	body    []byte
	until   time.Time
	probe   bool // the body is a load report, not lines
	id      string
	may     func() bool
	wanted  func() bool                            // no answer, no end of its client and no stop makes a connection needless
	began   func(at time.Time, told time.Duration) // its first byte was written; nil for a probe
	started func()
	share   func(float64)
	ended   func(core.Ending, string, []float32)
}

// verdict is how an exchange ended.
type verdict struct {
	ending core.Ending
	result string
	report []float32
	whole  bool // the reply is all here, and the connection may carry another
	due    bool // the end of the reply is still to come
}

// Send begins an attempt.
func (p *Pool) Send(a *core.Attempt) func() {
	x := &exchange{backend: a.Backend, body: a.Job.Body, until: a.Until, id: a.Job.ID, may: a.MayBegin, wanted: a.Wanted, began: a.Began,
		started: a.Started, share: a.Progress, ended: a.Ended}
	x.head = func(left time.Duration) []byte {
		var stamp *platform.Stamp
		if p.Stamp != "" {
			stamp = &platform.Stamp{Version: a.Version(), By: p.Stamp}
		}
		return platform.AppendJob(make([]byte, 0, 384), a.Job, a.Backend.Address, left, stamp)
	}
	return p.begin(x)
}

// probeWait is how long a probe may take: longer ones say nothing that an attempt would not.
const probeWait = 2 * time.Second

// Probe asks a backend for its load.
func (p *Pool) Probe(b *core.Backend, done func(core.Ending, []float32)) {
	x := &exchange{backend: b, until: time.Now().Add(probeWait), probe: true, may: func() bool { return !b.Withheld() },
		wanted: func() bool { return !b.Withheld() }}
	x.head = func(time.Duration) []byte { return platform.AppendGet(nil, "/stats", b.Address) }
	var once sync.Once
	end := func(e core.Ending, report []float32) { once.Do(func() { done(e, report) }) }
	x.ended = func(e core.Ending, _ string, report []float32) { end(e, report) }
	stop := p.begin(x)
	time.AfterFunc(probeWait, func() { stop(); end(core.Overdue, nil) })
}

// begin finds or makes a connection in the background. The function it returns gives the
// exchange up by closing whatever it is on.
func (p *Pool) begin(x *exchange) func() {
	x.ctx, x.cancel = context.WithCancel(context.Background())
	go p.run(x)
	return x.cancel
}

func (p *Pool) run(x *exchange) {
	if l := p.take(x.backend); l != nil {
		l.send(x, false)
		return
	}
	if !p.reserve() {
		x.end(verdict{ending: core.Unsent})
		return
	}
	if !p.pass(x.ctx) {
		p.release()
		x.end(verdict{ending: core.Unsent})
		return
	}
	conn, rested, e := p.connect(x)
	if conn == nil {
		p.release()
		if rested != nil {
			rested.send(x, false)
		} else {
			x.end(verdict{ending: e})
		}
		return
	}
	p.Count.BackendConnections.Add(1)
	l := newLink(p, conn, x.backend)
	go l.read()
	l.send(x, true)
}

// pass waits for the budget of new connections.
func (p *Pool) pass(ctx context.Context) bool {
	if p.Gate == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, p.Connect)
	defer cancel()
	return p.Gate.Wait(ctx) == nil
}

// connect makes a connection for an exchange, past the faults of this machine: those count against no backend. Where a
// connection to the backend comes to rest meanwhile, that one is claimed and returned. Where there is none, e is the ending.
func (p *Pool) connect(x *exchange) (conn net.Conn, rested *link, e core.Ending) {
	begun, elsewhere := time.Now(), false
	d := dialling{dial: p.Dial, address: x.backend.Address, each: p.Connect, count: p.Count, between: func(kind localFault) bool {
		if kind == descriptors { // one of ours that nobody uses is better used so
			p.closeOldest()
		}
		rested = p.take(x.backend)
		elsewhere = kind.ofOnePeer() && p.connectedSince(begun)
		return rested != nil || elsewhere || !x.wanted()
	}}
	conn, local, err := d.do(x.ctx)
	switch {
	case err == nil:
		now := time.Now()
		p.connected.Store(&now)
		return conn, nil, 0
	case local != noFault && !elsewhere:
		return nil, rested, core.Unsent
	}
	return nil, rested, core.Unreached
}

// connectedSince says whether some connection came up since then.
func (p *Pool) connectedSince(then time.Time) bool {
	at := p.connected.Load()
	return at != nil && !at.Before(then)
}

// closeOldest closes the connection that has been idle for the longest time, if there is one.
func (p *Pool) closeOldest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.oldest(); l != nil {
		p.drop(l)
		l.conn.Close()
	}
}

func (x *exchange) end(v verdict) {
	if x.unhook != nil {
		x.unhook()
	}
	x.cancel()
	x.ended(v.ending, v.result, v.report)
}

// take claims the connection that was idle for the shortest time, or returns nil.
func (p *Pool) take(b *core.Backend) *link {
	for {
		p.mu.Lock()
		list := p.idle[b.ID]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		l := list[len(list)-1]
		p.idle[b.ID] = list[:len(list)-1]
		p.mu.Unlock()
		if l.backend == b && l.claim() {
			return l
		}
		l.conn.Close() // it leads to an address that the backend had before, or its time is up
	}
}

// reserve makes room for one more connection, if need be by closing the one that has been
// idle for the longest time.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.Most {
		oldest := p.oldest()
		if oldest == nil {
			return false
		}
		p.drop(oldest)
		oldest.conn.Close() // its reader sees that, and counts it as closed a moment later
	}
	p.open++
	return true
}

// Resize sets how many connections there may be from now on. Idle ones beyond it are closed; those
// that carry a req go on.
func (p *Pool) Resize(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Most = most
	for closing := p.open - most; closing > 0; closing-- {
		l := p.oldest()
		if l == nil {
			return
		}
		p.drop(l)
		l.conn.Close() // its reader counts it a moment later
	}
}

// Open is how many connections are open or being made.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// oldest is the connection that has been idle for the longest time, or nil. p.mu is held.
func (p *Pool) oldest() (oldest *link) {
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].since.Before(oldest.since)) {
			oldest = list[0]
		}
	}
	return oldest
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// drop takes a connection out of the idle ones. p.mu is held.
func (p *Pool) drop(l *link) {
	list := p.idle[l.backend.ID]
	for i := range list {
		if list[i] == l {
			p.idle[l.backend.ID] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// HangUp closes the idle connections to a backend.
func (p *Pool) HangUp(b *core.Backend) { p.HangUpOn(b.ID) }

// HangUpOn closes the idle connections to the backend with an id.
func (p *Pool) HangUpOn(id balance.WorkerID) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, l := range list {
		l.conn.Close()
	}
}
