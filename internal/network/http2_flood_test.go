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
func (c *http2Client) appendHead(stream uint32, ends bool) {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/photo/1"},
		{"x-correlation-id", fmt.Sprintf("%v/%d", c.conn.LocalAddr(), stream)}} {
		enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: ends})
}

// TestHTTP2FloodThenClose: clients that flood and close at once leave nothing behind, each is counted once and by its kind, and
// another client is served meanwhile.
func TestHTTP2FloodThenClose(t *testing.T) {
	floods := map[ours.Abuse]func(*http2Client){
		ours.Ping: func(c *http2Client) {
			for range 2000 {
				c.framer.WritePing(false, [8]byte{})
			}
		},
		ours.Settings: func(c *http2Client) {
			for range 200 {
				c.framer.WriteSettings()
			}
		},
		ours.WindowUpdate: func(c *http2Client) {
			for range 3000 {
				c.framer.WriteWindowUpdate(0, 1)
			}
		},
		ours.Priority: func(c *http2Client) {
			for range 3000 {
				c.framer.WritePriority(1, http2.PriorityParam{StreamDep: 3})
			}
		},
		ours.Unknown: func(c *http2Client) {
			for range 3000 {
				c.framer.WriteRawFrame(99, 0, 0, nil)
			}
		},
		ours.EmptyData: func(c *http2Client) {
			c.appendHead(1, true)
			for range 3000 {
				c.framer.WriteData(1, false, nil)
			}
		},
		ours.Continuation: func(c *http2Client) {
			c.appendHead(1, false)
			for range 100 {
				c.framer.WriteContinuation(1, false, nil)
			}
		},
		ours.RapidReset: func(c *http2Client) {
			for i := range uint32(2000) {
				c.appendHead(1+2*i, true)
				c.framer.WriteRSTStream(1+2*i, http2.ErrCodeCancel)
			}
		},
	}
	s := startWithLongDeadlines(t, instantBackends{"r"})
	regular := connectHTTP2(t, s.addresses[1], 0)
	next := uint32(1)
	serve := func() {
		regular.appendPost(next)
		regular.flush()
		regular.readUntil(fmt.Sprint("data ", next))
		next += 2
	}
	serve()
	before := runtime.NumGoroutine()
	const each = 6
	for range each {
		for _, flood := range floods {
			c := dialHTTP2(t, s.addresses[1], 0)
			c.appendPreface()
			flood(c)
			c.conn.Write(c.out.Bytes()) // the front may have closed before all is written
			c.conn.CloseWrite()
			serve()
		}
	}
	eventually(t, "only the regular client is left", func() bool { return s.clients.OpenSessions() == 1 })
	assert.Equal(t, int64(each*len(floods)), s.count.Endings[core.ClientBad].Load())
	assert.Equal(t, int64(1+each*len(floods)), s.count.HTTP2Sessions.Load())
	assert.Zero(t, s.count.Endings[core.ClientClosed].Load())
	for kind := range floods {
		assert.Equal(t, int64(each), s.count.HTTP2Abuse[kind].Load(), kind)
	}
	eventually(t, "their goroutines end", func() bool { return runtime.NumGoroutine() <= before+each })
	serve()
	regular.conn.Close()
	s.checkNoSessions(t)
	s.waitOpenReqs(t, 0)
}
