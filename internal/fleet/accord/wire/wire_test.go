package wire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/frames"
)

var (
	anAsk = accord.Ask{Peer: "n3", Epoch: 7 << 60, Seq: 2, Version: 4, Change: 65537, Stance: accord.Refused, Why: "unknown key",
		Propose: accord.ProposalBit | 9, Base: 4, Body: []byte(`{"connections":20}`)}
	anAnswer = accord.Answer{Peer: "n3", Epoch: 7, Seq: 2, Leads: true, Leader: "n0", Term: 3, Version: 4, Lent: true, Body: []byte("x"),
		Change: 65537, Stage: accord.Preparing, Next: 5, By: "n1", Draft: []byte("y"),
		Ended: accord.Outcome{ID: 1, End: accord.Withdrawn, Who: "n2", Why: "no"}, Proposal: accord.Outcome{ID: 2, End: accord.InForce}}
)

func TestRoundTrips(t *testing.T) {
	m, err := Read(WriteAsk(anAsk))
	require.NoError(t, err)
	assert.Equal(t, Message{Ask: &anAsk}, m)
	m, err = Next(bytes.NewReader(Frame(WriteAnswer(anAnswer))))
	require.NoError(t, err)
	assert.Equal(t, Message{Answer: &anAnswer}, m)
	m, err = Read(WriteNudge())
	require.NoError(t, err)
	assert.Equal(t, Message{Nudge: true}, m)
	w := Want{"connections", budget.Ask{Peer: "n3", Epoch: 7, Seq: 2, Want: 480}}
	m, err = Read(WriteWant(w))
	require.NoError(t, err)
	assert.Equal(t, Message{Want: &w}, m)
	l := Lent{"connections", budget.Grant{Peer: "n3", Epoch: 7, Seq: 2, Units: 48, Of: 600}}
	m, err = Read(WriteLent(l))
	require.NoError(t, err)
	assert.Equal(t, Message{Lent: &l}, m)
	d := accord.Decide{Change: 1, Proposal: 2, Version: 3, By: "n1", Body: []byte("b")}
	got, err := ReadDecide(WriteDecide(d))
	require.NoError(t, err)
	assert.Equal(t, d, got)
	var s accord.State
	s.Apply(accord.Decide{Change: 1, Proposal: 2, Version: 1, By: "n1", Body: []byte("b")})
	back, err := ReadState(WriteState(s))
	require.NoError(t, err)
	assert.Equal(t, s, back)
}

// TestStrict: each way in which a message may be another's, or damaged, is refused.
func TestStrict(t *testing.T) {
	fields := map[string]any{}
	whole := mapOf(WriteAsk(anAsk))
	require.NoError(t, msgpack.Unmarshal(whole, &fields))
	again := func(change func(map[string]any)) []byte {
		m := map[string]any{}
		for k, v := range fields {
			m[k] = v
		}
		change(m)
		b, err := msgpack.Marshal(m)
		require.NoError(t, err)
		return b
	}
	long := anAsk
	long.Why = strings.Repeat("x", accord.MaxWhy+1)
	noName := anAsk
	noName.Peer = ""
	stance := anAsk
	stance.Stance = 9
	stage := anAnswer
	stage.Stage = 9
	for what, p := range map[string][]byte{
		"empty": {}, "cut short": whole[:len(whole)-1], "bytes after the end": append(bytes.Clone(whole), 0),
		"another format":    bytes.Replace(whole, []byte("\xa1f\x02"), []byte("\xa1f\x01"), 1),
		"another kind":      bytes.Replace(whole, []byte("\xa3ask"), []byte("\xa3asx"), 1),
		"an unknown key":    bytes.Replace(whole, []byte("\xa3seq"), []byte("\xa3sex"), 1),
		"a repeated key":    bytes.Replace(whole, []byte("\xa5epoch"), []byte("\xa4peer"), 1),
		"a key more":        again(func(m map[string]any) { m["more"] = 1 }),
		"a key less":        again(func(m map[string]any) { delete(m, "why") }),
		"a reason too long": mapOf(WriteAsk(long)), "no name": mapOf(WriteAsk(noName)), "no such stance": mapOf(WriteAsk(stance)),
		"no such stage": mapOf(WriteAnswer(stage)), "too long": make([]byte, MaxFrame+1), "no budget's name": mapOf(WriteWant(Want{Ask: budget.Ask{Peer: "n1"}})),
		"too many units": mapOf(WriteLent(Lent{"c", budget.Grant{Peer: "n1", Units: MaxUnits + 1}})), "an entry on a link": mapOf(WriteDecide(accord.Decide{})),
		"a sum in its place": WriteAsk(anAsk),
	} {
		_, err := Read(frames.Seal(p)) // the sum is right: it is the map that is refused
		assert.ErrorIs(t, err, ErrMessage, what)
		assert.NotContains(t, err.Error(), "sum", what)
	}
	_, err := Next(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	assert.ErrorIs(t, err, ErrMessage)
	_, err = ReadDecide(whole)
	assert.ErrorIs(t, err, ErrMessage)
	_, err = ReadState(whole)
	assert.ErrorIs(t, err, ErrMessage)
}

// mapOf is a message without its sum.
func mapOf(p []byte) []byte { return p[:len(p)-4] }

// TestSum: no message, entry or snapshot with one byte changed, or cut short, is read.
func TestSum(t *testing.T) {
	var s accord.State
	d := accord.Decide{Change: 1, Proposal: 2, Version: 1, By: "n1", Body: []byte("b")}
	s.Apply(d)
	link := func(p []byte) error { _, err := Read(p); return err }
	for _, c := range []struct {
		p    []byte
		read func([]byte) error
	}{
		{WriteAsk(anAsk), link}, {WriteAnswer(anAnswer), link}, {WriteNudge(), link},
		{WriteDecide(d), func(p []byte) error { _, err := ReadDecide(p); return err }},
		{WriteState(s), func(p []byte) error { _, err := ReadState(p); return err }},
	} {
		require.NoError(t, c.read(c.p))
		for i := range c.p {
			assert.ErrorIs(t, c.read(c.p[:i]), ErrMessage)
			for _, x := range []byte{1, 2, 4, 8, 16, 32, 64, 128, 0x55, 0xff} {
				p := bytes.Clone(c.p)
				p[i] ^= x
				require.ErrorIs(t, c.read(p), ErrMessage, "byte %d of %q", i, c.p)
			}
		}
	}
}

// TestLogBeforeTheSum: entries and snapshots that a voter wrote before messages had one are read; messages are not.
func TestLogBeforeTheSum(t *testing.T) {
	old := func(p []byte) []byte { return bytes.Replace(mapOf(p), []byte("\xa1f\x02"), []byte("\xa1f\x01"), 1) }
	var s accord.State
	d := accord.Decide{Change: 1, Proposal: 2, Version: 1, By: "n1", Body: []byte("b")}
	s.Apply(d)
	got, err := ReadDecide(old(WriteDecide(d)))
	require.NoError(t, err)
	assert.Equal(t, d, got)
	back, err := ReadState(old(WriteState(s)))
	require.NoError(t, err)
	assert.Equal(t, s, back)
	_, err = Read(old(WriteAsk(anAsk)))
	assert.ErrorIs(t, err, ErrMessage)
}

// FuzzRead: nothing that a peer sends panics the reader, and what it reads is written back the same.
func FuzzRead(f *testing.F) {
	f.Add(mapOf(WriteAsk(anAsk)))
	f.Add(mapOf(WriteAnswer(anAnswer)))
	f.Add(mapOf(WriteNudge()))
	f.Add(mapOf(WriteWant(Want{"connections", budget.Ask{Peer: "n3", Epoch: 7, Seq: 2, Want: 480}})))
	f.Add(mapOf(WriteLent(Lent{"connections", budget.Grant{Peer: "n3", Epoch: 7, Seq: 2, Units: 48, Of: 600}})))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff, 0xa1, 'f', 2})
	f.Fuzz(func(t *testing.T, p []byte) {
		p = frames.Seal(p) // else nothing but a message of ours is looked into
		m, err := Read(p)
		if err != nil {
			return
		}
		switch {
		case m.Ask != nil:
			assert.Equal(t, p, WriteAsk(*m.Ask))
		case m.Answer != nil:
			assert.Equal(t, p, WriteAnswer(*m.Answer))
		case m.Want != nil:
			assert.Equal(t, p, WriteWant(*m.Want))
		case m.Lent != nil:
			assert.Equal(t, p, WriteLent(*m.Lent))
		default:
			assert.Equal(t, p, WriteNudge())
		}
	})
}
