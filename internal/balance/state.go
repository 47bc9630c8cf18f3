package balance

import (
	"errors"
	"fmt"
	"math"
)

// This file holds what a Dispatcher remembers and the book-keeping of it; what is
// done with it is decided in dispatcher.go.

// Tokens of timers hold a request's id and an attempt's number, or one of these.
const (
	renewList = 1 << 63 // ask for the list
	holdTimer = 0xff    // in place of the attempt: the request is held
)

// watch sets the timer of a request's attempt.
func (d *Dispatcher) watch(r *request, k int, in Millis) {
	d.act.Wake(max(in, d.set.Tick), uint64(r.ID)<<8|uint64(k))
}

// worker is what is known of one worker.
type worker struct {
	Worker
	link     float64 // how far it is from this dispatcher: those within arc are preferred
	size     float64 // largest weight listed: about its slots
	own      float64 // slots of this dispatcher's jobs in flight
	running  float64 // of them, those whose jobs have told that they started
	others   float64 // slots that others held or waited for, by the last news ...
	othersAt Millis  // ... and when that was
	pace     float64 // running time relative to its kind's
	out      int     // attempts in flight
	strikes  int     // bad endings in a row
	until    Millis  // not to be used before
	tickets  float64 // while it is cold: jobs that may still be sent in this window ...
	lift     float64 // ... and how many times its speed it is drawn by, for the windows in which it has none
}

// rates are moving rates of requests a second, by tenant; the last is of all.
type rates struct {
	last []float64
	at   Millis
}

// add counts a request, and returns its tenant's rate, 0 if it has none, and that of all.
func (r *rates) add(now, window Millis, tenant int) (own, all float64) {
	n, fade := len(r.last)-1, math.Exp((r.at-now)/window)
	for i := range r.last {
		r.last[i] *= fade
	}
	r.at, r.last[n] = now, r.last[n]+1000/window
	if tenant < n {
		r.last[tenant] += 1000 / window
		own = r.last[tenant]
	}
	return own, r.last[n]
}

// attempt is one dispatch of a request.
type attempt struct {
	worker  int32
	zone    int    // of the worker: its place may be another's by the time this matters ...
	cell    int    // ... since the group that remembers a key outlives one that is gone
	out     bool   // no outcome yet
	full    bool   // turned away by a worker that had no room
	never   bool   // proven never to have run
	sent    Millis // when
	started Millis // when it told that it started, 0 if it did not
	news    Millis // the last sign of life
}

// request is one that this dispatcher owes an answer or still awaits outcomes for.
type request struct {
	Request
	open     bool   // a final answer is owed
	over     bool   // it is beyond its tenant's share
	until    Millis // held until then at most, 0 if it is not held
	out      int    // attempts in flight
	attempts []attempt
}

// tried says whether the request has been sent to the worker in place i.
func (r *request) tried(i int32) bool {
	for k := range r.attempts {
		if r.attempts[k].worker == i {
			return true
		}
	}
	return false
}

// book keeps workers and requests in places that are used again, so that the ordinary
// path allocates nothing.
type book struct {
	workers []worker
	free    []int32 // places in workers that can be used again
	index   map[WorkerID]int32
	reqs    map[RequestID]*request
	pool    []*request
	keys    map[uint64]int // requests out, by key
}

// open makes a place for a new request.
func (b *book) open(q Request) *request {
	n := len(b.pool)
	if n == 0 {
		b.pool, n = append(b.pool, &request{}), 1
	}
	r := b.pool[n-1]
	b.pool = b.pool[:n-1]
	*r = request{Request: q, open: true, attempts: r.attempts[:0]}
	r.Slots = max(1, q.Slots)
	b.reqs[q.ID] = r
	if q.Key != 0 {
		b.keys[q.Key]++
	}
	return r
}

// drop forgets a request that is closed, not held and has nothing in flight.
func (b *book) drop(r *request) {
	if !r.open && r.until == 0 && r.out == 0 && b.reqs[r.ID] == r {
		delete(b.reqs, r.ID)
		if b.keys[r.Key]--; b.keys[r.Key] <= 0 {
			delete(b.keys, r.Key)
		}
		b.pool = append(b.pool, r)
	}
}

// find returns an attempt still in flight, or nil.
func (b *book) find(id RequestID, k int) (*request, *attempt) {
	r := b.reqs[id]
	if r == nil || k < 0 || k >= len(r.attempts) || !r.attempts[k].out {
		return nil, nil
	}
	return r, &r.attempts[k]
}

// seat finds or makes the place of a listed worker. A new start time means a new
// process: what was learned about the old one is dropped. A worker that is gone and was not known gets none.
func (b *book) seat(e Worker) (place int32, listed bool) {
	i, known := b.index[e.ID]
	switch {
	case known:
	case e.State == Gone:
		return 0, false
	case len(b.free) > 0:
		i, b.free = b.free[len(b.free)-1], b.free[:len(b.free)-1]
	default:
		i, b.workers = int32(len(b.workers)), append(b.workers, worker{})
	}
	w := &b.workers[i]
	if !known || e.Started != w.Started {
		*w = worker{own: w.own, out: w.out, pace: 1} // what the old process ran does not run in this one
	}
	b.index[e.ID] = i
	w.Worker, w.size = e, max(1, w.size, e.Weight)
	return i, true
}

// release frees the place of a worker that is gone and has nothing in flight.
func (b *book) release(i int32) {
	w := &b.workers[i]
	if w.State != Gone || w.out > 0 {
		return
	}
	if j, known := b.index[w.ID]; known && j == i {
		delete(b.index, w.ID)
		*w = worker{}
		b.free = append(b.free, i)
	}
}

// turnAt is the window of the cold workers' budget that a time falls into.
func (d *Dispatcher) turnAt(now Millis) int64 {
	return int64(now / max(d.set.Rules.FallWindow, d.set.Tick))
}

// Two processes of one node are one dispatcher to a cold worker: while both serve, each spends FallMultiple/4 of a
// worker's budget a window where one alone spends up to the whole, so that together they stay within the margin of
// FallMultiple/2 that one process keeps (twice one process's budget at most, in the window of the hand-over). SetOverlap
// tells the one that hands over that the other serves beside it from its next window on (on), or that it is alone
// again (off); what it has left in this window it may use. Both keep serving in the overlap (the old one its kept
// client sessions): a budget given whole to one left the other's reqs without any cold worker.
func (d *Dispatcher) SetOverlap(on bool) { d.shared = on }

// StartOverlapped tells the one that takes over that another process serves beside it: it spends its part at once, until
// SetOverlap(false) says that the other is gone. now is unused; the part does not wait for a window.
func (d *Dispatcher) StartOverlapped(now Millis) { d.shared = true }

// hash spreads a number evenly over 0 to 1.
func hash(x uint64) float64 {
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return float64(x>>11) / (1 << 53)
}

// check says what is wrong with the settings.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("settings name no class")
	case s.MaxAttempts < 1:
		return fmt.Errorf("MaxAttempts is %d, want at least 1", s.MaxAttempts)
	case s.Instances < 1 || s.Zones < 1 || s.Kinds < 1:
		return errors.New("one of Instances, Zones and Kinds is below 1")
	case s.Rules.StartCapacity < 0 || s.Rules.StartCapacity > 1 || s.Rules.FallMultiple < 0:
		return errors.New("StartCapacity must be a share and FallMultiple not negative")
	case s.Subscribe && s.Rules.AskEvery <= 0:
		return errors.New("a list that comes on request needs AskEvery")
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Worth < 0 || c.Kind >= s.Kinds {
			return fmt.Errorf("class %d: aim and deadline must be positive, worth not negative, its kind known", i)
		}
	}
	return nil
}
