// Package core drives the decision module with real events. It keeps the table of reqs,
// the timers and the list of backends, and knows neither sockets nor any protocol: fronts
// hand it reqs, a pool of backends carries out attempts, a director brings lists.
//
// One goroutine owns the module and the table. All else posts events, which are taken one
// at a time; an action that fails at once becomes a later event, so that the module is
// never entered while it acts.
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

// Job is what passes through to a backend unchanged. Its slices belong to the front, which
// must leave them alone until the req's Answer says Free.
type Job struct {
	Method, Target string
	ID             string // of the req, as the client gave it
	IdempotencyKey string // empty if none
	Body           []byte
}

// Verdict is what kind of final answer a req gets.
type Verdict uint8

// Verdicts.
const (
	ResultOf Verdict = iota // a backend's result
	Refusal                 // a synthetic answer: trying again is harmless
	Failure                 // no promise
)

// Answer is a req's one final answer.
type Answer struct {
	Verdict Verdict
	Result  string
	Pause   time.Duration // best time to stay away after a refusal, 0 for no advice
	Free    bool          // no attempt will read the job any more
}

// Client is the side a req came from. Answer is called once, from the core's goroutine,
// and must not block.
type Client interface{ Answer(Answer) }

// Backends carries out what the module decides. No method may block or call back at once.
type Backends interface {
	// Send begins an attempt and returns what stops it. The pool calls the attempt's Ended
	// once, unless it was stopped.
	Send(a *Attempt) (stop func())
	// Probe asks for a load report and calls done once.
	Probe(b *Backend, done func(Ending, []float32))
	// HangUp closes idle connections to a backend.
	HangUp(b *Backend)
}

// Director watches the list of backends.
type Director interface{ Subscribe() }

// Backend is a photo worker. Its fields but state are fixed: a backend that moves to another
// address is replaced by a new one in the core's list.
type Backend struct {
	ID      balance.WorkerID
	Name    string
	Address string
	ready   atomic.Bool
	drained atomic.Int64 // since when it is not ready, in nanoseconds after the clock's origin, and 1; 0: it is, or never was
	core    *Core        // nil in tests of what stands behind the core
}

// Withheld says that operators have taken the backend out of use.
func (b *Backend) Withheld() bool { return b.core != nil && b.core.withheld(b.ID) }

// set notes whether the backend may be sent to.
func (b *Backend) set(ready bool) {
	was := b.ready.Swap(ready)
	switch {
	case ready:
		b.drained.Store(0)
	case was && b.core != nil:
		b.drained.Store(b.core.clock.stamp(b.core.clock.read()))
	}
}

// Entry is a line of the director's list.
type Entry struct {
	balance.Worker
	Name, Address string
	// Local says that Started is a time on this core's clock (see Now), not what the list told.
	Local bool
}

// req is a request that is owed an answer, or has attempts out.
type req struct {
	id       balance.RequestID
	client   Client
	job      *Job
	deadline float64
	effect   balance.Effect
	window   balance.Millis // for repeats, where effect is Deduped
	open     bool           // a final answer is owed
	over     atomic.Bool    // it is not, or is not wanted any more: nothing of it may begin
	scope    balance.Scope  // of the backends that drop repeats, where effect is Deduped
	answered bool           // its final answer was given
	goneAt   atomic.Int64   // when its client was known to have gone, in nanoseconds after the clock's origin, and 1; 0: it has not
	version  uint64         // of the fleet's policy that it was taken by, 0 without Versions
	began    atomic.Bool    // at a backend, or never will; told to Versions once
	attempts []*Attempt
	latest   atomic.Pointer[Attempt] // the last of attempts, for MayBegin
	out      int
	cut      bool // an attempt was stopped from here, and may be reading the job still
	gone     func()
	waits    bool   // for room, and the module does not know of it
	arrived  bool   // the module knows of it
	leave    func() // gives its room, or its place among those that wait, back; nil without Quotas and once it was called
}

// Core is the dispatcher without its connections.
type Core struct {
	// Log takes what the module and the core have to tell; set it before Run, if at all.
	Log zerolog.Logger
	// Versions, where set before Run, says by which version of the fleet's policy reqs are taken.
	Versions Versions
	// Quotas, where set before Run, says when there is room for a req.
	Quotas Quotas
	// Guard, where set before Run, checks the rules at run time and keeps the trace.
	Guard *guard.Recorder

	clock    clock
	count    *counters.Set
	mod      balance.Events
	backends Backends
	director Director
	reqs     map[balance.RequestID]*req
	listed   map[balance.WorkerID]*Backend
	last     balance.RequestID
	waiting  []*req // for room, by versions; some wait no more
	timers   timers
	slack    float64
	grace    time.Duration // in which sends to a draining backend end
	classes  []balance.Class
	guarded  bool // MayBegin holds the rule on duplicated effects too
	// mayCancel says that the settings allow to call an attempt off.
	mayCancel bool
	ready     atomic.Int32                               // backends that may be sent to
	open      atomic.Int32                               // reqs owed an answer
	known     atomic.Bool                                // a list of backends has come
	held      atomic.Pointer[map[balance.WorkerID]int64] // since when, as drained of a Backend

	ids ids

	starts starts
	heard  int64 // when the director's last answer came, as the clock's stamp; 0: none has

	mu     sync.Mutex
	inbox  []func()
	spare  []func()
	posted chan struct{}
}

// New makes a core for the settings, on the system's clock.
func New(s balance.Settings, b Backends, d Director, count *counters.Set) (*Core, error) {
	return NewAt(time.Now, s, b, d, count)
}

// NewAt makes a core whose time is what read tells. Where that is not the system's, Run is of no
// use: whoever moves the clock calls Step when something was posted and at Next.
func NewAt(read func() time.Time, s balance.Settings, b Backends, d Director, count *counters.Set) (*Core, error) {
	c, err := NewWith(read, func(s balance.Settings, a balance.Actions) (balance.Events, error) { return balance.New(s, a) }, s, b, d, count)
	c.guarded = true
	return c, err
}

// NewWith makes a core whose decisions another policy makes than the module: the laboratory compares
// them, and judges what they would send: MayBegin does not keep such a policy from sending twice what must not be. A
// program that serves has no use for it.
func NewWith(read func() time.Time, policy func(balance.Settings, balance.Actions) (balance.Events, error),
	s balance.Settings, b Backends, d Director, count *counters.Set) (*Core, error) {
	c := &Core{clock: newClock(read), count: count, backends: b, director: d, slack: s.Rules.AnswerSlack,
		grace: time.Duration(s.Rules.DrainGrace * float64(time.Millisecond)), classes: s.Classes, mayCancel: s.MayCancel,
		reqs: map[balance.RequestID]*req{}, listed: map[balance.WorkerID]*Backend{},
		posted: make(chan struct{}, 1), starts: newStarts()}
	var err error
	c.mod, err = policy(s, actions{c})
	return c, err
}

// Ready is how many backends may be sent to.
func (c *Core) Ready() int { return int(c.ready.Load()) }

// Withhold names the backends that nothing may begin at from now on, whatever the list says. It
// holds when it returns, and does not wait for what the core has yet to take. The map is the core's.
func (c *Core) Withhold(ids map[balance.WorkerID]struct{}) {
	since := make(map[balance.WorkerID]int64, len(ids))
	now := c.clock.stamp(c.clock.read())
	for id := range ids {
		since[id] = now
		if before := c.withheldSince(id); before != 0 {
			since[id] = before
		}
	}
	c.held.Store(&since)
}

func (c *Core) withheld(id balance.WorkerID) bool { return c.withheldSince(id) != 0 }

// withheldSince is since when a backend is withheld, 0 if it is not.
func (c *Core) withheldSince(id balance.WorkerID) int64 {
	ids := c.held.Load()
	if ids == nil {
		return 0
	}
	return (*ids)[id]
}

// heir is a policy that shares the budget of cold backends with another process of this dispatcher.
type heir interface {
	Retire(on bool)
	Succeed(now balance.Millis)
}

// Retire tells the module that another process of this dispatcher serves beside this one from now on, so that each
// spends a part of the budget of cold backends (on), or that this one is alone again (off); Succeed tells a process
// that takes over that the one before it still serves. balance.Dispatcher.Retire says what the parts are.
func (c *Core) Retire(on bool) {
	c.post(func() {
		if h, ok := c.mod.(heir); ok {
			h.Retire(on)
		}
	})
}

// Succeed is Retire's other end.
func (c *Core) Succeed() {
	c.post(func() {
		if h, ok := c.mod.(heir); ok {
			h.Succeed(c.clock.now())
		}
	})
}

// Known says whether any list of backends has come.
func (c *Core) Known() bool { return c.known.Load() }

// Open is how many reqs are owed an answer.
func (c *Core) Open() int { return int(c.open.Load()) }

func (c *Core) post(event func()) {
	c.mu.Lock()
	c.inbox = append(c.inbox, event)
	c.mu.Unlock()
	select {
	case c.posted <- struct{}{}:
	default:
	}
}

// Run takes events until stop is closed.
func (c *Core) Run(stop <-chan struct{}) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		c.step()
		wait := time.Hour
		if len(c.timers.list) > 0 {
			wait = time.Duration((c.timers.list[0].at - c.clock.now()) * float64(time.Millisecond))
		}
		alarm.Reset(max(wait, 0))
		select {
		case <-stop:
			return
		case <-c.posted:
		case <-alarm.C:
		}
	}
}

// Step takes what has been posted and the timers that are due, as Run does, and again until
// nothing is left to do at this time. It must not be called while Run is.
func (c *Core) Step() {
	for more := true; more; {
		c.step()
		c.mu.Lock()
		more = len(c.inbox) > 0
		c.mu.Unlock()
	}
}

// Next is when the next timer is due; zero if there is none.
func (c *Core) Next() time.Time {
	if len(c.timers.list) == 0 {
		return time.Time{}
	}
	// Rounded up: a clock that counts in whole nanoseconds must not stop just short of it.
	return c.clock.origin.Add(time.Duration(math.Ceil((c.timers.list[0].at - c.clock.unix) * float64(time.Millisecond))))
}

// step takes what has been posted, then the timers that are due. What comes meanwhile waits
// for the next step: an answer that is here already is seen before the time-out it beats.
func (c *Core) step() {
	c.mu.Lock()
	events := c.inbox
	c.inbox = c.spare[:0]
	c.mu.Unlock()
	for _, event := range events {
		event()
	}
	clear(events)
	c.spare = events
	for do := c.timers.due(c.clock.now()); do != nil; do = c.timers.due(c.clock.now()) {
		do()
	}
}

func (c *Core) close(r *req) {
	r.open = false
	r.over.Store(true)
	c.open.Add(-1)
	if c.Versions != nil {
		c.begun(r)
	}
}

// answer gives the one final answer of a req.
func (c *Core) answer(r *req, a Answer) {
	if !r.open {
		return
	}
	c.checkFinal(r, a)
	c.close(r)
	a.Free = r.out == 0 && !r.cut
	switch a.Verdict {
	case ResultOf:
		c.count.AnswersServed.Add(1)
	case Refusal:
		c.count.AnswersRefused.Add(1)
	case Failure:
		c.count.AnswersFailed.Add(1)
	}
	r.client.Answer(a)
}

// forget drops a req once nothing can be heard of it any more.
func (c *Core) forget(r *req) {
	if r.open || r.out > 0 {
		return
	}
	if c.reqs[r.id] == r {
		delete(c.reqs, r.id)
		c.ids.drop(r.job.ID, c.clock.read())
	}
	if leave := r.leave; leave != nil {
		r.leave = nil
		leave()
	}
	if gone := r.gone; gone != nil {
		r.gone = nil
		gone()
	}
}

func (c *Core) progressed(a *Attempt, started bool, share float64) {
	if !a.over {
		c.mod.Progressed(c.clock.now(), balance.Progress{ID: a.req.id, Attempt: a.number,
			Worker: a.Backend.ID, Started: started, Done: share})
	}
}

// ended passes an attempt's ending on, once. A result goes to the client before the module
// hears of it, as the simulator has it.
func (c *Core) ended(a *Attempt, e Ending, result string, report []float32) {
	if a.over {
		return
	}
	a.over, a.ending = true, e
	a.req.out--
	c.count.Endings[e].Add(1)
	res, ok := e.Result()
	if !ok {
		c.Log.Error().Stringer("ending", e).Msg("not an attempt's ending")
		res = balance.Reset
	}
	if e != Served { // which the request's end says as well
		c.note(c.clock.read(), a.req, guard.AttemptEnded, e)
	}
	a.never.Store(res == balance.Full || res == balance.ConnectFailed || res == balance.NotSent)
	switch e {
	case Served:
		c.answer(a.req, Answer{Verdict: ResultOf, Result: result})
	case Rejected: // another backend would say the same
		c.answer(a.req, Answer{Verdict: Failure})
	case Unsent:
		if c.Versions != nil {
			c.outlived(a.req)
		}
	}
	now := c.clock.now()
	c.mod.AttemptEnded(now, balance.Outcome{ID: a.req.id, Attempt: a.number, Worker: a.Backend.ID,
		Result: res, Took: now - a.sent, Closed: !a.req.open, Report: report})
	c.forget(a.req)
}

// cut stops an attempt from here. One that was never given to the pool ends unsent by itself.
func (c *Core) cut(a *Attempt, e Ending) {
	if !a.over && a.stop != nil {
		a.stopped.Store(true)
		a.req.cut = true
		a.stop()
		c.ended(a, e, "", nil)
	}
}

// Listed brings a list of backends, or the news that a call for it failed.
func (c *Core) Listed(kind balance.ListKind, list []Entry) {
	c.post(func() { c.list(kind, list) })
}

func (c *Core) list(kind balance.ListKind, list []Entry) {
	workers := make([]balance.Worker, len(list))
	named := make(map[balance.WorkerID]bool, len(list))
	read := c.clock.read()
	stale := c.stale(kind, read)
	for i := range list {
		e := &list[i]
		workers[i], named[e.ID] = e.Worker, true
		if e.State != balance.Gone && !e.Local {
			workers[i].Started = c.starts.take(e.ID, e.Started, c.clock.millis(read), stale)
		}
		b := c.listed[e.ID]
		if b != nil && (b.Address != e.Address || e.State == balance.Gone) {
			c.unlist(b)
			b = nil
		}
		if e.State == balance.Gone {
			continue
		}
		if b == nil {
			b = &Backend{ID: e.ID, Name: e.Name, Address: e.Address, core: c}
			c.listed[e.ID] = b
		}
		b.set(e.State == balance.Ready)
	}
	if kind == balance.ListFull || kind == balance.ListCached {
		for id, b := range c.listed {
			if !named[id] {
				c.unlist(b)
			}
		}
	}
	ready := int32(0)
	for _, b := range c.listed {
		if b.ready.Load() {
			ready++
		}
	}
	c.ready.Store(ready)
	c.known.Store(c.known.Load() || len(c.listed) > 0)
	c.mod.Workers(c.clock.now(), kind, workers)
}

func (c *Core) unlist(b *Backend) {
	b.set(false)
	c.starts.forget(b.ID)
	delete(c.listed, b.ID)
	c.backends.HangUp(b)
}
