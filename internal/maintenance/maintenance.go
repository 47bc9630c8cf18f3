// Package maintenance decides which backends operators have taken out of use. It lies over the list
// of backends: whatever a source says, a banned backend is never shown as ready, and once the ban
// is over it is shown as the source has it now. It does no I/O and reads no clock.
package maintenance

import (
	"maps"
	"slices"
	"strings"

	"tinsail/internal/balance"
)

// Backend is a line of a list.
type Backend struct {
	balance.Worker
	Name, Address string
	Local         bool // Started is a mark's floor, not what the list told
}

// Mark is what operators last said of a backend; it is what outlives a process. Times are Unix ms, At and Floor on the clock of
// the process that holds the mark (see Moved), Seen as the list tells it.
type Mark struct {
	Name   string  `json:"name"`
	Banned bool    `json:"banned"`
	At     float64 `json:"at"`    // of the call; only the order of calls rests on it
	Floor  float64 `json:"floor"` // it counts as started no earlier, unless the list tells of a later start than Seen
	Seen   float64 `json:"seen"`  // the start that the list told when the ban began, or ended
}

// Moved are marks on another clock: here and there are what both clocks show at the same moment. A floor is as old there as
// here, and never lies ahead; the order of calls stays as it is.
func Moved(marks []Mark, here, there float64) []Mark {
	out := slices.Clone(marks)
	for i := range out {
		if m := &out[i]; m.Floor > 0 {
			m.Floor = there - max(here-m.Floor, 0)
		}
	}
	return out
}

// Bounds on what is remembered of backends that no list names now: of those that are gone and not banned, whose ids are
// known and no more; and of those that marks from elsewhere name and no list ever did here.
const (
	mostGone      = 1024
	mostStrangers = 50_000
)

// entry is what is known of one backend.
type entry struct {
	last   Backend
	listed bool // some list has named it
	mark   Mark
	gone   uint64 // order in which it went; 0 while it is listed
	policy bool   // the fleet's policy bans it, whatever operators said here
}

// Bans are the bans in force and the list that they lie over. The zero value has neither. It is not for
// concurrent use.
type Bans struct {
	all   map[string]*entry
	turn  uint64
	gones int

	strangers int // marked, and never listed here

	policy map[string]bool // names that the fleet's policy bans
}

func (b *Bans) entry(name string) *entry {
	e := b.all[name]
	if e == nil {
		if b.all == nil {
			b.all = map[string]*entry{}
		}
		e = &entry{last: Backend{Name: name}, policy: b.policy[name]}
		b.all[name] = e
	}
	return e
}

// shown is how a backend is passed on.
func (e *entry) shown() Backend {
	out := e.last
	if (e.mark.Banned || e.policy) && out.State == balance.Ready {
		out.State = balance.Draining
	}
	if e.mark.Floor > 0 {
		if out.Started > e.mark.Seen { // the list tells better
			e.mark.Floor = 0
		} else {
			out.Started, out.Local = e.mark.Floor, true
		}
	}
	return out
}

// List takes what a source said and returns what to pass on, in the same order.
func (b *Bans) List(kind balance.ListKind, list []Backend) []Backend {
	if kind == balance.ListFailed {
		return nil
	}
	out := make([]Backend, len(list))
	named := make(map[string]bool, len(list))
	for i := range list {
		e := b.entry(list[i].Name)
		if !e.listed && e.mark.At > 0 {
			b.strangers--
		}
		was := e.last
		e.last, e.listed, named[list[i].Name] = list[i], true, true
		if e.last.State == balance.Gone { // it says nothing but that
			e.last = was
			e.last.ID, e.last.Name, e.last.State = list[i].ID, list[i].Name, balance.Gone
			b.left(e)
		} else if e.gone > 0 {
			e.gone = 0
			b.gones--
		}
		out[i] = e.shown()
	}
	if kind == balance.ListFull || kind == balance.ListCached {
		for name, e := range b.all {
			if !named[name] && e.last.State != balance.Gone {
				e.last.State = balance.Gone
				b.left(e)
			}
		}
	}
	return out
}

// left notes that a backend is gone, and forgets the one that went first of too many.
func (b *Bans) left(e *entry) {
	if e.gone == 0 {
		b.gones++
	}
	b.turn++
	e.gone = b.turn
	if b.gones <= mostGone {
		return
	}
	var first *entry
	for _, x := range b.all {
		if x.gone > 0 && !x.mark.Banned && (first == nil || x.gone < first.gone) {
			first = x
		}
	}
	if first != nil {
		delete(b.all, first.last.Name)
		b.gones--
	}
}

// Known says whether a backend of this name was ever listed, here or where the marks came from.
func (b *Bans) Known(name string) bool {
	e := b.all[name]
	return e != nil && (e.listed || e.mark.At > 0)
}

// Offline bans a backend. change is what to pass on, ok is false for a name that was never listed.
func (b *Bans) Offline(now float64, name string) (change []Backend, ok bool) {
	if !b.Known(name) {
		return nil, false
	}
	e := b.all[name]
	if e.mark.Banned {
		return nil, true
	}
	e.mark = Mark{Name: name, Banned: true, At: b.after(now, e), Seen: e.last.Started}
	return e.change(), true
}

// Online ends a ban. The backend was restarted meanwhile and is cold: it counts as started now,
// unless the list tells of a start since the ban began.
func (b *Bans) Online(now float64, name string) (change []Backend, ok bool) {
	if !b.Known(name) {
		return nil, false
	}
	e := b.all[name]
	if !e.mark.Banned {
		return nil, true
	}
	mark := Mark{Name: name, At: b.after(now, e)}
	// By the order of what the list told and not by clocks alone: the list's need not agree with this process's.
	if e.last.Started <= e.mark.Seen || e.last.Started < e.mark.At {
		mark.Floor, mark.Seen = now, e.last.Started
	}
	e.mark = mark
	return e.change(), true
}

// after is the time of a call: later than the last one's, so that of two marks the later call's holds
// whatever the clock did.
func (b *Bans) after(now float64, e *entry) float64 { return max(now, e.mark.At+0.001) }

func (e *entry) change() []Backend {
	if !e.listed || e.last.State == balance.Gone {
		return nil
	}
	return []Backend{e.shown()}
}

// Listed is the list that the bans lie over, as the source has it, in the order of names.
func (b *Bans) Listed() (list []Backend) {
	for _, name := range slices.Sorted(maps.Keys(b.all)) {
		if e := b.all[name]; e.listed && e.last.State != balance.Gone {
			list = append(list, e.last)
		}
	}
	return list
}

// Marks are all that operators have said, in the order of names.
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

// Mark is what operators last said of one backend; its At is 0 if they said nothing.
func (b *Bans) Mark(name string) Mark {
	if e := b.all[name]; e != nil {
		return e.mark
	}
	return Mark{}
}

// Merge takes marks from elsewhere: a file, or another process of this dispatcher. Of two on one
// backend the later call's holds. It returns what to pass on.
func (b *Bans) Merge(marks []Mark) (change []Backend) {
	for _, m := range marks {
		if m.Name == "" || m.At <= 0 {
			continue
		}
		if b.all[m.Name] == nil {
			if b.strangers >= mostStrangers {
				continue
			}
			b.strangers++
		}
		if e := b.entry(m.Name); m.At > e.mark.At {
			e.mark = m
			change = append(change, e.change()...)
		}
	}
	return change
}

// Policy takes the names that the fleet's policy bans from now on, in place of those before. It returns
// what to pass on. What operators have said here stays as it was.
func (b *Bans) Policy(names []string) (change []Backend) {
	b.policy = make(map[string]bool, len(names))
	for _, name := range names {
		b.policy[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(b.all)) {
		if e := b.all[name]; e.policy != b.policy[name] {
			e.policy = b.policy[name]
			change = append(change, e.change()...)
		}
	}
	return change
}

// Withheld lists those that nothing may be sent to, the fleet's policy's and the operators', in the order of names.
func (b *Bans) Withheld() []string {
	names := append(slices.Collect(maps.Keys(b.policy)), b.Banned()...)
	slices.Sort(names)
	return slices.Compact(names)
}

// Banned lists those that operators have banned here, in the order of names.
func (b *Bans) Banned() (names []string) {
	for _, m := range b.Marks() {
		if m.Banned {
			names = append(names, m.Name)
		}
	}
	return names
}
