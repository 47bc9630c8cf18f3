package sim

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/accord"
)

// participant is one dispatcher's participant in the accord. It implements core.Versions with the admission of the
// real accord.Participant, which is checked against the dispatcher's own clock.
type participant struct {
	side      *dispatcher
	accord    *accord.Participant
	clockRate float64
	waiting   map[uint64]int // by version: reqs accepted under it that have not started at any backend
}

func newParticipant(s *dispatcher) (*participant, error) {
	leader := s.world.leader
	leader.epochs++
	p := &participant{side: s, clockRate: leader.drawClockRate(), waiting: map[uint64]int{}}
	var err error
	if p.accord, err = accord.NewParticipant(leader.config, fmt.Sprint("n", s.index), leader.epochs); err != nil {
		return nil, err
	}
	s.world.repeat(s.world.scenario.Accord.Lease/100, p.step)
	return p, nil
}

func (p *participant) now() accord.Time { return p.side.world.accordTime(p.clockRate) }

// deadlines returns until when reqs may be accepted and attempts started, by the dispatcher's own clock.
func (p *participant) deadlines() (acceptUntil, startUntil accord.Time) {
	admission, scenario := p.accord.Admission(), &p.side.world.scenario.Accord
	if scenario.faultFullLease && !scenario.ContinueWhenCut && admission.AcceptUntil > 0 {
		leaseEnd := admission.StartUntil.Add(msToDuration(scenario.Lease) - p.side.world.leader.config.UsableLease())
		return leaseEnd, leaseEnd
	}
	return admission.AcceptUntil, admission.StartUntil
}

// Admit implements core.Versions: it admits a req under the version in force.
func (p *participant) Admit() (version uint64, retryAfter time.Duration, ok bool) {
	w := p.side.world
	if acceptUntil, _ := p.deadlines(); p.now() >= acceptUntil {
		w.result.Accord.Refused++
		if w.cutOff(p.side.index) {
			w.result.Accord.RefusedWhileCut++
		}
		return 0, w.leader.config.Drain(), false
	}
	version = p.accord.Admission().Version
	p.waiting[version]++
	if version < w.leader.state.Version {
		w.result.Accord.OutdatedAccepted++
	}
	return version, 0, true
}

// Started implements core.Versions: it reports that a req has started, or never will. After the last one a participant
// that has stopped accepting reqs for a change need not wait for the end of the drain.
func (p *participant) Started(version uint64) {
	p.waiting[version]--
	if admission := p.accord.Admission(); admission.Version == version && p.waiting[version] == 0 && admission.AcceptUntil == 0 {
		p.side.world.schedule(p.side.world.now, p.step)
	}
}

// MayStart implements core.Versions: it reports whether an attempt of a req accepted under a version may start now.
func (p *participant) MayStart(version uint64) bool {
	current, ok := p.startVersion()
	return ok && current == version
}

// startVersion returns the version under which attempts may start, and whether they may start now.
func (p *participant) startVersion() (uint64, bool) {
	_, startUntil := p.deadlines()
	return p.accord.Admission().Version, p.now() < startUntil
}

// Serves implements core.Versions: it reports whether reqs are accepted now.
func (p *participant) Serves() bool {
	acceptUntil, _ := p.deadlines()
	return p.now() < acceptUntil
}

func (p *participant) handleResponse(response accord.LeaseResponse) {
	if !p.side.dead {
		p.accord.HandleResponse(p.now(), response)
		p.step()
	}
}

func (p *participant) handlePoll() {
	if !p.side.dead {
		p.accord.RequestNow()
		p.step()
	}
}

// step advances the participant to the current time and performs the actions that it asks for.
func (p *participant) step() {
	w := p.side.world
	if p.side.dead {
		return
	}
	version, _ := p.accord.Current()
	p.accord.Tick(p.now(), p.waiting[version])
	for _, check := range p.accord.TakeChecks() {
		w.schedule(w.now+w.scenario.Accord.CheckTime, func() {
			if !p.side.dead {
				p.accord.ReportCheck(p.now(), check, nil)
				p.step()
			}
		})
	}
	p.accord.TakeActivation()
	p.accord.TakeEvents()
	if request, ok := p.accord.NextRequest(p.now()); ok {
		w.leader.handleRequest(p, request)
	}
	w.recordVersions()
}
