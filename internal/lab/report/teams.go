package report

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tinsail/internal/lab/experiment"
	"tinsail/internal/lab/sim"
)

// urgentAim is the time within which urgent jobs must start, in microseconds.
const urgentAim = 2_300_000

// LateShare returns the share of urgent requests whose job started after urgentAim, or never.
func LateShare(t *sim.TenantsResult) float64 {
	n := t.UrgentStartDelay.TotalCount() + int64(t.UrgentNeverStarted)
	return float64(n-countWithin(t.UrgentStartDelay, urgentAim)) / float64(max(n, 1))
}

func countWithin(h *hdrhistogram.Histogram, limit int64) (n int64) {
	for _, b := range h.Distribution() {
		if b.To <= limit {
			n += b.Count
		}
	}
	return n
}

// TeamTotals accumulates the results of several runs of one variant.
type TeamTotals struct {
	Name                      string
	WorstShares, Utilizations []float64 // one value a run: the share of the worst-off team, and the use of all quotas
	MaxOverQuota              float64   // maximum over all runs of what a team had at once, in multiples of its quota
	ShareSums                 []float64 // by team, summed over the runs: jobs running without urgent ones, divided by the quota
	Quotas                    []int
	Urgent                    *hdrhistogram.Histogram
	NeverStarted              int
	MaxByteRate               float64 // bytes per second of the busiest dispatcher in any run
	Violations                int
}

// Add adds the result of a run.
func (s *TeamTotals) Add(r *sim.Result) {
	t := &r.Tenants
	s.WorstShares, s.Utilizations, s.MaxOverQuota = append(s.WorstShares, t.WorstShare()), append(s.Utilizations, t.Utilization()), max(s.MaxOverQuota, t.MaxOverQuota())
	s.Violations += r.ViolationCount + r.Quotas.ViolationCount
	s.MaxByteRate = max(s.MaxByteRate, r.Quotas.MaxByteRate)
	if s.Urgent == nil {
		s.ShareSums, s.Urgent = make([]float64, len(t.ByTenant)), hdrhistogram.New(1, 100_000_000_000, 3)
		for i := range t.ByTenant {
			s.Quotas = append(s.Quotas, t.ByTenant[i].Quota)
		}
	}
	for i := range t.ByTenant {
		s.ShareSums[i] += (t.ByTenant[i].Running - t.ByTenant[i].RunningUrgent) / float64(t.ByTenant[i].Quota)
	}
	s.Urgent.Merge(t.UrgentStartDelay)
	s.NeverStarted += t.UrgentNeverStarted
}

func (s *TeamTotals) String() string {
	n := s.Urgent.TotalCount() + int64(s.NeverStarted)
	return fmt.Sprintf("worst off within its quota %v, use %v, at most %.3f times a quota, %d of %d urgent reqs within 2.3 s (p50 %.3f s, p99.9 %.3f s), %.0f bytes/s at a dispatcher at most, %d broken",
		experiment.Bootstrap(s.WorstShares, 0.95), experiment.Bootstrap(s.Utilizations, 0.95), s.MaxOverQuota, countWithin(s.Urgent, urgentAim), n, percentileSeconds(s.Urgent, 50), percentileSeconds(s.Urgent, 99.9), s.MaxByteRate, s.Violations)
}

func percentileSeconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e6
}

// TeamsLine returns a summary of a run in one line.
func TeamsLine(r *sim.Result) string {
	t, q := &r.Tenants, &r.Quotas
	out := fmt.Sprintf("running %.0f of %.0f slots, use %.4f, worst off %.4f, over %.3f; urgent %d, p50 %.3f s, p99.9 %.3f s, late %.5f; rules broken %d",
		t.Running, t.Slots, t.Utilization(), t.WorstShare(), t.MaxOverQuota(), t.UrgentStartDelay.TotalCount()+int64(t.UrgentNeverStarted), percentileSeconds(t.UrgentStartDelay, 50), percentileSeconds(t.UrgentStartDelay, 99.9), LateShare(t), r.ViolationCount)
	if q.UrgentGrantDelay != nil {
		out += fmt.Sprintf("; room p99.9 %.3f s, %.1f messages/s and %.0f bytes/s a dispatcher (most %.0f), %d beyond quotas, %v", percentileSeconds(q.UrgentGrantDelay, 99.9), q.MeanMessageRate, q.MeanByteRate, q.MaxByteRate, q.ViolationCount, q.Events)
	}
	worst := slices.Clone(t.ByTenant)
	slices.SortFunc(worst, func(a, b sim.TenantResult) int { return cmp.Compare(a.EntitlementShare(), b.EntitlementShare()) })
	for _, e := range worst[:min(len(worst), 4)] {
		out += fmt.Sprintf("; %s %.3f of %.1f", e.Name, e.EntitlementShare(), e.Entitlement())
	}
	unitsInFlight := 0.0
	for i := range t.ByTenant {
		unitsInFlight += t.ByTenant[i].InFlight
	}
	if q.UrgentGrantDelay != nil {
		out += fmt.Sprintf(", %.0f units in flight", unitsInFlight)
	}
	return out
}

// PlotTeams writes two plots into a folder: the share of its quota that each team used, and how long urgent requests
// waited.
func PlotTeams(folder, name string, all ...*TeamTotals) error {
	shares, waits := plot.New(), plot.New()
	shares.Title.Text, shares.X.Label.Text, shares.Y.Label.Text = "What each team got, "+name, "team, as the scenario names them", "part of its quota, mean"
	waits.Title.Text, waits.X.Label.Text, waits.Y.Label.Text = "How long urgent reqs waited, "+name, "s until the job began", "part that waited longer"
	shares.Y.Scale, shares.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	waits.X.Scale, waits.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	waits.Y.Scale, waits.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, s := range all {
		if len(s.WorstShares) == 0 {
			continue
		}
		var dots, line plotter.XYs
		for k, p := range s.ShareSums {
			dots = append(dots, plotter.XY{X: float64(k + 1), Y: max(p/float64(len(s.WorstShares)), 0.01)})
		}
		n, started := float64(s.Urgent.TotalCount()+int64(s.NeverStarted)), 0.0
		for _, b := range s.Urgent.Distribution() {
			if b.Count > 0 {
				started += float64(b.Count)
				line = append(line, plotter.XY{X: max(float64(b.To)/1e6, 1e-4), Y: max(1-started/n, 0.5/n)})
			}
		}
		d, err := plotter.NewScatter(dots)
		if err != nil {
			return err
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		d.Color, d.Radius = plotutil.Color(i), vg.Points(1.5)
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
		shares.Add(d)
		shares.Legend.Add(s.Name, d)
		waits.Add(l)
		waits.Legend.Add(s.Name, l)
	}
	shares.Legend.Top, waits.Legend.Top = true, true
	for suffix, p := range map[string]*plot.Plot{"teams": shares, "urgent": waits} {
		if err := p.Save(width, height, filepath.Join(folder, name+"-"+suffix+".svg")); err != nil {
			return err
		}
	}
	return nil
}
