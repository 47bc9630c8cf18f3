package script

import (
	"maps"
	"slices"
	"strings"

	"go.starlark.net/starlark"

	"tinsail/internal/balance"
	"tinsail/internal/lab/sim"
)

// oneOf removes a keyword argument that must be one of the words, and returns the word's value.
func oneOf[T any](a *args, name, defaultWord string, words map[string]T) T {
	word := defaultWord
	if v, ok := a.named(name); ok {
		word, _ = starlark.AsString(v)
	}
	out, known := words[word]
	if !known {
		a.fail("%s is %q, want one of %s", name, word, strings.Join(slices.Sorted(maps.Keys(words)), ", "))
	}
	return out
}

// class adds a class of requests. Where classes exist, the work, aim and deadline of traffic() are not used for
// requests; they only are the defaults of a class.
func (r *reader) class(a *args) (starlark.Value, error) {
	s := &r.sc
	s.Classes = append(s.Classes, sim.Class{Name: a.text("name"), Share: share(a), Work: a.number("work_ms", s.Work, 0.001, 1e6),
		Spread: a.number("spread", s.Spread, 0, 3), AttemptSpread: a.number("noise", 0, 0, 3), Aim: a.number("aim_ms", s.Aim, 0.001, 1e6),
		Stretch: a.number("stretch", s.Stretch, 0.001, 100), Deadline: a.number("deadline_ms", s.Deadline, 1, 1e6), Worth: a.number("worth", 1, 0, 1e6),
		TwoSlotShare: a.number("wide", 0, 0, 1), Urgent: a.number("urgent", 0, 0, 1) == 1, RepeatWindow: a.seconds("repeat_window", 7500),
		Effect: oneOf(a, "effect", "keyed", map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Deduped, "unsafe": balance.Unsafe})})
	return nil, nil
}

// share returns a class's share of the requests that arrive by traffic(). A class of tenants' standing demand has no
// such share: its requests come from tenants().
func share(a *args) float64 {
	if a.number("standing", 0, 0, 1) == 1 {
		return 0
	}
	return a.number("share", 1, 0.001, 1000)
}

// site sets the dispatchers' settings of a site, other than its classes.
func (r *reader) site(a *args) (starlark.Value, error) {
	r.once(a)
	r.sc.Site = sim.Site{
		Unweighted: oneOf(a, "weights", "size", map[string]bool{"size": false, "none": true}), ProgressEvery: a.seconds("progress", 0),
		OverShareWorth: a.number("over_share_worth", 0, 0, 1),
		WorthByWork:    oneOf(a, "worth_by", "req", map[string]bool{"req": false, "work": true}), EstimateSpread: a.number("guess", 0, 0, 3),
		Mix:           balance.Mix{Whole: a.number("whole", 0, 0, 1), WorstWindow: a.number("worst_window", 0, 0, 1), WorstClass: a.number("worst_class", 0, 0, 1)},
		StartCapacity: a.number("start_capacity", 0, 0, 1), WarmAfter: a.seconds("warm_after", 0),
		FallMultiple: a.number("fall_multiple", 0, 0, 1e4), ConnectTimeout: a.number("connect_ms", 0, 0, 1e5)}
	return nil, nil
}

// heavy multiplies the work of part of a class's requests for some time.
func (r *reader) heavy(a *args) (starlark.Value, error) {
	from := a.seconds("start", 0)
	h := sim.HeavyPeriod{From: from, To: from + a.seconds("length", 10_000), Share: a.number("part", 0.02, 0, 1), WorkFactor: a.number("times", 10, 1, 1e4)}
	if v, ok := a.named("name"); ok {
		h.Class, _ = starlark.AsString(v)
	}
	r.sc.HeavyPeriods = append(r.sc.HeavyPeriods, h)
	return nil, nil
}

// stale delays the dispatchers' knowledge of changes of the list of backends for some time.
func (r *reader) stale(a *args) (starlark.Value, error) {
	from := a.seconds("start", 0)
	r.sc.ListDelays = append(r.sc.ListDelays, sim.ListDelay{From: from, To: from + a.seconds("length", 10_000), Delay: a.seconds("by", 5000)})
	return nil, nil
}

// restart kills a dispatcher, numbered from 0, and starts it again with the last list of backends that it had.
func (r *reader) restart(a *args) (starlark.Value, error) {
	r.sc.Restarts = append(r.sc.Restarts, sim.Restart{At: a.seconds("start", 0), Dispatcher: int(a.number("dispatcher", 0, 0, 999)),
		Downtime: a.seconds("down", 800), FrontDelay: a.seconds("notice", 2500), Graceful: a.number("orderly", 0, 0, 1) == 1})
	return nil, nil
}
