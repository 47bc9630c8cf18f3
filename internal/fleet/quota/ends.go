package quota

import (
	"maps"
	"slices"
	"time"
)

// Tick lets time pass: leases lapse, what had begun by them is over, earlier lives of the lender have no say any more.
func (l *Lender) Tick(now Time) {
	if now < l.NextTick() {
		return
	}
	if l.young && now >= l.ends() {
		l.grown(now)
	}
	l.relight(now)
	if now >= l.scan {
		l.lapse(now)
	}
	if now >= l.turns() {
		l.turn = int64(now-l.born) / int64(l.plan.RotationPeriod())
		for _, name := range sorted(l.round) {
			l.accounts[name].targets = nil
			l.settle(now, name)
		}
	}
	if now >= l.settled.Add(l.plan.RetryDelay()) {
		l.settled = now
		for _, name := range sorted(l.short) {
			l.settle(now, name)
		}
	}
}

// NextTick is when Tick has something to do.
func (l *Lender) NextTick() Time {
	next := l.scan
	if l.young {
		next = min(next, l.ends())
	}
	if l.lit && l.cover != Never {
		next = min(next, l.cover.Add(-l.plan.Lease+1))
	}
	if len(l.round) > 0 {
		next = min(next, l.turns())
	}
	if len(l.short) > 0 {
		next = min(next, l.settled.Add(l.plan.RetryDelay()))
	}
	return next
}

// turns is when units go round.
func (l *Lender) turns() Time { return l.born.Add(time.Duration(l.turn+1) * l.plan.RotationPeriod()) }

// grown ends the time in which earlier lives may have lent something unheard of.
func (l *Lender) grown(now Time) {
	sum := 0
	for name, a := range l.accounts {
		sum += l.legacy(a)
		l.touch(name)
	}
	l.young, l.scan = false, now
	for _, c := range l.children {
		c.unsure, c.first = false, nil
	}
	l.note("known", "", "", sum)
	l.resettle(now)
}

// lapse ends leases that are over, and forgets what has run its time since.
func (l *Lender) lapse(now Time) {
	l.scan = Never
	moved := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(l.children)) {
		c := l.children[name]
		switch lapses := c.heard.Add(l.plan.Lease); {
		case now < lapses:
			l.scan = min(l.scan, lapses)
		case now < lapses.Add(l.plan.DrainPeriod()):
			l.scan = min(l.scan, lapses.Add(l.plan.DrainPeriod()))
			l.silence(c, moved)
		case len(c.lines) > 0 || !l.young:
			for account := range c.lines {
				moved[account] = true
				l.set(c, account, line{})
			}
			if c.lapsed = true; !l.young { // while young it is remembered what it reported
				delete(l.children, name)
			}
			l.redivide()
		}
	}
	for i := len(l.past) - 1; i >= 0; i-- {
		if p := l.past[i]; now < p.until {
			l.scan = min(l.scan, p.until)
		} else {
			for account := range p.units {
				moved[account] = true
			}
			l.dropPast(i)
		}
	}
	for _, account := range sorted(moved) {
		l.settle(now, account)
	}
	l.tidy()
}

// silence notes that a child's lease is over: it begins nothing any more and wants nothing, and what it may have begun
// runs on.
func (l *Lender) silence(c *child, moved map[string]bool) {
	if c.lapsed {
		return
	}
	c.lapsed = true
	sum := 0
	for account, ln := range c.lines {
		n := *ln
		n.Demand = 0
		sum += n.count()
		l.set(c, account, n)
		moved[account] = true
	}
	l.redivide()
	l.note("lapsed", "", c.name, sum)
}

// addPast counts an ended life of a child.
func (l *Lender) addPast(p pastLife) {
	sum, lives, last := 0, 0, 0
	for account, u := range p.units {
		a := l.account(account)
		a.counted, a.past, a.targets = a.counted+u, a.past+u, nil
		l.touch(account)
		sum += u
	}
	if sum == 0 {
		return
	}
	l.note("replaced", "", p.child, sum)
	for i, o := range l.past {
		if o.child == p.child {
			lives, last = lives+1, i
		}
	}
	if lives < mostPast {
		l.past = append(l.past, p)
	} else { // added up, until the later end
		o := &l.past[last]
		o.until = max(o.until, p.until)
		for account, u := range p.units {
			o.units[account] += u
		}
	}
	l.scan = min(l.scan, p.until)
}

func (l *Lender) dropPast(i int) {
	for account, u := range l.past[i].units {
		a := l.account(account)
		a.counted, a.past, a.targets = a.counted-u, a.past-u, nil
		l.touch(account)
	}
	l.past = slices.Delete(l.past, i, i+1)
}

// tidy forgets accounts of which nothing is left.
func (l *Lender) tidy() {
	for name, a := range l.accounts {
		if a.capacity == 0 && a.counted == 0 && len(a.lines) == 0 && l.legacy(a) == 0 && !l.young {
			delete(l.accounts, name)
			delete(l.short, name)
			delete(l.round, name)
		}
	}
}
