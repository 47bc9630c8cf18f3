package mutate

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// toy is a register that a writes and b and c copy, newest version first, over a byte stream:
// a line is "TO VERSION CRC", sent again until the copy's "ACK VERSION CRC" is there. fault names
// what it does wrong.
type toy struct {
	fault   string
	version int
	acked   map[string]int
	copies  map[string]int
	applied map[string]int
	back    bool
	wrong   bool
	stuck   bool
	in      map[[2]string][]byte
}

func buildToy(fault string) func(uint64) System {
	return func(uint64) System {
		return &toy{fault: fault, acked: map[string]int{}, copies: map[string]int{}, applied: map[string]int{}, in: map[[2]string][]byte{}}
	}
}

func toyLine(from, to, word string, version int) Message {
	text := fmt.Sprintf("%s %d", word, version)
	return Message{From: from, To: to, Bytes: fmt.Appendf(nil, "%s %08x\n", text, crc32.ChecksumIEEE([]byte(text))), Delay: 5 * time.Millisecond}
}

func (w *toy) Nodes() []string { return []string{"a", "b", "c"} }

func (w *toy) Tick(now time.Duration, node string) (out []Message) {
	if node != "a" {
		return nil
	}
	fresh := now < 100*time.Millisecond
	if fresh {
		w.version++
	}
	for _, to := range []string{"b", "c"} {
		if fresh || w.acked[to] < w.version && w.fault != "never sends again" {
			out = append(out, toyLine("a", to, to, w.version))
		}
	}
	return out
}

func (w *toy) Deliver(_ time.Duration, m Message) (out []Message) {
	if w.fault == "trusts the length" {
		_ = m.Bytes[11]
	}
	if w.stuck {
		return nil
	}
	link := [2]string{m.From, m.To}
	w.in[link] = append(w.in[link], m.Bytes...)
	for {
		line, rest, ok := bytes.Cut(w.in[link], []byte("\n"))
		if !ok {
			w.stuck = w.stuck || len(line) > 0 && w.fault == "stops at half a line"
			return out
		}
		w.in[link] = rest
		out = append(out, w.line(m.To, line)...)
	}
}

func (w *toy) line(to string, line []byte) []Message {
	f := strings.Fields(string(line))
	var version int
	if w.fault != "no checksum" && (len(f) != 3 || f[2] != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(f[0]+" "+f[1])))) {
		return nil
	}
	if _, err := fmt.Sscan(string(line), new(string), &version); err != nil {
		return nil
	}
	if to == "a" {
		if len(f[0]) == 4 {
			w.acked[f[0][3:]] = max(w.acked[f[0][3:]], version)
		}
		return nil
	}
	if f[0] != to && w.fault != "any addressee" || strings.HasPrefix(f[0], "ack") {
		return nil
	}
	take := version > w.copies[to]
	switch w.fault {
	case "takes it again":
		take = version >= w.copies[to]
	case "takes an older":
		take = version != w.copies[to]
	case "only the next":
		take = version == w.copies[to]+1
	}
	if take {
		w.back = w.back || version < w.copies[to]
		w.wrong = w.wrong || version > w.version || f[0] != to
		w.copies[to] = version
		w.applied[to]++
	}
	return []Message{toyLine(to, "a", "ack"+to, w.copies[to])}
}

func (w *toy) CheckInvariants(time.Duration) error {
	switch {
	case w.back:
		return errors.New("a copy went back")
	case w.wrong:
		return errors.New("a copy of what was never written for it")
	case w.applied["b"] > w.version || w.applied["c"] > w.version:
		return errors.New("a version applied twice")
	}
	return nil
}

func (w *toy) CheckEndState(time.Duration) error {
	if w.copies["b"] != w.version || w.copies["c"] != w.version {
		return fmt.Errorf("copies %v of version %d", w.copies, w.version)
	}
	return nil
}

func toySetup(fault string) Setup {
	return Setup{Name: "toy", Seed: 7, Build: buildToy(fault), TickInterval: 20 * time.Millisecond, FaultsUntil: 150 * time.Millisecond,
		Duration: 500 * time.Millisecond, ExtraDelay: 60 * time.Millisecond, Kinds: StreamKinds, MaxSplits: -1}
}

// TestHonest: a right protocol survives every mutation, and every kind was played.
func TestHonest(t *testing.T) {
	rep := Test(t, toySetup(""))
	assert.Len(t, rep.ByKind, int(kinds))
	assert.Equal(t, rep.Possible, rep.Runs)
	assert.Equal(t, 20, rep.Messages)
}

// TestBites: each fault is found, by the kinds of mutation that it is about, and a failure says
// how to play it alone, which fails again.
func TestBites(t *testing.T) {
	for fault, by := range map[string][]Kind{
		"never sends again":    {Lost, Truncated},
		"takes it again":       {Duplicated},
		"takes an older":       {Delayed, Reordered, Replayed},
		"only the next":        {Lost, Reordered},
		"no checksum":          {Corrupted},
		"trusts the length":    {Truncated, Split},
		"any addressee":        {Misrouted},
		"stops at half a line": {Split},
	} {
		for _, k := range by {
			s := toySetup(fault)
			s.Kinds, s.MaxVariants = []Kind{k}, 8
			rep := s.Run()
			require.NotEmpty(t, rep.Failures, "%s by %s", fault, k)
			f := rep.Failures[0]
			require.NotNil(t, f.Mutation, "%s: the run without mutations fails: %v", fault, f.Err)
			assert.Equal(t, k, f.Mutation.Kind, fault)
			assert.Contains(t, strings.Join(f.Trace, "\n"), fmt.Sprintf("#%d ", f.Mutation.Message))
			assert.NotContains(t, f.Error(), "played again it gave", fault)
			p, err := ParseMutation(f.Mutation.String())
			require.NoError(t, err)
			_, alone := s.RunOne(p)
			require.NotNil(t, alone, fault)
			assert.Equal(t, first(f.Err), first(alone.Err))
		}
	}
}

// tock is a world that is not what a World must be.
type tock struct {
	System
	tick func() []Message
}

func (w tock) Tick(time.Duration, string) []Message { return w.tick() }

// TestRefuses: a world that differs from play to play, one that sends without end, and one that
// fails without any mutation are each told, and nothing else is played.
func TestRefuses(t *testing.T) {
	s, n := toySetup(""), 0
	s.Build = func(uint64) System {
		n++
		return tock{buildToy("")(0), func() []Message { return []Message{{From: "a", To: "b", Bytes: []byte{byte(n)}}} }}
	}
	assert.ErrorContains(t, s.Run().Failures[0].Err, "not deterministic")
	s.Build = func(uint64) System {
		return tock{buildToy("")(0), func() []Message { return make([]Message, 100) }}
	}
	s.MaxEvents = 1000
	assert.ErrorIs(t, s.Run().Failures[0].Err, errStorm)
	s = toySetup("")
	s.Duration = s.TickInterval / 4
	assert.ErrorContains(t, s.Run().Failures[0].Err, "end state")
}

// TestSample: a sample holds every kind, is the same each time, and is what the whole would play.
func TestSample(t *testing.T) {
	s := toySetup("takes an older")
	s.MaxRuns = 45
	a, b := s.Run(), s.Run()
	assert.Equal(t, 45, a.Runs)
	assert.Len(t, a.ByKind, int(kinds))
	assert.Equal(t, a.Failed, b.Failed)
	s.Exclude = func(p Mutation, of, as Message) string {
		if p.Kind == Corrupted && !bytes.Equal(of.Bytes, as.Bytes) {
			return "as an example"
		}
		return ""
	}
	c := s.Run()
	assert.Zero(t, c.ByKind["changed"])
	assert.Equal(t, 3*c.Messages, c.Excluded["as an example"])
}
