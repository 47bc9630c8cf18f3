package handoff

import (
	"sync"

	"tinsail/internal/handover"
)

const (
	maxKeysInUpdate = 4096
	maxUnsharedKeys = 1 << 17 // that wait to be sent; beyond it the rest is not shared
)

// IDSharer sends the keys of request IDs that this process uses to the other process of the dispatcher, in batches as large as
// they come while the one before is being sent. The zero value collects keys until Attach.
type IDSharer struct {
	mu      sync.Mutex
	link    *Link // nil until Attach
	pending handover.IDKeys
	sending bool
}

// Add shares a key. It does not block.
func (s *IDSharer) Add(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) < maxUnsharedKeys {
		s.pending = append(s.pending, key)
	}
	s.startSending()
}

// Attach sets the link, and sends the keys so far.
func (s *IDSharer) Attach(link *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = link
	s.startSending()
}

// startSending has a goroutine send the pending keys. s.mu is held.
func (s *IDSharer) startSending() {
	if s.link != nil && !s.sending && len(s.pending) > 0 {
		s.sending = true
		go s.send()
	}
}

func (s *IDSharer) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 {
		batch := s.pending[:min(len(s.pending), maxKeysInUpdate)]
		s.pending = s.pending[len(batch):]
		s.mu.Unlock()
		_ = s.link.Send(handover.StatusUpdate{IDs: batch}) // an error means that the other process is gone
		s.mu.Lock()
	}
	s.pending, s.sending = nil, false
}
