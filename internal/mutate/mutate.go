package mutate

import (
	"fmt"
	"time"
)

// Message is sent from one node to another. The sender must not change Bytes after sending it.
type Message struct {
	From, To string
	Bytes    []byte
	Delay    time.Duration // in transit
}

// System is the system under test: nodes with their own clocks and codecs, and the checks on them.
// It is called from one goroutine at a time. All its randomness must come from the seed that it was
// built from: two runs without a mutation must send identical messages.
type System interface {
	// Nodes returns the nodes that can receive messages, in the order of their ticks. It is constant.
	Nodes() []string
	// Tick advances a node to now and returns the messages that it sends.
	Tick(now time.Duration, node string) []Message
	// Deliver delivers m to the node m.To and returns the messages sent in response. A mutated m
	// may contain any bytes and may be a message that m.To never receives otherwise.
	Deliver(now time.Duration, m Message) []Message
	// CheckInvariants returns an error if an invariant is violated. It is called after each message
	// and after each round of ticks.
	CheckInvariants(now time.Duration) error
	// CheckEndState returns an error if the end state isn't reached. It is called once, at
	// Setup.Duration.
	CheckEndState(now time.Duration) error
}

// Kind is a kind of mutation.
type Kind uint8

// Kinds of mutation. String returns the names in kindNames.
const (
	Lost       Kind = iota // never delivered
	Duplicated             // delivered twice in a row
	Delayed                // delivered Setup.ExtraDelay late; variant 1: just after its successor, but at least ExtraDelay/4 late
	Reordered              // delivered right after the next message of its link
	Corrupted              // one byte changed
	Truncated              // cut off at the end
	Replayed               // replaced by an earlier message of its link
	Misrouted              // delivered to another node; in odd variants to the right one, too
	Split                  // delivered in two parts; for streams, which may be read in any parts
	kinds
)

var kindNames = [kinds]string{"lost", "twice", "late", "swapped", "changed", "cut", "replayed", "misrouted", "split"}

func (k Kind) String() string { return kindNames[k] }

// DatagramKinds are the mutations that a network or a faulty peer can apply to whole messages.
var DatagramKinds = []Kind{Lost, Duplicated, Delayed, Reordered, Corrupted, Truncated, Replayed, Misrouted}

// StreamKinds are DatagramKinds and Split.
var StreamKinds = append(append([]Kind{}, DatagramKinds...), Split)

// Mutation identifies one mutation of one message.
type Mutation struct {
	Message int // index of the message in sending order
	Kind    Kind
	Variant int // tells mutations of the same kind apart, from 0
}

func (p Mutation) String() string { return fmt.Sprintf("%d %s %d", p.Message, p.Kind, p.Variant) }

// ParseMutation parses the result of Mutation.String.
func ParseMutation(s string) (p Mutation, err error) {
	var kind string
	if _, err = fmt.Sscanf(s, "%d %s %d", &p.Message, &kind, &p.Variant); err != nil {
		return p, fmt.Errorf("a mutation is MESSAGE KIND VARIANT, not %q", s)
	}
	for k, name := range kindNames {
		if name == kind {
			p.Kind = Kind(k)
			return p, nil
		}
	}
	return p, fmt.Errorf("unknown kind of mutation: %q", kind)
}

// Setup configures the runs of a system under mutations.
type Setup struct {
	Name         string
	Seed         uint64
	Build        func(seed uint64) System
	TickInterval time.Duration // between two rounds of ticks
	Duration     time.Duration // of a run
	FaultsFrom   time.Duration // messages sent earlier aren't mutated
	FaultsUntil  time.Duration // messages sent later aren't mutated; 0 for Duration
	ExtraDelay   time.Duration // of Delayed; long enough for several messages of a link
	Kinds        []Kind        // nil for DatagramKinds
	MaxVariants  int           // of Corrupted, Truncated, Replayed and Misrouted per message; 0 for 3
	MaxSplits    int           // positions at which each message is split; -1 for all
	MaxRuns      int           // size of a random sample of the mutations, spread evenly over the kinds; 0 for all
	MaxEvents    int           // per run, so that endless sending ends it; 0 for a million
	// Exclude returns why a receiver can't tell a mutated message from a genuine one, or "" if it
	// can. original is the message as sent, mutated the first one delivered in its place. It isn't
	// called for Lost and Duplicated.
	Exclude func(m Mutation, original, mutated Message) string
	// WrapRun, if set, is called with each run, one at a time. Otherwise runs are concurrent.
	WrapRun func(run func())
}

// Failure is a run in which a check failed.
type Failure struct {
	Setup    string
	Seed     uint64
	Mutation *Mutation     // nil for the run without a mutation
	At       time.Duration // simulated time
	Err      error
	Trace    []string // events around the mutated message and before the end
}

func (f Failure) Error() string {
	mutation := "unmutated"
	if f.Mutation != nil {
		mutation = f.Mutation.String()
	}
	s := fmt.Sprintf("%s: seed %d, mutation %q, at %v: %v\nto run it alone: MUTATE_SEED=%d MUTATE_ONLY=%q", f.Setup, f.Seed, mutation, f.At, f.Err, f.Seed, mutation)
	for _, line := range f.Trace {
		s += "\n  " + line
	}
	return s
}

// Report is the result of Setup.Run.
type Report struct {
	Name     string
	Seed     uint64
	Messages int            // that can be mutated, sent from Setup.FaultsFrom to Setup.FaultsUntil
	Possible int            // their mutations, without excluded ones
	Runs     int            // mutations that were run
	ByKind   map[string]int // runs by the kind's name
	Excluded map[string]int // mutations by the reason to exclude them; not among Runs
	Failed   int
	Failures []Failure // the first ten at most
	Elapsed  time.Duration
}

func (r Report) String() string {
	s := fmt.Sprintf("%s: seed %d, %d messages, %d mutations, %d run, %d failed, in %v:", r.Name, r.Seed, r.Messages, r.Possible, r.Runs, r.Failed, r.Elapsed.Round(time.Millisecond))
	for _, k := range kindNames {
		if n := r.ByKind[k]; n > 0 {
			s += fmt.Sprintf(" %s %d", k, n)
		}
	}
	for reason, n := range r.Excluded {
		s += fmt.Sprintf("; excluded %d: %s", n, reason)
	}
	return s
}
