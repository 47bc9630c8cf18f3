package mutate

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"runtime/debug"
	"time"
)

// event is the delivery of a message, or a tick of every node if message is nil. Events of the same
// time are handled in the order of their creation.
type event struct {
	at        time.Duration
	seq       int
	message   *Message
	number    int     // index of the message in sending order
	pending   *bool   // for Reordered, shared by both events of the message: false once it is delivered
	label     string  // kind of mutation, for the trace
	followers []event // delivered right after it
}

// eventQueue is a heap.Interface ordered by time, then by creation.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// sentMessage is a message of the run without a mutation.
type sentMessage struct {
	Message
	sentAt time.Duration
	due    time.Duration // time of delivery
}

func (s sentMessage) link() [2]string { return [2]string{s.From, s.To} }

// plannedMutation is a mutation with the messages to deliver in place of the original.
type plannedMutation struct {
	Mutation
	replacements []Message     // in order of delivery; empty for Lost
	delayedUntil time.Duration // for Delayed: time of delivery, from the run without a mutation
}

// run is one simulation in progress.
type run struct {
	setup     *Setup
	system    System
	mutation  *plannedMutation // nil without a mutation
	queue     eventQueue
	seq       int
	now       time.Duration
	sentCount int
	sentLog   []sentMessage // recorded only without a mutation
	heldBack  *event        // a Reordered message until its successor is sent
	trace     *trace
}

var errTooManyEvents = errors.New("more events than Setup.MaxEvents allows")

// simulate does one run and returns the first failed check, or a panic as an error. r.now is the time
// of the failure.
func (s *Setup) simulate(c *plannedMutation, t *trace) (r *run, err error) {
	r = &run{setup: s, mutation: c, trace: t}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	r.system = s.Build(s.Seed)
	r.push(event{})
	maxEvents := s.MaxEvents
	if maxEvents == 0 {
		maxEvents = 1_000_000
	}
	for events := 0; len(r.queue) > 0; events++ {
		e := heap.Pop(&r.queue).(event)
		if e.at > s.Duration {
			break
		}
		if events > maxEvents {
			return r, errTooManyEvents
		}
		r.now = e.at
		if err := r.handle(e); err != nil {
			return r, err
		}
	}
	r.now = s.Duration
	if err := r.system.CheckEndState(r.now); err != nil {
		return r, fmt.Errorf("end state: %w", err)
	}
	return r, nil
}

func (r *run) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.queue, e)
}

// handle delivers a message or ticks every node, then checks the invariants.
func (r *run) handle(e event) error {
	if e.message == nil {
		for _, n := range r.system.Nodes() {
			r.send(r.system.Tick(r.now, n))
		}
		if err := r.system.CheckInvariants(r.now); err != nil {
			return fmt.Errorf("after a tick: %w", err)
		}
		r.push(event{at: r.now + r.setup.TickInterval})
		return nil
	}
	if e.pending != nil {
		if !*e.pending {
			return nil
		}
		*e.pending = false
	}
	r.trace.add(r.mutation, e.number, r.now, "#%d %s>%s %s%.200q", e.number, e.message.From, e.message.To, e.label, e.message.Bytes)
	m := *e.message
	m.Bytes = bytes.Clone(m.Bytes) // the node may keep or overwrite it
	r.send(r.system.Deliver(r.now, m))
	if err := r.system.CheckInvariants(r.now); err != nil {
		return fmt.Errorf("after message %d of %s to %s: %w", e.number, m.From, m.To, err)
	}
	for _, next := range e.followers {
		if err := r.handle(next); err != nil {
			return err
		}
	}
	return nil
}

// send schedules the delivery of messages and applies the run's mutation to its message.
func (r *run) send(list []Message) {
	for i := range list {
		m := &list[i]
		n, due := r.sentCount, r.now+m.Delay
		r.sentCount++
		if r.mutation == nil {
			r.sentLog = append(r.sentLog, sentMessage{Message{m.From, m.To, bytes.Clone(m.Bytes), m.Delay}, r.now, due})
		}
		if r.mutation != nil && r.mutation.Message == n {
			r.sendMutated(m, n, due)
			continue
		}
		e := event{at: due, message: m, number: n}
		if held := r.heldBack; held != nil && held.message.From == m.From && held.message.To == m.To {
			r.heldBack = nil
			e.followers = []event{*held}
		}
		r.push(e)
	}
}

// sendMutated schedules what is delivered in place of message n.
func (r *run) sendMutated(m *Message, n int, due time.Duration) {
	c := r.mutation
	r.trace.add(c, n, r.now, "#%d %s>%s %.200q is sent, and %s", n, m.From, m.To, m.Bytes, c.Kind)
	label := c.Kind.String() + " "
	switch c.Kind {
	case Delayed:
		r.push(event{at: c.delayedUntil, message: m, number: n, label: label})
	case Reordered:
		pending := true
		e := event{at: due + r.setup.ExtraDelay, message: m, number: n, pending: &pending, label: label}
		r.push(e) // in case no successor is sent
		r.heldBack = &e
	default:
		for i := range c.replacements {
			r.push(event{at: due, message: &c.replacements[i], number: n, label: label})
		}
	}
}

// maxTraceLines limits the lines kept before the mutated message, after it, and before the end.
const maxTraceLines = 12

// trace records the events around the mutated message and before the end. A nil trace records nothing.
type trace struct {
	before, after, last []string
	skipped             int // lines left out before last
}

func (t *trace) add(c *plannedMutation, n int, now time.Duration, format string, args ...any) {
	if t == nil {
		return
	}
	line := fmt.Sprintf("%12v ", now) + fmt.Sprintf(format, args...)
	switch {
	case c != nil && len(t.after) == 0 && n != c.Message:
		if t.before = append(t.before, line); len(t.before) > maxTraceLines {
			t.before = t.before[1:]
		}
	case c != nil && n == c.Message && t.after != nil: // kept however late it is delivered
		t.after = append(t.after, line)
	case c != nil && len(t.after) < maxTraceLines:
		t.after = append(t.after, line)
	default:
		if t.last = append(t.last, line); len(t.last) > maxTraceLines {
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
