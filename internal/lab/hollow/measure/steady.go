// Package measure gives the slopes of the control plane with the accord and budgets on: rows for docs/capacity, from
// fleets of package hollow.
package measure

import (
	"fmt"
	"os"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
)

// Runner is how fleets are measured.
type Runner struct {
	Program       []string // of real dispatchers
	Env           []string // of theirs, beside this process's
	MaxReal       int      // most of a fleet that are real; the rest is hollow
	Workers       int
	Lease         time.Duration
	RegionLatency time.Duration
	BannedNames   int // names in the policy

	Settle, Window time.Duration
	Repeats        int
}

// TeamCount is what the letter has; a policy that names as many stands for one that has a line for each team.
const TeamCount = 310

// policyNames are n names of the length of a team's line in a policy.
func policyNames(n, change int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("team-%03d-of-change-%06d", i, change))
	}
	return all
}

func (r Runner) fleetConfig(n int) hollow.FleetConfig {
	p := hollow.FleetConfig{Program: r.Program, Env: r.Env, Real: min(n, r.MaxReal), Lease: r.Lease, RegionLatency: r.RegionLatency, Workers: r.Workers, Bans: policyNames(r.BannedNames, 0)}
	p.Hollow = n - p.Real
	return p
}

// howMeasured is howMeasured rows of a fleet were got.
func howMeasured(p hollow.FleetConfig) string {
	if p.Hollow > 0 {
		return capacity.Hollow
	}
	return capacity.Real
}

// table takes the rows of a part.
type table struct {
	against string
	note    string
	rows    []capacity.Row
}

func (s *table) add(slope, unit string, x, y float64, how string) {
	s.rows = append(s.rows, capacity.Row{Slope: slope, Unit: unit, Against: s.against, X: x, Y: y, Method: how, Note: s.note})
	fmt.Fprintf(os.Stderr, "%-34s %8.4g %-24s %10.4g %s\n", slope, x, s.against, y, unit)
}

// processUsage are those of the real processes of a fleet.
func processUsage(f *hollow.Fleet) ([]hollow.ResourceUsage, error) {
	out := make([]hollow.ResourceUsage, len(f.Real))
	for i, p := range f.Real {
		var err error
		if out[i], err = hollow.ReadResourceUsage(p.PID()); err != nil {
			return nil, err
		}
	}
	return out, nil
}

const bytesPerMB = 1 << 20

// measureSteady measures a fleet in which nothing changes, at the size x of the sheet; name is what the slopes' names begin with.
func (r Runner) measureSteady(s *table, name string, x float64, p hollow.FleetConfig) error {
	f, err := hollow.StartFleet(p)
	if err != nil {
		return err
	}
	defer f.Close()
	n := p.Real + p.Hollow
	if !p.WithoutAccord {
		if err := f.AwaitServing(n, 1, time.Minute); err != nil {
			return err
		}
	}
	time.Sleep(r.Settle)
	for range r.Repeats {
		if err := r.measureWindow(f, s, name, x, p); err != nil {
			return err
		}
	}
	return nil
}

func (r Runner) measureWindow(f *hollow.Fleet, s *table, name string, x float64, p hollow.FleetConfig) error {
	before, err := processUsage(f)
	if err != nil {
		return err
	}
	counts, asked, told, leads, begun := f.Traffic(), f.ListMeter.RequestBytes.Load(), f.ListMeter.ResponseBytes.Load(), f.Leader(), time.Now()
	time.Sleep(r.Window)
	secs := time.Since(begun).Seconds()
	after, err := processUsage(f)
	if err != nil {
		return err
	}
	c := f.Traffic().Since(counts)
	n := float64(p.Real + p.Hollow)
	if !p.WithoutAccord && (leads < 0 || f.Leader() != leads || c[hollow.OtherRaftRequests].Messages > 0) {
		return fmt.Errorf("%s at %v: the leader changed, nothing is measured", name, x)
	}
	cpu := func(i int) float64 { return 100 * (after[i].CPU - before[i].CPU).Seconds() / secs }
	var own, mem, files float64
	k := 0.0
	for i := range after {
		if i < hollow.Regions && !p.WithoutAccord {
			continue
		}
		own, mem, files, k = own+cpu(i), mem+float64(after[i].Memory)/bytesPerMB, files+float64(after[i].OpenFiles), k+1
	}
	if k > 0 {
		s.add(name+"-dispatcher-cpu", "% of a core", x, own/k, howMeasured(p))
		s.add(name+"-dispatcher-memory", "MB", x, mem/k, howMeasured(p))
		s.add(name+"-dispatcher-descriptors", "descriptors", x, files/k, howMeasured(p))
	}
	s.add(name+"-dispatcher-list-bytes", "bytes a second", x, float64(f.ListMeter.RequestBytes.Load()-asked+f.ListMeter.ResponseBytes.Load()-told)/n/secs, howMeasured(p))
	if p.WithoutAccord {
		return nil
	}
	other, otherMem := 0.0, 0.0
	for i := range hollow.Regions {
		if i != leads && p.Real > 0 {
			other, otherMem = other+cpu(i)/2, otherMem+float64(after[i].Memory)/bytesPerMB/2
		}
	}
	if p.Real > 0 {
		s.add(name+"-leader-cpu", "% of a core", x, cpu(leads), howMeasured(p))
		s.add(name+"-leader-memory", "MB", x, float64(after[leads].Memory)/bytesPerMB, howMeasured(p))
		s.add(name+"-leader-descriptors", "descriptors", x, float64(after[leads].OpenFiles), howMeasured(p))
		s.add(name+"-voter-cpu", "% of a core", x, other, howMeasured(p))
		s.add(name+"-voter-memory", "MB", x, otherMem, howMeasured(p))
	}
	s.add(name+"-leader-bytes", "bytes a second", x, float64(c.MemberTotal().Bytes)/secs, howMeasured(p))
	s.add(name+"-link-bytes", "bytes a second", x, float64(c.MemberTotal().Bytes)/secs/(n-1), howMeasured(p)) // the leader's own has no link
	s.add(name+"-link-messages", "messages a second", x, float64(c.MemberTotal().Messages)/secs/(n-1), howMeasured(p))
	if p.Hollow > 0 && n > hollow.MaxSizeForVoterTraffic {
		return nil
	}
	s.add(name+"-between-bytes", "bytes a second", x, float64(c.RaftTotal().Bytes)/secs, howMeasured(p))
	s.add(name+"-between-messages", "messages a second", x, 2*float64(c.RaftTotal().Messages)/secs, howMeasured(p)) // each is answered
	s.add(name+"-between-heartbeats", "messages a second", x, float64(c[hollow.Heartbeats].Messages)/secs, howMeasured(p))
	s.add(name+"-between-commit-timeouts", "messages a second", x, float64(c[hollow.CommitTimeouts].Messages)/secs, howMeasured(p))
	return nil
}

// SteadyByFleetSize measures dispatchers, leader, voters and what goes between them, against dispatchers.
func (r Runner) SteadyByFleetSize(sizes ...int) ([]capacity.Row, error) {
	s := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %d workers", r.Lease, r.Workers)}
	for _, n := range sizes {
		if err := r.measureSteady(s, "accord", float64(n), r.fleetConfig(n)); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

// WithoutAccordByFleetSize measures dispatchers without accord and budgets, against dispatchers; all are real.
func (r Runner) WithoutAccordByFleetSize(sizes ...int) ([]capacity.Row, error) {
	s := &table{against: "dispatchers", note: fmt.Sprintf("%d workers", r.Workers)}
	for _, n := range sizes {
		p := r.fleetConfig(n)
		p.WithoutAccord = true
		if err := r.measureSteady(s, "bare", float64(n), p); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

// SteadyByLease measures the same against the lease, in seconds, at one count of dispatchers.
func (r Runner) SteadyByLease(n int, leases ...time.Duration) ([]capacity.Row, error) {
	s := &table{against: "leases a second", note: fmt.Sprintf("%d dispatchers, %d workers", n, r.Workers)}
	for _, l := range leases {
		r.Lease = l
		if err := r.measureSteady(s, "lease", 1/l.Seconds(), r.fleetConfig(n)); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}

// SteadyByLatency measures the same against the time that a piece travels between regions, one way.
func (r Runner) SteadyByLatency(n int, lags ...time.Duration) ([]capacity.Row, error) {
	s := &table{against: "ms between regions", note: fmt.Sprintf("%d dispatchers, lease %v", n, r.Lease)}
	for _, l := range lags {
		r.RegionLatency = l
		if err := r.measureSteady(s, "lag", float64(l.Milliseconds()), r.fleetConfig(n)); err != nil {
			return nil, err
		}
	}
	return s.rows, nil
}
