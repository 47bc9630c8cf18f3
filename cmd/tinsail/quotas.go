package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/config"
	leases "tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/policy"
	lending "tinsail/internal/fleet/quota"
	"tinsail/internal/network/fleet/accord"
	"tinsail/internal/network/fleet/quota"
	"tinsail/internal/settings"
)

// lender is the voter that lends a region's quota units to the region's dispatchers.
type lender struct{ region, voter string }

// parseLenders parses "region=voter" texts. Each region and each voter may occur once, and each voter must be among voters.
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

// minRegionLeaseFactor is the minimal ratio of a region's lease to a dispatcher's lease. A region's lender grants only leases that
// its own lease covers, and renews its own after each third of it (quota.NewRegionLender requires the same ratio).
const minRegionLeaseFactor = 4

// checkQuotas checks the quota settings where the schema cannot: across calls and against the configuration. cfg and set may be
// nil.
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
		return nil // checkAccord reports it
	}
	lenders, err := parseLenders(q.Lenders, voters)
	if err != nil {
		return settings.Faults{set.Fault("quotas.lenders", err.Error())}
	}
	if !slices.ContainsFunc(lenders, func(l lender) bool { return l.region == q.Region }) {
		return settings.Faults{set.Fault("quotas.region", fmt.Sprintf("is %q, which is no region of lenders", q.Region))}
	}
	if q.RegionLeaseMS < minRegionLeaseFactor*q.LeaseMS {
		return settings.Faults{set.Fault("quotas.region_lease_ms", fmt.Sprintf("is %d, want at least %d times lease_ms, which is %d",
			q.RegionLeaseMS, minRegionLeaseFactor, q.LeaseMS))}
	}
	if set.Policy == nil || cfg == nil {
		return nil
	}
	if key, err := checkQuotasAgainst(cfg, policyOf(set)); err != nil {
		return settings.Faults{set.Fault("policy."+key, err.Error())}
	}
	return nil
}

// checkQuotasAgainst checks the quotas of a policy against the configuration. It returns the key at fault.
func checkQuotasAgainst(cfg *config.Config, p policy.Policy) (key string, err error) {
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
	if run := millis(p.RunMS); p.RunMS > 0 && run < maxRunTime(cfg) {
		return "run_ms", fmt.Errorf("is %d, want at least %d: the longest deadline of a class and the answer slack", p.RunMS,
			maxRunTime(cfg).Milliseconds())
	}
	return "", nil
}

// maxRunTime returns the longest time that a request is in flight if its client states no deadline of its own: the longest deadline
// of the configuration's classes plus the answer slack, rounded up to whole milliseconds.
func maxRunTime(cfg *config.Config) time.Duration {
	run := cfg.LongestDeadline() + time.Duration(cfg.Settings.Rules.AnswerSlack*float64(time.Millisecond))
	return (run + time.Millisecond - 1).Truncate(time.Millisecond)
}

// checkPolicySize reports a policy whose encoding is too long for the accord.
func checkPolicySize(set *settings.Settings) error {
	if n := len(policyOf(set).Append(nil)); n > leases.MaxBody {
		return settings.Faults{set.Fault("policy", fmt.Sprintf("has %d bytes, at most %d fit the accord: fewer or shorter names", n, leases.MaxBody))}
	}
	return nil
}

// fleetQuotas implements core.Quotas: it maps the core's numbers of tenants and classes to their names, and applies the policy in
// force.
type fleetQuotas struct {
	tenants, classes []string
	defaultRunTime   time.Duration // limit of a request's time in flight if the policy sets none
	runTime          atomic.Int64  // the limit in force, in nanoseconds
	urgent           atomic.Pointer[[]bool]

	mu      sync.Mutex // guards latest and setting limiter; not held while a request is accepted
	latest  *policy.Policy
	limiter atomic.Pointer[quota.Quota]
}

// newFleetQuotas returns the quotas to which the accord applies policies; nil if the settings declare no quotas.
func newFleetQuotas(cfg *config.Config, set *settings.Settings) *fleetQuotas {
	if set.Quotas == nil {
		return nil
	}
	f := &fleetQuotas{tenants: cfg.Names.Tenants, classes: cfg.Names.Classes, defaultRunTime: maxRunTime(cfg)}
	f.applyPolicy(policy.Policy{})
	f.latest = nil
	return f
}

// applyPolicy puts a policy in force. The accord calls it, and may do so before the quotas' limiter is attached.
func (f *fleetQuotas) applyPolicy(p policy.Policy) {
	urgent := make([]bool, len(f.classes))
	for i, class := range f.classes {
		urgent[i] = slices.Contains(p.UrgentClasses, class)
	}
	f.urgent.Store(&urgent)
	run := f.defaultRunTime // set also without quotas, so that requests in flight have a limit when a policy introduces quotas
	if p.RunMS > 0 {
		run = millis(p.RunMS)
	}
	f.runTime.Store(int64(run))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.latest = &p; f.limiter.Load() != nil {
		f.limiter.Load().ApplyPolicy(p)
	}
}

// attach has q decide from now on. q first gets the policy that is already in force.
func (f *fleetQuotas) attach(q *quota.Quota) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.latest != nil {
		q.ApplyPolicy(*f.latest)
	}
	f.limiter.Store(q)
}

// Acquire implements core.Quotas. A request without a tenant counts against no quota.
func (f *fleetQuotas) Acquire(tenant, class int, until time.Time, ready func(from time.Time, retryAfter time.Duration, ok bool)) (release func()) {
	if tenant < 0 || tenant >= len(f.tenants) {
		ready(time.Now(), 0, true)
		return func() {}
	}
	urgent := *f.urgent.Load()
	return f.limiter.Load().Acquire(f.tenants[tenant], class >= 0 && class < len(urgent) && urgent[class], until, ready)
}

// MaxHold implements core.Quotas: the longest time that a request may hold its unit.
func (f *fleetQuotas) MaxHold() time.Duration { return time.Duration(f.runTime.Load()) }

// addQuotas starts this dispatcher's part in the quotas. It is called after addAccord and before the core runs.
func (d *dispatcher) addQuotas(set *settings.Settings, from handoverData) error {
	if d.quotas == nil {
		return nil
	}
	voters, err := accord.ParseVoters(set.Accord.Voters)
	if err != nil {
		return settings.Faults{set.Fault("accord.voters", err.Error())}
	}
	lenders, err := parseLenders(set.Quotas.Lenders, voters)
	if err != nil {
		return settings.Faults{set.Fault("quotas.lenders", err.Error())}
	}
	epoch, err := nextEpoch(statePath(d.cfg, "epoch"), hostOS.wallClock())
	if err != nil {
		d.log.Error().Err(err).Msg("epoch not stored: after a step back of the wall clock lenders would take this process for an earlier one")
	}
	cfg := quota.Config{Name: d.cfg.Name, Epoch: epoch, Region: set.Quotas.Region, RegionLease: millis(set.Quotas.RegionLeaseMS), Log: d.log,
		Leases: lending.LeaseConfig{Lease: millis(set.Quotas.LeaseMS), MaxRunTime: maxRunTime(d.cfg), Drift: set.Accord.Drift}}
	if from.link != nil { // the old process uses its units until it is drained, so the two must not count as incarnations of one name
		cfg.Name = fmt.Sprintf("%s.%x", d.cfg.Name, epoch)
	}
	for _, l := range lenders {
		for _, v := range voters {
			if v.Name == l.voter {
				cfg.Lenders = append(cfg.Lenders, quota.Lender{Region: l.region, Voter: l.voter, Address: v.Address})
			}
		}
	}
	q, err := quota.New(cfg, d.accord)
	if err != nil {
		return errors.Join(errors.New("quotas"), err)
	}
	d.quotas.attach(q)
	d.core.Quotas = d.quotas
	if !set.Accord.ContinueWhenCut() {
		d.log.Warn().Str("when_cut", set.Accord.WhenCut).Msg("quotas: a region that is cut off from the accord's leader accepts no requests, even if " +
			"it holds units, as accord.when_cut is \"stop\"; with \"keep\" it would go on using them")
	}
	return nil
}

// checkPolicyQuotas reports why this dispatcher cannot apply the quotas of a policy of the fleet.
func (d *dispatcher) checkPolicyQuotas(p policy.Policy) error {
	if len(p.Quotas) == 0 {
		return nil
	}
	if d.settings.Quotas == nil {
		return errors.New("it sets policy.quotas, and this dispatcher has no quotas(...)")
	}
	if key, err := checkQuotasAgainst(d.cfg, p); err != nil {
		return fmt.Errorf("policy.%s: %w", key, err)
	}
	return nil
}
