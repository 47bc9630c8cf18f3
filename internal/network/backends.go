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

	lastConnected atomic.Pointer[time.Time] // when the last connection was established

	mu   sync.Mutex
	idle map[balance.WorkerID][]*backendConn // most recently used last
	open int
}

// exchange is one request to a backend and its reply. Its callbacks are called from the connection's goroutines.
type exchange struct {
	backend      *core.Backend
	ctx          context.Context
	cancel       context.CancelFunc
	stopAbort    func() bool                     // stops the abort that follows a cancel of ctx
	makeHead     func(left time.Duration) []byte // nil once the request is written
	body         []byte                          // nil once the request is written
	deadline     time.Time
	probe        bool // the reply's body is a load report, not lines
	id           string
	mayStart     func() bool
	stillWanted  func() bool                                  // false once the request was answered, its client has gone or the attempt was stopped
	onStarted    func(at time.Time, advertised time.Duration) // the first byte was written; nil for a probe
	onJobStarted func()
	onProgress   func(float64)
	onEnded      func(core.Ending, string, []float32)
}

// outcome is how an exchange ended.
type outcome struct {
	ending     core.Ending
	result     string
	report     []float32
	reusable   bool // the reply was read to its end, and the connection may carry another request
	endPending bool // the outcome is known, and the end of the reply is still to come
}

// Send starts an attempt and returns the function that stops it.
func (p *Pool) Send(a *core.Attempt, job *core.Job) func() {
	x := &exchange{backend: a.Backend, body: job.Body, deadline: a.Deadline, id: job.ID, mayStart: a.MayStart, stillWanted: a.Wanted, onStarted: a.Started,
		onJobStarted: a.JobStarted, onProgress: a.Progress, onEnded: a.Ended}
	x.makeHead = func(left time.Duration) []byte {
		var stamp *platform.PolicyStamp
		if p.DispatcherName != "" {
			stamp = &platform.PolicyStamp{Version: a.Version(), Dispatcher: p.DispatcherName}
		}
		return platform.AppendJob(make([]byte, 0, 384), job, a.Backend.Address, left, stamp)
	}
	return p.startExchange(x)
}

// probeTimeout limits a probe: a slower probe gives no information that an attempt would not.
const probeTimeout = 2 * time.Second

// Probe asks a backend for its load report and calls done once.
func (p *Pool) Probe(b *core.Backend, done func(core.Ending, []float32)) {
	x := &exchange{backend: b, deadline: time.Now().Add(probeTimeout), probe: true, mayStart: func() bool { return !b.Banned() },
		stillWanted: func() bool { return !b.Banned() }}
	x.makeHead = func(time.Duration) []byte { return platform.AppendGet(nil, "/stats", b.Address) }
	var once sync.Once
	end := func(e core.Ending, report []float32) { once.Do(func() { done(e, report) }) }
	x.onEnded = func(e core.Ending, _ string, report []float32) { end(e, report) }
	stop := p.startExchange(x)
	time.AfterFunc(probeTimeout, func() { stop(); end(core.Overdue, nil) })
}

// startExchange finds or establishes a connection in the background. The function it returns aborts the exchange by
// closing the connection that carries it.
func (p *Pool) startExchange(x *exchange) func() {
	x.ctx, x.cancel = context.WithCancel(context.Background())
	go p.run(x)
	return x.cancel
}

func (p *Pool) run(x *exchange) {
	if c := p.takeIdle(x.backend); c != nil {
		c.send(x, false)
		return
	}
	if !p.reserve() {
		x.end(outcome{ending: core.Unsent})
		return
	}
	if !p.waitForLimiter(x.ctx) {
		p.release()
		x.end(outcome{ending: core.Unsent})
		return
	}
	conn, reuse, e := p.connect(x)
	if conn == nil {
		p.release()
		if reuse != nil {
			reuse.send(x, false)
		} else {
			x.end(outcome{ending: e})
		}
		return
	}
	p.Count.BackendConnections.Add(1)
	c := newBackendConn(p, conn, x.backend)
	go c.readLoop()
	c.send(x, true)
}

// waitForLimiter waits until the budget of new connections allows one more, and says whether it did in time.
func (p *Pool) waitForLimiter(ctx context.Context) bool {
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
func (p *Pool) connect(x *exchange) (conn net.Conn, reuse *backendConn, e core.Ending) {
	begun, othersReached := time.Now(), false
	d := retryDialer{dial: p.Dial, address: x.backend.Address, timeout: p.ConnectTimeout, count: p.Count, beforeRetry: func(kind localFault) bool {
		if kind == faultDescriptors { // closing an idle connection frees a descriptor for the new one
			p.closeOldestIdle()
		}
		reuse = p.takeIdle(x.backend)
		othersReached = kind.mayBeOfOneAddress() && p.connectedSince(begun)
		return reuse != nil || othersReached || !x.stillWanted()
	}}
	conn, local, err := d.connect(x.ctx)
	switch {
	case err == nil:
		now := time.Now()
		p.lastConnected.Store(&now)
		return conn, nil, 0
	case local != noFault && !othersReached:
		return nil, reuse, core.Unsent
	}
	return nil, reuse, core.Unreached
}

// connectedSince says whether any connection was established since then.
func (p *Pool) connectedSince(then time.Time) bool {
	at := p.lastConnected.Load()
	return at != nil && !at.Before(then)
}

// closeOldestIdle closes the connection that has been idle longest, if there is one.
func (p *Pool) closeOldestIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.oldestIdle(); c != nil {
		p.removeIdle(c)
		c.conn.Close()
	}
}

// dropRequest lets go of what was to be written. It is called by the goroutine that writes the request.
func (x *exchange) dropRequest() { x.makeHead, x.body = nil, nil }

func (x *exchange) end(v outcome) {
	if x.stopAbort != nil {
		x.stopAbort()
	}
	x.cancel()
	x.onEnded(v.ending, v.result, v.report)
}

// takeIdle claims the most recently used idle connection to a backend, or returns nil.
func (p *Pool) takeIdle(b *core.Backend) *backendConn {
	for {
		p.mu.Lock()
		list := p.idle[b.ID]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[b.ID] = list[:len(list)-1]
		p.mu.Unlock()
		if c.backend == b && c.claim() {
			return c
		}
		c.conn.Close() // it leads to the backend's former address, or its idle timeout has passed
	}
}

// reserve counts one more connection, if need be by closing the one that has been idle longest. It returns false where
// the limit is reached and none is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.MaxConnections {
		oldest := p.oldestIdle()
		if oldest == nil {
			return false
		}
		p.removeIdle(oldest)
		oldest.conn.Close() // its reader sees that, and lowers p.open a moment later
	}
	p.open++
	return true
}

// Resize changes the limit of connections. Idle ones beyond it are closed; those that carry a request go on.
func (p *Pool) Resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.MaxConnections = limit
	for closing := p.open - limit; closing > 0; closing-- {
		c := p.oldestIdle()
		if c == nil {
			return
		}
		p.removeIdle(c)
		c.conn.Close() // its reader lowers p.open a moment later
	}
}

// OpenConnections returns how many connections are open or being established.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// oldestIdle returns the connection that has been idle longest, or nil. p.mu is held.
func (p *Pool) oldestIdle() (oldest *backendConn) {
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
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
func (p *Pool) removeIdle(c *backendConn) {
	list := p.idle[c.backend.ID]
	for i := range list {
		if list[i] == c {
			p.idle[c.backend.ID] = append(list[:i], list[i+1:]...)
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
	for _, c := range list {
		c.conn.Close()
	}
}
