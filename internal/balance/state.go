package balance

import (
	"errors"
	"fmt"
	"math"
)

// This file holds the state of a Dispatcher and its bookkeeping. The decisions
// that use it are in dispatcher.go.

// A timer's token holds a request's ID and an attempt's number, or one of these values.
const (
	refreshListTimer = 1 << 63 // request the list of workers
	holdTimer        = 0xff    // in place of the attempt's number: the request is held
)

// setTimer sets the timer of an attempt of a request.
func (d *Dispatcher) setTimer(r *request, k int, in Millis) {
	d.actions.Wake(max(in, d.cfg.Tick), uint64(r.ID)<<8|uint64(k))
}

// worker is the state kept for one worker.
type worker struct {
	Worker       // its Zone is where work is placed: never Unknown
	keys         keyGroups
	distance     float64 // distance from this dispatcher on the ring; those within preferredDistance are preferred
	size         float64 // largest weight listed, which is about its number of slots
	ownSlots     float64 // slots taken by this dispatcher's jobs in flight
	runningSlots float64 // those of ownSlots whose jobs were reported as started
	otherSlots   float64 // slots that other dispatchers used or waited for, as last learned ...
	otherSlotsAt Millis  // ... at this time
	timeRatio    float64 // running time relative to the mean of its kind
	inFlight     int     // attempts in flight
	backoffLevel int     // raised by each failure, halved by a success; each level doubles the backoff
	avoidUntil   Millis  // not to be used before this time
	coldBudget   float64 // for a cold worker: jobs that may still be sent to it in this window
	drawFactor   float64 // for a cold worker: factor on its speed in the draw, to make up for windows without budget
}

// rates are moving averages of requests per second, by tenant. The last value is that of all tenants.
type rates struct {
	values    []float64
	updatedAt Millis
}

// add counts a request. It returns the rate of its tenant, 0 if it has none, and the total rate.
func (r *rates) add(now, window Millis, tenant int) (own, all float64) {
	n, decay := len(r.values)-1, math.Exp((r.updatedAt-now)/window)
	for i := range r.values {
		r.values[i] *= decay
	}
	r.updatedAt, r.values[n] = now, r.values[n]+1000/window
	if tenant < n {
		r.values[tenant] += 1000 / window
		own = r.values[tenant]
	}
	return own, r.values[n]
}

// keyGroups names the groups of workers that a worker shares keys with, by scope. Workers of one group discard
// each other's repeats of a request.
type keyGroups struct{ zone, cell int }

// shares reports whether two workers are known to share keys within a scope.
func (g keyGroups) shares(scope Scope, other keyGroups) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return g.zone != Unknown && g.zone == other.zone
	case ScopeCell:
		return g.cell != Unknown && g.cell == other.cell
	}
	return false
}

// attempt is one dispatch of a request. It keeps the worker's groups, since the workers that remember a key
// outlive the worker, whose index may belong to another one by then.
type attempt struct {
	workerIndex    int32
	keys           keyGroups
	inFlight       bool   // no outcome yet
	rejectedFull   bool   // rejected by a worker that was full
	neverRan       bool   // proven never to have run
	sentAt         Millis // when it was sent
	startedAt      Millis // when it was reported as started, 0 if it was not
	lastProgressAt Millis // when it was sent or last reported progress
}

// request is a request that still needs an answer or has attempts in flight.
type request struct {
	Request
	open      bool   // a final answer is due
	overShare bool   // it is beyond its tenant's share
	heldUntil Millis // held until then at most, 0 if it is not held
	inFlight  int    // attempts in flight
	attempts  []attempt
}

// triedOn reports whether the request has been sent to the worker at index i.
func (r *request) triedOn(i int32) bool {
	for k := range r.attempts {
		if r.attempts[k].workerIndex == i {
			return true
		}
	}
	return false
}

// tables holds the workers and requests. Entries are reused, so that the ordinary path allocates nothing.
type tables struct {
	workers       []worker
	freeIndexes   []int32 // indexes in workers that can be reused
	workerIndex   map[WorkerID]int32
	requests      map[RequestID]*request
	requestPool   []*request
	requestsByKey map[uint64]int // number of requests with each key
}

// addRequest adds a new request, in an entry of the pool if there is one.
func (b *tables) addRequest(q Request) *request {
	n := len(b.requestPool)
	if n == 0 {
		b.requestPool, n = append(b.requestPool, &request{}), 1
	}
	r := b.requestPool[n-1]
	b.requestPool = b.requestPool[:n-1]
	*r = request{Request: q, open: true, attempts: r.attempts[:0]}
	r.Slots = max(1, q.Slots)
	b.requests[q.ID] = r
	if q.Key != 0 {
		b.requestsByKey[q.Key]++
	}
	return r
}

// dropRequest removes a request that is closed, not held and has no attempt in flight.
func (b *tables) dropRequest(r *request) {
	if !r.open && r.heldUntil == 0 && r.inFlight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		if b.requestsByKey[r.Key]--; b.requestsByKey[r.Key] <= 0 {
			delete(b.requestsByKey, r.Key)
		}
		b.requestPool = append(b.requestPool, r)
	}
}

// findAttempt returns an attempt that is still in flight and its request, or nil.
func (b *tables) findAttempt(id RequestID, k int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || k < 0 || k >= len(r.attempts) || !r.attempts[k].inFlight {
		return nil, nil
	}
	return r, &r.attempts[k]
}

// upsertWorker adds or updates a listed worker and returns its index. A new start time means a new process,
// so what was learned about the old one is dropped. A worker that is gone and was not known is not added.
func (b *tables) upsertWorker(e Worker) (index int32, listed bool) {
	i, known := b.workerIndex[e.ID]
	switch {
	case known:
	case e.State == Gone:
		return 0, false
	case len(b.freeIndexes) > 0:
		i, b.freeIndexes = b.freeIndexes[len(b.freeIndexes)-1], b.freeIndexes[:len(b.freeIndexes)-1]
	default:
		i, b.workers = int32(len(b.workers)), append(b.workers, worker{})
	}
	w := &b.workers[i]
	if !known || e.Started != w.Started {
		*w = worker{ownSlots: w.ownSlots, inFlight: w.inFlight, timeRatio: 1} // jobs of the old process do not run in the new one
	}
	b.workerIndex[e.ID] = i
	w.Worker, w.size = e, max(1, w.size, e.Weight)
	return i, true
}

// releaseWorker frees the entry of a worker that is gone and has no attempt in flight.
func (b *tables) releaseWorker(i int32) {
	w := &b.workers[i]
	if w.State != Gone || w.inFlight > 0 {
		return
	}
	if j, known := b.workerIndex[w.ID]; known && j == i {
		delete(b.workerIndex, w.ID)
		*w = worker{}
		b.freeIndexes = append(b.freeIndexes, i)
	}
}

// coldWindowAt returns the number of the cold workers' budget window that a time falls into.
func (d *Dispatcher) coldWindowAt(now Millis) int64 {
	return int64(now / max(d.cfg.Rules.FallWindow, d.cfg.Tick))
}

// SetOverlap tells a process that another process of this dispatcher serves beside it (on), or that it is alone
// again (off). It takes effect in the next window; what is left of the budget in this one may still be used.
//
// To a cold worker, the two processes of a hand-over are one dispatcher. While both serve, each spends FallMultiple/4
// of a worker's budget per window, where one process alone spends up to the whole. Together they stay within the
// margin of FallMultiple/2 that one process keeps; in the window of the hand-over they spend at most twice the budget
// of one process. Both need a part, since the old process keeps serving the client sessions it has: when one process
// got the whole budget, the other's requests could use no cold worker.
func (d *Dispatcher) SetOverlap(on bool) { d.coldBudgetShared = on }

// StartOverlapped tells a process that takes over that another process serves beside it. It spends its part from
// the current window on, until SetOverlap(false) reports that the other is gone; now is unused.
func (d *Dispatcher) StartOverlapped(now Millis) { d.coldBudgetShared = true }

// unitHash hashes a number to a value uniformly distributed in [0, 1).
func unitHash(x uint64) float64 {
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return float64(x>>11) / (1 << 53)
}

// validate returns an error if the settings cannot be used.
func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("settings contain no class")
	case s.MaxAttempts < 1:
		return fmt.Errorf("MaxAttempts is %d, want at least 1", s.MaxAttempts)
	case s.Instances < 1 || s.Zones < 1 || s.Kinds < 1:
		return errors.New("each of Instances, Zones and Kinds must be at least 1")
	case s.Rules.StartCapacity < 0 || s.Rules.StartCapacity > 1 || s.Rules.FallMultiple < 0:
		return errors.New("StartCapacity must be between 0 and 1 and FallMultiple not negative")
	case s.Subscribe && s.Rules.AskEvery <= 0:
		return errors.New("settings with Subscribe require a positive AskEvery")
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Worth < 0 || c.Kind >= s.Kinds {
			return fmt.Errorf("class %d: Aim and Deadline must be positive, Worth not negative and Kind below Kinds", i)
		}
	}
	return nil
}
