// Package handover decides how one process of a dispatcher takes over from another, and defines the
// messages that they exchange. It is given bytes and times; it does no I/O and reads no clock.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"tinsail/internal/maintenance"
)

// Version is the version of the messages. A process refuses any other version, and the new process
// then serves on a listener of its own.
const Version = 1

// A message is four bytes of magic, four bytes of length (big-endian), and JSON. The limits hold at
// both ends: a longer message is not read.
const (
	magic           = "THO1"
	headerLength    = len(magic) + 4
	MaxHello        = 4 << 10
	MaxState        = 8 << 20
	MaxStatusUpdate = 64 << 10
)

// Hello is the first message of a new process.
type Hello struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Listen  string `json:"listen"`
}

// State is the old process's reply: all that it knows, or why it refuses the hand-over. The
// descriptors of the listeners are sent with it, in the order of Listeners.
type State struct {
	Version      int                `json:"version"`
	Refused      string             `json:"refused,omitempty"`
	Busy         bool               `json:"busy,omitempty"` // refused because another hand-over is under way
	Listeners    []string           `json:"listeners,omitempty"`
	MaxSockets   int                `json:"sockets"` // descriptors that the new process may hold
	MemoryBytes  int64              `json:"memory"`  // memory that the new process may use
	OutOfService bool               `json:"out"`     // the operators took the dispatcher out of service
	Marks        []maintenance.Mark `json:"marks,omitempty"`
	List         []Backend          `json:"list,omitempty"`
	IDs          IDKeys             `json:"ids,omitempty"` // keys of the request IDs in use
}

// Backend is one entry of the list of backends, as the source reports it.
type Backend struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Kind    int     `json:"kind"`
	Zone    int     `json:"zone"`
	Cell    int     `json:"cell"`
	State   uint8   `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started"`
}

// StatusUpdate is a later message from either process. Each message carries one update.
type StatusUpdate struct {
	Ready            bool              `json:"ready,omitempty"`    // from the new process: it accepts connections
	StoppedAccepting bool              `json:"taken,omitempty"`    // from the old process: it no longer accepts
	MaxSockets       int               `json:"sockets,omitempty"`  // from the old process: descriptors that the new one may hold from now on
	Mark             *maintenance.Mark `json:"mark,omitempty"`     // from either
	OutOfService     *bool             `json:"out,omitempty"`      // from either: taken out of service, or returned
	IDs              IDKeys            `json:"ids,omitempty"`      // from either: keys of request IDs that are in use from now on, or were until now
	GivenUp          bool              `json:"given_up,omitempty"` // from the old process: it serves on, and the new one has to end
}

// AppendMessage encodes a message and appends it to b.
func AppendMessage(b []byte, message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return b, err
	}
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...), nil
}

// Reader splits received bytes into messages. MaxBytes is the limit of the next one; the owner may
// change it between messages.
type Reader struct {
	MaxBytes int
	buffered []byte
	err      error
}

var errMagic = errors.New("not a hand-over message")

// Fill adds received bytes; they are copied.
func (r *Reader) Fill(b []byte) { r.buffered = append(r.buffered, b...) }

// Next returns the JSON of the next message, or nil while more bytes are needed. The result is
// valid until the next call of Fill. After an error the reader returns only that error.
func (r *Reader) Next() ([]byte, error) {
	if r.err != nil {
		return nil, r.err
	}
	n := min(len(r.buffered), len(magic))
	if string(r.buffered[:n]) != magic[:n] {
		r.err = errMagic
		return nil, r.err
	}
	if len(r.buffered) < headerLength {
		return nil, nil
	}
	size := int(binary.BigEndian.Uint32(r.buffered[len(magic):headerLength]))
	if size > r.MaxBytes {
		r.err = fmt.Errorf("message of %d bytes exceeds the limit of %d", size, r.MaxBytes)
		return nil, r.err
	}
	if len(r.buffered) < headerLength+size {
		return nil, nil
	}
	text := r.buffered[headerLength : headerLength+size : headerLength+size]
	r.buffered = r.buffered[headerLength+size:]
	return text, nil
}
