// Package members is the driver of package membership: it passes the lists of the sources of backends to it, and
// the merged changes to the core. It holds the lock and the timer; package membership only decides.
package members

import (
	"sync"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/membership"
	"tinsail/internal/platform"
)

// List is the merged list of backends of a dispatcher that has several sources.
type List struct {
	mu       sync.Mutex
	set      *membership.Set
	onChange func(balance.ListKind, []core.Entry)
	timer    *time.Timer
	timerAt  time.Time // when the timer is due; zero if it is not set
}

// New returns a list with one source for each of the rules. It calls onChange with its changes, in their order; onChange
// must not block.
func New(onChange func(balance.ListKind, []core.Entry), rules ...membership.Rules) *List {
	return &List{set: membership.New(rules...), onChange: onChange}
}

// Source is the input of one source to a list. Its methods may be called from any goroutine.
type Source struct {
	list  *List
	index int
}

// Source returns the i-th source, in the order of the rules given to New.
func (l *List) Source(i int) Source { return Source{l, i} }

// ReplaceAll sets the source's full list.
func (s Source) ReplaceAll(list []membership.Backend) {
	s.list.apply(func(now time.Time) { s.list.set.ReplaceAll(now, s.index, list) })
}

// Update adds or changes backends of the source's list, and removes the dropped ones.
func (s Source) Update(list []membership.Backend, dropped []string) {
	s.list.apply(func(now time.Time) { s.list.set.Update(now, s.index, list, dropped) })
}

// Unchanged records that the source answered and nothing has changed.
func (s Source) Unchanged() { s.list.apply(func(now time.Time) { s.list.set.Unchanged(now, s.index) }) }

// Failed records that the source does not answer.
func (s Source) Failed() { s.list.apply(func(now time.Time) { s.list.set.Failed(now, s.index) }) }

// SetRules replaces the source's rules.
func (s Source) SetRules(r membership.Rules) {
	s.list.apply(func(now time.Time) { s.list.set.SetRules(now, s.index, r) })
}

// DirectorList handles a list, or a failure, of the platform's director.
func (s Source) DirectorList(kind balance.ListKind, entries []core.Entry) {
	if kind == balance.ListFailed {
		s.Failed()
		return
	}
	var list []membership.Backend
	var dropped []string
	for i := range entries {
		e := &entries[i]
		if e.State == balance.Gone {
			dropped = append(dropped, e.Name)
			continue
		}
		b := membership.Backend{Name: e.Name, Address: e.Address, Kind: e.Kind, Zone: e.Zone, Group: e.Cell, Weight: e.Weight, Started: e.Started}
		if e.State == balance.Draining {
			b.Health = membership.Drain
		}
		list = append(list, b)
	}
	if kind == balance.ListDelta {
		s.Update(list, dropped)
		return
	}
	s.ReplaceAll(list)
}

// apply calls f, then passes on what has changed and sets the timer.
func (l *List) apply(f func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	f(now)
	l.set.Expire(now)
	if changes := l.set.Changes(); len(changes) > 0 {
		l.onChange(balance.ListDelta, Entries(changes))
	}
	next := l.set.Next()
	if next.Equal(l.timerAt) {
		return
	}
	l.timerAt = next
	switch {
	case next.IsZero():
		l.timer.Stop()
	case l.timer == nil:
		l.timer = time.AfterFunc(time.Until(next), l.expire)
	default:
		l.timer.Reset(time.Until(next))
	}
}

func (l *List) expire() { l.apply(func(time.Time) {}) }

// Close stops the timer.
func (l *List) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
	}
}

// Members returns the backends and the status of the sources, for operators.
func (l *List) Members() ([]membership.Member, []membership.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.set.Members(now), l.set.Sources(now)
}

var states = [...]balance.State{membership.Ready: balance.Ready, membership.Draining: balance.Draining, membership.Gone: balance.Gone}

// Entries converts members to the core's entries. A kind that no source tells is the first one, and a start that none
// tells was long ago.
func Entries(list []membership.Member) []core.Entry {
	out := make([]core.Entry, len(list))
	for i := range list {
		m := &list[i]
		out[i] = core.Entry{Name: m.Name, Address: m.Address, Worker: balance.Worker{ID: balance.WorkerID(platform.Hash(m.Name)),
			Started: max(m.Started, 0), Kind: max(m.Kind, 0), Cell: m.Group, Zone: m.Zone, State: states[m.State], Weight: m.Weight}}
	}
	return out
}
