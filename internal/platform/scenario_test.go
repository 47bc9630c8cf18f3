package platform

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The scenario language. A scenario is a text of one step a line, run on a state machine:
//
//	send TEXT    the peer's bytes; \r, \n and the like as in Go, and {{N*C}} for N times C
//	expect TEXT  what the machine finds next; "more" where it wants more bytes
//	close        the connection ends
//	wait         the machine is asked again with nothing new
//
// Each scenario is run with its bytes in one piece, byte by byte, and in threes: how a peer's
// bytes are split must change nothing.

// machine is what a scenario runs on. next says what was found, in one word or a few.
type machine interface {
	Space() []byte
	Filled(int)
	next() string
	closed() string
}

type script struct{ name, text string }

func play(t *testing.T, fresh func() machine, scripts []script) {
	t.Helper()
	for _, s := range scripts {
		for _, piece := range []int{1 << 20, 1, 3} {
			t.Run(fmt.Sprintf("%s/%d", s.name, piece), func(t *testing.T) { playOne(t, fresh(), s.text, piece) })
		}
	}
}

func playOne(t *testing.T, m machine, text string, piece int) {
	var found []string
	over := false // a machine that has found its bytes bad gets no more
	look := func() {
		for f := "more"; !over; found = append(found, f) {
			if f = m.next(); f == "more" {
				return
			}
			over = strings.HasPrefix(f, "bad")
		}
	}
	for line := range strings.Lines(text) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "":
		case "send":
			for bytes := unquote(t, rest); len(bytes) > 0 && !over; {
				n := copy(m.Space(), bytes[:min(piece, len(bytes))])
				m.Filled(n)
				bytes = bytes[n:]
				look()
			}
		case "wait":
			look()
		case "close":
			if f := m.closed(); f != "" {
				found = append(found, f)
			}
			look()
		case "expect":
			got := "more"
			if len(found) > 0 {
				got, found = found[0], found[1:]
			}
			require.Equal(t, rest, got, line)
		default:
			t.Fatalf("no such step: %s", line)
		}
	}
	require.Empty(t, found, "found and not expected")
}

// unquote reads a text's escapes, and {{N*C}} as N times C.
func unquote(t *testing.T, s string) string {
	t.Helper()
	s = strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\t`, "\t", `\0`, "\x00").Replace(s)
	for {
		from := strings.IndexByte(s, '{')
		to := strings.Index(s, "}}")
		var n int
		var c string
		if from < 0 || to < 0 {
			return s
		}
		if _, err := fmt.Sscanf(s[from:to], "{{%d*%s", &n, &c); err != nil {
			t.Fatal(err)
		}
		s = s[:from] + strings.Repeat(c, n) + s[to+2:]
	}
}
