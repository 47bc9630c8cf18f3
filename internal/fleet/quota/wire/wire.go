// Package wire is the bytes of the messages by which quotas are lent (docs/design/quota.md): msgpack maps with a
// format number, a kind and a sum, as package frames writes and reads them. It knows no socket and no clock.
//
// Each message names the lender that it goes to or comes from: a region's by the region's name, the root by the
// empty text.
package wire

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"tinsail/internal/fleet/frames"
	"tinsail/internal/fleet/quota"
)

// Format is the number that every message carries.
const Format = 1

// MaxFrame is the most bytes of a message, against a peer that sends too much: as many lines as a lender has
// accounts, with their keys and numbers, and what stands around them.
const MaxFrame = quota.MaxAccounts*(quota.MaxName+32) + 1024

// ErrMessage is wrapped by every fault of a message.
var ErrMessage = frames.ErrMessage

// LeaseRequest is a holder's ask of a lender.
type LeaseRequest struct {
	To string
	quota.LeaseRequest
}

// LeaseResponse is a lender's answer to an ask.
type LeaseResponse struct {
	From string
	quota.LeaseResponse
}

// Redirect says that this voter does not lend as From, and, of the root, which voter does as far as it knows.
type Redirect struct{ From, Leader string }

// Message is one message: the one of its parts that is there.
type Message struct {
	Request  *LeaseRequest
	Response *LeaseResponse
	Poll     *string // from this lender: ask now
	Redirect *Redirect
}

type line struct {
	Account string `msgpack:"a"`
	Held    uint64 `msgpack:"h"`
	Used    uint64 `msgpack:"u"`
	Want    uint64 `msgpack:"w"`
}

type share struct {
	Account string `msgpack:"a"`
	Units   uint64 `msgpack:"n"`
}

// Lists are read by their own length first: the library makes room for as many as the message says there are.
type (
	lines  []line
	shares []share
)

func (l *lines) DecodeMsgpack(d *msgpack.Decoder) error  { return list(d, (*[]line)(l)) }
func (s *shares) DecodeMsgpack(d *msgpack.Decoder) error { return list(d, (*[]share)(s)) }

func list[T any](d *msgpack.Decoder, to *[]T) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 0 || n > quota.MaxAccounts {
		return fmt.Errorf("a list of %d accounts, at most %d", n, quota.MaxAccounts)
	}
	*to = make([]T, n)
	for i := range *to {
		if err := d.Decode(&(*to)[i]); err != nil {
			return err
		}
	}
	return nil
}

type ask struct {
	F      uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	To     string `msgpack:"to"`
	Child  string `msgpack:"child"`
	Epoch  uint64 `msgpack:"epoch"`
	Seq    uint64 `msgpack:"seq"`
	Lender uint64 `msgpack:"lender"`
	Base   uint64 `msgpack:"b"` // 0: all lines are here
	Fresh  bool   `msgpack:"fresh"`
	Lines  lines  `msgpack:"lines"`
}

type answer struct {
	F      uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	From   string `msgpack:"from"`
	Child  string `msgpack:"child"`
	Epoch  uint64 `msgpack:"epoch"`
	Seq    uint64 `msgpack:"seq"`
	Lender uint64 `msgpack:"lender"`
	Lease  uint32 `msgpack:"l"` // ms
	Again  bool   `msgpack:"again"`
	Unsure bool   `msgpack:"unsure"`
	Shares shares `msgpack:"shares"`
}

type nudge struct {
	F    uint8  `msgpack:"f"`
	Kind string `msgpack:"kind"`
	From string `msgpack:"from"`
}

type away struct {
	F      uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	From   string `msgpack:"from"`
	Leader string `msgpack:"leader"`
}

// Kinds.
const (
	kindAsk    = "ask"
	kindAnswer = "answer"
	kindNudge  = "nudge"
	kindAway   = "away"
)

// EncodeLeaseRequest is the bytes of an ask, its lines in the order of accounts.
func EncodeLeaseRequest(a LeaseRequest) []byte {
	base := a.BaseSeq
	if a.Full {
		base = 0
	}
	out := ask{Format, kindAsk, a.To, a.Child, a.Epoch, a.Seq, a.LenderIncarnation, base, a.Recovering, make(lines, 0, len(a.Reports))}
	for _, l := range a.Reports {
		out.Lines = append(out.Lines, line{l.Account, units(l.Held), units(l.Used), units(l.Demand)})
	}
	slices.SortFunc(out.Lines, func(a, b line) int { return strings.Compare(a.Account, b.Account) })
	return frames.Encode(&out)
}

// EncodeLeaseResponse is the bytes of an answer, its shares in the order of accounts.
func EncodeLeaseResponse(a LeaseResponse) []byte {
	out := answer{Format, kindAnswer, a.From, a.Child, a.Epoch, a.Seq, a.LenderIncarnation, uint32(min(max(a.Lease.Milliseconds(), 0), math.MaxUint32)), a.ResendFull, a.NoRecord, make(shares, 0, len(a.Allocations))}
	for _, s := range a.Allocations {
		out.Shares = append(out.Shares, share{s.Account, units(s.Units)})
	}
	slices.SortFunc(out.Shares, func(a, b share) int { return strings.Compare(a.Account, b.Account) })
	return frames.Encode(&out)
}

// EncodePoll is the bytes of a lender's nudge.
func EncodePoll(from string) []byte { return frames.Encode(&nudge{Format, kindNudge, from}) }

// EncodeRedirect is the bytes of a word that this voter does not lend.
func EncodeRedirect(a Redirect) []byte {
	return frames.Encode(&away{Format, kindAway, a.From, a.Leader})
}

func units(n int) uint64 { return uint64(min(max(n, 0), quota.MaxUnits)) }

// ReadMessage reads one framed message from a link. A longer one than MaxFrame is not read.
func ReadMessage(r io.Reader) (Message, error) {
	p, err := frames.ReadFrame(r, MaxFrame)
	if err != nil {
		return Message{}, err
	}
	return Decode(p)
}

// Decode reads a message. Its error wraps ErrMessage; the link is of no use after one.
func Decode(p []byte) (m Message, err error) {
	if len(p) > MaxFrame {
		return m, fmt.Errorf("%w: %d bytes, at most %d", ErrMessage, len(p), MaxFrame)
	}
	if p, err = frames.StripChecksum(p); err != nil {
		return m, err
	}
	kind, err := frames.Kind(p, Format)
	if err != nil {
		return m, err
	}
	switch kind {
	case kindAsk:
		m.Request, err = readAsk(p)
	case kindAnswer:
		m.Response, err = readAnswer(p)
	case kindNudge:
		var n nudge
		if err = frames.Decode(p, &n); err == nil {
			m.Poll, err = &n.From, names(n.From)
		}
	case kindAway:
		var a away
		if err = frames.Decode(p, &a); err == nil {
			m.Redirect, err = &Redirect{a.From, a.Leader}, names(a.From, a.Leader)
		}
	default:
		err = fmt.Errorf("%w: kind %q", ErrMessage, kind)
	}
	if err != nil {
		return Message{}, err
	}
	return m, nil
}

func readAsk(p []byte) (*LeaseRequest, error) {
	var a ask
	if err := frames.Decode(p, &a); err != nil {
		return nil, err
	}
	if err := common(a.To, a.Child, len(a.Lines), func(i int) string { return a.Lines[i].Account }); err != nil {
		return nil, err
	}
	out := &LeaseRequest{a.To, quota.LeaseRequest{Child: a.Child, Epoch: a.Epoch, Seq: a.Seq, LenderIncarnation: a.Lender, Full: a.Base == 0, BaseSeq: a.Base, Recovering: a.Fresh}}
	for _, l := range a.Lines {
		if max(l.Held, l.Used, l.Want) > quota.MaxUnits {
			return nil, fmt.Errorf("%w: an ask has more than %d units", ErrMessage, quota.MaxUnits)
		}
		out.Reports = append(out.Reports, quota.AccountReport{Account: l.Account, Held: int(l.Held), Used: int(l.Used), Demand: int(l.Want)})
	}
	return out, nil
}

func readAnswer(p []byte) (*LeaseResponse, error) {
	var a answer
	if err := frames.Decode(p, &a); err != nil {
		return nil, err
	}
	if err := common(a.From, a.Child, len(a.Shares), func(i int) string { return a.Shares[i].Account }); err != nil {
		return nil, err
	}
	out := &LeaseResponse{a.From, quota.LeaseResponse{Lease: time.Duration(a.Lease) * time.Millisecond,
		Child: a.Child, Epoch: a.Epoch, Seq: a.Seq, LenderIncarnation: a.Lender, ResendFull: a.Again, NoRecord: a.Unsure}}
	for _, s := range a.Shares {
		if s.Units > quota.MaxUnits {
			return nil, fmt.Errorf("%w: an answer has more than %d units", ErrMessage, quota.MaxUnits)
		}
		out.Allocations = append(out.Allocations, quota.Allocation{Account: s.Account, Units: int(s.Units)})
	}
	return out, nil
}

// common checks what asks and answers have alike: the accounts rise, so that none stands twice.
func common(lender, child string, n int, account func(int) string) error {
	if child == "" {
		return fmt.Errorf("%w: no child's name", ErrMessage)
	}
	if err := names(lender, child); err != nil {
		return err
	}
	if n > quota.MaxAccounts {
		return fmt.Errorf("%w: %d accounts, at most %d", ErrMessage, n, quota.MaxAccounts)
	}
	for i := range n {
		if len(account(i)) > quota.MaxName {
			return fmt.Errorf("%w: an account of %d bytes", ErrMessage, len(account(i)))
		}
		if i > 0 && account(i-1) >= account(i) {
			return fmt.Errorf("%w: an account is repeated or out of order", ErrMessage)
		}
	}
	return nil
}

func names(all ...string) error {
	for _, name := range all {
		if len(name) > quota.MaxName {
			return fmt.Errorf("%w: a name of %d bytes", ErrMessage, len(name))
		}
	}
	return nil
}
