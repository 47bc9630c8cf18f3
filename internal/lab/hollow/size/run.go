// Package size plays the whole size on one machine, as a shortened day: real and hollow dispatchers in three regions around
// three voters, hollow workers, a light load, changes of the policy, restarts, and a region that is cut off and comes back. What came
// is judged by accordhistory, which shares nothing with what it judges; messages, bytes and memory are counted by role.
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

// Config is what is played. It is bounded by its counts, and by Most in time.
type Config struct {
	Fleet          hollow.FleetConfig
	BannedNames    int           // names in the policy
	Changes        int           // of the policy, one after another
	Restarts       int           // of dispatchers, spread over the changes, half of them within one; every third is a kill
	ReqsPerSecond  int           // reqs a second, spread over the real dispatchers
	IsolationTime  time.Duration // how long a region is cut off, half way; 0: none
	ClockTolerance time.Duration // of the judge: how late a backend may see what a dispatcher sent
	MaxDuration    time.Duration
	Seed           uint64
}

// Report is what came of a day.
type Report struct {
	Duration                       time.Duration
	ChangeTimes                    []time.Duration // of each change: from its proposal until all that were up served by it
	ServiceGaps                    []time.Duration // of each change: from when the last dispatcher stopped until the first served by it
	IsolatedChangeTime             time.Duration   // of a change while a region was cut off, until the two others served by it
	ReconnectTime                  time.Duration   // from the cut's end until all served by the version decided last
	WithdrawnChanges               int             // changes that were in force nowhere
	Terminated, Killed             int
	ReqsSent, ReqsOK, ReqsRejected int // reqs; Shed: answered, and not with 200
	ReqsBroken                     int // reqs whose connection broke
	DroppedLogLines                int // lines of the accord that a process's log left out
	Violations                     []history.Violation
	VoterTraffic                   hollow.Traffic
	ListBytes                      int64
	ProcessUsage                   []hollow.ResourceUsage // of the real processes at the end, the voters first
	OwnUsage                       hollow.ResourceUsage   // of this process: hollow dispatchers, workers, relays, clients and judge
}

// TotalMemory is that of all processes in bytes.
func (r *Report) TotalMemory() (sum int64) {
	for _, c := range r.ProcessUsage {
		sum += c.Memory
	}
	return sum + r.OwnUsage.Memory
}

// runner is one under way.
type runner struct {
	Config
	fleet       *hollow.Fleet
	random      *rand.Rand
	report      *Report
	lines       []history.Line
	load        *loadGenerator
	dispatchers int
	policies    int // of policies
	restarts    int // restarts that were made
}

const settleTimeout = 30 * time.Second // the most that a change or a restart is waited for

// Run plays a day. An error is a day that could not be played to its end; what was played of it is in the report.
func Run(d Config) (*Report, error) {
	rep := &Report{}
	f, err := hollow.StartFleet(d.Fleet)
	if err != nil {
		return rep, err
	}
	defer f.Close()
	p := &runner{Config: d, fleet: f, random: rand.New(rand.NewPCG(d.Seed, 36)), report: rep, dispatchers: d.Fleet.Real + d.Fleet.Hollow}
	if err := f.AwaitServing(p.dispatchers, 1, time.Minute); err != nil {
		return rep, err
	}
	begun := time.Now()
	p.load = startLoad(f, d.ReqsPerSecond)
	err = p.makeChanges(begun)
	p.load.close()
	rep.Duration = time.Since(begun)
	return rep, errors.Join(err, p.fillReport())
}

func (p *runner) makeChanges(begun time.Time) error {
	for i := range p.Changes {
		if time.Since(begun) > p.MaxDuration {
			return fmt.Errorf("%d of %d changes in %v", i, p.Changes, p.MaxDuration)
		}
		if p.IsolationTime > 0 && i == p.Changes/2 {
			if err := p.isolateRegion(); err != nil {
				return err
			}
		}
		for p.restarts < p.Restarts*i/p.Changes {
			if err := p.restart(); err != nil {
				return err
			}
		}
		if err := p.makeChange(i); err != nil {
			return err
		}
	}
	return nil
}

// propose has a dispatcher that is up propose the next policy. It is a hollow one of a region.
func (p *runner) propose(region int) (version uint64, err error) {
	for range 1000 {
		i := p.random.IntN(p.Fleet.Hollow)
		d := p.fleet.Hollow[i]
		if d == nil || (p.Fleet.Real+i)%hollow.Regions != region {
			continue
		}
		held, body := d.Accord.Current()
		q, err := policy.Read(body)
		if err != nil {
			continue // it holds none yet
		}
		p.policies++
		q.Bans = nil
		for t := range p.BannedNames {
			q.Bans = append(q.Bans, fmt.Sprintf("team-%03d-of-change-%06d", t, p.policies))
		}
		return held + 1, d.Accord.Propose(q.Append(nil))
	}
	return 0, errors.New("nobody could propose")
}

// makeChange makes a makeChange and waits until it is in force everywhere. Where a dispatcher is restarted within it, a makeChange may
// be withdrawn: then it has to be in force nowhere, which the judge sees, and is proposed again.
func (p *runner) makeChange(i int) error {
	begun := time.Now()
	for try := 1; ; try++ {
		version, err := p.propose(p.random.IntN(hollow.Regions))
		if err == nil {
			within := p.Restarts > 0 && i%2 == 1 && p.restarts < p.Restarts*(i+1)/p.Changes
			if within {
				if err := p.restart(); err != nil {
					return err
				}
			}
			err = p.fleet.AwaitServing(p.dispatchers, version, settleTimeout)
		}
		if err == nil {
			p.report.ChangeTimes = append(p.report.ChangeTimes, time.Since(begun))
			return nil
		}
		if try == 3 {
			return fmt.Errorf("change %d: %w", i, err)
		}
		p.report.WithdrawnChanges++
	}
}

// restart ends a dispatcher that is no voter, or now and then a voter, and starts it again.
func (p *runner) restart() error {
	p.restarts++
	i := hollow.Regions + p.random.IntN(p.dispatchers-hollow.Regions)
	if p.restarts%20 == 0 {
		i = p.random.IntN(hollow.Regions)
	}
	p.load.removeTarget(i)
	if p.restarts%3 == 0 {
		p.fleet.Stop(i)
		p.report.Killed++
	} else {
		p.fleet.Terminate(i, 5*time.Second)
		p.report.Terminated++
	}
	if err := p.fleet.Start(i); err != nil {
		return err
	}
	p.load.addTarget(i)
	return nil
}

// isolateRegion cuts a region off from the others, has the rest change the policy, and mends it.
func (p *runner) isolateRegion() error {
	region := p.random.IntN(hollow.Regions)
	members, rest := 0, (region+1)%hollow.Regions
	p.recordRigEvent(history.FaultsStarted, "")
	for i := range p.dispatchers {
		if i%hollow.Regions == region {
			members++
			p.recordRigEvent(history.CutOff, hollow.DispatcherName(i))
		}
	}
	p.fleet.SetIsolated(region, true)
	begun := time.Now()
	err := p.fleet.Await("a leader of the rest", settleTimeout, func() bool { return p.fleet.IsLeader(rest) || p.fleet.IsLeader((rest+1)%hollow.Regions) })
	if err == nil {
		changed := time.Now()
		var version uint64
		if version, err = p.propose(rest); err == nil {
			err = p.fleet.AwaitServing(p.dispatchers-members, version, settleTimeout)
		}
		p.report.IsolatedChangeTime = time.Since(changed)
	}
	time.Sleep(time.Until(begun.Add(p.IsolationTime)))
	p.fleet.SetIsolated(region, false)
	for i := range p.dispatchers {
		if i%hollow.Regions == region {
			p.recordRigEvent(history.Reconnected, hollow.DispatcherName(i))
		}
	}
	back := time.Now()
	if err == nil {
		err = p.fleet.AwaitServing(p.dispatchers, p.fleet.LastDecided(), settleTimeout)
	}
	p.report.ReconnectTime = time.Since(back)
	p.recordRigEvent(history.FaultsEnded, "")
	return err
}

func (p *runner) recordRigEvent(what, process string) { p.fleet.RecordRigEvent(process, what) }

// fillReport takes the history and what it cost.
func (p *runner) fillReport() error {
	var err error
	for _, q := range p.fleet.Real {
		if q == nil {
			continue
		}
		c, e := hollow.ReadResourceUsage(q.PID())
		err = errors.Join(err, e)
		p.report.ProcessUsage = append(p.report.ProcessUsage, c)
	}
	own, e := hollow.ReadResourceUsage(-1)
	p.report.OwnUsage, err = own, errors.Join(err, e)
	p.report.VoterTraffic = p.fleet.Traffic()
	p.report.ListBytes = p.fleet.ListMeter.RequestBytes.Load() + p.fleet.ListMeter.ResponseBytes.Load()
	for _, e := range p.fleet.TakeEvents() {
		side := history.SourceLog
		if e.FromRig {
			side = history.SourceRig
		}
		p.report.DroppedLogLines += e.DroppedLines
		p.lines = append(p.lines, history.Line{Time: e.Time.UnixNano(), Source: side, Process: e.Process, Event: e.Name, Version: e.Version, Change: e.Change, Proposer: e.Proposer, Reason: e.Reason})
	}
	p.lines = append(p.lines, p.load.clientHistory(p.report)...)
	p.lines = append(p.lines, attemptStarts(p.fleet)...)
	p.report.ServiceGaps = serviceGaps(p.lines)
	lease := p.Fleet.Lease
	p.report.Violations = history.Check(p.lines, history.Rules{ClockTolerance: p.ClockTolerance, Lease: lease, SettleTimeout: settleTimeout, MaxStartsAfterResume: 8})
	return err
}

// serviceGaps are the times in which, between two versions, no dispatcher took a req; 0 where some still took by the old one
// when others took by the new: those that were cut off, which the judge looks at.
func serviceGaps(lines []history.Line) (out []time.Duration) {
	first, stops := map[uint64]int64{}, map[uint64][]int64{}
	for _, l := range lines {
		switch {
		case l.Source != history.SourceLog:
		case l.Event == "serving" && (first[l.Version] == 0 || l.Time < first[l.Version]):
			first[l.Version] = l.Time
		case l.Event == "fenced":
			stops[l.Version] = append(stops[l.Version], l.Time)
		}
	}
	for v, at := range first {
		last := int64(0)
		for _, t := range stops[v-1] {
			if t < at {
				last = max(last, t)
			}
		}
		if last > 0 {
			out = append(out, time.Duration(at-last))
		}
	}
	return out
}
