package accordhistory

import (
	"slices"
	"strings"
	"time"
)

// fleetState is what a history has told of the processes up to some line.
type fleetState struct {
	versions     map[string]uint64 // by each that runs
	notAccepting map[string]bool
	suspended    map[string]bool // stopped
	ended        map[string]bool // changes that have an end
	decided      uint64
	// pending are the changes that were checking and have no end, each with the processes that owe one: the
	// leader while it leads, and who checked it. Nobody owes it once all of them were ended.
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

const leaderSuffix = " leading"

func (f *fleetState) addPending(change, who string) {
	if f.ended[change] {
		return
	}
	if f.pending[change] == nil {
		f.pending[change] = map[string]bool{}
	}
	f.pending[change][who] = true
}

func (f *fleetState) removePending(who string) {
	for c, all := range f.pending {
		if delete(all, who); len(all) == 0 {
			delete(f.pending, c)
		}
	}
}

func (f *fleetState) endChange(change string) {
	f.ended[change] = true
	delete(f.pending, change)
}

// unsettled names who is not on the version decided last, or fenced, and the changes without an end.
func (f *fleetState) unsettled() []string {
	var out []string
	for p, v := range f.versions {
		if !f.suspended[p] && (v != f.decided || f.notAccepting[p]) {
			out = append(out, p)
		}
	}
	for c, all := range f.pending {
		for who := range all {
			if !f.suspended[strings.TrimSuffix(who, leaderSuffix)] {
				out = append(out, "change "+c)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// Unsettled says who, at the end of the lines so far, is not taking by the version decided last, and
// which changes have no end. The lines must be in order of their times.
func Unsettled(lines []Line) []string {
	f := newFleetState()
	for _, l := range lines {
		f.handle(l)
	}
	return f.unsettled()
}

// checkSettles finds that the fleet was not on one version a named time after the faults' end, or when the
// next fault came if that was sooner.
func (j *checker) checkSettles() {
	f, over := newFleetState(), int64(0)
	look := func(at int64) {
		if over == 0 {
			return
		}
		if who := f.unsettled(); len(who) > 0 {
			j.report(SettlesAfterFaults, "%v after the faults' end: %v, version %d", time.Duration(at-over), who, f.decided)
		}
		over = 0
	}
	for _, l := range j.lines {
		if over > 0 && l.Time > over+int64(j.rules.SettleTimeout) {
			look(over + int64(j.rules.SettleTimeout))
		}
		if l.Source == SourceRig && l.Event == FaultsStarted {
			look(l.Time)
		}
		f.handle(l)
		if l.Source == SourceRig && l.Event == FaultsEnded {
			over = l.Time
		}
	}
	if n := len(j.lines); n > 0 {
		look(j.lines[n-1].Time)
	}
}
