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
	plan     LeaseConfig
	life     uint64
	options  LenderOptions
	born     Time
	young    bool // earlier lives may have lent what is not heard of yet
	cover    Time // Never for the root
	lit      bool // covered, when it was looked at last
	children map[string]*child
	past     []pastLife
	accounts map[string]*account
	scan     Time            // no lease ends before
	turn     int64           // of units that go round
	settled  Time            // when those short were looked at last
	short    map[string]bool // accounts of which some lack units, or more is counted than may be lent
	round    map[string]bool // accounts whose units go round
	moved    map[string]bool // accounts whose counts or wants changed, for the region
	nudge    map[string]bool
	before   map[*account]line // while an ask is taken: the asker's lines that it changes, as they were
	notes    []Event
}

// child is the newest life of one child.
type child struct {
	name     string
	epoch    uint64
	seq      uint64
	heard    Time
	lapsed   bool
	reported bool           // what it said was all that earlier lives of this lender lent to it
	unsure   bool           // fresh, and its earlier lives are not known here
	first    map[string]int // while unsure: what it reported at most
	nudged   Time           // at
	lines    map[string]*line
}

// line is one account of a child. It counts as the most of what it said that it holds and uses, of what the answer to
// its newest ask gave it, and, of a fresh life, of what the lives before were counted at.
type line struct {
	AccountReport
	units int
	floor int
}

func (n *line) count() int { return max(n.units, n.floor, n.Held, n.Used) }

// pastLife is an ended life of a child, of which something may run until a time.
type pastLife struct {
	child string
	until Time
	units map[string]int
}

// account is one team's units.
type account struct {
	capacity int
	counted  int              // of lines and past lives
	want     int              // of lines
	past     int              // of past lives alone
	base     int              // what earlier lives may have lent at most, while young
	first    int              // of it, what children reported
	lines    map[string]*line // by child
	targets  map[string]int   // nil: to be worked out
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
	l := &Lender{plan: p, life: life, options: o, born: now, young: !o.SkipRecovery, cover: Never, scan: now, settled: now,
		children: map[string]*child{}, accounts: map[string]*account{}, short: map[string]bool{}, round: map[string]bool{}, moved: map[string]bool{}, nudge: map[string]bool{}}
	if l.lit = !o.Intermediate; o.Intermediate {
		l.cover = now
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
		l.inherit(name, units)
	}
	l.settle(now, name)
}

// AssumeLent tells what earlier lives of a middle lender may have lent.
func (l *Lender) AssumeLent(now Time, shares []Allocation) {
	for _, s := range shares {
		l.inherit(s.Account, s.Units)
		l.settle(now, s.Account)
	}
}

func (l *Lender) inherit(name string, units int) {
	if a := l.account(name); l.young && units > a.base {
		a.base, a.targets = units, nil
		l.touch(name)
	}
}

// SetLeaseEnd sets until when a middle lender may itself begin: what it lends ends before. Uncovered it lends the urgent
// reserve alone, which is its own, and nothing at all in its first Quiet, so that a cover that comes soon finds its
// children's leases standing.
func (l *Lender) SetLeaseEnd(now, until Time) {
	l.cover = until
	l.relight(now)
}

func (l *Lender) covered(now Time) bool { return l.cover == Never || now.Add(l.plan.Lease) <= l.cover }

func (l *Lender) relight(now Time) {
	if l.covered(now) == l.lit {
		return
	}
	l.lit = !l.lit
	l.resettle(now)
	if l.lit {
		for name := range l.children {
			l.nudge[name] = true
		}
	}
}

// redivide forgets all targets: who has a part in them has changed.
func (l *Lender) redivide() {
	for _, a := range l.accounts {
		a.targets = nil
	}
}

// resettle works all accounts out anew.
func (l *Lender) resettle(now Time) {
	l.redivide()
	for _, name := range l.Accounts() {
		l.settle(now, name)
	}
}

// ends is when nothing is legacy any more.
func (l *Lender) ends() Time { return l.born.Add(l.plan.QuietPeriod()).Add(l.plan.DrainPeriod()) }

// Recovering says whether earlier lives may have lent what is not heard of yet.
func (l *Lender) Recovering() bool { return l.young }

func (l *Lender) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{lines: map[string]*line{}}
		l.accounts[name] = a
	}
	return a
}

// legacy is what earlier lives may have lent of an account that no child has reported.
func (l *Lender) legacy(a *account) int {
	if !l.young {
		return 0
	}
	return max(a.base-a.first, 0)
}

// Outstanding is what may be in use of an account: what children hold or use, and what ended or earlier lives may.
func (l *Lender) Outstanding(now Time, account string) int {
	l.Tick(now)
	a := l.accounts[account]
	if a == nil {
		return 0
	}
	return a.counted + l.legacy(a)
}

// Usage is what the children use and could use of an account, by their newest asks.
func (l *Lender) Usage(account string) (used, want int) {
	if a := l.accounts[account]; a != nil {
		for _, n := range a.lines {
			used += n.Used
		}
		want = a.want
	}
	return used, want
}

// Accounts are those that the lender knows, in order.
func (l *Lender) Accounts() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// TakePolls are the children that should ask now, once each.
func (l *Lender) TakePolls() []string {
	out := slices.Sorted(maps.Keys(l.nudge))
	clear(l.nudge)
	return out
}

// TakeEvents hands out what is to be logged.
func (l *Lender) TakeEvents() []Event {
	n := l.notes
	l.notes = nil
	return n
}

func (l *Lender) note(step, account, child string, units int) {
	if len(l.notes) < mostNotes {
		l.notes = append(l.notes, Event{step, account, child, units})
	}
}

// touch notes for the region that an account's count or wants changed.
func (l *Lender) touch(name string) {
	if l.options.Intermediate {
		l.moved[name] = true
	}
}

func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
