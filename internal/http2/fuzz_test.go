package http2

import (
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"pgregory.net/rapid"

	"tinsail/internal/scenario"
)

// invariantChecker checks the guarantees of a Conn, whatever the client sends and the driver does.
type invariantChecker struct {
	t           testing.TB
	conn        *Conn
	now         time.Time
	held        int
	ended       bool
	unanswered  map[uint32]bool // streams reported as BodyComplete and neither answered nor reset
	opened      map[uint32]bool // streams reported as Opened, without a final event or frame so far
	finalFrames map[uint32]int  // ends of answers and resets in the output, by stream
}

const checkerCapacity = 100_000

func newInvariantChecker(t testing.TB) *invariantChecker {
	w := &invariantChecker{t: t, now: time.Unix(1e9, 0), unanswered: map[uint32]bool{}, opened: map[uint32]bool{}, finalFrames: map[uint32]int{}}
	w.conn = New(Config{MaxStreams: 8, MaxHeaderBytes: 2048, MaxFrameBytes: 16384, MaxBodyBytes: 65536, ConnectionWindow: 65536, MaxQueuedBytes: 4000,
		BodyIdleTimeout: time.Second, BodyTimeout: 2 * time.Second, StallTimeout: time.Second, DrainTimeout: time.Second,
		Admit: func(n int) bool {
			if n <= 0 || w.held+n > checkerCapacity {
				return false
			}
			w.held += n
			return true
		},
		Release: func(n int) { w.held -= n }}, w.now)
	return w
}

// step handles events and output, and answers some streams at random.
func (w *invariantChecker) step(rng *rand.Rand) {
	for range 3 {
		for e, ok := w.conn.Next(); ok; e, ok = w.conn.Next() {
			w.checkEvent(e, rng)
		}
		w.checkFrames(w.conn.TakeOutput(nil))
	}
	require.LessOrEqual(w.t, w.held, checkerCapacity)
	require.GreaterOrEqual(w.t, w.held, 0)
	require.LessOrEqual(w.t, len(w.conn.output), maxOutput+1<<17)
	require.LessOrEqual(w.t, len(w.conn.input), 16384+frameHeaderLength+2*minReadSpace)
	require.LessOrEqual(w.t, len(w.conn.streams), 8)
	if w.ended {
		return
	}
	for id := range w.unanswered {
		switch rng.IntN(6) {
		case 0:
			if w.conn.Answer(id, 200, 0, strings.Repeat("r", []int{0, 9, 90, 1500}[rng.IntN(4)]), w.now) {
				delete(w.unanswered, id)
			}
		case 1:
			w.conn.Reset(id, RefusedStream)
			delete(w.unanswered, id)
		}
	}
	switch rng.IntN(40) {
	case 0:
		w.conn.Drain(w.now)
	case 1:
		w.now = w.now.Add(time.Duration(rng.IntN(600)) * time.Millisecond)
		w.conn.Expire(w.now)
	}
}

func (w *invariantChecker) checkEvent(e Event, rng *rand.Rand) {
	require.False(w.t, w.ended, "an event after Ended")
	id := uint32(0)
	if e.Stream != nil {
		id = e.Stream.ID
	}
	switch e.Kind {
	case Opened:
		require.False(w.t, w.opened[id], "opened twice")
		w.opened[id] = true
		e.Stream.Discard = rng.IntN(4) == 0
	case BodyComplete:
		require.True(w.t, w.opened[id])
		w.unanswered[id] = true
	case StreamReset:
		require.True(w.t, w.opened[id], "StreamReset of a stream that was not opened")
		delete(w.unanswered, id)
		delete(w.opened, id)
		w.conn.ReleaseStream(id)
	case Aborted:
		require.True(w.t, w.opened[id])
		require.False(w.t, w.unanswered[id])
		delete(w.opened, id)
	case Ended:
		w.ended = true
	}
}

func (w *invariantChecker) checkFrames(b []byte) {
	for len(b) > 0 {
		require.GreaterOrEqual(w.t, len(b), 9, "incomplete frame")
		n := 9 + payloadLength(b)
		if string(b[:4]) == "HTTP" {
			return
		}
		require.GreaterOrEqual(w.t, len(b), n, "incomplete frame")
		id := binary.BigEndian.Uint32(b[5:])
		kind, flags := http2.FrameType(b[3]), b[4]
		if kind == http2.FrameRSTStream || kind <= http2.FrameHeaders && flags&1 != 0 {
			// A reset after an answer only asks the client to stop sending; it does not void the answer.
			late := kind == http2.FrameRSTStream && Code(binary.BigEndian.Uint32(b[9:])) == NoError
			if !late && w.opened[id] {
				w.finalFrames[id]++
				require.Equal(w.t, 1, w.finalFrames[id], "stream %d has two final answers or resets", id)
				delete(w.opened, id)
			}
		}
		b = b[n:]
	}
}

// close ends the connection and checks that every stream still open is returned by Close and that
// nothing stays held.
func (w *invariantChecker) close() {
	for _, s := range w.conn.Close() {
		delete(w.opened, s.ID)
		delete(w.unanswered, s.ID)
	}
	require.Empty(w.t, w.unanswered, "streams that will never be answered")
	require.Zero(w.t, w.held)
}

func (w *invariantChecker) feed(b []byte, piece int, rng *rand.Rand) {
	for len(b) > 0 && !w.ended {
		n := copy(w.conn.Space(), b[:min(piece, len(b))])
		require.Positive(w.t, n)
		w.conn.Filled(n, w.now)
		b = b[n:]
		w.step(rng)
	}
}

// FuzzConn feeds arbitrary bytes, with and without a valid preface before them.
func FuzzConn(f *testing.F) {
	fr := scenario.NewFrameCodec(f)
	for _, text := range []string{
		"{hello}{post 1 x}{data 1 e photo}{post 3 e}{rst 3}",
		"{hello}{set 4 0}{post 1 e}{window 1 5}{set 4 70000}{window 0 1}",
		"{hello}{post 1 eo}{more 1 x a=b}{post 3 p}{data 3 p x}{head 3 e t=1}",
		"{hello}{ping 1}{priority 3 1}{frame 99 20}{goaway}{push 1}",
		"{hello}{post 1 x content-length=70000}{data 1 x a}{post 3 e connection=x}",
	} {
		f.Add(fr.Encode(text), uint64(1), byte(9))
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), uint64(0), byte(3))
	f.Fuzz(func(t *testing.T, b []byte, seed uint64, piece byte) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newInvariantChecker(t)
		if seed%2 == 1 && !strings.HasPrefix(string(b), "PRI") {
			w.feed([]byte(http2.ClientPreface+"\x00\x00\x00\x04\x00\x00\x00\x00\x00"), 1000, rng)
		}
		w.feed(b, 1+int(piece), rng)
		w.close()
	})
}

// TestAnyOrder sends frames of all kinds in any order, most of them well formed, split at any
// place, with answers, resets, drains and pauses between them.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		fr := scenario.NewFrameCodec(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 2))
		w := newInvariantChecker(t)
		w.feed(fr.Encode("{hello}{ack}"), 1000, rng)
		next := 1
		for range rapid.IntRange(1, 60).Draw(r, "frames") {
			id := max(1, next-2*rapid.IntRange(0, 6).Draw(r, "back"))
			text := rapid.SampledFrom([]string{"{post N e}", "{post N x}", "{post N x content-length=3}", "{data I x abc}", "{data I e abc}",
				"{data I p abc}", "{rst I}", "{window I 50}", "{window 0 50}", "{set 4 0}", "{set 4 70}", "{head I e t=1}", "{priority I 0}",
				"{ping 1}", "{ping 0x7461696c ack}", "{post N e connection=x}", "{data I x " + strings.Repeat("z", 9000) + "}"}).Draw(r, "frame")
			if strings.Contains(text, "N") {
				id, next = next, next+2
			}
			piece := rapid.IntRange(1, 12_000).Draw(r, "piece")
			num := scenario.FormatStreamID(id)
			w.feed(fr.Encode(strings.NewReplacer("N", num, "I", num).Replace(text)), piece, rng)
		}
		w.close()
	})
}
