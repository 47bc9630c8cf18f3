// Package wire encodes and decodes the accord's messages between dispatchers, the entries of the majority log and its
// snapshots. All are msgpack maps, each with a format number and a kind (docs/design/accord.md lists the fields). The
// package uses no socket and no clock.
//
// Package frames does the encoding. It decodes strictly and adds a checksum: one changed byte of a body, a version or
// an outcome could otherwise give two dispatchers different policies under the same version number.
package wire

import (
	"fmt"
	"io"

	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/frames"
)

// Format is the format number in every message.
const Format = 2

// formatWithoutChecksum is the earlier format, before checksums. It is still read from a voter's disk, as a log may be
// older than the binary, but not from a connection.
const formatWithoutChecksum = 1

// MaxFrame is the maximum size of a message in bytes: two bodies and the other fields.
const MaxFrame = 2*accord.MaxBody + 8<<10

// ErrMessage is wrapped by every error about a message's bytes.
var ErrMessage = frames.ErrMessage

// Message is a message of any kind. Exactly one field is set.
type Message struct {
	LeaseRequest  *accord.LeaseRequest
	LeaseResponse *accord.LeaseResponse
	Poll          bool
	BudgetRequest *BudgetRequest
	BudgetGrant   *BudgetGrant
}

// leaseRequest is the encoded form of accord.LeaseRequest.
type leaseRequest struct {
	Format      uint8  `msgpack:"f"`
	Kind        string `msgpack:"kind"`
	Peer        string `msgpack:"peer"`
	Epoch       uint64 `msgpack:"epoch"`
	Seq         uint64 `msgpack:"seq"`
	Version     uint64 `msgpack:"version"`
	Change      uint64 `msgpack:"change"`
	Ack         uint8  `msgpack:"stance"`
	Reason      string `msgpack:"why"`
	Proposal    uint64 `msgpack:"propose"`
	BaseVersion uint64 `msgpack:"base"`
	Body        []byte `msgpack:"body"`
}

// outcome is the encoded form of accord.Outcome.
type outcome struct {
	ID     uint64 `msgpack:"id"`
	Result uint8  `msgpack:"end"`
	Peer   string `msgpack:"who"`
	Reason string `msgpack:"why"`
}

// leaseResponse is the encoded form of accord.LeaseResponse.
type leaseResponse struct {
	Format          uint8   `msgpack:"f"`
	Kind            string  `msgpack:"kind"`
	Peer            string  `msgpack:"peer"`
	Epoch           uint64  `msgpack:"epoch"`
	Seq             uint64  `msgpack:"seq"`
	IsLeader        bool    `msgpack:"leads"`
	Leader          string  `msgpack:"leader"`
	Term            uint64  `msgpack:"term"`
	Version         uint64  `msgpack:"version"`
	Granted         bool    `msgpack:"lent"`
	Body            []byte  `msgpack:"body"`
	Change          uint64  `msgpack:"change"`
	Stage           uint8   `msgpack:"stage"`
	NextVersion     uint64  `msgpack:"next"`
	Proposer        string  `msgpack:"by"`
	NextBody        []byte  `msgpack:"draft"`
	ChangeOutcome   outcome `msgpack:"ended"`
	ProposalOutcome outcome `msgpack:"proposal"`
}

// decision is the encoded form of accord.Decision.
type decision struct {
	Format   uint8  `msgpack:"f"`
	Kind     string `msgpack:"kind"`
	Change   uint64 `msgpack:"change"`
	Proposal uint64 `msgpack:"proposal"`
	Version  uint64 `msgpack:"version"`
	Proposer string `msgpack:"by"`
	Body     []byte `msgpack:"body"`
}

// decisionID is the encoded form of accord.DecisionID.
type decisionID struct {
	Change   uint64 `msgpack:"change"`
	Proposal uint64 `msgpack:"proposal"`
	Version  uint64 `msgpack:"version"`
}

// state is the encoded form of accord.State.
type state struct {
	Format   uint8        `msgpack:"f"`
	Kind     string       `msgpack:"kind"`
	Version  uint64       `msgpack:"version"`
	Change   uint64       `msgpack:"change"`
	Proposal uint64       `msgpack:"proposal"`
	Proposer string       `msgpack:"by"`
	Body     []byte       `msgpack:"body"`
	Recent   []decisionID `msgpack:"done"`
}

// Values of a message's kind field.
const (
	kindLeaseRequest  = "ask"
	kindLeaseResponse = "answer"
	kindPoll          = "nudge"
	kindDecision      = "decide"
	kindState         = "state"
	kindBudgetRequest = "want"
	kindBudgetGrant   = "lent"
)

// EncodeLeaseRequest encodes a lease request.
func EncodeLeaseRequest(r accord.LeaseRequest) []byte {
	return frames.Encode(&leaseRequest{Format, kindLeaseRequest, r.Peer, r.Epoch, r.Seq, r.Version, r.Change, uint8(r.Ack), r.Reason, r.Proposal, r.BaseVersion, r.Body})
}

// EncodeLeaseResponse encodes a lease response.
func EncodeLeaseResponse(r accord.LeaseResponse) []byte {
	return frames.Encode(&leaseResponse{Format, kindLeaseResponse, r.Peer, r.Epoch, r.Seq, r.IsLeader, r.Leader, r.Term, r.Version, r.Granted, r.Body,
		r.Change, uint8(r.Stage), r.NextVersion, r.Proposer, r.NextBody, encodeOutcome(r.ChangeOutcome), encodeOutcome(r.ProposalOutcome)})
}

// EncodePoll encodes a poll: the leader asks a participant to send a lease request now.
func EncodePoll() []byte { return frames.Encode(&frames.Header{Format: Format, Kind: kindPoll}) }

func encodeOutcome(o accord.Outcome) outcome { return outcome{o.ID, uint8(o.Result), o.Peer, o.Reason} }

func (o outcome) decode() (accord.Outcome, error) {
	if o.Result > uint8(accord.Withdrawn) || len(o.Peer) > accord.MaxName || len(o.Reason) > accord.MaxReason {
		return accord.Outcome{}, fmt.Errorf("%w: a field of the outcome is out of range", ErrMessage)
	}
	return accord.Outcome{ID: o.ID, Result: accord.Result(o.Result), Peer: o.Peer, Reason: o.Reason}, nil
}

// Decode decodes a message from a connection. Its errors wrap ErrMessage; after one the connection must be closed.
func Decode(p []byte) (m Message, err error) {
	if len(p) > MaxFrame {
		return m, fmt.Errorf("%w: message has %d bytes, limit is %d", ErrMessage, len(p), MaxFrame)
	}
	if p, err = frames.StripChecksum(p); err != nil {
		return m, err
	}
	switch kind, err := frames.Kind(p, Format); {
	case err != nil:
		return m, err
	case kind == kindLeaseRequest:
		m.LeaseRequest, err = decodeLeaseRequest(p)
		return m, err
	case kind == kindLeaseResponse:
		m.LeaseResponse, err = decodeLeaseResponse(p)
		return m, err
	case kind == kindBudgetRequest:
		m.BudgetRequest, err = decodeBudgetRequest(p)
		return m, err
	case kind == kindBudgetGrant:
		m.BudgetGrant, err = decodeBudgetGrant(p)
		return m, err
	case kind == kindPoll:
		m.Poll = true
		return m, frames.Decode(p, &frames.Header{})
	default:
		return m, fmt.Errorf("%w: unknown kind %q", ErrMessage, kind)
	}
}

func decodeLeaseRequest(p []byte) (*accord.LeaseRequest, error) {
	var r leaseRequest
	if err := frames.Decode(p, &r); err != nil {
		return nil, err
	}
	switch {
	case r.Peer == "" || len(r.Peer) > accord.MaxName:
		return nil, fmt.Errorf("%w: peer name has %d bytes", ErrMessage, len(r.Peer))
	case r.Ack > uint8(accord.Ready):
		return nil, fmt.Errorf("%w: unknown acknowledgement %d", ErrMessage, r.Ack)
	case len(r.Reason) > accord.MaxReason || len(r.Body) > accord.MaxBody:
		return nil, fmt.Errorf("%w: reason or body is too long", ErrMessage)
	}
	return &accord.LeaseRequest{Peer: r.Peer, Epoch: r.Epoch, Seq: r.Seq, Version: r.Version, Change: r.Change, Ack: accord.Ack(r.Ack),
		Reason: r.Reason, Proposal: r.Proposal, BaseVersion: r.BaseVersion, Body: r.Body}, nil
}

func decodeLeaseResponse(p []byte) (*accord.LeaseResponse, error) {
	var r leaseResponse
	if err := frames.Decode(p, &r); err != nil {
		return nil, err
	}
	if r.Stage > uint8(accord.Deciding) || len(r.Body) > accord.MaxBody || len(r.NextBody) > accord.MaxBody ||
		len(r.Peer) > accord.MaxName || len(r.Leader) > accord.MaxName || len(r.Proposer) > accord.MaxName {
		return nil, fmt.Errorf("%w: a field of the lease response is out of range", ErrMessage)
	}
	change, err := r.ChangeOutcome.decode()
	if err != nil {
		return nil, err
	}
	proposal, err := r.ProposalOutcome.decode()
	if err != nil {
		return nil, err
	}
	return &accord.LeaseResponse{Peer: r.Peer, Epoch: r.Epoch, Seq: r.Seq, IsLeader: r.IsLeader, Leader: r.Leader, Term: r.Term, Version: r.Version,
		Granted: r.Granted, Body: r.Body, Change: r.Change, Stage: accord.Stage(r.Stage), NextVersion: r.NextVersion, Proposer: r.Proposer, NextBody: r.NextBody,
		ChangeOutcome: change, ProposalOutcome: proposal}, nil
}

// EncodeDecision encodes an entry of the log.
func EncodeDecision(d accord.Decision) []byte {
	return frames.Encode(&decision{Format, kindDecision, d.Change, d.Proposal, d.Version, d.Proposer, d.Body})
}

// storedMap returns the msgpack map of an entry or a snapshot that a voter stored, with or without a checksum.
func storedMap(p []byte, want string) ([]byte, error) {
	format := uint64(formatWithoutChecksum)
	if m, err := frames.StripChecksum(p); err == nil {
		p, format = m, Format
	}
	if kind, err := frames.Kind(p, format); err != nil || kind != want {
		return nil, fmt.Errorf("%w: damaged, or not a %q of a format that this binary reads", ErrMessage, want)
	}
	return p, nil
}

// DecodeDecision decodes an entry of the log. Its errors wrap ErrMessage.
func DecodeDecision(p []byte) (accord.Decision, error) {
	var d decision
	p, err := storedMap(p, kindDecision)
	if err == nil {
		err = frames.Decode(p, &d)
	}
	if err != nil {
		return accord.Decision{}, err
	}
	return accord.Decision{Change: d.Change, Proposal: d.Proposal, Version: d.Version, Proposer: d.Proposer, Body: d.Body}, nil
}

// EncodeState encodes a snapshot of the log.
func EncodeState(s accord.State) []byte {
	out := state{Format, kindState, s.Version, s.Change, s.Proposal, s.Proposer, s.Body, nil}
	for _, d := range s.Recent {
		out.Recent = append(out.Recent, decisionID(d))
	}
	return frames.Encode(&out)
}

// DecodeState decodes a snapshot. Its errors wrap ErrMessage.
func DecodeState(p []byte) (accord.State, error) {
	var s state
	p, err := storedMap(p, kindState)
	if err == nil {
		err = frames.Decode(p, &s)
	}
	if err != nil {
		return accord.State{}, err
	}
	out := accord.State{Version: s.Version, Change: s.Change, Proposal: s.Proposal, Proposer: s.Proposer, Body: s.Body}
	for _, d := range s.Recent {
		out.Recent = append(out.Recent, accord.DecisionID(d))
	}
	return out, nil
}

// Frame returns an encoded message with its length in front.
func Frame(p []byte) []byte { return frames.Frame(p) }

// ReadMessage reads one framed message from a connection. It refuses one that is longer than MaxFrame.
func ReadMessage(r io.Reader) (Message, error) {
	p, err := frames.ReadFrame(r, MaxFrame)
	if err != nil {
		return Message{}, err
	}
	return Decode(p)
}
