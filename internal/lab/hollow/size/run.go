// Package size runs a fleet of full size on one machine through a shortened day: real and hollow dispatchers in three
// regions with three voters, simulated workers, a light load, changes of the policy, restarts, and a region that is cut
// off and reconnected. Package accordhistory, which shares no code with the accord, checks the recorded history.
// Messages, bytes and memory are reported by role.
package size

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/lab/hollow"
	history "tinsail/internal/standin/accordhistory"
)

// Config describes a run. It ends when its changes are made, or after MaxDuration.
type Config struct {
	Fleet          hollow.FleetConfig
	BannedNames    int           // in each policy
	Changes        int           // of the policy, one after the other
	Restarts       int           // of dispatchers, about half of them during a change; every third is a kill
	ReqsPerSecond  int           // spread over the real dispatchers
	IsolationTime  time.Duration // for which a region is cut off, halfway through the changes; 0: not at all
	ClockTolerance time.Duration // of the history check, see accordhistory.Rules
	MaxDuration    time.Duration
	Seed           uint64
}

// Report is the result of a run.
type Report struct {
	Duration                       time.Duration   // from the start of the load to its end
	ChangeTimes                    []time.Duration // from the first proposal until all dispatchers served by it
	ServiceGaps                    []time.Duration // of each change: how long no dispatcher accepted reqs
	IsolatedChangeTime             time.Duration   // of the change during the isolation, in the other regions
	ReconnectTime                  time.Duration   // from the end of the isolation until all are on one version
	WithdrawnChanges               int             // proposals that failed or timed out and were repeated
	Terminated, Killed             int             // restarts after Terminate, and after a kill
	ReqsSent, ReqsOK, ReqsRejected int             // rejected: answered with a status other than 200
	ReqsBroken                     int             // without an answer: the connection broke or the client timed out
	DroppedLogLines                int             // by the processes' log limiters; the check doesn't see them
	Violations                     []history.Violation
	VoterTraffic                   hollow.Traffic
	ListBytes                      int64                  // between the dispatchers and the director, both ways
	ProcessUsage                   []hollow.ResourceUsage // of the real dispatchers at the end, the voters first
	OwnUsage                       hollow.ResourceUsage   // of this process, with hollow dispatchers, workers, relays and clients
}

// TotalMemory returns the resident memory of all processes in bytes.
func (r *Report) TotalMemory() (sum int64) {
	for _, usage := range r.ProcessUsage {
		sum += usage.Memory
	}
	return sum + r.OwnUsage.Memory
}

// runner is the state of a run.
type runner struct {
	Config
	fleet       *hollow.Fleet
	random      *rand.Rand
	report      *Report
	lines       []history.Line // the history, from fillReport on
	load        *loadGenerator
	dispatchers int // real and hollow ones
	policies    int // proposed so far
	restarts    int // begun so far
}

// settleTimeout limits the wait for a change, for the fleet after an isolation, and for the answer to a req.
const settleTimeout = 30 * time.Second

// Run starts a fleet and takes it through a run. If the run can't be completed, it returns an error and the report of
// the part that was.
func Run(config Config) (*Report, error) {
	report := &Report{}
	fleet, err := hollow.StartFleet(config.Fleet)
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	r := &runner{Config: config, fleet: fleet, random: rand.New(rand.NewPCG(config.Seed, 36)), report: report, dispatchers: config.Fleet.Real + config.Fleet.Hollow}
	if err := fleet.AwaitServing(r.dispatchers, 1, time.Minute); err != nil {
		return report, err
	}
	begun := time.Now()
	r.load = startLoad(fleet, config.ReqsPerSecond)
	err = r.makeChanges(begun)
	r.load.close()
	report.Duration = time.Since(begun)
	return report, errors.Join(err, r.fillReport())
}

// makeChanges makes the changes of the policy, with the restarts and the isolation between them.
func (r *runner) makeChanges(begun time.Time) error {
	for i := range r.Changes {
		if time.Since(begun) > r.MaxDuration {
			return fmt.Errorf("only %d of %d changes made within %v", i, r.Changes, r.MaxDuration)
		}
		if r.IsolationTime > 0 && i == r.Changes/2 {
			if err := r.isolateRegion(); err != nil {
				return err
			}
		}
		for r.restarts < r.Restarts*i/r.Changes {
			if err := r.restart(); err != nil {
				return err
			}
		}
		if err := r.makeChange(i); err != nil {
			return err
		}
	}
	return nil
}

// propose proposes the next policy through a random hollow dispatcher of the region. It returns the version that the
// policy gets if it is decided next.
func (r *runner) propose(region int) (version uint64, err error) {
	for range 1000 {
		i := r.random.IntN(r.Fleet.Hollow)
		d := r.fleet.Hollow[i]
		if d == nil || (r.Fleet.Real+i)%hollow.Regions != region {
			continue
		}
		current, body := d.Accord.Current()
		q, err := policy.Read(body)
		if err != nil {
			continue // it has no policy yet
		}
		r.policies++
		q.Bans = nil
		for t := range r.BannedNames {
			q.Bans = append(q.Bans, fmt.Sprintf("team-%03d-of-change-%06d", t, r.policies))
		}
		return current + 1, d.Accord.Propose(q.Append(nil))
	}
	return 0, fmt.Errorf("no running hollow dispatcher in region %d has a policy", region)
}

// makeChange proposes a change and waits until it is in force everywhere. A change may be withdrawn if a dispatcher is
// restarted during it. It must then be in force nowhere, which the history check verifies, and is proposed again.
func (r *runner) makeChange(i int) error {
	begun := time.Now()
	for attempt := 1; ; attempt++ {
		version, err := r.propose(r.random.IntN(hollow.Regions))
		if err == nil {
			restartDuringChange := r.Restarts > 0 && i%2 == 1 && r.restarts < r.Restarts*(i+1)/r.Changes
			if restartDuringChange {
				if err := r.restart(); err != nil {
					return err
				}
			}
			err = r.fleet.AwaitServing(r.dispatchers, version, settleTimeout)
		}
		if err == nil {
			r.report.ChangeTimes = append(r.report.ChangeTimes, time.Since(begun))
			return nil
		}
		if attempt == 3 {
			return fmt.Errorf("policy change %d, proposed 3 times: %w", i, err)
		}
		r.report.WithdrawnChanges++
	}
}

// restart ends a random dispatcher and starts it again. Every 20th time it is a voter, otherwise it isn't.
func (r *runner) restart() error {
	r.restarts++
	i := hollow.Regions + r.random.IntN(r.dispatchers-hollow.Regions)
	if r.restarts%20 == 0 {
		i = r.random.IntN(hollow.Regions)
	}
	r.load.removeTarget(i)
	if r.restarts%3 == 0 {
		r.fleet.Stop(i)
		r.report.Killed++
	} else {
		r.fleet.Terminate(i, 5*time.Second)
		r.report.Terminated++
	}
	if err := r.fleet.Start(i); err != nil {
		return err
	}
	r.load.addTarget(i)
	return nil
}

// isolateRegion cuts off a random region, changes the policy in the others, and reconnects the region.
func (r *runner) isolateRegion() error {
	region := r.random.IntN(hollow.Regions)
	isolated, other := 0, (region+1)%hollow.Regions
	r.recordRigEvent(history.FaultsStarted, "")
	for i := range r.dispatchers {
		if i%hollow.Regions == region {
			isolated++
			r.recordRigEvent(history.CutOff, hollow.DispatcherName(i))
		}
	}
	r.fleet.SetIsolated(region, true)
	begun := time.Now()
	err := r.fleet.Await("a leader outside the isolated region", settleTimeout, func() bool { return r.fleet.IsLeader(other) || r.fleet.IsLeader((other+1)%hollow.Regions) })
	if err == nil {
		proposed := time.Now()
		var version uint64
		if version, err = r.propose(other); err == nil {
			err = r.fleet.AwaitServing(r.dispatchers-isolated, version, settleTimeout)
		}
		r.report.IsolatedChangeTime = time.Since(proposed)
	}
	time.Sleep(time.Until(begun.Add(r.IsolationTime)))
	r.fleet.SetIsolated(region, false)
	for i := range r.dispatchers {
		if i%hollow.Regions == region {
			r.recordRigEvent(history.Reconnected, hollow.DispatcherName(i))
		}
	}
	reconnected := time.Now()
	if err == nil {
		err = r.fleet.AwaitServing(r.dispatchers, r.fleet.LastDecided(), settleTimeout)
	}
	r.report.ReconnectTime = time.Since(reconnected)
	r.recordRigEvent(history.FaultsEnded, "")
	return err
}

// recordRigEvent records an event of package accordhistory, for a process or, if process is empty, for the fleet.
func (r *runner) recordRigEvent(event, process string) { r.fleet.RecordRigEvent(process, event) }

// fillReport reads the usage and the traffic, collects the history and checks it.
func (r *runner) fillReport() error {
	var err error
	for _, process := range r.fleet.Real {
		if process == nil {
			continue
		}
		usage, readErr := hollow.ReadResourceUsage(process.PID())
		err = errors.Join(err, readErr)
		r.report.ProcessUsage = append(r.report.ProcessUsage, usage)
	}
	ownUsage, readErr := hollow.ReadResourceUsage(-1)
	r.report.OwnUsage, err = ownUsage, errors.Join(err, readErr)
	r.report.VoterTraffic = r.fleet.Traffic()
	r.report.ListBytes = r.fleet.ListMeter.RequestBytes.Load() + r.fleet.ListMeter.ResponseBytes.Load()
	for _, e := range r.fleet.TakeEvents() {
		source := history.SourceLog
		if e.FromRig {
			source = history.SourceRig
		}
		r.report.DroppedLogLines += e.DroppedLines
		r.lines = append(r.lines, history.Line{Time: e.Time.UnixNano(), Source: source, Process: e.Process, Event: e.Name, Version: e.Version, Change: e.Change, Proposer: e.Proposer, Reason: e.Reason})
	}
	r.lines = append(r.lines, r.load.clientHistory(r.report)...)
	r.lines = append(r.lines, attemptStarts(r.fleet)...)
	r.report.ServiceGaps = serviceGaps(r.lines)
	lease := r.Fleet.Lease
	r.report.Violations = history.Check(r.lines, history.Rules{ClockTolerance: r.ClockTolerance, Lease: lease, SettleTimeout: settleTimeout, MaxStartsAfterResume: 8})
	return err
}

// serviceGaps returns, for each change of the version, the time in which no dispatcher accepted reqs: from the last
// stop ("fenced") by the old version before the first dispatcher served by the new one, until that. It ignores stops
// after that time: they are of dispatchers that were cut off, which the history check covers.
func serviceGaps(lines []history.Line) (gaps []time.Duration) {
	firstServing, stops := map[uint64]int64{}, map[uint64][]int64{}
	for _, l := range lines {
		switch {
		case l.Source != history.SourceLog:
		case l.Event == "serving" && (firstServing[l.Version] == 0 || l.Time < firstServing[l.Version]):
			firstServing[l.Version] = l.Time
		case l.Event == "fenced":
			stops[l.Version] = append(stops[l.Version], l.Time)
		}
	}
	for version, servingAt := range firstServing {
		lastStop := int64(0)
		for _, stoppedAt := range stops[version-1] {
			if stoppedAt < servingAt {
				lastStop = max(lastStop, stoppedAt)
			}
		}
		if lastStop > 0 {
			gaps = append(gaps, time.Duration(servingAt-lastStop))
		}
	}
	return gaps
}
