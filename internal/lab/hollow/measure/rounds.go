package measure

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/armon/go-metrics"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
)

// roundCounter counts how often the log's library is asked to confirm that its leader leads, over all voters of this process.
type roundCounter struct {
	metrics.BlackholeSink
	rounds atomic.Int64
}

func (r *roundCounter) IncrCounter(key []string, _ float32) {
	if strings.HasSuffix(strings.Join(key, "."), "raft.verify_leader") {
		r.rounds.Add(1)
	}
}

func (r *roundCounter) IncrCounterWithLabels(key []string, v float32, _ []metrics.Label) {
	r.IncrCounter(key, v)
}

// LeadershipRoundsByFleetSize counts the rounds to confirm leadership against dispatchers, with the asks that they confirm and the heartbeats
// that they take. The voters are in this process: counts alone are taken.
func (r Runner) LeadershipRoundsByFleetSize(sizes ...int) ([]capacity.Row, error) {
	s := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %v between regions", r.Lease, r.RegionLatency)}
	counted := &roundCounter{}
	c := metrics.DefaultConfig("")
	c.EnableHostname, c.EnableRuntimeMetrics = false, false
	if _, err := metrics.NewGlobal(c, counted); err != nil {
		return nil, err
	}
	name := "rounds"
	if r.RegionLatency > 0 {
		name = fmt.Sprintf("rounds-lag-%d", r.RegionLatency.Milliseconds())
	}
	for _, n := range sizes {
		p := r.fleetConfig(n)
		p.Real, p.Hollow = 0, n
		f, err := hollow.StartFleet(p)
		if err != nil {
			return nil, err
		}
		if err = f.AwaitServing(n, 1, time.Minute); err == nil {
			time.Sleep(r.Settle)
			for range r.Repeats {
				r.measureRounds(f, s, name, float64(n), counted)
			}
		}
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

func (r Runner) measureRounds(f *hollow.Fleet, s *table, name string, x float64, counted *roundCounter) {
	counts, n, begun := f.Traffic(), counted.rounds.Load(), time.Now()
	time.Sleep(r.Window)
	secs := time.Since(begun).Seconds()
	c, k := f.Traffic().Since(counts), float64(counted.rounds.Load()-n)
	own := float64(c[hollow.MemberRequests].Messages) / (x - 1) // the leader's own member asks it without a relay
	asks := float64(c[hollow.MemberRequests].Messages) + own
	s.add(name+"-a-second", "rounds a second", x, k/secs, capacity.Hollow)
	s.add(name+"-asks", "asks a second", x, asks/secs, capacity.Hollow)
	s.add(name+"-asks-each", "asks a round", x, asks/k, capacity.Hollow)
	s.add(name+"-heartbeats", "messages a second", x, float64(c[hollow.Heartbeats].Messages)/secs, capacity.Hollow)
	s.add(name+"-bytes", "bytes a second", x, float64(c.RaftTotal().Bytes)/secs, capacity.Hollow)
}
