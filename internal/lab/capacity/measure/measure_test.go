package measure

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/lab/capacity"
)

// most is the largest figure of a slope at a size.
func most(t *testing.T, rows []capacity.Row, slope string, x float64) (y float64) {
	found := false
	for _, r := range rows {
		require.NoError(t, r.Check())
		if r.Slope == slope && r.X == x {
			y, found = max(y, r.Y), true
		}
	}
	require.True(t, found, "%s at %v", slope, x)
	return y
}

// TestModuleMemory: on its ordinary path the module allocates next to nothing, however many backends, reqs and teams there are, and
// what it holds grows no faster than they.
func TestModuleMemory(t *testing.T) {
	m := ModuleConfig{Workers: 580, InFlight: 100, Teams: 310, Rounds: 2000, Repeats: 2}
	rows, err := ModuleSlopes(m, []int{100, 1000}, []int{300, 3000}, []int{31, 310})
	require.NoError(t, err)
	for slope, xs := range map[string][2]float64{"module-workers": {100, 1000}, "module-flight": {300, 3000}, "module-teams": {31, 310}} {
		for _, x := range xs {
			// The maps of reqs make room for new ids at times.
			assert.LessOrEqual(t, most(t, rows, slope+"-allocated", x), 64.0, "%s at %v", slope, x)
		}
		assert.LessOrEqual(t, most(t, rows, slope+"-held", xs[1]), 12*most(t, rows, slope+"-held", xs[0]), slope)
	}
	assert.LessOrEqual(t, most(t, rows, "module-flight-held", 3000), 3000.0, "KB: a KiB a req")
}

// TestPlacementMemory: the table of devices holds so many bytes a device, at any size.
func TestPlacementMemory(t *testing.T) {
	rows, err := Placements(1, 100, false, 100, 1100)
	require.NoError(t, err)
	assert.InDelta(t, 11, most(t, rows, "placement-held", 1100)/most(t, rows, "placement-held", 100), 4)
	assert.LessOrEqual(t, most(t, rows, "placement-held", 1100)/1100, 4.0, "KB a device")
}

// TestWhatCannotBeHeldIsSaid: where reqs are not all in flight the slope is refused, not drawn through fewer.
func TestWhatCannotBeHeldIsSaid(t *testing.T) {
	_, err := Program{Args: []string{"/nonexistent"}}.start(setup{discovery: "127.0.0.1:1", sockets: 64, memoryMB: 64, dispatchers: 1})
	assert.Error(t, err)
	_, err = Program{Args: []string{"/bin/false"}}.start(setup{discovery: "127.0.0.1:1", sockets: 64, memoryMB: 64, dispatchers: 1})
	assert.ErrorContains(t, err, "did not serve")
}
