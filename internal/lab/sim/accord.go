package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tinsail/internal/fleet/accord"
	"tinsail/internal/lab/fleet"
)

// Accord makes the dispatchers accept reqs under versions of one policy (docs/design/accord.md), with a real
// accord.Participant in each dispatcher, one real accord.Leader, and simulated links between them. The zero value is a
// fleet without an accord. Times are milliseconds.
type Accord struct {
	Lease           float64 // 0 means no accord
	Drift           float64 // maximum error of a clock's rate; each clock is drawn to be slowest, exact or fastest
	ContinueWhenCut bool    // a dispatcher that is cut off continues with the version that it knows
	Latency         float64 // mean one-way delay between a dispatcher and the leader, and between voters; each message takes 0.5 to 1.5 times this
	Loss            float64 // share of the messages that are lost
	FlushTime       float64 // from a decision to its entry being on the disks of a majority
	CheckTime       float64 // how long a dispatcher takes to check a policy
	ProbeInterval   float64 // how often the load balancer in front checks whether each dispatcher is ready

	faultFullLease bool // a fault injected by tests: a lease is used to its full length, without the margin for clock drift
}

// Cut drops all messages between the accord's leader and some dispatchers, numbered from 0, for some time. Clients and
// backends still reach these dispatchers.
type Cut struct {
	At, Length  float64
	Dispatchers []int
}

// PolicyChange is a new policy version that a dispatcher proposes at a given time.
type PolicyChange struct {
	At         float64
	Dispatcher int
}

// AccordResult is what a run measured about the accord. A try is one request of a client, which may retry.
type AccordResult struct {
	Version          uint64  // the last one decided
	Refused          int     // tries refused because the dispatcher was not allowed to accept reqs
	RefusedWhileCut  int     // of these, tries refused by a dispatcher that was cut off
	ReceivedWhileCut int     // tries received by a dispatcher that was cut off
	OutdatedAccepted int     // tries accepted under a version after a later one was decided
	OutdatedStarts   int     // attempts started under such a version
	MaxVersions      int     // maximum number of versions under which dispatchers could start attempts at the same time
	Outage           float64 // total time during which no dispatcher accepted reqs
}

// leader is the accord's leader, with its clock and the state that the majority's log has reached.
type leader struct {
	*accord.Leader
	world       *world
	config      accord.LeaseConfig
	clockRate   float64
	state       accord.State
	random      *rand.Rand
	epochs      uint64  // the last epoch given to a participant
	outageSince float64 // since when no dispatcher accepts reqs; NaN while one does
}

func (sc *Scenario) checkAccord() error {
	a, dispatchers := &sc.Accord, max(sc.Dispatchers, 1)
	if a.Lease == 0 {
		if len(sc.Cuts)+len(sc.PolicyChanges) > 0 {
			return fmt.Errorf("cuts and policy changes require an accord")
		}
		return nil
	}
	for _, c := range sc.Cuts {
		for _, n := range c.Dispatchers {
			if n < 0 || n >= dispatchers {
				return fmt.Errorf("a cut names dispatcher %d, but there are only %d", n, dispatchers)
			}
		}
	}
	for _, c := range sc.PolicyChanges {
		if c.Dispatcher < 0 || c.Dispatcher >= dispatchers {
			return fmt.Errorf("dispatcher %d proposes a policy change, but there are only %d", c.Dispatcher, dispatchers)
		}
	}
	return a.leaseConfig().Check()
}

func (a *Accord) leaseConfig() accord.LeaseConfig {
	return accord.LeaseConfig{Lease: msToDuration(a.Lease), Drift: a.Drift, ContinueWhenCut: a.ContinueWhenCut}
}

func msToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// newLeader returns a leader under which version 1 has been in force since long before the run, so that the first
// reqs are accepted under it.
func newLeader(w *world) (*leader, error) {
	l := &leader{world: w, config: w.scenario.Accord.leaseConfig(), random: fleet.RandomStream(w.scenario.Seed, "accord"), outageSince: math.NaN()}
	l.clockRate = l.drawClockRate()
	l.state.Apply(accord.Decision{Change: 1, Proposal: accord.ProposalBit | 1, Version: 1, Body: []byte("version 1")})
	var err error
	l.Leader, err = accord.NewLeader(l.config, 1, -accord.Time(l.config.QuietPeriod()), l.state)
	return l, err
}

// drawClockRate returns the rate of a clock that is slowest, exact or fastest.
func (l *leader) drawClockRate() float64 { return 1 + l.config.Drift*float64(l.random.IntN(3)-1) }

// accordTime returns what a clock of the given rate shows. All clocks show 0 at the start of the run.
func (w *world) accordTime(rate float64) accord.Time { return accord.Time(w.now * 1e6 * rate) }

// drawDelay returns the random one-way delay of a message.
func (l *leader) drawDelay() float64 {
	return l.world.scenario.Accord.Latency * (0.5 + l.random.Float64())
}

// send delivers a message between a dispatcher and the leader after a random delay plus extraDelay, unless it is lost.
func (l *leader) send(dispatcher int, extraDelay float64, deliver func()) {
	if l.random.Float64() < l.world.scenario.Accord.Loss || l.world.cutOff(dispatcher) {
		return
	}
	l.world.schedule(l.world.now+l.drawDelay()+extraDelay, func() {
		if !l.world.cutOff(dispatcher) {
			deliver()
		}
	})
}

// cutOff reports whether a dispatcher is cut off now.
func (w *world) cutOff(dispatcher int) bool {
	for _, c := range w.scenario.Cuts {
		if w.now >= c.At && w.now < c.At+c.Length && slices.Contains(c.Dispatchers, dispatcher) {
			return true
		}
	}
	return false
}

// handleRequest sends a participant's lease request to the leader, which responds after a round trip in which a
// majority has confirmed that it still leads.
func (l *leader) handleRequest(p *participant, request accord.LeaseRequest) {
	l.send(p.side.index, l.drawDelay()+l.drawDelay(), func() {
		response := l.Handle(l.world.accordTime(l.clockRate), request)
		l.send(p.side.index, 0, func() { p.handleResponse(response) })
		l.step()
	})
}

// step performs the actions that the leader asks for.
func (l *leader) step() {
	w := l.world
	if decision, ok := l.TakeDecision(); ok {
		w.schedule(w.now+w.scenario.Accord.FlushTime, func() {
			l.state.Apply(decision)
			l.Applied(w.accordTime(l.clockRate), l.state)
			l.step()
		})
	}
	if l.TakePoll() {
		for _, s := range w.dispatchers {
			l.send(s.index, 0, func() { s.participant.handlePoll() })
		}
	}
	l.TakeEvents()
}

// startAccord starts the accord: all dispatchers have adopted version 1 and hold a lease of it.
func (w *world) startAccord() {
	l := w.leader
	for _, s := range w.dispatchers {
		for !s.participant.accord.Serving() {
			s.participant.accord.RequestNow()
			if request, ok := s.participant.accord.NextRequest(s.participant.now()); ok {
				s.participant.accord.HandleResponse(s.participant.now(), l.Handle(w.accordTime(l.clockRate), request))
			}
			for _, check := range s.participant.accord.TakeChecks() {
				s.participant.accord.ReportCheck(s.participant.now(), check, nil)
			}
		}
	}
	w.repeat(w.scenario.Accord.Lease/50, func() { l.Tick(w.accordTime(l.clockRate)); l.step() })
	w.repeat(w.scenario.Accord.ProbeInterval, func() {
		for _, s := range w.dispatchers {
			s.notReady = !s.dead && !s.participant.Serves()
		}
	})
	for i, c := range w.scenario.PolicyChanges {
		w.schedule(c.At, func() {
			s := w.dispatchers[c.Dispatcher]
			version, _ := s.participant.accord.Current()
			// The error is ignored: a proposal fails while an earlier one of the same dispatcher is pending.
			_ = s.participant.accord.Propose(accord.ProposalBit|uint64(i+2), fmt.Appendf(nil, "version %d by change %d", version+1, i))
			s.participant.step()
		})
	}
}

// repeat calls do once per interval until the run ends. The first call comes after a random part of the interval.
func (w *world) repeat(interval float64, do func()) {
	var tick func()
	tick = func() { do(); w.schedule(w.now+interval, tick) }
	w.schedule(w.now+interval*w.leader.random.Float64(), tick)
}

// recordVersions counts the versions under which attempts may start now, and the time during which no dispatcher
// accepts reqs. It is called after each event of a participant. No other event lets a participant start attempts, so
// the maximum of the count is exact.
func (w *world) recordVersions() {
	r, l := &w.result.Accord, w.leader
	r.Version = l.state.Version
	var used []uint64
	anyServes := false
	for _, s := range w.dispatchers {
		if s.dead {
			continue
		}
		anyServes = anyServes || s.participant.Serves()
		if version, ok := s.participant.startVersion(); ok && !slices.Contains(used, version) {
			used = append(used, version)
		}
	}
	r.MaxVersions = max(r.MaxVersions, len(used))
	switch {
	case !anyServes && math.IsNaN(l.outageSince):
		l.outageSince = w.now
	case anyServes && !math.IsNaN(l.outageSince):
		r.Outage += w.now - l.outageSince
		l.outageSince = math.NaN()
	}
}
