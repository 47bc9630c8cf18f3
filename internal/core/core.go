// Package core connects the decision module (package balance) to real events. It keeps the table of requests, the timers and
// the list of backends. It knows neither sockets nor protocols: fronts submit requests to it, a backend pool sends the
// attempts, and a director client delivers the list of backends.
//
// One goroutine owns the module and the table. All other goroutines post events, which are handled one at a time. An action
// that fails immediately is posted as a later event, so that the module is never re-entered while it performs an action.
package core

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/balance"
	"tinsail/internal/counters"
	"tinsail/internal/guard"
)

// Job is the part of a request that reaches the backend unchanged. Its slices belong to the front, which must not modify them
// until the request's Answer has JobReleased set. Whoever holds a Job lets go of it as soon as no attempt can need it any more:
// a front once it has submitted it, the core when the request is answered or abandoned, a backend pool when an attempt is
// written or has ended. Otherwise bodies of requests that are over would fill the memory.
type Job struct {
	Method, Target string
	ID             string // request ID as given by the client
	IdempotencyKey string // empty if the client gave none
	Body           []byte
}

// AnswerKind is the kind of final answer that a request gets.
type AnswerKind uint8

// Kinds of final answers.
const (
	Result  AnswerKind = iota // the result of a backend
	Refusal                   // answer made by the dispatcher; the client may retry safely
	Failure                   // no result, and no promise that a retry is safe
)

// Answer is the one final answer to a request.
type Answer struct {
	Kind        AnswerKind
	Result      string
	RetryAfter  time.Duration // suggested delay before the client retries after a refusal; 0 for no suggestion
	JobReleased bool          // no attempt will read the Job any more
}

// Client is the sender of a request. Answer is called once, on the core's goroutine, and must not block.
type Client interface{ Answer(Answer) }

// Backends performs the module's actions on backends. No method may block, or call back before it returns.
type Backends interface {
	// Send starts an attempt and returns a function that stops it. The implementation calls the attempt's Ended method
	// once, unless the attempt was stopped. It keeps no reference to the job once it has sent it or the attempt has ended.
	Send(a *Attempt, job *Job) (stop func())
	// Probe asks a backend for a load report and calls done once.
	Probe(b *Backend, done func(Ending, []float32))
	// CloseIdle closes idle connections to a backend.
	CloseIdle(b *Backend)
}

// Director watches the list of backends.
type Director interface{ Subscribe() }

// req is a request that is unanswered or has attempts outstanding.
type req struct {
	id             balance.RequestID
	correlationID  string // ID as given by the client
	idKey          IDKey  // of correlationID
	client         Client // nil once the request is answered or abandoned
	job            *Job   // nil once the request is answered or abandoned
	deadline       float64
	timer          *timer // ends the request if nothing else does; cancelled when it is answered or abandoned
	effect         balance.Effect
	repeatWindow   balance.Millis // for how long backends drop repeats, where effect is Deduped
	open           bool           // a final answer is still due
	closed         atomic.Bool    // the request is answered or no longer wanted: no attempt may start
	dedupScope     balance.Scope  // which backends drop repeats together, where effect is Deduped
	answered       bool           // the final answer was given
	clientGoneAt   atomic.Int64   // stamp of when its client was found to be gone; 0 while it is there
	policyVersion  uint64         // fleet policy version under which it was admitted; 0 without Versions
	startReported  atomic.Bool    // Versions was notified that it has started at a backend or never will
	attempts       []*Attempt
	latest         atomic.Pointer[Attempt] // last element of attempts, read by MayStart on other goroutines
	outstanding    int
	attemptStopped bool   // the core stopped an attempt, which may still be reading the job
	onDone         func() // set by Abandon
	queued         bool   // waits for quota; the module does not know of it yet
	inModule       bool   // the module knows of it
	releaseQuota   func() // releases its quota or its place in the queue for it; nil without Quotas and after the call
}

// Core is the dispatcher without its connections.
type Core struct {
	// Log receives the log lines of the module and the core. Set it before Run, if at all.
	Log zerolog.Logger
	// Versions, if set before Run, decides under which version of the fleet's policy requests are admitted.
	Versions Versions
	// Quotas, if set before Run, decides when a request may run.
	Quotas Quotas
	// Guard, if set before Run, checks invariants at run time and keeps the trace of events.
	Guard *guard.Recorder

	clock         clock
	count         *counters.Set
	module        balance.Events
	backends      Backends
	director      Director
	reqs          map[balance.RequestID]*req
	listed        map[balance.WorkerID]*Backend
	lastID        balance.RequestID
	queuedReqs    []*req // requests queued for quota, with Versions set; some have left the queue already
	timers        timers
	answerSlack   float64
	drainGrace    time.Duration // for how long after a backend stops being ready an attempt may still start at it
	classes       []balance.Class
	duplicateRule bool // MayStart enforces the rule on duplicated effects as well
	// mayCancel says that the settings allow cancelling an attempt.
	mayCancel  bool
	readyCount atomic.Int32                               // number of backends that may be sent to
	openCount  atomic.Int32                               // number of unanswered requests
	hasList    atomic.Bool                                // a list that names any backend has arrived
	banned     atomic.Pointer[map[balance.WorkerID]int64] // stamps of when each banned backend was banned

	ids ids

	startTimes         startTimes
	directorAnsweredAt int64 // stamp of the director's last answer; 0 if there was none

	mu         sync.Mutex
	inbox      []func()
	spareInbox []func()
	posted     chan struct{}

	submitted submissionQueue
}

// New makes a core for the settings, on the system clock.
func New(s balance.Settings, b Backends, d Director, count *counters.Set) (*Core, error) {
	return NewAt(time.Now, s, b, d, count)
}

// NewAt makes a core that reads the time from read. If that is not the system clock, Run must not be used: whoever moves the
// clock calls Step after something was posted, and at the time that NextTimer returns.
func NewAt(read func() time.Time, s balance.Settings, b Backends, d Director, count *counters.Set) (*Core, error) {
	c, err := NewWith(read, func(s balance.Settings, a balance.Actions) (balance.Events, error) { return balance.New(s, a) }, s, b, d, count)
	c.duplicateRule = true
	return c, err
}

// NewWith makes a core with another decision policy than package balance's. The simulator uses it to compare policies and to
// check what they would send, so MayStart doesn't stop such a policy from duplicating an effect. A serving program must use
// New.
func NewWith(read func() time.Time, policy func(balance.Settings, balance.Actions) (balance.Events, error),
	s balance.Settings, b Backends, d Director, count *counters.Set) (*Core, error) {
	c := &Core{clock: newClock(read), count: count, backends: b, director: d, answerSlack: s.Rules.AnswerSlack,
		drainGrace: time.Duration(s.Rules.DrainGrace * float64(time.Millisecond)), classes: s.Classes, mayCancel: s.MayCancel,
		reqs: map[balance.RequestID]*req{}, listed: map[balance.WorkerID]*Backend{},
		posted: make(chan struct{}, 1), startTimes: newStartTimes(), submitted: newSubmissionQueue()}
	var err error
	c.module, err = policy(s, actions{c})
	return c, err
}

// ReadyBackends returns how many backends may be sent to.
func (c *Core) ReadyBackends() int { return int(c.readyCount.Load()) }

// overlapPolicy is a policy that can share the budget of cold backends with another process of this dispatcher.
type overlapPolicy interface {
	SetOverlap(on bool)
	StartOverlapped(now balance.Millis)
}

// SetOverlap tells the module whether another process of this dispatcher serves at the same time, as during a hand-over.
// While on, each process spends only part of the budget of cold backends; off means that this process is alone again.
// balance.Dispatcher.SetOverlap documents the parts.
func (c *Core) SetOverlap(on bool) {
	c.post(func() {
		if p, ok := c.module.(overlapPolicy); ok {
			p.SetOverlap(on)
		}
	})
}

// StartOverlapped tells a process that takes over that its predecessor still serves.
func (c *Core) StartOverlapped() {
	c.post(func() {
		if p, ok := c.module.(overlapPolicy); ok {
			p.StartOverlapped(c.clock.now())
		}
	})
}

// ShareIDs has share called with the ID of each request that begins or is over, from now on, and returns the IDs that are held. share
// must not block; nil ends it. Another process of this dispatcher refuses them by ReserveIDs.
func (c *Core) ShareIDs(share func(IDKey)) []IDKey { return c.ids.shareWith(share, c.clock.read()) }

// ReserveIDs refuses IDs that another process of this dispatcher uses, for as long as if they had been used here.
func (c *Core) ReserveIDs(keys []IDKey) { c.ids.reserve(keys, c.clock.read()) }

// HasList reports whether a list that names any backend has arrived.
func (c *Core) HasList() bool { return c.hasList.Load() }

// OpenReqs returns how many requests are unanswered.
func (c *Core) OpenReqs() int { return int(c.openCount.Load()) }

func (c *Core) post(event func()) {
	c.mu.Lock()
	c.inbox = append(c.inbox, event)
	c.mu.Unlock()
	select {
	case c.posted <- struct{}{}:
	default:
	}
}

// Run handles events until stop is closed.
func (c *Core) Run(stop <-chan struct{}) {
	c.submitted.open()
	defer c.submitted.close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		c.step()
		wait := time.Hour
		if len(c.timers.list) > 0 {
			wait = time.Duration((c.timers.list[0].at - c.clock.now()) * float64(time.Millisecond))
		}
		timer.Reset(max(wait, 0))
		select {
		case <-stop:
			return
		case <-c.posted:
		case <-timer.C:
		}
	}
}

// Step handles posted events and due timers, as Run does, until nothing is left to do at the current time. It must not be
// called while Run is running.
func (c *Core) Step() {
	for more := true; more; {
		c.step()
		c.mu.Lock()
		more = len(c.inbox) > 0
		c.mu.Unlock()
	}
}

// NextTimer returns when the next timer is due, or the zero time if there is none.
func (c *Core) NextTimer() time.Time {
	if len(c.timers.list) == 0 {
		return time.Time{}
	}
	// Rounded up, so that a clock in whole nanoseconds doesn't stop just before the timer is due.
	return c.clock.origin.Add(time.Duration(math.Ceil((c.timers.list[0].at - c.clock.originMillis) * float64(time.Millisecond))))
}

// step handles the posted events, then the due timers. Events posted meanwhile wait for the next step. Events come before
// timers so that an answer which has already arrived is seen before the timeout that it beats.
func (c *Core) step() {
	c.mu.Lock()
	events := c.inbox
	c.inbox = c.spareInbox[:0]
	c.mu.Unlock()
	for _, event := range events {
		event()
	}
	clear(events)
	c.spareInbox = events
	for do := c.timers.popDue(c.clock.now()); do != nil; do = c.timers.popDue(c.clock.now()) {
		do()
	}
}

// close records that a request is answered, or that its client is gone. The request may stay in the table for as long as an
// attempt is outstanding, but it holds neither its job nor its client any more.
func (c *Core) close(r *req) {
	r.open = false
	r.closed.Store(true)
	r.job, r.client = nil, nil
	c.timers.cancel(r.timer)
	r.timer = nil
	c.openCount.Add(-1)
	if c.Versions != nil {
		c.reportStart(r)
	}
}

// answer gives a request its one final answer.
func (c *Core) answer(r *req, a Answer) {
	if !r.open {
		return
	}
	c.checkFinal(r, a)
	client := r.client
	c.close(r)
	a.JobReleased = r.outstanding == 0 && !r.attemptStopped
	switch a.Kind {
	case Result:
		c.count.AnswersServed.Add(1)
	case Refusal:
		c.count.AnswersRefused.Add(1)
	case Failure:
		c.count.AnswersFailed.Add(1)
	}
	if client != nil { // nil only for a second answer, which checkFinal has reported
		client.Answer(a)
	}
}

// mayHaveRun reports whether some attempt of the request may have begun at a backend.
func (r *req) mayHaveRun() bool {
	for _, a := range r.attempts {
		if a.startedAt.Load() != 0 && !a.neverRan.Load() {
			return true
		}
	}
	return false
}

// forget drops a request that is answered and has no attempt outstanding.
func (c *Core) forget(r *req) {
	if r.open || r.outstanding > 0 {
		return
	}
	if c.reqs[r.id] == r {
		delete(c.reqs, r.id)
		c.ids.release(r.idKey, r.mayHaveRun(), c.clock.read())
	}
	if release := r.releaseQuota; release != nil {
		r.releaseQuota = nil
		release()
	}
	if onDone := r.onDone; onDone != nil {
		r.onDone = nil
		onDone()
	}
}

func (c *Core) progressed(a *Attempt, started bool, share float64) {
	if !a.done {
		c.module.Progressed(c.clock.now(), balance.Progress{ID: a.req.id, Attempt: a.number,
			Worker: a.Backend.ID, Started: started, Done: share})
	}
}

// ended handles the end of an attempt; repeated calls do nothing. A result goes to the client before the module learns
// of it, in the same order as in the simulator.
func (c *Core) ended(a *Attempt, e Ending, result string, report []float32) {
	if a.done {
		return
	}
	a.done, a.ending = true, e
	c.timers.cancel(a.timer)
	a.timer, a.stop = nil, nil
	a.req.outstanding--
	c.count.Endings[e].Add(1)
	res, ok := e.Result()
	if !ok {
		c.Log.Error().Stringer("ending", e).Msg("ending does not belong to an attempt")
		res = balance.Reset
	}
	if e != Served { // the event for the request's answer covers Served
		c.trace(c.clock.read(), a.req, guard.AttemptEnded, e)
	}
	a.neverRan.Store(res == balance.Full || res == balance.ConnectFailed || res == balance.NotSent)
	switch e {
	case Served:
		c.answer(a.req, Answer{Kind: Result, Result: result})
	case Rejected: // another backend would reject it too
		c.answer(a.req, Answer{Kind: Failure})
	case Unsent:
		if c.Versions != nil {
			c.answerExpired(a.req)
		}
	}
	now := c.clock.now()
	c.module.AttemptEnded(now, balance.Outcome{ID: a.req.id, Attempt: a.number, Worker: a.Backend.ID,
		Result: res, Took: now - a.sentAt, Closed: !a.req.open, Report: report})
	c.forget(a.req)
}

// stopAttempt stops an attempt from the core's side. An attempt that was never given to the pool ends as Unsent by itself.
func (c *Core) stopAttempt(a *Attempt, e Ending) {
	if !a.done && a.stop != nil {
		a.stopped.Store(true)
		a.req.attemptStopped = true
		a.stop()
		c.ended(a, e, "", nil)
	}
}
