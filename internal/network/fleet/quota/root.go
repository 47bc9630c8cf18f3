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
	v     *votes
	known []string // the regions
	asks  chan asked

	mu       sync.Mutex
	lender   *quota.Lender // of term; it outlives a pause in leading, and no other term
	term     uint64
	version  uint64   // of the policy whose quotas are its capacities
	accounts []string // that have one
	children children
}

type asked struct {
	from *link
	ask  quota.LeaseRequest
}

func newRoot(v *votes) *root {
	r := &root{v: v, asks: make(chan asked, asksHeld), children: children{}}
	for _, l := range v.q.cfg.Lenders {
		r.known = append(r.known, l.Region)
	}
	return r
}

// ask queues a region's ask for the majority's word.
func (r *root) ask(l *link, a quota.LeaseRequest) {
	select {
	case r.asks <- asked{l, a}:
	default: // it asks again
	}
}

// run makes a lender at each term that this voter leads, lets time pass, and takes up what is decided.
func (r *root) run() {
	for next := quota.Time(0); r.v.sleep(next); {
		r.mu.Lock()
		next = quota.Never
		if r.leads() {
			r.lender.Tick(r.v.q.now())
			r.turn()
			next = r.lender.NextTick()
		}
		r.mu.Unlock()
	}
}

// leads says whether this voter leads, with a lender of its term whose capacities are those decided last. A term has one
// leader, so that a lender of the term that is led again has missed nothing. r.mu is held.
func (r *root) leads() bool {
	term, ok := r.v.accord.LeaderTerm()
	if !ok {
		return false
	}
	if r.lender == nil || r.term != term {
		version, _ := r.v.accord.Decided()
		l, err := quota.NewLender(r.v.q.cfg.up(), term, r.v.q.now(), quota.LenderOptions{Preallocate: true, Children: r.known,
			SkipRecovery: version == 0}) // none was ever decided: there was nothing to lend
		if err != nil { // the plan was checked: a fault of ours
			r.v.q.cfg.Log.Error().Err(err).Msg("quota: cannot lend")
			return false
		}
		r.lender, r.term, r.version, r.accounts = l, term, 0, nil
		r.inherit()
		r.v.q.tell("", []quota.Event{{Step: "lends"}})
	}
	if version, p, ok := r.v.decided(r.version); ok {
		now := r.v.q.now()
		for _, account := range r.accounts {
			if _, has := p.Quotas[account]; !has {
				r.lender.SetCapacity(now, account, 0)
			}
		}
		r.lender.SetMaxRunTime(now, time.Duration(p.RunMS)*time.Millisecond)
		r.version, r.accounts = version, nil
		for account, units := range p.Quotas {
			r.accounts = append(r.accounts, account)
			r.lender.SetCapacity(now, account, units)
		}
		slices.Sort(r.accounts)
	}
	return true
}

// inherit tells a new lender of quotas that held until a while ago: by them, too, earlier terms may have lent what runs.
func (r *root) inherit() {
	plan := r.v.q.cfg.up()
	for _, p := range r.v.accord.PastPolicies() {
		before, err := policy.Read(p.Body)
		if err != nil || time.Since(p.Until) > plan.QuietPeriod()+plan.DrainPeriod() {
			continue
		}
		var shares []quota.Allocation
		for account, units := range before.Quotas {
			shares = append(shares, quota.Allocation{Account: account, Units: units})
		}
		r.lender.AssumeLent(r.v.q.now(), shares)
		r.lender.SetMaxRunTime(r.v.q.now(), time.Duration(before.RunMS)*time.Millisecond)
	}
}

// turn does what the lender asks for. r.mu is held.
func (r *root) turn() {
	r.children.nudge(r.lender.TakePolls())
	r.v.q.tell("", r.lender.TakeEvents())
}

// confirm answers asks in batches: those that are there get a majority's word together that this voter's term has not
// ended, begun after all of them came.
func (r *root) confirm() {
	batch := make([]asked, 0, asksHeld)
	for {
		batch = batch[:0]
		select {
		case <-r.v.stop:
			return
		case a := <-r.asks:
			batch = append(batch, a)
		}
		for more := true; more && len(batch) < asksHeld; {
			select {
			case a := <-r.asks:
				batch = append(batch, a)
			default:
				more = false
			}
		}
		r.mu.Lock()
		leads, term := r.leads(), r.term
		r.mu.Unlock()
		if !leads || !r.v.accord.ConfirmLeader(term) {
			for _, a := range batch {
				a.from.away(r.v.accord.Leader())
			}
			continue
		}
		r.mu.Lock()
		if r.lender != nil && r.term == term {
			for _, a := range batch {
				r.take(a)
			}
			r.turn()
		}
		r.mu.Unlock()
	}
}

// take answers an ask. r.mu is held, and that this voter leads is confirmed.
func (r *root) take(a asked) {
	if !slices.Contains(r.known, a.ask.Child) {
		r.v.q.Counters.BadMessages.Add(1)
		a.from.conn.Close()
		return
	}
	r.children[a.ask.Child] = a.from
	if answer, ok := r.lender.Handle(r.v.q.now(), a.ask); ok {
		a.from.send(wire.EncodeLeaseResponse(wire.LeaseResponse{LeaseResponse: answer}))
	}
}

func (r *root) lose(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children.lose(l)
}

func (r *root) lent() int64 {
	_, ok := r.v.accord.LeaderTerm()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || r.lender == nil {
		return 0
	}
	return lent(r.lender, r.v.q.now())
}
