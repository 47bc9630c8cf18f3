package main

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseList(t *testing.T) {
	list, faults := parseList(`# PACKAGE TEST | CAUSE | issue NUMBER

internal/network TestClose/half_a|line | a close is lost in a drain | issue 33
. FuzzHead | reads past its end | issue 7
`)
	assert.Empty(t, faults)
	assert.Equal(t, []entry{
		{testID{"internal/network", "TestClose/half_a|line"}, "a close is lost in a drain", "issue 33"},
		{testID{".", "FuzzHead"}, "reads past its end", "issue 7"},
	}, list)
}

func TestAbsentListIsEmpty(t *testing.T) {
	list, faults := readList(filepath.Join(t.TempDir(), listName))
	assert.Empty(t, list)
	assert.Empty(t, faults)
	_, faults = readList(t.TempDir()) // reading a folder fails
	assert.Len(t, faults, 1)
}

func TestMalformedLinesRejected(t *testing.T) {
	for line, want := range map[string]string{
		"internal/network TestClose":                             "not of the form",
		"internal/network TestClose | a cause":                   "not of the form",
		"internal/network TestClose |  | issue 33":               "no cause",
		"internal/network TestClose | - | issue 33":              "no cause",
		"internal/network TestClose | a cause | ":                "no issue",
		"internal/network TestClose | a cause | issue":           "no issue",
		"internal/network TestClose | a cause | some day":        "no issue",
		"internal/network TestClose | a cause | issue 33, or 34": "no issue",
		"TestClose | a cause | issue 33":                         "no package and test",
		"internal/network | a cause | issue 33":                  "no package and test",
		"internal/network close | a cause | issue 33":            "no package and test",
		"internal/network TestA TestB | a cause | issue 33":      "no package and test",
	} {
		list, faults := parseList("# a comment\n" + line)
		assert.Empty(t, list, line)
		if assert.Len(t, faults, 1, line) {
			assert.Contains(t, faults[0], listName+":2: "+want, line)
		}
	}
}

func TestFourthEntryRejected(t *testing.T) {
	lines := []string{"p TestA | why | issue 1", "p TestB | why | issue 1", "p TestC | why | issue 1"}
	_, faults := parseList(strings.Join(lines, "\n"))
	require.Empty(t, faults)
	_, faults = parseList(strings.Join(append(lines, "p TestD | why | issue 1"), "\n"))
	assert.Equal(t, []string{"KNOWN-RED.txt: 4 tests are listed, 3 at most may be"}, faults)
}

func TestDuplicateEntryRejected(t *testing.T) {
	list, faults := parseList("p TestA | why | issue 1\np TestA | another | issue 2")
	assert.Len(t, list, 1)
	if assert.Len(t, faults, 1) {
		assert.Contains(t, faults[0], "listed twice")
	}
}
