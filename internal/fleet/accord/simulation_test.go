package accord

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation runs a fleet in virtual time: the real decision code, a model of the majority log, connections that
// drop, delay and repeat messages, processes that stall and crash, and clocks that drift. The log has one leader a
// term. A deposed leader does not know that it is deposed, but no majority confirms it any more. An entry that was
// submitted when its leader is deposed is either in the next leader's log or lost for good.
type simulation struct {
	config     LeaseConfig
	rnd        *rand.Rand
	now        int64 // real time, ns
	queue      eventQueue
	eventCount int

	term            uint64
	leader          *simulatedLeader
	state           State
	pendingDecision *Decision

	dispatchers []*dispatcher
	faulty      bool          // messages are lost and repeated, and leaders stall
	maxDelay    time.Duration // maximum transit time of a message, without faults

	results     map[uint64]Result // of changes, as the events say
	violation   string            // the first invariant violation, empty if there is none
	servingSeen int               // how often a dispatcher was found accepting or starting requests
}

// simulatedLeader is a leader with its own clock.
type simulatedLeader struct {
	*Leader
	clockRate float64
	term      uint64
	crashed   bool
}

// dispatcher is a participant with its own clock, its faults and the requests that it has accepted.
type dispatcher struct {
	*Participant
	id            int
	epoch         uint64
	clockRate     float64
	cutOff        bool
	down          bool
	stalledUntil  int64 // real time; it handles nothing until then
	waiting       int   // requests accepted that have not started
	refusesOdd    bool  // refuses policies of odd length
	activeVersion uint64
}

type simulatedEvent struct {
	at    int64
	order int
	run   func()
}

type eventQueue []simulatedEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(simulatedEvent)) }
func (e *eventQueue) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

func newSimulation(config LeaseConfig, n int, seed uint64) *simulation {
	s := &simulation{config: config, rnd: rand.New(rand.NewPCG(seed, 1)), faulty: true, maxDelay: 20 * time.Millisecond, results: map[uint64]Result{}}
	s.elect()
	for i := range n {
		d := &dispatcher{id: i, clockRate: s.drawRate()}
		s.dispatchers = append(s.dispatchers, d)
		s.startDispatcher(d)
	}
	return s
}

func (s *simulation) drawRate() float64 {
	return 1 + s.config.Drift*[]float64{-1, 0, 1}[s.rnd.IntN(3)]
}

func (s *simulation) after(d time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.queue, simulatedEvent{s.now + int64(d), s.eventCount, run})
}

// run processes the events of the next d of real time.
func (s *simulation) run(d time.Duration) {
	until := s.now + int64(d)
	for len(s.queue) > 0 && s.queue[0].at <= until && s.violation == "" {
		e := heap.Pop(&s.queue).(simulatedEvent)
		s.now = e.at
		e.run()
		s.checkOneVersion()
	}
	s.now = max(s.now, until)
}

func (s *simulation) reading(rate float64) Time { return Time(float64(s.now) * rate) }

// startDispatcher starts a new process of a dispatcher, with a new epoch.
func (s *simulation) startDispatcher(d *dispatcher) {
	d.epoch++
	d.down, d.waiting, d.activeVersion = false, 0, 0
	d.clockRate, d.refusesOdd = s.drawRate(), s.faulty && s.rnd.IntN(8) == 0
	var err error
	if d.Participant, err = NewParticipant(s.config, fmt.Sprintf("n%d", d.id), d.epoch); err != nil {
		panic(err)
	}
	s.stepPeriodically(d, d.epoch)
}

// stepPeriodically steps a dispatcher again and again until its process ends.
func (s *simulation) stepPeriodically(d *dispatcher, epoch uint64) {
	if d.epoch != epoch || d.down {
		return
	}
	if s.now >= d.stalledUntil {
		s.step(d)
	}
	s.after(s.config.RenewInterval()/4, func() { s.stepPeriodically(d, epoch) })
}

func (s *simulation) step(d *dispatcher) {
	now := s.reading(d.clockRate)
	if d.waiting > 0 && s.rnd.IntN(2) == 0 {
		d.waiting--
	} else if now < d.Admission().AcceptUntil && s.rnd.IntN(3) == 0 {
		d.waiting++
	}
	d.Tick(now, d.waiting)
	for _, c := range d.TakeChecks() {
		epoch := d.epoch
		s.after(s.randomDuration(10*time.Millisecond), func() {
			if d.epoch == epoch && !d.down {
				var err error
				if d.refusesOdd && len(c.Body)%2 == 1 {
					err = errors.New("an unknown key")
				}
				d.ReportCheck(s.reading(d.clockRate), c, err)
				s.step(d)
			}
		})
	}
	if v, body, ok := d.TakeActivation(); ok {
		if d.refusesOdd && len(body)%2 == 1 {
			s.fail("n%d activated version %d, which it refuses", d.id, v)
		}
		if v < d.activeVersion {
			s.fail("n%d went from version %d back to %d", d.id, d.activeVersion, v)
		}
		d.activeVersion = v
	}
	s.recordResults(d.TakeEvents())
	if r, ok := d.NextRequest(now); ok {
		s.sendRequest(d, r)
	}
}

// recordResults records the results that events report. No change may have two different results.
func (s *simulation) recordResults(events []Event) {
	for _, e := range events {
		result := Undecided
		switch {
		case e.Step == "withdrawn" && e.Change != 0:
			result = Withdrawn
		case e.Step == "decided":
			result = InForce
		}
		if result == Undecided {
			continue
		}
		if was := s.results[e.Change]; was != Undecided && was != result {
			s.fail("change %x is both withdrawn and decided", e.Change)
		}
		s.results[e.Change] = result
	}
}

func (s *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(limit) + 1))
}

// deliver delivers a message after a delay. With faults it may be lost, repeated or very late.
func (s *simulation) deliver(cutOff bool, receive func()) {
	if cutOff {
		return
	}
	times := 1
	if s.faulty {
		switch s.rnd.IntN(20) {
		case 0:
			return
		case 1:
			times = 2
		}
	}
	for range times {
		delay := s.randomDuration(s.maxDelay)
		if s.faulty && s.rnd.IntN(30) == 0 {
			delay += s.randomDuration(2 * s.config.Lease)
		}
		s.after(delay, receive)
	}
}

// sendRequest carries a request to the current leader and the response back. The leader confirms its term when the
// request arrives, and may stall between that and its response.
func (s *simulation) sendRequest(d *dispatcher, r LeaseRequest) {
	epoch, l := d.epoch, s.leader
	s.deliver(d.cutOff, func() {
		if l.crashed || l.term != s.term {
			return
		}
		stall := time.Duration(0)
		if s.faulty && s.rnd.IntN(40) == 0 {
			stall = s.randomDuration(2 * s.config.Lease)
		}
		s.after(stall, func() {
			if l.crashed {
				return
			}
			response := l.Handle(s.reading(l.clockRate), r)
			s.runLeader(l)
			s.deliver(d.cutOff, func() { s.receiveResponse(d, epoch, response) })
		})
	})
}

func (s *simulation) receiveResponse(d *dispatcher, epoch uint64, r LeaseResponse) {
	if d.epoch != epoch || d.down {
		return
	}
	if s.now < d.stalledUntil {
		s.after(time.Duration(d.stalledUntil-s.now), func() { s.receiveResponse(d, epoch, r) })
		return
	}
	d.HandleResponse(s.reading(d.clockRate), r)
	s.step(d)
}

// runLeader carries out what a leader asks for.
func (s *simulation) runLeader(l *simulatedLeader) {
	s.recordResults(l.TakeEvents())
	if decision, ok := l.TakeDecision(); ok && l.term == s.term {
		s.pendingDecision = &decision
		s.after(s.randomDuration(2*s.maxDelay), func() {
			if s.term == l.term && s.pendingDecision != nil {
				s.commit()
				l.Applied(s.reading(l.clockRate), s.state)
				s.runLeader(l)
			}
		})
	}
	if l.TakePoll() && l.term == s.term {
		for _, d := range s.dispatchers {
			epoch := d.epoch
			s.deliver(d.cutOff, func() {
				if d.epoch == epoch && !d.down && s.now >= d.stalledUntil {
					d.RequestNow()
					s.step(d)
				}
			})
		}
	}
}

func (s *simulation) commit() {
	d := *s.pendingDecision
	s.pendingDecision = nil
	if s.state.Apply(d) {
		s.recordResults([]Event{{Step: "decided", Change: d.Change, Version: d.Version}})
	}
}

// elect begins a new term. An entry that the previous leader had submitted is in the new leader's log, or lost.
func (s *simulation) elect() {
	if s.pendingDecision != nil && s.rnd.IntN(2) == 0 {
		s.commit()
	}
	s.pendingDecision = nil
	s.term++
	rate := s.drawRate()
	l, err := NewLeader(s.config, s.term, s.reading(rate), s.state)
	if err != nil {
		panic(err)
	}
	leader := &simulatedLeader{Leader: l, clockRate: rate, term: s.term}
	s.leader = leader
	s.tickLeader(leader)
}

// tickLeader ticks a leader again and again, also for two terms after it was deposed.
func (s *simulation) tickLeader(l *simulatedLeader) {
	if l.crashed || l.term+2 < s.term {
		return
	}
	l.Tick(s.reading(l.clockRate))
	s.runLeader(l)
	s.after(s.config.Lease/20, func() { s.tickLeader(l) })
}

func (s *simulation) fail(format string, a ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, a...)
	}
}

// checkOneVersion checks guarantee 2 of docs/design/accord.md at this moment: all dispatchers that may accept or start
// requests do so under one version. An admission is extended at an event only, so checking after each event misses
// none.
func (s *simulation) checkOneVersion() {
	if s.config.ContinueWhenCut {
		return
	}
	version, node := uint64(0), 0
	for _, d := range s.dispatchers {
		if d.down {
			continue
		}
		a, now := d.Admission(), s.reading(d.clockRate)
		if now >= a.AcceptUntil && now >= a.StartUntil {
			continue
		}
		s.servingSeen++
		if version != 0 && version != a.Version {
			s.fail("at %d ns n%d accepts or starts under version %d and n%d under %d", s.now, node, version, d.id, a.Version)
		}
		version, node = a.Version, d.id
	}
}

// propose has a dispatcher propose a policy.
func (s *simulation) propose(d *dispatcher, body string) {
	if !d.down && s.now >= d.stalledUntil && d.Propose(s.rnd.Uint64()|ProposalBit, []byte(body)) == nil {
		s.step(d)
	}
}

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.faulty, s.maxDelay = false, 5*time.Millisecond
	for _, d := range s.dispatchers {
		d.cutOff, d.stalledUntil, d.refusesOdd = false, 0, false
		d.RetryCheck()
		if d.down {
			s.startDispatcher(d)
		}
	}
}

// unsettled returns what is wrong once faults have ended and the documented time has passed; empty if nothing is.
func (s *simulation) unsettled() string {
	for _, d := range s.dispatchers {
		v, _ := d.Current()
		switch {
		case s.state.Version == 0:
			return "no version was ever decided"
		case v != s.state.Version:
			return fmt.Sprintf("n%d has version %d, and %d is decided", d.id, v, s.state.Version)
		case s.reading(d.clockRate) >= d.Admission().AcceptUntil:
			return fmt.Sprintf("n%d accepts no requests: %s", d.id, d.NotAcceptingReason())
		case d.ProposalPending():
			return fmt.Sprintf("n%d has no outcome of its proposal", d.id)
		}
	}
	if c := s.leader.change; c != nil {
		return fmt.Sprintf("change %x is still in stage %d", c.id, c.stage)
	}
	return ""
}

// runSchedule applies random faults and proposals, ends all faults, and returns which guarantee was broken.
func runSchedule(config LeaseConfig, n, steps int, seed uint64) (*simulation, string) {
	s := newSimulation(config, n, seed)
	s.propose(s.dispatchers[0], "first")
	if s.rnd.IntN(2) == 0 {
		s.run(3 * config.Lease)
	}
	for range steps {
		d := s.dispatchers[s.rnd.IntN(n)]
		switch s.rnd.IntN(12) {
		case 0, 1:
			s.propose(d, fmt.Sprintf("policy %d %s", s.rnd.IntN(1000), "abcd"[:s.rnd.IntN(4)]))
		case 2:
			d.cutOff = !d.cutOff
		case 3: // crashes, and restarts at once or later
			if d.down {
				s.startDispatcher(d)
			} else if d.down = true; s.rnd.IntN(2) == 0 {
				s.startDispatcher(d)
			}
		case 4:
			d.stalledUntil = s.now + int64(s.randomDuration(2*config.Lease))
		case 5:
			s.elect()
		case 6: // the leader crashes, and for a while there is none
			s.leader.crashed = true
			s.run(s.randomDuration(config.Lease))
			s.elect()
		}
		s.run(s.randomDuration(config.Lease / 2))
		if s.violation != "" {
			return s, s.violation
		}
	}
	s.endFaults()
	s.run(2 * (config.QuietPeriod() + 6*config.Lease))
	if s.violation != "" {
		return s, s.violation
	}
	if s.state.Version > 0 && s.unsettled() != "" {
		return s, s.unsettled()
	}
	s.propose(s.dispatchers[s.rnd.IntN(n)], "the last") // the fleet must still be able to decide a change
	was := s.state.Version
	s.run(4 * config.Lease)
	switch {
	case s.violation != "":
		return s, s.violation
	case s.state.Version != was+1 || string(s.state.Body) != "the last":
		return s, fmt.Sprintf("after all faults a change from version %d was not decided: %+v", was, s.leader.lastOutcome)
	}
	return s, s.unsettled()
}
