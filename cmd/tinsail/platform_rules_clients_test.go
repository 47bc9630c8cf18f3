package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/standin/history"
	"tinsail/internal/standin/platform"
)

// resourceUse returns how many descriptors a process holds, and its resident memory in bytes.
func resourceUse(t *testing.T, pid int) (descriptors, memory int) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(t, err)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	require.NoError(t, err)
	var size int
	_, err = fmt.Sscan(string(text), &size, &memory)
	require.NoError(t, err)
	return len(list), memory * os.Getpagesize()
}

// TestMisbehavingClients: clients stay silent, send one byte at a time, send half a request, read none of their
// answers or flood. Well-behaved clients beside them are served, and the process stays within its descriptors
// and its memory.
func TestMisbehavingClients(t *testing.T) {
	const sockets, clientCount = 256, 600
	for name, act := range map[string]func(k net.Conn, i int, stop chan struct{}){
		"say nothing": func(net.Conn, int, chan struct{}) {},
		"half a request": func(k net.Conn, i int, _ chan struct{}) {
			_, _ = io.WriteString(k, strings.TrimSuffix(reqText(fmt.Sprint("half-", i)), "b"))
		},
		"byte by byte": func(k net.Conn, i int, stop chan struct{}) {
			for _, b := range []byte(reqText(fmt.Sprint("slow-", i)))[:64] {
				if _, err := k.Write([]byte{b}); err != nil {
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		},
		"read nothing": func(k net.Conn, i int, stop chan struct{}) {
			_ = k.SetWriteDeadline(time.Now().Add(5 * time.Second))
			for n := range 200 {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := io.WriteString(k, reqText(fmt.Sprint("deaf-", i, "-", n))); err != nil {
					return
				}
			}
		},
		"flood and close": func(k net.Conn, i int, _ chan struct{}) {
			_ = k.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(k, reqText(fmt.Sprint("flood-", i))+strings.Repeat("x", 1<<20))
			k.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			// connections to backends must not time out on a busy machine
			h.editConfig(`"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, sockets), `"ConnectTimeoutMs": 120`, `"ConnectTimeoutMs": 3000`)
			p := h.start()
			p.awaitReady()
			before, _ := resourceUse(t, p.cmd.Process.Pid)
			var all sync.WaitGroup
			stop, most, memory := make(chan struct{}), 0, 0
			for i := range clientCount {
				k, err := net.DialTimeout("tcp", h.clientAddress, waitTimeout)
				if err != nil {
					continue // not accepted
				}
				defer k.Close()
				all.Go(func() { act(k, i, stop) })
				if i%20 == 0 {
					d, m := resourceUse(t, p.cmd.Process.Pid)
					most, memory = max(most, d), max(memory, m)
				}
			}
			refused := 0
			for n := 0; n < 50; n++ {
				for status, body := 0, ""; status != 200; {
					k, err := h.dial()
					require.NoError(t, err)
					_ = k.SetDeadline(time.Now().Add(waitTimeout))
					if err = k.sendReq(fmt.Sprint("honest-", n, "-", refused)); err == nil {
						status, body, _, err = k.readAnswer()
					}
					k.Close()
					require.NoError(t, err, "well-behaved client, request %d", n)
					if status == 503 { // refused with advice to retry
						refused++
						time.Sleep(20 * time.Millisecond)
						require.Less(t, refused, 3000, "well-behaved client, request %d", n)
					} else {
						require.Equal(t, 200, status, "%s, counters:\n%s", body, h.countersText())
					}
				}
				d, m := resourceUse(t, p.cmd.Process.Pid)
				most, memory = max(most, d), max(memory, m)
			}
			t.Logf("descriptors %d at the start, %d at most of %d; resident %d MiB at most; well-behaved clients refused %d times", before, most, sockets, memory>>20, refused)
			assert.LessOrEqual(t, most, sockets)
			limit := 192 << 20 // memory_mb
			if b, _ := debug.ReadBuildInfo(); slices.Contains(b.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
				limit *= 5 // the race detector needs memory of its own
			}
			assert.LessOrEqual(t, memory, limit)
			close(stop)
			all.Wait()
			p.terminate(t)
		})
	}
}

// TestReqsSentDuringShutdown: clients keep connections open through a shutdown and send a request the moment
// they read the close, or an answer that announces it. A request gets its one answer, or the connection ends and
// the request reached no backend.
func TestReqsSentDuringShutdown(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	p := h.start()
	p.awaitReady()
	var all, rest sync.WaitGroup
	seen := &history.History{}
	for c := range 60 {
		k, err := h.dial()
		require.NoError(t, err)
		defer k.Close()
		ask := func(id string) (closing, ended bool) {
			if k.sendReq(id) != nil {
				return true, true
			}
			seen.AddReq(history.Req{Dispatcher: "demo", ID: id, SentAt: time.Now(), Deadline: time.Now().Add(5 * time.Second)})
			_ = k.SetReadDeadline(time.Now().Add(waitTimeout))
			status, body, closing, err := k.readAnswer()
			if err != nil {
				seen.AddReset(id, err.Error())
				return true, true
			}
			seen.AddAnswer(history.Answer{ID: id, At: time.Now(), Status: status, Body: body})
			return closing, false
		}
		rest.Add(1)
		all.Go(func() {
			_, ended := ask(fmt.Sprint("rest-", c))
			rest.Done()
			switch {
			case ended:
			case c%2 == 0: // idle until the connection ends
				_ = k.SetReadDeadline(time.Now().Add(waitTimeout))
				_, _ = k.reader.Peek(1)
				ask(fmt.Sprint("end-", c))
			default: // sends all the time, and once more after the answer that closes the connection
				for i, closing := 0, false; !closing; i++ {
					closing, _ = ask(fmt.Sprint("on-", c, "-", i))
				}
				ask(fmt.Sprint("end-", c))
			}
		})
	}
	rest.Wait()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	all.Wait()
	for range p.logLines {
	}
	assert.NoError(t, p.cmd.Wait())
	reached := map[string]bool{}
	for _, b := range h.backends {
		for _, a := range b.Attempts() {
			seen.AddAttempts(a)
			reached[a.ID] = true
		}
	}
	for _, b := range seen.Check(history.BasicRules(500 * time.Millisecond)) {
		if b.Rule == "reset" && !reached[b.ID] { // the close crossed a request that was never read; the client may send it again
			continue
		}
		assert.Fail(t, b.String())
	}
}

// TestRefusedOverUnread: clients beyond what the descriptors allow are answered 503 with Retry-After, and
// receive the whole answer although 64 KiB of theirs are unread at that moment.
func TestRefusedOverUnread(t *testing.T) {
	const sockets, clientCount = 128, 300
	h := newDeployment(t, "127.0.0.1:0")
	h.editConfig(`"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, sockets))
	for _, b := range h.backends {
		b.Set(platform.Faults{HoldJobs: true})
	}
	p := h.start()
	p.awaitReady()
	var all sync.WaitGroup
	var answered, resets, broken, refused atomic.Int64
	stop := make(chan struct{})
	for i := range clientCount {
		k, err := h.dial()
		require.NoError(t, err)
		all.Go(func() {
			defer k.Close()
			k.writeWithin(reqText(fmt.Sprint("crowd-", i))+strings.Repeat("x", 64<<10), waitTimeout)
			for state, unread := uint8(tcpEstablished), 0; state == tcpEstablished && unread == 0; state, _, unread = k.kernelState(t) {
				select {
				case <-stop:
					return // accepted, and held at a backend
				case <-time.After(5 * time.Millisecond):
				}
			}
			if k.awaitPeerClose(t) {
				resets.Add(1)
			}
			if status, _, err := k.readToClose(); status == 503 {
				refused.Add(1)
			} else if broken.Add(1) == 1 {
				t.Logf("status %d, %v", status, err)
			}
			answered.Add(1)
		})
	}
	waitFor(t, "those beyond the limit are answered", func() bool { return answered.Load() >= clientCount-sockets })
	close(stop)
	all.Wait()
	t.Logf("of %d: %d refused with 503, %d with an incomplete or another answer", clientCount, refused.Load(), broken.Load())
	assert.Zero(t, resets.Load(), "reset before the client could read")
	assert.Zero(t, broken.Load())
	p.terminate(t)
}
