// Package http2 is the server's side of an HTTP/2 connection in cleartext with prior knowledge
// (RFC 9113) as a state machine: it is fed the bytes that a client sent, tells what they mean,
// and holds the bytes that are to go out. It knows no socket and no clock; time is handed in.
// golang.org/x/net/http2's Framer and hpack read and write the frames.
//
// A driver reads into Space, tells how much by Filled, takes Events by Next until there is none,
// and writes what Take hands out. It owes every stream of a Whole event one Answer; a stream
// ends with that answer's last byte or with one reset, never both and never neither, unless
// the connection ends first. Methods are not for concurrent use.
//
// What a client can make the machine hold is bounded: one frame, one field block, the bodies
// that Admit allowed, and the answers that the driver gave.
package http2

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Code is why a stream was reset or a connection ended (RFC 9113 section 7).
type Code = http2.ErrCode

// Codes that drivers use.
const (
	NoError         = http2.ErrCodeNo
	InternalError   = http2.ErrCodeInternal
	RefusedStream   = http2.ErrCodeRefusedStream
	Cancel          = http2.ErrCodeCancel
	EnhanceYourCalm = http2.ErrCodeEnhanceYourCalm
)

// Config is what a connection is told at its start. All of it stays as it is.
type Config struct {
	MaxStreams       int           // open at once, those that were reset and whose work still runs among them
	MaxHeaderBytes   int           // of a decoded header list (RFC 9113 section 6.5.2)
	MaxFrameBytes    int           // of a frame's payload, 16,384 to 16,777,215
	MaxBodyBytes     int           // of a stream's body
	ConnectionWindow int           // bytes of bodies that the client may send ahead on the connection
	BodyIdleTimeout  time.Duration // between two pieces of a body
	BodyTimeout      time.Duration // from a stream's head to the end of its body
	MaxQueuedBytes   int           // bytes of answers that may wait for the client's windows
	StallTimeout     time.Duration // that an answer waits for the client's window
	DrainTimeout     time.Duration // that Drain waits for the client's acknowledgement
	// Admit is asked before n more bytes of bodies or of longer answers are held, and Release
	// told when they are not held any more. Where Admit says no to a body, the stream is refused
	// unprocessed; an answer that there is no room for becomes a reset.
	Admit   func(n int) bool
	Release func(n int)
	// OnAbuse is told what a client did that costs without use. May be nil.
	OnAbuse func(Abuse)
}

// Kind is what an Event tells.
type Kind uint8

// Kinds of events.
const (
	// Opened: a stream's head is here, whole and well formed. Its fields are valid until the
	// next call of Next. The driver may answer at once; else a Whole or a Gone follows.
	Opened Kind = iota
	// BodyComplete: the body of a stream is here too. It is the driver's until it calls Free.
	BodyComplete
	// ClientReset: the client reset a stream that had been Opened. It takes no answer. If it was
	// Whole, it keeps its place among the Streams until Free.
	ClientReset
	// Aborted: the machine ended a stream that was Opened and not Whole, by an answer or a
	// reset of its own.
	Aborted
	// Ended: the connection has ended, for Code. What Take still holds is to be written.
	Ended
)

// Event is what a client's bytes meant.
type Event struct {
	Kind   Kind
	Stream *Stream
	Code   Code
	Reason string // of Over; empty where the client did nothing wrong
}

// Head is a request's head.
type Head struct {
	Method, Scheme, Path, Authority string
	Fields                          []hpack.HeaderField // without the pseudo-fields, names in lower case
	Length                          int64               // of Content-Length, -1 if there is none
}

// Bounds that are the same for all connections.
const (
	defaultWindow    = 65535      // RFC 9113 section 6.9.2
	largestWindow    = 1<<31 - 1  // section 6.9.1
	fieldBlockSlack  = 4 << 10    // of a compressed field block beyond HeaderBytes: Huffman can lengthen a text
	maxBlockFrames   = 32         // frames of a field block (CVE-2023-45288)
	outputTarget     = 64 << 10   // bytes of output beyond which no more of answers is framed
	maxOutput        = 256 << 10  // bytes of output that a client may provoke without reading (CVE-2019-9512, 9515)
	maxTableSize     = 4096       // bytes of either HPACK table: what RFC 9113 starts with, and no more
	maxDataFrame     = 16 << 10   // bytes of a DATA frame of ours: small, so that streams take turns
	minReadSpace     = 4 << 10    // least space offered for a read
	rememberedResets = 128        // streams of which late frames are known to cross our reset
	drainPingMark    = 0x7461696c // payload of the PING that asks whether the first GOAWAY has been read
	smallAnswer      = 1 << 10    // of an answer's body, held without asking
	smallHead        = 1 << 10    // of a header list, held without asking
	maxPrefaceLine   = 8 << 10    // of a line that may be HTTP/1.1
	maxStreamID      = 1<<31 - 1  // of a GOAWAY that leaves open which stream is the last
)

// Conn is one connection.
type Conn struct {
	cfg              Config
	now              time.Time
	prefaceReceived  bool // the preface is here
	settingsReceived bool // the client's first SETTINGS frame is here
	ended            bool
	events           []Event
	nextEvent        int // event that Next returns

	input                []byte
	inputStart, inputEnd int
	frameSource          bytes.Reader
	framer               *http2.Framer
	decoder              *hpack.Decoder
	encoder              *hpack.Encoder
	encoded              bytes.Buffer // of enc

	output []byte

	streams           map[uint32]*Stream
	openStreams       int    // streams that are neither gone nor ended
	lastID            uint32 // highest that the client has opened
	block             block
	recentResets      [rememberedResets]uint32
	resetCount        int
	sendWindow        int64 // the client's, for our DATA
	initialSendWindow int64 // the client's, of a new stream
	maxSendFrame      int   // payload of our frames
	recvWindow        int64 // ours, for the client's DATA
	recvUncredited    int64 // of room, taken in and not given back yet
	sendQueue         []*Stream
	queuedBytes       int // bytes of longer answers that are not framed to their end
	lastProgress      time.Time
	drain             drainState
	drainDeadline     time.Time
	nextDeadline      time.Time // before which Expire has nothing to do; zero is never
	limits            abuseLimits
	freeStreams       *Stream // streams for use again
	unackedSettings   int     // SETTINGS of ours that are not acknowledged
}

type drainState uint8

const (
	notDraining    drainState = iota
	drainAnnounced            // the first GOAWAY is out
	draining                  // the second one is: what comes later is not taken
)

// New makes a connection at a time. The client speaks first.
func New(cfg Config, now time.Time) *Conn {
	c := &Conn{cfg: cfg, now: now, lastProgress: now, streams: map[uint32]*Stream{}, sendWindow: defaultWindow,
		initialSendWindow: defaultWindow, maxSendFrame: maxDataFrame, recvWindow: defaultWindow}
	c.framer = http2.NewFramer(writer{c}, &c.frameSource)
	c.framer.SetReuseFrames()
	c.framer.SetMaxReadFrameSize(uint32(cfg.MaxFrameBytes))
	c.decoder = hpack.NewDecoder(maxTableSize, c.handleField)
	c.decoder.SetMaxStringLength(2 * (cfg.MaxHeaderBytes + fieldBlockSlack))
	c.encoder = hpack.NewEncoder(&c.encoded)
	c.encoder.SetMaxDynamicTableSizeLimit(maxTableSize)
	c.limits = newAbuseLimits(cfg.MaxStreams)
	return c
}

// writer is where the Framer writes.
type writer struct{ c *Conn }

func (w writer) Write(p []byte) (int, error) {
	w.c.output = append(w.c.output, p...)
	return len(p), nil
}

// Space is where the next bytes are to be read.
func (c *Conn) Space() []byte {
	if c.inputStart == c.inputEnd || c.ended { // nothing is read any more of what comes after the end
		c.inputStart, c.inputEnd = 0, 0
		if len(c.input) > minReadSpace && len(c.streams) == 0 { // one large frame must not be paid for as long as the connection lives
			c.input = nil
			clear(c.block.fields)
		}
	}
	if len(c.input)-c.inputEnd < minReadSpace/4 {
		n := max(c.inputEnd-c.inputStart, c.pendingFrameLength()) + minReadSpace
		if n <= len(c.input) {
			c.inputEnd = copy(c.input, c.input[c.inputStart:c.inputEnd])
		} else {
			next := make([]byte, n)
			c.inputEnd = copy(next, c.input[c.inputStart:c.inputEnd])
			c.input = next
		}
		c.inputStart = 0
	}
	return c.input[c.inputEnd:]
}

// pendingFrameLength is how long the frame is that is coming in, with its header; it has been checked
// against the limit once the header is here.
func (c *Conn) pendingFrameLength() int {
	if rest := c.input[c.inputStart:c.inputEnd]; c.prefaceReceived && len(rest) >= frameHeaderLength {
		return min(frameHeaderLength+payloadLength(rest), frameHeaderLength+c.cfg.MaxFrameBytes)
	}
	return 0
}

const frameHeaderLength = 9 // RFC 9113 section 4.1

func payloadLength(b []byte) int { return int(b[0])<<16 | int(b[1])<<8 | int(b[2]) }

// Filled tells that n bytes have been read into Space, and when.
func (c *Conn) Filled(n int, now time.Time) {
	c.inputEnd += n
	c.now = now
}

// Partial says whether something has begun to come in and is not whole: the preface, a frame.
func (c *Conn) Partial() bool { return !c.settingsReceived || c.inputStart < c.inputEnd }

// SettingsReceived says whether the client has shown that it speaks HTTP/2.
func (c *Conn) SettingsReceived() bool { return c.settingsReceived }

// OpenStreams is how many streams are open, from their first frame to their answer's last byte.
func (c *Conn) OpenStreams() int { return c.openStreams }

// Next returns what the bytes mean that are here, one event at a time.
func (c *Conn) Next() (Event, bool) {
	for {
		for c.nextEvent < len(c.events) {
			e := c.events[c.nextEvent]
			c.nextEvent++
			if e.Kind == BodyComplete && e.Stream.answered { // at its Opened, by the driver
				continue
			}
			return e, true
		}
		c.events, c.nextEvent = c.events[:0], 0
		if c.ended || !c.step() {
			return Event{}, false
		}
	}
}

func (c *Conn) event(e Event) { c.events = append(c.events, e) }

// step takes in one frame, or the preface, and says whether it was whole.
func (c *Conn) step() bool {
	rest := c.input[c.inputStart:c.inputEnd]
	if !c.prefaceReceived {
		return c.readPreface(rest)
	}
	if len(rest) < frameHeaderLength {
		return false
	}
	n := frameHeaderLength + payloadLength(rest)
	if n > frameHeaderLength+c.cfg.MaxFrameBytes {
		c.fail(http2.ErrCodeFrameSize, "a frame that is too long")
		return true
	}
	if len(rest) < n {
		return false
	}
	c.inputStart += n
	c.frameSource.Reset(rest[:n])
	f, err := c.framer.ReadFrame()
	if err != nil {
		c.handleReadError(rest, err)
		return true
	}
	if !c.settingsReceived {
		if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
			c.fail(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
			return true
		}
		c.settingsReceived = true
	}
	c.handleFrame(f)
	if len(c.output) > maxOutput {
		c.failAbuse(UnreadOutput)
	}
	return true
}

// handleReadError ends what the Framer could not read: a stream where that is allowed, else all.
func (c *Conn) handleReadError(raw []byte, err error) {
	var se http2.StreamError
	var ce http2.ConnectionError
	switch {
	// A field block that is not decoded leaves the tables unequal: no other stream could be
	// read any more (RFC 9113 section 4.3).
	case errors.As(err, &se) && http2.FrameType(raw[3]) != http2.FrameHeaders:
		if c.settingsReceived {
			c.streamError(se.StreamID, se.Code)
			return
		}
		c.fail(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
	case errors.As(err, &se):
		c.fail(se.Code, "a bad HEADERS frame")
	case errors.As(err, &ce):
		c.fail(Code(ce), "a bad frame")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF): // a field that its frame has no room for
		c.fail(http2.ErrCodeFrameSize, "a frame that is too short")
	default:
		c.fail(http2.ErrCodeProtocol, "a bad frame")
	}
}

func (c *Conn) handleFrame(f http2.Frame) {
	switch f := f.(type) {
	case *http2.DataFrame:
		c.handleData(f)
	case *http2.HeadersFrame:
		c.handleHeaders(f)
	case *http2.ContinuationFrame:
		c.handleContinuation(f)
	case *http2.SettingsFrame:
		c.handleSettings(f)
	case *http2.WindowUpdateFrame:
		c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		c.handleReset(f)
	case *http2.PingFrame:
		c.handlePing(f)
	case *http2.PriorityFrame:
		if f.StreamDep == f.StreamID { // RFC 7540 section 5.3.1; RFC 9113 does not say
			if c.isIdle(f.StreamID) {
				c.fail(http2.ErrCodeProtocol, "a stream that depends on itself")
			} else {
				c.streamError(f.StreamID, http2.ErrCodeProtocol)
			}
			return
		}
		c.countUnproductive(Priority, 0)
	case *http2.GoAwayFrame: // the client opens no more streams by itself; those it has are served
		c.countUnproductive(Unknown, int(f.Length))
	case *http2.PushPromiseFrame:
		c.fail(http2.ErrCodeProtocol, "a client that pushes")
	default: // to be ignored (RFC 9113 section 5.5)
		c.countUnproductive(Unknown, int(f.Header().Length))
	}
}

func (c *Conn) handleSettings(f *http2.SettingsFrame) {
	if f.IsAck() {
		if c.unackedSettings == 0 {
			c.countUnproductive(Settings, 0)
			return
		}
		c.unackedSettings--
		return
	}
	if !c.limits.settings.AllowN(c.now, 1) {
		c.failAbuse(Settings)
		return
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingHeaderTableSize:
			c.encoder.SetMaxDynamicTableSize(min(s.Val, maxTableSize))
		case http2.SettingInitialWindowSize:
			return c.adjustWindows(int64(s.Val))
		case http2.SettingMaxFrameSize:
			c.maxSendFrame = min(int(s.Val), maxDataFrame)
		}
		return nil
	})
	var ce http2.ConnectionError
	if errors.As(err, &ce) {
		c.fail(Code(ce), "a bad setting")
		return
	}
	_ = c.framer.WriteSettingsAck()
}

// adjustWindows changes the windows of all streams by what the initial one changes (RFC 9113
// section 6.9.2); they may fall below zero.
func (c *Conn) adjustWindows(initial int64) error {
	by := initial - c.initialSendWindow
	c.initialSendWindow = initial
	for _, s := range c.streams {
		if s.sendWindow += by; s.sendWindow > largestWindow {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
	}
	if by > 0 {
		for _, s := range c.streams {
			c.unblock(s)
		}
	}
	return nil
}

func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) {
	by := int64(f.Increment)
	if f.StreamID == 0 {
		if c.sendWindow += by; c.sendWindow > largestWindow {
			c.reportAbuse(Overflow)
			c.fail(http2.ErrCodeFlowControl, "a window that is too large")
			return
		}
		c.countUnproductive(WindowUpdate, 0)
		return
	}
	s := c.streams[f.StreamID]
	if s == nil || s.closed {
		if c.isIdle(f.StreamID) {
			c.fail(http2.ErrCodeProtocol, "WINDOW_UPDATE for a stream that is idle")
			return
		}
		c.countUnproductive(WindowUpdate, 0)
		return
	}
	if s.sendWindow += by; s.sendWindow > largestWindow {
		c.reportAbuse(Overflow)
		c.streamError(s.ID, http2.ErrCodeFlowControl)
		return
	}
	c.unblock(s)
	c.countUnproductive(WindowUpdate, 0)
}

// isIdle says whether a stream has not been opened yet. Even ones would be ours, and we open none.
// In a drain, those after the last one that is served are known to the client, not to us.
func (c *Conn) isIdle(id uint32) bool { return id > c.lastID && c.drain != draining || id%2 == 0 }

func (c *Conn) handlePing(f *http2.PingFrame) {
	if f.IsAck() {
		if c.drain == drainAnnounced && binary.BigEndian.Uint32(f.Data[:]) == drainPingMark {
			c.sendFinalGoAway()
			return
		}
		c.countUnproductive(Ping, 0)
		return
	}
	if !c.limits.pings.AllowN(c.now, 1) {
		c.failAbuse(Ping)
		return
	}
	_ = c.framer.WritePing(true, f.Data)
}
