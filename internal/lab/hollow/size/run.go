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

// day is one under way.
type day struct {
	Config
	f     *hollow.Fleet
	r     *rand.Rand
	rep   *Report
	lines []history.Line
	load  *load
	n     int
	nth   int // of policies
	due   int // restarts that were made
}

const settle = 30 * time.Second // the most that a change or a restart is waited for

// Run plays a day. An error is a day that could not be played to its end; what was played of it is in the report.
func Run(d Config) (*Report, error) {
	rep := &Report{}
	f, err := hollow.StartFleet(d.Fleet)
	if err != nil {
		return rep, err
	}
	defer f.Close()
	p := &day{Config: d, f: f, r: rand.New(rand.NewPCG(d.Seed, 36)), rep: rep, n: d.Fleet.Real + d.Fleet.Hollow}
	if err := f.AwaitServing(p.n, 1, time.Minute); err != nil {
		return rep, err
	}
	begun := time.Now()
	p.load = startLoad(f, d.ReqsPerSecond)
	err = p.play(begun)
	p.load.end()
	rep.Duration = time.Since(begun)
	return rep, errors.Join(err, p.judge())
}

func (p *day) play(begun time.Time) error {
	for i := range p.Changes {
		if time.Since(begun) > p.MaxDuration {
			return fmt.Errorf("%d of %d changes in %v", i, p.Changes, p.MaxDuration)
		}
		if p.IsolationTime > 0 && i == p.Changes/2 {
			if err := p.cut(); err != nil {
				return err
			}
		}
		for p.due < p.Restarts*i/p.Changes {
			if err := p.restart(); err != nil {
				return err
			}
		}
		if err := p.change(i); err != nil {
			return err
		}
	}
	return nil
}

// propose has a dispatcher that is up propose the next policy. It is a hollow one of a region.
func (p *day) propose(region int) (version uint64, err error) {
	for range 1000 {
		i := p.r.IntN(p.Fleet.Hollow)
		d := p.f.Hollow[i]
		if d == nil || (p.Fleet.Real+i)%hollow.Regions != region {
			continue
		}
		held, body := d.Accord.Current()
		q, err := policy.Read(body)
		if err != nil {
			continue // it holds none yet
		}
		p.nth++
		q.Bans = nil
		for t := range p.BannedNames {
			q.Bans = append(q.Bans, fmt.Sprintf("team-%03d-of-change-%06d", t, p.nth))
		}
		return held + 1, d.Accord.Propose(q.Append(nil))
	}
	return 0, errors.New("nobody could propose")
}

// change makes a change and waits until it is in force everywhere. Where a dispatcher is restarted within it, a change may
// be withdrawn: then it has to be in force nowhere, which the judge sees, and is proposed again.
func (p *day) change(i int) error {
	begun := time.Now()
	for try := 1; ; try++ {
		version, err := p.propose(p.r.IntN(hollow.Regions))
		if err == nil {
			within := p.Restarts > 0 && i%2 == 1 && p.due < p.Restarts*(i+1)/p.Changes
			if within {
				if err := p.restart(); err != nil {
					return err
				}
			}
			err = p.f.AwaitServing(p.n, version, settle)
		}
		if err == nil {
			p.rep.ChangeTimes = append(p.rep.ChangeTimes, time.Since(begun))
			return nil
		}
		if try == 3 {
			return fmt.Errorf("change %d: %w", i, err)
		}
		p.rep.WithdrawnChanges++
	}
}

// restart ends a dispatcher that is no voter, or now and then a voter, and starts it again.
func (p *day) restart() error {
	p.due++
	i := hollow.Regions + p.r.IntN(p.n-hollow.Regions)
	if p.due%20 == 0 {
		i = p.r.IntN(hollow.Regions)
	}
	p.load.leave(i)
	if p.due%3 == 0 {
		p.f.Stop(i)
		p.rep.Killed++
	} else {
		p.f.Terminate(i, 5*time.Second)
		p.rep.Terminated++
	}
	if err := p.f.Start(i); err != nil {
		return err
	}
	p.load.join(i)
	return nil
}

// cut cuts a region off from the others, has the rest change the policy, and mends it.
func (p *day) cut() error {
	region := p.r.IntN(hollow.Regions)
	members, rest := 0, (region+1)%hollow.Regions
	p.rig(history.FaultsStarted, "")
	for i := range p.n {
		if i%hollow.Regions == region {
			members++
			p.rig(history.CutOff, hollow.DispatcherName(i))
		}
	}
	p.f.SetIsolated(region, true)
	begun := time.Now()
	err := p.f.Await("a leader of the rest", settle, func() bool { return p.f.IsLeader(rest) || p.f.IsLeader((rest+1)%hollow.Regions) })
	if err == nil {
		changed := time.Now()
		var version uint64
		if version, err = p.propose(rest); err == nil {
			err = p.f.AwaitServing(p.n-members, version, settle)
		}
		p.rep.IsolatedChangeTime = time.Since(changed)
	}
	time.Sleep(time.Until(begun.Add(p.IsolationTime)))
	p.f.SetIsolated(region, false)
	for i := range p.n {
		if i%hollow.Regions == region {
			p.rig(history.Reconnected, hollow.DispatcherName(i))
		}
	}
	back := time.Now()
	if err == nil {
		err = p.f.AwaitServing(p.n, p.f.LastDecided(), settle)
	}
	p.rep.ReconnectTime = time.Since(back)
	p.rig(history.FaultsEnded, "")
	return err
}

func (p *day) rig(what, process string) { p.f.RecordRigEvent(process, what) }

// judge takes the history and what it cost.
func (p *day) judge() error {
	var err error
	for _, q := range p.f.Real {
		if q == nil {
			continue
		}
		c, e := hollow.ReadResourceUsage(q.PID())
		err = errors.Join(err, e)
		p.rep.ProcessUsage = append(p.rep.ProcessUsage, c)
	}
	own, e := hollow.ReadResourceUsage(-1)
	p.rep.OwnUsage, err = own, errors.Join(err, e)
	p.rep.VoterTraffic = p.f.Traffic()
	p.rep.ListBytes = p.f.ListMeter.RequestBytes.Load() + p.f.ListMeter.ResponseBytes.Load()
	for _, e := range p.f.TakeEvents() {
		side := history.SourceLog
		if e.FromRig {
			side = history.SourceRig
		}
		p.rep.DroppedLogLines += e.DroppedLines
		p.lines = append(p.lines, history.Line{Time: e.Time.UnixNano(), Source: side, Process: e.Process, Event: e.Name, Version: e.Version, Change: e.Change, Proposer: e.Proposer, Reason: e.Reason})
	}
	p.lines = append(p.lines, p.load.history(p.rep)...)
	p.lines = append(p.lines, starts(p.f)...)
	p.rep.ServiceGaps = nobody(p.lines)
	lease := p.Fleet.Lease
	p.rep.Violations = history.Check(p.lines, history.Rules{ClockTolerance: p.ClockTolerance, Lease: lease, SettleTimeout: settle, MaxStartsAfterResume: 8})
	return err
}

// nobody are the times in which, between two versions, no dispatcher took a req; 0 where some still took by the old one
// when others took by the new: those that were cut off, which the judge looks at.
func nobody(lines []history.Line) (out []time.Duration) {
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
