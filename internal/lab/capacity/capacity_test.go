package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rowsOf returns one row of the slope "s" for each x, with the value f(x).
func rowsOf(f func(x float64) float64, xs ...float64) (rows []Row) {
	for _, x := range xs {
		rows = append(rows, Row{Slope: "s", Unit: "bytes", Against: "backends", X: x, Y: f(x), Method: Real})
	}
	return rows
}

// TestPageMatchesRows checks that the tables of docs/CAPACITY.md match the rows in docs/capacity.
func TestPageMatchesRows(t *testing.T) {
	const page = "../../../docs/CAPACITY.md"
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	all, err := ReadFolder("../../../docs/capacity")
	require.NoError(t, err)
	out, err := RenderPage(string(text), all)
	require.NoError(t, err)
	assert.Equal(t, out, string(text), "run make capacity-page to regenerate the page")
}

func TestRowsRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new", "a.csv")
	rows := rowsOf(func(x float64) float64 { return x/3 + 0.1 }, 1, 2, 1e9)
	rows[1].Note = `says "it", and more`
	require.NoError(t, Append(path, rows[:1]...))
	require.NoError(t, Append(path, rows[1:]...))
	got, err := ReadFile(path)
	require.NoError(t, err)
	for i := range rows {
		assert.InEpsilon(t, rows[i].Y, got[i].Y, 1e-9)
		got[i].Y = rows[i].Y
	}
	assert.Equal(t, rows, got)

	other := rows[0]
	other.Slope = "t"
	require.NoError(t, ReplaceSlopes(path, other))
	require.NoError(t, ReplaceSlopes(path, rows[0]))
	got, err = ReadFile(path)
	require.NoError(t, err)
	require.Len(t, got, 2)
	assert.Equal(t, "t", got[0].Slope)
	all, err := ReadFolder(filepath.Dir(path))
	require.NoError(t, err)
	assert.Len(t, all, 2)
}

func TestInvalidRowErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.csv")
	validFile := strings.Join(header, ",") + "\ns,bytes,backends,1,2,real,\n"
	for _, c := range []struct{ line, wantErr string }{
		{"s,bytes,backends,1,x,real,", ":3:"},
		{"s,bytes,backends,1,NaN,real,", "finite"},
		{"s,bytes,backends,1,2,guessed,", `how is "guessed", want real`},
		{"s,bytes,,1,2,real,", "against is empty"},
		{"a b,bytes,backends,1,2,real,", "slope is"},
		{"s,bytes,backends,1,2,real", "wrong number of fields"},
	} {
		require.NoError(t, os.WriteFile(path, []byte(validFile+c.line+"\n"), 0o600))
		_, err := ReadFile(path)
		assert.ErrorContains(t, err, c.wantErr, c.line)
		assert.ErrorContains(t, err, path)
	}
	assert.Error(t, Append(path, Row{Slope: "s", Unit: "u", Against: "x", Y: math.Inf(1), Method: Real}))
}

func TestFit(t *testing.T) {
	l, err := Fit(rowsOf(func(x float64) float64 { return 3 + 2*x }, 50, 100, 200, 1000))
	require.NoError(t, err)
	assert.InDelta(t, 3, l.Intercept, 1e-9)
	assert.InDelta(t, 2, l.Gradient, 1e-12)
	assert.InDelta(t, 0, l.GradientHalfWidth, 1e-9)
	assert.InDelta(t, 1, l.R2, 1e-12)
	assert.False(t, l.Curved)
	y, halfWidth := l.Predict(580)
	assert.InDelta(t, 1163, y, 1e-9)
	assert.InDelta(t, 0, halfWidth, 1e-6)
	assert.InDelta(t, 1163, l.Interpolate(580), 1e-9)

	l, err = Fit(rowsOf(func(x float64) float64 { return 140 + math.Floor(math.Log10(x)) }, 50, 100, 200, 1000, 2000))
	require.NoError(t, err)
	assert.False(t, l.Curved, "a step of one or two bytes in 140, from the digits of a number")
	l, err = Fit(rowsOf(func(x float64) float64 { return 100 + x*x/1e5 }, 50, 100, 200, 1000, 2000))
	require.NoError(t, err)
	assert.True(t, l.Curved)

	_, err = Fit(rowsOf(func(x float64) float64 { return x }, 1, 2, 3, 3, 3))
	assert.ErrorIs(t, err, ErrTooFewSizes)
	mixed := rowsOf(func(x float64) float64 { return x }, 1, 2, 3, 4)
	mixed[2].Unit = "KB"
	_, err = Fit(mixed)
	assert.ErrorContains(t, err, "KB")
}

// TestFitAgainstManualCalculation compares a fit with figures calculated by hand for x = 1, 2, 3, 4 and y = 2, 4, 5, 8:
// gradient 9.5/5, intercept 4.75 - 1.9·2.5, residual sum of squares 0.7, residual variance 0.35, t with 2 degrees of
// freedom 4.3027.
func TestFitAgainstManualCalculation(t *testing.T) {
	y := map[float64]float64{1: 2, 2: 4, 3: 5, 4: 8}
	l, err := Fit(rowsOf(func(x float64) float64 { return y[x] }, 1, 2, 3, 4))
	require.NoError(t, err)
	assert.InDelta(t, 1.9, l.Gradient, 1e-9)
	assert.InDelta(t, 0, l.Intercept, 1e-9)
	assert.InDelta(t, 4.3027*math.Sqrt(0.35/5), l.GradientHalfWidth, 1e-3)
	assert.InDelta(t, 1-0.7/18.75, l.R2, 1e-9)
	assert.InDelta(t, -0.7, l.MaxResidual, 1e-9)
	assert.InDelta(t, 3, l.MaxResidualX, 0)
	_, halfWidth := l.Predict(2.5)
	assert.InDelta(t, 4.3027*math.Sqrt(0.35*1.25), halfWidth, 1e-3)
}

// TestIntervalCoverage checks on 2,000 noisy lines that the interval of the gradient contains the true gradient in 95%
// of them, that curvature is reported for at most 5% of straight lines, and that curvature that doubles the gradient
// over the range is always reported.
func TestIntervalCoverage(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	covered, falsePositives, missed := 0, 0, 0
	const trials = 2000
	for range trials {
		noisyFit := func(quadratic float64) *Line {
			l, err := Fit(rowsOf(func(x float64) float64 { return 10 + 3*x + quadratic*x*x + r.NormFloat64()*20 }, 50, 50, 100, 100, 200, 200, 580, 580, 1000, 1000))
			require.NoError(t, err)
			return l
		}
		l := noisyFit(0)
		if math.Abs(l.Gradient-3) <= l.GradientHalfWidth {
			covered++
		}
		if l.Curved {
			falsePositives++
		}
		if !noisyFit(0.003).Curved {
			missed++
		}
	}
	assert.InDelta(t, 0.95, float64(covered)/trials, 0.02)
	assert.LessOrEqual(t, float64(falsePositives)/trials, 0.05)
	assert.Zero(t, missed)
}

func TestRenderPage(t *testing.T) {
	all := map[string][]Row{"s": rowsOf(func(x float64) float64 { return 2 * x }, 10, 20, 30, 40), "q": rowsOf(func(x float64) float64 { return x * x }, 10, 20, 30, 40)}
	all["s"][3].Method = Hollow
	for i := range all["q"] {
		all["q"][i].Slope = "q"
	}
	text := "# A\n<!-- summary -->\n<!-- end -->\n<!-- slope s at=50,100 limit=150 -->\nold\n<!-- end -->\nbetween\n<!-- slope q at=25,50 -->\n<!-- end -->\nafter\n"
	out, err := RenderPage(text, all)
	require.NoError(t, err)
	for _, want := range []string{"no bend", "| 40 | 80 | 80 to 80 | 80 | 1 | hollow |", "| *50* | *100* |", "limit 150, factor left 1.50",
		"**limit 150 missed by a factor of 1.33**", "**bends**", "| *25* | *650* |", "between the sizes next to it", "| *50* | *2,300* |", "by the last two sizes", "\nbetween\n", "\nafter\n",
		"| `s`, bytes | backends | 50; 100 | 100; 200 | 150 | 1.50; **missed by 1.33** | straight |\n", "| `q`, bytes | backends | 25; 50 | 650; 2,300 |  |  | bends |\n"} {
		assert.Contains(t, out, want)
	}
	assert.NotContains(t, out, "old")
	again, err := RenderPage(out, all)
	require.NoError(t, err)
	assert.Equal(t, out, again)
	for marker, wantErr := range map[string]string{"<!-- slope r -->\n<!-- end -->": "slope r", "<!-- slope s by=3 -->\n<!-- end -->": "invalid marker option", "<!-- slope s -->\n": "not every one has a matching end marker"} {
		_, err := RenderPage(marker, all)
		assert.ErrorContains(t, err, wantErr)
	}
}

func TestFormatFigure(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 580: "580", 1234567: "1,234,567", -1234: "-1,234", 0.01234: "0.0123", 12.34: "12.3", 3: "3", 1e-9: "1.00e-09", -0.5: "-0.500"} {
		assert.Equal(t, want, FormatFigure(v), fmt.Sprint(v))
	}
}
