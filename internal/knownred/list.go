package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// listName is the list's file at the module's root; most is how many tests it may hold.
const (
	listName = "KNOWN-RED.txt"
	most     = 3
)

// form of a line, as its faults quote it.
const form = "PACKAGE TEST | CAUSE | issue NUMBER"

var (
	testForm  = regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\S*)$`)
	causeForm = regexp.MustCompile(`\pL`)
	issueForm = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// entry is one line of the list: a test that fails for a real fault which could not be mended yet.
type entry struct {
	id    testID
	cause string
	issue string
}

func (e entry) String() string { return fmt.Sprintf("%s | %s | %s", e.id, e.cause, e.issue) }

// testID names a test by its package's path below the module ("." at the root) and its name as go
// test prints it; a subtest is TestX/sub.
type testID struct{ pkg, name string }

func (t testID) String() string { return t.pkg + " " + t.name }

// readList reads the list in the file; a file that is not there is an empty list.
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

// parseList reads the list's text and names every fault in it by its line. Empty lines and lines
// that start with # say nothing.
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
	if len(list) > most {
		faults = append(faults, fmt.Sprintf("%s: %d tests are listed, %d at most may be", listName, len(list), most))
	}
	return list, faults
}

func parseLine(line string) (e entry, fault string) {
	parts := strings.Split(line, "|")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	// A subtest's name may hold a bar, so cause and issue are counted from the end.
	if len(parts) < 3 {
		return e, "not of the form " + form
	}
	last := len(parts) - 1
	name := testForm.FindStringSubmatch(strings.Join(parts[:last-1], "|"))
	switch {
	case name == nil:
		return e, "no package and test, wanted " + form
	case !causeForm.MatchString(parts[last-1]):
		return e, "no cause, wanted " + form
	case !issueForm.MatchString(parts[last]):
		return e, "no issue, wanted " + form
	}
	return entry{testID{name[1], name[2]}, parts[last-1], parts[last]}, ""
}
