package main

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"tinsail/internal/budget"
	"tinsail/internal/fleet/policy"
	"tinsail/internal/network/budgets"
	"tinsail/internal/network/fleet/accord"
	"tinsail/internal/settings"
)

// fleetBudgets holds this dispatcher's part of the fleet-wide budgets that the settings declare.
type fleetBudgets struct {
	limiter     *budgets.Limiter
	fixedShare  *budgets.FixedShare // nil if there is a keeper
	holder      *budgets.Holder     // nil without a keeper
	keeper      *budgets.KeeperRole // nil unless this dispatcher is the keeper
	leaderShare *leaderShare        // nil unless the accord's leader grants the leases
	share       budgets.Sharer
	fleetSize   atomic.Int64                     // the fleet's size as this dispatcher estimates it
	configured  atomic.Pointer[settings.Budgets] // as last read; keys that need a restart keep their values of the start
	policy      atomic.Pointer[policy.Policy]    // the fleet's policy if it sets the budgets, else nil
}

// keeperIsLeader is the value of budgets.keeper by which the accord's leader grants the leases.
const keeperIsLeader = "leader"

// leaderShare is the share that the accord's leader grants; 0 until a version is in force.
type leaderShare struct{ accord atomic.Pointer[accord.Accord] }

// Share returns what this dispatcher may spend now, in units per second.
func (l *leaderShare) Share() int {
	if a := l.accord.Load(); a != nil {
		return a.BudgetShare()
	}
	return 0
}

// connectionsPlan returns the plan of the budget of new connections that the settings declare. If the settings leave the
// maximal number of dispatchers at 0, it is the configuration's count of instances.
func connectionsPlan(b *settings.Budgets, instances int) budget.Plan {
	maxDispatchers := b.Most
	if maxDispatchers == 0 {
		maxDispatchers = instances
	}
	return budget.Plan{Name: "connections", Total: b.Connections, MaxDispatchers: maxDispatchers, ReserveShare: b.Reserve,
		Lease: time.Duration(b.LeaseMs) * time.Millisecond, Drift: b.Drift}
}

// equalShare returns the share of a plan when dispatchers exchange no messages: the total divided by the fleet's estimated size.
func equalShare(p budget.Plan, instances int) int {
	return budget.Split(p.Total, budget.EstimateFleetSize(instances, p.MaxDispatchers), 0)
}

// checkBudgets checks the budget settings where the schema cannot: a keeper needs its address, and an address its keeper.
func checkBudgets(set *settings.Settings) error {
	if set == nil {
		return nil
	}
	b := set.Budgets
	switch {
	case b == nil:
		return nil
	case b.Keeper == keeperIsLeader && set.Accord == nil:
		return settings.Faults{set.Fault("budgets.keeper", "is the accord's leader, and accord is not set")}
	case b.Keeper == keeperIsLeader && b.KeeperAt != "":
		return settings.Faults{set.Fault("budgets.keeper_at", "is set, and the accord's leader needs none")}
	case b.Keeper == keeperIsLeader:
		return nil
	case b.Keeper != "" && b.KeeperAt == "":
		return settings.Faults{set.Fault("budgets.keeper_at", "is not set, where keeper is")}
	case b.Keeper == "" && b.KeeperAt != "":
		return settings.Faults{set.Fault("budgets.keeper", "is not set, where keeper_at is")}
	}
	return nil
}

// addBudgets starts the budgets of the settings and limits the pool's new connections to the share of this dispatcher. Without a
// keeper the share is the total divided by the fleet's size as configured; with one, it is leased over UDP
// (docs/design/budget.md). besideOther says that another process of this dispatcher serves: it may have the keeper's address.
func (d *dispatcher) addBudgets(set *settings.Settings, besideOther bool) error {
	b := set.Budgets
	if b == nil {
		return nil
	}
	f := &fleetBudgets{}
	plan := connectionsPlan(b, d.cfg.Settings.Instances)
	f.configured.Store(b)
	f.fleetSize.Store(int64(budget.EstimateFleetSize(d.cfg.Settings.Instances, plan.MaxDispatchers)))
	if b.Keeper == keeperIsLeader {
		f.leaderShare = &leaderShare{}
		f.share = f.leaderShare
	} else if b.Keeper == "" {
		f.fixedShare = budgets.NewFixedShare(equalShare(plan, d.cfg.Settings.Instances))
		f.share = f.fixedShare
	} else {
		if err := plan.Check(); err != nil {
			return settings.Faults{set.Fault("budgets", err.Error())}
		}
		at, err := net.ResolveUDPAddr("udp", b.KeeperAt)
		if err != nil {
			return settings.Faults{set.Fault("budgets.keeper_at", err.Error())}
		}
		if d.cfg.Name == b.Keeper {
			f.keeper = budgets.NewKeeperRole(at, plan, d.log)
			if !besideOther { // otherwise keepBudgets acquires it later
				if err := f.keeper.Acquire(); err != nil {
					return fmt.Errorf("budgets.keeper_at: %w", err)
				}
			}
		}
		conn, err := net.DialUDP("udp", nil, at)
		if err == nil {
			f.holder, err = budgets.NewHolder(conn, plan, d.cfg.Name, d.cfg.Settings.Seed)
		}
		if err != nil {
			f.close()
			return errors.Join(errors.New("budgets"), err)
		}
		f.share = f.holder
	}
	f.limiter = budgets.NewLimiter(f.share)
	d.pool.Limiter = f.limiter
	d.budgets = f
	return nil
}

// reloadBudgets puts changed totals, counts and reserves of the budgets in force while shares are leased
// (docs/design/budget.md, "A changed plan"). A smaller share applies from the next unit on; a holder gives up a lease from the
// larger pool at once. Turning budgets on or off, and another keeper, lease or drift, need a restart, as Settings.Changes
// reports.
func (d *dispatcher) reloadBudgets(old, next *settings.Settings) error {
	f := d.budgets
	if f == nil || old.Budgets == nil || next.Budgets == nil {
		return nil
	}
	o, n := *old.Budgets, *next.Budgets
	n.Keeper, n.KeeperAt, n.LeaseMs, n.Drift = o.Keeper, o.KeeperAt, o.LeaseMs, o.Drift
	if err := connectionsPlan(&n, d.cfg.Settings.Instances).Check(); err != nil {
		return settings.Faults{next.Fault("budgets", err.Error())}
	}
	f.configured.Store(&n)
	return f.applyPlan(d.cfg.Settings.Instances)
}

// plan returns the plan in force: that of the settings script, or that of the policy p if p is not nil.
func (f *fleetBudgets) plan(instances int, p *policy.Policy) budget.Plan {
	b := *f.configured.Load()
	if p != nil {
		b.Connections, b.Most, b.Reserve = p.Connections, p.MaxDispatchers, p.Reserve
	}
	return connectionsPlan(&b, instances)
}

// applyPlan puts the plan in force while shares are leased.
func (f *fleetBudgets) applyPlan(instances int) error {
	plan := f.plan(instances, f.policy.Load())
	if err := plan.Check(); err != nil {
		return err
	}
	f.fleetSize.Store(int64(budget.EstimateFleetSize(instances, plan.MaxDispatchers)))
	if f.leaderShare != nil { // the leader's shares follow the version in force by themselves
		return nil
	}
	if f.fixedShare != nil {
		f.fixedShare.Set(equalShare(plan, instances))
		return nil
	}
	// The keeper first: a holder of this process that requests a new lease then gets it from the new pool.
	if f.keeper != nil {
		if err := f.keeper.Replan(plan); err != nil {
			return err
		}
	}
	return f.holder.Replan(plan)
}

// keepBudgets begins to grant the leases, if this dispatcher is the keeper and its other process has released them.
func (d *dispatcher) keepBudgets() {
	if d.budgets != nil && d.budgets.keeper != nil {
		d.budgets.keeper.AcquireWhenFree()
	}
}

// releaseBudgets leaves the leases to the other process of this dispatcher.
func (d *dispatcher) releaseBudgets() {
	if d.budgets != nil && d.budgets.keeper != nil {
		d.budgets.keeper.Release()
	}
}

// setBudgetPart sets which part of this dispatcher's shares this process spends.
func (d *dispatcher) setBudgetPart(p budgets.Part) {
	if d.budgets != nil {
		d.budgets.limiter.SetPart(p)
	}
}

// close ends this dispatcher's use of leased budgets.
func (f *fleetBudgets) close() {
	if f.holder != nil {
		f.holder.Close()
	}
	if f.keeper != nil {
		f.keeper.Release()
	}
}

// each calls c for each counter of the budgets.
func (f *fleetBudgets) each(c func(name string, n int64)) {
	c("budget_connections_share", int64(f.limiter.Share()))
	c("budget_connections_fleet", f.fleetSize.Load())
	c("budget_connections_granted", f.limiter.Passed.Load())
	c("budget_connections_waited", f.limiter.Waited.Load())
	c("budget_connections_unsent", f.limiter.Refused.Load())
	if f.leaderShare != nil {
		if a := f.leaderShare.accord.Load(); a != nil {
			c("budget_connections_lent", int64(a.BudgetLent()))
		}
	}
	if f.keeper != nil {
		c("budget_connections_lent", int64(f.keeper.Lent()))
		c("budget_bad_messages", int64(f.keeper.BadDatagrams()))
	}
}
