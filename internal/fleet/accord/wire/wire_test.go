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
	sampleRequest = accord.LeaseRequest{Peer: "n3", Epoch: 7 << 60, Seq: 2, Version: 4, Change: 65537, Ack: accord.Refused, Reason: "unknown key",
		Proposal: accord.ProposalBit | 9, BaseVersion: 4, Body: []byte(`{"connections":20}`)}
	sampleResponse = accord.LeaseResponse{Peer: "n3", Epoch: 7, Seq: 2, IsLeader: true, Leader: "n0", Term: 3, Version: 4, Granted: true, Body: []byte("x"),
		Change: 65537, Stage: accord.Preparing, NextVersion: 5, Proposer: "n1", NextBody: []byte("y"),
		ChangeOutcome: accord.Outcome{ID: 1, Result: accord.Withdrawn, Peer: "n2", Reason: "no"}, ProposalOutcome: accord.Outcome{ID: 2, Result: accord.InForce}}
)

func TestRoundTrips(t *testing.T) {
	m, err := Decode(EncodeLeaseRequest(sampleRequest))
	require.NoError(t, err)
	assert.Equal(t, Message{LeaseRequest: &sampleRequest}, m)
	m, err = ReadMessage(bytes.NewReader(Frame(EncodeLeaseResponse(sampleResponse))))
	require.NoError(t, err)
	assert.Equal(t, Message{LeaseResponse: &sampleResponse}, m)
	m, err = Decode(EncodePoll())
	require.NoError(t, err)
	assert.Equal(t, Message{Poll: true}, m)
	request := BudgetRequest{"connections", budget.LeaseRequest{Peer: "n3", Epoch: 7, Seq: 2, Wanted: 480}}
	m, err = Decode(EncodeBudgetRequest(request))
	require.NoError(t, err)
	assert.Equal(t, Message{BudgetRequest: &request}, m)
	grant := BudgetGrant{"connections", budget.Grant{Peer: "n3", Epoch: 7, Seq: 2, Units: 48, Total: 600}}
	m, err = Decode(EncodeBudgetGrant(grant))
	require.NoError(t, err)
	assert.Equal(t, Message{BudgetGrant: &grant}, m)
	d := accord.Decision{Change: 1, Proposal: 2, Version: 3, Proposer: "n1", Body: []byte("b")}
	got, err := DecodeDecision(EncodeDecision(d))
	require.NoError(t, err)
	assert.Equal(t, d, got)
	var s accord.State
	s.Apply(accord.Decision{Change: 1, Proposal: 2, Version: 1, Proposer: "n1", Body: []byte("b")})
	back, err := DecodeState(EncodeState(s))
	require.NoError(t, err)
	assert.Equal(t, s, back)
}

// TestInvalidMessagesAreRefused: a message of another version of the program, or a damaged one, is refused, whichever
// way it differs.
func TestInvalidMessagesAreRefused(t *testing.T) {
	fields := map[string]any{}
	whole := withoutChecksum(EncodeLeaseRequest(sampleRequest))
	require.NoError(t, msgpack.Unmarshal(whole, &fields))
	modified := func(change func(map[string]any)) []byte {
		m := map[string]any{}
		for k, v := range fields {
			m[k] = v
		}
		change(m)
		b, err := msgpack.Marshal(m)
		require.NoError(t, err)
		return b
	}
	long := sampleRequest
	long.Reason = strings.Repeat("x", accord.MaxReason+1)
	noName := sampleRequest
	noName.Peer = ""
	unknownAck := sampleRequest
	unknownAck.Ack = 9
	unknownStage := sampleResponse
	unknownStage.Stage = 9
	for what, p := range map[string][]byte{
		"empty": {}, "cut short": whole[:len(whole)-1], "bytes after the end": append(bytes.Clone(whole), 0),
		"another format":    bytes.Replace(whole, []byte("\xa1f\x02"), []byte("\xa1f\x01"), 1),
		"another kind":      bytes.Replace(whole, []byte("\xa3ask"), []byte("\xa3asx"), 1),
		"an unknown key":    bytes.Replace(whole, []byte("\xa3seq"), []byte("\xa3sex"), 1),
		"a repeated key":    bytes.Replace(whole, []byte("\xa5epoch"), []byte("\xa4peer"), 1),
		"an extra key":      modified(func(m map[string]any) { m["more"] = 1 }),
		"a missing key":     modified(func(m map[string]any) { delete(m, "why") }),
		"a reason too long": withoutChecksum(EncodeLeaseRequest(long)), "no name": withoutChecksum(EncodeLeaseRequest(noName)), "unknown acknowledgement": withoutChecksum(EncodeLeaseRequest(unknownAck)),
		"unknown stage": withoutChecksum(EncodeLeaseResponse(unknownStage)), "too long": make([]byte, MaxFrame+1), "no budget name": withoutChecksum(EncodeBudgetRequest(BudgetRequest{Request: budget.LeaseRequest{Peer: "n1"}})),
		"too many units": withoutChecksum(EncodeBudgetGrant(BudgetGrant{"c", budget.Grant{Peer: "n1", Units: MaxUnits + 1}})), "a log entry as a message": withoutChecksum(EncodeDecision(accord.Decision{})),
		"a second checksum": EncodeLeaseRequest(sampleRequest),
	} {
		_, err := Decode(frames.AppendChecksum(p)) // the checksum is right, so that the map itself is refused
		assert.ErrorIs(t, err, ErrMessage, what)
		assert.NotContains(t, err.Error(), "sum", what)
	}
	_, err := ReadMessage(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	assert.ErrorIs(t, err, ErrMessage)
	_, err = DecodeDecision(whole)
	assert.ErrorIs(t, err, ErrMessage)
	_, err = DecodeState(whole)
	assert.ErrorIs(t, err, ErrMessage)
}

// withoutChecksum returns the map of an encoded message.
func withoutChecksum(p []byte) []byte { return p[:len(p)-4] }

// TestDamagedMessagesAreRefused: a message, an entry or a snapshot with one byte changed, or cut short, is refused.
func TestDamagedMessagesAreRefused(t *testing.T) {
	var s accord.State
	d := accord.Decision{Change: 1, Proposal: 2, Version: 1, Proposer: "n1", Body: []byte("b")}
	s.Apply(d)
	message := func(p []byte) error { _, err := Decode(p); return err }
	for _, c := range []struct {
		p    []byte
		read func([]byte) error
	}{
		{EncodeLeaseRequest(sampleRequest), message}, {EncodeLeaseResponse(sampleResponse), message}, {EncodePoll(), message},
		{EncodeDecision(d), func(p []byte) error { _, err := DecodeDecision(p); return err }},
		{EncodeState(s), func(p []byte) error { _, err := DecodeState(p); return err }},
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

// TestEntriesWithoutChecksumAreRead: entries and snapshots that a voter stored before checksums were introduced are
// read; messages of that format are not.
func TestEntriesWithoutChecksumAreRead(t *testing.T) {
	oldFormat := func(p []byte) []byte {
		return bytes.Replace(withoutChecksum(p), []byte("\xa1f\x02"), []byte("\xa1f\x01"), 1)
	}
	var s accord.State
	d := accord.Decision{Change: 1, Proposal: 2, Version: 1, Proposer: "n1", Body: []byte("b")}
	s.Apply(d)
	got, err := DecodeDecision(oldFormat(EncodeDecision(d)))
	require.NoError(t, err)
	assert.Equal(t, d, got)
	back, err := DecodeState(oldFormat(EncodeState(s)))
	require.NoError(t, err)
	assert.Equal(t, s, back)
	_, err = Decode(oldFormat(EncodeLeaseRequest(sampleRequest)))
	assert.ErrorIs(t, err, ErrMessage)
}

// FuzzRead: no bytes from a peer make Decode panic, and a decoded message is encoded to the same bytes again.
func FuzzRead(f *testing.F) {
	f.Add(withoutChecksum(EncodeLeaseRequest(sampleRequest)))
	f.Add(withoutChecksum(EncodeLeaseResponse(sampleResponse)))
	f.Add(withoutChecksum(EncodePoll()))
	f.Add(withoutChecksum(EncodeBudgetRequest(BudgetRequest{"connections", budget.LeaseRequest{Peer: "n3", Epoch: 7, Seq: 2, Wanted: 480}})))
	f.Add(withoutChecksum(EncodeBudgetGrant(BudgetGrant{"connections", budget.Grant{Peer: "n3", Epoch: 7, Seq: 2, Units: 48, Total: 600}})))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff, 0xa1, 'f', 2})
	f.Fuzz(func(t *testing.T, p []byte) {
		p = frames.AppendChecksum(p) // else hardly any input would pass the checksum
		m, err := Decode(p)
		if err != nil {
			return
		}
		switch {
		case m.LeaseRequest != nil:
			assert.Equal(t, p, EncodeLeaseRequest(*m.LeaseRequest))
		case m.LeaseResponse != nil:
			assert.Equal(t, p, EncodeLeaseResponse(*m.LeaseResponse))
		case m.BudgetRequest != nil:
			assert.Equal(t, p, EncodeBudgetRequest(*m.BudgetRequest))
		case m.BudgetGrant != nil:
			assert.Equal(t, p, EncodeBudgetGrant(*m.BudgetGrant))
		default:
			assert.Equal(t, p, EncodePoll())
		}
	})
}
