package quota

import (
	"errors"
	"maps"
	"slices"
)

// Lender lends units to its children: the root to regions, a region to dispatchers. For each account it counts three sorts
// of units: those that children may use or have in flight, those that ended incarnations of children may have in flight,
// and those that its own earlier incarnations may have lent to children that have not reported since. It lends at most its
// capacity less all of these.
type Lender struct {
	cfg           LeaseConfig
	incarnation   uint64
	options       LenderOptions
	startedAt     Time
	recovering    bool // earlier incarnations may have lent units that no child has reported yet
	leaseEnd      Time // end of the lender's own lease; Never for the root
	wasCovered    bool // result of covered at the last check
	children      map[string]*child
	ended         []endedIncarnation
	accounts      map[string]*account
	nextExpiry    Time              // no lease or ended incarnation expires before
	rotation      int64             // number of the current rotation of scarce units
	lastRebalance Time              // when the unbalanced accounts were last rebalanced
	unbalanced    map[string]bool   // accounts of which children lack units, or more units are counted than may be lent
	rotating      map[string]bool   // accounts with fewer units than children with demand, whose units rotate
	changed       map[string]bool   // accounts whose counted units or demand changed, for RegionLender
	toPoll        map[string]bool   // children to be polled
	loansBefore   map[*account]loan // while a lease request is handled: the loans that it changes, as they were before
	events        []Event
}

// child is the newest incarnation of one child.
type child struct {
	name           string
	epoch          uint64
	seq            uint64
	lastRequest    Time
	expired        bool
	reportComplete bool           // it has reported all that earlier incarnations of this lender lent to it
	noRecord       bool           // it is recovering, and there is no record of its earlier incarnations
	reportedUnits  map[string]int // until reportComplete: the most units that it reported, by account
	lastPoll       Time
	loans          map[string]*loan
}

// loan is what one child has of one account. It counts as the highest of these: the units that the child reported as held
// or used, those that the response to its newest lease request granted, and, while the child is recovering, those counted
// for its earlier incarnations.
type loan struct {
	AccountReport
	granted   int // by the response to the newest lease request
	inherited int // from earlier incarnations, while the child is recovering
}

// counted returns the units that the loan counts as.
func (ln *loan) counted() int { return max(ln.granted, ln.inherited, ln.Held, ln.Used) }

// endedIncarnation is an ended incarnation of a child. Its requests may be in flight until the given time.
type endedIncarnation struct {
	child string
	until Time
	units map[string]int
}

// account is one team's units.
type account struct {
	capacity    int
	counted     int              // units of loans and of ended incarnations
	demand      int              // of all loans
	ended       int              // units of ended incarnations alone
	assumedLent int              // during recovery: the most units that earlier incarnations may have lent
	reported    int              // of assumedLent: the units that children have reported
	loans       map[string]*loan // by child
	targets     map[string]int   // by child; nil if they must be computed
}

// NewLender starts an incarnation of a lender, which knows nothing of what earlier ones lent. The incarnation's number must
// not be 0 and must differ from that of each earlier one. Units that earlier incarnations may have lent count as lent until
// children have reported them, until all children that are known by name have reported, or until QuietPeriod and
// DrainPeriod have passed.
func NewLender(cfg LeaseConfig, incarnation uint64, now Time, options LenderOptions) (*Lender, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if incarnation == 0 {
		return nil, errors.New("quota: lender incarnation is 0")
	}
	l := &Lender{cfg: cfg, incarnation: incarnation, options: options, startedAt: now, recovering: !options.SkipRecovery,
		leaseEnd: Never, nextExpiry: now, lastRebalance: now,
		children: map[string]*child{}, accounts: map[string]*account{}, unbalanced: map[string]bool{},
		rotating: map[string]bool{}, changed: map[string]bool{}, toPoll: map[string]bool{}}
	if l.wasCovered = !options.Intermediate; options.Intermediate {
		l.leaseEnd = now
	}
	return l, nil
}

// SetCapacity sets how many units of an account may be lent. If more are counted already, the lender lends none until there
// are fewer.
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

// AssumeLent states how many units earlier incarnations may have lent; a lower number than before is ignored. An
// intermediate lender learns it in this way only.
func (l *Lender) AssumeLent(now Time, lent []Allocation) {
	for _, s := range lent {
		l.assumeLent(s.Account, s.Units)
		l.rebalance(now, s.Account)
	}
}

// assumeLent raises an account's units that earlier incarnations may have lent.
func (l *Lender) assumeLent(name string, units int) {
	if a := l.account(name); l.recovering && units > a.assumedLent {
		a.assumedLent, a.targets = units, nil
		l.markChanged(name)
	}
}

// SetLeaseEnd sets the end of an intermediate lender's own lease. The lender is covered while a lease granted now would end
// before it. Without cover it lends only the urgent reserve, which is its own. In its first QuietPeriod it grants nothing at
// all without cover and leaves lease requests unanswered, except with ResendFull. Its children then keep the leases that
// they have, in case it is covered soon.
func (l *Lender) SetLeaseEnd(now, until Time) {
	l.leaseEnd = until
	l.updateCoverage(now)
}

// covered reports whether a lease granted now ends within the lender's own lease.
func (l *Lender) covered(now Time) bool {
	return l.leaseEnd == Never || now.Add(l.cfg.Lease) <= l.leaseEnd
}

// updateCoverage rebalances all accounts if covered has changed. A lender that has become covered polls all children.
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

// invalidateTargets discards all targets, because the children that share in them have changed.
func (l *Lender) invalidateTargets() {
	for _, a := range l.accounts {
		a.targets = nil
	}
}

// rebalanceAll computes all targets anew and polls children accordingly.
func (l *Lender) rebalanceAll(now Time) {
	l.invalidateTargets()
	for _, name := range l.Accounts() {
		l.rebalance(now, name)
	}
}

// recoveryEnd returns when nothing that earlier incarnations lent can be in use any more.
func (l *Lender) recoveryEnd() Time {
	return l.startedAt.Add(l.cfg.QuietPeriod()).Add(l.cfg.DrainPeriod())
}

// Recovering reports whether earlier incarnations may have lent units that no child has reported yet.
func (l *Lender) Recovering() bool { return l.recovering }

// account returns an account, and adds it if it is new.
func (l *Lender) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{loans: map[string]*loan{}}
		l.accounts[name] = a
	}
	return a
}

// unreported returns the units of an account that earlier incarnations may have lent and no child has reported.
func (l *Lender) unreported(a *account) int {
	if !l.recovering {
		return 0
	}
	return max(a.assumedLent-a.reported, 0)
}

// Outstanding returns the units of an account that may be in use: those that children hold or use, and those that ended
// incarnations of children or earlier incarnations of the lender may have in use.
func (l *Lender) Outstanding(now Time, account string) int {
	l.Tick(now)
	a := l.accounts[account]
	if a == nil {
		return 0
	}
	return a.counted + l.unreported(a)
}

// Usage returns the units of an account that the children use and their demand, by their newest lease requests.
func (l *Lender) Usage(account string) (used, demand int) {
	if a := l.accounts[account]; a != nil {
		for _, n := range a.loans {
			used += n.Used
		}
		demand = a.demand
	}
	return used, demand
}

// Accounts returns the accounts that the lender tracks, sorted.
func (l *Lender) Accounts() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// TakePolls returns the children that should send a lease request now, each once.
func (l *Lender) TakePolls() []string {
	out := slices.Sorted(maps.Keys(l.toPoll))
	clear(l.toPoll)
	return out
}

// TakeEvents returns the events to be logged, each once.
func (l *Lender) TakeEvents() []Event {
	events := l.events
	l.events = nil
	return events
}

// record adds an event, unless too many are stored already.
func (l *Lender) record(step, account, child string, units int) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, Event{step, account, child, units})
	}
}

// markChanged records for RegionLender that an account's counted units or demand changed.
func (l *Lender) markChanged(name string) {
	if l.options.Intermediate {
		l.changed[name] = true
	}
}

// sortedKeys returns the members of a set in order.
func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
