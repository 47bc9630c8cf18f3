package quota

import (
	"slices"
	"sync"
	"time"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// root lends to the regions while this voter leads. It has a new incarnation of its lender for each term.
type root struct {
	voter       *voter
	regions     []string                // names of all regions
	unconfirmed chan unconfirmedRequest // requests to be answered once this voter's leadership is confirmed

	mu            sync.Mutex
	lender        *quota.Lender // of term; it is reused if this voter leads the same term again
	term          uint64
	policyVersion uint64   // of the policy whose quotas are the lender's capacities
	accounts      []string // accounts that have a quota by that policy
	conns         childConns
}

type unconfirmedRequest struct {
	from    *childConn
	request quota.LeaseRequest
}

func newRoot(v *voter) *root {
	r := &root{voter: v, unconfirmed: make(chan unconfirmedRequest, maxUnconfirmedRequests), conns: childConns{}}
	for _, l := range v.q.cfg.Lenders {
		r.regions = append(r.regions, l.Region)
	}
	return r
}

// enqueue queues a region's request until this voter's leadership is confirmed by a majority.
func (r *root) enqueue(c *childConn, request quota.LeaseRequest) {
	select {
	case r.unconfirmed <- unconfirmedRequest{c, request}:
	default: // dropped; the region repeats it
	}
}

// run creates a lender in each term that this voter leads, advances it with time and applies newly decided policies, until
// the voter is closed.
func (r *root) run() {
	for next := quota.Time(0); r.voter.sleep(next); {
		r.mu.Lock()
		next = quota.Never
		if r.prepareLender() {
			r.lender.Tick(r.voter.q.now())
			r.flush()
			next = r.lender.NextTick()
		}
		r.mu.Unlock()
	}
}

// prepareLender reports whether this voter leads. If it does, r.lender is then the lender of its term, with the capacities
// of the newest decided policy. A term has only one leader. A lender whose term is led again has therefore missed nothing.
// The caller holds r.mu.
func (r *root) prepareLender() bool {
	term, ok := r.voter.accord.LeaderTerm()
	if !ok {
		return false
	}
	if r.lender == nil || r.term != term {
		version, _ := r.voter.accord.Decided()
		// If version is 0, no policy was ever decided, so no earlier lender had anything to lend.
		l, err := quota.NewLender(r.voter.q.cfg.regionLeases(), term, r.voter.q.now(), quota.LenderOptions{
			Preallocate: true, Children: r.regions, SkipRecovery: version == 0})
		if err != nil { // New checked the configuration, so this is a bug
			r.voter.q.cfg.Log.Error().Err(err).Msg("quota: root's lender not created")
			return false
		}
		r.lender, r.term, r.policyVersion, r.accounts = l, term, 0, nil
		r.assumePastQuotas()
		r.voter.q.logEvents("", []quota.Event{{Step: "lends"}})
	}
	if version, p, ok := r.voter.decidedSince(r.policyVersion); ok {
		now := r.voter.q.now()
		for _, account := range r.accounts {
			if _, has := p.Quotas[account]; !has {
				r.lender.SetCapacity(now, account, 0)
			}
		}
		r.lender.SetMaxRunTime(now, time.Duration(p.RunMS)*time.Millisecond)
		r.policyVersion, r.accounts = version, nil
		for account, units := range p.Quotas {
			r.accounts = append(r.accounts, account)
			r.lender.SetCapacity(now, account, units)
		}
		slices.Sort(r.accounts)
	}
	return true
}

// assumePastQuotas states to a new lender the quotas of earlier policies that ended recently. The lenders of earlier terms
// may have lent units under those quotas that are still in use.
func (r *root) assumePastQuotas() {
	leases := r.voter.q.cfg.regionLeases()
	for _, past := range r.voter.accord.PastPolicies() {
		p, err := policy.Read(past.Body)
		if err != nil || time.Since(past.Until) > leases.QuietPeriod()+leases.DrainPeriod() {
			continue
		}
		var allocations []quota.Allocation
		for account, units := range p.Quotas {
			allocations = append(allocations, quota.Allocation{Account: account, Units: units})
		}
		r.lender.AssumeLent(r.voter.q.now(), allocations)
		r.lender.SetMaxRunTime(r.voter.q.now(), time.Duration(p.RunMS)*time.Millisecond)
	}
}

// flush sends the lender's polls and logs its events. The caller holds r.mu.
func (r *root) flush() {
	r.conns.poll(r.lender.TakePolls())
	r.voter.q.logEvents("", r.lender.TakeEvents())
}

// confirmRequests answers requests in batches. For each batch a majority must confirm that this voter's term has not ended.
// The confirmation starts after all requests of the batch have arrived.
func (r *root) confirmRequests() {
	batch := make([]unconfirmedRequest, 0, maxUnconfirmedRequests)
	for {
		batch = batch[:0]
		select {
		case <-r.voter.stop:
			return
		case request := <-r.unconfirmed:
			batch = append(batch, request)
		}
		for more := true; more && len(batch) < maxUnconfirmedRequests; {
			select {
			case request := <-r.unconfirmed:
				batch = append(batch, request)
			default:
				more = false
			}
		}
		r.mu.Lock()
		leads, term := r.prepareLender(), r.term
		r.mu.Unlock()
		if !leads || !r.voter.accord.ConfirmLeader(term) {
			for _, request := range batch {
				request.from.redirect(r.voter.accord.Leader())
			}
			continue
		}
		r.mu.Lock()
		if r.lender != nil && r.term == term {
			for _, request := range batch {
				r.handle(request)
			}
			r.flush()
		}
		r.mu.Unlock()
	}
}

// handle answers a request after this voter's leadership was confirmed. The caller holds r.mu.
func (r *root) handle(u unconfirmedRequest) {
	if !slices.Contains(r.regions, u.request.Child) {
		r.voter.q.Counters.BadMessages.Add(1)
		u.from.conn.Close()
		return
	}
	r.conns[u.request.Child] = u.from
	if response, ok := r.lender.Handle(r.voter.q.now(), u.request); ok {
		u.from.send(wire.EncodeLeaseResponse(wire.LeaseResponse{LeaseResponse: response}))
	}
}

func (r *root) dropConn(c *childConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns.drop(c)
}

func (r *root) outstanding() int64 {
	_, ok := r.voter.accord.LeaderTerm()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || r.lender == nil {
		return 0
	}
	return totalOutstanding(r.lender, r.voter.q.now())
}
