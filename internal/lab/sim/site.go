package sim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"tinsail/internal/balance"
	"tinsail/internal/lab/judge"
)

// Class is one class of reqs. A scenario that names none has one, made of its own figures.
type Class struct {
	Name          string
	Share         float64 // of first reqs, relative to the other classes'
	Work          float64 // mean of a job on the yardstick, ms
	Spread        float64 // of the logarithm of a job's work
	AttemptSpread float64 // of that of an attempt's, about its job's
	Aim           float64 // served in time is within this and Stretch times the job's own work
	Stretch       float64
	Deadline      float64 // all tries together
	Worth         float64
	TwoSlotShare  float64 // part of the jobs that take two slots
	Effect        balance.Effect
	RepeatWindow  float64 // in which a pod drops repeats, of a keyed class
	Urgent        bool
}

// Site is what a site's settings say beside its classes. Zero values leave what the variant's settings have.
type Site struct {
	Unweighted     bool    // a backend's slots are not told
	ProgressEvery  float64 // a running job's share is told this often, ms
	WorthByWork    bool    // a req's worth grows with its work
	EstimateSpread float64 // reqs carry a guess of their work: the spread of its logarithm
	Mix            balance.Mix
	StartCapacity  float64
	WarmAfter      float64
	FallMultiple   float64
	ConnectTimeout float64 // a connection's time, ms
	OverShareWorth float64 // worth of a req beyond its tenant's share
}

// HeavyPeriod has part of a class's reqs cost so many times as much, for a while.
type HeavyPeriod struct {
	From, To          float64
	Class             string // empty for all
	Share, WorkFactor float64
}

// ListDelay has the dispatchers hear of changes later by this, for a while.
type ListDelay struct{ From, To, Delay float64 }

var effects = [...]judge.Effect{balance.Safe: judge.Repeatable, balance.Deduped: judge.Deduped, balance.Unsafe: judge.NonIdempotent}

// classes are those of the scenario, one at least.
func (sc *Scenario) classes() []Class {
	if len(sc.Classes) > 0 {
		return sc.Classes
	}
	return []Class{{Name: "all", Share: 1, Work: sc.Work, Spread: sc.Spread, Aim: sc.Aim, Stretch: sc.Stretch, Deadline: sc.Deadline, Worth: 1, Effect: balance.Deduped}}
}

// pick draws a class by its share.
func pick(classes []Class, chance *rand.Rand) int {
	sum := 0.0
	for i := range classes {
		sum += classes[i].Share
	}
	at := chance.Float64() * sum
	for i := range classes {
		if at -= classes[i].Share; at < 0 {
			return i
		}
	}
	return len(classes) - 1
}

// draw adds to an arrival what is drawn of it beside its time; z is the chance of its work.
func (sc *Scenario) draw(at, z float64, classes []Class, chance *rand.Rand) Arrival {
	a := Arrival{At: at, Slots: 1}
	if len(classes) > 1 {
		a.Class = pick(classes, chance)
	}
	c := &classes[a.Class]
	a.Work = c.Work * math.Exp(c.Spread*z-c.Spread*c.Spread/2)
	if c.TwoSlotShare > 0 && chance.Float64() < c.TwoSlotShare {
		a.Slots = 2
	}
	for _, h := range sc.HeavyPeriods {
		if at >= h.From && at < h.To && (h.Class == "" || h.Class == c.Name) && chance.Float64() < h.Share {
			a.Work *= h.WorkFactor
		}
	}
	if g := sc.Site.EstimateSpread; g > 0 {
		a.WorkEstimate = a.Work * math.Exp(g*chance.NormFloat64()-g*g/2)
	}
	return a
}

// settings are a variant's, with what the scenario says of its site.
func (sc *Scenario) settings(s balance.Settings) balance.Settings {
	put := func(to *float64, v float64) {
		if v > 0 {
			*to = v
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
	put(&s.ProgressEvery, sc.Site.ProgressEvery)
	put(&s.Rules.StartCapacity, sc.Site.StartCapacity)
	put(&s.Rules.WarmAfter, sc.Site.WarmAfter)
	put(&s.Rules.FallMultiple, sc.Site.FallMultiple)
	put(&s.ConnectTimeout, sc.Site.ConnectTimeout)
	if sc.Report.Period > 0 {
		s.ReportInAnswer, s.Metrics = true, []balance.Metric{balance.MetricFreeSlots}
	}
	put(&s.OverShareWorth, sc.Site.OverShareWorth)
	if len(sc.Tenants) > 0 && sc.Quotas.Lease == 0 { // else no tenant has more than its quota, and none is metered
		s.Tenants = sc.moduleTenants()
	}
	s.Instances = max(sc.Dispatchers, 1)
	return s
}

// checkSite says what is wrong with the classes, restarts and times of a scenario.
func (sc *Scenario) checkSite() error {
	names := map[string]bool{"": true}
	for _, c := range sc.classes() {
		switch {
		case names[c.Name]:
			return fmt.Errorf("class %q stands there twice, or has no name", c.Name)
		case !(c.Work > 0) || !(c.Deadline > 0) || !(c.Share > 0) && len(sc.Tenants) == 0:
			return fmt.Errorf("class %q: work, deadline and share must be more than 0", c.Name)
		}
		names[c.Name] = true
	}
	for _, h := range sc.HeavyPeriods {
		if !names[h.Class] {
			return fmt.Errorf("heavy reqs of class %q, which is none", h.Class)
		}
	}
	for _, r := range sc.Restarts {
		if r.Dispatcher < 0 || r.Dispatcher >= max(sc.Dispatchers, 1) {
			return fmt.Errorf("dispatcher %d restarts, which is none", r.Dispatcher)
		}
	}
	return sc.checkTenants()
}
