package network

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinsail/internal/core"
	leases "tinsail/internal/fleet/accord"
	"tinsail/internal/network/fleet/accord"
	"tinsail/internal/platform"
)

// stampingBackends do what the pool does before the first byte, and answer at once.
type stampingBackends struct {
	instantBackends
	dispatcher string
}

func (x stampingBackends) Send(a *core.Attempt, job *core.Job) func() {
	if !a.MayStart() {
		a.Ended(core.Unsent, "", nil)
		return func() {}
	}
	var stamp *platform.PolicyStamp
	if x.dispatcher != "" {
		stamp = &platform.PolicyStamp{Version: a.Version(), Dispatcher: x.dispatcher}
	}
	platform.AppendJob(make([]byte, 0, 384), job, "127.0.0.1:1", time.Second, stamp)
	return x.instantBackends.Send(a, job)
}

// BenchmarkVersion measures the additional cost of a request where the fleet agrees on a policy. It sends the same requests
// over HTTP/1.1 in blocks, alternating with and without an accord, in one process. It reports the median processor time per
// request of the blocks, each way, and the median difference of neighbouring blocks.
func BenchmarkVersion(b *testing.B) {
	a, err := accord.New(accord.Config{Leases: leases.LeaseConfig{Lease: 3 * time.Second}, Name: "n0", Epoch: 1,
		Voters: []accord.Peer{{Name: "n0", Address: "127.0.0.1:39401"}}, DataDir: b.TempDir(), InitialPolicy: []byte("x"),
		CheckPolicy: func([]byte) error { return nil }, ApplyPolicy: func(uint64, []byte) error { return nil }})
	require.NoError(b, err)
	b.Cleanup(a.Close)
	require.Eventually(b, a.Serves, 30*time.Second, 10*time.Millisecond)
	off := startServer(b, stampingBackends{instantBackends: instantBackends{"done"}})
	on := startServer(b, stampingBackends{instantBackends{"done"}, "n0"}, func(c *Clients) { c.Core.Versions = a })
	const block, pairs = 4000, 160
	spend := func(s *testServer) float64 {
		start := cpuTime()
		require.NoError(b, loadHTTP1(b, s.addresses[0], block, 8))
		return float64(cpuTime()-start) / block / 1000
	}
	for b.Loop() {
		var without, with, more []float64
		for i := range pairs + 2 {
			var x, y float64
			if i%2 == 0 {
				x, y = spend(off), spend(on)
			} else {
				y, x = spend(on), spend(off)
			}
			if i >= 2 { // the first two warm up
				without, with, more = append(without, x), append(with, y), append(more, (y-x)/x*100)
			}
		}
		for _, l := range [][]float64{without, with, more} {
			slices.Sort(l)
		}
		b.ReportMetric(without[pairs/2], "µs/req-off")
		b.ReportMetric(with[pairs/2], "µs/req-on")
		b.ReportMetric(more[pairs/2], "%more")
		b.ReportMetric(more[pairs/4], "%more-q1")
		b.ReportMetric(more[pairs*3/4], "%more-q3")
	}
}
