package platform

import "time"

// Time limits from the platform's documentation ("Figures", and "Days at full size" of the standing test).
const (
	maxWatchGap           = 200 * time.Millisecond // longest time between an answer and the next call at which a watch continues
	publishedAfterSilence = 6 * time.Second        // since the call was silenced, or since the change if the watch is open
	publishedAfterWait    = 2 * time.Second        // since the end of the longest wait of a watch's call
	publishedAfterSIGHUP  = 4 * time.Second        // since SIGHUP moved the dispatcher to this agent
	failedPollFactor      = 4                      // multiplies the poll interval if the last call failed
)

// ProcessInfo holds what PublishedAt has to know about the dispatcher's process.
type ProcessInfo struct {
	StartedAt    time.Time
	MovedAt      time.Time     // when SIGHUP moved the process to this agent; zero: it has used it from the start
	PollInterval time.Duration // the settings' AskEveryMs; not used for an agent
}

// PublishedAt returns when a change counts as published to the listener's dispatcher, judged by the calls
// so far; zero if the calls so far give no such time. Where the documentation can be read in two ways, it takes the
// earlier time:
//   - A change counts as published as soon as the agent has it. Only a silenced watch delays that, and
//     consecutive calls that were all silenced count from the time at which the first was silenced.
func (s *DirectorListener) PublishedAt(c Change, p ProcessInfo) time.Time {
	s.d.mu.Lock()
	downtimes, outages := append([]span(nil), s.d.downtimes...), append([]span(nil), s.outages...)
	s.d.mu.Unlock()
	if s.agent {
		return publishedByAgent(s.Calls(), outages, c, p)
	}
	return publishedByPolling(s.Calls(), downtimes, c, p)
}

// deliveredAt returns when an answer first contained the change; zero if none did.
func deliveredAt(calls []Call, c Change) time.Time {
	for _, k := range calls {
		if !k.EndedAt.IsZero() && !k.Failed && k.Index >= c.Index {
			return k.EndedAt
		}
	}
	return time.Time{}
}

// publishedByAgent returns when a change counts as published to a dispatcher that uses an agent: when the agent has it,
// or after its limit if the agent's calls are silenced then, but no later than its delivery.
func publishedByAgent(calls []Call, outages []span, c Change, p ProcessInfo) time.Time {
	published := latest(c.ChangedAt, p.StartedAt)
	for _, o := range outages {
		if o.contains(c.ChangedAt) {
			if o.to.IsZero() {
				return time.Time{}
			}
			published = latest(published, o.to)
		}
	}
	if !p.MovedAt.IsZero() {
		published = latest(published, p.MovedAt.Add(publishedAfterSIGHUP))
	}
	if first := silenceStart(calls, published); first != nil {
		published = latest(published, publicationDeadline(first, first.SilentAt))
	}
	return earliest(published, deliveredAt(calls, c))
}

// publishedByPolling returns when a change counts as published to a dispatcher that calls the director itself: after the
// limit of the silenced or open call, or after the poll interval if there is no watch, but no later than its delivery.
func publishedByPolling(calls []Call, downtimes []span, c Change, p ProcessInfo) time.Time {
	if first := silenceStart(calls, c.ChangedAt); first != nil {
		return earliest(latest(c.ChangedAt, publicationDeadline(first, first.SilentAt)), deliveredAt(calls, c))
	}
	last, next := callsAround(calls, c.ChangedAt)
	if last != nil && last.Watch && watchLasts(last, next, c.ChangedAt) {
		return earliest(publicationDeadline(last, c.ChangedAt), deliveredAt(calls, c))
	}
	from, interval := p.StartedAt, p.PollInterval
	if last != nil {
		if from = last.At; last.Failed {
			interval *= failedPollFactor
			for _, d := range downtimes {
				from = latest(from, d.to) // the interval starts again when the director is back
			}
		}
	}
	return earliest(latest(from, c.ChangedAt).Add(interval), deliveredAt(calls, c))
}

// publicationDeadline returns when a change counts as published though the call didn't deliver it. since is when
// the change was made or the call was silenced.
func publicationDeadline(c *Call, since time.Time) time.Time {
	if !c.Watch {
		return since.Add(publishedAfterSilence)
	}
	return latest(since.Add(publishedAfterSilence), c.At.Add(c.Wait+publishedAfterWait))
}

// silenceStart returns the first of the consecutive calls that were all silenced by the given time and that
// end with the last call made by then; nil if that last call wasn't silenced.
func silenceStart(calls []Call, at time.Time) (first *Call) {
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

// callsAround returns the last call made by a time and the one after it, nil where there is none.
func callsAround(calls []Call, at time.Time) (last, next *Call) {
	for i := range calls {
		if calls[i].At.After(at) {
			return last, &calls[i]
		}
		last = &calls[i]
	}
	return last, nil
}

// watchLasts reports whether the watch is in progress at a time: its call is open, or succeeded and the next one came
// within maxWatchGap.
func watchLasts(last, next *Call, at time.Time) bool {
	open := last.EndedAt.IsZero() || at.Before(last.EndedAt)
	followed := next != nil && !next.At.After(last.EndedAt.Add(maxWatchGap))
	return open || !last.Failed && followed
}

// latest returns the latest of the times, the zero time if there are none.
func latest(times ...time.Time) (last time.Time) {
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// earliest returns the earlier of two times; a zero time stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
