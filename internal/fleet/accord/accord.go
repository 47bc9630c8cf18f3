// Package accord decides which version of the fleet's policy is in force. One version is in force at a time, on every
// dispatcher that accepts requests, also while some dispatchers are down (docs/design/accord.md states the guarantee
// and derives the time bounds). The package is pure decision code: callers pass in times and messages and carry out
// what it returns. It reads no clock, opens no socket and starts no goroutine.
//
// A Leader runs where the leader of a majority log runs (the log itself is a library's). It receives proposals, has
// every dispatcher check them, grants leases of the version in force and determines when the next version may be
// decided. State is the result of applying the log's entries. A Participant runs in each dispatcher.
package accord

import (
	"errors"
	"fmt"
	"time"
)

// Time is a reading of one process's own monotonic clock, in nanoseconds from any origin. Readings
// of two processes are never compared.
type Time int64

// Add returns the time t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Never is later than any clock reading.
const Never = Time(1<<63 - 1)

// ProposalBit is set in the id of every proposal and in no change's id, so that the two cannot be confused.
const ProposalBit = uint64(1) << 63

// Limits that protect against a peer that sends too much.
const (
	MaxBody         = 64 << 10 // bytes of a policy
	MaxName         = 64       // bytes of a dispatcher's name
	MaxReason       = 512      // bytes of a reason
	MaxParticipants = 4096     // process incarnations that a leader tracks; any further one gets no lease
	maxOutcomes     = 64       // outcomes that a leader remembers
	maxRecent       = 16       // decisions that the log's state remembers
)

// LeaseConfig holds the lease parameters of the settings. They must be equal on all dispatchers.
type LeaseConfig struct {
	Lease           time.Duration // L: duration of a lease by the leader's clock
	Drift           float64       // ρ: clocks run at rates within 1 ± ρ of real time
	ContinueWhenCut bool          // a dispatcher without contact to the leader continues with the last version it knew, even if a newer one is decided
}

// Check returns an error that names the field that is out of range.
func (c LeaseConfig) Check() error {
	switch {
	case c.Lease < 100*time.Millisecond || c.Lease > 10*time.Minute:
		return errors.New("accord: lease is not between 100 ms and 10 min")
	case !(c.Drift >= 0 && c.Drift <= 0.1):
		return errors.New("accord: drift is not between 0 and 0.1")
	}
	return nil
}

// UsableLease is D = L(1−ρ)/(1+ρ): how long after it sent the lease request a participant may start attempts under
// the lease, by its own clock.
func (c LeaseConfig) UsableLease() time.Duration {
	return time.Duration(float64(c.Lease) * (1 - c.Drift) / (1 + c.Drift))
}

// QuietPeriod is W = L(1+ρ)/(1−ρ), rounded up: how long a new leader decides nothing, by its own clock. After it all
// leases of earlier leaders have expired.
func (c LeaseConfig) QuietPeriod() time.Duration {
	return time.Duration(float64(c.Lease)*(1+c.Drift)/(1-c.Drift)) + 1
}

// Drain is d: how long after a dispatcher has stopped accepting requests it may still start those it had accepted.
func (c LeaseConfig) Drain() time.Duration { return c.Lease / 6 }

// RenewInterval is the time between two lease requests of a participant.
func (c LeaseConfig) RenewInterval() time.Duration { return c.Lease / 3 }

// checkTimeout is how long participants may check a change before it is withdrawn.
func (c LeaseConfig) checkTimeout() time.Duration { return 4 * c.Lease }

// Ack is a participant's acknowledgement of the current change.
type Ack uint8

// Acknowledgements.
const (
	NoAck    Ack = iota // nothing to report yet
	Accepted            // its binary and configuration can apply the next version
	Refused             // they cannot; Reason says why
	Ready               // it has stopped accepting requests and starts none under the old version any more
)

// Stage is the stage that the current change has reached.
type Stage uint8

// Stages. Before them there is only a proposal, and after them the change has a Result.
const (
	Idle      Stage = iota // there is no change
	Checking               // all continue with the old version and check the new one
	Preparing              // no lease is granted; all stop accepting requests
	Deciding               // the decision was submitted to the log
)

// Result is how a change or a proposal ended.
type Result uint8

// Results.
const (
	Undecided Result = iota // not known, or not ended yet
	InForce                 // decided by a majority: the version came into force
	Withdrawn               // it never came into force and never will
)

// Outcome is the result of a change or of a proposal.
type Outcome struct {
	ID           uint64
	Result       Result
	Peer, Reason string // of a withdrawal: the dispatcher that caused it, and why
}

// LeaseRequest is what a participant sends to the leader: at each RenewInterval, and at once when it has something to
// report.
type LeaseRequest struct {
	Peer        string
	Epoch       uint64 // new with each start of the process
	Seq         uint64 // numbers the requests of an epoch from 1
	Version     uint64 // the version that the participant has and can apply, 0 for none
	Change      uint64 // the change that Ack is about, 0 for none
	Ack         Ack
	Reason      string
	Proposal    uint64 // id of the participant's own proposal, 0 for none; repeated until its outcome is known
	BaseVersion uint64 // the version that the proposal changes
	Body        []byte // of the proposal
}

// LeaseResponse is a voter's reply to a lease request.
type LeaseResponse struct {
	Peer            string
	Epoch, Seq      uint64 // of the request
	IsLeader        bool   // if false, the only further field that counts is Leader
	Leader          string // the leader's name, if known
	Term            uint64
	Version         uint64 // the version decided last, 0 for none yet
	Granted         bool   // this response grants a lease of Version
	Body            []byte // of Version, if the request names another version
	Change          uint64 // the current change, 0 for none
	Stage           Stage
	NextVersion     uint64  // the version that Change would bring into force
	Proposer        string  // of Change
	NextBody        []byte  // of NextVersion, while it is checked and the request has no Ack of it
	ChangeOutcome   Outcome // of the change that the request names, else of the last one that ended
	ProposalOutcome Outcome // of the participant's own proposal, once it has ended
}

// Event is one step of a change, to be logged by the process that took it.
type Event struct {
	Step                   string // as docs/design/accord.md names the events
	Change, Version        uint64
	BaseVersion            uint64
	Proposer, Peer, Reason string
	Accepted               bool
	ExpiredLeases          int           // leases that the leader let expire, as their holders did not report Ready
	Elapsed                time.Duration // from the stop until the participant was ready
}

func truncateReason(s string) string {
	if len(s) > MaxReason {
		return s[:MaxReason]
	}
	return s
}

func staleBaseReason(base, version uint64) string {
	return fmt.Sprintf("made against version %d, and %d is in force", base, version)
}
