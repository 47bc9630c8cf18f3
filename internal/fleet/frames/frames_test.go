package frames

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testMessage is a message with one field besides the header.
type testMessage struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	N      uint64 `msgpack:"n"`
}

var sample = testMessage{3, "letter", 300}

// TestRoundTrip: an encoded message is read from a connection and decoded unchanged.
func TestRoundTrip(t *testing.T) {
	p, err := ReadFrame(bytes.NewReader(Frame(Encode(&sample))), 100)
	require.NoError(t, err)
	p, err = StripChecksum(p)
	require.NoError(t, err)
	kind, err := Kind(p, 3)
	require.NoError(t, err)
	assert.Equal(t, "letter", kind)
	var got testMessage
	require.NoError(t, Decode(p, &got))
	assert.Equal(t, sample, got)
}

// TestInvalidFramesAreRefused: a frame that is too long or ends too soon, a wrong checksum, and maps in another
// encoding than that of Encode are refused.
func TestInvalidFramesAreRefused(t *testing.T) {
	framed := Frame(Encode(&sample))
	_, err := ReadFrame(bytes.NewReader(framed), len(framed)-5)
	assert.ErrorIs(t, err, ErrMessage)
	_, err = ReadFrame(bytes.NewReader(framed[:len(framed)-1]), 100)
	assert.ErrorIs(t, err, io.EOF)
	_, err = ReadFrame(bytes.NewReader(framed[:3]), 100)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	whole := framed[4:]
	for i := range whole {
		p := bytes.Clone(whole)
		p[i]++
		_, err := StripChecksum(p)
		assert.ErrorIs(t, err, ErrMessage, "byte %d", i)
	}
	plain := whole[:len(whole)-4]
	for what, p := range map[string][]byte{
		"a wider number":      bytes.Replace(plain, []byte("\xa1n\xcd\x01\x2c"), []byte("\xa1n\xce\x00\x00\x01\x2c"), 1),
		"another key":         bytes.Replace(plain, []byte("\xa1n"), []byte("\xa1m"), 1),
		"a missing key":       append([]byte{0x82}, plain[1:len(plain)-5]...),
		"bytes after the end": append(bytes.Clone(plain), 0xc0),
	} {
		assert.NotEqual(t, plain, p, what)
		assert.ErrorIs(t, Decode(p, &testMessage{}), ErrMessage, what)
	}
	for what, p := range map[string][]byte{"nothing": nil, "not a map": {0xc0}, "a single key": {0x81, 0xa1, 'f', 3}, "another first key": {0x82, 0xa1, 'g', 3},
		"no kind": {0x82, 0xa1, 'f', 3, 0xa1, 'k', 0xa1, 'x'}, "a kind that is no string": {0x82, 0xa1, 'f', 3, 0xa4, 'k', 'i', 'n', 'd', 3}} {
		_, err := Kind(p, 3)
		assert.ErrorIs(t, err, ErrMessage, what)
	}
	_, err = Kind(plain, 4)
	assert.ErrorIs(t, err, ErrMessage)
}
