package core

import (
	"sync/atomic"
	"time"
)

// Attempt is one send of a req to a backend.
type Attempt struct {
	Job     *Job
	Backend *Backend
	Until   time.Time // the dispatcher waits no longer
	core    *Core
	req     *req
	number  int
	sent    float64
	over    bool
	never   bool // proven never to have run
	stopped atomic.Bool
	stop    func()
}

// MayBegin says, just before the first byte goes out, whether it still may. The list can
// have changed while a connection was being made: nothing new may reach a backend that is
// known to drain, or that operators have banned.
func (a *Attempt) MayBegin() bool {
	return a.Backend.ready.Load() && !a.Backend.Withheld() && !a.stopped.Load() && !a.req.left.Load() && a.core.clock.read().Before(a.Until) &&
		(a.core.Versions == nil || a.core.mayStart(a.req))
}

// Version is the version of the fleet's policy that the req was taken by; 0 where there is none.
func (a *Attempt) Version() uint64 { return a.req.version }

// Number is the attempt's among those of its req, from 0.
func (a *Attempt) Number() int { return a.number }

// Started tells that the job has begun.
func (a *Attempt) Started() { a.core.post(func() { a.core.progressed(a, true, 0) }) }

// Progress tells how much of the job is done.
func (a *Attempt) Progress(share float64) {
	a.core.post(func() { a.core.progressed(a, false, share) })
}

// Ended tells how the attempt ended.
func (a *Attempt) Ended(e Ending, result string, report []float32) {
	a.core.post(func() { a.core.ended(a, e, result, report) })
}
