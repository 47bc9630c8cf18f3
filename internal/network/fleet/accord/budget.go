package accord

import (
	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord/wire"
)

// The leader keeps a budget's leases, too, where the policy has one: each election makes a new keeper,
// which lends nothing until all leases of the one before are over. What it lends is confirmed as the
// leases of versions are, so that no leader that was deposed lends on.

// setBudgetPlan makes or changes the keeper of the budget for the policy in force. v.mu is held.
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
	if err != nil { // it was checked: a fault of ours
		v.accord.cfg.Log.Error().Err(err).Msg("accord: a budget is not lent")
		v.budgetKeeper = nil
	}
	v.budgetName = plan.Name
}

// grantBudget answers an ask for a share. v.mu is held, and that this voter leads is confirmed.
func (v *voter) grantBudget(from *link, w *wire.BudgetRequest) {
	if v.budgetKeeper != nil && w.Budget == v.budgetName {
		from.send(wire.EncodeBudgetGrant(wire.BudgetGrant{Budget: w.Budget, Grant: v.budgetKeeper.HandleAsk(budget.Time(v.accord.clock.now()), w.Request)}))
	}
}

// setBudgetPlan takes the plan of the policy that is put in force. m.mu is held.
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
		m.accord.cfg.Log.Error().Err(err).Msg("accord: a budget is not held")
		m.budgetHolder = nil
	}
	m.budgetName = plan.Name
}

// nextBudgetAsk is the ask for a share that is due, if one is.
func (m *member) nextBudgetAsk() (wire.BudgetRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budgetHolder == nil {
		return wire.BudgetRequest{}, false
	}
	a, ok := m.budgetHolder.NextAsk(budget.Time(m.accord.clock.now()))
	return wire.BudgetRequest{Budget: m.budgetName, Request: a}, ok
}

// BudgetShare is what this dispatcher may spend now of the budget that the policy has, in units a second; 0 before
// a version is in force here.
func (a *Accord) BudgetShare() int {
	a.member.mu.Lock()
	defer a.member.mu.Unlock()
	if a.member.budgetHolder == nil {
		return 0
	}
	return a.member.budgetHolder.Share(budget.Time(a.clock.now()))
}

// BudgetLent is what the leader has lent of the budget, and has not ended; 0 elsewhere.
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
