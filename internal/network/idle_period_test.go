package network

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
)

// TestLongIdlePeriod: no request comes for ten minutes, in which a backend drops its connections without closing them. The
// first request after that goes out at once, on a new connection, and is served; the list was watched all the time.
func TestLongIdlePeriod(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
		w.play("c1 send {req 9a x}\ns1/1 send {started 9a}{done 9a r}\nc1 expect 200 r")
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		assert.Zero(t, w.pool.OpenConnections(), "no connection is left that the backend has dropped")
		assert.Zero(t, w.clients.OpenSessions())
		begun := time.Now()
		w.play("c2 send {req 9b x}\ns1/2 send {started 9b}{done 9b q}\nc2 expect 200 q")
		assert.Less(t, time.Since(begun), 10*time.Millisecond)
		assert.Zero(t, w.count.Endings[core.Overdue].Load())
		assert.EqualValues(t, 2, w.count.Attempts.Load())
	})
}
