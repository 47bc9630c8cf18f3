package judge

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

var rules = Rules{AnswerSlack: 50, SendGrace: 500, RepeatWindow: 7500, FallMultiple: 3, FallWindow: 2000}

// log makes events of few words: each has a time, and what it needs.
func judge(events ...Event) *Checker {
	j := &Checker{Rules: rules}
	for _, e := range events {
		j.Handle(e)
	}
	j.Finish(100_000)
	return j
}

func ask(at float64, id string) Event {
	return Event{At: at, Kind: ReqReceived, Req: id, Deadline: at + 5000}
}
func sent(at float64, id string, n int, to string, group int) Event {
	return Event{At: at, Kind: AttemptSent, Req: id, Attempt: n, Backend: to, Group: group, Work: 200}
}
func ended(at float64, id string, n int, never bool) Event {
	return Event{At: at, Kind: AttemptEnded, Req: id, Attempt: n, NeverRan: never}
}
func (e Event) of(effect Effect) Event { e.Effect = effect; return e }
func answer(at float64, id string, v AnswerKind) Event {
	return Event{At: at, Kind: ReqAnswered, Req: id, AnswerKind: v}
}

// TestRules: each log breaks just the rule that it names, at the event that it names; the judge finds no other.
func TestRules(t *testing.T) {
	told := func(at float64, ready bool) Event {
		return Event{At: at, Kind: StateReceived, Backend: "a", Ready: ready}
	}
	cold := func(at float64, id string, n int) Event {
		e := sent(at, id, n, "a", 1)
		e.Work, e.Capacity = 400, 0.5 // 3000 in a window
		return e
	}
	many := func(n int, gap float64) (list []Event) {
		for i := range n {
			id := string(rune('a' + i))
			list = append(list, ask(float64(i)*gap, id), cold(float64(i)*gap, id, 0), answer(float64(i)*gap, id, Served))
		}
		return list
	}
	for name, c := range map[string]struct {
		log  []Event
		rule string
		at   int
	}{
		"served":                                {[]Event{ask(0, "x"), sent(1, "x", 0, "a", 1), ended(200, "x", 0, false), answer(200, "x", Served)}, "", 0},
		"no answer":                             {[]Event{ask(0, "x"), sent(1, "x", 0, "a", 1)}, "lost", 2},
		"an answer within the slack":            {[]Event{ask(0, "x"), answer(5050, "x", Failed)}, "", 0},
		"an answer too late":                    {[]Event{ask(0, "x"), answer(5051, "x", Failed)}, "lost", 1},
		"two answers":                           {[]Event{ask(0, "x"), answer(1, "x", Failed), answer(2, "x", Served)}, "twice", 2},
		"an answer to nobody":                   {[]Event{answer(1, "x", Failed)}, "lost", 0},
		"sent again after it never ran":         {[]Event{ask(0, "x"), sent(1, "x", 0, "a", 1), ended(2, "x", 0, true), sent(3, "x", 1, "b", 2), answer(9, "x", Served)}, "", 0},
		"sent to another group":                 {[]Event{ask(0, "x"), sent(1, "x", 0, "a", 1), ended(2, "x", 0, false), sent(3, "x", 1, "b", 2), answer(9, "x", Served)}, "repeat", 3},
		"a copy in its group":                   {[]Event{ask(0, "x"), sent(1, "x", 0, "a", 1), sent(3, "x", 1, "b", 1), answer(9, "x", Served)}, "", 0},
		"a copy that its group forgot":          {[]Event{{Kind: ReqReceived, Req: "x", Deadline: 20000}, sent(1, "x", 0, "a", 1), sent(7501, "x", 1, "b", 1), answer(9000, "x", Served)}, "repeat", 2},
		"refused while it may run":              {[]Event{ask(0, "x"), sent(1, "x", 0, "a", 1), answer(9, "x", Refused)}, "repeat", 2},
		"a first attempt that never began":      {[]Event{ask(0, "x"), sent(3, "x", 1, "b", 2), answer(9, "x", Served)}, "", 0},
		"to one that drains, in the grace":      {[]Event{told(0, false), ask(1, "x"), sent(500, "x", 0, "a", 1), answer(600, "x", Served)}, "", 0},
		"to one that drains":                    {[]Event{told(0, false), told(400, false), ask(1, "x"), sent(501, "x", 0, "a", 1), answer(600, "x", Served)}, "drain", 3},
		"to one that is ready again":            {[]Event{told(0, false), told(400, true), ask(401, "x"), sent(901, "x", 0, "a", 1), answer(950, "x", Served)}, "", 0},
		"to one that is banned":                 {[]Event{{Kind: BanSet, Backend: "a"}, ask(1, "x"), sent(501, "x", 0, "a", 1), answer(600, "x", Served)}, "ban", 2},
		"to one that was called back":           {[]Event{{Kind: BanSet, Backend: "a"}, {At: 9, Kind: BanLifted, Backend: "a"}, ask(10, "x"), sent(600, "x", 0, "a", 1), answer(700, "x", Served)}, "", 0},
		"too much for a cold one":               {many(8, 100), "cold", 22},
		"as much, spread out":                   {many(20, 300), "", 0},
		"a safe one, sent anywhere and refused": {[]Event{{Kind: ReqReceived, Req: "x", Deadline: 20000, Effect: Repeatable}, sent(1, "x", 0, "a", 1), sent(8000, "x", 1, "b", 2), answer(9000, "x", Refused)}, "", 0},
		"once, after it never ran":              {[]Event{ask(0, "x").of(NonIdempotent), sent(1, "x", 0, "a", 1), ended(2, "x", 0, true), sent(3, "x", 1, "a", 1), answer(9, "x", Served)}, "", 0},
		"once, in its own group":                {[]Event{ask(0, "x").of(NonIdempotent), sent(1, "x", 0, "a", 1), ended(2, "x", 0, false), sent(3, "x", 1, "a", 1), answer(9, "x", Served)}, "repeat", 3},
		"once, refused after it may have run":   {[]Event{ask(0, "x").of(NonIdempotent), sent(1, "x", 0, "a", 1), ended(2, "x", 0, false), answer(9, "x", Refused)}, "repeat", 3},
		"owed by one that was killed":           {[]Event{told(0, false), ask(0, "x"), sent(1, "x", 0, "a", 1), {At: 2, Kind: DispatcherKilled}, ask(700, "y"), sent(700, "y", 0, "a", 1), answer(800, "y", Served)}, "", 0},
		"owed by another":                       {[]Event{ask(0, "x"), {At: 2, Kind: DispatcherKilled, Node: 1}}, "lost", 2},
		"one that fell":                         {[]Event{{Kind: BackendOverloaded, Backend: "a"}}, "cold", 0},
	} {
		j := judge(c.log...)
		if c.rule == "" {
			assert.Empty(t, j.Violations(), name)
			continue
		}
		if assert.NotEmpty(t, j.Violations(), name) {
			assert.Equal(t, c.rule, j.Violations()[0].Rule, name)
			assert.Equal(t, c.at, j.Violations()[0].Event, name)
			assert.Equal(t, j.Count(""), j.Count(c.rule), name)
			assert.Contains(t, j.Violations()[0].String(), c.rule)
		}
	}
}

func TestService(t *testing.T) {
	var s ServiceLevel
	assert.Equal(t, 1.0, s.Overall())
	for i := range 40 {
		s.Add(float64(i)*1000, i < 20 || i >= 25)
	}
	assert.Equal(t, 35.0/40, s.Overall())
	assert.Equal(t, 0.5, s.WorstWindow())
	assert.Len(t, s.PerSecond(), 40)
	s.Window = 5000
	assert.Equal(t, 0.0, s.WorstWindow())
}
