package quota

import (
	"sync"
	"time"

	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// regionLender is a regionLender's lender, at the voter that is named for it.
type regionLender struct {
	voter    *voter
	name     string
	rootConn *lenderConn // to the root

	mu            sync.Mutex
	lender        *quota.RegionLender
	policyVersion uint64 // of the policy whose reserve and run are in force
	reportedTerm  uint64 // the term of the root that knows all that is held and lent here
	conns         childConns
}

func newRegionLender(v *voter, name string) (*regionLender, error) {
	cfg := &v.q.cfg
	r, err := quota.NewRegionLender(cfg.regionLeases(), cfg.Leases, name, cfg.Epoch, v.q.now())
	if err != nil {
		return nil, err
	}
	if v.accord.NewLog() {
		r.SkipRecovery(v.q.now())
	}
	return &regionLender{voter: v, name: name, lender: r, conns: childConns{}}, nil
}

// run lets time pass, and takes up what is decided.
func (r *regionLender) run() {
	for {
		r.mu.Lock()
		r.applyDecidedPolicy()
		r.lender.Tick(r.voter.q.now())
		r.flush()
		next := r.lender.NextTick()
		r.mu.Unlock()
		if !r.voter.sleep(next) {
			return
		}
	}
}

// sleep waits until a time, at most a beat; false: the voter was closed.
func (v *voter) sleep(until quota.Time) bool {
	d := min(max(time.Until(v.q.toTime(until)), minRequestInterval), v.q.cfg.tickInterval())
	if until == quota.Never {
		d = v.q.cfg.tickInterval()
	}
	over := time.NewTimer(d)
	defer over.Stop()
	select {
	case <-v.stop:
		return false
	case <-over.C:
		return true
	}
}

// applyDecidedPolicy takes up the policy that was decided last. r.mu is held.
func (r *regionLender) applyDecidedPolicy() {
	if version, p, ok := r.voter.decidedSince(r.policyVersion); ok {
		r.policyVersion = version
		r.lender.SetReserve(r.voter.q.now(), p.UrgentReserve)
		r.lender.SetMaxRunTime(r.voter.q.now(), time.Duration(p.RunMS)*time.Millisecond)
	}
}

// flush does what the lender asks for. r.mu is held.
func (r *regionLender) flush() {
	r.conns.poll(r.lender.TakePolls())
	r.voter.q.logEvents(r.name, r.lender.TakeEvents())
	if r.rootConn != nil && r.lender.Holder().NextRequestTime() <= r.voter.q.now() {
		r.rootConn.wake()
	}
}

// handle answers a dispatcher's ask.
func (r *regionLender) handle(l *childConn, a quota.LeaseRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[l.child] = l
	if answer, ok := r.lender.Handle(r.voter.q.now(), a); ok {
		l.send(wire.EncodeLeaseResponse(wire.LeaseResponse{From: r.name, LeaseResponse: answer}))
	}
	r.flush()
}

func (r *regionLender) dropConn(l *childConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns.drop(l)
}

func (r *regionLender) outstanding() (n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return totalOutstanding(r.lender.Lender(), r.voter.q.now())
}

func totalOutstanding(l *quota.Lender, now quota.Time) (n int64) {
	for _, account := range l.Accounts() {
		n += int64(l.Outstanding(now, account))
	}
	return n
}

// The side of the link to the root.

func (r *regionLender) handleConnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lender.HandleReconnect()
}

func (r *regionLender) nextRequest() (quota.LeaseRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lender.NextRequest(r.voter.q.now())
}

func (r *regionLender) nextRequestTime() quota.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lender.Holder().NextRequestTime()
}

func (r *regionLender) handleMessage(m wire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Response != nil {
		r.lender.HandleResponse(r.voter.q.now(), m.Response.LeaseResponse)
		if a := m.Response.LeaseResponse; !a.ResendFull && !a.NoRecord {
			r.reportedTerm = a.LenderIncarnation
		}
	} else {
		r.lender.HandlePoll()
		r.voter.q.Counters.PollsReceived.Add(1)
	}
	r.flush()
}

// reportedTo says whether the root of a term, or of a later one, knows all that is held and lent here.
func (r *regionLender) reportedTo(term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reportedTerm >= term
}

// finalRequest is nothing: what is lent goes on, and the next life inherits it.
func (r *regionLender) finalRequest() (quota.LeaseRequest, bool) { return quota.LeaseRequest{}, false }
