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

// MessageKind is what a message at a voter's address is for.
type MessageKind int

// Kinds. Of the log's library's messages only the asking side is a kind of its own: what answers it counts in
// bytes alone, as RaftResponses.
const (
	MemberRequests    MessageKind = iota // from members: of leases and of shares
	MemberAnswers                        // to members
	Heartbeats                           // heartbeats, at their pace or to confirm that the leader leads
	CommitTimeouts                       // appends without an entry, at the commit time-out
	LogEntries                           // appends with entries
	OtherRaftRequests                    // votes, snapshots, hand-overs
	RaftResponses                        // to all of the log's library's
	Undecoded                            // what could not be read: there must be none
	kindCount
)

func (k MessageKind) String() string {
	return [...]string{"asks", "answers", "heartbeats", "commit time-outs", "entries", "others", "replies", "unread"}[k]
}

// Tally is how much came of a kind.
type Tally struct{ Messages, Bytes int64 }

// Traffic are tallies by kind.
type Traffic [kindCount]Tally

// Since is what came after an earlier reading.
func (c Traffic) Since(old Traffic) Traffic {
	for k := range c {
		c[k].Messages -= old[k].Messages
		c[k].Bytes -= old[k].Bytes
	}
	return c
}

// Add is the sum.
func (c Traffic) Add(d Traffic) Traffic {
	for k := range c {
		c[k].Messages += d[k].Messages
		c[k].Bytes += d[k].Bytes
	}
	return c
}

// RaftTotal is the part of the log's library: all that goes between the voters for it.
func (c Traffic) RaftTotal() (t Tally) {
	for _, k := range []MessageKind{Heartbeats, CommitTimeouts, LogEntries, OtherRaftRequests, RaftResponses, Undecoded} {
		t.Messages += c[k].Messages
		t.Bytes += c[k].Bytes
	}
	return t
}

// MemberTotal is the part of the members' links.
func (c Traffic) MemberTotal() Tally {
	return Tally{c[MemberRequests].Messages + c[MemberAnswers].Messages, c[MemberRequests].Bytes + c[MemberAnswers].Bytes}
}

// Meter counts what passes relays that stand before voters' addresses. It is for concurrent use.
type Meter struct {
	messages, bytes [kindCount]atomic.Int64
}

func (m *Meter) add(k MessageKind, messages, bytes int64) {
	m.messages[k].Add(messages)
	m.bytes[k].Add(bytes)
}

// Traffic reads the meter.
func (m *Meter) Traffic() (c Traffic) {
	for k := range c {
		c[k] = Tally{m.messages[k].Load(), m.bytes[k].Load()}
	}
	return c
}

// The first byte of a connection to a voter, as internal/network/fleet/accord has it.
const (
	memberConn = 'A'
	raftConn   = 'R'
)

// Tap looks at one more connection: faultnet.Tap.
func (m *Meter) Tap() (out, back func([]byte)) {
	var mark atomic.Int32
	var ask, answer frameCounter
	var log *io.PipeWriter
	out = func(p []byte) {
		if len(p) > 0 && mark.Load() == 0 {
			mark.Store(int32(p[0]))
			p = p[1:]
			switch mark.Load() {
			case memberConn:
				m.add(MemberRequests, 0, 1)
			case raftConn:
				m.add(OtherRaftRequests, 0, 1)
				var r *io.PipeReader
				r, log = io.Pipe()
				go m.countRaftRequests(r)
			}
			if len(p) == 0 {
				return
			}
		}
		switch {
		case mark.Load() == memberConn:
			m.add(MemberRequests, ask.count(p), int64(len(p)))
		case log != nil && len(p) == 0:
			log.Close()
		case log != nil:
			_, _ = log.Write(p) // read until the end, whatever it says
		default:
			m.add(Undecoded, 0, int64(len(p)))
		}
	}
	back = func(p []byte) {
		switch mark.Load() {
		case memberConn:
			m.add(MemberAnswers, answer.count(p), int64(len(p)))
		case raftConn:
			m.add(RaftResponses, 0, int64(len(p)))
		default:
			m.add(Undecoded, 0, int64(len(p)))
		}
	}
	return out, back
}

var _ faultnet.Tap = (&Meter{}).Tap

// frameCounter counts the framed messages of a link.
type frameCounter struct {
	header    []byte
	remaining uint32
}

// count takes the next piece and says how many messages ended in it.
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

// The log's library's kinds of request, by the byte before each (hashicorp/raft, net_transport.go).
const (
	rpcAppendEntries byte = iota
	rpcRequestVote
	rpcInstallSnapshot
	rpcTimeoutNow
	rpcRequestPreVote
)

// countRaftRequests reads the requests of a stream of the log's library, to its end.
func (m *Meter) countRaftRequests(from io.Reader) {
	in := &countingReader{r: bufio.NewReader(from)}
	dec := codec.NewDecoder(in, &codec.MsgpackHandle{})
	for {
		in.n = 0
		kind, err := in.ReadByte()
		if err != nil {
			return
		}
		k, rest := OtherRaftRequests, int64(0)
		switch kind {
		case rpcAppendEntries:
			var q raft.AppendEntriesRequest
			switch err = dec.Decode(&q); {
			case len(q.Entries) > 0:
				k = LogEntries
			case q.PrevLogEntry == 0 && q.LeaderCommitIndex == 0:
				k = Heartbeats
			default:
				k = CommitTimeouts
			}
		case rpcRequestVote:
			err = dec.Decode(&raft.RequestVoteRequest{})
		case rpcRequestPreVote:
			err = dec.Decode(&raft.RequestPreVoteRequest{})
		case rpcTimeoutNow:
			err = dec.Decode(&raft.TimeoutNowRequest{})
		case rpcInstallSnapshot:
			var q raft.InstallSnapshotRequest
			err = dec.Decode(&q)
			rest = q.Size
		default:
			err = io.ErrUnexpectedEOF
		}
		if err == nil {
			_, err = io.CopyN(io.Discard, in, rest)
		}
		if err != nil {
			m.add(Undecoded, 1, in.n)
			n, _ := io.Copy(io.Discard, in.r)
			m.add(Undecoded, 0, n)
			return
		}
		m.add(k, 1, in.n)
	}
}

// countingReader counts what is read of it, and reads no byte ahead.
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
