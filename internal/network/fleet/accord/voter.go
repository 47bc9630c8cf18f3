package accord

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/accord/wire"
)

// Bounds of a voter.
const (
	asksHeld = 8192 // asks that wait for the leader's confirmation; one beyond is dropped, and asked again
	linkHeld = 32   // messages that wait for a link; a link that does not take them is closed
	barrier  = 10 * time.Second
)

// voter is one of those that keep the log, and the keeper's side while it leads.
type voter struct {
	a    *Accord
	port *port
	log  *majority
	asks chan asked
	stop chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	keeper *accord.Leader // nil while it does not lead
	term   uint64
	count  uint64         // of changes in term, by keepers before
	lender *budget.Keeper // of the policy's budget, while it leads
	lends  string         // the budget's name
	links  map[*link]struct{}
}

// asked is an ask, or one for a share where want is there.
type asked struct {
	from *link
	ask  accord.LeaseRequest
	want *wire.BudgetRequest
}

// link is a member's connection, at a voter.
type link struct {
	conn net.Conn
	out  chan []byte
}

// send queues a message; where the link does not take what it is sent, it is closed.
func (l *link) send(p []byte) {
	select {
	case l.out <- wire.Frame(p):
	default:
		l.conn.Close()
	}
}

func newVoter(a *Accord, me Peer) (*voter, error) {
	v := &voter{a: a, asks: make(chan asked, asksHeld), stop: make(chan struct{}), links: map[*link]struct{}{}}
	listen := a.cfg.Listen
	if listen == "" {
		listen = me.Address
	}
	var err error
	if v.port, err = newPort(listen, me.Address, v.serve); err != nil {
		return nil, err
	}
	if v.log, err = openLog(&a.cfg, me, v.port, func(n accord.Event) { a.tell([]accord.Event{n}) }); err != nil {
		v.port.Close()
		return nil, err
	}
	v.done.Add(3)
	go v.lead()
	go v.confirm()
	go v.tick()
	return v, nil
}

func (v *voter) close() {
	if v.log.raft.State() == raft.Leader { // an end that was asked for need not cost the fleet an election's wait
		_ = v.log.raft.LeadershipTransfer().Error() // bounded by the election's time; where it fails there is an election
	}
	close(v.stop)
	v.done.Wait() // while the log answers them: VerifyLeader, called once it is shut down, may have no answer ever
	v.log.close()
	v.port.Close()
	v.mu.Lock()
	for l := range v.links {
		l.conn.Close()
	}
	v.mu.Unlock()
}

// leads says whether this voter leads, and how many leases are out.
func (v *voter) leads() (bool, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.keeper == nil {
		return false, 0
	}
	return true, v.keeper.LeasesInUse(v.a.clock.now())
}

// since is how long ago a version was decided, if it is the last that this process saw decided.
func (v *voter) since(version uint64) (time.Duration, bool) {
	m := v.log.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.at), m.state.Version == version && !m.at.IsZero()
}

// lead makes a keeper at each election, once a barrier of the term is committed, and drops it at its end.
func (v *voter) lead() {
	defer v.done.Done()
	again := time.NewTicker(max(v.a.cfg.Leases.Lease/30, 10*time.Millisecond))
	defer again.Stop()
	for {
		select {
		case <-v.stop:
			return
		case leads := <-v.log.turns:
			if !leads {
				v.drop()
			}
		case <-again.C: // a term whose barrier failed, or whose keeper was dropped, is taken up again
		}
		v.begin()
	}
}

func (v *voter) begin() {
	r := v.log.raft
	term := r.CurrentTerm()
	v.mu.Lock()
	has := v.keeper != nil && v.term == term
	v.mu.Unlock()
	if has || r.State() != raft.Leader {
		return
	}
	if v.await(func() error { return r.Barrier(barrier).Error() }) != nil || r.State() != raft.Leader || r.CurrentTerm() != term {
		return
	}
	k, err := accord.NewLeader(v.a.cfg.Leases, term, v.a.clock.now(), v.log.machine.State())
	if err != nil {
		v.a.cfg.Log.Error().Err(err).Msg("accord: cannot lead")
		return
	}
	v.mu.Lock()
	if v.term == term {
		k.ResumeChangeCount(v.count)
	}
	v.keeper, v.term, v.lender = k, term, nil
	v.lend(v.log.machine.State().Body)
	v.mu.Unlock()
	v.a.cfg.Log.Info().Str("process", v.a.cfg.Name).Uint64("term", term).Msg("accord: leads")
}

func (v *voter) drop() {
	v.mu.Lock()
	had := v.keeper != nil
	v.forget()
	term := v.term
	v.mu.Unlock()
	if had {
		v.a.cfg.Log.Info().Str("process", v.a.cfg.Name).Uint64("term", term).Msg("accord: leads no more")
	}
}

// forget drops the keeper. v.mu is held.
func (v *voter) forget() {
	if v.keeper != nil {
		v.count, v.keeper = v.keeper.ChangeCount(), nil
	}
}

// serve reads a member's asks until its link ends.
func (v *voter) serve(conn net.Conn) {
	l := &link{conn: conn, out: make(chan []byte, linkHeld)}
	v.mu.Lock()
	v.links[l] = struct{}{}
	v.mu.Unlock()
	over := make(chan struct{})
	go func() {
		for {
			select {
			case p := <-l.out:
				conn.SetWriteDeadline(time.Now().Add(v.a.cfg.Leases.Lease / 3))
				if _, err := conn.Write(p); err != nil {
					conn.Close()
					return
				}
			case <-over:
				return
			}
		}
	}()
	defer func() {
		conn.Close()
		close(over)
		v.mu.Lock()
		delete(v.links, l)
		v.mu.Unlock()
	}()
	select {
	case <-v.stop:
		return
	default:
	}
	r := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(4 * v.a.cfg.Leases.Lease))
		m, err := wire.ReadMessage(r)
		if err != nil || m.LeaseRequest == nil && m.BudgetRequest == nil {
			if err == nil || errors.Is(err, wire.ErrMessage) {
				v.a.Counters.BadMessages.Add(1)
			}
			return
		}
		a := asked{from: l, want: m.BudgetRequest}
		if m.LeaseRequest != nil {
			a.ask = *m.LeaseRequest
		}
		select {
		case v.asks <- a:
		default: // it asks again
		}
	}
}

// confirm answers asks in batches: those that are there get a majority's word together that this
// voter's term has not ended, begun after all of them came.
func (v *voter) confirm() {
	defer v.done.Done()
	var batch []asked
	for {
		batch = batch[:0]
		select {
		case <-v.stop:
			return
		case a := <-v.asks:
			batch = append(batch, a)
		}
		for more := true; more && len(batch) < asksHeld; {
			select {
			case a := <-v.asks:
				batch = append(batch, a)
			default:
				more = false
			}
		}
		v.mu.Lock()
		k, term := v.keeper, v.term
		v.mu.Unlock()
		r := v.log.raft
		if k == nil || !v.verify() || r.CurrentTerm() != term {
			_, id := r.LeaderWithID()
			if string(id) == v.a.cfg.Name {
				id = "" // a term whose keeper is still to come
			}
			for _, a := range batch {
				if a.want != nil { // an ask for a share says nothing of who leads
					continue
				}
				a.from.send(wire.EncodeLeaseResponse(accord.LeaseResponse{Peer: a.ask.Peer, Epoch: a.ask.Epoch, Seq: a.ask.Seq, Leader: string(id)}))
			}
			continue
		}
		v.mu.Lock()
		if v.keeper == k {
			for _, a := range batch {
				if a.want != nil {
					v.lent(a.from, a.want)
					continue
				}
				a.from.send(wire.EncodeLeaseResponse(k.Handle(v.a.clock.now(), a.ask)))
			}
			v.turn(k)
		}
		v.mu.Unlock()
	}
}

// verify asks a majority whether this voter leads.
func (v *voter) verify() bool {
	return v.await(func() error { return v.log.raft.VerifyLeader().Error() }) == nil
}

// await waits for the log's library, or for the voter's end: the library never answers a question that stands in its
// queue when it is shut down.
func (v *voter) await(ask func() error) error {
	said := make(chan error, 1)
	go func() { said <- ask() }()
	select {
	case err := <-said:
		return err
	case <-v.stop:
		return raft.ErrRaftShutdown
	}
}

// tick lets time pass for the keeper.
func (v *voter) tick() {
	defer v.done.Done()
	t := time.NewTicker(max(v.a.cfg.Leases.Lease/100, 5*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-v.stop:
			return
		case <-t.C:
			v.mu.Lock()
			if k := v.keeper; k != nil {
				k.Tick(v.a.clock.now())
				v.turn(k)
			}
			v.mu.Unlock()
		}
	}
}

// turn does what the keeper asks for. v.mu is held.
func (v *voter) turn(k *accord.Leader) {
	if d, ok := k.TakeDecision(); ok {
		go v.submit(k, d)
	}
	if k.TakePoll() {
		p := wire.EncodePoll()
		for l := range v.links {
			if len(l.out) < linkHeld/2 { // a hint: never a reason to close a link
				l.send(p)
			}
		}
	}
	v.a.tell(k.TakeEvents())
}

// submit gives an entry to the log. Where that fails nobody can tell whether it was decided: the keeper
// is dropped, and its successor reads it from the log.
func (v *voter) submit(k *accord.Leader, d accord.Decision) {
	err := v.log.raft.Apply(wire.EncodeDecision(d), 0).Error()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.keeper != k {
		return
	}
	if err != nil {
		v.forget()
		return
	}
	state := v.log.machine.State()
	k.Applied(v.a.clock.now(), state)
	v.lend(state.Body)
	v.turn(k)
}
