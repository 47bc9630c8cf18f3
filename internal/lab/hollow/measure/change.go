package measure

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
)

// changeCost holds the durations and the traffic of a change of the policy.
type changeCost struct {
	inForceTime   time.Duration // from the proposal until the last dispatcher served by the new version
	meanStopTime  time.Duration // mean over the dispatchers: from a dispatcher's stop until it served by the new version
	serviceGap    time.Duration // from the last stop until the first dispatcher served by the new version; 0 if they overlap
	memberTraffic hollow.Tally  // of all members' links until the new version was in force everywhere
	raftTraffic   hollow.Tally  // between the voters, for as long
}

// changePolicy proposes a policy with names of the given change through the last dispatcher, which must be hollow, and
// waits until running dispatchers serve by it.
func changePolicy(fleet *hollow.Fleet, running, change, names int) (cost changeCost, err error) {
	proposer := fleet.Hollow[len(fleet.Hollow)-1].Accord
	oldVersion, oldPolicy := proposer.Current()
	newPolicy, err := policy.Read(oldPolicy)
	if err != nil {
		return cost, err
	}
	newPolicy.Bans = policyNames(names, change)
	fleet.TakeEvents()
	trafficBefore, begun := fleet.Traffic(), time.Now()
	if err := proposer.Propose(newPolicy.Append(nil)); err != nil {
		return cost, err
	}
	if err := fleet.AwaitServing(running, oldVersion+1, time.Minute); err != nil {
		return cost, err
	}
	traffic := fleet.Traffic().Since(trafficBefore)
	cost.memberTraffic, cost.raftTraffic = traffic.MemberTotal(), traffic.RaftTotal()
	stoppedAt := map[string]time.Time{}
	var lastStop, firstServe, lastServe time.Time
	served := 0
	for _, e := range fleet.TakeEvents() {
		switch {
		case e.Name == "fenced" && e.Version == oldVersion:
			stoppedAt[e.Process] = e.Time
			lastStop = e.Time
		case e.Name == "serving" && e.Version == oldVersion+1:
			if firstServe.IsZero() {
				firstServe = e.Time
			}
			if at, ok := stoppedAt[e.Process]; ok {
				cost.meanStopTime += e.Time.Sub(at)
				served++
			}
			lastServe = e.Time
		}
	}
	if served < running {
		return cost, fmt.Errorf("only %d of %d dispatchers logged that they stopped and served again", served, running)
	}
	cost.inForceTime, cost.meanStopTime, cost.serviceGap = lastServe.Sub(begun), cost.meanStopTime/time.Duration(served), max(0, firstServe.Sub(lastStop))
	return cost, nil
}

// measureChanges starts a fleet, changes its policy repeatedly and adds the rows of each change at x. names is the
// number of names in each policy. before, which may be nil, is called before each change and returns how many
// dispatchers run.
func (r Runner) measureChanges(t *table, name string, x float64, config hollow.FleetConfig, names int, before func(*hollow.Fleet) (running int)) error {
	fleet, err := hollow.StartFleet(config)
	if err != nil {
		return err
	}
	defer fleet.Close()
	dispatchers := config.Real + config.Hollow
	if err := fleet.AwaitServing(dispatchers, 1, time.Minute); err != nil {
		return err
	}
	if err := fleet.Await("a leader", time.Minute, func() bool { return fleet.Leader() >= 0 }); err != nil {
		return err
	}
	time.Sleep(r.Settle + config.Lease*3/2) // until the new leader's waiting period is over
	for i := range r.Repeats {
		running := dispatchers
		if before != nil {
			running = before(fleet)
		}
		cost, err := changePolicy(fleet, running, i+1, names)
		if err != nil {
			return err
		}
		ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
		t.add(name+"-in-force-everywhere", "ms", x, ms(cost.inForceTime), methodOf(config))
		t.add(name+"-stopped-each", "ms", x, ms(cost.meanStopTime), methodOf(config))
		t.add(name+"-nobody-takes", "ms", x, ms(cost.serviceGap), methodOf(config))
		t.add(name+"-link-bytes", "bytes a dispatcher", x, float64(cost.memberTraffic.Bytes)/float64(dispatchers), methodOf(config))
		t.add(name+"-link-messages", "messages a dispatcher", x, float64(cost.memberTraffic.Messages)/float64(dispatchers), methodOf(config))
		t.add(name+"-between-bytes", "bytes", x, float64(cost.raftTraffic.Bytes), methodOf(config))
		time.Sleep(config.Lease / 2)
	}
	return nil
}

// hollowProposerConfig is fleetConfig, but with at least one hollow dispatcher, which can propose changes.
func (r Runner) hollowProposerConfig(dispatchers int) hollow.FleetConfig {
	config := r.fleetConfig(dispatchers)
	config.Real = min(config.Real, dispatchers-1)
	config.Hollow = dispatchers - config.Real
	return config
}

// ChangeByFleetSize measures a change of the policy against the number of dispatchers.
func (r Runner) ChangeByFleetSize(sizes ...int) ([]capacity.Row, error) {
	t := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %d names", r.Lease, r.BannedNames)}
	for _, dispatchers := range sizes {
		if err := r.measureChanges(t, "change", float64(dispatchers), r.hollowProposerConfig(dispatchers), r.BannedNames, nil); err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}

// ChangeByPolicySize measures a change of the policy, in a fleet of the given size, against the names in a policy.
func (r Runner) ChangeByPolicySize(dispatchers int, sizes ...int) ([]capacity.Row, error) {
	t := &table{against: "names in the policy", note: fmt.Sprintf("%d dispatchers, lease %v", dispatchers, r.Lease)}
	for _, names := range sizes {
		r.BannedNames = names
		if err := r.measureChanges(t, "change-size", float64(names), r.hollowProposerConfig(dispatchers), names, nil); err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}

// ChangeByLatency measures a change of the policy, in a fleet of the given size, against the one-way latency between
// regions.
func (r Runner) ChangeByLatency(dispatchers int, latencies ...time.Duration) ([]capacity.Row, error) {
	t := &table{against: "ms between regions", note: fmt.Sprintf("%d dispatchers, lease %v, %d names", dispatchers, r.Lease, r.BannedNames)}
	for _, latency := range latencies {
		r.RegionLatency = latency
		if err := r.measureChanges(t, "change-lag", float64(latency.Milliseconds()), r.hollowProposerConfig(dispatchers), r.BannedNames, nil); err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}

// ChangeAfterKillByLease measures a change of the policy, in a fleet of the given size, against the lease. One
// dispatcher is killed just before each change, so that the change has to wait until its lease expires.
func (r Runner) ChangeAfterKillByLease(dispatchers int, leases ...time.Duration) ([]capacity.Row, error) {
	t := &table{against: "s of lease", note: fmt.Sprintf("%d dispatchers, %d names, one killed just before", dispatchers, r.BannedNames)}
	for _, lease := range leases {
		r.Lease = lease
		killed := 0
		err := r.measureChanges(t, "change-down", lease.Seconds(), r.hollowProposerConfig(dispatchers), r.BannedNames, func(fleet *hollow.Fleet) int {
			fleet.Stop(hollow.Regions + killed)
			killed++
			return dispatchers - killed
		})
		if err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}
