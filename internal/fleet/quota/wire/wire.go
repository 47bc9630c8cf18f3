// Package wire encodes the messages by which quotas are lent (docs/design/quota.md). A message is a msgpack map with a
// format number, a kind and a checksum, in the encoding of package frames. The package uses no socket and no clock.
//
// Each message names the lender that it goes to or comes from: a region's lender by the region's name, the root by the
// empty string.
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

// Format is the format number of every message.
const Format = 1

// MaxFrame is the most bytes of a message, a limit that protects against a peer that sends too much. It has space for as
// many reports as a lender has accounts, with their keys and numbers, and for the message's other fields.
const MaxFrame = quota.MaxAccounts*(quota.MaxName+32) + 1024

// ErrMessage is wrapped by every error about a message's bytes.
var ErrMessage = frames.ErrMessage

// LeaseRequest is a holder's request to the lender To.
type LeaseRequest struct {
	To string
	quota.LeaseRequest
}

// LeaseResponse is the response of the lender From.
type LeaseResponse struct {
	From string
	quota.LeaseResponse
}

// Redirect says that the voter that sent it does not lend as From. For the root it also names the voter that does, as far as
// the sender knows.
type Redirect struct{ From, Leader string }

// Message is a message of any kind. Exactly one field is set.
type Message struct {
	Request  *LeaseRequest
	Response *LeaseResponse
	Poll     *string // from this lender: the holder should send a request now
	Redirect *Redirect
}

// accountReport is the encoded form of quota.AccountReport.
type accountReport struct {
	Account string `msgpack:"a"`
	Held    uint64 `msgpack:"h"`
	Used    uint64 `msgpack:"u"`
	Demand  uint64 `msgpack:"w"`
}

// allocation is the encoded form of quota.Allocation.
type allocation struct {
	Account string `msgpack:"a"`
	Units   uint64 `msgpack:"n"`
}

// Lists have decoders of their own that check the length first: the library allocates as many elements as the message
// claims to have.
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

// decodeList decodes a list of at most quota.MaxAccounts elements.
func decodeList[T any](d *msgpack.Decoder, to *[]T) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 0 || n > quota.MaxAccounts {
		return fmt.Errorf("list has %d accounts, limit is %d", n, quota.MaxAccounts)
	}
	*to = make([]T, n)
	for i := range *to {
		if err := d.Decode(&(*to)[i]); err != nil {
			return err
		}
	}
	return nil
}

// leaseRequest is the encoded form of LeaseRequest.
type leaseRequest struct {
	Format            uint8          `msgpack:"f"`
	Kind              string         `msgpack:"kind"`
	To                string         `msgpack:"to"`
	Child             string         `msgpack:"child"`
	Epoch             uint64         `msgpack:"epoch"`
	Seq               uint64         `msgpack:"seq"`
	LenderIncarnation uint64         `msgpack:"lender"`
	BaseSeq           uint64         `msgpack:"b"` // 0: the request is full
	Recovering        bool           `msgpack:"fresh"`
	Reports           accountReports `msgpack:"lines"`
}

// leaseResponse is the encoded form of LeaseResponse.
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

// poll is the encoded form of a poll.
type poll struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	From   string `msgpack:"from"`
}

// redirect is the encoded form of Redirect.
type redirect struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	From   string `msgpack:"from"`
	Leader string `msgpack:"leader"`
}

// Kinds of messages.
const (
	kindLeaseRequest  = "ask"
	kindLeaseResponse = "answer"
	kindPoll          = "nudge"
	kindRedirect      = "away"
)

// EncodeLeaseRequest encodes a request with its reports sorted by account.
func EncodeLeaseRequest(r LeaseRequest) []byte {
	base := r.BaseSeq
	if r.Full {
		base = 0
	}
	out := leaseRequest{Format, kindLeaseRequest, r.To, r.Child, r.Epoch, r.Seq, r.LenderIncarnation, base, r.Recovering,
		make(accountReports, 0, len(r.Reports))}
	for _, report := range r.Reports {
		out.Reports = append(out.Reports, accountReport{report.Account, clampUnits(report.Held), clampUnits(report.Used),
			clampUnits(report.Demand)})
	}
	slices.SortFunc(out.Reports, func(a, b accountReport) int { return strings.Compare(a.Account, b.Account) })
	return frames.Encode(&out)
}

// EncodeLeaseResponse encodes a response with its allocations sorted by account.
func EncodeLeaseResponse(r LeaseResponse) []byte {
	out := leaseResponse{Format, kindLeaseResponse, r.From, r.Child, r.Epoch, r.Seq, r.LenderIncarnation,
		uint32(min(max(r.Lease.Milliseconds(), 0), math.MaxUint32)), r.ResendFull, r.NoRecord, make(allocations, 0, len(r.Allocations))}
	for _, allocated := range r.Allocations {
		out.Allocations = append(out.Allocations, allocation{allocated.Account, clampUnits(allocated.Units)})
	}
	slices.SortFunc(out.Allocations, func(a, b allocation) int { return strings.Compare(a.Account, b.Account) })
	return frames.Encode(&out)
}

// EncodePoll encodes a poll by the lender from.
func EncodePoll(from string) []byte { return frames.Encode(&poll{Format, kindPoll, from}) }

// EncodeRedirect encodes a redirect.
func EncodeRedirect(r Redirect) []byte {
	return frames.Encode(&redirect{Format, kindRedirect, r.From, r.Leader})
}

// clampUnits limits units to what the receiver accepts.
func clampUnits(n int) uint64 { return uint64(min(max(n, 0), quota.MaxUnits)) }

// ReadMessage reads one framed message from a connection. It refuses one longer than MaxFrame.
func ReadMessage(r io.Reader) (Message, error) {
	p, err := frames.ReadFrame(r, MaxFrame)
	if err != nil {
		return Message{}, err
	}
	return Decode(p)
}

// Decode decodes a message. Its errors wrap ErrMessage; after one the connection must be closed.
func Decode(p []byte) (m Message, err error) {
	if len(p) > MaxFrame {
		return m, fmt.Errorf("%w: message has %d bytes, limit is %d", ErrMessage, len(p), MaxFrame)
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
		err = fmt.Errorf("%w: unknown kind %q", ErrMessage, kind)
	}
	if err != nil {
		return Message{}, err
	}
	return m, nil
}

func decodeLeaseRequest(p []byte) (*LeaseRequest, error) {
	var r leaseRequest
	if err := frames.Decode(p, &r); err != nil {
		return nil, err
	}
	if err := checkCommon(r.To, r.Child, len(r.Reports), func(i int) string { return r.Reports[i].Account }); err != nil {
		return nil, err
	}
	out := &LeaseRequest{r.To, quota.LeaseRequest{Child: r.Child, Epoch: r.Epoch, Seq: r.Seq, LenderIncarnation: r.LenderIncarnation,
		Full: r.BaseSeq == 0, BaseSeq: r.BaseSeq, Recovering: r.Recovering}}
	for _, report := range r.Reports {
		if max(report.Held, report.Used, report.Demand) > quota.MaxUnits {
			return nil, fmt.Errorf("%w: lease request has more than %d units", ErrMessage, quota.MaxUnits)
		}
		out.Reports = append(out.Reports, quota.AccountReport{Account: report.Account, Held: int(report.Held), Used: int(report.Used),
			Demand: int(report.Demand)})
	}
	return out, nil
}

func decodeLeaseResponse(p []byte) (*LeaseResponse, error) {
	var r leaseResponse
	if err := frames.Decode(p, &r); err != nil {
		return nil, err
	}
	if err := checkCommon(r.From, r.Child, len(r.Allocations), func(i int) string { return r.Allocations[i].Account }); err != nil {
		return nil, err
	}
	out := &LeaseResponse{r.From, quota.LeaseResponse{Lease: time.Duration(r.Lease) * time.Millisecond,
		Child: r.Child, Epoch: r.Epoch, Seq: r.Seq, LenderIncarnation: r.LenderIncarnation,
		ResendFull: r.ResendFull, NoRecord: r.NoRecord}}
	for _, allocated := range r.Allocations {
		if allocated.Units > quota.MaxUnits {
			return nil, fmt.Errorf("%w: lease response has more than %d units", ErrMessage, quota.MaxUnits)
		}
		out.Allocations = append(out.Allocations, quota.Allocation{Account: allocated.Account, Units: int(allocated.Units)})
	}
	return out, nil
}

// checkCommon checks what requests and responses have in common. Accounts must be sorted, so that none occurs twice.
func checkCommon(lender, child string, n int, account func(int) string) error {
	if child == "" {
		return fmt.Errorf("%w: child has no name", ErrMessage)
	}
	if err := checkNames(lender, child); err != nil {
		return err
	}
	if n > quota.MaxAccounts {
		return fmt.Errorf("%w: message has %d accounts, limit is %d", ErrMessage, n, quota.MaxAccounts)
	}
	for i := range n {
		if len(account(i)) > quota.MaxName {
			return fmt.Errorf("%w: account name of %d bytes is too long", ErrMessage, len(account(i)))
		}
		if i > 0 && account(i-1) >= account(i) {
			return fmt.Errorf("%w: account is repeated or out of order", ErrMessage)
		}
	}
	return nil
}

// checkNames checks the length of names.
func checkNames(all ...string) error {
	for _, name := range all {
		if len(name) > quota.MaxName {
			return fmt.Errorf("%w: name of %d bytes is too long", ErrMessage, len(name))
		}
	}
	return nil
}
