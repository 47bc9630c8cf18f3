package capacity

import (
	"errors"
	"fmt"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// A table stands between these lines of a page, the first with the slope's name and, where wanted, sizes at which the line is to be
// worked out and the limit it is held against, in the slope's unit: <!-- slope NAME at=580,1160 limit=15000 -->
var marked = regexp.MustCompile(`(?s)(<!-- slope ([^\n]*?) -->\n).*?(<!-- end -->)`)

// The summary has a line for each slope of the page whose marker names sizes.
var summary = regexp.MustCompile(`(?s)(<!-- summary -->\n).*?(<!-- end -->)`)

// RenderPage puts the table of each slope into a page's text, between its markers. A marker without rows is an error.
func RenderPage(text string, all map[string][]Row) (string, error) {
	var failed error
	var lines strings.Builder
	lines.WriteString("| slope | against | sizes | what it says there | limit | factor left | line |\n| --- | --- | ---: | ---: | ---: | ---: | --- |\n")
	out := marked.ReplaceAllStringFunc(text, func(found string) string {
		m := marked.FindStringSubmatch(found)
		k, err := readMarker(m[2], all)
		if err != nil {
			failed = errors.Join(failed, err)
			return found
		}
		if len(k.at) > 0 {
			lines.WriteString(k.summary())
		}
		return m[1] + k.line.Table(k.at, k.limit) + m[3]
	})
	if opened := strings.Count(text, "<!-- slope "); failed == nil && opened != len(marked.FindAllString(text, -1)) {
		failed = fmt.Errorf("%d tables are begun, and not each ends", opened)
	}
	out = summary.ReplaceAllStringFunc(out, func(found string) string {
		m := summary.FindStringSubmatch(found)
		return m[1] + lines.String() + m[2]
	})
	return out, failed
}

// marker is what a table's first line asks for.
type marker struct {
	line  *Line
	at    []float64
	limit float64 // NaN: none
}

func readMarker(text string, all map[string][]Row) (k marker, err error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return k, errors.New("a marker names no slope")
	}
	k.limit = math.NaN()
	if k.line, err = Fit(all[words[0]]); err != nil {
		return k, fmt.Errorf("slope %s: %w", words[0], err)
	}
	for _, w := range words[1:] {
		key, text, _ := strings.Cut(w, "=")
		for _, v := range strings.Split(text, ",") {
			x, err := strconv.ParseFloat(v, 64)
			switch {
			case err != nil || key != "at" && key != "limit":
				return k, fmt.Errorf("slope %s: marker says %q, want at=SIZE,... or limit=NUMBER", words[0], w)
			case key == "at":
				k.at = append(k.at, x)
			default:
				k.limit = x
			}
		}
	}
	return k, nil
}

// summary is a line of the summary: sizes and figures in the marker's order.
func (k marker) summary() string {
	var xs, ys, left []string
	for _, x := range k.at {
		y, _ := k.line.Estimate(x)
		xs, ys = append(xs, FormatFigure(x)), append(ys, FormatFigure(y))
		switch {
		case math.IsNaN(k.limit):
		case y > k.limit:
			left = append(left, fmt.Sprintf("**missed by %s**", FormatFigure(y/k.limit)))
		default:
			left = append(left, FormatFigure(k.limit/y))
		}
	}
	limit, line := "", "straight"
	if !math.IsNaN(k.limit) {
		limit = FormatFigure(k.limit)
	}
	if k.line.Curved {
		line = "bends"
	}
	return fmt.Sprintf("| `%s`, %s | %s | %s | %s | %s | %s | %s |\n", k.line.Slope, k.line.Unit, k.line.Against, strings.Join(xs, "; "), strings.Join(ys, "; "),
		limit, strings.Join(left, "; "), line)
}

// Table is a slope in Markdown: its line, what was measured at each size, and the line at further sizes with the factor that it leaves
// of a limit (NaN: none).
func (l *Line) Table(at []float64, limit float64) string {
	var b strings.Builder
	bend := "no bend"
	if l.Curved {
		bend = fmt.Sprintf("**bends** (by %s of the span)", percent(l.CurveDeviation))
	}
	fmt.Fprintf(&b, "`%s`, %s against %s: %s + %s (± %s) · x, R² %.4f, largest residual %s at %s, %s.\n\n", l.Slope, l.Unit, l.Against,
		FormatFigure(l.Intercept), FormatFigure(l.Gradient), FormatFigure(l.GradientHalfWidth), l.R2, FormatFigure(l.MaxResidual), FormatFigure(l.MaxResidualX), bend)
	fmt.Fprintf(&b, "| %s | %s | least to most | line | rows | how |\n| ---: | ---: | ---: | ---: | ---: | --- |\n", l.Against, l.Unit)
	for _, s := range l.Sizes {
		fmt.Fprintf(&b, "| %s | %s | %s to %s | %s | %d | %s |\n", FormatFigure(s.X), FormatFigure(s.Mean), FormatFigure(s.Min), FormatFigure(s.Max), FormatFigure(l.Intercept+l.Gradient*s.X), s.Rows, s.Methods)
	}
	for _, x := range at {
		y, how := l.Estimate(x)
		line := ""
		if !l.Curved {
			_, half := l.Predict(x)
			line = fmt.Sprintf("± %s", FormatFigure(half))
		}
		if !math.IsNaN(limit) {
			how += fmt.Sprintf("; limit %s, factor left %s", FormatFigure(limit), FormatFigure(limit/y))
			if y > limit {
				how = fmt.Sprintf("%s; **limit %s missed by a factor of %s**", strings.Split(how, ";")[0], FormatFigure(limit), FormatFigure(y/limit))
			}
		}
		fmt.Fprintf(&b, "| *%s* | *%s* | | %s | | %s |\n", FormatFigure(x), FormatFigure(y), line, how)
	}
	return b.String()
}

func percent(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) }

// FormatFigure is a number for people: three digits, thousands set apart.
func FormatFigure(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	if digits > 0 {
		if v == math.Trunc(v) {
			digits = 0
		}
		if digits > 6 {
			return strconv.FormatFloat(v, 'e', 2, 64)
		}
		s := strconv.FormatFloat(v, 'f', digits, 64)
		return s
	}
	s := strconv.FormatFloat(math.Abs(v), 'f', 0, 64)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	if v < 0 {
		s = "-" + s
	}
	return s
}

// UpdatePage makes a page's tables anew from the rows of a folder.
func UpdatePage(page, folder string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	all, err := ReadFolder(folder)
	if err != nil {
		return err
	}
	out, err := RenderPage(string(text), all)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return os.WriteFile(page, []byte(out), 0o644)
}
