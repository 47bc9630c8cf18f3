package frames

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// letter is some message.
type letter struct {
	F    uint8  `msgpack:"f"`
	Kind string `msgpack:"kind"`
	N    uint64 `msgpack:"n"`
}

var aLetter = letter{3, "letter", 300}

// TestWay: what was written comes through a link as it was.
func TestWay(t *testing.T) {
	p, err := ReadFrame(bytes.NewReader(Frame(Encode(&aLetter))), 100)
	require.NoError(t, err)
	p, err = StripChecksum(p)
	require.NoError(t, err)
	kind, err := Kind(p, 3)
	require.NoError(t, err)
	assert.Equal(t, "letter", kind)
	var got letter
	require.NoError(t, Decode(p, &got))
	assert.Equal(t, aLetter, got)
}

// TestRefused: a frame that is too long, one that ends too soon, and maps that would be written otherwise.
func TestRefused(t *testing.T) {
	framed := Frame(Encode(&aLetter))
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
		"wider":        bytes.Replace(plain, []byte("\xa1n\xcd\x01\x2c"), []byte("\xa1n\xce\x00\x00\x01\x2c"), 1),
		"another key":  bytes.Replace(plain, []byte("\xa1n"), []byte("\xa1m"), 1),
		"a key less":   append([]byte{0x82}, plain[1:len(plain)-5]...),
		"bytes behind": append(bytes.Clone(plain), 0xc0),
	} {
		assert.NotEqual(t, plain, p, what)
		assert.ErrorIs(t, Decode(p, &letter{}), ErrMessage, what)
	}
	for what, p := range map[string][]byte{"nothing": nil, "no map": {0xc0}, "a key alone": {0x81, 0xa1, 'f', 3}, "another first": {0x82, 0xa1, 'g', 3},
		"no kind": {0x82, 0xa1, 'f', 3, 0xa1, 'k', 0xa1, 'x'}, "a kind that is none": {0x82, 0xa1, 'f', 3, 0xa4, 'k', 'i', 'n', 'd', 3}} {
		_, err := Kind(p, 3)
		assert.ErrorIs(t, err, ErrMessage, what)
	}
	_, err = Kind(plain, 4)
	assert.ErrorIs(t, err, ErrMessage)
}
