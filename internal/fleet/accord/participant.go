package accord

import (
	"bytes"
	"errors"
	"time"
)

// Admission says which requests a participant may accept and start now. Times are by its own clock. Attempts of requests
// that were accepted under another version than Version may not start at all.
type Admission struct {
	Version       uint64 // under which requests are accepted, 0 for none
	AcceptUntil   Time   // a request may be accepted before this time
	StartUntil    Time   // an attempt of a request accepted under Version may start before this time
	UnleasedFrom  Time   // from this time on requests are accepted without a lease (only with ContinueWhenCut, else Never)
	RefusalReason string // why no request is accepted, if that was decided; empty if the lease alone sets the limit
}

// Check is a question to the process: can its binary and configuration apply this policy?
type Check struct {
	Change  uint64 // the change that would bring Version into force; 0 if it is in force already
	Version uint64
	Body    []byte
}

// pendingChange is the change that the participant was asked to check, and its answer.
type pendingChange struct {
	id       uint64
	version  uint64
	proposer string
	body     []byte
	ack      Ack
	reason   string
}

// proposal is this dispatcher's own proposal.
type proposal struct {
	id, baseVersion uint64
	body            []byte
	change          uint64 // that a leader began for it, 0 while none is known
}

// requestHistory is how many requests are remembered with their times; responses to older ones are ignored.
const requestHistory = 16

// Participant is the part of the accord that runs in each dispatcher. Not safe for concurrent use.
type Participant struct {
	config LeaseConfig
	peer   string
	epoch  uint64

	seq              uint64
	sentAt           [requestHistory]Time // by seq modulo requestHistory
	lastAnswered     uint64               // seq of the newest request that was answered
	ignoreGrantsUpTo uint64               // grants for requests up to this seq are ignored
	nextRequestAt    Time

	version   uint64 // the adopted version, 0 for none: its policy was checked, and requests are accepted under it
	change    uint64 // that brought version into force, if this dispatcher checked it as a pending change; else 0
	body      []byte
	admission Admission
	hasLease  bool // a lease of version was granted

	pending         pendingChange
	own             proposal
	withdrawnBody   []byte // of the last proposal, if it was withdrawn
	stoppedFor      uint64 // the change for which this dispatcher has stopped accepting requests, 0 for none
	stoppedAt       Time
	drained         bool // no attempt starts under version any more
	drainReported   bool // and a request has reported that
	lastHeard       Time // when the last response of a leader arrived
	serving         bool
	refusedVersion  uint64 // the version in force that cannot be applied here
	checkingVersion uint64 // the version in force that is being checked here
	checkingBody    []byte // the policy of checkingVersion

	checks        []Check
	activationDue bool
	events        []Event
}

// NewParticipant returns a participant that knows no version and accepts no request yet. epoch must be new with each
// start of the process.
func NewParticipant(config LeaseConfig, peer string, epoch uint64) (*Participant, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	if peer == "" || len(peer) > MaxName {
		return nil, errors.New("accord: the dispatcher's name is empty or too long")
	}
	return &Participant{config: config, peer: peer, epoch: epoch, admission: Admission{UnleasedFrom: Never}}, nil
}

// NextRequest returns the lease request to send now, if one is due.
func (p *Participant) NextRequest(now Time) (LeaseRequest, bool) {
	if now < p.nextRequestAt {
		return LeaseRequest{}, false
	}
	p.seq++
	p.sentAt[p.seq%requestHistory] = now
	p.nextRequestAt = now.Add(p.config.RenewInterval())
	r := LeaseRequest{Peer: p.peer, Epoch: p.epoch, Seq: p.seq, Version: p.version}
	if pending := &p.pending; pending.id != 0 && pending.ack != NoAck {
		r.Change, r.Ack, r.Reason = pending.id, pending.ack, pending.reason
	}
	if p.stoppedFor != 0 {
		r.Change, r.Ack, r.Reason = p.stoppedFor, NoAck, ""
		if p.drained {
			r.Ack = Ready
			if !p.drainReported { // on this request the leader counts the leases that it granted for earlier ones as given up
				p.drainReported, p.ignoreGrantsUpTo = true, p.seq-1
			}
		}
	}
	if p.own.id != 0 {
		r.Proposal, r.BaseVersion, r.Body = p.own.id, p.own.baseVersion, p.own.body
	}
	return r, true
}

// RequestNow makes the next lease request due at once: the leader polled, or there is a new connection.
func (p *Participant) RequestNow() { p.nextRequestAt = 0 }

// Propose proposes a policy as the successor of the adopted version. id must be new.
func (p *Participant) Propose(id uint64, body []byte) error {
	switch {
	case p.own.id != 0:
		return errors.New("a proposal of this dispatcher is under way")
	case id&ProposalBit == 0:
		return errors.New("the id is not a proposal's")
	case len(body) > MaxBody:
		return errors.New("the policy is too long")
	}
	p.withdrawnBody = nil
	p.own = proposal{id: id, baseVersion: p.version, body: body}
	p.record(Event{Step: "proposed", Version: p.version + 1, BaseVersion: p.version})
	p.RequestNow()
	return nil
}

// HandleResponse handles a response. One that is out of date, repeated or for another incarnation is ignored.
func (p *Participant) HandleResponse(now Time, r LeaseResponse) {
	if r.Peer != p.peer || r.Epoch != p.epoch || !r.IsLeader || r.Seq <= p.lastAnswered || r.Seq > p.seq || p.seq-r.Seq >= requestHistory {
		return
	}
	if r.Version < p.version {
		return // from a deposed leader, which no majority has confirmed: its leases do not count
	}
	p.lastAnswered, p.lastHeard = r.Seq, now
	p.handleOutcomes(r)
	p.handleStage(now, r)
	if r.Version > p.version {
		p.handleNewVersion(r)
	}
	if r.Granted && r.Version == p.version && r.Seq > p.ignoreGrantsUpTo {
		p.applyLease(now, p.sentAt[r.Seq%requestHistory])
	}
	p.recordServing(now)
}

// handleOutcomes handles the outcomes of the dispatcher's own proposal and of the pending change.
func (p *Participant) handleOutcomes(r LeaseResponse) {
	if o := r.ProposalOutcome; o.ID != 0 && o.ID == p.own.id && o.Result != Undecided {
		if o.Result == Withdrawn && (p.own.change == 0 || p.own.change != p.pending.id) { // else recorded below, as a change
			p.record(Event{Step: "withdrawn", Version: p.own.baseVersion + 1, Peer: o.Peer, Reason: o.Reason})
		}
		p.withdrawnBody = nil
		if o.Result == Withdrawn {
			p.withdrawnBody = p.own.body
		}
		p.own = proposal{}
	}
	pending := &p.pending
	if pending.id == 0 || r.ChangeOutcome.ID != pending.id || r.ChangeOutcome.Result == Undecided {
		return
	}
	if r.ChangeOutcome.Result == Withdrawn {
		p.record(Event{Step: "withdrawn", Change: pending.id, Version: pending.version, Proposer: pending.proposer, Peer: r.ChangeOutcome.Peer, Reason: r.ChangeOutcome.Reason})
		*pending = pendingChange{}
	}
}

// handleStage handles the stage of the current change.
func (p *Participant) handleStage(now Time, r LeaseResponse) {
	if r.Change != 0 && r.Proposer == p.peer && p.own.id != 0 {
		p.own.change = r.Change
	}
	if p.stoppedFor != 0 && r.Change != p.stoppedFor && r.Seq > p.ignoreGrantsUpTo {
		p.stoppedFor, p.drained = 0, false // the change has ended; the next lease says what may be accepted
	}
	switch r.Stage {
	case Checking:
		if p.pending.id != r.Change && r.NextBody != nil {
			p.pending = pendingChange{id: r.Change, version: r.NextVersion, proposer: r.Proposer, body: r.NextBody}
			p.checks = append(p.checks, Check{Change: r.Change, Version: r.NextVersion, Body: r.NextBody})
		}
	case Preparing, Deciding:
		if p.stoppedFor == r.Change {
			return
		}
		p.stoppedFor, p.stoppedAt, p.drained, p.drainReported, p.ignoreGrantsUpTo = r.Change, now, false, false, p.seq
		p.admission.AcceptUntil = 0
		p.admission.UnleasedFrom = Never
		p.admission.StartUntil = min(p.admission.StartUntil, now.Add(p.config.Drain()))
		p.record(Event{Step: "preparing", Change: r.Change, Version: r.NextVersion, Proposer: r.Proposer})
	}
}

// handleNewVersion handles a version in force that is newer than the adopted one. It is adopted at once if its policy
// was checked and accepted as the pending change; otherwise it is checked first.
func (p *Participant) handleNewVersion(r LeaseResponse) {
	// The old version is no longer in force, whatever lease of it is left.
	p.admission, p.hasLease = Admission{Version: p.version, UnleasedFrom: Never}, false
	switch {
	case p.pending.ack == Accepted && p.pending.version == r.Version && bytes.Equal(p.pending.body, r.Body):
		p.adopt(r.Version, r.Body)
	case p.checkingVersion != r.Version && p.refusedVersion != r.Version:
		p.checkingVersion, p.checkingBody = r.Version, r.Body
		p.checks = append(p.checks, Check{Version: r.Version, Body: r.Body})
	}
}

// adopt adopts a version: requests are accepted under it from its first lease on. Any lease of the old version ends.
func (p *Participant) adopt(version uint64, body []byte) {
	p.change = 0
	if p.pending.ack == Accepted && p.pending.version == version && bytes.Equal(p.pending.body, body) {
		p.change = p.pending.id
	}
	p.version, p.body = version, body
	p.admission = Admission{Version: version, UnleasedFrom: Never}
	p.hasLease, p.checkingVersion, p.checkingBody, p.refusedVersion = false, 0, nil, 0
	p.pending, p.stoppedFor, p.drained = pendingChange{}, 0, false
	p.ignoreGrantsUpTo = p.seq
	p.RequestNow()
}

// ReportCheck passes in the result of a Check. err says why the policy cannot be applied; it is nil if it can.
func (p *Participant) ReportCheck(now Time, c Check, err error) {
	reason := ""
	if err != nil {
		reason = truncateReason(err.Error())
	}
	switch pending := &p.pending; {
	case c.Change != 0:
		if c.Change != pending.id {
			return
		}
		pending.ack, pending.reason = Accepted, reason
		if err != nil {
			pending.ack = Refused
		}
		p.record(Event{Step: "checked", Change: pending.id, Version: pending.version, Proposer: pending.proposer, Accepted: err == nil, Reason: reason})
	case c.Version != p.checkingVersion:
		return
	case err != nil:
		p.refusedVersion, p.checkingVersion, p.checkingBody = c.Version, 0, nil
		p.record(Event{Step: "cannot take", Version: c.Version, Reason: reason})
	default:
		p.adopt(p.checkingVersion, p.checkingBody)
	}
	p.RequestNow()
	p.recordServing(now)
}

// applyLease applies a lease of the adopted version, granted for a request that was sent at the time sent.
func (p *Participant) applyLease(now, sent Time) {
	until := sent.Add(p.config.UsableLease())
	if until <= p.admission.StartUntil && p.admission.AcceptUntil > 0 || now >= until {
		return
	}
	p.admission = Admission{Version: p.version, AcceptUntil: until.Add(-p.config.Drain()), StartUntil: until, UnleasedFrom: Never}
	if p.config.ContinueWhenCut {
		p.admission.UnleasedFrom = p.admission.AcceptUntil
		p.admission.AcceptUntil, p.admission.StartUntil = Never, Never
	}
	if !p.hasLease {
		p.hasLease, p.activationDue = true, true
		p.record(Event{Step: "in force", Change: p.change, Version: p.version})
	}
}

// Tick handles the passing of time. waiting is how many requests were accepted under the adopted version and have
// not started yet. A participant that has stopped for a change is ready once none is left or the drain is over.
func (p *Participant) Tick(now Time, waiting int) {
	if p.stoppedFor != 0 && !p.drained && (waiting == 0 || now >= p.stoppedAt.Add(p.config.Drain())) {
		p.drained = true
		p.admission.StartUntil = 0
		p.record(Event{Step: "ready", Change: p.stoppedFor, Version: p.version + 1, Elapsed: time.Duration(now - p.stoppedAt)})
		p.RequestNow()
	}
	if p.config.ContinueWhenCut && p.hasLease && p.admission.AcceptUntil == 0 && now >= max(p.stoppedAt, p.lastHeard).Add(p.config.Lease) {
		p.stoppedFor, p.drained = 0, false // no contact to the leader since it asked to stop
		p.admission = Admission{Version: p.version, AcceptUntil: Never, StartUntil: Never, UnleasedFrom: now}
	}
	p.recordServing(now)
}

// recordServing records an event when the dispatcher starts or stops accepting requests.
func (p *Participant) recordServing(now Time) {
	serving := now < p.admission.AcceptUntil
	if serving == p.serving {
		return
	}
	p.serving = serving
	if serving {
		p.record(Event{Step: "serving", Version: p.version})
		return
	}
	p.record(Event{Step: "fenced", Version: p.version, Reason: p.NotAcceptingReason()})
}

// NotAcceptingReason returns why no request is accepted. It means nothing while requests are accepted.
func (p *Participant) NotAcceptingReason() string {
	switch {
	case p.stoppedFor != 0:
		return "preparing"
	case p.refusedVersion > p.version:
		return "cannot take"
	case p.version == 0:
		return "no version yet"
	}
	return "lease over"
}

// Admission returns what is allowed until the next call that changes the participant.
func (p *Participant) Admission() Admission { return p.admission }

// Serving reports whether requests were accepted as of the last call that changed the participant.
func (p *Participant) Serving() bool { return p.serving }

// Current returns the adopted version and its policy. The participant keeps the slice: it must not be changed.
func (p *Participant) Current() (uint64, []byte) { return p.version, p.body }

// TakeActivation returns the adopted version, once, at its first lease. The process must apply it before it
// accepts requests under the new Admission.
func (p *Participant) TakeActivation() (version uint64, body []byte, ok bool) {
	ok, p.activationDue = p.activationDue, false
	return p.version, p.body, ok
}

// TakeChecks returns the checks to be made, each once. ReportCheck takes their results.
func (p *Participant) TakeChecks() []Check {
	checks := p.checks
	p.checks = nil
	return checks
}

// TakeEvents returns the events to be logged, each once.
func (p *Participant) TakeEvents() []Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Participant) record(e Event) { p.events = append(p.events, e) }

// RetryCheck has the version in force checked again if it could not be applied: the configuration has changed.
func (p *Participant) RetryCheck() { p.refusedVersion = 0 }

// WithdrawnProposal returns the policy of this dispatcher's last proposal if it was withdrawn, else nil.
func (p *Participant) WithdrawnProposal() []byte { return p.withdrawnBody }

// ProposalPending reports whether a proposal of this dispatcher has no outcome yet.
func (p *Participant) ProposalPending() bool { return p.own.id != 0 }
