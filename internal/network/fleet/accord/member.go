package accord

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"math/rand/v2"

	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/accord/wire"
)

// member runs this dispatcher's participant. It keeps one connection to the voter that leads.
type member struct {
	accord     *Accord
	admission  atomic.Pointer[admission]
	wakeup     chan struct{}
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu                sync.Mutex
	participant       *accord.Participant
	budgetHolder      *budget.Holder // of the policy's budget; nil if it contains none
	budgetName        string         // the budget's name
	leader            string         // the voter that was last named as the leader, empty for none
	unresponsive      string         // a voter that did not respond; avoided until avoidUntil, even if it is named
	avoidUntil        time.Time
	initialProposedAt time.Time // when the initial policy was last proposed
}

func newMember(a *Accord, participant *accord.Participant) *member {
	m := &member{accord: a, participant: participant, wakeup: make(chan struct{}, 1), stop: make(chan struct{})}
	m.admission.Store(&admission{Admission: participant.Admission(), waiting: &atomic.Int64{}})
	m.goroutines.Add(1)
	go m.run()
	return m
}

func (m *member) close() {
	close(m.stop)
	m.goroutines.Wait()
}

// wake makes the member run its next step at once.
func (m *member) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

func (m *member) propose(body []byte) error {
	m.mu.Lock()
	err := m.participant.Propose(rand.Uint64()|accord.ProposalBit, body)
	m.mu.Unlock()
	m.wake()
	return err
}

func (m *member) retryCheck() {
	m.mu.Lock()
	m.participant.RetryCheck()
	m.mu.Unlock()
}

func (m *member) current() (uint64, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.participant.Current()
}

// tickInterval returns how often the participant handles the passing of time. An admission ends without a tick, since
// the time is compared at each request.
func (m *member) tickInterval() time.Duration {
	return max(m.accord.cfg.Leases.Lease/100, 2*time.Millisecond)
}

// run keeps a connection to the leader. While there is none it tries the voters in turn.
func (m *member) run() {
	defer m.goroutines.Done()
	for next := rand.IntN(len(m.accord.cfg.Voters)); ; next++ {
		voter := m.accord.cfg.Voters[next%len(m.accord.cfg.Voters)]
		m.mu.Lock()
		for i, p := range m.accord.cfg.Voters {
			if p.Name == m.leader && (p.Name != m.unresponsive || time.Now().After(m.avoidUntil)) {
				voter, next = p, i
			}
		}
		m.leader = ""
		m.participant.RequestNow()
		m.mu.Unlock()
		m.requestLeases(voter)
		if m.runUnconnected(max(m.accord.cfg.Leases.Lease/30, 10*time.Millisecond)) {
			return
		}
	}
}

// runUnconnected runs the participant without a connection for the duration d. It reports whether the member was
// closed.
func (m *member) runUnconnected(d time.Duration) bool {
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		m.step(nil)
		tick := time.NewTimer(m.tickInterval())
		select {
		case <-m.stop:
			tick.Stop()
			return true
		case <-end.C:
			tick.Stop()
			return false
		case <-tick.C:
		case <-m.wakeup:
			tick.Stop()
		}
	}
}

// requestLeases connects to one voter and requests leases from it, until the connection breaks, the voter answers that
// it does not lead, or it is silent for too long.
func (m *member) requestLeases(to Peer) {
	type dialResult struct {
		conn net.Conn
		err  error
	}
	leases := m.accord.cfg.Leases
	dialed := make(chan dialResult, 1)
	go func() {
		conn, err := net.DialTimeout("tcp", to.Address, leases.Lease/3)
		if err == nil {
			conn.SetWriteDeadline(time.Now().Add(leases.Lease / 3))
			_, err = conn.Write([]byte{memberConn})
		}
		dialed <- dialResult{conn, err}
	}()
	var conn net.Conn
	for conn == nil {
		select {
		case d := <-dialed:
			if d.err != nil {
				if d.conn != nil {
					d.conn.Close()
				}
				return
			}
			conn = d.conn
		case <-time.After(m.tickInterval()):
			m.step(nil)
		case <-m.stop:
			go func() {
				if d := <-dialed; d.conn != nil {
					d.conn.Close()
				}
			}()
			return
		}
	}
	defer conn.Close()
	received := make(chan wire.Message, 16)
	done := make(chan struct{})
	go func() {
		defer close(received)
		r := bufio.NewReader(conn)
		for {
			msg, err := wire.ReadMessage(r)
			if err != nil {
				if errors.Is(err, wire.ErrMessage) {
					m.accord.Counters.BadMessages.Add(1)
				}
				return
			}
			select {
			case received <- msg:
			case <-done:
				return
			}
		}
	}()
	defer close(done)
	lastReceived := time.Now()
	for {
		if !m.step(func(p []byte) bool {
			conn.SetWriteDeadline(time.Now().Add(leases.Lease / 3))
			_, err := conn.Write(wire.Frame(p))
			return err == nil
		}) {
			return
		}
		if time.Since(lastReceived) > leases.Lease/2 { // the voter's process hangs, or the network loses all messages
			m.mu.Lock()
			m.unresponsive, m.avoidUntil = to.Name, time.Now().Add(leases.Lease/2)
			m.mu.Unlock()
			return
		}
		tick := time.NewTimer(m.tickInterval())
		select {
		case <-m.stop:
			tick.Stop()
			return
		case <-tick.C:
		case <-m.wakeup:
			tick.Stop()
		case msg, ok := <-received:
			tick.Stop()
			if !ok {
				return
			}
			lastReceived = time.Now()
			if !m.handleMessage(msg) {
				return
			}
		}
	}
}

// handleMessage handles a message of the voter. It returns false if the voter does not lead.
func (m *member) handleMessage(msg wire.Message) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case msg.Poll:
		m.participant.RequestNow()
	case msg.BudgetGrant != nil:
		if m.budgetHolder != nil && msg.BudgetGrant.Budget == m.budgetName {
			m.budgetHolder.HandleGrant(budget.Time(m.accord.clock.now()), msg.BudgetGrant.Grant)
		}
	case msg.LeaseResponse != nil && !msg.LeaseResponse.IsLeader:
		m.leader = msg.LeaseResponse.Leader
		return false
	case msg.LeaseResponse != nil:
		m.participant.HandleResponse(m.accord.clock.now(), *msg.LeaseResponse)
		m.proposeInitialPolicy(msg.LeaseResponse)
	}
	return true
}

// proposeInitialPolicy proposes a voter's configured policy if the leader reports that no policy was ever decided and
// that no change is under way. m.mu is held.
func (m *member) proposeInitialPolicy(resp *accord.LeaseResponse) {
	body := m.accord.cfg.InitialPolicy
	if resp.Version > 0 || resp.Change != 0 || m.accord.voter == nil || body == nil || m.participant.ProposalPending() ||
		time.Since(m.initialProposedAt) < 2*m.accord.cfg.Leases.Lease {
		return
	}
	m.initialProposedAt = time.Now()
	if err := m.participant.Propose(rand.Uint64()|accord.ProposalBit, body); err != nil {
		m.accord.cfg.Log.Error().Err(err).Msg("accord: initial policy not proposed")
	}
}

// step advances the participant and sends the lease and budget requests that are due. send is nil without a
// connection. step returns false if send failed.
func (m *member) step(send func([]byte) bool) bool {
	lease, due := m.advance(send != nil)
	if due && !send(wire.EncodeLeaseRequest(lease)) { // bounded by the connection's write deadline
		return false
	}
	if send == nil {
		return true
	}
	budgetReq, due := m.nextBudgetRequest()
	return !due || send(wire.EncodeBudgetRequest(budgetReq))
}

// advance lets the participant handle the passing of time, checks policies for it, and applies and publishes what it
// decides. If connected, it returns the lease request to send now, if one is due.
func (m *member) advance(connected bool) (accord.LeaseRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activateVersion()
	m.publishAdmission() // a stop must be published before the waiting requests are counted
	m.participant.Tick(m.accord.clock.now(), int(m.admission.Load().waiting.Load()))
	for _, c := range m.participant.TakeChecks() {
		m.participant.ReportCheck(m.accord.clock.now(), c, m.accord.cfg.CheckPolicy(c.Body))
	}
	m.activateVersion()
	m.publishAdmission()
	m.accord.logEvents(m.participant.TakeEvents())
	if !connected {
		return accord.LeaseRequest{}, false
	}
	return m.participant.NextRequest(m.accord.clock.now())
}

// activateVersion applies the adopted version at its first lease. It must be called before publishAdmission, so that
// no request is accepted under the version before it is applied. m.mu is held.
func (m *member) activateVersion() {
	version, body, ok := m.participant.TakeActivation()
	if !ok {
		return
	}
	m.setBudgetPlan(body)
	if err := m.accord.cfg.ApplyPolicy(version, body); err != nil { // a bug: the policy was checked before
		m.accord.cfg.Log.Error().Err(err).Uint64("version", version).Msg("accord: version applied only in part")
	}
}
