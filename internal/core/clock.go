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
	at  float64
	seq uint64
	run func()
}

type timers struct {
	list    []timer
	lastSeq uint64
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	a, b := &t.list[i], &t.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }
func (t *timers) Push(x any)    { t.list = append(t.list, x.(timer)) }
func (t *timers) Pop() any {
	last := len(t.list) - 1
	x := t.list[last]
	t.list[last] = timer{} // releases the closure
	t.list = t.list[:last]
	return x
}

func (t *timers) add(at float64, do func()) {
	t.lastSeq++
	heap.Push(t, timer{at, t.lastSeq, do})
}

// popDue removes and returns the earliest timer if it is due.
func (t *timers) popDue(now float64) func() {
	if len(t.list) == 0 || t.list[0].at > now {
		return nil
	}
	return heap.Pop(t).(timer).run
}
