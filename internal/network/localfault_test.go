package network

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
)

// failingDial returns a Dial that fails with an error for a while from now on.
func failingDial(dial Dial, errno syscall.Errno, lasts time.Duration) Dial {
	until := time.Now().Add(lasts)
	return func(ctx context.Context, address string) (net.Conn, error) {
		if time.Now().Before(until) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		return dial(ctx, address)
	}
}

// localErrnos are errors that say nothing about the remote side.
var localErrnos = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH}

// TestLocalFaultIsNoBackendFailure: for 0.3 s this machine cannot establish a connection. A request that comes meanwhile is
// served as soon as it can, the backend gets no cooldown, and the next request goes there at once.
func TestLocalFaultIsNoBackendFailure(t *testing.T) {
	for _, errno := range localErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
				w.pool.Dial = failingDial(w.dial, errno, 300*time.Millisecond)
				w.play("c1 send {req 9a x}")
				time.Sleep(330 * time.Millisecond)
				synctest.Wait()
				w.mu.Lock()
				made := w.dialCounts["s1"]
				w.mu.Unlock()
				assert.Equal(t, 1, made, "it is retried until it is established")
				assert.Zero(t, w.count.Endings[core.Unreached].Load(), "no failure counts against the backend")
				assert.Zero(t, w.count.AnswersRefused.Load())
				if made == 0 {
					return
				}
				w.play("s1/1 send {started 9a}{done 9a r}\nc1 expect 200 r")
				begun := time.Now()
				w.play("c2 send {req 9b x}\ns1/1 send {started 9b}{done 9b q}\nc2 expect 200 q")
				assert.Less(t, time.Since(begun), 10*time.Millisecond)
			})
		})
	}
}

// TestFaultOnOneRoute: the network of one backend's address cannot be reached, while others can. The requests go to the
// others, and do not wait for that backend until their deadline.
func TestFaultOnOneRoute(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1", "s2"), 9, func(w *fixture) {
		w.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if address == "s1" {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ENETUNREACH)}
			}
			return w.dial(ctx, address)
		}
		for i := range 4 {
			w.play(fmt.Sprintf("c%d send {req 9%d x}", i, i))
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, 4, w.dialCounts["s2"], "all go to the other one")
		assert.Positive(t, w.count.Endings[core.Unreached].Load())
	})
}

// TestLocalFaultOnDirectorCall: the same for calls to the director: none counts as failed, and the list is asked for as soon
// as a connection can be established.
func TestLocalFaultOnDirectorCall(t *testing.T) {
	for _, errno := range localErrnos {
		runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
			w.director.Dial = failingDial(w.dial, errno, 300*time.Millisecond)
			w.director.Subscribe()
			time.Sleep(330 * time.Millisecond)
			synctest.Wait()
			w.mu.Lock()
			made := w.dialCounts["d"]
			w.mu.Unlock()
			assert.Equal(t, 1, made, errno)
			assert.EqualValues(t, 1, w.count.DirectorCalls.Load(), errno)
			assert.Zero(t, w.count.Endings[core.ListUnanswered].Load(), errno)
		})
	}
}
