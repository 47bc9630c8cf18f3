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
	idRetention    = 10 * time.Second
	maxReleasedIDs = 8192 // of requests that are over
)

// ids holds the IDs of requests that are open, have attempts outstanding, or ended recently. Fronts use it from many
// goroutines.
type ids struct {
	mu       sync.Mutex
	reserved map[string]struct{}
	released []releasedID // oldest first
}

type releasedID struct {
	id string
	at time.Time
}

// claim reserves an ID and returns whether it was free.
func (s *ids) claim(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.released) > 0 && (len(s.released) > maxReleasedIDs || now.Sub(s.released[0].at) >= idRetention) {
		delete(s.reserved, s.released[0].id)
		s.released[0] = releasedID{}
		s.released = s.released[1:]
	}
	if _, taken := s.reserved[id]; taken {
		return false
	}
	if s.reserved == nil {
		s.reserved = map[string]struct{}{}
	}
	s.reserved[strings.Clone(id)] = struct{}{} // a copy, so that the request head which id may point into can be freed
	return true
}

// release records that the request with this ID is over.
func (s *ids) release(id string, now time.Time) {
	s.mu.Lock()
	s.released = append(s.released, releasedID{strings.Clone(id), now})
	s.mu.Unlock()
}
