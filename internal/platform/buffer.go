// Package platform parses and writes the platform's HTTP/1.1 protocol as state machines. They are
// fed the bytes read from a connection and do no I/O themselves. What they return are slices of the
// buffer that the bytes were read into.
package platform

import (
	"bufio"
	"bytes"
	"errors"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// Limits on what a peer may send, in bytes.
const (
	MaxHead      = 16 << 10
	MaxBody      = 64 << 10
	MaxLine      = 2 * MaxBody // a result of a full body, JSON-escaped
	MaxList      = 1 << 20
	minReadSpace = 4 << 10 // least space offered for a read
)

// buffer holds the bytes read from a connection. The bytes data[start:end] have not been consumed
// yet.
type buffer struct {
	data       []byte
	start, end int
}

// Space returns the space for the next read. It never moves bytes that were handed out: when the
// buffer is nearly full, the unread bytes move to a new buffer.
func (b *buffer) Space() []byte {
	if len(b.data)-b.end < minReadSpace/4 {
		b.grow(minReadSpace)
	}
	return b.data[b.end:]
}

// Filled records that n bytes have been read into Space.
func (b *buffer) Filled(n int) { b.end += n }

// grow moves the unread bytes to a new buffer with space for n more.
func (b *buffer) grow(n int) {
	rest := b.data[b.start:b.end]
	next := make([]byte, len(rest)+n)
	b.end = copy(next, rest)
	b.data, b.start = next, 0
}

// rewind moves the unread bytes to the start of the buffer. Nothing that was handed out may still
// be in use.
func (b *buffer) rewind() {
	if len(b.data) > 4*minReadSpace { // do not hold the memory of one large body for the rest of the session
		b.grow(minReadSpace)
		return
	}
	b.end = copy(b.data, b.unread())
	b.start = 0
}

func (b *buffer) unread() []byte { return b.data[b.start:b.end] }

var errHeadTooLong = errors.New("the head is too long")

// headBlock returns the bytes of a message head up to and including the empty line, or nil while
// more bytes are needed.
func (b *buffer) headBlock() ([]byte, error) {
	rest := b.unread()
	for at := 0; ; {
		i := bytes.IndexByte(rest[at:], '\n')
		if i < 0 || at+i > MaxHead {
			if len(rest) > MaxHead {
				return nil, errHeadTooLong
			}
			return nil, nil
		}
		line := rest[at : at+i]
		at += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			b.start += at
			return rest[:at], nil
		}
	}
}

// messageHead is a parsed message head: its first line and its fields.
type messageHead struct {
	firstLine string
	fields    textproto.MIMEHeader
}

// headParser lets textproto parse a complete head. textproto needs a reader and copies what it
// returns; bodies, lines and lists stay slices of the buffer.
type headParser struct {
	source bytes.Reader
	reader *bufio.Reader
}

var headParsers = sync.Pool{New: func() any { return &headParser{reader: bufio.NewReaderSize(nil, 512)} }}

func parseHead(block []byte) (h messageHead, err error) {
	p := headParsers.Get().(*headParser)
	defer headParsers.Put(p)
	p.source.Reset(block)
	p.reader.Reset(&p.source)
	tp := textproto.Reader{R: p.reader}
	if h.firstLine, err = tp.ReadLine(); err != nil {
		return h, err
	}
	h.fields, err = tp.ReadMIMEHeader()
	return h, err
}

// single returns the value of a field, and whether the field occurs at most once.
func (h *messageHead) single(name string) (string, bool) {
	v := h.fields[name]
	if len(v) == 0 {
		return "", true
	}
	return v[0], len(v) == 1
}

// hasToken reports whether a field that holds a list of tokens contains one.
func (h *messageHead) hasToken(name, token string) bool {
	for _, v := range h.fields[name] {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// contentLength returns the Content-Length, or -1 if there is none. Anything but plain digits is an
// error: if two parties read a length differently, a body could pass for a second message.
func (h *messageHead) contentLength() (int, error) {
	v := h.fields["Content-Length"]
	if len(v) == 0 {
		return -1, nil
	}
	n, err := strconv.ParseUint(v[0], 10, 31)
	if err != nil || len(v) > 1 || v[0][0] == '+' {
		return 0, errors.New("a bad Content-Length")
	}
	return int(n), nil
}
