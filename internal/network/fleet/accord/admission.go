package accord

import (
	"sync/atomic"
	"time"

	"tinsail/internal/fleet/accord"
)

// admission is what the participant last allowed. The goroutines that serve clients and backends
// read it without a lock.
type admission struct {
	accord.Admission
	waiting *atomic.Int64 // requests accepted under this version that have not started at any backend
}

// Admit admits a request under the version in force, for core.Versions. The request is counted as
// waiting before the admission is read a second time. So if a member publishes an admission that
// accepts nothing and then counts no waiting request, no request is admitted after that.
func (a *Accord) Admit() (version uint64, retryAfter time.Duration, ok bool) {
	m := a.member
	first := m.admission.Load()
	first.waiting.Add(1)
	now := a.clock.now()
	if latest := m.admission.Load(); latest.Version == first.Version && latest.waiting == first.waiting && now < latest.AcceptUntil {
		if now >= latest.UnleasedFrom {
			a.Counters.UnleasedReqs.Add(1)
		}
		return first.Version, 0, true
	}
	m.endWaiting(first)
	a.Counters.RefusedReqs.Add(1)
	return 0, a.cfg.Leases.Drain(), false
}

// Started is called once for each admitted request, when it has started at a backend or never will.
func (a *Accord) Started(version uint64) {
	if current := a.member.admission.Load(); current.Version == version {
		a.member.endWaiting(current)
	}
}

// MayStart reports whether an attempt of a request that was admitted under a version may start now.
func (a *Accord) MayStart(version uint64) bool {
	current := a.member.admission.Load()
	return current.Version == version && a.clock.now() < current.StartUntil
}

// Serves reports whether requests are admitted now.
func (a *Accord) Serves() bool { return a.clock.now() < a.member.admission.Load().AcceptUntil }

// endWaiting counts a request as no longer waiting. It wakes a member that has stopped accepting
// requests after the last one, since the member may then be ready for the change.
func (m *member) endWaiting(under *admission) {
	if under.waiting.Add(-1) == 0 && under.AcceptUntil == 0 {
		m.wake()
	}
}

// publishAdmission publishes the participant's admission if it has changed. m.mu is held.
func (m *member) publishAdmission() {
	old, now := m.admission.Load(), m.participant.Admission()
	if old.Admission == now {
		return
	}
	next := &admission{Admission: now, waiting: old.waiting}
	if now.Version != old.Version {
		next.waiting = &atomic.Int64{}
	}
	m.admission.Store(next)
}
