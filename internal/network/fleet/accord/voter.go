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
	maxQueuedRequests = 8192 // asks that wait for the leader's confirmation; one beyond is dropped, and asked again
	maxQueuedMessages = 32   // messages that wait for a link; a link that does not take them is closed
	barrierTimeout    = 10 * time.Second
)

// voter is one of those that keep the log, and the keeper's side while it leads.
type voter struct {
	accord     *Accord
	mux        *connMux
	log        *majorityLog
	requests   chan queuedRequest
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu           sync.Mutex
	leader       *accord.Leader // nil while it does not lead
	leaderTerm   uint64
	changeCount  uint64         // of changes in term, by keepers before
	budgetKeeper *budget.Keeper // of the policy's budget, while it leads
	budgetName   string         // the budget's name
	links        map[*link]struct{}
}

// queuedRequest is an ask, or one for a share where want is there.
type queuedRequest struct {
	from   *link
	lease  accord.LeaseRequest
	budget *wire.BudgetRequest
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
	v := &voter{accord: a, requests: make(chan queuedRequest, maxQueuedRequests), stop: make(chan struct{}), links: map[*link]struct{}{}}
	listen := a.cfg.Listen
	if listen == "" {
		listen = me.Address
	}
	var err error
	if v.mux, err = newConnMux(listen, me.Address, v.serveMember); err != nil {
		return nil, err
	}
	if v.log, err = openLog(&a.cfg, me, v.mux, func(n accord.Event) { a.logEvents([]accord.Event{n}) }); err != nil {
		v.mux.Close()
		return nil, err
	}
	v.goroutines.Add(3)
	go v.watchLeadership()
	go v.answerRequests()
	go v.tick()
	return v, nil
}

func (v *voter) close() {
	if v.log.raft.State() == raft.Leader { // an end that was asked for need not cost the fleet an election's wait
		_ = v.log.raft.LeadershipTransfer().Error() // bounded by the election's time; where it fails there is an election
	}
	close(v.stop)
	v.goroutines.Wait() // while the log answers them: VerifyLeader, called once it is shut down, may have no answer ever
	v.log.close()
	v.mux.Close()
	v.mu.Lock()
	for l := range v.links {
		l.conn.Close()
	}
	v.mu.Unlock()
}

// leadership says whether this voter leadership, and how many leases are out.
func (v *voter) leadership() (bool, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader == nil {
		return false, 0
	}
	return true, v.leader.LeasesInUse(v.accord.clock.now())
}

// sinceDecided is how long ago a version was decided, if it is the last that this process saw decided.
func (v *voter) sinceDecided(version uint64) (time.Duration, bool) {
	m := v.log.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.decidedAt), m.state.Version == version && !m.decidedAt.IsZero()
}

// watchLeadership makes a keeper at each election, once a barrier of the term is committed, and drops it at its end.
func (v *voter) watchLeadership() {
	defer v.goroutines.Done()
	again := time.NewTicker(max(v.accord.cfg.Leases.Lease/30, 10*time.Millisecond))
	defer again.Stop()
	for {
		select {
		case <-v.stop:
			return
		case leads := <-v.log.leaderChanges:
			if !leads {
				v.stopLeading()
			}
		case <-again.C: // a term whose barrier failed, or whose keeper was dropped, is taken up again
		}
		v.startLeading()
	}
}

func (v *voter) startLeading() {
	r := v.log.raft
	term := r.CurrentTerm()
	v.mu.Lock()
	has := v.leader != nil && v.leaderTerm == term
	v.mu.Unlock()
	if has || r.State() != raft.Leader {
		return
	}
	if v.awaitRaft(func() error { return r.Barrier(barrierTimeout).Error() }) != nil || r.State() != raft.Leader || r.CurrentTerm() != term {
		return
	}
	k, err := accord.NewLeader(v.accord.cfg.Leases, term, v.accord.clock.now(), v.log.machine.State())
	if err != nil {
		v.accord.cfg.Log.Error().Err(err).Msg("accord: cannot lead")
		return
	}
	v.mu.Lock()
	if v.leaderTerm == term {
		k.ResumeChangeCount(v.changeCount)
	}
	v.leader, v.leaderTerm, v.budgetKeeper = k, term, nil
	v.setBudgetPlan(v.log.machine.State().Body)
	v.mu.Unlock()
	v.accord.cfg.Log.Info().Str("process", v.accord.cfg.Name).Uint64("term", term).Msg("accord: leads")
}

func (v *voter) stopLeading() {
	v.mu.Lock()
	had := v.leader != nil
	v.dropLeader()
	term := v.leaderTerm
	v.mu.Unlock()
	if had {
		v.accord.cfg.Log.Info().Str("process", v.accord.cfg.Name).Uint64("term", term).Msg("accord: leads no more")
	}
}

// dropLeader drops the keeper. v.mu is held.
func (v *voter) dropLeader() {
	if v.leader != nil {
		v.changeCount, v.leader = v.leader.ChangeCount(), nil
	}
}

// serveMember reads a member's asks until its link ends.
func (v *voter) serveMember(conn net.Conn) {
	l := &link{conn: conn, out: make(chan []byte, maxQueuedMessages)}
	v.mu.Lock()
	v.links[l] = struct{}{}
	v.mu.Unlock()
	over := make(chan struct{})
	go func() {
		for {
			select {
			case p := <-l.out:
				conn.SetWriteDeadline(time.Now().Add(v.accord.cfg.Leases.Lease / 3))
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
		conn.SetReadDeadline(time.Now().Add(4 * v.accord.cfg.Leases.Lease))
		m, err := wire.ReadMessage(r)
		if err != nil || m.LeaseRequest == nil && m.BudgetRequest == nil {
			if err == nil || errors.Is(err, wire.ErrMessage) {
				v.accord.Counters.BadMessages.Add(1)
			}
			return
		}
		a := queuedRequest{from: l, budget: m.BudgetRequest}
		if m.LeaseRequest != nil {
			a.lease = *m.LeaseRequest
		}
		select {
		case v.requests <- a:
		default: // it asks again
		}
	}
}

// answerRequests answers asks in batches: those that are there get a majority's word together that this
// voter's term has not ended, begun after all of them came.
func (v *voter) answerRequests() {
	defer v.goroutines.Done()
	var batch []queuedRequest
	for {
		batch = batch[:0]
		select {
		case <-v.stop:
			return
		case a := <-v.requests:
			batch = append(batch, a)
		}
		for more := true; more && len(batch) < maxQueuedRequests; {
			select {
			case a := <-v.requests:
				batch = append(batch, a)
			default:
				more = false
			}
		}
		v.mu.Lock()
		k, term := v.leader, v.leaderTerm
		v.mu.Unlock()
		r := v.log.raft
		if k == nil || !v.verifyLeader() || r.CurrentTerm() != term {
			_, id := r.LeaderWithID()
			if string(id) == v.accord.cfg.Name {
				id = "" // a term whose keeper is still to come
			}
			for _, a := range batch {
				if a.budget != nil { // an ask for a share says nothing of who leads
					continue
				}
				a.from.send(wire.EncodeLeaseResponse(accord.LeaseResponse{Peer: a.lease.Peer, Epoch: a.lease.Epoch, Seq: a.lease.Seq, Leader: string(id)}))
			}
			continue
		}
		v.mu.Lock()
		if v.leader == k {
			for _, a := range batch {
				if a.budget != nil {
					v.grantBudget(a.from, a.budget)
					continue
				}
				a.from.send(wire.EncodeLeaseResponse(k.Handle(v.accord.clock.now(), a.lease)))
			}
			v.performActions(k)
		}
		v.mu.Unlock()
	}
}

// verifyLeader asks a majority whether this voter leads.
func (v *voter) verifyLeader() bool {
	return v.awaitRaft(func() error { return v.log.raft.VerifyLeader().Error() }) == nil
}

// awaitRaft waits for the log's library, or for the voter's end: the library never answers a question that stands in its
// queue when it is shut down.
func (v *voter) awaitRaft(ask func() error) error {
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
	defer v.goroutines.Done()
	t := time.NewTicker(max(v.accord.cfg.Leases.Lease/100, 5*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-v.stop:
			return
		case <-t.C:
			v.mu.Lock()
			if k := v.leader; k != nil {
				k.Tick(v.accord.clock.now())
				v.performActions(k)
			}
			v.mu.Unlock()
		}
	}
}

// performActions does what the keeper asks for. v.mu is held.
func (v *voter) performActions(k *accord.Leader) {
	if d, ok := k.TakeDecision(); ok {
		go v.submit(k, d)
	}
	if k.TakePoll() {
		p := wire.EncodePoll()
		for l := range v.links {
			if len(l.out) < maxQueuedMessages/2 { // a hint: never a reason to close a link
				l.send(p)
			}
		}
	}
	v.accord.logEvents(k.TakeEvents())
}

// submit gives an entry to the log. Where that fails nobody can tell whether it was decided: the keeper
// is dropped, and its successor reads it from the log.
func (v *voter) submit(k *accord.Leader, d accord.Decision) {
	err := v.log.raft.Apply(wire.EncodeDecision(d), 0).Error()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader != k {
		return
	}
	if err != nil {
		v.dropLeader()
		return
	}
	state := v.log.machine.State()
	k.Applied(v.accord.clock.now(), state)
	v.setBudgetPlan(state.Body)
	v.performActions(k)
}
