package hollow

import (
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/accord/wire"
)

// TestMeterOfMemberLink checks that the frames and bytes of a member's link are counted once, whatever chunks they come
// in.
func TestMeterOfMemberLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 5).Draw(t, "messages")
		stream := []byte{memberConn}
		for i := range n {
			stream = append(stream, wire.Frame(wire.EncodeLeaseRequest(accord.LeaseRequest{Peer: "n1", Seq: uint64(i)}))...)
		}
		m := &Meter{}
		toTarget, toClient := m.Tap()
		total := int64(len(stream))
		for len(stream) > 0 {
			size := rapid.IntRange(1, len(stream)).Draw(t, "chunk")
			toTarget(stream[:size])
			stream = stream[size:]
		}
		answer := wire.Frame(wire.EncodePoll())
		toClient(answer)
		toTarget(nil)
		toClient(nil)
		totals := m.Traffic()
		assert.Equal(t, Tally{int64(n), total}, totals[MemberRequests])
		assert.Equal(t, Tally{1, int64(len(answer))}, totals[MemberAnswers])
		assert.Zero(t, totals[Undecoded])
	})
}

// TestMeterOfRaftLink checks that the Raft library's requests are counted by kind, with all their bytes, and that what
// can't be decoded is counted as Undecoded.
func TestMeterOfRaftLink(t *testing.T) {
	m := &Meter{}
	toTarget, toClient := m.Tap()
	toTarget([]byte{raftConn})
	wantBytes := map[MessageKind]int64{OtherRaftRequests: 1}
	send := func(requestType byte, request any, kind MessageKind, snapshot ...byte) {
		message := []byte{requestType}
		var encoded []byte
		require.NoError(t, codec.NewEncoderBytes(&encoded, &codec.MsgpackHandle{}).Encode(request))
		message = append(append(message, encoded...), snapshot...)
		wantBytes[kind] += int64(len(message))
		toTarget(message[:1])
		toTarget(message[1:])
	}
	send(rpcAppendEntries, raft.AppendEntriesRequest{Term: 3}, Heartbeats)
	send(rpcAppendEntries, raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 7, LeaderCommitIndex: 7}, CommitTimeouts)
	send(rpcAppendEntries, raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 7, Entries: []*raft.Log{{Data: []byte("body")}}}, LogEntries)
	send(rpcRequestVote, raft.RequestVoteRequest{Term: 3}, OtherRaftRequests)
	send(rpcRequestPreVote, raft.RequestPreVoteRequest{Term: 3}, OtherRaftRequests)
	send(rpcInstallSnapshot, raft.InstallSnapshotRequest{Size: 3}, OtherRaftRequests, 'a', 'b', 'c')
	send(rpcTimeoutNow, raft.TimeoutNowRequest{}, OtherRaftRequests)
	toClient([]byte("1234"))
	toTarget([]byte{9, 9})
	wantBytes[Undecoded] = 2
	toTarget(nil)
	require.Eventually(t, func() bool { return m.Traffic()[Undecoded].Bytes == 2 }, time.Minute, time.Millisecond)
	totals := m.Traffic()
	for kind, wantMessages := range map[MessageKind]int64{Heartbeats: 1, CommitTimeouts: 1, LogEntries: 1, OtherRaftRequests: 4, Undecoded: 1} {
		assert.Equal(t, Tally{wantMessages, wantBytes[kind]}, totals[kind], kind)
	}
	assert.Equal(t, int64(4), totals[RaftResponses].Bytes)
}
