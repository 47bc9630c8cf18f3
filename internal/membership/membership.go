// Package membership decides which backends there are and which state each one has, from the reports of several sources: the
// platform's director, a service catalogue, a list in the settings. It does no I/O, starts no goroutine, takes no lock and
// reads no clock. Reports and the time are passed in, and Changes returns what changed.
//
// Its rules, in order of precedence:
//
//  1. A drain reported by any source takes effect at once, also while other rules delay or ignore changes.
//  2. Otherwise a source's latest report holds. A backend that the source no longer names keeps its state for a while (its
//     removal is doubted) and is then gone.
//  3. The last reports of a source that falls silent stay in force, for as long as its rules say.
//  4. If too large a part of a source's backends turns critical or vanishes together, the source itself is considered
//     wrong (panic) and those backends keep their state. One that was critical before stays out of use.
//  5. A backend that keeps changing (flaps) is not ready until it has been passing for a while.
//  6. Of the sources that name a backend, the one with the highest rank describes it. What it doesn't tell is taken from the
//     next one in rank that names the backend at the same address and tells it.
package membership

import (
	"slices"
	"time"
)

// Health is the health that a source reports for a backend.
type Health uint8

// Health values, from best to worst.
const (
	Passing Health = iota
	Warning
	Critical
	Drain // maintenance or termination: reported by people or the backend itself, not found by a check
)

// State tells the dispatcher how to use a backend.
type State uint8

// States of a backend.
const (
	Ready    State = iota
	Draining       // nothing new is sent to it
	Gone
)

var stateNames = [...]string{"ready", "draining", "gone"}

func (s State) String() string { return stateNames[s] }

// Unknown is a Kind, Zone, Group or Started that a source doesn't tell. A source of lower rank may tell it.
const Unknown = -1

// Backend is what a source reports about one backend. Name identifies it across all sources.
type Backend struct {
	Name, Address string
	Kind, Zone    int
	Group         int
	Weight        float64
	Started       float64 // start of its process in Unix ms; 0 if long ago
	Health        Health
}

// completeFrom takes over what b doesn't tell from another source's report of the backend at the same address.
func (b *Backend) completeFrom(other *Backend) {
	if other.Address != b.Address {
		return
	}
	if b.Kind == Unknown {
		b.Kind = other.Kind
	}
	if b.Zone == Unknown {
		b.Zone = other.Zone
	}
	if b.Group == Unknown {
		b.Group = other.Group
	}
	if b.Started == Unknown {
		b.Started = other.Started
	}
}

// Member is a backend in the list merged from all sources.
type Member struct {
	Backend
	State  State
	Reason string
	Source string        // name of the source that describes it
	Age    time.Duration // time since that source's last answer
}

// Rules configure one source. A duration of zero disables its rule.
type Rules struct {
	Name string
	Rank int // of the sources that name a backend, the one with the highest rank describes it
	// Doubt is how long a backend that is no longer named keeps its state.
	Doubt time.Duration
	// Hold is how long the last reports of a silent source stay in force; 0 means forever.
	Hold time.Duration
	// Panic is the part of the source's backends, 0 to 1, that may turn critical or vanish within PanicWindow. Beyond it
	// the source is considered wrong, for at most PanicHold.
	Panic       float64
	PanicWindow time.Duration
	PanicHold   time.Duration
	// A backend that stopped being ready more than Flaps times within FlapWindow is ready again only after it has been
	// passing for Settle.
	Flaps      int
	FlapWindow time.Duration
	Settle     time.Duration
	// Disabled keeps the source's reports without using them, until SetRules enables it.
	Disabled bool
	// WarningDrains treats a warning like a critical check.
	WarningDrains bool
}

// Defaults returns rules that suit a catalogue of tens to thousands of backends.
func Defaults(name string, rank int) Rules {
	return Rules{Name: name, Rank: rank, Doubt: 2 * time.Second, Hold: 5 * time.Minute, Panic: 0.5, PanicWindow: 10 * time.Second,
		PanicHold: time.Minute, Flaps: 3, FlapWindow: 30 * time.Second, Settle: 10 * time.Second}
}

// entry is one backend as reported by one source.
type entry struct {
	reported     Backend // latest report
	missingSince time.Time
	downSince    time.Time   // when it turned critical or went missing; zero while it is neither
	wasPassing   bool        // it has been passing, so there is a good state to keep during a panic
	downTimes    []time.Time // last few times at which it stopped being ready
	passingSince time.Time   // passing since, after it was down; zero if it never was down
	state        State
	round        uint64 // the last full list that named it
}

type source struct {
	rules      Rules
	list       map[string]*entry
	answeredAt time.Time // time of its last successful answer
	silent     bool      // failed since then
	hasList    bool      // it has delivered a list
	expired    bool      // silent for longer than Hold
	round      uint64    // number of its full lists so far
	panicSince time.Time // start of a panic; zero if there is none
	downCount  int       // number of its backends that are critical or missing
	drainCount int       // number of its backends reported as draining
}

// Set is the merged list of backends, with the state of each source.
type Set struct {
	sources   []*source
	members   map[string]*Member
	dirty     map[string]bool
	changed   []Member
	timers    map[string]time.Time // when the passing of time may change a backend or source, by name
	nextTimer time.Time            // the earliest of timers, or earlier
	reports   []report             // scratch of merge
}

// New makes an empty set for sources, which are identified by their index in rules.
func New(rules ...Rules) *Set {
	s := &Set{members: map[string]*Member{}, dirty: map[string]bool{}, timers: map[string]time.Time{}}
	for _, r := range rules {
		s.sources = append(s.sources, &source{rules: r, list: map[string]*entry{}})
	}
	return s
}

// ReplaceAll handles a source's full list. A backend that it doesn't name is missing.
func (s *Set) ReplaceAll(now time.Time, from int, list []Backend) {
	src := s.sources[from]
	s.endSilence(now, src)
	src.round++
	for i := range list {
		s.observe(now, src, &list[i])
	}
	for name, e := range src.list {
		if e.round != src.round {
			s.markMissing(now, src, name, e)
		}
	}
	s.reevaluate(now, src)
}

// Update handles reports of some backends of a source, and the names of those that it dropped.
func (s *Set) Update(now time.Time, from int, list []Backend, dropped []string) {
	src := s.sources[from]
	s.endSilence(now, src)
	for i := range list {
		s.observe(now, src, &list[i])
	}
	for _, name := range dropped {
		if e := src.list[name]; e != nil {
			s.markMissing(now, src, name, e)
		}
	}
	s.reevaluate(now, src)
}

// Unchanged handles an answer of a source that nothing has changed.
func (s *Set) Unchanged(now time.Time, from int) {
	src := s.sources[from]
	s.endSilence(now, src)
	s.reevaluate(now, src)
}

// Failed records that a source doesn't answer. Only the first of several failures in a row has an effect.
func (s *Set) Failed(now time.Time, from int) {
	if src := s.sources[from]; !src.silent {
		src.silent = true
		if src.answeredAt.IsZero() {
			src.answeredAt = now
		}
		s.setHoldTimer(src)
		s.reevaluate(now, src)
	}
}

// SetRules replaces the rules of a source. Its reports so far are kept.
func (s *Set) SetRules(now time.Time, from int, r Rules) {
	src := s.sources[from]
	src.rules, src.downCount = r, 0
	for name, e := range src.list {
		if e.isDown(src) {
			src.downCount++
		}
		s.dirty[name] = true
	}
	if src.silent {
		s.setHoldTimer(src)
	}
	s.reevaluate(now, src)
}

// endSilence records an answer of a source. A backend that is missing when a silence ends is doubted from now on, not from when
// it was last seen, so that a source which comes back doesn't remove anything at once.
func (s *Set) endSilence(now time.Time, src *source) {
	src.hasList, src.answeredAt = true, now
	if src.silent {
		src.silent = false
		for name, e := range src.list {
			if !e.missingSince.IsZero() {
				e.missingSince = now
			}
			if src.expired || !e.missingSince.IsZero() {
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
	} else if e.reported == *b && e.missingSince.IsZero() {
		e.round = src.round
		return
	}
	e.round = src.round
	wasDown := e.isDown(src)
	if e.reported.Health == Drain {
		src.drainCount--
	}
	e.reported, e.missingSince = *b, time.Time{}
	if b.Health == Drain {
		src.drainCount++
	}
	s.recordTransition(now, src, e, wasDown)
	s.dirty[b.Name] = true
}

func (s *Set) markMissing(now time.Time, src *source, name string, e *entry) {
	if !e.missingSince.IsZero() {
		return
	}
	wasDown := e.isDown(src)
	e.missingSince = now
	s.recordTransition(now, src, e, wasDown)
	s.dirty[name] = true
}

// isDown reports whether a backend's check fails or the backend is missing. A drain doesn't count, because it is no sign
// that the source is wrong.
func (e *entry) isDown(src *source) bool {
	return !e.missingSince.IsZero() && e.reported.Health != Drain || e.reported.Health == Critical || e.reported.Health == Warning && src.rules.WarningDrains
}

// recordTransition updates the count of backends that are down and how often this one went down.
func (s *Set) recordTransition(now time.Time, src *source, e *entry, wasDown bool) {
	isDown := e.isDown(src)
	switch {
	case isDown && !wasDown:
		src.downCount++
		e.downSince = now
		if e.wasPassing {
			e.downTimes = append(e.downTimes, now)
			if n := len(e.downTimes) - src.rules.Flaps - 1; n > 0 {
				e.downTimes = e.downTimes[n:]
			}
		}
	case !isDown && wasDown:
		src.downCount--
		e.downSince, e.passingSince = time.Time{}, now
	}
	if !isDown && e.reported.Health != Drain {
		e.wasPassing = true
	}
}

// reevaluate checks a source for a panic, then merges all backends that may have changed.
func (s *Set) reevaluate(now time.Time, src *source) {
	s.checkPanic(now, src)
	s.mergeDirty(now)
}

// mergeDirty merges all backends that may have changed.
func (s *Set) mergeDirty(now time.Time) {
	for name := range s.dirty {
		s.merge(now, name)
	}
	if len(s.dirty) > 64 { // clearing costs as much as the largest size the map had, and most updates are small
		s.dirty = map[string]bool{}
	} else {
		clear(s.dirty)
	}
}

// checkPanic decides whether the source itself is considered wrong. It scans the list only if enough of it is down.
func (s *Set) checkPanic(now time.Time, src *source) {
	r := &src.rules
	limit := r.Panic * float64(len(src.list)-src.drainCount) // a drain is no sign that the source is wrong
	tooMany := r.Panic > 0 && len(src.list)-src.drainCount > 1 && float64(src.downCount) > limit
	panicking := false
	switch {
	case tooMany && !src.panicSince.IsZero():
		panicking = r.PanicHold == 0 || now.Sub(src.panicSince) < r.PanicHold
	case tooMany:
		recent := 0
		for _, e := range src.list {
			if e.wasPassing && !e.downSince.IsZero() && now.Sub(e.downSince) < r.PanicWindow {
				recent++
			}
		}
		panicking = float64(recent) > limit
	}
	if panicking == !src.panicSince.IsZero() {
		return
	}
	if panicking {
		src.panicSince = now
		if r.PanicHold > 0 {
			s.setTimer(panicKey+r.Name, now.Add(r.PanicHold))
		}
	} else {
		src.panicSince = time.Time{}
		for _, e := range src.list { // those that are still down are now accepted as down
			e.wasPassing = e.wasPassing && e.downSince.IsZero()
		}
	}
	for name := range src.list {
		s.dirty[name] = true
	}
}

// Names of timers that belong to sources. They hold a zero byte, which no backend's name does.
const (
	panicKey = "\x00panic "
	holdKey  = "\x00silent "
)

func (s *Set) setHoldTimer(src *source) {
	if src.rules.Hold > 0 {
		s.setTimer(holdKey+src.rules.Name, src.answeredAt.Add(src.rules.Hold))
	}
}

func (s *Set) setTimer(name string, at time.Time) {
	if old, ok := s.timers[name]; ok && !at.Before(old) {
		return
	}
	s.timers[name] = at
	if s.nextTimer.IsZero() || at.Before(s.nextTimer) {
		s.nextTimer = at
	}
}

// Next returns when the passing of time alone may change something, or the zero time if never.
func (s *Set) Next() time.Time { return s.nextTimer }

// Expire handles the timers that are due at a time.
func (s *Set) Expire(now time.Time) {
	if s.nextTimer.IsZero() || now.Before(s.nextTimer) {
		return
	}
	s.nextTimer = time.Time{}
	for name, at := range s.timers {
		if now.Before(at) {
			if s.nextTimer.IsZero() || at.Before(s.nextTimer) {
				s.nextTimer = at
			}
			continue
		}
		delete(s.timers, name)
		if name == "" || name[0] != 0 {
			s.dirty[name] = true
		}
	}
	for _, src := range s.sources {
		s.checkHold(now, src)
		s.checkPanic(now, src)
	}
	s.mergeDirty(now)
}

// checkHold stops believing a source that has been silent for too long. The timer that has led here may be that of an
// earlier silence: one that is still to come gets its own.
func (s *Set) checkHold(now time.Time, src *source) {
	if !src.silent || src.expired || src.rules.Hold == 0 {
		return
	}
	if now.Sub(src.answeredAt) < src.rules.Hold {
		s.setHoldTimer(src)
		return
	}
	src.expired = true
	for name := range src.list {
		s.dirty[name] = true
	}
}

// Changes returns the backends that changed since the last call, each in its current state. The caller owns the slice.
func (s *Set) Changes() []Member {
	out := s.changed
	s.changed = nil
	return out
}

// Members returns the merged list, sorted by name, with the age of each member's source.
func (s *Set) Members(now time.Time) []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		c := *m
		for _, src := range s.sources {
			if src.rules.Name == m.Source {
				c.Age = now.Sub(src.answeredAt)
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

// Status is the state of a source.
type Status struct {
	Name               string
	HasList, Silent    bool
	Panicking, Expired bool
	Age                time.Duration
	Backends, Down     int
}

// Sources returns the state of each source.
func (s *Set) Sources(now time.Time) []Status {
	out := make([]Status, len(s.sources))
	for i, src := range s.sources {
		out[i] = Status{Name: src.rules.Name, HasList: src.hasList, Silent: src.silent, Panicking: !src.panicSince.IsZero(), Expired: src.expired,
			Age: now.Sub(src.answeredAt), Backends: len(src.list), Down: src.downCount}
	}
	return out
}
