package measure

import (
	"fmt"
	"sync"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
)

// totals are a fleet's traffic totals at a time: between members and voters, between the voters, and with the director.
type totals struct {
	at                   time.Time
	members, raft, lists hollow.Tally
}

// readTotals reads the meters of a fleet.
func readTotals(fleet *hollow.Fleet) totals {
	traffic := fleet.Traffic()
	lists := &fleet.ListMeter
	return totals{time.Now(), traffic.MemberTotal(), traffic.RaftTotal(), hollow.Tally{Messages: lists.RequestChunks.Load() + lists.ResponseChunks.Load(), Bytes: lists.RequestBytes.Load() + lists.ResponseBytes.Load()}}
}

// excess returns how much value grew from begun to after beyond its rate from before to begun; at least 0.
func excess(before, begun, after totals, value func(totals) int64) float64 {
	rate := float64(value(begun)-value(before)) / begun.at.Sub(before.at).Seconds()
	return max(0, float64(value(after)-value(begun))-rate*after.at.Sub(begun.at).Seconds())
}

// measureRecovery adds rows of the time that restart takes, and of the traffic during it beyond that of a window before
// it. restart must return when the fleet serves again.
func (r Runner) measureRecovery(t *table, fleet *hollow.Fleet, name string, x float64, method string, restart func() error) error {
	before := readTotals(fleet)
	time.Sleep(r.Window)
	begun := readTotals(fleet)
	if err := restart(); err != nil {
		return fmt.Errorf("%s at %v: %w", name, x, err)
	}
	after := readTotals(fleet)
	t.add(name+"-time", "ms", x, float64(after.at.Sub(begun.at).Microseconds())/1000, method)
	t.add(name+"-link-messages", "messages beyond the usual", x, excess(before, begun, after, func(t totals) int64 { return t.members.Messages }), method)
	t.add(name+"-link-bytes", "bytes beyond the usual", x, excess(before, begun, after, func(t totals) int64 { return t.members.Bytes }), method)
	t.add(name+"-between-bytes", "bytes beyond the usual", x, excess(before, begun, after, func(t totals) int64 { return t.raft.Bytes }), method)
	t.add(name+"-list-bytes", "bytes beyond the usual", x, excess(before, begun, after, func(t totals) int64 { return t.lists.Bytes }), method)
	return nil
}

// RestartsByFleetSize measures restarts against the number of dispatchers: of one dispatcher, of all except the voters
// at once, and of the leading voter. The time runs from the start of the killed dispatchers, or from the kill of the
// leader, until all dispatchers serve. MaxReal must be above hollow.Regions.
func (r Runner) RestartsByFleetSize(sizes ...int) ([]capacity.Row, error) {
	t := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %d names, %d workers", r.Lease, r.BannedNames, r.Workers)}
	for _, dispatchers := range sizes {
		if err := r.measureRestarts(t, dispatchers); err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}

// measureRestarts adds the rows of a fleet of the given size.
func (r Runner) measureRestarts(t *table, dispatchers int) error {
	config, x := r.fleetConfig(dispatchers), float64(dispatchers)
	fleet, err := hollow.StartFleet(config)
	if err != nil {
		return err
	}
	defer fleet.Close()
	awaitAll := func() error { return fleet.AwaitServing(dispatchers, 1, time.Minute) }
	if err := awaitAll(); err != nil {
		return err
	}
	time.Sleep(r.Settle)
	for range r.Repeats {
		single := config.Real - 1 // a real dispatcher that isn't a voter
		fleet.Stop(single)
		if err := r.measureRecovery(t, fleet, "restart-one-of", x, methodOf(config), func() error {
			if err := fleet.Start(single); err != nil {
				return err
			}
			return awaitAll()
		}); err != nil {
			return err
		}
		for i := hollow.Regions; i < dispatchers; i++ {
			fleet.Stop(i)
		}
		if err := r.measureRecovery(t, fleet, "restart-dispatchers", x, methodOf(config), func() error {
			if err := startAll(fleet, hollow.Regions, dispatchers); err != nil {
				return err
			}
			return awaitAll()
		}); err != nil {
			return err
		}
		if err := fleet.Await("a leader", time.Minute, func() bool { return fleet.Leader() >= 0 }); err != nil {
			return err
		}
		if err := r.measureLeaderRestart(t, fleet, x, dispatchers); err != nil {
			return err
		}
	}
	return nil
}

// measureLeaderRestart kills the leader, starts it again once there is a new one, and adds the rows of that.
func (r Runner) measureLeaderRestart(t *table, fleet *hollow.Fleet, x float64, dispatchers int) error {
	leader := fleet.Leader()
	fleet.TakeEvents()
	var electionTime time.Duration
	err := r.measureRecovery(t, fleet, "restart-leader", x, methodOf(fleet.Config), func() error {
		begun := time.Now()
		fleet.Stop(leader)
		if err := fleet.Await("a new leader", time.Minute, func() bool { return fleet.Leader() >= 0 }); err != nil {
			return err
		}
		electionTime = time.Since(begun)
		if err := fleet.Start(leader); err != nil {
			return err
		}
		return fleet.AwaitServing(dispatchers, 1, time.Minute)
	})
	if err != nil {
		return err
	}
	fenced := map[string]bool{} // names of the other dispatchers that stopped serving
	for _, e := range fleet.TakeEvents() {
		if e.Name == "fenced" && e.Process != hollow.DispatcherName(leader) {
			fenced[e.Process] = true
		}
	}
	t.add("restart-leader-elected", "ms", x, float64(electionTime.Microseconds())/1000, methodOf(fleet.Config))
	t.add("restart-leader-fenced", "dispatchers that stopped", x, float64(len(fenced)), methodOf(fleet.Config))
	return nil
}

// startAll starts the dispatchers from first up to, but not including, end, at most 16 at a time. It returns an error
// of one of the starts that failed.
func startAll(fleet *hollow.Fleet, first, end int) error {
	var starting sync.WaitGroup
	var mu sync.Mutex
	var startErr error
	slots := make(chan struct{}, 16)
	for i := first; i < end; i++ {
		starting.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := fleet.Start(i); err != nil {
				mu.Lock()
				startErr = err
				mu.Unlock()
			}
		})
	}
	starting.Wait()
	return startErr
}

// FleetRestartByFleetSize measures the restart of a whole fleet at once, until all dispatchers serve, against the
// number of dispatchers. The voters keep their logs.
func (r Runner) FleetRestartByFleetSize(sizes ...int) ([]capacity.Row, error) {
	t := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %d names, %d workers; voters keep their logs", r.Lease, r.BannedNames, r.Workers)}
	for _, dispatchers := range sizes {
		config := r.fleetConfig(dispatchers)
		fleet, err := hollow.StartFleet(config)
		if err != nil {
			return nil, err
		}
		for range r.Repeats {
			if err = fleet.AwaitServing(dispatchers, 1, time.Minute); err != nil {
				break
			}
			for i := range dispatchers {
				fleet.Stop(i)
			}
			begun := readTotals(fleet)
			if err = startAll(fleet, 0, dispatchers); err != nil {
				break
			}
			if err = fleet.AwaitServing(dispatchers, 1, time.Minute); err != nil {
				break
			}
			after := readTotals(fleet)
			x := float64(dispatchers)
			t.add("restart-fleet-time", "ms", x, float64(after.at.Sub(begun.at).Microseconds())/1000, methodOf(config))
			t.add("restart-fleet-link-messages", "messages", x, float64(after.members.Messages-begun.members.Messages), methodOf(config))
			t.add("restart-fleet-link-bytes", "bytes", x, float64(after.members.Bytes-begun.members.Bytes), methodOf(config))
			t.add("restart-fleet-list-bytes", "bytes", x, float64(after.lists.Bytes-begun.lists.Bytes), methodOf(config))
		}
		fleet.Close()
		if err != nil {
			return nil, fmt.Errorf("restart of a fleet of %d dispatchers: %w", dispatchers, err)
		}
	}
	return t.rows, nil
}
