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

// ProcessInfo are what else says when a change counts as told.
type ProcessInfo struct {
	StartedAt    time.Time     // of the process
	MovedAt      time.Time     // it was sent here by SIGHUP; zero: it was here from the start
	PollInterval time.Duration // the settings' AskEveryMs; of no use for an agent
}

// PublishedAt says when a change counts as told to the seat's dispatcher, by the calls so far; zero: not yet,
// by anything known now. Where pages leave two readings, it is the earlier time:
//   - an agent's change counts at once when the agent has it; only a watch that has fallen silent
//     puts that off, and calls that follow each other in one silence share the first one's clock.
func (s *DirectorListener) PublishedAt(c Change, t ProcessInfo) time.Time {
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
		if !k.EndedAt.IsZero() && !k.Failed && k.Index >= c.Index {
			return k.EndedAt
		}
	}
	return time.Time{}
}

func toldByAgent(calls []Call, outages []span, c Change, t ProcessInfo) time.Time {
	has := latest(c.ChangedAt, t.StartedAt)
	for _, o := range outages {
		if o.holds(c.ChangedAt) {
			if o.to.IsZero() {
				return time.Time{}
			}
			has = latest(has, o.to)
		}
	}
	if !t.MovedAt.IsZero() {
		has = latest(has, t.MovedAt.Add(toldAfterHup))
	}
	if first := silence(calls, has); first != nil {
		has = latest(has, overdue(first, first.SilentAt))
	}
	return earliest(has, written(calls, c))
}

func toldWhenAsked(calls []Call, downs []span, c Change, t ProcessInfo) time.Time {
	if first := silence(calls, c.ChangedAt); first != nil {
		return earliest(latest(c.ChangedAt, overdue(first, first.SilentAt)), written(calls, c))
	}
	last, next := around(calls, c.ChangedAt)
	if last != nil && last.Watch && lasts(last, next, c.ChangedAt) {
		return earliest(overdue(last, c.ChangedAt), written(calls, c))
	}
	from, every := t.StartedAt, t.PollInterval
	if last != nil {
		if from = last.At; last.Failed {
			every *= afterFailed
			for _, d := range downs {
				from = latest(from, d.to) // counted anew
			}
		}
	}
	return earliest(latest(from, c.ChangedAt).Add(every), written(calls, c))
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
		if c.SilentAt.IsZero() || c.SilentAt.After(at) {
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
	open := last.EndedAt.IsZero() || at.Before(last.EndedAt)
	followed := next != nil && !next.At.After(last.EndedAt.Add(lastsBetween))
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
