package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"syscall"

	standin "tinsail/internal/standin/consul"
	"tinsail/internal/standin/platform"
)

// rareAskEvery sets the interval of calls to the director to ten hours, so that no periodic call falls into a test.
const rareAskEvery = `"AskEveryMs": 36000000`

// writeKnownList writes a known list into the configuration, as if an earlier process had stored it.
func (h *deployment) writeKnownList(index int, entries ...platform.Entry) {
	list, err := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": append([]platform.Entry{}, entries...)})
	require.NoError(h.t, err)
	text, err := os.ReadFile(h.configPath)
	require.NoError(h.t, err)
	edited := strings.Replace(strings.Replace(string(text), `"AskEveryMs": 10000`, rareAskEvery, 1), `"seed"`, `"known": `+string(list)+`, "seed"`, 1)
	require.Contains(h.t, edited, rareAskEvery)
	require.NoError(h.t, os.WriteFile(h.configPath, []byte(edited), 0o600))
}

// startReady starts one more process and waits up to 20 s until it is ready, much longer than that may take.
func (h *deployment) startReady(t *testing.T) (p *process, ready map[string]any) {
	p = h.spawn()
	limit := time.After(20 * time.Second)
	for serving := false; ready == nil || !serving; {
		select {
		case line, open := <-p.logLines:
			require.True(t, open, "the process ended")
			switch line["event"] {
			case "ready":
				ready = line
			case "serving":
				serving = true
				p.adminAddress, _ = line["admin"].(string)
				h.clientAddress, _ = line["listen"].(string)
			}
		case <-limit:
			require.Fail(t, "never ready")
		}
	}
	return p, ready
}

// TestReadyWithFirstReadyBackend: a process is ready as soon as it knows a ready backend, and logs which source named it. If its
// known list names none, it calls the director at once, whatever the interval of calls in the settings. It must not wait for
// changes to the known list's version either, as that version may be outdated.
func TestReadyWithFirstReadyBackend(t *testing.T) {
	for name, c := range map[string]struct {
		index  int
		status string // of the backends in the known list; no backends if empty
		down   bool
		from   string
		calls  float64
	}{
		"known":                              {41, "Ready", false, "known", 0},
		"known, and the director is down":    {41, "Ready", true, "known", 0},
		"no backend known":                   {0, "", false, "director", 1},
		"an empty list of a later version":   {9000, "", false, "director", 1},
		"all that are known drain":           {2, "Terminating", false, "director", 1},
		"all drain, in a version of another": {9000, "Terminating", false, "director", 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			var entries []platform.Entry
			for i, b := range h.backends {
				if c.status != "" {
					entries = append(entries, b.Entry("fast", "here", i, c.status))
				}
			}
			h.writeKnownList(c.index, entries...)
			h.director.SetDown(c.down)
			p, line := h.startReady(t)
			assert.Equal(t, []any{c.from, c.calls}, []any{line["from"], line["director_calls"]})
			assert.True(t, h.isReady())
			calls := h.director.MainListener().Calls()
			if c.calls > 0 {
				require.NotEmpty(t, calls)
				assert.False(t, calls[0].Watch, "the first call asks for the whole list")
			} else {
				assert.Empty(t, calls, "the known list is requested again only later")
			}
			for h.sendJob() != 200 {
				time.Sleep(time.Millisecond)
			}
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGUSR1))
			count := p.awaitEvent(t, "counters")
			assert.Positive(t, count["ready_after_ms"])
			assert.EqualValues(t, 1, count["ready_from_"+c.from])
		})
	}
}

// TestReadyFromDirectorBesideSilentConsul: the director is called at once if the Consul catalogue configured beside it is silent.
func TestReadyFromDirectorBesideSilentConsul(t *testing.T) {
	agent, err := standin.Start()
	require.NoError(t, err)
	t.Cleanup(agent.Close)
	agent.SetFaults(standin.Faults{Silent: true})
	h := newDeployment(t, "127.0.0.1:0")
	h.writeKnownList(0)
	h.scriptPath = filepath.Join(t.TempDir(), "s.star")
	require.NoError(t, os.WriteFile(h.scriptPath, []byte(`consul(address = [`+strconv.Quote(agent.Address)+`], service = "photo")
backends(director = True)`), 0o600))
	_, line := h.startReady(t)
	assert.Equal(t, "sources", line["from"])
}
