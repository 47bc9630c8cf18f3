package judge

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

var rules = Rules{AnswerSlack: 50, SendGrace: 500, RepeatWindow: 7500, FallMultiple: 3, FallWindow: 2000}

// check runs a Checker with rules over events, up to the time 100 s.
func check(events ...Event) *Checker {
	j := &Checker{Rules: rules}
	for _, e := range events {
		j.Handle(e)
	}
	j.Finish(100_000)
	return j
}

func received(at float64, id string) Event {
	return Event{At: at, Kind: ReqReceived, Req: id, Deadline: at + 5000}
}
func sent(at float64, id string, n int, to string, group int) Event {
	return Event{At: at, Kind: AttemptSent, Req: id, Attempt: n, Backend: to, Group: group, Work: 200}
}
func ended(at float64, id string, n int, neverRan bool) Event {
	return Event{At: at, Kind: AttemptEnded, Req: id, Attempt: n, NeverRan: neverRan}
}
func (e Event) withEffect(effect Effect) Event { e.Effect = effect; return e }
func answered(at float64, id string, v AnswerKind) Event {
	return Event{At: at, Kind: ReqAnswered, Req: id, AnswerKind: v}
}

// TestRules checks that the Checker finds exactly the named rule broken in each log, first at the named event.
func TestRules(t *testing.T) {
	state := func(at float64, ready bool) Event {
		return Event{At: at, Kind: StateReceived, Backend: "a", Ready: ready}
	}
	cold := func(at float64, id string, n int) Event {
		e := sent(at, id, n, "a", 1)
		e.Work, e.Capacity = 400, 0.5 // the limit is 3000 in a window
		return e
	}
	coldRun := func(n int, gap float64) (list []Event) {
		for i := range n {
			id := string(rune('a' + i))
			list = append(list, received(float64(i)*gap, id), cold(float64(i)*gap, id, 0), answered(float64(i)*gap, id, Served))
		}
		return list
	}
	for name, c := range map[string]struct {
		log  []Event
		rule string
		at   int
	}{
		"served":                                {[]Event{received(0, "x"), sent(1, "x", 0, "a", 1), ended(200, "x", 0, false), answered(200, "x", Served)}, "", 0},
		"no answer":                             {[]Event{received(0, "x"), sent(1, "x", 0, "a", 1)}, "lost", 2},
		"an answer within the slack":            {[]Event{received(0, "x"), answered(5050, "x", Failed)}, "", 0},
		"an answer too late":                    {[]Event{received(0, "x"), answered(5051, "x", Failed)}, "lost", 1},
		"two answers":                           {[]Event{received(0, "x"), answered(1, "x", Failed), answered(2, "x", Served)}, "twice", 2},
		"an answer without a request":           {[]Event{answered(1, "x", Failed)}, "lost", 0},
		"sent again after it never ran":         {[]Event{received(0, "x"), sent(1, "x", 0, "a", 1), ended(2, "x", 0, true), sent(3, "x", 1, "b", 2), answered(9, "x", Served)}, "", 0},
		"sent to another group":                 {[]Event{received(0, "x"), sent(1, "x", 0, "a", 1), ended(2, "x", 0, false), sent(3, "x", 1, "b", 2), answered(9, "x", Served)}, "repeat", 3},
		"a copy in its group":                   {[]Event{received(0, "x"), sent(1, "x", 0, "a", 1), sent(3, "x", 1, "b", 1), answered(9, "x", Served)}, "", 0},
		"a copy after the repeat window":        {[]Event{{Kind: ReqReceived, Req: "x", Deadline: 20000}, sent(1, "x", 0, "a", 1), sent(7501, "x", 1, "b", 1), answered(9000, "x", Served)}, "repeat", 2},
		"refused while it may run":              {[]Event{received(0, "x"), sent(1, "x", 0, "a", 1), answered(9, "x", Refused)}, "repeat", 2},
		"a first attempt that was never sent":   {[]Event{received(0, "x"), sent(3, "x", 1, "b", 2), answered(9, "x", Served)}, "", 0},
		"to a draining backend, in the grace":   {[]Event{state(0, false), received(1, "x"), sent(500, "x", 0, "a", 1), answered(600, "x", Served)}, "", 0},
		"to a draining backend":                 {[]Event{state(0, false), state(400, false), received(1, "x"), sent(501, "x", 0, "a", 1), answered(600, "x", Served)}, "drain", 3},
		"to a backend that is ready again":      {[]Event{state(0, false), state(400, true), received(401, "x"), sent(901, "x", 0, "a", 1), answered(950, "x", Served)}, "", 0},
		"to a banned backend":                   {[]Event{{Kind: BanSet, Backend: "a"}, received(1, "x"), sent(501, "x", 0, "a", 1), answered(600, "x", Served)}, "ban", 2},
		"to a backend whose ban was lifted":     {[]Event{{Kind: BanSet, Backend: "a"}, {At: 9, Kind: BanLifted, Backend: "a"}, received(10, "x"), sent(600, "x", 0, "a", 1), answered(700, "x", Served)}, "", 0},
		"too much for a cold backend":           {coldRun(8, 100), "cold", 22},
		"as much, over a longer time":           {coldRun(20, 300), "", 0},
		"repeatable, sent anywhere and refused": {[]Event{{Kind: ReqReceived, Req: "x", Deadline: 20000, Effect: Repeatable}, sent(1, "x", 0, "a", 1), sent(8000, "x", 1, "b", 2), answered(9000, "x", Refused)}, "", 0},
		"not idempotent, after it never ran":    {[]Event{received(0, "x").withEffect(NonIdempotent), sent(1, "x", 0, "a", 1), ended(2, "x", 0, true), sent(3, "x", 1, "a", 1), answered(9, "x", Served)}, "", 0},
		"not idempotent, in its own group":      {[]Event{received(0, "x").withEffect(NonIdempotent), sent(1, "x", 0, "a", 1), ended(2, "x", 0, false), sent(3, "x", 1, "a", 1), answered(9, "x", Served)}, "repeat", 3},
		"not idempotent, refused after a run":   {[]Event{received(0, "x").withEffect(NonIdempotent), sent(1, "x", 0, "a", 1), ended(2, "x", 0, false), answered(9, "x", Refused)}, "repeat", 3},
		"no answer, its dispatcher was killed":  {[]Event{state(0, false), received(0, "x"), sent(1, "x", 0, "a", 1), {At: 2, Kind: DispatcherKilled}, received(700, "y"), sent(700, "y", 0, "a", 1), answered(800, "y", Served)}, "", 0},
		"no answer, another was killed":         {[]Event{received(0, "x"), {At: 2, Kind: DispatcherKilled, Node: 1}}, "lost", 2},
		"a crashed cold backend":                {[]Event{{Kind: BackendOverloaded, Backend: "a"}}, "cold", 0},
	} {
		j := check(c.log...)
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

// TestServiceLevel checks the overall service level and that of the worst window, for two window lengths.
func TestServiceLevel(t *testing.T) {
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
