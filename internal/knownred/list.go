package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// listName is the list's file at the module's root. maxEntries limits the tests in it.
const (
	listName   = "KNOWN-RED.txt"
	maxEntries = 3
)

// lineForm is the form of a line, quoted in messages about malformed lines.
const lineForm = "PACKAGE TEST | CAUSE | issue NUMBER"

var (
	testPattern  = regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\S*)$`)
	causePattern = regexp.MustCompile(`\pL`)
	issuePattern = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// entry is one line of the list: a test that fails because of a real fault that isn't fixed yet.
type entry struct {
	id    testID
	cause string
	issue string // "issue NUMBER"
}

func (e entry) String() string { return fmt.Sprintf("%s | %s | %s", e.id, e.cause, e.issue) }

// testID identifies a test by its package's path relative to the module ("." for the root) and its
// name as go test prints it. A subtest is TestX/sub.
type testID struct{ pkg, name string }

func (t testID) String() string { return t.pkg + " " + t.name }

// readList reads the list from a file and returns it and its faults. A missing file is an empty list.
func readList(file string) ([]entry, []string) {
	text, err := os.ReadFile(file)
	switch {
	case os.IsNotExist(err):
		return nil, nil
	case err != nil:
		return nil, []string{err.Error()}
	}
	return parseList(string(text))
}

// parseList parses the list's text and reports every fault with its line number. Empty lines and lines
// that start with # are ignored.
func parseList(text string) (list []entry, faults []string) {
	seen := map[testID]bool{}
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, fault := parseLine(line)
		if fault == "" && seen[e.id] {
			fault = "this test is listed twice"
		}
		if fault != "" {
			faults = append(faults, fmt.Sprintf("%s:%d: %s: %q", listName, n+1, fault, line))
			continue
		}
		seen[e.id] = true
		list = append(list, e)
	}
	if len(list) > maxEntries {
		faults = append(faults, fmt.Sprintf("%s: %d tests are listed, %d at most may be", listName, len(list), maxEntries))
	}
	return list, faults
}

// parseLine parses one line. fault is "" if the line is well-formed.
func parseLine(line string) (e entry, fault string) {
	parts := strings.Split(line, "|")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	// A subtest's name may contain a bar, so cause and issue are counted from the end.
	if len(parts) < 3 {
		return e, "not of the form " + lineForm
	}
	last := len(parts) - 1
	name := testPattern.FindStringSubmatch(strings.Join(parts[:last-1], "|"))
	switch {
	case name == nil:
		return e, "no package and test, wanted " + lineForm
	case !causePattern.MatchString(parts[last-1]):
		return e, "no cause, wanted " + lineForm
	case !issuePattern.MatchString(parts[last]):
		return e, "no issue, wanted " + lineForm
	}
	return entry{testID{name[1], name[2]}, parts[last-1], parts[last]}, ""
}
