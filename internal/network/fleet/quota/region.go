package quota

import (
	"sync"
	"time"

	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// regionLender runs a region's lender at the voter that is configured for it.
type regionLender struct {
	voter    *voter
	name     string
	rootConn *lenderConn // nil while the voter is being created

	mu            sync.Mutex
	lender        *quota.RegionLender
	policyVersion uint64 // of the policy whose reserve and maximum run time are applied
	reportedTerm  uint64 // term of the newest root to which this lender has reported all held and lent units
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

// run advances the lender with time and applies newly decided policies, until the voter is closed.
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

// sleep waits until a time, at most one tickInterval. It returns false if the voter was closed.
func (v *voter) sleep(until quota.Time) bool {
	d := min(max(time.Until(v.q.toTime(until)), minRequestInterval), v.q.cfg.tickInterval())
	if until == quota.Never {
		d = v.q.cfg.tickInterval()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-v.stop:
		return false
	case <-timer.C:
		return true
	}
}

// applyDecidedPolicy applies the newest decided policy. The caller holds r.mu.
func (r *regionLender) applyDecidedPolicy() {
	if version, p, ok := r.voter.decidedSince(r.policyVersion); ok {
		r.policyVersion = version
		r.lender.SetReserve(r.voter.q.now(), p.UrgentReserve)
		r.lender.SetMaxRunTime(r.voter.q.now(), time.Duration(p.RunMS)*time.Millisecond)
	}
}

// flush sends the lender's polls, logs its events and sends its own request to the root if one is due. The caller holds r.mu.
func (r *regionLender) flush() {
	r.conns.poll(r.lender.TakePolls())
	r.voter.q.logEvents(r.name, r.lender.TakeEvents())
	if r.rootConn != nil && r.lender.Holder().NextRequestTime() <= r.voter.q.now() {
		r.rootConn.wake()
	}
}

// handle answers a dispatcher's request.
func (r *regionLender) handle(c *childConn, request quota.LeaseRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c.child] = c
	if response, ok := r.lender.Handle(r.voter.q.now(), request); ok {
		c.send(wire.EncodeLeaseResponse(wire.LeaseResponse{From: r.name, LeaseResponse: response}))
	}
	r.flush()
}

func (r *regionLender) dropConn(c *childConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns.drop(c)
}

func (r *regionLender) outstanding() (n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return totalOutstanding(r.lender.Lender(), r.voter.q.now())
}

// totalOutstanding returns the outstanding units of all accounts of a lender.
func totalOutstanding(l *quota.Lender, now quota.Time) (n int64) {
	for _, account := range l.Accounts() {
		n += int64(l.Outstanding(now, account))
	}
	return n
}

// The methods of borrower follow, for the connection to the root.

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
		if response := m.Response.LeaseResponse; !response.ResendFull && !response.NoRecord {
			r.reportedTerm = response.LenderIncarnation
		}
	} else {
		r.lender.HandlePoll()
		r.voter.q.Counters.PollsReceived.Add(1)
	}
	r.flush()
}

// reportedTo reports whether the root of a term or of a later one knows everything that this lender holds and has lent.
func (r *regionLender) reportedTo(term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reportedTerm >= term
}

// finalRequest returns no request: the lent units stay in use, and the next incarnation of this lender inherits them.
func (r *regionLender) finalRequest() (quota.LeaseRequest, bool) { return quota.LeaseRequest{}, false }
