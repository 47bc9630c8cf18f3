package main

import (
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/capacity/measure"
)

// These are the small forms of make measure-capacity: the same code on the real program at two sizes or so, and of its figures only
// counts, bytes and ratios. The figures of the whole sizes are docs/CAPACITY.md's.

// thisProgram is this program.
var thisProgram = measure.Program{Args: []string{os.Args[0]}, Env: []string{"TINSAIL_TEST_PROGRAM=1"}}

// figures are the figures of a slope figures a size, ascending.
func figures(t *testing.T, rows []capacity.Row, slope string, x float64) (ys []float64) {
	for _, r := range rows {
		require.NoError(t, r.Check())
		if r.Slope == slope && r.X == x {
			ys = append(ys, r.Y)
		}
	}
	require.NotEmpty(t, ys, "%s at %v", slope, x)
	slices.Sort(ys)
	return ys
}

// TestDiscoveryTrafficFollowsChanges: without changes a dispatcher's talk with discovery does not grow with the list, and with changes by what has
// changed alone.
func TestDiscoveryTrafficFollowsChanges(t *testing.T) {
	o := measure.Idle{Repeats: 1, Settle: time.Second, Window: 5 * time.Second}
	rows, err := measure.List(thisProgram, o, 50, 1000)
	require.NoError(t, err)
	for _, x := range []float64{50, 1000} {
		// A call waits 2.5 s: one or two begin or end in a window beside the two that fill it.
		assert.LessOrEqual(t, figures(t, rows, "list-calls", x)[0]*5, 4.0)
		assert.LessOrEqual(t, figures(t, rows, "list-bytes-in", x)[0], 250.0)
		assert.LessOrEqual(t, figures(t, rows, "list-bytes-out", x)[0], 250.0)
	}
	rows, err = measure.Changes(thisProgram, o, 1000, 10)
	require.NoError(t, err)
	calls := figures(t, rows, "changes-calls", 10)[0]
	assert.Positive(t, calls)
	assert.LessOrEqual(t, calls, 11.0) // fewer where the machine lets several changes come together
	assert.LessOrEqual(t, figures(t, rows, "changes-bytes-in", 10)[0]/10, 500.0, "bytes of a change, beside a list of 1,000")
}

// TestRestartReadsListOnce: a start asks for the list once, whatever its size, and what it costs grows with the list; of ten that
// start at once each costs what one does.
func TestRestartReadsListOnce(t *testing.T) {
	one, err := measure.Restart(thisProgram, 1, false, 100, 400)
	require.NoError(t, err)
	for _, x := range []float64{100, 400} {
		assert.LessOrEqual(t, figures(t, one, "restart-calls", x)[0], 3.0)
	}
	assert.InDelta(t, 4, figures(t, one, "restart-bytes-in", 400)[0]/figures(t, one, "restart-bytes-in", 100)[0], 0.4)
	all, err := measure.RestartAll(thisProgram, 1, false, 100, 10)
	require.NoError(t, err)
	assert.InDelta(t, 10, figures(t, all, "restart-all-bytes-in", 10)[0]/figures(t, one, "restart-bytes-in", 100)[0], 1)
}

// TestDescriptorsPerReqInFlight: a req in flight takes two descriptors, none at the front where HTTP/2 carries a hundred. The limit of
// descriptors leaves nine in twenty of it, and the few whose req was there as they were to be turned away; each req beyond is turned
// away, and none that was taken is lost. (Whether each that is turned away is told so is TestRefusedOverUnread's to judge.)
func TestDescriptorsPerReqInFlight(t *testing.T) {
	f := measure.Flight{Body: 1, Sockets: 2000, MemoryMB: 192, Dispatchers: 1, Workers: 20}
	rows, err := measure.InFlight(thisProgram, f, "h1", 2, 50, 250)
	require.NoError(t, err)
	perReq := func(slope string) float64 {
		return (figures(t, rows, slope, 250)[0] - figures(t, rows, slope, 50)[0]) / 200
	}
	assert.InDelta(t, 2, perReq("h1-descriptors"), 0.1)
	assert.LessOrEqual(t, perReq("h1-goroutines"), 6.0)
	f.HTTP2 = true
	rows, err = measure.InFlight(thisProgram, f, "h2", 2, 50, 250)
	require.NoError(t, err)
	assert.InDelta(t, 1, perReq("h2-descriptors"), 0.1)

	rows, err = measure.Most(thisProgram, measure.Flight{Body: 1, MemoryMB: 192, Dispatchers: 1, Workers: 20}, "most", 128, 512)
	require.NoError(t, err)
	for _, x := range []float64{128, 512} {
		most := figures(t, rows, "most", x)[0]
		assert.GreaterOrEqual(t, most, math.Floor((x-32)*9/20))
		assert.LessOrEqual(t, most, (x-32)*9/20+16)
	}
}
