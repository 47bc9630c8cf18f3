package core

import (
	"math"
	"sync/atomic"
	"time"

	"tinsail/internal/balance"
)

// Attempt is one send of a req to a backend.
type Attempt struct {
	Job     *Job
	Backend *Backend
	Until   time.Time // the dispatcher waits no longer
	core    *Core
	req     *req
	before  *Attempt // of the same req, the one sent before it; nil for the first
	number  int
	sent    float64
	over    bool
	ending  Ending       // once over
	never   atomic.Bool  // proven never to have run
	begun   atomic.Int64 // when MayBegin let it go, in nanoseconds after the clock's origin, and 1; 0: it has not
	stopped atomic.Bool
	stop    func()

	started atomic.Bool   // told
	share   atomic.Uint64 // the newest progress, as a float64's bits
	posted  atomic.Bool   // an event waits that will tell it
}

// MayBegin says, just before the first byte goes out, whether it still may. Until then a connection may have been in the
// making for long: the req may have its answer or its client may be gone, the list can have changed (nothing new may reach
// a backend that is known to drain, or that operators have banned), and a repeat may have become one that could take
// effect twice. It may be called from any goroutine, and waits for nothing; again, where no byte went out after all.
func (a *Attempt) MayBegin() bool {
	now := a.core.clock.read()
	if a.req.over.Load() || a.stopped.Load() || !a.Backend.ready.Load() || a.Backend.Withheld() || !now.Before(a.Until) || !a.harmless(now) ||
		a.core.Versions != nil && !a.core.mayStart(a.req) {
		return false
	}
	a.begun.Store(a.core.clock.stamp(now))
	return true
}

// Wanted says whether the attempt may still be of use: its request has no answer, its client is there, and it was not
// stopped. It may be called from any goroutine, and changes nothing.
func (a *Attempt) Wanted() bool { return !a.req.over.Load() && !a.stopped.Load() }

// harmless is the rule on duplicated effects once more, as far as it hangs on time and on what has become of the other
// attempts: the module judged it when it decided on this one, which may begin much later.
func (a *Attempt) harmless(now time.Time) bool {
	r := a.req
	if r.effect == balance.Safe || !a.core.guarded {
		return true
	}
	for o := r.latest.Load(); o != nil; o = o.before {
		if o == a || o.never.Load() {
			continue
		}
		if r.effect == balance.Unsafe {
			return false
		}
		begun := o.begun.Load()
		if begun != 0 && a.core.clock.stamp(now)-begun >= int64(balance.EffectiveRepeatWindow(r.window)*float64(time.Millisecond)) {
			return false
		}
	}
	return true
}

// Version is the version of the fleet's policy that the req was taken by; 0 where there is none.
func (a *Attempt) Version() uint64 { return a.req.version }

// Number is the attempt's among those of its req, from 0.
func (a *Attempt) Number() int { return a.number }

// Started tells that the job has begun. Only the first call counts: a backend that says it without end gets nothing into
// the core by it.
func (a *Attempt) Started() {
	if !a.started.Swap(true) {
		a.core.post(func() { a.core.progressed(a, true, 0) })
	}
}

// Progress tells how much of the job is done. At most one event of it waits for the core, which then takes the newest.
func (a *Attempt) Progress(share float64) {
	a.share.Store(math.Float64bits(share))
	if !a.posted.Swap(true) {
		a.core.post(func() {
			a.posted.Store(false)
			a.core.progressed(a, false, math.Float64frombits(a.share.Load()))
		})
	}
}

// Ended tells how the attempt ended.
func (a *Attempt) Ended(e Ending, result string, report []float32) {
	a.core.post(func() { a.core.ended(a, e, result, report) })
}
