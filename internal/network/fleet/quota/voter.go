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

// voter is the part that only voters run: the root, the lender of a region if one is configured here, and the connections
// of the holders to both.
type voter struct {
	q      *Quota
	accord *accord.Accord
	root   *root
	region *regionLender // nil if this voter runs no region's lender
	stop   chan struct{}
	done   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[*childConn]struct{}
}

// childConn is a connection from a holder to this voter.
type childConn struct {
	voter        *voter
	conn         net.Conn
	queue        chan []byte // framed messages to be sent
	lenderName   string      // the region's name, or "" for the root; like child, it is set by the first request
	child        string
	overloadOnce sync.Once
}

// send queues a message. It closes the connection if the queue is full because the holder does not read.
func (c *childConn) send(p []byte) {
	select {
	case c.queue <- frames.Frame(p):
	default:
		c.closeOverloaded()
	}
}

// closeOverloaded closes the connection and counts that once.
func (c *childConn) closeOverloaded() {
	c.overloadOnce.Do(func() { c.voter.q.Counters.Overloads.Add(1) })
	c.conn.Close()
}

// poll queues a poll if the queue is less than half full. A poll is only a hint, so it never closes the connection.
func (c *childConn) poll() {
	if len(c.queue) < maxQueuedMessages/2 {
		c.send(wire.EncodePoll(c.lenderName))
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

// transferTimeout is how long a leading voter that is closed waits until this voter's region has reported to the next root:
// some round trips between regions. A root without that report cannot tell the next incarnation of the region's lender what
// this one has lent. The next incarnation then gets no units until everything that this one may have lent is no longer in
// use.
const transferTimeout = 2 * time.Second

// transferLeadership makes another voter lead and waits until its root has answered this voter's region.
func (v *voter) transferLeadership() {
	term, _ := v.accord.LeaderTerm()
	if v.region == nil || !v.accord.TransferLeadership() {
		return
	}
	for deadline := time.Now().Add(transferTimeout); !v.region.reportedTo(term+1) && time.Now().Before(deadline); {
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
	for c := range v.conns {
		c.conn.Close()
	}
	v.mu.Unlock()
	v.done.Wait()
}

// rootAddress returns where the leading voter listens, as far as this voter knows.
func (v *voter) rootAddress() string { return v.accord.VoterAddress(v.accord.Leader()) }

// decidedSince returns the newest decided policy in this voter's log. It returns false if that is the known version, if no
// policy was decided yet, or if the policy cannot be decoded.
func (v *voter) decidedSince(known uint64) (version uint64, p policy.Policy, ok bool) {
	version, body := v.accord.Decided()
	if version == known || version == 0 {
		return version, p, false
	}
	p, err := policy.Read(body)
	return version, p, err == nil
}

// outstanding returns the units that the region's lender and the root count as lent; 0 for one that does not lend here.
func (v *voter) outstanding() (region, root int64) {
	if v.region != nil {
		region = v.region.outstanding()
	}
	return region, v.root.outstanding()
}

// serve handles a holder's requests until its connection ends.
func (v *voter) serve(conn net.Conn) {
	c := &childConn{voter: v, conn: conn, queue: make(chan []byte, maxQueuedMessages)}
	v.mu.Lock()
	if v.closed {
		v.mu.Unlock()
		conn.Close()
		return
	}
	v.conns[c] = struct{}{}
	v.done.Add(1)
	v.mu.Unlock()
	done := make(chan struct{})
	go c.write(done)
	c.read()
	conn.Close()
	close(done)
	v.mu.Lock()
	delete(v.conns, c)
	v.mu.Unlock()
	v.root.dropConn(c)
	if v.region != nil {
		v.region.dropConn(c)
	}
	v.done.Done()
}

func (c *childConn) write(done chan struct{}) {
	for {
		select {
		case p := <-c.queue:
			c.conn.SetWriteDeadline(time.Now().Add(c.voter.q.cfg.Leases.Lease / 3))
			if _, err := c.conn.Write(p); err != nil {
				c.conn.Close()
				return
			}
		case <-done:
			return
		}
	}
}

func (c *childConn) read() {
	q := c.voter.q
	r := bufio.NewReader(c.conn)
	limit := rate.NewLimiter(maxRequestsPerSecond, maxRequestsPerSecond)
	for {
		c.conn.SetReadDeadline(time.Now().Add(4 * q.cfg.RegionLease)) // a region sends a request each third of its lease
		m, err := wire.ReadMessage(r)
		switch {
		case errors.Is(err, wire.ErrMessage):
			q.Counters.BadMessages.Add(1)
			return
		case err != nil:
			return
		case m.Request == nil || c.child != "" && (m.Request.Child != c.child || m.Request.To != c.lenderName):
			q.Counters.BadMessages.Add(1)
			return
		case !limit.Allow():
			c.closeOverloaded()
			return
		}
		if c.child == "" {
			c.child, c.lenderName = m.Request.Child, m.Request.To
		}
		q.Counters.RequestsReceived.Add(1)
		switch {
		case c.lenderName == "":
			c.voter.root.enqueue(c, m.Request.LeaseRequest)
		case c.voter.region != nil && c.voter.region.name == c.lenderName:
			c.voter.region.handle(c, m.Request.LeaseRequest)
		default:
			c.redirect("")
		}
	}
}

// redirect answers that the lender of the request is not here, and which voter leads, if the lender is the root.
func (c *childConn) redirect(leader string) {
	c.voter.q.Counters.Redirects.Add(1)
	c.send(wire.EncodeRedirect(wire.Redirect{From: c.lenderName, Leader: leader}))
}

// childConns are a lender's connections by the child's name: the one of each child's newest request.
type childConns map[string]*childConn

func (m childConns) poll(names []string) {
	for _, name := range names {
		if c := m[name]; c != nil {
			c.poll()
		}
	}
}

func (m childConns) drop(c *childConn) {
	if m[c.child] == c {
		delete(m, c.child)
	}
}
