// Command virtual plays days of the coming size in virtual time, with quotas lent and without, and keeps what each team got and
// how long urgent reqs waited: rows for docs/capacity/virtual.csv, and two plots.
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
	seeds := flag.Int("seeds", 4, "`how many` seeds to play")
	first := flag.Int("first", 1, "the first `seed`")
	rows := flag.String("rows", "", "`file` to which rows are added")
	plots := flag.String("plots", "", "`folder` for the plots")
	only := flag.String("only", "", "lent or before: only that `variant`")
	procs := flag.Int("procs", runtime.GOMAXPROCS(0), "plays at a time")
	flag.Parse()
	for _, path := range flag.Args() {
		if err := play(path, *first, *seeds, *procs, *rows, *plots, *only); err != nil {
			fmt.Fprintln(os.Stderr, "virtual:", err)
			os.Exit(1)
		}
	}
}

// play plays one scenario; a breach of a rule is an error, once all rows are kept.
func play(path string, first, seeds, procs int, rows, plots, only string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	sc, err := script.Load(filepath.Base(path), text)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(path), ".star")
	got := map[string]*report.TeamTotals{"before": {Name: "before"}, "lent": {Name: "lent"}}
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		fault error
		turns = make(chan struct{}, procs)
	)
	for seed := first; seed < first+seeds; seed++ {
		for _, variant := range []string{"before", "lent"} {
			if only != "" && only != variant {
				continue
			}
			turns <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-turns; wg.Done() }()
				s := sc
				if s.Seed = uint64(seed); variant == "before" {
					s.Quotas, s.Partitions, s.LenderCrashes, s.QuotaChanges = sim.Quotas{}, nil, nil, nil
				}
				r, err := sim.Play(s, defaults.Settings())
				mu.Lock()
				defer mu.Unlock()
				if err == nil && rows != "" {
					err = capacity.Append(rows, figures(name, variant, seed, &r)...)
				}
				if err == nil {
					got[variant].Add(&r)
					fmt.Printf("%s %s seed %d: %s\n", name, variant, seed, report.TeamsLine(&r))
				}
				if err == nil && (r.Breaches > 0 || variant == "lent" && r.Quotas.ViolationCount > 0) {
					err = fmt.Errorf("%s, seed %d: %d rules broken, %d begins beyond a quota: %v %v", name, seed, r.Breaches, r.Quotas.ViolationCount, r.Broken, r.Quotas.Violations)
				}
				if fault == nil {
					fault = err
				}
			}()
		}
	}
	wg.Wait()
	for _, v := range []string{"before", "lent"} {
		if len(got[v].WorstShares) > 0 {
			fmt.Println(name, v, got[v])
		}
	}
	if fault == nil && plots != "" {
		fault = report.PlotTeams(plots, name, got["before"], got["lent"])
	}
	return fault
}

// figures are what is kept of a play.
func figures(name, variant string, seed int, r *sim.Result) []capacity.Row {
	t, q := &r.Tenants, &r.Quotas
	row := func(what, unit string, y float64) capacity.Row {
		return capacity.Row{Slope: "virtual-" + name + "-" + what, Unit: unit, Against: "seed", X: float64(seed), Y: y, Method: capacity.Virtual, Note: variant}
	}
	out := []capacity.Row{
		row("least-part", "of its quota, the worst off within it", t.WorstShare()),
		row("most-over", "times a quota at one moment", t.MaxOverQuota()),
		row("use", "of all quotas", t.Utilization()),
		row("urgent-late", "of urgent reqs, begun later than 2.3 s", report.LateShare(&r.Tenants)),
		row("urgent-p999", "s", float64(t.UrgentStartDelay.ValueAtQuantile(99.9))/1e6),
		row("broken", "rules", float64(r.Breaches+q.ViolationCount)),
	}
	if q.UrgentGrantDelay != nil {
		out = append(out, row("room-p999", "s", float64(q.UrgentGrantDelay.ValueAtQuantile(99.9))/1e6),
			row("bytes-most", "bytes a second of the dispatcher with most", q.MaxByteRate), row("bytes-mean", "bytes a second of a dispatcher", q.MeanByteRate),
			row("messages-mean", "messages a second of a dispatcher", q.MeanMessageRate))
	}
	return out
}
