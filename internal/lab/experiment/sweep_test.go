package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/sim"
)

// TestSweep: each variant serves less when the load exceeds the fleet's capacity, and the same sweep gives the same
// points with any number of workers.
func TestSweep(t *testing.T) {
	variants := []Variant{{"module", defaults.Settings(), sim.Module, nil}, {"random", defaults.Settings(), Random, nil}}
	sc := slowBackendScenario()
	sc.Length = 5000
	o := Options{MaxSeeds: 3, MinSeeds: 3, Workers: 3}
	list, err := Sweep(context.Background(), sc, "rate", []float64{60, 250}, variants, o)
	require.NoError(t, err)
	require.Len(t, list, 4)
	for i := 0; i < 4; i += 2 {
		assert.Equal(t, variants[i/2].Name, list[i].Variant)
		assert.Greater(t, list[i].Service.Mean, list[i+1].Service.Mean)
		assert.Empty(t, list[i].InvalidRuns)
	}
	o.Workers = 1
	again, err := Sweep(context.Background(), sc, "rate", []float64{60, 250}, variants, o)
	require.NoError(t, err)
	assert.Equal(t, list, again)
	_, err = Sweep(context.Background(), sc, "colour", nil, variants, o)
	assert.ErrorContains(t, err, `parameter "colour", want one of`)
	_, err = Sweep(context.Background(), sc, "rate", []float64{-1}, variants, o)
	assert.ErrorContains(t, err, "rate -1, seed 0: scenario:")
}
