// Package experiment compares two variants of a dispatcher on one scenario: both play the same seeds, and the
// differences are told with an interval. A run on which a rule is broken is no part of any mean: it
// is told by itself.
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

// Variant is one of the two.
type Variant struct {
	Name     string
	Settings balance.Settings
	Policy   sim.Policy
	// Alter, where given, changes its copy of the scenario: what is compared is then no setting of the module's.
	Alter func(*sim.Scenario)
}

func (v *Variant) play(sc sim.Scenario) (sim.Result, error) {
	if v.Alter != nil {
		v.Alter(&sc)
	}
	return sim.PlayWith(sc, v.Settings, v.Policy)
}

// Options say how long an experiment goes on. Zero values are replaced by defaults.
type Options struct {
	Seed       uint64  // the first; the next are those that follow
	MinSeeds   int     // seeds before it may stop early, at least 8
	MaxSeeds   int     // seeds at most, 40
	StopWidth  float64 // it stops early once the interval of the difference is no wider, 0.01; negative: never
	Confidence float64 // of the intervals, 0.95
	Workers    int     // seeds at a time, 1
	Progress   func(done, most int, diff Estimate)
}

// Estimate is a mean and its interval, by the bootstrap (Efron 1979): percentiles of the means of
// samples drawn anew from the seeds.
type Estimate struct {
	Mean, Low, High float64
	N               int
}

func (e Estimate) String() string {
	return fmt.Sprintf("%.4f [%.4f, %.4f] of %d", e.Mean, e.Low, e.High, e.N)
}

// Overlaps says whether two intervals have a value in common.
func (e Estimate) Overlaps(o Estimate) bool { return e.Low <= o.High && o.Low <= e.High }

// Pair is what both made of one seed.
type Pair struct {
	Seed uint64
	A, B sim.Result
}

// InvalidRun is a run that broke a rule.
type InvalidRun struct {
	Seed           uint64
	Variant        string
	FirstViolation string // the first breach, in words
	Count          int
}

// Report is what came of an experiment.
type Report struct {
	A, B        string
	Pairs       []Pair // in the order of seeds, those with a broken rule too
	ValidPairs  int    // pairs on which no rule was broken: those that count below
	ServiceA    Estimate
	ServiceB    Estimate
	Diff        Estimate // of B over A, paired
	InvalidRuns []InvalidRun
	// Of first reqs, the part that was served, in time or not.
	ServedA, ServedB, ServedDiff Estimate
	StoppedEarly                 bool
}

// resamples are the bootstrap's draws.
const resamples = 2000

// Bootstrap estimates the mean of values. The draws come from a seed of their own, so that the same
// values always give the same interval.
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
	// Percentiles of few values are too narrow by about this (Hesterberg 2015, section 4.4).
	widen := math.Sqrt(float64(n) / float64(n-1))
	e.Low, e.High = e.Mean+(e.Low-e.Mean)*widen, e.Mean+(e.High-e.Mean)*widen
	return e
}

func (o *Options) defaults() {
	or := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	or(&o.MinSeeds, 8)
	or(&o.MaxSeeds, 40)
	or(&o.Workers, 1)
	o.MaxSeeds = max(o.MaxSeeds, o.MinSeeds)
	if o.StopWidth == 0 {
		o.StopWidth = 0.01
	}
	if o.Confidence <= 0 || o.Confidence >= 1 {
		o.Confidence = 0.95
	}
}

// Compare plays both variants. Seeds run at a time, but count in their order, so that the report does not depend on
// which was done first. It ends with what it has when ctx does.
func Compare(ctx context.Context, sc sim.Scenario, a, b Variant, o Options) (Report, error) {
	o.defaults()
	r := Report{A: a.Name, B: b.Name}
	type slot struct {
		pair Pair
		err  error
	}
	for first := 0; first < o.MaxSeeds && ctx.Err() == nil; first += o.Workers {
		batch := make([]slot, min(o.Workers, o.MaxSeeds-first))
		var all sync.WaitGroup
		for i := range batch {
			all.Go(func() {
				s := &batch[i]
				run := sc
				run.Seed = o.Seed + uint64(first+i)
				s.pair.Seed = run.Seed
				var errA, errB error
				s.pair.A, errA = a.play(run)
				s.pair.B, errB = b.play(run)
				s.err = errors.Join(errA, errB)
			})
		}
		all.Wait()
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

// add counts the last pair in.
func (r *Report) add(confidence float64) {
	p := &r.Pairs[len(r.Pairs)-1]
	for _, x := range []struct {
		name string
		res  *sim.Result
	}{{r.A, &p.A}, {r.B, &p.B}} {
		if x.res.Breaches > 0 {
			r.InvalidRuns = append(r.InvalidRuns, InvalidRun{p.Seed, x.name, x.res.Broken[0].String(), x.res.Breaches})
		}
	}
	var as, bs, ds, servedA, servedB, served []float64
	for i := range r.Pairs {
		if p := &r.Pairs[i]; p.A.Breaches == 0 && p.B.Breaches == 0 {
			as, bs = append(as, p.A.Service()), append(bs, p.B.Service())
			ds = append(ds, p.B.Service()-p.A.Service())
			servedA, servedB = append(servedA, p.A.ServedPart()), append(servedB, p.B.ServedPart())
			served = append(served, p.B.ServedPart()-p.A.ServedPart())
		}
	}
	r.ValidPairs = len(ds)
	r.ServiceA, r.ServiceB, r.Diff = Bootstrap(as, confidence), Bootstrap(bs, confidence), Bootstrap(ds, confidence)
	r.ServedA, r.ServedB, r.ServedDiff = Bootstrap(servedA, confidence), Bootstrap(servedB, confidence), Bootstrap(served, confidence)
}
