package network

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
)

// The measurements of docs/design/http2.md. All variants run in one process, one after another, with one minimal client, so
// that only the server differs.

// startXNet starts x/net's server with a trivial handler, or with one that goes through a core as our front does.
func startXNet(t testing.TB, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			//lint:ignore SA1019 the baseline of these figures is that server on a bare connection
			go (&http2.Server{MaxConcurrentStreams: 250}).ServeConn(conn, &http2.ServeConnOpts{Handler: h, BaseConfig: &http.Server{}})
		}
	}()
	return l.Addr().String()
}

func trivial(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "done")
}

var nextID atomic.Uint64

// hpackLiteral appends a field as HPACK writes it without tables (RFC 7541 section 6.2.2).
func hpackLiteral(b []byte, name, value string) []byte {
	b = append(b, 0, byte(len(name)))
	b = append(b, name...)
	b = append(b, byte(len(value)))
	return append(b, value...)
}

// benchClient is a minimal HTTP/2 client.
type benchClient struct {
	conn           net.Conn
	reader         *bufio.Reader
	head           []byte // a whole HEADERS frame, into which stream and id are written
	idAt           int
	body           []byte // a whole DATA frame
	nextStream     uint32
	unacknowledged int // bytes of answers since the last WINDOW_UPDATE
}

func dialBenchClient(t testing.TB, address string) *benchClient {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	p := &benchClient{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10), nextStream: 1}
	block := []byte{0x83, 0x86} // :method POST, :scheme http
	block = hpackLiteral(block, ":path", "/photo/1")
	block = hpackLiteral(block, "x-time-left-ms", "5000")
	block = hpackLiteral(block, "x-correlation-id", "0000000000000000")
	p.head = append([]byte{0, byte(len(block) >> 8), byte(len(block)), 1, 4, 0, 0, 0, 0}, block...)
	p.idAt = len(p.head) - 16
	p.body = append([]byte{0, 2, 0, 0, 1, 0, 0, 0, 0}, make([]byte, 512)...)
	_, err = io.WriteString(conn, http2.ClientPreface+"\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	require.NoError(t, err)
	return p
}

// appendReq appends the frames of a request with a body of 512 bytes.
func (p *benchClient) appendReq(b []byte) []byte {
	binary.BigEndian.PutUint32(p.head[5:], p.nextStream)
	binary.BigEndian.PutUint32(p.body[5:], p.nextStream)
	p.nextStream += 2
	id := nextID.Add(1)
	for i := range 16 {
		p.head[p.idAt+i] = "0123456789abcdef"[id>>(4*(15-i))&15]
	}
	return append(append(b, p.head...), p.body...)
}

// readAnswers reads frames until n streams have ended, and returns how many ended normally.
func (p *benchClient) readAnswers(n int) (ended int, err error) {
	var h [9]byte
	for ended < n {
		if _, err := io.ReadFull(p.reader, h[:]); err != nil {
			return ended, err
		}
		length := int(h[0])<<16 | int(h[1])<<8 | int(h[2])
		if _, err := p.reader.Discard(length); err != nil {
			return ended, err
		}
		switch {
		case h[3] == 3 || h[3] == 7: // RST_STREAM, GOAWAY
			return ended, fmt.Errorf("frame %v", h)
		case h[3] <= 1 && h[4]&1 != 0: // END_STREAM
			ended++
		case h[3] == 4 && h[4] == 0:
			if _, err := p.conn.Write([]byte{0, 0, 0, 4, 1, 0, 0, 0, 0}); err != nil {
				return ended, err
			}
		}
		if h[3] == 0 {
			if p.unacknowledged += length; p.unacknowledged > 16<<10 {
				up := []byte{0, 0, 4, 8, 0, 0, 0, 0, 0, 0, 0, 0, 0}
				binary.BigEndian.PutUint32(up[9:], uint32(p.unacknowledged))
				p.unacknowledged = 0
				if _, err := p.conn.Write(up); err != nil {
					return ended, err
				}
			}
		}
	}
	return ended, nil
}

// load sends n requests, keeping width of them open at a time.
func (p *benchClient) load(n, width int) error {
	out, sent := make([]byte, 0, 64<<10), 0
	for done, free := 0, width; done < n; {
		out = out[:0]
		for ; free > 0 && sent < n; free-- {
			out = p.appendReq(out)
			sent++
		}
		if len(out) > 0 {
			if _, err := p.conn.Write(out); err != nil {
				return err
			}
		}
		for more := true; more && done < sent; more = p.reader.Buffered() > 0 {
			got, err := p.readAnswers(1)
			if err != nil {
				return err
			}
			done += got
			free += got
		}
	}
	return nil
}

// loadHTTP1 sends n requests over HTTP/1.1, on width connections at once.
func loadHTTP1(t testing.TB, address string, n, width int) error {
	var wg sync.WaitGroup
	errs := make(chan error, width)
	for i := range width {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		wg.Go(func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			req := []byte("POST /photo/1 HTTP/1.1\r\nX-Time-Left-Ms: 5000\r\nContent-Length: 512\r\nX-Correlation-Id: 0000000000000000\r\n\r\n" + string(make([]byte, 512)))
			at := bytes.Index(req, []byte("Id: ")) + 4
			for k := i; k < n; k += width {
				copy(req[at:], fmt.Sprintf("%016x", nextID.Add(1)))
				if _, err := conn.Write(req); err != nil {
					errs <- err
					return
				}
				for endOfHead := false; !endOfHead; {
					line, err := r.ReadSlice('\n')
					if err != nil {
						errs <- err
						return
					}
					endOfHead = len(line) <= 2
				}
				if _, err := r.Discard(len("done")); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFronts compares our two fronts with x/net's server: requests a second, processor time and bytes per request. The
// client's part is included; it is the same for all variants of HTTP/2.
func BenchmarkFronts(b *testing.B) {
	s := startServer(b, instantBackends{"done"})
	through := startXNet(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handleThroughCore(w, r) }))
	bare := startXNet(b, http.HandlerFunc(trivial))
	for _, width := range []int{1, 10, 100} {
		for _, v := range []struct {
			name string
			load func(b *testing.B) error
		}{
			{"http1", func(b *testing.B) error { return loadHTTP1(b, s.addresses[0], b.N, width) }},
			{"http2", func(b *testing.B) error { return dialBenchClient(b, s.addresses[1]).load(b.N, width) }},
			{"xnet-trivial", func(b *testing.B) error { return dialBenchClient(b, bare).load(b.N, width) }},
			{"xnet-core", func(b *testing.B) error { return dialBenchClient(b, through).load(b.N, width) }},
		} {
			b.Run(fmt.Sprintf("%s/%d", v.name, width), func(b *testing.B) {
				b.ReportAllocs()
				begun := cpuTime()
				if err := v.load(b); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reqs/s")
				b.ReportMetric(float64(cpuTime()-begun)/float64(b.N)/1000, "cpu-µs/req")
			})
		}
	}
}

// handleThroughCore is what a handler on x/net's server has to do to use the same core.
func (s *testServer) handleThroughCore(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	req := platformRequest(r, body)
	work, err := s.clients.Names.ReadJobRequest(&req)
	if err != nil {
		w.WriteHeader(400)
		return
	}
	answer := make(answerChan, 1)
	job := jobOf(&req, &work)
	if _, fresh := s.clients.Core.Submit(work.Request, job, time.Now(), work.TimeLeft, answer); !fresh {
		w.WriteHeader(409)
		return
	}
	a := <-answer
	_, _ = io.WriteString(w, a.Result)
}

// BenchmarkIdle measures the memory of an idle connection that has served one request: heap and stacks.
func BenchmarkIdle(b *testing.B) {
	const conns = 200
	for _, name := range []string{"http1", "http2", "xnet-trivial"} {
		b.Run(name, func(b *testing.B) {
			s := startServer(b, instantBackends{"done"})
			bare := startXNet(b, http.HandlerFunc(trivial))
			for b.Loop() {
				before := memoryInUse()
				var open []net.Conn
				for range conns {
					switch name {
					case "http1":
						conn, err := net.Dial("tcp", s.addresses[0])
						require.NoError(b, err)
						fmt.Fprintf(conn, "POST /photo/1 HTTP/1.1\r\nContent-Length: 512\r\nX-Correlation-Id: %016x\r\n\r\n%s", nextID.Add(1), make([]byte, 512))
						_, err = io.ReadFull(conn, make([]byte, 42))
						require.NoError(b, err)
						open = append(open, conn)
					default:
						address := s.addresses[1]
						if name != "http2" {
							address = bare
						}
						p := dialBenchClient(b, address)
						require.NoError(b, p.load(1, 1))
						open = append(open, p.conn)
						p.reader = nil
					}
				}
				used := memoryInUse() - before
				b.ReportMetric(float64(used)/conns, "B/conn")
				for _, c := range open {
					c.Close()
				}
			}
		})
	}
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkAbuse measures how regular clients are served while two connections, reopened as soon as they are closed, abuse the
// HTTP/2 front at full speed: the part of 400 requests a second, half by each front, that is served within 120 ms.
func BenchmarkAbuse(b *testing.B) {
	raw := func(kind, flags byte, id uint32, payload string) string {
		n := len(payload)
		return string([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags, byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id)}) + payload
	}
	block := string(hpackLiteral(hpackLiteral([]byte{0x83, 0x86}, ":path", "/photo/1"), "x-correlation-id", "abuse"))
	repeat := func(frame string) func(uint32) string { return func(uint32) string { return frame } }
	const preface = http2.ClientPreface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	for _, a := range []struct {
		name, first string
		frame       func(id uint32) string
	}{
		{"none", "", nil},
		{"rapid-reset", preface, func(id uint32) string { return raw(1, 5, id, block) + raw(3, 0, id, "\x00\x00\x00\x08") }},
		{"made-you-reset", preface, func(id uint32) string { return raw(1, 4, id, block) + raw(8, 0, id, "\x00\x00\x00\x00") }},
		{"continuation", preface + raw(1, 0, 1, block), repeat(raw(9, 0, 1, string(hpackLiteral(nil, "a", "b"))))},
		{"hpack-bomb", preface + raw(1, 5, 1, block+"\x40\x01a\x7f\x80\x1e"+string(make([]byte, 3967))), func(id uint32) string {
			return raw(1, 5, id+2, block+string(bytes.Repeat([]byte{0xbe}, 4000)))
		}},
		{"ping", preface, repeat(raw(6, 0, 0, "12345678"))},
		{"settings", preface, repeat(raw(4, 0, 0, ""))},
		{"priority", preface, repeat(raw(2, 0, 9, "\x00\x00\x00\x05\x01"))},
		{"window-update", preface, repeat(raw(8, 0, 0, "\x00\x00\x00\x01"))},
		{"empty-data", preface + raw(1, 4, 1, block), repeat(raw(0, 0, 1, ""))},
		{"empty-headers", preface, func(id uint32) string { return raw(1, 5, id, "") }},
		{"unknown", preface, repeat(raw(99, 0, 0, string(make([]byte, 1000))))},
		{"over-limit", preface, func(id uint32) string { return raw(1, 4, id, block) }},
		{"window-shut", http2.ClientPreface + raw(4, 0, 0, "\x00\x04\x00\x00\x00\x00"), func(id uint32) string { return raw(1, 5, id, block) }},
		{"window-overflow", preface, repeat(raw(8, 0, 0, "\x7f\xff\xff\xff"))},
		{"rst-flood", preface + raw(1, 4, 1, block), repeat(raw(3, 0, 1, "\x00\x00\x00\x08"))},
		{"no-preface", "", repeat("")},
	} {
		b.Run(a.name, func(b *testing.B) {
			s := startServer(b, instantBackends{"done"})
			for b.Loop() {
				stop := make(chan struct{})
				var wg sync.WaitGroup
				for range 2 {
					if a.frame == nil {
						break
					}
					wg.Go(func() { abuse(s.addresses[1], a.first, a.frame, stop) })
				}
				served := regularTraffic(b, s, 400, time.Second)
				close(stop)
				wg.Wait()
				b.ReportMetric(100*served, "kept-%")
				ended := int64(0)
				for k := range s.count.HTTP2Abuse {
					ended += s.count.HTTP2Abuse[k].Load()
				}
				b.ReportMetric(float64(ended), "counted")
				b.ReportMetric(float64(s.count.HTTP2Sessions.Load()), "conns")
			}
		})
	}
}

// abuse sends frames until it is stopped, on one connection after another.
func abuse(address, first string, frame func(uint32) string, stop <-chan struct{}) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		_, err = io.WriteString(conn, first)
		for id := uint32(1); err == nil; id += 200 {
			select {
			case <-stop:
				conn.Close()
				return
			default:
			}
			var batch bytes.Buffer
			for k := uint32(0); k < 200; k += 2 {
				batch.WriteString(frame(id + k))
			}
			if batch.Len() == 0 { // a client that only connects
				time.Sleep(time.Millisecond)
				break
			}
			_, err = conn.Write(batch.Bytes())
		}
		conn.Close()
	}
}

// regularTraffic sends perSec requests a second, whether answered or not, and returns the part that was served within 120 ms.
func regularTraffic(b *testing.B, s *testServer, perSec int, duration time.Duration) float64 {
	clients := [2]*http.Client{}
	for i := range clients {
		t := &http.Transport{Protocols: new(http.Protocols), MaxIdleConnsPerHost: 32}
		t.Protocols.SetHTTP1(i == 0)
		t.Protocols.SetUnencryptedHTTP2(i == 1)
		clients[i] = &http.Client{Transport: t, Timeout: 2 * time.Second}
		b.Cleanup(t.CloseIdleConnections)
	}
	n := int(float64(perSec) * duration.Seconds())
	var inTime atomic.Int64
	var wg sync.WaitGroup
	begun := time.Now()
	for i := range n {
		due := begun.Add(time.Duration(i) * time.Second / time.Duration(perSec))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			r, err := http.NewRequest("POST", "http://"+s.addresses[i%2]+"/photo/1", bytes.NewReader(make([]byte, 512)))
			if err != nil {
				return
			}
			r.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", nextID.Add(1)))
			answer, err := clients[i%2].Do(r)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if err == nil && answer.StatusCode == 200 && time.Since(due) <= 120*time.Millisecond {
				inTime.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(inTime.Load()) / float64(n)
}
