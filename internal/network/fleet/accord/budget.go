package accord

import (
	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord/wire"
)

// If the policy contains a budget, the leader also lends it. Each election starts a new keeper, which
// lends nothing until all leases of the previous one have ended. Before a grant is sent, a majority
// confirms that this voter still leads, as for the leases of versions, so that a deposed leader
// lends nothing.

// setBudgetPlan starts or changes the budget's keeper for the policy in force. v.mu is held.
func (v *voter) setBudgetPlan(body []byte) {
	if v.accord.cfg.BudgetPlan == nil {
		return
	}
	plan, ok := v.accord.cfg.BudgetPlan(body)
	if !ok {
		v.budgetKeeper = nil
		return
	}
	var err error
	if v.budgetKeeper != nil {
		err = v.budgetKeeper.Replan(plan)
	} else {
		v.budgetKeeper, err = budget.NewKeeper(plan, budget.Time(v.accord.clock.now()))
	}
	if err != nil { // a bug: the policy was checked before
		v.accord.cfg.Log.Error().Err(err).Msg("accord: invalid budget plan in the policy; the budget is not lent")
		v.budgetKeeper = nil
	}
	v.budgetName = plan.Name
}

// grantBudget answers a budget request. v.mu is held, and a majority has confirmed that this voter leads.
func (v *voter) grantBudget(from *link, req *wire.BudgetRequest) {
	if v.budgetKeeper != nil && req.Budget == v.budgetName {
		from.send(wire.EncodeBudgetGrant(wire.BudgetGrant{Budget: req.Budget, Grant: v.budgetKeeper.Handle(budget.Time(v.accord.clock.now()), req.Request)}))
	}
}

// setBudgetPlan starts or changes the budget's holder for the policy that is put in force. m.mu is held.
func (m *member) setBudgetPlan(body []byte) {
	if m.accord.cfg.BudgetPlan == nil {
		return
	}
	plan, ok := m.accord.cfg.BudgetPlan(body)
	if !ok {
		m.budgetHolder = nil
		return
	}
	var err error
	if m.budgetHolder != nil {
		err = m.budgetHolder.Replan(plan)
	} else {
		m.budgetHolder, err = budget.NewHolder(plan, m.accord.cfg.Name, m.accord.cfg.Epoch)
	}
	if err != nil {
		m.accord.cfg.Log.Error().Err(err).Msg("accord: invalid budget plan in the policy; the budget's share is 0")
		m.budgetHolder = nil
	}
	m.budgetName = plan.Name
}

// nextBudgetRequest returns the budget request to send now, if one is due.
func (m *member) nextBudgetRequest() (wire.BudgetRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budgetHolder == nil {
		return wire.BudgetRequest{}, false
	}
	request, ok := m.budgetHolder.NextRequest(budget.Time(m.accord.clock.now()))
	return wire.BudgetRequest{Budget: m.budgetName, Request: request}, ok
}

// BudgetShare returns what this dispatcher may spend now of the policy's budget, in units per second.
// It is 0 before a version is in force here and if the policy contains no budget.
func (a *Accord) BudgetShare() int {
	a.member.mu.Lock()
	defer a.member.mu.Unlock()
	if a.member.budgetHolder == nil {
		return 0
	}
	return a.member.budgetHolder.Share(budget.Time(a.clock.now()))
}

// BudgetLent returns how many units of the policy's budget are lent now. It is 0 unless this
// dispatcher leads.
func (a *Accord) BudgetLent() int {
	if a.voter == nil {
		return 0
	}
	a.voter.mu.Lock()
	defer a.voter.mu.Unlock()
	if a.voter.leader == nil || a.voter.budgetKeeper == nil {
		return 0
	}
	return a.voter.budgetKeeper.Lent(budget.Time(a.clock.now()))
}
