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

// member drives this dispatcher's Lessee: it keeps one link to the voter that leads.
type member struct {
	accord     *Accord
	admission  atomic.Pointer[admission]
	wakeup     chan struct{}
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu                sync.Mutex
	participant       *accord.Participant
	budgetHolder      *budget.Holder // of the policy's budget, where it has one
	budgetName        string         // the budget's name
	leader            string         // the voter to ask, where one was named
	unresponsive      string         // a voter that did not answer, which is not asked again
	avoidUntil        time.Time      // until then, whoever names it
	initialProposedAt time.Time      // when the first version was last proposed
}

func newMember(a *Accord, l *accord.Participant) *member {
	m := &member{accord: a, participant: l, wakeup: make(chan struct{}, 1), stop: make(chan struct{})}
	m.admission.Store(&admission{Admission: l.Admission(), waiting: &atomic.Int64{}})
	m.goroutines.Add(1)
	go m.run()
	return m
}

func (m *member) close() {
	close(m.stop)
	m.goroutines.Wait()
}

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

// tickInterval is how often a member looks at the time: what its gate allows ends by itself, since the time is
// compared at each req.
func (m *member) tickInterval() time.Duration {
	return max(m.accord.cfg.Leases.Lease/100, 2*time.Millisecond)
}

// run keeps a link to the leader, and without one lets time pass.
func (m *member) run() {
	defer m.goroutines.Done()
	for next := rand.IntN(len(m.accord.cfg.Voters)); ; next++ {
		to := m.accord.cfg.Voters[next%len(m.accord.cfg.Voters)]
		m.mu.Lock()
		for i, p := range m.accord.cfg.Voters {
			if p.Name == m.leader && (p.Name != m.unresponsive || time.Now().After(m.avoidUntil)) {
				to, next = p, i
			}
		}
		m.leader = ""
		m.participant.RequestNow()
		m.mu.Unlock()
		m.requestLeases(to)
		if m.runUnconnected(max(m.accord.cfg.Leases.Lease/30, 10*time.Millisecond)) {
			return
		}
	}
}

// runUnconnected lets time pass without a link, and says whether the member was closed.
func (m *member) runUnconnected(d time.Duration) bool {
	over := time.NewTimer(d)
	defer over.Stop()
	for {
		m.step(nil)
		beat := time.NewTimer(m.tickInterval())
		select {
		case <-m.stop:
			beat.Stop()
			return true
		case <-over.C:
			beat.Stop()
			return false
		case <-beat.C:
		case <-m.wakeup:
			beat.Stop()
		}
	}
}

// requestLeases asks one voter until the link breaks, it says that another leads, or it is silent.
func (m *member) requestLeases(to Peer) {
	type dialled struct {
		conn net.Conn
		err  error
	}
	plan := m.accord.cfg.Leases
	up := make(chan dialled, 1)
	go func() {
		conn, err := net.DialTimeout("tcp", to.Address, plan.Lease/3)
		if err == nil {
			conn.SetWriteDeadline(time.Now().Add(plan.Lease / 3))
			_, err = conn.Write([]byte{memberConn})
		}
		up <- dialled{conn, err}
	}()
	var conn net.Conn
	for conn == nil {
		select {
		case d := <-up:
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
				if d := <-up; d.conn != nil {
					d.conn.Close()
				}
			}()
			return
		}
	}
	defer conn.Close()
	heard := make(chan wire.Message, 16)
	ended := make(chan struct{})
	go func() {
		defer close(heard)
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
			case heard <- msg:
			case <-ended:
				return
			}
		}
	}()
	defer close(ended)
	last := time.Now()
	for {
		if !m.step(func(p []byte) bool {
			conn.SetWriteDeadline(time.Now().Add(plan.Lease / 3))
			_, err := conn.Write(wire.Frame(p))
			return err == nil
		}) {
			return
		}
		if time.Since(last) > plan.Lease/2 { // a voter that is stopped, or a link that swallows
			m.mu.Lock()
			m.unresponsive, m.avoidUntil = to.Name, time.Now().Add(plan.Lease/2)
			m.mu.Unlock()
			return
		}
		beat := time.NewTimer(m.tickInterval())
		select {
		case <-m.stop:
			beat.Stop()
			return
		case <-beat.C:
		case <-m.wakeup:
			beat.Stop()
		case msg, ok := <-heard:
			beat.Stop()
			if !ok {
				return
			}
			last = time.Now()
			if !m.handleMessage(msg) {
				return
			}
		}
	}
}

// handleMessage handles a message; false says that this voter does not lead.
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

// proposeInitialPolicy proposes this voter's own policy where none was ever decided: the fleet's first. m.mu is held.
func (m *member) proposeInitialPolicy(a *accord.LeaseResponse) {
	body := m.accord.cfg.InitialPolicy
	if a.Version > 0 || a.Change != 0 || m.accord.voter == nil || body == nil || m.participant.ProposalPending() ||
		time.Since(m.initialProposedAt) < 2*m.accord.cfg.Leases.Lease {
		return
	}
	m.initialProposedAt = time.Now()
	if err := m.participant.Propose(rand.Uint64()|accord.ProposalBit, body); err != nil {
		m.accord.cfg.Log.Error().Err(err).Msg("accord: no first policy")
	}
}

// step does all that is due: time passes, bodies are checked, a version is put in force and then shown
// to the core, and the ask that is due is sent. send is nil without a link.
func (m *member) step(send func([]byte) bool) bool {
	a, due := m.advance(send != nil)
	if due && !send(wire.EncodeLeaseRequest(a)) { // bounded by the link's write deadline
		return false
	}
	if send == nil {
		return true
	}
	w, due := m.nextBudgetAsk()
	return !due || send(wire.EncodeBudgetRequest(w))
}

func (m *member) advance(linked bool) (accord.LeaseRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activateVersion()
	m.publishAdmission() // closed before those that wait are counted
	m.participant.Tick(m.accord.clock.now(), int(m.admission.Load().waiting.Load()))
	for _, c := range m.participant.TakeChecks() {
		m.participant.ReportCheck(m.accord.clock.now(), c, m.accord.cfg.CheckPolicy(c.Body))
	}
	m.activateVersion()
	m.publishAdmission()
	m.accord.logEvents(m.participant.TakeEvents())
	if !linked {
		return accord.LeaseRequest{}, false
	}
	return m.participant.NextRequest(m.accord.clock.now())
}

// activateVersion puts a version in force at its first lease, before the gate is shown. m.mu is held.
func (m *member) activateVersion() {
	version, body, ok := m.participant.TakeActivation()
	if !ok {
		return
	}
	m.setBudgetPlan(body)
	if err := m.accord.cfg.ApplyPolicy(version, body); err != nil { // it was checked: a fault of ours
		m.accord.cfg.Log.Error().Err(err).Uint64("version", version).Msg("accord: not put in force whole")
	}
}
