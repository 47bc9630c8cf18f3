// Package measure measures how the load of the control plane grows, with accord and budgets in use. It runs fleets of
// package hollow and returns rows for docs/capacity.
package measure

import (
	"fmt"
	"os"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
)

// Runner holds the settings of the fleets and of the measurements.
type Runner struct {
	Program       []string // command line of a real dispatcher
	Env           []string // environment of a real dispatcher in addition to this process's
	MaxReal       int      // up to which the dispatchers of a fleet are real; the others are hollow
	Workers       int
	Lease         time.Duration
	RegionLatency time.Duration // one way
	BannedNames   int           // in the policy

	Settle  time.Duration // wait between the start of a fleet and its first measurement
	Window  time.Duration // duration of one measurement
	Repeats int           // measurements of each fleet
}

// TeamCount is the number of teams that the service is required to support. A policy that bans as many names has the
// size of one with a line for each team.
const TeamCount = 310

// policyNames returns count names of the length of a team's line in a policy. They differ from those of another change.
func policyNames(count, change int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("team-%03d-of-change-%06d", i, change))
	}
	return names
}

// fleetConfig returns the configuration of a fleet of the given size.
func (r Runner) fleetConfig(dispatchers int) hollow.FleetConfig {
	config := hollow.FleetConfig{Program: r.Program, Env: r.Env, Real: min(dispatchers, r.MaxReal), Lease: r.Lease, RegionLatency: r.RegionLatency, Workers: r.Workers, Bans: policyNames(r.BannedNames, 0)}
	config.Hollow = dispatchers - config.Real
	return config
}

// methodOf returns the method of a fleet's rows.
func methodOf(config hollow.FleetConfig) string {
	if config.Hollow > 0 {
		return capacity.Hollow
	}
	return capacity.Real
}

// table collects rows with the same variable and note.
type table struct {
	against string
	note    string
	rows    []capacity.Row
}

// add adds a row and prints it to standard error.
func (t *table) add(slope, unit string, x, y float64, method string) {
	t.rows = append(t.rows, capacity.Row{Slope: slope, Unit: unit, Against: t.against, X: x, Y: y, Method: method, Note: t.note})
	fmt.Fprintf(os.Stderr, "%-34s %8.4g %-24s %10.4g %s\n", slope, x, t.against, y, unit)
}

// processUsage returns the resource usage of a fleet's real dispatchers, by number.
func processUsage(fleet *hollow.Fleet) ([]hollow.ResourceUsage, error) {
	usage := make([]hollow.ResourceUsage, len(fleet.Real))
	for i, process := range fleet.Real {
		var err error
		if usage[i], err = hollow.ReadResourceUsage(process.PID()); err != nil {
			return nil, err
		}
	}
	return usage, nil
}

const bytesPerMB = 1 << 20

// measureSteady starts a fleet, measures it while nothing changes, and adds rows at x. The slopes' names begin with
// name.
func (r Runner) measureSteady(t *table, name string, x float64, config hollow.FleetConfig) error {
	fleet, err := hollow.StartFleet(config)
	if err != nil {
		return err
	}
	defer fleet.Close()
	dispatchers := config.Real + config.Hollow
	if !config.WithoutAccord {
		if err := fleet.AwaitServing(dispatchers, 1, time.Minute); err != nil {
			return err
		}
	}
	time.Sleep(r.Settle)
	for range r.Repeats {
		if err := r.measureWindow(fleet, t, name, x, config); err != nil {
			return err
		}
	}
	return nil
}

// measureWindow adds the rows of one window. It fails if the leader changes meanwhile.
func (r Runner) measureWindow(fleet *hollow.Fleet, t *table, name string, x float64, config hollow.FleetConfig) error {
	before, err := processUsage(fleet)
	if err != nil {
		return err
	}
	trafficBefore, listRequests, listResponses, leader, begun := fleet.Traffic(), fleet.ListMeter.RequestBytes.Load(), fleet.ListMeter.ResponseBytes.Load(), fleet.Leader(), time.Now()
	time.Sleep(r.Window)
	secs := time.Since(begun).Seconds()
	after, err := processUsage(fleet)
	if err != nil {
		return err
	}
	traffic := fleet.Traffic().Since(trafficBefore)
	dispatchers := float64(config.Real + config.Hollow)
	if !config.WithoutAccord && (leader < 0 || fleet.Leader() != leader || traffic[hollow.OtherRaftRequests].Messages > 0) {
		return fmt.Errorf("%s at %v: the leader changed during the measurement", name, x)
	}
	cpu := func(i int) float64 { return 100 * (after[i].CPU - before[i].CPU).Seconds() / secs }
	var cpuSum, memory, files float64
	counted := 0.0 // all real dispatchers but the voters
	for i := range after {
		if i < hollow.Regions && !config.WithoutAccord {
			continue
		}
		cpuSum, memory, files, counted = cpuSum+cpu(i), memory+float64(after[i].Memory)/bytesPerMB, files+float64(after[i].OpenFiles), counted+1
	}
	if counted > 0 {
		t.add(name+"-dispatcher-cpu", "% of a core", x, cpuSum/counted, methodOf(config))
		t.add(name+"-dispatcher-memory", "MB", x, memory/counted, methodOf(config))
		t.add(name+"-dispatcher-descriptors", "descriptors", x, files/counted, methodOf(config))
	}
	t.add(name+"-dispatcher-list-bytes", "bytes a second", x, float64(fleet.ListMeter.RequestBytes.Load()-listRequests+fleet.ListMeter.ResponseBytes.Load()-listResponses)/dispatchers/secs, methodOf(config))
	if config.WithoutAccord {
		return nil
	}
	voterCPU, voterMemory := 0.0, 0.0 // means of the two voters that don't lead
	for i := range hollow.Regions {
		if i != leader && config.Real > 0 {
			voterCPU, voterMemory = voterCPU+cpu(i)/2, voterMemory+float64(after[i].Memory)/bytesPerMB/2
		}
	}
	if config.Real > 0 {
		t.add(name+"-leader-cpu", "% of a core", x, cpu(leader), methodOf(config))
		t.add(name+"-leader-memory", "MB", x, float64(after[leader].Memory)/bytesPerMB, methodOf(config))
		t.add(name+"-leader-descriptors", "descriptors", x, float64(after[leader].OpenFiles), methodOf(config))
		t.add(name+"-voter-cpu", "% of a core", x, voterCPU, methodOf(config))
		t.add(name+"-voter-memory", "MB", x, voterMemory, methodOf(config))
	}
	t.add(name+"-leader-bytes", "bytes a second", x, float64(traffic.MemberTotal().Bytes)/secs, methodOf(config))
	// The leader's own member has no link.
	t.add(name+"-link-bytes", "bytes a second", x, float64(traffic.MemberTotal().Bytes)/secs/(dispatchers-1), methodOf(config))
	t.add(name+"-link-messages", "messages a second", x, float64(traffic.MemberTotal().Messages)/secs/(dispatchers-1), methodOf(config))
	if config.Hollow > 0 && dispatchers > hollow.MaxSizeForVoterTraffic {
		return nil
	}
	t.add(name+"-between-bytes", "bytes a second", x, float64(traffic.RaftTotal().Bytes)/secs, methodOf(config))
	// Each request has a response, which the meters don't count as a message.
	t.add(name+"-between-messages", "messages a second", x, 2*float64(traffic.RaftTotal().Messages)/secs, methodOf(config))
	t.add(name+"-between-heartbeats", "messages a second", x, float64(traffic[hollow.Heartbeats].Messages)/secs, methodOf(config))
	t.add(name+"-between-commit-timeouts", "messages a second", x, float64(traffic[hollow.CommitTimeouts].Messages)/secs, methodOf(config))
	return nil
}

// SteadyByFleetSize measures a steady fleet's dispatchers, leader, voters and their traffic, against the number of
// dispatchers.
func (r Runner) SteadyByFleetSize(sizes ...int) ([]capacity.Row, error) {
	t := &table{against: "dispatchers", note: fmt.Sprintf("lease %v, %d workers", r.Lease, r.Workers)}
	for _, dispatchers := range sizes {
		if err := r.measureSteady(t, "accord", float64(dispatchers), r.fleetConfig(dispatchers)); err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}

// WithoutAccordByFleetSize measures dispatchers without accord and budgets, against the number of dispatchers. For
// fleets of up to MaxReal all are real.
func (r Runner) WithoutAccordByFleetSize(sizes ...int) ([]capacity.Row, error) {
	t := &table{against: "dispatchers", note: fmt.Sprintf("%d workers", r.Workers)}
	for _, dispatchers := range sizes {
		config := r.fleetConfig(dispatchers)
		config.WithoutAccord = true
		if err := r.measureSteady(t, "bare", float64(dispatchers), config); err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}

// SteadyByLease measures a steady fleet of the given size against the leases a second, the inverse of the lease.
func (r Runner) SteadyByLease(dispatchers int, leases ...time.Duration) ([]capacity.Row, error) {
	t := &table{against: "leases a second", note: fmt.Sprintf("%d dispatchers, %d workers", dispatchers, r.Workers)}
	for _, lease := range leases {
		r.Lease = lease
		if err := r.measureSteady(t, "lease", 1/lease.Seconds(), r.fleetConfig(dispatchers)); err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}

// SteadyByLatency measures a steady fleet of the given size against the one-way latency between regions.
func (r Runner) SteadyByLatency(dispatchers int, latencies ...time.Duration) ([]capacity.Row, error) {
	t := &table{against: "ms between regions", note: fmt.Sprintf("%d dispatchers, lease %v", dispatchers, r.Lease)}
	for _, latency := range latencies {
		r.RegionLatency = latency
		if err := r.measureSteady(t, "lag", float64(latency.Milliseconds()), r.fleetConfig(dispatchers)); err != nil {
			return nil, err
		}
	}
	return t.rows, nil
}
