package core

import (
	"time"

	"tinsail/internal/balance"
)

// The list gives the start of a backend's process as Unix time, from a clock that may disagree with this machine's: a wall
// clock can be off by seconds or an hour, also since before this process began. The module's clock is this machine's wall time
// at program start, advanced by the monotonic clock. A start time that is far off would make a cold backend look warm, or
// keep a warm one cold forever. This file is the only place that converts listed start times to the module's clock, and it
// bounds them by what was observed: no start lies in the future, and a start reported by a live watch is no older than the
// time for which that watch may have missed it.

// maxReportDelay is how late discovery may report a change while it is reachable (6 s in the platform's
// acceptance test).
const maxReportDelay = 6 * time.Second

// maxCommonDelay, in ms, is the longest delay that all reports of a fleet may share: where lists arrive late, every start
// looks that old. A smaller minAge therefore says nothing about the clocks and is not subtracted.
const maxCommonDelay = 3000.0

// startTimes holds the start times of the listed backends, as listed and as adjusted to the module's clock.
type startTimes struct {
	byID map[balance.WorkerID]startTime
	// minAge is the smallest age with which a live watch has reported a new start; -1 if it has reported none. A report
	// takes at least no time, so this is how far this machine's clock is ahead of the list's, plus the shortest delay.
	minAge float64
}

type startTime struct{ listed, adjusted float64 }

func newStartTimes() startTimes {
	return startTimes{byID: map[balance.WorkerID]startTime{}, minAge: -1}
}

// adjust returns when, on the module's clock, a backend started that is listed with a start time. Both are Unix ms; 0 means
// long ago. silence is how long the watch that reports it may have been silent before; negative if no watch reported it.
func (s *startTimes) adjust(id balance.WorkerID, listed, now, silence float64) float64 {
	if listed <= 0 {
		delete(s.byID, id)
		return listed
	}
	if old, ok := s.byID[id]; ok && old.listed == listed {
		return old.adjusted
	}
	age := max(now-listed, 0)
	if silence >= 0 {
		if s.minAge < 0 || age < s.minAge {
			s.minAge = age
		}
		if s.minAge > maxCommonDelay {
			age -= s.minAge
		}
		if age > silence+float64(maxReportDelay/time.Millisecond) {
			age = 0 // the backend's clock, or the list's, is wrong
		}
	}
	s.byID[id] = startTime{listed, now - age}
	return now - age
}

// forget drops a backend that is gone.
func (s *startTimes) forget(id balance.WorkerID) { delete(s.byID, id) }

// DirectorAnswered says that the director answered a call, with any content: the watch is alive. It must be called after the
// list in that answer was passed to HandleList.
func (c *Core) DirectorAnswered() {
	now := c.clock.toStamp(c.clock.read())
	c.post(func() { c.directorAnsweredAt = now })
}

// OffsetWallClock starts the module's clock as if the wall clock were off by a duration, for the soak test. It must be called
// before Run and before any request is submitted.
func (c *Core) OffsetWallClock(by time.Duration) {
	c.clock.originMillis += float64(by) / float64(time.Millisecond)
}

// Now returns the time on the module's clock: Unix ms by the wall clock at program start, advanced by the monotonic clock.
func (c *Core) Now() balance.Millis { return c.clock.now() }

// watchSilence returns for how many ms the watch that delivers a list was silent before it; negative if the list doesn't
// come from a watch.
func (c *Core) watchSilence(kind balance.ListKind, now time.Time) float64 {
	last := c.clock.fromStamp(c.directorAnsweredAt)
	if kind == balance.ListCached || last.IsZero() {
		return -1
	}
	return float64(now.Sub(last)) / float64(time.Millisecond)
}
