// Package handover decides how one process of a dispatcher takes over from another, and holds the
// messages that they exchange. It is fed bytes and times; it knows no socket and reads no clock.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"tinsail/internal/maintenance"
)

// Version of the messages. One that is not known is refused, and the new process serves on a listener of its own.
const Version = 1

// A message is four bytes of magic, four of length (big-endian), and JSON. Bounds hold for both ends:
// what is longer is not read.
const (
	magic           = "THO1"
	headerLength    = len(magic) + 4
	MaxHello        = 4 << 10
	MaxState        = 8 << 20
	MaxStatusUpdate = 64 << 10
)

// Hello is what a new process says first.
type Hello struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Listen  string `json:"listen"`
}

// State is what it is told: all that the old process knows, or why it is told nothing. Descriptors come
// along in the order of Listeners.
type State struct {
	Version      int                `json:"version"`
	Refused      string             `json:"refused,omitempty"`
	Busy         bool               `json:"busy,omitempty"` // refused since another hand-over is under way
	Listeners    []string           `json:"listeners,omitempty"`
	MaxSockets   int                `json:"sockets"` // descriptors that the new process may hold
	MemoryBytes  int64              `json:"memory"`  // bytes
	OutOfService bool               `json:"out"`     // of service
	Marks        []maintenance.Mark `json:"marks,omitempty"`
	List         []Backend          `json:"list,omitempty"`
}

// Backend is a line of the list, as the source has it.
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

// StatusUpdate are what either says afterwards, one thing a message.
type StatusUpdate struct {
	Ready            bool              `json:"ready,omitempty"`   // new: it accepts
	StoppedAccepting bool              `json:"taken,omitempty"`   // old: it does not accept any more
	MaxSockets       int               `json:"sockets,omitempty"` // old: so many the new one may hold from now on
	Mark             *maintenance.Mark `json:"mark,omitempty"`    // either
	OutOfService     *bool             `json:"out,omitempty"`     // either: of service, or back
}

// AppendMessage writes a message.
func AppendMessage(b []byte, message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return b, err
	}
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...), nil
}

// Reader takes messages out of the bytes that come. Most bounds the next one.
type Reader struct {
	MaxBytes int
	b        []byte
	err      error
}

var errMagic = errors.New("not a message of a hand-over")

// Fill takes in bytes; they are copied.
func (r *Reader) Fill(b []byte) { r.b = append(r.b, b...) }

// Next returns the next message's JSON, or nil while more bytes are due. What it returned before may be
// overwritten by Fill. After an error there is no going on.
func (r *Reader) Next() ([]byte, error) {
	if r.err != nil {
		return nil, r.err
	}
	n := min(len(r.b), len(magic))
	if string(r.b[:n]) != magic[:n] {
		r.err = errMagic
		return nil, r.err
	}
	if len(r.b) < headerLength {
		return nil, nil
	}
	size := int(binary.BigEndian.Uint32(r.b[len(magic):headerLength]))
	if size > r.MaxBytes {
		r.err = fmt.Errorf("a message of %d bytes, at most %d are read", size, r.MaxBytes)
		return nil, r.err
	}
	if len(r.b) < headerLength+size {
		return nil, nil
	}
	text := r.b[headerLength : headerLength+size : headerLength+size]
	r.b = r.b[headerLength+size:]
	return text, nil
}
