package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot/plotter"

	"tinsail/internal/lab/experiment"
	"tinsail/internal/lab/sim"
)

// withAccord says whether the dispatchers took reqs by versions.
func withAccord(r *experiment.Report) bool {
	return len(r.Pairs) > 0 && r.Pairs[0].A.Accord.Most > 0
}

func kept(r *experiment.Report, a bool) plotter.XYs {
	return over(r, a, func(s sim.Second) int { return s.Kept })
}

// versions writes what the accord did, where there was one: means of all seeds, and most of all.
func versions(out io.Writer, r *experiment.Report) {
	if !withAccord(r) {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "served\tA %v\tB %v\tB - A %v\n", r.ServedA, r.ServedB, r.ServedDiff)
	for _, a := range []bool{true, false} {
		var sum sim.AccordResult
		first, n := 0, float64(len(r.Pairs))
		each(r, a, func(x *sim.Result) {
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
