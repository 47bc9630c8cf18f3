package sim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"tinsail/internal/balance"
	"tinsail/internal/lab/judge"
)

// Class is one class of reqs. A scenario without classes has one, made from the scenario's own Work, Spread, Aim, Stretch
// and Deadline.
type Class struct {
	Name          string
	Share         float64 // of reqs without retries, relative to the other classes' shares
	Work          float64 // mean of a job on one core of the reference machine, ms
	Spread        float64 // standard deviation of the logarithm of a job's work
	AttemptSpread float64 // standard deviation of the logarithm of an attempt's work, relative to its job's
	Aim           float64 // a req is in time if it is served within Aim + Stretch times its job's own work
	Stretch       float64
	Deadline      float64 // over all tries together
	Worth         float64
	TwoSlotShare  float64 // of jobs that take two slots
	Effect        balance.Effect
	RepeatWindow  float64 // how long a pod recognizes and drops repeats of a class with idempotency keys, ms
	Urgent        bool
}

// Site holds a site's settings beside its classes. Zero values keep the variant's settings.
type Site struct {
	Unweighted     bool    // the director lists backends without weights for their slots
	ProgressEvery  float64 // interval of the progress reports of a running job, ms
	WorthByWork    bool    // a req's worth is proportional to its work
	EstimateSpread float64 // if above 0, reqs carry an estimate of their work: standard deviation of the logarithm of its error
	Mix            balance.Mix
	StartCapacity  float64
	WarmAfter      float64
	FallMultiple   float64
	ConnectTimeout float64 // for opening a connection, ms
	OverShareWorth float64 // worth of a req beyond its tenant's share
}

// HeavyPeriod multiplies the work of a share of a class's reqs between two times.
type HeavyPeriod struct {
	From, To          float64
	Class             string // empty for all classes
	Share, WorkFactor float64
}

// ListDelay delays the director's changes on their way to the dispatchers between two times.
type ListDelay struct{ From, To, Delay float64 }

var judgeEffects = [...]judge.Effect{balance.Safe: judge.Repeatable, balance.Deduped: judge.Deduped, balance.Unsafe: judge.NonIdempotent}

// classes returns the scenario's classes, at least one.
func (sc *Scenario) classes() []Class {
	if len(sc.Classes) > 0 {
		return sc.Classes
	}
	return []Class{{Name: "all", Share: 1, Work: sc.Work, Spread: sc.Spread, Aim: sc.Aim, Stretch: sc.Stretch, Deadline: sc.Deadline, Worth: 1, Effect: balance.Deduped}}
}

// drawClass draws the index of a class by the classes' shares.
func drawClass(classes []Class, random *rand.Rand) int {
	sum := 0.0
	for i := range classes {
		sum += classes[i].Share
	}
	point := random.Float64() * sum
	for i := range classes {
		if point -= classes[i].Share; point < 0 {
			return i
		}
	}
	return len(classes) - 1
}

// drawArrival draws the properties of the req that arrives at a time; z is the standard normal variate for its work.
func (sc *Scenario) drawArrival(at, z float64, classes []Class, random *rand.Rand) Arrival {
	a := Arrival{At: at, Slots: 1}
	if len(classes) > 1 {
		a.Class = drawClass(classes, random)
	}
	c := &classes[a.Class]
	a.Work = c.Work * math.Exp(c.Spread*z-c.Spread*c.Spread/2)
	if c.TwoSlotShare > 0 && random.Float64() < c.TwoSlotShare {
		a.Slots = 2
	}
	for _, h := range sc.HeavyPeriods {
		if at >= h.From && at < h.To && (h.Class == "" || h.Class == c.Name) && random.Float64() < h.Share {
			a.Work *= h.WorkFactor
		}
	}
	if g := sc.Site.EstimateSpread; g > 0 {
		a.WorkEstimate = a.Work * math.Exp(g*random.NormFloat64()-g*g/2)
	}
	return a
}

// settings returns a variant's settings with the scenario's classes, site and tenants applied.
func (sc *Scenario) settings(s balance.Settings) balance.Settings {
	setIfPositive := func(target *float64, value float64) {
		if value > 0 {
			*target = value
		}
	}
	if len(sc.Classes) > 0 {
		s.Classes = nil
		for _, c := range sc.Classes {
			s.Classes = append(s.Classes, balance.Class{Worth: c.Worth, Aim: c.Aim, Stretch: c.Stretch, Deadline: c.Deadline,
				Effect: c.Effect, Scope: balance.ScopeCell, RepeatWindow: c.RepeatWindow, Kind: -1})
		}
	}
	if sc.Site.Unweighted {
		s.Weight = balance.WeightNone
	}
	s.WorthByWork = s.WorthByWork || sc.Site.WorthByWork
	if sc.Site.Mix != (balance.Mix{}) {
		s.Mix = sc.Site.Mix
	}
	setIfPositive(&s.ProgressEvery, sc.Site.ProgressEvery)
	setIfPositive(&s.Rules.StartCapacity, sc.Site.StartCapacity)
	setIfPositive(&s.Rules.WarmAfter, sc.Site.WarmAfter)
	setIfPositive(&s.Rules.FallMultiple, sc.Site.FallMultiple)
	setIfPositive(&s.ConnectTimeout, sc.Site.ConnectTimeout)
	if sc.Report.Period > 0 {
		s.ReportInAnswer, s.Metrics = true, []balance.Metric{balance.MetricFreeSlots}
	}
	setIfPositive(&s.OverShareWorth, sc.Site.OverShareWorth)
	if len(sc.Tenants) > 0 && sc.Quotas.Lease == 0 { // with quotas no tenant exceeds its quota, so that none is metered
		s.Tenants = sc.moduleTenants()
	}
	s.Instances = max(sc.Dispatchers, 1)
	return s
}

// checkSite validates the scenario's classes, heavy periods, restarts and tenants.
func (sc *Scenario) checkSite() error {
	names := map[string]bool{"": true}
	for _, c := range sc.classes() {
		switch {
		case names[c.Name]:
			return fmt.Errorf("class %q is listed twice or has no name", c.Name)
		case !(c.Work > 0) || !(c.Deadline > 0) || !(c.Share > 0) && len(sc.Tenants) == 0:
			return fmt.Errorf("class %q: work, deadline and share must be more than 0", c.Name)
		}
		names[c.Name] = true
	}
	for _, h := range sc.HeavyPeriods {
		if !names[h.Class] {
			return fmt.Errorf("heavy period for class %q, which does not exist", h.Class)
		}
	}
	for _, r := range sc.Restarts {
		if r.Dispatcher < 0 || r.Dispatcher >= max(sc.Dispatchers, 1) {
			return fmt.Errorf("restart of dispatcher %d, which does not exist", r.Dispatcher)
		}
	}
	return sc.checkTenants()
}
