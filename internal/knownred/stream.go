package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// event is one line of `go test -json`, from a test binary (test2json) or a build.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// test is the result of one test. With -count it may run several times; one failure makes it failed.
type test struct {
	running     bool
	failed      bool
	passed      bool
	skipped     bool
	hasOutput   bool // it printed or logged something, apart from the testing package's own lines
	hiddenUntil int  // its pieces of the package's output before this index aren't printed, as it didn't fail
}

// outputPiece is one piece of a package's output. test is empty if no test printed it.
type outputPiece struct{ test, text string }

// packageRun is the state of a package's tests after the events so far.
type packageRun struct {
	name        string // relative to the module
	output      []outputPiece
	tests       map[string]*test
	order       []string // of the tests' first runs
	ended       bool
	failed      bool
	buildFailed bool // it didn't build, or go test's vet failed
	// The testing package's last line, PASS or FAIL, was printed. It isn't if the binary panicked,
	// timed out or exited by itself; tests that hadn't started by then are missing from the stream.
	summaryPrinted     bool
	outputAfterSummary bool // something was printed after that line
	raced              bool // the race detector reported a data race
}

// stream handles the events of one `go test -json` and prints what go test prints without -json: a
// line for each package, and the output of failures.
type stream struct {
	module   string // its path, which is removed from packages' names
	out      io.Writer
	packages map[string]*packageRun
	order    []*packageRun // of the packages' first events
}

func newStream(module string, out io.Writer) *stream {
	return &stream{module: module, out: out, packages: map[string]*packageRun{}}
}

// handleLine handles one line of the stream. A line that isn't an event is printed unchanged.
func (s *stream) handleLine(raw []byte) {
	var e event
	if json.Unmarshal(raw, &e) != nil || e.Action == "" {
		fmt.Fprintf(s.out, "%s\n", raw)
		return
	}
	switch {
	case e.Action == "build-output":
		io.WriteString(s.out, e.Output)
	case e.Package == "":
	case e.Test == "":
		s.handlePackageEvent(s.packageFor(e.Package), e)
	default:
		s.packageFor(e.Package).handleTestEvent(e)
	}
}

// packageFor returns the state of the package at path, created at its first event.
func (s *stream) packageFor(path string) *packageRun {
	p := s.packages[path]
	if p == nil {
		name := strings.TrimPrefix(path, s.module+"/")
		if path == s.module {
			name = "."
		}
		p = &packageRun{name: name, tests: map[string]*test{}}
		s.packages[path] = p
		s.order = append(s.order, p)
	}
	return p
}

func (s *stream) handlePackageEvent(p *packageRun, e event) {
	switch e.Action {
	case "output":
		p.addOutput(outputPiece{"", e.Output})
	case "fail":
		p.ended, p.failed, p.buildFailed = true, true, e.FailedBuild != ""
		p.print(s.out)
	case "pass", "skip":
		p.ended = true
		p.print(s.out)
	}
}

func (p *packageRun) handleTestEvent(e event) {
	t := p.tests[e.Test]
	if t == nil {
		t = &test{}
		p.tests[e.Test] = t
		p.order = append(p.order, e.Test)
	}
	switch e.Action {
	case "run":
		t.running, p.summaryPrinted = true, false
	case "output":
		p.addOutput(outputPiece{e.Test, e.Output})
		t.hasOutput = t.hasOutput || !isFrameworkLine(e.Output)
	case "fail":
		t.running, t.failed = false, true
	case "pass":
		t.running, t.passed, t.hiddenUntil = false, true, len(p.output)
	case "skip":
		t.running, t.skipped, t.hiddenUntil = false, true, len(p.output)
	}
}

// addOutput stores a piece of output and looks for the summary line, output after it and data races.
func (p *packageRun) addOutput(piece outputPiece) {
	p.output = append(p.output, piece)
	text := piece.text
	switch {
	case piece.test == "" && (text == "FAIL\n" || text == "PASS\n"):
		p.summaryPrinted = true
	case piece.test == "" && p.isResultLine(text):
	case p.summaryPrinted:
		p.outputAfterSummary = true
	}
	if strings.HasPrefix(text, "WARNING: DATA RACE") || strings.Contains(text, "race detected during execution of test") ||
		strings.Contains(text, "race detected outside of test execution") {
		p.raced = true
	}
}

// isResultLine reports whether text is a line of go test about a package's result.
func (p *packageRun) isResultLine(text string) bool {
	for _, start := range []string{"ok  \t", "FAIL\t", "?   \t", "coverage: ", "exit status "} {
		if strings.HasPrefix(text, start) {
			return true
		}
	}
	return false
}

// print writes the output of a package that has ended. For a failed one that is everything except what
// tests printed until they passed or were skipped. Later output, such as a panic's stack, is written
// even if go test attributes it to a test that passed.
func (p *packageRun) print(out io.Writer) {
	for i, piece := range p.output {
		switch {
		case piece.test == "" && (p.failed || p.isResultLine(piece.text)):
			io.WriteString(out, piece.text)
		case piece.test != "" && p.failed && i >= p.tests[piece.test].hiddenUntil && !isStatusLine(piece.text):
			io.WriteString(out, piece.text)
		}
	}
	p.output = nil
}

// isFrameworkLine reports whether text is the testing package's own line about a test, not the test's
// output.
func isFrameworkLine(text string) bool {
	return isStatusLine(text) || strings.HasPrefix(strings.TrimLeft(text, " "), "--- ")
}

// isStatusLine reports whether text is a line such as "=== RUN".
func isStatusLine(text string) bool { return strings.HasPrefix(text, "=== ") }
