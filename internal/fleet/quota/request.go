package quota

import (
	"maps"
	"slices"
)

// Handle answers an ask; false: nothing is to be sent. What the ask says is exact from its sending on: the child believes
// no answer to an older one.
func (l *Lender) Handle(now Time, a LeaseRequest) (LeaseResponse, bool) {
	l.Tick(now)
	if !l.valid(a) {
		return LeaseResponse{}, false
	}
	c := l.children[a.Child]
	if c != nil && (a.Epoch < c.epoch || a.Epoch == c.epoch && a.Seq <= c.seq) {
		return LeaseResponse{}, false // late, or twice
	}
	out := LeaseResponse{Child: a.Child, Epoch: a.Epoch, Seq: a.Seq, LenderIncarnation: l.incarnation, Lease: l.cfg.Lease}
	if a.LenderIncarnation != l.incarnation || !a.Full && (c == nil || c.epoch != a.Epoch || c.expired || c.seq < a.BaseSeq) {
		out.ResendFull = true
		return out, true
	}
	joins := c == nil || c.epoch != a.Epoch
	l.loansBefore = map[*account]loan{}
	c = l.recordRequest(now, c, a)
	l.applyReports(c, a)
	l.recordRecovery(now, c, a)
	lends := l.covered(now) || now >= l.startedAt.Add(l.cfg.QuietPeriod())
	if lends {
		if out.NoRecord = c.noRecord; a.Recovering && !c.noRecord {
			out.Allocations = c.outstanding()
		} else {
			out.Allocations = l.grant(now, c)
		}
	}
	l.rebalanceChanged(now, c, joins)
	return out, lends
}

// rebalanceChanged settles the accounts of which an ask or its answer changed something.
func (l *Lender) rebalanceChanged(now Time, c *child, joins bool) {
	before := l.loansBefore
	if l.loansBefore = nil; joins && l.options.Preallocate { // it has a part in each
		l.rebalanceAll(now)
		return
	}
	var names []string
	for a, was := range before {
		is := loan{}
		if ln := a.loans[c.name]; ln != nil {
			is = *ln
		}
		if is != was {
			names = append(names, was.Account)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		l.rebalance(now, name)
	}
}

// valid says whether an ask keeps to the limits and comes from a child that there is.
func (l *Lender) valid(a LeaseRequest) bool {
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

// recordRequest notes who asks. A new life leaves what the life before may have running to past; a fresh one inherits it.
func (l *Lender) recordRequest(now Time, c *child, a LeaseRequest) *child {
	if c == nil || c.epoch != a.Epoch {
		n := &child{name: a.Child, epoch: a.Epoch, loans: map[string]*loan{}, reportedUnits: map[string]int{}}
		if c != nil {
			n.reportComplete, n.reportedUnits = c.reportComplete, c.reportedUnits
			l.replaceIncarnation(c, n, a.Recovering)
		}
		l.children[a.Child] = n
		if l.options.Preallocate {
			l.invalidateTargets()
		}
		c = n
	}
	if c.expired { // what it may have running was left out of what is parted
		l.invalidateTargets()
	}
	c.seq, c.lastRequest, c.expired, c.lastPoll = a.Seq, now, false, now.Add(-l.cfg.RetryDelay())
	l.nextExpiry = min(l.nextExpiry, now.Add(l.cfg.Lease))
	delete(l.toPoll, a.Child)
	return c
}

func (l *Lender) replaceIncarnation(c, n *child, fresh bool) {
	units := map[string]int{}
	for name, ln := range c.loans {
		if ln.counted() > 0 {
			units[name] = ln.counted()
		}
		l.setLoan(c, name, loan{})
	}
	if !fresh {
		l.addEnded(endedIncarnation{c.name, c.lastRequest.Add(l.cfg.Lease).Add(l.cfg.DrainPeriod()), units})
		return
	}
	for i := len(l.ended) - 1; i >= 0; i-- {
		if p := l.ended[i]; p.child == c.name {
			for name, u := range p.units {
				units[name] += u
			}
			l.dropEnded(i)
		}
	}
	sum := 0
	for name, u := range units {
		l.setLoan(n, name, loan{inherited: u})
		sum += u
	}
	l.record("inherited", "", c.name, sum)
}

// outstanding is what lives of a child may have outstanding.
func (c *child) outstanding() (out []Allocation) {
	for _, name := range slices.Sorted(maps.Keys(c.loans)) {
		if u := c.loans[name].counted(); u > 0 {
			out = append(out, Allocation{name, u})
		}
	}
	return out
}

// setLoan puts a line in place of what was counted.
func (l *Lender) setLoan(c *child, name string, n loan) {
	a, old := l.account(name), c.loans[name]
	if old == nil {
		old = &loan{}
		c.loans[name], a.loans[c.name] = old, old
	}
	if n.Account = name; n.Demand != old.Demand || n.inherited != old.inherited || c.noRecord {
		a.targets = nil
	}
	if l.markChanged(name); l.loansBefore != nil {
		if _, noted := l.loansBefore[a]; !noted {
			l.loansBefore[a] = loan{AccountReport: AccountReport{Account: name, Held: old.Held, Used: old.Used, Demand: old.Demand}, granted: old.granted, inherited: old.inherited}
		}
	}
	a.counted -= old.counted()
	a.demand += n.Demand - old.Demand
	*old = n
	a.counted += old.counted()
	if n == (loan{AccountReport: AccountReport{Account: name}}) {
		delete(c.loans, name)
		delete(a.loans, c.name)
	}
}

// applyReports takes an ask's lines. What was answered before counts no more: the child believed it, and says so, or never will.
func (l *Lender) applyReports(c *child, a LeaseRequest) {
	said := make(map[string]bool, len(a.Reports))
	for _, n := range a.Reports {
		said[n.Account] = true
		l.setLoan(c, n.Account, loan{AccountReport: n, inherited: c.inheritedUnits(n.Account, a.Recovering)})
	}
	for name, ln := range c.loans {
		switch floor := c.inheritedUnits(name, a.Recovering); {
		case said[name]:
		case a.Full:
			l.setLoan(c, name, loan{inherited: floor})
		case ln.granted != ln.Held || ln.inherited != floor:
			l.setLoan(c, name, loan{AccountReport: ln.AccountReport, inherited: floor})
		}
	}
}

// inheritedUnits is what a child counts for at least while it is fresh.
func (c *child) inheritedUnits(account string, fresh bool) int {
	if ln := c.loans[account]; ln != nil && fresh {
		return ln.inherited
	}
	return 0
}

// recordRecovery counts what a child says first as found of what earlier lives lent. A fresh child whose earlier lives are not
// known here goes on reporting, as its own children come back to it; meanwhile it is given no more than it reports, so
// that nothing lent since is taken for found.
func (l *Lender) recordRecovery(now Time, c *child, a LeaseRequest) {
	if l.recovering && !c.reportComplete {
		for name, ln := range c.loans {
			if more := max(ln.Held, ln.Used) - c.reportedUnits[name]; more > 0 {
				acc := l.account(name)
				acc.reported, acc.targets = acc.reported+more, nil
				l.markChanged(name)
				c.reportedUnits[name] += more
			}
		}
	}
	if !a.Recovering {
		c.reportComplete, c.reportedUnits = true, nil
	}
	missing := l.unreportedChildren()
	if l.recovering && a.Recovering && slices.Equal(missing, []string{c.name}) {
		l.assignUnreported(c)
		missing = nil
	}
	if unsure := a.Recovering && l.recovering && !c.reportComplete; unsure != c.noRecord {
		c.noRecord = unsure
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

// unreportedChildren are the children known by name that have not said all that earlier lives of this lender lent to them.
func (l *Lender) unreportedChildren() (out []string) {
	for _, name := range l.options.Children {
		if c := l.children[name]; c == nil || !c.reportComplete {
			out = append(out, name)
		}
	}
	return out
}

// assignUnreported leaves all that earlier lives of this lender lent and nobody reported to the one child, a fresh one, that has not
// said all: its earlier lives have it.
func (l *Lender) assignUnreported(c *child) {
	for name, a := range l.accounts {
		legacy := l.unreported(a)
		if legacy == 0 {
			continue
		}
		var ln loan
		if old := c.loans[name]; old != nil {
			ln = *old
		}
		ln.inherited = max(ln.inherited, ln.Held, ln.Used, c.reportedUnits[name]) + legacy
		l.setLoan(c, name, ln)
		a.reported += legacy
	}
	c.reportComplete, c.reportedUnits = true, nil
}
