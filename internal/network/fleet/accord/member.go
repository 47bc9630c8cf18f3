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
	a     *Accord
	gate  atomic.Pointer[gate]
	woken chan struct{}
	stop  chan struct{}
	done  sync.WaitGroup

	mu     sync.Mutex
	lessee *accord.Participant
	holder *budget.Holder // of the policy's budget, where it has one
	holds  string         // the budget's name
	leader string         // the voter to ask, where one was named
	silent string         // a voter that did not answer, which is not asked again
	avoid  time.Time      // until then, whoever names it
	first  time.Time      // when the first version was last proposed
}

func newMember(a *Accord, l *accord.Participant) *member {
	m := &member{a: a, lessee: l, woken: make(chan struct{}, 1), stop: make(chan struct{})}
	m.gate.Store(&gate{Admission: l.Admission(), waiting: &atomic.Int64{}})
	m.done.Add(1)
	go m.run()
	return m
}

func (m *member) close() {
	close(m.stop)
	m.done.Wait()
}

func (m *member) wake() {
	select {
	case m.woken <- struct{}{}:
	default:
	}
}

func (m *member) propose(body []byte) error {
	m.mu.Lock()
	err := m.lessee.Propose(rand.Uint64()|accord.ProposalBit, body)
	m.mu.Unlock()
	m.wake()
	return err
}

func (m *member) retry() {
	m.mu.Lock()
	m.lessee.RetryCheck()
	m.mu.Unlock()
}

func (m *member) held() (uint64, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lessee.Current()
}

// beat is how often a member looks at the time: what its gate allows ends by itself, since the time is
// compared at each req.
func (m *member) beat() time.Duration { return max(m.a.cfg.Leases.Lease/100, 2*time.Millisecond) }

// run keeps a link to the leader, and without one lets time pass.
func (m *member) run() {
	defer m.done.Done()
	for next := rand.IntN(len(m.a.cfg.Voters)); ; next++ {
		to := m.a.cfg.Voters[next%len(m.a.cfg.Voters)]
		m.mu.Lock()
		for i, p := range m.a.cfg.Voters {
			if p.Name == m.leader && (p.Name != m.silent || time.Now().After(m.avoid)) {
				to, next = p, i
			}
		}
		m.leader = ""
		m.lessee.RequestNow()
		m.mu.Unlock()
		m.follow(to)
		if m.pause(max(m.a.cfg.Leases.Lease/30, 10*time.Millisecond)) {
			return
		}
	}
}

// pause lets time pass without a link, and says whether the member was closed.
func (m *member) pause(d time.Duration) bool {
	over := time.NewTimer(d)
	defer over.Stop()
	for {
		m.turn(nil)
		beat := time.NewTimer(m.beat())
		select {
		case <-m.stop:
			beat.Stop()
			return true
		case <-over.C:
			beat.Stop()
			return false
		case <-beat.C:
		case <-m.woken:
			beat.Stop()
		}
	}
}

// follow asks one voter until the link breaks, it says that another leads, or it is silent.
func (m *member) follow(to Peer) {
	type dialled struct {
		conn net.Conn
		err  error
	}
	plan := m.a.cfg.Leases
	up := make(chan dialled, 1)
	go func() {
		conn, err := net.DialTimeout("tcp", to.Address, plan.Lease/3)
		if err == nil {
			conn.SetWriteDeadline(time.Now().Add(plan.Lease / 3))
			_, err = conn.Write([]byte{linkMark})
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
		case <-time.After(m.beat()):
			m.turn(nil)
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
					m.a.Counters.BadMessages.Add(1)
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
		if !m.turn(func(p []byte) bool {
			conn.SetWriteDeadline(time.Now().Add(plan.Lease / 3))
			_, err := conn.Write(wire.Frame(p))
			return err == nil
		}) {
			return
		}
		if time.Since(last) > plan.Lease/2 { // a voter that is stopped, or a link that swallows
			m.mu.Lock()
			m.silent, m.avoid = to.Name, time.Now().Add(plan.Lease/2)
			m.mu.Unlock()
			return
		}
		beat := time.NewTimer(m.beat())
		select {
		case <-m.stop:
			beat.Stop()
			return
		case <-beat.C:
		case <-m.woken:
			beat.Stop()
		case msg, ok := <-heard:
			beat.Stop()
			if !ok {
				return
			}
			last = time.Now()
			if !m.take(msg) {
				return
			}
		}
	}
}

// take handles a message; false says that this voter does not lead.
func (m *member) take(msg wire.Message) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case msg.Poll:
		m.lessee.RequestNow()
	case msg.BudgetGrant != nil:
		if m.holder != nil && msg.BudgetGrant.Budget == m.holds {
			m.holder.HandleGrant(budget.Time(m.a.clock.now()), msg.BudgetGrant.Grant)
		}
	case msg.LeaseResponse != nil && !msg.LeaseResponse.IsLeader:
		m.leader = msg.LeaseResponse.Leader
		return false
	case msg.LeaseResponse != nil:
		m.lessee.HandleResponse(m.a.clock.now(), *msg.LeaseResponse)
		m.begin(msg.LeaseResponse)
	}
	return true
}

// begin proposes this voter's own policy where none was ever decided: the fleet's first. m.mu is held.
func (m *member) begin(a *accord.LeaseResponse) {
	body := m.a.cfg.InitialPolicy
	if a.Version > 0 || a.Change != 0 || m.a.voter == nil || body == nil || m.lessee.ProposalPending() ||
		time.Since(m.first) < 2*m.a.cfg.Leases.Lease {
		return
	}
	m.first = time.Now()
	if err := m.lessee.Propose(rand.Uint64()|accord.ProposalBit, body); err != nil {
		m.a.cfg.Log.Error().Err(err).Msg("accord: no first policy")
	}
}

// turn does all that is due: time passes, bodies are checked, a version is put in force and then shown
// to the core, and the ask that is due is sent. send is nil without a link.
func (m *member) turn(send func([]byte) bool) bool {
	a, due := m.due(send != nil)
	if due && !send(wire.EncodeLeaseRequest(a)) { // bounded by the link's write deadline
		return false
	}
	if send == nil {
		return true
	}
	w, due := m.wants()
	return !due || send(wire.EncodeBudgetRequest(w))
}

func (m *member) due(linked bool) (accord.LeaseRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.enter()
	m.show() // closed before those that wait are counted
	m.lessee.Tick(m.a.clock.now(), int(m.gate.Load().waiting.Load()))
	for _, c := range m.lessee.TakeChecks() {
		m.lessee.ReportCheck(m.a.clock.now(), c, m.a.cfg.CheckPolicy(c.Body))
	}
	m.enter()
	m.show()
	m.a.tell(m.lessee.TakeEvents())
	if !linked {
		return accord.LeaseRequest{}, false
	}
	return m.lessee.NextRequest(m.a.clock.now())
}

// enter puts a version in force at its first lease, before the gate is shown. m.mu is held.
func (m *member) enter() {
	version, body, ok := m.lessee.TakeActivation()
	if !ok {
		return
	}
	m.share(body)
	if err := m.a.cfg.ApplyPolicy(version, body); err != nil { // it was checked: a fault of ours
		m.a.cfg.Log.Error().Err(err).Uint64("version", version).Msg("accord: not put in force whole")
	}
}
