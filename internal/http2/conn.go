// Package http2 implements the server side of an HTTP/2 connection in cleartext with prior
// knowledge (RFC 9113) as a state machine. It is given the bytes that a client sent, returns
// events, and holds the bytes to be written. It does no I/O and reads no clock; the time is a
// parameter. The Framer and the hpack package of golang.org/x/net/http2 read and write the frames.
//
// A driver reads into Space, reports the number of bytes with Filled, calls Next until there are no
// more events, and writes what TakeOutput returns. It must answer every stream of a BodyComplete
// event once. A stream ends with either the last byte of that answer or one reset, unless the
// connection ends first. Methods are not safe for concurrent use.
//
// The memory that a client can occupy is limited to one frame, one field block, the bodies that
// Admit granted, and the answers that the driver gave.
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

// Code is the reason for a reset of a stream or the end of a connection (RFC 9113 section 7).
type Code = http2.ErrCode

// Error codes that drivers use.
const (
	NoError         = http2.ErrCodeNo
	InternalError   = http2.ErrCodeInternal
	RefusedStream   = http2.ErrCodeRefusedStream
	Cancel          = http2.ErrCodeCancel
	EnhanceYourCalm = http2.ErrCodeEnhanceYourCalm
)

// Config holds the parameters of a connection. They do not change later.
type Config struct {
	MaxStreams       int           // open at once, including reset streams whose work still runs
	MaxHeaderBytes   int           // decoded header list (RFC 9113 section 6.5.2)
	MaxFrameBytes    int           // payload of a frame, 16,384 to 16,777,215
	MaxBodyBytes     int           // body of a stream
	ConnectionWindow int           // body bytes that the client may send ahead on the connection
	BodyIdleTimeout  time.Duration // between two pieces of a body
	BodyTimeout      time.Duration // from a stream's head to the end of its body
	MaxQueuedBytes   int           // bytes of answers that may wait for the client's flow control windows
	StallTimeout     time.Duration // how long an answer waits for the client's window
	DrainTimeout     time.Duration // how long Drain waits for the client's acknowledgement
	// Admit is called before n more bytes of bodies are held, AdmitAnswer before those of a longer
	// answer are, and Release when they no longer are. If Admit refuses a body, the stream is refused
	// unprocessed; if AdmitAnswer refuses an answer, the stream is reset. An answer is owed, so
	// AdmitAnswer must have room where Admit has none; if it is nil, Admit stands for it.
	Admit       func(n int) bool
	AdmitAnswer func(n int) bool
	Release     func(n int)
	// OnAbuse, if set, is called for each occurrence of abuse.
	OnAbuse func(Abuse)
}

// Kind is the kind of an Event.
type Kind uint8

// Event kinds.
const (
	// Opened: the complete and well-formed head of a stream has arrived. Its fields are valid
	// until the next call of Next. The driver may answer at once; otherwise a BodyComplete,
	// StreamReset or Aborted follows.
	Opened Kind = iota
	// BodyComplete: the whole body of a stream has arrived.
	BodyComplete
	// StreamReset: the client reset a stream that had been Opened, or this package reset it for a
	// fault of the client's after its body was complete. It cannot be answered. If its body was
	// complete, it still counts against MaxStreams until ReleaseStream.
	StreamReset
	// Aborted: this package ended a stream that was Opened and whose body was not complete, by an
	// answer or a reset of its own.
	Aborted
	// Ended: the connection has ended with Code. The remaining output is still to be written.
	Ended
)

// Event is one event that the received bytes, or the passing of time, cause.
type Event struct {
	Kind   Kind
	Stream *Stream
	Code   Code
	Reason string // of Ended; empty where the client did nothing wrong
}

// Head is the head of a request.
type Head struct {
	Method, Scheme, Path, Authority string
	Fields                          []hpack.HeaderField // without the pseudo-fields, names in lower case
	Length                          int64               // Content-Length, -1 if there is none
}

// Limits and sizes that are the same for all connections.
const (
	defaultWindow    = 65535      // RFC 9113 section 6.9.2
	largestWindow    = 1<<31 - 1  // section 6.9.1
	fieldBlockSlack  = 4 << 10    // of a compressed field block beyond MaxHeaderBytes: Huffman coding can lengthen a text
	maxBlockFrames   = 32         // frames of a field block (CVE-2023-45288)
	outputTarget     = 64 << 10   // bytes of output beyond which no further answers are framed
	maxOutput        = 256 << 10  // bytes of output that a client may provoke without reading it (CVE-2019-9512, 9515)
	maxTableSize     = 4096       // bytes of either HPACK table: the default of RFC 9113, never raised
	maxDataFrame     = 16 << 10   // bytes of a DATA frame that we send: small, so that streams take turns
	minReadSpace     = 4 << 10    // least space offered for a read
	rememberedResets = 128        // recent resets of ours, after which late frames of the client are tolerated
	drainPingMark    = 0x7461696c // payload of the PING that shows whether the client has read the first GOAWAY
	smallAnswer      = 1 << 10    // bytes of an answer's body held without calling Admit
	smallHead        = 1 << 10    // bytes of a header list held without calling Admit
	maxPrefaceLine   = 8 << 10    // bytes of a first line that may be HTTP/1.1
	maxStreamID      = 1<<31 - 1  // in a GOAWAY that does not yet name the last stream
)

// Conn is the state of one connection.
type Conn struct {
	cfg              Config
	now              time.Time
	prefaceReceived  bool
	settingsReceived bool // the client's first SETTINGS frame has arrived
	ended            bool
	events           []Event
	nextEvent        int // index of the event that Next returns

	input                []byte
	inputStart, inputEnd int
	frameSource          bytes.Reader
	framer               *http2.Framer
	decoder              *hpack.Decoder
	encoder              *hpack.Encoder
	encoded              bytes.Buffer // output of encoder

	output []byte

	streams           map[uint32]*Stream
	openStreams       int    // neither closed nor detached
	lastID            uint32 // highest id that the client has opened
	block             block
	recentResets      [rememberedResets]uint32
	resetCount        int
	sendWindow        int64 // the client's window for our DATA
	initialSendWindow int64 // the client's window of a new stream
	maxSendFrame      int   // payload of frames that we send
	recvWindow        int64 // our window for the client's DATA
	recvUncredited    int64 // bytes received and not yet returned by WINDOW_UPDATE
	sendQueue         []*Stream
	queuedBytes       int // bytes of longer answers that are not completely framed
	lastProgress      time.Time
	drain             drainState
	drainDeadline     time.Time
	nextDeadline      time.Time // before it Expire has nothing to do; zero means never
	limits            abuseLimits
	freeStreams       *Stream // for reuse
	unackedSettings   int     // our SETTINGS that the client has not acknowledged
}

type drainState uint8

const (
	notDraining    drainState = iota
	drainAnnounced            // the first GOAWAY is sent
	draining                  // the second GOAWAY is sent: later streams are not accepted
)

// New returns a connection that began at the given time. The client sends first.
func New(cfg Config, now time.Time) *Conn {
	if cfg.AdmitAnswer == nil {
		cfg.AdmitAnswer = cfg.Admit
	}
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

// writer appends the Framer's frames to the output.
type writer struct{ c *Conn }

func (w writer) Write(p []byte) (int, error) {
	w.c.output = append(w.c.output, p...)
	return len(p), nil
}

// Space returns the space for the next read.
func (c *Conn) Space() []byte {
	if c.inputStart == c.inputEnd || c.ended { // input after the end is discarded
		c.inputStart, c.inputEnd = 0, 0
		if len(c.input) > minReadSpace && len(c.streams) == 0 { // do not hold the memory of one large frame for the rest of the connection
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

// pendingFrameLength returns the length of the frame that is arriving, with its header, or 0 if the
// header is not complete. The result is at most the limit.
func (c *Conn) pendingFrameLength() int {
	if rest := c.input[c.inputStart:c.inputEnd]; c.prefaceReceived && len(rest) >= frameHeaderLength {
		return min(frameHeaderLength+payloadLength(rest), frameHeaderLength+c.cfg.MaxFrameBytes)
	}
	return 0
}

const frameHeaderLength = 9 // RFC 9113 section 4.1

func payloadLength(b []byte) int { return int(b[0])<<16 | int(b[1])<<8 | int(b[2]) }

// Filled records that n bytes have been read into Space, and when.
func (c *Conn) Filled(n int, now time.Time) {
	c.inputEnd += n
	c.now = now
}

// Partial reports whether the preface, the first SETTINGS or a frame has not arrived completely.
func (c *Conn) Partial() bool { return !c.settingsReceived || c.inputStart < c.inputEnd }

// SettingsReceived reports whether the client has shown that it speaks HTTP/2.
func (c *Conn) SettingsReceived() bool { return c.settingsReceived }

// OpenStreams returns the number of open streams. A stream is open from its first frame to the last
// byte of its answer.
func (c *Conn) OpenStreams() int { return c.openStreams }

// Next returns the next event that the received bytes cause.
func (c *Conn) Next() (Event, bool) {
	for {
		for c.nextEvent < len(c.events) {
			e := c.events[c.nextEvent]
			c.nextEvent++
			if e.Kind == BodyComplete && e.Stream.answered { // the driver answered it when it was Opened
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

// step handles one frame or the preface, and reports whether it was complete.
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

// handleReadError handles a frame that the Framer could not read. It resets the stream where the
// protocol allows that, otherwise it ends the connection.
func (c *Conn) handleReadError(raw []byte, err error) {
	var se http2.StreamError
	var ce http2.ConnectionError
	switch {
	// A field block that is not decoded leaves the HPACK tables of both ends different, so
	// that no other stream could be read (RFC 9113 section 4.3).
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
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF): // the frame is too short for one of its fields
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
		if f.StreamDep == f.StreamID { // RFC 7540 section 5.3.1; RFC 9113 leaves it open
			if c.isIdle(f.StreamID) {
				c.fail(http2.ErrCodeProtocol, "a stream that depends on itself")
			} else {
				c.streamError(f.StreamID, http2.ErrCodeProtocol)
			}
			return
		}
		c.countUnproductive(Priority, 0)
	case *http2.GoAwayFrame: // the client stops opening streams by itself; the open ones are served
		c.countUnproductive(Unknown, int(f.Length))
	case *http2.PushPromiseFrame:
		c.fail(http2.ErrCodeProtocol, "a client that pushes")
	default: // must be ignored (RFC 9113 section 5.5)
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

// adjustWindows changes the windows of all streams by the change of the initial window (RFC 9113
// section 6.9.2); they may become negative.
func (c *Conn) adjustWindows(initial int64) error {
	delta := initial - c.initialSendWindow
	c.initialSendWindow = initial
	for _, s := range c.streams {
		if s.sendWindow += delta; s.sendWindow > largestWindow {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
	}
	if delta > 0 {
		for _, s := range c.streams {
			c.unblock(s)
		}
	}
	return nil
}

func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) {
	increment := int64(f.Increment)
	if f.StreamID == 0 {
		if c.sendWindow += increment; c.sendWindow > largestWindow {
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
	if s.sendWindow += increment; s.sendWindow > largestWindow {
		c.reportAbuse(Overflow)
		c.streamError(s.ID, http2.ErrCodeFlowControl)
		return
	}
	c.unblock(s)
	c.countUnproductive(WindowUpdate, 0)
}

// isIdle reports whether a stream has not been opened yet. Streams with even ids would be ours, and
// we open none. While draining, streams above lastID may have been opened by the client without our
// knowledge, so they do not count as idle.
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
