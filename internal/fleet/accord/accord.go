// Package accord decides which version of the fleet's policy holds: one at a time, everywhere or
// nowhere, also while some dispatchers are down (docs/design/accord.md has the promise and derives
// the bounds). It decides alone: times and messages are handed in, what to do is handed out, and no
// clock is read, no socket opened and no goroutine started.
//
// A Keeper is the side of the leader of a majority log (a library's, not this package's): it takes
// proposals, has them checked, lends leases of the version in force and says when the next may be
// decided. State is what the log's entries make. A Lessee is the side of each dispatcher.
package accord

import (
	"errors"
	"fmt"
	"time"
)

// Time is a reading of one process's own monotonic clock, in nanoseconds from any origin. Readings
// of two processes are never compared.
type Time int64

// Add is t moved on by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Never is a time that no clock reaches.
const Never = Time(1<<63 - 1)

// ProposalBit is set in every proposal's id and in no change's: neither is taken for the other.
const ProposalBit = uint64(1) << 63

// Limits, each against a peer that sends too much.
const (
	MaxBody         = 64 << 10 // bytes of a policy
	MaxName         = 64       // bytes of a dispatcher's name
	MaxReason       = 512      // bytes of a reason
	MaxParticipants = 4096     // lives that a keeper remembers; one beyond gets no lease
	keptEnds        = 64       // ends of changes that a keeper remembers
	keptDone        = 16       // decided changes that the log's state remembers
)

// LeaseConfig is the accord as the settings declare it: the same at all dispatchers.
type LeaseConfig struct {
	Lease           time.Duration // L, by the keeper's clock
	Drift           float64       // ρ: clocks run at rates within 1 ± ρ of real time
	ContinueWhenCut bool          // a dispatcher that is cut off goes on by the version it knew
}

// Check names the field that is out of range.
func (p LeaseConfig) Check() error {
	switch {
	case p.Lease < 100*time.Millisecond || p.Lease > 10*time.Minute:
		return errors.New("accord: lease is not between 100 ms and 10 min")
	case !(p.Drift >= 0 && p.Drift <= 0.1):
		return errors.New("accord: drift is not between 0 and 0.1")
	}
	return nil
}

// UsableLease is D = L(1−ρ)/(1+ρ): how long after its ask a lessee may start by the lease, by its own clock.
func (p LeaseConfig) UsableLease() time.Duration {
	return time.Duration(float64(p.Lease) * (1 - p.Drift) / (1 + p.Drift))
}

// QuietPeriod is W = L(1+ρ)/(1−ρ), rounded up: how long a new leader decides nothing, by its own clock.
func (p LeaseConfig) QuietPeriod() time.Duration {
	return time.Duration(float64(p.Lease)*(1+p.Drift)/(1-p.Drift)) + 1
}

// Drain is d: how long what was taken may still begin after its dispatcher has stopped taking.
func (p LeaseConfig) Drain() time.Duration { return p.Lease / 6 }

// RenewInterval is the time between a lessee's asks.
func (p LeaseConfig) RenewInterval() time.Duration { return p.Lease / 3 }

// patience is how long a change may be checked before it is withdrawn.
func (p LeaseConfig) patience() time.Duration { return 4 * p.Lease }

// Ack is what a lessee says of the change under way.
type Ack uint8

// Stances.
const (
	NoAck    Ack = iota
	Accepted     // its binary and configuration can take it
	Refused      // they cannot: Why says for what
	Ready        // it has stopped taking, and nothing begins by the old version any more
)

// Stage is how far the change under way has come.
type Stage uint8

// Stages. What comes before is a proposal, what comes after an End.
const (
	Idle      Stage = iota // no change is under way
	Checking               // all go on by the old version and check the new one
	Preparing              // no lease is lent; all stop
	Deciding               // the entry was given to the log
)

// Result is how a change ended.
type Result uint8

// Ends.
const (
	Undecided Result = iota // it has not
	InForce                 // decided by a majority, and the version in force
	Withdrawn               // nowhere, for ever
)

// Outcome is what became of a change or of a proposal.
type Outcome struct {
	ID           uint64
	Result       Result
	Peer, Reason string // of a withdrawal: who refused it and why
}

// LeaseRequest is what a lessee sends to the leader, each Renew and whenever it has something to say.
type LeaseRequest struct {
	Peer        string
	Epoch       uint64 // new with each start of the process
	Seq         uint64 // counts the asks of an epoch from 1
	Version     uint64 // whose body it has and can take, 0 for none
	Change      uint64 // that the stance is about, 0 for none
	Ack         Ack
	Reason      string
	Proposal    uint64 // id of its own proposal, 0 for none; sent again until its outcome is heard
	BaseVersion uint64 // the version that the proposal changes
	Body        []byte // of the proposal
}

// LeaseResponse is what a voter says to an ask.
type LeaseResponse struct {
	Peer            string
	Epoch, Seq      uint64 // of the ask
	IsLeader        bool   // false: nothing but Leader means anything
	Leader          string // who leads, if known
	Term            uint64
	Version         uint64 // decided last, 0 for none yet
	Granted         bool   // this is a lease of Version
	Body            []byte // of Version, where the ask's Version is another
	Change          uint64 // under way, 0 for none
	Stage           Stage
	NextVersion     uint64 // the version that Change would be
	Proposer        string // who proposed it
	NextBody        []byte // its body, where the ask has no stance on it
	ChangeOutcome   Outcome
	ProposalOutcome Outcome // of the ask's own proposal, once it is over
}

// Event is one step, for the log of the process that took it.
type Event struct {
	Step                   string // as docs/design/accord.md names the events
	Change, Version        uint64
	BaseVersion            uint64
	Proposer, Peer, Reason string
	Accepted               bool
	ExpiredLeases          int           // leases that were waited out
	Elapsed                time.Duration // waited to be ready, or from decided to in force
}

func cut(s string) string {
	if len(s) > MaxReason {
		return s[:MaxReason]
	}
	return s
}

func orders(base, version uint64) string {
	return fmt.Sprintf("made against version %d, and %d is in force", base, version)
}
