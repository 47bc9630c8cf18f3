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
	// MinSizes is the minimum number of different sizes for a fit: with fewer, curvature would not show.
	MinSizes   = 4
	confidence = 0.95
	// minCurveDeviation is how far a fitted curve has to deviate from the line to count as curvature, as a fraction of
	// the span of the measured values. Without it, any tiny deviation of counts that hardly vary would be significant.
	minCurveDeviation = 0.05
	// minRelativeDeviation is the same threshold as a fraction of the largest absolute value: if all values are nearly
	// equal, the span is tiny as well.
	minRelativeDeviation = 0.02
)

// ErrTooFewSizes is returned by Fit for rows with fewer than MinSizes different sizes.
var ErrTooFewSizes = errors.New("too few sizes to fit a line")

// Line is a least-squares fit of y = Intercept + Gradient·x through the rows of one slope.
type Line struct {
	Slope, Unit, Against                  string
	Intercept, Gradient                   float64
	InterceptHalfWidth, GradientHalfWidth float64 // half widths of the 95% confidence intervals
	R2                                    float64
	MaxResidual, MaxResidualX             float64     // the largest residual by magnitude, signed (measured minus line), and its x
	Curved                                bool        // a quadratic term is significant; see fitCurve
	CurveDeviation                        float64     // largest deviation of the fitted curve from the line, as a fraction of the measured span
	Sizes                                 []SizeStats // ascending

	n               float64 // number of rows
	stdErr, tFactor float64 // residual standard error; t quantile of a 95% interval
	meanX, sxx      float64 // mean of x; sum of squared deviations of x from it
}

// SizeStats summarizes the rows measured at one size.
type SizeStats struct {
	X, Mean, Min, Max float64
	Rows              int
	Methods           string // methods of all its rows, joined with "and", later ones first
}

// Fit fits a line through the rows of one slope, which need at least MinSizes different sizes.
func Fit(rows []Row) (*Line, error) {
	if len(rows) == 0 {
		return nil, ErrTooFewSizes
	}
	first := rows[0]
	l := &Line{Slope: first.Slope, Unit: first.Unit, Against: first.Against, Sizes: summarizeSizes(rows)}
	var xs, ys []float64
	for _, r := range rows {
		if err := r.Check(); err != nil {
			return nil, err
		}
		if r.Slope != l.Slope || r.Unit != l.Unit || r.Against != l.Against {
			return nil, fmt.Errorf("cannot fit %s in %s against %s together with %s in %s against %s", r.Slope, r.Unit, r.Against, l.Slope, l.Unit, l.Against)
		}
		xs, ys = append(xs, r.X), append(ys, r.Y)
	}
	if len(l.Sizes) < MinSizes {
		return nil, fmt.Errorf("%s: %w: %d of %d", l.Slope, ErrTooFewSizes, len(l.Sizes), MinSizes)
	}
	l.n, l.MaxResidualX = float64(len(xs)), xs[0]
	l.Intercept, l.Gradient = stat.LinearRegression(xs, ys, nil, false)
	l.meanX = stat.Mean(xs, nil)
	residualSquares := 0.0
	for i, x := range xs {
		l.sxx += (x - l.meanX) * (x - l.meanX)
		residual := ys[i] - (l.Intercept + l.Gradient*x)
		residualSquares += residual * residual
		if math.Abs(residual) > math.Abs(l.MaxResidual) {
			l.MaxResidual, l.MaxResidualX = residual, x
		}
	}
	l.R2 = 1
	if totalSquares := stat.Variance(ys, nil) * (l.n - 1); totalSquares > 0 {
		l.R2 = max(0, 1-residualSquares/totalSquares)
	}
	l.stdErr = math.Sqrt(residualSquares / (l.n - 2))
	l.tFactor = tQuantile(l.n - 2)
	l.GradientHalfWidth = l.tFactor * l.stdErr / math.Sqrt(l.sxx)
	l.InterceptHalfWidth = l.tFactor * l.stdErr * math.Sqrt(1/l.n+l.meanX*l.meanX/l.sxx)
	l.fitCurve(xs, ys, residualSquares)
	return l, nil
}

// tQuantile returns the factor of a 95% interval for Student's t distribution.
func tQuantile(degreesOfFreedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(1 - (1-confidence)/2)
}

// fitCurve tests whether a quadratic term fits the residuals of the line. It uses the component of x² that is
// orthogonal to a line in x, so that only one coefficient is left to fit. Curved is set if the coefficient is
// significant at 95% and the curve deviates from the line by more than minCurveDeviation of the span and
// minRelativeDeviation of the largest value.
func (l *Line) fitCurve(xs, ys []float64, residualSquares float64) {
	squares := make([]float64, len(xs))
	for i, x := range xs {
		squares[i] = (x - l.meanX) * (x - l.meanX)
	}
	intercept, gradient := stat.LinearRegression(xs, squares, nil, false)
	var sumOrthogonal2, sumOrthogonalY float64
	maxOrthogonal := 0.0
	for i, x := range xs {
		orthogonal := squares[i] - (intercept + gradient*x)
		sumOrthogonal2 += orthogonal * orthogonal
		sumOrthogonalY += orthogonal * (ys[i] - (l.Intercept + l.Gradient*x))
		maxOrthogonal = max(maxOrthogonal, math.Abs(orthogonal))
	}
	if sumOrthogonal2 == 0 || l.n < 4 {
		return
	}
	coefficient := sumOrthogonalY / sumOrthogonal2
	remaining := max(0, residualSquares-coefficient*sumOrthogonalY)
	halfWidth := tQuantile(l.n-3) * math.Sqrt(remaining/(l.n-3)/sumOrthogonal2)
	deviation, largest := math.Abs(coefficient)*maxOrthogonal, max(math.Abs(slices.Max(ys)), math.Abs(slices.Min(ys)))
	if span := slices.Max(ys) - slices.Min(ys); span > 0 {
		l.CurveDeviation = deviation / span
	}
	l.Curved = math.Abs(coefficient) > halfWidth && l.CurveDeviation > minCurveDeviation && deviation > minRelativeDeviation*largest
}

// Predict returns the value of the line at x and the half width of the 95% prediction interval for one more measurement
// there. Outside the measured sizes it extrapolates. For a curved line it is wrong: see Interpolate.
func (l *Line) Predict(x float64) (y, halfWidth float64) {
	d := x - l.meanX
	return l.Intercept + l.Gradient*x, l.tFactor * l.stdErr * math.Sqrt(1+1/l.n+d*d/l.sxx)
}

// Interpolate returns the value at x of the straight line through the means of the two sizes next to x. Outside the
// measured sizes it extrapolates from the nearest two.
func (l *Line) Interpolate(x float64) float64 {
	k := 1
	for k < len(l.Sizes)-1 && l.Sizes[k].X < x {
		k++
	}
	p, q := l.Sizes[k-1], l.Sizes[k]
	return p.Mean + (q.Mean-p.Mean)*(x-p.X)/(q.X-p.X)
}

// Estimate returns Predict's value at x, or Interpolate's value if the line is curved, and how the value was obtained.
func (l *Line) Estimate(x float64) (y float64, how string) {
	switch y, _ = l.Predict(x); {
	case !l.Curved:
		return y, "worked out, by the line"
	case l.InRange(x):
		return l.Interpolate(x), "worked out, between the sizes next to it"
	}
	return l.Interpolate(x), "worked out, by the last two sizes"
}

// InRange reports whether x lies within the range of measured sizes.
func (l *Line) InRange(x float64) bool {
	return x >= l.Sizes[0].X && x <= l.Sizes[len(l.Sizes)-1].X
}

// summarizeSizes returns a summary of the rows at each size, in ascending order of size.
func summarizeSizes(rows []Row) []SizeStats {
	byX := map[float64]*SizeStats{}
	sums := map[float64]float64{}
	for _, r := range rows {
		s := byX[r.X]
		if s == nil {
			s = &SizeStats{X: r.X, Min: r.Y, Max: r.Y, Methods: r.Method}
			byX[r.X] = s
		} else if s.Methods != r.Method && s.Methods != r.Method+" and "+s.Methods {
			s.Methods = r.Method + " and " + s.Methods
		}
		s.Rows++
		s.Min, s.Max = min(s.Min, r.Y), max(s.Max, r.Y)
		sums[r.X] += r.Y
	}
	var all []SizeStats
	for x, s := range byX {
		s.Mean = sums[x] / float64(s.Rows)
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b SizeStats) int { return cmp.Compare(a.X, b.X) })
	return all
}
