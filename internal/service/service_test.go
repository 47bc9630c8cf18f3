package service

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func busy(int) Load { return Load{Sessions: 9, BeforeCutoff: 9, Unanswered: 9} }

// A shutdown doesn't wait for clients that connect after the load balancer has stopped sending new ones. It waits for all
// earlier sessions and for each unanswered request: one that arrived just before the cutoff is due at 5.6 s and given up half
// a second later.
func TestLateClientsDontDelayShutdown(t *testing.T) {
	for name, c := range map[string]struct {
		load func(ms int) Load
		ends int
	}{
		"late clients keep connecting": {func(ms int) Load { return Load{Sessions: 50, BeforeCutoff: max(0, 3200-ms)} }, 3300},
		"a late client's request":      {func(ms int) Load { return Load{Sessions: 50, Unanswered: max(0, 4000-ms)} }, 4100},
		"clients use their sessions":   {func(ms int) Load { return Load{Sessions: 50, BeforeCutoff: 50, Unanswered: max(0, 5600-ms)} }, 5600},
		"answers never read":           {func(ms int) Load { return Load{Sessions: 50, BeforeCutoff: 50, Unanswered: 3} }, 6100},
		"late client never reads":      {func(ms int) Load { return Load{Sessions: 50, Unanswered: 3} }, 6100},
		"no clients":                   {func(ms int) Load { return Load{} }, 3200},
	} {
		m := Machine{LongestDeadline: 5 * time.Second}
		m.BeginShutdown(at(0))
		ends := 0
		for ; !m.Evaluate(at(ends), c.load(ends)).Exit; ends += 20 {
		}
		assert.Equal(t, c.ends, ends, name)
	}
}

// After 4 s no idle session may be left, and no request that arrived in the last 2 s unanswered.
func TestDrainInTime(t *testing.T) {
	for _, longest := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		m := Machine{LongestDeadline: longest}
		assert.Equal(t, Directives{Ready: true, Accept: true}, m.Evaluate(at(-1), busy(-1)))
		m.TakeOutOfService(at(0))
		for ms := 0; ms < 60_000; ms += 20 {
			o := m.Evaluate(at(ms), busy(ms))
			assert.False(t, o.Ready)
			assert.True(t, o.Accept, "new connections are always accepted")
			assert.False(t, o.Exit, "the process keeps running")
			if !o.AnswerBy.IsZero() {
				assert.False(t, o.AnswerBy.After(at(3900)))
			}
			if ms >= 2000 && ms < 3200 {
				assert.False(t, o.AnswerBy.IsZero() && !o.CloseAfterAnswer, ms)
			}
			if ms >= 3200 {
				assert.True(t, o.CloseAfterAnswer && o.IdleTimeout == 0, ms)
			}
			if ms > 4000 {
				assert.Equal(t, OutOfService, o.State)
				assert.Zero(t, o.AnswerBy, "clients that connect nevertheless are served")
			}
		}
		assert.True(t, m.ReturnToService())
		assert.Equal(t, Directives{Ready: true, Accept: true}, m.Evaluate(at(61_000), busy(61_000)))
	}
}

// A shutdown ends once no client has been left for a moment, or after the longest deadline at the latest. One that begins out
// of service doesn't wait for a load balancer that sends nothing any more.
func TestShutdown(t *testing.T) {
	end := func(m *Machine, from, sessions, until int) int {
		for ms := from; ms < from+20_000; ms += 20 {
			n := sessions
			if ms >= until {
				n = 0
			}
			if m.Evaluate(at(ms), Load{Sessions: n, BeforeCutoff: n}).Exit {
				return ms - from
			}
		}
		return -1
	}
	m := Machine{LongestDeadline: 5 * time.Second}
	m.BeginShutdown(at(0))
	assert.Equal(t, 3200, end(&m, 0, 4, 100))
	m = Machine{LongestDeadline: 5 * time.Second}
	m.BeginShutdown(at(0))
	assert.Equal(t, 5500, end(&m, 0, 4, 60_000))
	assert.False(t, m.ReturnToService(), "a shutdown can't be undone")
	m = Machine{LongestDeadline: 5 * time.Second}
	m.TakeOutOfService(at(0))
	m.BeginShutdown(at(10_000))
	assert.Equal(t, 100, end(&m, 10_000, 0, 0))
	m = Machine{LongestDeadline: 5 * time.Second}
	m.HandOver(at(0))
	assert.Equal(t, 900, end(&m, 0, 1, 800), "a process that has handed over may exit early")
}

// A process that has handed over reports the dispatcher's health, and serves again when the other process is gone.
func TestHandOver(t *testing.T) {
	m := Machine{LongestDeadline: 5 * time.Second}
	m.HandOver(at(0))
	o := m.Evaluate(at(1), busy(1))
	assert.Equal(t, Directives{State: HandedOver, HandedOver: true, Ready: true, AnnounceClose: true, CloseAfterAnswer: true, IdleTimeout: handedOverIdleTimeout}, o)
	m.BeginShutdown(at(100))
	assert.True(t, m.Evaluate(at(101), busy(101)).Ready, "the dispatcher is in service")
	assert.True(t, m.ReturnToService(), "the other process is returned to service")
	m = Machine{LongestDeadline: 5 * time.Second}
	m.TakeOutOfService(at(0))
	m.HandOver(at(1))
	assert.False(t, m.Evaluate(at(2), busy(2)).Ready)
	m.ResumeAfterHandOver()
	assert.Equal(t, Draining, m.Evaluate(at(3), busy(3)).State)
}

// In any order of events the last call decides, and the directives are consistent.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Machine{LongestDeadline: 5 * time.Second}
		now, outOfService, shutdown, handedOver := 0, false, false, false
		outAt, shutdownAt := 0, 0
		closing := func(from int) bool { // sessions answered a moment before are spared
			age := time.Duration(now-from) * time.Millisecond
			return age >= m.closeAfter() && age < m.closeAfter()+lastIdleTimeout
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(0, 3000).Draw(t, "wait")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				m.TakeOutOfService(at(now))
				if !outOfService {
					outAt = now
				}
				outOfService = true
			case 1:
				if m.ReturnToService() {
					outOfService = false
				} else if !shutdown || handedOver {
					t.Fatal("ReturnToService refused")
				}
			case 2:
				m.BeginShutdown(at(now))
				if !shutdown {
					shutdownAt = now
				}
				shutdown = true
			case 3:
				m.HandOver(at(now))
				handedOver = true
			case 4:
				m.ResumeAfterHandOver()
				handedOver = false
			}
			o := m.Evaluate(at(now), busy(now))
			assert.Equal(t, !outOfService && (!shutdown || handedOver), o.Ready)
			assert.Equal(t, !handedOver, o.Accept)
			assert.Equal(t, outOfService, m.IsOutOfService())
			if !outOfService && !shutdown && !handedOver {
				assert.Equal(t, Directives{Ready: true, Accept: true}, o)
			}
			if o.CloseAfterAnswer && o.IdleTimeout > 0 {
				assert.True(t, handedOver || o.IdleTimeout == lastIdleTimeout && (outOfService && closing(outAt) || shutdown && closing(shutdownAt)))
			}
		}
	})
}
