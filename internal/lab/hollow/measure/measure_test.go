package measure

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/lab/capacity"
)

// program builds the dispatcher program once and returns its command line.
var program = sync.OnceValues(func() ([]string, error) {
	dir, err := os.MkdirTemp("", "program")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "tinsail")
	return []string{path}, exec.Command("go", "build", "-buildvcs=false", "-o", path, "tinsail/cmd/tinsail").Run()
})

func TestMain(m *testing.M) {
	code := m.Run()
	if p, _ := program(); len(p) > 0 {
		_ = os.RemoveAll(filepath.Dir(p[0]))
	}
	os.Exit(code)
}

// smallRunner returns a Runner for small fleets and short measurements.
func smallRunner(t *testing.T) Runner {
	p, err := program()
	require.NoError(t, err)
	return Runner{Program: p, MaxReal: 5, Workers: 6, Lease: 1500 * time.Millisecond, Settle: 300 * time.Millisecond, Window: 2 * time.Second, Repeats: 1, BannedNames: 20}
}

// meanOf returns the mean of a slope's rows at x. It fails the test if there are none.
func meanOf(t *testing.T, rows []capacity.Row, slope string, x float64) float64 {
	sum, n := 0.0, 0.0
	for _, r := range rows {
		if r.Slope == slope && r.X == x {
			sum, n = sum+r.Y, n+1
		}
	}
	require.NotZero(t, n, "%s at %v", slope, x)
	return sum / n
}

// TestSmallControl checks that the leader's traffic with the members grows with their number, and that a link's bytes
// per message stay the same: those of the three requests and three answers that each lease takes.
func TestSmallControl(t *testing.T) {
	r := smallRunner(t)
	rows, err := r.SteadyByFleetSize(4, 8, 16)
	require.NoError(t, err)
	for _, row := range rows {
		require.NoError(t, row.Check())
	}
	assert.InEpsilon(t, 15, meanOf(t, rows, "accord-leader-bytes", 16)/meanOf(t, rows, "accord-leader-bytes", 4)*3, 0.3)
	for _, n := range []float64{4, 8, 16} {
		bytesPerMessage := meanOf(t, rows, "accord-link-bytes", n) / meanOf(t, rows, "accord-link-messages", n)
		assert.InDelta(t, 115, bytesPerMessage, 35, "bytes per message")
	}
}

// TestSmallChange checks that a change sends the policy's body to each dispatcher at most twice (as a draft, and to a
// dispatcher that has a different one), apart from the messages about the change, and that a change is measured with a
// dispatcher killed.
func TestSmallChange(t *testing.T) {
	r := smallRunner(t)
	rows, err := r.ChangeByFleetSize(4, 8)
	require.NoError(t, err)
	bodySize := float64(len(policyNames(20, 0))*30 + 70)
	for _, n := range []float64{4, 8} {
		assert.Less(t, meanOf(t, rows, "change-link-bytes", n), 3*bodySize+6000)
		assert.Greater(t, meanOf(t, rows, "change-link-bytes", n), bodySize/2)
	}
	rows, err = r.ChangeAfterKillByLease(6, r.Lease)
	require.NoError(t, err)
	assert.NotEmpty(t, rows)
}

// TestSmallRecovery checks that all dispatchers serve again after each kind of restart, and that restarted ones read
// the director's list.
func TestSmallRecovery(t *testing.T) {
	r := smallRunner(t)
	rows, err := r.RestartsByFleetSize(6)
	require.NoError(t, err)
	assert.NotZero(t, meanOf(t, rows, "restart-dispatchers-list-bytes", 6))
	rows, err = r.FleetRestartByFleetSize(5)
	require.NoError(t, err)
	assert.NotZero(t, meanOf(t, rows, "restart-fleet-link-messages", 5))
}

// TestSmallRounds checks that there are hardly more rounds than member requests: a round confirms all requests that
// came before it.
func TestSmallRounds(t *testing.T) {
	r := smallRunner(t)
	r.RegionLatency = 10 * time.Millisecond
	r.Window = 6 * time.Second // the requests of the leader's own member are estimated, and some fall on the window's edges
	rows, err := r.LeadershipRoundsByFleetSize(4, 12)
	require.NoError(t, err)
	for _, n := range []float64{4, 12} {
		assert.GreaterOrEqual(t, meanOf(t, rows, "rounds-lag-10-asks-each", n), 0.9)
	}
}

// BenchmarkHollow runs a steady fleet of 300 dispatchers, of which only the voters are real, for a CPU profile of the
// hollow dispatchers and of the relays that count their traffic.
func BenchmarkHollow(b *testing.B) {
	p, err := program()
	require.NoError(b, err)
	for b.Loop() {
		_, err = Runner{Program: p, MaxReal: 3, Workers: 30, Lease: 3 * time.Second, Settle: time.Second, Window: 20 * time.Second, Repeats: 1}.SteadyByFleetSize(300)
		require.NoError(b, err)
	}
}
