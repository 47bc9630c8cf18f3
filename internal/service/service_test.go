package service

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func busy(int) Load { return Load{Sessions: 9, Early: 9, Owed: 9} }

// A shutdown doesn't wait for clients that connect after the load balancer has stopped sending new ones. It waits for all
// earlier sessions and for each unanswered request: one that arrived just before the cutoff is due at 5.6 s and given up half
// a second later.
func TestStrangers(t *testing.T) {
	for name, c := range map[string]struct {
		load func(ms int) Load
		ends int
	}{
		"late clients keep connecting": {func(ms int) Load { return Load{Sessions: 50, Early: max(0, 3200-ms)} }, 3300},
		"a late client's request":      {func(ms int) Load { return Load{Sessions: 50, Owed: max(0, 4000-ms)} }, 4100},
		"clients use their sessions":   {func(ms int) Load { return Load{Sessions: 50, Early: 50, Owed: max(0, 5600-ms)} }, 5600},
		"answers never read":           {func(ms int) Load { return Load{Sessions: 50, Early: 50, Owed: 3} }, 6100},
		"late client never reads":      {func(ms int) Load { return Load{Sessions: 50, Owed: 3} }, 6100},
		"no clients":                   {func(ms int) Load { return Load{} }, 3200},
	} {
		m := Machine{Longest: 5 * time.Second}
		m.Term(at(0))
		ends := 0
		for ; !m.Look(at(ends), c.load(ends)).End; ends += 20 {
		}
		assert.Equal(t, c.ends, ends, name)
	}
}

// After 4 s no idle session may be left, and no request that arrived in the last 2 s unanswered.
func TestDrainInTime(t *testing.T) {
	for _, longest := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		m := Machine{Longest: longest}
		assert.Equal(t, Orders{Ready: true, Accept: true}, m.Look(at(-1), busy(-1)))
		m.Out(at(0))
		for ms := 0; ms < 60_000; ms += 20 {
			o := m.Look(at(ms), busy(ms))
			assert.False(t, o.Ready)
			assert.True(t, o.Accept, "new connections are always accepted")
			assert.False(t, o.End, "the process keeps running")
			if !o.Until.IsZero() {
				assert.False(t, o.Until.After(at(3900)))
			}
			if ms >= 2000 && ms < 3200 {
				assert.False(t, o.Until.IsZero() && !o.Close, ms)
			}
			if ms >= 3200 {
				assert.True(t, o.Close && o.Rest == 0, ms)
			}
			if ms > 4000 {
				assert.Equal(t, OutOfService, o.State)
				assert.Zero(t, o.Until, "clients that connect nevertheless are served")
			}
		}
		assert.True(t, m.In())
		assert.Equal(t, Orders{Ready: true, Accept: true}, m.Look(at(61_000), busy(61_000)))
	}
}

// A shutdown ends once no client has been left for a moment, or after the longest deadline at the latest. One that begins out
// of service doesn't wait for a load balancer that sends nothing any more.
func TestTerm(t *testing.T) {
	end := func(m *Machine, from, sessions, until int) int {
		for ms := from; ms < from+20_000; ms += 20 {
			n := sessions
			if ms >= until {
				n = 0
			}
			if m.Look(at(ms), Load{Sessions: n, Early: n}).End {
				return ms - from
			}
		}
		return -1
	}
	m := Machine{Longest: 5 * time.Second}
	m.Term(at(0))
	assert.Equal(t, 3200, end(&m, 0, 4, 100))
	m = Machine{Longest: 5 * time.Second}
	m.Term(at(0))
	assert.Equal(t, 5500, end(&m, 0, 4, 60_000))
	assert.False(t, m.In(), "a shutdown is not taken back")
	m = Machine{Longest: 5 * time.Second}
	m.Out(at(0))
	m.Term(at(10_000))
	assert.Equal(t, 100, end(&m, 10_000, 0, 0))
	m = Machine{Longest: 5 * time.Second}
	m.HandOver(at(0))
	assert.Equal(t, 900, end(&m, 0, 1, 800), "a process that has handed over may exit early")
}

// A process that has handed over reports the dispatcher's health, and serves again when the other process is gone.
func TestHandOver(t *testing.T) {
	m := Machine{Longest: 5 * time.Second}
	m.HandOver(at(0))
	o := m.Look(at(1), busy(1))
	assert.Equal(t, Orders{State: HandedOver, Handed: true, Ready: true, Hint: true, Close: true, Rest: handedRest}, o)
	m.Term(at(100))
	assert.True(t, m.Look(at(101), busy(101)).Ready, "the dispatcher is in service")
	assert.True(t, m.In(), "the other process is returned to service")
	m = Machine{Longest: 5 * time.Second}
	m.Out(at(0))
	m.HandOver(at(1))
	assert.False(t, m.Look(at(2), busy(2)).Ready)
	m.TakeBack()
	assert.Equal(t, Draining, m.Look(at(3), busy(3)).State)
}

// In any order of events the last call decides, and the directives are consistent.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Machine{Longest: 5 * time.Second}
		now, out, term, handed := 0, false, false, false
		outAt, termAt := 0, 0
		closing := func(from int) bool { // sessions answered a moment before are spared
			age := time.Duration(now-from) * time.Millisecond
			return age >= m.closeAt() && age < m.closeAt()+lastRest
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(0, 3000).Draw(t, "wait")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				m.Out(at(now))
				if !out {
					outAt = now
				}
				out = true
			case 1:
				if m.In() {
					out = false
				} else if !term || handed {
					t.Fatal("ReturnToService refused")
				}
			case 2:
				m.Term(at(now))
				if !term {
					termAt = now
				}
				term = true
			case 3:
				m.HandOver(at(now))
				handed = true
			case 4:
				m.TakeBack()
				handed = false
			}
			o := m.Look(at(now), busy(now))
			assert.Equal(t, !out && (!term || handed), o.Ready)
			assert.Equal(t, !handed, o.Accept)
			assert.Equal(t, out, m.IsOut())
			if !out && !term && !handed {
				assert.Equal(t, Orders{Ready: true, Accept: true}, o)
			}
			if o.Close && o.Rest > 0 {
				assert.True(t, handed || o.Rest == lastRest && (out && closing(outAt) || term && closing(termAt)))
			}
		}
	})
}
