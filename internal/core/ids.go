package core

import (
	"strings"
	"sync"
	"time"
)

// The ID of a request stays reserved for a while after the request is over, for two reasons. A late message of a backend
// about the old request must not be taken for one about a new request. And a client that reuses another client's ID must
// not be served just because that client's answer went out a moment before.
const (
	idKept  = 10 * time.Second
	idsMost = 8192 // of requests that are over
)

// ids holds the IDs of requests that are open, have attempts outstanding, or ended recently. Fronts use it from many
// goroutines.
type ids struct {
	mu   sync.Mutex
	used map[string]struct{}
	over []usedID // oldest first
}

type usedID struct {
	id    string
	since time.Time
}

// claim reserves an ID and returns whether it was free.
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
	s.used[strings.Clone(id)] = struct{}{} // a copy, so that the request head which id may point into can be freed
	return true
}

// release records that the request with this ID is over.
func (s *ids) drop(id string, now time.Time) {
	s.mu.Lock()
	s.over = append(s.over, usedID{strings.Clone(id), now})
	s.mu.Unlock()
}
