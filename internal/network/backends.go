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

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dial that the program uses.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps connections to backends and sends attempts over them.
type Pool struct {
	Names          *platform.Names
	Count          *counters.Set
	ConnectTimeout time.Duration // limit for establishing a connection
	IdleTimeout    time.Duration // an idle connection is closed after this, before the backend closes it
	MaxConnections int           // limit of connections that are open or being established
	Dial           Dial
	// Limiter, if set, is waited on before each new connection, for ConnectTimeout at most: this dispatcher's share of
	// a fleet-wide budget of new connections. An attempt that gets no connection in time ends as core.Unsent.
	Limiter interface{ Wait(context.Context) error }
	// DispatcherName, if set, is sent to backends with each attempt, together with the version of the fleet's policy
	// under which the request was accepted.
	DispatcherName string

	connected atomic.Pointer[time.Time] // when the last connection was established

	mu   sync.Mutex
	idle map[balance.WorkerID][]*link // most recently used last
	open int
}

// exchange is one request to a backend and its reply. Its callbacks are called from the connection's goroutines.
type exchange struct {
	backend *core.Backend
	ctx     context.Context
	cancel  context.CancelFunc
	unhook  func() bool // stops the abort that follows a cancel of ctx
	head    func(left time.Duration) []byte
	body    []byte
	until   time.Time
	probe   bool // the reply's body is a load report, not lines
	id      string
	may     func() bool
	wanted  func() bool                            // false once the request was answered, its client has gone or the attempt was stopped
	began   func(at time.Time, told time.Duration) // the first byte was written; nil for a probe
	started func()
	share   func(float64)
	ended   func(core.Ending, string, []float32)
}

// outcome is how an exchange ended.
type verdict struct {
	ending core.Ending
	result string
	report []float32
	whole  bool // the reply was read to its end, and the connection may carry another request
	due    bool // the outcome is known, and the end of the reply is still to come
}

// Send starts an attempt and returns the function that stops it.
func (p *Pool) Send(a *core.Attempt) func() {
	x := &exchange{backend: a.Backend, body: a.Job.Body, until: a.Deadline, id: a.Job.ID, may: a.MayBegin, wanted: a.Wanted, began: a.Began,
		started: a.Started, share: a.Progress, ended: a.Ended}
	x.head = func(left time.Duration) []byte {
		var stamp *platform.Stamp
		if p.DispatcherName != "" {
			stamp = &platform.Stamp{Version: a.Version(), By: p.DispatcherName}
		}
		return platform.AppendJob(make([]byte, 0, 384), a.Job, a.Backend.Address, left, stamp)
	}
	return p.begin(x)
}

// probeTimeout limits a probe: a slower one tells nothing that an attempt would not.
const probeWait = 2 * time.Second

// Probe asks a backend for its load report and calls done once.
func (p *Pool) Probe(b *core.Backend, done func(core.Ending, []float32)) {
	x := &exchange{backend: b, until: time.Now().Add(probeWait), probe: true, may: func() bool { return !b.Banned() },
		wanted: func() bool { return !b.Banned() }}
	x.head = func(time.Duration) []byte { return platform.AppendGet(nil, "/stats", b.Address) }
	var once sync.Once
	end := func(e core.Ending, report []float32) { once.Do(func() { done(e, report) }) }
	x.ended = func(e core.Ending, _ string, report []float32) { end(e, report) }
	stop := p.begin(x)
	time.AfterFunc(probeWait, func() { stop(); end(core.Overdue, nil) })
}

// startExchange finds or establishes a connection in the background. The function it returns aborts the exchange by
// closing the connection that carries it.
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

// waitForLimiter waits until the budget of new connections allows one more, and says whether it did in time.
func (p *Pool) pass(ctx context.Context) bool {
	if p.Limiter == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, p.ConnectTimeout)
	defer cancel()
	return p.Limiter.Wait(ctx) == nil
}

// connect establishes a connection for an exchange. It retries after faults of this machine, which do not count against
// the backend. If a connection to the backend becomes idle meanwhile, that one is claimed and returned as reuse. If there
// is neither, e is the ending of the exchange.
func (p *Pool) connect(x *exchange) (conn net.Conn, rested *link, e core.Ending) {
	begun, elsewhere := time.Now(), false
	d := dialling{dial: p.Dial, address: x.backend.Address, each: p.ConnectTimeout, count: p.Count, between: func(kind localFault) bool {
		if kind == descriptors { // an idle connection's descriptor serves better for the new one
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

// connectedSince says whether any connection was established since then.
func (p *Pool) connectedSince(then time.Time) bool {
	at := p.connected.Load()
	return at != nil && !at.Before(then)
}

// closeOldestIdle closes the connection that has been idle longest, if there is one.
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

// takeIdle claims the most recently used idle connection to a backend, or returns nil.
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
		l.conn.Close() // it leads to the backend's former address, or its idle timeout has passed
	}
}

// reserve counts one more connection, if need be by closing the one that has been idle longest. It returns false where
// the limit is reached and none is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.MaxConnections {
		oldest := p.oldest()
		if oldest == nil {
			return false
		}
		p.drop(oldest)
		oldest.conn.Close() // its reader sees that, and lowers p.open a moment later
	}
	p.open++
	return true
}

// Resize changes the limit of connections. Idle ones beyond it are closed; those that carry a request go on.
func (p *Pool) Resize(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.MaxConnections = most
	for closing := p.open - most; closing > 0; closing-- {
		l := p.oldest()
		if l == nil {
			return
		}
		p.drop(l)
		l.conn.Close() // its reader lowers p.open a moment later
	}
}

// OpenConnections returns how many connections are open or being established.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// oldestIdle returns the connection that has been idle longest, or nil. p.mu is held.
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

// removeIdle takes a connection out of the idle ones. p.mu is held.
func (p *Pool) drop(l *link) {
	list := p.idle[l.backend.ID]
	for i := range list {
		if list[i] == l {
			p.idle[l.backend.ID] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// CloseIdle closes the idle connections to a backend.
func (p *Pool) CloseIdle(b *core.Backend) { p.CloseIdleByID(b.ID) }

// CloseIdleByID closes the idle connections to the backend with that id.
func (p *Pool) CloseIdleByID(id balance.WorkerID) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, l := range list {
		l.conn.Close()
	}
}
