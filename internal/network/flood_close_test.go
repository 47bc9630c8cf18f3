package network

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
)

// Guards against a request that is begun or sent again after its client has gone, as the end of its connection lies behind much
// that is still to be read (2026-12-06-close-behind-a-flood). The clock is the test's: it moves by the pauses alone.
func TestCloseBehindAFloodIsSeenInTime(t *testing.T) {
	const (
		flood = 10 << 20               // what the buffers of both sockets hold at most
		grace = 100 * time.Millisecond // after its client's close nothing may begin for a request
	)
	runScenario(t, newEntries(balance.Ready, "s1"), 9, "c1 send {req 1 b}", func(w *fixture) {
		require.Equal(t, 1, w.core.OpenReqs())
		w.mu.Lock()
		client := w.peers["c1"].conn
		w.mu.Unlock()
		begun := time.Now()
		_, err := client.Write(make([]byte, flood))
		require.NoError(t, err)
		client.Close()
		synctest.Wait()
		assert.Zero(t, w.core.OpenReqs(), "its client is known to have gone")
		assert.Less(t, time.Since(begun), grace)
	})
}
