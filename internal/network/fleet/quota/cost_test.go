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

// newWithoutLender returns a dispatcher without a reachable lender, which holds the given number of units of each account.
func newWithoutLender(t testing.TB, accounts, units int) *Quota {
	q := &Quota{cfg: Config{Name: "n0", Epoch: 1 << 60, Region: "east",
		Leases: quota.LeaseConfig{Lease: time.Hour, MaxRunTime: time.Second}, Log: zerolog.Nop()}, origin: time.Now()}
	var err error
	q.dispatcher, err = newDispatcher(q, "")
	require.NoError(t, err)
	t.Cleanup(q.Close)
	p := policy.Policy{Quotas: map[string]int{}}
	response := quota.LeaseResponse{Child: "n0", Epoch: 1 << 60, LenderIncarnation: 1 << 60, Lease: 3 * time.Second}
	for i := range accounts {
		name := fmt.Sprintf("team%03d", i)
		p.Quotas[name] = units
		response.Allocations = append(response.Allocations, quota.Allocation{Account: name, Units: units})
	}
	q.ApplyPolicy(p)
	for range 2 { // the first response is from an incarnation of the lender that the holder doesn't know, and grants nothing
		request, ok := q.dispatcher.nextRequest()
		require.True(t, ok)
		response.Seq = request.Seq
		q.dispatcher.handleMessage(wire.Message{Response: &wire.LeaseResponse{From: "east", LeaseResponse: response}})
	}
	return q
}

// TestUnchangedReportIsSmall bounds the bytes that a dispatcher and its lender exchange while nothing changes, however many
// accounts there are. They do so each third of a lease, so at leases of 3 s that is at most a fiftieth of 15 KB a second.
func TestUnchangedReportIsSmall(t *testing.T) {
	q := newWithoutLender(t, 310, 3)
	q.dispatcher.handleConnect()
	request, ok := q.dispatcher.nextRequest() // reports all lent units once
	require.True(t, ok)
	assert.Len(t, request.Reports, 310)
	full := len(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: "east", LeaseRequest: request})))
	q.dispatcher.handleMessage(wire.Message{Response: &wire.LeaseResponse{From: "east",
		LeaseResponse: quota.LeaseResponse{Child: "n0", Epoch: 1 << 60, Seq: request.Seq, LenderIncarnation: 1 << 60, Lease: 3 * time.Second}}})
	q.dispatcher.handleConnect()
	request, ok = q.dispatcher.nextRequest()
	require.True(t, ok)
	assert.Empty(t, request.Reports)
	unchanged := len(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: "east", LeaseRequest: request})))
	response := len(frames.Frame(wire.EncodeLeaseResponse(wire.LeaseResponse{From: "east",
		LeaseResponse: quota.LeaseResponse{Child: "n0", Epoch: 1 << 60, Seq: request.Seq, LenderIncarnation: 1 << 60, Lease: 3 * time.Second}})))
	t.Logf("request: %d bytes, response: %d bytes, request with 310 reports: %d bytes", unchanged, response, full)
	assert.LessOrEqual(t, unchanged+response, 200)
	assert.LessOrEqual(t, full, 310*30+100)
}

// BenchmarkAcquire measures Acquire and release of a unit that the dispatcher holds, by the number of accounts.
func BenchmarkAcquire(b *testing.B) {
	for _, accounts := range []int{1, 310} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			q := newWithoutLender(b, accounts, 1000)
			until := time.Now().Add(time.Hour)
			started := 0
			for b.Loop() {
				q.Acquire("team000", false, until, func(_ time.Time, _ time.Duration, ok bool) {
					if ok {
						started++
					}
				})()
			}
			if started != b.N {
				b.Errorf("%d of %d started", started, b.N)
			}
		})
	}
}
