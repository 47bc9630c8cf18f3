package measure

import (
	"fmt"
	"sync"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
)

// totals is what a fleet exchanges: with voters, between them, and with the director.
type totals struct {
	at                   time.Time
	members, raft, lists hollow.Tally
}

func readTotals(f *hollow.Fleet) totals {
	c := f.Traffic()
	l := &f.ListMeter
	return totals{time.Now(), c.MemberTotal(), c.RaftTotal(), hollow.Tally{Messages: l.RequestChunks.Load() + l.ResponseChunks.Load(), Bytes: l.RequestBytes.Load() + l.ResponseBytes.Load()}}
}

// excess is what was spent from a to b excess the pace of the time from before to a; not below 0.
func excess(before, a, b totals, of func(totals) int64) float64 {
	pace := float64(of(a)-of(before)) / a.at.Sub(before.at).Seconds()
	return max(0, float64(of(b)-of(a))-pace*b.at.Sub(a.at).Seconds())
}

// measureRecovery measures what break breaks, until it is whole again. mended says how long that took.
func (r Runner) measureRecovery(s *table, f *hollow.Fleet, name string, x float64, how string, mend func() error) error {
	before := readTotals(f)
	time.Sleep(r.Window)
	begun := readTotals(f)
	if err := mend(); err != nil {
		return fmt.Errorf("%s at %v: %w", name, x, err)
	}
	after := readTotals(f)
	s.add(name+"-time", "ms", x, float64(after.at.Sub(begun.at).Microseconds())/1000, how)
	s.add(name+"-link-messages", "messages beyond the usual", x, excess(before, begun, after, func(s totals) int64 { return s.members.Messages }), how)
	s.add(name+"-link-bytes", "bytes beyond the usual", x, excess(before, begun, after, func(s totals) int64 { return s.members.Bytes }), how)
	s.add(name+"-between-bytes", "bytes beyond the usual", x, excess(before, begun, after, func(s totals) int64 { return s.raft.Bytes }), how)
	s.add(name+"-list-bytes", "bytes beyond the usual", x, excess(before, begun, after, func(s totals) int64 { return s.lists.Bytes }), how)
	return nil
}

// RestartsByFleetSize measures restarts against dispatchers: of one dispatcher, of all that are no voters within a moment, and of
// the voter that leads. A restart's time runs from the start of what was killed, or for the leader from its kill, until all serve.
func (r Runner) RestartsByFleetSize(sizes ...int) ([]capacity.Row, error) {
	s := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %d names, %d workers", r.Lease, r.BannedNames, r.Workers)}
	for _, n := range sizes {
		if err := r.measureRestarts(s, n); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

func (r Runner) measureRestarts(s *table, n int) error {
	p, x := r.fleetConfig(n), float64(n)
	f, err := hollow.StartFleet(p)
	if err != nil {
		return err
	}
	defer f.Close()
	whole := func() error { return f.AwaitServing(n, 1, time.Minute) }
	if err := whole(); err != nil {
		return err
	}
	time.Sleep(r.Settle)
	for range r.Repeats {
		one := p.Real - 1 // real, and no voter
		f.Stop(one)
		if err := r.measureRecovery(s, f, "restart-one-of", x, howMeasured(p), func() error {
			if err := f.Start(one); err != nil {
				return err
			}
			return whole()
		}); err != nil {
			return err
		}
		for i := hollow.Regions; i < n; i++ {
			f.Stop(i)
		}
		if err := r.measureRecovery(s, f, "restart-dispatchers", x, howMeasured(p), func() error {
			if err := startAll(f, hollow.Regions, n); err != nil {
				return err
			}
			return whole()
		}); err != nil {
			return err
		}
		if err := f.Await("a leader", time.Minute, func() bool { return f.Leader() >= 0 }); err != nil {
			return err
		}
		if err := r.measureLeaderRestart(s, f, x, n); err != nil {
			return err
		}
	}
	return nil
}

// measureLeaderRestart kills the leader and starts it again.
func (r Runner) measureLeaderRestart(s *table, f *hollow.Fleet, x float64, n int) error {
	leads := f.Leader()
	f.TakeEvents()
	var elected time.Duration
	err := r.measureRecovery(s, f, "restart-leader", x, howMeasured(f.Config), func() error {
		begun := time.Now()
		f.Stop(leads)
		if err := f.Await("a new leader", time.Minute, func() bool { return f.Leader() >= 0 }); err != nil {
			return err
		}
		elected = time.Since(begun)
		if err := f.Start(leads); err != nil {
			return err
		}
		return f.AwaitServing(n, 1, time.Minute)
	})
	if err != nil {
		return err
	}
	fenced := map[string]bool{}
	for _, e := range f.TakeEvents() {
		if e.Name == "fenced" && e.Process != hollow.DispatcherName(leads) {
			fenced[e.Process] = true
		}
	}
	s.add("restart-leader-elected", "ms", x, float64(elected.Microseconds())/1000, howMeasured(f.Config))
	s.add("restart-leader-fenced", "dispatchers that stopped", x, float64(len(fenced)), howMeasured(f.Config))
	return nil
}

// startAll starts dispatchers at a time, as many as 16 real ones.
func startAll(f *hollow.Fleet, from, to int) error {
	var all sync.WaitGroup
	var mu sync.Mutex
	var first error
	seats := make(chan struct{}, 16)
	for i := from; i < to; i++ {
		all.Go(func() {
			seats <- struct{}{}
			defer func() { <-seats }()
			if err := f.Start(i); err != nil {
				mu.Lock()
				first = err
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return first
}

// FleetRestartByFleetSize measures the start of a whole fleet at a time, the voters with empty logs, until all serve.
func (r Runner) FleetRestartByFleetSize(sizes ...int) ([]capacity.Row, error) {
	s := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %d names, %d workers; voters keep their logs", r.Lease, r.BannedNames, r.Workers)}
	for _, n := range sizes {
		p := r.fleetConfig(n)
		f, err := hollow.StartFleet(p)
		if err != nil {
			return nil, err
		}
		for range r.Repeats {
			if err = f.AwaitServing(n, 1, time.Minute); err != nil {
				break
			}
			for i := range n {
				f.Stop(i)
			}
			begun := readTotals(f)
			if err = startAll(f, 0, n); err != nil {
				break
			}
			if err = f.AwaitServing(n, 1, time.Minute); err != nil {
				break
			}
			after := readTotals(f)
			x := float64(n)
			s.add("restart-fleet-time", "ms", x, float64(after.at.Sub(begun.at).Microseconds())/1000, howMeasured(p))
			s.add("restart-fleet-link-messages", "messages", x, float64(after.members.Messages-begun.members.Messages), howMeasured(p))
			s.add("restart-fleet-link-bytes", "bytes", x, float64(after.members.Bytes-begun.members.Bytes), howMeasured(p))
			s.add("restart-fleet-list-bytes", "bytes", x, float64(after.lists.Bytes-begun.lists.Bytes), howMeasured(p))
		}
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("restart of all %d: %w", n, err)
		}
	}
	return s.rows, nil
}
