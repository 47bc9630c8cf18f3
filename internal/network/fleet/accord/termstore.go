package accord

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
)

// termStore is a voter's store of its term and vote. The log's library ends the process where these cannot be written, and with it
// every request that the process has taken. A write that fails is tried again here, as a transaction of its own, until it succeeds:
// meanwhile the library's goroutine waits, and the voter neither votes nor leads nor has what it holds verified.
//
// The library also answers heartbeats beside its own goroutines, and does not wait for one of those when it is shut down: a term that
// came in that moment would find the store closed. Once closed, a write here never returns.
type termStore struct {
	*raftboltdb.BoltStore
	stable      raft.StableStore // the same, but in tests
	log         zerolog.Logger
	retryErrors atomic.Bool // errors are waited out; before that they are returned
	failing     atomic.Bool

	mu     sync.RWMutex
	closed bool
}

// Pauses between tries of a write that failed, doubled from the first to the last.
const (
	minStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff = time.Second
)

func (t *termStore) write(f func() error) error {
	for pause := minStoreBackoff; ; pause = min(2*pause, maxStoreBackoff) {
		err := t.try(f)
		if err == nil {
			if t.failing.CompareAndSwap(true, false) {
				t.log.Info().Msg("accord: the voter's store is written again")
			}
			return nil
		}
		if !t.retryErrors.Load() {
			return err
		}
		if t.failing.CompareAndSwap(false, true) {
			t.log.Error().Err(err).Msg("accord: the voter's store fails; it neither votes nor leads until it is written")
		}
		time.Sleep(pause)
	}
}

// try writes once. Once the store is closed it never returns.
func (t *termStore) try(f func() error) error {
	t.mu.RLock()
	if t.closed {
		t.mu.RUnlock()
		select {}
	}
	defer t.mu.RUnlock()
	return f()
}

func (t *termStore) Set(key, value []byte) error {
	return t.write(func() error { return t.stable.Set(key, value) })
}

func (t *termStore) SetUint64(key []byte, value uint64) error {
	return t.write(func() error { return t.stable.SetUint64(key, value) })
}

func (t *termStore) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return t.BoltStore.Close()
}
