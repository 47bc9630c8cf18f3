// Package soak is a randomized fault injection test. It runs real dispatcher processes on loopback between a simulated
// director, simulated backends and clients, with relays in between, while two or three faults overlap in time. The whole
// schedule follows from a seed. A play is judged by what the clients, the backends and the director observed
// (internal/standin/history, which shares no code with the dispatcher), and by the invariant violations that the
// dispatcher itself logs.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultKind is a kind of injected fault.
type FaultKind uint8

// Kinds of faults: of dispatcher processes, of the director, of backends, of the network to the backends, of clients, and
// of the operating system. The last group, from SyscallErrors on, needs the dispatcher built with the tag shim.
const (
	Sigterm           FaultKind = iota // SIGTERM, then a new process
	Sigkill                            // SIGKILL, then a new process
	Reload                             // SIGHUP, three times in quick succession
	HandOver                           // a new process takes over from the running one
	Pause                              // the process is stopped for 0.15 s, several times
	DescriptorLimit                    // the process can't open any more file descriptors
	WatchStall                         // open watches are never answered
	DirectorDown                       // the director fails every call
	DrainBackend                       // a backend drains, is removed, and comes back cold
	RefuseConnections                  // a backend refuses connections
	HangJobs                           // backends don't finish their jobs
	ResetMidJob                        // a backend resets connections during jobs
	RejectJobs                         // a backend refuses jobs
	FailJobs                           // a backend fails jobs
	CloseAfterAnswer                   // a backend closes each connection after its answer
	Blackhole                          // data sent to a backend is dropped
	NetworkDelay                       // the connections to a backend are slow
	ResetConnections                   // open connections to a backend are reset
	PartialRequest                     // clients send part of a request and keep the connection open
	ClientAbort                        // clients close the connection before the answer
	InvalidRequest                     // clients send a large amount of data that is no valid request
	SlowWrites                         // clients write a few bytes at a time
	ShortDeadline                      // clients have 1 to 30 ms left
	SyscallErrors                      // accept, socket and connect fail with an errno
	ShortIO                            // reads and writes transfer only a few bytes
	StorageErrors                      // writes to the state folder fail while a backend is banned and unbanned
	ClockSkew                          // SIGKILL, then a new process whose wall clock is off
	kindCount
)

var kindNames = [kindCount]string{"term", "kill", "reload", "hand-over", "hold-up", "descriptors", "silent", "down", "drain", "refuse", "hang", "reset",
	"turn-away", "fail", "close-each", "blackhole", "delay", "cut", "half", "leave", "flood", "slow", "short", "errno", "short-io", "folder", "wall"}

// String returns the name of the kind, as reports print it.
func (k FaultKind) String() string { return kindNames[k] }

// needsShim reports whether only the dispatcher built with the tag shim can produce the fault.
func (k FaultKind) needsShim() bool { return k >= SyscallErrors }

// Fault is one fault of a schedule.
type Fault struct {
	Kind            FaultKind
	Start, Duration time.Duration // Start counts from the beginning of the play
	Target          int           // index of a dispatcher or a backend, taken modulo their number
}

// String describes the fault, as reports print it.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %v for %v on %d", f.Kind, f.Start, f.Duration, f.Target)
}

// Site holds the settings that differ between plays. Reports print its fields under their names.
type Site struct {
	Effect           string // read_like, idempotency_key or non_idempotent
	Scope            string // deduplication scope of an idempotency key
	Deadline, Window time.Duration
	Pushed           bool // an agent pushes the lists of backends
}

// Schedule describes a play.
type Schedule struct {
	Seed      uint64
	Processes int  // number of dispatchers
	Shim      bool // the dispatcher is the one built with the tag shim
	Site      Site
	Faults    []Fault
}

// Times of a play.
const (
	groups          = 3                      // groups of faults that overlap
	faultsPerGroup  = 3                      // faults in a group
	firstGroupStart = 600 * time.Millisecond // start of the first group
	groupInterval   = 1800 * time.Millisecond
	groupStartRange = 400 * time.Millisecond // range within which the faults of a group start
	// PlayDuration is the time in which the clients of a play send requests.
	PlayDuration = firstGroupStart + groups*groupInterval
)

// PairCounts counts for each two kinds how often faults of them overlapped.
type PairCounts [kindCount][kindCount]int

// Add adds the overlapping pairs of a schedule.
func (p *PairCounts) Add(s Schedule) {
	for i, a := range s.Faults {
		for _, b := range s.Faults[:i] {
			if a.Start < b.Start+b.Duration && b.Start < a.Start+a.Duration && a.Kind != b.Kind {
				p[a.Kind][b.Kind]++
				p[b.Kind][a.Kind]++
			}
		}
	}
}

// Min returns the count of the pair that overlapped least often.
func (p *PairCounts) Min() int {
	least := -1
	for a := range kindCount {
		for b := range a {
			if least < 0 || p[a][b] < least {
				least = p[a][b]
			}
		}
	}
	return least
}

// Plan returns the schedules of the seeds 1 to last. It chooses the kinds so that all pairs overlap about equally often.
// The schedule of a seed does not depend on last.
func Plan(last uint64) []Schedule {
	var planned PairCounts
	out := make([]Schedule, 0, last)
	for seed := uint64(1); seed <= last; seed++ {
		s := planSeed(seed, &planned)
		planned.Add(s)
		out = append(out, s)
	}
	return out
}

// planSeed returns the schedule of a seed, where planned counts the pairs of all lower seeds.
func planSeed(seed uint64, planned *PairCounts) Schedule {
	rng := rand.New(rand.NewPCG(seed, 39))
	s := Schedule{Seed: seed, Processes: 3, Shim: seed%4 != 0, Site: sites[seed%uint64(len(sites))]}
	switch {
	case seed%10 == 0:
		s.Processes = 24
	case seed%3 == 0:
		s.Processes = 1
	}
	for group := range groups {
		for _, kind := range chooseKinds(rng, planned, s.Shim) {
			s.Faults = append(s.Faults, Fault{Kind: kind, Start: firstGroupStart + time.Duration(group)*groupInterval + randomBelow(rng, groupStartRange),
				Duration: 700*time.Millisecond + randomBelow(rng, 600*time.Millisecond), Target: rng.IntN(24)})
		}
	}
	return s
}

// chooseKinds chooses the kinds of a group one by one: first the kind whose pairs have been planned least often, then the
// kind whose pairs with those already chosen have been planned least often. Ties are broken at random.
func chooseKinds(rng *rand.Rand, planned *PairCounts, shim bool) (out []FaultKind) {
	available := kindCount
	if !shim {
		available = SyscallErrors
	}
	order := rng.Perm(int(available))
	for len(out) < faultsPerGroup {
		best, least := FaultKind(0), -1
		for _, i := range order {
			kind, count := FaultKind(i), 0
			for _, other := range out {
				if other == kind {
					count = 1 << 20
				}
				count += planned[kind][other]
			}
			if len(out) == 0 {
				for other := range available {
					if other != kind {
						count += planned[kind][other]
					}
				}
			}
			if least < 0 || count < least {
				best, least = kind, count
			}
		}
		out = append(out, best)
	}
	return out
}

// sites are the settings that plays use in turn: deadlines below 1 s, repeat windows below 1.5 s, classes that must not run
// twice, and lists of backends that the dispatcher polls for or that an agent pushes.
var sites = []Site{
	{Effect: "idempotency_key", Scope: "all", Deadline: 800 * time.Millisecond, Window: 1200 * time.Millisecond, Pushed: true},
	{Effect: "non_idempotent", Deadline: 1500 * time.Millisecond},
	{Effect: "idempotency_key", Scope: "cell", Deadline: 2 * time.Second, Window: 1400 * time.Millisecond},
	{Effect: "read_like", Deadline: 900 * time.Millisecond, Pushed: true},
	{Effect: "non_idempotent", Deadline: 900 * time.Millisecond, Pushed: true},
	{Effect: "idempotency_key", Scope: "all", Deadline: 2500 * time.Millisecond, Window: 7500 * time.Millisecond},
	{Effect: "read_like", Deadline: 3 * time.Second},
}

// randomBelow returns a random duration of at least 0 and less than limit.
func randomBelow(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}
