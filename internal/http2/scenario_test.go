package http2

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tinsail/internal/scenario"
)

// Scenarios run on a Conn. "c" is the client: it sends and expects frames, in the notation of
// scenario.FrameCodec. "d" is the driver: it sends orders (answer, reset, free,
// drain, settle, end) and expects events. wait advances the time. Each scenario is run with its
// bytes in one piece, byte by byte and in threes.

type script struct{ name, text string }

// player runs a scenario on a Conn, as its client and its driver.
type player struct {
	t        *testing.T
	conn     *Conn
	now      time.Time
	piece    int
	frames   *scenario.FrameCodec
	received []string
	events   []string
	held     int
	maxHeld  int // highest value of held
	capacity int
	abuses   map[Abuse]int
}

func newPlayer(t *testing.T, piece int, change func(*Config)) *player {
	p := &player{t: t, now: time.Unix(1e9, 0), piece: piece, capacity: 1 << 20, abuses: map[Abuse]int{}}
	cfg := Config{MaxStreams: 4, MaxHeaderBytes: 2048, MaxFrameBytes: 16384, MaxBodyBytes: 65536, ConnectionWindow: 65536, MaxQueuedBytes: 3000,
		BodyIdleTimeout: 2500 * time.Millisecond, BodyTimeout: 5 * time.Second, StallTimeout: 5 * time.Second, DrainTimeout: 300 * time.Millisecond,
		Admit: func(n int) bool {
			if p.held+n > p.capacity {
				return false
			}
			p.held += n
			p.maxHeld = max(p.maxHeld, p.held)
			return true
		},
		Release: func(n int) { p.held -= n },
		OnAbuse: func(a Abuse) { p.abuses[a]++ }}
	if change != nil {
		change(&cfg)
	}
	p.conn = New(cfg, p.now)
	p.frames = scenario.NewFrameCodec(t)
	return p
}

// feed passes bytes to the Conn in pieces.
func (p *player) feed(b []byte) {
	for len(b) > 0 {
		space := p.conn.Space()
		n := copy(space, b[:min(p.piece, len(b))])
		p.conn.Filled(n, p.now)
		b = b[n:]
		p.collect()
	}
}

// collect records events and output.
func (p *player) collect() {
	p.collectEvents()
	p.conn.HasOutput()
	p.collectEvents() // framing an answer can end a draining connection
	p.received = append(p.received, p.frames.Describe(p.conn.TakeOutput(nil))...)
	p.collectEvents()
}

func (p *player) collectEvents() {
	for e, ok := p.conn.Next(); ok; e, ok = p.conn.Next() {
		s := e.Stream
		switch e.Kind {
		case Opened:
			var names []string
			for _, f := range s.Head.Fields {
				names = append(names, f.Name+"="+f.Value)
			}
			p.events = append(p.events, strings.TrimSpace(fmt.Sprintf("opened %d %s %s %s", s.ID, s.Head.Method, s.Head.Path, strings.Join(names, " "))))
		case BodyComplete:
			p.events = append(p.events, strings.TrimSpace(fmt.Sprintf("whole %d %s", s.ID, s.Body)))
		case StreamReset:
			p.events = append(p.events, fmt.Sprintf("gone %d", s.ID))
		case Aborted:
			p.events = append(p.events, fmt.Sprintf("dropped %d", s.ID))
		case Ended:
			p.events = append(p.events, strings.TrimSpace(fmt.Sprintf("over %v %s", e.Code, e.Reason)))
		}
	}
}

func (p *player) driverOrder(text string) {
	args := strings.SplitN(text, " ", 4)
	arg := func(i int) string {
		if i < len(args) {
			return args[i]
		}
		return ""
	}
	id, _ := strconv.ParseUint(arg(1), 10, 32)
	switch args[0] {
	case "answer":
		status, err := strconv.Atoi(arg(2))
		require.NoError(p.t, err)
		retryAfter := time.Duration(0)
		if status == 503 {
			retryAfter = 120 * time.Millisecond
		}
		p.conn.Answer(uint32(id), status, retryAfter, arg(3), p.now)
	case "reset":
		p.conn.Reset(uint32(id), RefusedStream)
	case "free":
		p.conn.ReleaseStream(uint32(id))
	case "drain":
		p.conn.Drain(p.now)
	case "settle":
		p.conn.StopNewStreams(p.now)
	case "end":
		p.conn.Terminate(EnhanceYourCalm, "too many clients")
	default:
		p.t.Fatal("no such order: ", text)
	}
	p.collect()
}

func (p *player) play(text string) {
	next := func(list *[]string) string {
		if len(*list) == 0 {
			return "nothing"
		}
		first := (*list)[0]
		*list = (*list)[1:]
		return first
	}
	for _, s := range scenario.Steps(p.t, text) {
		switch {
		case s.Verb == "wait":
			d, err := time.ParseDuration(s.Arg)
			require.NoError(p.t, err, s.Line)
			p.now = p.now.Add(d)
			p.conn.Expire(p.now)
			p.collect()
		case s.Verb == "send" && s.Actor == "c":
			p.feed(p.frames.Encode(s.Arg))
		case s.Verb == "send":
			p.driverOrder(s.Arg)
		case s.Verb == "expect" && s.Actor == "c":
			require.Equal(p.t, s.Arg, next(&p.received), s.Line)
		case s.Verb == "expect":
			require.Equal(p.t, s.Arg, next(&p.events), s.Line)
		case s.Verb == "close":
			for _, st := range p.conn.Close() {
				p.events = append(p.events, fmt.Sprintf("left %d", st.ID))
			}
		}
	}
	require.Empty(p.t, p.received, "received but not expected")
	require.Empty(p.t, p.events, "events that were not expected")
}

func playAll(t *testing.T, scripts []script, change func(*Config)) {
	t.Helper()
	for _, s := range scripts {
		for _, piece := range []int{1 << 20, 1, 3} {
			t.Run(fmt.Sprintf("%s/%d", s.name, piece), func(t *testing.T) {
				p := newPlayer(t, piece, change)
				p.play(s.text)
				for _, st := range p.conn.Close() {
					require.False(t, st.closed)
				}
				require.Zero(t, p.held, "memory still held after Close")
			})
		}
	}
}
