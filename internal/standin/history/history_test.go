package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var zero = time.Unix(1000, 0)

func ms(n int) time.Time { return zero.Add(time.Duration(n) * time.Millisecond) }

// TestJudgeSaysNo: a clean history is let pass, and each rule broken alone is found, and no other.
func TestJudgeSaysNo(t *testing.T) {
	req := Req{Node: "n", ID: "a", Unsafe: true, Taken: ms(0), Until: ms(1000)}
	ran := Attempt{ID: "a", Backend: "b0", First: ms(1), Last: ms(2), Result: "small"}
	served := Answer{ID: "a", At: ms(500), Status: 200, Body: "small"}
	again := Attempt{ID: "a", Backend: "b1", First: ms(20), Last: ms(21)}
	drain := Drain{Node: "n", Backend: "b0", From: ms(-550)}
	clean := func(h *History) { h.Asked(req); h.Attempted(ran); h.Answered(served) }
	for name, c := range map[string]struct {
		want []string
		play func(*History)
	}{
		"served":               {nil, clean},
		"drained a moment ago": {nil, func(h *History) { clean(h); d := drain; d.From = ms(-549); h.Drained(d) }},
		"drained too long ago": {[]string{"drain"}, func(h *History) { clean(h); h.Drained(drain) }},
		"another's drain":      {nil, func(h *History) { clean(h); d := drain; d.Node = "m"; h.Drained(d) }},
		"another backend's":    {nil, func(h *History) { clean(h); d := drain; d.Backend = "b7"; h.Drained(d) }},
		"ready again":          {nil, func(h *History) { clean(h); d := drain; d.To = ms(0); h.Drained(d) }},
		"half a req to a drained": {[]string{"drain"}, func(h *History) {
			clean(h)
			h.Drained(drain)
			h.attempts[0].Backend = "b1"
			h.Attempted(Attempt{Backend: "b0", First: ms(9)})
		}},
		"run twice":                {[]string{"twice"}, func(h *History) { clean(h); h.Attempted(again) }},
		"noted the other way":      {[]string{"twice"}, func(h *History) { h.Attempted(again); clean(h) }},
		"twice, and harmless":      {nil, func(h *History) { clean(h); h.Attempted(again); h.reqs[0].Unsafe = false }},
		"first never whole":        {nil, func(h *History) { clean(h); h.Attempted(again); h.attempts[0].Last = time.Time{} }},
		"first turned away":        {nil, func(h *History) { clean(h); h.Attempted(again); h.attempts[0].Never = true }},
		"second never whole":       {nil, func(h *History) { clean(h); h.Attempted(Attempt{ID: "a", Backend: "b1", First: ms(20)}) }},
		"never answered":           {[]string{"lost"}, func(h *History) { h.Asked(req); h.Attempted(ran) }},
		"never whole":              {nil, func(h *History) { r := req; r.Taken = time.Time{}; h.Asked(r) }},
		"its client left":          {nil, func(h *History) { r := req; r.Gone = true; h.Asked(r) }},
		"late":                     {nil, func(h *History) { clean(h); h.answers[0].At = ms(1550) }},
		"too late":                 {[]string{"lost"}, func(h *History) { clean(h); h.answers[0].At = ms(1551) }},
		"answered twice":           {[]string{"answers"}, func(h *History) { clean(h); h.Answered(served) }},
		"reset":                    {[]string{"reset"}, func(h *History) { h.Asked(req); h.Attempted(ran); h.Reset("a", "EOF") }},
		"refused once it may run":  {[]string{"refusal"}, func(h *History) { clean(h); h.answers[0].Status = 503 }},
		"refused, and harmless":    {nil, func(h *History) { clean(h); h.answers[0].Status, h.attempts[0].Never = 429, true }},
		"failed once it may run":   {nil, func(h *History) { clean(h); h.answers[0].Status = 502 }},
		"nobody's result":          {[]string{"forged"}, func(h *History) { clean(h); h.answers[0].Body = "large" }},
		"an empty result is none":  {[]string{"forged"}, func(h *History) { clean(h); h.answers[0].Body, h.attempts[0].Result = "", "" }},
		"another req's result":     {[]string{"forged"}, func(h *History) { clean(h); h.attempts[0].ID = "z" }},
		"a reset after the answer": {[]string{"reset"}, func(h *History) { clean(h); h.Reset("a", "cut inside its body") }},
		"crossed a close unread":   {nil, func(h *History) { r := req; r.Reused = true; h.Asked(r); h.Reset("a", "EOF") }},
		"crossed a close, and ran": {[]string{"reset"}, func(h *History) {
			r := req
			r.Reused = true
			h.Asked(r)
			h.Attempted(ran)
			h.Reset("a", "EOF")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := &History{}
			c.play(h)
			var got []string
			for _, b := range h.Judge(Published(500 * time.Millisecond)) {
				got = append(got, b.Rule)
				assert.NotEmpty(t, b.String())
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// TestNewestSaysNo: the newest terms, each up to its last millisecond.
func TestNewestSaysNo(t *testing.T) {
	const machine = 10 * time.Millisecond
	req := Req{Node: "n", ID: "a", Taken: ms(0), Until: ms(1000), Window: 500 * time.Millisecond}
	ran := Attempt{ID: "a", Backend: "b0", First: ms(100), Last: ms(101), Result: "small", Told: 900 * time.Millisecond}
	for name, c := range map[string]struct {
		change func(*Req, *Attempt, *Attempt)
		want   []string
	}{
		"in order":             {func(*Req, *Attempt, *Attempt) {}, nil},
		"told with slack":      {func(_ *Req, a, _ *Attempt) { a.Told = 1060 * time.Millisecond }, nil},
		"told too much":        {func(_ *Req, a, _ *Attempt) { a.Told = 1061 * time.Millisecond }, []string{"told"}},
		"told nothing":         {func(_ *Req, a, _ *Attempt) { a.Told = -1 }, nil},
		"just gone":            {func(r *Req, _, _ *Attempt) { r.Gone, r.GoneAt = true, ms(190) }, nil},
		"gone":                 {func(r *Req, _, _ *Attempt) { r.Gone, r.GoneAt = true, ms(189) }, []string{"gone"}},
		"outside":              {func(_ *Req, _, b *Attempt) { b.First, b.Told = ms(611), 0 }, []string{"window"}},
		"inside":               {func(_ *Req, _, b *Attempt) { b.First, b.Told = ms(610), 0 }, nil},
		"outside, handed back": {func(_ *Req, a, b *Attempt) { a.Never, b.First, b.Told = true, ms(900), 0 }, nil},
	} {
		r, a, b := req, ran, ran
		b.Backend, b.First, b.Last = "b1", ms(300), ms(301)
		b.Told = 700 * time.Millisecond
		c.change(&r, &a, &b)
		h := &History{}
		h.Asked(r)
		h.Attempted(a, b)
		h.Answered(Answer{ID: "a", At: ms(700), Status: 200, Body: "small"})
		var got []string
		for _, x := range h.Judge(Newest(500*time.Millisecond, machine)) {
			got = append(got, x.Rule)
		}
		assert.Equal(t, c.want, got, name)
	}
}
