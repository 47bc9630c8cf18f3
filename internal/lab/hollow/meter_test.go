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
		text := []byte{memberMark}
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
		c := m.Counts()
		assert.Equal(t, Tally{int64(n), total}, c[Asks])
		assert.Equal(t, Tally{1, int64(len(answer))}, c[Answers])
		assert.Zero(t, c[Unread])
	})
}

// TestMeterOfTheLog: requests of the log's library are told apart, with all their bytes; what cannot be read is said.
func TestMeterOfTheLog(t *testing.T) {
	m := &Meter{}
	out, back := m.Tap()
	out([]byte{logMark})
	size := map[Kind]int64{Others: 1}
	send := func(kind byte, q any, k Kind, more ...byte) {
		text := []byte{kind}
		var b []byte
		require.NoError(t, codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).Encode(q))
		text = append(append(text, b...), more...)
		size[k] += int64(len(text))
		out(text[:1])
		out(text[1:])
	}
	send(rpcAppend, raft.AppendEntriesRequest{Term: 3}, Beats)
	send(rpcAppend, raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 7, LeaderCommitIndex: 7}, Timeouts)
	send(rpcAppend, raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 7, Entries: []*raft.Log{{Data: []byte("body")}}}, Entries)
	send(rpcVote, raft.RequestVoteRequest{Term: 3}, Others)
	send(rpcPreVote, raft.RequestPreVoteRequest{Term: 3}, Others)
	send(rpcSnapshot, raft.InstallSnapshotRequest{Size: 3}, Others, 'a', 'b', 'c')
	send(rpcHandOver, raft.TimeoutNowRequest{}, Others)
	back([]byte("1234"))
	out([]byte{9, 9})
	size[Unread] = 2
	out(nil)
	require.Eventually(t, func() bool { return m.Counts()[Unread].Bytes == 2 }, time.Minute, time.Millisecond)
	c := m.Counts()
	for k, want := range map[Kind]int64{Beats: 1, Timeouts: 1, Entries: 1, Others: 4, Unread: 1} {
		assert.Equal(t, Tally{want, size[k]}, c[k], k)
	}
	assert.Equal(t, int64(4), c[Replies].Bytes)
}
