package platform

import (
	"bytes"
	"strconv"
)

// maxChunkLine is the longest line of the chunked framing: a chunk size with the extensions that a
// client may add.
const maxChunkLine = 256

// chunkedBody decodes a body in the chunked transfer coding (RFC 9112 section 7.1) from a buffer.
// Lines must end in CR LF and sizes be plain digits: if the framing could be read in two ways, a
// body could pass for a second request. Chunk extensions and trailer fields are read and ignored.
type chunkedBody struct {
	state        chunkState
	remaining    int // of the current chunk
	trailerBytes int // bytes of trailer fields so far
	body         []byte
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd // the line end after a chunk's data
	chunkTrailer
	chunkDone
)

// decode consumes the bytes in the buffer and reports whether the body is complete. It calls admit
// with the new total size before the body's memory grows.
func (c *chunkedBody) decode(b *buffer, admit func(n int) error) (complete bool, err error) {
	for c.state != chunkDone {
		if c.state == chunkData {
			n := min(b.end-b.start, c.remaining)
			if n == 0 {
				return false, nil
			}
			if err := c.reserve(n, admit); err != nil {
				return false, err
			}
			c.body = append(c.body, b.data[b.start:b.start+n]...)
			b.start += n
			if c.remaining -= n; c.remaining == 0 {
				c.state = chunkEnd
			}
			continue
		}
		rest := b.unread()
		i := bytes.IndexByte(rest, '\n')
		if i > maxChunkLine || i < 0 && len(rest) > maxChunkLine {
			return false, badRequest("a chunk's line is too long")
		}
		if i < 0 {
			return false, nil
		}
		if i == 0 || rest[i-1] != '\r' {
			return false, badRequest("a chunk's line without CR")
		}
		b.start += i + 1
		if err := c.handleLine(rest[:i-1]); err != nil {
			return false, err
		}
	}
	return true, nil
}

// reserve makes space for n more bytes. The space grows by doubling, and admit is called with each
// new size.
func (c *chunkedBody) reserve(n int, admit func(n int) error) error {
	need := len(c.body) + n
	if need <= cap(c.body) {
		return nil
	}
	size := min(max(need, 2*cap(c.body), minReadSpace/8), MaxBody)
	if admit != nil {
		if err := admit(size); err != nil {
			return err
		}
	}
	c.body = append(make([]byte, 0, size), c.body...)
	return nil
}

func (c *chunkedBody) handleLine(text []byte) error {
	switch c.state {
	case chunkSize:
		if i := bytes.IndexByte(text, ';'); i >= 0 {
			text = bytes.TrimRight(text[:i], " \t")
		}
		n, err := strconv.ParseUint(string(text), 16, 31)
		if err != nil || text[0] == '+' || text[0] == '-' {
			return badRequest("a bad chunk")
		}
		if c.remaining = int(n); len(c.body)+c.remaining > MaxBody {
			return &RequestError{Status: 413, Reason: "the body is too long"}
		}
		if c.state = chunkData; n == 0 {
			c.state = chunkTrailer
		}
	case chunkEnd:
		if len(text) > 0 {
			return badRequest("a chunk longer than its size")
		}
		c.state = chunkSize
	case chunkTrailer:
		if c.trailerBytes += len(text) + 2; c.trailerBytes > MaxHead {
			return &RequestError{Status: 431, Reason: "too many fields behind the body"}
		}
		if len(text) == 0 {
			c.state = chunkDone
		}
	}
	return nil
}
