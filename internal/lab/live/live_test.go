package live

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/sim"
)

// TestPlay checks a short scenario with every kind of event on the real dispatcher: each req is served, refused or
// failed, and most are served although backends are banned, killed and removed meanwhile.
func TestPlay(t *testing.T) {
	program := filepath.Join(t.TempDir(), "tinsail")
	output, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, "tinsail/cmd/tinsail").CombinedOutput()
	require.NoError(t, err, string(output))
	sc := sim.Scenario{Seed: 1, Dispatchers: 2, Length: 1500, Rate: 60, Work: 20, Spread: 0.3, Aim: 120, Stretch: 2, Deadline: 5000, Retries: 1, Backoff: 20,
		Report: fleet.ReportConfig{Period: 100, Delay: 50, Noise: 0.05}}
	for i, name := range []string{"a", "b", "c", "d"} {
		sc.Backends = append(sc.Backends, sim.Backend{Name: name, Pod: i / 2, Cold: name == "d", Kind: fleet.Kind{Name: "std", Cores: 4, Speed: 1, Slots: 4, QueueLimit: 20, ColdCapacity: 0.5, WarmUpTime: 500}})
	}
	sc.Events = []sim.Event{{At: 100, Backend: "a", Action: "ban"}, {At: 200, Backend: "b", Action: "trouble", Faults: fleet.Faults{FailureRate: 0.5}},
		{At: 400, Backend: "b", Action: "trouble"}, {At: 500, Backend: "c", Action: "drain", NotifyDelay: 50}, {At: 700, Backend: "c", Action: "kill"},
		{At: 750, Backend: "c", Action: "start"}, {At: 800, Backend: "c", Action: "list", NotifyDelay: 20}, {At: 900, Backend: "a", Action: "lift"}, {At: 1000, Backend: "b", Action: "unlist"}}
	r, err := Play(context.Background(), sc, Options{Program: program})
	require.NoError(t, err)
	arrivals := 0
	for range sc.Arrivals() {
		arrivals++
	}
	assert.Equal(t, arrivals, r.FirstReqs)
	assert.Equal(t, arrivals, r.Served+r.Refused+r.Failed)
	assert.Greater(t, r.Served, arrivals*3/4)
	assert.LessOrEqual(t, r.InTime, r.Served)
	assert.Positive(t, r.JobsByBackend["d"])
	_, err = Play(context.Background(), sc, Options{Program: "/none"})
	assert.Error(t, err)
}

// TestReplay checks that reqs are sent to the real dispatcher at the times of a recording, including a burst at a single
// instant.
func TestReplay(t *testing.T) {
	program := filepath.Join(t.TempDir(), "tinsail")
	output, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, "tinsail/cmd/tinsail").CombinedOutput()
	require.NoError(t, err, string(output))
	sc := sim.Scenario{Seed: 1, Length: 1000, Rate: 1, Work: 20, Spread: 0.3, Aim: 120, Stretch: 2, Deadline: 5000, Retries: 1, Backoff: 20}
	for _, name := range []string{"a", "b"} {
		sc.Backends = append(sc.Backends, sim.Backend{Name: name, Kind: fleet.Kind{Name: "std", Cores: 4, Speed: 1, Slots: 4, QueueLimit: 20}})
	}
	for i := range 40 {
		sc.ArrivalTimes = append(sc.ArrivalTimes, float64(i*20))
	}
	for range 20 { // a burst
		sc.ArrivalTimes = append(sc.ArrivalTimes, 900)
	}
	r, err := Play(context.Background(), sc, Options{Program: program})
	require.NoError(t, err)
	assert.Equal(t, 60, r.FirstReqs, "the reqs of the recording, not those of Rate")
	assert.Equal(t, 60, r.Served+r.Refused+r.Failed)
}
