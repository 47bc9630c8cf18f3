package measure

import (
	"fmt"
	"time"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
)

// changeCost is what a change of the policy cost.
type changeCost struct {
	inForceTime   time.Duration // from its proposal until the last dispatcher serves by it
	meanStopTime  time.Duration // mean over the dispatchers: from when each stopped until it served by the new one
	serviceGap    time.Duration // from when the last stopped until the first served by the new one; 0 where those overlap
	memberTraffic hollow.Tally  // of all members' links meanwhile
	raftTraffic   hollow.Tally
}

// changePolicy has the last dispatcher, which is hollow, propose a policy, and waits until n serve by it.
func changePolicy(f *hollow.Fleet, n, nth, size int) (c changeCost, err error) {
	proposer := f.Hollow[len(f.Hollow)-1].Accord
	version, old := proposer.Current()
	p, err := policy.Read(old)
	if err != nil {
		return c, err
	}
	p.Bans = policyNames(size, nth)
	f.TakeEvents()
	counts, begun := f.Traffic(), time.Now()
	if err := proposer.Propose(p.Append(nil)); err != nil {
		return c, err
	}
	if err := f.AwaitServing(n, version+1, time.Minute); err != nil {
		return c, err
	}
	after := f.Traffic().Since(counts)
	c.memberTraffic, c.raftTraffic = after.MemberTotal(), after.RaftTotal()
	stopped := map[string]time.Time{}
	var lastStop, firstServe, lastServe time.Time
	served := 0
	for _, e := range f.TakeEvents() {
		switch {
		case e.Name == "fenced" && e.Version == version:
			stopped[e.Process] = e.Time
			lastStop = e.Time
		case e.Name == "serving" && e.Version == version+1:
			if firstServe.IsZero() {
				firstServe = e.Time
			}
			if at, ok := stopped[e.Process]; ok {
				c.meanStopTime += e.Time.Sub(at)
				served++
			}
			lastServe = e.Time
		}
	}
	if served < n {
		return c, fmt.Errorf("%d of %d stopped and served again", served, n)
	}
	c.inForceTime, c.meanStopTime, c.serviceGap = lastServe.Sub(begun), c.meanStopTime/time.Duration(served), max(0, firstServe.Sub(lastStop))
	return c, nil
}

// measureChanges makes measureChanges at one fleet and adds the rows of each.
func (r Runner) measureChanges(s *table, name string, x float64, p hollow.FleetConfig, size int, before func(*hollow.Fleet) (n int)) error {
	f, err := hollow.StartFleet(p)
	if err != nil {
		return err
	}
	defer f.Close()
	n := p.Real + p.Hollow
	if err := f.AwaitServing(n, 1, time.Minute); err != nil {
		return err
	}
	if err := f.Await("a leader", time.Minute, func() bool { return f.Leader() >= 0 }); err != nil {
		return err
	}
	time.Sleep(r.Settle + p.Lease*3/2) // the leader's quiet time is over
	for i := range r.Repeats {
		live := n
		if before != nil {
			live = before(f)
		}
		c, err := changePolicy(f, live, i+1, size)
		if err != nil {
			return err
		}
		ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
		s.add(name+"-in-force-everywhere", "ms", x, ms(c.inForceTime), howMeasured(p))
		s.add(name+"-stopped-each", "ms", x, ms(c.meanStopTime), howMeasured(p))
		s.add(name+"-nobody-takes", "ms", x, ms(c.serviceGap), howMeasured(p))
		s.add(name+"-link-bytes", "bytes a dispatcher", x, float64(c.memberTraffic.Bytes)/float64(n), howMeasured(p))
		s.add(name+"-link-messages", "messages a dispatcher", x, float64(c.memberTraffic.Messages)/float64(n), howMeasured(p))
		s.add(name+"-between-bytes", "bytes", x, float64(c.raftTraffic.Bytes), howMeasured(p))
		time.Sleep(p.Lease / 2)
	}
	return nil
}

// hollowProposerConfig is one with the voters and a few more real, and the last hollow.
func (r Runner) hollowProposerConfig(n int) hollow.FleetConfig {
	p := r.fleetConfig(n)
	p.Real = min(p.Real, n-1)
	p.Hollow = n - p.Real
	return p
}

// ChangeByFleetSize measures a change of the policy against dispatchers.
func (r Runner) ChangeByFleetSize(sizes ...int) ([]capacity.Row, error) {
	s := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %d names", r.Lease, r.BannedNames)}
	for _, n := range sizes {
		if err := r.measureChanges(s, "change", float64(n), r.hollowProposerConfig(n), r.BannedNames, nil); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

// ChangeByPolicySize measures it against the names in a policy.
func (r Runner) ChangeByPolicySize(n int, sizes ...int) ([]capacity.Row, error) {
	s := &table{against: "names in the policy", note: fmt.Sprintf("%d dispatchers, lease %v", n, r.Lease)}
	for _, size := range sizes {
		r.BannedNames = size
		if err := r.measureChanges(s, "change-size", float64(size), r.hollowProposerConfig(n), size, nil); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

// ChangeByLatency measures it against the time that a piece travels between regions, one way.
func (r Runner) ChangeByLatency(n int, lags ...time.Duration) ([]capacity.Row, error) {
	s := &table{against: "ms between regions", note: fmt.Sprintf("%d dispatchers, lease %v, %d names", n, r.Lease, r.BannedNames)}
	for _, l := range lags {
		r.RegionLatency = l
		if err := r.measureChanges(s, "change-lag", float64(l.Milliseconds()), r.hollowProposerConfig(n), r.BannedNames, nil); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

// ChangeAfterKillByLease measures it against the lease, with a dispatcher killed just before each change: its lease has to be waited out.
func (r Runner) ChangeAfterKillByLease(n int, leases ...time.Duration) ([]capacity.Row, error) {
	s := &table{against: "s of lease", note: fmt.Sprintf("%d dispatchers, %d names, one killed just before", n, r.BannedNames)}
	for _, l := range leases {
		r.Lease = l
		at := 0
		err := r.measureChanges(s, "change-down", l.Seconds(), r.hollowProposerConfig(n), r.BannedNames, func(f *hollow.Fleet) int {
			f.Stop(hollow.Regions + at)
			at++
			return n - at
		})
		if err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}
