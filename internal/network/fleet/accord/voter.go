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

// Limits of a voter.
const (
	maxQueuedRequests = 8192 // requests that wait until a majority has confirmed the leader; more are dropped, and repeated by their members
	maxQueuedMessages = 32   // messages that wait to be written to a link; a link with more is closed
	barrierTimeout    = 10 * time.Second
)

// voter replicates the log and serves the members' connections. While it leads, it runs the accord's
// leader and the budget's keeper.
type voter struct {
	accord     *Accord
	mux        *connMux
	log        *majorityLog
	requests   chan queuedRequest
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu           sync.Mutex
	leader       *accord.Leader // nil while this voter does not lead
	leaderTerm   uint64         // of leader, or of the last one
	changeCount  uint64         // changes made by earlier leaders of leaderTerm in this process
	budgetKeeper *budget.Keeper // of the policy's budget; nil if it contains none
	budgetName   string         // the budget's name
	links        map[*link]struct{}
}

// queuedRequest is a member's lease request, or a budget request if budget is not nil.
type queuedRequest struct {
	from   *link
	lease  accord.LeaseRequest
	budget *wire.BudgetRequest
}

// link is the voter's end of a member's connection.
type link struct {
	conn net.Conn
	out  chan []byte // encoded messages to be written
}

// send queues a message. If the queue is full, the link is closed.
func (l *link) send(p []byte) {
	select {
	case l.out <- wire.Frame(p):
	default:
		l.conn.Close()
	}
}

func newVoter(a *Accord, self Peer) (*voter, error) {
	v := &voter{accord: a, requests: make(chan queuedRequest, maxQueuedRequests), stop: make(chan struct{}), links: map[*link]struct{}{}}
	listen := a.cfg.Listen
	if listen == "" {
		listen = self.Address
	}
	var err error
	if v.mux, err = newConnMux(listen, self.Address, v.serveMember); err != nil {
		return nil, err
	}
	if v.log, err = openLog(&a.cfg, self, v.mux, func(event accord.Event) { a.logEvents([]accord.Event{event}) }); err != nil {
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
	if v.log.raft.State() == raft.Leader { // a planned shutdown need not make the fleet wait for an election
		_ = v.log.raft.LeadershipTransfer().Error() // takes at most the election timeout; if it fails there is an election
	}
	close(v.stop)
	v.goroutines.Wait() // before the log is shut down: a VerifyLeader called after that may never return
	v.log.close()
	v.mux.Close()
	v.mu.Lock()
	for l := range v.links {
		l.conn.Close()
	}
	v.mu.Unlock()
}

// leadership reports whether this voter leads, and how many leases are in use.
func (v *voter) leadership() (bool, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader == nil {
		return false, 0
	}
	return true, v.leader.LeasesInUse(v.accord.clock.now())
}

// sinceDecided returns how long ago a version was decided, if it is the last one whose decision this process applied.
func (v *voter) sinceDecided(version uint64) (time.Duration, bool) {
	m := v.log.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.decidedAt), m.state.Version == version && !m.decidedAt.IsZero()
}

// watchLeadership starts a leader when this voter is elected, and drops it when the term ends.
func (v *voter) watchLeadership() {
	defer v.goroutines.Done()
	retry := time.NewTicker(max(v.accord.cfg.Leases.Lease/30, 10*time.Millisecond))
	defer retry.Stop()
	for {
		select {
		case <-v.stop:
			return
		case leads := <-v.log.leaderChanges:
			if !leads {
				v.stopLeading()
			}
		case <-retry.C: // the barrier may have failed, or the leader may have been dropped within its term
		}
		v.startLeading()
	}
}

// startLeading starts a leader if this voter leads and has none in this term. It first commits a barrier, so that all
// decisions of earlier terms are applied.
func (v *voter) startLeading() {
	r := v.log.raft
	term := r.CurrentTerm()
	v.mu.Lock()
	leading := v.leader != nil && v.leaderTerm == term
	v.mu.Unlock()
	if leading || r.State() != raft.Leader {
		return
	}
	if v.awaitRaft(func() error { return r.Barrier(barrierTimeout).Error() }) != nil || r.State() != raft.Leader || r.CurrentTerm() != term {
		return
	}
	leader, err := accord.NewLeader(v.accord.cfg.Leases, term, v.accord.clock.now(), v.log.machine.State())
	if err != nil {
		v.accord.cfg.Log.Error().Err(err).Msg("accord: cannot lead")
		return
	}
	v.mu.Lock()
	if v.leaderTerm == term {
		leader.ResumeChangeCount(v.changeCount)
	}
	v.leader, v.leaderTerm, v.budgetKeeper = leader, term, nil
	v.setBudgetPlan(v.log.machine.State().Body)
	v.mu.Unlock()
	v.accord.cfg.Log.Info().Str("process", v.accord.cfg.Name).Uint64("term", term).Msg("accord: leads")
}

// stopLeading drops the leader, if there is one.
func (v *voter) stopLeading() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dropLeader()
}

// dropLeader drops the leader, if there is one, remembers its count of changes and logs that this voter no longer
// leads. v.mu is held.
func (v *voter) dropLeader() {
	if v.leader == nil {
		return
	}
	v.changeCount, v.leader = v.leader.ChangeCount(), nil
	v.accord.cfg.Log.Info().Str("process", v.accord.cfg.Name).Uint64("term", v.leaderTerm).Msg("accord: leads no more")
}

// serveMember queues a member's requests until the connection ends.
func (v *voter) serveMember(conn net.Conn) {
	l := &link{conn: conn, out: make(chan []byte, maxQueuedMessages)}
	v.mu.Lock()
	v.links[l] = struct{}{}
	v.mu.Unlock()
	done := make(chan struct{})
	go func() {
		for {
			select {
			case p := <-l.out:
				conn.SetWriteDeadline(time.Now().Add(v.accord.cfg.Leases.Lease / 3))
				if _, err := conn.Write(p); err != nil {
					conn.Close()
					return
				}
			case <-done:
				return
			}
		}
	}()
	defer func() {
		conn.Close()
		close(done)
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
		req := queuedRequest{from: l, budget: m.BudgetRequest}
		if m.LeaseRequest != nil {
			req.lease = *m.LeaseRequest
		}
		select {
		case v.requests <- req:
		default: // the member repeats it
		}
	}
}

// answerRequests answers queued requests in batches. For each batch a majority must confirm that this
// voter's term has not ended, and the confirmation starts after all requests of the batch have arrived.
func (v *voter) answerRequests() {
	defer v.goroutines.Done()
	var batch []queuedRequest
	for {
		batch = batch[:0]
		select {
		case <-v.stop:
			return
		case req := <-v.requests:
			batch = append(batch, req)
		}
		for more := true; more && len(batch) < maxQueuedRequests; {
			select {
			case req := <-v.requests:
				batch = append(batch, req)
			default:
				more = false
			}
		}
		v.mu.Lock()
		leader, term := v.leader, v.leaderTerm
		v.mu.Unlock()
		r := v.log.raft
		if leader == nil || !v.verifyLeader() || r.CurrentTerm() != term {
			_, id := r.LeaderWithID()
			if string(id) == v.accord.cfg.Name {
				id = "" // elected, but its leader has not started yet
			}
			for _, req := range batch {
				if req.budget != nil { // a budget grant has no field that names the leader
					continue
				}
				req.from.send(wire.EncodeLeaseResponse(accord.LeaseResponse{Peer: req.lease.Peer, Epoch: req.lease.Epoch, Seq: req.lease.Seq, Leader: string(id)}))
			}
			continue
		}
		v.mu.Lock()
		if v.leader == leader {
			for _, req := range batch {
				if req.budget != nil {
					v.grantBudget(req.from, req.budget)
					continue
				}
				req.from.send(wire.EncodeLeaseResponse(leader.Handle(v.accord.clock.now(), req.lease)))
			}
			v.performActions(leader)
		}
		v.mu.Unlock()
	}
}

// verifyLeader reports whether a majority confirms that this voter leads.
func (v *voter) verifyLeader() bool {
	return v.awaitRaft(func() error { return v.log.raft.VerifyLeader().Error() }) == nil
}

// awaitRaft runs a call of the Raft library and returns its error. It does not wait for the call once the voter is
// closed: the library never answers a call that is queued when it is shut down.
func (v *voter) awaitRaft(call func() error) error {
	result := make(chan error, 1)
	go func() { result <- call() }()
	select {
	case err := <-result:
		return err
	case <-v.stop:
		return raft.ErrRaftShutdown
	}
}

// tick lets the leader handle the passing of time.
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
			if leader := v.leader; leader != nil {
				leader.Tick(v.accord.clock.now())
				v.performActions(leader)
			}
			v.mu.Unlock()
		}
	}
}

// performActions submits the leader's decision, sends its poll and logs its events, as far as there are any.
// v.mu is held.
func (v *voter) performActions(leader *accord.Leader) {
	if decision, ok := leader.TakeDecision(); ok {
		go v.submit(leader, decision)
	}
	if leader.TakePoll() {
		p := wire.EncodePoll()
		for l := range v.links {
			if len(l.out) < maxQueuedMessages/2 { // a poll is only a hint: a link must not be closed because of it
				l.send(p)
			}
		}
	}
	v.accord.logEvents(leader.TakeEvents())
}

// submit appends a decision to the log. If that fails, it is unknown whether the change was decided. The leader is then
// dropped, and its successor finds out from the log.
func (v *voter) submit(leader *accord.Leader, decision accord.Decision) {
	err := v.log.raft.Apply(wire.EncodeDecision(decision), 0).Error()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader != leader {
		return
	}
	if err != nil {
		v.dropLeader()
		return
	}
	state := v.log.machine.State()
	leader.Applied(v.accord.clock.now(), state)
	v.setBudgetPlan(state.Body)
	v.performActions(leader)
}
