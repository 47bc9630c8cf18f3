package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"tinsail/internal/standin/platform"
)

// These tests are written from the platform's pages alone. They start the real program, force two events to cross by order,
// and judge by what the far sides saw.

// waitTimeout bounds every wait; no verdict rests on it but that nothing came at all.
const waitTimeout = 60 * time.Second

// newEditedDeployment is a house with these backends alone, and its configuration edited: old, new, old, new.
func newEditedDeployment(t *testing.T, edits []string, raws ...*platform.Raw) *deployment {
	h := newDeployment(t, "127.0.0.1:0")
	for i, b := range h.backends {
		h.director.Set(b.Entry("fast", "here", i, "Gone"))
	}
	for _, r := range raws {
		t.Cleanup(r.Close)
		h.director.Set(r.Entry(0, "Ready"))
	}
	h.editConfig(edits...)
	return h
}

func (h *deployment) editConfig(edits ...string) {
	text, err := os.ReadFile(h.configPath)
	require.NoError(h.t, err)
	for i := 0; i < len(edits); i += 2 {
		require.Contains(h.t, string(text), edits[i])
		text = []byte(strings.ReplaceAll(string(text), edits[i], edits[i+1]))
	}
	require.NoError(h.t, os.WriteFile(h.configPath, text, 0o600))
}

// countersText are the program's, a line each.
func (h *deployment) countersText() string {
	a, err := http.Get("http://" + h.clientAddress + "/counters")
	require.NoError(h.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(h.t, err)
	return string(text)
}

// counterOrZero reads one of the program's counters.
func (h *deployment) counterOrZero(name string) (n int) {
	for _, line := range strings.Split(h.countersText(), "\n") {
		if _, err := fmt.Sscanf(line, "counter "+name+" %d", &n); err == nil {
			return n
		}
	}
	return 0
}

// waitFor polls for something that has to come.
func waitFor(t testing.TB, what string, holds func() bool) {
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			require.Fail(t, "never came", what)
		}
	}
}

// pendingConnects says how many connections to an address of 127.0.0.1 are being made.
func pendingConnects(t testing.TB, address string) (n int) {
	text, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	var port int
	_, err = fmt.Sscanf(address, "127.0.0.1:%d", &port)
	require.NoError(t, err)
	for _, line := range strings.Split(string(text), "\n")[1:] {
		if f := strings.Fields(line); len(f) > 4 && f[2] == fmt.Sprintf("0100007F:%04X", port) && f[3] == "02" { // SYN_SENT
			n++
		}
	}
	return n
}

// Of TCP_INFO.
const tcpEstablished, tcpClosed = 1, 7

// kernelState is the system's view of the client's side: the connection's state (closed: by a reset), bytes that the other side has
// not acknowledged, and bytes that the client has not read.
func (c *conn) kernelState(t testing.TB) (state uint8, unacked, unread int) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if assert.NoError(t, err) {
			state = info.State
		}
		unacked, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	}))
	return state, unacked, unread
}

// reqText is a whole reqText; more are further header lines.
func reqText(id string, more ...string) string {
	return fmt.Sprintf("POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\n%sContent-Length: 1\r\n\r\nb", id, id, strings.Join(more, ""))
}

// writeWithin writes as much as the other side takes in a time: a flood may not be read.
func (c *conn) writeWithin(text string, within time.Duration) {
	_ = c.SetWriteDeadline(time.Now().Add(within))
	_, _ = io.WriteString(c, text)
}

// departures are ways in which a client leaves while its req waits: what it sends with the req, later, and how it goes.
var departures = map[string]struct {
	withReq, afterReq string
	disconnect        func(*conn)
}{
	"close":             {},
	"reset":             {disconnect: func(c *conn) { _ = c.Conn.(*net.TCPConn).SetLinger(0); c.Close() }},
	"half-close":        {disconnect: func(c *conn) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
	"byte-ahead":        {withReq: "P"},
	"req-ahead":         {withReq: reqText("req-behind")},
	"byte-later":        {afterReq: "P"},
	"4KiB-later":        {afterReq: strings.Repeat("x", 4<<10)},
	"4KiB-ahead":        {withReq: strings.Repeat("x", 4<<10)},
	"64KiB-later":       {afterReq: strings.Repeat("x", 64<<10)},
	"1MiB-later":        {afterReq: strings.Repeat("x", 1<<20)},
	"byte-later-reset":  {afterReq: "P", disconnect: func(c *conn) { _ = c.Conn.(*net.TCPConn).SetLinger(0); c.Close() }},
	"byte-ahead-halves": {withReq: "P", disconnect: func(c *conn) { _ = c.Conn.(*net.TCPConn).CloseWrite() }},
}

// leaveWhileWaiting has a client of each kind hand in its req, which has to wait, and go; waits says when all wait.
func leaveWhileWaiting(t *testing.T, h *deployment, waits func(n int)) (gone time.Time) {
	conns := map[string]*conn{}
	for name, l := range departures {
		c, err := h.dial()
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		conns[name] = c
		_, err = io.WriteString(c, reqText(name)+l.withReq)
		require.NoError(t, err)
	}
	waits(len(departures))
	for name, l := range departures {
		if l.afterReq != "" {
			conns[name].writeWithin(l.afterReq, 500*time.Millisecond)
		}
	}
	for name, l := range departures {
		if l.disconnect != nil {
			l.disconnect(conns[name])
		} else {
			conns[name].Close()
		}
	}
	gone = time.Now()
	time.Sleep(time.Second) // the pages' term is 0.1 s: what begins from here on is a break
	return gone
}

// TestClientLeavesWhileConnecting: clients leave while the connection for their reqs is being made. It comes up a second later, and
// carries none of them.
func TestClientLeavesWhileConnecting(t *testing.T) {
	held, err := platform.StartHeld("held", nil)
	require.NoError(t, err)
	h := newEditedDeployment(t, []string{`"ConnectTimeoutMs": 120`, `"ConnectTimeoutMs": 20000`, `"HardLimitMs": 5000`, `"HardLimitMs": 60000`}, held)
	p := h.start()
	p.awaitReady()
	gone := leaveWhileWaiting(t, h, func(n int) {
		waitFor(t, "all taken", func() bool { return h.counterOrZero("reqs_taken") >= n })
		waitFor(t, "a connection in the making", func() bool { return pendingConnects(t, held.Address) > 0 })
	})
	require.Empty(t, held.Seen(), "held")
	require.NoError(t, held.Release())
	waitFor(t, "no connection in the making", func() bool { return pendingConnects(t, held.Address) == 0 })
	assert.Equal(t, 200, h.sendJob())
	p.terminate(t)
	for _, q := range held.Seen() {
		assert.Contains(t, q.ID, "one-", "began %v after its client had gone", q.First.Sub(gone))
	}
}

// TestClientLeavesBetweenAttempts: clients leave while no backend is there, or while their reqs are out. Then there is one, or those
// attempts end in a way that calls for another: none begins.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	for name, ends := range map[string]func(b *platform.Raw, q platform.RawReq){
		"no backend": nil,
		"turned away": func(_ *platform.Raw, q platform.RawReq) {
			q.Write("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"reset": func(_ *platform.Raw, q platform.RawReq) { q.Reset() },
		"returned": func(b *platform.Raw, q platform.RawReq) {
			q.Write(platform.Head + platform.Chunk(b.Line(q.ID, `"returned"`)) + "0\r\n\r\n")
		},
		"500":     func(_ *platform.Raw, q platform.RawReq) { q.Write("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n") },
		"nothing": func(*platform.Raw, platform.RawReq) {}, // a hedge may be due
	} {
		t.Run(name, func(t *testing.T) {
			left := make(chan struct{})
			var raws []*platform.Raw
			for i := range 2 {
				var b *platform.Raw
				b, err := platform.StartRaw(fmt.Sprint("raw", i), func(q platform.RawReq) {
					if _, leaves := departures[q.ID]; !leaves || ends == nil {
						q.Write(b.Served(q.ID))
						return
					}
					<-left
					ends(b, q)
				})
				require.NoError(t, err)
				raws = append(raws, b)
			}
			h := newEditedDeployment(t, []string{`"HardLimitMs": 5000`, `"HardLimitMs": 10000`}, raws...)
			for _, b := range raws {
				if ends == nil {
					h.director.Set(b.Entry(0, "Gone"))
				}
			}
			p := h.start()
			if ends != nil {
				p.awaitReady()
			}
			gone := leaveWhileWaiting(t, h, func(n int) {
				waitFor(t, "all taken", func() bool { return h.counterOrZero("reqs_taken") >= n })
				waitFor(t, "all out", func() bool { return ends == nil || len(raws[0].Seen())+len(raws[1].Seen()) >= n })
			})
			close(left)
			for _, b := range raws {
				h.director.Set(b.Entry(0, "Ready"))
			}
			waitFor(t, "served", func() bool { return h.sendJob() == 200 })
			p.terminate(t)
			for _, b := range raws {
				for _, q := range b.Seen() {
					if _, leaves := departures[q.ID]; leaves {
						assert.Less(t, q.First.Sub(gone), 100*time.Millisecond, "%s began after its client had gone", q.ID)
					}
				}
			}
		})
	}
}

// writeAcrossClose waits until bytes of an answer lie at the client, who doesn't read, has 4 KiB more cross the close, and returns
// once the far side has them or has reset the connection.
func writeAcrossClose(t testing.TB, c *conn) (reset bool) {
	waitFor(t, "an answer, or the end", func() bool { state, _, unread := c.kernelState(t); return state != tcpEstablished || unread > 0 })
	c.writeWithin(strings.Repeat("y", 4<<10), waitTimeout)
	return c.awaitPeerClose(t)
}

// awaitPeerClose waits for the far side's end of its sending, or its reset, with the client not reading.
func (c *conn) awaitPeerClose(t testing.TB) (reset bool) {
	waitFor(t, "the last bytes have come", func() bool {
		state, unacked, _ := c.kernelState(t)
		return state == tcpClosed || unacked == 0 && state != tcpEstablished
	})
	state, _, _ := c.kernelState(t)
	return state == tcpClosed
}

// readToClose reads an answer and then the connection's end; status is 0 where the answer did not come readToClose.
func (c *conn) readToClose() (status int, body string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	if status, body, _, err = c.readAnswer(); err != nil {
		return 0, body, err
	}
	_, err = io.Copy(io.Discard, c.reader)
	return status, body, err
}

// TestCloseOverUnread: an answer that ends its connection comes whole, and no reset before it, though bytes of the client lie
// unread at that moment and more cross the close.
func TestCloseOverUnread(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	p := h.start()
	p.awaitReady()
	flood := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"asked for":      {reqText("close-ID", "Connection: close\r\n") + flood, 200},
		"asked for, few": {reqText("close-ID", "Connection: close\r\n") + "P", 200},
		"400":            {"nonsense\r\n\r\n" + flood, 400},
		"400 no key":     {"POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: c-ID\r\nContent-Length: 1\r\n\r\nb" + flood, 400},
		"413":            {strings.Replace(reqText("long-ID"), "Content-Length: 1\r\n", "Content-Length: 70000\r\n", 1) + flood, 413},
		"431":            {strings.Replace(reqText("head-ID"), "Host: x\r\n", "Host: x\r\nX: "+strings.Repeat("h", 20<<10)+"\r\n", 1) + flood, 431},
		"408":            {strings.TrimSuffix(reqText("half-ID"), "\r\n\r\nb"), 408},
		"408 body":       {strings.Replace(reqText("part-ID"), "Content-Length: 1\r\n", "Content-Length: 60000\r\n", 1), 408},
	} {
		t.Run(name, func(t *testing.T) {
			for _, clients := range []int{1, 100} {
				var all sync.WaitGroup
				var resets, broken atomic.Int64
				begin := make(chan struct{})
				for range clients {
					k, err := h.dial()
					require.NoError(t, err)
					defer k.Close() // only when all are through: the closes pile up
					all.Go(func() {
						<-begin
						k.writeWithin(strings.ReplaceAll(c.text, "ID", fmt.Sprint(h.lastID.Add(1))), waitTimeout)
						if writeAcrossClose(t, k) {
							resets.Add(1)
						}
						if status, _, err := k.readToClose(); status == 0 {
							broken.Add(1)
							t.Logf("no whole answer: %v", err)
						} else {
							assert.Equal(t, c.status, status)
						}
					})
				}
				close(begin)
				all.Wait()
				assert.Zero(t, resets.Load(), "of %d reset before the client could read", clients)
				assert.Zero(t, broken.Load(), "of %d had no whole answer", clients)
			}
		})
	}
	p.terminate(t)
}

// TestCloseOverUnreadInShutdown: the same for the last answers of a shutdown. An idle connection that ends tells that the
// program has come to that.
func TestCloseOverUnreadInShutdown(t *testing.T) {
	for _, behind := range []string{"P", reqText("behind"), strings.Repeat("x", 64<<10)} {
		t.Run(fmt.Sprint(len(behind)), func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			for _, b := range h.backends {
				b.Set(platform.Faults{Hold: true})
			}
			p := h.start()
			p.awaitReady()
			var conns []*conn
			for i := range 20 {
				c, err := h.dial()
				require.NoError(t, err)
				defer c.Close()
				require.NoError(t, c.sendReq(fmt.Sprint("held-", i)))
				conns = append(conns, c)
			}
			waitFor(t, "all run", func() bool { return h.jobCount() >= len(conns) })
			for _, c := range conns {
				c.writeWithin(behind, waitTimeout)
			}
			idle, err := h.dial()
			require.NoError(t, err)
			defer idle.Close()
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			_, _ = io.Copy(io.Discard, idle) // to its end: a 408, a close
			for _, b := range h.backends {
				b.Set(platform.Faults{})
			}
			// All at once: the bytes have to cross the close, not to come when the far side has long ended.
			var all sync.WaitGroup
			var resets atomic.Int64
			for i, c := range conns {
				all.Go(func() {
					if writeAcrossClose(t, c) {
						resets.Add(1)
					}
					status, body, err := c.readToClose()
					if assert.Equal(t, 200, status, "%v", err) {
						assert.Equal(t, fmt.Sprint("small held-", i), body)
					}
				})
			}
			all.Wait()
			assert.Zero(t, resets.Load(), "of %d reset before the client could read", len(conns))
			p.terminate(t)
		})
	}
}

// TestLongAnswerOverUnread: a client with a small window reads an answer of 60 KiB, most of which lies at the program when it
// closes over unread bytes.
func TestLongAnswerOverUnread(t *testing.T) {
	result := strings.Repeat("r", 60<<10)
	var b *platform.Raw
	b, err := platform.StartRaw("b", func(q platform.RawReq) {
		q.Write(platform.Head + platform.Chunk(b.Line(q.ID, `"done","result":"`+result+`"`)) + "0\r\n\r\n")
	})
	require.NoError(t, err)
	h := newEditedDeployment(t, nil, b)
	p := h.start()
	p.awaitReady()
	small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
	}}
	for i := range 10 {
		c, err := small.Dial("tcp", h.clientAddress)
		require.NoError(t, err)
		k := &conn{c, bufio.NewReader(c)}
		k.writeWithin(reqText(fmt.Sprint("long-", i), "Connection: close\r\n")+strings.Repeat("x", 64<<10), waitTimeout)
		waitFor(t, "an answer, or the end", func() bool { state, _, unread := k.kernelState(t); return state != tcpEstablished || unread > 0 })
		status, body, err := k.readToClose()
		if assert.Equal(t, 200, status, "the answer broke off after %d bytes: %v", len(body), err) {
			assert.Equal(t, len(result), len(body))
		}
		c.Close()
	}
	p.terminate(t)
}

// TestPipelined: reqs written in one piece are answered in their order; half a req behind them has a 408 or a close.
func TestPipelined(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	p := h.start()
	p.awaitReady()
	for _, n := range []int{2, 5} {
		for name, half := range map[string]string{"none": "", "byte": "P", "head": strings.TrimSuffix(reqText("half"), "\r\n\r\nb"), "all-but-a-byte": strings.TrimSuffix(reqText("half"), "b")} {
			c, err := h.dial()
			require.NoError(t, err)
			text := ""
			for i := range n {
				text += reqText(fmt.Sprint(name, "-", n, "-", i))
			}
			_, err = io.WriteString(c, text+half)
			require.NoError(t, err)
			_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
			for i := range n {
				status, body, _, err := c.readAnswer()
				require.NoError(t, err, "%s %d of %d", name, i, n)
				assert.Equal(t, 200, status)
				assert.Equal(t, fmt.Sprint("small ", name, "-", n, "-", i), body)
			}
			if half != "" {
				status, _, _, err := c.readAnswer()
				if !errors.Is(err, io.EOF) {
					assert.NoError(t, err, name)
					assert.Equal(t, 408, status, name)
				}
			}
			c.Close()
		}
	}
	for _, b := range h.backends {
		for key := range b.Ran() {
			assert.NotEqual(t, "half", key)
		}
	}
	p.terminate(t)
}
