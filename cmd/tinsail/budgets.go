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

// fleetBudgets are the fleet-wide budgets that the settings declare, as this dispatcher holds them.
type fleetBudgets struct {
	limiter     *budgets.Limiter
	fixedShare  *budgets.FixedShare // nil where there is a keeper
	holder      *budgets.Holder     // nil without a keeper
	keeper      *budgets.Keeper     // nil but at the keeper
	leaderShare *leaderShare        // nil but where the accord's leader keeps the leases
	share       budgets.Sharer
	fleetSize   atomic.Int64                     // the fleet's size as this dispatcher estimates it
	configured  atomic.Pointer[settings.Budgets] // as last read, with what waits for the next start as at this one
	policy      atomic.Pointer[policy.Policy]    // the fleet's, where it sets the budgets; else nil
}

// keeperIsLeader, as budgets.keeper, has the leader of the accord keep the leases.
const keeperIsLeader = "leader"

// leaderShare is the share that the accord's leader lends; 0 until a version is in force.
type leaderShare struct{ accord atomic.Pointer[accord.Accord] }

// Share is what this dispatcher may spend now, in units a second.
func (l *leaderShare) Share() int {
	if a := l.accord.Load(); a != nil {
		return a.BudgetShare()
	}
	return 0
}

// connectionsPlan is the plan of the budget of new connections that the settings declare, with
// most taken from the configuration's count of instances where the settings leave it 0.
func connectionsPlan(b *settings.Budgets, instances int) budget.Plan {
	most := b.Most
	if most == 0 {
		most = instances
	}
	return budget.Plan{Name: "connections", Total: b.Connections, MaxDispatchers: most, ReserveShare: b.Reserve,
		Lease: time.Duration(b.LeaseMs) * time.Millisecond, Drift: b.Drift}
}

// equalShare is the share of a plan without talk.
func equalShare(p budget.Plan, instances int) int {
	return budget.Split(p.Total, budget.Estimate(instances, p.MaxDispatchers), 0)
}

// checkBudgets finds what the budgets' call allows and the schema cannot say: a keeper needs
// its address, and an address its keeper.
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

// addBudgets starts the budgets of the settings and gates the pool's new connections by the
// share of this dispatcher. Without a keeper the share is the whole divided by the fleet's size
// as the configuration tells it; with one, it is leased over UDP (docs/design/budget.md).
func (d *dispatcher) addBudgets(set *settings.Settings) error {
	b := set.Budgets
	if b == nil {
		return nil
	}
	f := &fleetBudgets{}
	plan := connectionsPlan(b, d.cfg.Settings.Instances)
	f.configured.Store(b)
	f.fleetSize.Store(int64(budget.Estimate(d.cfg.Settings.Instances, plan.MaxDispatchers)))
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
			conn, err := net.ListenUDP("udp", at)
			if err != nil {
				return fmt.Errorf("budgets.keeper_at: %w", err)
			}
			if f.keeper, err = budgets.NewKeeper(conn, plan); err != nil {
				conn.Close()
				return err
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

// reloadBudgets puts the budgets' changed totals, counts and reserves in force while shares are
// held (docs/design/budget.md, "A changed plan"): a smaller share is spent from the next unit on;
// a holder gives up a lease from the larger pool at once. Turning budgets on or off, and another
// keeper, lease or drift, wait for the next start, as Settings.Change tells.
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

// plan is the plan in force: the script's, or the fleet's policy's where that sets the budgets.
func (f *fleetBudgets) plan(instances int, p *policy.Policy) budget.Plan {
	b := *f.configured.Load()
	if p != nil {
		b.Connections, b.Most, b.Reserve = p.Connections, p.MaxDispatchers, p.Reserve
	}
	return connectionsPlan(&b, instances)
}

// applyPlan puts the plan in force while shares are held.
func (f *fleetBudgets) applyPlan(instances int) error {
	plan := f.plan(instances, f.policy.Load())
	if err := plan.Check(); err != nil {
		return err
	}
	f.fleetSize.Store(int64(budget.Estimate(instances, plan.MaxDispatchers)))
	if f.leaderShare != nil { // it follows the version in force by itself
		return nil
	}
	if f.fixedShare != nil {
		f.fixedShare.Set(equalShare(plan, instances))
		return nil
	}
	// the keeper first: a holder of this process that asks anew is answered from the new pool
	if f.keeper != nil {
		if err := f.keeper.Replan(plan); err != nil {
			return err
		}
	}
	return f.holder.Replan(plan)
}

func (f *fleetBudgets) close() {
	if f.holder != nil {
		f.holder.Close()
	}
	if f.keeper != nil {
		f.keeper.Close()
	}
}

// each calls f for the budgets' counters.
func (f *fleetBudgets) each(c func(name string, n int64)) {
	c("budget_connections_share", int64(f.share.Share()))
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
		c("budget_connections_lent", int64(f.keeper.Lent("connections")))
		c("budget_bad_messages", int64(f.keeper.BadDatagrams()))
	}
}
