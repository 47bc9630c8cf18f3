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

// program is the real one, built once.
var program = sync.OnceValues(func() ([]string, error) {
	dir, err := os.MkdirTemp("", "program")
	if err != nil {
		return nil, err
	}
	at := filepath.Join(dir, "tinsail")
	return []string{at}, exec.Command("go", "build", "-buildvcs=false", "-o", at, "tinsail/cmd/tinsail").Run()
})

func TestMain(m *testing.M) {
	code := m.Run()
	if p, _ := program(); len(p) > 0 {
		_ = os.RemoveAll(filepath.Dir(p[0]))
	}
	os.Exit(code)
}

func startFleet(t *testing.T, p FleetConfig) *Fleet {
	var err error
	p.Program, err = program()
	require.NoError(t, err)
	f, err := StartFleet(p)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// TestHollowIsReal: a fleet whose dispatchers are hollow but for the voters costs the voters the messages and bytes of one
// that is real, within a tenth: those of the members' links, and those between the voters. Both run at a time, so that what else
// the machine does is the same for both. HOLLOW_SIZE is the fleet's size; beyond TrueBetween what goes between the voters is told
// alone, and package measure takes no such figure from a hollow fleet.
func TestHollowIsReal(t *testing.T) {
	n := 20
	if text := os.Getenv("HOLLOW_SIZE"); text != "" {
		var err error
		n, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	plan := FleetConfig{Real: n, Lease: 900 * time.Millisecond, Workers: 6}
	real := startFleet(t, plan)
	plan.Real, plan.Hollow = Regions, n-Regions
	hollow := startFleet(t, plan)
	for _, f := range []*Fleet{real, hollow} {
		require.NoError(t, f.AwaitServing(n, 1, time.Minute))
	}
	var a, b Traffic
	for play := 1; ; play++ { // an election in one of the two fleets alone, of a starved machine, is no difference of theirs
		first, second := real.Traffic(), hollow.Traffic()
		most := int64(n * 40) // asks of leases and shares that the real fleet's voters get meanwhile
		require.NoError(t, real.Await("asks", 2*time.Minute, func() bool { return real.Traffic().Since(first)[MemberRequests].Messages >= most }))
		a, b = real.Traffic().Since(first), hollow.Traffic().Since(second)
		for k := range kindCount {
			t.Logf("%-18v real %6d of %8d bytes, hollow %6d of %8d bytes", k, a[k].Messages, a[k].Bytes, b[k].Messages, b[k].Bytes)
		}
		if a[OtherRaftRequests].Messages+b[OtherRaftRequests].Messages == 0 {
			break
		}
		t.Logf("play %d: an election, played again", play)
		require.Less(t, play, 3, "no play without an election")
		for _, f := range []*Fleet{real, hollow} {
			require.NoError(t, f.AwaitServing(n, 1, time.Minute))
		}
	}
	assert.Zero(t, a[Undecoded].Bytes+b[Undecoded].Bytes)
	same := func(what string, x, y int64) {
		assert.InEpsilon(t, float64(x), float64(y), 0.1, what)
	}
	same("messages of asks", a[MemberRequests].Messages, b[MemberRequests].Messages)
	same("bytes of asks", a[MemberRequests].Bytes, b[MemberRequests].Bytes)
	same("messages of answers", a[MemberAnswers].Messages, b[MemberAnswers].Messages)
	same("bytes of answers", a[MemberAnswers].Bytes, b[MemberAnswers].Bytes)
	if n > MaxSizeForVoterTraffic {
		t.Logf("between the voters: messages real %d, hollow %d; bytes real %d, hollow %d: not used from hollow ones", a.RaftTotal().Messages, b.RaftTotal().Messages, a.RaftTotal().Bytes, b.RaftTotal().Bytes)
		return
	}
	same("messages between the voters", a.RaftTotal().Messages, b.RaftTotal().Messages)
	same("bytes between the voters", a.RaftTotal().Bytes, b.RaftTotal().Bytes)
}
