package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// MinSizes is how many different sizes a line is fitted through at least: with fewer no bend would show.
	MinSizes   = 4
	confidence = 0.95
	// bendPart is how far a curve has to leave the line, as a part of the span of what was measured, to count as a bend:
	// counts that hardly vary would make any crumb significant.
	bendPart = 0.05
	// bendLeast is the same as a part of the largest figure: where all are alike the span is a crumb itself.
	bendLeast = 0.02
)

// ErrTooFewSizes is returned by Fit for rows of fewer sizes than LeastSizes.
var ErrTooFewSizes = errors.New("too few sizes to fit a line")

// Line is y = A + B·x through rows, by least squares.
type Line struct {
	Slope, Unit, Against                  string
	Intercept, Gradient                   float64
	InterceptHalfWidth, GradientHalfWidth float64 // half of the 95% intervals
	R2                                    float64
	MaxResidual, MaxResidualX             float64     // the largest, with its sign (measured less line), and where
	Curved                                bool        // a curve through the rows leaves the line beyond noise, a twentieth of the span and a fiftieth of the largest figure
	CurveDeviation                        float64     // how far the curve leaves the line at most, as a part of the span measured
	Sizes                                 []SizeStats // ascending

	n          float64
	s, t       float64 // deviation of the rows from the line; of Student's distribution
	meanX, sxx float64
}

// SizeStats is what was measured at one size.
type SizeStats struct {
	X, Mean, Min, Max float64
	Rows              int
	Methods           string // of all its rows, in the order in which they came
}

// Fit fits a line through the rows of one slope, of at least LeastSizes sizes.
func Fit(rows []Row) (*Line, error) {
	if len(rows) == 0 {
		return nil, ErrTooFewSizes
	}
	first := rows[0]
	l := &Line{Slope: first.Slope, Unit: first.Unit, Against: first.Against, Sizes: sizes(rows)}
	var xs, ys []float64
	for _, r := range rows {
		if err := r.Check(); err != nil {
			return nil, err
		}
		if r.Slope != l.Slope || r.Unit != l.Unit || r.Against != l.Against {
			return nil, fmt.Errorf("%s in %s against %s is fitted with %s in %s against %s", r.Slope, r.Unit, r.Against, l.Slope, l.Unit, l.Against)
		}
		xs, ys = append(xs, r.X), append(ys, r.Y)
	}
	if len(l.Sizes) < MinSizes {
		return nil, fmt.Errorf("%s: %w: %d of %d", l.Slope, ErrTooFewSizes, len(l.Sizes), MinSizes)
	}
	l.n, l.MaxResidualX = float64(len(xs)), xs[0]
	l.Intercept, l.Gradient = stat.LinearRegression(xs, ys, nil, false)
	l.meanX = stat.Mean(xs, nil)
	rss := 0.0
	for i, x := range xs {
		l.sxx += (x - l.meanX) * (x - l.meanX)
		d := ys[i] - (l.Intercept + l.Gradient*x)
		rss += d * d
		if math.Abs(d) > math.Abs(l.MaxResidual) {
			l.MaxResidual, l.MaxResidualX = d, x
		}
	}
	l.R2 = 1
	if v := stat.Variance(ys, nil) * (l.n - 1); v > 0 {
		l.R2 = max(0, 1-rss/v)
	}
	l.s = math.Sqrt(rss / (l.n - 2))
	l.t = student(l.n - 2)
	l.GradientHalfWidth = l.t * l.s / math.Sqrt(l.sxx)
	l.InterceptHalfWidth = l.t * l.s * math.Sqrt(1/l.n+l.meanX*l.meanX/l.sxx)
	l.bend(xs, ys, rss)
	return l, nil
}

// student is the factor of a 95% interval.
func student(free float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: free}.Quantile(1 - (1-confidence)/2)
}

// bend looks whether a term in x² fits what the line leaves over. The part of x² that is no line in x is taken by itself, so that
// one factor is left to fit.
func (l *Line) bend(xs, ys []float64, rss float64) {
	sq := make([]float64, len(xs))
	for i, x := range xs {
		sq[i] = (x - l.meanX) * (x - l.meanX)
	}
	a, b := stat.LinearRegression(xs, sq, nil, false)
	var qq, qy float64
	most := 0.0
	for i, x := range xs {
		q := sq[i] - (a + b*x)
		qq += q * q
		qy += q * (ys[i] - (l.Intercept + l.Gradient*x))
		most = max(most, math.Abs(q))
	}
	if qq == 0 || l.n < 4 {
		return
	}
	c := qy / qq
	left := max(0, rss-c*qy)
	half := student(l.n-3) * math.Sqrt(left/(l.n-3)/qq)
	leaves, largest := math.Abs(c)*most, max(math.Abs(slices.Max(ys)), math.Abs(slices.Min(ys)))
	if span := slices.Max(ys) - slices.Min(ys); span > 0 {
		l.CurveDeviation = leaves / span
	}
	l.Curved = math.Abs(c) > half && l.CurveDeviation > bendPart && leaves > bendLeast*largest
}

// Predict is the line at a size, with half of the 95% interval of one more measurement there. Beyond the sizes measured it is
// worked out, and for a line that bends it is wrong: see Between.
func (l *Line) Predict(x float64) (y, half float64) {
	d := x - l.meanX
	return l.Intercept + l.Gradient*x, l.t * l.s * math.Sqrt(1+1/l.n+d*d/l.sxx)
}

// Interpolate is what the means of the two sizes next to x give, in a straight line: beyond the ends that of the last two.
func (l *Line) Interpolate(x float64) float64 {
	k := 1
	for k < len(l.Sizes)-1 && l.Sizes[k].X < x {
		k++
	}
	p, q := l.Sizes[k-1], l.Sizes[k]
	return p.Mean + (q.Mean-p.Mean)*(x-p.X)/(q.X-p.X)
}

// Estimate is the line at a size, or Between where it bends, and says which.
func (l *Line) Estimate(x float64) (y float64, how string) {
	switch y, _ = l.Predict(x); {
	case !l.Curved:
		return y, "worked out, by the line"
	case l.InRange(x):
		return l.Interpolate(x), "worked out, between the sizes next to it"
	}
	return l.Interpolate(x), "worked out, by the last two sizes"
}

// InRange says whether a size lies between those that were measured.
func (l *Line) InRange(x float64) bool {
	return x >= l.Sizes[0].X && x <= l.Sizes[len(l.Sizes)-1].X
}

func sizes(rows []Row) []SizeStats {
	at := map[float64]*SizeStats{}
	sum := map[float64]float64{}
	for _, r := range rows {
		s := at[r.X]
		if s == nil {
			s = &SizeStats{X: r.X, Min: r.Y, Max: r.Y, Methods: r.Method}
			at[r.X] = s
		} else if s.Methods != r.Method && s.Methods != r.Method+" and "+s.Methods {
			s.Methods = r.Method + " and " + s.Methods
		}
		s.Rows++
		s.Min, s.Max = min(s.Min, r.Y), max(s.Max, r.Y)
		sum[r.X] += r.Y
	}
	var all []SizeStats
	for x, s := range at {
		s.Mean = sum[x] / float64(s.Rows)
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b SizeStats) int { return cmp.Compare(a.X, b.X) })
	return all
}
