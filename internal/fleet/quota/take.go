package quota

import (
	"maps"
	"slices"
)

// Take answers an ask; false: nothing is to be sent. What the ask says is exact from its sending on: the child believes
// no answer to an older one.
func (l *Lender) Take(now Time, a Ask) (Answer, bool) {
	l.Tick(now)
	if !l.fits(a) {
		return Answer{}, false
	}
	c := l.children[a.Child]
	if c != nil && (a.Epoch < c.epoch || a.Epoch == c.epoch && a.Seq <= c.seq) {
		return Answer{}, false // late, or twice
	}
	out := Answer{Child: a.Child, Epoch: a.Epoch, Seq: a.Seq, Lender: l.life}
	if a.Lender != l.life || !a.All && (c == nil || c.epoch != a.Epoch || c.lapsed) {
		out.Again = true
		return out, true
	}
	c = l.hear(now, c, a)
	touched := l.said(c, a)
	l.report(now, c, a)
	lends := l.covered(now) || now >= l.born.Add(l.plan.Quiet())
	if lends {
		if out.Unsure = c.unsure; a.Fresh && !c.unsure {
			out.Shares = c.running()
		} else {
			out.Shares = l.grant(now, c, l.named(c))
		}
	}
	for _, name := range append(touched, l.named(c)...) {
		l.settle(now, name)
	}
	return out, lends
}

// fits says whether an ask keeps to the limits and comes from a child that there is.
func (l *Lender) fits(a Ask) bool {
	if a.Child == "" || len(a.Child) > MaxName || a.Epoch == 0 || a.Seq == 0 || len(a.Lines) > MaxAccounts ||
		l.options.Known != nil && !slices.Contains(l.options.Known, a.Child) ||
		l.children[a.Child] == nil && len(l.children) >= MaxChildren {
		return false
	}
	further := 0
	seen := make(map[string]bool, len(a.Lines))
	for _, n := range a.Lines {
		if len(n.Account) > MaxName || seen[n.Account] ||
			min(n.Held, n.Used, n.Want) < 0 || max(n.Held, n.Used, n.Want) > MaxUnits {
			return false
		}
		if seen[n.Account] = true; l.accounts[n.Account] == nil {
			further++
		}
	}
	return further == 0 || len(l.accounts)+further <= MaxAccounts
}

// hear notes who asks. A new life leaves what the life before may have running to past; a fresh one inherits it.
func (l *Lender) hear(now Time, c *child, a Ask) *child {
	if c == nil || c.epoch != a.Epoch {
		n := &child{name: a.Child, epoch: a.Epoch, lines: map[string]*line{}, first: map[string]int{}}
		if c != nil {
			n.reported, n.first = c.reported, c.first
			l.replace(c, n, a.Fresh)
		}
		l.children[a.Child] = n
		if l.options.Spread {
			l.redivide()
		}
		c = n
	}
	c.seq, c.heard, c.lapsed, c.nudged = a.Seq, now, false, now.Add(-l.plan.Retry())
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
		l.addPast(pastLife{c.name, c.heard.Add(l.plan.Lease).Add(l.plan.Tail()), units})
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
func (c *child) running() (out []Share) {
	for _, name := range slices.Sorted(maps.Keys(c.lines)) {
		if u := c.lines[name].count(); u > 0 {
			out = append(out, Share{name, u})
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
	if n.Account = name; n.Want != old.Want || n.floor != old.floor || c.unsure {
		a.targets = nil
	}
	l.moved[name] = true
	a.counted -= old.count()
	*old = n
	a.counted += old.count()
	if n == (line{Line: Line{Account: name}}) {
		delete(c.lines, name)
		delete(a.lines, c.name)
	}
}

// said takes an ask's lines. What was answered before counts no more: the child believed it, and says so, or never will.
func (l *Lender) said(c *child, a Ask) (touched []string) {
	next := map[string]Line{}
	for name, ln := range c.lines {
		if touched = append(touched, name); !a.All {
			next[name] = ln.Line
		} else {
			next[name] = Line{}
		}
	}
	for _, n := range a.Lines {
		if c.lines[n.Account] == nil {
			touched = append(touched, n.Account)
		}
		next[n.Account] = n
	}
	for name, n := range next {
		ln := line{Line: n}
		if old := c.lines[name]; old != nil && a.Fresh {
			ln.floor = old.floor
		}
		l.set(c, name, ln)
	}
	slices.Sort(touched)
	return touched
}

// report counts what a child says first as found of what earlier lives lent. A fresh child whose earlier lives are not
// known here goes on reporting, as its own children come back to it; meanwhile it is given no more than it reports, so
// that nothing lent since is taken for found.
func (l *Lender) report(now Time, c *child, a Ask) {
	if unsure := a.Fresh && l.young && !c.reported; unsure != c.unsure {
		c.unsure = unsure
		l.redivide()
	}
	if l.young && !c.reported {
		for name, ln := range c.lines {
			if more := max(ln.Held, ln.Used) - c.first[name]; more > 0 {
				acc := l.account(name)
				acc.first, acc.targets = acc.first+more, nil
				l.moved[name] = true
				c.first[name] += more
			}
		}
	}
	if a.Fresh {
		return
	}
	c.reported, c.first = true, nil
	if l.young && l.options.Known != nil && !slices.ContainsFunc(l.options.Known, func(name string) bool {
		k := l.children[name]
		return k == nil || !k.reported
	}) {
		l.grown(now)
	}
}
