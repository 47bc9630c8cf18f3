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
	if l.recovering && now >= l.recoveryEnd() {
		l.finishRecovery(now)
	}
	l.updateCoverage(now)
	if now >= l.nextExpiry {
		l.expire(now)
	}
	if now >= l.nextRotation() {
		l.rotation = int64(now-l.startedAt) / int64(l.cfg.RotationPeriod())
		for _, name := range sortedKeys(l.rotating) {
			l.accounts[name].targets = nil
			l.rebalance(now, name)
		}
	}
	if now >= l.lastRebalance.Add(l.cfg.RetryDelay()) {
		l.lastRebalance = now
		for _, name := range sortedKeys(l.unbalanced) {
			l.rebalance(now, name)
		}
	}
}

// NextTick is when Tick has something to do.
func (l *Lender) NextTick() Time {
	next := l.nextExpiry
	if l.recovering {
		next = min(next, l.recoveryEnd())
	}
	if l.wasCovered && l.leaseEnd != Never {
		next = min(next, l.leaseEnd.Add(-l.cfg.Lease+1))
	}
	if len(l.rotating) > 0 {
		next = min(next, l.nextRotation())
	}
	if len(l.unbalanced) > 0 {
		next = min(next, l.lastRebalance.Add(l.cfg.RetryDelay()))
	}
	return next
}

// nextRotation is when units go round.
func (l *Lender) nextRotation() Time {
	return l.startedAt.Add(time.Duration(l.rotation+1) * l.cfg.RotationPeriod())
}

// finishRecovery ends the time in which earlier lives may have lent something unheard of.
func (l *Lender) finishRecovery(now Time) {
	sum := 0
	for name, a := range l.accounts {
		sum += l.unreported(a)
		l.markChanged(name)
	}
	l.recovering, l.nextExpiry = false, now
	for _, c := range l.children {
		c.noRecord, c.reportedUnits = false, nil
	}
	l.record("known", "", "", sum)
	l.rebalanceAll(now)
}

// expire ends leases that are over, and forgets what has run its time since.
func (l *Lender) expire(now Time) {
	l.nextExpiry = Never
	moved := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(l.children)) {
		c := l.children[name]
		switch lapses := c.lastRequest.Add(l.cfg.Lease); {
		case now < lapses:
			l.nextExpiry = min(l.nextExpiry, lapses)
		case now < lapses.Add(l.cfg.DrainPeriod()):
			l.nextExpiry = min(l.nextExpiry, lapses.Add(l.cfg.DrainPeriod()))
			l.expireLease(c, moved)
		case len(c.loans) > 0 || !l.recovering:
			for account := range c.loans {
				moved[account] = true
				l.setLoan(c, account, loan{})
			}
			if c.expired = true; !l.recovering { // while young it is remembered what it reported
				delete(l.children, name)
			}
			l.invalidateTargets()
		}
	}
	for i := len(l.ended) - 1; i >= 0; i-- {
		if p := l.ended[i]; now < p.until {
			l.nextExpiry = min(l.nextExpiry, p.until)
		} else {
			for account := range p.units {
				moved[account] = true
			}
			l.dropEnded(i)
		}
	}
	for _, account := range sortedKeys(moved) {
		l.rebalance(now, account)
	}
	l.dropEmptyAccounts()
}

// expireLease notes that a child's lease is over: it begins nothing any more and wants nothing, and what it may have begun
// runs on.
func (l *Lender) expireLease(c *child, moved map[string]bool) {
	if c.expired {
		return
	}
	c.expired = true
	sum := 0
	for account, ln := range c.loans {
		n := *ln
		n.Demand = 0
		sum += n.counted()
		l.setLoan(c, account, n)
		moved[account] = true
	}
	l.invalidateTargets()
	l.record("lapsed", "", c.name, sum)
}

// addEnded counts an ended life of a child.
func (l *Lender) addEnded(p endedIncarnation) {
	sum, lives, last := 0, 0, 0
	for account, u := range p.units {
		a := l.account(account)
		a.counted, a.ended, a.targets = a.counted+u, a.ended+u, nil
		l.markChanged(account)
		sum += u
	}
	if sum == 0 {
		return
	}
	l.record("replaced", "", p.child, sum)
	for i, o := range l.ended {
		if o.child == p.child {
			lives, last = lives+1, i
		}
	}
	if lives < maxEnded {
		l.ended = append(l.ended, p)
	} else { // added up, until the later end
		o := &l.ended[last]
		o.until = max(o.until, p.until)
		for account, u := range p.units {
			o.units[account] += u
		}
	}
	l.nextExpiry = min(l.nextExpiry, p.until)
}

func (l *Lender) dropEnded(i int) {
	for account, u := range l.ended[i].units {
		a := l.account(account)
		a.counted, a.ended, a.targets = a.counted-u, a.ended-u, nil
		l.markChanged(account)
	}
	l.ended = slices.Delete(l.ended, i, i+1)
}

// dropEmptyAccounts forgets accounts of which nothing is left.
func (l *Lender) dropEmptyAccounts() {
	for name, a := range l.accounts {
		if a.capacity == 0 && a.counted == 0 && len(a.loans) == 0 && l.unreported(a) == 0 && !l.recovering {
			delete(l.accounts, name)
			delete(l.unbalanced, name)
			delete(l.rotating, name)
		}
	}
}
