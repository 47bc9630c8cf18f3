// Package quota decides how many reqs of each team may be in flight over the whole fleet at once: whole units, lent in
// levels (a root to regions, a region to dispatchers), each level under a lease of its own, so that what all may hold
// together never passes the quota and a region that is cut off lives on what it holds (docs/design/quota.md has the
// promise and derives the bounds). It decides alone: times and messages are handed in and out, and no clock is read, no
// socket opened, no goroutine started and no lock taken. No type is for concurrent use.
//
// A Lender lends, a Holder is lent to, a Region is both, a Desk says which reqs of a dispatcher begin.
package quota

import (
	"errors"
	"time"
)

// Time is a reading of one process's own monotonic clock, in nanoseconds from any origin. Readings of two processes are
// never compared.
type Time int64

// Add is t moved on by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Never is a time that no clock reaches.
const Never = Time(1<<63 - 1)

// distantPast is a time that every clock has reached.
const distantPast = Time(-1 << 63)

// ReserveAccount is the account of the urgent reserve: units of a region, which the root never lends.
const ReserveAccount = ""

// Limits, each against a peer that sends too much.
const (
	MaxName     = 128     // bytes of a child's or an account's name
	MaxAccounts = 4096    // accounts of a lender, and lines of an ask
	MaxChildren = 4096    // children that a lender remembers; one beyond gets no answer
	MaxUnits    = 1 << 30 // units of a line or a share
	maxEnded    = 4       // ended lives of a child that are kept apart; more are added up
	maxEvents   = 256     // notes kept until they are fetched
)

// LeaseConfig is one level as the settings declare it: the same at its lender and all its holders.
type LeaseConfig struct {
	Lease      time.Duration // L, by the lender's clock
	MaxRunTime time.Duration // a req ends at most so long after it began, by its dispatcher's clock
	Drift      float64       // ρ: clocks run at rates within 1 ± ρ of real time
}

// Check names the field that is out of range.
func (p LeaseConfig) Check() error {
	switch {
	case p.Lease < 100*time.Millisecond || p.Lease > 24*time.Hour:
		return errors.New("quota: lease is not between 100 ms and 24 h")
	case p.MaxRunTime < 0 || p.MaxRunTime > 7*24*time.Hour:
		return errors.New("quota: run is not between 0 and 7 days")
	case !(p.Drift >= 0 && p.Drift <= 0.1):
		return errors.New("quota: drift is not between 0 and 0.1")
	}
	return nil
}

// UsableLease is D = L(1−ρ)/(1+ρ): how long after its ask a holder may begin by the lease, by its own clock.
func (p LeaseConfig) UsableLease() time.Duration {
	return time.Duration(float64(p.Lease) * (1 - p.Drift) / (1 + p.Drift))
}

// QuietPeriod is W = L(1+ρ)/(1−ρ), rounded up: by then all that an earlier life of a lender lent has lapsed, by the new life's
// clock.
func (p LeaseConfig) QuietPeriod() time.Duration {
	return time.Duration(float64(p.Lease)*(1+p.Drift)/(1-p.Drift)) + 1
}

// DrainPeriod is T = Run(1+ρ)/(1−ρ), rounded up: by then what had begun when a lease lapsed is over, by the lender's clock.
func (p LeaseConfig) DrainPeriod() time.Duration {
	return time.Duration(float64(p.MaxRunTime)*(1+p.Drift)/(1-p.Drift)) + 1
}

// RenewInterval is the time between a holder's asks when nothing happens: two may be lost before the lease ends.
func (p LeaseConfig) RenewInterval() time.Duration { return p.UsableLease() / 3 }

// RetryDelay is how long a first ask waits for its answer before the next is sent. Each further one waits twice as long, up
// to mostRetry and Renew.
func (p LeaseConfig) RetryDelay() time.Duration { return min(p.RenewInterval(), time.Second) }

// maxRetryDelay bounds the wait for an answer, so that a region that was cut off asks soon after it is back.
const maxRetryDelay = 8 * time.Second

// ReportDelay is how long after its last ask a holder tells what has changed where nothing is due at once.
func (p LeaseConfig) ReportDelay() time.Duration { return min(p.RenewInterval(), 2*time.Second) }

// RotationPeriod is how long units of which there are fewer than children that want one stay before they go round.
func (p LeaseConfig) RotationPeriod() time.Duration { return min(2*p.Lease, 30*time.Second) }

// AccountReport is what a holder says of one account.
type AccountReport struct {
	Account string
	Held    int // units that it may begin by, from sending the ask on until the answer
	Used    int // in flight; of a region: all that it counts as lent
	Demand  int // units that it could use in all
}

// Allocation is what a lender says of one account: the units that the holder may begin by from now on.
type Allocation struct {
	Account string
	Units   int
}

// LeaseRequest is what a holder sends: each Renew, when it is short, when it was nudged, and when it was given less. One is on its
// way at a time.
type LeaseRequest struct {
	Child             string
	Epoch             uint64 // rises with each life of the child: its start in Unix nanoseconds
	Seq               uint64 // counts the asks of an epoch from 1
	LenderIncarnation uint64 // the life of the lender heard last, 0 for none: of another life the ask is only answered by Again
	Full              bool   // Lines are all there are; else those changed since ask Base
	BaseSeq           uint64 // the newest ask that was answered; 0 where All is set
	Recovering        bool   // an earlier life of this region's lender may have lent what this life has not heard of yet
	Reports           []AccountReport
}

// LeaseResponse is what a lender says to an ask. It is a grant unless Again is set, or the ask was fresh and Unsure is not: then
// the shares are what earlier lives of the child may have running, which it counts from now on, and the next ask is the
// first that may be given something to begin by.
type LeaseResponse struct {
	Child             string
	Epoch, Seq        uint64        // of the ask
	LenderIncarnation uint64        // the lender's life
	Lease             time.Duration // that the lender counts: a holder whose plan has a longer one goes by this
	ResendFull        bool          // nothing is granted: ask again, with all lines, for this life of the lender
	NoRecord          bool          // to a fresh ask: what earlier lives of the child lent is not known here, so go on saying Fresh
	Allocations       []Allocation  // of the accounts whose units differ from the Held told
}

// Event is one step, for the log of the process that took it.
type Event struct {
	Step    string // as docs/design/quota.md names the events
	Account string
	Child   string
	Units   int
}

// LenderOptions of a lender.
type LenderOptions struct {
	Preallocate  bool     // what nobody wants is lent evenly, ahead of need (the root)
	Intermediate bool     // it lends what a parent lent it: what an earlier life may have lent is told by Inherit, not by Capacity
	Children     []string // all children there are, where they are known by name; others get no answer
	SkipRecovery bool     // no earlier life lent: nothing is waited for
}
