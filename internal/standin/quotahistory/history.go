// Package quotahistory judges the recorded history of a fleet whose teams have quotas (docs/design/quota.md). It
// knows lines alone: what backends saw of reqs, and what quotas were set when. It shares no code with what it judges,
// so that a mistake there shows here; its tests show that it can say no.
package quotahistory

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// Events of a line.
const (
	Start        = "start"   // the head of an attempt is whole at a backend
	End          = "end"     // the backend is about to send the last of its answer
	Aborted      = "aborted" // the backend found its connection gone before that
	Quota        = "quota"   // Units of Team from now on; where they are fewer, from a Settle later
	QuotaRemoved = "free"    // Team has no quota from now on
	Reserve      = "reserve" // Units of urgent reserve, over all regions
)

// Line is one line of the history. T is Unix time in nanoseconds of one clock of the machine.
type Line struct {
	Time    int64  `json:"t"`
	Event   string `json:"event"`
	Team    string `json:"team,omitempty"`
	Req     string `json:"req,omitempty"`
	Backend string `json:"backend,omitempty"`
	Urgent  bool   `json:"urgent,omitempty"` // of a start
	Units   int    `json:"units,omitempty"`
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
		if err == nil && (l.Time <= 0 || !slices.Contains([]string{Start, End, Aborted, Quota, QuotaRemoved, Reserve}, l.Event)) {
			err = fmt.Errorf("line %d: no time, or event %q", len(out)+1, l.Event)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
}

// Rules are what a history is judged by.
type Rules struct {
	// LoweringGrace is how long after a quota was lowered reqs may still begin by the one before.
	LoweringGrace time.Duration
	// MaxAbortDelay is how much later than the dispatcher a backend may find an attempt aborted.
	MaxAbortDelay time.Duration
}

// Violation is a rule that a history breaks.
type Violation struct {
	Rule    Rule
	Time    int64
	Team    string
	Message string
}

func (v Violation) String() string { return fmt.Sprintf("%s: team %q: %s", v.Rule, v.Team, v.Message) }

// Rule names what has to hold.
type Rule string

// The rules. The first two are judged at each start: what runs already is never stopped.
const (
	WithinQuota   Rule = "no more of a team run than its quota"
	WithinReserve Rule = "no more run beyond the quotas than the urgent reserve"
	Complete      Rule = "the history is whole"
)

// Check finds all that is wrong with a history, in any order of lines; none: it holds.
func Check(lines []Line, rules Rules) []Violation {
	_, out := check(lines, rules)
	return out
}

// MaxRunning is the most reqs of each team that ran at once.
func MaxRunning(lines []Line, rules Rules) map[string]int {
	most, _ := check(lines, rules)
	return most
}

// teamState is one teamState as the history goes on.
type teamState struct {
	running, nonUrgent int           // reqs; of them those that are not urgent
	limits             []limitChange // in the order of time
}

// limitChange is a quota from a time on.
type limitChange struct {
	from  int64
	units int // below 0: none
}

// limit is the largest quota that was in force within a time; false: there was none for a part of it.
func (t *teamState) limit(now int64, within time.Duration) (units int, ok bool) {
	for i := len(t.limits) - 1; i >= 0; i-- {
		q := t.limits[i]
		if q.units < 0 {
			return 0, false
		}
		if units = max(units, q.units); q.from <= now-within.Nanoseconds() {
			return units, true
		}
	}
	return 0, false
}

// attemptKey is one attemptKey's place and req.
type attemptKey struct{ backend, req string }

// resolveEnds gives ends of attempts that were aborted the time at which their dispatcher knew, and finds ends that have no
// start. Of one moment starts come first: two events of one nanosecond are taken the worse way round.
func resolveEnds(lines []Line, rules Rules) (out []Line, faults []Violation) {
	lines = slices.Clone(lines)
	rank := map[string]int{Start: 1, End: 2, Aborted: 2} // after what was set
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(cmp.Compare(a.Time, b.Time), rank[a.Event]-rank[b.Event]) })
	open := map[attemptKey][]Line{}
	for _, l := range lines {
		at := attemptKey{l.Backend, l.Req}
		switch l.Event {
		case Start:
			open[at] = append(open[at], l)
		case End, Aborted:
			started := open[at]
			if len(started) == 0 {
				faults = append(faults, Violation{Complete, l.Time, l.Team, fmt.Sprintf("an end of req %q at %s that did not start there", l.Req, l.Backend)})
				continue
			}
			open[at] = started[1:]
			if l.Team = started[0].Team; l.Event == Aborted {
				l.Time = max(l.Time-rules.MaxAbortDelay.Nanoseconds(), started[0].Time)
			}
		}
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Or(cmp.Compare(a.Time, b.Time), rank[a.Event]-rank[b.Event]) })
	return out, faults
}

func check(lines []Line, rules Rules) (most map[string]int, out []Violation) {
	lines, out = resolveEnds(lines, rules)
	most = map[string]int{}
	teams := map[string]*teamState{}
	attempts := map[string]int{} // of each req that run
	urgent := map[string]bool{}
	reserve := &teamState{limits: []limitChange{{-1 << 62, 0}}}
	of := func(name string) *teamState {
		if teams[name] == nil {
			teams[name] = &teamState{limits: []limitChange{{-1 << 62, -1}}}
		}
		return teams[name]
	}
	for _, l := range lines {
		t := of(l.Team)
		switch l.Event {
		case Quota:
			t.limits = append(t.limits, limitChange{l.Time, l.Units})
		case QuotaRemoved:
			t.limits = append(t.limits, limitChange{l.Time, -1})
		case Reserve:
			reserve.limits = append(reserve.limits, limitChange{l.Time, l.Units})
		case End, Aborted:
			if attempts[l.Req]--; attempts[l.Req] == 0 {
				if t.running--; !urgent[l.Req] {
					t.nonUrgent--
				}
				delete(attempts, l.Req)
				delete(urgent, l.Req)
			}
		case Start:
			if attempts[l.Req]++; attempts[l.Req] > 1 {
				continue // a further attempt of a req that runs
			}
			urgent[l.Req] = l.Urgent
			if t.running++; !l.Urgent {
				t.nonUrgent++
			}
			most[l.Team] = max(most[l.Team], t.running)
			units, ok := t.limit(l.Time, rules.LoweringGrace)
			switch beyond := countOverQuota(teams, l.Time, rules.LoweringGrace); {
			case !ok:
			case !l.Urgent && t.nonUrgent > units:
				out = append(out, Violation{WithinQuota, l.Time, l.Team, fmt.Sprintf("req %q starts at %s as the %d. of %d units", l.Req, l.Backend, t.nonUrgent, units)})
			case beyond > 0:
				if spare, _ := reserve.limit(l.Time, rules.LoweringGrace); beyond > spare {
					out = append(out, Violation{WithinReserve, l.Time, l.Team, fmt.Sprintf("req %q starts at %s, %d are beyond the quotas, the reserve is %d",
						l.Req, l.Backend, beyond, spare)})
				}
			}
		}
	}
	return most, out
}

// countOverQuota is how many reqs run beyond their teams' quotas: those that were urgent, and no more than are.
func countOverQuota(teams map[string]*teamState, now int64, within time.Duration) (n int) {
	for _, t := range teams {
		if units, ok := t.limit(now, within); ok {
			n += max(t.running-max(units, t.nonUrgent), 0)
		}
	}
	return n
}
