package quota

import (
	"slices"
	"sync"
	"time"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// root lends to the regions while this voter leads.
type root struct {
	voter       *voter
	regions     []string // the regions
	unconfirmed chan unconfirmedRequest

	mu            sync.Mutex
	lender        *quota.Lender // of term; it outlives a pause in leading, and no other term
	term          uint64
	policyVersion uint64   // of the policy whose quotas are its capacities
	accounts      []string // that have one
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

// enqueue queues a region's enqueue for the majority's word.
func (r *root) enqueue(l *childConn, a quota.LeaseRequest) {
	select {
	case r.unconfirmed <- unconfirmedRequest{l, a}:
	default: // it asks again
	}
}

// run makes a lender at each term that this voter leads, lets time pass, and takes up what is decided.
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

// prepareLender says whether this voter prepareLender, with a lender of its term whose capacities are those decided last. A term has one
// leader, so that a lender of the term that is led again has missed nothing. r.mu is held.
func (r *root) prepareLender() bool {
	term, ok := r.voter.accord.LeaderTerm()
	if !ok {
		return false
	}
	if r.lender == nil || r.term != term {
		version, _ := r.voter.accord.Decided()
		l, err := quota.NewLender(r.voter.q.cfg.regionLeases(), term, r.voter.q.now(), quota.LenderOptions{Preallocate: true, Children: r.regions,
			SkipRecovery: version == 0}) // none was ever decided: there was nothing to lend
		if err != nil { // the plan was checked: a fault of ours
			r.voter.q.cfg.Log.Error().Err(err).Msg("quota: cannot lend")
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

// assumePastQuotas tells a new lender of quotas that held until a while ago: by them, too, earlier terms may have lent what runs.
func (r *root) assumePastQuotas() {
	plan := r.voter.q.cfg.regionLeases()
	for _, p := range r.voter.accord.PastPolicies() {
		before, err := policy.Read(p.Body)
		if err != nil || time.Since(p.Until) > plan.QuietPeriod()+plan.DrainPeriod() {
			continue
		}
		var shares []quota.Allocation
		for account, units := range before.Quotas {
			shares = append(shares, quota.Allocation{Account: account, Units: units})
		}
		r.lender.AssumeLent(r.voter.q.now(), shares)
		r.lender.SetMaxRunTime(r.voter.q.now(), time.Duration(before.RunMS)*time.Millisecond)
	}
}

// flush does what the lender asks for. r.mu is held.
func (r *root) flush() {
	r.conns.poll(r.lender.TakePolls())
	r.voter.q.logEvents("", r.lender.TakeEvents())
}

// confirmRequests answers asks in batches: those that are there get a majority's word together that this voter's term has not
// ended, begun after all of them came.
func (r *root) confirmRequests() {
	batch := make([]unconfirmedRequest, 0, maxUnconfirmedRequests)
	for {
		batch = batch[:0]
		select {
		case <-r.voter.stop:
			return
		case a := <-r.unconfirmed:
			batch = append(batch, a)
		}
		for more := true; more && len(batch) < maxUnconfirmedRequests; {
			select {
			case a := <-r.unconfirmed:
				batch = append(batch, a)
			default:
				more = false
			}
		}
		r.mu.Lock()
		leads, term := r.prepareLender(), r.term
		r.mu.Unlock()
		if !leads || !r.voter.accord.ConfirmLeader(term) {
			for _, a := range batch {
				a.from.redirect(r.voter.accord.Leader())
			}
			continue
		}
		r.mu.Lock()
		if r.lender != nil && r.term == term {
			for _, a := range batch {
				r.handle(a)
			}
			r.flush()
		}
		r.mu.Unlock()
	}
}

// handle answers an ask. r.mu is held, and that this voter leads is confirmed.
func (r *root) handle(a unconfirmedRequest) {
	if !slices.Contains(r.regions, a.request.Child) {
		r.voter.q.Counters.BadMessages.Add(1)
		a.from.conn.Close()
		return
	}
	r.conns[a.request.Child] = a.from
	if answer, ok := r.lender.Handle(r.voter.q.now(), a.request); ok {
		a.from.send(wire.EncodeLeaseResponse(wire.LeaseResponse{LeaseResponse: answer}))
	}
}

func (r *root) dropConn(l *childConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns.drop(l)
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
