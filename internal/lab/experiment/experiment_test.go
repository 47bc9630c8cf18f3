package experiment

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/sim"
)

func slowBackendScenario() sim.Scenario {
	sc := sim.Scenario{Length: 12_000, Rate: 90, Work: 200, Spread: 0.4, Aim: 120, Deadline: 5000, Retries: 1, Backoff: 50, Latency: 0.3, Connect: 0.6}
	for i, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		sc.Backends = append(sc.Backends, sim.Backend{Name: name, Pod: i / 4, Kind: fleet.Kind{Name: "std", Cores: 4, Speed: 1, Slots: 4, QueueLimit: 40, ThrashThreshold: 10, ThrashSlowdown: 0.5, RepeatWindow: 7500}})
	}
	sc.Events = []sim.Event{{At: 3000, Backend: "a", Action: "trouble", Faults: fleet.Faults{SlowFactor: 5}}}
	return sc
}

// TestCompareDetectsWorsePolicy: 8 seeds suffice to show that the random policy is worse, and it violates no rule.
func TestCompareDetectsWorsePolicy(t *testing.T) {
	a, b := Variant{"module", defaults.Settings(), sim.Module, nil}, Variant{"random", defaults.Settings(), Random, nil}
	r, err := Compare(context.Background(), slowBackendScenario(), a, b, Options{MaxSeeds: 8, Workers: 4})
	require.NoError(t, err)
	assert.Empty(t, r.InvalidRuns)
	assert.Equal(t, 8, r.ValidPairs)
	assert.Less(t, r.Diff.High, 0.0, "%v", r.Diff)
	again, err := Compare(context.Background(), slowBackendScenario(), a, b, Options{MaxSeeds: 8, Workers: 1})
	require.NoError(t, err)
	assert.Equal(t, r.Diff, again.Diff, "the result doesn't depend on the number of workers")
}

// TestIntervalsOfEqualVariantsOverlap: the intervals of two experiments with the same variant and different seeds
// overlap in at least 95 of 100 pairs. The values are drawn from a distribution like that of service levels, since a
// hundred simulated experiments take minutes: make measure-lab runs those.
func TestIntervalsOfEqualVariantsOverlap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	overlap := 0
	for range 100 {
		draw := func() Estimate {
			values := make([]float64, 12)
			for i := range values {
				values[i] = 0.97 - 0.02*rng.ExpFloat64()
			}
			return Bootstrap(values, 0.95)
		}
		if a, b := draw(), draw(); a.Overlaps(b) {
			overlap++
		}
	}
	assert.GreaterOrEqual(t, overlap, 95)
}

func TestBootstrap(t *testing.T) {
	assert.True(t, math.IsNaN(Bootstrap(nil, 0.95).Mean))
	one := Bootstrap([]float64{3}, 0.95)
	assert.Equal(t, []float64{3, math.Inf(-1), math.Inf(1)}, []float64{one.Mean, one.Low, one.High})
	same := Bootstrap([]float64{2, 2, 2, 2}, 0.95)
	assert.Equal(t, Estimate{2, 2, 2, 4}, same)
	wide := Bootstrap([]float64{0, 1, 0, 1, 0, 1, 0, 1}, 0.95)
	assert.Equal(t, wide, Bootstrap([]float64{0, 1, 0, 1, 0, 1, 0, 1}, 0.95))
	assert.InDelta(t, 0.5-0.37, wide.Low, 0.06)
	assert.InDelta(t, 0.5+0.37, wide.High, 0.06)
}

// doubleSender sends every request to two backends of different deduplication groups (pods) at once,
// which violates a rule.
type doubleSender struct{ *random }

func (d doubleSender) Arrive(_ balance.Millis, q balance.Request) {
	d.reqs[q.ID] = &randomReq{open: true, inFlight: 2, attempts: 2}
	d.actions.Dispatch(q.ID, d.ready[0], 0)
	d.actions.Dispatch(q.ID, d.ready[len(d.ready)-1], 0)
}

// TestInvalidRunsCountInNoMean: a run that violated a rule is reported separately and counts in no mean.
func TestInvalidRunsCountInNoMean(t *testing.T) {
	newDoubleSender := func(s balance.Settings, a balance.Actions) (balance.Events, error) {
		d, err := Random(s, a)
		return doubleSender{d.(*random)}, err
	}
	r, err := Compare(context.Background(), slowBackendScenario(), Variant{"module", defaults.Settings(), sim.Module, nil}, Variant{"double-sender", defaults.Settings(), newDoubleSender, nil}, Options{MaxSeeds: 2, MinSeeds: 2})
	require.NoError(t, err)
	require.Len(t, r.InvalidRuns, 2)
	assert.Equal(t, "double-sender", r.InvalidRuns[0].Variant)
	assert.Contains(t, r.InvalidRuns[0].FirstViolation, "may have run in group")
	assert.Zero(t, r.ValidPairs)
	assert.True(t, math.IsNaN(r.Diff.Mean))
}

// TestCompareStops: an experiment stops early once the interval is narrow, and when its context is cancelled.
func TestCompareStops(t *testing.T) {
	v := Variant{"module", defaults.Settings(), sim.Module, nil}
	sc := slowBackendScenario()
	sc.Length = 2000
	r, err := Compare(context.Background(), sc, v, v, Options{MaxSeeds: 50})
	require.NoError(t, err)
	assert.True(t, r.StoppedEarly)
	assert.Len(t, r.Pairs, 8)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = Compare(ctx, sc, v, v, Options{})
	assert.ErrorIs(t, err, context.Canceled)
}
