package http2

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/net/http2"
)

// handshake is the start of every connection that succeeds.
const handshake = `
	c send {hello}{ack}
	c expect settings
	c expect window 0 1
	c expect ack
`

func TestStreams(t *testing.T) {
	playAll(t, []script{
		{"served", handshake + `
			c send {post 1 x}{data 1 e photo}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d expect whole 1 photo
			d send answer 1 200 small
			c expect head 1 200
			c expect data 1 small end`},
		{"refused, with the time to come back", handshake + `
			c send {post 1 e}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d expect whole 1
			d send answer 1 503
			c expect head 1 503 retry-after=0.120 end`},
		{"answers come in any order", handshake + `
			c send {post 1 e}{post 3 e}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d expect whole 1
			d expect opened 3 POST /photo/1 x-correlation-id=r3
			d expect whole 3
			d send answer 3 200 b
			c expect head 3 200
			c expect data 3 b end
			d send answer 1 200 a
			c expect head 1 200
			c expect data 1 a end`},
		{"only the first answer counts", handshake + `
			c send {post 1 e}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d expect whole 1
			d send answer 1 200 a
			d send answer 1 502
			d send reset 1
			c expect head 1 200
			c expect data 1 a end`},
		{"answered before its body: the rest is not wanted, and what crosses is ignored", handshake + `
			c send {post 1 x}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d send answer 1 404 no
			c expect head 1 404
			c expect data 1 no end
			c expect rst 1 NO_ERROR
			c send {data 1 x abc}{data 1 e def}`},
		{"a reset after the job has started keeps its place until that is over", handshake + `
			c send {post 1 e}{post 3 e}{post 5 e}{post 7 e}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d expect whole 1
			d expect opened 3 POST /photo/1 x-correlation-id=r3
			d expect whole 3
			d expect opened 5 POST /photo/1 x-correlation-id=r5
			d expect whole 5
			d expect opened 7 POST /photo/1 x-correlation-id=r7
			d expect whole 7
			c send {rst 1}
			d expect gone 1
			c send {post 9 e}
			c expect rst 9 REFUSED_STREAM
			d send answer 1 200 late
			d send free 1
			c send {post 11 e}
			d expect opened 11 POST /photo/1 x-correlation-id=r11
			d expect whole 11`},
		{"a reset that crosses the answer", handshake + `
			c send {set 4 0}
			c expect ack
			c send {post 1 e}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d expect whole 1
			d send answer 1 200 small
			c expect head 1 200
			c send {rst 1}{window 1 99}{post 3 e}
			d expect opened 3 POST /photo/1 x-correlation-id=r3
			d expect whole 3`},
		{"a reset before the body is whole", handshake + `
			c send {post 1 x}{data 1 x ab}{rst 1}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d expect gone 1
			c send {data 1 e c}
			c expect rst 1 STREAM_CLOSED`},
		{"the connection is lost with a stream open", handshake + `
			c send {post 1 e}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			d expect whole 1
			c close
			d expect left 1`},
		{"trailers end a stream, padding counts for nothing", handshake + `
			c send {post 1 p}{data 1 p ab}{head 1 e x-sum=1}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			c expect window 1 9
			d expect whole 1 ab
			d send answer 1 200 r
			c expect head 1 200
			c expect data 1 r end`},
		{"a field block in many frames", handshake + `
			c send {head 1 eo :method=POST :scheme=http}{more 1 o :path=/photo/2}{more 1 x x-repeat=1}
			d expect opened 1 POST /photo/2 x-repeat=1
			d expect whole 1
			d send reset 1
			c expect rst 1 REFUSED_STREAM`},
		{"the client waits to be told to send its body", handshake + `
			c send {post 1 x expect=100-continue content-length=2}
			d expect opened 1 POST /photo/1 x-correlation-id=r1 expect=100-continue content-length=2
			c expect head 1 100
			c send {data 1 e ab}
			d expect whole 1 ab
			d send answer 1 200
			c expect head 1 200 end`},
		{"what is to be ignored is", handshake + `
			c send {frame 99 5}{priority 3 1}{goaway}{ping 7}
			c expect pong
			c send {head 1 e :method=HEAD :scheme=http :path=/health/live}
			d expect opened 1 HEAD /health/live
			d expect whole 1
			d send answer 1 200 body
			c expect head 1 200 end`},
		{"not to be read to its end", handshake + `
			c send {post 1 x}{data 1 x {{9*a}}}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			wait 2499ms
			c send {data 1 x b}
			wait 2499ms
			c expect nothing
			wait 1ms
			d expect dropped 1
			c expect head 1 408 end
			c expect rst 1 NO_ERROR`},
		{"nor dripping for ever", handshake + `
			c send {post 1 x}
			d expect opened 1 POST /photo/1 x-correlation-id=r1
			wait 2s
			c send {data 1 x b}
			wait 2s
			c send {data 1 x b}
			wait 1s
			d expect dropped 1
			c expect head 1 408 end
			c expect rst 1 NO_ERROR`},
		{"a body that is too long by its head", handshake + `
			c send {post 1 x content-length=65537}
			c expect head 1 413 end
			c expect rst 1 NO_ERROR`},
		{"a list of fields that is too long", handshake + `
			c send {post 1 e x={{1900*a}}}{post 3 e}
			c expect head 1 431 end
			d expect opened 3 POST /photo/1 x-correlation-id=r3
			d expect whole 3`},
	}, nil)
}

// TestProtocolErrors checks that each fault resets the stream or ends the connection, as RFC 9113
// requires.
func TestProtocolErrors(t *testing.T) {
	var scripts []script
	for name, s := range map[string]string{
		"DATA longer than its length":         "{post 1 x content-length=2}{data 1 x abc}",
		"DATA shorter than its length":        "{post 1 x content-length=2}{data 1 e a}",
		"a length and no DATA":                "{post 1 e content-length=2}",
		"two lengths":                         "{post 1 x content-length=2 content-length=3}",
		"a length that is no number":          "{post 1 x content-length=+2}",
		"an upper-case name":                  "{post 1 e X-Repeat=1}",
		"Connection":                          "{post 1 e connection=close}",
		"Transfer-Encoding":                   "{post 1 e transfer-encoding=chunked}",
		"TE but trailers":                     "{post 1 e te=gzip}",
		"no path":                             "{head 1 e :method=POST :scheme=http}",
		"no method":                           "{head 1 e :scheme=http :path=/}",
		"an empty path":                       "{head 1 e :method=POST :scheme=http :path=}",
		"a path without a slash":              "{head 1 e :method=POST :scheme=http :path=x}",
		"a pseudo-field twice":                "{head 1 e :method=POST :scheme=http :path=/ :path=/}",
		"a pseudo-field after others":         "{head 1 e :method=POST :scheme=http a=b :path=/}",
		"a pseudo-field of an answer":         "{head 1 e :method=POST :scheme=http :path=/ :status=200}",
		"CONNECT with a path":                 "{head 1 e :method=CONNECT :authority=a :path=/ :scheme=http}",
		"trailers that do not end the stream": "{post 1 x}{head 1 x a=b}",
		"pseudo-fields in trailers":           "{post 1 x}{head 1 e :path=/}",
	} {
		opens := ""
		if strings.Count(s, "{") > 1 {
			opens = "d expect opened 1 POST /photo/1 x-correlation-id=r1"
			if strings.Contains(s, "length=2") {
				opens += " content-length=2"
			}
			opens += "\nd expect dropped 1\n"
		}
		scripts = append(scripts, script{name, handshake + "c send " + s + "\n" + opens + "c expect rst 1 PROTOCOL_ERROR\nc send {post 3 e}\nd expect opened 3 POST /photo/1 x-correlation-id=r3\nd expect whole 3"})
	}
	for name, s := range map[string][2]string{
		"an even stream":              {"{post 2 e}", "PROTOCOL_ERROR a stream with an even number"},
		"a stream that is over":       {"{post 3 x}{rst 3}{post 1 e}", "STREAM_CLOSED HEADERS for a stream that is closed"},
		"DATA on an idle stream":      {"{data 1 e a}", "PROTOCOL_ERROR DATA for a stream that is idle"},
		"RST on an idle stream":       {"{rst 1}", "PROTOCOL_ERROR RST_STREAM for a stream that is idle"},
		"a window on an idle stream":  {"{window 1 1}", "PROTOCOL_ERROR WINDOW_UPDATE for a stream that is idle"},
		"a push":                      {"{push 1}", "PROTOCOL_ERROR a client that pushes"},
		"a block in a block":          {"{post 1 eo}{ping 1}", "PROTOCOL_ERROR a bad frame"},
		"a block on another stream":   {"{post 1 eo}{more 3 x}", "PROTOCOL_ERROR a bad frame"},
		"a frame too long":            {"{frame 99 16385}", "FRAME_SIZE_ERROR a frame that is too long"},
		"a PING too short":            {"{raw 0 0 1 6 0 0 0 0 0 7}", "FRAME_SIZE_ERROR a bad frame"},
		"padding without a length":    {"{raw 0 0 0 1 d 0 0 0 1}", "FRAME_SIZE_ERROR a frame that is too short"},
		"padding beyond the frame":    {"{raw 0 0 1 1 d 0 0 0 1 9}", "PROTOCOL_ERROR a bad HEADERS frame"},
		"an index of nothing":         {"{raw 0 0 1 1 5 0 0 0 1 ff}", "COMPRESSION_ERROR a field block that ends too soon"},
		"a window of too much":        {"{window 0 0x7fffffff}", "FLOW_CONTROL_ERROR a window that is too large"},
		"an initial window too large": {"{set 4 0x80000000}", "FLOW_CONTROL_ERROR a bad frame"},
		"a frame size too small":      {"{set 5 1}", "PROTOCOL_ERROR a bad setting"},
	} {
		last := 0
		if strings.HasPrefix(s[0], "{post 3") {
			last = 3
		} else if strings.HasPrefix(s[0], "{post 1") || strings.HasPrefix(s[0], "{raw 0 0 1 1 5") {
			last = 1
		}
		events := ""
		if last == 3 {
			events = "d expect opened 3 POST /photo/1 x-correlation-id=r3\nd expect gone 3\n"
		}
		scripts = append(scripts, script{name, handshake + "c send " + s[0] + "\n" + events + "d expect over " + s[1] + fmt.Sprintf("\nc expect goaway %d %s", last, s[1])})
	}
	scripts = append(scripts,
		script{"no SETTINGS first", "c send {text PRI * HTTP/2.0\\r\\n\\r\\nSM\\r\\n\\r\\n}{ping 1}\nc expect settings\nc expect window 0 1\nd expect over PROTOCOL_ERROR the first frame is not SETTINGS\nc expect goaway 0 PROTOCOL_ERROR the first frame is not SETTINGS"},
		script{"HTTP/1.1", "c send {text POST /photo HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n}\nd expect over HTTP_1_1_REQUIRED HTTP/1\nc expect HTTP/1.1 505 HTTP Version Not Supported"},
		script{"neither", "c send {raw 16 3 1 0 a5 1 0}\nd expect over PROTOCOL_ERROR not the preface\nc expect goaway 0 PROTOCOL_ERROR"},
		script{"a line that is not HTTP/1.1", "c send {text PRI * HTTP/3.0\\r\\n}\nd expect over PROTOCOL_ERROR not the preface\nc expect goaway 0 PROTOCOL_ERROR"},
		script{"beyond the budget", "d send end\nc expect settings\nc expect window 0 1\nd expect over ENHANCE_YOUR_CALM too many clients\nc expect goaway 0 ENHANCE_YOUR_CALM too many clients"},
	)
	playAll(t, scripts, nil)
}

// TestFlowControl checks that answers are sent as the windows allow, in turns, and that an answer
// that is not read is aborted.
func TestFlowControl(t *testing.T) {
	two := handshake + `
		c send {set 4 2}
		c expect ack
		c send {post 1 e}{post 3 e}
		d expect opened 1 POST /photo/1 x-correlation-id=r1
		d expect whole 1
		d expect opened 3 POST /photo/1 x-correlation-id=r3
		d expect whole 3
	`
	playAll(t, []script{
		{"piece by piece", two + `
			d send answer 1 200 abcde
			c expect head 1 200
			c expect data 1 ab
			c send {window 1 1}
			c expect data 1 c
			c send {set 4 4}
			c expect ack
			c expect data 1 de end`},
		{"a window that falls below zero", two + `
			d send answer 1 200 abcde
			c expect head 1 200
			c expect data 1 ab
			c send {set 4 0}
			c expect ack
			c send {window 1 2}
			c expect nothing
			c send {window 1 1}
			c expect data 1 c
			d send reset 3
			c expect rst 3 REFUSED_STREAM`},
		{"one stream's window holds up no other", two + `
			d send answer 1 200 abcde
			d send answer 3 200 xy
			c expect head 1 200
			c expect data 1 ab
			c expect head 3 200
			c expect data 3 xy end`},
		{"a window that stays shut costs the stream, and others go on", two + `
			d send answer 1 200 abcde
			c expect head 1 200
			c expect data 1 ab
			wait 4s
			d send answer 3 200 xy
			c expect head 3 200
			c expect data 3 xy end
			wait 1s
			c expect rst 1 CANCEL
			c send {post 5 e}
			d expect opened 5 POST /photo/1 x-correlation-id=r5
			d expect whole 5`},
		{"where nothing moves at all, the connection", two + `
			d send answer 1 200 abcde
			c expect head 1 200
			c expect data 1 ab
			wait 5s
			c expect rst 1 CANCEL
			d expect over ENHANCE_YOUR_CALM the window stays shut
			c expect goaway 3 ENHANCE_YOUR_CALM the window stays shut`},
		{"answers are not gathered without end", two + `
			d send answer 1 200 {{2000*a}}
			c expect head 1 200
			c expect data 1 aa
			d send answer 3 200 {{2000*b}}
			c expect rst 3 ENHANCE_YOUR_CALM`},
		{"a window of too much on a stream", two + `
			c send {window 1 0x7fffffff}
			c expect rst 1 FLOW_CONTROL_ERROR
			d expect gone 1`},
	}, nil)
	big := strings.Repeat("z", 16384)
	full := handshake + "c send {post 1 x}\nd expect opened 1 POST /photo/1 x-correlation-id=r1\n"
	playAll(t, []script{
		{"the client's window opens as bodies come in", full + `
			c send {data 1 x ` + big + `}{data 1 x ` + big + `}
			c expect window 0 32768
			c send {data 1 x ` + big + `}{data 1 e ` + big + `}
			c expect window 0 32768
			d expect whole 1 ` + big + big + big + big},
		{"a body that is too long", full + `
			c send {data 1 x ` + big + `}{data 1 x ` + big + `}{data 1 x ` + big + `}{data 1 x ` + big + `}
			c expect window 0 32768
			c expect window 0 32768
			c send {data 1 x a}
			c expect rst 1 FLOW_CONTROL_ERROR
			d expect dropped 1`},
	}, nil)
}

// TestBodyRefusedWithoutCapacity checks that a body for which Admit has no capacity is refused
// unprocessed, and that what was reserved for it is released.
func TestBodyRefusedWithoutCapacity(t *testing.T) {
	p := newPlayer(t, 7, nil)
	p.capacity = 100
	p.play(handshake + `
		c send {post 1 x content-length=90}
		d expect opened 1 POST /photo/1 x-correlation-id=r1 content-length=90
		c send {post 3 x content-length=11}
		c expect rst 3 REFUSED_STREAM
		c send {post 5 x}
		d expect opened 5 POST /photo/1 x-correlation-id=r5
		c send {data 5 x {{8*a}}}{data 5 x a}
		c expect rst 5 REFUSED_STREAM
		d expect dropped 5
		c send {rst 1}
		d expect gone 1
		c send {post 7 x content-length=100}
		d expect opened 7 POST /photo/1 x-correlation-id=r7 content-length=100`)
	assert.Equal(t, 100, p.held)
	assert.Equal(t, 2, p.abuses[NoCapacity])
}

// TestDrain checks that streams opened before the client knew of the shutdown are served, and later
// ones are not.
func TestDrain(t *testing.T) {
	const running = handshake + `
		c send {post 1 e}
		d expect opened 1 POST /photo/1 x-correlation-id=r1
		d expect whole 1
		d send drain
		c expect goaway open NO_ERROR
		c expect ping
	`
	playAll(t, []script{
		{"streams that cross the first GOAWAY are taken", running + `
			c send {post 3 e}{ping 0x7461696c ack}
			d expect opened 3 POST /photo/1 x-correlation-id=r3
			d expect whole 3
			c expect goaway 3 NO_ERROR
			c send {post 5 x}{data 5 e ab}{rst 5}{window 5 1}
			d send answer 3 200 b
			c expect head 3 200
			c expect data 3 b end
			d send answer 1 200 a
			c expect head 1 200
			c expect data 1 a end
			d expect over NO_ERROR`},
		{"a client that does not acknowledge", running + `
			wait 299ms
			c expect nothing
			wait 1ms
			c expect goaway 1 NO_ERROR
			d send answer 1 503
			c expect head 1 503 retry-after=0.120 end
			d expect over NO_ERROR`},
		{"a client that takes its last stream back", running + `
			c send {ping 0x7461696c ack}{rst 1}
			c expect goaway 1 NO_ERROR
			d expect gone 1
			d expect over NO_ERROR`},
		{"nothing open", handshake + `
			d send settle
			c expect goaway 0 NO_ERROR
			d expect over NO_ERROR`},
		{"nothing begun", "d send drain\nd expect over NO_ERROR"},
	}, nil)
}

// TestAbuse checks that each kind of abuse ends the connection and is counted by its name.
func TestAbuse(t *testing.T) {
	many := func(n int, frame string) string { return strings.Repeat(frame, n) }
	streams := func(n int, frames string) string {
		var b strings.Builder
		for i := range n {
			b.WriteString(strings.ReplaceAll(frames, "N", fmt.Sprint(2*i+1)))
		}
		return b.String()
	}
	for _, c := range []struct {
		abuse Abuse
		send  string
	}{
		{RapidReset, streams(120, "{post N e}{rst N}")},
		{RapidReset, streams(120, "{post N e connection=x}")}, // the client provokes our resets
		{Continuation, "{post 1 o}" + many(40, "{more 1 o}")},
		{Continuation, "{post 1 o}" + "{more 1 o a={{4000*b}}}{more 1 o b={{4000*c}}}{more 1 o c={{4000*d}}}"},
		{HeaderList, streams(120, "{post N e a={{2000*b}}}")},
		{Ping, many(300, "{ping 1}")},
		{Settings, many(40, "{set 4 9}")},
		{Priority, many(2100, "{priority 5 3}")},
		{WindowUpdate, many(2100, "{window 0 1}")},
		{EmptyData, "{post 1 x}" + many(2100, "{data 1 x}")},
		{Unknown, many(2100, "{frame 99 1}")},
		{Unknown, many(130, "{frame 99 16384}")},
		{ClosedStream, "{post 1 x content-length=99999}" + many(2100, "{data 1 x}")},
		{OverLimit, streams(200, "{post N e}")},
	} {
		p := newPlayer(t, 1<<14, nil)
		send := c.send
		for i := strings.Index(send, "{{"); i >= 0; i = strings.Index(send, "{{") {
			var n int
			var what string
			_, err := fmt.Sscanf(send[i:], "{{%d*%1s}}", &n, &what)
			assert.NoError(t, err)
			send = send[:i] + strings.Repeat(what, n) + send[strings.Index(send, "}}")+2:]
		}
		p.feed(p.frames.Encode("{hello}"))
		p.feed(p.frames.Encode(send))
		assert.NotZero(t, p.abuses[c.abuse], "%v is counted", c.abuse)
		assert.Equal(t, http2.ErrCodeEnhanceYourCalm.String(), lastCode(p.events), "%v ends the connection; abuse counted: %v", c.abuse, p.abuses)
		p.conn.Close()
		assert.Zero(t, p.held, c.abuse)
	}
}

func lastCode(events []string) string {
	if len(events) == 0 {
		return ""
	}
	f := strings.Fields(events[len(events)-1])
	return f[1]
}

// TestHPACKBomb checks that a few bytes that encode megabytes of fields cost neither memory nor the
// connection: the HPACK table stays valid for the next stream.
func TestHPACKBomb(t *testing.T) {
	p := newPlayer(t, 1<<14, nil)
	p.feed(p.frames.Encode("{hello}{post 1 e big=" + strings.Repeat("x", 1800) + "}"))
	block := []byte{0x82, 0x86, 0x84}
	for range 3000 {
		block = append(block, 0xbe) // the newest entry of the table
	}
	var frame []byte
	frame = append(frame, 0, byte(len(block)>>8), byte(len(block)), 1, 5, 0, 0, 0, 3)
	p.feed(append(frame, block...))
	assert.Equal(t, 1, p.abuses[HeaderList])
	p.feed(p.frames.Encode("{post 5 e}"))
	assert.Equal(t, "whole 5", p.events[len(p.events)-1])
}

// TestUnreadOutputEndsConnection checks that a client that provokes output and reads none of it is
// disconnected before much is held.
func TestUnreadOutputEndsConnection(t *testing.T) {
	p := newPlayer(t, 1<<14, func(c *Config) { c.MaxStreams = 1000 })
	p.feed(p.frames.Encode("{hello}"))
	out := 0
	for i := 0; i < 100_000 && !p.conn.ended; i++ {
		p.now = p.now.Add(time.Hour) // so that no rate limit applies
		b := p.frames.Encode("{ping 1}")
		n := copy(p.conn.Space(), b)
		p.conn.Filled(n, p.now)
		for _, ok := p.conn.Next(); ok; _, ok = p.conn.Next() {
		}
		out = len(p.conn.output)
	}
	assert.Equal(t, 1, p.abuses[UnreadOutput])
	assert.Less(t, out, maxOutput+100)
}
