package accord

import (
	"net"
	"slices"
	"time"

	"github.com/hashicorp/raft"
)

// What other parts of the fleet ask of a voter: who leads, whether that still holds, and what was decided.

// IsVoter says whether this dispatcher is a voter.
func (a *Accord) IsVoter() bool { return a.voter != nil }

// SetQuotaHandler has f take over the connections to a voter's address that begin with QuotaMark, which it has read;
// f returns when it needs the connection no more. Until it is set, and after it is nil, they are closed.
// Nothing happens where this dispatcher is no voter.
func (a *Accord) SetQuotaHandler(f func(net.Conn)) {
	switch {
	case a.voter == nil:
	case f == nil:
		a.voter.mux.serveQuota.Store(nil)
	default:
		a.voter.mux.serveQuota.Store(&f)
	}
}

// LeaderTerm says whether this voter leads, with all that was decided before its term applied, and which term.
func (a *Accord) LeaderTerm() (term uint64, ok bool) {
	if a.voter == nil {
		return 0, false
	}
	a.voter.mu.Lock()
	defer a.voter.mu.Unlock()
	return a.voter.leaderTerm, a.voter.leader != nil
}

// Leader is the name of the voter that leads as far as this voter knows; empty where it knows none.
func (a *Accord) Leader() string {
	if a.voter == nil {
		return ""
	}
	_, id := a.voter.log.raft.LeaderWithID()
	return string(id)
}

// ConfirmLeader asks a majority, from now on, whether this voter's term still lasts: what came before the call may
// then be answered as the leader of that term. It waits for their word; false where it did not come.
func (a *Accord) ConfirmLeader(term uint64) bool {
	if a.voter == nil {
		return false
	}
	r := a.voter.log.raft
	return r.State() == raft.Leader && a.voter.verifyLeader() && r.CurrentTerm() == term
}

// TransferLeadership has another voter lead where this one does, so that what hangs on who leads can be handed on before this process
// ends. It waits for an election's time at most; false where this voter did not lead, or still does.
func (a *Accord) TransferLeadership() bool {
	return a.voter != nil && a.voter.log.raft.State() == raft.Leader && a.voter.log.raft.LeadershipTransfer().Error() == nil
}

// Decided is the version decided last as this voter's log has it, and its policy.
func (a *Accord) Decided() (version uint64, body []byte) {
	if a.voter == nil {
		return 0, nil
	}
	s := a.voter.log.machine.State()
	return s.Version, s.Body
}

// VoterAddress is where a voter of that name listens; empty where there is none.
func (a *Accord) VoterAddress(name string) string {
	for _, p := range a.cfg.Voters {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

// PastPolicy is a policy after which another was decided, as this voter saw it at a time.
type PastPolicy struct {
	Body  []byte
	Until time.Time
}

// PastPolicies are the last policies before the one decided last that this process applied, oldest first.
func (a *Accord) PastPolicies() []PastPolicy {
	if a.voter == nil {
		return nil
	}
	m := a.voter.log.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.pastPolicies)
}

// NewLog says whether this voter's folder held no log when this process started: no earlier process of it took part.
func (a *Accord) NewLog() bool { return a.voter != nil && a.voter.log.isNew }
