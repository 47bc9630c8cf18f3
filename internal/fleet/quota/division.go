package quota

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// able is what of an account may be lent now.
func (l *Lender) able(now Time, name string, a *account) int {
	if name != ReserveAccount && !l.covered(now) {
		return 0
	}
	return a.capacity
}

// wish is what one child could use of an account, and what it has.
type wish struct {
	child     string
	want, has int
	lot       uint64
}

// fill gives each wish its max-min share of whole units, adds it to targets and returns what is left. Units that cannot be
// parted evenly stay with those that have them, and go by name where nobody does, so that shares move only for a reason.
// Where there are fewer units than wishes they go round, drawn anew each turn: else some had one for ever and others none.
func fill(units int, wishes []wish, targets map[string]int, turn int64) (left int, round bool) {
	slices.SortFunc(wishes, func(a, b wish) int { return cmp.Or(a.want-b.want, cmp.Compare(a.child, b.child)) })
	for i, w := range wishes {
		rest := len(wishes) - i
		if w.want*rest <= units {
			targets[w.child] += w.want
			units -= w.want
			continue
		}
		share, odd := units/rest, units%rest
		capped := wishes[i:]
		for j, w := range capped {
			if capped[j].lot = uint64(share + 1 - min(w.has, share+1)); share == 0 {
				capped[j].lot = lot(w.child, turn)
			}
		}
		slices.SortFunc(capped, func(a, b wish) int { return cmp.Or(cmp.Compare(a.lot, b.lot), cmp.Compare(a.child, b.child)) })
		for j, w := range capped {
			if targets[w.child] += share; j < odd {
				targets[w.child]++
			}
		}
		return 0, share == 0
	}
	return units, false
}

// lot is a child's lot in a turn.
func lot(child string, turn int64) uint64 {
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
	units := l.able(now, name, a) - a.past - l.legacy(a)
	ahead := 0
	if name == ReserveAccount {
		ahead = 1
	}
	var need, more []wish
	for child, ln := range a.lines {
		has := max(ln.units, ln.Held)
		switch c := l.children[child]; {
		case c.lapsed:
			units -= ln.count()
		case c.unsure:
			need = append(need, wish{child, min(ln.Demand, max(ln.Held, ln.Used)), has, 0})
		default:
			want := max(ln.Demand, ln.floor)
			need = append(need, wish{child, max(want-ahead, 0), has, 0})
			more = append(more, wish{child, min(want, ahead), has, 0})
		}
	}
	a.targets = make(map[string]int, len(need))
	units, round := fill(max(units, 0), need, a.targets, l.turn)
	if delete(l.round, name); round {
		l.round[name] = true
	}
	if ahead > 0 {
		units, _ = fill(units, more, a.targets, 0)
	}
	if l.options.Preallocate {
		more = more[:0]
		for child, c := range l.children {
			if !c.unsure && !c.lapsed {
				more = append(more, wish{child, units, 0, 0})
			}
		}
		fill(units, more, a.targets, 0)
	}
	return a.targets
}

// lacks says whether a child has too little of an account. Of what is spread ahead of need it has too little at less than
// half its part, so that small changes of what others want move nothing.
func (l *Lender) lacks(a *account, child string, targets map[string]int) bool {
	ln, t := a.lines[child], targets[child]
	units, want := 0, 0
	if ln != nil {
		units, want = ln.units, ln.Demand
	}
	if l.options.Preallocate {
		return units < min(want, t) || 2*units < t
	}
	return units < t
}

// lacking says whether a child other than one has too little of an account.
func (l *Lender) lacking(a *account, targets map[string]int, except string) bool {
	for child := range targets {
		if child != except && l.lacks(a, child, targets) {
			return true
		}
	}
	return false
}

// grant decides what a child may begin by of each account that it has, and of all where the lender spreads, and names
// what differs from what it said that it holds.
func (l *Lender) grant(now Time, c *child) (out []Allocation) {
	names := make([]string, 0, len(c.lines))
	for name := range c.lines {
		names = append(names, name)
	}
	if l.options.Preallocate {
		for name, a := range l.accounts {
			if a.capacity > 0 && c.lines[name] == nil {
				names = append(names, name)
			}
		}
	}
	for _, name := range names {
		var ln line
		if old := c.lines[name]; old != nil {
			ln = *old
		}
		units := l.allowed(now, name, c, ln)
		if units != ln.units {
			ln.units = units
			l.set(c, name, ln)
		}
		if units != ln.Held {
			out = append(out, Allocation{name, units})
		}
	}
	slices.SortFunc(out, func(a, b Allocation) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// allowed is a child's target as far as there is room beside all else that is counted. While more is counted than may be
// lent nobody begins, whatever its target: each has room only once the others' units are over.
func (l *Lender) allowed(now Time, name string, c *child, ln line) int {
	a := l.account(name)
	targets := l.targets(now, name, a)
	t := targets[c.name]
	if l.options.Preallocate && t < ln.Held && !l.lacking(a, targets, c.name) {
		t = ln.Held // nobody needs it
	}
	room := l.able(now, name, a) - l.legacy(a) - (a.counted - ln.count())
	if c.unsure {
		room = min(room, max(ln.Held, ln.Used))
	}
	return max(min(t, room), 0)
}

// settle nudges who should ask now: where an account is short or over its capacity, those that hold more than their
// targets; where there is room, those that lack some.
func (l *Lender) settle(now Time, name string) {
	a := l.accounts[name]
	if a == nil {
		return
	}
	able := l.able(now, name, a)
	targets := l.targets(now, name, a)
	free := able - l.legacy(a) - a.counted
	short := l.lacking(a, targets, "")
	if !short && free >= 0 {
		delete(l.short, name)
		return
	}
	l.short[name] = true
	var over, under []string
	for child, ln := range a.lines {
		if ln.units > targets[child] {
			over = append(over, child)
		}
	}
	slices.Sort(over)
	for _, child := range over {
		if l.call(now, child) {
			l.note("called back", name, child, a.lines[child].units-targets[child])
		}
	}
	if free <= 0 {
		return
	}
	for child := range targets {
		if l.lacks(a, child, targets) {
			under = append(under, child)
		}
	}
	slices.Sort(under)
	for _, child := range under {
		if free <= 0 {
			break
		}
		l.call(now, child)
		free -= targets[child]
		if ln := a.lines[child]; ln != nil {
			free += ln.units
		}
	}
}

// call nudges a child, unless it has been a moment ago and has not asked since.
func (l *Lender) call(now Time, name string) bool {
	c := l.children[name]
	if c == nil || c.lapsed || now < c.nudged.Add(l.plan.RetryDelay()) {
		return false
	}
	c.nudged = now
	l.nudge[name] = true
	return true
}
