package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"tinsail/internal/lab/sim"
)

// params maps each parameter that a sweep can vary to the function that sets it.
var params = map[string]func(*sim.Scenario, float64){
	"rate":         func(s *sim.Scenario, v float64) { s.Rate = v },
	"work_ms":      func(s *sim.Scenario, v float64) { s.Work = v },
	"spread":       func(s *sim.Scenario, v float64) { s.Spread = v },
	"latency_ms":   func(s *sim.Scenario, v float64) { s.Latency = v },
	"retries":      func(s *sim.Scenario, v float64) { s.Retries = int(v) },
	"dispatchers":  func(s *sim.Scenario, v float64) { s.Dispatchers = int(v) },
	"report_delay": func(s *sim.Scenario, v float64) { s.Report.Delay = v },
}

// Params returns the names of the parameters that a sweep can vary, sorted.
func Params() []string { return slices.Sorted(maps.Keys(params)) }

// Point is the result of one variant at one value of the parameter.
type Point struct {
	Variant     string
	Value       float64
	Service     Estimate // over the seeds without a violation
	InvalidRuns []InvalidRun
}

// Sweep runs each variant at each value with the same seeds. Points are ordered by variant, then by value. It returns
// an error for an unknown parameter and for a value that makes the scenario invalid.
func Sweep(ctx context.Context, sc sim.Scenario, param string, values []float64, variants []Variant, o Options) ([]Point, error) {
	apply, known := params[param]
	if !known {
		return nil, fmt.Errorf("parameter %q, want one of %q", param, Params())
	}
	o.defaults()
	var out []Point
	for _, v := range variants {
		for _, x := range values {
			results, errs := make([]sim.Result, o.MaxSeeds), make([]error, o.MaxSeeds)
			var wg sync.WaitGroup
			workers := make(chan struct{}, o.Workers)
			for i := range results {
				wg.Go(func() {
					workers <- struct{}{}
					defer func() { <-workers }()
					if errs[i] = ctx.Err(); errs[i] != nil {
						return
					}
					run := sc
					apply(&run, x)
					run.Seed = o.Seed + uint64(i)
					results[i], errs[i] = v.simulate(run)
				})
			}
			wg.Wait()
			p := Point{Variant: v.Name, Value: x}
			var services []float64
			for i := range results {
				if errs[i] != nil {
					return out, fmt.Errorf("%s %v, seed %d: %w", param, x, o.Seed+uint64(i), errs[i])
				}
				if r := &results[i]; r.ViolationCount > 0 {
					p.InvalidRuns = append(p.InvalidRuns, InvalidRun{o.Seed + uint64(i), v.Name, r.Violations[0].String(), r.ViolationCount})
				} else {
					services = append(services, r.Service())
				}
			}
			p.Service = Bootstrap(services, o.Confidence)
			out = append(out, p)
			if o.Progress != nil {
				o.Progress(len(out), len(variants)*len(values), p.Service)
			}
		}
	}
	return out, nil
}
