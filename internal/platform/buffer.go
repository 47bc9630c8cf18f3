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
	MaxHead = 16 << 10
	MaxBody = 64 << 10
	MaxLine = 2 * MaxBody // a result of a full body, escaped
	MaxList = 1 << 20
	room    = 4 << 10 // least space offered for a read
)

// buffer is what a connection's bytes are read into. Bytes from r to w are not yet taken.
type buffer struct {
	b    []byte
	r, w int
}

// Space is where the next bytes are to be read. It never moves bytes that were handed out:
// when the end is near, what is not yet taken goes on in a new buffer.
func (b *buffer) Space() []byte {
	if len(b.b)-b.w < room/4 {
		b.grow(room)
	}
	return b.b[b.w:]
}

// Filled tells that n bytes have been read into Space.
func (b *buffer) Filled(n int) { b.w += n }

// grow moves what is not taken to a new buffer with space for n more bytes.
func (b *buffer) grow(n int) {
	rest := b.b[b.r:b.w]
	next := make([]byte, len(rest)+n)
	b.w = copy(next, rest)
	b.b, b.r = next, 0
}

// rewind uses the buffer from its start again. Nothing that was handed out may be in use.
func (b *buffer) rewind() {
	if len(b.b) > 4*room { // one large body must not be paid for as long as the session lives
		b.grow(room)
		return
	}
	b.w = copy(b.b, b.rest())
	b.r = 0
}

func (b *buffer) rest() []byte { return b.b[b.r:b.w] }

var errHeadLong = errors.New("the head is too long")

// block frames a head: it returns the bytes up to the empty line, or nil while more are due.
func (b *buffer) block() ([]byte, error) {
	rest := b.rest()
	for at := 0; ; {
		i := bytes.IndexByte(rest[at:], '\n')
		if i < 0 || at+i > MaxHead {
			if len(rest) > MaxHead {
				return nil, errHeadLong
			}
			return nil, nil
		}
		line := rest[at : at+i]
		at += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			b.r += at
			return rest[:at], nil
		}
	}
}

// head is a head that was parsed: its first line and its fields.
type head struct {
	first  string
	fields textproto.MIMEHeader
}

// headParser lets textproto read a framed block. textproto wants a reader and copies what
// it returns; bodies, lines and lists stay slices.
type headParser struct {
	src bytes.Reader
	buf *bufio.Reader
}

var headParsers = sync.Pool{New: func() any { return &headParser{buf: bufio.NewReaderSize(nil, 512)} }}

func parseHead(block []byte) (h head, err error) {
	p := headParsers.Get().(*headParser)
	defer headParsers.Put(p)
	p.src.Reset(block)
	p.buf.Reset(&p.src)
	tp := textproto.Reader{R: p.buf}
	if h.first, err = tp.ReadLine(); err != nil {
		return h, err
	}
	h.fields, err = tp.ReadMIMEHeader()
	return h, err
}

// one is the value of a field, and whether it stands there just once or not at all.
func (h *head) one(name string) (string, bool) {
	v := h.fields[name]
	if len(v) == 0 {
		return "", true
	}
	return v[0], len(v) == 1
}

// has says whether a field that holds a list of tokens names one.
func (h *head) has(name, token string) bool {
	for _, v := range h.fields[name] {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// length is the Content-Length, -1 if there is none. Anything but plain digits is an error:
// two readings of one length would let a body pass for a second message.
func (h *head) length() (int, error) {
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
