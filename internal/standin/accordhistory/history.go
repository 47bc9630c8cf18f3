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
	Backend = "backend" // an attempt's head is whole (started) or its end is sent
	Control = "control" // a log event of the accord, its name without "accord: "
	Client  = "client"  // a req was asked, or has its status
	Rig     = "rig"     // what was done to a process, or to the fleet
)

// Events of the rig. Those of one process name it; Fault and Over are the fleet's.
const (
	Began   = "began"   // a life of a process begins
	Ended   = "ended"   // it was killed or has ended
	Stopped = "stopped" // it is stopped by a signal
	Woken   = "woken"   // it runs again
	Cut     = "cut"     // it hears of no voter any more
	Mended  = "mended"
	Fault   = "fault" // the fleet has faults from now on
	Over    = "over"  // no fault is left: from here on the fleet has to settle
)

// Line is one line of the history. T is Unix time in nanoseconds of one clock of the machine.
type Line struct {
	T          int64  `json:"t"`
	Side       string `json:"side"`
	Backend    string `json:"backend,omitempty"`
	Dispatcher string `json:"dispatcher,omitempty"` // of a client's line: whom it asked
	Req        string `json:"req,omitempty"`
	Version    uint64 `json:"version,omitempty"`
	Started    bool   `json:"started,omitempty"`
	Process    string `json:"process,omitempty"`
	Event      string `json:"event,omitempty"`
	Change     string `json:"change,omitempty"`
	Why        string `json:"why,omitempty"`
	By         string `json:"by,omitempty"`
	Asked      bool   `json:"asked,omitempty"`
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
		if err == nil && (l.T <= 0 || !slices.Contains([]string{Backend, Control, Client, Rig}, l.Side)) {
			err = fmt.Errorf("line %d: no time, or side %q", len(out)+1, l.Side)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
}

// Rules are what a history is judged by.
type Rules struct {
	// Slack is the most that a start's bytes may travel and wait, and that a line's time may be late.
	Slack time.Duration
	// Lease is L: what was taken before a cut begins within it. 0: cuts are not judged.
	Lease time.Duration
	// Settle is the time after the faults' end within which the fleet is on one version.
	Settle time.Duration
	// Woken is how many starts of one process within Slack of its wake are not counted as versions at
	// one moment: the attempts that were between check and write when it was stopped.
	Woken int
	// Keep leaves out what when_cut = "keep" does not promise: one version at a moment, and cuts.
	Keep bool
}

// Verdict is a rule that a history breaks.
type Verdict struct {
	Rule Rule
	Text string
}

func (v Verdict) String() string { return string(v.Rule) + ": " + v.Text }

// Rule names what has to hold.
type Rule string

// The rules, as the note's page on the recorded history has them, and two of its promises.
const (
	OneAtOnce    Rule = "one version at a moment"
	OneOfReq     Rule = "one version of a req"
	DecidedFirst Rule = "decided before it is used"
	OneContent   Rule = "one change of a version"
	EndsOnce     Rule = "a change has one end"
	NeverBack    Rule = "no version goes back"
	NoneLost     Rule = "no req is lost"
	Settles      Rule = "one version after the faults"
	StopsWhenCut Rule = "stops when it is cut off"
	RefusedEnds  Rule = "what one refused is nowhere"
)

// Judge finds all that is wrong with a history, in any order of lines; none: it holds.
func Judge(lines []Line, rules Rules) []Verdict {
	j := &judge{rules: rules, lines: slices.Clone(lines)}
	slices.SortStableFunc(j.lines, func(a, b Line) int { return int(min(max(a.T-b.T, -1), 1)) })
	if !rules.Keep {
		j.oneAtOnce()
		j.cuts()
	}
	j.reqs()
	j.decisions()
	j.ends()
	j.lives()
	j.answers()
	j.settles()
	return j.out
}

type judge struct {
	rules Rules
	lines []Line
	out   []Verdict
}

func (j *judge) no(r Rule, text string, args ...any) {
	j.out = append(j.out, Verdict{r, fmt.Sprintf(text, args...)})
}

// Spans are the first and last start of each version, less those that a woken process had in hand.
func Spans(lines []Line, rules Rules) map[uint64][2]Line {
	out, woke, excused := map[uint64][2]Line{}, map[string]int64{}, map[string]int{}
	for _, l := range lines {
		if l.Side == Rig && l.Event == Woken {
			woke[l.Process], excused[l.Process] = l.T, 0
		}
		if l.Side != Backend || !l.Started {
			continue
		}
		span, seen := out[l.Version]
		if at, ok := woke[l.Dispatcher]; ok && seen && l.T-at <= int64(rules.Slack) && excused[l.Dispatcher] < rules.Woken && later(out, l) {
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

// later says whether a version after the line's has started already.
func later(spans map[uint64][2]Line, l Line) bool {
	for v := range spans {
		if v > l.Version {
			return true
		}
	}
	return false
}

func (j *judge) oneAtOnce() {
	spans := Spans(j.lines, j.rules)
	for a, old := range spans {
		for b, next := range spans {
			if a < b && old[1].T-int64(j.rules.Slack) >= next[0].T {
				j.no(OneAtOnce, "%s began %s by %d %v after %s began %s by %d", old[1].Dispatcher, old[1].Req, a,
					time.Duration(old[1].T-next[0].T), next[0].Dispatcher, next[0].Req, b)
			}
		}
	}
}

// cuts finds starts of a dispatcher that has been cut off for a lease.
func (j *judge) cuts() {
	cut := map[string]int64{}
	for _, l := range j.lines {
		switch {
		case l.Side == Rig && l.Event == Cut:
			cut[l.Process] = l.T
		case l.Side == Rig && (l.Event == Mended || l.Event == Began):
			delete(cut, l.Process)
		case l.Side == Backend && l.Started && j.rules.Lease > 0:
			if at, ok := cut[l.Dispatcher]; ok && l.T > at+int64(j.rules.Lease+j.rules.Slack) {
				j.no(StopsWhenCut, "%s began %s %v after it was cut off", l.Dispatcher, l.Req, time.Duration(l.T-at))
			}
		}
	}
}

// reqs finds reqs with two versions from one dispatcher, or with none, and versions used before they
// were decided.
func (j *judge) reqs() {
	decided := map[uint64]int64{}
	for _, l := range j.lines {
		if _, ok := decided[l.Version]; l.Side == Control && l.Event == "decided" && !ok {
			decided[l.Version] = l.T
		}
	}
	of, told := map[[2]string]uint64{}, map[uint64]bool{}
	for _, l := range j.lines {
		if l.Side != Backend {
			continue
		}
		key := [2]string{l.Dispatcher, l.Req}
		if v, ok := of[key]; ok && v != l.Version || l.Version == 0 {
			j.no(OneOfReq, "%s of %s by %d and %d", l.Req, l.Dispatcher, v, l.Version)
		}
		of[key] = l.Version
		if at, ok := decided[l.Version]; l.Started && !told[l.Version] && (!ok || l.T+int64(j.rules.Slack) < at) {
			told[l.Version] = true
			j.no(DecidedFirst, "%s began by %d, decided at no earlier time", l.Req, l.Version)
		}
	}
}

// decisions finds versions with two contents.
func (j *judge) decisions() {
	change, by := map[uint64]string{}, map[uint64]string{}
	for _, l := range j.lines {
		if l.Side != Control || l.Event != "decided" && l.Event != "in force" {
			continue
		}
		if l.Event == "in force" && (l.Change == "0" || l.Change == "") { // its first lease, and not by a change that it took part in
			continue
		}
		if was, ok := change[l.Version]; ok && was != l.Change {
			j.no(OneContent, "%d is the change %s and, at %s, %s", l.Version, was, l.Process, l.Change)
		}
		change[l.Version] = l.Change
		if l.Event == "decided" {
			if was, ok := by[l.Version]; ok && was != l.By {
				j.no(OneContent, "%d is by %s and, at %s, by %s", l.Version, was, l.Process, l.By)
			}
			by[l.Version] = l.By
		}
	}
	for v, c := range change {
		for w, d := range change {
			if v < w && c == d {
				j.no(OneContent, "the change %s is %d and %d", c, v, w)
			}
		}
	}
}

// ends finds changes that were decided and withdrawn, or decided although one refused.
func (j *judge) ends() {
	decided, withdrawn, refused := map[string]bool{}, map[string]string{}, map[string]string{}
	for _, l := range j.lines {
		if l.Side != Control || l.Change == "0" || l.Change == "" {
			continue
		}
		switch l.Event {
		case "decided", "in force":
			decided[l.Change] = true
		case "withdrawn":
			withdrawn[l.Change] = l.Process
		case "checked":
			if l.Why != "" {
				refused[l.Change] = l.Process
			}
		}
	}
	for c := range decided {
		if p, ok := withdrawn[c]; ok {
			j.no(EndsOnce, "%s was decided, and is withdrawn at %s", c, p)
		}
		if p, ok := refused[c]; ok {
			j.no(RefusedEnds, "%s was decided, and %s refused it", c, p)
		}
	}
}

// lives finds versions that go down in one life of a process.
func (j *judge) lives() {
	held, most := map[string]uint64{}, uint64(0)
	for _, l := range j.lines {
		switch {
		case l.Side == Rig && l.Event == Began:
			delete(held, l.Process)
		case l.Side == Control && l.Event == "in force":
			if l.Version < held[l.Process] {
				j.no(NeverBack, "%s had %d and then %d", l.Process, held[l.Process], l.Version)
			}
			held[l.Process] = l.Version
		case l.Side == Control && l.Event == "decided":
			if l.Version > most+1 {
				j.no(NeverBack, "%d was decided after %d", l.Version, most)
			}
			most = max(most, l.Version)
		}
	}
}

// answers finds reqs with no status or two. One that broke because its dispatcher was ended under it was
// not lost by the accord.
func (j *judge) answers() {
	type req struct {
		to     string
		at     int64
		status []int
	}
	reqs, ended := map[string]*req{}, map[string][]int64{}
	for _, l := range j.lines {
		switch {
		case l.Side == Rig && l.Event == Ended:
			ended[l.Process] = append(ended[l.Process], l.T)
		case l.Side != Client:
		case l.Asked:
			reqs[l.Req] = &req{to: l.Dispatcher, at: l.T}
		case reqs[l.Req] == nil:
			j.no(NoneLost, "%s has %d and was never asked", l.Req, l.Status)
		default:
			reqs[l.Req].status = append(reqs[l.Req].status, l.Status)
		}
	}
	for id, r := range reqs {
		over := slices.ContainsFunc(ended[r.to], func(at int64) bool { return at >= r.at-int64(j.rules.Slack) })
		switch {
		case len(r.status) == 1 && (r.status[0] != 0 || over):
		case len(r.status) == 0 && over:
		default:
			j.no(NoneLost, "%s, asked of %s, has the answers %v", id, r.to, r.status)
		}
	}
}
