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

type accountReport struct {
	Account string `msgpack:"a"`
	Held    uint64 `msgpack:"h"`
	Used    uint64 `msgpack:"u"`
	Demand  uint64 `msgpack:"w"`
}

type allocation struct {
	Account string `msgpack:"a"`
	Units   uint64 `msgpack:"n"`
}

// Lists are read by their own length first: the library makes room for as many as the message says there are.
type (
	accountReports []accountReport
	allocations    []allocation
)

func (l *accountReports) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeList(d, (*[]accountReport)(l))
}
func (s *allocations) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeList(d, (*[]allocation)(s))
}

func decodeList[T any](d *msgpack.Decoder, to *[]T) error {
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

type leaseRequest struct {
	Format            uint8          `msgpack:"f"`
	Kind              string         `msgpack:"kind"`
	To                string         `msgpack:"to"`
	Child             string         `msgpack:"child"`
	Epoch             uint64         `msgpack:"epoch"`
	Seq               uint64         `msgpack:"seq"`
	LenderIncarnation uint64         `msgpack:"lender"`
	BaseSeq           uint64         `msgpack:"b"` // 0: all lines are here
	Recovering        bool           `msgpack:"fresh"`
	Reports           accountReports `msgpack:"lines"`
}

type leaseResponse struct {
	Format            uint8       `msgpack:"f"`
	Kind              string      `msgpack:"kind"`
	From              string      `msgpack:"from"`
	Child             string      `msgpack:"child"`
	Epoch             uint64      `msgpack:"epoch"`
	Seq               uint64      `msgpack:"seq"`
	LenderIncarnation uint64      `msgpack:"lender"`
	Lease             uint32      `msgpack:"l"` // ms
	ResendFull        bool        `msgpack:"again"`
	NoRecord          bool        `msgpack:"unsure"`
	Allocations       allocations `msgpack:"shares"`
}

type poll struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	From   string `msgpack:"from"`
}

type redirect struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	From   string `msgpack:"from"`
	Leader string `msgpack:"leader"`
}

// Kinds.
const (
	kindLeaseRequest  = "ask"
	kindLeaseResponse = "answer"
	kindPoll          = "nudge"
	kindRedirect      = "away"
)

// EncodeLeaseRequest is the bytes of an ask, its lines in the order of accounts.
func EncodeLeaseRequest(a LeaseRequest) []byte {
	base := a.BaseSeq
	if a.Full {
		base = 0
	}
	out := leaseRequest{Format, kindLeaseRequest, a.To, a.Child, a.Epoch, a.Seq, a.LenderIncarnation, base, a.Recovering, make(accountReports, 0, len(a.Reports))}
	for _, l := range a.Reports {
		out.Reports = append(out.Reports, accountReport{l.Account, clampUnits(l.Held), clampUnits(l.Used), clampUnits(l.Demand)})
	}
	slices.SortFunc(out.Reports, func(a, b accountReport) int { return strings.Compare(a.Account, b.Account) })
	return frames.Encode(&out)
}

// EncodeLeaseResponse is the bytes of an answer, its shares in the order of accounts.
func EncodeLeaseResponse(a LeaseResponse) []byte {
	out := leaseResponse{Format, kindLeaseResponse, a.From, a.Child, a.Epoch, a.Seq, a.LenderIncarnation, uint32(min(max(a.Lease.Milliseconds(), 0), math.MaxUint32)), a.ResendFull, a.NoRecord, make(allocations, 0, len(a.Allocations))}
	for _, s := range a.Allocations {
		out.Allocations = append(out.Allocations, allocation{s.Account, clampUnits(s.Units)})
	}
	slices.SortFunc(out.Allocations, func(a, b allocation) int { return strings.Compare(a.Account, b.Account) })
	return frames.Encode(&out)
}

// EncodePoll is the bytes of a lender's nudge.
func EncodePoll(from string) []byte { return frames.Encode(&poll{Format, kindPoll, from}) }

// EncodeRedirect is the bytes of a word that this voter does not lend.
func EncodeRedirect(a Redirect) []byte {
	return frames.Encode(&redirect{Format, kindRedirect, a.From, a.Leader})
}

func clampUnits(n int) uint64 { return uint64(min(max(n, 0), quota.MaxUnits)) }

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
	case kindLeaseRequest:
		m.Request, err = decodeLeaseRequest(p)
	case kindLeaseResponse:
		m.Response, err = decodeLeaseResponse(p)
	case kindPoll:
		var n poll
		if err = frames.Decode(p, &n); err == nil {
			m.Poll, err = &n.From, checkNames(n.From)
		}
	case kindRedirect:
		var a redirect
		if err = frames.Decode(p, &a); err == nil {
			m.Redirect, err = &Redirect{a.From, a.Leader}, checkNames(a.From, a.Leader)
		}
	default:
		err = fmt.Errorf("%w: kind %q", ErrMessage, kind)
	}
	if err != nil {
		return Message{}, err
	}
	return m, nil
}

func decodeLeaseRequest(p []byte) (*LeaseRequest, error) {
	var a leaseRequest
	if err := frames.Decode(p, &a); err != nil {
		return nil, err
	}
	if err := checkCommon(a.To, a.Child, len(a.Reports), func(i int) string { return a.Reports[i].Account }); err != nil {
		return nil, err
	}
	out := &LeaseRequest{a.To, quota.LeaseRequest{Child: a.Child, Epoch: a.Epoch, Seq: a.Seq, LenderIncarnation: a.LenderIncarnation, Full: a.BaseSeq == 0, BaseSeq: a.BaseSeq, Recovering: a.Recovering}}
	for _, l := range a.Reports {
		if max(l.Held, l.Used, l.Demand) > quota.MaxUnits {
			return nil, fmt.Errorf("%w: an ask has more than %d units", ErrMessage, quota.MaxUnits)
		}
		out.Reports = append(out.Reports, quota.AccountReport{Account: l.Account, Held: int(l.Held), Used: int(l.Used), Demand: int(l.Demand)})
	}
	return out, nil
}

func decodeLeaseResponse(p []byte) (*LeaseResponse, error) {
	var a leaseResponse
	if err := frames.Decode(p, &a); err != nil {
		return nil, err
	}
	if err := checkCommon(a.From, a.Child, len(a.Allocations), func(i int) string { return a.Allocations[i].Account }); err != nil {
		return nil, err
	}
	out := &LeaseResponse{a.From, quota.LeaseResponse{Lease: time.Duration(a.Lease) * time.Millisecond,
		Child: a.Child, Epoch: a.Epoch, Seq: a.Seq, LenderIncarnation: a.LenderIncarnation, ResendFull: a.ResendFull, NoRecord: a.NoRecord}}
	for _, s := range a.Allocations {
		if s.Units > quota.MaxUnits {
			return nil, fmt.Errorf("%w: an answer has more than %d units", ErrMessage, quota.MaxUnits)
		}
		out.Allocations = append(out.Allocations, quota.Allocation{Account: s.Account, Units: int(s.Units)})
	}
	return out, nil
}

// checkCommon checks what asks and answers have alike: the accounts rise, so that none stands twice.
func checkCommon(lender, child string, n int, account func(int) string) error {
	if child == "" {
		return fmt.Errorf("%w: no child's name", ErrMessage)
	}
	if err := checkNames(lender, child); err != nil {
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

func checkNames(all ...string) error {
	for _, name := range all {
		if len(name) > quota.MaxName {
			return fmt.Errorf("%w: a name of %d bytes", ErrMessage, len(name))
		}
	}
	return nil
}
