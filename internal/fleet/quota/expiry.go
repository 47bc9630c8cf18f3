package quota

import (
	"maps"
	"slices"
	"time"
)

// Tick advances the lender to now. Leases expire, requests that were in flight under them end, and loans of earlier
// incarnations of the lender are no longer assumed once the recovery ends.
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

// NextTick returns when Tick next has something to do.
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

// nextRotation returns when scarce units are next assigned anew.
func (l *Lender) nextRotation() Time {
	return l.startedAt.Add(time.Duration(l.rotation+1) * l.cfg.RotationPeriod())
}

// finishRecovery ends the time in which earlier incarnations may have lent units that no child has reported yet.
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

// expire ends leases that are over, and forgets units after the DrainPeriod, when no request can use them any more.
func (l *Lender) expire(now Time) {
	l.nextExpiry = Never
	changed := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(l.children)) {
		c := l.children[name]
		switch expires := c.lastRequest.Add(l.cfg.Lease); {
		case now < expires:
			l.nextExpiry = min(l.nextExpiry, expires)
		case now < expires.Add(l.cfg.DrainPeriod()):
			l.nextExpiry = min(l.nextExpiry, expires.Add(l.cfg.DrainPeriod()))
			l.expireLease(c, changed)
		case len(c.loans) > 0 || !l.recovering:
			for account := range c.loans {
				changed[account] = true
				l.setLoan(c, account, loan{})
			}
			if c.expired = true; !l.recovering { // during recovery the reports of the child are still needed
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
				changed[account] = true
			}
			l.dropEnded(i)
		}
	}
	for _, account := range sortedKeys(changed) {
		l.rebalance(now, account)
	}
	l.dropEmptyAccounts()
}

// expireLease records that a child's lease has ended. The child may start no request any more and has no demand. Its
// requests in flight may continue.
func (l *Lender) expireLease(c *child, changed map[string]bool) {
	if c.expired {
		return
	}
	c.expired = true
	sum := 0
	for account, ln := range c.loans {
		remaining := *ln
		remaining.Demand = 0
		sum += remaining.counted()
		l.setLoan(c, account, remaining)
		changed[account] = true
	}
	l.invalidateTargets()
	l.record("lapsed", "", c.name, sum)
}

// addEnded counts the units that an ended incarnation of a child may have in use.
func (l *Lender) addEnded(p endedIncarnation) {
	sum, incarnations, last := 0, 0, 0
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
			incarnations, last = incarnations+1, i
		}
	}
	if incarnations < maxEnded {
		l.ended = append(l.ended, p)
	} else { // merged, until the later of both ends
		o := &l.ended[last]
		o.until = max(o.until, p.until)
		for account, u := range p.units {
			o.units[account] += u
		}
	}
	l.nextExpiry = min(l.nextExpiry, p.until)
}

// dropEnded forgets an ended incarnation.
func (l *Lender) dropEnded(i int) {
	for account, u := range l.ended[i].units {
		a := l.account(account)
		a.counted, a.ended, a.targets = a.counted-u, a.ended-u, nil
		l.markChanged(account)
	}
	l.ended = slices.Delete(l.ended, i, i+1)
}

// dropEmptyAccounts forgets accounts without capacity, loans and assumed loans.
func (l *Lender) dropEmptyAccounts() {
	for name, a := range l.accounts {
		if a.capacity == 0 && a.counted == 0 && len(a.loans) == 0 && l.unreported(a) == 0 && !l.recovering {
			delete(l.accounts, name)
			delete(l.unbalanced, name)
			delete(l.rotating, name)
		}
	}
}
