// Package platform speaks the platform's protocol as state machines: they are fed the bytes
// that a connection brought, and know no socket. What they hand out are slices of the buffer
// that the bytes were read into.
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

// Bounds on what a peer may send.
const (
	MaxHead      = 16 << 10
	MaxBody      = 64 << 10
	MaxLine      = 2 * MaxBody // a result of a full body, escaped
	MaxList      = 1 << 20
	minReadSpace = 4 << 10 // least space offered for a read
)

// buffer is what a connection's bytes are read into. Bytes from r to w are not yet taken.
type buffer struct {
	data       []byte
	start, end int
}

// Space is where the next bytes are to be read. It never moves bytes that were handed out:
// when the end is near, what is not yet taken goes on in a new buffer.
func (b *buffer) Space() []byte {
	if len(b.data)-b.end < minReadSpace/4 {
		b.grow(minReadSpace)
	}
	return b.data[b.end:]
}

// Filled tells that n bytes have been read into Space.
func (b *buffer) Filled(n int) { b.end += n }

// grow moves what is not taken to a new buffer with space for n more bytes.
func (b *buffer) grow(n int) {
	rest := b.data[b.start:b.end]
	next := make([]byte, len(rest)+n)
	b.end = copy(next, rest)
	b.data, b.start = next, 0
}

// rewind uses the buffer from its start again. Nothing that was handed out may be in use.
func (b *buffer) rewind() {
	if len(b.data) > 4*minReadSpace { // one large body must not be paid for as long as the session lives
		b.grow(minReadSpace)
		return
	}
	b.end = copy(b.data, b.unread())
	b.start = 0
}

func (b *buffer) unread() []byte { return b.data[b.start:b.end] }

var errHeadTooLong = errors.New("the head is too long")

// headBlock frames a head: it returns the bytes up to the empty line, or nil while more are due.
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

// messageHead is a messageHead that was parsed: its first line and its fields.
type messageHead struct {
	firstLine string
	fields    textproto.MIMEHeader
}

// headParser lets textproto read a framed block. textproto wants a reader and copies what
// it returns; bodies, lines and lists stay slices.
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

// single is the value of a field, and whether it stands there just once or not at all.
func (h *messageHead) single(name string) (string, bool) {
	v := h.fields[name]
	if len(v) == 0 {
		return "", true
	}
	return v[0], len(v) == 1
}

// hasToken says whether a field that holds a list of tokens names one.
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

// contentLength is the Content-Length, -1 if there is none. Anything but plain digits is an error:
// two readings of one contentLength would let a body pass for a second message.
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
