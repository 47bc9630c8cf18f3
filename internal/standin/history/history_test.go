package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var zero = time.Unix(1000, 0)

func ms(n int) time.Time { return zero.Add(time.Duration(n) * time.Millisecond) }

// TestCheckFindsEachBreach checks that a history without a breach passes, and that a breach of a single rule is found
// under that rule alone.
func TestCheckFindsEachBreach(t *testing.T) {
	req := Req{Dispatcher: "n", ID: "a", Unsafe: true, SentAt: ms(0), Deadline: ms(1000)}
	ran := Attempt{ID: "a", Backend: "b0", FirstByteAt: ms(1), LastByteAt: ms(2), Result: "small"}
	served := Answer{ID: "a", At: ms(500), Status: 200, Body: "small"}
	repeat := Attempt{ID: "a", Backend: "b1", FirstByteAt: ms(20), LastByteAt: ms(21)}
	drain := Drain{Dispatcher: "n", Backend: "b0", PublishedAt: ms(-550)}
	clean := func(h *History) { h.AddReq(req); h.AddAttempts(ran); h.AddAnswer(served) }
	for name, c := range map[string]struct {
		want []string
		fill func(*History)
	}{
		"served":                      {nil, clean},
		"drain within its limit":      {nil, func(h *History) { clean(h); d := drain; d.PublishedAt = ms(-549); h.AddDrains(d) }},
		"drain beyond its limit":      {[]string{"drain"}, func(h *History) { clean(h); h.AddDrains(drain) }},
		"drain of another dispatcher": {nil, func(h *History) { clean(h); d := drain; d.Dispatcher = "m"; h.AddDrains(d) }},
		"drain of another backend":    {nil, func(h *History) { clean(h); d := drain; d.Backend = "b7"; h.AddDrains(d) }},
		"ready again":                 {nil, func(h *History) { clean(h); d := drain; d.ReadyAgainAt = ms(0); h.AddDrains(d) }},
		"partial request to a drained backend": {[]string{"drain"}, func(h *History) {
			clean(h)
			h.AddDrains(drain)
			h.attempts[0].Backend = "b1"
			h.AddAttempts(Attempt{Backend: "b0", FirstByteAt: ms(9)})
		}},
		"run twice":                      {[]string{"twice"}, func(h *History) { clean(h); h.AddAttempts(repeat) }},
		"run twice, recorded in reverse": {[]string{"twice"}, func(h *History) { h.AddAttempts(repeat); clean(h) }},
		"run twice, allowed":             {nil, func(h *History) { clean(h); h.AddAttempts(repeat); h.reqs[0].Unsafe = false }},
		"first attempt incomplete":       {nil, func(h *History) { clean(h); h.AddAttempts(repeat); h.attempts[0].LastByteAt = time.Time{} }},
		"first attempt refused":          {nil, func(h *History) { clean(h); h.AddAttempts(repeat); h.attempts[0].NeverRan = true }},
		"second attempt incomplete":      {nil, func(h *History) { clean(h); h.AddAttempts(Attempt{ID: "a", Backend: "b1", FirstByteAt: ms(20)}) }},
		"never answered":                 {[]string{"lost"}, func(h *History) { h.AddReq(req); h.AddAttempts(ran) }},
		"request never sent in full":     {nil, func(h *History) { r := req; r.SentAt = time.Time{}; h.AddReq(r) }},
		"client gone":                    {nil, func(h *History) { r := req; r.ClientGone = true; h.AddReq(r) }},
		"late within the limit":          {nil, func(h *History) { clean(h); h.answers[0].At = ms(1550) }},
		"too late":                       {[]string{"lost"}, func(h *History) { clean(h); h.answers[0].At = ms(1551) }},
		"answered twice":                 {[]string{"answers"}, func(h *History) { clean(h); h.AddAnswer(served) }},
		"reset":                          {[]string{"reset"}, func(h *History) { h.AddReq(req); h.AddAttempts(ran); h.AddReset("a", "EOF") }},
		"refused though it may have run": {[]string{"refusal"}, func(h *History) { clean(h); h.answers[0].Status = 503 }},
		"refused, never ran":             {nil, func(h *History) { clean(h); h.answers[0].Status, h.attempts[0].NeverRan = 429, true }},
		"failed though it may have run":  {nil, func(h *History) { clean(h); h.answers[0].Status = 502 }},
		"result of no backend":           {[]string{"forged"}, func(h *History) { clean(h); h.answers[0].Body = "large" }},
		"empty result":                   {[]string{"forged"}, func(h *History) { clean(h); h.answers[0].Body, h.attempts[0].Result = "", "" }},
		"result of another request":      {[]string{"forged"}, func(h *History) { clean(h); h.attempts[0].ID = "z" }},
		"reset after the answer":         {[]string{"reset"}, func(h *History) { clean(h); h.AddReset("a", "cut inside its body") }},
		"unread on a closed connection":  {nil, func(h *History) { r := req; r.ReusedConnection = true; h.AddReq(r); h.AddReset("a", "EOF") }},
		"closed connection, but it ran": {[]string{"reset"}, func(h *History) {
			r := req
			r.ReusedConnection = true
			h.AddReq(r)
			h.AddAttempts(ran)
			h.AddReset("a", "EOF")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := &History{}
			c.fill(h)
			var got []string
			for _, b := range h.Check(BasicRules(500 * time.Millisecond)) {
				got = append(got, b.Rule)
				assert.NotEmpty(t, b.String())
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// TestAttemptTimeRules checks the rules told, gone and window, each at its limit and 1 ms beyond it.
func TestAttemptTimeRules(t *testing.T) {
	const clockTolerance = 10 * time.Millisecond
	req := Req{Dispatcher: "n", ID: "a", SentAt: ms(0), Deadline: ms(1000), RepeatWindow: 500 * time.Millisecond}
	ran := Attempt{ID: "a", Backend: "b0", FirstByteAt: ms(100), LastByteAt: ms(101), Result: "small", TimeLeft: 900 * time.Millisecond}
	for name, c := range map[string]struct {
		change func(*Req, *Attempt, *Attempt)
		want   []string
	}{
		"no breach":                                      {func(*Req, *Attempt, *Attempt) {}, nil},
		"time left within the slack":                     {func(_ *Req, a, _ *Attempt) { a.TimeLeft = 1060 * time.Millisecond }, nil},
		"time left beyond the slack":                     {func(_ *Req, a, _ *Attempt) { a.TimeLeft = 1061 * time.Millisecond }, []string{"told"}},
		"time left not sent":                             {func(_ *Req, a, _ *Attempt) { a.TimeLeft = -1 }, nil},
		"started within the limit after the client left": {func(r *Req, _, _ *Attempt) { r.ClientGone, r.ClientGoneAt = true, ms(190) }, nil},
		"started too long after the client left":         {func(r *Req, _, _ *Attempt) { r.ClientGone, r.ClientGoneAt = true, ms(189) }, []string{"gone"}},
		"repeated outside the window":                    {func(_ *Req, _, b *Attempt) { b.FirstByteAt, b.TimeLeft = ms(611), 0 }, []string{"window"}},
		"repeated inside the window":                     {func(_ *Req, _, b *Attempt) { b.FirstByteAt, b.TimeLeft = ms(610), 0 }, nil},
		"repeated outside the window, first never ran":   {func(_ *Req, a, b *Attempt) { a.NeverRan, b.FirstByteAt, b.TimeLeft = true, ms(900), 0 }, nil},
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
		for _, breach := range h.Check(FullRules(500*time.Millisecond, clockTolerance)) {
			got = append(got, breach.Rule)
		}
		assert.Equal(t, c.want, got, name)
	}
}
