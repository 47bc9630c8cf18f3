package slices

import "time"

// Lease bounds the time in which an owner may decide on a group's devices, as docs/design/accord.md has it: the
// lessee counts from its own time of asking and stops first.
type Lease struct {
	Duration time.Duration // as the granting side counts it, from its answer
	Drift    float64       // clocks run at rates within 1±Drift
}

// Owner says for one dispatcher which groups of devices it may decide on, and under which term. Its times
// are one monotonic clock's. An owner that was stopped past its lease finds that it may not go on by asking May
// before each message; what was on its way by then meets the backend's fence.
type Owner struct {
	lease  Lease
	groups map[string]*groupLease
}

type groupLease struct {
	requestTimes map[uint64]time.Duration // time of each ask that may still be granted
	seq          uint64
	term         uint64 // the highest heard of, ours or another's
	held         bool
	leaseEnd     time.Duration
}

// MaxPendingRequests bounds the asks of one group that are remembered; an answer to an older one grants nothing.
const MaxPendingRequests = 8

// NewOwner makes an owner of nothing.
func NewOwner(l Lease) *Owner { return &Owner{lease: l, groups: map[string]*groupLease{}} }

func (o *Owner) groupLease(group string) *groupLease {
	g := o.groups[group]
	if g == nil {
		g = &groupLease{requestTimes: map[uint64]time.Duration{}}
		o.groups[group] = g
	}
	return g
}

// NewRequest notes the time of an ask for a group's lease and returns its number, which the answer repeats. anew: the
// owner has no Table for it, and only a new term lets it begin one.
func (o *Owner) NewRequest(now time.Duration, group string) (seq uint64, anew bool) {
	g := o.groupLease(group)
	o.CheckLease(now, group)
	g.seq++
	g.requestTimes[g.seq] = now
	delete(g.requestTimes, g.seq-MaxPendingRequests)
	return g.seq, !g.held
}

// OwnershipChange is what the caller has to do about a group's Table.
type OwnershipChange uint8

// The turns.
const (
	Unchanged OwnershipChange = iota
	Acquired                  // make a new Table, and Take the group's devices under the term
	LeaseLost                 // throw the Table away
)

// HandleGrant is an answer of the log's leader: the lease of this term, for the ask of this number. A grant of a term
// below one that was heard of is a deposed owner's and changes nothing.
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
		if term == g.term { // it was lost or given up: only a higher term begins it anew
			return Unchanged
		}
		g.term, g.held, g.leaseEnd = term, true, until
		return Acquired
	}
	g.leaseEnd = max(g.leaseEnd, until)
	return Unchanged
}

// ObserveTerm is word of a term from anywhere, above all a backend that refused a lower one.
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

// CheckLease says whether the lease has run out; to be called at Until and on waking.
func (o *Owner) CheckLease(now time.Duration, group string) OwnershipChange {
	if g := o.groups[group]; g != nil && g.held && now >= g.leaseEnd {
		g.held = false
		return LeaseLost
	}
	return Unchanged
}

// MaySend says whether a message may be sent for the group now, and under which term.
func (o *Owner) MaySend(now time.Duration, group string) (term uint64, may bool) {
	g := o.groups[group]
	if g == nil || !g.held || now >= g.leaseEnd {
		return 0, false
	}
	return g.term, true
}

// LeaseEnd is when the lease of the group runs out by the owner's clock; 0 if it has none.
func (o *Owner) LeaseEnd(group string) time.Duration {
	if g := o.groups[group]; g != nil && g.held {
		return g.leaseEnd
	}
	return 0
}

// Grantor is the granting side for one group: it is applied in the order of the majority log, so that terms only
// grow and no two dispatchers have one at a time. A new leader that does not know which leases were granted
// grants nothing for Quiet.
type Grantor struct {
	lease      Lease
	term       uint64
	holder     string
	until      time.Duration
	quietUntil time.Duration
}

// NewGrantor goes on from the last term that the log has, at the leader's start.
func NewGrantor(l Lease, term uint64, now time.Duration) *Grantor {
	return &Grantor{lease: l, term: term, quietUntil: now + QuietPeriod(l)}
}

// QuietPeriod is for how long a new leader grants no lease to anyone, by its own clock.
func QuietPeriod(l Lease) time.Duration {
	return time.Duration(float64(l.Duration)*(1+l.Drift)/(1-l.Drift)) + 1
}

// HandleRequest is an ask for the lease at the leader's time now. anew is the ask's. fresh: a new term, which has to be in the log before
// it is answered. ok false: another holds it, or it is too early to know.
func (g *Grantor) HandleRequest(now time.Duration, who string, anew bool) (term uint64, fresh, ok bool) {
	if now < g.quietUntil {
		return 0, false, false
	}
	held := g.holder != "" && now < g.until
	if held && g.holder != who {
		return 0, false, false
	}
	if !held || anew {
		g.term++
		fresh = true
	}
	g.holder, g.until = who, now+g.lease.Duration
	return g.term, fresh, true
}
