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

// FrameCodec encodes and decodes the HTTP/2 frames of one connection, on the client's side.
type FrameCodec struct {
	// PostFields are the header fields of a {post} frame. %d stands for the stream ID.
	PostFields string

	t            testing.TB
	encoder      *hpack.Encoder
	encoded      bytes.Buffer // the encoder's output
	framer       *http2.Framer
	received     bytes.Buffer // the framer's input
	fieldDecoder *hpack.Decoder
}

// NewFrameCodec returns a codec for a new connection. Failures are reported to t.
func NewFrameCodec(t testing.TB) *FrameCodec {
	p := &FrameCodec{t: t, PostFields: ":method=POST :scheme=http :path=/photo/1 x-correlation-id=r%d"}
	p.encoder = hpack.NewEncoder(&p.encoded)
	p.framer = http2.NewFramer(nil, &p.received)
	p.fieldDecoder = hpack.NewDecoder(4096, nil)
	return p
}

var framePattern = regexp.MustCompile(`\{(\w+) ?([^{}]*)\}`)

// Encode encodes the frames of a text, each written as {KIND ID FLAGS TEXT}. Flags: e ends the stream,
// o leaves the field block open, p pads by 8 bytes. A frame may break the protocol's rules.
func (p *FrameCodec) Encode(text string) []byte {
	var out bytes.Buffer
	fr := http2.NewFramer(&out, nil)
	fr.AllowIllegalWrites = true
	for _, m := range framePattern.FindAllStringSubmatch(text, -1) {
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
		case "hello": // the connection preface and SETTINGS
			out.WriteString(http2.ClientPreface)
			_ = fr.WriteSettings()
		case "raw":
			for _, h := range strings.Fields(m[2]) {
				n, err := strconv.ParseUint(h, 16, 8)
				require.NoError(p.t, err)
				out.WriteByte(byte(n))
			}
		case "text":
			out.WriteString(strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(m[2]))
		case "post", "head": // HEADERS: post adds the fields of PostFields
			fields := rest
			if m[1] == "post" {
				fields = strings.ReplaceAll(p.PostFields, "%d", args[0]) + " " + rest
			}
			_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: p.encodeFields(fields), PadLength: pad,
				EndStream: strings.Contains(flags, "e"), EndHeaders: !strings.Contains(flags, "o")})
		case "more":
			_ = fr.WriteContinuation(id, !strings.Contains(flags, "o"), p.encodeFields(rest))
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
		case "frame": // a frame of any type, with a zero payload of the given length
			n, _ := strconv.Atoi(flags)
			_ = fr.WriteRawFrame(http2.FrameType(id), 0, 0, make([]byte, n))
		default:
			p.t.Fatal("unknown frame: ", m[0])
		}
	}
	return out.Bytes()
}

// encodeFields returns the field block of NAME=VALUE words.
func (p *FrameCodec) encodeFields(fields string) []byte {
	p.encoded.Reset()
	for _, f := range strings.Fields(fields) {
		i := 1 + strings.IndexByte(f[1:], '=')
		_ = p.encoder.WriteField(hpack.HeaderField{Name: f[:i], Value: f[i+1:]})
	}
	return bytes.Clone(p.encoded.Bytes())
}

// FormatStreamID formats a stream ID as Encode reads it.
func FormatStreamID(id int) string { return strconv.Itoa(id) }

// Describe decodes bytes from the server and returns one description per frame. An incomplete frame
// is kept until the rest is passed in. An HTTP/1.1 response is described by its status line.
func (p *FrameCodec) Describe(data []byte) (descriptions []string) {
	p.received.Write(data)
	if strings.HasPrefix(p.received.String(), "HTTP/1.1") {
		line, _, _ := strings.Cut(p.received.String(), "\r\n")
		p.received.Reset()
		return []string{line}
	}
	for b := p.received.Bytes(); len(b) >= 9 && len(b) >= 9+(int(b[0])<<16|int(b[1])<<8|int(b[2])); b = p.received.Bytes() {
		f, err := p.framer.ReadFrame()
		if err == io.EOF {
			break
		}
		require.NoError(p.t, err)
		descriptions = append(descriptions, p.describeFrame(f))
	}
	return descriptions
}

// describeFrame describes a frame as golang.org/x/net/http2 decodes it.
func (p *FrameCodec) describeFrame(f http2.Frame) string {
	suffix := ""
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if f.IsAck() {
			return "ack"
		}
		return "settings"
	case *http2.HeadersFrame:
		list, err := p.fieldDecoder.DecodeFull(f.HeaderBlockFragment())
		require.NoError(p.t, err)
		for _, h := range list[1:] {
			suffix += " " + h.Name + "=" + h.Value
		}
		if f.StreamEnded() {
			suffix += " end"
		}
		return fmt.Sprintf("head %d %s%s", f.StreamID, list[0].Value, suffix)
	case *http2.DataFrame:
		if f.StreamEnded() {
			suffix = " end"
		}
		return fmt.Sprintf("data %d %s%s", f.StreamID, strings.ReplaceAll(string(f.Data()), "\n", `\n`), suffix)
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
