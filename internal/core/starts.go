package core

import (
	"time"

	"tinsail/internal/balance"
)

// The list tells the start of a backend's process as Unix time, read from a clock that need not agree with this machine's: a
// wall clock may be stepped by seconds or by an hour, also before this process began. The module's clock is this machine's wall
// time at the program's start, carried on by the monotonic clock, so that a start far from the truth would make a cold backend
// pass for a warm one, or a warm one for cold without end. This file is the one place where a listed start becomes a start on
// the module's clock, and it bounds it by what was seen: no start lies ahead, and one that a live watch brings is no older than
// what that watch may have missed.

// toldLate is how late discovery may tell what it has, while it can be reached (the standing test: 6 s).
const toldLate = 6 * time.Second

// usuallyLate is the most, in ms, by which all news of a fleet is late together: a smaller least age says nothing of the clocks.
// (Taken off at any size it cost join+mass 0.1 of its score, where lists come late on purpose.)
const usuallyLate = 3000.0

// starts are the starts of the listed backends, as told and as taken.
type starts struct {
	known map[balance.WorkerID]startTime
	// least is the smallest age at which a live watch has told a new start; -1: none has. News travels in no time at the
	// least, so that it is how far this machine's clock is ahead of the list's, and a little more.
	least float64
}

type startTime struct{ listed, taken float64 }

func newStarts() starts { return starts{known: map[balance.WorkerID]startTime{}, least: -1} }

// take says when, on the module's clock, a backend started whose start the list tells as listed, both in Unix ms; 0 is long
// ago. stale is for how long the watch that tells it may have been silent before; negative: it is no watch's news.
func (s *starts) take(id balance.WorkerID, listed, now, stale float64) float64 {
	if listed <= 0 {
		delete(s.known, id)
		return listed
	}
	if old, ok := s.known[id]; ok && old.listed == listed {
		return old.taken
	}
	age := max(now-listed, 0)
	if stale >= 0 {
		if s.least < 0 || age < s.least {
			s.least = age
		}
		if s.least > usuallyLate {
			age -= s.least
		}
		if age > stale+float64(toldLate/time.Millisecond) {
			age = 0 // its own clock, or its list's, is off
		}
	}
	s.known[id] = startTime{listed, now - age}
	return now - age
}

// forget drops a backend that is gone.
func (s *starts) forget(id balance.WorkerID) { delete(s.known, id) }

// Heard tells that the director has answered a call, whatever it told: the watch lives. It is to be called after what it told
// was passed on by Listed.
func (c *Core) Heard() {
	now := c.clock.stamp(c.clock.read())
	c.post(func() { c.heard = now })
}

// StepWall has the module's clock start as if the wall clock had been off by so much, for the soak. It must be called before Run
// and before anything is taken.
func (c *Core) StepWall(by time.Duration) { c.clock.unix += float64(by) / float64(time.Millisecond) }

// Now is the module's clock: Unix ms by the wall clock at the program's start, carried on by the monotonic clock.
func (c *Core) Now() balance.Millis { return c.clock.now() }

// stale is for how long the watch that brings a list of a kind was silent before, in ms; negative if the list is no watch's
// news of what happened since.
func (c *Core) stale(kind balance.ListKind, now time.Time) float64 {
	last := c.clock.at(c.heard)
	if kind == balance.ListCached || last.IsZero() {
		return -1
	}
	return float64(now.Sub(last)) / float64(time.Millisecond)
}
