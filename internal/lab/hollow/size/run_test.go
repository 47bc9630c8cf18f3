package size

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/lab/hollow"
)

// buildProgram builds the dispatcher program and returns its command line.
func buildProgram(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "tinsail")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", path, "tinsail/cmd/tinsail").CombinedOutput()
	require.NoError(t, err, string(out))
	return []string{path}
}

// fullRun has the size that the service is required to support, as far as one machine can run it; smallRun is a small
// one of the same shape.
var (
	fullRun = Config{Fleet: hollow.FleetConfig{Real: 30, Hollow: 270, Lease: 1500 * time.Millisecond, RegionLatency: 25 * time.Millisecond, Workers: 580},
		BannedNames: 310, Changes: 240, Restarts: 190, ReqsPerSecond: 36, IsolationTime: 20 * time.Second, ClockTolerance: 20 * time.Millisecond, MaxDuration: 12 * time.Minute, Seed: 1}
	smallRun = Config{Fleet: hollow.FleetConfig{Real: 5, Hollow: 10, Lease: 1500 * time.Millisecond, RegionLatency: 5 * time.Millisecond, Workers: 12},
		BannedNames: 40, Changes: 8, Restarts: 6, ReqsPerSecond: 20, IsolationTime: 4 * time.Second, ClockTolerance: 20 * time.Millisecond, MaxDuration: 3 * time.Minute, Seed: 1}
)

// TestDay checks that each change is in force at all dispatchers or at none, whatever is restarted or cut off
// meanwhile, that each req has one answer, and that all dispatchers are on one version in the end. HOLLOW_DAY=full runs
// fullRun; HOLLOW_DAY=quarter runs it with a quarter of the changes and restarts.
func TestDay(t *testing.T) {
	config := smallRun
	switch os.Getenv("HOLLOW_DAY") {
	case "full":
		config = fullRun
	case "quarter":
		config = fullRun
		config.Changes, config.Restarts = config.Changes/4, config.Restarts/4
	}
	config.Fleet.Program = buildProgram(t)
	report, err := Run(config)
	for _, v := range report.Violations[:min(len(report.Violations), 20)] {
		t.Error(v)
	}
	logReport(t, report)
	require.NoError(t, err)
	assert.Len(t, report.ChangeTimes, config.Changes)
	assert.GreaterOrEqual(t, report.Terminated+report.Killed, config.Restarts*(config.Changes-1)/config.Changes)
	assert.Zero(t, report.VoterTraffic[hollow.Undecoded].Bytes)
	assert.Equal(t, report.ReqsSent, report.ReqsOK+report.ReqsRejected+report.ReqsBroken, "each req has one answer or a broken connection")
	assert.NotZero(t, report.ReqsOK)
	assert.Less(t, report.TotalMemory(), int64(12<<30))
}

// logReport logs the figures of a run.
func logReport(t *testing.T, report *Report) {
	t.Logf("duration %v: %d policy changes, %d repeated proposals; %d restarts by SIGTERM, %d by SIGKILL", report.Duration, len(report.ChangeTimes), report.WithdrawnChanges, report.Terminated, report.Killed)
	if times := slices.Sorted(slices.Values(report.ChangeTimes)); len(times) > 0 {
		t.Logf("change in force everywhere: median %v, p95 %v, max %v", times[len(times)/2], times[len(times)*95/100], times[len(times)-1])
	}
	if times := slices.Sorted(slices.Values(report.ServiceGaps)); len(times) > 0 {
		t.Logf("no dispatcher accepted reqs: median %v, p95 %v, max %v", times[len(times)/2], times[len(times)*95/100], times[len(times)-1])
	}
	t.Logf("region cut off: change in the others took %v, reconnection took %v", report.IsolatedChangeTime, report.ReconnectTime)
	t.Logf("reqs: sent %d, status 200 %d, other status %d, no answer %d", report.ReqsSent, report.ReqsOK, report.ReqsRejected, report.ReqsBroken)
	t.Logf("log lines dropped: %d; violations: %d", report.DroppedLogLines, len(report.Violations))
	for kind, tally := range report.VoterTraffic {
		t.Logf("%-18v %9d messages %12d bytes", hollow.MessageKind(kind), tally.Messages, tally.Bytes)
	}
	t.Logf("director's lists: %d bytes", report.ListBytes)
	for i, usage := range report.ProcessUsage {
		if i < hollow.Regions+1 {
			t.Logf("process %d: %v CPU time, %d MiB, %d threads, %d open files", i, usage.CPU, usage.Memory>>20, usage.Threads, usage.OpenFiles)
		}
	}
	t.Logf("this process: %v CPU time, %d MiB; in all: %d MiB in %d processes", report.OwnUsage.CPU, report.OwnUsage.Memory>>20, report.TotalMemory()>>20, len(report.ProcessUsage)+1)
}
