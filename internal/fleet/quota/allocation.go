package quota

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// lendable is what of an account may be lent now.
func (l *Lender) lendable(now Time, name string, a *account) int {
	if name != ReserveAccount && !l.covered(now) {
		return 0
	}
	return a.capacity
}

// claim is what one child could use of an account, and what it has.
type claim struct {
	child        string
	demand, held int
	rank         uint64
}

// allocateMaxMin gives each wish its max-min share of whole units, adds it to targets and returns what is left. Units that cannot be
// parted evenly stay with those that have them, and go by name where nobody does, so that shares move only for a reason.
// Where there are fewer units than wishes they go round, drawn anew each turn: else some had one for ever and others none.
func allocateMaxMin(units int, wishes []claim, targets map[string]int, turn int64) (left int, round bool) {
	slices.SortFunc(wishes, func(a, b claim) int { return cmp.Or(a.demand-b.demand, cmp.Compare(a.child, b.child)) })
	for i, w := range wishes {
		rest := len(wishes) - i
		if w.demand*rest <= units {
			targets[w.child] += w.demand
			units -= w.demand
			continue
		}
		share, odd := units/rest, units%rest
		capped := wishes[i:]
		for j, w := range capped {
			if capped[j].rank = uint64(share + 1 - min(w.held, share+1)); share == 0 {
				capped[j].rank = rotationRank(w.child, turn)
			}
		}
		slices.SortFunc(capped, func(a, b claim) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.child, b.child)) })
		for j, w := range capped {
			if targets[w.child] += share; j < odd {
				targets[w.child]++
			}
		}
		return 0, share == 0
	}
	return units, false
}

// rotationRank is a child's rotationRank in a turn.
func rotationRank(child string, turn int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(child), uint64(turn)))
	return h.Sum64()
}

// targets are the units that each child should have of an account, of all that is not counted for lives that ended: by
// max-min of what they want, and the rest evenly where the lender spreads. Of the urgent reserve each wants one ahead of
// need; real need goes first.
func (l *Lender) targets(now Time, name string, a *account) map[string]int {
	if a.targets != nil {
		return a.targets
	}
	units := l.lendable(now, name, a) - a.ended - l.unreported(a)
	ahead := 0
	if name == ReserveAccount {
		ahead = 1
	}
	var need, more []claim
	for child, ln := range a.loans {
		has := max(ln.granted, ln.Held)
		switch c := l.children[child]; {
		case c.expired:
			units -= ln.counted()
		case c.noRecord:
			need = append(need, claim{child, min(ln.Demand, max(ln.Held, ln.Used)), has, 0})
		default:
			want := max(ln.Demand, ln.inherited)
			need = append(need, claim{child, max(want-ahead, 0), has, 0})
			more = append(more, claim{child, min(want, ahead), has, 0})
		}
	}
	a.targets = make(map[string]int, len(need))
	units, round := allocateMaxMin(max(units, 0), need, a.targets, l.rotation)
	if delete(l.rotating, name); round {
		l.rotating[name] = true
	}
	if ahead > 0 {
		units, _ = allocateMaxMin(units, more, a.targets, 0)
	}
	if l.options.Preallocate {
		more = more[:0]
		for child, c := range l.children {
			if !c.noRecord && !c.expired {
				more = append(more, claim{child, units, 0, 0})
			}
		}
		allocateMaxMin(units, more, a.targets, 0)
	}
	return a.targets
}

// belowTarget says whether a child has too little of an account. Of what is spread ahead of need it has too little at less than
// half its part, so that small changes of what others want move nothing.
func (l *Lender) belowTarget(a *account, child string, targets map[string]int) bool {
	ln, t := a.loans[child], targets[child]
	units, want := 0, 0
	if ln != nil {
		units, want = ln.granted, ln.Demand
	}
	if l.options.Preallocate {
		return units < min(want, t) || 2*units < t
	}
	return units < t
}

// anyBelowTarget says whether a child other than one has too little of an account.
func (l *Lender) anyBelowTarget(a *account, targets map[string]int, except string) bool {
	for child := range targets {
		if child != except && l.belowTarget(a, child, targets) {
			return true
		}
	}
	return false
}

// grant decides what a child may begin by of each account that it has, and of all where the lender spreads, and names
// what differs from what it said that it holds.
func (l *Lender) grant(now Time, c *child) (out []Allocation) {
	names := make([]string, 0, len(c.loans))
	for name := range c.loans {
		names = append(names, name)
	}
	if l.options.Preallocate {
		for name, a := range l.accounts {
			if a.capacity > 0 && c.loans[name] == nil {
				names = append(names, name)
			}
		}
	}
	for _, name := range names {
		var ln loan
		if old := c.loans[name]; old != nil {
			ln = *old
		}
		units := l.grantable(now, name, c, ln)
		if units != ln.granted {
			ln.granted = units
			l.setLoan(c, name, ln)
		}
		if units != ln.Held {
			out = append(out, Allocation{name, units})
		}
	}
	slices.SortFunc(out, func(a, b Allocation) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// grantable is a child's target as far as there is room beside all else that is counted. While more is counted than may be
// lent nobody begins, whatever its target: each has room only once the others' units are over.
func (l *Lender) grantable(now Time, name string, c *child, ln loan) int {
	a := l.account(name)
	targets := l.targets(now, name, a)
	t := targets[c.name]
	if l.options.Preallocate && t < ln.Held && !l.anyBelowTarget(a, targets, c.name) {
		t = ln.Held // nobody needs it
	}
	room := l.lendable(now, name, a) - l.unreported(a) - (a.counted - ln.counted())
	if c.noRecord {
		room = min(room, max(ln.Held, ln.Used))
	}
	return max(min(t, room), 0)
}

// rebalance nudges who should ask now: where an account is short or over its capacity, those that hold more than their
// targets; where there is room, those that lack some.
func (l *Lender) rebalance(now Time, name string) {
	a := l.accounts[name]
	if a == nil {
		return
	}
	able := l.lendable(now, name, a)
	targets := l.targets(now, name, a)
	free := able - l.unreported(a) - a.counted
	short := l.anyBelowTarget(a, targets, "")
	if !short && free >= 0 {
		delete(l.unbalanced, name)
		return
	}
	l.unbalanced[name] = true
	var over, under []string
	for child, ln := range a.loans {
		if ln.granted > targets[child] {
			over = append(over, child)
		}
	}
	slices.Sort(over)
	for _, child := range over {
		if l.poll(now, child) {
			l.record("called back", name, child, a.loans[child].granted-targets[child])
		}
	}
	if free <= 0 {
		return
	}
	for child := range targets {
		if l.belowTarget(a, child, targets) {
			under = append(under, child)
		}
	}
	slices.Sort(under)
	for _, child := range under {
		if free <= 0 {
			break
		}
		l.poll(now, child)
		free -= targets[child]
		if ln := a.loans[child]; ln != nil {
			free += ln.granted
		}
	}
}

// poll nudges a child, unless it has been a moment ago and has not asked since.
func (l *Lender) poll(now Time, name string) bool {
	c := l.children[name]
	if c == nil || c.expired || now < c.lastPoll.Add(l.cfg.RetryDelay()) {
		return false
	}
	c.lastPoll = now
	l.toPoll[name] = true
	return true
}
