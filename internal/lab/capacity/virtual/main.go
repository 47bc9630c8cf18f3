// Command virtual simulates scenarios in virtual time, with and without quota lending, and records the share of its
// quota that each team received and how late urgent reqs began: rows for docs/capacity/virtual.csv, and two plots.
//
//	go run ./internal/lab/capacity/virtual -seeds 20 -rows docs/capacity/virtual.csv -plots docs/capacity lab/scenarios/quotas-greedy.star
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/report"
	"tinsail/internal/lab/script"
	"tinsail/internal/lab/sim"
)

func main() {
	seeds := flag.Int("seeds", 4, "`number` of seeds to simulate")
	first := flag.Int("first", 1, "the first `seed`")
	rows := flag.String("rows", "", "`file` that rows are appended to")
	plots := flag.String("plots", "", "`folder` for the plots")
	only := flag.String("only", "", "run only this `variant`: lent or before")
	procs := flag.Int("procs", runtime.GOMAXPROCS(0), "simulations run in parallel")
	flag.Parse()
	for _, path := range flag.Args() {
		if err := simulate(path, *first, *seeds, *procs, *rows, *plots, *only); err != nil {
			fmt.Fprintln(os.Stderr, "virtual:", err)
			os.Exit(1)
		}
	}
}

// simulate runs one scenario with each seed and variant. A broken rule is returned as an error, after all rows are
// written.
func simulate(path string, first, seeds, procs int, rows, plots, only string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	scenario, err := script.Load(filepath.Base(path), text)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(path), ".star")
	totals := map[string]*report.TeamTotals{"before": {Name: "before"}, "lent": {Name: "lent"}}
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		firstErr error
		slots    = make(chan struct{}, procs)
	)
	for seed := first; seed < first+seeds; seed++ {
		for _, variant := range []string{"before", "lent"} {
			if only != "" && only != variant {
				continue
			}
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-slots; wg.Done() }()
				s := scenario
				if s.Seed = uint64(seed); variant == "before" {
					s.Quotas, s.Partitions, s.LenderCrashes, s.QuotaChanges = sim.Quotas{}, nil, nil, nil
				}
				result, err := sim.Run(s, defaults.Settings())
				mu.Lock()
				defer mu.Unlock()
				if err == nil && rows != "" {
					err = capacity.Append(rows, resultRows(name, variant, seed, &result)...)
				}
				if err == nil {
					totals[variant].Add(&result)
					fmt.Printf("%s %s seed %d: %s\n", name, variant, seed, report.TeamsLine(&result))
				}
				if err == nil && (result.ViolationCount > 0 || variant == "lent" && result.Quotas.ViolationCount > 0) {
					err = fmt.Errorf("%s, seed %d: %d rule violations, %d reqs begun beyond a quota: %v %v", name, seed, result.ViolationCount, result.Quotas.ViolationCount, result.Violations, result.Quotas.Violations)
				}
				if firstErr == nil {
					firstErr = err
				}
			}()
		}
	}
	wg.Wait()
	for _, variant := range []string{"before", "lent"} {
		if len(totals[variant].WorstShares) > 0 {
			fmt.Println(name, variant, totals[variant])
		}
	}
	if firstErr == nil && plots != "" {
		firstErr = report.PlotTeams(plots, name, totals["before"], totals["lent"])
	}
	return firstErr
}

// resultRows returns the rows recorded for one simulation.
func resultRows(name, variant string, seed int, result *sim.Result) []capacity.Row {
	tenants, quotas := &result.Tenants, &result.Quotas
	row := func(measure, unit string, y float64) capacity.Row {
		return capacity.Row{Slope: "virtual-" + name + "-" + measure, Unit: unit, Against: "seed", X: float64(seed), Y: y, Method: capacity.Virtual, Note: variant}
	}
	rows := []capacity.Row{
		row("least-part", "of its quota, the worst off within it", tenants.WorstShare()),
		row("most-over", "times a quota at one moment", tenants.MaxOverQuota()),
		row("use", "of all quotas", tenants.Utilization()),
		row("urgent-late", "of urgent reqs, begun later than 2.3 s", report.LateShare(&result.Tenants)),
		row("urgent-p999", "s", float64(tenants.UrgentStartDelay.ValueAtQuantile(99.9))/1e6),
		row("broken", "rules", float64(result.ViolationCount+quotas.ViolationCount)),
	}
	if quotas.UrgentGrantDelay != nil {
		rows = append(rows, row("room-p999", "s", float64(quotas.UrgentGrantDelay.ValueAtQuantile(99.9))/1e6),
			row("bytes-most", "bytes a second of the dispatcher with most", quotas.MaxByteRate), row("bytes-mean", "bytes a second of a dispatcher", quotas.MeanByteRate),
			row("messages-mean", "messages a second of a dispatcher", quotas.MeanMessageRate))
	}
	return rows
}
