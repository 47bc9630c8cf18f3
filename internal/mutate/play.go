package mutate

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"runtime/debug"
	"time"
)

// event is a delivery, or a tick of every node where m is nil. Events of one time come in the
// order they were made.
type event struct {
	at   time.Duration
	seq  int
	m    *Message
	n    int     // the message's number
	held *bool   // a swapped message's last chance: false once it has come
	what string  // for the trace
	then []event // comes right behind it
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// sent is a message of a run, and when it was due.
type sent struct {
	Message
	at  time.Duration
	due time.Duration
}

func (s sent) link() [2]string { return [2]string{s.From, s.To} }

// change is a play made out: what comes in the message's place.
type change struct {
	Mutation
	as  []Message     // in order; empty for Lost
	due time.Duration // of Late: when it comes, by the run without mutations
}

// run is one play under way.
type run struct {
	s     *Setup
	w     System
	c     *change // nil without a mutation
	q     queue
	seq   int
	now   time.Duration
	sent  int
	log   []sent // kept without a mutation
	swap  *event // a swapped message that waits for its successor
	trace *trace
}

var errStorm = errors.New("more events than Setup.Steps allows")

// play plays one run and returns when and what did not hold.
func (s *Setup) play(c *change, t *trace) (r *run, err error) {
	r = &run{s: s, c: c, trace: t}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	r.w = s.Build(s.Seed)
	r.push(event{})
	most := s.MaxEvents
	if most == 0 {
		most = 1_000_000
	}
	for steps := 0; len(r.q) > 0; steps++ {
		e := heap.Pop(&r.q).(event)
		if e.at > s.Duration {
			break
		}
		if steps > most {
			return r, errStorm
		}
		r.now = e.at
		if err := r.take(e); err != nil {
			return r, err
		}
	}
	r.now = s.Duration
	if err := r.w.CheckEndState(r.now); err != nil {
		return r, fmt.Errorf("end state: %w", err)
	}
	return r, nil
}

func (r *run) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.q, e)
}

func (r *run) take(e event) error {
	if e.m == nil {
		for _, n := range r.w.Nodes() {
			r.send(r.w.Tick(r.now, n))
		}
		if err := r.w.CheckInvariants(r.now); err != nil {
			return fmt.Errorf("after a tick: %w", err)
		}
		r.push(event{at: r.now + r.s.TickInterval})
		return nil
	}
	if e.held != nil {
		if !*e.held {
			return nil
		}
		*e.held = false
	}
	r.trace.add(r.c, e.n, r.now, "#%d %s>%s %s%.200q", e.n, e.m.From, e.m.To, e.what, e.m.Bytes)
	m := *e.m
	m.Bytes = bytes.Clone(m.Bytes) // the node may keep it, or write into it
	r.send(r.w.Deliver(r.now, m))
	if err := r.w.CheckInvariants(r.now); err != nil {
		return fmt.Errorf("after message %d of %s to %s: %w", e.n, m.From, m.To, err)
	}
	for _, next := range e.then {
		if err := r.take(next); err != nil {
			return err
		}
	}
	return nil
}

// send puts messages on their way, with the mutation where it is one's turn.
func (r *run) send(list []Message) {
	for i := range list {
		m := &list[i]
		n, due := r.sent, r.now+m.Delay
		r.sent++
		if r.c == nil {
			r.log = append(r.log, sent{Message{m.From, m.To, bytes.Clone(m.Bytes), m.Delay}, r.now, due})
		}
		if r.c != nil && r.c.Message == n {
			r.mutate(m, n, due)
			continue
		}
		e := event{at: due, m: m, n: n}
		if s := r.swap; s != nil && s.m.From == m.From && s.m.To == m.To {
			r.swap = nil
			e.then = []event{*s}
		}
		r.push(e)
	}
}

func (r *run) mutate(m *Message, n int, due time.Duration) {
	c := r.c
	r.trace.add(c, n, r.now, "#%d %s>%s %.200q is sent, and %s", n, m.From, m.To, m.Bytes, c.Kind)
	what := c.Kind.String() + " "
	switch c.Kind {
	case Delayed:
		r.push(event{at: c.due, m: m, n: n, what: what})
	case Reordered:
		held := true
		e := event{at: due + r.s.ExtraDelay, m: m, n: n, held: &held, what: what}
		r.push(e) // should no successor come
		r.swap = &e
	default:
		for i := range c.as {
			r.push(event{at: due, m: &c.as[i], n: n, what: what})
		}
	}
}

// traceMost is how many lines are kept before the mutated message, after it, and before the end.
const traceMost = 12

// trace keeps what happened around the mutated message and before the end. A nil trace keeps
// nothing.
type trace struct {
	before, after, last []string
	skipped             int
}

func (t *trace) add(c *change, n int, now time.Duration, format string, args ...any) {
	if t == nil {
		return
	}
	line := fmt.Sprintf("%12v ", now) + fmt.Sprintf(format, args...)
	switch {
	case c != nil && len(t.after) == 0 && n != c.Message:
		if t.before = append(t.before, line); len(t.before) > traceMost {
			t.before = t.before[1:]
		}
	case c != nil && n == c.Message && t.after != nil: // whenever it comes
		t.after = append(t.after, line)
	case c != nil && len(t.after) < traceMost:
		t.after = append(t.after, line)
	default:
		if t.last = append(t.last, line); len(t.last) > traceMost {
			t.last, t.skipped = t.last[1:], t.skipped+1
		}
	}
}

func (t *trace) lines() []string {
	out := append(append([]string{}, t.before...), t.after...)
	if t.skipped > 0 {
		out = append(out, fmt.Sprintf("... %d more", t.skipped))
	}
	return append(out, t.last...)
}
