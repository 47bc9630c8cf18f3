// Package budget divides fleet-wide budgets among dispatchers: so many units a second for the
// whole fleet (new connections to backends, probes, calls to the director, retries), of which
// each dispatcher may spend its share, and shares that never sum to more than the whole.
//
// It decides alone: times are handed in, messages are handed in and out by the caller, and no
// clock is read (docs/design/budget.md derives the bounds). Two ways are offered: Split, without
// talk, from an estimate of the fleet's size; and a Keeper that lends a pool under leases to
// Holders, for installations where dispatchers may talk.
package budget

import (
	"fmt"
	"time"
)

// Time is a reading of one process's own clock, in nanoseconds from any origin. Readings of two
// processes are never compared: each side measures its own durations.
type Time int64

// Add is t moved on by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Split is a dispatcher's share of total units without talk: ⌊total / fleet⌋, at least least.
// fleet is the estimate of how many dispatchers spend the budget (Estimate); with n alive, the
// shares sum to at most total·n/fleet, and least adds up to n·least − total beyond the whole where
// n·least > total. A fleet below 1 counts as 1; a negative total as 0.
func Split(total, fleet, least int) int {
	return max(max(total, 0)/max(fleet, 1), least, 0)
}

// Estimate is the size of the fleet as one dispatcher can tell it without talk: the largest of
// what it was told (the settings' count of instances) and what it has seen (dispatchers named in
// lists or reports), at least 1. Taking the largest errs on the side of smaller shares.
func Estimate(told int, seen ...int) int {
	n := max(told, 1)
	for _, s := range seen {
		n = max(n, s)
	}
	return n
}

// Plan is a budget as the settings declare it for the fleet.
type Plan struct {
	Name           string
	Total          int           // units a second for the whole fleet
	MaxDispatchers int           // most dispatchers that may spend it at once; each holds a reserve
	ReserveShare   float64       // part of Total held as reserves, without talk, in [0, 1]
	Lease          time.Duration // how long a grant of the keeper lasts on its clock
	Drift          float64       // bound on how far any clock's rate strays from real time, in [0, 0.1]
}

// Most drift that a plan may name: beyond it leases are so short that they are not worth asking.
const MaxDrift = 0.1

// Check names the first field of the plan that is out of range.
func (p Plan) Check() error {
	switch {
	case p.Total < 0:
		return fmt.Errorf("budget %q: total is %d, want 0 or more", p.Name, p.Total)
	case p.MaxDispatchers < 1:
		return fmt.Errorf("budget %q: most is %d, want 1 or more", p.Name, p.MaxDispatchers)
	case p.ReserveShare < 0 || p.ReserveShare > 1:
		return fmt.Errorf("budget %q: part is %v, want 0 to 1", p.Name, p.ReserveShare)
	case p.Lease <= 0:
		return fmt.Errorf("budget %q: lease is %v, want more than 0", p.Name, p.Lease)
	case p.Drift < 0 || p.Drift > MaxDrift:
		return fmt.Errorf("budget %q: drift is %v, want 0 to %v", p.Name, p.Drift, MaxDrift)
	}
	return nil
}

// Reserve is what each dispatcher may spend without asking: ⌊Part·Total / Most⌋.
func (p Plan) Reserve() int {
	return int(p.ReserveShare * float64(p.Total) / float64(p.MaxDispatchers))
}

// Pool is what the keeper lends: Total less Most reserves. Reserves and pool sum to Total.
func (p Plan) Pool() int { return p.Total - p.MaxDispatchers*p.Reserve() }

// UsableLease is how long a holder may use a grant on its own clock, counted from when it sent the
// ask: L·(1−ρ)/(1+ρ) ends, in real time, before the keeper's L from its grant.
func (p Plan) UsableLease() time.Duration {
	return time.Duration(float64(p.Lease) * (1 - p.Drift) / (1 + p.Drift))
}

// QuietPeriod is how long a keeper lends nothing after it starts: L·(1+ρ)/(1−ρ) on its own clock, by
// which time every lease of its earlier life has ended in real time.
func (p Plan) QuietPeriod() time.Duration {
	return time.Duration(float64(p.Lease) * (1 + p.Drift) / (1 - p.Drift))
}

// RenewInterval is how often a holder asks again: a third of what it may use, so that two asks may be
// lost before its grant ends.
func (p Plan) RenewInterval() time.Duration { return p.UsableLease() / 3 }
