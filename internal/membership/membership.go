// Package membership decides which backends there are and what state each is in, from what
// several sources say of them: the platform's director, a catalogue, a list in the settings.
// It does no I/O, starts no goroutine, takes no lock and reads no clock: observations and the
// time are handed in, and what changed is handed out by Changes.
//
// Its rules, in the order in which they win:
//
//  1. A drain that any source tells holds at once, whatever else is doubted, damped or held.
//  2. What a source says last holds for it; a backend that it no longer names is doubted for a
//     while and then gone.
//  3. A source that falls silent is believed as it was, for as long as its rules say.
//  4. Where too large a part of a source's backends turns critical or vanishes together, it is
//     the source that is doubted, and they stay as they were.
//  5. A backend that keeps changing is not ready until it has been steady for a while.
//  6. Of the sources that name a backend, the one of the highest rank describes it.
package membership

import (
	"slices"
	"time"
)

// Health is what a source says of a backend.
type Health uint8

// Healths, from best to worst.
const (
	Passing Health = iota
	Warning
	Critical
	Drain // maintenance, terminating: told by people or by the backend, not found by a check
)

// State is what the dispatcher does with a backend.
type State uint8

// States of a backend.
const (
	Ready    State = iota
	Draining       // nothing new is sent
	Gone
)

var stateNames = [...]string{"ready", "draining", "gone"}

func (s State) String() string { return stateNames[s] }

// Backend is what a source says of one backend. Name is its identity in all sources.
type Backend struct {
	Name, Address string
	Kind, Zone    int
	Group         int
	Weight        float64
	Started       float64 // Unix ms of its process's start, 0 if long past
	Health        Health
}

// Member is a backend in the list that all sources together yield.
type Member struct {
	Backend
	State  State
	Reason string
	Source string        // that describes it
	Age    time.Duration // of that source's last news
}

// Rules are the bounds of one source. The zero value of a duration switches its rule off.
type Rules struct {
	Name string
	Rank int // the highest describes a backend that several name
	// Doubt is how long a backend that is no longer named stays as it was.
	Doubt time.Duration
	// Hold is how long a silent source is believed; 0 is for ever.
	Hold time.Duration
	// Panic is the part of the source's backends, 0 to 1, that may be critical or vanish within
	// PanicWindow before the source itself is doubted, for at most PanicHold.
	Panic       float64
	PanicWindow time.Duration
	PanicHold   time.Duration
	// A backend that turned not ready more than Flaps times within FlapWindow is ready again
	// only when it has been passing for Settle.
	Flaps      int
	FlapWindow time.Duration
	Settle     time.Duration
	// Off has the source's news kept and not used, until its rules say otherwise.
	Off bool
	// WarningDrains says that a warning is as good as critical.
	WarningDrains bool
}

// Defaults are rules that suit a catalogue of tens to thousands of backends.
func Defaults(name string, rank int) Rules {
	return Rules{Name: name, Rank: rank, Doubt: 2 * time.Second, Hold: 5 * time.Minute, Panic: 0.5, PanicWindow: 10 * time.Second,
		PanicHold: time.Minute, Flaps: 3, FlapWindow: 30 * time.Second, Settle: 10 * time.Second}
}

// entry is a backend as one source has it.
type entry struct {
	said    Backend // as last told
	missing time.Time
	downAt  time.Time   // it turned critical or went missing then; zero while it is neither
	good    bool        // it has been passing: there is a good state to keep to
	downs   []time.Time // that it turned not ready, the last few
	steady  time.Time   // passing again since; zero if it never was not
	state   State
	round   uint64 // whole list that named it last
}

type source struct {
	rules   Rules
	list    map[string]*entry
	heard   time.Time // of its last good news
	failed  bool      // silent since
	known   bool      // it has told a list
	expired bool      // silent beyond Hold
	round   uint64    // of whole lists
	panic   time.Time // since when it is doubted; zero if it is believed
	down    int       // of list, critical or missing now
	drains  int       // of list, told to drain
}

// Set is the list of backends and all that is known of where it comes from.
type Set struct {
	sources []*source
	members map[string]*Member
	dirty   map[string]bool
	changed []Member
	due     map[string]time.Time // of names that time alone may change
	next    time.Time            // the earliest of them, or earlier
}

// New makes an empty set for sources, which are named by their place in the list.
func New(rules ...Rules) *Set {
	s := &Set{members: map[string]*Member{}, dirty: map[string]bool{}, due: map[string]time.Time{}}
	for _, r := range rules {
		s.sources = append(s.sources, &source{rules: r, list: map[string]*entry{}})
	}
	return s
}

// Whole takes a whole list of a source; a backend that it does not name is missing.
func (s *Set) Whole(now time.Time, from int, list []Backend) {
	src := s.sources[from]
	s.back(now, src)
	src.round++
	for i := range list {
		s.observe(now, src, &list[i])
	}
	for name, e := range src.list {
		if e.round != src.round {
			s.miss(now, src, name, e)
		}
	}
	s.settle(now, src)
}

// Some takes news of some backends of a source, and the names of those that it dropped.
func (s *Set) Some(now time.Time, from int, list []Backend, dropped []string) {
	src := s.sources[from]
	s.back(now, src)
	for i := range list {
		s.observe(now, src, &list[i])
	}
	for _, name := range dropped {
		if e := src.list[name]; e != nil {
			s.miss(now, src, name, e)
		}
	}
	s.settle(now, src)
}

// Same takes the news that nothing has changed at a source.
func (s *Set) Same(now time.Time, from int) {
	src := s.sources[from]
	s.back(now, src)
	s.settle(now, src)
}

// Failed takes the news that a source does not answer. Only the first of a row counts.
func (s *Set) Failed(now time.Time, from int) {
	if src := s.sources[from]; !src.failed {
		src.failed = true
		if src.heard.IsZero() {
			src.heard = now
		}
		s.wakeAt(src)
		s.settle(now, src)
	}
}

// SetRules has other rules hold for a source from now on. What it has told stays.
func (s *Set) SetRules(now time.Time, from int, r Rules) {
	src := s.sources[from]
	src.rules, src.down = r, 0
	for name, e := range src.list {
		if e.down(src) {
			src.down++
		}
		s.dirty[name] = true
	}
	if src.failed {
		s.wakeAt(src)
	}
	s.settle(now, src)
}

// back ends a source's silence. What went missing meanwhile is doubted from now on, not from
// when it was last seen: a source that comes back takes nothing away at once.
func (s *Set) back(now time.Time, src *source) {
	src.known, src.heard = true, now
	if src.failed {
		src.failed = false
		for name, e := range src.list {
			if !e.missing.IsZero() {
				e.missing = now
			}
			if src.expired || !e.missing.IsZero() {
				s.dirty[name] = true
			}
		}
		src.expired = false
	}
}

func (s *Set) observe(now time.Time, src *source, b *Backend) {
	e := src.list[b.Name]
	if e == nil {
		e = &entry{state: Gone}
		src.list[b.Name] = e
	} else if e.said == *b && e.missing.IsZero() {
		e.round = src.round
		return
	}
	e.round = src.round
	was := e.down(src)
	if e.said.Health == Drain {
		src.drains--
	}
	e.said, e.missing = *b, time.Time{}
	if b.Health == Drain {
		src.drains++
	}
	s.turned(now, src, e, was)
	s.dirty[b.Name] = true
}

func (s *Set) miss(now time.Time, src *source, name string, e *entry) {
	if !e.missing.IsZero() {
		return
	}
	was := e.down(src)
	e.missing = now
	s.turned(now, src, e, was)
	s.dirty[name] = true
}

// down says whether a check, or its absence, speaks against a backend. A drain does not count:
// it is no sign that the source is wrong.
func (e *entry) down(src *source) bool {
	return !e.missing.IsZero() && e.said.Health != Drain || e.said.Health == Critical || e.said.Health == Warning && src.rules.WarningDrains
}

// turned keeps count of what is down and of how often a backend went down.
func (s *Set) turned(now time.Time, src *source, e *entry, was bool) {
	is := e.down(src)
	switch {
	case is && !was:
		src.down++
		e.downAt = now
		if e.good {
			e.downs = append(e.downs, now)
			if n := len(e.downs) - src.rules.Flaps - 1; n > 0 {
				e.downs = e.downs[n:]
			}
		}
	case !is && was:
		src.down--
		e.downAt, e.steady = time.Time{}, now
	}
	if !is && e.said.Health != Drain {
		e.good = true
	}
}

// settle judges a source as a whole, then all that may have changed.
func (s *Set) settle(now time.Time, src *source) {
	s.judge(now, src)
	s.sweep(now)
}

// sweep merges all that may have changed.
func (s *Set) sweep(now time.Time) {
	for name := range s.dirty {
		s.merge(now, name)
	}
	if len(s.dirty) > 64 { // clearing costs by the largest it ever was, and news is mostly small
		s.dirty = map[string]bool{}
	} else {
		clear(s.dirty)
	}
}

// judge decides whether the source itself is to be doubted. It looks at the list only where
// enough of it is down.
func (s *Set) judge(now time.Time, src *source) {
	r := &src.rules
	most := r.Panic * float64(len(src.list)-src.drains) // a drain is no sign that the source is wrong
	tooMany := r.Panic > 0 && len(src.list)-src.drains > 1 && float64(src.down) > most
	doubt := false
	switch {
	case tooMany && !src.panic.IsZero():
		doubt = r.PanicHold == 0 || now.Sub(src.panic) < r.PanicHold
	case tooMany:
		together := 0
		for _, e := range src.list {
			if e.good && !e.downAt.IsZero() && now.Sub(e.downAt) < r.PanicWindow {
				together++
			}
		}
		doubt = float64(together) > most
	}
	if doubt == !src.panic.IsZero() {
		return
	}
	if doubt {
		src.panic = now
		if r.PanicHold > 0 {
			s.arm(panicKey+r.Name, now.Add(r.PanicHold))
		}
	} else {
		src.panic = time.Time{}
		for _, e := range src.list { // what is down still is believed to be
			e.good = e.good && e.downAt.IsZero()
		}
	}
	for name := range src.list {
		s.dirty[name] = true
	}
}

// Names of timers that are no backend's: no name of a backend holds a zero byte.
const (
	panicKey  = "\x00panic "
	silentKey = "\x00silent "
)

func (s *Set) wakeAt(src *source) {
	if src.rules.Hold > 0 {
		s.arm(silentKey+src.rules.Name, src.heard.Add(src.rules.Hold))
	}
}

func (s *Set) arm(name string, at time.Time) {
	if old, ok := s.due[name]; ok && !at.Before(old) {
		return
	}
	s.due[name] = at
	if s.next.IsZero() || at.Before(s.next) {
		s.next = at
	}
}

// Next is when time alone may change something; zero is never.
func (s *Set) Next() time.Time { return s.next }

// Expire does what is due at a time.
func (s *Set) Expire(now time.Time) {
	if s.next.IsZero() || now.Before(s.next) {
		return
	}
	s.next = time.Time{}
	for name, at := range s.due {
		if now.Before(at) {
			if s.next.IsZero() || at.Before(s.next) {
				s.next = at
			}
			continue
		}
		delete(s.due, name)
		if name == "" || name[0] != 0 {
			s.dirty[name] = true
		}
	}
	for _, src := range s.sources {
		if src.failed && !src.expired && src.rules.Hold > 0 && now.Sub(src.heard) >= src.rules.Hold {
			src.expired = true
			for name := range src.list {
				s.dirty[name] = true
			}
		}
		s.judge(now, src)
	}
	s.sweep(now)
}

// Changes hands out what has changed since it was last called, each backend as it is now. The
// slice is the caller's.
func (s *Set) Changes() []Member {
	out := s.changed
	s.changed = nil
	return out
}

// Members is the whole list, by name, with the age of each one's source.
func (s *Set) Members(now time.Time) []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		c := *m
		for _, src := range s.sources {
			if src.rules.Name == m.Source {
				c.Age = now.Sub(src.heard)
			}
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		} else if a.Name > b.Name {
			return 1
		}
		return 0
	})
	return out
}

// Status is how a source stands.
type Status struct {
	Name             string
	Known, Silent    bool
	Doubted, Expired bool
	Age              time.Duration
	Backends, Down   int
}

// Sources tells how each source stands.
func (s *Set) Sources(now time.Time) []Status {
	out := make([]Status, len(s.sources))
	for i, src := range s.sources {
		out[i] = Status{Name: src.rules.Name, Known: src.known, Silent: src.failed, Doubted: !src.panic.IsZero(), Expired: src.expired,
			Age: now.Sub(src.heard), Backends: len(src.list), Down: src.down}
	}
	return out
}
