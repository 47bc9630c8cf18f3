// Package scenario parses the scripts of scenario tests and encodes and decodes their HTTP/2 frames.
// A scenario is a text with one step per line:
//
//	send TEXT    bytes from a peer; \r, \n and \t as in Go, and {{N*C}} for N times C
//	expect TEXT  what is found next; {{N*C}} here too
//	close        the peer ends its connection, or refuses new ones
//	wait TIME    time passes
//
// If several peers take part, a step begins with the name of the peer that acts.
package scenario

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Step is one line of a scenario. Actor is empty if the line names no peer.
type Step struct{ Line, Actor, Verb, Arg string }

var verbs = []string{"send", "expect", "close", "wait"}

// Steps parses a scenario. A line with an unknown verb fails the test; empty lines are skipped.
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
			t.Fatalf("unknown step: %s", line)
		}
		if s.Verb == "send" {
			s.Arg = strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\t`, "\t").Replace(s.Arg)
		}
		s.Arg = expand(t, s.Arg)
		steps = append(steps, s)
	}
	return steps
}

// expand replaces each {{N*C}} by N times C.
func expand(t *testing.T, s string) string {
	t.Helper()
	for {
		from, to := strings.Index(s, "{{"), strings.Index(s, "}}")
		var count int
		var text string
		if from < 0 || to < from {
			return s
		}
		if _, err := fmt.Sscanf(s[from:to], "{{%d*%s", &count, &text); err != nil {
			t.Fatal(err)
		}
		s = s[:from] + strings.Repeat(text, count) + s[to+2:]
	}
}
