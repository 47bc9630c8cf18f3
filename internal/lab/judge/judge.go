// Package judge checks a log of events against the rules that a dispatcher must never break, and reports which
// event broke which rule. It does not depend on the source of the log: virtual time, sockets or a recording. The
// rules are those of the platform's protocol ("The rules on sockets"). Times are milliseconds.
package judge

import (
	"fmt"
	"math"
)

// EventKind says what happened.
type EventKind uint8

// Kinds of events. Each comment lists the fields of Event that are used besides At.
const (
	ReqReceived       EventKind = iota // a dispatcher has received a complete request: Node, Req, Key, Deadline, Work, Effect
	ReqAnswered                        // the request's final answer was sent: Node, Req, AnswerKind
	AttemptSent                        // the first byte of an attempt was sent: Node, Req, Attempt, Key, Backend, Group, Work, Capacity
	AttemptEnded                       // an attempt has ended for the dispatcher: Node, Req, Attempt, NeverRan
	StateReceived                      // a dispatcher received the state of a backend: Node, Backend, Ready
	BanSet                             // operators banned a backend and got a confirmation: Backend
	BanLifted                          // operators lifted the ban: Backend
	BackendOverloaded                  // a cold backend crashed because of overload: Backend
	DispatcherKilled                   // a dispatcher was killed: Node; its open requests need no answer, and the states it received are void
)

// Effect says whether a request may be repeated.
type Effect uint8

// Effects of a request.
const (
	Deduped       Effect = iota // a group of backends drops repeats for a time; see Rules.RepeatWindow
	Repeatable                  // may run any number of times
	NonIdempotent               // must never run twice
)

// AnswerKind classifies a final answer.
type AnswerKind uint8

// Kinds of answers.
const (
	Served AnswerKind = iota
	Refused
	Failed
)

// Event is one entry of the log.
type Event struct {
	At         float64
	Kind       EventKind
	Node       int
	Req        string // unique for each request that a client sends, retries included
	Key        string // idempotency key; the same for a request and its retries
	Attempt    int
	Backend    string
	Group      int     // of the backend; the backends of a group drop each other's repeats
	Work       float64 // ms on one core of the reference machine
	Capacity   float64 // current capacity of a cold backend, in work per ms; 0 for a warm one
	Deadline   float64
	Effect     Effect
	Ready      bool
	NeverRan   bool // it is certain that the attempt never ran
	AnswerKind AnswerKind
}

// Rules holds the limits of the rules. A zero RepeatWindow, SingleAttempt or FallMultiple switches its rule off.
type Rules struct {
	AnswerSlack   float64 // after the deadline, in which an answer is still in time
	SendGrace     float64 // after a drain was received or a ban confirmed, in which an attempt's first byte may still be sent
	RepeatWindow  float64 // in which a group of backends drops repeats of a key
	SingleAttempt bool    // a request may have only one running attempt
	// The work sent to a cold backend within FallWindow may be at most FallMultiple times what its current capacity
	// allows, plus FallSlack.
	FallMultiple float64
	FallWindow   float64
	FallSlack    float64
}

// Violation reports a broken rule and the event that broke it.
type Violation struct {
	Rule    string // lost, twice, repeat, drain, ban, cold, or quota (QuotaChecker)
	At      float64
	Event   int // index in the log, from 0; for QuotaChecker the number of the start, from 1
	Message string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.1f ms, event %d: %s", v.Rule, v.At, v.Event, v.Message)
}

type req struct {
	node     int
	deadline float64
	effect   Effect
	answered bool
}

type attempt struct {
	at       float64 // when its first byte was sent
	group    int
	running  bool
	neverRan bool
}

type nodeBackend struct {
	node    int
	backend string
}

type sentWork struct{ at, work float64 }

// Checker checks a log, event by event. Only Rules must be set before use.
type Checker struct {
	Rules Rules
	// MaxViolations limits the violations that are stored; all are counted. 0 means 100.
	MaxViolations int

	events        int
	reqs          map[string]*req
	attempts      map[string][]attempt    // by Event.Req
	drainingSince map[nodeBackend]float64 // when a node received that a backend drains
	bannedSince   map[string]float64
	recent        map[string][]sentWork // by cold backend, within the last FallWindow
	violations    []Violation
	counts        map[string]int
}

func (j *Checker) violate(e *Event, rule, format string, args ...any) {
	if j.counts == nil {
		j.counts = map[string]int{}
	}
	j.counts[rule]++
	limit := j.MaxViolations
	if limit == 0 {
		limit = 100
	}
	if len(j.violations) < limit {
		j.violations = append(j.violations, Violation{rule, e.At, j.events, fmt.Sprintf(format, args...)})
	}
}

// Handle checks the next event. Times must not go back.
func (j *Checker) Handle(e Event) {
	if j.reqs == nil {
		j.reqs, j.attempts, j.drainingSince = map[string]*req{}, map[string][]attempt{}, map[nodeBackend]float64{}
		j.bannedSince, j.recent = map[string]float64{}, map[string][]sentWork{}
	}
	switch e.Kind {
	case ReqReceived:
		j.reqs[e.Req] = &req{node: e.Node, deadline: e.Deadline, effect: e.Effect}
	case ReqAnswered:
		j.answered(&e)
	case AttemptSent:
		j.attemptSent(&e)
	case AttemptEnded:
		if list := j.attempts[e.Req]; e.Attempt < len(list) {
			list[e.Attempt].running, list[e.Attempt].neverRan = false, e.NeverRan
		}
	case StateReceived:
		if at := (nodeBackend{e.Node, e.Backend}); e.Ready {
			delete(j.drainingSince, at)
		} else if _, known := j.drainingSince[at]; !known {
			j.drainingSince[at] = e.At
		}
	case BanSet:
		if _, known := j.bannedSince[e.Backend]; !known {
			j.bannedSince[e.Backend] = e.At
		}
	case BanLifted:
		delete(j.bannedSince, e.Backend)
	case BackendOverloaded:
		j.violate(&e, "cold", "%s fell over", e.Backend)
	case DispatcherKilled:
		for _, r := range j.reqs {
			r.answered = r.answered || r.node == e.Node
		}
		for at := range j.drainingSince {
			if at.node == e.Node {
				delete(j.drainingSince, at)
			}
		}
	}
	j.events++
}

func (j *Checker) answered(e *Event) {
	r := j.reqs[e.Req]
	switch {
	case r == nil:
		j.violate(e, "lost", "an answer to %s, which nobody asked", e.Req)
	case r.answered:
		j.violate(e, "twice", "a second final answer to %s", e.Req)
	default:
		r.answered = true
		if e.At > r.deadline+j.Rules.AnswerSlack {
			j.violate(e, "lost", "the answer to %s came %.1f ms after its deadline", e.Req, e.At-r.deadline)
		}
	}
	if e.AnswerKind == Refused && (r == nil || r.effect != Repeatable) { // a refusal tells the client that it may safely repeat the request
		for i, t := range j.attempts[e.Req] {
			if !t.neverRan && (t.running || r != nil && r.effect == NonIdempotent) {
				j.violate(e, "repeat", "%s is refused while attempt %d may run", e.Req, i)
			}
		}
	}
}

// attemptSent checks the sending of an attempt's first byte.
func (j *Checker) attemptSent(e *Event) {
	if at, draining := j.drainingSince[nodeBackend{e.Node, e.Backend}]; draining && e.At > at+j.Rules.SendGrace {
		j.violate(e, "drain", "%s is sent to %s, %.1f ms after dispatcher %d was told that it drains", e.Req, e.Backend, e.At-at, e.Node)
	}
	if at, banned := j.bannedSince[e.Backend]; banned && e.At > at+j.Rules.SendGrace {
		j.violate(e, "ban", "%s is sent to %s, %.1f ms after its ban", e.Req, e.Backend, e.At-at)
	}
	effect := Deduped
	if r := j.reqs[e.Req]; r != nil {
		effect = r.effect
	}
	for i, t := range j.attempts[e.Req] {
		switch {
		case t.neverRan:
		case t.running && j.Rules.SingleAttempt:
			j.violate(e, "repeat", "%s is sent again while attempt %d is out", e.Req, i)
		case effect == NonIdempotent:
			j.violate(e, "repeat", "%s is sent again and attempt %d may have run", e.Req, i)
		case effect == Repeatable:
		case t.group != e.Group:
			j.violate(e, "repeat", "%s is sent to %s in group %d, and attempt %d may have run in group %d", e.Req, e.Backend, e.Group, i, t.group)
		case j.Rules.RepeatWindow > 0 && e.At-t.at >= j.Rules.RepeatWindow:
			j.violate(e, "repeat", "%s is sent %.0f ms after attempt %d, which its group has forgotten", e.Req, e.At-t.at, i)
		}
	}
	list := j.attempts[e.Req]
	for len(list) <= e.Attempt { // an attempt whose first byte was not sent never ran
		list = append(list, attempt{neverRan: true})
	}
	list[e.Attempt] = attempt{at: e.At, group: e.Group, running: true}
	j.attempts[e.Req] = list
	j.checkColdLoad(e)
}

// checkColdLoad adds up the work that all dispatchers send to a cold backend within FallWindow.
func (j *Checker) checkColdLoad(e *Event) {
	r := &j.Rules
	if e.Capacity <= 0 || r.FallMultiple <= 0 {
		delete(j.recent, e.Backend)
		return
	}
	kept, sum := j.recent[e.Backend][:0], e.Work
	for _, l := range j.recent[e.Backend] {
		if e.At-l.at < r.FallWindow {
			kept = append(kept, l)
			sum += l.work
		}
	}
	j.recent[e.Backend] = append(kept, sentWork{e.At, e.Work})
	if bound := r.FallMultiple*e.Capacity*r.FallWindow + r.FallSlack; sum > bound {
		j.violate(e, "cold", "%s was sent %.0f ms of work in %.0f ms, %.0f bear no harm", e.Backend, sum, r.FallWindow, bound)
	}
}

// Finish handles the end of the log at a time: a request without an answer whose deadline has passed by more
// than Rules.AnswerSlack is lost.
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
		j.violate(&e, "lost", "%d reqs have no final answer, %s among them", lost, first)
		j.counts["lost"] += lost - 1
	}
}

// Violations returns the first violations, at most MaxViolations, in the order of the log.
func (j *Checker) Violations() []Violation { return j.violations }

// Count returns the number of violations of a rule, or of all rules for "".
func (j *Checker) Count(rule string) (n int) {
	for r, c := range j.counts {
		if rule == "" || r == rule {
			n += c
		}
	}
	return n
}

// ServiceLevel computes the service level that the operators use: the fraction, weighted by worth, of first
// requests (those that are no retries) that were served within their target latency, over the whole run and in
// its worst window.
type ServiceLevel struct {
	Window  float64  // length of the window for WorstWindow, ms; 0, or less than 1 s, means 10 s
	seconds []second // by the second in which the request arrived
}

// second holds the worth of the requests of one second: of all, and of those served in time.
type second struct{ total, good float64 }

// Add counts a first request of worth 1 that arrived at a time, and whether it was served in time.
func (s *ServiceLevel) Add(came float64, good bool) { s.AddWeighted(came, 1, good) }

// AddWeighted is Add for a request of any worth.
func (s *ServiceLevel) AddWeighted(came, worth float64, good bool) {
	i := int(math.Max(came, 0) / 1000)
	for len(s.seconds) <= i {
		s.seconds = append(s.seconds, second{})
	}
	if s.seconds[i].total += worth; good {
		s.seconds[i].good += worth
	}
}

// Overall returns the fraction of all requests that were served in time; 1 if there were none.
func (s *ServiceLevel) Overall() float64 { return ratio(s.seconds) }

// WorstWindow returns the smallest fraction of any window, or Overall if that is smaller.
func (s *ServiceLevel) WorstWindow() float64 {
	n := int(s.Window / 1000)
	if n <= 0 {
		n = 10
	}
	worst := s.Overall()
	for i := 0; i+n <= len(s.seconds); i++ {
		worst = min(worst, ratio(s.seconds[i:i+n]))
	}
	return worst
}

// PerSecond returns the fraction of each second, for a plot; 1 for a second without requests.
func (s *ServiceLevel) PerSecond() []float64 {
	out := make([]float64, len(s.seconds))
	for i := range s.seconds {
		out[i] = ratio(s.seconds[i : i+1])
	}
	return out
}

func ratio(bins []second) float64 {
	var b second
	for _, x := range bins {
		b.total, b.good = b.total+x.total, b.good+x.good
	}
	if b.total == 0 {
		return 1
	}
	return b.good / b.total
}
