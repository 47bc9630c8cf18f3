package main

import (
	"encoding/binary"
	"sync"

	"tinsail/internal/core"
	"tinsail/internal/handover"
	"tinsail/internal/network/handoff"
)

// Sizes of the keys of request IDs in messages between two processes.
const (
	idKeyBytes      = 8
	maxKeysInUpdate = 4096
	maxUnsharedKeys = 1 << 17 // that wait to be sent; beyond it the rest is not shared
)

// idSharer sends the keys of request IDs that this process uses to the other process of the dispatcher, in batches as large as
// they come while the one before is being sent.
type idSharer struct {
	mu      sync.Mutex
	link    *handoff.Link // nil until attach
	pending []core.IDKey
	sending bool
}

// add shares a key. It does not block.
func (s *idSharer) add(key core.IDKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) < maxUnsharedKeys {
		s.pending = append(s.pending, key)
	}
	s.startSending()
}

// attach sets the link, and sends the keys so far.
func (s *idSharer) attach(link *handoff.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = link
	s.startSending()
}

// startSending has a goroutine send the pending keys. s.mu is held.
func (s *idSharer) startSending() {
	if s.link != nil && !s.sending && len(s.pending) > 0 {
		s.sending = true
		go s.send()
	}
}

func (s *idSharer) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 {
		batch := s.pending[:min(len(s.pending), maxKeysInUpdate)]
		s.pending = s.pending[len(batch):]
		link := s.link
		s.mu.Unlock()
		_ = link.Send(handover.StatusUpdate{IDs: encodeIDKeys(batch)}) // an error means that the other process is gone
		s.mu.Lock()
	}
	s.pending, s.sending = nil, false
}

func encodeIDKeys(keys []core.IDKey) []byte {
	text := make([]byte, 0, len(keys)*idKeyBytes)
	for _, key := range keys {
		text = binary.BigEndian.AppendUint64(text, uint64(key))
	}
	return text
}

func decodeIDKeys(text []byte) (keys []core.IDKey) {
	for ; len(text) >= idKeyBytes; text = text[idKeyBytes:] {
		keys = append(keys, core.IDKey(binary.BigEndian.Uint64(text)))
	}
	return keys
}
