package service

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// sent is a req of the shutdown's model: a backend that hangs has it answered when its time is up.
type sent struct {
	came, left, write int // ms from SIGTERM on; its client's patience; the answer's last byte goes out so much later
	late              bool
	due               int // -1: it has not come yet
}

// TestShutdownOfAnyDeadline: whatever the longest deadline is and whenever reqs come, each has its whole time
// or all of it up to the kill's margin, none that was taken is cut by the process's own end, nobody whom the front
// still sends finds the process gone, and it ends.
func TestShutdownOfAnyDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		longest := rapid.OneOf(rapid.IntRange(50, 1000), rapid.IntRange(1000, 20_000)).Draw(t, "longest")
		look := rapid.IntRange(5, 40).Draw(t, "look")
		kill := min(longest, 3000) + 700
		var reqs []sent
		for range rapid.IntRange(0, 6).Draw(t, "reqs") {
			came := rapid.OneOf(rapid.IntRange(0, 700), rapid.IntRange(0, kill)).Draw(t, "came")
			reqs = append(reqs, sent{came: came, left: rapid.IntRange(1, longest).Draw(t, "left"),
				write: rapid.SampledFrom([]int{0, 0, 100, 450}).Draw(t, "write"), late: came > 600, due: -1})
		}
		m := Machine{Longest: time.Duration(longest) * time.Millisecond}
		m.Term(at(0))
		o := m.Look(at(0), Load{})
		last := longest + 1200 + look
		for ms := 1; ; ms++ {
			for i := range reqs {
				if r := &reqs[i]; r.came == ms {
					left := r.left
					if !o.Until.IsZero() {
						left = max(0, min(left, int(o.Until.Sub(at(ms))/time.Millisecond)))
					}
					r.due = ms + left + r.write
					if ms < 600 {
						assert.Equal(t, r.left, left, "its client's whole time")
					} else {
						assert.True(t, left == r.left || r.due-r.write <= kill-200 || left == 0, "%+v", r)
					}
				}
			}
			if ms%look > 0 {
				continue
			}
			l := Load{}
			for _, r := range reqs {
				if r.due >= ms {
					l.Owed++
					l.Sessions++
					if !r.late {
						l.Early++
					}
				}
			}
			if o = m.Look(at(ms), l); !o.End {
				if ms > last {
					t.Fatalf("no end at %d ms", ms)
				}
				assert.False(t, o.Ready)
				assert.True(t, o.Accept)
				continue
			}
			assert.GreaterOrEqual(t, ms, 600, "the front sends new connections until then")
			assert.False(t, o.Until.IsZero() || o.Until.After(at(ms)), "nothing is taken any more")
			for _, r := range reqs {
				assert.False(t, r.came <= ms && r.due >= ms, "ended at %d ms, and cut %+v", ms, r)
			}
			return
		}
	})
}

// TestShortDeadline: where the longest deadline is a second, a req that came at 0.9 s is due at 1.5 s, and the core
// answers a moment after that: the process does not end at 1.5 s.
func TestShortDeadline(t *testing.T) {
	m := Machine{Longest: time.Second}
	m.Term(at(0))
	assert.Equal(t, at(1500), m.Look(at(900), busy(900)).Until)
	for ms := 900; ms <= 1560; ms += 20 {
		assert.False(t, m.Look(at(ms), Load{Sessions: 1, Early: 1, Owed: 1}).End, "cut at %d ms", ms)
	}
	assert.True(t, m.Look(at(1580), Load{Sessions: 1, Early: 1}).End)
}

// TestLastLook: what comes within a look of the end is refused, not taken: it would be sent on, and cut.
func TestLastLook(t *testing.T) {
	for name, begin := range map[string]func(*Machine){
		"shutdown":  func(m *Machine) { m.Term(at(0)) },
		"hand-over": func(m *Machine) { m.HandOver(at(0)) },
	} {
		m := Machine{Longest: 5 * time.Second}
		begin(&m)
		for ms, before := 0, (Orders{}); ; ms += 20 {
			o := m.Look(at(ms), Load{})
			if o.End {
				assert.Equal(t, at(ms-20), before.Until, name)
				assert.False(t, o.Until.After(at(ms)), name)
				break
			}
			before = o
		}
	}
	m := Machine{Longest: 5 * time.Second}
	m.Term(at(0))
	ms := 0
	for ; m.Look(at(ms), Load{}).Until != at(ms); ms += 20 {
	}
	o := m.Look(at(ms+20), Load{Sessions: 1, Owed: 1})
	assert.False(t, o.End, "one was read in that moment after all")
	assert.Equal(t, at(3500), o.Until, "who comes now is taken again")
}

// TestHeldUp: a process that does nothing for a while wakes with orders that give what it reads its whole time, before
// its next look: that look does not end it, nor does one before the last of those reqs is due.
func TestHeldUp(t *testing.T) {
	for _, wakes := range []int{300, 900, 1500, 3000, 60_000} {
		m := Machine{Longest: time.Second}
		m.Term(at(0))
		assert.True(t, m.Look(at(20), busy(20)).Until.IsZero())
		assert.False(t, m.Look(at(wakes), Load{Sessions: 9, Early: 9}).End, "%d: what is read now is not counted yet", wakes)
		for ms := wakes + 20; ms < wakes+1050; ms += 20 {
			assert.False(t, m.Look(at(ms), busy(ms)).End, "%d: cut at %d", wakes, ms)
		}
		ends := max(wakes+1060, 1500)
		for !m.Look(at(ends), Load{Sessions: 9, Early: 9}).End {
			ends += 20
		}
		assert.LessOrEqual(t, ends, max(wakes+1060, 1520), wakes)
	}
}

// TestClosingAtTheEnd: a session that is told to close may write an answer still when the longest deadline is over: it has the time that
// an answer has. A crowd of strangers who are told to go keeps no shutdown that has nobody else.
func TestClosingAtTheEnd(t *testing.T) {
	m := Machine{Longest: time.Second}
	m.Term(at(0))
	for ms := 0; ms < 2200; ms += 20 {
		assert.False(t, m.Look(at(ms), Load{Sessions: 9, Early: 1, Closing: 1}).End, ms)
	}
	assert.True(t, m.Look(at(2200), Load{Sessions: 9, Early: 1, Closing: 1}).End)
	m = Machine{Longest: time.Second}
	m.Term(at(0))
	ends := 0
	for ; !m.Look(at(ends), Load{Sessions: 9, Closing: 9}).End; ends += 20 {
	}
	assert.Equal(t, 1200, ends)
}

// TestTakenBackBeforeTerm: what a hand-over that came to nothing was about to end is forgotten.
func TestTakenBackBeforeTerm(t *testing.T) {
	m := Machine{Longest: 50 * time.Millisecond}
	m.HandOver(at(-1000))
	ms := -1000
	for ; m.Look(at(ms), Load{}).Until.IsZero(); ms += 20 {
	}
	m.TakeBack()
	m.Term(at(0))
	assert.False(t, m.Look(at(0), Load{}).End)
	o := m.Look(at(700), Load{Sessions: 1, Early: 1})
	assert.False(t, o.End, "no look before it had what comes refused")
}

// TestFrontGone: a process that was taken out of service has nobody sent to it since; one that was taken out a moment before
// SIGTERM waits until the front has noticed that.
func TestFrontGone(t *testing.T) {
	for _, c := range []struct{ out, ends int }{{-10_000, 100}, {-300, 400}, {0, 620}} {
		m := Machine{Longest: 50 * time.Millisecond}
		if c.out < 0 {
			m.Out(at(c.out))
		}
		m.Term(at(0))
		ends := 0
		for ; !m.Look(at(ends), Load{}).End; ends += 20 {
		}
		assert.Equal(t, c.ends, ends, c.out)
	}
}
