package sim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/fleet"
)

func eightBackendScenario(seed uint64) Scenario {
	sc := Scenario{Seed: seed, Length: 20_000, Rate: 100, Work: 200, Spread: 0.4, Aim: 120, Deadline: 5000, Retries: 1, Backoff: 50,
		Latency: 0.3, Connect: 0.6}
	for i, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		sc.Backends = append(sc.Backends, Backend{Name: name, Pod: i / 4, Kind: fleet.Kind{Name: "std", Cores: 4, Speed: 1, Slots: 4, QueueLimit: 40,
			ColdCapacity: 0.4, WarmUpTime: 6000, ThrashThreshold: 10, ThrashSlowdown: 0.5, Handshake: 3, FallMultiple: 3, FallWindow: 2000, FallSlack: 3, RepeatWindow: 7500}})
	}
	return sc
}

// assertRules asserts the rules that no scenario may break.
func assertRules(t *testing.T, r Result) {
	t.Helper()
	assert.Empty(t, r.Violations)
	assert.Equal(t, r.Reqs, r.Served+r.Refused+r.Failed+r.Unanswered)
}

func runChecked(t *testing.T, sc Scenario) Result {
	t.Helper()
	r, err := Run(sc, defaults.Settings())
	require.NoError(t, err)
	assertRules(t, r)
	return r
}

// Two runs with the same seed give the same result and log hash; another seed gives another log.
func TestSameSeedGivesSameLog(t *testing.T) {
	sc := eightBackendScenario(1)
	sc.Events = []Event{{At: 5000, Backend: "a", Action: "trouble", Faults: fleet.Faults{SlowFactor: 5, FailureRate: 0.2}}, {At: 9000, Backend: "b", Action: "kill"}}
	a, b := runChecked(t, sc), runChecked(t, sc)
	assert.Equal(t, a, b)
	sc.Seed = 2
	assert.NotEqual(t, a.LogHash, runChecked(t, sc).LogHash)
}

// A fleet loaded to two thirds of its capacity serves nearly all reqs in time.
func TestTwoThirdsLoadIsServedInTime(t *testing.T) {
	r := runChecked(t, eightBackendScenario(3))
	assert.Greater(t, r.Reqs, 1800)
	assert.Greater(t, r.InTimeShare(), 0.95)
}

// Under each fault the rules hold and the share of reqs served in time stays above a floor.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Scenario)
		floor  float64
	}{
		"slow": {func(s *Scenario) {
			s.Events = []Event{{At: 3000, Backend: "a", Action: "trouble", Faults: fleet.Faults{SlowFactor: 9}}}
		}, 0.85},
		"fast errors": {func(s *Scenario) {
			s.Events = []Event{{At: 3000, Backend: "a", Action: "trouble", Faults: fleet.Faults{FailureRate: 0.9}}}
		}, 0.85},
		"frozen, then resumed": {func(s *Scenario) {
			s.Events = []Event{{At: 3000, Backend: "a", Action: "trouble", Faults: fleet.Faults{Frozen: true}}, {At: 8000, Backend: "a", Action: "trouble"}}
		}, 0.8},
		"burst": {func(s *Scenario) { s.Bursts = []Burst{{5000, 9000, 2.5}} }, 0.5},
		"killed, unlisted 2 s later": {func(s *Scenario) {
			s.Events = []Event{{At: 3000, Backend: "a", Action: "kill"}, {At: 3000, Backend: "a", Action: "unlist", NotifyDelay: 2000}}
		}, 0.85},
		"rolling deploy": {func(s *Scenario) {
			for i, name := range []string{"a", "b", "c", "d"} {
				at := 2000 + 3500*float64(i)
				s.Events = append(s.Events, Event{At: at, Backend: name, Action: "drain", NotifyDelay: 300}, Event{At: at + 2000, Backend: name, Action: "kill"},
					Event{At: at + 2500, Backend: name, Action: "start"}, Event{At: at + 2600, Backend: name, Action: "list", NotifyDelay: 500})
			}
		}, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				sc := eightBackendScenario(seed)
				c.change(&sc)
				r := runChecked(t, sc)
				assert.Greater(t, r.InTimeShare(), c.floor, "seed %d: %+v", seed, r)
			}
		})
	}
}

// A scenario that names an unknown backend, or lists one twice, is rejected.
func TestInvalidScenario(t *testing.T) {
	sc := eightBackendScenario(1)
	sc.Events = []Event{{Backend: "z"}}
	_, err := Run(sc, defaults.Settings())
	assert.ErrorContains(t, err, `names backend "z"`)
	sc = eightBackendScenario(1)
	sc.Backends = append(sc.Backends, sc.Backends[0])
	_, err = Run(sc, defaults.Settings())
	assert.ErrorContains(t, err, `backend "a" is listed twice`)
}

// BenchmarkRun measures how much faster than real time a run is.
func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		r, err := Run(eightBackendScenario(1), defaults.Settings())
		if err != nil || r.ViolationCount > 0 {
			b.Fatal(err, r)
		}
	}
	b.ReportMetric(20*float64(b.N)/b.Elapsed().Seconds(), "s/s")
}

// Several dispatchers share the clients, each with its own list and bans: the rules hold over all of them, and the
// backend is used before its ban and after the ban is lifted.
func TestManyDispatchers(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		sc := eightBackendScenario(seed)
		sc.Dispatchers = 4
		sc.Report = fleet.ReportConfig{Period: 900, Delay: 300, Noise: 0.05}
		sc.Events = []Event{
			{At: 4000, Backend: "a", Action: "ban"}, {At: 4500, Backend: "a", Action: "unlist", NotifyDelay: 200}, {At: 5000, Backend: "a", Action: "list"},
			{At: 6000, Backend: "a", Action: "kill"}, {At: 7000, Backend: "a", Action: "start"}, {At: 8000, Backend: "a", Action: "list"}, {At: 9000, Backend: "a", Action: "lift"},
			{At: 19_000, Backend: "b", Action: "ban"},
		}
		r := runChecked(t, sc)
		assert.Greater(t, r.InTimeShare(), 0.95, "seed %d", seed)
		assert.Greater(t, r.AttemptsByBackend["a"], 50, "attempts before the ban and after it is lifted")
		assert.Equal(t, r, runChecked(t, sc))
		sc.Dispatchers = 1
		assert.NotEqual(t, r.LogHash, runChecked(t, sc).LogHash)
	}
}

// singleBackendPolicy sends every req to one backend, whatever the outcome.
type singleBackendPolicy struct {
	balance.Events
	actions balance.Actions
	target  balance.WorkerID
}

func (f *singleBackendPolicy) Arrive(_ balance.Millis, q balance.Request) {
	f.actions.Dispatch(q.ID, f.target, 0)
}

// The checker finds a violation that a policy causes and the core does not prevent.
func TestViolationsAreDetected(t *testing.T) {
	sc := eightBackendScenario(1)
	sc.Backends[0].Cold = true
	r, err := RunWithPolicy(sc, defaults.Settings(), func(s balance.Settings, a balance.Actions) (balance.Events, error) {
		d, err := balance.New(s, a)
		return &singleBackendPolicy{d, a, workerID("a")}, err
	})
	require.NoError(t, err)
	require.NotEmpty(t, r.Violations)
	assert.Equal(t, "cold", r.Violations[0].Rule)
}

// BenchmarkFleetSizes measures how the cost of a run grows with backends and dispatchers, at the same load per backend.
func BenchmarkFleetSizes(b *testing.B) {
	for _, size := range []struct{ dispatchers, backends int }{{1, 10}, {1, 100}, {1, 1000}, {20, 100}, {200, 100}} {
		b.Run(fmt.Sprint(size.dispatchers, "x", size.backends), func(b *testing.B) {
			sc := eightBackendScenario(1)
			kind := sc.Backends[0].Kind
			sc.Dispatchers, sc.Length, sc.Rate, sc.Backends = size.dispatchers, 2000, 12*float64(size.backends), nil
			for i := range size.backends {
				sc.Backends = append(sc.Backends, Backend{Name: fmt.Sprint("b", i), Pod: i / 5, Kind: kind})
			}
			steps := 0
			for b.Loop() {
				r, err := Run(sc, defaults.Settings())
				if err != nil || r.ViolationCount > 0 {
					b.Fatal(err, r.Violations)
				}
				steps += r.Steps
			}
			b.ReportMetric(float64(steps)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// Recorded times replace the scenario's own arrivals: all within its length are used and none beyond it, and a burst in
// the recording is reproduced.
func TestRecordedArrivals(t *testing.T) {
	sc := eightBackendScenario(4)
	for i := range 1500 { // 100 per second, and a burst of 300 in the second that starts at 5 s
		sc.ArrivalTimes = append(sc.ArrivalTimes, float64(i)*10)
		if i >= 500 && i < 600 {
			sc.ArrivalTimes = append(sc.ArrivalTimes, float64(i)*10+3, float64(i)*10+6)
		}
	}
	sc.ArrivalTimes = append(sc.ArrivalTimes, 25_000) // beyond the length
	r := runChecked(t, sc)
	assert.Equal(t, 1700, r.Reqs)
	sc.ArrivalTimes[3], sc.ArrivalTimes[4] = sc.ArrivalTimes[4], sc.ArrivalTimes[3]
	_, err := Run(sc, defaults.Settings())
	assert.ErrorContains(t, err, "not in time order")
}
