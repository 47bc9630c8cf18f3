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

var rules = Rules{Settle: 100 * time.Millisecond, Notice: 10 * time.Millisecond}

// at makes a line from "start a x @b0 !": the event, the team, the req, the backend, urgent.
func at(t int64, text string, units ...int) Line {
	f := strings.Fields(text)
	l := Line{T: t * ms, Event: f[0]}
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

func said(lines ...Line) (out []Rule) {
	for _, v := range Judge(lines, rules) {
		out = append(out, v.Rule)
	}
	return out
}

// and is a history that goes on.
func and(lines []Line, more ...Line) []Line { return slices.Concat(lines, more) }

// TestHolds: histories that are well.
func TestHolds(t *testing.T) {
	quota := at(-500, "quota a", 2)
	for what, lines := range map[string][]Line{
		"nothing":  nil,
		"no quota": {at(2, "start a x @b0"), at(2, "start a y @b0"), at(2, "start a z @b0")},
		"as many as the quota, one after another": {quota, at(2, "start a x @b0"), at(3, "start a y @b1"), at(4, "end a x @b0"), at(5, "start a z @b0")},
		"another team's":                       {quota, at(2, "start a x @b0"), at(3, "start a y @b1"), at(4, "start b z @b1")},
		"a second attempt of a req":            {quota, at(2, "start a x @b0"), at(3, "start a x @b1"), at(4, "start a y @b1"), at(5, "end a x @b0"), at(6, "end a x @b1"), at(7, "start a z @b1")},
		"lowered under what runs":              {quota, at(2, "start a x @b0"), at(3, "start a y @b0"), at(4, "quota a", 1), at(300, "end a x @b0"), at(301, "end a y @b0"), at(302, "start a z @b0")},
		"begun before all know of a lower one": {quota, at(2, "start a x @b0"), at(3, "quota a", 1), at(99, "start a y @b0")},
		"an end that the backend finds late":   {quota, at(2, "start a x @b0"), at(3, "start a y @b0"), at(4, "start a z @b0"), at(13, "aborted a x @b0")},
		"urgent by the reserve":                {quota, at(-500, "reserve", 1), at(2, "start a x @b0"), at(3, "start a y @b0"), at(4, "start a z @b0 !")},
		"urgent by the quota, others beside":   {quota, at(2, "start a x @b0 !"), at(3, "start a y @b0")},
		"starts and ends in one moment":        {quota, at(2, "start a x @b0"), at(2, "end a x @b0"), at(2, "start a y @b0")},
		"an abort found late of a short run":   {quota, at(2, "start a x @b0"), at(2, "start a y @b0"), at(3, "aborted a x @b0"), at(4, "start a z @b0")},
	} {
		assert.Empty(t, said(lines...), what)
	}
}

// TestSaysNo: each way in which a history breaks a rule.
func TestSaysNo(t *testing.T) {
	quota := at(-500, "quota a", 2)
	two := []Line{quota, at(2, "start a x @b0"), at(3, "start a y @b1")}
	for what, c := range map[string]struct {
		rule  Rule
		lines []Line
	}{
		"one more in the moment of an end":   {WithinQuota, and(two, at(4, "start a z @b0"), at(4, "end a x @b0"))},
		"one more":                           {WithinQuota, and(two, at(4, "start a z @b0"))},
		"one more for a moment":              {WithinQuota, and(two, at(4, "start a z @b0"), at(4, "end a z @b0"), at(5, "end a x @b0"))},
		"an end that comes too late":         {WithinQuota, and(two, at(4, "start a z @b0"), at(5, "end a x @b0"))},
		"an abort that comes too late":       {WithinQuota, and(two, at(4, "start a z @b0"), at(15, "aborted a x @b0"))},
		"the end of one attempt of two":      {WithinQuota, and(two, at(4, "start a x @b2"), at(5, "end a x @b0"), at(6, "start a z @b0"))},
		"after the quota was lowered":        {WithinQuota, and(two, at(4, "quota a", 1), at(5, "end a x @b0"), at(105, "start a z @b0"))},
		"a quota of none":                    {WithinQuota, []Line{at(-500, "quota a", 0), at(200, "start a x @b0")}},
		"where there was no quota before":    {WithinQuota, []Line{at(1, "start a x @b0"), at(2, "quota a", 1), at(200, "start a y @b0")}},
		"urgent, and no reserve":             {WithinReserve, and(two, at(4, "start a z @b0 !"))},
		"urgent beyond the reserve":          {WithinReserve, and(two, at(-500, "reserve", 1), at(4, "start a z @b0 !"), at(5, "start a u @b0 !"))},
		"urgent of two teams beyond it":      {WithinReserve, and(two, at(-500, "quota b", 0), at(-500, "reserve", 1), at(4, "start a z @b0 !"), at(115, "start b u @b0 !"))},
		"one that is not, beside the urgent": {WithinQuota, and(two, at(-500, "reserve", 5), at(4, "start a z @b0 !"), at(5, "start a u @b0"))},
		"an end with no start":               {Whole, and(two, at(4, "end a z @b0"))},
		"an end at another backend":          {Whole, and(two, at(4, "end a x @b1"))},
		"two ends of one start":              {Whole, and(two, at(4, "end a x @b0"), at(5, "aborted a x @b0"))},
	} {
		got := said(c.lines...)
		if assert.NotEmpty(t, got, what) {
			assert.Equal(t, c.rule, got[0], what)
		}
		back := make([]Line, len(c.lines))
		for i, l := range c.lines {
			back[len(back)-1-i] = l
		}
		assert.NotEmpty(t, said(back...), "%s, lines in another order", what)
	}
}

func TestMost(t *testing.T) {
	assert.Equal(t, map[string]int{"a": 2, "b": 1}, Most([]Line{at(1, "start a x @b0"), at(2, "start a y @b0"), at(3, "end a x @b0"), at(4, "start a z @b0"),
		at(5, "start b u @b0")}, rules))
}

// TestRead: what is written is read, and what is no line of a history is refused.
func TestRead(t *testing.T) {
	lines := []Line{at(1, "quota a", 2), at(2, "start a x @b0 !")}
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
