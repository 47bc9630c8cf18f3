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

// These tests are written from the platform's published rules alone. They start the real program, force two
// events to happen in a given order, and check what the clients and the backends saw.

// waitTimeout bounds every wait. No assertion depends on it, except that nothing arrived at all.
const waitTimeout = 60 * time.Second

// newEditedDeployment makes a deployment whose director lists only these backends. edits are pairs of an old and
// a new text of its configuration.
func newEditedDeployment(t *testing.T, edits []string, raws ...*platform.RawBackend) *deployment {
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

// countersText returns the program's counters, one per line.
func (h *deployment) countersText() string {
	a, err := http.Get("http://" + h.clientAddress + "/counters")
	require.NoError(h.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(h.t, err)
	return string(text)
}

// counterOrZero returns one of the program's counters, 0 where it has none of that name.
func (h *deployment) counterOrZero(name string) (n int) {
	for _, line := range strings.Split(h.countersText(), "\n") {
		if _, err := fmt.Sscanf(line, "counter "+name+" %d", &n); err == nil {
			return n
		}
	}
	return 0
}

// waitFor polls until the condition holds, and fails the test after waitTimeout.
func waitFor(t testing.TB, what string, holds func() bool) {
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			require.Fail(t, "timed out waiting for", what)
		}
	}
}

// pendingConnects counts the connections to an address of 127.0.0.1 that are in SYN_SENT.
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

// Connection states of TCP_INFO.
const tcpEstablished, tcpClosed = 1, 7

// kernelState returns what the kernel knows of the client's end: the connection's state (tcpClosed after a
// reset), the bytes that the peer has not acknowledged, and the bytes that the client has not read.
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

// reqText returns a whole request; more are additional header lines.
func reqText(id string, more ...string) string {
	return fmt.Sprintf("POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\n%sContent-Length: 1\r\n\r\nb", id, id, strings.Join(more, ""))
}

// writeWithin writes for at most this time and ignores errors, as the peer may not read all of it.
func (c *conn) writeWithin(text string, within time.Duration) {
	_ = c.SetWriteDeadline(time.Now().Add(within))
	_, _ = io.WriteString(c, text)
}

// departures are ways in which a client leaves while its request waits: what it sends along with the request,
// what it sends afterwards, and how it disconnects (by a close where disconnect is nil).
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

// leaveWhileWaiting has a client of each kind send a request that has to wait, and then leave. waits returns
// once all requests wait.
func leaveWhileWaiting(t *testing.T, h *deployment, waits func(n int)) (leftAt time.Time) {
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
	leftAt = time.Now()
	time.Sleep(time.Second) // the platform's rules allow 0.1 s: an attempt that starts from here on breaks them
	return leftAt
}

// TestClientLeavesWhileConnecting: clients leave while the backend connection for their requests is being
// established. It comes up a second later and must carry none of them.
func TestClientLeavesWhileConnecting(t *testing.T) {
	held, err := platform.StartStalledBackend("held", nil)
	require.NoError(t, err)
	h := newEditedDeployment(t, []string{`"ConnectTimeoutMs": 120`, `"ConnectTimeoutMs": 20000`, `"HardLimitMs": 5000`, `"HardLimitMs": 60000`}, held)
	p := h.start()
	p.awaitReady()
	leftAt := leaveWhileWaiting(t, h, func(n int) {
		waitFor(t, "all are accepted", func() bool { return h.counterOrZero("reqs_taken") >= n })
		waitFor(t, "a connection being established", func() bool { return pendingConnects(t, held.Address) > 0 })
	})
	require.Empty(t, held.Reqs(), "the backend accepts nothing yet")
	require.NoError(t, held.AcceptConnections())
	waitFor(t, "no connection being established", func() bool { return pendingConnects(t, held.Address) == 0 })
	assert.Equal(t, 200, h.sendJob())
	p.terminate(t)
	for _, q := range held.Reqs() {
		assert.Contains(t, q.ID, "one-", "started %v after its client had left", q.FirstByteAt.Sub(leftAt))
	}
}

// TestClientLeavesBetweenAttempts: clients leave while there is no backend, or while an attempt is running. Then
// a backend appears, or the attempts end in a way that calls for a retry: no attempt may start.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	for name, ends := range map[string]func(b *platform.RawBackend, q platform.RawReq){
		"no backend": nil,
		"refused unprocessed": func(_ *platform.RawBackend, q platform.RawReq) {
			q.Write("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"reset": func(_ *platform.RawBackend, q platform.RawReq) { q.Reset() },
		"returned": func(b *platform.RawBackend, q platform.RawReq) {
			q.Write(platform.AnswerHeader + platform.EncodeChunk(b.StateLine(q.ID, `"returned"`)) + "0\r\n\r\n")
		},
		"500": func(_ *platform.RawBackend, q platform.RawReq) {
			q.Write("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		},
		"nothing": func(*platform.RawBackend, platform.RawReq) {}, // a hedge may be due
	} {
		t.Run(name, func(t *testing.T) {
			left := make(chan struct{})
			var raws []*platform.RawBackend
			for i := range 2 {
				var b *platform.RawBackend
				b, err := platform.StartRawBackend(fmt.Sprint("raw", i), func(q platform.RawReq) {
					if _, leaves := departures[q.ID]; !leaves || ends == nil {
						q.Write(b.ResultAnswer(q.ID))
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
			leftAt := leaveWhileWaiting(t, h, func(n int) {
				waitFor(t, "all are accepted", func() bool { return h.counterOrZero("reqs_taken") >= n })
				waitFor(t, "all are at a backend", func() bool { return ends == nil || len(raws[0].Reqs())+len(raws[1].Reqs()) >= n })
			})
			close(left)
			for _, b := range raws {
				h.director.Set(b.Entry(0, "Ready"))
			}
			waitFor(t, "served", func() bool { return h.sendJob() == 200 })
			p.terminate(t)
			for _, b := range raws {
				for _, q := range b.Reqs() {
					if _, leaves := departures[q.ID]; leaves {
						assert.Less(t, q.FirstByteAt.Sub(leftAt), 100*time.Millisecond, "%s started after its client had left", q.ID)
					}
				}
			}
		})
	}
}

// writeAcrossClose waits until bytes of an answer have arrived unread at the client, sends 4 KiB that cross the
// server's close, and returns once the server has acknowledged them or has reset the connection.
func writeAcrossClose(t testing.TB, c *conn) (reset bool) {
	waitFor(t, "an answer or the end of the connection", func() bool { state, _, unread := c.kernelState(t); return state != tcpEstablished || unread > 0 })
	c.writeWithin(strings.Repeat("y", 4<<10), waitTimeout)
	return c.awaitPeerClose(t)
}

// awaitPeerClose waits until the server closes its sending side or resets the connection, while the client does
// not read.
func (c *conn) awaitPeerClose(t testing.TB) (reset bool) {
	waitFor(t, "the last bytes are acknowledged", func() bool {
		state, unacked, _ := c.kernelState(t)
		return state == tcpClosed || unacked == 0 && state != tcpEstablished
	})
	state, _, _ := c.kernelState(t)
	return state == tcpClosed
}

// readToClose reads an answer and then to the end of the connection. The status is 0 where the answer was not
// complete.
func (c *conn) readToClose() (status int, body string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	if status, body, _, err = c.readAnswer(); err != nil {
		return 0, body, err
	}
	_, err = io.Copy(io.Discard, c.reader)
	return status, body, err
}

// TestCloseOverUnread: an answer after which the server closes arrives whole and without a reset before it,
// although bytes of the client are unread at that moment and more cross the close. A close with unread bytes
// makes the kernel send a reset, which can destroy the answer.
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
					defer k.Close() // only after all are done: the server's closing connections add up
					all.Go(func() {
						<-begin
						k.writeWithin(strings.ReplaceAll(c.text, "ID", fmt.Sprint(h.lastID.Add(1))), waitTimeout)
						if writeAcrossClose(t, k) {
							resets.Add(1)
						}
						if status, _, err := k.readToClose(); status == 0 {
							broken.Add(1)
							t.Logf("incomplete answer: %v", err)
						} else {
							assert.Equal(t, c.status, status)
						}
					})
				}
				close(begin)
				all.Wait()
				assert.Zero(t, resets.Load(), "of %d reset before the client could read", clients)
				assert.Zero(t, broken.Load(), "of %d had an incomplete answer", clients)
			}
		})
	}
	p.terminate(t)
}

// TestCloseOverUnreadInShutdown: the same for the last answers of a shutdown. The end of an idle connection
// shows that the program has got that far.
func TestCloseOverUnreadInShutdown(t *testing.T) {
	for _, behind := range []string{"P", reqText("behind"), strings.Repeat("x", 64<<10)} {
		t.Run(fmt.Sprint(len(behind)), func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			for _, b := range h.backends {
				b.Set(platform.Faults{HoldJobs: true})
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
			_, _ = io.Copy(io.Discard, idle) // until it ends, with a 408 or a close
			for _, b := range h.backends {
				b.Set(platform.Faults{})
			}
			// All at once: the bytes have to cross the close, not to arrive long after the server has closed.
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

// TestLongAnswerOverUnread: a client with a small window reads an answer of 60 KiB, most of which is still in
// the program when it closes with unread bytes of the client.
func TestLongAnswerOverUnread(t *testing.T) {
	result := strings.Repeat("r", 60<<10)
	var b *platform.RawBackend
	b, err := platform.StartRawBackend("b", func(q platform.RawReq) {
		q.Write(platform.AnswerHeader + platform.EncodeChunk(b.StateLine(q.ID, `"done","result":"`+result+`"`)) + "0\r\n\r\n")
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
		waitFor(t, "an answer or the end of the connection", func() bool { state, _, unread := k.kernelState(t); return state != tcpEstablished || unread > 0 })
		status, body, err := k.readToClose()
		if assert.Equal(t, 200, status, "the answer ended after %d bytes: %v", len(body), err) {
			assert.Equal(t, len(result), len(body))
		}
		c.Close()
	}
	p.terminate(t)
}

// TestPipelined: requests written in one piece are answered in order. Half a request behind them is answered
// 408, or the connection is closed.
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
		for key := range b.RunsByKey() {
			assert.NotEqual(t, "half", key)
		}
	}
	p.terminate(t)
}
