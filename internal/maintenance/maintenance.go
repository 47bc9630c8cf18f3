// Package maintenance decides which backends operators have taken out of use. It filters the list of backends: a banned
// backend is never passed on as ready, whatever its source reports, and after the ban it is passed on as the source reports it
// now. It does no I/O and reads no clock.
package maintenance

import (
	"maps"
	"slices"
	"strings"

	"tinsail/internal/balance"
)

// Backend is one backend of a list.
type Backend struct {
	balance.Worker
	Name, Address string
	LocalStart    bool // Started is the floor of a mark and not a time from the list
}

// Mark records the operators' last offline or online call for a backend; it outlives the process. Times are Unix ms: At and Floor are on the clock of
// the process that holds the mark (see ConvertClock), Seen is as listed.
type Mark struct {
	Name   string  `json:"name"`
	Banned bool    `json:"banned"`
	At     float64 `json:"at"`    // time of the call, used for the order of calls
	Floor  float64 `json:"floor"` // the backend counts as started no earlier, unless it is listed with a later start than Seen
	Seen   float64 `json:"seen"`  // start that was listed when the ban began or ended
}

// ConvertClock converts marks to another clock. here and there are the readings of both clocks at the same moment. Each floor
// keeps its age and never lies in the future; the order of calls doesn't change.
func ConvertClock(marks []Mark, here, there float64) []Mark {
	out := slices.Clone(marks)
	for i := range out {
		if m := &out[i]; m.Floor > 0 {
			m.Floor = there - max(here-m.Floor, 0)
		}
	}
	return out
}

// Limits on what is remembered of backends that no list names now. maxGone is for backends that are gone and not banned, whose
// names stay known. maxUnlisted is for marks from elsewhere whose names were never listed here.
const (
	maxGone     = 1024
	maxUnlisted = 50_000
)

// entry is what is known of one backend.
type entry struct {
	lastListed Backend
	listed     bool // some list has named it
	mark       Mark
	goneOrder  uint64 // position in the order in which backends disappeared; 0 while it is listed
	policyBan  bool   // the fleet's policy bans it, independently of the mark
}

// Bans holds the bans in force and the list that they filter. The zero value is empty. It is not safe for concurrent use.
type Bans struct {
	all           map[string]*entry
	lastGoneOrder uint64
	goneCount     int

	unlistedCount int // number of entries that are marked and were never listed here

	policyBans map[string]bool // names that the fleet's policy bans
}

func (b *Bans) entry(name string) *entry {
	e := b.all[name]
	if e == nil {
		if b.all == nil {
			b.all = map[string]*entry{}
		}
		e = &entry{lastListed: Backend{Name: name}, policyBan: b.policyBans[name]}
		b.all[name] = e
	}
	return e
}

// effective returns the backend as it is passed on.
func (e *entry) effective() Backend {
	out := e.lastListed
	if (e.mark.Banned || e.policyBan) && out.State == balance.Ready {
		out.State = balance.Draining
	}
	if e.mark.Floor > 0 {
		if out.Started > e.mark.Seen { // the list knows of a newer start
			e.mark.Floor = 0
		} else {
			out.Started, out.LocalStart = e.mark.Floor, true
		}
	}
	return out
}

// ApplyList handles a list of a source and returns what to pass on, in the same order.
func (b *Bans) ApplyList(kind balance.ListKind, list []Backend) []Backend {
	if kind == balance.ListFailed {
		return nil
	}
	out := make([]Backend, len(list))
	named := make(map[string]bool, len(list))
	for i := range list {
		e := b.entry(list[i].Name)
		if !e.listed && e.mark.At > 0 {
			b.unlistedCount--
		}
		previous := e.lastListed
		e.lastListed, e.listed, named[list[i].Name] = list[i], true, true
		if e.lastListed.State == balance.Gone { // such an entry carries no other information
			e.lastListed = previous
			e.lastListed.ID, e.lastListed.Name, e.lastListed.State = list[i].ID, list[i].Name, balance.Gone
			b.recordGone(e)
		} else if e.goneOrder > 0 {
			e.goneOrder = 0
			b.goneCount--
		}
		out[i] = e.effective()
	}
	if kind == balance.ListFull || kind == balance.ListCached {
		for name, e := range b.all {
			if !named[name] && e.lastListed.State != balance.Gone {
				e.lastListed.State = balance.Gone
				b.recordGone(e)
			}
		}
	}
	return out
}

// recordGone records that a backend is gone, and forgets the one that disappeared first if there are too many.
func (b *Bans) recordGone(e *entry) {
	if e.goneOrder == 0 {
		b.goneCount++
	}
	b.lastGoneOrder++
	e.goneOrder = b.lastGoneOrder
	if b.goneCount <= maxGone {
		return
	}
	var first *entry
	for _, x := range b.all {
		if x.goneOrder > 0 && !x.mark.Banned && (first == nil || x.goneOrder < first.goneOrder) {
			first = x
		}
	}
	if first != nil {
		delete(b.all, first.lastListed.Name)
		b.goneCount--
	}
}

// Known reports whether a backend of this name was ever listed, here or where the marks came from.
func (b *Bans) Known(name string) bool {
	e := b.all[name]
	return e != nil && (e.listed || e.mark.At > 0)
}

// Offline bans a backend. change is what to pass on; ok is false for a name that was never listed.
func (b *Bans) Offline(now float64, name string) (change []Backend, ok bool) {
	if !b.Known(name) {
		return nil, false
	}
	e := b.all[name]
	if e.mark.Banned {
		return nil, true
	}
	e.mark = Mark{Name: name, Banned: true, At: b.callTime(now, e), Seen: e.lastListed.Started}
	return e.change(), true
}

// Online ends a ban. The backend is expected to have been restarted meanwhile and to be cold: it counts as started now,
// unless the list has reported a start since the ban began.
func (b *Bans) Online(now float64, name string) (change []Backend, ok bool) {
	if !b.Known(name) {
		return nil, false
	}
	e := b.all[name]
	if !e.mark.Banned {
		return nil, true
	}
	mark := Mark{Name: name, At: b.callTime(now, e)}
	// Decided by the order of listed starts too and not by clocks alone: the list's clock may disagree with this process's.
	if e.lastListed.Started <= e.mark.Seen || e.lastListed.Started < e.mark.At {
		mark.Floor, mark.Seen = now, e.lastListed.Started
	}
	e.mark = mark
	return e.change(), true
}

// callTime returns the time recorded for a call. It is later than that of the call before, so that the later one of two marks
// wins whatever the clock did.
func (b *Bans) callTime(now float64, e *entry) float64 { return max(now, e.mark.At+0.001) }

func (e *entry) change() []Backend {
	if !e.listed || e.lastListed.State == balance.Gone {
		return nil
	}
	return []Backend{e.effective()}
}

// SourceList returns the list as the source reports it, without bans, sorted by name.
func (b *Bans) SourceList() (list []Backend) {
	for _, name := range slices.Sorted(maps.Keys(b.all)) {
		if e := b.all[name]; e.listed && e.lastListed.State != balance.Gone {
			list = append(list, e.lastListed)
		}
	}
	return list
}

// Marks returns all marks, sorted by name.
func (b *Bans) Marks() []Mark {
	var out []Mark
	for _, e := range b.all {
		if e.mark.At > 0 {
			out = append(out, e.mark)
		}
	}
	slices.SortFunc(out, func(x, y Mark) int { return strings.Compare(x.Name, y.Name) })
	return out
}

// Mark returns the mark of one backend; its At is 0 if operators never made a call on it.
func (b *Bans) Mark(name string) Mark {
	if e := b.all[name]; e != nil {
		return e.mark
	}
	return Mark{}
}

// IsNewer reports whether a mark from elsewhere is of a later call than the mark held for its backend.
func (b *Bans) IsNewer(m Mark) bool { return m.Name != "" && m.At > b.Mark(m.Name).At }

// Merge adds marks from elsewhere: a file, or another process of this dispatcher. Of two marks on one backend the later
// call wins. It returns what to pass on.
func (b *Bans) Merge(marks []Mark) (change []Backend) {
	for _, m := range marks {
		if !b.IsNewer(m) {
			continue
		}
		if b.all[m.Name] == nil {
			if b.unlistedCount >= maxUnlisted {
				continue
			}
			b.unlistedCount++
		}
		e := b.entry(m.Name)
		e.mark = m
		change = append(change, e.change()...)
	}
	return change
}

// SetPolicyBans replaces the names that the fleet's policy bans, and returns what to pass on. Marks are not changed.
func (b *Bans) SetPolicyBans(names []string) (change []Backend) {
	b.policyBans = make(map[string]bool, len(names))
	for _, name := range names {
		b.policyBans[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(b.all)) {
		if e := b.all[name]; e.policyBan != b.policyBans[name] {
			e.policyBan = b.policyBans[name]
			change = append(change, e.change()...)
		}
	}
	return change
}

// AllBanned lists the backends that nothing may be sent to, banned by the fleet's policy or by operators, sorted by name.
func (b *Bans) AllBanned() []string {
	names := append(slices.Collect(maps.Keys(b.policyBans)), b.OperatorBanned()...)
	slices.Sort(names)
	return slices.Compact(names)
}

// OperatorBanned lists the backends that operators have banned here, sorted by name.
func (b *Bans) OperatorBanned() (names []string) {
	for _, m := range b.Marks() {
		if m.Banned {
			names = append(names, m.Name)
		}
	}
	return names
}
