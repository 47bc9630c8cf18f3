package quotahistory

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ms = int64(time.Millisecond)

var rules = Rules{LoweringGrace: 100 * time.Millisecond, MaxAbortDelay: 10 * time.Millisecond}

// parseLine makes a line at t milliseconds from a text such as "start a x @b0 !": event, team, request, backend, urgent.
func parseLine(t int64, text string, units ...int) Line {
	fields := strings.Fields(text)
	l := Line{Time: t * ms, Event: fields[0]}
	for i, w := range fields[1:] {
		switch {
		case w == "!":
			l.Urgent = true
		case strings.HasPrefix(w, "@"):
			l.Backend = w[1:]
		case i == 0:
			l.Team = w
		default:
			l.Req = w
		}
	}
	for _, n := range units {
		l.Units = n
	}
	return l
}

func brokenRules(lines ...Line) (out []Rule) {
	for _, v := range Check(lines, rules) {
		out = append(out, v.Rule)
	}
	return out
}

// appendLines returns the history lines with more added, and leaves lines as it is.
func appendLines(lines []Line, more ...Line) []Line { return slices.Concat(lines, more) }

// TestCheckAcceptsValidHistories checks that no violation is found in histories that keep the rules.
func TestCheckAcceptsValidHistories(t *testing.T) {
	quota := parseLine(-500, "quota a", 2)
	for name, lines := range map[string][]Line{
		"nothing":  nil,
		"no quota": {parseLine(2, "start a x @b0"), parseLine(2, "start a y @b0"), parseLine(2, "start a z @b0")},
		"as many as the quota, then one more after an end":            {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b1"), parseLine(4, "end a x @b0"), parseLine(5, "start a z @b0")},
		"a request of another team":                                   {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b1"), parseLine(4, "start b z @b1")},
		"a second attempt of a request":                               {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a x @b1"), parseLine(4, "start a y @b1"), parseLine(5, "end a x @b0"), parseLine(6, "end a x @b1"), parseLine(7, "start a z @b1")},
		"quota lowered below what runs":                               {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b0"), parseLine(4, "quota a", 1), parseLine(300, "end a x @b0"), parseLine(301, "end a y @b0"), parseLine(302, "start a z @b0")},
		"started within the grace of a lowered quota":                 {quota, parseLine(2, "start a x @b0"), parseLine(3, "quota a", 1), parseLine(99, "start a y @b0")},
		"an abort that the backend notices late":                      {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b0"), parseLine(4, "start a z @b0"), parseLine(13, "aborted a x @b0")},
		"urgent within the reserve":                                   {quota, parseLine(-500, "reserve", 1), parseLine(2, "start a x @b0"), parseLine(3, "start a y @b0"), parseLine(4, "start a z @b0 !")},
		"urgent within the quota, beside another request":             {quota, parseLine(2, "start a x @b0 !"), parseLine(3, "start a y @b0")},
		"starts and ends at the same time":                            {quota, parseLine(2, "start a x @b0"), parseLine(2, "end a x @b0"), parseLine(2, "start a y @b0")},
		"an abort noticed late, of an attempt shorter than the delay": {quota, parseLine(2, "start a x @b0"), parseLine(2, "start a y @b0"), parseLine(3, "aborted a x @b0"), parseLine(4, "start a z @b0")},
	} {
		assert.Empty(t, brokenRules(lines...), name)
	}
}

// TestCheckFindsEachViolation breaks the rules in one way at a time, and gives the lines in reverse order as well.
func TestCheckFindsEachViolation(t *testing.T) {
	quota := parseLine(-500, "quota a", 2)
	twoRunning := []Line{quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b1")}
	for name, c := range map[string]struct {
		rule  Rule
		lines []Line
	}{
		"one too many, at the same time as an end": {WithinQuota, appendLines(twoRunning, parseLine(4, "start a z @b0"), parseLine(4, "end a x @b0"))},
		"one too many":                                    {WithinQuota, appendLines(twoRunning, parseLine(4, "start a z @b0"))},
		"one too many for a short time":                   {WithinQuota, appendLines(twoRunning, parseLine(4, "start a z @b0"), parseLine(4, "end a z @b0"), parseLine(5, "end a x @b0"))},
		"an end that comes too late":                      {WithinQuota, appendLines(twoRunning, parseLine(4, "start a z @b0"), parseLine(5, "end a x @b0"))},
		"an abort that comes too late":                    {WithinQuota, appendLines(twoRunning, parseLine(4, "start a z @b0"), parseLine(15, "aborted a x @b0"))},
		"the end of one attempt of two":                   {WithinQuota, appendLines(twoRunning, parseLine(4, "start a x @b2"), parseLine(5, "end a x @b0"), parseLine(6, "start a z @b0"))},
		"after the quota was lowered":                     {WithinQuota, appendLines(twoRunning, parseLine(4, "quota a", 1), parseLine(5, "end a x @b0"), parseLine(105, "start a z @b0"))},
		"a quota of zero":                                 {WithinQuota, []Line{parseLine(-500, "quota a", 0), parseLine(200, "start a x @b0")}},
		"a first quota, set while a request runs":         {WithinQuota, []Line{parseLine(1, "start a x @b0"), parseLine(2, "quota a", 1), parseLine(200, "start a y @b0")}},
		"urgent without a reserve":                        {WithinReserve, appendLines(twoRunning, parseLine(4, "start a z @b0 !"))},
		"urgent beyond the reserve":                       {WithinReserve, appendLines(twoRunning, parseLine(-500, "reserve", 1), parseLine(4, "start a z @b0 !"), parseLine(5, "start a u @b0 !"))},
		"urgent requests of two teams beyond the reserve": {WithinReserve, appendLines(twoRunning, parseLine(-500, "quota b", 0), parseLine(-500, "reserve", 1), parseLine(4, "start a z @b0 !"), parseLine(115, "start b u @b0 !"))},
		"not urgent, beside an urgent one":                {WithinQuota, appendLines(twoRunning, parseLine(-500, "reserve", 5), parseLine(4, "start a z @b0 !"), parseLine(5, "start a u @b0"))},
		"an end without a start":                          {Complete, appendLines(twoRunning, parseLine(4, "end a z @b0"))},
		"an end at another backend":                       {Complete, appendLines(twoRunning, parseLine(4, "end a x @b1"))},
		"two ends of one start":                           {Complete, appendLines(twoRunning, parseLine(4, "end a x @b0"), parseLine(5, "aborted a x @b0"))},
	} {
		got := brokenRules(c.lines...)
		if assert.NotEmpty(t, got, name) {
			assert.Equal(t, c.rule, got[0], name)
		}
		reversed := make([]Line, len(c.lines))
		for i, l := range c.lines {
			reversed[len(reversed)-1-i] = l
		}
		assert.NotEmpty(t, brokenRules(reversed...), "%s, lines in reverse order", name)
	}
}

func TestMaxRunning(t *testing.T) {
	assert.Equal(t, map[string]int{"a": 2, "b": 1}, MaxRunning([]Line{parseLine(1, "start a x @b0"), parseLine(2, "start a y @b0"), parseLine(3, "end a x @b0"), parseLine(4, "start a z @b0"),
		parseLine(5, "start b u @b0")}, rules))
}

// TestRead checks that encoded lines are read back the same, and that malformed lines are errors.
func TestRead(t *testing.T) {
	lines := []Line{parseLine(1, "quota a", 2), parseLine(2, "start a x @b0 !")}
	var b bytes.Buffer
	for _, l := range lines {
		require.NoError(t, json.NewEncoder(&b).Encode(l))
	}
	got, err := Read(&b)
	require.NoError(t, err)
	assert.Equal(t, lines, got)
	for _, text := range []string{`{"event":"start"}`, `{"t":1,"event":"begin"}`, `{"t":1`} {
		_, err = Read(strings.NewReader(text))
		assert.Error(t, err, text)
	}
}
