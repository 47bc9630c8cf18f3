package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/fleet/frames"
	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// newWithoutLender is a dispatcher's side with no lender to reach, which holds so many units of each of some accounts.
func newWithoutLender(t testing.TB, accounts, units int) *Quota {
	q := &Quota{cfg: Config{Name: "n0", Epoch: 1 << 60, Region: "east", Leases: quota.LeaseConfig{Lease: time.Hour, MaxRunTime: time.Second}, Log: zerolog.Nop()}, origin: time.Now()}
	var err error
	q.dispatcher, err = newDispatcher(q, "")
	require.NoError(t, err)
	t.Cleanup(q.Close)
	p := policy.Policy{Quotas: map[string]int{}}
	a := quota.LeaseResponse{Child: "n0", Epoch: 1 << 60, LenderIncarnation: 1 << 60, Lease: 3 * time.Second}
	for i := range accounts {
		name := fmt.Sprintf("team%03d", i)
		p.Quotas[name] = units
		a.Allocations = append(a.Allocations, quota.Allocation{Account: name, Units: units})
	}
	q.ApplyPolicy(p)
	for range 2 { // the first is of a life not heard before, and grants nothing
		ask, ok := q.dispatcher.nextRequest()
		require.True(t, ok)
		a.Seq = ask.Seq
		q.dispatcher.handleMessage(wire.Message{Response: &wire.LeaseResponse{From: "east", LeaseResponse: a}})
	}
	return q
}

// TestUnchangedReportIsSmall: what a dispatcher and its lender say to each other where nothing changes, however many accounts there
// are: a third of a lease apart, so that at leases of 3 s it is a fiftieth of 15 KB a second at most.
func TestUnchangedReportIsSmall(t *testing.T) {
	q := newWithoutLender(t, 310, 3)
	q.dispatcher.handleConnect()
	ask, ok := q.dispatcher.nextRequest() // all that it was lent is told once
	require.True(t, ok)
	assert.Len(t, ask.Reports, 310)
	first := len(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: "east", LeaseRequest: ask})))
	q.dispatcher.handleMessage(wire.Message{Response: &wire.LeaseResponse{From: "east", LeaseResponse: quota.LeaseResponse{Child: "n0", Epoch: 1 << 60, Seq: ask.Seq, LenderIncarnation: 1 << 60, Lease: 3 * time.Second}}})
	q.dispatcher.handleConnect()
	ask, ok = q.dispatcher.nextRequest()
	require.True(t, ok)
	assert.Empty(t, ask.Reports)
	quiet := len(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: "east", LeaseRequest: ask})))
	answer := len(frames.Frame(wire.EncodeLeaseResponse(wire.LeaseResponse{From: "east", LeaseResponse: quota.LeaseResponse{Child: "n0", Epoch: 1 << 60, Seq: ask.Seq, LenderIncarnation: 1 << 60, Lease: 3 * time.Second}})))
	t.Logf("an ask %d bytes, its answer %d; an ask with 310 lines %d", quiet, answer, first)
	assert.LessOrEqual(t, quiet+answer, 200)
	assert.LessOrEqual(t, first, 310*30+100)
}

// BenchmarkAcquire is what a req pays for its unit where one is held: taken and left, among so many accounts.
func BenchmarkAcquire(b *testing.B) {
	for _, accounts := range []int{1, 310} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			q := newWithoutLender(b, accounts, 1000)
			until := time.Now().Add(time.Hour)
			begun := 0
			for b.Loop() {
				q.Acquire("team000", false, until, func(_ time.Time, _ time.Duration, ok bool) {
					if ok {
						begun++
					}
				})()
			}
			if begun != b.N {
				b.Errorf("%d of %d begun", begun, b.N)
			}
		})
	}
}
