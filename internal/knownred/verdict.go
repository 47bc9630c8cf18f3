package main

import (
	"fmt"
	"io"
	"strings"
)

// verdict is what a whole run came to.
type verdict struct {
	listed []string // each listed test with its result
	faults []string // why the run fails; none if it passes

	// Test functions, without subtests. A listed one that failed counts as failed too, and so
	// does a fault that is no test's.
	passed, failed, skipped int
}

// judge says what the run came to. exit is go test's exit code.
func (s *stream) judge(list []entry, exit int) verdict {
	var v verdict
	red := false
	for _, p := range s.order {
		v.count(p)
		for _, name := range p.order {
			if p.tests[name].running {
				v.faults = append(v.faults, testID{p.name, name}.String()+": did not finish")
			} else if p.tests[name].failed && !p.excused(name, list) {
				v.faults = append(v.faults, testID{p.name, name}.String()+": failed and is not listed")
			}
		}
		if fault := p.fault(); fault != "" {
			v.beside(p.name + ": " + fault)
		}
		red = red || p.failed
	}
	for _, e := range list {
		v.ofEntry(e, s.find(e.id))
	}
	if v.passed+v.failed == 0 {
		v.beside("no test was run")
	}
	if exit != 0 && !red {
		v.beside(fmt.Sprintf("go test exited with %d and named no package that failed", exit))
	}
	return v
}

// beside takes a fault that is no test's.
func (v *verdict) beside(fault string) {
	v.failed++
	v.faults = append(v.faults, fault)
}

func (v *verdict) count(p *pkg) {
	for _, name := range p.order {
		t := p.tests[name]
		switch {
		case strings.Contains(name, "/"):
		case t.failed || t.running:
			v.failed++
		case t.passed:
			v.passed++
		default:
			v.skipped++
		}
	}
}

// ofEntry notes the result of a listed test. One that was not run is a fault: the list must not be
// a way to skip a test, and a name that nothing answers to hides that a test was lost.
func (v *verdict) ofEntry(e entry, t *test) {
	switch {
	case t == nil:
		v.listed = append(v.listed, "not run: "+e.String())
		v.beside(e.id.String() + ": listed, but there is no such test, or it was not come to")
	case t.running:
		v.listed = append(v.listed, "did not finish: "+e.String())
	case t.failed:
		v.listed = append(v.listed, "failing, passed over: "+e.String())
	case t.passed:
		v.listed = append(v.listed, "passes now: take it off the list: "+e.String())
	default:
		v.listed = append(v.listed, "skipped: "+e.String())
		v.beside(e.id.String() + ": listed, but was skipped; a listed test has to run")
	}
}

func (s *stream) find(id testID) *test {
	for _, p := range s.order {
		if p.name == id.pkg {
			return p.tests[id.name]
		}
	}
	return nil
}

// fault names what went wrong in a package beside what its tests said. No listed test excuses it,
// as it may have kept others from being run, or be anyone's doing.
func (p *pkg) fault() string {
	switch {
	case !p.ended:
		return "has no result"
	case !p.failed:
		return ""
	case p.build:
		return "does not build"
	case !p.closed:
		return "ended before its tests did (panic, time-out, exit or a fault in its setup)"
	case p.raced:
		return "has a data race, which is passed over in no test"
	case p.late:
		return "went on after its tests had ended"
	}
	for _, t := range p.tests {
		if t.failed {
			return ""
		}
	}
	return "failed, but none of its tests did"
}

// excused tells whether a failed test is listed, stands below one that is, or failed only as listed
// subtests of its own did. Of the last kind it must have said nothing itself: what it says may be a fault of its own.
func (p *pkg) excused(name string, list []entry) bool {
	for _, e := range list {
		if e.id.pkg == p.name && (e.id.name == name || strings.HasPrefix(name, e.id.name+"/")) {
			return true
		}
	}
	if p.tests[name].spoke {
		return false
	}
	below := false
	for _, sub := range p.order {
		if strings.HasPrefix(sub, name+"/") && p.tests[sub].failed {
			if !p.excused(sub, list) {
				return false
			}
			below = true
		}
	}
	return below
}

// print shows the verdict. Its last line is the one that counts tests.
func (v verdict) print(out io.Writer) {
	for _, part := range []struct {
		title string
		lines []string
	}{{"listed in " + listName + ":", v.listed}, {"fails for:", v.faults}} {
		if len(part.lines) > 0 {
			fmt.Fprintf(out, "\n%s\n", part.title)
		}
		for _, line := range part.lines {
			fmt.Fprintf(out, "  %s\n", line)
		}
	}
	fmt.Fprintf(out, "\n%d passed, %d failed", v.passed, v.failed)
	if v.skipped > 0 {
		fmt.Fprintf(out, ", %d skipped", v.skipped)
	}
	fmt.Fprintln(out)
}
