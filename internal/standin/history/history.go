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
	Dispatcher   string // the dispatcher that it went to
	ID           string
	Unsafe       bool      // it must not run twice, nor be refused once it may have run
	SentAt       time.Time // its last byte was written; zero: it never was whole, and nothing is owed
	Deadline     time.Time // its client waits until then; zero: for good
	ClientGone   bool      // its client went away before the answer
	ClientGoneAt time.Time // when; zero: not known
	// ReusedConnection says that its connection had carried another: a close that crosses it, unread, is no breach, as its client
	// sends it once more.
	ReusedConnection bool
	RepeatWindow     time.Duration // for repeats of a keyed class; zero: there is no bound
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
	ID          string // of the req; empty where the connection ended before it was told
	Backend     string
	FirstByteAt time.Time     // its first byte came
	LastByteAt  time.Time     // its last byte came; zero: it never did, so the req never ran here
	TimeLeft    time.Duration // that the dispatcher waits, as it told; negative: it did not tell
	NeverRan    bool          // turned away or handed back unstarted, and said so
	Result      string        // that the backend made for it; empty: none
}

// mayHaveRun says whether the attempt counts and has not been proven never to have run.
func (a *Attempt) mayHaveRun() bool { return !a.LastByteAt.IsZero() && !a.NeverRan }

// Drain says that a backend took nothing new from a dispatcher from when its drain counted as told.
type Drain struct {
	Dispatcher, Backend string
	PublishedAt         time.Time // it counts as told
	ReadyAgainAt        time.Time // the backend was listed ready again; zero: never
}

// Rules are the figures that the rules use, grown by the page's slack.
type Rules struct {
	MaxSendAfterDrain time.Duration // sends to a draining backend end so long after it counted as told
	MaxAnswerDelay    time.Duration // an answer later than its time by more is lost
	// The newest terms; a zero MaxExtraTimeLeft has them not judged.
	MaxExtraTimeLeft  time.Duration // a backend may be told more than the client has left by so much
	MaxStartAfterGone time.Duration // an attempt may begin so long after its client has gone
	ClockTolerance    time.Duration // for what lies between an event and its note here
}

// FullRules are the published figures with the newest terms. machine is what the far sides' own clocks may be late by.
func FullRules(stopSending, machine time.Duration) Rules {
	r := BasicRules(stopSending)
	r.MaxSendAfterDrain, r.MaxAnswerDelay = r.MaxSendAfterDrain+machine, r.MaxAnswerDelay+machine
	r.MaxExtraTimeLeft, r.MaxStartAfterGone, r.ClockTolerance = 150*time.Millisecond, 100*time.Millisecond, machine
	return r
}

// Slack is what the page adds to each time limit on sockets.
const Slack = 50 * time.Millisecond

// BasicRules are the page's figures, with the settings' StopSendingWithinMs.
func BasicRules(stopSending time.Duration) Rules {
	return Rules{MaxSendAfterDrain: stopSending + Slack, MaxAnswerDelay: 500*time.Millisecond + Slack}
}

// Breach is a broken rule.
type Breach struct {
	Rule    string // drain, twice, lost, answers, reset, refusal, forged, told, gone, window
	ID      string // of the req, where there is one
	Problem string
}

func (b Breach) String() string { return fmt.Sprintf("%s: req %q: %s", b.Rule, b.ID, b.Problem) }

// History is what happened. Its methods may be called from many goroutines.
type History struct {
	mu       sync.Mutex
	reqs     []Req
	answers  []Answer
	resets   map[string]string
	attempts []Attempt
	drains   []Drain
}

// AddReq notes a req.
func (h *History) AddReq(r Req) { h.mu.Lock(); defer h.mu.Unlock(); h.reqs = append(h.reqs, r) }

// AddAnswer notes a final answer.
func (h *History) AddAnswer(a Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

// AddReset notes that the dispatcher ended the connection of a req before its whole answer, and how.
func (h *History) AddReset(id, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resets == nil {
		h.resets = map[string]string{}
	}
	h.resets[id] = how
}

// AddAttempts notes what backends saw.
func (h *History) AddAttempts(a ...Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a...)
}

// AddDrains notes a drain.
func (h *History) AddDrains(d ...Drain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, d...)
}

// Check says which rules were broken, in the order in which things were noted. Times within a req's
// attempts are the backends', which share a clock with the clients here.
func (h *History) Check(rules Rules) (out []Breach) {
	h.mu.Lock()
	defer h.mu.Unlock()
	node, nodes := map[string]string{}, map[string]bool{}
	for _, r := range h.reqs {
		node[r.ID], nodes[r.Dispatcher] = r.Dispatcher, true
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
			ours := known && from == d.Dispatcher || !known && len(nodes) <= 1
			if ours && a.Backend == d.Backend && a.FirstByteAt.After(d.PublishedAt.Add(rules.MaxSendAfterDrain)) && (d.ReadyAgainAt.IsZero() || a.FirstByteAt.Before(d.ReadyAgainAt)) {
				out = append(out, Breach{"drain", a.ID, fmt.Sprintf("its first byte came to %s %v after the drain counted as told, %v are allowed",
					a.Backend, a.FirstByteAt.Sub(d.PublishedAt), rules.MaxSendAfterDrain)})
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
			if first, second := inOrder(a, b); r.Unsafe && !second.LastByteAt.IsZero() && first.mayHaveRun() {
				say("twice", "it went to %s whole, then to %s, and the first may have run", first.Backend, second.Backend)
			}
		}
	}
	if rules.MaxExtraTimeLeft > 0 {
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
	case r.SentAt.IsZero() || r.ClientGone:
	case reset != "" && r.ReusedConnection && len(attempts) == 0: // its client sends it once more
	case reset != "":
		say("reset", "its connection ended before its answer: %s", reset)
	case len(answers) == 0:
		say("lost", "taken and never answered")
	case !r.Deadline.IsZero() && answers[0].At.After(r.Deadline.Add(rules.MaxAnswerDelay)):
		say("lost", "answered %v after its time", answers[0].At.Sub(r.Deadline))
	}
	if len(answers) > 1 {
		say("answers", "%d final answers", len(answers))
	}
	return out
}

// judgeNewest judges what was told, what began for a client that had gone, and when a keyed request was repeated.
func judgeNewest(r Req, attempts []*Attempt, rules Rules, say func(rule, form string, args ...any)) {
	for i, a := range attempts {
		if left := r.Deadline.Sub(a.FirstByteAt); !r.Deadline.IsZero() && a.TimeLeft > max(left, 0)+rules.MaxExtraTimeLeft+rules.ClockTolerance {
			say("told", "%s was told %v where %v were left", a.Backend, a.TimeLeft, left)
		}
		if !r.ClientGoneAt.IsZero() && a.FirstByteAt.Sub(r.ClientGoneAt) > rules.MaxStartAfterGone+rules.ClockTolerance {
			say("gone", "it began at %s %v after its client had gone", a.Backend, a.FirstByteAt.Sub(r.ClientGoneAt))
		}
		for _, b := range attempts[:i] {
			first, second := inOrder(a, b)
			if apart := second.FirstByteAt.Sub(first.FirstByteAt); r.RepeatWindow > 0 && first.mayHaveRun() && apart > r.RepeatWindow+rules.ClockTolerance {
				say("window", "it began at %s, and %v later at %s", first.Backend, apart, second.Backend)
			}
		}
	}
}

// inOrder puts two attempts in the order in which they began.
func inOrder(a, b *Attempt) (first, second *Attempt) {
	if b.FirstByteAt.Before(a.FirstByteAt) {
		return b, a
	}
	return a, b
}
