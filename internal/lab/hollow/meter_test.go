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

// TestMeterOfALink: however a link's bytes come in pieces, its messages and bytes are counted once.
func TestMeterOfALink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 5).Draw(t, "messages")
		text := []byte{memberConn}
		for i := range n {
			text = append(text, wire.Frame(wire.EncodeLeaseRequest(accord.LeaseRequest{Peer: "n1", Seq: uint64(i)}))...)
		}
		m := &Meter{}
		out, back := m.Tap()
		total := int64(len(text))
		for len(text) > 0 {
			k := rapid.IntRange(1, len(text)).Draw(t, "piece")
			out(text[:k])
			text = text[k:]
		}
		answer := wire.Frame(wire.EncodePoll())
		back(answer)
		out(nil)
		back(nil)
		c := m.Traffic()
		assert.Equal(t, Tally{int64(n), total}, c[MemberRequests])
		assert.Equal(t, Tally{1, int64(len(answer))}, c[MemberAnswers])
		assert.Zero(t, c[Undecoded])
	})
}

// TestMeterOfTheLog: requests of the log's library are told apart, with all their bytes; what cannot be read is said.
func TestMeterOfTheLog(t *testing.T) {
	m := &Meter{}
	out, back := m.Tap()
	out([]byte{raftConn})
	size := map[MessageKind]int64{OtherRaftRequests: 1}
	send := func(kind byte, q any, k MessageKind, more ...byte) {
		text := []byte{kind}
		var b []byte
		require.NoError(t, codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).Encode(q))
		text = append(append(text, b...), more...)
		size[k] += int64(len(text))
		out(text[:1])
		out(text[1:])
	}
	send(rpcAppendEntries, raft.AppendEntriesRequest{Term: 3}, Heartbeats)
	send(rpcAppendEntries, raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 7, LeaderCommitIndex: 7}, CommitTimeouts)
	send(rpcAppendEntries, raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 7, Entries: []*raft.Log{{Data: []byte("body")}}}, LogEntries)
	send(rpcRequestVote, raft.RequestVoteRequest{Term: 3}, OtherRaftRequests)
	send(rpcRequestPreVote, raft.RequestPreVoteRequest{Term: 3}, OtherRaftRequests)
	send(rpcInstallSnapshot, raft.InstallSnapshotRequest{Size: 3}, OtherRaftRequests, 'a', 'b', 'c')
	send(rpcTimeoutNow, raft.TimeoutNowRequest{}, OtherRaftRequests)
	back([]byte("1234"))
	out([]byte{9, 9})
	size[Undecoded] = 2
	out(nil)
	require.Eventually(t, func() bool { return m.Traffic()[Undecoded].Bytes == 2 }, time.Minute, time.Millisecond)
	c := m.Traffic()
	for k, want := range map[MessageKind]int64{Heartbeats: 1, CommitTimeouts: 1, LogEntries: 1, OtherRaftRequests: 4, Undecoded: 1} {
		assert.Equal(t, Tally{want, size[k]}, c[k], k)
	}
	assert.Equal(t, int64(4), c[RaftResponses].Bytes)
}
