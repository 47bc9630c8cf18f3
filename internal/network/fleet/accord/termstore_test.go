package accord

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// failingStore returns err for each write until a time.
type failingStore struct {
	raft.StableStore
	err    error
	until  time.Time
	values map[string]uint64
	tries  int
}

func (s *failingStore) SetUint64(key []byte, value uint64) error {
	if s.tries++; time.Now().Before(s.until) {
		return s.err
	}
	s.values[string(key)] = value
	return nil
}

// TestTermStoreRetriesFailedWrites checks that a write of the term that fails for a while is repeated until it
// succeeds, and that no error is returned: the Raft library would end the process on one. Before retryErrors is set,
// as at the start of the log, the error is returned.
func TestTermStoreRetriesFailedWrites(t *testing.T) {
	for _, errno := range []error{syscall.ENOSPC, syscall.EIO} {
		synctest.Test(t, func(t *testing.T) {
			s := &failingStore{err: errno, until: time.Now().Add(10 * time.Second), values: map[string]uint64{}}
			store := &termStore{stable: s, log: zerolog.Nop()}
			assert.ErrorIs(t, store.SetUint64([]byte("term"), 1), errno, "at the start")
			store.retryErrors.Store(true)
			start := time.Now()
			go func() {
				time.Sleep(5 * time.Second)
				assert.True(t, store.failing.Load(), "the failure is reported meanwhile")
			}()
			assert.NoError(t, store.SetUint64([]byte("term"), 2))
			assert.EqualValues(t, 2, s.values["term"])
			assert.InDelta(t, 10, time.Since(start).Seconds(), 1)
			assert.False(t, store.failing.Load())
			assert.Less(t, s.tries, 20)
		})
	}
}
