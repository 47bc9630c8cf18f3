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

// Accord has the dispatchers take reqs by versions of one policy (docs/design/accord.md): the real Lessee at each, one
// real Keeper, and links between them. The zero value is a fleet without an accord. Times are milliseconds.
type Accord struct {
	Lease           float64 // 0: no accord
	Drift           float64 // of each clock's rate, drawn: slowest, right or fastest
	ContinueWhenCut bool    // a dispatcher that is cut off goes on by the version it knew
	Latency         float64 // one way between a dispatcher and the keeper, and between voters; half of it varies
	Loss            float64 // part of the messages that never arrive
	FlushTime       float64 // a decided entry's way to a majority's disks
	CheckTime       float64 // what a dispatcher needs to check a body
	ProbeInterval   float64 // how often the front asks each dispatcher whether it is ready

	faultFullLease bool // a seeded fault for tests: a lease is used to its whole length, not to what is left of it for drift
}

// Cut loses every message between the keeper and some dispatchers, counted from 0, for a while. Clients and backends
// reach them as before.
type Cut struct {
	At, Length  float64
	Dispatchers []int
}

// PolicyChange is a new version, proposed at a time by a dispatcher.
type PolicyChange struct {
	At         float64
	Dispatcher int
}

// AccordResult is what came of the accord.
type AccordResult struct {
	Version          uint64  // decided last
	Refused          int     // tries refused, since the dispatcher might take none
	RefusedWhileCut  int     // of them, by a dispatcher that was cut off
	ReceivedWhileCut int     // tries that came to a dispatcher that was cut off
	OutdatedAccepted int     // tries taken by a version after a later one was decided
	OutdatedStarts   int     // attempts begun by one
	MaxVersions      int     // versions that dispatchers might begin attempts by at one moment, at most
	Outage           float64 // for how long no dispatcher took reqs
}

// leader is the keeper with its clock and the majority's log.
type leader struct {
	*accord.Leader
	w           *world
	config      accord.LeaseConfig
	clockRate   float64
	state       accord.State
	random      *rand.Rand
	epochs      uint64
	outageSince float64 // since when nobody takes reqs; NaN while somebody does
}

func (sc *Scenario) checkAccord() error {
	a, most := &sc.Accord, max(sc.Dispatchers, 1)
	if a.Lease == 0 {
		if len(sc.Cuts)+len(sc.PolicyChanges) > 0 {
			return fmt.Errorf("cuts and changes want an accord")
		}
		return nil
	}
	for _, c := range sc.Cuts {
		for _, n := range c.Dispatchers {
			if n < 0 || n >= most {
				return fmt.Errorf("dispatcher %d is cut off, which is none", n)
			}
		}
	}
	for _, c := range sc.PolicyChanges {
		if c.Dispatcher < 0 || c.Dispatcher >= most {
			return fmt.Errorf("dispatcher %d proposes a change, which is none", c.Dispatcher)
		}
	}
	return a.leaseConfig().Check()
}

func (a *Accord) leaseConfig() accord.LeaseConfig {
	return accord.LeaseConfig{Lease: msToDuration(a.Lease), Drift: a.Drift, ContinueWhenCut: a.ContinueWhenCut}
}

func msToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// newLeader has version 1 in force since long before the run, so that the first reqs are taken by it.
func newLeader(w *world) (*leader, error) {
	k := &leader{w: w, config: w.sc.Accord.leaseConfig(), random: fleet.RandomStream(w.sc.Seed, "accord"), outageSince: math.NaN()}
	k.clockRate = k.drawClockRate()
	k.state.Apply(accord.Decision{Change: 1, Proposal: accord.ProposalBit | 1, Version: 1, Body: []byte("version 1")})
	var err error
	k.Leader, err = accord.NewLeader(k.config, 1, -accord.Time(k.config.QuietPeriod()), k.state)
	return k, err
}

func (k *leader) drawClockRate() float64 { return 1 + k.config.Drift*float64(k.random.IntN(3)-1) }

// at is a accordTime's reading: the same instant on all, at the rate of each.
func (w *world) accordTime(rate float64) accord.Time { return accord.Time(w.now * 1e6 * rate) }

func (k *leader) drawDelay() float64 {
	return k.w.sc.Accord.Latency * (0.5 + k.random.Float64())
}

// send has a message between a dispatcher and the keeper arrive, or not.
func (k *leader) send(node int, further float64, arrive func()) {
	if k.random.Float64() < k.w.sc.Accord.Loss || k.w.cutOff(node) {
		return
	}
	k.w.at(k.w.now+k.drawDelay()+further, func() {
		if !k.w.cutOff(node) {
			arrive()
		}
	})
}

// cutOff says whether a dispatcher is cut off now.
func (w *world) cutOff(node int) bool {
	for _, c := range w.sc.Cuts {
		if w.now >= c.At && w.now < c.At+c.Length && slices.Contains(c.Dispatchers, node) {
			return true
		}
	}
	return false
}

// handleRequest takes an handleRequest, once a majority has confirmed the keeper by a round trip, and answers it.
func (k *leader) handleRequest(f *participant, a accord.LeaseRequest) {
	k.send(f.side.at, k.drawDelay()+k.drawDelay(), func() {
		answer := k.Handle(k.w.accordTime(k.clockRate), a)
		k.send(f.side.at, 0, func() { f.handleResponse(answer) })
		k.step()
	})
}

// step carries out what the keeper wants.
func (k *leader) step() {
	w := k.w
	if d, ok := k.TakeDecision(); ok {
		w.at(w.now+w.sc.Accord.FlushTime, func() {
			k.state.Apply(d)
			k.Applied(w.accordTime(k.clockRate), k.state)
			k.step()
		})
	}
	if k.TakePoll() {
		for _, s := range w.sides {
			k.send(s.at, 0, func() { s.participant.handlePoll() })
		}
	}
	k.TakeEvents()
}

// startAccord starts the accord with all dispatchers on version 1 under a lease.
func (w *world) startAccord() {
	k := w.leader
	for _, s := range w.sides {
		for !s.participant.accord.Serving() {
			s.participant.accord.RequestNow()
			if a, ok := s.participant.accord.NextRequest(s.participant.now()); ok {
				s.participant.accord.HandleResponse(s.participant.now(), k.Handle(w.accordTime(k.clockRate), a))
			}
			for _, c := range s.participant.accord.TakeChecks() {
				s.participant.accord.ReportCheck(s.participant.now(), c, nil)
			}
		}
	}
	w.repeat(w.sc.Accord.Lease/50, func() { k.Tick(w.accordTime(k.clockRate)); k.step() })
	w.repeat(w.sc.Accord.ProbeInterval, func() {
		for _, s := range w.sides {
			s.unready = !s.dead && !s.participant.Serves()
		}
	})
	for i, c := range w.sc.PolicyChanges {
		w.at(c.At, func() {
			s := w.sides[c.Dispatcher]
			version, _ := s.participant.accord.Current()
			// One of its own that is under way is not overtaken.
			_ = s.participant.accord.Propose(accord.ProposalBit|uint64(i+2), fmt.Appendf(nil, "version %d by change %d", version+1, i))
			s.participant.step()
		})
	}
}

// repeat does something again and again, from a first time that is drawn.
func (w *world) repeat(every float64, do func()) {
	var again func()
	again = func() { do(); w.at(w.now+every, again) }
	w.at(w.now+every*w.leader.random.Float64(), again)
}

// recordVersions counts the versions that attempts may begin by now. A gate opens only at an event of its lessee, after
// which this is called, so that no moment is missed. It also counts the time in which nobody takes reqs.
func (w *world) recordVersions() {
	r, k := &w.res.Accord, w.leader
	r.Version = k.state.Version
	var used []uint64
	serves := false
	for _, s := range w.sides {
		if s.dead {
			continue
		}
		serves = serves || s.participant.Serves()
		if v, may := s.participant.startVersion(); may && !slices.Contains(used, v) {
			used = append(used, v)
		}
	}
	r.MaxVersions = max(r.MaxVersions, len(used))
	switch {
	case !serves && math.IsNaN(k.outageSince):
		k.outageSince = w.now
	case serves && !math.IsNaN(k.outageSince):
		r.Outage += w.now - k.outageSince
		k.outageSince = math.NaN()
	}
}
