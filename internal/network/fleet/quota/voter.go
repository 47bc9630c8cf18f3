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

// votes is a voter's side: the root, a region's lender where it is named for one, and the links to both.
type votes struct {
	q      *Quota
	accord *accord.Accord
	root   *root
	region *region // nil where it is none
	stop   chan struct{}
	done   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	links  map[*link]struct{}
}

// link is a holder's connection, at a voter.
type link struct {
	v     *votes
	conn  net.Conn
	out   chan []byte
	level string // of the lender that it asks; both are of its first ask
	child string
	flood sync.Once
}

// send queues a message; where the link does not take what it is sent, it is closed.
func (l *link) send(p []byte) {
	select {
	case l.out <- frames.Frame(p):
	default:
		l.flooded()
	}
}

// flooded closes a link, and counts it once.
func (l *link) flooded() {
	l.flood.Do(func() { l.v.q.Counters.Overloads.Add(1) })
	l.conn.Close()
}

// nudge queues a nudge: a hint, never a reason to close a link.
func (l *link) nudge() {
	if len(l.out) < linkHeld/2 {
		l.send(wire.EncodePoll(l.level))
	}
}

func newVotes(q *Quota, a *accord.Accord) (*votes, error) {
	v := &votes{q: q, accord: a, stop: make(chan struct{}), links: map[*link]struct{}{}}
	v.root = newRoot(v)
	if name := q.cfg.lends(); name != "" {
		var err error
		if v.region, err = newRegion(v, name); err != nil {
			return nil, err
		}
	}
	v.done.Go(v.root.confirm)
	v.done.Go(v.root.run)
	if v.region != nil {
		v.region.link = newAsker(q, "", v.region, v.leader)
		v.region.link.start()
		v.done.Go(v.region.run)
	}
	a.SetQuotaHandler(v.serve)
	return v, nil
}

// handOnWait is how long a voter that leads waits at its end for the next root to have heard of this voter's region: some
// round trips between regions. A root that has not heard of it cannot tell the region's next life what it holds, which
// gets nothing then until all that this life may have lent is over.
const handOnWait = 2 * time.Second

// handOn has another voter lead, and waits until its root has answered this voter's region.
func (v *votes) handOn() {
	term, _ := v.accord.LeaderTerm()
	if v.region == nil || !v.accord.TransferLeadership() {
		return
	}
	for over := time.Now().Add(handOnWait); !v.region.heardBy(term+1) && time.Now().Before(over); {
		time.Sleep(paceLeast)
	}
}

func (v *votes) close() {
	v.handOn()
	v.accord.SetQuotaHandler(nil)
	close(v.stop)
	if v.region != nil {
		v.region.link.close()
	}
	v.mu.Lock()
	v.closed = true
	for l := range v.links {
		l.conn.Close()
	}
	v.mu.Unlock()
	v.done.Wait()
}

// leader is where the voter that leads listens, as far as this one knows.
func (v *votes) leader() string { return v.accord.VoterAddress(v.accord.Leader()) }

// decided is the policy decided last, as this voter's log has it, where it is not the version given; false where it is,
// and where there is none that can be read.
func (v *votes) decided(known uint64) (version uint64, p policy.Policy, ok bool) {
	version, body := v.accord.Decided()
	if version == known || version == 0 {
		return version, p, false
	}
	p, err := policy.Read(body)
	return version, p, err == nil
}

// lent is what the region and the root, where they lend, count as lent.
func (v *votes) lent() (region, root int64) {
	if v.region != nil {
		region = v.region.lent()
	}
	return region, v.root.lent()
}

// serve reads a holder's asks until its link ends.
func (v *votes) serve(conn net.Conn) {
	l := &link{v: v, conn: conn, out: make(chan []byte, linkHeld)}
	v.mu.Lock()
	if v.closed {
		v.mu.Unlock()
		conn.Close()
		return
	}
	v.links[l] = struct{}{}
	v.done.Add(1)
	v.mu.Unlock()
	over := make(chan struct{})
	go l.write(over)
	l.read()
	conn.Close()
	close(over)
	v.mu.Lock()
	delete(v.links, l)
	v.mu.Unlock()
	v.root.lose(l)
	if v.region != nil {
		v.region.lose(l)
	}
	v.done.Done()
}

func (l *link) write(over chan struct{}) {
	for {
		select {
		case p := <-l.out:
			l.conn.SetWriteDeadline(time.Now().Add(l.v.q.cfg.Leases.Lease / 3))
			if _, err := l.conn.Write(p); err != nil {
				l.conn.Close()
				return
			}
		case <-over:
			return
		}
	}
}

func (l *link) read() {
	q := l.v.q
	r := bufio.NewReader(l.conn)
	pace := rate.NewLimiter(asksMost, asksMost)
	for {
		l.conn.SetReadDeadline(time.Now().Add(4 * q.cfg.RegionLease)) // a region's holder asks each third of its lease
		m, err := wire.ReadMessage(r)
		switch {
		case errors.Is(err, wire.ErrMessage):
			q.Counters.BadMessages.Add(1)
			return
		case err != nil:
			return
		case m.Request == nil || l.child != "" && (m.Request.Child != l.child || m.Request.To != l.level):
			q.Counters.BadMessages.Add(1)
			return
		case !pace.Allow():
			l.flooded()
			return
		}
		if l.child == "" {
			l.child, l.level = m.Request.Child, m.Request.To
		}
		q.Counters.RequestsReceived.Add(1)
		switch {
		case l.level == "":
			l.v.root.ask(l, m.Request.LeaseRequest)
		case l.v.region != nil && l.v.region.name == l.level:
			l.v.region.take(l, m.Request.LeaseRequest)
		default:
			l.away("")
		}
	}
}

// away says that the lender that was asked is not here.
func (l *link) away(leader string) {
	l.v.q.Counters.Redirects.Add(1)
	l.send(wire.EncodeRedirect(wire.Redirect{From: l.level, Leader: leader}))
}

// children are a lender's links by the child's name: the last that it asked on.
type children map[string]*link

func (c children) nudge(names []string) {
	for _, name := range names {
		if l := c[name]; l != nil {
			l.nudge()
		}
	}
}

func (c children) lose(l *link) {
	if c[l.child] == l {
		delete(c, l.child)
	}
}
