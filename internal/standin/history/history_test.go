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
	req := Req{Dispatcher: "n", ID: "a", Unsafe: true, SentAt: ms(0), Deadline: ms(1000)}
	ran := Attempt{ID: "a", Backend: "b0", FirstByteAt: ms(1), LastByteAt: ms(2), Result: "small"}
	served := Answer{ID: "a", At: ms(500), Status: 200, Body: "small"}
	again := Attempt{ID: "a", Backend: "b1", FirstByteAt: ms(20), LastByteAt: ms(21)}
	drain := Drain{Dispatcher: "n", Backend: "b0", PublishedAt: ms(-550)}
	clean := func(h *History) { h.AddReq(req); h.AddAttempts(ran); h.AddAnswer(served) }
	for name, c := range map[string]struct {
		want []string
		play func(*History)
	}{
		"served":               {nil, clean},
		"drained a moment ago": {nil, func(h *History) { clean(h); d := drain; d.PublishedAt = ms(-549); h.AddDrains(d) }},
		"drained too long ago": {[]string{"drain"}, func(h *History) { clean(h); h.AddDrains(drain) }},
		"another's drain":      {nil, func(h *History) { clean(h); d := drain; d.Dispatcher = "m"; h.AddDrains(d) }},
		"another backend's":    {nil, func(h *History) { clean(h); d := drain; d.Backend = "b7"; h.AddDrains(d) }},
		"ready again":          {nil, func(h *History) { clean(h); d := drain; d.ReadyAgainAt = ms(0); h.AddDrains(d) }},
		"half a req to a drained": {[]string{"drain"}, func(h *History) {
			clean(h)
			h.AddDrains(drain)
			h.attempts[0].Backend = "b1"
			h.AddAttempts(Attempt{Backend: "b0", FirstByteAt: ms(9)})
		}},
		"run twice":                {[]string{"twice"}, func(h *History) { clean(h); h.AddAttempts(again) }},
		"noted the other way":      {[]string{"twice"}, func(h *History) { h.AddAttempts(again); clean(h) }},
		"twice, and harmless":      {nil, func(h *History) { clean(h); h.AddAttempts(again); h.reqs[0].Unsafe = false }},
		"first never whole":        {nil, func(h *History) { clean(h); h.AddAttempts(again); h.attempts[0].LastByteAt = time.Time{} }},
		"first turned away":        {nil, func(h *History) { clean(h); h.AddAttempts(again); h.attempts[0].NeverRan = true }},
		"second never whole":       {nil, func(h *History) { clean(h); h.AddAttempts(Attempt{ID: "a", Backend: "b1", FirstByteAt: ms(20)}) }},
		"never answered":           {[]string{"lost"}, func(h *History) { h.AddReq(req); h.AddAttempts(ran) }},
		"never whole":              {nil, func(h *History) { r := req; r.SentAt = time.Time{}; h.AddReq(r) }},
		"its client left":          {nil, func(h *History) { r := req; r.ClientGone = true; h.AddReq(r) }},
		"late":                     {nil, func(h *History) { clean(h); h.answers[0].At = ms(1550) }},
		"too late":                 {[]string{"lost"}, func(h *History) { clean(h); h.answers[0].At = ms(1551) }},
		"answered twice":           {[]string{"answers"}, func(h *History) { clean(h); h.AddAnswer(served) }},
		"reset":                    {[]string{"reset"}, func(h *History) { h.AddReq(req); h.AddAttempts(ran); h.AddReset("a", "EOF") }},
		"refused once it may run":  {[]string{"refusal"}, func(h *History) { clean(h); h.answers[0].Status = 503 }},
		"refused, and harmless":    {nil, func(h *History) { clean(h); h.answers[0].Status, h.attempts[0].NeverRan = 429, true }},
		"failed once it may run":   {nil, func(h *History) { clean(h); h.answers[0].Status = 502 }},
		"nobody's result":          {[]string{"forged"}, func(h *History) { clean(h); h.answers[0].Body = "large" }},
		"an empty result is none":  {[]string{"forged"}, func(h *History) { clean(h); h.answers[0].Body, h.attempts[0].Result = "", "" }},
		"another req's result":     {[]string{"forged"}, func(h *History) { clean(h); h.attempts[0].ID = "z" }},
		"a reset after the answer": {[]string{"reset"}, func(h *History) { clean(h); h.AddReset("a", "cut inside its body") }},
		"crossed a close unread":   {nil, func(h *History) { r := req; r.ReusedConnection = true; h.AddReq(r); h.AddReset("a", "EOF") }},
		"crossed a close, and ran": {[]string{"reset"}, func(h *History) {
			r := req
			r.ReusedConnection = true
			h.AddReq(r)
			h.AddAttempts(ran)
			h.AddReset("a", "EOF")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := &History{}
			c.play(h)
			var got []string
			for _, b := range h.Check(BasicRules(500 * time.Millisecond)) {
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
	req := Req{Dispatcher: "n", ID: "a", SentAt: ms(0), Deadline: ms(1000), RepeatWindow: 500 * time.Millisecond}
	ran := Attempt{ID: "a", Backend: "b0", FirstByteAt: ms(100), LastByteAt: ms(101), Result: "small", TimeLeft: 900 * time.Millisecond}
	for name, c := range map[string]struct {
		change func(*Req, *Attempt, *Attempt)
		want   []string
	}{
		"in order":             {func(*Req, *Attempt, *Attempt) {}, nil},
		"told with slack":      {func(_ *Req, a, _ *Attempt) { a.TimeLeft = 1060 * time.Millisecond }, nil},
		"told too much":        {func(_ *Req, a, _ *Attempt) { a.TimeLeft = 1061 * time.Millisecond }, []string{"told"}},
		"told nothing":         {func(_ *Req, a, _ *Attempt) { a.TimeLeft = -1 }, nil},
		"just gone":            {func(r *Req, _, _ *Attempt) { r.ClientGone, r.ClientGoneAt = true, ms(190) }, nil},
		"gone":                 {func(r *Req, _, _ *Attempt) { r.ClientGone, r.ClientGoneAt = true, ms(189) }, []string{"gone"}},
		"outside":              {func(_ *Req, _, b *Attempt) { b.FirstByteAt, b.TimeLeft = ms(611), 0 }, []string{"window"}},
		"inside":               {func(_ *Req, _, b *Attempt) { b.FirstByteAt, b.TimeLeft = ms(610), 0 }, nil},
		"outside, handed back": {func(_ *Req, a, b *Attempt) { a.NeverRan, b.FirstByteAt, b.TimeLeft = true, ms(900), 0 }, nil},
	} {
		r, a, b := req, ran, ran
		b.Backend, b.FirstByteAt, b.LastByteAt = "b1", ms(300), ms(301)
		b.TimeLeft = 700 * time.Millisecond
		c.change(&r, &a, &b)
		h := &History{}
		h.AddReq(r)
		h.AddAttempts(a, b)
		h.AddAnswer(Answer{ID: "a", At: ms(700), Status: 200, Body: "small"})
		var got []string
		for _, x := range h.Check(FullRules(500*time.Millisecond, machine)) {
			got = append(got, x.Rule)
		}
		assert.Equal(t, c.want, got, name)
	}
}
