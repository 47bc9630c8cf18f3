package sim

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/accord"
)

// fence is one dispatcher's side of the accord: the core's Versions by the real Lessee's gate, read at the dispatcher's
// own clock.
type fence struct {
	side    *side
	lessee  *accord.Participant
	rate    float64
	waiting map[uint64]int // reqs taken by a version that have begun nowhere
}

func newFence(s *side) (*fence, error) {
	k := s.w.keeper
	k.lives++
	f := &fence{side: s, rate: k.drawRate(), waiting: map[uint64]int{}}
	var err error
	if f.lessee, err = accord.NewParticipant(k.plan, fmt.Sprint("n", s.at), k.lives); err != nil {
		return nil, err
	}
	s.w.beat(s.w.sc.Accord.Lease/100, f.turn)
	return f, nil
}

func (f *fence) now() accord.Time { return f.side.w.clock(f.rate) }

// ends are until when reqs may be taken and attempts started, by the own clock.
func (f *fence) ends() (take, start accord.Time) {
	g, a := f.lessee.Admission(), &f.side.w.sc.Accord
	if a.faultFullLease && !a.ContinueWhenCut && g.AcceptUntil > 0 {
		whole := g.StartUntil.Add(span(a.Lease) - f.side.w.keeper.plan.UsableLease())
		return whole, whole
	}
	return g.AcceptUntil, g.StartUntil
}

// Admit admits a req by the version in force: core.Versions.
func (f *fence) Admit() (version uint64, pause time.Duration, ok bool) {
	w := f.side.w
	if take, _ := f.ends(); f.now() >= take {
		w.res.Accord.Refused++
		if w.severed(f.side.at) {
			w.res.Accord.RefusedWhileCut++
		}
		return 0, w.keeper.plan.Drain(), false
	}
	version = f.lessee.Admission().Version
	f.waiting[version]++
	if version < w.keeper.state.Version {
		w.res.Accord.OutdatedAccepted++
	}
	return version, 0, true
}

// Begun tells that a req has begun, or never will. A lessee that has stopped waits for the last.
func (f *fence) Begun(version uint64) {
	f.waiting[version]--
	if g := f.lessee.Admission(); g.Version == version && f.waiting[version] == 0 && g.AcceptUntil == 0 {
		f.side.w.at(f.side.w.now, f.turn)
	}
}

// MayStart says whether an attempt of a req that was taken by a version may start now.
func (f *fence) MayStart(version uint64) bool {
	v, may := f.starts()
	return may && v == version
}

// starts is the version that attempts may start by, if they may now.
func (f *fence) starts() (uint64, bool) {
	_, start := f.ends()
	return f.lessee.Admission().Version, f.now() < start
}

// Serves says whether reqs are taken now.
func (f *fence) Serves() bool {
	take, _ := f.ends()
	return f.now() < take
}

func (f *fence) answered(a accord.LeaseResponse) {
	if !f.side.dead {
		f.lessee.HandleResponse(f.now(), a)
		f.turn()
	}
}

func (f *fence) nudged() {
	if !f.side.dead {
		f.lessee.RequestNow()
		f.turn()
	}
}

// turn carries out what the lessee wants.
func (f *fence) turn() {
	w := f.side.w
	if f.side.dead {
		return
	}
	version, _ := f.lessee.Current()
	f.lessee.Tick(f.now(), f.waiting[version])
	for _, c := range f.lessee.TakeChecks() {
		w.at(w.now+w.sc.Accord.CheckTime, func() {
			if !f.side.dead {
				f.lessee.ReportCheck(f.now(), c, nil)
				f.turn()
			}
		})
	}
	f.lessee.TakeActivation()
	f.lessee.TakeEvents()
	if a, ok := f.lessee.NextRequest(f.now()); ok {
		w.keeper.ask(f, a)
	}
	w.look()
}
