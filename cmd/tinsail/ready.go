package main

import (
	"sync/atomic"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/service"
)

// readiness records when and by which list the process became ready: it knows a ready backend and the policy in force.
type readiness struct {
	startedAt time.Time   // the process's start
	recorded  atomic.Bool // set by the first list that names a ready backend
}

// hasReadyBackend reports whether a list names a backend to which requests may be sent.
func hasReadyBackend(list []core.Entry) bool {
	for i := range list {
		if list[i].State == balance.Ready {
			return true
		}
	}
	return false
}

// passListToCore passes a list to the core. The first list that names a ready backend is recorded as what made the process ready.
func (d *dispatcher) passListToCore(kind balance.ListKind, list []core.Entry) {
	d.core.HandleList(kind, list)
	if !hasReadyBackend(list) || !d.readiness.recorded.CompareAndSwap(false, true) {
		return
	}
	from, count := "director", &d.count.ReadyFromDirector
	switch {
	case d.sources != nil:
		from, count = "sources", &d.count.ReadyFromSources
	case kind == balance.ListCached && d.handover != nil && d.handover.from.link != nil:
		from, count = "hand-over", &d.count.ReadyFromHandover
	case kind == balance.ListCached:
		from, count = "known", &d.count.ReadyFromKnown
	}
	calls, failed := d.count.DirectorCalls.Load(), d.failedDirectorCalls()
	ended := d.service.Ended()
	go func() { // the core handles the list asynchronously, and the fleet's policy may arrive later still, or never
		for d.core.ReadyBackends() == 0 || !d.core.Serves() {
			select {
			case <-ended:
				return
			case <-time.After(service.PollInterval):
			}
		}
		after := time.Since(d.readiness.startedAt)
		d.count.ReadyMS.Store(max(after.Milliseconds(), 1))
		count.Add(1)
		d.log.Info().Int64("after_ms", after.Milliseconds()).Str("from", from).Int64("director_calls", calls).Int64("director_failed", failed).Msg("ready")
	}()
}

// failedDirectorCalls returns how many calls to the director have failed so far.
func (d *dispatcher) failedDirectorCalls() (n int64) {
	for _, e := range []core.Ending{core.ListUnanswered, core.ListRefused, core.ListInvalid} {
		n += d.count.Endings[e].Load()
	}
	return n
}
