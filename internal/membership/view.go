package membership

import (
	"fmt"
	"time"
)

// evaluate applies one source's rules to a backend and returns its state and the reason.
func (s *Set) view(now time.Time, src *source, name string, e *entry) (State, string) {
	r := &src.rules
	if e.said.Health == Drain {
		if until := e.missing.Add(r.Doubt); !e.missing.IsZero() {
			if !now.Before(until) {
				return Gone, "dropped after its drain"
			}
			s.arm(name, until)
		}
		return Draining, "told to drain"
	}
	if src.expired {
		return Gone, "its source has been silent for too long"
	}
	if !src.panic.IsZero() && e.down(src) && e.good {
		return Ready, "kept: too many fell at once to be believed"
	}
	if !e.missing.IsZero() {
		if until := e.missing.Add(r.Doubt); !src.failed && !now.Before(until) {
			return Gone, "no longer named"
		} else if !src.failed {
			s.arm(name, until)
		}
		if e.downBefore(src) {
			return Draining, "its checks are critical"
		}
		return Ready, "no longer named, doubted"
	}
	if e.down(src) {
		return Draining, "its checks are critical"
	}
	if r.Flaps > 0 && len(e.downs) > r.Flaps {
		recent := 0
		for _, at := range e.downs {
			if now.Sub(at) < r.FlapWindow+r.Settle {
				recent++
			}
		}
		if until := e.steady.Add(r.Settle); recent > r.Flaps && now.Before(until) {
			s.arm(name, until)
			return Draining, fmt.Sprintf("it changed %d times, and is to be steady first", recent)
		}
	}
	if e.said.Health == Warning {
		return Ready, "its checks warn"
	}
	return Ready, "its checks pass"
}

// downWhenNamed reports whether a missing backend was down when the source last named it.
func (e *entry) downBefore(src *source) bool {
	return e.said.Health == Critical || e.said.Health == Warning && src.rules.WarningDrains
}

// merge computes one member from all sources' reports of a backend, and records it if it changed.
func (s *Set) merge(now time.Time, name string) {
	var best *source
	var chosen Member
	drained := ""
	for _, src := range s.sources {
		e := src.list[name]
		if e == nil || src.rules.Disabled {
			continue
		}
		state, reason := s.view(now, src, name, e)
		if state == Gone && !e.missing.IsZero() {
			if e.down(src) {
				src.down--
			}
			if e.said.Health == Drain {
				src.drains--
			}
			delete(src.list, name)
		}
		if state == Draining && e.said.Health == Drain {
			drained = "told to drain by " + src.rules.Name
		}
		if best == nil || chosen.State == Gone && state != Gone || src.rules.Rank > best.rules.Rank && state != Gone {
			best = src
			chosen = Member{Backend: e.said, State: state, Reason: reason, Source: src.rules.Name}
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
	if drained != "" && chosen.State == Ready {
		chosen.State, chosen.Reason = Draining, drained
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
		delete(s.due, name)
	} else {
		m := chosen
		s.members[name] = &m
	}
	s.changed = append(s.changed, chosen)
}
