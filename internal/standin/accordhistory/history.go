// Package accordhistory judges the recorded history of a fleet that changes its policy by the accord
// (docs/design/accord.md). It knows lines alone: what backends saw, what the processes logged, what
// clients were answered and what the rig did to them. It shares no code with what it judges, so that a
// mistake there shows here; its tests show that it can say no.
package accordhistory

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// The sides that a line can come from.
const (
	SourceBackend = "backend" // an attempt's head is whole (started) or its end is sent
	SourceLog     = "control" // a log event of the accord, its name without "accord: "
	SourceClient  = "client"  // a req was asked, or has its status
	SourceRig     = "rig"     // what was done to a process, or to the fleet
)

// Events of the rig. Those of one process name it; FaultsStarted and FaultsEnded are the fleet's.
const (
	ProcessStarted   = "began"   // a life of a process begins
	ProcessEnded     = "ended"   // it was killed or has ended
	ProcessSuspended = "stopped" // it is stopped by a signal
	ProcessResumed   = "woken"   // it runs again
	CutOff           = "cut"     // it hears of no voter any more
	Reconnected      = "mended"
	FaultsStarted    = "fault" // the fleet has faults from now on
	FaultsEnded      = "over"  // no fault is left: from here on the fleet has to settle
)

// Line is one line of the history. T is Unix time in nanoseconds of one clock of the machine.
type Line struct {
	Time       int64  `json:"t"`
	Source     string `json:"side"`
	Backend    string `json:"backend,omitempty"`
	Dispatcher string `json:"dispatcher,omitempty"` // of a client's line: whom it asked
	Req        string `json:"req,omitempty"`
	Version    uint64 `json:"version,omitempty"`
	Started    bool   `json:"started,omitempty"`
	Process    string `json:"process,omitempty"`
	Event      string `json:"event,omitempty"`
	Change     string `json:"change,omitempty"`
	Reason     string `json:"why,omitempty"`
	Proposer   string `json:"by,omitempty"`
	Sent       bool   `json:"asked,omitempty"`
	Status     int    `json:"status,omitempty"` // 0 of a client's line that is no ask: its connection broke
}

// Read reads JSON lines. Keys that it does not know are left out.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	for d := json.NewDecoder(r); ; {
		var l Line
		err := d.Decode(&l)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err == nil && (l.Time <= 0 || !slices.Contains([]string{SourceBackend, SourceLog, SourceClient, SourceRig}, l.Source)) {
			err = fmt.Errorf("line %d: no time, or side %q", len(out)+1, l.Source)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
}

// Rules are what a history is judged by.
type Rules struct {
	// ClockTolerance is the most that a start's bytes may travel and wait, and that a line's time may be late.
	ClockTolerance time.Duration
	// Lease is L: what was taken before a cut begins within it. 0: cuts are not judged.
	Lease time.Duration
	// SettleTimeout is the time after the faults' end within which the fleet is on one version.
	SettleTimeout time.Duration
	// MaxStartsAfterResume is how many starts of one process within Slack of its wake are not counted as versions at
	// one moment: the attempts that were between check and write when it was stopped.
	MaxStartsAfterResume int
	// ContinueWhenCut leaves out what when_cut = "keep" does not promise: one version at a moment, and cuts.
	ContinueWhenCut bool
}

// Violation is a rule that a history breaks.
type Violation struct {
	Rule    Rule
	Message string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Message }

// Rule names what has to hold.
type Rule string

// The rules, as the note's page on the recorded history has them, and two of its promises.
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

// Check finds all that is wrong with a history, in any order of lines; none: it holds.
func Check(lines []Line, rules Rules) []Violation {
	j := &checker{rules: rules, lines: slices.Clone(lines)}
	slices.SortStableFunc(j.lines, func(a, b Line) int { return int(min(max(a.Time-b.Time, -1), 1)) })
	if !rules.ContinueWhenCut {
		j.checkOneVersionAtOnce()
		j.checkCutOff()
	}
	j.checkReqs()
	j.checkDecisions()
	j.checkResults()
	j.checkVersionOrder()
	j.checkAnswers()
	j.checkSettles()
	return j.out
}

type checker struct {
	rules Rules
	lines []Line
	out   []Violation
}

func (j *checker) report(r Rule, text string, args ...any) {
	j.out = append(j.out, Violation{r, fmt.Sprintf(text, args...)})
}

// VersionSpans are the first and last start of each version, less those that a woken process had in hand.
func VersionSpans(lines []Line, rules Rules) map[uint64][2]Line {
	out, woke, excused := map[uint64][2]Line{}, map[string]int64{}, map[string]int{}
	for _, l := range lines {
		if l.Source == SourceRig && l.Event == ProcessResumed {
			woke[l.Process], excused[l.Process] = l.Time, 0
		}
		if l.Source != SourceBackend || !l.Started {
			continue
		}
		span, seen := out[l.Version]
		if at, ok := woke[l.Dispatcher]; ok && seen && l.Time-at <= int64(rules.ClockTolerance) && excused[l.Dispatcher] < rules.MaxStartsAfterResume && hasLaterVersion(out, l) {
			excused[l.Dispatcher]++
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

// hasLaterVersion says whether a version after the line's has started already.
func hasLaterVersion(spans map[uint64][2]Line, l Line) bool {
	for v := range spans {
		if v > l.Version {
			return true
		}
	}
	return false
}

func (j *checker) checkOneVersionAtOnce() {
	spans := VersionSpans(j.lines, j.rules)
	for a, old := range spans {
		for b, next := range spans {
			if a < b && old[1].Time-int64(j.rules.ClockTolerance) >= next[0].Time {
				j.report(OneVersionAtOnce, "%s began %s by %d %v after %s began %s by %d", old[1].Dispatcher, old[1].Req, a,
					time.Duration(old[1].Time-next[0].Time), next[0].Dispatcher, next[0].Req, b)
			}
		}
	}
}

// checkCutOff finds starts of a dispatcher that has been cut off for a lease.
func (j *checker) checkCutOff() {
	cut := map[string]int64{}
	for _, l := range j.lines {
		switch {
		case l.Source == SourceRig && l.Event == CutOff:
			cut[l.Process] = l.Time
		case l.Source == SourceRig && (l.Event == Reconnected || l.Event == ProcessStarted):
			delete(cut, l.Process)
		case l.Source == SourceBackend && l.Started && j.rules.Lease > 0:
			if at, ok := cut[l.Dispatcher]; ok && l.Time > at+int64(j.rules.Lease+j.rules.ClockTolerance) {
				j.report(StopsWhenCut, "%s began %s %v after it was cut off", l.Dispatcher, l.Req, time.Duration(l.Time-at))
			}
		}
	}
}

// checkReqs finds checkReqs with two versions from one dispatcher, or with none, and versions used before they
// were decided.
func (j *checker) checkReqs() {
	decided := map[uint64]int64{}
	for _, l := range j.lines {
		if _, ok := decided[l.Version]; l.Source == SourceLog && l.Event == "decided" && !ok {
			decided[l.Version] = l.Time
		}
	}
	of, told := map[[2]string]uint64{}, map[uint64]bool{}
	for _, l := range j.lines {
		if l.Source != SourceBackend {
			continue
		}
		key := [2]string{l.Dispatcher, l.Req}
		if v, ok := of[key]; ok && v != l.Version || l.Version == 0 {
			j.report(OneVersionPerReq, "%s of %s by %d and %d", l.Req, l.Dispatcher, v, l.Version)
		}
		of[key] = l.Version
		if at, ok := decided[l.Version]; l.Started && !told[l.Version] && (!ok || l.Time+int64(j.rules.ClockTolerance) < at) {
			told[l.Version] = true
			j.report(DecidedBeforeUse, "%s began by %d, decided at no earlier time", l.Req, l.Version)
		}
	}
}

// checkDecisions finds versions with two contents.
func (j *checker) checkDecisions() {
	change, by := map[uint64]string{}, map[uint64]string{}
	for _, l := range j.lines {
		if l.Source != SourceLog || l.Event != "decided" && l.Event != "in force" {
			continue
		}
		if l.Event == "in force" && (l.Change == "0" || l.Change == "") { // its first lease, and not by a change that it took part in
			continue
		}
		if was, ok := change[l.Version]; ok && was != l.Change {
			j.report(OneChangePerVersion, "%d is the change %s and, at %s, %s", l.Version, was, l.Process, l.Change)
		}
		change[l.Version] = l.Change
		if l.Event == "decided" {
			if was, ok := by[l.Version]; ok && was != l.Proposer {
				j.report(OneChangePerVersion, "%d is by %s and, at %s, by %s", l.Version, was, l.Process, l.Proposer)
			}
			by[l.Version] = l.Proposer
		}
	}
	for v, c := range change {
		for w, d := range change {
			if v < w && c == d {
				j.report(OneChangePerVersion, "the change %s is %d and %d", c, v, w)
			}
		}
	}
}

// checkResults finds changes that were decided and withdrawn, or decided although one refused.
func (j *checker) checkResults() {
	decided, withdrawn, refused := map[string]bool{}, map[string]string{}, map[string]string{}
	for _, l := range j.lines {
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
	for c := range decided {
		if p, ok := withdrawn[c]; ok {
			j.report(OneResultPerChange, "%s was decided, and is withdrawn at %s", c, p)
		}
		if p, ok := refused[c]; ok {
			j.report(RefusedNotDecided, "%s was decided, and %s refused it", c, p)
		}
	}
}

// checkVersionOrder finds versions that go down in one life of a process.
func (j *checker) checkVersionOrder() {
	held, most := map[string]uint64{}, uint64(0)
	for _, l := range j.lines {
		switch {
		case l.Source == SourceRig && l.Event == ProcessStarted:
			delete(held, l.Process)
		case l.Source == SourceLog && l.Event == "in force":
			if l.Version < held[l.Process] {
				j.report(VersionsIncrease, "%s had %d and then %d", l.Process, held[l.Process], l.Version)
			}
			held[l.Process] = l.Version
		case l.Source == SourceLog && l.Event == "decided":
			if l.Version > most+1 {
				j.report(VersionsIncrease, "%d was decided after %d", l.Version, most)
			}
			most = max(most, l.Version)
		}
	}
}

// checkAnswers finds reqs with no status or two. One that broke because its dispatcher was ended under it was
// not lost by the accord.
func (j *checker) checkAnswers() {
	type req struct {
		to     string
		at     int64
		status []int
	}
	reqs, ended := map[string]*req{}, map[string][]int64{}
	for _, l := range j.lines {
		switch {
		case l.Source == SourceRig && l.Event == ProcessEnded:
			ended[l.Process] = append(ended[l.Process], l.Time)
		case l.Source != SourceClient:
		case l.Sent:
			reqs[l.Req] = &req{to: l.Dispatcher, at: l.Time}
		case reqs[l.Req] == nil:
			j.report(NoReqLost, "%s has %d and was never asked", l.Req, l.Status)
		default:
			reqs[l.Req].status = append(reqs[l.Req].status, l.Status)
		}
	}
	for id, r := range reqs {
		over := slices.ContainsFunc(ended[r.to], func(at int64) bool { return at >= r.at-int64(j.rules.ClockTolerance) })
		switch {
		case len(r.status) == 1 && (r.status[0] != 0 || over):
		case len(r.status) == 0 && over:
		default:
			j.report(NoReqLost, "%s, asked of %s, has the answers %v", id, r.to, r.status)
		}
	}
}
