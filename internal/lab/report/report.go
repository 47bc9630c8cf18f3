// Package report formats the results of simulations for people: as text, as plots (gonum/plot), and as one
// self-contained HTML page.
package report

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgimg" // PNG
	_ "gonum.org/v1/plot/vg/vgsvg" // SVG

	"tinsail/internal/lab/experiment"
	"tinsail/internal/lab/sim"
)

// Run writes the result of one run as text.
func Run(out io.Writer, r *sim.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service\t%.4f (whole %.4f, worst 10 s %.4f)\n", r.Service(), r.InTimeShare(), r.WorstWindow)
	fmt.Fprintf(w, "first reqs\t%d: served %d (%d in time), refused %d, failed %d\n", r.Reqs, r.Served, r.InTime, r.Refused, r.Failed)
	for i := range r.Classes {
		c := &r.Classes[i]
		fmt.Fprintf(w, "class %s\t%.4f; %d of %d in time", c.Name, c.InTimeShare(), c.InTime, c.Reqs)
		for _, outcome := range slices.Sorted(maps.Keys(c.NotInTime)) {
			fmt.Fprintf(w, ", %s %d", outcome, c.NotInTime[outcome])
		}
		if c.GivenUpEarly > 0 {
			fmt.Fprintf(w, "; %d given up too early", c.GivenUpEarly)
		}
		fmt.Fprintln(w)
	}
	if r.RanTwice > 0 {
		fmt.Fprintf(w, "ran twice\t%d that must not\n", r.RanTwice)
	}
	fmt.Fprintf(w, "answers, attempts\t%d, %d\n", r.Answers, r.Attempts)
	fmt.Fprintf(w, "latency ms\tp50 %.0f, p99 %.0f, p99.9 %.0f\n", percentileMS(r.Latency, 50), percentileMS(r.Latency, 99), percentileMS(r.Latency, 99.9))
	lowest, highest := jobRange(r.AttemptsByBackend)
	fmt.Fprintf(w, "jobs at a backend\t%d to %d\n", lowest, highest)
	if a := &r.Accord; a.MaxVersions > 0 {
		fmt.Fprintf(w, "accord\tversion %d, at most %d in use at one moment; fenced %d (%d where cut off), taken by one that was over %d, none took for %.0f ms\n",
			a.Version, a.MaxVersions, a.Refused, a.RefusedWhileCut, a.OutdatedAccepted, a.Outage)
	}
	fmt.Fprintf(w, "log\t%016x, %d events, %d steps\n", r.LogHash, r.LogEvents, r.Steps)
	if r.ViolationCount == 0 {
		fmt.Fprintf(w, "rules\tkept\n")
	} else {
		fmt.Fprintf(w, "rules\tBROKEN %d times:\n", r.ViolationCount)
		for _, b := range r.Violations[:min(len(r.Violations), 5)] {
			fmt.Fprintf(w, "\t%s\n", b)
		}
	}
	w.Flush()
}

func percentileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func jobRange(load map[string]int) (lowest, highest int) {
	first := true
	for _, n := range load {
		if first || n < lowest {
			lowest = n
		}
		highest, first = max(highest, n), false
	}
	return lowest, highest
}

// Text writes the result of an experiment as text.
func Text(out io.Writer, r *experiment.Report) {
	fmt.Fprintf(out, "service, 95%% intervals by the bootstrap; %d seeds, %d without a broken rule%s\n", len(r.Pairs), r.ValidPairs,
		map[bool]string{true: ", stopped early"}[r.StoppedEarly])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "A\t%s\t%v\n", r.A, r.ServiceA)
	fmt.Fprintf(w, "B\t%s\t%v\n", r.B, r.ServiceB)
	fmt.Fprintf(w, "B - A\tpaired\t%v\n", r.Diff)
	w.Flush()
	fmt.Fprintln(out, Verdict(r))
	writeAccord(out, r)
	for _, b := range r.InvalidRuns {
		fmt.Fprintf(out, "seed %d: %s BROKE a rule, %d times; %s\n", b.Seed, b.Variant, b.Count, b.FirstViolation)
	}
}

// Verdict states in words whether B serves more or less than A, judged by the interval of the difference.
func Verdict(r *experiment.Report) string {
	switch d := r.Diff; {
	case r.ValidPairs < 2:
		return "nothing can be said: too few seeds without a broken rule"
	case d.Low > 0:
		return "B serves more"
	case d.High < 0:
		return "B serves less"
	default:
		return "no difference is seen"
	}
}

// figure is a plot and its name.
type figure struct {
	Name string
	plot *plot.Plot
}

// drawPlots draws the plots of an experiment.
func drawPlots(r *experiment.Report) ([]figure, error) {
	var out []figure
	lines := func(name, title, x, y string, series ...any) error {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
		p.Legend.Top = false
		if err := plotutil.AddLines(p, series...); err != nil {
			return err
		}
		out = append(out, figure{name, p})
		return nil
	}
	if err := lines("service", "Served in time, mean of all seeds", "second", "part", r.A, inTimeBySecond(r, true), r.B, inTimeBySecond(r, false)); err != nil {
		return nil, err
	}
	if hasAccord(r) {
		if err := lines("served", "Served in time or late, mean of all seeds", "second", "part", r.A, servedBySecond(r, true), r.B, servedBySecond(r, false)); err != nil {
			return nil, err
		}
	}
	if err := lines("latency", "Latency of what was served", "ms", "part", r.A, latencyCurve(r, true), r.B, latencyCurve(r, false)); err != nil {
		return nil, err
	}
	if err := lines("load", "Jobs begun at each backend, the busiest first, mean of all seeds", "backend", "jobs", r.A, loadByBackend(r, true), r.B, loadByBackend(r, false)); err != nil {
		return nil, err
	}
	mix := plot.New()
	mix.Title.Text, mix.Y.Label.Text = "What became of first reqs, mean of all seeds", "part"
	for i, side := range []bool{true, false} {
		bars, err := plotter.NewBarChart(answerShares(r, side), vg.Points(28))
		if err != nil {
			return nil, err
		}
		bars.Color, bars.Offset = plotutil.Color(i), vg.Points(float64(30*i-15))
		mix.Add(bars)
		mix.Legend.Add([]string{r.A, r.B}[i], bars)
	}
	mix.Legend.Top = true
	mix.NominalX("in time", "late", "refused", "failed")
	out = append(out, figure{"answers", mix})
	diff := plot.New()
	diff.Title.Text, diff.X.Label.Text, diff.Y.Label.Text = "B - A by seed, with the mean and its interval", "seed", "service"
	points := make(plotter.XYs, len(r.Pairs))
	for i := range r.Pairs {
		points[i] = plotter.XY{X: float64(r.Pairs[i].Seed), Y: r.Pairs[i].B.Service() - r.Pairs[i].A.Service()}
	}
	if err := plotutil.AddScatters(diff, points); err != nil {
		return nil, err
	}
	if n := len(points); n > 0 && r.ValidPairs > 1 {
		for _, y := range []float64{r.Diff.Low, r.Diff.Mean, r.Diff.High} {
			l, err := plotter.NewLine(plotter.XYs{{X: points[0].X, Y: y}, {X: points[n-1].X, Y: y}})
			if err != nil {
				return nil, err
			}
			if y != r.Diff.Mean {
				l.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
			}
			diff.Add(l)
		}
	}
	return append(out, figure{"difference", diff}), nil
}

func forEachRun(r *experiment.Report, a bool, f func(*sim.Result)) {
	for i := range r.Pairs {
		if a {
			f(&r.Pairs[i].A)
		} else {
			f(&r.Pairs[i].B)
		}
	}
}

func inTimeBySecond(r *experiment.Report, a bool) plotter.XYs {
	return shareBySecond(r, a, func(s sim.SecondCounts) int { return s.InTime })
}

// shareBySecond returns, for each second, the share of its requests that count selects, over all seeds.
func shareBySecond(r *experiment.Report, a bool, count func(sim.SecondCounts) int) (out plotter.XYs) {
	var counted, total []float64
	forEachRun(r, a, func(x *sim.Result) {
		for i, s := range x.Seconds {
			for len(counted) <= i {
				counted, total = append(counted, 0), append(total, 0)
			}
			counted[i], total[i] = counted[i]+float64(count(s)), total[i]+float64(s.Arrived)
		}
	})
	for i := range counted {
		if total[i] > 0 {
			out = append(out, plotter.XY{X: float64(i), Y: counted[i] / total[i]})
		}
	}
	return out
}

func latencyCurve(r *experiment.Report, a bool) (out plotter.XYs) {
	all := hdrhistogram.New(1, 60_000_000, 3)
	forEachRun(r, a, func(x *sim.Result) { all.Merge(x.Latency) })
	for q := 0.0; q <= 99.9; q += 0.9 {
		out = append(out, plotter.XY{X: percentileMS(all, q), Y: q / 100})
	}
	return out
}

func loadByBackend(r *experiment.Report, a bool) (out plotter.XYs) {
	var sum []float64
	forEachRun(r, a, func(x *sim.Result) {
		var jobs []int
		for _, n := range x.AttemptsByBackend {
			jobs = append(jobs, n)
		}
		slices.Sort(jobs)
		slices.Reverse(jobs)
		for i, n := range jobs {
			for len(sum) <= i {
				sum = append(sum, 0)
			}
			sum[i] += float64(n)
		}
	})
	for i := range sum {
		out = append(out, plotter.XY{X: float64(i + 1), Y: sum[i] / float64(len(r.Pairs))})
	}
	return out
}

func answerShares(r *experiment.Report, a bool) plotter.Values {
	v, first := make(plotter.Values, 4), 0.0
	forEachRun(r, a, func(x *sim.Result) {
		first += float64(x.Reqs)
		v[0] += float64(x.InTime)
		v[1] += float64(x.Served - x.InTime)
		v[2] += float64(x.Refused)
		v[3] += float64(x.Failed)
	})
	for i := range v {
		v[i] /= max(first, 1)
	}
	return v
}

// Size of each plot.
const (
	width  = 16 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// Images draws all plots of an experiment in a format, svg or png. It returns the images by name, and the names in
// their order.
func Images(r *experiment.Report, format string) (map[string][]byte, []string, error) {
	list, err := drawPlots(r)
	if err != nil {
		return nil, nil, err
	}
	out, names := map[string][]byte{}, []string{}
	for _, f := range list {
		w, err := f.plot.WriterTo(width, height, format)
		if err != nil {
			return nil, nil, err
		}
		var b bytes.Buffer
		if _, err := w.WriteTo(&b); err != nil {
			return nil, nil, err
		}
		out[f.Name], names = b.Bytes(), append(names, f.Name)
	}
	return out, names, nil
}

var page = template.Must(template.New("page").Parse(`<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px/1.4 sans-serif;max-width:52em;margin:2em auto;padding:0 1em}pre{background:#f4f4f4;padding:1em;overflow:auto}img{width:100%}</style></head>
<body><h1>{{.Title}}</h1><pre>{{.Text}}</pre>{{range .Images}}<p><img alt="{{.Name}}" src="{{.Data}}"></p>{{end}}</body></html>
`))

// HTML writes the text and all plots of an experiment as one page.
func HTML(out io.Writer, title string, r *experiment.Report) error {
	images, names, err := Images(r, "svg")
	if err != nil {
		return err
	}
	var text strings.Builder
	Text(&text, r)
	type image struct {
		Name string
		Data template.URL
	}
	data := struct {
		Title, Text string
		Images      []image
	}{Title: title, Text: text.String()}
	for _, n := range names {
		data.Images = append(data.Images, image{n, template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(images[n]))})
	}
	return page.Execute(out, data)
}
