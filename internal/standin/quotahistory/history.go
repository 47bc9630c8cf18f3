// Package quotahistory checks the recorded history of a fleet whose teams have quotas (docs/design/quota.md). Its input is
// the recorded lines alone: what backends observed of requests, and which quotas were set when. It shares no code with the
// implementation that it checks, so that an error there isn't repeated here. Its tests show that it finds each violation.
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

// Values of Line.Event.
const (
	Start        = "start"   // a backend has received the whole head of an attempt
	End          = "end"     // the backend is about to send the last part of its answer
	Aborted      = "aborted" // the backend found the connection closed before that
	Quota        = "quota"   // Team may use Units from now on; a lowered quota holds only after LoweringGrace
	QuotaRemoved = "free"    // Team has no quota, and so no limit, from now on
	Reserve      = "reserve" // the urgent reserve is Units from now on, summed over all regions
)

// Line is one record of the history.
type Line struct {
	Time    int64  `json:"t"` // Unix time in nanoseconds; all lines use one clock of the machine
	Event   string `json:"event"`
	Team    string `json:"team,omitempty"`
	Req     string `json:"req,omitempty"`
	Backend string `json:"backend,omitempty"`
	Urgent  bool   `json:"urgent,omitempty"` // set on starts only: the request may use the urgent reserve
	Units   int    `json:"units,omitempty"`
}

// Read decodes JSON lines up to the end of r. Unknown keys are ignored; a line without a time or with an unknown event is an error.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	for d := json.NewDecoder(r); ; {
		var l Line
		err := d.Decode(&l)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err == nil && (l.Time <= 0 || !slices.Contains([]string{Start, End, Aborted, Quota, QuotaRemoved, Reserve}, l.Event)) {
			err = fmt.Errorf("line %d: no time, or unknown event %q", len(out)+1, l.Event)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
}

// Rules are the time limits that the checks allow for.
type Rules struct {
	// LoweringGrace is how long after a quota is lowered requests may still start under the previous one.
	LoweringGrace time.Duration
	// MaxAbortDelay is how much later than the dispatcher a backend may notice that an attempt was aborted.
	MaxAbortDelay time.Duration
}

// Violation is one breach of a rule: where in the history it was found, and a description.
type Violation struct {
	Rule    Rule
	Time    int64
	Team    string
	Message string
}

func (v Violation) String() string { return fmt.Sprintf("%s: team %q: %s", v.Rule, v.Team, v.Message) }

// Rule is the name of a rule, as reports print it.
type Rule string

// The rules. The first two are checked at each start only: lowering a quota never stops requests that already run.
const (
	WithinQuota   Rule = "no more of a team run than its quota"
	WithinReserve Rule = "no more run beyond the quotas than the urgent reserve"
	Complete      Rule = "the history is whole"
)

// Check returns every violation in a history, whose lines may come in any order.
func Check(lines []Line, rules Rules) []Violation {
	_, out := check(lines, rules)
	return out
}

// MaxRunning returns the largest number of requests of each team that ran at the same time.
func MaxRunning(lines []Line, rules Rules) map[string]int {
	maxRunning, _ := check(lines, rules)
	return maxRunning
}

// teamState is the state of one team at a point of the history. The urgent reserve is held as one more teamState.
type teamState struct {
	running, nonUrgent int           // running requests, and those of them that are not urgent
	limits             []limitChange // in order of time
}

// limitChange is a quota, or its absence, from a point in time on.
type limitChange struct {
	from  int64
	units int // negative: no quota
}

// limit returns the largest quota that was in force in the period of the given length before now. ok is false if the team
// had no quota in some part of that period.
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

// attemptKey identifies the attempts of one request at one backend.
type attemptKey struct{ backend, req string }

// resolveEnds returns the lines in order of time and reports ends that have no start. Ends take the team of their start, and
// aborted attempts the earliest time at which their dispatcher may have known of the end. Of lines with the same time,
// starts come before ends: the order within one nanosecond is unknown, so the stricter one is assumed.
func resolveEnds(lines []Line, rules Rules) (out []Line, violations []Violation) {
	lines = slices.Clone(lines)
	rank := map[string]int{Start: 1, End: 2, Aborted: 2} // changes of quotas and of the reserve have rank 0 and come first
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(cmp.Compare(a.Time, b.Time), rank[a.Event]-rank[b.Event]) })
	open := map[attemptKey][]Line{}
	for _, l := range lines {
		key := attemptKey{l.Backend, l.Req}
		switch l.Event {
		case Start:
			open[key] = append(open[key], l)
		case End, Aborted:
			started := open[key]
			if len(started) == 0 {
				violations = append(violations, Violation{Complete, l.Time, l.Team, fmt.Sprintf("request %q ended at %s without a start there", l.Req, l.Backend)})
				continue
			}
			open[key] = started[1:]
			if l.Team = started[0].Team; l.Event == Aborted {
				l.Time = max(l.Time-rules.MaxAbortDelay.Nanoseconds(), started[0].Time)
			}
		}
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Or(cmp.Compare(a.Time, b.Time), rank[a.Event]-rank[b.Event]) })
	return out, violations
}

func check(lines []Line, rules Rules) (maxRunning map[string]int, out []Violation) {
	lines, out = resolveEnds(lines, rules)
	maxRunning = map[string]int{}
	teams := map[string]*teamState{}
	attempts := map[string]int{} // running attempts by request
	urgent := map[string]bool{}
	reserve := &teamState{limits: []limitChange{{-1 << 62, 0}}}
	teamOf := func(name string) *teamState {
		if teams[name] == nil {
			teams[name] = &teamState{limits: []limitChange{{-1 << 62, -1}}}
		}
		return teams[name]
	}
	for _, l := range lines {
		t := teamOf(l.Team)
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
				continue // another attempt of a running request uses no further unit
			}
			urgent[l.Req] = l.Urgent
			if t.running++; !l.Urgent {
				t.nonUrgent++
			}
			maxRunning[l.Team] = max(maxRunning[l.Team], t.running)
			units, ok := t.limit(l.Time, rules.LoweringGrace)
			switch beyond := countOverQuota(teams, l.Time, rules.LoweringGrace); {
			case !ok:
			case !l.Urgent && t.nonUrgent > units:
				out = append(out, Violation{WithinQuota, l.Time, l.Team, fmt.Sprintf("request %q starts at %s: %d requests that are not urgent run, quota is %d", l.Req, l.Backend, t.nonUrgent, units)})
			case beyond > 0:
				if spare, _ := reserve.limit(l.Time, rules.LoweringGrace); beyond > spare {
					out = append(out, Violation{WithinReserve, l.Time, l.Team, fmt.Sprintf("request %q starts at %s: %d running above the quotas, reserve is %d",
						l.Req, l.Backend, beyond, spare)})
				}
			}
		}
	}
	return maxRunning, out
}

// countOverQuota returns how many requests run above the quotas of their teams. Only urgent requests are counted: a team's
// excess is at most the number of its urgent requests.
func countOverQuota(teams map[string]*teamState, now int64, within time.Duration) (n int) {
	for _, t := range teams {
		if units, ok := t.limit(now, within); ok {
			n += max(t.running-max(units, t.nonUrgent), 0)
		}
	}
	return n
}
