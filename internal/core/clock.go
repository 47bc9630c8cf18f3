package core

import (
	"container/heap"
	"time"
)

// clock provides the module's time: Unix milliseconds at program start, advanced by the monotonic clock. Start times of
// backends are Unix times and need no conversion, a step of the system clock has no effect, and a backend that started before
// this program doesn't get a start of zero or less, which the module reads as "long ago".
type clock struct {
	read         func() time.Time
	origin       time.Time
	originMillis float64
}

func newClock(read func() time.Time) clock {
	now := read()
	return clock{read: read, origin: now, originMillis: float64(now.UnixMicro()) / 1000}
}

func (c *clock) millis(t time.Time) float64 {
	return c.originMillis + float64(t.Sub(c.origin))/float64(time.Millisecond)
}

// toStamp converts a time to nanoseconds after the clock's origin plus 1, so that 0 can stand for "no time".
func (c *clock) toStamp(t time.Time) int64 { return int64(t.Sub(c.origin)) + 1 }

// fromStamp converts back from toStamp; 0 gives the zero time.
func (c *clock) fromStamp(stamp int64) time.Time {
	if stamp == 0 {
		return time.Time{}
	}
	return c.origin.Add(time.Duration(stamp - 1))
}

// fromMillis converts back from millis.
func (c *clock) fromMillis(at float64) time.Time {
	return c.origin.Add(time.Duration((at - c.originMillis) * float64(time.Millisecond)))
}

func (c *clock) now() float64 { return c.millis(c.read()) }

// timer is an action due at a time. Timers with the same time run in the order in which they were added.
type timer struct {
	at    float64
	seq   uint64
	run   func()
	index int // in the list; notPending once it has run or was cancelled
}

// notPending is the index of a timer that will not run any more.
const notPending = -1

// timers are the pending timers, as a heap with the earliest one first.
type timers struct {
	list    []*timer
	lastSeq uint64
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *timers) Swap(i, j int) {
	t.list[i], t.list[j] = t.list[j], t.list[i]
	t.list[i].index = i
	t.list[j].index = j
}
func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(t.list)
	t.list = append(t.list, added)
}
func (t *timers) Pop() any {
	last := len(t.list) - 1
	removed := t.list[last]
	t.list[last] = nil
	t.list = t.list[:last]
	removed.index = notPending
	return removed
}

// add starts a timer. Whoever adds one for a request cancels it when the request or the attempt that it is for has ended:
// until then the timer holds what its action refers to.
func (t *timers) add(at float64, do func()) *timer {
	t.lastSeq++
	added := &timer{at: at, seq: t.lastSeq, run: do}
	heap.Push(t, added)
	return added
}

// cancel stops a timer, if it is still pending, and drops its action. The timer may be nil.
func (t *timers) cancel(stopped *timer) {
	if stopped == nil {
		return
	}
	if stopped.index != notPending {
		heap.Remove(t, stopped.index)
	}
	stopped.run = nil
}

// popDue removes the earliest timer if it is due, and returns its action.
func (t *timers) popDue(now float64) func() {
	if len(t.list) == 0 || t.list[0].at > now {
		return nil
	}
	return heap.Pop(t).(*timer).run
}
