package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"tinsail/internal/lab/sim"
)

// params are what a sweep may vary, and how.
var params = map[string]func(*sim.Scenario, float64){
	"rate":         func(s *sim.Scenario, v float64) { s.Rate = v },
	"work_ms":      func(s *sim.Scenario, v float64) { s.Work = v },
	"spread":       func(s *sim.Scenario, v float64) { s.Spread = v },
	"latency_ms":   func(s *sim.Scenario, v float64) { s.Latency = v },
	"retries":      func(s *sim.Scenario, v float64) { s.Retries = int(v) },
	"dispatchers":  func(s *sim.Scenario, v float64) { s.Dispatchers = int(v) },
	"report_delay": func(s *sim.Scenario, v float64) { s.Report.Delay = v },
}

// Params are the names of what a sweep may vary, sorted.
func Params() []string { return slices.Sorted(maps.Keys(params)) }

// Point is one variant at one value of the parameter.
type Point struct {
	Variant     string
	Value       float64
	Service     Estimate // of the seeds on which no rule was broken
	InvalidRuns []InvalidRun
}

// Sweep plays each variant at each value on the same seeds. Points come in the order of variants, then values. The error names a
// parameter that is none, or what is wrong with a scenario that a value makes.
func Sweep(ctx context.Context, sc sim.Scenario, param string, values []float64, variants []Variant, o Options) ([]Point, error) {
	set, known := params[param]
	if !known {
		return nil, fmt.Errorf("parameter %q, want one of %q", param, Params())
	}
	o.defaults()
	var out []Point
	for _, v := range variants {
		for _, x := range values {
			results, errs := make([]sim.Result, o.MaxSeeds), make([]error, o.MaxSeeds)
			var all sync.WaitGroup
			free := make(chan struct{}, o.Workers)
			for i := range results {
				all.Go(func() {
					free <- struct{}{}
					defer func() { <-free }()
					if errs[i] = ctx.Err(); errs[i] != nil {
						return
					}
					run := sc
					set(&run, x)
					run.Seed = o.Seed + uint64(i)
					results[i], errs[i] = v.play(run)
				})
			}
			all.Wait()
			p := Point{Variant: v.Name, Value: x}
			var good []float64
			for i := range results {
				if errs[i] != nil {
					return out, fmt.Errorf("%s %v, seed %d: %w", param, x, o.Seed+uint64(i), errs[i])
				}
				if r := &results[i]; r.Breaches > 0 {
					p.InvalidRuns = append(p.InvalidRuns, InvalidRun{o.Seed + uint64(i), v.Name, r.Broken[0].String(), r.Breaches})
				} else {
					good = append(good, r.Service())
				}
			}
			p.Service = Bootstrap(good, o.Confidence)
			out = append(out, p)
			if o.Progress != nil {
				o.Progress(len(out), len(variants)*len(values), p.Service)
			}
		}
	}
	return out, nil
}
