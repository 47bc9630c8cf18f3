package sim

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/accord"
)

// participant is one dispatcher's side of the accord: the core's Versions by the real Lessee's gate, read at the dispatcher's
// own clock.
type participant struct {
	side    *side
	lessee  *accord.Participant
	rate    float64
	waiting map[uint64]int // reqs taken by a version that have begun nowhere
}

func newParticipant(s *side) (*participant, error) {
	k := s.w.leader
	k.lives++
	f := &participant{side: s, rate: k.drawRate(), waiting: map[uint64]int{}}
	var err error
	if f.lessee, err = accord.NewParticipant(k.plan, fmt.Sprint("n", s.at), k.lives); err != nil {
		return nil, err
	}
	s.w.repeat(s.w.sc.Accord.Lease/100, f.turn)
	return f, nil
}

func (f *participant) now() accord.Time { return f.side.w.accordTime(f.rate) }

// ends are until when reqs may be taken and attempts started, by the own clock.
func (f *participant) ends() (take, start accord.Time) {
	g, a := f.lessee.Admission(), &f.side.w.sc.Accord
	if a.faultFullLease && !a.ContinueWhenCut && g.AcceptUntil > 0 {
		whole := g.StartUntil.Add(msToDuration(a.Lease) - f.side.w.leader.plan.UsableLease())
		return whole, whole
	}
	return g.AcceptUntil, g.StartUntil
}

// Admit admits a req by the version in force: core.Versions.
func (f *participant) Admit() (version uint64, pause time.Duration, ok bool) {
	w := f.side.w
	if take, _ := f.ends(); f.now() >= take {
		w.res.Accord.Refused++
		if w.cutOff(f.side.at) {
			w.res.Accord.RefusedWhileCut++
		}
		return 0, w.leader.plan.Drain(), false
	}
	version = f.lessee.Admission().Version
	f.waiting[version]++
	if version < w.leader.state.Version {
		w.res.Accord.OutdatedAccepted++
	}
	return version, 0, true
}

// Begun tells that a req has begun, or never will. A lessee that has stopped waits for the last.
func (f *participant) Begun(version uint64) {
	f.waiting[version]--
	if g := f.lessee.Admission(); g.Version == version && f.waiting[version] == 0 && g.AcceptUntil == 0 {
		f.side.w.at(f.side.w.now, f.turn)
	}
}

// MayStart says whether an attempt of a req that was taken by a version may start now.
func (f *participant) MayStart(version uint64) bool {
	v, may := f.starts()
	return may && v == version
}

// starts is the version that attempts may start by, if they may now.
func (f *participant) starts() (uint64, bool) {
	_, start := f.ends()
	return f.lessee.Admission().Version, f.now() < start
}

// Serves says whether reqs are taken now.
func (f *participant) Serves() bool {
	take, _ := f.ends()
	return f.now() < take
}

func (f *participant) answered(a accord.LeaseResponse) {
	if !f.side.dead {
		f.lessee.HandleResponse(f.now(), a)
		f.turn()
	}
}

func (f *participant) nudged() {
	if !f.side.dead {
		f.lessee.RequestNow()
		f.turn()
	}
}

// turn carries out what the lessee wants.
func (f *participant) turn() {
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
		w.leader.ask(f, a)
	}
	w.recordVersions()
}
