package accord

import (
	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord/wire"
)

// The leader keeps a budget's leases, too, where the policy has one: each election makes a new keeper,
// which lends nothing until all leases of the one before are over. What it lends is confirmed as the
// leases of versions are, so that no leader that was deposed lends on.

// lend makes or changes the keeper of the budget for the policy in force. v.mu is held.
func (v *voter) lend(body []byte) {
	if v.a.cfg.BudgetPlan == nil {
		return
	}
	plan, ok := v.a.cfg.BudgetPlan(body)
	if !ok {
		v.lender = nil
		return
	}
	var err error
	if v.lender != nil {
		err = v.lender.Replan(plan)
	} else {
		v.lender, err = budget.NewKeeper(plan, budget.Time(v.a.clock.now()))
	}
	if err != nil { // it was checked: a fault of ours
		v.a.cfg.Log.Error().Err(err).Msg("accord: a budget is not lent")
		v.lender = nil
	}
	v.lends = plan.Name
}

// lent answers an ask for a share. v.mu is held, and that this voter leads is confirmed.
func (v *voter) lent(from *link, w *wire.BudgetRequest) {
	if v.lender != nil && w.Budget == v.lends {
		from.send(wire.EncodeBudgetGrant(wire.BudgetGrant{Budget: w.Budget, Grant: v.lender.HandleAsk(budget.Time(v.a.clock.now()), w.Request)}))
	}
}

// share takes the plan of the policy that is put in force. m.mu is held.
func (m *member) share(body []byte) {
	if m.a.cfg.BudgetPlan == nil {
		return
	}
	plan, ok := m.a.cfg.BudgetPlan(body)
	if !ok {
		m.holder = nil
		return
	}
	var err error
	if m.holder != nil {
		err = m.holder.Replan(plan)
	} else {
		m.holder, err = budget.NewHolder(plan, m.a.cfg.Name, m.a.cfg.Epoch)
	}
	if err != nil {
		m.a.cfg.Log.Error().Err(err).Msg("accord: a budget is not held")
		m.holder = nil
	}
	m.holds = plan.Name
}

// wants is the ask for a share that is due, if one is.
func (m *member) wants() (wire.BudgetRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder == nil {
		return wire.BudgetRequest{}, false
	}
	a, ok := m.holder.NextAsk(budget.Time(m.a.clock.now()))
	return wire.BudgetRequest{Budget: m.holds, Request: a}, ok
}

// BudgetShare is what this dispatcher may spend now of the budget that the policy has, in units a second; 0 before
// a version is in force here.
func (a *Accord) BudgetShare() int {
	a.member.mu.Lock()
	defer a.member.mu.Unlock()
	if a.member.holder == nil {
		return 0
	}
	return a.member.holder.Share(budget.Time(a.clock.now()))
}

// BudgetLent is what the leader has lent of the budget, and has not ended; 0 elsewhere.
func (a *Accord) BudgetLent() int {
	if a.voter == nil {
		return 0
	}
	a.voter.mu.Lock()
	defer a.voter.mu.Unlock()
	if a.voter.keeper == nil || a.voter.lender == nil {
		return 0
	}
	return a.voter.lender.Lent(budget.Time(a.clock.now()))
}
