package accordhistory

import (
	"slices"
	"strings"
	"time"
)

// fleetState is the state of the processes and changes, as the lines up to some point of the history show it.
type fleetState struct {
	versions     map[string]uint64 // version in force at each running process
	notAccepting map[string]bool
	suspended    map[string]bool
	ended        map[string]bool // changes that were decided or withdrawn
	decided      uint64
	// pending holds the changes being checked that have no result yet, each with the processes from which one is expected:
	// the leader, while it leads, and each process that checked it. Once none of them is left, no result is expected.
	pending map[string]map[string]bool
}

func newFleetState() *fleetState {
	return &fleetState{versions: map[string]uint64{}, notAccepting: map[string]bool{}, suspended: map[string]bool{}, ended: map[string]bool{}, pending: map[string]map[string]bool{}}
}

func (f *fleetState) handle(l Line) {
	switch l.Source + " " + l.Event {
	case SourceRig + " " + ProcessStarted:
		f.versions[l.Process], f.notAccepting[l.Process] = 0, true
		delete(f.suspended, l.Process)
	case SourceRig + " " + ProcessEnded:
		delete(f.versions, l.Process)
		f.removePending(l.Process)
		f.removePending(l.Process + leaderSuffix)
	case SourceRig + " " + ProcessSuspended:
		f.suspended[l.Process] = true
	case SourceRig + " " + ProcessResumed:
		delete(f.suspended, l.Process)
	case SourceLog + " in force":
		if _, runs := f.versions[l.Process]; runs {
			f.versions[l.Process], f.notAccepting[l.Process] = l.Version, false
		}
	case SourceLog + " serving":
		f.notAccepting[l.Process] = false
	case SourceLog + " fenced":
		f.notAccepting[l.Process] = true
	case SourceLog + " checking":
		f.addPending(l.Change, l.Process+leaderSuffix)
	case SourceLog + " leads no more":
		f.removePending(l.Process + leaderSuffix)
	case SourceLog + " checked":
		f.addPending(l.Change, l.Process)
	case SourceLog + " decided":
		f.decided = max(f.decided, l.Version)
		f.endChange(l.Change)
	case SourceLog + " withdrawn":
		f.endChange(l.Change)
	}
}

// leaderSuffix marks an entry of pending that a process has as the leader.
const leaderSuffix = " leading"

func (f *fleetState) addPending(change, process string) {
	if f.ended[change] {
		return
	}
	if f.pending[change] == nil {
		f.pending[change] = map[string]bool{}
	}
	f.pending[change][process] = true
}

func (f *fleetState) removePending(process string) {
	for change, waiting := range f.pending {
		if delete(waiting, process); len(waiting) == 0 {
			delete(f.pending, change)
		}
	}
}

func (f *fleetState) endChange(change string) {
	f.ended[change] = true
	delete(f.pending, change)
}

// unsettled returns, sorted, the processes that are not on the last decided version or do not accept requests, and the
// changes without a result. Suspended processes are left out.
func (f *fleetState) unsettled() []string {
	var out []string
	for p, v := range f.versions {
		if !f.suspended[p] && (v != f.decided || f.notAccepting[p]) {
			out = append(out, p)
		}
	}
	for change, waiting := range f.pending {
		for process := range waiting {
			if !f.suspended[strings.TrimSuffix(process, leaderSuffix)] {
				out = append(out, "change "+change)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// Unsettled returns the processes that, at the end of the lines, don't accept requests under the last decided version, and
// the changes without a result. The lines must be in order of time.
func Unsettled(lines []Line) []string {
	f := newFleetState()
	for _, l := range lines {
		f.handle(l)
	}
	return f.unsettled()
}

// checkSettles finds that the fleet wasn't on one version SettleTimeout after the end of the faults. If the next faults or
// the end of the history come sooner, it checks at that time.
func (c *checker) checkSettles() {
	f, faultsEnded := newFleetState(), int64(0)
	checkAt := func(at int64) {
		if faultsEnded == 0 {
			return
		}
		if unsettled := f.unsettled(); len(unsettled) > 0 {
			c.report(SettlesAfterFaults, "%v after the end of the faults: %v not settled, version %d", time.Duration(at-faultsEnded), unsettled, f.decided)
		}
		faultsEnded = 0
	}
	for _, l := range c.lines {
		if faultsEnded > 0 && l.Time > faultsEnded+int64(c.rules.SettleTimeout) {
			checkAt(faultsEnded + int64(c.rules.SettleTimeout))
		}
		if l.Source == SourceRig && l.Event == FaultsStarted {
			checkAt(l.Time)
		}
		f.handle(l)
		if l.Source == SourceRig && l.Event == FaultsEnded {
			faultsEnded = l.Time
		}
	}
	if n := len(c.lines); n > 0 {
		checkAt(c.lines[n-1].Time)
	}
}
