package quota

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tinsail/internal/fleet/frames"
	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota/wire"
	"tinsail/internal/network/fleet/accord"
)

// voter is a voter's side: the root, a region's lender where it is named for one, and the links to both.
type voter struct {
	q      *Quota
	accord *accord.Accord
	root   *root
	region *regionLender // nil where it is none
	stop   chan struct{}
	done   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[*childConn]struct{}
}

// childConn is a holder's connection, at a voter.
type childConn struct {
	voter        *voter
	conn         net.Conn
	queue        chan []byte
	lenderName   string // of the lender that it asks; both are of its first ask
	child        string
	overloadOnce sync.Once
}

// send queues a message; where the link does not take what it is sent, it is closed.
func (l *childConn) send(p []byte) {
	select {
	case l.queue <- frames.Frame(p):
	default:
		l.closeOverloaded()
	}
}

// closeOverloaded closes a link, and counts it once.
func (l *childConn) closeOverloaded() {
	l.overloadOnce.Do(func() { l.voter.q.Counters.Overloads.Add(1) })
	l.conn.Close()
}

// poll queues a poll: a hint, never a reason to close a link.
func (l *childConn) poll() {
	if len(l.queue) < maxQueuedMessages/2 {
		l.send(wire.EncodePoll(l.lenderName))
	}
}

func newVoter(q *Quota, a *accord.Accord) (*voter, error) {
	v := &voter{q: q, accord: a, stop: make(chan struct{}), conns: map[*childConn]struct{}{}}
	v.root = newRoot(v)
	if name := q.cfg.lenderRegion(); name != "" {
		var err error
		if v.region, err = newRegionLender(v, name); err != nil {
			return nil, err
		}
	}
	v.done.Go(v.root.confirmRequests)
	v.done.Go(v.root.run)
	if v.region != nil {
		v.region.rootConn = newLenderConn(q, "", v.region, v.rootAddress)
		v.region.rootConn.start()
		v.done.Go(v.region.run)
	}
	a.SetQuotaHandler(v.serve)
	return v, nil
}

// transferTimeout is how long a voter that leads waits at its end for the next root to have heard of this voter's region: some
// round trips between regions. A root that has not heard of it cannot tell the region's next life what it holds, which
// gets nothing then until all that this life may have lent is over.
const transferTimeout = 2 * time.Second

// transferLeadership has another voter lead, and waits until its root has answered this voter's region.
func (v *voter) transferLeadership() {
	term, _ := v.accord.LeaderTerm()
	if v.region == nil || !v.accord.TransferLeadership() {
		return
	}
	for over := time.Now().Add(transferTimeout); !v.region.reportedTo(term+1) && time.Now().Before(over); {
		time.Sleep(minRequestInterval)
	}
}

func (v *voter) close() {
	v.transferLeadership()
	v.accord.SetQuotaHandler(nil)
	close(v.stop)
	if v.region != nil {
		v.region.rootConn.close()
	}
	v.mu.Lock()
	v.closed = true
	for l := range v.conns {
		l.conn.Close()
	}
	v.mu.Unlock()
	v.done.Wait()
}

// rootAddress is where the voter that leads listens, as far as this one knows.
func (v *voter) rootAddress() string { return v.accord.VoterAddress(v.accord.Leader()) }

// decidedSince is the policy decidedSince last, as this voter's log has it, where it is not the version given; false where it is,
// and where there is none that can be read.
func (v *voter) decidedSince(known uint64) (version uint64, p policy.Policy, ok bool) {
	version, body := v.accord.Decided()
	if version == known || version == 0 {
		return version, p, false
	}
	p, err := policy.Read(body)
	return version, p, err == nil
}

// outstanding is what the region and the root, where they lend, count as outstanding.
func (v *voter) outstanding() (region, root int64) {
	if v.region != nil {
		region = v.region.outstanding()
	}
	return region, v.root.outstanding()
}

// serve reads a holder's asks until its link ends.
func (v *voter) serve(conn net.Conn) {
	l := &childConn{voter: v, conn: conn, queue: make(chan []byte, maxQueuedMessages)}
	v.mu.Lock()
	if v.closed {
		v.mu.Unlock()
		conn.Close()
		return
	}
	v.conns[l] = struct{}{}
	v.done.Add(1)
	v.mu.Unlock()
	over := make(chan struct{})
	go l.write(over)
	l.read()
	conn.Close()
	close(over)
	v.mu.Lock()
	delete(v.conns, l)
	v.mu.Unlock()
	v.root.dropConn(l)
	if v.region != nil {
		v.region.dropConn(l)
	}
	v.done.Done()
}

func (l *childConn) write(over chan struct{}) {
	for {
		select {
		case p := <-l.queue:
			l.conn.SetWriteDeadline(time.Now().Add(l.voter.q.cfg.Leases.Lease / 3))
			if _, err := l.conn.Write(p); err != nil {
				l.conn.Close()
				return
			}
		case <-over:
			return
		}
	}
}

func (l *childConn) read() {
	q := l.voter.q
	r := bufio.NewReader(l.conn)
	pace := rate.NewLimiter(maxRequestsPerSecond, maxRequestsPerSecond)
	for {
		l.conn.SetReadDeadline(time.Now().Add(4 * q.cfg.RegionLease)) // a region's holder asks each third of its lease
		m, err := wire.ReadMessage(r)
		switch {
		case errors.Is(err, wire.ErrMessage):
			q.Counters.BadMessages.Add(1)
			return
		case err != nil:
			return
		case m.Request == nil || l.child != "" && (m.Request.Child != l.child || m.Request.To != l.lenderName):
			q.Counters.BadMessages.Add(1)
			return
		case !pace.Allow():
			l.closeOverloaded()
			return
		}
		if l.child == "" {
			l.child, l.lenderName = m.Request.Child, m.Request.To
		}
		q.Counters.RequestsReceived.Add(1)
		switch {
		case l.lenderName == "":
			l.voter.root.enqueue(l, m.Request.LeaseRequest)
		case l.voter.region != nil && l.voter.region.name == l.lenderName:
			l.voter.region.handle(l, m.Request.LeaseRequest)
		default:
			l.redirect("")
		}
	}
}

// redirect says that the lender that was asked is not here.
func (l *childConn) redirect(leader string) {
	l.voter.q.Counters.Redirects.Add(1)
	l.send(wire.EncodeRedirect(wire.Redirect{From: l.lenderName, Leader: leader}))
}

// childConns are a lender's links by the child's name: the last that it asked on.
type childConns map[string]*childConn

func (c childConns) poll(names []string) {
	for _, name := range names {
		if l := c[name]; l != nil {
			l.poll()
		}
	}
}

func (c childConns) drop(l *childConn) {
	if c[l.child] == l {
		delete(c, l.child)
	}
}
