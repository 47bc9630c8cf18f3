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

// These tests are small versions of make measure-capacity. They run the same code on the real program at about two sizes, and check
// only counts, bytes and ratios. docs/CAPACITY.md has the figures of the full sizes.

// thisProgram runs this test binary as the dispatcher.
var thisProgram = measure.Program{Args: []string{os.Args[0]}, Env: []string{"TINSAIL_TEST_PROGRAM=1"}}

// figures returns the figures of a slope at a size, in ascending order.
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

// TestDiscoveryTrafficFollowsChanges: a dispatcher's traffic with discovery does not grow with the list while nothing changes, and
// grows only with the number of changes otherwise.
func TestDiscoveryTrafficFollowsChanges(t *testing.T) {
	o := measure.IdleConfig{Repeats: 1, Settle: time.Second, Window: 5 * time.Second}
	rows, err := measure.ListSizes(thisProgram, o, 50, 1000)
	require.NoError(t, err)
	for _, x := range []float64{50, 1000} {
		// A call waits 2.5 s: besides the two calls that fill a window, one or two begin or end in it.
		assert.LessOrEqual(t, figures(t, rows, "list-calls", x)[0]*5, 4.0)
		assert.LessOrEqual(t, figures(t, rows, "list-bytes-in", x)[0], 250.0)
		assert.LessOrEqual(t, figures(t, rows, "list-bytes-out", x)[0], 250.0)
	}
	rows, err = measure.ListChangeRates(thisProgram, o, 1000, 10)
	require.NoError(t, err)
	calls := figures(t, rows, "changes-calls", 10)[0]
	assert.Positive(t, calls)
	assert.LessOrEqual(t, calls, 11.0) // fewer if several changes arrive together
	assert.LessOrEqual(t, figures(t, rows, "changes-bytes-in", 10)[0]/10, 500.0, "bytes of a change, beside a list of 1,000")
}

// TestRestartReadsListOnce: a starting process requests the list once, whatever its size, and the bytes grow with the list. Each of
// ten processes that start at once costs as much as one.
func TestRestartReadsListOnce(t *testing.T) {
	one, err := measure.RestartOne(thisProgram, 1, false, 100, 400)
	require.NoError(t, err)
	for _, x := range []float64{100, 400} {
		assert.LessOrEqual(t, figures(t, one, "restart-calls", x)[0], 3.0)
	}
	assert.InDelta(t, 4, figures(t, one, "restart-bytes-in", 400)[0]/figures(t, one, "restart-bytes-in", 100)[0], 0.4)
	all, err := measure.RestartAll(thisProgram, 1, false, 100, 10)
	require.NoError(t, err)
	assert.InDelta(t, 10, figures(t, all, "restart-all-bytes-in", 10)[0]/figures(t, one, "restart-bytes-in", 100)[0], 1)
}

// TestDescriptorsPerReqInFlight: a request in flight uses two descriptors; with HTTP/2, where a hundred requests share a
// connection, it uses one. The requests in flight reach nine twentieths of the descriptor limit, plus the few whose request had
// arrived when they were to be refused. Requests beyond are refused, and no accepted request is lost. (TestRefusedOverUnread
// checks whether each refused client is told so.)
func TestDescriptorsPerReqInFlight(t *testing.T) {
	f := measure.InFlightConfig{BodyBytes: 1, Sockets: 2000, MemoryMB: 192, Dispatchers: 1, Backends: 20}
	rows, err := measure.InFlightCounts(thisProgram, f, "h1", 2, 50, 250)
	require.NoError(t, err)
	perReq := func(slope string) float64 {
		return (figures(t, rows, slope, 250)[0] - figures(t, rows, slope, 50)[0]) / 200
	}
	assert.InDelta(t, 2, perReq("h1-descriptors"), 0.1)
	assert.LessOrEqual(t, perReq("h1-goroutines"), 6.0)
	f.HTTP2 = true
	rows, err = measure.InFlightCounts(thisProgram, f, "h2", 2, 50, 250)
	require.NoError(t, err)
	assert.InDelta(t, 1, perReq("h2-descriptors"), 0.1)

	rows, err = measure.MaxInFlight(thisProgram, measure.InFlightConfig{BodyBytes: 1, MemoryMB: 192, Dispatchers: 1, Backends: 20}, "most", 128, 512)
	require.NoError(t, err)
	for _, x := range []float64{128, 512} {
		inFlight := figures(t, rows, "most", x)[0]
		assert.GreaterOrEqual(t, inFlight, math.Floor((x-32)*9/20))
		assert.LessOrEqual(t, inFlight, (x-32)*9/20+16)
	}
}
