package quota

import (
	"maps"
	"slices"
)

// Handle answers an ask; false: nothing is to be sent. What the ask says is exact from its sending on: the child believes
// no answer to an older one.
func (l *Lender) Handle(now Time, a LeaseRequest) (LeaseResponse, bool) {
	l.Tick(now)
	if !l.fits(a) {
		return LeaseResponse{}, false
	}
	c := l.children[a.Child]
	if c != nil && (a.Epoch < c.epoch || a.Epoch == c.epoch && a.Seq <= c.seq) {
		return LeaseResponse{}, false // late, or twice
	}
	out := LeaseResponse{Child: a.Child, Epoch: a.Epoch, Seq: a.Seq, LenderIncarnation: l.life, Lease: l.plan.Lease}
	if a.LenderIncarnation != l.life || !a.Full && (c == nil || c.epoch != a.Epoch || c.lapsed || c.seq < a.BaseSeq) {
		out.ResendFull = true
		return out, true
	}
	joins := c == nil || c.epoch != a.Epoch
	l.before = map[*account]line{}
	c = l.hear(now, c, a)
	l.said(c, a)
	l.report(now, c, a)
	lends := l.covered(now) || now >= l.born.Add(l.plan.QuietPeriod())
	if lends {
		if out.NoRecord = c.unsure; a.Recovering && !c.unsure {
			out.Allocations = c.running()
		} else {
			out.Allocations = l.grant(now, c)
		}
	}
	l.follow(now, c, joins)
	return out, lends
}

// follow settles the accounts of which an ask or its answer changed something.
func (l *Lender) follow(now Time, c *child, joins bool) {
	before := l.before
	if l.before = nil; joins && l.options.Preallocate { // it has a part in each
		l.resettle(now)
		return
	}
	var names []string
	for a, was := range before {
		is := line{}
		if ln := a.lines[c.name]; ln != nil {
			is = *ln
		}
		if is != was {
			names = append(names, was.Account)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		l.settle(now, name)
	}
}

// fits says whether an ask keeps to the limits and comes from a child that there is.
func (l *Lender) fits(a LeaseRequest) bool {
	if a.Child == "" || len(a.Child) > MaxName || a.Epoch == 0 || a.Seq == 0 || len(a.Reports) > MaxAccounts ||
		l.options.Children != nil && !slices.Contains(l.options.Children, a.Child) ||
		l.children[a.Child] == nil && len(l.children) >= MaxChildren {
		return false
	}
	further := 0
	seen := make(map[string]bool, len(a.Reports))
	for _, n := range a.Reports {
		if len(n.Account) > MaxName || seen[n.Account] ||
			min(n.Held, n.Used, n.Demand) < 0 || max(n.Held, n.Used, n.Demand) > MaxUnits {
			return false
		}
		if seen[n.Account] = true; l.accounts[n.Account] == nil {
			further++
		}
	}
	return further == 0 || len(l.accounts)+further <= MaxAccounts
}

// hear notes who asks. A new life leaves what the life before may have running to past; a fresh one inherits it.
func (l *Lender) hear(now Time, c *child, a LeaseRequest) *child {
	if c == nil || c.epoch != a.Epoch {
		n := &child{name: a.Child, epoch: a.Epoch, lines: map[string]*line{}, first: map[string]int{}}
		if c != nil {
			n.reported, n.first = c.reported, c.first
			l.replace(c, n, a.Recovering)
		}
		l.children[a.Child] = n
		if l.options.Preallocate {
			l.redivide()
		}
		c = n
	}
	if c.lapsed { // what it may have running was left out of what is parted
		l.redivide()
	}
	c.seq, c.heard, c.lapsed, c.nudged = a.Seq, now, false, now.Add(-l.plan.RetryDelay())
	l.scan = min(l.scan, now.Add(l.plan.Lease))
	delete(l.nudge, a.Child)
	return c
}

func (l *Lender) replace(c, n *child, fresh bool) {
	units := map[string]int{}
	for name, ln := range c.lines {
		if ln.count() > 0 {
			units[name] = ln.count()
		}
		l.set(c, name, line{})
	}
	if !fresh {
		l.addPast(pastLife{c.name, c.heard.Add(l.plan.Lease).Add(l.plan.DrainPeriod()), units})
		return
	}
	for i := len(l.past) - 1; i >= 0; i-- {
		if p := l.past[i]; p.child == c.name {
			for name, u := range p.units {
				units[name] += u
			}
			l.dropPast(i)
		}
	}
	sum := 0
	for name, u := range units {
		l.set(n, name, line{floor: u})
		sum += u
	}
	l.note("inherited", "", c.name, sum)
}

// running is what lives of a child may have running.
func (c *child) running() (out []Allocation) {
	for _, name := range slices.Sorted(maps.Keys(c.lines)) {
		if u := c.lines[name].count(); u > 0 {
			out = append(out, Allocation{name, u})
		}
	}
	return out
}

// set puts a line in place of what was counted.
func (l *Lender) set(c *child, name string, n line) {
	a, old := l.account(name), c.lines[name]
	if old == nil {
		old = &line{}
		c.lines[name], a.lines[c.name] = old, old
	}
	if n.Account = name; n.Demand != old.Demand || n.floor != old.floor || c.unsure {
		a.targets = nil
	}
	if l.touch(name); l.before != nil {
		if _, noted := l.before[a]; !noted {
			l.before[a] = line{AccountReport: AccountReport{Account: name, Held: old.Held, Used: old.Used, Demand: old.Demand}, units: old.units, floor: old.floor}
		}
	}
	a.counted -= old.count()
	a.want += n.Demand - old.Demand
	*old = n
	a.counted += old.count()
	if n == (line{AccountReport: AccountReport{Account: name}}) {
		delete(c.lines, name)
		delete(a.lines, c.name)
	}
}

// said takes an ask's lines. What was answered before counts no more: the child believed it, and says so, or never will.
func (l *Lender) said(c *child, a LeaseRequest) {
	said := make(map[string]bool, len(a.Reports))
	for _, n := range a.Reports {
		said[n.Account] = true
		l.set(c, n.Account, line{AccountReport: n, floor: c.floor(n.Account, a.Recovering)})
	}
	for name, ln := range c.lines {
		switch floor := c.floor(name, a.Recovering); {
		case said[name]:
		case a.Full:
			l.set(c, name, line{floor: floor})
		case ln.units != ln.Held || ln.floor != floor:
			l.set(c, name, line{AccountReport: ln.AccountReport, floor: floor})
		}
	}
}

// floor is what a child counts for at least while it is fresh.
func (c *child) floor(account string, fresh bool) int {
	if ln := c.lines[account]; ln != nil && fresh {
		return ln.floor
	}
	return 0
}

// report counts what a child says first as found of what earlier lives lent. A fresh child whose earlier lives are not
// known here goes on reporting, as its own children come back to it; meanwhile it is given no more than it reports, so
// that nothing lent since is taken for found.
func (l *Lender) report(now Time, c *child, a LeaseRequest) {
	if l.young && !c.reported {
		for name, ln := range c.lines {
			if more := max(ln.Held, ln.Used) - c.first[name]; more > 0 {
				acc := l.account(name)
				acc.first, acc.targets = acc.first+more, nil
				l.touch(name)
				c.first[name] += more
			}
		}
	}
	if !a.Recovering {
		c.reported, c.first = true, nil
	}
	missing := l.missing()
	if l.young && a.Recovering && slices.Equal(missing, []string{c.name}) {
		l.leave(c)
		missing = nil
	}
	if unsure := a.Recovering && l.young && !c.reported; unsure != c.unsure {
		c.unsure = unsure
		l.redivide()
	}
	switch {
	case !l.young || l.options.Children == nil:
	case len(missing) == 0:
		l.grown(now)
	case len(missing) == 1 && l.children[missing[0]] != nil:
		l.nudge[missing[0]] = true
	}
}

// missing are the children known by name that have not said all that earlier lives of this lender lent to them.
func (l *Lender) missing() (out []string) {
	for _, name := range l.options.Children {
		if c := l.children[name]; c == nil || !c.reported {
			out = append(out, name)
		}
	}
	return out
}

// leave leaves all that earlier lives of this lender lent and nobody reported to the one child, a fresh one, that has not
// said all: its earlier lives have it.
func (l *Lender) leave(c *child) {
	for name, a := range l.accounts {
		legacy := l.legacy(a)
		if legacy == 0 {
			continue
		}
		var ln line
		if old := c.lines[name]; old != nil {
			ln = *old
		}
		ln.floor = max(ln.floor, ln.Held, ln.Used, c.first[name]) + legacy
		l.set(c, name, ln)
		a.first += legacy
	}
	c.reported, c.first = true, nil
}
