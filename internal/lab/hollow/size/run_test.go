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

func buildProgram(t *testing.T) []string {
	at := filepath.Join(t.TempDir(), "tinsail")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", at, "tinsail/cmd/tinsail").CombinedOutput()
	require.NoError(t, err, string(out))
	return []string{at}
}

// fullRun is the letter's size, as far as one machine plays it; smallRun is the same in little.
var (
	fullRun = Config{Fleet: hollow.FleetConfig{Real: 30, Hollow: 270, Lease: 1500 * time.Millisecond, RegionLatency: 25 * time.Millisecond, Workers: 580},
		BannedNames: 310, Changes: 240, Restarts: 190, ReqsPerSecond: 36, IsolationTime: 20 * time.Second, ClockTolerance: 20 * time.Millisecond, MaxDuration: 12 * time.Minute, Seed: 1}
	smallRun = Config{Fleet: hollow.FleetConfig{Real: 5, Hollow: 10, Lease: 1500 * time.Millisecond, RegionLatency: 5 * time.Millisecond, Workers: 12},
		BannedNames: 40, Changes: 8, Restarts: 6, ReqsPerSecond: 20, IsolationTime: 4 * time.Second, ClockTolerance: 20 * time.Millisecond, MaxDuration: 3 * time.Minute, Seed: 1}
)

// TestDay: a change is in force at all or nowhere, whatever is restarted or cut off meanwhile; each req has one answer; all are
// on one version in the end. HOLLOW_DAY=full plays the whole size, quarter the same fleet with a quarter of the changes and restarts.
func TestDay(t *testing.T) {
	d := smallRun
	switch os.Getenv("HOLLOW_DAY") {
	case "full":
		d = fullRun
	case "quarter":
		d = fullRun
		d.Changes, d.Restarts = d.Changes/4, d.Restarts/4
	}
	d.Fleet.Program = buildProgram(t)
	r, err := Run(d)
	for _, v := range r.Violations[:min(len(r.Violations), 20)] {
		t.Error(v)
	}
	logReport(t, r)
	require.NoError(t, err)
	assert.Len(t, r.ChangeTimes, d.Changes)
	assert.GreaterOrEqual(t, r.Terminated+r.Killed, d.Restarts*(d.Changes-1)/d.Changes)
	assert.Zero(t, r.VoterTraffic[hollow.Undecoded].Bytes)
	assert.Equal(t, r.ReqsSent, r.ReqsOK+r.ReqsRejected+r.ReqsBroken, "one answer each, or a connection that broke")
	assert.NotZero(t, r.ReqsOK)
	assert.Less(t, r.TotalMemory(), int64(12<<30))
}

func logReport(t *testing.T, r *Report) {
	t.Logf("took %v: %d changes, %d proposed again; %d restarts and %d kills", r.Duration, len(r.ChangeTimes), r.WithdrawnChanges, r.Terminated, r.Killed)
	if e := slices.Sorted(slices.Values(r.ChangeTimes)); len(e) > 0 {
		t.Logf("in force everywhere: median %v, 95 of 100 within %v, most %v", e[len(e)/2], e[len(e)*95/100], e[len(e)-1])
	}
	if e := slices.Sorted(slices.Values(r.ServiceGaps)); len(e) > 0 {
		t.Logf("nobody took: median %v, 95 of 100 within %v, most %v", e[len(e)/2], e[len(e)*95/100], e[len(e)-1])
	}
	t.Logf("a region cut off: a change of the rest %v, all back after %v", r.IsolatedChangeTime, r.ReconnectTime)
	t.Logf("reqs: asked %d, 200 %d, other answers %d, broken %d", r.ReqsSent, r.ReqsOK, r.ReqsRejected, r.ReqsBroken)
	t.Logf("lines left out by logs: %d; verdicts: %d", r.DroppedLogLines, len(r.Violations))
	for k, c := range r.VoterTraffic {
		t.Logf("%-18v %9d messages %12d bytes", hollow.MessageKind(k), c.Messages, c.Bytes)
	}
	t.Logf("lists: %d bytes", r.ListBytes)
	for i, c := range r.ProcessUsage {
		if i < hollow.Regions+1 {
			t.Logf("process %d: %v of processor time, %d MB, %d threads, %d descriptors", i, c.CPU, c.Memory>>20, c.Threads, c.OpenFiles)
		}
	}
	t.Logf("this process: %v, %d MB; all: %d MB in %d processes", r.OwnUsage.CPU, r.OwnUsage.Memory>>20, r.TotalMemory()>>20, len(r.ProcessUsage)+1)
}
