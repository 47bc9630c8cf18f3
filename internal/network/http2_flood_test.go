package network

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"tinsail/internal/core"
	ours "tinsail/internal/http2"
)

// appendHead collects the head of a request whose body follows.
func (c *caller) open(stream uint32, ends bool) {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/photo/1"},
		{"x-correlation-id", fmt.Sprintf("%v/%d", c.conn.LocalAddr(), stream)}} {
		enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: ends})
}

// TestHTTP2FloodThenClose: clients that flood and close at once leave nothing behind, each is counted once and by its kind, and
// another client is served meanwhile.
func TestHTTP2FloodAndGo(t *testing.T) {
	floods := map[ours.Abuse]func(*caller){
		ours.Ping: func(c *caller) {
			for range 2000 {
				c.fr.WritePing(false, [8]byte{})
			}
		},
		ours.Settings: func(c *caller) {
			for range 200 {
				c.fr.WriteSettings()
			}
		},
		ours.WindowUpdate: func(c *caller) {
			for range 3000 {
				c.fr.WriteWindowUpdate(0, 1)
			}
		},
		ours.Priority: func(c *caller) {
			for range 3000 {
				c.fr.WritePriority(1, http2.PriorityParam{StreamDep: 3})
			}
		},
		ours.Unknown: func(c *caller) {
			for range 3000 {
				c.fr.WriteRawFrame(99, 0, 0, nil)
			}
		},
		ours.Empty: func(c *caller) {
			c.open(1, true)
			for range 3000 {
				c.fr.WriteData(1, false, nil)
			}
		},
		ours.Continuation: func(c *caller) {
			c.open(1, false)
			for range 100 {
				c.fr.WriteContinuation(1, false, nil)
			}
		},
		ours.RapidReset: func(c *caller) {
			for i := range uint32(2000) {
				c.open(1+2*i, true)
				c.fr.WriteRSTStream(1+2*i, http2.ErrCodeCancel)
			}
		},
	}
	s := serveLong(t, instant{"r"})
	honest := phoneUp(t, s.address[1], 0)
	next := uint32(1)
	serve := func() {
		honest.post(next)
		honest.send()
		honest.until(fmt.Sprint("data ", next))
		next += 2
	}
	serve()
	before := runtime.NumGoroutine()
	const each = 6
	for range each {
		for _, flood := range floods {
			c := connect(t, s.address[1], 0)
			c.hello()
			flood(c)
			c.conn.Write(c.out.Bytes()) // the front may have closed before all is written
			c.conn.CloseWrite()
			serve()
		}
	}
	soon(t, "only the client beside them is left", func() bool { return s.clients.OpenSessions() == 1 })
	assert.Equal(t, int64(each*len(floods)), s.count.Endings[core.ClientBad].Load())
	assert.Equal(t, int64(1+each*len(floods)), s.count.HTTP2Sessions.Load())
	assert.Zero(t, s.count.Endings[core.ClientClosed].Load())
	for kind := range floods {
		assert.Equal(t, int64(each), s.count.HTTP2Abuse[kind].Load(), kind)
	}
	soon(t, "their goroutines end", func() bool { return runtime.NumGoroutine() <= before+each })
	serve()
	honest.conn.Close()
	s.empty(t)
	s.owes(t, 0)
}
