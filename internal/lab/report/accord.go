package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot/plotter"

	"tinsail/internal/lab/experiment"
	"tinsail/internal/lab/sim"
)

// hasAccord reports whether the dispatchers accepted requests under policy versions of the accord.
func hasAccord(r *experiment.Report) bool {
	return len(r.Pairs) > 0 && r.Pairs[0].A.Accord.Most > 0
}

func servedBySecond(r *experiment.Report, a bool) plotter.XYs {
	return shareBySecond(r, a, func(s sim.Second) int { return s.Kept })
}

// writeAccord writes the accord's results, if the scenario has an accord: means over all seeds, and the maximum number of
// versions in use at once.
func writeAccord(out io.Writer, r *experiment.Report) {
	if !hasAccord(r) {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "served\tA %v\tB %v\tB - A %v\n", r.ServedA, r.ServedB, r.ServedDiff)
	for _, a := range []bool{true, false} {
		var sum sim.AccordResult
		first, n := 0, float64(len(r.Pairs))
		forEachRun(r, a, func(x *sim.Result) {
			first += x.First
			sum.Fenced += x.Accord.Fenced
			sum.FencedCut += x.Accord.FencedCut
			sum.Over += x.Accord.Over
			sum.OverStarts += x.Accord.OverStarts
			sum.Dark += x.Accord.Dark
			sum.Most = max(sum.Most, x.Accord.Most)
		})
		fmt.Fprintf(w, "%s\t%.0f first reqs\tfenced %.1f, where cut off %.1f\ttaken by a version that was over %.1f, begun %.1f\tversions at one moment %d\tnone took for %.0f ms\n",
			map[bool]string{true: r.A, false: r.B}[a], float64(first)/n, float64(sum.Fenced)/n, float64(sum.FencedCut)/n,
			float64(sum.Over)/n, float64(sum.OverStarts)/n, sum.Most, sum.Dark/n)
	}
	w.Flush()
}
