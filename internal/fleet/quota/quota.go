// Package quota decides how many requests of each team may be in flight over the whole fleet at once. A quota is a number
// of whole units, one for each request in flight. Units are lent in levels, from a root to regions and from a region to its
// dispatchers, and each level has a lease of its own. All holders together therefore never exceed the quota, and a region
// that is cut off continues with the units that it holds (docs/design/quota.md states the guarantee and derives the time
// bounds). The package is pure decision code: callers pass in times and messages and carry out what it returns. It reads no
// clock, opens no socket, starts no goroutine and takes no lock. No type is safe for concurrent use.
//
// A Lender lends units to its children, and a Holder borrows them from a lender: it sends lease requests and receives lease
// responses. A RegionLender is both. A Limiter decides which clients' requests a dispatcher starts. An incarnation is one
// run of a lender or a holder, from its start to its end.
package quota

import (
	"errors"
	"time"
)

// Time is a reading of one process's own monotonic clock, in nanoseconds from any origin. Readings of two processes are
// never compared.
type Time int64

// Add returns the time t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Never is later than any clock reading.
const Never = Time(1<<63 - 1)

// distantPast is earlier than any clock reading.
const distantPast = Time(-1 << 63)

// ReserveAccount is the account of the urgent reserve. Its units belong to a region, and the root never lends them.
const ReserveAccount = ""

// Limits that protect against a peer that sends too much.
const (
	MaxName     = 128     // bytes of a child's or an account's name
	MaxAccounts = 4096    // accounts of a lender, and reports in a lease request
	MaxChildren = 4096    // children that a lender tracks; any further one gets no response
	MaxUnits    = 1 << 30 // units in a report or an allocation
	maxEnded    = 4       // ended incarnations that are tracked for a child; further ones are merged
	maxEvents   = 256     // events that are stored until they are taken
)

// LeaseConfig holds the parameters of one level from the settings. They are the same at its lender and all its holders.
type LeaseConfig struct {
	Lease      time.Duration // L: duration of a lease by the lender's clock
	MaxRunTime time.Duration // a request ends at most this long after it started, by its dispatcher's clock
	Drift      float64       // ρ: clocks run at rates within 1 ± ρ of real time
}

// Check returns an error that names the field that is out of range.
func (c LeaseConfig) Check() error {
	switch {
	case c.Lease < 100*time.Millisecond || c.Lease > 24*time.Hour:
		return errors.New("quota: lease is not between 100 ms and 24 h")
	case c.MaxRunTime < 0 || c.MaxRunTime > 7*24*time.Hour:
		return errors.New("quota: maximum run time is not between 0 and 7 days")
	case !(c.Drift >= 0 && c.Drift <= 0.1):
		return errors.New("quota: drift is not between 0 and 0.1")
	}
	return nil
}

// UsableLease is D = L(1−ρ)/(1+ρ): how long after it sent a lease request a holder may start requests under the lease, by
// its own clock.
func (c LeaseConfig) UsableLease() time.Duration {
	return time.Duration(float64(c.Lease) * (1 - c.Drift) / (1 + c.Drift))
}

// QuietPeriod is W = L(1+ρ)/(1−ρ), rounded up: after it all leases that earlier incarnations of a lender granted have
// expired, by the clock of the new incarnation.
func (c LeaseConfig) QuietPeriod() time.Duration {
	return time.Duration(float64(c.Lease)*(1+c.Drift)/(1-c.Drift)) + 1
}

// DrainPeriod is T = MaxRunTime(1+ρ)/(1−ρ), rounded up: after it all requests that were in flight when a lease expired
// have ended, by the lender's clock.
func (c LeaseConfig) DrainPeriod() time.Duration {
	return time.Duration(float64(c.MaxRunTime)*(1+c.Drift)/(1-c.Drift)) + 1
}

// RenewInterval is the time between two lease requests of a holder that has nothing to report. Two of them may be lost
// before the lease ends.
func (c LeaseConfig) RenewInterval() time.Duration { return c.UsableLease() / 3 }

// RetryDelay is how long a holder waits for a response before it sends the next lease request. Each further wait is twice as
// long, up to maxRetryDelay and RenewInterval.
func (c LeaseConfig) RetryDelay() time.Duration { return min(c.RenewInterval(), time.Second) }

// maxRetryDelay limits the wait for a response, so that a region that was cut off sends a lease request soon after it is
// connected again.
const maxRetryDelay = 8 * time.Second

// ReportDelay is how long after its last lease request a holder reports changes that are not urgent.
func (c LeaseConfig) ReportDelay() time.Duration { return min(c.RenewInterval(), 2*time.Second) }

// RotationPeriod is how long a child keeps a unit of an account that has fewer units than children with demand. After it
// the units are assigned anew.
func (c LeaseConfig) RotationPeriod() time.Duration { return min(2*c.Lease, 30*time.Second) }

// AccountReport is what a holder reports about one account.
type AccountReport struct {
	Account string
	Held    int // units that it may use from sending the lease request until the response arrives
	Used    int // units in flight; from a region: all units that it counts as lent
	Demand  int // units that it could use in total, including those in use
}

// Allocation is a lender's decision about one account: the units that the holder may use from now on. In a response to a
// recovering child it is the units that earlier incarnations of that child may have in use.
type Allocation struct {
	Account string
	Units   int
}

// LeaseRequest is what a holder sends at each RenewInterval, when it lacks units, when it was polled, and when it was given
// fewer units than it held. It sends the next one only after a response or a RetryDelay.
type LeaseRequest struct {
	Child             string
	Epoch             uint64 // rises with each incarnation of the child: its start in Unix nanoseconds
	Seq               uint64 // counts the lease requests of an epoch from 1
	LenderIncarnation uint64 // of the last response, 0 for none; another incarnation answers ResendFull
	Full              bool   // Reports has all accounts; otherwise those that changed since lease request BaseSeq
	BaseSeq           uint64 // the newest lease request that was answered; 0 if Full is set
	Recovering        bool   // see Holder.Recovering
	Reports           []AccountReport
}

// LeaseResponse is a lender's response to a lease request. It is a grant, with two exceptions. With ResendFull nothing is
// granted. In response to a recovering child, and without NoRecord, the allocations are what earlier incarnations of the
// child may have in use. The child counts them as lent from then on, and only its next lease request can be granted units.
type LeaseResponse struct {
	Child             string
	Epoch, Seq        uint64        // of the lease request
	LenderIncarnation uint64        // the lender's incarnation
	Lease             time.Duration // as the lender counts it; a holder that is configured with a longer one uses this one
	ResendFull        bool          // the child must send a full lease request to this incarnation of the lender
	NoRecord          bool          // to a recovering child that must stay so: there is no record of its earlier incarnations
	Allocations       []Allocation  // of the accounts whose units differ from the reported Held
}

// Event is one step of a lender, for the log.
type Event struct {
	Step    string // the name of the step in docs/design/quota.md
	Account string
	Child   string
	Units   int
}

// LenderOptions are the options of a lender.
type LenderOptions struct {
	Preallocate  bool     // units without demand are lent evenly in advance (the root)
	Intermediate bool     // it lends a parent's units; only AssumeLent states what earlier incarnations may have lent
	Children     []string // names of all children, if they are known; any other gets no response
	SkipRecovery bool     // no earlier incarnation lent anything, so there is nothing to recover
}
