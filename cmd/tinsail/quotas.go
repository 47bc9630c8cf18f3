package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tinsail/internal/config"
	leases "tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/policy"
	"tinsail/internal/network/fleet/accord"
	"tinsail/internal/settings"
)

// lender is a region's lender: the voter that lends the region's units to its dispatchers.
type lender struct{ region, voter string }

// parseLenders reads "region=voter" texts. No region and no voter may be there twice, and all must be voters.
func parseLenders(texts []string, voters []accord.Peer) ([]lender, error) {
	var out []lender
	for _, text := range texts {
		region, voter, ok := strings.Cut(text, "=")
		if !ok || region == "" || voter == "" {
			return nil, fmt.Errorf("%q is not region=voter", text)
		}
		if !slices.ContainsFunc(voters, func(v accord.Peer) bool { return v.Name == voter }) {
			return nil, fmt.Errorf("%q names no voter of accord", text)
		}
		for _, l := range out {
			if l.region == region || l.voter == voter {
				return nil, fmt.Errorf("%q names a region or a voter twice", text)
			}
		}
		out = append(out, lender{region, voter})
	}
	return out, nil
}

// leaseTimes is how many of a dispatcher's leases a region's must last at least: the lender lends only what its own lease
// covers, and renews that each third of it.
const leaseTimes = 3

// checkQuotas finds what the calls allow and the schema cannot say. cfg and set may be nil.
func checkQuotas(cfg *config.Config, set *settings.Settings) error {
	if set == nil {
		return nil
	}
	q := set.Quotas
	switch {
	case q == nil && set.Policy != nil && len(set.Policy.Quotas) > 0:
		return settings.Faults{set.Fault("policy.quotas", "is set, and quotas(...) is not: nothing would keep them")}
	case q == nil:
		return nil
	case set.Accord == nil:
		return settings.Faults{set.Fault("quotas", "is set, and accord is not: nobody would lend")}
	}
	voters, err := accord.ParseVoters(set.Accord.Voters)
	if err != nil {
		return nil // checkAccord tells it
	}
	lenders, err := parseLenders(q.Lenders, voters)
	if err != nil {
		return settings.Faults{set.Fault("quotas.lenders", err.Error())}
	}
	if !slices.ContainsFunc(lenders, func(l lender) bool { return l.region == q.Region }) {
		return settings.Faults{set.Fault("quotas.region", fmt.Sprintf("is %q, which is no region of lenders", q.Region))}
	}
	if q.RegionLeaseMS < leaseTimes*q.LeaseMS {
		return settings.Faults{set.Fault("quotas.region_lease_ms", fmt.Sprintf("is %d, want at least %d times lease_ms, which is %d",
			q.RegionLeaseMS, leaseTimes, q.LeaseMS))}
	}
	if set.Policy == nil || cfg == nil {
		return nil
	}
	if key, err := fitsQuotas(cfg, policyOf(set)); err != nil {
		return settings.Faults{set.Fault("policy."+key, err.Error())}
	}
	return nil
}

// fitsQuotas checks the quotas of a policy against the configuration, and names the key at fault.
func fitsQuotas(cfg *config.Config, p policy.Policy) (key string, err error) {
	for _, team := range slices.Sorted(maps.Keys(p.Quotas)) {
		if !slices.Contains(cfg.Names.Tenants, team) {
			return "quotas", fmt.Errorf("names %q, which is no tenant of the configuration", team)
		}
	}
	for _, class := range p.UrgentClasses {
		if !slices.Contains(cfg.Names.Classes, class) {
			return "urgent_classes", fmt.Errorf("names %q, which is no class of the configuration", class)
		}
	}
	if run := millis(p.RunMS); p.RunMS > 0 && run < longestRun(cfg) {
		return "run_ms", fmt.Errorf("is %d, want at least %d: the longest deadline of a class and the answer slack", p.RunMS,
			longestRun(cfg).Milliseconds())
	}
	return "", nil
}

// longestRun is the longest that a req of the configuration's classes is in flight, where its client states no patience of its
// own; in whole milliseconds, rounded up.
func longestRun(cfg *config.Config) time.Duration {
	run := cfg.Longest() + time.Duration(cfg.Settings.Rules.AnswerSlack*float64(time.Millisecond))
	return (run + time.Millisecond - 1).Truncate(time.Millisecond)
}

// checkSize says whether a policy's bytes fit the accord.
func checkSize(set *settings.Settings) error {
	if n := len(policyOf(set).Append(nil)); n > leases.MaxBody {
		return settings.Faults{set.Fault("policy", fmt.Sprintf("has %d bytes, at most %d fit the accord: fewer or shorter names", n, leases.MaxBody))}
	}
	return nil
}

// canKeepQuotas checks a policy of the fleet against this dispatcher.
func (d *dispatcher) canKeepQuotas(p policy.Policy) error {
	if len(p.Quotas) == 0 {
		return nil
	}
	if d.set.Quotas == nil {
		return errors.New("it sets policy.quotas, and this dispatcher has no quotas(...)")
	}
	if key, err := fitsQuotas(d.cfg, p); err != nil {
		return fmt.Errorf("policy.%s: %w", key, err)
	}
	return nil
}
