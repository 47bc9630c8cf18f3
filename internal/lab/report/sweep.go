package report

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"tinsail/internal/lab/experiment"
)

// SweepText writes the result of a sweep as text.
func SweepText(out io.Writer, param string, list []experiment.Point) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "variant\t%s\tservice, 95%% interval\trules\n", param)
	for _, p := range list {
		rules := "kept"
		if len(p.InvalidRuns) > 0 {
			rules = fmt.Sprintf("BROKEN on %d seeds, first %d: %s", len(p.InvalidRuns), p.InvalidRuns[0].Seed, p.InvalidRuns[0].FirstViolation)
		}
		fmt.Fprintf(w, "%s\t%v\t%v\t%s\n", p.Variant, p.Value, p.Service, rules)
	}
	w.Flush()
}

// pointsWithErrors holds the points of one variant with their intervals.
type pointsWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// SweepPNG draws the result of a sweep.
func SweepPNG(param string, list []experiment.Point) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Service, with 95% intervals", param, "service"
	var names []string
	all := map[string]*pointsWithErrors{}
	for _, x := range list {
		if all[x.Variant] == nil {
			all[x.Variant] = &pointsWithErrors{}
			names = append(names, x.Variant)
		}
		if x.Service.N < 2 { // one value or none gives no finite interval
			continue
		}
		s := all[x.Variant]
		s.XYs = append(s.XYs, plotter.XY{X: x.Value, Y: x.Service.Mean})
		s.YErrors = append(s.YErrors, struct{ Low, High float64 }{x.Service.Mean - x.Service.Low, x.Service.High - x.Service.Mean})
	}
	for i, name := range names {
		s := all[name]
		if len(s.XYs) == 0 {
			continue
		}
		line, err := plotter.NewLine(s.XYs)
		if err != nil {
			return nil, err
		}
		bars, err := plotter.NewYErrorBars(s)
		if err != nil {
			return nil, err
		}
		line.Color, bars.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, bars)
		p.Legend.Add(name, line)
	}
	w, err := p.WriterTo(width, height, "png")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	_, err = w.WriteTo(&b)
	return b.Bytes(), err
}
