package quota

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// lendable returns the units of an account that may be lent now.
func (l *Lender) lendable(now Time, name string, a *account) int {
	if name != ReserveAccount && !l.covered(now) {
		return 0
	}
	return a.capacity
}

// claim is what one child could use of an account and what it holds.
type claim struct {
	child        string
	demand, held int
	rank         uint64 // the lower ranks get the units that cannot be divided evenly
}

// allocateMaxMin gives each claim its max-min fair share of whole units, adds it to targets and returns the units that are
// left. Units that cannot be divided evenly stay with the children that hold them, and otherwise go by name, so that units
// move only for a reason. If there are fewer units than claims, the children take turns, by a new order in each rotation.
// Otherwise some children would have a unit forever and others would never have one.
func allocateMaxMin(units int, claims []claim, targets map[string]int, rotation int64) (left int, rotates bool) {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Or(a.demand-b.demand, cmp.Compare(a.child, b.child)) })
	for i, c := range claims {
		remaining := len(claims) - i
		if c.demand*remaining <= units {
			targets[c.child] += c.demand
			units -= c.demand
			continue
		}
		share, remainder := units/remaining, units%remaining
		capped := claims[i:]
		for j, c := range capped {
			if capped[j].rank = uint64(share + 1 - min(c.held, share+1)); share == 0 {
				capped[j].rank = rotationRank(c.child, rotation)
			}
		}
		slices.SortFunc(capped, func(a, b claim) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.child, b.child)) })
		for j, c := range capped {
			if targets[c.child] += share; j < remainder {
				targets[c.child]++
			}
		}
		return 0, share == 0
	}
	return units, false
}

// rotationRank returns a child's rank in a rotation: a hash, so that each rotation has another order.
func rotationRank(child string, rotation int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(child), uint64(rotation)))
	return h.Sum64()
}

// targets returns the units that each child should have of an account. It divides all units that no ended incarnation and
// no unreported loan may use: max-min fair by demand, and the rest evenly if the lender preallocates. Each child demands one
// unit of the urgent reserve in advance; demand by requests goes first.
func (l *Lender) targets(now Time, name string, a *account) map[string]int {
	if a.targets != nil {
		return a.targets
	}
	units := l.lendable(now, name, a) - a.ended - l.unreported(a)
	inAdvance := 0
	if name == ReserveAccount {
		inAdvance = 1
	}
	var claims, advance []claim
	for child, ln := range a.loans {
		held := max(ln.granted, ln.Held)
		switch c := l.children[child]; {
		case c.expired:
			units -= ln.counted()
		case c.noRecord:
			claims = append(claims, claim{child, min(ln.Demand, max(ln.Held, ln.Used)), held, 0})
		default:
			demand := max(ln.Demand, ln.inherited)
			claims = append(claims, claim{child, max(demand-inAdvance, 0), held, 0})
			advance = append(advance, claim{child, min(demand, inAdvance), held, 0})
		}
	}
	a.targets = make(map[string]int, len(claims))
	units, rotates := allocateMaxMin(max(units, 0), claims, a.targets, l.rotation)
	if delete(l.rotating, name); rotates {
		l.rotating[name] = true
	}
	if inAdvance > 0 {
		units, _ = allocateMaxMin(units, advance, a.targets, 0)
	}
	if l.options.Preallocate {
		advance = advance[:0]
		for child, c := range l.children {
			if !c.noRecord && !c.expired {
				advance = append(advance, claim{child, units, 0, 0})
			}
		}
		allocateMaxMin(units, advance, a.targets, 0)
	}
	return a.targets
}

// belowTarget reports whether a child has too few units of an account. A lender that preallocates tolerates half the target
// if the demand is met, so that small changes of other children's demand move no units.
func (l *Lender) belowTarget(a *account, child string, targets map[string]int) bool {
	ln, target := a.loans[child], targets[child]
	units, demand := 0, 0
	if ln != nil {
		units, demand = ln.granted, ln.Demand
	}
	if l.options.Preallocate {
		return units < min(demand, target) || 2*units < target
	}
	return units < target
}

// anyBelowTarget reports whether a child other than except has too few units of an account.
func (l *Lender) anyBelowTarget(a *account, targets map[string]int, except string) bool {
	for child := range targets {
		if child != except && l.belowTarget(a, child, targets) {
			return true
		}
	}
	return false
}

// grant decides which units a child may use of each account that it has, or of all accounts if the lender preallocates. It
// returns those that differ from what the child reported as held.
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

// grantable returns a child's target, limited by the units that remain beside all others that are counted. While more units
// are counted than may be lent, no child may start a request, whatever its target: units become free only when those of the
// others are no longer in use.
func (l *Lender) grantable(now Time, name string, c *child, ln loan) int {
	a := l.account(name)
	targets := l.targets(now, name, a)
	units := targets[c.name]
	if l.options.Preallocate && units < ln.Held && !l.anyBelowTarget(a, targets, c.name) {
		units = ln.Held // no other child needs them
	}
	free := l.lendable(now, name, a) - l.unreported(a) - (a.counted - ln.counted())
	if c.noRecord {
		free = min(free, max(ln.Held, ln.Used))
	}
	return max(min(units, free), 0)
}

// rebalance polls the children that should send a lease request now. If children lack units of an account or it exceeds its
// capacity, those are the children that hold more than their targets; if units are free, those that lack some.
func (l *Lender) rebalance(now Time, name string) {
	a := l.accounts[name]
	if a == nil {
		return
	}
	lendable := l.lendable(now, name, a)
	targets := l.targets(now, name, a)
	free := lendable - l.unreported(a) - a.counted
	lacking := l.anyBelowTarget(a, targets, "")
	if !lacking && free >= 0 {
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

// poll marks a child to be polled. It does nothing if the child was polled less than a RetryDelay ago and has sent no lease
// request since.
func (l *Lender) poll(now Time, name string) bool {
	c := l.children[name]
	if c == nil || c.expired || now < c.lastPoll.Add(l.cfg.RetryDelay()) {
		return false
	}
	c.lastPoll = now
	l.toPoll[name] = true
	return true
}
