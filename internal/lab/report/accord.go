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
	return len(r.Pairs) > 0 && r.Pairs[0].A.Accord.MaxVersions > 0
}

func servedBySecond(r *experiment.Report, a bool) plotter.XYs {
	return shareBySecond(r, a, func(s sim.SecondCounts) int { return s.EventuallyServed })
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
			first += x.Reqs
			sum.Refused += x.Accord.Refused
			sum.RefusedWhileCut += x.Accord.RefusedWhileCut
			sum.OutdatedAccepted += x.Accord.OutdatedAccepted
			sum.OutdatedStarts += x.Accord.OutdatedStarts
			sum.Outage += x.Accord.Outage
			sum.MaxVersions = max(sum.MaxVersions, x.Accord.MaxVersions)
		})
		fmt.Fprintf(w, "%s\t%.0f first reqs\tfenced %.1f, where cut off %.1f\ttaken by a version that was over %.1f, begun %.1f\tversions at one moment %d\tnone took for %.0f ms\n",
			map[bool]string{true: r.A, false: r.B}[a], float64(first)/n, float64(sum.Refused)/n, float64(sum.RefusedWhileCut)/n,
			float64(sum.OutdatedAccepted)/n, float64(sum.OutdatedStarts)/n, sum.MaxVersions, sum.Outage/n)
	}
	w.Flush()
}
