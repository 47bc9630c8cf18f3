package membership

import (
	"fmt"
	"slices"
	"time"
)

// evaluate applies one source's rules to a backend and returns its state and the reason.
func (s *Set) evaluate(now time.Time, src *source, name string, e *entry) (State, string) {
	r := &src.rules
	if e.reported.Health == Drain {
		if until := e.missingSince.Add(r.Doubt); !e.missingSince.IsZero() {
			if !now.Before(until) {
				return Gone, "dropped after its drain"
			}
			s.setTimer(name, until)
		}
		return Draining, "told to drain"
	}
	if src.expired {
		return Gone, "its source has been silent for too long"
	}
	if e.isDown(src) && e.wasPassing && src.panicDoubts(e) {
		return Ready, "kept: too many fell at once to be believed"
	}
	if !e.missingSince.IsZero() {
		if until := e.missingSince.Add(r.Doubt); !src.silent && !now.Before(until) {
			return Gone, "no longer named"
		} else if !src.silent {
			s.setTimer(name, until)
		}
		if e.downWhenNamed(src) {
			return Draining, "its checks are critical"
		}
		return Ready, "no longer named, doubted"
	}
	if e.isDown(src) {
		return Draining, "its checks are critical"
	}
	if r.Flaps > 0 && len(e.downTimes) > r.Flaps {
		recent := 0
		for _, at := range e.downTimes {
			if now.Sub(at) < r.FlapWindow+r.Settle {
				recent++
			}
		}
		if until := e.passingSince.Add(r.Settle); recent > r.Flaps && now.Before(until) {
			s.setTimer(name, until)
			return Draining, fmt.Sprintf("it changed %d times, and is to be steady first", recent)
		}
	}
	if e.reported.Health == Warning {
		return Ready, "its checks warn"
	}
	return Ready, "its checks pass"
}

// panicDoubts reports whether the source is panicking and the backend went down with those that caused the panic, or later.
func (src *source) panicDoubts(e *entry) bool {
	return !src.panicSince.IsZero() && src.panicSince.Sub(e.downSince) < src.rules.PanicWindow
}

// downWhenNamed reports whether a missing backend was down when the source last named it.
func (e *entry) downWhenNamed(src *source) bool {
	return e.reported.Health == Critical || e.reported.Health == Warning && src.rules.WarningDrains
}

// report is one source's report of a backend that is not gone by that source's rules.
type report struct {
	rank    int
	backend *Backend
}

// complete takes over what the member's source doesn't tell from the other sources, the highest rank first.
func (m *Member) complete(reports []report) {
	slices.SortStableFunc(reports, func(a, b report) int { return b.rank - a.rank })
	for _, r := range reports {
		m.Backend.completeFrom(r.backend)
	}
}

// merge computes one member from all sources' reports of a backend, and records it if it changed.
func (s *Set) merge(now time.Time, name string) {
	var best *source
	var chosen Member
	drainReason := ""
	reports := s.reports[:0]
	for _, src := range s.sources {
		e := src.list[name]
		if e == nil || src.rules.Disabled {
			continue
		}
		state, reason := s.evaluate(now, src, name, e)
		if state == Gone && !e.missingSince.IsZero() {
			if e.isDown(src) {
				src.downCount--
			}
			if e.reported.Health == Drain {
				src.drainCount--
			}
			delete(src.list, name)
		}
		if state == Draining && e.reported.Health == Drain {
			drainReason = "told to drain by " + src.rules.Name
		}
		if state != Gone {
			reports = append(reports, report{src.rules.Rank, &e.reported})
		}
		if best == nil || chosen.State == Gone && state != Gone || src.rules.Rank > best.rules.Rank && state != Gone {
			best = src
			chosen = Member{Backend: e.reported, State: state, Reason: reason, Source: src.rules.Name}
		}
	}
	if best == nil { // no enabled source names it
		if old := s.members[name]; old != nil {
			gone := *old
			gone.State, gone.Reason = Gone, "no source that is asked names it"
			delete(s.members, name)
			s.changed = append(s.changed, gone)
		}
		return
	}
	chosen.complete(reports)
	s.reports = reports
	if drainReason != "" && chosen.State == Ready {
		chosen.State, chosen.Reason = Draining, drainReason
	}
	old := s.members[name]
	if old == nil && chosen.State == Gone {
		return
	}
	if old != nil && old.State == chosen.State && old.Backend == chosen.Backend && old.Source == chosen.Source {
		old.Reason = chosen.Reason
		return
	}
	if chosen.State == Gone {
		delete(s.members, name)
		delete(s.timers, name)
	} else {
		m := chosen
		s.members[name] = &m
	}
	s.changed = append(s.changed, chosen)
}
