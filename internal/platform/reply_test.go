package platform

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
)

// replyHarness lets a scenario run on a ReplyParser.
type replyHarness struct{ *ReplyParser }

func (b replyHarness) next() string {
	part, line, err := b.Next()
	switch {
	case err != nil:
		return "bad"
	case part == Head && b.Status != 200:
		return fmt.Sprint("head ", b.Status, " ", b.Ending(), b.Load)
	case part == Head:
		return "head"
	case part == Line:
		return "line " + strings.ReplaceAll(string(line), "\n", `\n`)
	case part == End && b.KeepAlive:
		return "end"
	case part == End:
		return "end close"
	}
	return "more"
}

func (b replyHarness) closed() string {
	if b.ConnectionClosed() {
		return ""
	}
	return "cut"
}

// chunked is the head of a chunked reply.
const chunked = `send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
`

func TestReplies(t *testing.T) {
	runScripts(t, func() parserHarness { return replyHarness{NewReplyParser(false, MaxLine)} }, []script{
		{"lines in chunks of their own, then another reply", chunked + `
			expect head
			send 3\r\nab\n\r\n3;x=y\r\ncd\n\r\n0\r\nX-Trailer: 1\r\n\r\n
			expect line ab
			expect line cd
			expect end
			` + chunked + `
			expect head
			send 2\r\ne\n\r\n0\r\n\r\n
			expect line e
			expect end`},
		{"a line over several chunks, several lines in one", chunked + `
			send 1\r\na\r\n2\r\nbc\r\n6\r\nd\ne\n\nf\r\n0\r\n\r\n
			expect head
			expect line abcd
			expect line e
			expect line f
			expect end`},
		{"turned away", `
			send HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nX-Backend-Load: {"x0":1}\r\nContent-Length: 0\r\n\r\n
			expect head 503 returned{"x0":1}
			expect end`},
		{"503 that does not say it never ran", `
			send HTTP/1.1 503 Busy\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno
			expect head 503 failed
			expect line no
			expect end close`},
		{"a req that the backend cannot use", `
			send HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n
			expect head 400 rejected
			expect end`},
		{"500 is an error, whatever it says of running", `
			send HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n
			expect head 500 failed
			expect end`},
		{"an interim answer first", `
			send HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 504 T\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n
			expect head 504 returned
			expect end`},
		{"a body up to the end", `
			send HTTP/1.1 200 OK\r\n\r\nab\ncd
			expect head
			expect line ab
			close
			expect line cd
			expect end close`},
		{"cut within a chunk", chunked + `
			send 9\r\nab\ncd
			expect head
			expect line ab
			close
			expect cut`},
		{"not a reply", "send SSH-2.0-x\\r\\n\\r\\n\nexpect bad"},
		{"a bad chunk", chunked + "send zz\\r\\n\nexpect head\nexpect bad"},
		{"a chunk without its end", chunked + "send 1\\r\\nabc\\r\\n\nexpect head\nexpect bad"},
		{"a chunk one longer than what is there", chunked + `send 4\r\nabc\r\n` + "\nexpect head\nexpect bad"},
		{"a size's line without CR", chunked + `send 3 \nabc\r\n` + "\nexpect head\nexpect bad"},
		{"another head for a trailer", chunked + `send 0\r\nHTTP/1.1 200 OK\r\n` + "\nexpect head\nexpect bad"},
		{"chunks of HTTP/1.0", `send HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n` + "\nexpect bad"},
		{"no version", `send HTTP/1.k 200 OK\r\n\r\n` + "\nexpect bad"},
		{"204 has no body, whatever it says", `
			send HTTP/1.1 204 N\r\nTransfer-Encoding: chunked\r\n\r\n
			expect head 204 failed
			expect end`},
		{"a chunk too long", chunked + "send 7fffffff\\r\\n\nexpect head\nexpect bad"},
		{"a line too long", chunked + `send 1ffff\r\n{{131071*a}}\r\n10\r\n{{16*b}}` + "\nexpect head\nexpect bad"},
		{"a head without end", "send HTTP/1.1 200 {{17000*a}}\nexpect bad"},
	})
}

// TestWholeBodyAsOnePart checks that the director's list is one part, however it is framed.
func TestWholeBodyAsOnePart(t *testing.T) {
	runScripts(t, func() parserHarness { return replyHarness{NewReplyParser(true, MaxList)} }, []script{
		{"in chunks", chunked + `
			send 2\r\n{"\r\n5\r\nindex\r\n0\r\n\r\n
			expect head
			expect line {"index
			expect end`},
		{"of a stated length", `
			send HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na\nb
			expect head
			expect line a\nb
			expect end`},
	})
}

func TestReadLine(t *testing.T) {
	load := []float32{0, 2.5} // absent columns are zero, in the settings' order
	for line, want := range map[string]JobUpdate{
		`{"id":"9b","from":"s","state":"started"}`:                                           {Started: true},
		`{"id":"9b","state":"running","share":0.4}`:                                          {Progress: 0.4},
		`{"state":"done","load":{"x0":2.5,"new":[1]},"result":"a\"\u00e9","id":"9b","z":{}}`: {Last: true, Result: `a"é`, Report: load},
		`{"id":"9b","state":"done","result":{"w":1}}`:                                        {Last: true, Result: `{"w":1}`},
		`{"id":"9b","state":"failed","load":{}}`:                                             {Last: true, Ending: core.Failed},
		`{"id":"9b","state":"returned","load":null}`:                                         {Last: true, Ending: core.Returned},
		`{"id":"9b","state":"lost"}`:                                                         {Last: true, Ending: core.Lost},
	} {
		got, err := testNames.ReadLine([]byte(line), "9b")
		assert.NoError(t, err, line)
		assert.Equal(t, want, got, line)
	}
	// A line that is not clearly the result of this request must not reach its client.
	for _, line := range []string{``, `[]`, `{"id":"9b","state":"done"}`, `{"id":"other","state":"done","result":""}`,
		`{"state":"done","result":""}`, `{"id":"9b","state":"odd"}`, `{"id":"9b","state":"done","result":"cut`,
		`{"id":"9b","state":"started"} {}`, `{"id":"9b","state":"done","result":"a"}x`, `{"id":"9b","state":"lost",}`} {
		_, err := testNames.ReadLine([]byte(line), "9b")
		assert.Error(t, err, line)
	}
	assert.Equal(t, load, testNames.ReadLoad(`{"x0":2.5}`))
	assert.Nil(t, testNames.ReadLoad(``))
	assert.Nil(t, testNames.ReadLoad(`{"x0":`))
}

func TestReadList(t *testing.T) {
	const line = `{"name":"s-1","address":"127.0.0.1:1","zone":"b","type":"std","group":3,"status":"%s","weight":4.0,"since_ms":1700000000000.5}`
	list, err := testNames.ReadList([]byte(`{"index":43,"snapshot":false,"later":1,"endpoints":[` + fmt.Sprintf(line, "Terminating") + `]}`))
	assert.NoError(t, err)
	want := core.Entry{Name: "s-1", Address: "127.0.0.1:1", Worker: balance.Worker{ID: balance.WorkerID(Hash("s-1")),
		Started: 1700000000000.5, Kind: 1, Cell: 3, Zone: 1, State: balance.Draining, Weight: 4}}
	assert.Equal(t, List{Index: 43, Entries: []core.Entry{want}}, list)
	list, err = testNames.ReadList([]byte(`{"index":1,"snapshot":true,"endpoints":[{"name":"x","status":"Gone"},` + fmt.Sprintf(line, "Odd") + `]}`))
	assert.NoError(t, err)
	assert.True(t, list.Full)
	assert.Equal(t, []balance.State{balance.Gone, balance.Draining}, []balance.State{list.Entries[0].State, list.Entries[1].State})
	for _, bad := range []string{``, `{}`, `{"index":1}`, `{"index":-1,"endpoints":[]}`, `{"index":1,"endpoints":[{}]}`,
		`{"index":1,"endpoints":[{"name":"x","status":"Ready"}]}`, `{"index":1,"endpoints":[]`, `{"index":1,"endpoints":[]}H`, `{"index":1{"endpoints":[]}`} {
		_, err := testNames.ReadList([]byte(bad))
		assert.Error(t, err, bad)
	}
}

func FuzzReplies(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nb\n\r\n0\r\n\r\n"), 1, false)
	f.Add([]byte("HTTP/1.1 503 B\r\nContent-Length: 2\r\n\r\nabHTTP/1.0 200 O\r\n\r\nx"), 5, true)
	f.Add([]byte(`{"id":"9b","state":"done","load":{"x0":1e999},"result":[{}]}`), 5, true)
	f.Fuzz(func(t *testing.T, bytes []byte, piece int, whole bool) {
		_, _ = testNames.ReadLine(bytes, "9b")
		_, _ = testNames.ReadList(bytes)
		m := NewReplyParser(whole, 1000)
		for piece = max(piece, 1); len(bytes) > 0; {
			n := copy(m.Space(), bytes[:min(piece, len(bytes))])
			m.Filled(n)
			bytes = bytes[n:]
			for {
				part, line, err := m.Next()
				assert.LessOrEqual(t, len(line), 1000)
				if err != nil {
					return
				}
				if part == NeedMore {
					break
				}
			}
		}
	})
}

func TestAppendFinalAnswer(t *testing.T) {
	for want, a := range map[string]core.Answer{
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nr": {Kind: core.Result, Result: "r"},
		"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.120":             {Kind: core.Refusal, RetryAfter: 120e6},
		"HTTP/1.1 502 Bad Gateway\r\n":                                       {Kind: core.Failure},
	} {
		got := string(AppendFinalAnswer(nil, a, true))
		assert.True(t, strings.HasPrefix(got, want), got)
	}
}

// BenchmarkReply measures a reply of the usual size: framing, head, two lines parsed as JSON.
func BenchmarkReply(b *testing.B) {
	started := `{"from":"s-3d5f7874","id":"9b","state":"started"}` + "\n"
	done := `{"from":"s-3d5f7874","id":"9b","load":{"failed_ps":0.0,"x0":3.1},"result":"` + strings.Repeat("e4", 600) + `","state":"done"}` + "\n"
	text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		len(started), started, len(done), done)
	m := NewReplyParser(false, MaxLine)
	b.ReportAllocs()
	for b.Loop() {
		m.Filled(copy(m.Space(), text))
		for {
			part, line, err := m.Next()
			if part == Line {
				_, err = testNames.ReadLine(line, "9b")
			}
			if err != nil {
				b.Fatal(err)
			}
			if part == NeedMore {
				break
			}
		}
	}
}
