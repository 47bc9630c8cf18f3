// Package judge holds a log of events to the rules that a dispatcher never breaks, and says which event broke
// which. It knows nothing of how the log came about: virtual time, sockets, a recording. The rules are
// those of the platform's protocol ("The rules on sockets"); times are milliseconds.
package judge

import (
	"fmt"
	"math"
)

// EventKind is what happened.
type EventKind uint8

// Events. Which fields say something is told with each.
const (
	ReqReceived       EventKind = iota // a req is whole at a dispatcher: Node, Req, Key, Deadline, Work, Effect
	ReqAnswered                        // its final answer: Node, Req, Verdict
	AttemptSent                        // an attempt's first byte: Node, Req, Try, Key, Backend, Group, Work, Capacity, Window
	AttemptEnded                       // an attempt is over for the dispatcher: Node, Req, Try, Never
	StateReceived                      // a dispatcher was told of a backend: Node, Backend, Ready
	BanSet                             // operators banned a backend, and were told yes: Backend
	BanLifted                          // they called it back
	BackendOverloaded                  // a cold backend fell over: Backend
	DispatcherKilled                   // a dispatcher was killed: Node; what it owed is void, and what it was told is forgotten
)

// Effect is what a repeat of a req does.
type Effect uint8

// Effects.
const (
	Deduped       Effect = iota // a group of backends drops its repeats for a while
	Repeatable                  // it may be repeated at will
	NonIdempotent               // it must never run twice
)

// AnswerKind is a final answer.
type AnswerKind uint8

// Verdicts.
const (
	Served AnswerKind = iota
	Refused
	Failed
)

// Event is one line of the log.
type Event struct {
	At         float64
	Kind       EventKind
	Node       int
	Req        string // unique for each try of a client
	Key        string // of the effect; the same for all tries
	Attempt    int
	Backend    string
	Group      int
	Work       float64 // ms of the yardstick
	Capacity   float64 // of a cold backend now, in work a ms; 0 for a warm one
	Deadline   float64
	Effect     Effect
	Ready      bool
	NeverRan   bool // the attempt is proven never to have run
	AnswerKind AnswerKind
}

// Rules are the figures of the rules. The zero value of one switches it off.
type Rules struct {
	AnswerSlack   float64 // after the deadline, for the answer
	SendGrace     float64 // after a drain was told, or a ban's yes, for a first byte
	RepeatWindow  float64 // in which a group drops a key's repeat
	SingleAttempt bool    // no req may have two attempts out at once
	FallMultiple  float64
	FallWindow    float64
	FallSlack     float64 // of work, forgiven
}

// Violation is a broken rule and the event that broke it.
type Violation struct {
	Rule    string // lost, twice, repeat, drain, ban, cold
	At      float64
	Event   int // place in the log, from 0
	Message string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s at %.1f ms, event %d: %s", b.Rule, b.At, b.Event, b.Message)
}

type req struct {
	node     int
	deadline float64
	effect   Effect
	answered bool
}

type try struct {
	at    float64
	group int
	out   bool
	never bool
}

type place struct {
	node    int
	backend string
}

type load struct{ at, work float64 }

// Checker takes a log, event by event. The zero value but for Rules is ready.
type Checker struct {
	Rules Rules
	// MaxViolations is how many are kept; all are counted. 0 means 100.
	MaxViolations int

	n        int
	reqs     map[string]*req
	tries    map[string][]try // by req
	told     map[place]float64
	banned   map[string]float64
	sent     map[string][]load // to a cold backend, in the last window
	breaches []Violation
	counts   map[string]int
}

func (j *Checker) breach(e *Event, rule, format string, args ...any) {
	if j.counts == nil {
		j.counts = map[string]int{}
	}
	j.counts[rule]++
	most := j.MaxViolations
	if most == 0 {
		most = 100
	}
	if len(j.breaches) < most {
		j.breaches = append(j.breaches, Violation{rule, e.At, j.n, fmt.Sprintf(format, args...)})
	}
}

// Handle takes the next event. Times must not go back.
func (j *Checker) Handle(e Event) {
	if j.reqs == nil {
		j.reqs, j.tries, j.told = map[string]*req{}, map[string][]try{}, map[place]float64{}
		j.banned, j.sent = map[string]float64{}, map[string][]load{}
	}
	switch e.Kind {
	case ReqReceived:
		j.reqs[e.Req] = &req{node: e.Node, deadline: e.Deadline, effect: e.Effect}
	case ReqAnswered:
		j.answered(&e)
	case AttemptSent:
		j.first(&e)
	case AttemptEnded:
		if list := j.tries[e.Req]; e.Attempt < len(list) {
			list[e.Attempt].out, list[e.Attempt].never = false, e.NeverRan
		}
	case StateReceived:
		if at := (place{e.Node, e.Backend}); e.Ready {
			delete(j.told, at)
		} else if _, known := j.told[at]; !known {
			j.told[at] = e.At
		}
	case BanSet:
		if _, known := j.banned[e.Backend]; !known {
			j.banned[e.Backend] = e.At
		}
	case BanLifted:
		delete(j.banned, e.Backend)
	case BackendOverloaded:
		j.breach(&e, "cold", "%s fell over", e.Backend)
	case DispatcherKilled:
		for _, r := range j.reqs {
			r.answered = r.answered || r.node == e.Node
		}
		for at := range j.told {
			if at.node == e.Node {
				delete(j.told, at)
			}
		}
	}
	j.n++
}

func (j *Checker) answered(e *Event) {
	r := j.reqs[e.Req]
	switch {
	case r == nil:
		j.breach(e, "lost", "an answer to %s, which nobody asked", e.Req)
	case r.answered:
		j.breach(e, "twice", "a second final answer to %s", e.Req)
	default:
		r.answered = true
		if e.At > r.deadline+j.Rules.AnswerSlack {
			j.breach(e, "lost", "the answer to %s came %.1f ms after its deadline", e.Req, e.At-r.deadline)
		}
	}
	if e.AnswerKind == Refused && (r == nil || r.effect != Repeatable) { // it says that a repeat is harmless
		for i, t := range j.tries[e.Req] {
			if !t.never && (t.out || r != nil && r.effect == NonIdempotent) {
				j.breach(e, "repeat", "%s is refused while attempt %d may run", e.Req, i)
			}
		}
	}
}

// first takes an attempt's first byte.
func (j *Checker) first(e *Event) {
	if at, told := j.told[place{e.Node, e.Backend}]; told && e.At > at+j.Rules.SendGrace {
		j.breach(e, "drain", "%s is sent to %s, %.1f ms after dispatcher %d was told that it drains", e.Req, e.Backend, e.At-at, e.Node)
	}
	if at, banned := j.banned[e.Backend]; banned && e.At > at+j.Rules.SendGrace {
		j.breach(e, "ban", "%s is sent to %s, %.1f ms after its ban", e.Req, e.Backend, e.At-at)
	}
	effect := Deduped
	if r := j.reqs[e.Req]; r != nil {
		effect = r.effect
	}
	for i, t := range j.tries[e.Req] {
		switch {
		case t.never:
		case t.out && j.Rules.SingleAttempt:
			j.breach(e, "repeat", "%s is sent again while attempt %d is out", e.Req, i)
		case effect == NonIdempotent:
			j.breach(e, "repeat", "%s is sent again and attempt %d may have run", e.Req, i)
		case effect == Repeatable:
		case t.group != e.Group:
			j.breach(e, "repeat", "%s is sent to %s in group %d, and attempt %d may have run in group %d", e.Req, e.Backend, e.Group, i, t.group)
		case j.Rules.RepeatWindow > 0 && e.At-t.at >= j.Rules.RepeatWindow:
			j.breach(e, "repeat", "%s is sent %.0f ms after attempt %d, which its group has forgotten", e.Req, e.At-t.at, i)
		}
	}
	list := j.tries[e.Req]
	for len(list) <= e.Attempt { // an attempt that never got to its first byte is one that never ran
		list = append(list, try{never: true})
	}
	list[e.Attempt] = try{at: e.At, group: e.Group, out: true}
	j.tries[e.Req] = list
	j.cold(e)
}

// cold adds up what all dispatchers send to a cold backend in a window.
func (j *Checker) cold(e *Event) {
	r := &j.Rules
	if e.Capacity <= 0 || r.FallMultiple <= 0 {
		delete(j.sent, e.Backend)
		return
	}
	kept, sum := j.sent[e.Backend][:0], e.Work
	for _, l := range j.sent[e.Backend] {
		if e.At-l.at < r.FallWindow {
			kept = append(kept, l)
			sum += l.work
		}
	}
	j.sent[e.Backend] = append(kept, load{e.At, e.Work})
	if bound := r.FallMultiple*e.Capacity*r.FallWindow + r.FallSlack; sum > bound {
		j.breach(e, "cold", "%s was sent %.0f ms of work in %.0f ms, %.0f bear no harm", e.Backend, sum, r.FallWindow, bound)
	}
}

// Finish takes the end of the log at a time: what is owed by then and has no answer is lost.
func (j *Checker) Finish(at float64) {
	lost, first := 0, ""
	for id, r := range j.reqs {
		if !r.answered && at > r.deadline+j.Rules.AnswerSlack {
			if lost++; first == "" || id < first {
				first = id
			}
		}
	}
	if lost > 0 {
		e := Event{At: at}
		j.breach(&e, "lost", "%d reqs have no final answer, %s among them", lost, first)
		j.counts["lost"] += lost - 1
	}
}

// Violations are the first that were found, in the order of the log.
func (j *Checker) Violations() []Violation { return j.breaches }

// Count is how many breaches of a rule there were; all rules' for "".
func (j *Checker) Count(rule string) (n int) {
	for r, c := range j.counts {
		if rule == "" || r == rule {
			n += c
		}
	}
	return n
}

// ServiceLevel adds up worth in time, as the operators count it: the part of first reqs that were served within the aim, and
// that of the worst stretch.
type ServiceLevel struct {
	Window float64 // of the worst stretch, ms; 0 means 10 s
	bins   []bin   // of a second, by when the req came
}

type bin struct{ asked, good float64 }

// Add takes a first req that came at a time, and whether it was served in time.
func (s *ServiceLevel) Add(came float64, good bool) { s.AddWeighted(came, 1, good) }

// AddWeighted is Add for one of some worth.
func (s *ServiceLevel) AddWeighted(came, worth float64, good bool) {
	i := int(math.Max(came, 0) / 1000)
	for len(s.bins) <= i {
		s.bins = append(s.bins, bin{})
	}
	if s.bins[i].asked += worth; good {
		s.bins[i].good += worth
	}
}

// Overall is the part of all that were served in time; 1 if nobody asked.
func (s *ServiceLevel) Overall() float64 { return part(s.bins) }

// WorstWindow is the part in the worst stretch.
func (s *ServiceLevel) WorstWindow() float64 {
	n := int(s.Window / 1000)
	if n <= 0 {
		n = 10
	}
	worst := s.Overall()
	for i := 0; i+n <= len(s.bins); i++ {
		worst = min(worst, part(s.bins[i:i+n]))
	}
	return worst
}

// PerSecond is the part by second, for a plot; a second in which nobody asked has 1.
func (s *ServiceLevel) PerSecond() []float64 {
	out := make([]float64, len(s.bins))
	for i := range s.bins {
		out[i] = part(s.bins[i : i+1])
	}
	return out
}

func part(bins []bin) float64 {
	var b bin
	for _, x := range bins {
		b.asked, b.good = b.asked+x.asked, b.good+x.good
	}
	if b.asked == 0 {
		return 1
	}
	return b.good / b.asked
}
