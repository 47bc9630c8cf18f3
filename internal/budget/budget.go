// Package budget divides fleet-wide budgets among dispatchers. A budget is a number of units per second for the whole
// fleet (new connections to backends, probes, calls to the director, retries). Each dispatcher may spend its share,
// and the shares never sum to more than the total.
//
// The package does no I/O and reads no clock: the caller passes in times and messages, and sends the messages that it
// is given (docs/design/budget.md derives the bounds). There are two ways to divide a budget. Split needs no
// communication: it uses an estimate of the fleet's size. Where dispatchers may exchange messages, a Keeper lends a
// pool of units under leases to Holders.
package budget

import (
	"fmt"
	"time"
)

// Time is a reading of one process's own clock, in nanoseconds from an arbitrary origin. Readings of two processes
// are never compared: each side measures its own durations.
type Time int64

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Split returns a dispatcher's share of total units without communication: ⌊total / fleet⌋, but not less than
// minimum. fleet is the estimated number of dispatchers that spend the budget (EstimateFleetSize). If n dispatchers
// run, the shares sum to at most total·n/fleet; if n·minimum > total, the minimum may exceed the total by up to
// n·minimum − total. A fleet below 1 counts as 1, a negative total as 0.
func Split(total, fleet, minimum int) int {
	return max(max(total, 0)/max(fleet, 1), minimum, 0)
}

// EstimateFleetSize returns the size of the fleet as one dispatcher can estimate it without communication: the
// maximum of the configured number of instances and the numbers of dispatchers seen in lists or reports, and at least
// 1. The maximum is taken since an estimate that is too high only makes the shares smaller.
func EstimateFleetSize(configured int, seen ...int) int {
	n := max(configured, 1)
	for _, s := range seen {
		n = max(n, s)
	}
	return n
}

// Plan is a budget as the settings declare it for the fleet. Part of the total is divided into reserves, one for each
// dispatcher, which may be spent without a lease. The rest is the pool that the keeper lends.
type Plan struct {
	Name           string
	Total          int           // units per second for the whole fleet
	MaxDispatchers int           // limit of dispatchers that spend the budget at once; each has a reserve
	ReserveShare   float64       // fraction of Total that is divided into reserves, in [0, 1]
	Lease          time.Duration // duration of a grant on the keeper's clock
	Drift          float64       // maximum relative error of any clock's rate against real time, in [0, 0.1]
}

// MaxDrift is the maximum of Plan.Drift. With a larger drift the usable part of a lease is too short to be worth a
// request.
const MaxDrift = 0.1

// Check returns an error that names the first field of the plan that is out of range.
func (p Plan) Check() error {
	switch {
	case p.Total < 0:
		return fmt.Errorf("budget %q: total is %d, want 0 or more", p.Name, p.Total)
	case p.MaxDispatchers < 1:
		return fmt.Errorf("budget %q: most is %d, want 1 or more", p.Name, p.MaxDispatchers)
	case p.ReserveShare < 0 || p.ReserveShare > 1:
		return fmt.Errorf("budget %q: reserve is %v, want 0 to 1", p.Name, p.ReserveShare)
	case p.Lease <= 0:
		return fmt.Errorf("budget %q: lease is %v, want more than 0", p.Name, p.Lease)
	case p.Drift < 0 || p.Drift > MaxDrift:
		return fmt.Errorf("budget %q: drift is %v, want 0 to %v", p.Name, p.Drift, MaxDrift)
	}
	return nil
}

// Reserve returns what each dispatcher may spend without a lease: ⌊ReserveShare·Total / MaxDispatchers⌋.
func (p Plan) Reserve() int {
	return int(p.ReserveShare * float64(p.Total) / float64(p.MaxDispatchers))
}

// Pool returns what the keeper may lend: Total less MaxDispatchers reserves. Reserves and pool sum to Total.
func (p Plan) Pool() int { return p.Total - p.MaxDispatchers*p.Reserve() }

// UsableLease returns how long a holder may use a grant, on its own clock, from the time it sent the lease request.
// With the lease L and the drift ρ this is L·(1−ρ)/(1+ρ), which ends in real time before the keeper's lease L,
// counted from its grant.
func (p Plan) UsableLease() time.Duration {
	return time.Duration(float64(p.Lease) * (1 - p.Drift) / (1 + p.Drift))
}

// QuietPeriod returns how long a keeper lends nothing after its start, on its own clock. With the lease L and the
// drift ρ this is L·(1+ρ)/(1−ρ). By then every lease that an earlier process of this keeper granted has ended in real
// time.
func (p Plan) QuietPeriod() time.Duration {
	return time.Duration(float64(p.Lease) * (1 + p.Drift) / (1 - p.Drift))
}

// RenewInterval returns the interval at which a holder sends lease requests. It is a third of UsableLease, so that
// two requests may be lost before the grant ends.
func (p Plan) RenewInterval() time.Duration { return p.UsableLease() / 3 }
