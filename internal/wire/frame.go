// Package wire encodes and decodes the frames, codes and settings of the simulator's protocol,
// which the dispatcher's adapter speaks. It makes no decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Event codes: the record types of a batch.
const (
	EvProbed     = 10 // result of a probe
	EvRequest    = 20 // a request arrived
	EvWake       = 30 // a timer expired
	EvProgress   = 40 // progress of an attempt
	EvPeer       = 50
	EvFirstByte  = 60
	EvAbandoned  = 70  // the client gave up its request
	EvInstance   = 80  // selects the instance of the following records
	EvAnswer     = 90  // an attempt ended
	EvStop       = 100 // removes the instance
	EvConfigure  = 110 // settings of a new instance
	EvUpdate     = 120 // the list of workers changed, or could not be read
	EvWorkerList = 130 // a worker list that later updates refer to by number
)

// Action codes: the record types of a reply. The methods of Reply describe them.
const (
	ActFail      = 10
	ActBug       = 20
	ActCloseIdle = 30
	ActInstance  = 40
	ActProbe     = 50
	ActDispatch  = 60
	ActCancel    = 70
	ActWake      = 90
	ActLog       = 100
	ActRefuse    = 110
	ActSubscribe = 120
)

// EntrySize is the size of one entry of a worker list, in bytes.
const EntrySize = 24

// maxFrame limits the announced size of a frame, so that an invalid length is not allocated.
const maxFrame = 1 << 30

// Batch is one frame of events.
type Batch struct {
	Clock   float64
	Count   int
	Records []byte
}

// ReadBatch reads one frame into buf, growing it as needed. It returns io.EOF only at a clean end
// between frames.
func ReadBatch(r io.Reader, buf []byte) (Batch, []byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, buf, io.EOF
		}
		return Batch{}, buf, fmt.Errorf("reading the length of a frame: %w", err)
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 12 || n > maxFrame {
		return Batch{}, buf, fmt.Errorf("invalid frame length of %d bytes", n)
	}
	if cap(buf) < int(n) {
		buf = make([]byte, n)
	}
	buf = buf[:n]
	if _, err := io.ReadFull(r, buf); err != nil {
		return Batch{}, buf, fmt.Errorf("reading a frame of %d bytes: %w", n, err)
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(buf))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, buf, errors.New("the clock is not a finite number")
	}
	return Batch{Clock: clock, Count: int(binary.LittleEndian.Uint32(buf[8:])), Records: buf[12:]}, buf, nil
}

// NextRecord splits off the first record of a batch's remaining records.
func NextRecord(rest []byte) (code byte, f Fields, after []byte, err error) {
	if len(rest) < 5 {
		return 0, f, nil, errors.New("truncated record header")
	}
	n := int(binary.LittleEndian.Uint32(rest[1:]))
	if n > len(rest)-5 {
		return 0, f, nil, fmt.Errorf("record %d states a length of %d bytes, but only %d are left", rest[0], n, len(rest)-5)
	}
	return rest[0], Fields{rest: rest[5 : 5+n]}, rest[5+n:], nil
}

// Fields decodes a record's fields in sequence. Fields that a shorter record lacks are read as
// zero: absent values are zero in this protocol.
type Fields struct{ rest []byte }

func (f *Fields) next(n int) []byte {
	if len(f.rest) < n {
		f.rest = nil
		return nil
	}
	p := f.rest[:n]
	f.rest = f.rest[n:]
	return p
}

// U8 reads an unsigned byte.
func (f *Fields) U8() uint8 {
	if p := f.next(1); p != nil {
		return p[0]
	}
	return 0
}

// U16 reads a 16-bit unsigned integer.
func (f *Fields) U16() uint16 {
	if p := f.next(2); p != nil {
		return binary.LittleEndian.Uint16(p)
	}
	return 0
}

// U32 reads a 32-bit unsigned integer.
func (f *Fields) U32() uint32 {
	if p := f.next(4); p != nil {
		return binary.LittleEndian.Uint32(p)
	}
	return 0
}

// U64 reads a 64-bit unsigned integer.
func (f *Fields) U64() uint64 {
	if p := f.next(8); p != nil {
		return binary.LittleEndian.Uint64(p)
	}
	return 0
}

// F32 reads a 32-bit float.
func (f *Fields) F32() float64 { return float64(math.Float32frombits(f.U32())) }

// F64 reads a 64-bit float.
func (f *Fields) F64() float64 { return math.Float64frombits(f.U64()) }

// Worker reads a worker's id: four bytes of IPv4 address and two of port, packed into one number.
func (f *Fields) Worker() uint64 {
	p := f.next(6)
	if p == nil {
		return 0
	}
	return uint64(binary.LittleEndian.Uint32(p)) | uint64(binary.LittleEndian.Uint16(p[4:]))<<32
}

// Bytes reads a four-byte count and that many bytes. It fails if they are missing.
func (f *Fields) Bytes() ([]byte, error) {
	n := int(f.U32())
	if n > len(f.rest) {
		return nil, fmt.Errorf("a text of %d bytes is truncated at %d", n, len(f.rest))
	}
	return f.next(n), nil
}

// Report reads a load report into dst.
func (f *Fields) Report(dst []float32) []float32 {
	dst = dst[:0]
	for n := int(f.U8()); n > 0 && len(f.rest) >= 4; n-- {
		dst = append(dst, math.Float32frombits(f.U32()))
	}
	return dst
}

// Remaining returns the number of bytes that have not been read.
func (f *Fields) Remaining() int { return len(f.rest) }

// Reply collects the actions of one reply frame.
type Reply struct{ data []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.data = append(r.data[:0], 0, 0, 0, 0) }

// Frame returns the finished frame.
func (r *Reply) Frame() []byte {
	binary.LittleEndian.PutUint32(r.data, uint32(len(r.data)-4))
	return r.data
}

func (r *Reply) recordHead(code byte, size int) {
	r.data = append(r.data, code)
	r.data = binary.LittleEndian.AppendUint32(r.data, uint32(size))
}

func (r *Reply) f64(v float64) {
	r.data = binary.LittleEndian.AppendUint64(r.data, math.Float64bits(v))
}
func (r *Reply) u32(v uint32) { r.data = binary.LittleEndian.AppendUint32(r.data, v) }
func (r *Reply) u16(v uint16) { r.data = binary.LittleEndian.AppendUint16(r.data, v) }

func (r *Reply) worker(id uint64) {
	r.u32(uint32(id))
	r.u16(uint16(id >> 32))
}

func (r *Reply) text(code byte, s string) {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	r.recordHead(code, 2+len(s))
	r.u16(uint16(len(s)))
	r.data = append(r.data, s...)
}

// SelectInstance names the instance that the following actions belong to.
func (r *Reply) SelectInstance(instance uint16) { r.recordHead(ActInstance, 2); r.u16(instance) }

// Dispatch sends an attempt.
func (r *Reply) Dispatch(id uint32, worker uint64, within float64) {
	r.recordHead(ActDispatch, 18)
	r.u32(id)
	r.worker(worker)
	r.f64(within)
}

// Refuse sends the final answer that promises that a repeat does no harm.
func (r *Reply) Refuse(id uint32, retryAfter float64) {
	r.recordHead(ActRefuse, 12)
	r.u32(id)
	r.f64(retryAfter)
}

// Fail sends the final answer that promises nothing.
func (r *Reply) Fail(id uint32) { r.recordHead(ActFail, 4); r.u32(id) }

// Cancel cancels an attempt.
func (r *Reply) Cancel(id uint32, attempt uint8) {
	r.recordHead(ActCancel, 5)
	r.u32(id)
	r.data = append(r.data, attempt)
}

// CloseIdle closes the idle connections to a worker.
func (r *Reply) CloseIdle(worker uint64) { r.recordHead(ActCloseIdle, 6); r.worker(worker) }

// Probe asks a worker for its load.
func (r *Reply) Probe(worker uint64) { r.recordHead(ActProbe, 6); r.worker(worker) }

// Wake sets a timer; the token is sent back when it expires.
func (r *Reply) Wake(in float64, token uint64) {
	r.recordHead(ActWake, 16)
	r.f64(in)
	r.data = binary.LittleEndian.AppendUint64(r.data, token)
}

// Subscribe requests the worker list and its changes.
func (r *Reply) Subscribe() { r.recordHead(ActSubscribe, 1); r.data = append(r.data, 1) }

// Log writes a line of the report.
func (r *Reply) Log(line string) { r.text(ActLog, line) }

// Bug reports that the decision code failed.
func (r *Reply) Bug(text string) { r.text(ActBug, text) }
