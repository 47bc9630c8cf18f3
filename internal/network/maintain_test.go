package network

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/network/maintain"
)

// TestBan: once the call to ban a backend has returned, no byte is sent to it, nor over a connection that was being
// established. Its idle connections are closed, and requests that run there finish. After the ban it gets requests
// again, whatever was known of it before.
func TestBan(t *testing.T) {
	var manager *maintain.Manager
	begin := func(w *fixture) {
		manager = &maintain.Manager{OnList: w.core.HandleList, SetBanned: w.core.SetBanned, CloseIdle: w.pool.CloseIdleByID}
		manager.HandleList(balance.ListCached, newEntries(balance.Ready, "s1"))
	}
	offline := func(*fixture) { require.NoError(t, manager.Offline("s1")) }
	online := func(*fixture) { require.NoError(t, manager.Online("s1")) }
	runScenario(t, nil, 9, begin, `
		c1 send {req 9a x}
		s1/1 expect POST /ingest?v=1 9a k9a 2000 x
		c2 send {req 9b x}
		s1/2 expect POST /ingest?v=1 9b k9b 2000 x
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`, offline, `
		s1/1 expect closed
		s1/2 send {started 9b}{done 9b r}
		c2 expect 200 r
		s1/2 expect closed
		c1 send {req 9c x}
		c1 expect 503 after 0.120
		c2 send GET /health/ready HTTP/1.1\r\n\r\n
		c2 expect 503
		wait 100ms
		s1/3 expect no connection`,
		func(w *fixture) { // whatever the director lists meanwhile
			manager.HandleList(balance.ListFull, newEntries(balance.Ready, "s1"))
			manager.HandleList(balance.ListFull, nil)
			manager.HandleList(balance.ListDelta, newEntries(balance.Ready, "s1"))
		}, `
		wait 1s
		s1/3 expect no connection`, online, `
		wait 2s
		c1 send {req 9d x}
		s1/3 expect POST /ingest?v=1 9d k9d 2000 x
		s1/3 send {started 9d}{done 9d r}
		c1 expect 200 r`)
	runScenario(t, nil, 9, begin, func(w *fixture) {
		w.dialDelays["s1"] = 50 * time.Millisecond
		w.play(`c1 send {req 9a x}`)
		require.NoError(t, manager.Offline("s1"))
		w.play(`wait 60ms
			s1/1 expect closed`)
	})
	assert.ErrorIs(t, manager.Offline("s9"), maintain.ErrUnknown)
}

// TestBanAfterFaults: a backend that failed before its ban gets requests again after it.
func TestBanAfterFaults(t *testing.T) {
	var manager *maintain.Manager
	runScenario(t, nil, 9, func(w *fixture) {
		manager = &maintain.Manager{OnList: w.core.HandleList, SetBanned: w.core.SetBanned, CloseIdle: w.pool.CloseIdleByID}
		manager.HandleList(balance.ListCached, newEntries(balance.Ready, "s1"))
	}, `
		s1 close
		c1 send {req 9a x}
		c1 expect 503 after 0.120
		c1 send {req 9b x}
		c1 expect 503 after 0.120
		c1 send {req 9c x}
		c1 expect 503 after 0.120`,
		func(w *fixture) {
			require.NoError(t, manager.Offline("s1"))
			time.Sleep(time.Millisecond)
			require.NoError(t, manager.Online("s1"))
			w.mu.Lock()
			w.refusedDials["s1"] = false
			w.mu.Unlock()
		}, `
		wait 2s
		c1 send {req 9d x}
		s1/1 expect POST /ingest?v=1 9d k9d 2000 x
		s1/1 send {started 9d}{done 9d r}
		c1 expect 200 r`)
}
