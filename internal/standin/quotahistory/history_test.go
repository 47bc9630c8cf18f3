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

// parseLine makes a line from "start a x @b0 !": the event, the team, the req, the backend, urgent.
func parseLine(t int64, text string, units ...int) Line {
	f := strings.Fields(text)
	l := Line{Time: t * ms, Event: f[0]}
	for i, w := range f[1:] {
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

// appendLines is a history that goes on.
func appendLines(lines []Line, more ...Line) []Line { return slices.Concat(lines, more) }

// TestCheckAcceptsValidHistories: histories that are well.
func TestCheckAcceptsValidHistories(t *testing.T) {
	quota := parseLine(-500, "quota a", 2)
	for what, lines := range map[string][]Line{
		"nothing":  nil,
		"no quota": {parseLine(2, "start a x @b0"), parseLine(2, "start a y @b0"), parseLine(2, "start a z @b0")},
		"as many as the quota, one after another": {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b1"), parseLine(4, "end a x @b0"), parseLine(5, "start a z @b0")},
		"another team's":                       {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b1"), parseLine(4, "start b z @b1")},
		"a second attempt of a req":            {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a x @b1"), parseLine(4, "start a y @b1"), parseLine(5, "end a x @b0"), parseLine(6, "end a x @b1"), parseLine(7, "start a z @b1")},
		"lowered under what runs":              {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b0"), parseLine(4, "quota a", 1), parseLine(300, "end a x @b0"), parseLine(301, "end a y @b0"), parseLine(302, "start a z @b0")},
		"begun before all know of a lower one": {quota, parseLine(2, "start a x @b0"), parseLine(3, "quota a", 1), parseLine(99, "start a y @b0")},
		"an end that the backend finds late":   {quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b0"), parseLine(4, "start a z @b0"), parseLine(13, "aborted a x @b0")},
		"urgent by the reserve":                {quota, parseLine(-500, "reserve", 1), parseLine(2, "start a x @b0"), parseLine(3, "start a y @b0"), parseLine(4, "start a z @b0 !")},
		"urgent by the quota, others beside":   {quota, parseLine(2, "start a x @b0 !"), parseLine(3, "start a y @b0")},
		"starts and ends in one moment":        {quota, parseLine(2, "start a x @b0"), parseLine(2, "end a x @b0"), parseLine(2, "start a y @b0")},
		"an abort found late of a short run":   {quota, parseLine(2, "start a x @b0"), parseLine(2, "start a y @b0"), parseLine(3, "aborted a x @b0"), parseLine(4, "start a z @b0")},
	} {
		assert.Empty(t, brokenRules(lines...), what)
	}
}

// TestCheckFindsEachViolation: each way in which a history breaks a rule.
func TestCheckFindsEachViolation(t *testing.T) {
	quota := parseLine(-500, "quota a", 2)
	two := []Line{quota, parseLine(2, "start a x @b0"), parseLine(3, "start a y @b1")}
	for what, c := range map[string]struct {
		rule  Rule
		lines []Line
	}{
		"one more in the moment of an end":   {WithinQuota, appendLines(two, parseLine(4, "start a z @b0"), parseLine(4, "end a x @b0"))},
		"one more":                           {WithinQuota, appendLines(two, parseLine(4, "start a z @b0"))},
		"one more for a moment":              {WithinQuota, appendLines(two, parseLine(4, "start a z @b0"), parseLine(4, "end a z @b0"), parseLine(5, "end a x @b0"))},
		"an end that comes too late":         {WithinQuota, appendLines(two, parseLine(4, "start a z @b0"), parseLine(5, "end a x @b0"))},
		"an abort that comes too late":       {WithinQuota, appendLines(two, parseLine(4, "start a z @b0"), parseLine(15, "aborted a x @b0"))},
		"the end of one attempt of two":      {WithinQuota, appendLines(two, parseLine(4, "start a x @b2"), parseLine(5, "end a x @b0"), parseLine(6, "start a z @b0"))},
		"after the quota was lowered":        {WithinQuota, appendLines(two, parseLine(4, "quota a", 1), parseLine(5, "end a x @b0"), parseLine(105, "start a z @b0"))},
		"a quota of none":                    {WithinQuota, []Line{parseLine(-500, "quota a", 0), parseLine(200, "start a x @b0")}},
		"where there was no quota before":    {WithinQuota, []Line{parseLine(1, "start a x @b0"), parseLine(2, "quota a", 1), parseLine(200, "start a y @b0")}},
		"urgent, and no reserve":             {WithinReserve, appendLines(two, parseLine(4, "start a z @b0 !"))},
		"urgent beyond the reserve":          {WithinReserve, appendLines(two, parseLine(-500, "reserve", 1), parseLine(4, "start a z @b0 !"), parseLine(5, "start a u @b0 !"))},
		"urgent of two teams beyond it":      {WithinReserve, appendLines(two, parseLine(-500, "quota b", 0), parseLine(-500, "reserve", 1), parseLine(4, "start a z @b0 !"), parseLine(115, "start b u @b0 !"))},
		"one that is not, beside the urgent": {WithinQuota, appendLines(two, parseLine(-500, "reserve", 5), parseLine(4, "start a z @b0 !"), parseLine(5, "start a u @b0"))},
		"an end with no start":               {Complete, appendLines(two, parseLine(4, "end a z @b0"))},
		"an end at another backend":          {Complete, appendLines(two, parseLine(4, "end a x @b1"))},
		"two ends of one start":              {Complete, appendLines(two, parseLine(4, "end a x @b0"), parseLine(5, "aborted a x @b0"))},
	} {
		got := brokenRules(c.lines...)
		if assert.NotEmpty(t, got, what) {
			assert.Equal(t, c.rule, got[0], what)
		}
		back := make([]Line, len(c.lines))
		for i, l := range c.lines {
			back[len(back)-1-i] = l
		}
		assert.NotEmpty(t, brokenRules(back...), "%s, lines in another order", what)
	}
}

func TestMaxRunning(t *testing.T) {
	assert.Equal(t, map[string]int{"a": 2, "b": 1}, MaxRunning([]Line{parseLine(1, "start a x @b0"), parseLine(2, "start a y @b0"), parseLine(3, "end a x @b0"), parseLine(4, "start a z @b0"),
		parseLine(5, "start b u @b0")}, rules))
}

// TestRead: what is written is read, and what is no line of a history is refused.
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
