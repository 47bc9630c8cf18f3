// Package experiment compares variants of a dispatcher in simulation: all variants run with the same seeds, and
// differences are reported with a confidence interval. A run that violates a rule counts in no mean and is
// reported separately.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"tinsail/internal/balance"
	"tinsail/internal/lab/sim"
)

// Variant is a dispatcher configuration to be compared.
type Variant struct {
	Name     string
	Settings balance.Settings
	Policy   sim.Policy
	// Alter, if not nil, changes the variant's copy of the scenario, to compare something other than the dispatcher's
	// settings.
	Alter func(*sim.Scenario)
}

func (v *Variant) simulate(sc sim.Scenario) (sim.Result, error) {
	if v.Alter != nil {
		v.Alter(&sc)
	}
	return sim.RunWithPolicy(sc, v.Settings, v.Policy)
}

// Options bound the length of an experiment. Zero values are replaced by the defaults named here.
type Options struct {
	Seed       uint64  // the first seed; each further run takes the next number
	MinSeeds   int     // seeds without a violation needed for an early stop, 8
	MaxSeeds   int     // limit of seeds, 40
	StopWidth  float64 // stop early once the interval of the difference is at most this wide, 0.01; negative: never
	Confidence float64 // confidence level of the intervals, 0.95
	Workers    int     // seeds simulated concurrently, 1
	Progress   func(done, most int, diff Estimate)
}

// Estimate is a mean of N values and its confidence interval, by the percentile bootstrap (Efron 1979): percentiles
// of the means of samples drawn from the values with replacement.
type Estimate struct {
	Mean, Low, High float64
	N               int
}

func (e Estimate) String() string {
	return fmt.Sprintf("%.4f [%.4f, %.4f] of %d", e.Mean, e.Low, e.High, e.N)
}

// Overlaps reports whether two intervals have a value in common.
func (e Estimate) Overlaps(o Estimate) bool { return e.Low <= o.High && o.Low <= e.High }

// Pair holds the results of both variants with one seed.
type Pair struct {
	Seed uint64
	A, B sim.Result
}

// InvalidRun is a run that violated a rule.
type InvalidRun struct {
	Seed           uint64
	Variant        string
	FirstViolation string // text of the first violation
	Count          int
}

// Report is the result of an experiment.
type Report struct {
	A, B        string
	Pairs       []Pair // in the order of seeds, including pairs with an invalid run
	ValidPairs  int    // number of pairs without a violation; only these count in the estimates
	ServiceA    Estimate
	ServiceB    Estimate
	Diff        Estimate // B - A, paired by seed
	InvalidRuns []InvalidRun
	// Share of first requests (not retries) that were served, in time or late.
	ServedA, ServedB, ServedDiff Estimate
	StoppedEarly                 bool
}

// resamples is the number of samples that the bootstrap draws.
const resamples = 2000

// Bootstrap estimates the mean of values. Its random generator has a fixed seed, so the same values always give the
// same interval.
func Bootstrap(values []float64, confidence float64) Estimate {
	n := len(values)
	if n == 0 {
		return Estimate{Mean: math.NaN(), Low: math.Inf(-1), High: math.Inf(1)}
	}
	e := Estimate{Mean: stat.Mean(values, nil), N: n}
	if n == 1 {
		e.Low, e.High = math.Inf(-1), math.Inf(1)
		return e
	}
	rng := rand.New(rand.NewPCG(uint64(n), 0xb007))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range n {
			sum += values[rng.IntN(n)]
		}
		means[i] = sum / float64(n)
	}
	slices.Sort(means)
	tail := (1 - confidence) / 2
	e.Low = stat.Quantile(tail, stat.Empirical, means, nil)
	e.High = stat.Quantile(1-tail, stat.Empirical, means, nil)
	// With few values the percentile interval is too narrow by about this factor (Hesterberg 2015, section 4.4).
	widen := math.Sqrt(float64(n) / float64(n-1))
	e.Low, e.High = e.Mean+(e.Low-e.Mean)*widen, e.Mean+(e.High-e.Mean)*widen
	return e
}

func (o *Options) defaults() {
	setDefault := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setDefault(&o.MinSeeds, 8)
	setDefault(&o.MaxSeeds, 40)
	setDefault(&o.Workers, 1)
	o.MaxSeeds = max(o.MaxSeeds, o.MinSeeds)
	if o.StopWidth == 0 {
		o.StopWidth = 0.01
	}
	if o.Confidence <= 0 || o.Confidence >= 1 {
		o.Confidence = 0.95
	}
}

// Compare runs both variants with each seed. Seeds are simulated concurrently, but counted in their order, so the
// report doesn't depend on which finished first. When ctx ends, Compare returns what it has so far and ctx's error.
func Compare(ctx context.Context, sc sim.Scenario, a, b Variant, o Options) (Report, error) {
	o.defaults()
	r := Report{A: a.Name, B: b.Name}
	type slot struct {
		pair Pair
		err  error
	}
	for first := 0; first < o.MaxSeeds && ctx.Err() == nil; first += o.Workers {
		batch := make([]slot, min(o.Workers, o.MaxSeeds-first))
		var wg sync.WaitGroup
		for i := range batch {
			wg.Go(func() {
				s := &batch[i]
				run := sc
				run.Seed = o.Seed + uint64(first+i)
				s.pair.Seed = run.Seed
				var errA, errB error
				s.pair.A, errA = a.simulate(run)
				s.pair.B, errB = b.simulate(run)
				s.err = errors.Join(errA, errB)
			})
		}
		wg.Wait()
		for i := range batch {
			if batch[i].err != nil {
				return r, fmt.Errorf("seed %d: %w", batch[i].pair.Seed, batch[i].err)
			}
			r.Pairs = append(r.Pairs, batch[i].pair)
			r.add(o.Confidence)
			if o.Progress != nil {
				o.Progress(len(r.Pairs), o.MaxSeeds, r.Diff)
			}
			if r.ValidPairs >= o.MinSeeds && o.StopWidth > 0 && r.Diff.High-r.Diff.Low <= o.StopWidth {
				r.StoppedEarly = len(r.Pairs) < o.MaxSeeds
				return r, nil
			}
		}
	}
	return r, ctx.Err()
}

// add updates the estimates and the invalid runs with the last pair.
func (r *Report) add(confidence float64) {
	p := &r.Pairs[len(r.Pairs)-1]
	for _, x := range []struct {
		name string
		res  *sim.Result
	}{{r.A, &p.A}, {r.B, &p.B}} {
		if x.res.ViolationCount > 0 {
			r.InvalidRuns = append(r.InvalidRuns, InvalidRun{p.Seed, x.name, x.res.Violations[0].String(), x.res.ViolationCount})
		}
	}
	var serviceA, serviceB, serviceDiff, servedA, servedB, servedDiff []float64
	for i := range r.Pairs {
		if p := &r.Pairs[i]; p.A.ViolationCount == 0 && p.B.ViolationCount == 0 {
			serviceA, serviceB = append(serviceA, p.A.Service()), append(serviceB, p.B.Service())
			serviceDiff = append(serviceDiff, p.B.Service()-p.A.Service())
			servedA, servedB = append(servedA, p.A.ServedShare()), append(servedB, p.B.ServedShare())
			servedDiff = append(servedDiff, p.B.ServedShare()-p.A.ServedShare())
		}
	}
	r.ValidPairs = len(serviceDiff)
	r.ServiceA, r.ServiceB, r.Diff = Bootstrap(serviceA, confidence), Bootstrap(serviceB, confidence), Bootstrap(serviceDiff, confidence)
	r.ServedA, r.ServedB, r.ServedDiff = Bootstrap(servedA, confidence), Bootstrap(servedB, confidence), Bootstrap(servedDiff, confidence)
}
