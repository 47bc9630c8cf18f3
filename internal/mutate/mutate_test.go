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

// replicatedRegister is a System: node a writes versions of a register, and b and c copy the newest
// over byte streams. A line is "TO VERSION CRC". It is sent again until the copy acknowledges it with
// "ackNODE VERSION CRC". fault names the fault in the protocol, "" for none.
type replicatedRegister struct {
	fault        string
	version      int                  // written last
	acked        map[string]int       // by copy
	copies       map[string]int       // version of each copy
	applied      map[string]int       // changes of each copy
	wentBack     bool                 // a copy took an older version
	neverWritten bool                 // a copy took a version never written for it
	stalled      bool                 // deliveries are ignored
	received     map[[2]string][]byte // by link, not yet parsed
}

func buildRegister(fault string) func(uint64) System {
	return func(uint64) System {
		return &replicatedRegister{fault: fault, acked: map[string]int{}, copies: map[string]int{}, applied: map[string]int{}, received: map[[2]string][]byte{}}
	}
}

func registerLine(from, to, addressee string, version int) Message {
	text := fmt.Sprintf("%s %d", addressee, version)
	return Message{From: from, To: to, Bytes: fmt.Appendf(nil, "%s %08x\n", text, crc32.ChecksumIEEE([]byte(text))), Delay: 5 * time.Millisecond}
}

func (w *replicatedRegister) Nodes() []string { return []string{"a", "b", "c"} }

func (w *replicatedRegister) Tick(now time.Duration, node string) (out []Message) {
	if node != "a" {
		return nil
	}
	writing := now < 100*time.Millisecond
	if writing {
		w.version++
	}
	for _, to := range []string{"b", "c"} {
		if writing || w.acked[to] < w.version && w.fault != "never sends again" {
			out = append(out, registerLine("a", to, to, w.version))
		}
	}
	return out
}

func (w *replicatedRegister) Deliver(_ time.Duration, m Message) (out []Message) {
	if w.fault == "trusts the length" {
		_ = m.Bytes[11]
	}
	if w.stalled {
		return nil
	}
	link := [2]string{m.From, m.To}
	w.received[link] = append(w.received[link], m.Bytes...)
	for {
		line, rest, ok := bytes.Cut(w.received[link], []byte("\n"))
		if !ok {
			w.stalled = w.stalled || len(line) > 0 && w.fault == "stops at half a line"
			return out
		}
		w.received[link] = rest
		out = append(out, w.handleLine(m.To, line)...)
	}
}

func (w *replicatedRegister) handleLine(to string, line []byte) []Message {
	fields := strings.Fields(string(line))
	var version int
	if w.fault != "no checksum" && (len(fields) != 3 || fields[2] != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(fields[0]+" "+fields[1])))) {
		return nil
	}
	if _, err := fmt.Sscan(string(line), new(string), &version); err != nil {
		return nil
	}
	if to == "a" {
		if len(fields[0]) == 4 {
			w.acked[fields[0][3:]] = max(w.acked[fields[0][3:]], version)
		}
		return nil
	}
	if fields[0] != to && w.fault != "any addressee" || strings.HasPrefix(fields[0], "ack") {
		return nil
	}
	accept := version > w.copies[to]
	switch w.fault {
	case "takes it again":
		accept = version >= w.copies[to]
	case "takes an older":
		accept = version != w.copies[to]
	case "only the next":
		accept = version == w.copies[to]+1
	}
	if accept {
		w.wentBack = w.wentBack || version < w.copies[to]
		w.neverWritten = w.neverWritten || version > w.version || fields[0] != to
		w.copies[to] = version
		w.applied[to]++
	}
	return []Message{registerLine(to, "a", "ack"+to, w.copies[to])}
}

func (w *replicatedRegister) CheckInvariants(time.Duration) error {
	switch {
	case w.wentBack:
		return errors.New("a copy took an older version")
	case w.neverWritten:
		return errors.New("a copy took a version that was never written for it")
	case w.applied["b"] > w.version || w.applied["c"] > w.version:
		return errors.New("a version applied twice")
	}
	return nil
}

func (w *replicatedRegister) CheckEndState(time.Duration) error {
	if w.copies["b"] != w.version || w.copies["c"] != w.version {
		return fmt.Errorf("copies %v of version %d", w.copies, w.version)
	}
	return nil
}

func registerSetup(fault string) Setup {
	return Setup{Name: "toy", Seed: 7, Build: buildRegister(fault), TickInterval: 20 * time.Millisecond, FaultsUntil: 150 * time.Millisecond,
		Duration: 500 * time.Millisecond, ExtraDelay: 60 * time.Millisecond, Kinds: StreamKinds, MaxSplits: -1}
}

// TestCorrectProtocolPasses checks that a correct protocol passes under every mutation and that every
// kind was run.
func TestCorrectProtocolPasses(t *testing.T) {
	rep := Test(t, registerSetup(""))
	assert.Len(t, rep.ByKind, int(kinds))
	assert.Equal(t, rep.Possible, rep.Runs)
	assert.Equal(t, 20, rep.Messages)
}

// TestFaultyProtocolsFail checks that each fault is found by the kinds of mutation that expose it, and
// that a failure names a mutation that fails again in the same way when run alone.
func TestFaultyProtocolsFail(t *testing.T) {
	for fault, foundBy := range map[string][]Kind{
		"never sends again":    {Lost, Truncated},
		"takes it again":       {Duplicated},
		"takes an older":       {Delayed, Reordered, Replayed},
		"only the next":        {Lost, Reordered},
		"no checksum":          {Corrupted},
		"trusts the length":    {Truncated, Split},
		"any addressee":        {Misrouted},
		"stops at half a line": {Split},
	} {
		for _, k := range foundBy {
			s := registerSetup(fault)
			s.Kinds, s.MaxVariants = []Kind{k}, 8
			rep := s.Run()
			require.NotEmpty(t, rep.Failures, "%s by %s", fault, k)
			f := rep.Failures[0]
			require.NotNil(t, f.Mutation, "%s: the run without mutations fails: %v", fault, f.Err)
			assert.Equal(t, k, f.Mutation.Kind, fault)
			assert.Contains(t, strings.Join(f.Trace, "\n"), fmt.Sprintf("#%d ", f.Mutation.Message))
			assert.NotContains(t, f.Error(), "the rerun returned a different result", fault)
			m, err := ParseMutation(f.Mutation.String())
			require.NoError(t, err)
			_, alone := s.RunOne(m)
			require.NotNil(t, alone, fault)
			assert.Equal(t, firstLine(f.Err), firstLine(alone.Err))
		}
	}
}

// invalidSystem breaks System's contract by what tick returns.
type invalidSystem struct {
	System
	tick func() []Message
}

func (w invalidSystem) Tick(time.Duration, string) []Message { return w.tick() }

// TestInvalidSystemsReported checks that Run reports a system that differs between runs, one that sends
// without end, and one that fails without a mutation.
func TestInvalidSystemsReported(t *testing.T) {
	s, builds := registerSetup(""), 0
	s.Build = func(uint64) System {
		builds++
		return invalidSystem{buildRegister("")(0), func() []Message { return []Message{{From: "a", To: "b", Bytes: []byte{byte(builds)}}} }}
	}
	assert.ErrorContains(t, s.Run().Failures[0].Err, "not deterministic")
	s.Build = func(uint64) System {
		return invalidSystem{buildRegister("")(0), func() []Message { return make([]Message, 100) }}
	}
	s.MaxEvents = 1000
	assert.ErrorIs(t, s.Run().Failures[0].Err, errTooManyEvents)
	s = registerSetup("")
	s.Duration = s.TickInterval / 4
	assert.ErrorContains(t, s.Run().Failures[0].Err, "end state")
}

// TestSample checks that a sample has the given size, contains every kind and gives the same result
// each time, and that excluded mutations are counted and not run.
func TestSample(t *testing.T) {
	s := registerSetup("takes an older")
	s.MaxRuns = 45
	a, b := s.Run(), s.Run()
	assert.Equal(t, 45, a.Runs)
	assert.Len(t, a.ByKind, int(kinds))
	assert.Equal(t, a.Failed, b.Failed)
	s.Exclude = func(m Mutation, original, mutated Message) string {
		if m.Kind == Corrupted && !bytes.Equal(original.Bytes, mutated.Bytes) {
			return "as an example"
		}
		return ""
	}
	withExclusion := s.Run()
	assert.Zero(t, withExclusion.ByKind["changed"])
	assert.Equal(t, 3*withExclusion.Messages, withExclusion.Excluded["as an example"])
}
