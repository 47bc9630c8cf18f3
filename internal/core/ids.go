package core

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

// The ID of a request stays reserved for a while after the request is over, for two reasons. A late message of a backend
// about the old request must not be taken for one about a new request. And a client that reuses an ID must not have its request
// run a second time, or be served just because another client's answer went out a moment before.
const (
	idRetention     = 10 * time.Second
	maxBegunIDs     = 1 << 17 // of requests that are over and may have run: more than a process can have run in idRetention
	maxNeverSentIDs = 8192    // of requests that are over and began at no backend: a client alone can make any number of them
)

// IDKey stands for the ID of a request. Keys are the same in all processes, so that they can be shared; IDs with the same key cannot
// be found for an ID that somebody else uses.
type IDKey = uint64

func keyOf(id string) IDKey {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:])
}

// ids holds the IDs of requests that are open, have attempts outstanding, or ended recently. Fronts use it from many
// goroutines.
type ids struct {
	mu        sync.Mutex
	reserved  map[IDKey]int // how many requests and released entries hold it
	begun     releasedIDs
	neverSent releasedIDs
	shared    releasedIDs // of another process, which cannot push out this one's
	origin    time.Time   // from which times are counted
	share     func(IDKey) // called for each ID that is claimed or released, with mu held; may be nil
}

// releasedIDs are IDs of requests that are over, oldest first.
type releasedIDs []releasedID

type releasedID struct {
	key IDKey
	at  time.Duration // since origin
}

// claim reserves an ID and returns whether it was free.
func (s *ids) claim(key IDKey, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	if s.reserved[key] > 0 {
		return false
	}
	s.hold(key)
	return true
}

// release records that the request with this ID is over. begun says that it may have run at a backend.
func (s *ids) release(key IDKey, begun bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := releasedID{key, s.since(now)}
	if begun {
		s.begun = append(s.begun, entry)
	} else {
		s.neverSent = append(s.neverSent, entry)
	}
	if s.share != nil {
		s.share(key)
	}
}

// reserve holds IDs that another process of this dispatcher uses, or used a moment ago.
func (s *ids) reserve(keys []IDKey, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.count(key, 1)
		s.shared = append(s.shared, releasedID{key, s.since(now)})
	}
	s.prune(now)
}

// shareWith has share called for each ID from now on, and returns those that are held.
func (s *ids) shareWith(share func(IDKey), now time.Time) (held []IDKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	s.share = share
	for key := range s.reserved {
		held = append(held, key)
	}
	return held
}

// hold counts an ID once more, and shares it. s.mu is held.
func (s *ids) hold(key IDKey) {
	s.count(key, 1)
	if s.share != nil {
		s.share(key)
	}
}

func (s *ids) count(key IDKey, change int) {
	if s.reserved == nil {
		s.reserved = map[IDKey]int{}
	}
	if s.reserved[key] += change; s.reserved[key] <= 0 {
		delete(s.reserved, key)
	}
}

func (s *ids) since(now time.Time) time.Duration {
	if s.origin.IsZero() {
		s.origin = now
	}
	return now.Sub(s.origin)
}

// prune forgets the IDs whose time is over, and the oldest ones beyond the limits. s.mu is held.
func (s *ids) prune(now time.Time) {
	s.begun = s.pruneList(s.begun, maxBegunIDs, now)
	s.neverSent = s.pruneList(s.neverSent, maxNeverSentIDs, now)
	s.shared = s.pruneList(s.shared, maxBegunIDs, now)
}

func (s *ids) pruneList(list releasedIDs, most int, now time.Time) releasedIDs {
	for len(list) > 0 && (len(list) > most || s.since(now)-list[0].at >= idRetention) {
		s.count(list[0].key, -1)
		list = list[1:]
	}
	return list
}
