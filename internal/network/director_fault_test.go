package network

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
)

// askIntervals are intervals of asking that settings may name.
var askIntervals = []time.Duration{time.Second, 10 * time.Second, 5 * time.Minute}

// TestPolledWatchThroughTwoFaults: a fault hits an open watch and lasts for a while, another one follows, and then
// discovery recovers. Drains from before, between and after the faults must arrive within the grace period after they count
// as published, 6 s after discovery could be reached, whatever the interval of asking.
func TestPolledWatchThroughTwoFaults(t *testing.T) {
	var w worst
	for i, first := range faults {
		for j, second := range faults {
			for k := range 4 { // sweeps the moment of the recovery over the delays and calls before it
				ask := askIntervals[k%3]
				from := time.Duration(300+250*((i+j+k)%9)) * time.Millisecond
				mid := from + time.Duration(1+(i+j+k/3)%3*4)*time.Second
				end := mid + time.Duration(50+1000*k+50*((i*3+j*5)%20))*time.Millisecond
				withWatch(t, PollTimings(ask), func(c *watchRig) {
					c.faultPeriods = []faultPeriod{{from, mid, first}, {mid, end, second}}
					c.begin()
					for b, at := range []time.Duration{from, mid, end} {
						c.until(at + 10*time.Millisecond)
						setStatus(c.director, b, "Terminating")
					}
					time.Sleep(20 * time.Second)
					for b := range 3 {
						w.add(c.drained(b).Sub(c.began.Add(end))-publishedAfter-drainGrace, "asked every %v: %s from %v, %s from %v to %v, drain %d", ask, first, from, second, mid, end, b)
					}
				})
			}
		}
	}
	w.check(t)
}

// TestPolledWatchSilentThenFailed: discovery refuses calls until the delay between them is at its limit. The first call
// after its recovery falls silent, and the backup call fails. A drain that the silent call missed counts as published
// 6 s after the call fell silent.
func TestPolledWatchSilentThenFailed(t *testing.T) {
	var w worst
	for _, ask := range askIntervals {
		for _, second := range faults {
			if !second.failsFast() && second != hangs {
				continue // two consecutive silent calls
			}
			for end := 8 * time.Second; end < 10*time.Second; end += 250 * time.Millisecond {
				withWatch(t, PollTimings(ask), func(c *watchRig) {
					c.faultPeriods = []faultPeriod{{time.Second, end, refused}}
					c.begin()
					c.until(end)
					silentSince := c.injectNext(mute, second)
					setStatus(c.director, 0, "Terminating")
					time.Sleep(30 * time.Second)
					w.add(c.drained(0).Sub(silentSince)-publishedAfter-drainGrace, "asked every %v: back at %v, then silent, then %s", ask, end, second)
				})
			}
		}
	}
	w.check(t)
}

// TestAgentWatchThroughTwoFaults: the same with an agent on this machine. What the agent has counts as published as soon as
// it answers again; only a change that an open watch missed when the agent fell silent has 6 s from then. Shorter grace
// periods are kept as well.
func TestAgentWatchThroughTwoFaults(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 500 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond} {
		var w worst
		for i, first := range faults {
			for j, second := range faults {
				from := time.Duration(300+130*((i+j)%9)) * time.Millisecond
				mid := from + time.Duration(1500+(i+j)%3*700)*time.Millisecond
				end := mid + time.Duration(10+(30*i+70*j)%500)*time.Millisecond
				withWatch(t, AgentTimings().WithinGrace(grace), func(c *watchRig) {
					c.faultPeriods = []faultPeriod{{from, mid, first}, {mid, end, second}}
					c.begin()
					for b, at := range []time.Duration{from, mid, end - 5*time.Millisecond} {
						c.until(at)
						setStatus(c.director, b, "Terminating")
					}
					time.Sleep(10 * time.Second)
					for b := range 3 {
						w.add(c.drained(b).Sub(c.began.Add(end))-grace, "grace %v: %s from %v, %s from %v to %v, drain %d", grace, first, from, second, mid, end, b)
					}
					assert.LessOrEqual(t, c.peakRate(), int(10*time.Second/min(grace, drainGrace)), "connections in a second, grace %v", grace)
				})
			}
		}
		w.check(t)
	}
}

// TestRedirectDuringFault: SIGHUP names a new address during any fault, at its beginning and end, and as an answer of the
// old address arrives. Changes at the new address arrive in time, and nothing of the old one is applied after the move.
func TestRedirectDuringFault(t *testing.T) {
	const from, end = 2 * time.Second, 7 * time.Second
	for _, pushed := range []bool{false, true} {
		var w worst
		for _, f := range append([]fault{healthy}, faults...) {
			for at := from - 250*time.Millisecond; at <= end+250*time.Millisecond; at += 350 * time.Millisecond {
				timings, since := PollTimings(10*time.Second), publishedAfter
				if pushed {
					timings, since = AgentTimings(), 4*time.Second
				}
				withWatch(t, timings, func(c *watchRig) {
					if f != healthy {
						c.faultPeriods = []faultPeriod{{from, end, f}}
					}
					c.begin()
					c.until(from - time.Millisecond)
					setStatus(c.director, 0, "Terminating")
					c.until(at)
					setStatus(c.director, 3, "Terminating") // its answer is under way during the move
					c.watch.Redirect("e")
					setStatus(c.otherDirector, 1, "Terminating")
					time.Sleep(20 * time.Millisecond)
					setStatus(c.otherDirector, 2, "Terminating")
					time.Sleep(20 * time.Second)
					back := max(end, at)
					if f == healthy {
						back = at
					}
					due := max(back, at+since) // with an agent: 4 s after SIGHUP, and at once when the agent answers again
					if !pushed {
						due = back + since
					}
					for b := 1; b < 3; b++ {
						w.add(c.drained(b).Sub(c.began.Add(due))-drainGrace, "pushed %v: %s, moved at %v, drain %d", pushed, f, at, b)
					}
					assert.Equal(t, map[string]balance.State{"b0": balance.Ready, "b1": balance.Draining, "b2": balance.Draining, "b3": balance.Ready},
						c.state, "pushed %v: %s, moved at %v", pushed, f, at)
				})
			}
		}
		w.check(t)
	}
}

// TestListVersionsRestart: discovery comes back from an outage with a list of lower versions, in which a backend drains. The
// full list is asked for, and the drain arrives in time, whatever the kind of outage.
func TestListVersionsRestart(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		var w worst
		for _, f := range faults {
			for long := 50 * time.Millisecond; long < 6*time.Second; long += 350 * time.Millisecond {
				timings := PollTimings(10 * time.Second)
				if pushed {
					timings = AgentTimings()
				}
				withWatch(t, timings, func(c *watchRig) {
					for range 10 {
						setStatus(c.director, 3, "Ready")
					}
					c.faultPeriods = []faultPeriod{{time.Second, time.Second + long, f}}
					c.begin()
					c.until(time.Second + long/2)
					c.mu.Lock()
					c.restarted = true
					c.mu.Unlock()
					setStatus(c.otherDirector, 0, "Terminating")
					c.until(time.Second + long)
					setStatus(c.otherDirector, 1, "Terminating")
					time.Sleep(20 * time.Second)
					for b := range 2 {
						w.add(c.drained(b).Sub(c.began.Add(time.Second+long))-publishedAfter-drainGrace, "pushed %v: %s for %v, drain %d", pushed, f, long, b)
					}
				})
			}
		}
		w.check(t)
	}
}

// TestGivenUpCallKeepsBackoff: calls that were given up end while others fail. Their end says nothing about the state of
// discovery, and must not reset the delay that the failures have built up.
func TestGivenUpCallKeepsBackoff(t *testing.T) {
	for range 8 {
		withWatch(t, PollTimings(10*time.Second), func(c *watchRig) {
			c.watch.RequestFullList() // calls for the full list do not wait at the director: the third silent one has the first given up
			c.nextFaults = []fault{refused, refused, refused, refused, refused, mute, mute, mute, refused, refused}
			c.begin()
			c.until(30 * time.Second)
			c.mu.Lock()
			defer c.mu.Unlock()
			if assert.GreaterOrEqual(t, len(c.dials), 11) {
				assert.GreaterOrEqual(t, c.dials[10].Sub(c.dials[9]), c.watch.Timings.MaxBackoff/2)
			}
		})
	}
}

// TestOneBackupCallPerSilence: a watch that falls silent causes one backup call, and not another one when the silent call
// is given up.
func TestOneBackupCallPerSilence(t *testing.T) {
	withWatch(t, PollTimings(10*time.Second), func(c *watchRig) {
		c.begin()
		c.until(100 * time.Millisecond)
		before := c.count.DirectorCalls.Load()
		c.injectAll(mute)
		c.until(publishedAfter + 400*time.Millisecond) // the first call was given up at 6 s, and the backup call's long poll goes on
		assert.Equal(t, int64(1), c.count.DirectorCalls.Load()-before)
	})
}

// TestLateAnswerOfLowerVersion: a silent watch answers after all, with a version after a restart of the versions. The backup
// call asks for changes since a version from before the restart, and might wait in vain: the full list is asked for
// at once.
func TestLateAnswerOfLowerVersion(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, `
		wait 2600ms
		d/1 expect GET /registry/instances?since=41&timeout_ms=2500
		wait 2s
		d/2 expect GET /registry/instances?since=41&timeout_ms=2500
		d/1 send HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{"index":3,"snapshot":false,"endpoints":[]}
		d/2 expect closed
		d/1 expect GET /registry/instances`)
}

// TestDuplicateAnswerIsNotReused: bytes behind an answer belong to no call. They must not pass for the next call's answer.
func TestDuplicateAnswerIsNotReused(t *testing.T) {
	const answer = `HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{"index":44,"snapshot":false,"endpoints":[]}`
	runScenario(t, newEntries(balance.Ready, "s1"), 9, `
		wait 2600ms
		d/1 expect GET /registry/instances?since=41&timeout_ms=2500
		d/1 send `+answer+answer+`
		d/1 expect closed
		d/2 expect GET /registry/instances?since=44&timeout_ms=2500`)
}
