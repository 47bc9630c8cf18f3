// Package history keeps what the far sides of a dispatcher saw (its clients, the backends and the
// director) and judges it by the platform's rules: PROTOCOL's page, "The rules on sockets", and the
// standing test's. It is written from those pages alone and shares no code with what it judges.
package history

import (
	"fmt"
	"sync"
	"time"
)

// Req is a client's req, as the client saw it.
type Req struct {
	Node   string // the dispatcher that it went to
	ID     string
	Unsafe bool      // it must not run twice, nor be refused once it may have run
	Taken  time.Time // its last byte was written; zero: it never was whole, and nothing is owed
	Until  time.Time // its client waits until then; zero: for good
	Gone   bool      // its client went away before the answer
	GoneAt time.Time // when; zero: not known
	// Reused says that its connection had carried another: a close that crosses it, unread, is no breach, as its client
	// sends it once more.
	Reused bool
	Window time.Duration // for repeats of a keyed class; zero: there is no bound
}

// Answer is a final answer that came whole.
type Answer struct {
	ID     string
	At     time.Time // of its last byte
	Status int
	Body   string
}

// Attempt is what a backend saw of one attempt.
type Attempt struct {
	ID      string // of the req; empty where the connection ended before it was told
	Backend string
	First   time.Time     // its first byte came
	Last    time.Time     // its last byte came; zero: it never did, so the req never ran here
	Told    time.Duration // that the dispatcher waits, as it told; negative: it did not tell
	Never   bool          // turned away or handed back unstarted, and said so
	Result  string        // that the backend made for it; empty: none
}

// mayHaveRun says whether the attempt counts and has not been proven never to have run.
func (a *Attempt) mayHaveRun() bool { return !a.Last.IsZero() && !a.Never }

// Drain says that a backend took nothing new from a dispatcher from when its drain counted as told.
type Drain struct {
	Node, Backend string
	From          time.Time // it counts as told
	To            time.Time // the backend was listed ready again; zero: never
}

// Rules are the figures that the rules use, grown by the page's slack.
type Rules struct {
	Stop time.Duration // sends to a draining backend end so long after it counted as told
	Late time.Duration // an answer later than its time by more is lost
	// The newest terms; a zero Told has them not judged.
	Told    time.Duration // a backend may be told more than the client has left by so much
	Gone    time.Duration // an attempt may begin so long after its client has gone
	Machine time.Duration // for what lies between an event and its note here
}

// Newest are the published figures with the newest terms. machine is what the far sides' own clocks may be late by.
func Newest(stopSending, machine time.Duration) Rules {
	r := Published(stopSending)
	r.Stop, r.Late = r.Stop+machine, r.Late+machine
	r.Told, r.Gone, r.Machine = 150*time.Millisecond, 100*time.Millisecond, machine
	return r
}

// Slack is what the page adds to each time limit on sockets.
const Slack = 50 * time.Millisecond

// Published are the page's figures, with the settings' StopSendingWithinMs.
func Published(stopSending time.Duration) Rules {
	return Rules{Stop: stopSending + Slack, Late: 500*time.Millisecond + Slack}
}

// Breach is a broken rule.
type Breach struct {
	Rule string // drain, twice, lost, answers, reset, refusal, forged, told, gone, window
	ID   string // of the req, where there is one
	Says string
}

func (b Breach) String() string { return fmt.Sprintf("%s: req %q: %s", b.Rule, b.ID, b.Says) }

// History is what happened. Its methods may be called from many goroutines.
type History struct {
	mu       sync.Mutex
	reqs     []Req
	answers  []Answer
	resets   map[string]string
	attempts []Attempt
	drains   []Drain
}

// Asked notes a req.
func (h *History) Asked(r Req) { h.mu.Lock(); defer h.mu.Unlock(); h.reqs = append(h.reqs, r) }

// Answered notes a final answer.
func (h *History) Answered(a Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

// Reset notes that the dispatcher ended the connection of a req before its whole answer, and how.
func (h *History) Reset(id, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resets == nil {
		h.resets = map[string]string{}
	}
	h.resets[id] = how
}

// Attempted notes what backends saw.
func (h *History) Attempted(a ...Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a...)
}

// Drained notes a drain.
func (h *History) Drained(d ...Drain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, d...)
}

// Judge says which rules were broken, in the order in which things were noted. Times within a req's
// attempts are the backends', which share a clock with the clients here.
func (h *History) Judge(rules Rules) (out []Breach) {
	h.mu.Lock()
	defer h.mu.Unlock()
	node, nodes := map[string]string{}, map[string]bool{}
	for _, r := range h.reqs {
		node[r.ID], nodes[r.Node] = r.Node, true
	}
	answers, attempts := map[string][]Answer{}, map[string][]*Attempt{}
	for _, a := range h.answers {
		answers[a.ID] = append(answers[a.ID], a)
	}
	for i := range h.attempts {
		a := &h.attempts[i]
		attempts[a.ID] = append(attempts[a.ID], a)
		from, known := node[a.ID]
		for _, d := range h.drains {
			// one whose id never came is anybody's, and judged where there is one dispatcher only
			ours := known && from == d.Node || !known && len(nodes) <= 1
			if ours && a.Backend == d.Backend && a.First.After(d.From.Add(rules.Stop)) && (d.To.IsZero() || a.First.Before(d.To)) {
				out = append(out, Breach{"drain", a.ID, fmt.Sprintf("its first byte came to %s %v after the drain counted as told, %v are allowed",
					a.Backend, a.First.Sub(d.From), rules.Stop)})
			}
		}
	}
	for _, r := range h.reqs {
		out = append(out, judgeReq(r, answers[r.ID], attempts[r.ID], h.resets[r.ID], rules)...)
	}
	return out
}

func judgeReq(r Req, answers []Answer, attempts []*Attempt, reset string, rules Rules) (out []Breach) {
	say := func(rule, form string, args ...any) {
		out = append(out, Breach{rule, r.ID, fmt.Sprintf(form, args...)})
	}
	for i, a := range attempts {
		for _, b := range attempts[:i] {
			if first, second := inOrder(a, b); r.Unsafe && !second.Last.IsZero() && first.mayHaveRun() {
				say("twice", "it went to %s whole, then to %s, and the first may have run", first.Backend, second.Backend)
			}
		}
	}
	if rules.Told > 0 {
		judgeNewest(r, attempts, rules, say)
	}
	for _, a := range answers {
		made, ran := false, false
		for _, at := range attempts {
			made, ran = made || at.Result != "" && at.Result == a.Body, ran || at.mayHaveRun()
		}
		switch {
		case a.Status == 200 && !made:
			say("forged", "its result %q is no backend's for it", a.Body)
		case (a.Status == 429 || a.Status == 503) && r.Unsafe && ran:
			say("refusal", "refused with %d though an attempt may have run", a.Status)
		}
	}
	switch {
	case r.Taken.IsZero() || r.Gone:
	case reset != "" && r.Reused && len(attempts) == 0: // its client sends it once more
	case reset != "":
		say("reset", "its connection ended before its answer: %s", reset)
	case len(answers) == 0:
		say("lost", "taken and never answered")
	case !r.Until.IsZero() && answers[0].At.After(r.Until.Add(rules.Late)):
		say("lost", "answered %v after its time", answers[0].At.Sub(r.Until))
	}
	if len(answers) > 1 {
		say("answers", "%d final answers", len(answers))
	}
	return out
}

// judgeNewest judges what was told, what began for a client that had gone, and when a keyed request was repeated.
func judgeNewest(r Req, attempts []*Attempt, rules Rules, say func(rule, form string, args ...any)) {
	for i, a := range attempts {
		if left := r.Until.Sub(a.First); !r.Until.IsZero() && a.Told > max(left, 0)+rules.Told+rules.Machine {
			say("told", "%s was told %v where %v were left", a.Backend, a.Told, left)
		}
		if !r.GoneAt.IsZero() && a.First.Sub(r.GoneAt) > rules.Gone+rules.Machine {
			say("gone", "it began at %s %v after its client had gone", a.Backend, a.First.Sub(r.GoneAt))
		}
		for _, b := range attempts[:i] {
			first, second := inOrder(a, b)
			if apart := second.First.Sub(first.First); r.Window > 0 && first.mayHaveRun() && apart > r.Window+rules.Machine {
				say("window", "it began at %s, and %v later at %s", first.Backend, apart, second.Backend)
			}
		}
	}
}

// inOrder puts two attempts in the order in which they began.
func inOrder(a, b *Attempt) (first, second *Attempt) {
	if b.First.Before(a.First) {
		return b, a
	}
	return a, b
}
