package scenario

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// FrameCodec writes and reads HTTP/2 frames for the steps of an HTTP/2 client, one connection's.
type FrameCodec struct {
	// PostFields is the head of a {post}, with %d for the stream.
	PostFields string

	t     testing.TB
	enc   *hpack.Encoder
	block bytes.Buffer
	in    *http2.Framer
	raw   bytes.Buffer
	dec   *hpack.Decoder
}

// NewFrameCodec makes the client's side of a connection.
func NewFrameCodec(t testing.TB) *FrameCodec {
	p := &FrameCodec{t: t, PostFields: ":method=POST :scheme=http :path=/photo/1 x-correlation-id=r%d"}
	p.enc = hpack.NewEncoder(&p.block)
	p.in = http2.NewFramer(nil, &p.raw)
	p.dec = hpack.NewDecoder(4096, nil)
	return p
}

var frame = regexp.MustCompile(`\{(\w+) ?([^{}]*)\}`)

// Encode writes the frames of a text, {KIND ID FLAGS TEXT} each. Flags: e ends the stream, o leaves the field block open,
// p pads by 8.
func (p *FrameCodec) Encode(text string) []byte {
	var b bytes.Buffer
	fr := http2.NewFramer(&b, nil)
	fr.AllowIllegalWrites = true
	for _, m := range frame.FindAllStringSubmatch(text, -1) {
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
				fields = strings.ReplaceAll(p.PostFields, "%d", args[0]) + " " + rest
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

func (p *FrameCodec) pack(fields string) []byte {
	p.block.Reset()
	for _, f := range strings.Fields(fields) {
		i := 1 + strings.IndexByte(f[1:], '=')
		_ = p.enc.WriteField(hpack.HeaderField{Name: f[:i], Value: f[i+1:]})
	}
	return bytes.Clone(p.block.Bytes())
}

// FormatStreamID writes a stream's number as Bytes takes it.
func FormatStreamID(id int) string { return strconv.Itoa(id) }

// Describe reads what came from the server; half a frame waits for its rest. An answer of HTTP/1.1
// is told by its first line.
func (p *FrameCodec) Describe(came []byte) (words []string) {
	p.raw.Write(came)
	if strings.HasPrefix(p.raw.String(), "HTTP/1.1") {
		line, _, _ := strings.Cut(p.raw.String(), "\r\n")
		p.raw.Reset()
		return []string{line}
	}
	for b := p.raw.Bytes(); len(b) >= 9 && len(b) >= 9+(int(b[0])<<16|int(b[1])<<8|int(b[2])); b = p.raw.Bytes() {
		f, err := p.in.ReadFrame()
		if err == io.EOF {
			break
		}
		require.NoError(p.t, err)
		words = append(words, p.word(f))
	}
	return words
}

// word says what a frame is, by the standard library's reading of it.
func (p *FrameCodec) word(f http2.Frame) string {
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
		return fmt.Sprintf("data %d %s%s", f.StreamID, strings.ReplaceAll(string(f.Data()), "\n", `\n`), end)
	case *http2.RSTStreamFrame:
		return fmt.Sprintf("rst %d %v", f.StreamID, f.ErrCode)
	case *http2.GoAwayFrame:
		if f.LastStreamID == 1<<31-1 {
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
