package accord

import (
	"net"
	"slices"
	"time"

	"github.com/hashicorp/raft"
)

// The methods below give the driver of the quotas access to a voter: who leads, whether that is confirmed, and what
// was decided.

// IsVoter reports whether this dispatcher is a voter.
func (a *Accord) IsVoter() bool { return a.voter != nil }

// SetQuotaHandler sets the function that serves the connections to a voter's address that begin with QuotaConn. That
// byte is already read. A connection is closed when serve returns. While no function is set, or nil is, such
// connections are closed at once. On a dispatcher that is not a voter nothing happens.
func (a *Accord) SetQuotaHandler(serve func(net.Conn)) {
	switch {
	case a.voter == nil:
	case serve == nil:
		a.voter.mux.serveQuota.Store(nil)
	default:
		a.voter.mux.serveQuota.Store(&serve)
	}
}

// LeaderTerm returns the term in which this voter leads. ok is false if it does not lead, or has not yet applied all
// that was decided in earlier terms.
func (a *Accord) LeaderTerm() (term uint64, ok bool) {
	if a.voter == nil {
		return 0, false
	}
	a.voter.mu.Lock()
	defer a.voter.mu.Unlock()
	return a.voter.leaderTerm, a.voter.leader != nil
}

// Leader returns the name of the voter that leads as far as this voter knows, or "" if it knows none.
func (a *Accord) Leader() string {
	if a.voter == nil {
		return ""
	}
	_, id := a.voter.log.raft.LeaderWithID()
	return string(id)
}

// ConfirmLeader waits for a majority to confirm, after the call, that this voter still leads in the given term. If it
// returns true, requests that arrived before the call may be answered by the leader of that term. It returns false if
// there was no confirmation.
func (a *Accord) ConfirmLeader(term uint64) bool {
	if a.voter == nil {
		return false
	}
	r := a.voter.log.raft
	return r.State() == raft.Leader && a.voter.verifyLeader() && r.CurrentTerm() == term
}

// TransferLeadership makes another voter the leader if this one leads, so that the new leader can take over before this
// process ends. It waits for the election timeout at most. It returns false if this voter did not lead or still leads.
func (a *Accord) TransferLeadership() bool {
	return a.voter != nil && a.voter.log.raft.State() == raft.Leader && a.voter.log.raft.LeadershipTransfer().Error() == nil
}

// Decided returns the last version that is decided in this voter's log, and its policy.
func (a *Accord) Decided() (version uint64, body []byte) {
	if a.voter == nil {
		return 0, nil
	}
	s := a.voter.log.machine.State()
	return s.Version, s.Body
}

// VoterAddress returns the address of the voter with that name, or "" if there is none.
func (a *Accord) VoterAddress(name string) string {
	for _, p := range a.cfg.Voters {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

// PastPolicy is a policy that was replaced by another one.
type PastPolicy struct {
	Body  []byte
	Until time.Time // when this voter applied the decision that replaced it
}

// PastPolicies returns the latest policies that this process saw replaced, oldest first.
func (a *Accord) PastPolicies() []PastPolicy {
	if a.voter == nil {
		return nil
	}
	m := a.voter.log.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.pastPolicies)
}

// NewLog reports whether this voter's data directory held no log when this process started, so that no earlier process
// of this voter took part in the accord.
func (a *Accord) NewLog() bool { return a.voter != nil && a.voter.log.isNew }
