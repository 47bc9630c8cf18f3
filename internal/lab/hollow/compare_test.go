package hollow

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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

func startFleet(t *testing.T, config FleetConfig) *Fleet {
	var err error
	config.Program, err = program()
	require.NoError(t, err)
	f, err := StartFleet(config)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// TestHollowIsReal checks that a fleet of hollow dispatchers and real voters causes the same messages and bytes, within
// a tenth, as a fleet of real dispatchers: on the members' links and between the voters. Both fleets run at the same
// time, so that other load on the machine affects both. HOLLOW_SIZE sets the size of the fleets. Above
// MaxSizeForVoterTraffic the traffic between the voters is only logged; package measure doesn't use that figure of such
// fleets.
func TestHollowIsReal(t *testing.T) {
	n := 20
	if text := os.Getenv("HOLLOW_SIZE"); text != "" {
		var err error
		n, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	config := FleetConfig{Real: n, Lease: 900 * time.Millisecond, Workers: 6}
	realFleet := startFleet(t, config)
	config.Real, config.Hollow = Regions, n-Regions
	hollowFleet := startFleet(t, config)
	for _, f := range []*Fleet{realFleet, hollowFleet} {
		require.NoError(t, f.AwaitServing(n, 1, time.Minute))
	}
	var realTraffic, hollowTraffic Traffic
	// A busy machine can cause an election in one fleet only. That isn't a difference between the fleets, so a window
	// with an election is measured again.
	for attempt := 1; ; attempt++ {
		realBefore, hollowBefore := realFleet.Traffic(), hollowFleet.Traffic()
		windowRequests := int64(n * 40) // member requests in the real fleet that end the window
		require.NoError(t, realFleet.Await("member requests", 2*time.Minute, func() bool {
			return realFleet.Traffic().Since(realBefore)[MemberRequests].Messages >= windowRequests
		}))
		realTraffic, hollowTraffic = realFleet.Traffic().Since(realBefore), hollowFleet.Traffic().Since(hollowBefore)
		for k := range kindCount {
			t.Logf("%-18v real: %6d messages, %8d bytes; hollow: %6d messages, %8d bytes", k, realTraffic[k].Messages, realTraffic[k].Bytes, hollowTraffic[k].Messages, hollowTraffic[k].Bytes)
		}
		if realTraffic[OtherRaftRequests].Messages+hollowTraffic[OtherRaftRequests].Messages == 0 {
			break
		}
		t.Logf("window %d had an election; measuring again", attempt)
		require.Less(t, attempt, 3, "every window had an election")
		for _, f := range []*Fleet{realFleet, hollowFleet} {
			require.NoError(t, f.AwaitServing(n, 1, time.Minute))
		}
	}
	assert.Zero(t, realTraffic[Undecoded].Bytes+hollowTraffic[Undecoded].Bytes)
	assertClose := func(measure string, real, hollow int64) {
		assert.InEpsilon(t, float64(real), float64(hollow), 0.1, measure)
	}
	assertClose("messages of member requests", realTraffic[MemberRequests].Messages, hollowTraffic[MemberRequests].Messages)
	assertClose("bytes of member requests", realTraffic[MemberRequests].Bytes, hollowTraffic[MemberRequests].Bytes)
	assertClose("messages of answers", realTraffic[MemberAnswers].Messages, hollowTraffic[MemberAnswers].Messages)
	assertClose("bytes of answers", realTraffic[MemberAnswers].Bytes, hollowTraffic[MemberAnswers].Bytes)
	realTotal, hollowTotal := realTraffic.RaftTotal(), hollowTraffic.RaftTotal()
	if n > MaxSizeForVoterTraffic {
		t.Logf("between the voters, not checked at this size: real: %d messages, %d bytes; hollow: %d messages, %d bytes",
			realTotal.Messages, realTotal.Bytes, hollowTotal.Messages, hollowTotal.Bytes)
		return
	}
	assertClose("messages between the voters", realTotal.Messages, hollowTotal.Messages)
	assertClose("bytes between the voters", realTotal.Bytes, hollowTotal.Bytes)
}
