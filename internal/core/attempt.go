package core

import (
	"math"
	"sync/atomic"
	"time"

	"tinsail/internal/balance"
)

// Attempt is one sending of a request to a backend.
type Attempt struct {
	Backend   *Backend
	Deadline  time.Time // when the dispatcher stops waiting
	core      *Core
	req       *req
	previous  *Attempt // attempt of the same request sent just before; nil for the first
	number    int
	sentAt    float64
	done      bool
	ending    Ending       // valid once done is set
	neverRan  atomic.Bool  // proven never to have run
	startedAt atomic.Int64 // stamp of when MayStart last allowed it; 0 if it never did
	stopped   atomic.Bool
	stop      func() // nil before it is sent and once it has ended
	timer     *timer // stops it at its deadline

	jobStartReported atomic.Bool   // JobStarted was called
	progress         atomic.Uint64 // newest progress, as the bits of a float64
	progressPosted   atomic.Bool   // an event that will report progress is posted
}

// MayStart reports, just before the first byte is written, whether the attempt may still start. Making the connection can
// take long, and meanwhile the request may have been answered, its client may have left, the backend may have started
// draining or been banned, or sending may have become unsafe because another attempt could take effect too. It may be called
// from any goroutine and doesn't block. It may be called again if no byte was written after all.
func (a *Attempt) MayStart() bool {
	now := a.core.clock.read()
	if a.req.closed.Load() || a.stopped.Load() || !a.Backend.ready.Load() || a.Backend.Banned() || !now.Before(a.Deadline) || !a.repeatAllowed(now) ||
		a.core.Versions != nil && !a.core.versionAllowsStart(a.req) {
		return false
	}
	a.startedAt.Store(a.core.clock.toStamp(now))
	return true
}

// Wanted reports whether the attempt can still be of use: the request is unanswered, its client is there, and the attempt
// was not stopped. It may be called from any goroutine and changes nothing.
func (a *Attempt) Wanted() bool { return !a.req.closed.Load() && !a.stopped.Load() }

// repeatAllowed checks the rule on duplicated effects again, as far as it depends on the time and on the other attempts. The
// module checked it when it decided on this attempt, but the attempt may start much later.
func (a *Attempt) repeatAllowed(now time.Time) bool {
	r := a.req
	if r.effect == balance.Safe || !a.core.duplicateRule {
		return true
	}
	for o := r.latest.Load(); o != nil; o = o.previous {
		if o == a || o.neverRan.Load() {
			continue
		}
		if r.effect == balance.Unsafe {
			return false
		}
		started := o.startedAt.Load()
		if started != 0 && a.core.clock.toStamp(now)-started >= int64(balance.EffectiveRepeatWindow(r.repeatWindow)*float64(time.Millisecond)) {
			return false
		}
	}
	return true
}

// Version returns the version of the fleet's policy under which the request was admitted; 0 if there is none.
func (a *Attempt) Version() uint64 { return a.req.policyVersion }

// RequestID returns the ID of the attempt's request, as given by the client.
func (a *Attempt) RequestID() string { return a.req.correlationID }

// Number returns the index of the attempt among those of its request, from 0.
func (a *Attempt) Number() int { return a.number }

// JobStarted reports that the job has started to run. Only the first call counts, so that a backend which repeats it cannot
// flood the core.
func (a *Attempt) JobStarted() {
	if !a.jobStartReported.Swap(true) {
		a.core.post(func() { a.core.progressed(a, true, 0) })
	}
}

// Progress reports the share of the job that is done. At most one such event is pending; the core then reads the newest share.
func (a *Attempt) Progress(share float64) {
	a.progress.Store(math.Float64bits(share))
	if !a.progressPosted.Swap(true) {
		a.core.post(func() {
			a.progressPosted.Store(false)
			a.core.progressed(a, false, math.Float64frombits(a.progress.Load()))
		})
	}
}

// Ended reports how the attempt ended.
func (a *Attempt) Ended(e Ending, result string, report []float32) {
	a.core.post(func() { a.core.ended(a, e, result, report) })
}
