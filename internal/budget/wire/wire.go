// Package wire encodes and decodes the messages by which dispatchers share a budget: lease requests (of the kind ask)
// and grants (package budget), each in a UDP datagram of its own. A message is a line of text, so that it can be read
// in a packet capture.
//
//	TSB2 ask connections n17 9034128871 42 600 0 2308a3e5
//	TSB2 grant connections n17 9034128871 42 25 800 9f26f500
//
// The fields are: the format's version, the kind, the budget's name, the name of the peer that sent the request, its
// epoch, the request's number, the units wanted or granted, the total of the keeper's plan (0 in a request), and the
// CRC-32C in hex of everything before it, the space included. The checksum is needed because a units field with one
// digit changed in transit is still valid and would lift the sum of the shares above the total; UDP's own checksum has
// 16 bits and is optional.
//
// The package uses no socket and no clock.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"

	"tinsail/internal/budget"
)

// Limits of a message, as protection from peers that send too much.
const (
	MaxMessage = 256       // bytes of a datagram; a longer one is refused
	MaxName    = 64        // bytes of a budget's or peer's name
	MaxUnits   = 1_000_000 // units wanted, granted or in total; no budget is larger
	version    = "TSB2"
)

// Message is a decoded datagram: a lease request or a grant of one budget.
type Message struct {
	Budget       string
	LeaseRequest *budget.LeaseRequest // nil unless it is a lease request
	Grant        *budget.Grant        // nil unless it is a grant
}

// ErrMessage is wrapped by every error of Decode.
var ErrMessage = errors.New("bad budget message")

// AppendLeaseRequest appends the encoded lease request for the budget called name to b.
func AppendLeaseRequest(b []byte, name string, r budget.LeaseRequest) []byte {
	start := len(b)
	return appendChecksum(fmt.Appendf(b, "%s ask %s %s %d %d %d 0 ", version, name, r.Peer, r.Epoch, r.Seq, r.Wanted), start)
}

// AppendGrant appends the encoded grant of the budget called name to b.
func AppendGrant(b []byte, name string, g budget.Grant) []byte {
	start := len(b)
	return appendChecksum(fmt.Appendf(b, "%s grant %s %s %d %d %d %d ", version, name, g.Peer, g.Epoch, g.Seq, g.Units, g.Total), start)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendChecksum appends the checksum and the line end to the message that begins at start.
func appendChecksum(b []byte, start int) []byte {
	return fmt.Appendf(b, "%08x\n", crc32.Checksum(b[start:], castagnoli))
}

// Decode decodes one datagram. Its error names the invalid field and wraps ErrMessage.
func Decode(p []byte) (Message, error) {
	if len(p) > MaxMessage {
		return Message{}, fmt.Errorf("%w: %d bytes, at most %d", ErrMessage, len(p), MaxMessage)
	}
	f := bytes.Fields(p)
	if len(f) != 9 {
		return Message{}, fmt.Errorf("%w: %d fields, want 9", ErrMessage, len(f))
	}
	if string(f[0]) != version {
		return Message{}, fmt.Errorf("%w: version %q, want %s", ErrMessage, f[0], version)
	}
	// The checksum must follow the last space, and a newline must follow it: any other message is refused here.
	at := bytes.LastIndexByte(p, ' ') + 1
	if want := appendChecksum(p[:at:at], 0); !bytes.Equal(want, p) {
		return Message{}, fmt.Errorf("%w: checksum %q, want %q", ErrMessage, f[8], bytes.TrimSpace(want[at:]))
	}
	var m Message
	var err error
	if m.Budget, err = parseName("budget", f[2]); err != nil {
		return Message{}, err
	}
	peer, err := parseName("peer", f[3])
	if err != nil {
		return Message{}, err
	}
	epoch, err1 := strconv.ParseUint(string(f[4]), 10, 64)
	seq, err2 := strconv.ParseUint(string(f[5]), 10, 64)
	units, err3 := strconv.Atoi(string(f[6]))
	total, err4 := strconv.Atoi(string(f[7]))
	switch {
	case err1 != nil:
		return Message{}, fmt.Errorf("%w: epoch %q", ErrMessage, f[4])
	case err2 != nil:
		return Message{}, fmt.Errorf("%w: seq %q", ErrMessage, f[5])
	case err3 != nil || units < 0 || units > MaxUnits:
		return Message{}, fmt.Errorf("%w: units %q, want 0 to %d", ErrMessage, f[6], MaxUnits)
	case err4 != nil || total < 0 || total > MaxUnits:
		return Message{}, fmt.Errorf("%w: total %q, want 0 to %d", ErrMessage, f[7], MaxUnits)
	}
	switch string(f[1]) {
	case "ask":
		m.LeaseRequest = &budget.LeaseRequest{Peer: peer, Epoch: epoch, Seq: seq, Wanted: units}
	case "grant":
		m.Grant = &budget.Grant{Peer: peer, Epoch: epoch, Seq: seq, Units: units, Total: total}
	default:
		return Message{}, fmt.Errorf("%w: kind %q, want ask or grant", ErrMessage, f[1])
	}
	return m, nil
}

// parseName returns the name of a budget or peer. field says which, for the error.
func parseName(field string, b []byte) (string, error) {
	if len(b) == 0 || len(b) > MaxName {
		return "", fmt.Errorf("%w: %s of %d bytes, want 1 to %d", ErrMessage, field, len(b), MaxName)
	}
	for _, c := range b {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return "", fmt.Errorf("%w: %s %q contains the byte %q, want letters, digits, dots, - and _", ErrMessage, field, b, c)
		}
	}
	return string(b), nil
}
