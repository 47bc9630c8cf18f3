// Package accordhistory checks the recorded history of a fleet that changes its policy through the accord
// (docs/design/accord.md). Its input is the recorded lines alone: what backends observed, what the processes logged,
// what clients were answered and what the test rig did to the processes. It shares no code with the implementation that it
// checks, so that an error there isn't repeated here. Its tests show that it finds each violation.
package accordhistory

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// Values of Line.Source: where a line comes from.
const (
	SourceBackend = "backend" // a backend received the whole head of an attempt (Started), or sent the end of its answer
	SourceLog     = "control" // a process logged an event of the accord; Event is its name without "accord: "
	SourceClient  = "client"  // a client sent a request, or received its status
	SourceRig     = "rig"     // the rig did something to a process or to the fleet
)

// Values of Line.Event for SourceRig. FaultsStarted and FaultsEnded concern the whole fleet; the others name the process.
const (
	ProcessStarted   = "began"   // a new incarnation of the process starts
	ProcessEnded     = "ended"   // it was killed or has exited
	ProcessSuspended = "stopped" // it was suspended by a signal
	ProcessResumed   = "woken"   // it was resumed
	CutOff           = "cut"     // it no longer receives anything from any voter
	Reconnected      = "mended"
	FaultsStarted    = "fault" // faults are in effect from now on
	FaultsEnded      = "over"  // no fault is in effect any more; the fleet has to settle from now on
)

// Line is one record of the history.
type Line struct {
	Time       int64  `json:"t"` // Unix time in nanoseconds; all lines use one clock of the machine
	Source     string `json:"side"`
	Backend    string `json:"backend,omitempty"`
	Dispatcher string `json:"dispatcher,omitempty"` // on client lines: the dispatcher the request was sent to
	Req        string `json:"req,omitempty"`
	Version    uint64 `json:"version,omitempty"`
	Started    bool   `json:"started,omitempty"` // on backend lines: the attempt arrived; otherwise its answer ended
	Process    string `json:"process,omitempty"`
	Event      string `json:"event,omitempty"`
	Change     string `json:"change,omitempty"`
	Reason     string `json:"why,omitempty"`
	Proposer   string `json:"by,omitempty"`
	Sent       bool   `json:"asked,omitempty"`  // on client lines: the request was sent; otherwise its status arrived
	Status     int    `json:"status,omitempty"` // on client lines without Sent: the status; 0: the connection broke
}

// Read decodes JSON lines up to the end of r. Unknown keys are ignored; a line without a time or with an unknown source is an error.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	for d := json.NewDecoder(r); ; {
		var l Line
		err := d.Decode(&l)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err == nil && (l.Time <= 0 || !slices.Contains([]string{SourceBackend, SourceLog, SourceClient, SourceRig}, l.Source)) {
			err = fmt.Errorf("line %d: no time, or unknown source %q", len(out)+1, l.Source)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
}

// Rules are the time limits and allowances of the checks.
type Rules struct {
	// ClockTolerance is the longest delay allowed between the start of an attempt and its arrival at the backend, and
	// between an event and the time of its line.
	ClockTolerance time.Duration
	// Lease is the lease duration L: a dispatcher that is cut off may start attempts for this long. 0: cuts are not checked.
	Lease time.Duration
	// SettleTimeout is the time after the end of the faults within which the fleet must be on one version.
	SettleTimeout time.Duration
	// MaxStartsAfterResume is how many starts of one process within ClockTolerance of its resumption may use an older
	// version than others already do: these attempts had passed the check but weren't written when it was suspended.
	MaxStartsAfterResume int
	// ContinueWhenCut skips the rules that the setting when_cut = "keep" doesn't guarantee: one version at a moment, and
	// stopping when cut off.
	ContinueWhenCut bool
}

// Violation is one breach of a rule, with a description.
type Violation struct {
	Rule    Rule
	Message string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Message }

// Rule is the name of a rule, as reports print it.
type Rule string

// The rules: those of the section on the recorded history in docs/design/accord.md, and two more of its guarantees.
const (
	OneVersionAtOnce    Rule = "one version at a moment"
	OneVersionPerReq    Rule = "one version of a req"
	DecidedBeforeUse    Rule = "decided before it is used"
	OneChangePerVersion Rule = "one change of a version"
	OneResultPerChange  Rule = "a change has one end"
	VersionsIncrease    Rule = "no version goes back"
	NoReqLost           Rule = "no req is lost"
	SettlesAfterFaults  Rule = "one version after the faults"
	StopsWhenCut        Rule = "stops when it is cut off"
	RefusedNotDecided   Rule = "what one refused is nowhere"
)

// Check returns every violation in a history, whose lines may come in any order.
func Check(lines []Line, rules Rules) []Violation {
	c := &checker{rules: rules, lines: slices.Clone(lines)}
	slices.SortStableFunc(c.lines, func(a, b Line) int { return int(min(max(a.Time-b.Time, -1), 1)) })
	if !rules.ContinueWhenCut {
		c.checkOneVersionAtOnce()
		c.checkCutOff()
	}
	c.checkReqs()
	c.checkDecisions()
	c.checkResults()
	c.checkVersionOrder()
	c.checkAnswers()
	c.checkSettles()
	return c.out
}

// checker holds the lines, in order of time, and the violations found so far.
type checker struct {
	rules Rules
	lines []Line
	out   []Violation
}

func (c *checker) report(r Rule, text string, args ...any) {
	c.out = append(c.out, Violation{r, fmt.Sprintf(text, args...)})
}

// VersionSpans returns the first and the last start of each version. It leaves out up to MaxStartsAfterResume late starts of a
// process that was resumed. The lines must be in order of time.
func VersionSpans(lines []Line, rules Rules) map[uint64][2]Line {
	out, resumedAt, lateStarts := map[uint64][2]Line{}, map[string]int64{}, map[string]int{}
	for _, l := range lines {
		if l.Source == SourceRig && l.Event == ProcessResumed {
			resumedAt[l.Process], lateStarts[l.Process] = l.Time, 0
		}
		if l.Source != SourceBackend || !l.Started {
			continue
		}
		span, seen := out[l.Version]
		if at, ok := resumedAt[l.Dispatcher]; ok && seen && l.Time-at <= int64(rules.ClockTolerance) && lateStarts[l.Dispatcher] < rules.MaxStartsAfterResume && hasLaterVersion(out, l) {
			lateStarts[l.Dispatcher]++
			continue
		}
		if !seen {
			span[0] = l
		}
		span[1] = l
		out[l.Version] = span
	}
	return out
}

// hasLaterVersion reports whether a version later than that of the line has already started.
func hasLaterVersion(spans map[uint64][2]Line, l Line) bool {
	for v := range spans {
		if v > l.Version {
			return true
		}
	}
	return false
}

func (c *checker) checkOneVersionAtOnce() {
	spans := VersionSpans(c.lines, c.rules)
	for a, old := range spans {
		for b, next := range spans {
			if a < b && old[1].Time-int64(c.rules.ClockTolerance) >= next[0].Time {
				c.report(OneVersionAtOnce, "%s started %s under version %d %v after %s started %s under version %d", old[1].Dispatcher, old[1].Req, a,
					time.Duration(old[1].Time-next[0].Time), next[0].Dispatcher, next[0].Req, b)
			}
		}
	}
}

// checkCutOff finds attempts that a dispatcher started after it had been cut off for longer than a lease.
func (c *checker) checkCutOff() {
	cut := map[string]int64{}
	for _, l := range c.lines {
		switch {
		case l.Source == SourceRig && l.Event == CutOff:
			cut[l.Process] = l.Time
		case l.Source == SourceRig && (l.Event == Reconnected || l.Event == ProcessStarted):
			delete(cut, l.Process)
		case l.Source == SourceBackend && l.Started && c.rules.Lease > 0:
			if at, ok := cut[l.Dispatcher]; ok && l.Time > at+int64(c.rules.Lease+c.rules.ClockTolerance) {
				c.report(StopsWhenCut, "%s started %s %v after it was cut off", l.Dispatcher, l.Req, time.Duration(l.Time-at))
			}
		}
	}
}

// checkReqs finds requests that one dispatcher sent under two versions or under none, and versions used before they were
// decided.
func (c *checker) checkReqs() {
	decided := map[uint64]int64{}
	for _, l := range c.lines {
		if _, ok := decided[l.Version]; l.Source == SourceLog && l.Event == "decided" && !ok {
			decided[l.Version] = l.Time
		}
	}
	versions, reported := map[[2]string]uint64{}, map[uint64]bool{}
	for _, l := range c.lines {
		if l.Source != SourceBackend {
			continue
		}
		key := [2]string{l.Dispatcher, l.Req}
		if v, ok := versions[key]; ok && v != l.Version || l.Version == 0 {
			c.report(OneVersionPerReq, "%s was sent by %s under versions %d and %d", l.Req, l.Dispatcher, v, l.Version)
		}
		versions[key] = l.Version
		if at, ok := decided[l.Version]; l.Started && !reported[l.Version] && (!ok || l.Time+int64(c.rules.ClockTolerance) < at) {
			reported[l.Version] = true
			c.report(DecidedBeforeUse, "%s started under version %d, which was not decided before", l.Req, l.Version)
		}
	}
}

// checkDecisions finds versions with two changes or two proposers, and changes with two versions.
func (c *checker) checkDecisions() {
	changes, proposers := map[uint64]string{}, map[uint64]string{}
	for _, l := range c.lines {
		if l.Source != SourceLog || l.Event != "decided" && l.Event != "in force" {
			continue
		}
		if l.Event == "in force" && (l.Change == "0" || l.Change == "") { // the version of its first lease, without a change that it took part in
			continue
		}
		if known, ok := changes[l.Version]; ok && known != l.Change {
			c.report(OneChangePerVersion, "version %d is change %s and, at %s, change %s", l.Version, known, l.Process, l.Change)
		}
		changes[l.Version] = l.Change
		if l.Event == "decided" {
			if known, ok := proposers[l.Version]; ok && known != l.Proposer {
				c.report(OneChangePerVersion, "version %d was proposed by %s and, at %s, by %s", l.Version, known, l.Process, l.Proposer)
			}
			proposers[l.Version] = l.Proposer
		}
	}
	for v, change := range changes {
		for w, other := range changes {
			if v < w && change == other {
				c.report(OneChangePerVersion, "change %s is version %d and version %d", change, v, w)
			}
		}
	}
}

// checkResults finds changes that were both decided and withdrawn, or decided although a process refused them.
func (c *checker) checkResults() {
	decided, withdrawn, refused := map[string]bool{}, map[string]string{}, map[string]string{}
	for _, l := range c.lines {
		if l.Source != SourceLog || l.Change == "0" || l.Change == "" {
			continue
		}
		switch l.Event {
		case "decided", "in force":
			decided[l.Change] = true
		case "withdrawn":
			withdrawn[l.Change] = l.Process
		case "checked":
			if l.Reason != "" {
				refused[l.Change] = l.Process
			}
		}
	}
	for change := range decided {
		if p, ok := withdrawn[change]; ok {
			c.report(OneResultPerChange, "change %s was decided, but withdrawn at %s", change, p)
		}
		if p, ok := refused[change]; ok {
			c.report(RefusedNotDecided, "change %s was decided, but %s refused it", change, p)
		}
	}
}

// checkVersionOrder finds versions that decrease within one incarnation of a process, and decided versions that skip a number.
func (c *checker) checkVersionOrder() {
	versions, decided := map[string]uint64{}, uint64(0)
	for _, l := range c.lines {
		switch {
		case l.Source == SourceRig && l.Event == ProcessStarted:
			delete(versions, l.Process)
		case l.Source == SourceLog && l.Event == "in force":
			if l.Version < versions[l.Process] {
				c.report(VersionsIncrease, "%s went from version %d back to %d", l.Process, versions[l.Process], l.Version)
			}
			versions[l.Process] = l.Version
		case l.Source == SourceLog && l.Event == "decided":
			if l.Version > decided+1 {
				c.report(VersionsIncrease, "version %d was decided directly after %d", l.Version, decided)
			}
			decided = max(decided, l.Version)
		}
	}
}

// checkAnswers finds requests without exactly one status. A request whose connection broke, or that has no status, isn't
// counted as lost if its dispatcher's process ended after it was sent: the accord didn't cause that.
func (c *checker) checkAnswers() {
	type req struct {
		dispatcher string
		sentAt     int64
		statuses   []int
	}
	reqs, ended := map[string]*req{}, map[string][]int64{}
	for _, l := range c.lines {
		switch {
		case l.Source == SourceRig && l.Event == ProcessEnded:
			ended[l.Process] = append(ended[l.Process], l.Time)
		case l.Source != SourceClient:
		case l.Sent:
			reqs[l.Req] = &req{dispatcher: l.Dispatcher, sentAt: l.Time}
		case reqs[l.Req] == nil:
			c.report(NoReqLost, "request %s has status %d but was never sent", l.Req, l.Status)
		default:
			reqs[l.Req].statuses = append(reqs[l.Req].statuses, l.Status)
		}
	}
	for id, r := range reqs {
		processEnded := slices.ContainsFunc(ended[r.dispatcher], func(at int64) bool { return at >= r.sentAt-int64(c.rules.ClockTolerance) })
		switch {
		case len(r.statuses) == 1 && (r.statuses[0] != 0 || processEnded):
		case len(r.statuses) == 0 && processEnded:
		default:
			c.report(NoReqLost, "request %s, sent to %s, has statuses %v", id, r.dispatcher, r.statuses)
		}
	}
}
