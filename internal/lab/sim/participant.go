package sim

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/accord"
)

// participant is one dispatcher's side of the accord: the core's Versions by the real Lessee's gate, read at the dispatcher's
// own clock.
type participant struct {
	side      *side
	accord    *accord.Participant
	clockRate float64
	waiting   map[uint64]int // reqs taken by a version that have begun nowhere
}

func newParticipant(s *side) (*participant, error) {
	k := s.w.leader
	k.epochs++
	f := &participant{side: s, clockRate: k.drawClockRate(), waiting: map[uint64]int{}}
	var err error
	if f.accord, err = accord.NewParticipant(k.config, fmt.Sprint("n", s.at), k.epochs); err != nil {
		return nil, err
	}
	s.w.repeat(s.w.sc.Accord.Lease/100, f.step)
	return f, nil
}

func (f *participant) now() accord.Time { return f.side.w.accordTime(f.clockRate) }

// deadlines are until when reqs may be taken and attempts started, by the own clock.
func (f *participant) deadlines() (take, start accord.Time) {
	g, a := f.accord.Admission(), &f.side.w.sc.Accord
	if a.faultFullLease && !a.ContinueWhenCut && g.AcceptUntil > 0 {
		whole := g.StartUntil.Add(msToDuration(a.Lease) - f.side.w.leader.config.UsableLease())
		return whole, whole
	}
	return g.AcceptUntil, g.StartUntil
}

// Admit admits a req by the version in force: core.Versions.
func (f *participant) Admit() (version uint64, pause time.Duration, ok bool) {
	w := f.side.w
	if take, _ := f.deadlines(); f.now() >= take {
		w.res.Accord.Refused++
		if w.cutOff(f.side.at) {
			w.res.Accord.RefusedWhileCut++
		}
		return 0, w.leader.config.Drain(), false
	}
	version = f.accord.Admission().Version
	f.waiting[version]++
	if version < w.leader.state.Version {
		w.res.Accord.OutdatedAccepted++
	}
	return version, 0, true
}

// Begun tells that a req has begun, or never will. A lessee that has stopped waits for the last.
func (f *participant) Begun(version uint64) {
	f.waiting[version]--
	if g := f.accord.Admission(); g.Version == version && f.waiting[version] == 0 && g.AcceptUntil == 0 {
		f.side.w.at(f.side.w.now, f.step)
	}
}

// MayStart says whether an attempt of a req that was taken by a version may start now.
func (f *participant) MayStart(version uint64) bool {
	v, may := f.startVersion()
	return may && v == version
}

// startVersion is the version that attempts may start by, if they may now.
func (f *participant) startVersion() (uint64, bool) {
	_, start := f.deadlines()
	return f.accord.Admission().Version, f.now() < start
}

// Serves says whether reqs are taken now.
func (f *participant) Serves() bool {
	take, _ := f.deadlines()
	return f.now() < take
}

func (f *participant) handleResponse(a accord.LeaseResponse) {
	if !f.side.dead {
		f.accord.HandleResponse(f.now(), a)
		f.step()
	}
}

func (f *participant) handlePoll() {
	if !f.side.dead {
		f.accord.RequestNow()
		f.step()
	}
}

// step carries out what the lessee wants.
func (f *participant) step() {
	w := f.side.w
	if f.side.dead {
		return
	}
	version, _ := f.accord.Current()
	f.accord.Tick(f.now(), f.waiting[version])
	for _, c := range f.accord.TakeChecks() {
		w.at(w.now+w.sc.Accord.CheckTime, func() {
			if !f.side.dead {
				f.accord.ReportCheck(f.now(), c, nil)
				f.step()
			}
		})
	}
	f.accord.TakeActivation()
	f.accord.TakeEvents()
	if a, ok := f.accord.NextRequest(f.now()); ok {
		w.leader.handleRequest(f, a)
	}
	w.recordVersions()
}
