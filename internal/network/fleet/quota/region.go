package quota

import (
	"sync"
	"time"

	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// region is a region's lender, at the voter that is named for it.
type region struct {
	v    *votes
	name string
	link *asker // to the root

	mu       sync.Mutex
	region   *quota.RegionLender
	version  uint64 // of the policy whose reserve and run are in force
	root     uint64 // the term of the root that knows all that is held and lent here
	children children
}

func newRegion(v *votes, name string) (*region, error) {
	cfg := &v.q.cfg
	r, err := quota.NewRegionLender(cfg.up(), cfg.Leases, name, cfg.Epoch, v.q.now())
	if err != nil {
		return nil, err
	}
	if v.accord.NewLog() {
		r.SkipRecovery(v.q.now())
	}
	return &region{v: v, name: name, region: r, children: children{}}, nil
}

// run lets time pass, and takes up what is decided.
func (r *region) run() {
	for {
		r.mu.Lock()
		r.follow()
		r.region.Tick(r.v.q.now())
		r.turn()
		next := r.region.NextTick()
		r.mu.Unlock()
		if !r.v.sleep(next) {
			return
		}
	}
}

// sleep waits until a time, at most a beat; false: the voter was closed.
func (v *votes) sleep(until quota.Time) bool {
	d := min(max(time.Until(v.q.at(until)), paceLeast), v.q.cfg.beat())
	if until == quota.Never {
		d = v.q.cfg.beat()
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

// follow takes up the policy that was decided last. r.mu is held.
func (r *region) follow() {
	if version, p, ok := r.v.decided(r.version); ok {
		r.version = version
		r.region.SetReserve(r.v.q.now(), p.UrgentReserve)
		r.region.SetMaxRunTime(r.v.q.now(), time.Duration(p.RunMS)*time.Millisecond)
	}
}

// turn does what the lender asks for. r.mu is held.
func (r *region) turn() {
	r.children.nudge(r.region.TakePolls())
	r.v.q.tell(r.name, r.region.TakeEvents())
	if r.link != nil && r.region.Holder().NextRequestTime() <= r.v.q.now() {
		r.link.wake()
	}
}

// take answers a dispatcher's ask.
func (r *region) take(l *link, a quota.LeaseRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children[l.child] = l
	if answer, ok := r.region.Handle(r.v.q.now(), a); ok {
		l.send(wire.EncodeLeaseResponse(wire.LeaseResponse{From: r.name, LeaseResponse: answer}))
	}
	r.turn()
}

func (r *region) lose(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children.lose(l)
}

func (r *region) lent() (n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lent(r.region.Lender(), r.v.q.now())
}

func lent(l *quota.Lender, now quota.Time) (n int64) {
	for _, account := range l.Accounts() {
		n += int64(l.Outstanding(now, account))
	}
	return n
}

// The side of the link to the root.

func (r *region) linked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.region.HandleReconnect()
}

func (r *region) due() (quota.LeaseRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.region.NextRequest(r.v.q.now())
}

func (r *region) next() quota.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.region.Holder().NextRequestTime()
}

func (r *region) heard(m wire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Response != nil {
		r.region.HandleResponse(r.v.q.now(), m.Response.LeaseResponse)
		if a := m.Response.LeaseResponse; !a.ResendFull && !a.NoRecord {
			r.root = a.LenderIncarnation
		}
	} else {
		r.region.HandlePoll()
		r.v.q.Counters.PollsReceived.Add(1)
	}
	r.turn()
}

// heardBy says whether the root of a term, or of a later one, knows all that is held and lent here.
func (r *region) heardBy(term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.root >= term
}

// last is nothing: what is lent goes on, and the next life inherits it.
func (r *region) last() (quota.LeaseRequest, bool) { return quota.LeaseRequest{}, false }
