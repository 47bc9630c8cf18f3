package http2

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"tinsail/internal/scenario"
)

// Scenarios run on the machine. "c" is the client: it sends frames, written {KIND ID FLAGS TEXT},
// and expects the frames that come out. "d" is the driver: it sends orders (answer, reset, free,
// drain, settle, end) and expects events. wait lets time pass. Each scenario is run with its
// bytes in one piece, byte by byte and in threes.

type script struct{ name, text string }

// player is a machine between a client and a driver, both of which only listen.
type player struct {
	t      *testing.T
	m      *Conn
	now    time.Time
	piece  int
	enc    *hpack.Encoder
	block  bytes.Buffer
	frames *http2.Framer // what came out
	raw    bytes.Buffer
	dec    *hpack.Decoder
	came   []string
	events []string
	held   int
	most   int // of held
	room   int
	seen   map[Abuse]int
}

func newPlayer(t *testing.T, piece int, change func(*Config)) *player {
	p := &player{t: t, now: time.Unix(1e9, 0), piece: piece, room: 1 << 20, seen: map[Abuse]int{}}
	cfg := Config{Streams: 4, HeaderBytes: 2048, FrameBytes: 16384, BodyBytes: 65536, Window: 65536, Queue: 10,
		BodyWait: 2500 * time.Millisecond, WholeWait: 5 * time.Second, Stall: 5 * time.Second, DrainWait: 300 * time.Millisecond,
		Admit: func(n int) bool {
			if p.held+n > p.room {
				return false
			}
			p.held += n
			p.most = max(p.most, p.held)
			return true
		},
		Release: func(n int) { p.held -= n },
		Count:   func(a Abuse) { p.seen[a]++ }}
	if change != nil {
		change(&cfg)
	}
	p.m = New(cfg, p.now)
	p.enc = hpack.NewEncoder(&p.block)
	p.frames = http2.NewFramer(nil, &p.raw)
	p.dec = hpack.NewDecoder(4096, nil)
	return p
}

var macro = regexp.MustCompile(`\{(\w+) ?([^{}]*)\}`)

// expand writes the frames of a text. Flags: e ends the stream, o leaves the field block open,
// p pads by 8.
func (p *player) expand(text string) []byte {
	var b bytes.Buffer
	fr := http2.NewFramer(&b, nil)
	fr.AllowIllegalWrites = true
	for _, m := range macro.FindAllStringSubmatch(text, -1) {
		args := strings.SplitN(m[2], " ", 3)
		id64, _ := strconv.ParseUint(args[0], 0, 32)
		id := uint32(id64)
		flags, rest := "", ""
		if len(args) > 1 {
			flags = args[1]
		}
		if len(args) > 2 {
			rest = args[2]
		}
		pad := byte(0)
		if strings.Contains(flags, "p") {
			pad = 8
		}
		switch m[1] {
		case "hello": // the preface and SETTINGS
			b.WriteString(http2.ClientPreface)
			_ = fr.WriteSettings()
		case "raw":
			for _, h := range strings.Fields(m[2]) {
				n, err := strconv.ParseUint(h, 16, 8)
				require.NoError(p.t, err)
				b.WriteByte(byte(n))
			}
		case "text":
			b.WriteString(strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(m[2]))
		case "post", "head": // a whole head of a POST, and one as it stands
			fields := rest
			if m[1] == "post" {
				fields = ":method=POST :scheme=http :path=/photo/1 x-correlation-id=r" + args[0] + " " + rest
			}
			_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: p.pack(fields), PadLength: pad,
				EndStream: strings.Contains(flags, "e"), EndHeaders: !strings.Contains(flags, "o")})
		case "more":
			_ = fr.WriteContinuation(id, !strings.Contains(flags, "o"), p.pack(rest))
		case "data":
			if pad > 0 {
				_ = fr.WriteDataPadded(id, strings.Contains(flags, "e"), []byte(rest), make([]byte, pad))
			} else {
				_ = fr.WriteData(id, strings.Contains(flags, "e"), []byte(rest))
			}
		case "rst":
			_ = fr.WriteRSTStream(id, http2.ErrCodeCancel)
		case "ping":
			_ = fr.WritePing(flags == "ack", [8]byte{byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id)})
		case "window":
			n, _ := strconv.ParseUint(flags, 0, 32)
			_ = fr.WriteWindowUpdate(id, uint32(n))
		case "set":
			n, _ := strconv.ParseUint(flags, 0, 32)
			_ = fr.WriteSettings(http2.Setting{ID: http2.SettingID(id), Val: uint32(n)})
		case "ack":
			_ = fr.WriteSettingsAck()
		case "priority":
			n, _ := strconv.ParseUint(flags, 0, 32)
			_ = fr.WritePriority(id, http2.PriorityParam{StreamDep: uint32(n)})
		case "goaway":
			_ = fr.WriteGoAway(0, http2.ErrCodeNo, nil)
		case "push":
			_ = fr.WritePushPromise(http2.PushPromiseParam{StreamID: id, PromiseID: 2, EndHeaders: true})
		case "frame": // of a kind that nobody knows, with a payload of so many bytes
			n, _ := strconv.Atoi(flags)
			_ = fr.WriteRawFrame(http2.FrameType(id), 0, 0, make([]byte, n))
		default:
			p.t.Fatal("no such frame: ", m[0])
		}
	}
	return b.Bytes()
}

func (p *player) pack(fields string) []byte {
	p.block.Reset()
	for _, f := range strings.Fields(fields) {
		i := 1 + strings.IndexByte(f[1:], '=')
		_ = p.enc.WriteField(hpack.HeaderField{Name: f[:i], Value: f[i+1:]})
	}
	return bytes.Clone(p.block.Bytes())
}

// feed gives the machine bytes in pieces.
func (p *player) feed(b []byte) {
	for len(b) > 0 {
		space := p.m.Space()
		n := copy(space, b[:min(p.piece, len(b))])
		p.m.Filled(n, p.now)
		b = b[n:]
		p.look()
	}
}

// look takes down the events and what came out.
func (p *player) look() {
	p.told()
	p.m.Pending()
	p.told() // framing an answer can end a connection that drains
	p.raw.Write(p.m.Take(nil))
	p.told()
	p.read()
}

func (p *player) told() {
	for e, ok := p.m.Next(); ok; e, ok = p.m.Next() {
		s := e.Stream
		switch e.Kind {
		case Opened:
			var names []string
			for _, f := range s.Head.Fields {
				names = append(names, f.Name+"="+f.Value)
			}
			p.events = append(p.events, strings.TrimSpace(fmt.Sprintf("opened %d %s %s %s", s.ID, s.Head.Method, s.Head.Path, strings.Join(names, " "))))
		case Whole:
			p.events = append(p.events, strings.TrimSpace(fmt.Sprintf("whole %d %s", s.ID, s.Body)))
		case Gone:
			p.events = append(p.events, fmt.Sprintf("gone %d", s.ID))
		case Dropped:
			p.events = append(p.events, fmt.Sprintf("dropped %d", s.ID))
		case Over:
			p.events = append(p.events, strings.TrimSpace(fmt.Sprintf("over %v %s", e.Code, e.Reason)))
		}
	}
}

func (p *player) read() {
	if strings.HasPrefix(p.raw.String(), "HTTP/1.1") {
		line, _, _ := strings.Cut(p.raw.String(), "\r\n")
		p.came = append(p.came, line)
		p.raw.Reset()
	}
	for p.raw.Len() > 0 {
		f, err := p.frames.ReadFrame()
		if err == io.EOF {
			break
		}
		require.NoError(p.t, err)
		p.came = append(p.came, p.word(f))
	}
}

// word says what a frame is, by the standard library's reading of it.
func (p *player) word(f http2.Frame) string {
	end := ""
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if f.IsAck() {
			return "ack"
		}
		return "settings"
	case *http2.HeadersFrame:
		list, err := p.dec.DecodeFull(f.HeaderBlockFragment())
		require.NoError(p.t, err)
		for _, h := range list[1:] {
			end += " " + h.Name + "=" + h.Value
		}
		if f.StreamEnded() {
			end += " end"
		}
		return fmt.Sprintf("head %d %s%s", f.StreamID, list[0].Value, end)
	case *http2.DataFrame:
		if f.StreamEnded() {
			end = " end"
		}
		return fmt.Sprintf("data %d %s%s", f.StreamID, f.Data(), end)
	case *http2.RSTStreamFrame:
		return fmt.Sprintf("rst %d %v", f.StreamID, f.ErrCode)
	case *http2.GoAwayFrame:
		if f.LastStreamID == unusedID {
			return fmt.Sprintf("goaway open %v", f.ErrCode)
		}
		return strings.TrimSpace(fmt.Sprintf("goaway %d %v %s", f.LastStreamID, f.ErrCode, f.DebugData()))
	case *http2.PingFrame:
		if f.IsAck() {
			return "pong"
		}
		return "ping"
	case *http2.WindowUpdateFrame:
		return fmt.Sprintf("window %d %d", f.StreamID, f.Increment)
	}
	return f.Header().Type.String()
}

func (p *player) order(text string) {
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
		pause := time.Duration(0)
		if status == 503 {
			pause = 120 * time.Millisecond
		}
		p.m.Answer(uint32(id), status, pause, arg(3), p.now)
	case "reset":
		p.m.Reset(uint32(id), Refused)
	case "free":
		p.m.Free(uint32(id))
	case "drain":
		p.m.Drain(p.now)
	case "settle":
		p.m.Settle(p.now)
	case "end":
		p.m.End(EnhanceYou, "too many clients")
	default:
		p.t.Fatal("no such order: ", text)
	}
	p.look()
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
			p.m.Expire(p.now)
			p.look()
		case s.Verb == "send" && s.Who == "c":
			p.feed(p.expand(s.Arg))
		case s.Verb == "send":
			p.order(s.Arg)
		case s.Verb == "expect" && s.Who == "c":
			require.Equal(p.t, s.Arg, next(&p.came), s.Line)
		case s.Verb == "expect":
			require.Equal(p.t, s.Arg, next(&p.events), s.Line)
		case s.Verb == "close":
			for _, st := range p.m.Close() {
				p.events = append(p.events, fmt.Sprintf("left %d", st.ID))
			}
		}
	}
	require.Empty(p.t, p.came, "came and not expected")
	require.Empty(p.t, p.events, "told and not expected")
}

func playAll(t *testing.T, scripts []script, change func(*Config)) {
	t.Helper()
	for _, s := range scripts {
		for _, piece := range []int{1 << 20, 1, 3} {
			t.Run(fmt.Sprintf("%s/%d", s.name, piece), func(t *testing.T) {
				p := newPlayer(t, piece, change)
				p.play(s.text)
				for _, st := range p.m.Close() {
					require.False(t, st.gone)
				}
				require.Zero(t, p.held, "held for nobody")
			})
		}
	}
}
