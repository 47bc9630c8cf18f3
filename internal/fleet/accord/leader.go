package accord

import (
	"bytes"
	"errors"
	"time"
)

// Leader is the leader's side, from its election to the end of its term. What it remembers dies
// with it: the next leader starts from the log alone. Not for concurrent use.
type Leader struct {
	plan  LeaseConfig
	term  uint64
	born  Time
	state State
	at    map[life]*lessee

	change *change
	count  uint64 // of changes in this term
	ends   map[uint64]Outcome
	order  []uint64 // of ends, oldest first
	last   Outcome  // of a change, told to those who ask about none

	submit *Decision
	nudge  bool
	notes  []Event
}

type life struct {
	peer  string
	epoch uint64
}

// lessee is one life of a dispatcher as the keeper knows it.
type lessee struct {
	seq     uint64 // the newest ask believed
	seen    Time
	version uint64 // as it said
	until   Time   // it may be using a lease until then
	stands  uint64 // the change that it has accepted
}

// change is the one under way.
type change struct {
	id       uint64
	proposal uint64
	version  uint64
	by       string
	body     []byte
	stage    Stage
	since    Time
	held     int // leases out when preparing began
	ready    int // of them, given up
}

// ChangeCount is how many changes this keeper has made. A further keeper of the same term goes on from it (After),
// so that no two changes have one id.
func (k *Leader) ChangeCount() uint64 { return k.count }

// ResumeChangeCount has a new keeper count its changes from where another of its term stopped.
func (k *Leader) ResumeChangeCount(count uint64) { k.count = count }

// NewLeader begins a term. state is the log's after a barrier of this term was committed: all that
// earlier leaders decided is in it, and nothing else that they tried can be decided any more.
func NewLeader(p LeaseConfig, term uint64, now Time, state State) (*Leader, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if term == 0 || term >= 1<<47 {
		return nil, errors.New("accord: a term of 0 or beyond 47 bits")
	}
	return &Leader{plan: p, term: term, born: now, state: state, at: map[life]*lessee{}, ends: map[uint64]Outcome{}}, nil
}

// Handle answers an ask. The caller has a majority's word, got after the ask came, that this
// keeper's term has not ended; without that no answer may be sent (docs/design/accord.md, "a
// grant is confirmed").
func (k *Leader) Handle(now Time, a LeaseRequest) LeaseResponse {
	k.Tick(now)
	out := LeaseResponse{Peer: a.Peer, Epoch: a.Epoch, Seq: a.Seq, IsLeader: true, Term: k.term, Version: k.state.Version}
	l := k.at[life{a.Peer, a.Epoch}]
	if l == nil && len(k.at) < MaxParticipants {
		l = &lessee{}
		k.at[life{a.Peer, a.Epoch}] = l
	}
	believed := l != nil && a.Seq > l.seq
	if believed {
		l.seq, l.seen, l.version = a.Seq, now, a.Version
		k.stance(now, l, a)
		k.proposed(now, a)
		k.move(now)
	}
	if believed && k.lends() && k.state.Version > 0 && a.Version == k.state.Version {
		out.Granted = true
		l.until = max(l.until, now.Add(k.plan.Lease))
	}
	k.tell(&out, a)
	return out
}

// lends says whether leases of the version in force are lent now.
func (k *Leader) lends() bool { return k.change == nil || k.change.stage == Checking }

// stance takes what a lessee says of the change under way; of any other it means nothing.
func (k *Leader) stance(now Time, l *lessee, a LeaseRequest) {
	c := k.change
	if c == nil || a.Change != c.id {
		return
	}
	switch {
	case a.Ack == Refused && c.stage == Checking:
		k.end(c, Outcome{Result: Withdrawn, Peer: a.Peer, Reason: cut(a.Reason)})
	case a.Ack == Accepted && c.stage == Checking:
		l.stands = c.id
	case a.Ack == Ready && c.stage == Preparing:
		if l.until > now {
			c.ready++
		}
		l.until = 0
	}
}

// proposed takes a proposal, unless what became of it is known.
func (k *Leader) proposed(now Time, a LeaseRequest) {
	id := a.Proposal
	if id&ProposalBit == 0 || k.state.decided(id) || k.change != nil && k.change.proposal == id {
		return
	}
	if _, known := k.ends[id]; known {
		return
	}
	no := func(why string) { k.remember(Outcome{ID: id, Result: Withdrawn, Peer: a.Peer, Reason: why}) }
	switch {
	case k.change != nil:
		no("another change is under way, proposed by " + k.change.by)
	case a.BaseVersion != k.state.Version:
		no(orders(a.BaseVersion, k.state.Version))
	case len(a.Body) > MaxBody:
		no("its policy is too long")
	case k.state.Version > 0 && bytes.Equal(a.Body, k.state.Body):
		no("it is in force already")
	default:
		k.count++
		k.change = &change{id: k.term<<16 | k.count&0xffff, proposal: id, version: k.state.Version + 1, by: a.Peer,
			body: a.Body, stage: Checking, since: now}
		k.nudge = true
		k.note(Event{Step: "checking", Change: k.change.id, Version: k.change.version, Proposer: a.Peer})
	}
}

// Tick lets time pass: leases end, and a change that waits for that moves on.
func (k *Leader) Tick(now Time) {
	for who, l := range k.at {
		if l.until <= now && l.seen.Add(2*k.plan.Lease) <= now {
			delete(k.at, who)
		}
	}
	k.move(now)
}

// move takes the change under way as far as it may go.
func (k *Leader) move(now Time) {
	c := k.change
	if c == nil {
		return
	}
	if c.stage == Checking {
		k.checked(now, c)
	}
	if c.stage == Preparing {
		for _, l := range k.at {
			if l.until > now {
				return
			}
		}
		c.stage = Deciding
		k.submit = &Decision{Change: c.id, Proposal: c.proposal, Version: c.version, Proposer: c.by, Body: c.body}
		k.note(Event{Step: "deciding", Change: c.id, Version: c.version, Proposer: c.by, ExpiredLeases: c.held - c.ready})
	}
}

// checked ends the checking once every live lessee has accepted. Until all leases of earlier leaders
// are over there may be lessees that this keeper does not know.
func (k *Leader) checked(now Time, c *change) {
	if now < k.born.Add(k.plan.QuietPeriod()) {
		return
	}
	held := 0
	for who, l := range k.at {
		if l.until > now {
			held++
		}
		if k.live(now, l) && l.stands != c.id {
			if now >= max(c.since, k.born.Add(k.plan.QuietPeriod())).Add(k.plan.patience()) {
				k.end(c, Outcome{Result: Withdrawn, Peer: who.peer, Reason: "did not check it in time"})
			}
			return
		}
	}
	c.stage, c.held = Preparing, held
	k.nudge = true
}

// live says whether a lessee has a say: it may be using a lease, or it waits for one of the version in force.
func (k *Leader) live(now Time, l *lessee) bool {
	return l.until > now || l.version == k.state.Version && l.seen.Add(k.plan.Lease) > now
}

// Applied tells the log's state after an entry. Only then does a decided version count as one.
func (k *Leader) Applied(now Time, state State) {
	k.state = state
	if c := k.change; c != nil && state.won(c.id) {
		k.end(c, Outcome{Result: InForce})
	}
	k.nudge = true
}

// end ends the change under way.
func (k *Leader) end(c *change, o Outcome) {
	o.ID = c.proposal
	k.remember(o)
	o.ID = c.id
	k.remember(o)
	k.last, k.change, k.nudge = o, nil, true
}

func (k *Leader) remember(o Outcome) {
	k.ends[o.ID] = o
	if k.order = append(k.order, o.ID); len(k.order) > keptEnds {
		delete(k.ends, k.order[0])
		k.order = k.order[1:]
	}
}

// tell writes into an answer how things are.
func (k *Leader) tell(out *LeaseResponse, a LeaseRequest) {
	if a.Version != k.state.Version {
		out.Body = k.state.Body
	}
	if c := k.change; c != nil {
		out.Change, out.Stage, out.NextVersion, out.Proposer = c.id, c.stage, c.version, c.by
		if c.stage == Checking && a.Change != c.id {
			out.NextBody = c.body
		}
	}
	out.ChangeOutcome = k.last
	if a.Change != 0 && a.Change != out.Change {
		out.ChangeOutcome = k.ended(a.Change)
	}
	if a.Proposal != 0 {
		switch o, known := k.ends[a.Proposal]; {
		case known:
			out.ProposalOutcome = o
		case k.state.decided(a.Proposal):
			out.ProposalOutcome = Outcome{ID: a.Proposal, Result: InForce}
		}
	}
}

// ended is what became of a change that is not under way. One of an earlier leader that the log
// does not have, after this leader's barrier, can never be decided. Of one older than the log's state
// remembers nothing is said: it may have been decided.
func (k *Leader) ended(id uint64) Outcome {
	if k.state.won(id) {
		return Outcome{ID: id, Result: InForce}
	}
	if o, known := k.ends[id]; known {
		return o
	}
	if d := k.state.Recent; len(d) == keptDone && id < d[0].Change {
		return Outcome{ID: id}
	}
	return Outcome{ID: id, Result: Withdrawn, Reason: "the leader that asked for it is gone"}
}

// TakeDecision is the entry to give to the log, once.
func (k *Leader) TakeDecision() (Decision, bool) {
	if k.submit == nil {
		return Decision{}, false
	}
	d := *k.submit
	k.submit = nil
	return d, true
}

// TakePoll says, once, that all lessees should ask now.
func (k *Leader) TakePoll() bool {
	n := k.nudge
	k.nudge = false
	return n
}

// TakeEvents hands out what is to be logged.
func (k *Leader) TakeEvents() []Event {
	n := k.notes
	k.notes = nil
	return n
}

func (k *Leader) note(n Event) { k.notes = append(k.notes, n) }

// LeasesInUse is how many leases may be in use.
func (k *Leader) LeasesInUse(now Time) (n int) {
	for _, l := range k.at {
		if l.until > now {
			n++
		}
	}
	return n
}

// NextTick is when time alone changes something: a lease that is waited for ends, the quiet time or a
// change's patience is over. Never where nothing is under way.
func (k *Leader) NextTick(now Time) Time {
	c := k.change
	if c == nil || c.stage == Deciding {
		return Never
	}
	return now.Add(max(k.plan.Lease/50, 5*time.Millisecond))
}
