package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "tinsail/internal/standin/consul"
)

// statusWatch records which statuses an entry of Consul's catalogue has had; "" for none at all.
type statusWatch struct {
	agent *standin.Agent
	id    string
	mu    sync.Mutex
	seen  map[string]bool
}

func (w *statusWatch) status() string {
	status := w.agent.ServiceStatuses()[w.id]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[status] = true
	return status
}

// run looks until stop is called.
func (w *statusWatch) run() (stop func()) {
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		for tick := time.NewTicker(time.Millisecond); ; {
			w.status()
			select {
			case <-done:
				tick.Stop()
				return
			case <-tick.C:
			}
		}
	})
	return func() { close(done); ended.Wait() }
}

// Guards against an upgrade that leaves the serving process in maintenance or unregistered, as both processes write to one entry
// of Consul's catalogue (2026-12-04-shared-registration).
func TestRegistrationAcrossUpgrade(t *testing.T) {
	kill := func(p *process) {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	drain := func(p *process) { require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM)) }
	for name, c := range map[string]struct {
		upgrade     func(*deployment, *statusWatch, *process) (left *process)
		maintenance bool // the serving process drains before the other one serves, so that it may be in maintenance meanwhile
	}{
		"in order": {upgrade: func(h *deployment, _ *statusWatch, old *process) *process {
			next := h.start()
			next.awaitReady()
			old.terminate(t)
			return next
		}},
		"the old one killed in its drain": {upgrade: func(h *deployment, _ *statusWatch, old *process) *process {
			next := h.start()
			next.awaitReady()
			drain(old)
			old.awaitEvent(t, "service")
			kill(old)
			return next
		}},
		"the new one killed after the yes": {upgrade: func(h *deployment, _ *statusWatch, old *process) *process {
			next := h.start()
			next.awaitReady()
			kill(next)
			old.awaitEvent(t, "hand-over: the new process is gone")
			return old
		}},
		"the old one drains first, and is killed": {maintenance: true, upgrade: func(h *deployment, w *statusWatch, old *process) *process {
			drain(old)
			waitFor(t, "maintenance", func() bool { return w.status() == "maintenance" })
			kill(old)
			return h.start()
		}},
		"the old one drains first, and ends in order": {maintenance: true, upgrade: func(h *deployment, w *statusWatch, old *process) *process {
			drain(old)
			waitFor(t, "maintenance", func() bool { return w.status() == "maintenance" })
			next := h.start()
			next.awaitReady()
			for range old.logLines {
			}
			assert.NoError(t, old.cmd.Wait())
			return next
		}},
	} {
		t.Run(name, func(t *testing.T) {
			agent, err := standin.Start()
			require.NoError(t, err)
			t.Cleanup(agent.Close)
			h := newDeployment(t, "127.0.0.1:0")
			h.scriptPath = filepath.Join(t.TempDir(), "s.star")
			script := fmt.Sprintf("consul(address = [%q], service = \"photo\", register = \"tinsail\", register_ttl_ms = 1000)\n", agent.Address)
			require.NoError(t, os.WriteFile(h.scriptPath, []byte(script), 0o600))
			w := &statusWatch{agent: agent, id: "tinsail-demo", seen: map[string]bool{}}
			awaitPassing := func() {
				t.Helper()
				waitFor(t, "the dispatcher is registered and passing", func() bool { return w.status() == "passing" })
			}
			old := h.start()
			old.awaitReady()
			awaitPassing()
			clear(w.seen)
			stop := w.run()
			left := c.upgrade(h, w, old)
			left.awaitReady()
			awaitPassing()
			stop()
			assert.False(t, w.seen[""], "the entry of the serving process was removed")
			assert.Equal(t, c.maintenance, w.seen["maintenance"], "in maintenance")
			left.terminate(t)
			waitFor(t, "the entry is removed with the last process", func() bool { return w.status() == "" })
		})
	}
}
