// Package frames is what the messages between dispatchers have in common: a msgpack map that begins with a
// format number and a kind, the CRC-32C of it behind it, and its length before it on a link. It knows no
// message, no socket and no clock.
//
// Reading is strict: what is read must be, byte by byte, what writing it again gives. That refuses
// an unknown, a missing or a repeated key, another format, a value written in another width and
// bytes after the end, all of which are a peer of another version or a damaged message.
//
// The sum is four bytes, big endian. msgpack has none of its own, and one changed byte of a number or a body
// reads as well as before; TCP's own sum is 16 bits, and a voter's disk has none.
package frames

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMessage is wrapped by every fault of a message; the link is of no use after one.
var ErrMessage = errors.New("bad message")

// Header is the two fields that every message begins with.
type Header struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendChecksum puts the sum behind a map.
func AppendChecksum(p []byte) []byte {
	return binary.BigEndian.AppendUint32(p, crc32.Checksum(p, castagnoli))
}

// StripChecksum takes it off, and refuses one that is not right.
func StripChecksum(p []byte) ([]byte, error) {
	if n := len(p) - 4; n >= 0 && binary.BigEndian.Uint32(p[n:]) == crc32.Checksum(p[:n], castagnoli) {
		return p[:n], nil
	}
	return nil, fmt.Errorf("%w: its sum is not right", ErrMessage)
}

// Encode is a struct of plain fields as a map with its sum.
func Encode(v any) []byte { return AppendChecksum(encodeMap(v)) }

func encodeMap(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil { // plain fields into memory: nothing can fail
		panic(err)
	}
	return b.Bytes()
}

// Decode reads the map p, without its sum, into v, and refuses what Encode would not have written.
func Decode(p []byte, v any) error {
	d := msgpack.NewDecoder(bytes.NewReader(p))
	d.DisallowUnknownFields(true)
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if !bytes.Equal(encodeMap(v), p) {
		return fmt.Errorf("%w: a field is missing, repeated or written otherwise", ErrMessage)
	}
	return nil
}

// Kind reads the two fields of the head; another format is refused.
func Kind(p []byte, format uint64) (string, error) {
	d := msgpack.NewDecoder(bytes.NewReader(p))
	bad := func(what string) (string, error) { return "", fmt.Errorf("%w: %s", ErrMessage, what) }
	if n, err := d.DecodeMapLen(); err != nil || n < 2 {
		return bad("no map of fields")
	}
	if key, err := d.DecodeString(); err != nil || key != "f" {
		return bad("no format")
	}
	if f, err := d.DecodeUint64(); err != nil || f != format {
		return bad(fmt.Sprintf("format %d, want %d", f, format))
	}
	if key, err := d.DecodeString(); err != nil || key != "kind" {
		return bad("no kind")
	}
	kind, err := d.DecodeString()
	if err != nil {
		return bad("no kind")
	}
	return kind, nil
}

// Frame puts a message's length before it.
func Frame(p []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(p)), uint32(len(p))), p...)
}

// ReadFrame reads one framed message of at most so many bytes from a link. A longer one is not read.
func ReadFrame(r io.Reader, most int) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if int64(n) > int64(most) {
		return nil, fmt.Errorf("%w: a frame of %d bytes, at most %d", ErrMessage, n, most)
	}
	var b bytes.Buffer // grows with what comes: a length alone takes no memory
	if _, err := io.CopyN(&b, r, int64(n)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
