package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/faultnet"
	"tinsail/internal/standin/platform"
)

// metric returns one metric of the process without labels, as its control listener reports it.
func (p *process) metric(t *testing.T, name string) float64 {
	answer, err := http.Get("http://" + p.adminAddress + "/metrics")
	require.NoError(t, err)
	defer answer.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(answer.Body)
	require.NoError(t, err)
	require.Contains(t, families, name)
	m := families[name].GetMetric()[0]
	if g := m.GetGauge(); g != nil {
		return g.GetValue()
	}
	return m.GetCounter().GetValue()
}

// Guards against an upgrade of the budgets' keeper that ends the new process (review/3, 2026-12-04-keeper-upgrade). Whichever
// process is killed at whichever stage, the one that is left serves, keeps the leases and holds the dispatcher's whole share
// again; and in no second, counted at the backends, the processes together open more connections than the budget allows.
func TestUpgradeOfKeeper(t *testing.T) {
	const total, wholeShare = 60, 54 // of it 6 as a reserve, as there may be two dispatchers
	kill := func(p *process) {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	for name, upgrade := range map[string]func(*deployment, *process) (left *process){
		"in order": func(h *deployment, old *process) *process {
			next := h.start()
			next.awaitReady()
			old.terminate(t)
			return next
		},
		"twice": func(h *deployment, old *process) *process {
			next := h.start()
			next.awaitReady()
			old.terminate(t)
			last := h.start()
			last.awaitReady()
			next.terminate(t)
			return last
		},
		"the old one killed after the yes": func(h *deployment, old *process) *process {
			next := h.start()
			next.awaitReady()
			kill(old)
			return next
		},
		"the old one killed when its state is taken": func(h *deployment, old *process) *process {
			next := h.spawn()
			next.awaitEvent(t, "hand-over: state taken")
			kill(old)
			next.adminAddress, _ = next.awaitEvent(t, "serving")["admin"].(string)
			return next
		},
		"the new one killed when it has taken the state": func(h *deployment, old *process) *process {
			next := h.spawn()
			next.awaitEvent(t, "hand-over: state taken")
			kill(next)
			old.awaitEvent(t, "hand-over: the new process is gone")
			return old
		},
		"the new one killed after the yes": func(h *deployment, old *process) *process {
			next := h.start()
			next.awaitReady()
			kill(next)
			old.awaitEvent(t, "hand-over: the new process is gone")
			return old
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, err := faultnet.FreeAddress()
			require.NoError(t, err)
			h := newDeployment(t, "127.0.0.1:0")
			h.scriptPath = filepath.Join(t.TempDir(), "s.star")
			script := fmt.Sprintf("budgets(connections = %d, most = 2, keeper = \"demo\", keeper_at = %q, lease_ms = 600)\n", total, address)
			require.NoError(t, os.WriteFile(h.scriptPath, []byte(script), 0o600))
			for _, b := range h.backends {
				b.Set(platform.Faults{CloseEach: true})
			}
			awaitKeeps := func(p *process) {
				p.awaitReady()
				waitFor(t, "the process keeps the leases and has the whole share", func() bool {
					return p.metric(t, "tinsail_budget_connections_lent") > 0 && p.metric(t, "tinsail_budget_connections_share") == wholeShare
				})
			}
			old := h.start()
			awaitKeeps(old)
			stopLoad := h.startConnectionLoad()
			waitFor(t, "the load spends the share", func() bool { return h.jobCount() >= total })
			left := upgrade(h, old)
			awaitKeeps(left)
			stopLoad()
			assert.Equal(t, 200, h.sendJob())
			var times []time.Time
			for _, b := range h.backends {
				times = append(times, b.ConnectionTimes()...)
			}
			most := maxPerSecond(times)
			t.Logf("new connections %d, most in a second %d (budget %d)", len(times), most, total)
			assert.LessOrEqual(t, most, total+2, "new connections in a second, of both processes; one more for each")
			left.terminate(t)
		})
	}
}

// refusalPause is how long a client of startConnectionLoad waits after an answer that is no result.
const refusalPause = 20 * time.Millisecond

// startConnectionLoad sends more jobs than the budget allows, each on a new connection, until stop is called. What becomes of
// them is not judged.
func (h *deployment) startConnectionLoad() (stop func()) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for n := 0; ; n++ {
				pause := refusalPause
				if h.trySendJob(fmt.Sprint("load-", i, "-", n)) == 200 {
					pause = 0
				}
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return func() { close(done); clients.Wait() }
}

// trySendJob sends a job on a connection of its own and returns the status of the answer, 0 if there was none.
func (h *deployment) trySendJob(id string) (status int) {
	c, err := h.dial()
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if c.sendReq(id) != nil {
		return 0
	}
	status, _, _, _ = c.readAnswer()
	return status
}
