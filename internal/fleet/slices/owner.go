package slices

import "time"

// Lease bounds the time in which an owner may place slices on a group's devices (docs/design/accord.md). The
// holder counts from the time of its own request, so its lease ends before the granting side's.
type Lease struct {
	Duration time.Duration // counted by the granting side from its answer
	Drift    float64       // clocks run at rates within 1±Drift
}

// Owner tracks for one dispatcher which groups of devices it owns, and under which term. All times are of one
// monotonic clock. The caller checks MaySend before each message: a process that was suspended past the end of its
// lease finds out there, and the backend refuses messages already on their way by their fencing tokens.
type Owner struct {
	lease  Lease
	groups map[string]*groupLease
}

// groupLease is the state of one group's lease at an owner.
type groupLease struct {
	requestTimes map[uint64]time.Duration // time of each request that may still be granted
	seq          uint64                   // number of the last request
	term         uint64                   // highest term known, of this or another owner
	held         bool
	leaseEnd     time.Duration
}

// MaxPendingRequests bounds the requests remembered for one group. An answer to an older request grants nothing.
const MaxPendingRequests = 8

// NewOwner makes an owner without groups.
func NewOwner(l Lease) *Owner { return &Owner{lease: l, groups: map[string]*groupLease{}} }

// groupLease returns the state of a group's lease, a new one at the first call.
func (o *Owner) groupLease(group string) *groupLease {
	g := o.groups[group]
	if g == nil {
		g = &groupLease{requestTimes: map[uint64]time.Duration{}}
		o.groups[group] = g
	}
	return g
}

// NewRequest records the time of a request for a group's lease and returns its number, which the answer repeats.
// If newTerm is set, the owner has no Table for the group and may start one only under a new term.
func (o *Owner) NewRequest(now time.Duration, group string) (seq uint64, newTerm bool) {
	g := o.groupLease(group)
	o.CheckLease(now, group)
	g.seq++
	g.requestTimes[g.seq] = now
	delete(g.requestTimes, g.seq-MaxPendingRequests)
	return g.seq, !g.held
}

// OwnershipChange says what the caller has to do with a group's Table.
type OwnershipChange uint8

// The changes.
const (
	Unchanged OwnershipChange = iota
	Acquired                  // make a new Table and acquire the group's devices under the term
	LeaseLost                 // discard the Table
)

// HandleGrant handles a grant of the majority log's leader: the lease of this term, for the request with this
// number. A grant with a term below the highest known one is outdated and changes nothing.
func (o *Owner) HandleGrant(now time.Duration, group string, seq, term uint64) OwnershipChange {
	g := o.groupLease(group)
	at, known := g.requestTimes[seq]
	if !known || term < g.term || term == 0 {
		return o.CheckLease(now, group)
	}
	delete(g.requestTimes, seq)
	until := at + time.Duration(float64(o.lease.Duration)*(1-o.lease.Drift)/(1+o.lease.Drift))
	if until <= now {
		return o.CheckLease(now, group)
	}
	if term > g.term || !g.held {
		if term == g.term { // the lease of this term has ended: only a higher term can start another
			return Unchanged
		}
		g.term, g.held, g.leaseEnd = term, true, until
		return Acquired
	}
	g.leaseEnd = max(g.leaseEnd, until)
	return Unchanged
}

// ObserveTerm handles a term seen in any message, mainly from a backend that refused a lower one.
func (o *Owner) ObserveTerm(now time.Duration, group string, term uint64) OwnershipChange {
	g := o.groupLease(group)
	if term > g.term {
		g.term = term
		if g.held {
			g.held = false
			return LeaseLost
		}
	}
	return o.CheckLease(now, group)
}

// CheckLease returns LeaseLost if the lease has ended. Call it at LeaseEnd and after the process was suspended.
func (o *Owner) CheckLease(now time.Duration, group string) OwnershipChange {
	if g := o.groups[group]; g != nil && g.held && now >= g.leaseEnd {
		g.held = false
		return LeaseLost
	}
	return Unchanged
}

// MaySend reports whether a message may be sent for the group now, and under which term.
func (o *Owner) MaySend(now time.Duration, group string) (term uint64, may bool) {
	g := o.groups[group]
	if g == nil || !g.held || now >= g.leaseEnd {
		return 0, false
	}
	return g.term, true
}

// LeaseEnd returns when the group's lease ends by the owner's clock, or 0 without a lease.
func (o *Owner) LeaseEnd(group string) time.Duration {
	if g := o.groups[group]; g != nil && g.held {
		return g.leaseEnd
	}
	return 0
}

// Grantor is the granting side for one group. It is applied in the order of the majority log, so terms only grow
// and no two dispatchers hold a lease at the same time. A new leader doesn't know which leases were granted
// before, and grants none for QuietPeriod.
type Grantor struct {
	lease      Lease
	term       uint64
	holder     string
	until      time.Duration
	quietUntil time.Duration
}

// NewGrantor makes a grantor at the start of a leader, which continues from the last term in the log.
func NewGrantor(l Lease, term uint64, now time.Duration) *Grantor {
	return &Grantor{lease: l, term: term, quietUntil: now + QuietPeriod(l)}
}

// QuietPeriod returns how long a new leader grants no lease, by its own clock: until every earlier lease has ended.
func QuietPeriod(l Lease) time.Duration {
	return time.Duration(float64(l.Duration)*(1+l.Drift)/(1-l.Drift)) + 1
}

// HandleRequest handles a request for the lease at the leader's time now; newTerm is the request's. started means
// that the term is a new one, which must be in the log before it is answered. ok is false if another dispatcher
// holds the lease, or if the leader's quiet period isn't over.
func (g *Grantor) HandleRequest(now time.Duration, requester string, newTerm bool) (term uint64, started, ok bool) {
	if now < g.quietUntil {
		return 0, false, false
	}
	held := g.holder != "" && now < g.until
	if held && g.holder != requester {
		return 0, false, false
	}
	if !held || newTerm {
		g.term++
		started = true
	}
	g.holder, g.until = requester, now+g.lease.Duration
	return g.term, started, true
}
