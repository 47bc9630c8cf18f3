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

// roundCounter is a metrics sink that counts how often the Raft library verifies its leader, over all voters of this
// process.
type roundCounter struct {
	metrics.BlackholeSink
	rounds atomic.Int64
}

// IncrCounter counts raft.verify_leader and ignores the other counters.
func (r *roundCounter) IncrCounter(key []string, _ float32) {
	if strings.HasSuffix(strings.Join(key, "."), "raft.verify_leader") {
		r.rounds.Add(1)
	}
}

// IncrCounterWithLabels is IncrCounter without the labels.
func (r *roundCounter) IncrCounterWithLabels(key []string, v float32, _ []metrics.Label) {
	r.IncrCounter(key, v)
}

// LeadershipRoundsByFleetSize measures the rounds in which the leader confirms its leadership, the member requests that
// they confirm and the heartbeats that they take, against the number of dispatchers. All dispatchers are hollow, so
// that the rounds can be counted in this process; only counts are measured.
func (r Runner) LeadershipRoundsByFleetSize(sizes ...int) ([]capacity.Row, error) {
	t := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %v between regions", r.Lease, r.RegionLatency)}
	counter := &roundCounter{}
	metricsConfig := metrics.DefaultConfig("")
	metricsConfig.EnableHostname, metricsConfig.EnableRuntimeMetrics = false, false
	if _, err := metrics.NewGlobal(metricsConfig, counter); err != nil {
		return nil, err
	}
	name := "rounds"
	if r.RegionLatency > 0 {
		name = fmt.Sprintf("rounds-lag-%d", r.RegionLatency.Milliseconds())
	}
	for _, dispatchers := range sizes {
		config := r.fleetConfig(dispatchers)
		config.Real, config.Hollow = 0, dispatchers
		fleet, err := hollow.StartFleet(config)
		if err != nil {
			return nil, err
		}
		if err = fleet.AwaitServing(dispatchers, 1, time.Minute); err == nil {
			time.Sleep(r.Settle)
			for range r.Repeats {
				r.measureRounds(fleet, t, name, float64(dispatchers), counter)
			}
		}
		fleet.Close()
		if err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}

// measureRounds adds the rows of one window of a fleet of x dispatchers.
func (r Runner) measureRounds(fleet *hollow.Fleet, t *table, name string, x float64, counter *roundCounter) {
	trafficBefore, roundsBefore, begun := fleet.Traffic(), counter.rounds.Load(), time.Now()
	time.Sleep(r.Window)
	secs := time.Since(begun).Seconds()
	traffic, rounds := fleet.Traffic().Since(trafficBefore), float64(counter.rounds.Load()-roundsBefore)
	// The leader's own member sends its requests without a relay; it is counted as the mean of the others.
	leaderRequests := float64(traffic[hollow.MemberRequests].Messages) / (x - 1)
	requests := float64(traffic[hollow.MemberRequests].Messages) + leaderRequests
	t.add(name+"-a-second", "rounds a second", x, rounds/secs, capacity.Hollow)
	t.add(name+"-asks", "asks a second", x, requests/secs, capacity.Hollow)
	t.add(name+"-asks-each", "asks a round", x, requests/rounds, capacity.Hollow)
	t.add(name+"-heartbeats", "messages a second", x, float64(traffic[hollow.Heartbeats].Messages)/secs, capacity.Hollow)
	t.add(name+"-bytes", "bytes a second", x, float64(traffic.RaftTotal().Bytes)/secs, capacity.Hollow)
}
