// Package history records what the clients, the backends and the director observed of the dispatchers, and
// checks it against the platform's rules: those of the protocol's documentation, "The rules on sockets", and those of
// the standing test. It is written from that documentation alone and shares no code with the dispatcher that it checks.
package history

import (
	"fmt"
	"sync"
	"time"
)

// Req is a request, as its client observed it.
type Req struct {
	Dispatcher   string // the dispatcher it was sent to
	ID           string
	Unsafe       bool      // must not run twice, nor be refused once it may have run
	SentAt       time.Time // when its last byte was written; zero: it was never sent in full, so no answer is required
	Deadline     time.Time // the client waits until then; zero: without limit
	ClientGone   bool      // the client closed the connection before the answer
	ClientGoneAt time.Time // when the client closed it; zero: not known
	// ReusedConnection says that the connection had carried an earlier request. The dispatcher may close such a connection
	// while this request is on its way, unread; that is no breach, as the client then sends it again.
	ReusedConnection bool
	RepeatWindow     time.Duration // repeats of a keyed class are allowed for this long; zero: without limit
}

// Answer is a final answer that arrived in full.
type Answer struct {
	ID     string
	At     time.Time // when its last byte arrived
	Status int
	Body   string
}

// Attempt is an attempt, as the backend observed it.
type Attempt struct {
	ID          string // of the request; empty if the connection ended before the id arrived
	Backend     string
	FirstByteAt time.Time     // when its first byte arrived
	LastByteAt  time.Time     // when its last byte arrived; zero: it never did, so the request didn't run here
	TimeLeft    time.Duration // how long the dispatcher said it waits; negative: it didn't say
	NeverRan    bool          // the backend refused it, or returned it before it started, and said so
	Result      string        // the backend's result for it; empty: none
}

// mayHaveRun reports whether the attempt arrived in full and the backend didn't say that it never ran.
func (a *Attempt) mayHaveRun() bool { return !a.LastByteAt.IsZero() && !a.NeverRan }

// Drain is a period in which a dispatcher must not send new requests to a backend that is being drained.
type Drain struct {
	Dispatcher, Backend string
	PublishedAt         time.Time // when the drain counts as published to the dispatcher
	ReadyAgainAt        time.Time // when the backend was listed as ready again; zero: never
}

// Rules are the time limits that the rules use, with the documented slack added.
type Rules struct {
	MaxSendAfterDrain time.Duration // longest time after a drain counts as published in which sends may still start
	MaxAnswerDelay    time.Duration // an answer that is later than its deadline by more counts as lost
	// The limits of the rules told, gone and window, which aren't checked if MaxExtraTimeLeft is zero.
	MaxExtraTimeLeft  time.Duration // largest excess of the time left sent to a backend over what the client has left
	MaxStartAfterGone time.Duration // longest time after the client has gone in which an attempt may start
	ClockTolerance    time.Duration // added to these limits for the delay between an event and its record
}

// FullRules returns the documented limits of all rules. clockTolerance is the delay by which the clients' and backends'
// records may be late; every limit is extended by it.
func FullRules(stopSending, clockTolerance time.Duration) Rules {
	r := BasicRules(stopSending)
	r.MaxSendAfterDrain, r.MaxAnswerDelay = r.MaxSendAfterDrain+clockTolerance, r.MaxAnswerDelay+clockTolerance
	r.MaxExtraTimeLeft, r.MaxStartAfterGone, r.ClockTolerance = 150*time.Millisecond, 100*time.Millisecond, clockTolerance
	return r
}

// Slack is what the documentation adds to each time limit that is checked on sockets.
const Slack = 50 * time.Millisecond

// BasicRules returns the documented limits without those of the rules told, gone and window. stopSending is the settings'
// StopSendingWithinMs.
func BasicRules(stopSending time.Duration) Rules {
	return Rules{MaxSendAfterDrain: stopSending + Slack, MaxAnswerDelay: 500*time.Millisecond + Slack}
}

// Breach is a violation of a rule.
type Breach struct {
	Rule    string // drain, twice, lost, answers, reset, refusal, forged, told, gone, window
	ID      string // of the request, if it is known
	Problem string
}

func (b Breach) String() string { return fmt.Sprintf("%s: req %q: %s", b.Rule, b.ID, b.Problem) }

// History is the record of one test run. Its methods may be called from several goroutines.
type History struct {
	mu       sync.Mutex
	reqs     []Req
	answers  []Answer
	resets   map[string]string
	attempts []Attempt
	drains   []Drain
}

// AddReq records a request.
func (h *History) AddReq(r Req) { h.mu.Lock(); defer h.mu.Unlock(); h.reqs = append(h.reqs, r) }

// AddAnswer records a final answer.
func (h *History) AddAnswer(a Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

// AddReset records that the dispatcher ended the connection of a request before its full answer, and how.
func (h *History) AddReset(id, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resets == nil {
		h.resets = map[string]string{}
	}
	h.resets[id] = how
}

// AddAttempts records attempts that backends observed.
func (h *History) AddAttempts(a ...Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a...)
}

// AddDrains records drains.
func (h *History) AddDrains(d ...Drain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, d...)
}

// Check returns the breaches of the rules: first those by drains, then those of each request, in the order of the record.
// The times of attempts are the backends', which share a clock with the clients here.
func (h *History) Check(rules Rules) (out []Breach) {
	h.mu.Lock()
	defer h.mu.Unlock()
	dispatcherOf, dispatchers := map[string]string{}, map[string]bool{}
	for _, r := range h.reqs {
		dispatcherOf[r.ID], dispatchers[r.Dispatcher] = r.Dispatcher, true
	}
	answers, attempts := map[string][]Answer{}, map[string][]*Attempt{}
	for _, a := range h.answers {
		answers[a.ID] = append(answers[a.ID], a)
	}
	for i := range h.attempts {
		a := &h.attempts[i]
		attempts[a.ID] = append(attempts[a.ID], a)
		dispatcher, known := dispatcherOf[a.ID]
		for _, d := range h.drains {
			// an attempt without an id may be any dispatcher's; it is checked only if there is just one
			applies := known && dispatcher == d.Dispatcher || !known && len(dispatchers) <= 1
			if applies && a.Backend == d.Backend && a.FirstByteAt.After(d.PublishedAt.Add(rules.MaxSendAfterDrain)) && (d.ReadyAgainAt.IsZero() || a.FirstByteAt.Before(d.ReadyAgainAt)) {
				out = append(out, Breach{"drain", a.ID, fmt.Sprintf("its first byte came to %s %v after the drain counted as told, %v are allowed",
					a.Backend, a.FirstByteAt.Sub(d.PublishedAt), rules.MaxSendAfterDrain)})
			}
		}
	}
	for _, r := range h.reqs {
		out = append(out, checkReq(r, answers[r.ID], attempts[r.ID], h.resets[r.ID], rules)...)
	}
	return out
}

func checkReq(r Req, answers []Answer, attempts []*Attempt, reset string, rules Rules) (out []Breach) {
	report := func(rule, format string, args ...any) {
		out = append(out, Breach{rule, r.ID, fmt.Sprintf(format, args...)})
	}
	for i, a := range attempts {
		for _, b := range attempts[:i] {
			if first, second := inOrder(a, b); r.Unsafe && !second.LastByteAt.IsZero() && first.mayHaveRun() {
				report("twice", "it went to %s whole, then to %s, and the first may have run", first.Backend, second.Backend)
			}
		}
	}
	if rules.MaxExtraTimeLeft > 0 {
		checkAttemptTimes(r, attempts, rules, report)
	}
	for _, a := range answers {
		hasResult, ran := false, false
		for _, at := range attempts {
			hasResult, ran = hasResult || at.Result != "" && at.Result == a.Body, ran || at.mayHaveRun()
		}
		switch {
		case a.Status == 200 && !hasResult:
			report("forged", "its result %q is no backend's for it", a.Body)
		case (a.Status == 429 || a.Status == 503) && r.Unsafe && ran:
			report("refusal", "refused with %d though an attempt may have run", a.Status)
		}
	}
	switch {
	case r.SentAt.IsZero() || r.ClientGone:
	case reset != "" && r.ReusedConnection && len(attempts) == 0: // the client sends it again
	case reset != "":
		report("reset", "its connection ended before its answer: %s", reset)
	case len(answers) == 0:
		report("lost", "taken and never answered")
	case !r.Deadline.IsZero() && answers[0].At.After(r.Deadline.Add(rules.MaxAnswerDelay)):
		report("lost", "answered %v after its time", answers[0].At.Sub(r.Deadline))
	}
	if len(answers) > 1 {
		report("answers", "%d final answers", len(answers))
	}
	return out
}

// checkAttemptTimes checks the rules told, gone and window: the time left that was sent to backends, attempts that start
// after the client has gone, and how long a keyed request is repeated.
func checkAttemptTimes(r Req, attempts []*Attempt, rules Rules, report func(rule, format string, args ...any)) {
	for i, a := range attempts {
		if left := r.Deadline.Sub(a.FirstByteAt); !r.Deadline.IsZero() && a.TimeLeft > max(left, 0)+rules.MaxExtraTimeLeft+rules.ClockTolerance {
			report("told", "%s was told %v where %v were left", a.Backend, a.TimeLeft, left)
		}
		if !r.ClientGoneAt.IsZero() && a.FirstByteAt.Sub(r.ClientGoneAt) > rules.MaxStartAfterGone+rules.ClockTolerance {
			report("gone", "it began at %s %v after its client had gone", a.Backend, a.FirstByteAt.Sub(r.ClientGoneAt))
		}
		for _, b := range attempts[:i] {
			first, second := inOrder(a, b)
			if interval := second.FirstByteAt.Sub(first.FirstByteAt); r.RepeatWindow > 0 && first.mayHaveRun() && interval > r.RepeatWindow+rules.ClockTolerance {
				report("window", "it began at %s, and %v later at %s", first.Backend, interval, second.Backend)
			}
		}
	}
}

// inOrder returns two attempts in the order in which they started.
func inOrder(a, b *Attempt) (first, second *Attempt) {
	if b.FirstByteAt.Before(a.FirstByteAt) {
		return b, a
	}
	return a, b
}
