package platform

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
)

var testNames = &Names{Classes: []string{"ingest", "keyed"}, RequiresKey: []bool{false, true}, Deadlines: []time.Duration{5 * time.Second, time.Second},
	Zones: []string{"a", "b"}, Kinds: []string{"fast", "std"}, Columns: []string{"failed_ps", "x0"}}

// requestHarness lets a scenario run on a RequestParser. Each request is answered at once, and the
// bytes of every other request are released.
type requestHarness struct {
	RequestParser
	count int
}

func (f *requestHarness) next() string {
	if f.WantsContinue() {
		return "continue"
	}
	q, err := f.Next()
	var bad *RequestError
	switch {
	case errors.As(err, &bad):
		return fmt.Sprint("bad ", bad.Status)
	case q == nil:
		if f.WantsContinue() {
			return "continue"
		}
		return "more"
	}
	s := fmt.Sprintf("%s %s %q", q.Method, q.Target, q.Body)
	if q.Close {
		s += " close"
	}
	f.count++
	f.Done(f.count%2 == 1)
	return s
}

func (f *requestHarness) closed() string {
	if f.Partial() {
		return "cut"
	}
	return ""
}

func TestRequests(t *testing.T) {
	runScripts(t, func() parserHarness { return &requestHarness{} }, []script{
		{"one after another", `
			send POST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\none
			expect POST /c "one"
			send POST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\ntwo
			expect POST /c "two"
			expect more
			close`},
		{"sent ahead", `
			send POST /c?q=1 HTTP/1.1\r\ncontent-length: 1\r\n\r\n1\r\nGET /h HTTP/1.1\r\nConnection: Close\r\n\r\n
			expect POST /c?q=1 "1"
			expect GET /h "" close`},
		{"the client waits to be told to go on", `
			send POST /c HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n
			expect continue
			wait
			expect more
			send ab
			expect POST /c "ab"`},
		{"old clients close", `
			send GET /h HTTP/1.0\r\n\r\n
			expect GET /h "" close`},
		{"closed within a req", `
			send POST /c HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf
			close
			expect cut`},
		{"not a request line", "send nonsense\\r\\n\\r\\n\nexpect bad 400"},
		{"a target that would split a head", "send GET /a\tb HTTP/1.1\\r\\n\\r\\n\nexpect bad 400"},
		{"two lengths", "send POST /c HTTP/1.1\\r\\nContent-Length: 1\\r\\nContent-Length: 2\\r\\n\\r\\n\nexpect bad 400"},
		{"a signed length", "send POST /c HTTP/1.1\\r\\nContent-Length: +1\\r\\n\\r\\n\nexpect bad 400"},
		{"chunks from a client, and the next req", `
			send POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n
			expect more
			send 2\r\nab\r\n
			send 00A;a=b \r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\nGET /h HTTP/1.1\r\n\r\n
			expect POST /c "ab0123456789"
			expect GET /h ""`},
		{"chunks that hold nothing", `
			send POST /c HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n
			expect POST /c ""`},
		{"a chunk in hand, the rest not there", `
			send POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab
			close
			expect cut`},
		{"chunks, told to go on", `
			send POST /c HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n
			expect continue
			send 1\r\na\r\n0\r\n\r\n
			expect POST /c "a"`},
		{"another coding", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: gzip, chunked\\r\\n\\r\\n\nexpect bad 501"},
		{"chunks twice", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n\nexpect bad 501"},
		{"chunks of an old client", "send POST /c HTTP/1.0\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n\nexpect bad 400"},
		{"a chunk of no size", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n\\r\\n\nexpect bad 400"},
		{"a chunk of a signed size", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n+1\\r\\na\\r\\n\nexpect bad 400"},
		{"a chunk of a size that is none", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0x1\\r\\na\\r\\n\nexpect bad 400"},
		{"a chunk longer than it says", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\nab\\r\\n\nexpect bad 400"},
		{"a size that ends in a bare LF", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\na\\r\\n\nexpect bad 400"},
		{"a size without end", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1;{{300*a}}\nexpect bad 400"},
		{"a size beyond all numbers", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nffffffffffffffff\\r\\n\nexpect bad 400"},
		{"a body of chunks too long", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n10000\\r\\n{{65536*a}}\\r\\n1\\r\\n\nexpect bad 413"},
		{"fields behind the chunks without end", "send POST /c HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n" + strings.Repeat(strings.Repeat("b", 200)+`\r\n`, 90) + "\nexpect bad 431"},
		{"a body too long", "send POST /c HTTP/1.1\\r\\nContent-Length: 65537\\r\\n\\r\\n\nexpect bad 413"},
		{"a negative length", "send POST /c HTTP/1.1\\r\\nContent-Length: -1\\r\\n\\r\\n\nexpect bad 400"},
		{"no length where one is named", "send POST /c HTTP/1.1\\r\\nContent-Length:\\r\\n\\r\\n\nexpect bad 400"},
		{"a length beyond all numbers", "send POST /c HTTP/1.1\\r\\nContent-Length: 99999999999999999999\\r\\n\\r\\n\nexpect bad 400"},
		{"a length and chunks, which may hide a req", "send POST /c HTTP/1.1\\r\\nContent-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n\nexpect bad 400"},
		{"a head without end", "send GET /{{17000*a}}\nexpect bad 431"},
	})
}

// TestLongestBody checks that a body of 64 KiB moves to a larger buffer, and that the next request
// starts with a small one again.
func TestLongestBody(t *testing.T) {
	f := &requestHarness{}
	runScript(t, f, `send POST /c HTTP/1.1\r\nContent-Length: 65536\r\n\r\n{{65536*z}}`+
		"\nsend GET /h HTTP/1.1\\r\\n\\r\\n\nexpect POST /c \""+strings.Repeat("z", MaxBody)+"\"\nexpect GET /h \"\"", 1000)
	assert.LessOrEqual(t, len(f.data), 4*minReadSpace)
}

// TestReadJobRequest compares the core's request with what the simulator's adapter passes on: the
// same figures for the same request, zero for what is absent.
func TestReadJobRequest(t *testing.T) {
	const head = "POST /ingest%s HTTP/1.1\r\n%s\r\n"
	const id = "X-Correlation-Id: 9b\r\n"
	for _, c := range []struct {
		name, path, fields string
		want               balance.Request
		left               time.Duration
		bad                int
	}{
		{"all absent", "", id, balance.Request{}, 5 * time.Second, 0},
		{"all there", "/7f3a9c21e0b4d655", id + "X-Service-Class: ingest\r\nX-Time-Left-Ms: 480\r\nX-Repeat: 1\r\nX-Facts: slots=2,memory=1.433\r\n",
			balance.Request{Key: 0x7f3a9c21e0b4d655, Slots: 2, Memory: float64(float32(1.433)), Retry: true}, 480 * time.Millisecond, 0},
		{"a key in words", "/a/family%20album?x=1", id, balance.Request{Key: Hash("family%20album")}, 5 * time.Second, 0},
		{"facts not known", "", id + "X-Facts: tint=4, slots=1\r\n", balance.Request{Slots: 1}, 5 * time.Second, 0},
		{"no id", "", "X-Facts: slots=1\r\n", balance.Request{}, 0, 400},
		{"an id that would split a head", "", "X-Correlation-Id: 9\tb\r\n", balance.Request{}, 0, 400},
		{"two ids", "", id + id, balance.Request{}, 0, 400},
		{"a bad time", "", id + "X-Time-Left-Ms: -3\r\n", balance.Request{}, 0, 400},
		{"bad facts", "", id + "X-Facts: slots=NaN\r\n", balance.Request{}, 0, 400},
		{"an empty time", "", id + "X-Time-Left-Ms:\r\n", balance.Request{}, 0, 400},
		{"an empty id", "", "X-Correlation-Id: \r\n", balance.Request{}, 0, 400},
		{"an empty class", "", id + "X-Service-Class:\r\n", balance.Request{}, 0, 400},
		{"an id that is too long", "", "X-Correlation-Id: " + strings.Repeat("9", maxID+1) + "\r\n", balance.Request{}, 0, 400},
		{"a time that is too long", "", id + "X-Time-Left-Ms: 99999999999\r\n", balance.Request{}, 0, 400},
		{"a guess of the work", "", id + "X-Weight-Hint: 412500\r\n", balance.Request{Work: 412.5}, 5 * time.Second, 0},
		{"a guess that is no number", "", id + "X-Weight-Hint: much\r\n", balance.Request{}, 0, 400},
		{"a guess below nothing", "", id + "X-Weight-Hint: -1\r\n", balance.Request{}, 0, 400},
		{"a guess beyond a day", "", id + "X-Weight-Hint: 1e300\r\n", balance.Request{}, 0, 400},
		{"a guess that is not a number by name", "", id + "X-Weight-Hint: NaN\r\n", balance.Request{}, 0, 400},
		{"a path of another class", "2/7f", id + "X-Service-Class: ingest\r\n", balance.Request{}, 0, 404},
		{"an unknown class", "", id + "X-Service-Class: other\r\n", balance.Request{}, 0, 404},
	} {
		var m RequestParser
		m.Filled(copy(m.Space(), fmt.Sprintf(head, c.path, c.fields)))
		q, err := m.Next()
		require.NoError(t, err, c.name)
		w, err := testNames.ReadJobRequest(q)
		var bad *RequestError
		if errors.As(err, &bad) {
			assert.Equal(t, c.bad, bad.Status, c.name)
			continue
		}
		require.Zero(t, c.bad, c.name)
		assert.Equal(t, c.want, w.Request, c.name)
		assert.Equal(t, c.left, w.TimeLeft, c.name)
		assert.Equal(t, "9b", w.ID, c.name)
	}
}

// TestKeyedClassRequiresIdempotencyKey checks that a request is refused without a key if backends
// recognise repeats of its class by key.
func TestKeyedClassRequiresIdempotencyKey(t *testing.T) {
	for fields, want := range map[string]error{"": &RequestError{Status: 400, Reason: "no Idempotency-Key"}, "Idempotency-Key: k\r\n": nil} {
		var m RequestParser
		m.Filled(copy(m.Space(), "POST /keyed HTTP/1.1\r\nX-Correlation-Id: 9b\r\n"+fields+"\r\n"))
		q, err := m.Next()
		require.NoError(t, err)
		if _, err = testNames.ReadJobRequest(q); want != nil {
			assert.Equal(t, want, err)
		} else {
			assert.NoError(t, err)
		}
	}
}

// TestAdmitBeforeAllocation checks that the length of a body is known before memory is allocated
// for it.
func TestAdmitBeforeAllocation(t *testing.T) {
	var m RequestParser
	m.Admit = func(n int) error { return &RequestError{Status: 503, Reason: fmt.Sprint(n)} }
	m.Filled(copy(m.Space(), "POST /c HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"))
	_, err := m.Next()
	assert.ErrorContains(t, err, "60000")
	assert.Len(t, m.data, minReadSpace)
}

func FuzzRequests(f *testing.F) {
	f.Add([]byte("POST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET / HTTP/1.0\r\n\r\n"), 1)
	f.Add([]byte("POST /c HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Facts: slots=,=\r\n\r\n"), 7)
	f.Add([]byte("POST /c HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 3)
	f.Add([]byte("POST /c HTTP/1.1\r\nContent-Length: -1\r\nContent-Length:\r\n\r\n"), 1)
	f.Add([]byte("POST /keyed HTTP/1.1\r\nX-Correlation-Id:\r\nX-Time-Left-Ms: x\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, bytes []byte, piece int) {
		var m RequestParser
		for piece = max(piece, 1); len(bytes) > 0; {
			n := copy(m.Space(), bytes[:min(piece, len(bytes))])
			m.Filled(n)
			bytes = bytes[n:]
			for {
				q, err := m.Next()
				if q == nil || err != nil {
					break
				}
				assert.LessOrEqual(t, len(q.Body), MaxBody)
				_, _ = testNames.ReadJobRequest(q)
				m.Done(true)
			}
		}
	})
}

// BenchmarkRequest measures a request of the usual size: framing, textproto's parsing of its head,
// and the conversion for the core.
func BenchmarkRequest(b *testing.B) {
	text := []byte("POST /ingest HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: debdb788934a96db\r\nX-Service-Class: ingest\r\n" +
		"X-Time-Left-Ms: 4998\r\nIdempotency-Key: 71593e6acbef1ca7795da9e901c059a9\r\nX-Facts: slots=1,memory=1.433\r\n" +
		"Content-Length: 800\r\n\r\n" + strings.Repeat("x", 800))
	var m RequestParser
	b.ReportAllocs()
	for b.Loop() {
		m.Filled(copy(m.Space(), text))
		q, _ := m.Next()
		if _, err := testNames.ReadJobRequest(q); err != nil {
			b.Fatal(err)
		}
		m.Done(true)
	}
}

// An idle session holds no long body, whether its buffer is free or left to an attempt that still uses it
// (2026-12-04-held-bodies).
func TestDoneLetsGoOfBody(t *testing.T) {
	for _, free := range []bool{true, false} {
		m := &RequestParser{}
		body := readLongBody(t, m)
		m.Done(free)
		runtime.GC()
		assert.Nil(t, body.Value(), free)
		assert.LessOrEqual(t, len(m.data), minReadSpace, free)
		assert.False(t, m.Partial(), free)
	}
}

// readLongBody passes a request to the parser and returns a reference to its body that doesn't keep it.
func readLongBody(t *testing.T, m *RequestParser) weak.Pointer[byte] {
	rest := []byte(fmt.Sprintf("POST /photo HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", MaxBody, strings.Repeat("y", MaxBody)))
	for {
		n := copy(m.Space(), rest)
		m.Filled(n)
		rest = rest[n:]
		q, err := m.Next()
		require.NoError(t, err)
		if q != nil {
			require.Len(t, q.Body, MaxBody)
			return weak.Make(&q.Body[0])
		}
	}
}
