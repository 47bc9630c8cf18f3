package hollow

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync/atomic"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"

	"tinsail/internal/faultnet"
)

// MessageKind classifies the traffic at a voter's address.
type MessageKind int

// The kinds. The Raft library's requests are classified; its responses are counted as RaftResponses, in bytes alone.
const (
	MemberRequests    MessageKind = iota // from members to a voter, for leases and for shares of a budget
	MemberAnswers                        // to members
	Heartbeats                           // Raft heartbeats, periodic or to confirm the leader
	CommitTimeouts                       // Raft appends without entries, sent at the commit timeout
	LogEntries                           // Raft appends with entries
	OtherRaftRequests                    // Raft votes, snapshots and leadership transfers
	RaftResponses                        // to all Raft requests; bytes only
	Undecoded                            // what could not be decoded; must be zero
	kindCount
)

// String returns the name of the kind in reports.
func (k MessageKind) String() string {
	return [...]string{"asks", "answers", "heartbeats", "commit time-outs", "entries", "others", "replies", "unread"}[k]
}

// Tally is a number of messages and bytes.
type Tally struct{ Messages, Bytes int64 }

// Traffic is the tallies by kind.
type Traffic [kindCount]Tally

// Since returns the traffic since an earlier reading of the same meters.
func (t Traffic) Since(earlier Traffic) Traffic {
	for k := range t {
		t[k].Messages -= earlier[k].Messages
		t[k].Bytes -= earlier[k].Bytes
	}
	return t
}

// Add returns the sum of two readings.
func (t Traffic) Add(other Traffic) Traffic {
	for k := range t {
		t[k].Messages += other[k].Messages
		t[k].Bytes += other[k].Bytes
	}
	return t
}

// RaftTotal returns the traffic of the Raft library between the voters. The messages don't include its responses.
func (t Traffic) RaftTotal() (sum Tally) {
	for _, k := range []MessageKind{Heartbeats, CommitTimeouts, LogEntries, OtherRaftRequests, RaftResponses, Undecoded} {
		sum.Messages += t[k].Messages
		sum.Bytes += t[k].Bytes
	}
	return sum
}

// MemberTotal returns the traffic between members and voters.
func (t Traffic) MemberTotal() Tally {
	return Tally{t[MemberRequests].Messages + t[MemberAnswers].Messages, t[MemberRequests].Bytes + t[MemberAnswers].Bytes}
}

// Meter counts the traffic of relays to a voter's address. It is safe for concurrent use.
type Meter struct {
	messages, bytes [kindCount]atomic.Int64
}

func (m *Meter) add(k MessageKind, messages, bytes int64) {
	m.messages[k].Add(messages)
	m.bytes[k].Add(bytes)
}

// Traffic returns the totals so far.
func (m *Meter) Traffic() (totals Traffic) {
	for k := range totals {
		totals[k] = Tally{m.messages[k].Load(), m.bytes[k].Load()}
	}
	return totals
}

// The first byte of a connection to a voter, as in internal/network/fleet/accord.
const (
	memberConn = 'A'
	raftConn   = 'R'
)

// Tap is a faultnet.Tap, which observes one connection.
func (m *Meter) Tap() (toTarget, toClient func([]byte)) {
	var connType atomic.Int32
	var requests, answers frameCounter
	var raftRequests *io.PipeWriter // nil unless the connection is the Raft library's
	toTarget = func(p []byte) {
		if len(p) > 0 && connType.Load() == 0 {
			connType.Store(int32(p[0]))
			p = p[1:]
			switch connType.Load() {
			case memberConn:
				m.add(MemberRequests, 0, 1)
			case raftConn:
				m.add(OtherRaftRequests, 0, 1)
				var reader *io.PipeReader
				reader, raftRequests = io.Pipe()
				go m.countRaftRequests(reader)
			}
			if len(p) == 0 {
				return
			}
		}
		switch {
		case connType.Load() == memberConn:
			m.add(MemberRequests, requests.count(p), int64(len(p)))
		case raftRequests != nil && len(p) == 0:
			raftRequests.Close()
		case raftRequests != nil:
			_, _ = raftRequests.Write(p) // countRaftRequests reads to the end even after an error
		default:
			m.add(Undecoded, 0, int64(len(p)))
		}
	}
	toClient = func(p []byte) {
		switch connType.Load() {
		case memberConn:
			m.add(MemberAnswers, answers.count(p), int64(len(p)))
		case raftConn:
			m.add(RaftResponses, 0, int64(len(p)))
		default:
			m.add(Undecoded, 0, int64(len(p)))
		}
	}
	return toTarget, toClient
}

var _ faultnet.Tap = (&Meter{}).Tap

// frameCounter counts the frames of a byte stream: 4 bytes of length, big-endian, and as many bytes.
type frameCounter struct {
	header    []byte // of the next frame, as far as received
	remaining uint32 // bytes until the end of the frame
}

// count takes the next chunk of the stream and returns how many frames end in it.
func (f *frameCounter) count(p []byte) (ended int64) {
	for len(p) > 0 {
		if f.remaining == 0 {
			n := min(4-len(f.header), len(p))
			f.header, p = append(f.header, p[:n]...), p[n:]
			if len(f.header) < 4 {
				return ended
			}
			f.remaining, f.header = binary.BigEndian.Uint32(f.header), f.header[:0]
			continue
		}
		n := min(f.remaining, uint32(len(p)))
		p, f.remaining = p[n:], f.remaining-n
		if f.remaining == 0 {
			ended++
		}
	}
	return ended
}

// The Raft library's request types, by the byte before each request (hashicorp/raft, net_transport.go).
const (
	rpcAppendEntries byte = iota
	rpcRequestVote
	rpcInstallSnapshot
	rpcTimeoutNow
	rpcRequestPreVote
)

// countRaftRequests counts the requests of a stream of the Raft library. After one that it can't decode, it counts the
// rest of the stream as Undecoded.
func (m *Meter) countRaftRequests(stream io.Reader) {
	in := &countingReader{r: bufio.NewReader(stream)}
	decoder := codec.NewDecoder(in, &codec.MsgpackHandle{})
	for {
		in.n = 0
		requestType, err := in.ReadByte()
		if err != nil {
			return
		}
		kind, snapshotSize := OtherRaftRequests, int64(0)
		switch requestType {
		case rpcAppendEntries:
			var request raft.AppendEntriesRequest
			switch err = decoder.Decode(&request); {
			case len(request.Entries) > 0:
				kind = LogEntries
			case request.PrevLogEntry == 0 && request.LeaderCommitIndex == 0:
				kind = Heartbeats
			default:
				kind = CommitTimeouts
			}
		case rpcRequestVote:
			err = decoder.Decode(&raft.RequestVoteRequest{})
		case rpcRequestPreVote:
			err = decoder.Decode(&raft.RequestPreVoteRequest{})
		case rpcTimeoutNow:
			err = decoder.Decode(&raft.TimeoutNowRequest{})
		case rpcInstallSnapshot:
			var request raft.InstallSnapshotRequest
			err = decoder.Decode(&request)
			snapshotSize = request.Size
		default:
			err = io.ErrUnexpectedEOF
		}
		if err == nil {
			_, err = io.CopyN(io.Discard, in, snapshotSize)
		}
		if err != nil {
			m.add(Undecoded, 1, in.n)
			n, _ := io.Copy(io.Discard, in.r)
			m.add(Undecoded, 0, n)
			return
		}
		m.add(kind, 1, in.n)
	}
}

// countingReader counts the bytes read from it. It is an io.ByteReader, so that the decoder doesn't read ahead.
type countingReader struct {
	r *bufio.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

func (c *countingReader) ReadByte() (byte, error) {
	b, err := c.r.ReadByte()
	if err == nil {
		c.n++
	}
	return b, err
}
