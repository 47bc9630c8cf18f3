package network

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
)

// loopback is a director on 127.0.0.1 that a test plays by hand, and a watch of it. Its times are long enough for a slow
// machine and short enough to be waited for; no assertion depends on them.
type loopback struct {
	t     *testing.T
	l     *net.TCPListener
	watch *Director
	lists chan []core.Entry
}

func newLoopback(t *testing.T, timings WatchTimings) *loopback {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	b := &loopback{t: t, l: l, lists: make(chan []core.Entry, 100)}
	stop := make(chan struct{})
	b.watch = &Director{Names: &platform.Names{}, Count: &counters.Set{}, Address: l.Addr().String(), Dial: DialTCP, Stop: stop, Timings: timings,
		OnList: func(kind balance.ListKind, list []core.Entry) {
			if kind != balance.ListFailed {
				b.lists <- list
			}
		}}
	t.Cleanup(func() { close(stop); l.Close() })
	return b
}

// shortTimings make calls count as silent soon, and do not give them up before the test is over.
var shortTimings = WatchTimings{PollWait: 50 * time.Millisecond, SilenceSlack: 50 * time.Millisecond, GiveUpSlack: time.Minute, ConnectTimeout: time.Minute, MaxBackoff: 20 * time.Millisecond}

// call returns the connection and the head of the next call.
func (b *loopback) call() (*net.TCPConn, string) {
	c, err := b.l.AcceptTCP()
	require.NoError(b.t, err)
	b.t.Cleanup(func() { c.Close() })
	return c, b.head(c)
}

func (b *loopback) head(c net.Conn) string {
	var head []byte
	for one := make([]byte, 1); !bytes.HasSuffix(head, []byte("\r\n\r\n")); head = append(head, one[0]) {
		_, err := io.ReadFull(c, one)
		require.NoError(b.t, err)
	}
	return string(head)
}

// chunkedAnswer returns a complete answer with that list, in chunks.
func chunkedAnswer(list string) string {
	var out bytes.Buffer
	w := httputil.NewChunkedWriter(&out)
	for at := 0; at < len(list); at += 1000 {
		_, _ = io.WriteString(w, list[at:min(at+1000, len(list))])
	}
	w.Close()
	return listHead + out.String() + "\r\n"
}

// indentedList returns a list with n backends as indented JSON.
func indentedList(index, n int, status string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "{\n  \"index\": %d,\n  \"snapshot\": true,\n  \"endpoints\": [", index)
	for i := range n {
		if i > 0 {
			out.WriteString(",")
		}
		fmt.Fprintf(&out, "\n    {\n      \"name\": \"b%d\",\n      \"address\": \"10.0.0.1:%d\",\n      \"zone\": \"a\",\n      \"type\": \"m\",\n      \"group\": 1,\n"+
			"      \"status\": %q,\n      \"weight\": 1.0,\n      \"since_ms\": 0\n    }", i, i+1, status)
	}
	return out.String() + "\n  ]\n}\n"
}

// TestTruncatedAnswers: an answer is cut off within its head, its framing or its list, by a close or a reset.
// None of it is applied, and the next call gets the complete answer.
func TestTruncatedAnswers(t *testing.T) {
	whole := chunkedAnswer(indentedList(7, 3, "Terminating"))
	var cuts []int
	for cut := 0; cut < len(whole); cut += 37 {
		cuts = append(cuts, cut)
	}
	for cut := len(whole) - 12; cut < len(whole); cut++ { // each byte of the last chunks
		cuts = append(cuts, cut)
	}
	for i, cut := range cuts {
		timings := shortTimings
		timings.SilenceSlack = time.Minute
		b := newLoopback(t, timings)
		b.watch.Subscribe()
		c, _ := b.call()
		_, _ = io.WriteString(c, whole[:cut])
		if i%2 == 1 {
			require.NoError(t, c.SetLinger(0))
		}
		c.Close()
		c, head := b.call()
		assert.Contains(t, head, "since=0&", "cut at %d: nothing was taken", cut)
		assert.Empty(t, b.lists, "cut at %d", cut)
		_, _ = io.WriteString(c, whole)
		assert.Len(t, <-b.lists, 3, "cut at %d", cut)
	}
}

// TestMaxSizeList: an indented list of just the maximal size is read, after an answer that was cut off in its middle.
func TestMaxSizeList(t *testing.T) {
	n := 4000
	for step := 256; step > 0; step /= 4 {
		for len(indentedList(7, n+step, "Ready")) <= platform.MaxList {
			n += step
		}
	}
	whole := chunkedAnswer(indentedList(7, n, "Ready"))
	timings := shortTimings
	timings.SilenceSlack = time.Minute
	b := newLoopback(t, timings)
	b.watch.Subscribe()
	c, _ := b.call()
	_, _ = io.WriteString(c, whole[:len(whole)/2])
	require.NoError(t, c.SetLinger(0))
	c.Close()
	c, _ = b.call()
	_, _ = io.WriteString(c, whole)
	assert.Len(t, <-b.lists, n)
	assert.Contains(t, b.head(c), "since=7&", "the watch goes on, on the same connection")
}

// TestEndlessListAnswer: an answer goes on byte by byte and never ends, or never begins. The backup call gets the list, and
// the first call is closed.
func TestEndlessListAnswer(t *testing.T) {
	for name, begins := range map[string]string{"nothing": "", "half a head": "HTTP/1.1 20", "a chunk": listHead + "100000\r\n{"} {
		t.Run(name, func(t *testing.T) {
			b := newLoopback(t, shortTimings)
			b.watch.Subscribe()
			first, _ := b.call()
			_, _ = io.WriteString(first, begins)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for {
					if begins != "" {
						if _, err := io.WriteString(first, " "); err != nil {
							return
						}
					} else if _, err := first.Read(make([]byte, 1)); err != nil {
						return
					}
				}
			}()
			second, head := b.call()
			assert.Contains(t, head, "since=0&")
			_, _ = io.WriteString(second, chunkedAnswer(indentedList(7, 1, "Terminating")))
			assert.Len(t, <-b.lists, 1)
			<-ended
			assert.Contains(t, b.head(second), "since=7&")
		})
	}
}

// TestHangingConnect: a connection attempt hangs. It is given up after the connect timeout and the call is made
// again; after a redirect this happens at once.
func TestHangingConnect(t *testing.T) {
	for _, moved := range []bool{false, true} {
		timings := shortTimings
		timings.SilenceSlack = time.Minute
		if timings.ConnectTimeout = 20 * time.Millisecond; moved {
			timings.ConnectTimeout = time.Minute
		}
		b := newLoopback(t, timings)
		hanging, hungOnce := make(chan struct{}, 1), false
		at := b.watch.Address
		b.watch.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if !hungOnce { // one call at a time: the first has ended before the second begins
				hungOnce = true
				hanging <- struct{}{}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return DialTCP(ctx, at)
		}
		b.watch.Subscribe()
		<-hanging
		if moved {
			b.watch.Redirect("elsewhere")
		}
		c, head := b.call()
		assert.Equal(t, moved, !strings.Contains(head, "since="), "the full list is asked for at a new address")
		_, _ = io.WriteString(c, chunkedAnswer(indentedList(7, 1, "Ready")))
		assert.Len(t, <-b.lists, 1)
	}
}
