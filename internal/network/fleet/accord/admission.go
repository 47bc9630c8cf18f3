package accord

import (
	"sync/atomic"
	"time"

	"tinsail/internal/fleet/accord"
)

// admission is what the lessee last allowed, as the many goroutines of the fronts and the pool read it.
type admission struct {
	accord.Admission
	waiting *atomic.Int64 // reqs taken by this version that have begun nowhere
}

// Admit admits a req by the version in force: core.Versions. The req is counted before the gate is
// read once more, so that a member that closes the gate and then finds none waiting has none.
func (a *Accord) Admit() (version uint64, pause time.Duration, ok bool) {
	m := a.member
	g := m.admission.Load()
	g.waiting.Add(1)
	now := a.clock.now()
	if g2 := m.admission.Load(); g2.Version == g.Version && g2.waiting == g.waiting && now < g2.AcceptUntil {
		if now >= g2.UnleasedFrom {
			a.Counters.UnleasedReqs.Add(1)
		}
		return g.Version, 0, true
	}
	m.endWaiting(g)
	a.Counters.RefusedReqs.Add(1)
	return 0, a.cfg.Leases.Drain(), false
}

// Begun tells that a req which was taken has begun, or never will.
func (a *Accord) Begun(version uint64) {
	if g := a.member.admission.Load(); g.Version == version {
		a.member.endWaiting(g)
	}
}

// MayStart says whether an attempt of a req that was taken by a version may start now.
func (a *Accord) MayStart(version uint64) bool {
	g := a.member.admission.Load()
	return g.Version == version && a.clock.now() < g.StartUntil
}

// Serves says whether reqs are taken now.
func (a *Accord) Serves() bool { return a.clock.now() < a.member.admission.Load().AcceptUntil }

// endWaiting takes a req out of those that wait; a member that has stopped waits for the last.
func (m *member) endWaiting(g *admission) {
	if g.waiting.Add(-1) == 0 && g.AcceptUntil == 0 {
		m.wake()
	}
}

// publishAdmission publishes what the lessee allows. m.mu is held.
func (m *member) publishAdmission() {
	old, now := m.admission.Load(), m.participant.Admission()
	if old.Admission == now {
		return
	}
	g := &admission{Admission: now, waiting: old.waiting}
	if now.Version != old.Version {
		g.waiting = &atomic.Int64{}
	}
	m.admission.Store(g)
}
