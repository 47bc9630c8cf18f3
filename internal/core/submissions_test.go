package core

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
)

// Guards against requests piling up before the core, while clients send them faster than it handles them: memory grew without
// bound, and other clients' requests waited behind them for seconds (2026-12-06-endless-queue).
func TestSubmitWaitsForTheCore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, balance.Ready)
		resume, stop := make(chan struct{}), make(chan struct{})
		go b.core.Run(stop)
		synctest.Wait()
		b.core.post(func() { <-resume })
		synctest.Wait()
		const clients = 3 * maxSubmissions
		submitted := 0
		done := make(chan struct{}, clients)
		for i := range clients {
			go func() {
				h, _ := b.core.Submit(balance.Request{Slots: 1}, &Job{ID: strconv.Itoa(i)}, time.Now(), time.Minute, b)
				h.Abandon(false, nil)
				done <- struct{}{}
			}()
		}
		synctest.Wait()
		assert.Equal(t, maxSubmissions, len(done))
		b.core.mu.Lock()
		assert.Equal(t, 2*maxSubmissions, len(b.core.inbox), "each request, and that its client has gone")
		b.core.mu.Unlock()
		close(resume)
		for ; submitted < clients; submitted++ {
			<-done
		}
		synctest.Wait()
		assert.Zero(t, b.core.OpenReqs())
		assert.Zero(t, len(b.core.submitted.places))
		close(stop)
		synctest.Wait()
	})
}

// A request that waits as the core ends is not stuck.
func TestSubmitWhileTheCoreEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, balance.Ready)
		resume, stop := make(chan struct{}), make(chan struct{})
		go b.core.Run(stop)
		synctest.Wait()
		b.core.post(func() { <-resume; close(stop) })
		synctest.Wait()
		for i := range 2 * maxSubmissions {
			go b.core.Submit(balance.Request{Slots: 1}, &Job{ID: strconv.Itoa(i)}, time.Now(), time.Minute, b)
		}
		synctest.Wait()
		close(resume)
		synctest.Wait() // the test fails if a goroutine stays
	})
}
