// Package wire is the bytes of the accord's messages between dispatchers, and of its entries in the
// majority log: msgpack maps, each with a format number and a kind (docs/design/accord.md lists the
// fields). It knows no socket and no clock.
//
// Package frames writes and reads them, strictly and with a sum: with one changed byte of a body, a version or an
// outcome two dispatchers would hold two bodies under one number.
package wire

import (
	"fmt"
	"io"

	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/frames"
)

// Format is the number that every message carries.
const Format = 2

// unsummed is the format before the sum. It is read from a voter's disk alone: a log outlives its binary.
const unsummed = 1

// MaxFrame is the most bytes of a message: two bodies and what stands around them.
const MaxFrame = 2*accord.MaxBody + 8<<10

// ErrMessage is wrapped by every fault of a message.
var ErrMessage = frames.ErrMessage

// Message is one message: the one of its parts that is there.
type Message struct {
	LeaseRequest  *accord.LeaseRequest
	LeaseResponse *accord.LeaseResponse
	Poll          bool
	BudgetRequest *BudgetRequest
	BudgetGrant   *BudgetGrant
}

type ask struct {
	F       uint8  `msgpack:"f"`
	Kind    string `msgpack:"kind"`
	Peer    string `msgpack:"peer"`
	Epoch   uint64 `msgpack:"epoch"`
	Seq     uint64 `msgpack:"seq"`
	Version uint64 `msgpack:"version"`
	Change  uint64 `msgpack:"change"`
	Stance  uint8  `msgpack:"stance"`
	Why     string `msgpack:"why"`
	Propose uint64 `msgpack:"propose"`
	Base    uint64 `msgpack:"base"`
	Body    []byte `msgpack:"body"`
}

type outcome struct {
	ID  uint64 `msgpack:"id"`
	End uint8  `msgpack:"end"`
	Who string `msgpack:"who"`
	Why string `msgpack:"why"`
}

type answer struct {
	F        uint8   `msgpack:"f"`
	Kind     string  `msgpack:"kind"`
	Peer     string  `msgpack:"peer"`
	Epoch    uint64  `msgpack:"epoch"`
	Seq      uint64  `msgpack:"seq"`
	Leads    bool    `msgpack:"leads"`
	Leader   string  `msgpack:"leader"`
	Term     uint64  `msgpack:"term"`
	Version  uint64  `msgpack:"version"`
	Lent     bool    `msgpack:"lent"`
	Body     []byte  `msgpack:"body"`
	Change   uint64  `msgpack:"change"`
	Stage    uint8   `msgpack:"stage"`
	Next     uint64  `msgpack:"next"`
	By       string  `msgpack:"by"`
	Draft    []byte  `msgpack:"draft"`
	Ended    outcome `msgpack:"ended"`
	Proposal outcome `msgpack:"proposal"`
}

type decide struct {
	F        uint8  `msgpack:"f"`
	Kind     string `msgpack:"kind"`
	Change   uint64 `msgpack:"change"`
	Proposal uint64 `msgpack:"proposal"`
	Version  uint64 `msgpack:"version"`
	By       string `msgpack:"by"`
	Body     []byte `msgpack:"body"`
}

type done struct {
	Change   uint64 `msgpack:"change"`
	Proposal uint64 `msgpack:"proposal"`
	Version  uint64 `msgpack:"version"`
}

type state struct {
	F        uint8  `msgpack:"f"`
	Kind     string `msgpack:"kind"`
	Version  uint64 `msgpack:"version"`
	Change   uint64 `msgpack:"change"`
	Proposal uint64 `msgpack:"proposal"`
	By       string `msgpack:"by"`
	Body     []byte `msgpack:"body"`
	Done     []done `msgpack:"done"`
}

// Kinds.
const (
	kindAsk    = "ask"
	kindAnswer = "answer"
	kindNudge  = "nudge"
	kindDecide = "decide"
	kindState  = "state"
	kindWant   = "want"
	kindLent   = "lent"
)

// EncodeLeaseRequest is the bytes of an ask.
func EncodeLeaseRequest(a accord.LeaseRequest) []byte {
	return frames.Encode(&ask{Format, kindAsk, a.Peer, a.Epoch, a.Seq, a.Version, a.Change, uint8(a.Ack), a.Reason, a.Proposal, a.BaseVersion, a.Body})
}

// EncodeLeaseResponse is the bytes of an answer.
func EncodeLeaseResponse(a accord.LeaseResponse) []byte {
	return frames.Encode(&answer{Format, kindAnswer, a.Peer, a.Epoch, a.Seq, a.IsLeader, a.Leader, a.Term, a.Version, a.Granted, a.Body,
		a.Change, uint8(a.Stage), a.NextVersion, a.Proposer, a.NextBody, fromOutcome(a.ChangeOutcome), fromOutcome(a.ProposalOutcome)})
}

// EncodePoll is the bytes of a nudge.
func EncodePoll() []byte { return frames.Encode(&frames.Header{Format: Format, Kind: kindNudge}) }

func fromOutcome(o accord.Outcome) outcome { return outcome{o.ID, uint8(o.Result), o.Peer, o.Reason} }

func (o outcome) to() (accord.Outcome, error) {
	if o.End > uint8(accord.Withdrawn) || len(o.Who) > accord.MaxName || len(o.Why) > accord.MaxReason {
		return accord.Outcome{}, fmt.Errorf("%w: an outcome is out of range", ErrMessage)
	}
	return accord.Outcome{ID: o.ID, Result: accord.Result(o.End), Peer: o.Who, Reason: o.Why}, nil
}

// Decode reads a message of a link. Its error wraps ErrMessage; the link is of no use after one.
func Decode(p []byte) (m Message, err error) {
	if len(p) > MaxFrame {
		return m, fmt.Errorf("%w: %d bytes, at most %d", ErrMessage, len(p), MaxFrame)
	}
	if p, err = frames.StripChecksum(p); err != nil {
		return m, err
	}
	switch kind, err := frames.Kind(p, Format); {
	case err != nil:
		return m, err
	case kind == kindAsk:
		m.LeaseRequest, err = readAsk(p)
		return m, err
	case kind == kindAnswer:
		m.LeaseResponse, err = readAnswer(p)
		return m, err
	case kind == kindWant:
		m.BudgetRequest, err = readWant(p)
		return m, err
	case kind == kindLent:
		m.BudgetGrant, err = readLent(p)
		return m, err
	case kind == kindNudge:
		m.Poll = true
		return m, frames.Decode(p, &frames.Header{})
	default:
		return m, fmt.Errorf("%w: kind %q", ErrMessage, kind)
	}
}

func readAsk(p []byte) (*accord.LeaseRequest, error) {
	var a ask
	if err := frames.Decode(p, &a); err != nil {
		return nil, err
	}
	switch {
	case a.Peer == "" || len(a.Peer) > accord.MaxName:
		return nil, fmt.Errorf("%w: a peer's name of %d bytes", ErrMessage, len(a.Peer))
	case a.Stance > uint8(accord.Ready):
		return nil, fmt.Errorf("%w: stance %d", ErrMessage, a.Stance)
	case len(a.Why) > accord.MaxReason || len(a.Body) > accord.MaxBody:
		return nil, fmt.Errorf("%w: a reason or a body that is too long", ErrMessage)
	}
	return &accord.LeaseRequest{Peer: a.Peer, Epoch: a.Epoch, Seq: a.Seq, Version: a.Version, Change: a.Change, Ack: accord.Ack(a.Stance),
		Reason: a.Why, Proposal: a.Propose, BaseVersion: a.Base, Body: a.Body}, nil
}

func readAnswer(p []byte) (*accord.LeaseResponse, error) {
	var a answer
	if err := frames.Decode(p, &a); err != nil {
		return nil, err
	}
	if a.Stage > uint8(accord.Deciding) || len(a.Body) > accord.MaxBody || len(a.Draft) > accord.MaxBody ||
		len(a.Peer) > accord.MaxName || len(a.Leader) > accord.MaxName || len(a.By) > accord.MaxName {
		return nil, fmt.Errorf("%w: an answer's field is out of range", ErrMessage)
	}
	ended, err := a.Ended.to()
	if err != nil {
		return nil, err
	}
	proposal, err := a.Proposal.to()
	if err != nil {
		return nil, err
	}
	return &accord.LeaseResponse{Peer: a.Peer, Epoch: a.Epoch, Seq: a.Seq, IsLeader: a.Leads, Leader: a.Leader, Term: a.Term, Version: a.Version,
		Granted: a.Lent, Body: a.Body, Change: a.Change, Stage: accord.Stage(a.Stage), NextVersion: a.Next, Proposer: a.By, NextBody: a.Draft,
		ChangeOutcome: ended, ProposalOutcome: proposal}, nil
}

// EncodeDecision is the bytes of an entry of the log, ReadDecide their reading.
func EncodeDecision(d accord.Decision) []byte {
	return frames.Encode(&decide{Format, kindDecide, d.Change, d.Proposal, d.Version, d.Proposer, d.Body})
}

// stored is the map of an entry or a snapshot of a voter's disk, which may be of the format before the sum.
func stored(p []byte, want string) ([]byte, error) {
	format := uint64(unsummed)
	if m, err := frames.StripChecksum(p); err == nil {
		p, format = m, Format
	}
	if kind, err := frames.Kind(p, format); err != nil || kind != want {
		return nil, fmt.Errorf("%w: damaged, or no %s that this binary reads", ErrMessage, want)
	}
	return p, nil
}

// DecodeDecision reads an entry of the log. Its error wraps ErrMessage.
func DecodeDecision(p []byte) (accord.Decision, error) {
	var d decide
	p, err := stored(p, kindDecide)
	if err == nil {
		err = frames.Decode(p, &d)
	}
	if err != nil {
		return accord.Decision{}, err
	}
	return accord.Decision{Change: d.Change, Proposal: d.Proposal, Version: d.Version, Proposer: d.By, Body: d.Body}, nil
}

// EncodeState is the bytes of a snapshot of the log.
func EncodeState(s accord.State) []byte {
	out := state{Format, kindState, s.Version, s.Change, s.Proposal, s.Proposer, s.Body, nil}
	for _, d := range s.Recent {
		out.Done = append(out.Done, done(d))
	}
	return frames.Encode(&out)
}

// DecodeState reads a snapshot. Its error wraps ErrMessage.
func DecodeState(p []byte) (accord.State, error) {
	var s state
	p, err := stored(p, kindState)
	if err == nil {
		err = frames.Decode(p, &s)
	}
	if err != nil {
		return accord.State{}, err
	}
	out := accord.State{Version: s.Version, Change: s.Change, Proposal: s.Proposal, Proposer: s.By, Body: s.Body}
	for _, d := range s.Done {
		out.Recent = append(out.Recent, accord.DecisionID(d))
	}
	return out, nil
}

// Frame puts a message's length before it.
func Frame(p []byte) []byte { return frames.Frame(p) }

// ReadMessage reads one framed message from a link. A longer one than MaxFrame is not read.
func ReadMessage(r io.Reader) (Message, error) {
	p, err := frames.ReadFrame(r, MaxFrame)
	if err != nil {
		return Message{}, err
	}
	return Decode(p)
}
