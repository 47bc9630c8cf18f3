package quota

import (
	"errors"
	"maps"
	"slices"
)

// Lender lends units to its children: the root to regions, a region to dispatchers. Of each account it counts what
// children may begin by or have in flight, what ended lives of theirs may (past), and what earlier lives of its own may
// have lent to children not heard of since (legacy): it lends no more than its capacity less all of that.
type Lender struct {
	cfg           LeaseConfig
	incarnation   uint64
	options       LenderOptions
	startedAt     Time
	recovering    bool // earlier lives may have lent what is not heard of yet
	leaseEnd      Time // Never for the root
	wasCovered    bool // covered, when it was looked at last
	children      map[string]*child
	ended         []endedIncarnation
	accounts      map[string]*account
	nextExpiry    Time            // no lease ends before
	rotation      int64           // of units that go round
	lastRebalance Time            // when those short were looked at last
	unbalanced    map[string]bool // accounts of which some lack units, or more is counted than may be lent
	rotating      map[string]bool // accounts whose units go round
	changed       map[string]bool // accounts whose counts or wants changed, for the region
	toPoll        map[string]bool
	loansBefore   map[*account]loan // while an ask is taken: the asker's lines that it changes, as they were
	events        []Event
}

// child is the newest life of one child.
type child struct {
	name           string
	epoch          uint64
	seq            uint64
	lastRequest    Time
	expired        bool
	reportComplete bool           // what it said was all that earlier lives of this lender lent to it
	noRecord       bool           // fresh, and its earlier lives are not known here
	reportedUnits  map[string]int // while unsure: what it reported at most
	lastPoll       Time           // at
	loans          map[string]*loan
}

// loan is one account of a child. It counts as the most of what it said that it holds and uses, of what the answer to
// its newest ask gave it, and, of a fresh life, of what the lives before were counted at.
type loan struct {
	AccountReport
	granted   int
	inherited int
}

func (n *loan) counted() int { return max(n.granted, n.inherited, n.Held, n.Used) }

// endedIncarnation is an ended life of a child, of which something may run until a time.
type endedIncarnation struct {
	child string
	until Time
	units map[string]int
}

// account is one team's units.
type account struct {
	capacity    int
	counted     int              // of lines and past lives
	demand      int              // of lines
	ended       int              // of past lives alone
	assumedLent int              // what earlier lives may have lent at most, while young
	reported    int              // of it, what children reported
	loans       map[string]*loan // by child
	targets     map[string]int   // nil: to be worked out
}

// NewLender starts a life of a lender, which knows nothing of what earlier lives lent. life is not 0 and differs from
// that of each earlier life. It counts what earlier lives may have lent as lent until children have reported it, all
// children that are known by name have, or Quiet and Tail have passed.
func NewLender(p LeaseConfig, life uint64, now Time, o LenderOptions) (*Lender, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if life == 0 {
		return nil, errors.New("quota: a lender's life is 0")
	}
	l := &Lender{cfg: p, incarnation: life, options: o, startedAt: now, recovering: !o.SkipRecovery, leaseEnd: Never, nextExpiry: now, lastRebalance: now,
		children: map[string]*child{}, accounts: map[string]*account{}, unbalanced: map[string]bool{}, rotating: map[string]bool{}, changed: map[string]bool{}, toPoll: map[string]bool{}}
	if l.wasCovered = !o.Intermediate; o.Intermediate {
		l.leaseEnd = now
	}
	return l, nil
}

// SetCapacity sets what may be lent of an account. Lowered below what is counted it lends nothing until there is room.
func (l *Lender) SetCapacity(now Time, name string, units int) {
	a := l.account(name)
	if a.capacity == units {
		return
	}
	a.capacity, a.targets = units, nil
	if !l.options.Intermediate {
		l.assumeLent(name, units)
	}
	l.rebalance(now, name)
}

// AssumeLent tells what earlier lives of a middle lender may have lent.
func (l *Lender) AssumeLent(now Time, shares []Allocation) {
	for _, s := range shares {
		l.assumeLent(s.Account, s.Units)
		l.rebalance(now, s.Account)
	}
}

func (l *Lender) assumeLent(name string, units int) {
	if a := l.account(name); l.recovering && units > a.assumedLent {
		a.assumedLent, a.targets = units, nil
		l.markChanged(name)
	}
}

// SetLeaseEnd sets until when a middle lender may itself begin: what it lends ends before. Uncovered it lends the urgent
// reserve alone, which is its own, and nothing at all in its first Quiet, so that a cover that comes soon finds its
// children's leases standing.
func (l *Lender) SetLeaseEnd(now, until Time) {
	l.leaseEnd = until
	l.updateCoverage(now)
}

func (l *Lender) covered(now Time) bool {
	return l.leaseEnd == Never || now.Add(l.cfg.Lease) <= l.leaseEnd
}

func (l *Lender) updateCoverage(now Time) {
	if l.covered(now) == l.wasCovered {
		return
	}
	l.wasCovered = !l.wasCovered
	l.rebalanceAll(now)
	if l.wasCovered {
		for name := range l.children {
			l.toPoll[name] = true
		}
	}
}

// invalidateTargets forgets all targets: who has a part in them has changed.
func (l *Lender) invalidateTargets() {
	for _, a := range l.accounts {
		a.targets = nil
	}
}

// rebalanceAll works all accounts out anew.
func (l *Lender) rebalanceAll(now Time) {
	l.invalidateTargets()
	for _, name := range l.Accounts() {
		l.rebalance(now, name)
	}
}

// recoveryEnd is when nothing is legacy any more.
func (l *Lender) recoveryEnd() Time {
	return l.startedAt.Add(l.cfg.QuietPeriod()).Add(l.cfg.DrainPeriod())
}

// Recovering says whether earlier lives may have lent what is not heard of yet.
func (l *Lender) Recovering() bool { return l.recovering }

func (l *Lender) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{loans: map[string]*loan{}}
		l.accounts[name] = a
	}
	return a
}

// unreported is what earlier lives may have lent of an account that no child has reported.
func (l *Lender) unreported(a *account) int {
	if !l.recovering {
		return 0
	}
	return max(a.assumedLent-a.reported, 0)
}

// Outstanding is what may be in use of an account: what children hold or use, and what ended or earlier lives may.
func (l *Lender) Outstanding(now Time, account string) int {
	l.Tick(now)
	a := l.accounts[account]
	if a == nil {
		return 0
	}
	return a.counted + l.unreported(a)
}

// Usage is what the children use and could use of an account, by their newest asks.
func (l *Lender) Usage(account string) (used, want int) {
	if a := l.accounts[account]; a != nil {
		for _, n := range a.loans {
			used += n.Used
		}
		want = a.demand
	}
	return used, want
}

// Accounts are those that the lender knows, in order.
func (l *Lender) Accounts() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// TakePolls are the children that should ask now, once each.
func (l *Lender) TakePolls() []string {
	out := slices.Sorted(maps.Keys(l.toPoll))
	clear(l.toPoll)
	return out
}

// TakeEvents hands out what is to be logged.
func (l *Lender) TakeEvents() []Event {
	n := l.events
	l.events = nil
	return n
}

func (l *Lender) record(step, account, child string, units int) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, Event{step, account, child, units})
	}
}

// markChanged notes for the region that an account's count or wants changed.
func (l *Lender) markChanged(name string) {
	if l.options.Intermediate {
		l.changed[name] = true
	}
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
