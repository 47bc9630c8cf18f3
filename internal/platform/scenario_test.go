package platform

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tinsail/internal/scenario"
)

// Scenarios run on the parsers: send passes a peer's bytes to the parser, expect is what it finds
// next ("more" if it needs more bytes), close ends the connection, and wait calls it again with
// no new bytes. Each is run with its bytes in one piece, byte by byte, and in threes: how a
// peer's bytes are split must not change the result.

// parserHarness is a parser that scenarios run on. next describes what was found in a few words.
type parserHarness interface {
	Space() []byte
	Filled(int)
	next() string
	closed() string
}

type script struct{ name, text string }

func runScripts(t *testing.T, fresh func() parserHarness, scripts []script) {
	t.Helper()
	for _, s := range scripts {
		for _, piece := range []int{1 << 20, 1, 3} {
			t.Run(fmt.Sprintf("%s/%d", s.name, piece), func(t *testing.T) { runScript(t, fresh(), s.text, piece) })
		}
	}
}

func runScript(t *testing.T, m parserHarness, text string, piece int) {
	var found []string
	over := false // after an error a parser gets no more bytes
	parse := func() {
		for f := "more"; !over; found = append(found, f) {
			if f = m.next(); f == "more" {
				return
			}
			over = strings.HasPrefix(f, "bad")
		}
	}
	for _, s := range scenario.Steps(t, text) {
		switch s.Verb {
		case "send":
			for bytes := s.Arg; len(bytes) > 0 && !over; {
				n := copy(m.Space(), bytes[:min(piece, len(bytes))])
				m.Filled(n)
				bytes = bytes[n:]
				parse()
			}
		case "wait":
			parse()
		case "close":
			if f := m.closed(); f != "" {
				found = append(found, f)
			}
			parse()
		case "expect":
			got := "more"
			if len(found) > 0 {
				got, found = found[0], found[1:]
			}
			require.Equal(t, s.Arg, got, s.Line)
		}
	}
	require.Empty(t, found, "found but not expected")
}
