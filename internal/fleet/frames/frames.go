// Package frames implements the common format of the messages between dispatchers: a msgpack map that begins with a
// format number and a kind, followed by the map's CRC-32C checksum, and preceded by the length on a connection. The
// package knows no particular message and uses no socket and no clock.
//
// Decoding is strict: encoding the decoded message again must give the same bytes. This refuses an unknown, a missing
// or a repeated key, another format, a value of another width and bytes after the end. All of these mean that the peer
// has another version or that the message is damaged.
//
// The checksum has four bytes, big endian. It is there because msgpack has none, so that a changed byte of a number or
// a body would go unnoticed; TCP's checksum has only 16 bits, and a voter's disk has none.
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

// ErrMessage is wrapped by every error about a message's bytes; after one the connection must be closed.
var ErrMessage = errors.New("bad message")

// Header holds the two fields that every message begins with.
type Header struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendChecksum appends the checksum of an encoded map to it.
func AppendChecksum(p []byte) []byte {
	return binary.BigEndian.AppendUint32(p, crc32.Checksum(p, castagnoli))
}

// StripChecksum returns the encoded map without its checksum, or an error if the checksum is wrong.
func StripChecksum(p []byte) ([]byte, error) {
	if n := len(p) - 4; n >= 0 && binary.BigEndian.Uint32(p[n:]) == crc32.Checksum(p[:n], castagnoli) {
		return p[:n], nil
	}
	return nil, fmt.Errorf("%w: wrong checksum", ErrMessage)
}

// Encode encodes a struct of plain fields as a map with its checksum.
func Encode(v any) []byte { return AppendChecksum(encodeMap(v)) }

func encodeMap(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil { // cannot happen: plain fields are encoded into memory
		panic(err)
	}
	return b.Bytes()
}

// Decode decodes the map p, without its checksum, into v. It refuses bytes that Encode would not have written.
func Decode(p []byte, v any) error {
	d := msgpack.NewDecoder(bytes.NewReader(p))
	d.DisallowUnknownFields(true)
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if !bytes.Equal(encodeMap(v), p) {
		return fmt.Errorf("%w: a field is missing, repeated or not in its canonical encoding", ErrMessage)
	}
	return nil
}

// Kind reads the header of an encoded map and returns the kind. It refuses any format but the given one.
func Kind(p []byte, format uint64) (string, error) {
	d := msgpack.NewDecoder(bytes.NewReader(p))
	fail := func(what string) (string, error) { return "", fmt.Errorf("%w: %s", ErrMessage, what) }
	if n, err := d.DecodeMapLen(); err != nil || n < 2 {
		return fail("not a map of fields")
	}
	if key, err := d.DecodeString(); err != nil || key != "f" {
		return fail("first field is not the format")
	}
	if f, err := d.DecodeUint64(); err != nil || f != format {
		return fail(fmt.Sprintf("format %d, want %d", f, format))
	}
	if key, err := d.DecodeString(); err != nil || key != "kind" {
		return fail("second field is not the kind")
	}
	kind, err := d.DecodeString()
	if err != nil {
		return fail("kind is not a string")
	}
	return kind, nil
}

// Frame returns an encoded message with its length in front.
func Frame(p []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(p)), uint32(len(p))), p...)
}

// ReadFrame reads one framed message from a connection. It refuses one of more than limit bytes.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if int64(n) > int64(limit) {
		return nil, fmt.Errorf("%w: frame has %d bytes, limit is %d", ErrMessage, n, limit)
	}
	var b bytes.Buffer // grows with the bytes that arrive: a length alone allocates no memory
	if _, err := io.CopyN(&b, r, int64(n)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
