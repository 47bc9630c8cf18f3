package measure

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/lab/capacity"
)

// maxValue returns the largest value of a slope at a size.
func maxValue(t *testing.T, rows []capacity.Row, slope string, x float64) (maxY float64) {
	found := false
	for _, r := range rows {
		require.NoError(t, r.Check())
		if r.Slope == slope && r.X == x {
			maxY, found = max(maxY, r.Y), true
		}
	}
	require.True(t, found, "no row of slope %s at %v", slope, x)
	return maxY
}

// TestModuleMemory checks that the module allocates almost nothing per req on its ordinary path, for any number of
// backends, reqs in flight and teams, and that its retained memory grows no faster than these numbers.
func TestModuleMemory(t *testing.T) {
	m := ModuleConfig{Workers: 580, InFlight: 100, Teams: 310, Rounds: 2000, Repeats: 2}
	rows, err := ModuleSlopes(m, []int{100, 1000}, []int{300, 3000}, []int{31, 310})
	require.NoError(t, err)
	for slope, xs := range map[string][2]float64{"module-workers": {100, 1000}, "module-flight": {300, 3000}, "module-teams": {31, 310}} {
		for _, x := range xs {
			// The maps of reqs occasionally grow to make room for new ids.
			assert.LessOrEqual(t, maxValue(t, rows, slope+"-allocated", x), 64.0, "%s at %v", slope, x)
		}
		assert.LessOrEqual(t, maxValue(t, rows, slope+"-held", xs[1]), 12*maxValue(t, rows, slope+"-held", xs[0]), slope)
	}
	assert.LessOrEqual(t, maxValue(t, rows, "module-flight-held", 3000), 3000.0, "retained KB: at most 1 KiB per req in flight")
}

// TestPlacementMemory checks that the device table retains roughly the same number of bytes per device at any size.
func TestPlacementMemory(t *testing.T) {
	rows, err := Placements(1, 100, false, 100, 1100)
	require.NoError(t, err)
	assert.InDelta(t, 11, maxValue(t, rows, "placement-held", 1100)/maxValue(t, rows, "placement-held", 100), 4)
	assert.LessOrEqual(t, maxValue(t, rows, "placement-held", 1100)/1100, 4.0, "retained KB per device")
}

// TestStartErrors checks that a program that cannot be started, or that ends before it serves, is an error, so that no
// rows are recorded for it.
func TestStartErrors(t *testing.T) {
	_, err := Program{Args: []string{"/nonexistent"}}.start(dispatcherConfig{discovery: "127.0.0.1:1", sockets: 64, memoryMB: 64, dispatchers: 1})
	assert.Error(t, err)
	_, err = Program{Args: []string{"/bin/false"}}.start(dispatcherConfig{discovery: "127.0.0.1:1", sockets: 64, memoryMB: 64, dispatchers: 1})
	assert.ErrorContains(t, err, "ended before it served")
}
