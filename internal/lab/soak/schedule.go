// Package soak plays real processes of the program on loopback between a director, backends and clients of our own, with relays
// between, while two or three troubles overlap in time. A seed gives the whole schedule. It is judged by what the far sides saw
// (internal/standin/history, which shares no code with the program), and by the program's own count of broken invariants.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultKind is a kind of trouble.
type FaultKind uint8

// Kinds of trouble: at processes, at the list, at backends, on the way to them, of clients, and at the system's border. The last
// need the program that is built with the tag shim.
const (
	Sigterm           FaultKind = iota // SIGTERM, then a new process
	Sigkill                            // SIGKILL, then a new process
	Reload                             // SIGHUP, three in quick succession
	HandOver                           // a new process takes over
	Pause                              // the process does not run for 0.15 s, some times
	DescriptorLimit                    // the process may open no further descriptor
	WatchStall                         // open watches fall silent
	DirectorDown                       // the director fails every call
	DrainBackend                       // a backend drains, goes, and comes back cold
	RefuseConnections                  // a backend refuses connections
	HangJobs                           // backends do not end their jobs
	ResetMidJob                        // a backend resets connections within jobs
	RejectJobs                         // a backend turns jobs away
	FailJobs                           // a backend fails jobs
	CloseAfterAnswer                   // a backend closes each connection after its answer
	Blackhole                          // what is sent to a backend is swallowed
	NetworkDelay                       // the way to a backend is slow
	ResetConnections                   // open connections to a backend are reset
	PartialRequest                     // clients stop in the middle of a request and stay
	ClientAbort                        // clients go before their answers
	InvalidRequest                     // clients send what is no request, and much of it
	SlowWrites                         // clients write a few bytes at a time
	ShortDeadline                      // clients have 1 to 30 ms left
	SyscallErrors                      // accept, socket and connect fail by an errno
	ShortIO                            // reads and writes take a few bytes
	StorageErrors                      // the lasting folder fails, and a backend is banned and called back
	ClockSkew                          // SIGKILL; the new process's wall clock is off
	kinds
)

var kindNames = [kinds]string{"term", "kill", "reload", "hand-over", "hold-up", "descriptors", "silent", "down", "drain", "refuse", "hang", "reset",
	"turn-away", "fail", "close-each", "blackhole", "delay", "cut", "half", "leave", "flood", "slow", "short", "errno", "short-io", "folder", "wall"}

func (k FaultKind) String() string { return kindNames[k] }

// needsShim says that only the program built with the tag shim can play it.
func (k FaultKind) needsShim() bool { return k >= SyscallErrors }

// Fault is one trouble of a schedule.
type Fault struct {
	Kind            FaultKind
	Start, Duration time.Duration // from the play's beginning
	Target          int           // a process or a backend, by number; what fits is taken modulo their count
}

func (t Fault) String() string {
	return fmt.Sprintf("%s at %v for %v on %d", t.Kind, t.Start, t.Duration, t.Target)
}

// Site is what a play's settings differ by.
type Site struct {
	Effect           string // read_like, idempotency_key, non_idempotent
	Scope            string // of an idempotency key
	Deadline, Window time.Duration
	Pushed           bool // lists come from an agent
}

// Schedule is a play.
type Schedule struct {
	Seed      uint64
	Processes int
	Shim      bool // the program is the one built with the tag shim
	Site      Site
	Faults    []Fault
}

// Times of a play.
const (
	groups       = 3                      // of troubles that overlap
	perGroup     = 3                      // troubles of a group
	firstAt      = 600 * time.Millisecond // of the first group
	groupsLie    = 1800 * time.Millisecond
	overlap      = 400 * time.Millisecond // within which a group's troubles begin
	PlayDuration = firstAt + groups*groupsLie
)

// PairCounts counts how often two kinds overlap.
type PairCounts [kinds][kinds]int

// Add counts a schedule's pairs.
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

// Min is how often the pair that was played least was played.
func (p *PairCounts) Min() int {
	least := -1
	for a := range kinds {
		for b := range a {
			if least < 0 || p[a][b] < least {
				least = p[a][b]
			}
		}
	}
	return least
}

// Plan gives the schedules of the seeds up to last. Kinds are put together so that each pair comes up as often as others; a seed's
// schedule is the same whatever last is.
func Plan(last uint64) []Schedule {
	var seen PairCounts
	out := make([]Schedule, 0, last)
	for seed := uint64(1); seed <= last; seed++ {
		s := plan(seed, &seen)
		seen.Add(s)
		out = append(out, s)
	}
	return out
}

func plan(seed uint64, seen *PairCounts) Schedule {
	rng := rand.New(rand.NewPCG(seed, 39))
	s := Schedule{Seed: seed, Processes: 3, Shim: seed%4 != 0, Site: sites[seed%uint64(len(sites))]}
	switch {
	case seed%10 == 0:
		s.Processes = 24
	case seed%3 == 0:
		s.Processes = 1
	}
	for g := range groups {
		for _, k := range group(rng, seen, s.Shim) {
			s.Faults = append(s.Faults, Fault{Kind: k, Start: firstAt + time.Duration(g)*groupsLie + upTo(rng, overlap),
				Duration: 700*time.Millisecond + upTo(rng, 600*time.Millisecond), Target: rng.IntN(24)})
		}
	}
	return s
}

// group draws the kinds of a group: the pair that was played least of those that can be, and what makes the least played pairs with it.
func group(rng *rand.Rand, seen *PairCounts, shim bool) (out []FaultKind) {
	most := kinds
	if !shim {
		most = SyscallErrors
	}
	order := rng.Perm(int(most))
	for len(out) < perGroup {
		best, least := FaultKind(0), -1
		for _, i := range order {
			k, count := FaultKind(i), 0
			for _, o := range out {
				if o == k {
					count = 1 << 20
				}
				count += seen[k][o]
			}
			if len(out) == 0 {
				for o := range most {
					if o != k {
						count += seen[k][o]
					}
				}
			}
			if least < 0 || count < least {
				best, least = k, count
			}
		}
		out = append(out, best)
	}
	return out
}

// sites are what plays are drawn from: deadlines under 1 s, windows under 1.5 s, unsafe classes, lists that are asked for and pushed.
var sites = []Site{
	{Effect: "idempotency_key", Scope: "all", Deadline: 800 * time.Millisecond, Window: 1200 * time.Millisecond, Pushed: true},
	{Effect: "non_idempotent", Deadline: 1500 * time.Millisecond},
	{Effect: "idempotency_key", Scope: "cell", Deadline: 2 * time.Second, Window: 1400 * time.Millisecond},
	{Effect: "read_like", Deadline: 900 * time.Millisecond, Pushed: true},
	{Effect: "non_idempotent", Deadline: 900 * time.Millisecond, Pushed: true},
	{Effect: "idempotency_key", Scope: "all", Deadline: 2500 * time.Millisecond, Window: 7500 * time.Millisecond},
	{Effect: "read_like", Deadline: 3 * time.Second},
}

// upTo draws a time below most.
func upTo(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(most)))
}
