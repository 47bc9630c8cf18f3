package accord

import (
	"bytes"
	"errors"
	"time"
)

// Admission is what a lessee allows now. Times are of its own clock.
type Admission struct {
	Version       uint64 // that reqs are taken by, 0 for none
	AcceptUntil   Time   // a req may be taken before this
	StartUntil    Time   // an attempt of a req taken by Version may start before this; none of another version may
	UnleasedFrom  Time   // from here on what is taken is taken on no lease (keep alone); Never under stop
	RefusalReason string // why no req is taken, where that was decided; empty while the lease alone limits
}

// Check is what the process must find out: whether its binary and configuration can take a body.
type Check struct {
	Change  uint64 // the draft of this change; 0: the version in force
	Version uint64
	Body    []byte
}

// draft is the change that a lessee was asked to check.
type draft struct {
	id     uint64
	next   uint64
	by     string
	body   []byte
	stance Ack
	why    string
}

// proposal is this dispatcher's own.
type proposal struct {
	id, base uint64
	body     []byte
	change   uint64 // that a leader made of it, 0 while none did
}

// ringed is how many asks are remembered: answers to older ones are ignored.
const ringed = 16

// Participant is one dispatcher's side. Not for concurrent use.
type Participant struct {
	plan  LeaseConfig
	peer  string
	epoch uint64

	seq      uint64
	sent     [ringed]Time // by seq
	answered uint64       // the newest ask that was answered
	floor    uint64       // no grant of an ask up to this one is believed
	due      Time

	version uint64 // whose body is held, checked and in force here
	change  uint64 // that made it, where it was checked here as a draft; else 0
	body    []byte
	gate    Admission
	granted bool // a lease of version was had

	draft    draft
	mine     proposal
	lost     []byte // of the last proposal, where that was withdrawn
	fencing  uint64 // the change that this one has stopped for, 0 for none
	fenced   Time
	closed   bool // nothing begins by version any more
	said     bool // and an ask has said so
	heard    Time // the last answer of a leader
	serving  bool
	refused  uint64 // the version in force that cannot be taken here
	checking uint64 // the version in force that is being checked here
	coming   []byte // its body

	checks []Check
	enters bool
	notes  []Event
}

// NewParticipant starts a dispatcher's side: it knows no version and takes nothing. epoch must be new
// with each start of the process.
func NewParticipant(p LeaseConfig, peer string, epoch uint64) (*Participant, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if peer == "" || len(peer) > MaxName {
		return nil, errors.New("accord: the dispatcher's name has no byte or too many")
	}
	return &Participant{plan: p, peer: peer, epoch: epoch, gate: Admission{UnleasedFrom: Never}}, nil
}

// NextRequest returns the ask to send now, if one is.
func (l *Participant) NextRequest(now Time) (LeaseRequest, bool) {
	if now < l.due {
		return LeaseRequest{}, false
	}
	l.seq++
	l.sent[l.seq%ringed] = now
	l.due = now.Add(l.plan.RenewInterval())
	a := LeaseRequest{Peer: l.peer, Epoch: l.epoch, Seq: l.seq, Version: l.version}
	if d := &l.draft; d.id != 0 && d.stance != NoAck {
		a.Change, a.Ack, a.Reason = d.id, d.stance, d.why
	}
	if l.fencing != 0 {
		a.Change, a.Ack, a.Reason = l.fencing, NoAck, ""
		if l.closed {
			a.Ack = Ready
			if !l.said { // the keeper counts nothing more of what it lent for asks before this
				l.said, l.floor = true, l.seq-1
			}
		}
	}
	if l.mine.id != 0 {
		a.Proposal, a.BaseVersion, a.Body = l.mine.id, l.mine.base, l.mine.body
	}
	return a, true
}

// RequestNow makes the next ask due: a nudge came, or a new link.
func (l *Participant) RequestNow() { l.due = 0 }

// Propose proposes a body as the version after the one in force here. id must be new.
func (l *Participant) Propose(id uint64, body []byte) error {
	switch {
	case l.mine.id != 0:
		return errors.New("a proposal of this dispatcher is under way")
	case id&ProposalBit == 0:
		return errors.New("the id is not a proposal's")
	case len(body) > MaxBody:
		return errors.New("the policy is too long")
	}
	l.lost = nil
	l.mine = proposal{id: id, base: l.version, body: body}
	l.note(Event{Step: "proposed", Version: l.version + 1, BaseVersion: l.version})
	l.RequestNow()
	return nil
}

// HandleResponse takes an answer. One that is late, told twice or for another life changes nothing.
func (l *Participant) HandleResponse(now Time, a LeaseResponse) {
	if a.Peer != l.peer || a.Epoch != l.epoch || !a.IsLeader || a.Seq <= l.answered || a.Seq > l.seq || l.seq-a.Seq >= ringed {
		return
	}
	if a.Version < l.version {
		return // of a leader that was deposed: its leases are not confirmed
	}
	l.answered, l.heard = a.Seq, now
	l.ends(a)
	l.stage(now, a)
	if a.Version > l.version {
		l.news(a)
	}
	if a.Granted && a.Version == l.version && a.Seq > l.floor {
		l.lease(now, l.sent[a.Seq%ringed])
	}
	l.show(now)
}

// ends takes what became of changes.
func (l *Participant) ends(a LeaseResponse) {
	if o := a.ProposalOutcome; o.ID != 0 && o.ID == l.mine.id && o.Result != Undecided {
		if o.Result == Withdrawn && (l.mine.change == 0 || l.mine.change != l.draft.id) { // else told below, as a change
			l.note(Event{Step: "withdrawn", Version: l.mine.base + 1, Peer: o.Peer, Reason: o.Reason})
		}
		l.lost = nil
		if o.Result == Withdrawn {
			l.lost = l.mine.body
		}
		l.mine = proposal{}
	}
	d := &l.draft
	if d.id == 0 || a.ChangeOutcome.ID != d.id || a.ChangeOutcome.Result == Undecided {
		return
	}
	if a.ChangeOutcome.Result == Withdrawn {
		l.note(Event{Step: "withdrawn", Change: d.id, Version: d.next, Proposer: d.by, Peer: a.ChangeOutcome.Peer, Reason: a.ChangeOutcome.Reason})
		*d = draft{}
	}
}

// stage takes how far the change under way has come.
func (l *Participant) stage(now Time, a LeaseResponse) {
	if a.Change != 0 && a.Proposer == l.peer && l.mine.id != 0 {
		l.mine.change = a.Change
	}
	if l.fencing != 0 && a.Change != l.fencing && a.Seq > l.floor {
		l.fencing, l.closed = 0, false // it is over; what may be taken, the next lease says
	}
	switch a.Stage {
	case Checking:
		if l.draft.id != a.Change && a.NextBody != nil {
			l.draft = draft{id: a.Change, next: a.NextVersion, by: a.Proposer, body: a.NextBody}
			l.checks = append(l.checks, Check{Change: a.Change, Version: a.NextVersion, Body: a.NextBody})
		}
	case Preparing, Deciding:
		if l.fencing == a.Change {
			return
		}
		l.fencing, l.fenced, l.closed, l.said, l.floor = a.Change, now, false, false, l.seq
		l.gate.AcceptUntil = 0
		l.gate.UnleasedFrom = Never
		l.gate.StartUntil = min(l.gate.StartUntil, now.Add(l.plan.Drain()))
		l.note(Event{Step: "preparing", Change: a.Change, Version: a.NextVersion, Proposer: a.Proposer})
	}
}

// news takes a version in force that is not held here: one that was checked as a draft is taken up, another
// is checked first.
func (l *Participant) news(a LeaseResponse) {
	l.gate, l.granted = Admission{Version: l.version, UnleasedFrom: Never}, false // where it held still, it holds no more
	switch {
	case l.draft.stance == Accepted && l.draft.next == a.Version && bytes.Equal(l.draft.body, a.Body):
		l.adopt(a.Version, a.Body)
	case l.checking != a.Version && l.refused != a.Version:
		l.checking, l.coming = a.Version, a.Body
		l.checks = append(l.checks, Check{Version: a.Version, Body: a.Body})
	}
}

// adopt makes a version the one held: what is taken from the next lease on is taken by it. The old
// one is over here, whatever lease of it was had.
func (l *Participant) adopt(version uint64, body []byte) {
	l.change = 0
	if l.draft.stance == Accepted && l.draft.next == version && bytes.Equal(l.draft.body, body) {
		l.change = l.draft.id
	}
	l.version, l.body = version, body
	l.gate = Admission{Version: version, UnleasedFrom: Never}
	l.granted, l.checking, l.coming, l.refused = false, 0, nil, 0
	l.draft, l.fencing, l.closed = draft{}, 0, false
	l.floor = l.seq
	l.RequestNow()
}

// ReportCheck tells what a Check found; err is why the body cannot be taken.
func (l *Participant) ReportCheck(now Time, c Check, err error) {
	why := ""
	if err != nil {
		why = cut(err.Error())
	}
	switch d := &l.draft; {
	case c.Change != 0:
		if c.Change != d.id {
			return
		}
		d.stance, d.why = Accepted, why
		if err != nil {
			d.stance = Refused
		}
		l.note(Event{Step: "checked", Change: d.id, Version: d.next, Proposer: d.by, Accepted: err == nil, Reason: why})
	case c.Version != l.checking:
		return
	case err != nil:
		l.refused, l.checking, l.coming = c.Version, 0, nil
		l.note(Event{Step: "cannot take", Version: c.Version, Reason: why})
	default:
		l.adopt(l.checking, l.coming)
	}
	l.RequestNow()
	l.show(now)
}

// lease takes a grant of the version held, for an ask sent at a time.
func (l *Participant) lease(now, sent Time) {
	until := sent.Add(l.plan.UsableLease())
	if until <= l.gate.StartUntil && l.gate.AcceptUntil > 0 || now >= until {
		return
	}
	l.gate = Admission{Version: l.version, AcceptUntil: until.Add(-l.plan.Drain()), StartUntil: until, UnleasedFrom: Never}
	if l.plan.ContinueWhenCut {
		l.gate.UnleasedFrom = l.gate.AcceptUntil
		l.gate.AcceptUntil, l.gate.StartUntil = Never, Never
	}
	if !l.granted {
		l.granted, l.enters = true, true
		l.note(Event{Step: "in force", Change: l.change, Version: l.version})
	}
}

// Tick lets time pass. waiting is how many reqs were taken by the version held and have begun
// nowhere; with none left, or the drain over, a lessee that has stopped closes the version.
func (l *Participant) Tick(now Time, waiting int) {
	if l.fencing != 0 && !l.closed && (waiting == 0 || now >= l.fenced.Add(l.plan.Drain())) {
		l.closed = true
		l.gate.StartUntil = 0
		l.note(Event{Step: "ready", Change: l.fencing, Version: l.version + 1, Elapsed: time.Duration(now - l.fenced)})
		l.RequestNow()
	}
	if l.plan.ContinueWhenCut && l.granted && l.gate.AcceptUntil == 0 && now >= max(l.fenced, l.heard).Add(l.plan.Lease) {
		l.fencing, l.closed = 0, false // cut off since it was told to stop
		l.gate = Admission{Version: l.version, AcceptUntil: Never, StartUntil: Never, UnleasedFrom: now}
	}
	l.show(now)
}

// show notes when taking begins and ends.
func (l *Participant) show(now Time) {
	serving := now < l.gate.AcceptUntil
	if serving == l.serving {
		return
	}
	l.serving = serving
	if serving {
		l.note(Event{Step: "serving", Version: l.version})
		return
	}
	l.note(Event{Step: "fenced", Version: l.version, Reason: l.NotAcceptingReason()})
}

// NotAcceptingReason says why nothing is taken, where nothing is.
func (l *Participant) NotAcceptingReason() string {
	switch {
	case l.fencing != 0:
		return "preparing"
	case l.refused > l.version:
		return "cannot take"
	case l.version == 0:
		return "no version yet"
	}
	return "lease over"
}

// Admission is what is allowed now, until the next event.
func (l *Participant) Admission() Admission { return l.gate }

// Serving says whether reqs are taken, as of the last event.
func (l *Participant) Serving() bool { return l.serving }

// Current is the version held and its body, which is the lessee's.
func (l *Participant) Current() (uint64, []byte) { return l.version, l.body }

// TakeActivation hands out the version held, once, at its first lease: the process puts it in force before it opens
// the gate to reqs.
func (l *Participant) TakeActivation() (version uint64, body []byte, ok bool) {
	ok, l.enters = l.enters, false
	return l.version, l.body, ok
}

// TakeChecks hands out what is to be checked; Checked takes what was found.
func (l *Participant) TakeChecks() []Check {
	c := l.checks
	l.checks = nil
	return c
}

// TakeEvents hands out what is to be logged.
func (l *Participant) TakeEvents() []Event {
	n := l.notes
	l.notes = nil
	return n
}

func (l *Participant) note(n Event) { l.notes = append(l.notes, n) }

// RetryCheck has a version in force that could not be taken checked again: the configuration has changed.
func (l *Participant) RetryCheck() { l.refused = 0 }

// WithdrawnProposal is the body of this dispatcher's last proposal where that was withdrawn, else nil.
func (l *Participant) WithdrawnProposal() []byte { return l.lost }

// ProposalPending says whether a proposal of this dispatcher has no outcome yet.
func (l *Participant) ProposalPending() bool { return l.mine.id != 0 }
