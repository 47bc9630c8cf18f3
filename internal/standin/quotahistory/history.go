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
	Start   = "start"   // the head of an attempt is whole at a backend
	End     = "end"     // the backend is about to send the last of its answer
	Aborted = "aborted" // the backend found its connection gone before that
	Quota   = "quota"   // Units of Team from now on; where they are fewer, from a Settle later
	Free    = "free"    // Team has no quota from now on
	Reserve = "reserve" // Units of urgent reserve, over all regions
)

// Line is one line of the history. T is Unix time in nanoseconds of one clock of the machine.
type Line struct {
	T       int64  `json:"t"`
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
		if err == nil && (l.T <= 0 || !slices.Contains([]string{Start, End, Aborted, Quota, Free, Reserve}, l.Event)) {
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
	// Settle is how long after a quota was lowered reqs may still begin by the one before.
	Settle time.Duration
	// Notice is how much later than the dispatcher a backend may find an attempt aborted.
	Notice time.Duration
}

// Verdict is a rule that a history breaks.
type Verdict struct {
	Rule Rule
	T    int64
	Team string
	Text string
}

func (v Verdict) String() string { return fmt.Sprintf("%s: team %q: %s", v.Rule, v.Team, v.Text) }

// Rule names what has to hold.
type Rule string

// The rules. The first two are judged at each start: what runs already is never stopped.
const (
	WithinQuota   Rule = "no more of a team run than its quota"
	WithinReserve Rule = "no more run beyond the quotas than the urgent reserve"
	Whole         Rule = "the history is whole"
)

// Judge finds all that is wrong with a history, in any order of lines; none: it holds.
func Judge(lines []Line, rules Rules) []Verdict {
	_, out := judge(lines, rules)
	return out
}

// Most is the most reqs of each team that ran at once.
func Most(lines []Line, rules Rules) map[string]int {
	most, _ := judge(lines, rules)
	return most
}

// team is one team as the history goes on.
type team struct {
	running, plain int   // reqs; of them those that are not urgent
	quotas         []set // in the order of time
}

// set is a quota from a time on.
type set struct {
	at    int64
	units int // below 0: none
}

// allowed is the largest quota that was in force within a time; false: there was none for a part of it.
func (t *team) allowed(now int64, within time.Duration) (units int, ok bool) {
	for i := len(t.quotas) - 1; i >= 0; i-- {
		q := t.quotas[i]
		if q.units < 0 {
			return 0, false
		}
		if units = max(units, q.units); q.at <= now-within.Nanoseconds() {
			return units, true
		}
	}
	return 0, false
}

// attempt is one attempt's place and req.
type attempt struct{ backend, req string }

// pair gives ends of attempts that were aborted the time at which their dispatcher knew, and finds ends that have no
// start. Of one moment starts come first: two events of one nanosecond are taken the worse way round.
func pair(lines []Line, rules Rules) (out []Line, faults []Verdict) {
	lines = slices.Clone(lines)
	rank := map[string]int{Start: 1, End: 2, Aborted: 2} // after what was set
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(cmp.Compare(a.T, b.T), rank[a.Event]-rank[b.Event]) })
	open := map[attempt][]Line{}
	for _, l := range lines {
		at := attempt{l.Backend, l.Req}
		switch l.Event {
		case Start:
			open[at] = append(open[at], l)
		case End, Aborted:
			started := open[at]
			if len(started) == 0 {
				faults = append(faults, Verdict{Whole, l.T, l.Team, fmt.Sprintf("an end of req %q at %s that did not start there", l.Req, l.Backend)})
				continue
			}
			open[at] = started[1:]
			if l.Team = started[0].Team; l.Event == Aborted {
				l.T = max(l.T-rules.Notice.Nanoseconds(), started[0].T)
			}
		}
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Or(cmp.Compare(a.T, b.T), rank[a.Event]-rank[b.Event]) })
	return out, faults
}

func judge(lines []Line, rules Rules) (most map[string]int, out []Verdict) {
	lines, out = pair(lines, rules)
	most = map[string]int{}
	teams := map[string]*team{}
	attempts := map[string]int{} // of each req that run
	urgent := map[string]bool{}
	reserve := &team{quotas: []set{{-1 << 62, 0}}}
	of := func(name string) *team {
		if teams[name] == nil {
			teams[name] = &team{quotas: []set{{-1 << 62, -1}}}
		}
		return teams[name]
	}
	for _, l := range lines {
		t := of(l.Team)
		switch l.Event {
		case Quota:
			t.quotas = append(t.quotas, set{l.T, l.Units})
		case Free:
			t.quotas = append(t.quotas, set{l.T, -1})
		case Reserve:
			reserve.quotas = append(reserve.quotas, set{l.T, l.Units})
		case End, Aborted:
			if attempts[l.Req]--; attempts[l.Req] == 0 {
				if t.running--; !urgent[l.Req] {
					t.plain--
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
				t.plain++
			}
			most[l.Team] = max(most[l.Team], t.running)
			units, ok := t.allowed(l.T, rules.Settle)
			switch beyond := over(teams, l.T, rules.Settle); {
			case !ok:
			case !l.Urgent && t.plain > units:
				out = append(out, Verdict{WithinQuota, l.T, l.Team, fmt.Sprintf("req %q starts at %s as the %d. of %d units", l.Req, l.Backend, t.plain, units)})
			case beyond > 0:
				if spare, _ := reserve.allowed(l.T, rules.Settle); beyond > spare {
					out = append(out, Verdict{WithinReserve, l.T, l.Team, fmt.Sprintf("req %q starts at %s, %d are beyond the quotas, the reserve is %d",
						l.Req, l.Backend, beyond, spare)})
				}
			}
		}
	}
	return most, out
}

// over is how many reqs run beyond their teams' quotas: those that were urgent, and no more than are.
func over(teams map[string]*team, now int64, within time.Duration) (n int) {
	for _, t := range teams {
		if units, ok := t.allowed(now, within); ok {
			n += max(t.running-max(units, t.plain), 0)
		}
	}
	return n
}
