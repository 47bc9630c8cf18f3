package accord

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
)

// termStore stores a voter's term and vote. If they cannot be written, the Raft library ends the process, and with it
// every request that the process has accepted. To avoid that, a failed write is repeated here, as a transaction of its
// own, until it succeeds. Meanwhile the library's goroutine waits: the voter neither votes nor leads, and no majority
// confirms that it leads.
//
// A log that is closed while its store fails does not wait for the library's goroutines (see majorityLog.close). A write
// that is repeated after that would find the store closed, which is an error. So a write never returns once the store is
// closed.
type termStore struct {
	*raftboltdb.BoltStore
	stable      raft.StableStore // the BoltStore, except in tests
	log         zerolog.Logger
	retryErrors atomic.Bool // failed writes are repeated; until it is set their errors are returned
	failing     atomic.Bool // the last write failed and is being repeated

	mu     sync.RWMutex
	closed bool
}

// Delays before a failed write is repeated. The delay doubles from the minimum to the maximum.
const (
	minStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff = time.Second
)

// write runs f, and repeats it as long as it fails if retryErrors is set.
func (t *termStore) write(f func() error) error {
	for backoff := minStoreBackoff; ; backoff = min(2*backoff, maxStoreBackoff) {
		err := t.try(f)
		if err == nil {
			if t.failing.CompareAndSwap(true, false) {
				t.log.Info().Msg("accord: the voter's store can be written again")
			}
			return nil
		}
		if !t.retryErrors.Load() {
			return err
		}
		if t.failing.CompareAndSwap(false, true) {
			t.log.Error().Err(err).Msg("accord: the voter's store cannot be written; the voter neither votes nor leads until it can")
		}
		time.Sleep(backoff)
	}
}

// try runs f once. It never returns if the store is closed.
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
