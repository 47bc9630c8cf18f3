package platform

import "time"

// Figures of the pages ("Figures", and the standing test's "Days at full size").
const (
	lastsBetween = 200 * time.Millisecond // a watch lasts if the next call comes within this
	toldAnyhow   = 6 * time.Second        // after it fell silent, or was made
	toldAfter    = 2 * time.Second        // after the wait of a call that may wait
	toldAfterHup = 4 * time.Second        // after SIGHUP moved the agent
	afterFailed  = 4                      // times as long to ask, where the last call failed
)

// Terms are what else says when a change counts as told.
type Terms struct {
	Began    time.Time     // of the process
	Hup      time.Time     // it was sent here by SIGHUP; zero: it was here from the start
	AskEvery time.Duration // the settings' AskEveryMs; of no use for an agent
}

// Told says when a change counts as told to the seat's dispatcher, by the calls so far; zero: not yet,
// by anything known now. Where pages leave two readings, it is the earlier time:
//   - an agent's change counts at once when the agent has it; only a watch that has fallen silent
//     puts that off, and calls that follow each other in one silence share the first one's clock.
func (s *Seat) Told(c Change, t Terms) time.Time {
	s.d.mu.Lock()
	down, outages := append([]span(nil), s.d.downs...), append([]span(nil), s.outages...)
	s.d.mu.Unlock()
	if s.agent {
		return toldByAgent(s.Calls(), outages, c, t)
	}
	return toldWhenAsked(s.Calls(), down, c, t)
}

// written is when an answer brought the change; zero: never.
func written(calls []Call, c Change) time.Time {
	for _, k := range calls {
		if !k.Done.IsZero() && !k.Failed && k.Index >= c.Index {
			return k.Done
		}
	}
	return time.Time{}
}

func toldByAgent(calls []Call, outages []span, c Change, t Terms) time.Time {
	has := latest(c.Made, t.Began)
	for _, o := range outages {
		if o.holds(c.Made) {
			if o.to.IsZero() {
				return time.Time{}
			}
			has = latest(has, o.to)
		}
	}
	if !t.Hup.IsZero() {
		has = latest(has, t.Hup.Add(toldAfterHup))
	}
	if first := silence(calls, has); first != nil {
		has = latest(has, overdue(first, first.Silent))
	}
	return earliest(has, written(calls, c))
}

func toldWhenAsked(calls []Call, downs []span, c Change, t Terms) time.Time {
	if first := silence(calls, c.Made); first != nil {
		return earliest(latest(c.Made, overdue(first, first.Silent)), written(calls, c))
	}
	last, next := around(calls, c.Made)
	if last != nil && last.Watch && lasts(last, next, c.Made) {
		return earliest(overdue(last, c.Made), written(calls, c))
	}
	from, every := t.Began, t.AskEvery
	if last != nil {
		if from = last.At; last.Failed {
			every *= afterFailed
			for _, d := range downs {
				from = latest(from, d.to) // counted anew
			}
		}
	}
	return earliest(latest(from, c.Made).Add(every), written(calls, c))
}

// overdue is when what a call should have told counts as told, since when it should have.
func overdue(c *Call, since time.Time) time.Time {
	if !c.Watch {
		return since.Add(toldAnyhow)
	}
	return latest(since.Add(toldAnyhow), c.At.Add(c.Wait+toldAfter))
}

// silence finds the call that began the silence in force at a time: that last call before it has
// fallen silent, and all between.
func silence(calls []Call, at time.Time) (first *Call) {
	for i := len(calls) - 1; i >= 0; i-- {
		c := &calls[i]
		if c.At.After(at) {
			continue
		}
		if c.Silent.IsZero() || c.Silent.After(at) {
			break
		}
		first = c
	}
	return first
}

// around finds the last call made by a time, and the next one.
func around(calls []Call, at time.Time) (last, next *Call) {
	for i := range calls {
		if calls[i].At.After(at) {
			return last, &calls[i]
		}
		last = &calls[i]
	}
	return last, nil
}

// lasts says whether a watch lasts at a time: its call is open, or the next one came in time.
func lasts(last, next *Call, at time.Time) bool {
	open := last.Done.IsZero() || at.Before(last.Done)
	followed := next != nil && !next.At.After(last.Done.Add(lastsBetween))
	return open || !last.Failed && followed
}

func latest(all ...time.Time) (last time.Time) {
	for _, t := range all {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// earliest is the earlier of two times; a zero one never comes.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
