package main

import (
	"fmt"
	"io"
	"strings"
)

// verdict is the result of a whole run.
type verdict struct {
	listed []string // one line per listed test, with its result
	faults []string // why the run fails; empty if it passes

	// Test functions, without subtests. A listed test that failed counts as failed too, and so
	// does a fault that belongs to no test.
	passed, failed, skipped int
}

// judge returns the verdict on the run. exit is go test's exit code.
func (s *stream) judge(list []entry, exit int) verdict {
	var v verdict
	packageFailed := false
	for _, p := range s.order {
		v.countTests(p)
		for _, name := range p.order {
			if p.tests[name].running {
				v.faults = append(v.faults, testID{p.name, name}.String()+": did not finish")
			} else if p.tests[name].failed && !p.isExcused(name, list) {
				v.faults = append(v.faults, testID{p.name, name}.String()+": failed and is not listed")
			}
		}
		if fault := p.generalFault(); fault != "" {
			v.addGeneralFault(p.name + ": " + fault)
		}
		packageFailed = packageFailed || p.failed
	}
	for _, e := range list {
		v.addEntry(e, s.findTest(e.id))
	}
	if v.passed+v.failed == 0 {
		v.addGeneralFault("no test was run")
	}
	if exit != 0 && !packageFailed {
		v.addGeneralFault(fmt.Sprintf("go test exited with %d and named no package that failed", exit))
	}
	return v
}

// addGeneralFault adds a fault that belongs to no test.
func (v *verdict) addGeneralFault(fault string) {
	v.failed++
	v.faults = append(v.faults, fault)
}

// countTests counts a package's test functions by result.
func (v *verdict) countTests(p *packageRun) {
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

// addEntry adds the result of a listed test; t is nil if it wasn't run. A listed test that was skipped
// or not run is a fault: the list must not be a way to skip tests, and an entry without a test hides
// that the test was removed or renamed.
func (v *verdict) addEntry(e entry, t *test) {
	switch {
	case t == nil:
		v.listed = append(v.listed, "not run: "+e.String())
		v.addGeneralFault(e.id.String() + ": listed, but there is no such test, or it was not come to")
	case t.running:
		v.listed = append(v.listed, "did not finish: "+e.String())
	case t.failed:
		v.listed = append(v.listed, "failing, passed over: "+e.String())
	case t.passed:
		v.listed = append(v.listed, "passes now: take it off the list: "+e.String())
	default:
		v.listed = append(v.listed, "skipped: "+e.String())
		v.addGeneralFault(e.id.String() + ": listed, but was skipped; a listed test has to run")
	}
}

// findTest returns the test with this id, or nil if it wasn't run.
func (s *stream) findTest(id testID) *test {
	for _, p := range s.order {
		if p.name == id.pkg {
			return p.tests[id.name]
		}
	}
	return nil
}

// generalFault returns what went wrong in a package apart from its tests' failures, or "". No list entry
// excuses it, as it may have kept other tests from running and any of them may have caused it.
func (p *packageRun) generalFault() string {
	switch {
	case !p.ended:
		return "has no result"
	case !p.failed:
		return ""
	case p.buildFailed:
		return "does not build"
	case !p.summaryPrinted:
		return "ended before its tests did (panic, time-out, exit or a fault in its setup)"
	case p.raced:
		return "has a data race, which is passed over in no test"
	case p.outputAfterSummary:
		return "went on after its tests had ended"
	}
	for _, t := range p.tests {
		if t.failed {
			return ""
		}
	}
	return "failed, but none of its tests did"
}

// isExcused reports whether a failed test is listed, is a subtest of a listed one, or failed only because
// of listed subtests. In the last case it must have printed nothing itself, as its output may report a
// failure of its own.
func (p *packageRun) isExcused(name string, list []entry) bool {
	for _, e := range list {
		if e.id.pkg == p.name && (e.id.name == name || strings.HasPrefix(name, e.id.name+"/")) {
			return true
		}
	}
	if p.tests[name].hasOutput {
		return false
	}
	subtestFailed := false
	for _, sub := range p.order {
		if strings.HasPrefix(sub, name+"/") && p.tests[sub].failed {
			if !p.isExcused(sub, list) {
				return false
			}
			subtestFailed = true
		}
	}
	return subtestFailed
}

// print writes the verdict. Its last line has the numbers of tests.
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
