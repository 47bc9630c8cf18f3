package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// event is one line of `go test -json`: of a test binary (test2json) or of a build.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// test is what one test came to. With -count it may run more than once: one failure is a failure.
type test struct {
	running bool
	failed  bool
	passed  bool
	skipped bool
	spoke   bool // it printed or logged something itself, beyond the lines that frame a test
	quiet   int  // what its package printed before this place is not shown, as this test did not fail
}

// said is one piece of what a package printed; test is empty for what no test printed.
type said struct{ test, text string }

// pkg is a package as far as its events have come.
type pkg struct {
	name   string // below the module
	output []said
	tests  map[string]*test
	order  []string // of tests, by their first run
	ended  bool
	failed bool
	build  bool // it did not build, or did not pass the vet of go test
	// The testing package's closing word. A binary that panicked, ran out of time or exited by
	// itself has none: tests that had not begun by then are missing in the stream.
	closed bool
	late   bool // something was printed after the closing word
	raced  bool
}

// stream follows the events of one `go test -json` and prints what go test prints without -json:
// a line for each package, and the output of what failed.
type stream struct {
	module string // its path, which the names of packages leave out
	out    io.Writer
	pkgs   map[string]*pkg
	order  []*pkg
}

func newStream(module string, out io.Writer) *stream {
	return &stream{module: module, out: out, pkgs: map[string]*pkg{}}
}

// line takes one line of the stream. What is no event is printed as it is.
func (s *stream) line(raw []byte) {
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
		s.ofPackage(s.pkg(e.Package), e)
	default:
		s.pkg(e.Package).ofTest(e)
	}
}

func (s *stream) pkg(path string) *pkg {
	p := s.pkgs[path]
	if p == nil {
		name := strings.TrimPrefix(path, s.module+"/")
		if path == s.module {
			name = "."
		}
		p = &pkg{name: name, tests: map[string]*test{}}
		s.pkgs[path] = p
		s.order = append(s.order, p)
	}
	return p
}

func (s *stream) ofPackage(p *pkg, e event) {
	switch e.Action {
	case "output":
		p.say(said{"", e.Output})
	case "fail":
		p.ended, p.failed, p.build = true, true, e.FailedBuild != ""
		p.print(s.out)
	case "pass", "skip":
		p.ended = true
		p.print(s.out)
	}
}

func (p *pkg) ofTest(e event) {
	t := p.tests[e.Test]
	if t == nil {
		t = &test{}
		p.tests[e.Test] = t
		p.order = append(p.order, e.Test)
	}
	switch e.Action {
	case "run":
		t.running, p.closed = true, false
	case "output":
		p.say(said{e.Test, e.Output})
		t.spoke = t.spoke || !isFrame(e.Output)
	case "fail":
		t.running, t.failed = false, true
	case "pass":
		t.running, t.passed, t.quiet = false, true, len(p.output)
	case "skip":
		t.running, t.skipped, t.quiet = false, true, len(p.output)
	}
}

func (p *pkg) say(piece said) {
	p.output = append(p.output, piece)
	text := piece.text
	switch {
	case piece.test == "" && (text == "FAIL\n" || text == "PASS\n"):
		p.closed = true
	case piece.test == "" && p.isResult(text):
	case p.closed:
		p.late = true
	}
	if strings.HasPrefix(text, "WARNING: DATA RACE") || strings.Contains(text, "race detected during execution of test") ||
		strings.Contains(text, "race detected outside of test execution") {
		p.raced = true
	}
}

// isResult tells the line by which go test names a package and its result.
func (p *pkg) isResult(text string) bool {
	for _, start := range []string{"ok  \t", "FAIL\t", "?   \t", "coverage: ", "exit status "} {
		if strings.HasPrefix(text, start) {
			return true
		}
	}
	return false
}

// print shows a package that has ended. Of one that failed all is shown but what tests printed
// until they passed; what came after that, as a panic's stack may, is shown whatever test it is put down to.
func (p *pkg) print(out io.Writer) {
	for i, piece := range p.output {
		switch {
		case piece.test == "" && (p.failed || p.isResult(piece.text)):
			io.WriteString(out, piece.text)
		case piece.test != "" && p.failed && i >= p.tests[piece.test].quiet && !isStart(piece.text):
			io.WriteString(out, piece.text)
		}
	}
	p.output = nil
}

// isFrame tells the testing package's own lines about a test from what the test says.
func isFrame(text string) bool {
	return isStart(text) || strings.HasPrefix(strings.TrimLeft(text, " "), "--- ")
}

func isStart(text string) bool { return strings.HasPrefix(text, "=== ") }
