package accord

import (
	"bytes"
	"errors"
	"time"
)

// Leader is the part of the accord that runs at the majority log's leader, from its election to the end of its term.
// What it remembers is lost when the term ends: the next leader starts from the log alone. Not safe for concurrent use.
type Leader struct {
	config       LeaseConfig
	term         uint64
	startedAt    Time
	state        State
	participants map[incarnation]*participantState

	change       *change
	changeCount  uint64 // changes made in this term
	outcomes     map[uint64]Outcome
	outcomeOrder []uint64 // ids in outcomes, oldest first
	lastOutcome  Outcome  // of the last change that ended; for requests that name no change

	decision *Decision
	poll     bool
	events   []Event
}

// incarnation is one run of a dispatcher's process, from its start to its end.
type incarnation struct {
	peer  string
	epoch uint64
}

// participantState is what the leader knows of one incarnation of a dispatcher.
type participantState struct {
	lastSeq        uint64 // of the newest request handled
	lastSeen       Time
	version        uint64 // that it reported
	leaseEnd       Time   // it may use a lease until then
	acceptedChange uint64 // id of the change that it has accepted
}

// change is a proposal that is being checked and decided. There is at most one at a time.
type change struct {
	id        uint64
	proposal  uint64
	version   uint64
	proposer  string
	body      []byte
	stage     Stage
	startedAt Time
	leases    int // in use when preparing began
	released  int // of these, given up by participants that are ready
}

// ChangeCount returns how many changes this leader has made. A later Leader of the same term must continue from it
// (see ResumeChangeCount), so that no two changes have the same id.
func (l *Leader) ChangeCount() uint64 { return l.changeCount }

// ResumeChangeCount makes a new Leader number its changes from where another Leader of its term stopped.
func (l *Leader) ResumeChangeCount(count uint64) { l.changeCount = count }

// NewLeader begins a term. state must be the log's state after a barrier of this term was committed: it then holds all
// that earlier leaders decided, and nothing else that they submitted can be decided any more.
func NewLeader(config LeaseConfig, term uint64, now Time, state State) (*Leader, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	if term == 0 || term >= 1<<47 { // a change's id has the term above 16 bits of its count, and ProposalBit stays clear
		return nil, errors.New("accord: term is 0 or has more than 47 bits")
	}
	return &Leader{config: config, term: term, startedAt: now, state: state, participants: map[incarnation]*participantState{}, outcomes: map[uint64]Outcome{}}, nil
}

// Handle handles a lease request. The caller must have confirmed with a majority, after the request arrived, that this
// leader's term has not ended; without that it must not send the response (docs/design/accord.md, "a grant is
// confirmed").
func (l *Leader) Handle(now Time, r LeaseRequest) LeaseResponse {
	l.Tick(now)
	resp := LeaseResponse{Peer: r.Peer, Epoch: r.Epoch, Seq: r.Seq, IsLeader: true, Term: l.term, Version: l.state.Version}
	p := l.participants[incarnation{r.Peer, r.Epoch}]
	if p == nil && len(l.participants) < MaxParticipants {
		p = &participantState{}
		l.participants[incarnation{r.Peer, r.Epoch}] = p
	}
	isNew := p != nil && r.Seq > p.lastSeq
	if isNew {
		p.lastSeq, p.lastSeen, p.version = r.Seq, now, r.Version
		l.handleAck(now, p, r)
		l.handleProposal(now, r)
		l.advance(now)
	}
	if isNew && l.grantsLeases() && l.state.Version > 0 && r.Version == l.state.Version {
		resp.Granted = true
		p.leaseEnd = max(p.leaseEnd, now.Add(l.config.Lease))
	}
	l.fillResponse(&resp, r)
	return resp
}

// grantsLeases reports whether leases of the version in force are granted now.
func (l *Leader) grantsLeases() bool { return l.change == nil || l.change.stage == Checking }

// handleAck handles an acknowledgement of the current change. One of any other change is ignored.
func (l *Leader) handleAck(now Time, p *participantState, r LeaseRequest) {
	c := l.change
	if c == nil || r.Change != c.id {
		return
	}
	switch {
	case r.Ack == Refused && c.stage == Checking:
		l.endChange(c, Outcome{Result: Withdrawn, Peer: r.Peer, Reason: truncateReason(r.Reason)})
	case r.Ack == Accepted && c.stage == Checking:
		p.acceptedChange = c.id
	case r.Ack == Ready && c.stage == Preparing:
		if p.leaseEnd > now {
			c.released++
		}
		p.leaseEnd = 0
	}
}

// handleProposal begins a change for a proposal or withdraws the proposal. A repeated proposal, which is the current
// change or has an outcome already, is ignored.
func (l *Leader) handleProposal(now Time, r LeaseRequest) {
	id := r.Proposal
	if id&ProposalBit == 0 || l.state.proposalDecided(id) || l.change != nil && l.change.proposal == id {
		return
	}
	if _, known := l.outcomes[id]; known {
		return
	}
	withdraw := func(reason string) { l.recordOutcome(Outcome{ID: id, Result: Withdrawn, Peer: r.Peer, Reason: reason}) }
	switch {
	case l.change != nil:
		withdraw("another change is under way, proposed by " + l.change.proposer)
	case r.BaseVersion != l.state.Version:
		withdraw(staleBaseReason(r.BaseVersion, l.state.Version))
	case len(r.Body) > MaxBody:
		withdraw("its policy is too long")
	case l.state.Version > 0 && bytes.Equal(r.Body, l.state.Body):
		withdraw("it is in force already")
	default:
		l.changeCount++
		l.change = &change{id: l.term<<16 | l.changeCount&0xffff, proposal: id, version: l.state.Version + 1, proposer: r.Peer,
			body: r.Body, stage: Checking, startedAt: now}
		l.poll = true
		l.record(Event{Step: "checking", Change: l.change.id, Version: l.change.version, Proposer: r.Peer})
	}
}

// Tick handles the passing of time: it forgets silent participants without a lease and advances the current change.
func (l *Leader) Tick(now Time) {
	for key, p := range l.participants {
		if p.leaseEnd <= now && p.lastSeen.Add(2*l.config.Lease) <= now {
			delete(l.participants, key)
		}
	}
	l.advance(now)
}

// advance moves the current change through as many stages as it may pass now.
func (l *Leader) advance(now Time) {
	c := l.change
	if c == nil {
		return
	}
	if c.stage == Checking {
		l.finishChecking(now, c)
	}
	if c.stage == Preparing {
		for _, p := range l.participants {
			if p.leaseEnd > now {
				return
			}
		}
		c.stage = Deciding
		l.decision = &Decision{Change: c.id, Proposal: c.proposal, Version: c.version, Proposer: c.proposer, Body: c.body}
		l.record(Event{Step: "deciding", Change: c.id, Version: c.version, Proposer: c.proposer, ExpiredLeases: c.leases - c.released})
	}
}

// finishChecking ends the checking stage once every live participant has accepted, and withdraws the change if one
// takes too long. During the quiet period participants may hold leases of earlier leaders that this leader does not
// know of, so the stage lasts at least until the period is over.
func (l *Leader) finishChecking(now Time, c *change) {
	if now < l.startedAt.Add(l.config.QuietPeriod()) {
		return
	}
	leases := 0
	for key, p := range l.participants {
		if p.leaseEnd > now {
			leases++
		}
		if l.isLive(now, p) && p.acceptedChange != c.id {
			if now >= max(c.startedAt, l.startedAt.Add(l.config.QuietPeriod())).Add(l.config.checkTimeout()) {
				l.endChange(c, Outcome{Result: Withdrawn, Peer: key.peer, Reason: "did not check it in time"})
			}
			return
		}
	}
	c.stage, c.leases = Preparing, leases
	l.poll = true
}

// isLive reports whether a change needs a participant's acknowledgement: the participant may be using a lease, or it
// waits for one of the version in force.
func (l *Leader) isLive(now Time, p *participantState) bool {
	return p.leaseEnd > now || p.version == l.state.Version && p.lastSeen.Add(l.config.Lease) > now
}

// Applied passes in the log's state after an entry was applied. Only then does a decided version count as in force.
func (l *Leader) Applied(now Time, state State) {
	l.state = state
	if c := l.change; c != nil && state.changeDecided(c.id) {
		l.endChange(c, Outcome{Result: InForce})
	}
	l.poll = true
}

// endChange records the outcome under the ids of the proposal and of the change, and clears the current change.
func (l *Leader) endChange(c *change, o Outcome) {
	o.ID = c.proposal
	l.recordOutcome(o)
	o.ID = c.id
	l.recordOutcome(o)
	l.lastOutcome, l.change, l.poll = o, nil, true
}

func (l *Leader) recordOutcome(o Outcome) {
	l.outcomes[o.ID] = o
	if l.outcomeOrder = append(l.outcomeOrder, o.ID); len(l.outcomeOrder) > maxOutcomes {
		delete(l.outcomes, l.outcomeOrder[0])
		l.outcomeOrder = l.outcomeOrder[1:]
	}
}

// fillResponse writes the current state into a response.
func (l *Leader) fillResponse(resp *LeaseResponse, r LeaseRequest) {
	if r.Version != l.state.Version {
		resp.Body = l.state.Body
	}
	if c := l.change; c != nil {
		resp.Change, resp.Stage, resp.NextVersion, resp.Proposer = c.id, c.stage, c.version, c.proposer
		if c.stage == Checking && r.Change != c.id {
			resp.NextBody = c.body
		}
	}
	resp.ChangeOutcome = l.lastOutcome
	if r.Change != 0 && r.Change != resp.Change {
		resp.ChangeOutcome = l.outcomeOf(r.Change)
	}
	if r.Proposal != 0 {
		switch o, known := l.outcomes[r.Proposal]; {
		case known:
			resp.ProposalOutcome = o
		case l.state.proposalDecided(r.Proposal):
			resp.ProposalOutcome = Outcome{ID: r.Proposal, Result: InForce}
		}
	}
}

// outcomeOf returns the outcome of a change that is not the current one. A change of an earlier leader that is not in
// the log after this leader's barrier can never be decided. For a change older than all that the log's state remembers,
// the result is Undecided, as it may have been decided.
func (l *Leader) outcomeOf(id uint64) Outcome {
	if l.state.changeDecided(id) {
		return Outcome{ID: id, Result: InForce}
	}
	if o, known := l.outcomes[id]; known {
		return o
	}
	if d := l.state.Recent; len(d) == maxRecent && id < d[0].Change {
		return Outcome{ID: id}
	}
	return Outcome{ID: id, Result: Withdrawn, Reason: "the leader that asked for it is gone"}
}

// TakeDecision returns the entry to submit to the log, once.
func (l *Leader) TakeDecision() (Decision, bool) {
	if l.decision == nil {
		return Decision{}, false
	}
	d := *l.decision
	l.decision = nil
	return d, true
}

// TakePoll reports, once, that all participants should send a lease request now.
func (l *Leader) TakePoll() bool {
	poll := l.poll
	l.poll = false
	return poll
}

// TakeEvents returns the events to be logged, each once.
func (l *Leader) TakeEvents() []Event {
	events := l.events
	l.events = nil
	return events
}

func (l *Leader) record(e Event) { l.events = append(l.events, e) }

// LeasesInUse returns how many participants may be using a lease.
func (l *Leader) LeasesInUse(now Time) (n int) {
	for _, p := range l.participants {
		if p.leaseEnd > now {
			n++
		}
	}
	return n
}

// NextTick returns when to call Tick next, as the passing of time alone may advance the current change: an awaited
// lease expires, or the quiet period or the check timeout ends. It returns Never if there is no change, or the change
// waits for the log alone.
func (l *Leader) NextTick(now Time) Time {
	c := l.change
	if c == nil || c.stage == Deciding {
		return Never
	}
	return now.Add(max(l.config.Lease/50, 5*time.Millisecond))
}
