// Package scenario is the language of the tests. A scenario is a text of one step a line:
//
//	send TEXT    bytes from a peer; \r, \n and \t as in Go, and {{N*C}} for N times C
//	expect TEXT  what is found next; {{N*C}} here too
//	close        the peer ends its connection, or refuses new ones
//	wait TIME    time passes
//
// Where more than one peer takes part, a step begins with the name of the one that acts.
package scenario

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Step is one line.
type Step struct{ Line, Actor, Verb, Arg string }

var verbs = []string{"send", "expect", "close", "wait"}

// Steps reads a scenario.
func Steps(t *testing.T, text string) (steps []Step) {
	t.Helper()
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		s := Step{Line: line}
		first, rest, _ := strings.Cut(line, " ")
		if !slices.Contains(verbs, first) {
			s.Actor = first
			first, rest, _ = strings.Cut(rest, " ")
		}
		if s.Verb, s.Arg = first, rest; line == "" {
			continue
		}
		if !slices.Contains(verbs, s.Verb) {
			t.Fatalf("no such step: %s", line)
		}
		if s.Verb == "send" {
			s.Arg = strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\t`, "\t").Replace(s.Arg)
		}
		s.Arg = repeat(t, s.Arg)
		steps = append(steps, s)
	}
	return steps
}

func repeat(t *testing.T, s string) string {
	t.Helper()
	for {
		from, to := strings.Index(s, "{{"), strings.Index(s, "}}")
		var n int
		var c string
		if from < 0 || to < from {
			return s
		}
		if _, err := fmt.Sscanf(s[from:to], "{{%d*%s", &n, &c); err != nil {
			t.Fatal(err)
		}
		s = s[:from] + strings.Repeat(c, n) + s[to+2:]
	}
}
