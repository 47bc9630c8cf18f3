package mutate

import (
	"fmt"
	"time"
)

// Message is bytes from one node to another. Bytes belong to the message once it is sent.
type Message struct {
	From, To string
	Bytes    []byte
	Delay    time.Duration // on its way
}

// System is what is played: nodes with their own clocks and codecs, and what must hold of them.
// It is called from one goroutine at a time. Anything that it draws comes from the seed it was
// built of: two plays without a mutation are the same to the byte.
type System interface {
	// Nodes are the nodes that may be sent to, in the order they are ticked in; fixed.
	Nodes() []string
	// Tick gives a node its time, and returns what it sends.
	Tick(now time.Duration, node string) []Message
	// Deliver hands m to the node m.To, and returns what is sent because of it. A mutated m may
	// hold any bytes, and may be one that m.To never gets.
	Deliver(now time.Duration, m Message) []Message
	// CheckInvariants says what does not hold that must at any time. It is asked after each
	// message and after each round of ticks.
	CheckInvariants(now time.Duration) error
	// CheckEndState says what the end state lacks. It is asked once, at Setup.Length.
	CheckEndState(now time.Duration) error
}

// Kind is a way to mutate a message.
type Kind uint8

// Kinds of mutation.
const (
	Lost       Kind = iota // never comes
	Duplicated             // comes, and at once again
	Delayed                // comes Setup.Late after it was due; in a second draw just past its successor, as that came without mutation
	Reordered              // comes right behind its successor on the link
	Corrupted              // one byte is another
	Truncated              // its end is missing
	Replayed               // an earlier message of its link comes in its place
	Misrouted              // another node gets it; in every second draw the right one does, too
	Split                  // comes in two pieces; for streams, whose bytes may come in any pieces
	kinds
)

var kindNames = [kinds]string{"lost", "twice", "late", "swapped", "changed", "cut", "replayed", "misrouted", "split"}

func (k Kind) String() string { return kindNames[k] }

// DatagramKinds are the kinds that a network or a faulty peer can do to whole messages.
var DatagramKinds = []Kind{Lost, Duplicated, Delayed, Reordered, Corrupted, Truncated, Replayed, Misrouted}

// StreamKinds are those, and Split.
var StreamKinds = append(append([]Kind{}, DatagramKinds...), Split)

// Mutation is one mutation of one message. Draw numbers the draws of a kind that has several.
type Mutation struct {
	Message int // its number in the order of sending, from 0
	Kind    Kind
	Variant int
}

func (p Mutation) String() string { return fmt.Sprintf("%d %s %d", p.Message, p.Kind, p.Variant) }

// ParseMutation reads what String wrote.
func ParseMutation(s string) (p Mutation, err error) {
	var kind string
	if _, err = fmt.Sscanf(s, "%d %s %d", &p.Message, &kind, &p.Variant); err != nil {
		return p, fmt.Errorf("a play is NUMBER KIND DRAW, not %q", s)
	}
	for k, name := range kindNames {
		if name == kind {
			p.Kind = Kind(k)
			return p, nil
		}
	}
	return p, fmt.Errorf("no such mutation: %q", kind)
}

// Setup says what to play and how much of it.
type Setup struct {
	Name         string
	Seed         uint64
	Build        func(seed uint64) System
	TickInterval time.Duration // between two ticks of a node
	Duration     time.Duration // of a play
	FaultsFrom   time.Duration // messages sent before this are left alone
	FaultsUntil  time.Duration // and those sent after this; 0 for Length
	ExtraDelay   time.Duration // how late Late is; several messages of a link should fall into it
	Kinds        []Kind        // nil for Datagrams
	MaxVariants  int           // of Changed, Cut, Replayed and Misrouted for a message; 0 for 3
	MaxSplits    int           // positions at which each message is split; -1 for every one
	MaxRuns      int           // a sample of so many, drawn from the seed and spread over the messages; 0 for all
	MaxEvents    int           // events of a play at most: a storm of messages ends it; 0 for a million
	// Exclude says why a mutation cannot be told from an honest message; "" where it can. of is
	// the message as it was sent, as is what comes in its place.
	Exclude func(p Mutation, of, as Message) string
	// WrapRun, where set, runs each play, one at a time; else plays run side by side.
	WrapRun func(play func())
}

// Failure is a play in which something did not hold.
type Failure struct {
	Setup    string
	Seed     uint64
	Mutation *Mutation // nil: the run without mutations
	At       time.Duration
	Err      error
	Trace    []string // around the mutated message, and before the end
}

func (f Failure) Error() string {
	play := "unmutated"
	if f.Mutation != nil {
		play = f.Mutation.String()
	}
	s := fmt.Sprintf("%s: seed %d, play %q, at %v: %v\nalone: MUTATE_SEED=%d MUTATE_ONLY=%q", f.Setup, f.Seed, play, f.At, f.Err, f.Seed, play)
	for _, line := range f.Trace {
		s += "\n  " + line
	}
	return s
}

// Report is what was played.
type Report struct {
	Name     string
	Seed     uint64
	Messages int            // of the run without mutations, sent from Setup.From to Setup.Faults
	Possible int            // mutations of them
	Runs     int            // of those
	ByKind   map[string]int // played
	Excluded map[string]int // by reason; not among Played
	Failed   int
	Failures []Failure // the first ten
	Elapsed  time.Duration
}

func (r Report) String() string {
	s := fmt.Sprintf("%s: seed %d, %d messages, %d mutations, %d played, %d failed, in %v:", r.Name, r.Seed, r.Messages, r.Possible, r.Runs, r.Failed, r.Elapsed.Round(time.Millisecond))
	for _, k := range kindNames {
		if n := r.ByKind[k]; n > 0 {
			s += fmt.Sprintf(" %s %d", k, n)
		}
	}
	for reason, n := range r.Excluded {
		s += fmt.Sprintf("; excused %d: %s", n, reason)
	}
	return s
}
