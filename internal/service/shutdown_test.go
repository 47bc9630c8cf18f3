package service

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// sentReq is a request in a model of the shutdown. Its backend hangs, so it is answered at its deadline.
type sentReq struct {
	arrived, timeLeft, writeDelay int // ms after SIGTERM; the time its client waits; how much later the answer's last byte is written
	late                          bool
	due                           int // -1: it has not arrived yet
}

// For any longest deadline and any arrival times: each request has its full deadline, or all the time until the kill's margin.
// The process's own exit cuts no accepted request, no client that the load balancer still sends finds the process gone, and
// the process exits.
func TestShutdownAnyDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		longest := rapid.OneOf(rapid.IntRange(50, 1000), rapid.IntRange(1000, 20_000)).Draw(t, "longest")
		interval := rapid.IntRange(5, 40).Draw(t, "interval")
		kill := min(longest, 3000) + 700
		var reqs []sentReq
		for range rapid.IntRange(0, 6).Draw(t, "reqs") {
			arrived := rapid.OneOf(rapid.IntRange(0, 700), rapid.IntRange(0, kill)).Draw(t, "arrived")
			reqs = append(reqs, sentReq{arrived: arrived, timeLeft: rapid.IntRange(1, longest).Draw(t, "time left"),
				writeDelay: rapid.SampledFrom([]int{0, 0, 100, 450}).Draw(t, "write delay"), late: arrived > 600, due: -1})
		}
		m := Machine{LongestDeadline: time.Duration(longest) * time.Millisecond}
		m.BeginShutdown(at(0))
		o := m.Evaluate(at(0), Load{})
		last := longest + 1200 + interval
		for ms := 1; ; ms++ {
			for i := range reqs {
				if r := &reqs[i]; r.arrived == ms {
					left := r.timeLeft
					if !o.AnswerBy.IsZero() {
						left = max(0, min(left, int(o.AnswerBy.Sub(at(ms))/time.Millisecond)))
					}
					r.due = ms + left + r.writeDelay
					if ms < 600 {
						assert.Equal(t, r.timeLeft, left, "the client's full deadline")
					} else {
						assert.True(t, left == r.timeLeft || r.due-r.writeDelay <= kill-200 || left == 0, "%+v", r)
					}
				}
			}
			if ms%interval > 0 {
				continue
			}
			l := Load{}
			for _, r := range reqs {
				if r.due >= ms {
					l.Unanswered++
					l.Sessions++
					if !r.late {
						l.BeforeCutoff++
					}
				}
			}
			if o = m.Evaluate(at(ms), l); !o.Exit {
				if ms > last {
					t.Fatalf("no exit at %d ms", ms)
				}
				assert.False(t, o.Ready)
				assert.True(t, o.Accept)
				continue
			}
			assert.GreaterOrEqual(t, ms, 600, "the load balancer sends new connections until then")
			assert.False(t, o.AnswerBy.IsZero() || o.AnswerBy.After(at(ms)), "no request is accepted any more")
			for _, r := range reqs {
				assert.False(t, r.arrived <= ms && r.due >= ms, "the exit at %d ms cut %+v", ms, r)
			}
			return
		}
	})
}

// With a longest deadline of 1 s, a request that arrived at 0.9 s is due at 1.5 s, and the core answers a moment later. The
// process must not exit at 1.5 s.
func TestShutdownShortDeadline(t *testing.T) {
	m := Machine{LongestDeadline: time.Second}
	m.BeginShutdown(at(0))
	assert.Equal(t, at(1500), m.Evaluate(at(900), busy(900)).AnswerBy)
	for ms := 900; ms <= 1560; ms += 20 {
		assert.False(t, m.Evaluate(at(ms), Load{Sessions: 1, BeforeCutoff: 1, Unanswered: 1}).Exit, "cut at %d ms", ms)
	}
	assert.True(t, m.Evaluate(at(1580), Load{Sessions: 1, BeforeCutoff: 1}).Exit)
}

// Requests that arrive within one evaluation of the exit must be refused: an accepted one would be sent on and then cut.
func TestRefusesBeforeExit(t *testing.T) {
	for name, begin := range map[string]func(*Machine){
		"shutdown":  func(m *Machine) { m.BeginShutdown(at(0)) },
		"hand-over": func(m *Machine) { m.HandOver(at(0)) },
	} {
		m := Machine{LongestDeadline: 5 * time.Second}
		begin(&m)
		for ms, before := 0, (Directives{}); ; ms += 20 {
			o := m.Evaluate(at(ms), Load{})
			if o.Exit {
				assert.Equal(t, at(ms-20), before.AnswerBy, name)
				assert.False(t, o.AnswerBy.After(at(ms)), name)
				break
			}
			before = o
		}
	}
	m := Machine{LongestDeadline: 5 * time.Second}
	m.BeginShutdown(at(0))
	ms := 0
	for ; m.Evaluate(at(ms), Load{}).AnswerBy != at(ms); ms += 20 {
	}
	o := m.Evaluate(at(ms+20), Load{Sessions: 1, Unanswered: 1})
	assert.False(t, o.Exit, "a request was read in that moment")
	assert.Equal(t, at(3500), o.AnswerBy, "new requests are accepted again")
}

// A process that was delayed resumes with directives that give new requests their full deadline until the next evaluation.
// Neither that evaluation nor a later one may exit before the last of those requests is due.
func TestDelayedProcess(t *testing.T) {
	for _, resumesAt := range []int{300, 900, 1500, 3000, 60_000} {
		m := Machine{LongestDeadline: time.Second}
		m.BeginShutdown(at(0))
		assert.True(t, m.Evaluate(at(20), busy(20)).AnswerBy.IsZero())
		assert.False(t, m.Evaluate(at(resumesAt), Load{Sessions: 9, BeforeCutoff: 9}).Exit, "%d: requests read now are not counted yet", resumesAt)
		for ms := resumesAt + 20; ms < resumesAt+1050; ms += 20 {
			assert.False(t, m.Evaluate(at(ms), busy(ms)).Exit, "%d: cut at %d", resumesAt, ms)
		}
		ends := max(resumesAt+1060, 1500)
		for !m.Evaluate(at(ends), Load{Sessions: 9, BeforeCutoff: 9}).Exit {
			ends += 20
		}
		assert.LessOrEqual(t, ends, max(resumesAt+1060, 1520), resumesAt)
	}
}

// A session told to close may still be writing an answer after the longest deadline: it gets as long as an answer does.
// Any number of such sessions must not delay a shutdown if all of them connected after the cutoff.
func TestClosingSessionsAtExit(t *testing.T) {
	m := Machine{LongestDeadline: time.Second}
	m.BeginShutdown(at(0))
	for ms := 0; ms < 2200; ms += 20 {
		assert.False(t, m.Evaluate(at(ms), Load{Sessions: 9, BeforeCutoff: 1, Closing: 1}).Exit, ms)
	}
	assert.True(t, m.Evaluate(at(2200), Load{Sessions: 9, BeforeCutoff: 1, Closing: 1}).Exit)
	m = Machine{LongestDeadline: time.Second}
	m.BeginShutdown(at(0))
	ends := 0
	for ; !m.Evaluate(at(ends), Load{Sessions: 9, Closing: 9}).Exit; ends += 20 {
	}
	assert.Equal(t, 1200, ends)
}

// The directives of a hand-over that failed must not let a later shutdown exit early.
func TestShutdownAfterFailedHandOver(t *testing.T) {
	m := Machine{LongestDeadline: 50 * time.Millisecond}
	m.HandOver(at(-1000))
	ms := -1000
	for ; m.Evaluate(at(ms), Load{}).AnswerBy.IsZero(); ms += 20 {
	}
	m.ResumeAfterHandOver()
	m.BeginShutdown(at(0))
	assert.False(t, m.Evaluate(at(0), Load{}).Exit)
	o := m.Evaluate(at(700), Load{Sessions: 1, BeforeCutoff: 1})
	assert.False(t, o.Exit, "no earlier evaluation refused new requests")
}

// No client is sent to a process that has been out of service for a while, so it exits early. One taken out just before
// SIGTERM waits until the load balancer has noticed.
func TestBalancerDone(t *testing.T) {
	for _, c := range []struct{ out, ends int }{{-10_000, 100}, {-300, 400}, {0, 620}} {
		m := Machine{LongestDeadline: 50 * time.Millisecond}
		if c.out < 0 {
			m.TakeOutOfService(at(c.out))
		}
		m.BeginShutdown(at(0))
		ends := 0
		for ; !m.Evaluate(at(ends), Load{}).Exit; ends += 20 {
		}
		assert.Equal(t, c.ends, ends, c.out)
	}
}
