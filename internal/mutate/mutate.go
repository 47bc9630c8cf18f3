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

// World is what is played: nodes with their own clocks and codecs, and what must hold of them.
// It is called from one goroutine at a time. Anything that it draws comes from the seed it was
// built of: two plays without a mutation are the same to the byte.
type World interface {
	// Nodes are the nodes that may be sent to, in the order they are ticked in; fixed.
	Nodes() []string
	// Tick gives a node its time, and returns what it sends.
	Tick(now time.Duration, node string) []Message
	// Deliver hands m to the node m.To, and returns what is sent because of it. A mutated m may
	// hold any bytes, and may be one that m.To never gets.
	Deliver(now time.Duration, m Message) []Message
	// Check says what does not hold that must at any time. It is asked after each
	// message and after each round of ticks.
	Check(now time.Duration) error
	// End says what the end state lacks. It is asked once, at Setup.Length.
	End(now time.Duration) error
}

// Kind is a way to mutate a message.
type Kind uint8

// Kinds of mutation.
const (
	Lost      Kind = iota // never comes
	Twice                 // comes, and at once again
	Late                  // comes Setup.Late after it was due; in a second draw just past its successor, as that came without mutation
	Swapped               // comes right behind its successor on the link
	Changed               // one byte is another
	Cut                   // its end is missing
	Replayed              // an earlier message of its link comes in its place
	Misrouted             // another node gets it; in every second draw the right one does, too
	Split                 // comes in two pieces; for streams, whose bytes may come in any pieces
	kinds
)

var kindNames = [kinds]string{"lost", "twice", "late", "swapped", "changed", "cut", "replayed", "misrouted", "split"}

func (k Kind) String() string { return kindNames[k] }

// Datagrams are the kinds that a network or a faulty peer can do to whole messages.
var Datagrams = []Kind{Lost, Twice, Late, Swapped, Changed, Cut, Replayed, Misrouted}

// Streams are those, and Split.
var Streams = append(append([]Kind{}, Datagrams...), Split)

// Play is one mutation of one message. Draw numbers the draws of a kind that has several.
type Play struct {
	Message int // its number in the order of sending, from 0
	Kind    Kind
	Draw    int
}

func (p Play) String() string { return fmt.Sprintf("%d %s %d", p.Message, p.Kind, p.Draw) }

// ParsePlay reads what String wrote.
func ParsePlay(s string) (p Play, err error) {
	var kind string
	if _, err = fmt.Sscanf(s, "%d %s %d", &p.Message, &kind, &p.Draw); err != nil {
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
	Name   string
	Seed   uint64
	Build  func(seed uint64) World
	Tick   time.Duration // between two ticks of a node
	Length time.Duration // of a play
	From   time.Duration // messages sent before this are left alone
	Faults time.Duration // and those sent after this; 0 for Length
	Late   time.Duration // how late Late is; several messages of a link should fall into it
	Kinds  []Kind        // nil for Datagrams
	Draws  int           // of Changed, Cut, Replayed and Misrouted for a message; 0 for 3
	Splits int           // positions at which each message is split; -1 for every one
	Plays  int           // a sample of so many, drawn from the seed and spread over the messages; 0 for all
	Steps  int           // events of a play at most: a storm of messages ends it; 0 for a million
	// Excuse says why a mutation cannot be told from an honest message; "" where it can. of is
	// the message as it was sent, as is what comes in its place.
	Excuse func(p Play, of, as Message) string
	// Around, where set, runs each play, one at a time; else plays run side by side.
	Around func(play func())
}

// Failure is a play in which something did not hold.
type Failure struct {
	Setup string
	Seed  uint64
	Play  *Play // nil: the run without mutations
	At    time.Duration
	Err   error
	Trace []string // around the mutated message, and before the end
}

func (f Failure) Error() string {
	play := "unmutated"
	if f.Play != nil {
		play = f.Play.String()
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
	Played   int            // of those
	ByKind   map[string]int // played
	Excused  map[string]int // by reason; not among Played
	Failed   int
	Failures []Failure // the first ten
	Took     time.Duration
}

func (r Report) String() string {
	s := fmt.Sprintf("%s: seed %d, %d messages, %d mutations, %d played, %d failed, in %v:", r.Name, r.Seed, r.Messages, r.Possible, r.Played, r.Failed, r.Took.Round(time.Millisecond))
	for _, k := range kindNames {
		if n := r.ByKind[k]; n > 0 {
			s += fmt.Sprintf(" %s %d", k, n)
		}
	}
	for reason, n := range r.Excused {
		s += fmt.Sprintf("; excused %d: %s", n, reason)
	}
	return s
}
