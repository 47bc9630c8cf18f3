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

// tableMarkers matches a table between its markers. The first marker names the slope and optionally sizes at which the
// line is evaluated and a limit in the slope's unit: <!-- slope NAME at=580,1160 limit=15000 -->
var tableMarkers = regexp.MustCompile(`(?s)(<!-- slope ([^\n]*?) -->\n).*?(<!-- end -->)`)

// summaryMarkers matches the summary table, which has a line for each slope of the page whose marker names sizes.
var summaryMarkers = regexp.MustCompile(`(?s)(<!-- summary -->\n).*?(<!-- end -->)`)

// RenderPage returns a page's text with the table of each slope, and the summary, regenerated between its markers. A
// marker without rows is an error.
func RenderPage(text string, bySlope map[string][]Row) (string, error) {
	var failed error
	var summary strings.Builder
	summary.WriteString("| slope | against | sizes | what it says there | limit | factor left | line |\n| --- | --- | ---: | ---: | ---: | ---: | --- |\n")
	out := tableMarkers.ReplaceAllStringFunc(text, func(section string) string {
		groups := tableMarkers.FindStringSubmatch(section)
		m, err := parseMarker(groups[2], bySlope)
		if err != nil {
			failed = errors.Join(failed, err)
			return section
		}
		if len(m.at) > 0 {
			summary.WriteString(m.summaryLine())
		}
		return groups[1] + m.line.Table(m.at, m.limit) + groups[3]
	})
	if begins := strings.Count(text, "<!-- slope "); failed == nil && begins != len(tableMarkers.FindAllString(text, -1)) {
		failed = fmt.Errorf("%d slope markers, but not every one has a matching end marker", begins)
	}
	out = summaryMarkers.ReplaceAllStringFunc(out, func(section string) string {
		groups := summaryMarkers.FindStringSubmatch(section)
		return groups[1] + summary.String() + groups[2]
	})
	return out, failed
}

// marker holds the parsed options of a table's first marker.
type marker struct {
	line  *Line
	at    []float64 // sizes to estimate
	limit float64   // NaN: no limit
}

// parseMarker parses the words of a slope marker and fits the line of its slope.
func parseMarker(text string, bySlope map[string][]Row) (m marker, err error) {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return m, errors.New("a slope marker has no slope name")
	}
	m.limit = math.NaN()
	if m.line, err = Fit(bySlope[fields[0]]); err != nil {
		return m, fmt.Errorf("slope %s: %w", fields[0], err)
	}
	for _, option := range fields[1:] {
		key, values, _ := strings.Cut(option, "=")
		for _, value := range strings.Split(values, ",") {
			x, err := strconv.ParseFloat(value, 64)
			switch {
			case err != nil || key != "at" && key != "limit":
				return m, fmt.Errorf("slope %s: invalid marker option %q, want at=SIZE,... or limit=NUMBER", fields[0], option)
			case key == "at":
				m.at = append(m.at, x)
			default:
				m.limit = x
			}
		}
	}
	return m, nil
}

// summaryLine returns the slope's line of the summary table, with sizes and figures in the marker's order.
func (m marker) summaryLine() string {
	var xs, ys, factorsLeft []string
	for _, x := range m.at {
		y, _ := m.line.Estimate(x)
		xs, ys = append(xs, FormatFigure(x)), append(ys, FormatFigure(y))
		switch {
		case math.IsNaN(m.limit):
		case y > m.limit:
			factorsLeft = append(factorsLeft, fmt.Sprintf("**missed by %s**", FormatFigure(y/m.limit)))
		default:
			factorsLeft = append(factorsLeft, FormatFigure(m.limit/y))
		}
	}
	limit, shape := "", "straight"
	if !math.IsNaN(m.limit) {
		limit = FormatFigure(m.limit)
	}
	if m.line.Curved {
		shape = "bends"
	}
	return fmt.Sprintf("| `%s`, %s | %s | %s | %s | %s | %s | %s |\n", m.line.Slope, m.line.Unit, m.line.Against, strings.Join(xs, "; "), strings.Join(ys, "; "),
		limit, strings.Join(factorsLeft, "; "), shape)
}

// Table renders a slope in Markdown: the fitted line, the measurements at each size, and the estimates at further sizes
// with the factor left to the limit (NaN: no limit).
func (l *Line) Table(at []float64, limit float64) string {
	var b strings.Builder
	shape := "no bend"
	if l.Curved {
		shape = fmt.Sprintf("**bends** (by %s of the span)", percent(l.CurveDeviation))
	}
	fmt.Fprintf(&b, "`%s`, %s against %s: %s + %s (± %s) · x, R² %.4f, largest residual %s at %s, %s.\n\n", l.Slope, l.Unit, l.Against,
		FormatFigure(l.Intercept), FormatFigure(l.Gradient), FormatFigure(l.GradientHalfWidth), l.R2, FormatFigure(l.MaxResidual), FormatFigure(l.MaxResidualX), shape)
	fmt.Fprintf(&b, "| %s | %s | least to most | line | rows | how |\n| ---: | ---: | ---: | ---: | ---: | --- |\n", l.Against, l.Unit)
	for _, s := range l.Sizes {
		fmt.Fprintf(&b, "| %s | %s | %s to %s | %s | %d | %s |\n", FormatFigure(s.X), FormatFigure(s.Mean), FormatFigure(s.Min), FormatFigure(s.Max), FormatFigure(l.Intercept+l.Gradient*s.X), s.Rows, s.Methods)
	}
	for _, x := range at {
		y, how := l.Estimate(x)
		interval := ""
		if !l.Curved {
			_, halfWidth := l.Predict(x)
			interval = fmt.Sprintf("± %s", FormatFigure(halfWidth))
		}
		if !math.IsNaN(limit) {
			how += fmt.Sprintf("; limit %s, factor left %s", FormatFigure(limit), FormatFigure(limit/y))
			if y > limit {
				how = fmt.Sprintf("%s; **limit %s missed by a factor of %s**", strings.Split(how, ";")[0], FormatFigure(limit), FormatFigure(y/limit))
			}
		}
		fmt.Fprintf(&b, "| *%s* | *%s* | | %s | | %s |\n", FormatFigure(x), FormatFigure(y), interval, how)
	}
	return b.String()
}

func percent(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) }

// FormatFigure formats a number for display with at least three significant digits, integers without decimals, and
// thousands separated by commas.
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

// UpdatePage regenerates the tables of a page from the rows of a folder.
func UpdatePage(page, folder string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	bySlope, err := ReadFolder(folder)
	if err != nil {
		return err
	}
	out, err := RenderPage(string(text), bySlope)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return os.WriteFile(page, []byte(out), 0o644)
}
