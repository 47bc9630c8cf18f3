package core

import (
	"strings"
	"sync"
	"time"
)

// Ids of reqs stay taken for a while after a req is over: what a backend still says of the
// old one must not be taken for news of a new one, and whoever repeats another's id is not
// served because that other's answer went out a moment before.
const (
	idKept  = 10 * time.Second
	idsMost = 8192 // kept of those that are over
)

// ids are the ids of the reqs that are open, have attempts out, or were over a short while
// ago. Fronts ask from many goroutines.
type ids struct {
	mu   sync.Mutex
	used map[string]struct{}
	over []usedID // oldest first
}

type usedID struct {
	id    string
	since time.Time
}

// take takes an id, and returns whether it was free.
func (s *ids) take(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.over) > 0 && (len(s.over) > idsMost || now.Sub(s.over[0].since) >= idKept) {
		delete(s.used, s.over[0].id)
		s.over[0] = usedID{}
		s.over = s.over[1:]
	}
	if _, taken := s.used[id]; taken {
		return false
	}
	if s.used == nil {
		s.used = map[string]struct{}{}
	}
	s.used[strings.Clone(id)] = struct{}{} // not the head that it may be a slice of
	return true
}

// drop tells that the req with this id is over.
func (s *ids) drop(id string, now time.Time) {
	s.mu.Lock()
	s.over = append(s.over, usedID{strings.Clone(id), now})
	s.mu.Unlock()
}
