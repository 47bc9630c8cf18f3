// Package soak plays real processes of the program on loopback between a director, backends and clients of our own, with relays
// between, while two or three troubles overlap in time. A seed gives the whole schedule. It is judged by what the far sides saw
// (internal/standin/history, which shares no code with the program), and by the program's own count of broken invariants.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of trouble.
type Kind uint8

// Kinds of trouble: at processes, at the list, at backends, on the way to them, of clients, and at the system's border. The last
// need the program that is built with the tag shim.
const (
	Term        Kind = iota // SIGTERM, then a new process
	Kill                    // SIGKILL, then a new process
	Reload                  // SIGHUP, three in quick succession
	HandOver                // a new process takes over
	HoldUp                  // the process does not run for 0.15 s, some times
	Descriptors             // the process may open no further descriptor
	Silent                  // open watches fall silent
	Down                    // the director fails every call
	Drain                   // a backend drains, goes, and comes back cold
	Refuse                  // a backend refuses connections
	Hang                    // backends do not end their jobs
	Reset                   // a backend resets connections within jobs
	TurnAway                // a backend turns jobs away
	Fail                    // a backend fails jobs
	CloseEach               // a backend closes each connection after its answer
	Blackhole               // what is sent to a backend is swallowed
	Delay                   // the way to a backend is slow
	Cut                     // open connections to a backend are reset
	Half                    // clients stop in the middle of a request and stay
	Leave                   // clients go before their answers
	Flood                   // clients send what is no request, and much of it
	Slow                    // clients write a few bytes at a time
	Short                   // clients have 1 to 30 ms left
	Errno                   // accept, socket and connect fail by an errno
	ShortIO                 // reads and writes take a few bytes
	Folder                  // the lasting folder fails, and a backend is banned and called back
	Wall                    // SIGKILL; the new process's wall clock is off
	kinds
)

var kindNames = [kinds]string{"term", "kill", "reload", "hand-over", "hold-up", "descriptors", "silent", "down", "drain", "refuse", "hang", "reset",
	"turn-away", "fail", "close-each", "blackhole", "delay", "cut", "half", "leave", "flood", "slow", "short", "errno", "short-io", "folder", "wall"}

func (k Kind) String() string { return kindNames[k] }

// needsShim says that only the program built with the tag shim can play it.
func (k Kind) needsShim() bool { return k >= Errno }

// Trouble is one trouble of a schedule.
type Trouble struct {
	Kind    Kind
	At, For time.Duration // from the play's beginning
	Target  int           // a process or a backend, by number; what fits is taken modulo their count
}

func (t Trouble) String() string {
	return fmt.Sprintf("%s at %v for %v on %d", t.Kind, t.At, t.For, t.Target)
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
	Troubles  []Trouble
}

// Times of a play.
const (
	groups    = 3                      // of troubles that overlap
	perGroup  = 3                      // troubles of a group
	firstAt   = 600 * time.Millisecond // of the first group
	groupsLie = 1800 * time.Millisecond
	overlap   = 400 * time.Millisecond // within which a group's troubles begin
	Length    = firstAt + groups*groupsLie
)

// Pairs counts how often two kinds overlap.
type Pairs [kinds][kinds]int

// Add counts a schedule's pairs.
func (p *Pairs) Add(s Schedule) {
	for i, a := range s.Troubles {
		for _, b := range s.Troubles[:i] {
			if a.At < b.At+b.For && b.At < a.At+a.For && a.Kind != b.Kind {
				p[a.Kind][b.Kind]++
				p[b.Kind][a.Kind]++
			}
		}
	}
}

// Least is how often the pair that was played least was played.
func (p *Pairs) Least() int {
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
	var seen Pairs
	out := make([]Schedule, 0, last)
	for seed := uint64(1); seed <= last; seed++ {
		s := plan(seed, &seen)
		seen.Add(s)
		out = append(out, s)
	}
	return out
}

func plan(seed uint64, seen *Pairs) Schedule {
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
			s.Troubles = append(s.Troubles, Trouble{Kind: k, At: firstAt + time.Duration(g)*groupsLie + upTo(rng, overlap),
				For: 700*time.Millisecond + upTo(rng, 600*time.Millisecond), Target: rng.IntN(24)})
		}
	}
	return s
}

// group draws the kinds of a group: the pair that was played least of those that can be, and what makes the least played pairs with it.
func group(rng *rand.Rand, seen *Pairs, shim bool) (out []Kind) {
	most := kinds
	if !shim {
		most = Errno
	}
	order := rng.Perm(int(most))
	for len(out) < perGroup {
		best, least := Kind(0), -1
		for _, i := range order {
			k, count := Kind(i), 0
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
