package accordhistory

import (
	"slices"
	"strings"
	"time"
)

// fleet is what a history has told of the processes up to some line.
type fleet struct {
	held    map[string]uint64 // by each that runs
	fenced  map[string]bool
	away    map[string]bool // stopped
	over    map[string]bool // changes that have an end
	decided uint64
	// open are the changes that were checking and have no end, each with the processes that owe one: the
	// leader while it leads, and who checked it. Nobody owes it once all of them were ended.
	open map[string]map[string]bool
}

func newFleet() *fleet {
	return &fleet{held: map[string]uint64{}, fenced: map[string]bool{}, away: map[string]bool{}, over: map[string]bool{}, open: map[string]map[string]bool{}}
}

func (f *fleet) take(l Line) {
	switch l.Side + " " + l.Event {
	case Rig + " " + Began:
		f.held[l.Process], f.fenced[l.Process] = 0, true
		delete(f.away, l.Process)
	case Rig + " " + Ended:
		delete(f.held, l.Process)
		f.owesNot(l.Process)
		f.owesNot(l.Process + leading)
	case Rig + " " + Stopped:
		f.away[l.Process] = true
	case Rig + " " + Woken:
		delete(f.away, l.Process)
	case Control + " in force":
		if _, runs := f.held[l.Process]; runs {
			f.held[l.Process], f.fenced[l.Process] = l.Version, false
		}
	case Control + " serving":
		f.fenced[l.Process] = false
	case Control + " fenced":
		f.fenced[l.Process] = true
	case Control + " checking":
		f.owes(l.Change, l.Process+leading)
	case Control + " leads no more":
		f.owesNot(l.Process + leading)
	case Control + " checked":
		f.owes(l.Change, l.Process)
	case Control + " decided":
		f.decided = max(f.decided, l.Version)
		f.ends(l.Change)
	case Control + " withdrawn":
		f.ends(l.Change)
	}
}

const leading = " leading"

func (f *fleet) owes(change, who string) {
	if f.over[change] {
		return
	}
	if f.open[change] == nil {
		f.open[change] = map[string]bool{}
	}
	f.open[change][who] = true
}

func (f *fleet) owesNot(who string) {
	for c, all := range f.open {
		if delete(all, who); len(all) == 0 {
			delete(f.open, c)
		}
	}
}

func (f *fleet) ends(change string) {
	f.over[change] = true
	delete(f.open, change)
}

// amiss names who is not on the version decided last, or fenced, and the changes without an end.
func (f *fleet) amiss() []string {
	var out []string
	for p, v := range f.held {
		if !f.away[p] && (v != f.decided || f.fenced[p]) {
			out = append(out, p)
		}
	}
	for c, all := range f.open {
		for who := range all {
			if !f.away[strings.TrimSuffix(who, leading)] {
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
	f := newFleet()
	for _, l := range lines {
		f.take(l)
	}
	return f.amiss()
}

// settles finds that the fleet was not on one version a named time after the faults' end, or when the
// next fault came if that was sooner.
func (j *judge) settles() {
	f, over := newFleet(), int64(0)
	look := func(at int64) {
		if over == 0 {
			return
		}
		if who := f.amiss(); len(who) > 0 {
			j.no(Settles, "%v after the faults' end: %v, version %d", time.Duration(at-over), who, f.decided)
		}
		over = 0
	}
	for _, l := range j.lines {
		if over > 0 && l.T > over+int64(j.rules.Settle) {
			look(over + int64(j.rules.Settle))
		}
		if l.Side == Rig && l.Event == Fault {
			look(l.T)
		}
		f.take(l)
		if l.Side == Rig && l.Event == Over {
			over = l.T
		}
	}
	if n := len(j.lines); n > 0 {
		look(j.lines[n-1].T)
	}
}
