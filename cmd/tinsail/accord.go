package main

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"time"

	"tinsail/internal/budget"
	"tinsail/internal/config"
	leases "tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/policy"
	"tinsail/internal/network/fleet/accord"
	"tinsail/internal/settings"
)

// accordLeaseConfig returns the lease times that the settings declare.
func accordLeaseConfig(a *settings.Accord) leases.LeaseConfig {
	return leases.LeaseConfig{Lease: millis(a.LeaseMS), Drift: a.Drift, ContinueWhenCut: a.ContinueWhenCut()}
}

// dispatcherName matches the valid names of a dispatcher. The name is sent to backends in a header.
var dispatcherName = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,64}$`)

// checkAccord checks the accord and policy settings where the schema cannot: across calls and against the configuration.
// cfg and set may be nil.
func checkAccord(cfg *config.Config, set *settings.Settings) error {
	if set == nil {
		return nil
	}
	a := set.Accord
	switch {
	case a == nil && set.Policy == nil:
		return nil
	case a == nil:
		return settings.Faults{set.Fault("policy", "is set, and accord is not: nothing would agree on it")}
	case set.Policy == nil:
		return settings.Faults{set.Fault("accord", "is set, and policy is not: there is nothing to agree on")}
	}
	if err := accordLeaseConfig(a).Check(); err != nil {
		return settings.Faults{set.Fault("accord", err.Error())}
	}
	voters, err := accord.ParseVoters(a.Voters)
	if err != nil {
		return settings.Faults{set.Fault("accord.voters", err.Error())}
	}
	if err := policyOf(set).Check(); err != nil {
		key, message, _ := strings.Cut(err.Error(), " ") // each error begins with its settings key
		return settings.Faults{set.Fault(key, message)}
	}
	if err := checkPolicySize(set); err != nil {
		return err
	}
	if cfg == nil {
		return nil
	}
	if !dispatcherName.MatchString(cfg.Name) {
		return settings.Faults{set.Fault("accord", "the configuration's name is not 1 to 64 letters, digits, dots, - and _")}
	}
	for _, v := range voters {
		if v.Name == cfg.Name && a.Data == "" {
			return settings.Faults{set.Fault("accord.data", "is not set, and "+cfg.Name+" is a voter")}
		}
	}
	return nil
}

func policyOf(set *settings.Settings) policy.Policy { return policy.Policy(*set.Policy) }

// addAccord makes this dispatcher a participant of the accord, the fleet-wide agreement on one policy version. No request is
// accepted until the version in force is known.
func (d *dispatcher) addAccord(set *settings.Settings, from handoverData) error {
	a := set.Accord
	if a == nil {
		return nil
	}
	voters, err := accord.ParseVoters(a.Voters)
	if err != nil {
		return settings.Faults{set.Fault("accord.voters", err.Error())}
	}
	for _, v := range voters {
		if v.Name == d.cfg.Name && from.link != nil {
			return errors.New("accord: a voter is not taken over, its log has one process: end it and start it anew")
		}
	}
	var budgetPlan func([]byte) (budget.Plan, bool)
	if d.budgets != nil && d.budgets.leaderShare != nil {
		budgetPlan = func(body []byte) (budget.Plan, bool) {
			p, err := policy.Read(body)
			return d.budgets.plan(d.cfg.Settings.Instances, &p), err == nil && p.Connections > 0
		}
	}
	d.accord, err = accord.New(accord.Config{BudgetPlan: budgetPlan, Leases: accordLeaseConfig(a), Name: d.cfg.Name, Epoch: uint64(time.Now().UnixNano()), Voters: voters,
		Listen: a.Listen, DataDir: a.Data, InitialPolicy: policyOf(set).Append(nil), CheckPolicy: d.checkPolicy, ApplyPolicy: d.applyPolicy, Log: d.log})
	if err != nil {
		return errors.Join(errors.New("accord"), err)
	}
	if budgetPlan != nil {
		d.budgets.leaderShare.accord.Store(d.accord)
	}
	d.core.Versions = d.accord
	d.pool.DispatcherName = d.cfg.Name
	return nil
}

// checkPolicy reports why this binary and configuration cannot apply a policy of the fleet.
func (d *dispatcher) checkPolicy(body []byte) error {
	p, err := policy.Read(body)
	if err != nil {
		return err
	}
	if err := d.checkPolicyQuotas(p); err != nil {
		return err
	}
	if p.Connections == 0 {
		if d.budgets != nil && d.budgets.leaderShare != nil {
			return errors.New("it sets no policy.connections, and budgets.keeper is the leader")
		}
		return nil
	}
	if d.budgets == nil {
		return errors.New("it sets policy.connections, and this dispatcher has no budgets(...)")
	}
	return d.budgets.plan(d.cfg.Settings.Instances, &p).Check()
}

// applyPolicy puts a version of the fleet's policy in force. No request is accepted before it returns.
func (d *dispatcher) applyPolicy(_ uint64, body []byte) error {
	p, err := policy.Read(body)
	if err != nil {
		return err
	}
	d.bans.SetPolicyBans(p.Bans)
	if d.quotas != nil {
		d.quotas.applyPolicy(p)
	}
	if d.budgets == nil {
		return nil
	}
	d.budgets.policy.Store(nil)
	if p.Connections > 0 {
		d.budgets.policy.Store(&p)
	}
	return d.budgets.applyPlan(d.cfg.Settings.Instances)
}

// reloadAccord proposes the script's policy if it has changed since the script was last read, or if it is the policy that this
// dispatcher proposed last and that was withdrawn. Any other difference from the version in force is an outdated file on one
// dispatcher, not a change that operators asked for.
func (d *dispatcher) reloadAccord(old, next *settings.Settings) {
	if d.accord == nil || old.Policy == nil || next.Policy == nil {
		return
	}
	d.accord.RetryCheck()
	oldBody, body := policyOf(old).Append(nil), policyOf(next).Append(nil)
	if bytes.Equal(oldBody, body) && !bytes.Equal(body, d.accord.WithdrawnProposal()) {
		return
	}
	if err := d.accord.Propose(body); err != nil {
		d.log.Error().Err(err).Msg("accord: not proposed")
	}
}
