package measure

import (
	"fmt"
	"sync"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
)

// spent is what a fleet exchanges: with voters, between them, and with the director.
type spent struct {
	at                    time.Time
	links, between, lists hollow.Tally
}

func spend(f *hollow.Fleet) spent {
	c := f.Traffic()
	l := &f.ListMeter
	return spent{time.Now(), c.MemberTotal(), c.RaftTotal(), hollow.Tally{Messages: l.RequestChunks.Load() + l.ResponseChunks.Load(), Bytes: l.RequestBytes.Load() + l.ResponseBytes.Load()}}
}

// beyond is what was spent from a to b beyond the pace of the time from before to a; not below 0.
func beyond(before, a, b spent, of func(spent) int64) float64 {
	pace := float64(of(a)-of(before)) / a.at.Sub(before.at).Seconds()
	return max(0, float64(of(b)-of(a))-pace*b.at.Sub(a.at).Seconds())
}

// recovery measures what break breaks, until it is whole again. mended says how long that took.
func (r Runner) recovery(s *sheet, f *hollow.Fleet, name string, x float64, how string, mend func() error) error {
	before := spend(f)
	time.Sleep(r.Window)
	begun := spend(f)
	if err := mend(); err != nil {
		return fmt.Errorf("%s at %v: %w", name, x, err)
	}
	after := spend(f)
	s.add(name+"-time", "ms", x, float64(after.at.Sub(begun.at).Microseconds())/1000, how)
	s.add(name+"-link-messages", "messages beyond the usual", x, beyond(before, begun, after, func(s spent) int64 { return s.links.Messages }), how)
	s.add(name+"-link-bytes", "bytes beyond the usual", x, beyond(before, begun, after, func(s spent) int64 { return s.links.Bytes }), how)
	s.add(name+"-between-bytes", "bytes beyond the usual", x, beyond(before, begun, after, func(s spent) int64 { return s.between.Bytes }), how)
	s.add(name+"-list-bytes", "bytes beyond the usual", x, beyond(before, begun, after, func(s spent) int64 { return s.lists.Bytes }), how)
	return nil
}

// RestartsByFleetSize measures restarts against dispatchers: of one dispatcher, of all that are no voters within a moment, and of
// the voter that leads. A restart's time runs from the start of what was killed, or for the leader from its kill, until all serve.
func (r Runner) RestartsByFleetSize(sizes ...int) ([]capacity.Row, error) {
	s := &sheet{against: "dispatchers", note: fmt.Sprintf("lease %v, %d names, %d workers", r.Lease, r.BannedNames, r.Workers)}
	for _, n := range sizes {
		if err := r.recoveries(s, n); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

func (r Runner) recoveries(s *sheet, n int) error {
	p, x := r.plan(n), float64(n)
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
		if err := r.recovery(s, f, "restart-one-of", x, how(p), func() error {
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
		if err := r.recovery(s, f, "restart-dispatchers", x, how(p), func() error {
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
		if err := r.voter(s, f, x, n); err != nil {
			return err
		}
	}
	return nil
}

// voter kills the leader and starts it again.
func (r Runner) voter(s *sheet, f *hollow.Fleet, x float64, n int) error {
	leads := f.Leader()
	f.TakeEvents()
	var elected time.Duration
	err := r.recovery(s, f, "restart-leader", x, how(f.Config), func() error {
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
	s.add("restart-leader-elected", "ms", x, float64(elected.Microseconds())/1000, how(f.Config))
	s.add("restart-leader-fenced", "dispatchers that stopped", x, float64(len(fenced)), how(f.Config))
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
	s := &sheet{against: "dispatchers", note: fmt.Sprintf("lease %v, %d names, %d workers; voters keep their logs", r.Lease, r.BannedNames, r.Workers)}
	for _, n := range sizes {
		p := r.plan(n)
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
			begun := spend(f)
			if err = startAll(f, 0, n); err != nil {
				break
			}
			if err = f.AwaitServing(n, 1, time.Minute); err != nil {
				break
			}
			after := spend(f)
			x := float64(n)
			s.add("restart-fleet-time", "ms", x, float64(after.at.Sub(begun.at).Microseconds())/1000, how(p))
			s.add("restart-fleet-link-messages", "messages", x, float64(after.links.Messages-begun.links.Messages), how(p))
			s.add("restart-fleet-link-bytes", "bytes", x, float64(after.links.Bytes-begun.links.Bytes), how(p))
			s.add("restart-fleet-list-bytes", "bytes", x, float64(after.lists.Bytes-begun.lists.Bytes), how(p))
		}
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("restart of all %d: %w", n, err)
		}
	}
	return s.rows, nil
}
