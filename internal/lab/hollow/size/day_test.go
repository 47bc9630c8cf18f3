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

func program(t *testing.T) []string {
	at := filepath.Join(t.TempDir(), "tinsail")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", at, "tinsail/cmd/tinsail").CombinedOutput()
	require.NoError(t, err, string(out))
	return []string{at}
}

// full is the letter's size, as far as one machine plays it; small is the same in little.
var (
	full = Day{Fleet: hollow.FleetConfig{Real: 30, Hollow: 270, Lease: 1500 * time.Millisecond, RegionLatency: 25 * time.Millisecond, Workers: 580},
		Teams: 310, Changes: 240, Restarts: 190, Starts: 36, Cut: 20 * time.Second, Slack: 20 * time.Millisecond, Most: 12 * time.Minute, Seed: 1}
	small = Day{Fleet: hollow.FleetConfig{Real: 5, Hollow: 10, Lease: 1500 * time.Millisecond, RegionLatency: 5 * time.Millisecond, Workers: 12},
		Teams: 40, Changes: 8, Restarts: 6, Starts: 20, Cut: 4 * time.Second, Slack: 20 * time.Millisecond, Most: 3 * time.Minute, Seed: 1}
)

// TestDay: a change is in force at all or nowhere, whatever is restarted or cut off meanwhile; each req has one answer; all are
// on one version in the end. HOLLOW_DAY=full plays the whole size, quarter the same fleet with a quarter of the changes and restarts.
func TestDay(t *testing.T) {
	d := small
	switch os.Getenv("HOLLOW_DAY") {
	case "full":
		d = full
	case "quarter":
		d = full
		d.Changes, d.Restarts = d.Changes/4, d.Restarts/4
	}
	d.Fleet.Program = program(t)
	r, err := Play(d)
	for _, v := range r.Verdicts[:min(len(r.Verdicts), 20)] {
		t.Error(v)
	}
	tell(t, r)
	require.NoError(t, err)
	assert.Len(t, r.Everywhere, d.Changes)
	assert.GreaterOrEqual(t, r.Restarted+r.Killed, d.Restarts*(d.Changes-1)/d.Changes)
	assert.Zero(t, r.Counts[hollow.Undecoded].Bytes)
	assert.Equal(t, r.Asked, r.Served+r.Shed+r.Lost, "one answer each, or a connection that broke")
	assert.NotZero(t, r.Served)
	assert.Less(t, r.Memory(), int64(12<<30))
}

func tell(t *testing.T, r *Report) {
	t.Logf("took %v: %d changes, %d proposed again; %d restarts and %d kills", r.Took, len(r.Everywhere), r.Withdrawn, r.Restarted, r.Killed)
	if e := slices.Sorted(slices.Values(r.Everywhere)); len(e) > 0 {
		t.Logf("in force everywhere: median %v, 95 of 100 within %v, most %v", e[len(e)/2], e[len(e)*95/100], e[len(e)-1])
	}
	if e := slices.Sorted(slices.Values(r.Nobody)); len(e) > 0 {
		t.Logf("nobody took: median %v, 95 of 100 within %v, most %v", e[len(e)/2], e[len(e)*95/100], e[len(e)-1])
	}
	t.Logf("a region cut off: a change of the rest %v, all back after %v", r.CutChange, r.Back)
	t.Logf("reqs: asked %d, 200 %d, other answers %d, broken %d", r.Asked, r.Served, r.Shed, r.Lost)
	t.Logf("lines left out by logs: %d; verdicts: %d", r.Unjudged, len(r.Verdicts))
	for k, c := range r.Counts {
		t.Logf("%-18v %9d messages %12d bytes", hollow.MessageKind(k), c.Messages, c.Bytes)
	}
	t.Logf("lists: %d bytes", r.ListBytes)
	for i, c := range r.Real {
		if i < hollow.Regions+1 {
			t.Logf("process %d: %v of processor time, %d MB, %d threads, %d descriptors", i, c.CPU, c.Memory>>20, c.Threads, c.OpenFiles)
		}
	}
	t.Logf("this process: %v, %d MB; all: %d MB in %d processes", r.Own.CPU, r.Own.Memory>>20, r.Memory()>>20, len(r.Real)+1)
}
