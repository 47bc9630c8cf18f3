package quota

import (
	"maps"
	"slices"
)

// Handle answers a lease request. It returns false if no response is to be sent, because the lease request is invalid or not
// the newest, or because the lender may not respond without cover. The reports of a lease request are exact from the time it
// was sent, because the child ignores responses to older ones.
func (l *Lender) Handle(now Time, r LeaseRequest) (LeaseResponse, bool) {
	l.Tick(now)
	if !l.valid(r) {
		return LeaseResponse{}, false
	}
	c := l.children[r.Child]
	if c != nil && (r.Epoch < c.epoch || r.Epoch == c.epoch && r.Seq <= c.seq) {
		return LeaseResponse{}, false // delayed or duplicated
	}
	response := LeaseResponse{Child: r.Child, Epoch: r.Epoch, Seq: r.Seq, LenderIncarnation: l.incarnation, Lease: l.cfg.Lease}
	if r.LenderIncarnation != l.incarnation || !r.Full && (c == nil || c.epoch != r.Epoch || c.expired || c.seq < r.BaseSeq) {
		response.ResendFull = true
		return response, true
	}
	isNew := c == nil || c.epoch != r.Epoch
	l.loansBefore = map[*account]loan{}
	c = l.recordRequest(now, c, r)
	l.applyReports(c, r)
	l.recordRecovery(now, c, r)
	respond := l.covered(now) || now >= l.startedAt.Add(l.cfg.QuietPeriod())
	if respond {
		if response.NoRecord = c.noRecord; r.Recovering && !c.noRecord {
			response.Allocations = c.outstanding()
		} else {
			response.Allocations = l.grant(now, c)
		}
	}
	l.rebalanceChanged(now, c, isNew)
	return response, respond
}

// rebalanceChanged rebalances the accounts that a lease request or its response changed. isNew is set at the first lease
// request of an incarnation.
func (l *Lender) rebalanceChanged(now Time, c *child, isNew bool) {
	before := l.loansBefore
	if l.loansBefore = nil; isNew && l.options.Preallocate { // it shares in every account
		l.rebalanceAll(now)
		return
	}
	var names []string
	for a, previous := range before {
		current := loan{}
		if ln := a.loans[c.name]; ln != nil {
			current = *ln
		}
		if current != previous {
			names = append(names, previous.Account)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		l.rebalance(now, name)
	}
}

// valid reports whether a lease request keeps to the limits and comes from a permitted child.
func (l *Lender) valid(r LeaseRequest) bool {
	if r.Child == "" || len(r.Child) > MaxName || r.Epoch == 0 || r.Seq == 0 || len(r.Reports) > MaxAccounts ||
		l.options.Children != nil && !slices.Contains(l.options.Children, r.Child) ||
		l.children[r.Child] == nil && len(l.children) >= MaxChildren {
		return false
	}
	added := 0
	seen := make(map[string]bool, len(r.Reports))
	for _, report := range r.Reports {
		if len(report.Account) > MaxName || seen[report.Account] ||
			min(report.Held, report.Used, report.Demand) < 0 || max(report.Held, report.Used, report.Demand) > MaxUnits {
			return false
		}
		if seen[report.Account] = true; l.accounts[report.Account] == nil {
			added++
		}
	}
	return added == 0 || len(l.accounts)+added <= MaxAccounts
}

// recordRequest records the sender of a lease request. If it is a new incarnation, the units that the previous one may have
// in use count for an ended incarnation. A recovering child inherits them instead.
func (l *Lender) recordRequest(now Time, c *child, r LeaseRequest) *child {
	if c == nil || c.epoch != r.Epoch {
		next := &child{name: r.Child, epoch: r.Epoch, loans: map[string]*loan{}, reportedUnits: map[string]int{}}
		if c != nil {
			next.reportComplete, next.reportedUnits = c.reportComplete, c.reportedUnits
			l.replaceIncarnation(c, next, r.Recovering)
		}
		l.children[r.Child] = next
		if l.options.Preallocate {
			l.invalidateTargets()
		}
		c = next
	}
	if c.expired { // its units were excluded from the targets
		l.invalidateTargets()
	}
	c.seq, c.lastRequest, c.expired, c.lastPoll = r.Seq, now, false, now.Add(-l.cfg.RetryDelay())
	l.nextExpiry = min(l.nextExpiry, now.Add(l.cfg.Lease))
	delete(l.toPoll, r.Child)
	return c
}

// replaceIncarnation moves the units of previous to an ended incarnation, or to next if that one is recovering.
func (l *Lender) replaceIncarnation(previous, next *child, recovering bool) {
	units := map[string]int{}
	for name, ln := range previous.loans {
		if ln.counted() > 0 {
			units[name] = ln.counted()
		}
		l.setLoan(previous, name, loan{})
	}
	if !recovering {
		l.addEnded(endedIncarnation{previous.name, previous.lastRequest.Add(l.cfg.Lease).Add(l.cfg.DrainPeriod()), units})
		return
	}
	for i := len(l.ended) - 1; i >= 0; i-- {
		if p := l.ended[i]; p.child == previous.name {
			for name, u := range p.units {
				units[name] += u
			}
			l.dropEnded(i)
		}
	}
	sum := 0
	for name, u := range units {
		l.setLoan(next, name, loan{inherited: u})
		sum += u
	}
	l.record("inherited", "", previous.name, sum)
}

// outstanding returns the units that incarnations of a child may have in use.
func (c *child) outstanding() (out []Allocation) {
	for _, name := range slices.Sorted(maps.Keys(c.loans)) {
		if u := c.loans[name].counted(); u > 0 {
			out = append(out, Allocation{name, u})
		}
	}
	return out
}

// setLoan replaces a loan and updates the sums of its account.
func (l *Lender) setLoan(c *child, name string, next loan) {
	a, old := l.account(name), c.loans[name]
	if old == nil {
		old = &loan{}
		c.loans[name], a.loans[c.name] = old, old
	}
	if next.Account = name; next.Demand != old.Demand || next.inherited != old.inherited || c.noRecord {
		a.targets = nil
	}
	if l.markChanged(name); l.loansBefore != nil {
		if _, noted := l.loansBefore[a]; !noted {
			l.loansBefore[a] = loan{AccountReport: AccountReport{Account: name, Held: old.Held, Used: old.Used, Demand: old.Demand},
				granted: old.granted, inherited: old.inherited}
		}
	}
	a.counted -= old.counted()
	a.demand += next.Demand - old.Demand
	*old = next
	a.counted += old.counted()
	if next == (loan{AccountReport: AccountReport{Account: name}}) {
		delete(c.loans, name)
		delete(a.loans, c.name)
	}
}

// applyReports applies the reports of a lease request. What the previous response granted does not count any more: the child
// has either applied it, and reports it as held, or never will.
func (l *Lender) applyReports(c *child, r LeaseRequest) {
	reported := make(map[string]bool, len(r.Reports))
	for _, report := range r.Reports {
		reported[report.Account] = true
		l.setLoan(c, report.Account, loan{AccountReport: report, inherited: c.inheritedUnits(report.Account, r.Recovering)})
	}
	for name, ln := range c.loans {
		switch inherited := c.inheritedUnits(name, r.Recovering); {
		case reported[name]:
		case r.Full:
			l.setLoan(c, name, loan{inherited: inherited})
		case ln.granted != ln.Held || ln.inherited != inherited:
			l.setLoan(c, name, loan{AccountReport: ln.AccountReport, inherited: inherited})
		}
	}
}

// inheritedUnits returns the units that count for a recovering child at least.
func (c *child) inheritedUnits(account string, recovering bool) int {
	if ln := c.loans[account]; ln != nil && recovering {
		return ln.inherited
	}
	return 0
}

// recordRecovery counts what a child reports first as part of what earlier incarnations of this lender lent. A recovering
// child without a record here continues to report as its own children return to it. Meanwhile it is granted no more than it
// reports, so that units lent since then are not mistaken for such earlier loans.
func (l *Lender) recordRecovery(now Time, c *child, r LeaseRequest) {
	if l.recovering && !c.reportComplete {
		for name, ln := range c.loans {
			if more := max(ln.Held, ln.Used) - c.reportedUnits[name]; more > 0 {
				a := l.account(name)
				a.reported, a.targets = a.reported+more, nil
				l.markChanged(name)
				c.reportedUnits[name] += more
			}
		}
	}
	if !r.Recovering {
		c.reportComplete, c.reportedUnits = true, nil
	}
	missing := l.unreportedChildren()
	if l.recovering && r.Recovering && slices.Equal(missing, []string{c.name}) {
		l.assignUnreported(c)
		missing = nil
	}
	if noRecord := r.Recovering && l.recovering && !c.reportComplete; noRecord != c.noRecord {
		c.noRecord = noRecord
		l.invalidateTargets()
	}
	switch {
	case !l.recovering || l.options.Children == nil:
	case len(missing) == 0:
		l.finishRecovery(now)
	case len(missing) == 1 && l.children[missing[0]] != nil:
		l.toPoll[missing[0]] = true
	}
}

// unreportedChildren returns the children known by name that have not reported all that earlier incarnations of this lender
// lent to them.
func (l *Lender) unreportedChildren() (out []string) {
	for _, name := range l.options.Children {
		if c := l.children[name]; c == nil || !c.reportComplete {
			out = append(out, name)
		}
	}
	return out
}

// assignUnreported assigns all units that earlier incarnations of this lender lent and nobody has reported to the only
// child, a recovering one, that has not reported completely: its earlier incarnations must have them.
func (l *Lender) assignUnreported(c *child) {
	for name, a := range l.accounts {
		unreported := l.unreported(a)
		if unreported == 0 {
			continue
		}
		var ln loan
		if old := c.loans[name]; old != nil {
			ln = *old
		}
		ln.inherited = max(ln.inherited, ln.Held, ln.Used, c.reportedUnits[name]) + unreported
		l.setLoan(c, name, ln)
		a.reported += unreported
	}
	c.reportComplete, c.reportedUnits = true, nil
}
