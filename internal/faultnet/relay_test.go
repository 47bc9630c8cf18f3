package faultnet

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startEcho starts a target that sends back what it receives. It returns its address and a channel
// with one element for each accepted connection.
func startEcho(t *testing.T) (string, <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	accepted := make(chan struct{}, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String(), accepted
}

func startRelay(t *testing.T, target string) *TCP {
	r, err := ListenTCP(target)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// TestDelayPreservesBytes checks that all bytes arrive unchanged with and without a delay, and that the
// delay applies to each direction.
func TestDelayPreservesBytes(t *testing.T) {
	target, _ := startEcho(t)
	r := startRelay(t, target)
	for _, rule := range []Rule{NoFaults, {Delay: 20 * time.Millisecond}} {
		r.Set(rule)
		start := time.Now()
		c, err := net.Dial("tcp", r.Addr())
		require.NoError(t, err)
		_, err = c.Write([]byte("hello, backend"))
		require.NoError(t, err)
		c.(*net.TCPConn).CloseWrite()
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		assert.Equal(t, "hello, backend", string(got), "%+v", rule)
		// only a lower bound: with one delay in each direction the reply can't arrive sooner
		assert.GreaterOrEqual(t, time.Since(start), 2*rule.Delay, "%+v", rule)
		c.Close()
	}
	assert.Equal(t, int64(4*14), r.AwaitEnded(2).Forwarded, "14 bytes in both directions, on two connections")
}

func TestRefuseResetsNewConnections(t *testing.T) {
	target, accepted := startEcho(t)
	r := startRelay(t, target)
	r.Set(Rule{Refuse: true})
	c, err := net.Dial("tcp", r.Addr())
	if err == nil { // the reset may arrive before Dial returns or after
		_, err = c.Read(make([]byte, 1))
	}
	assert.True(t, errors.Is(err, syscall.ECONNRESET), "dial or read: %v", err)
	assert.Equal(t, 1, r.Counts().Refused)
	assert.Empty(t, accepted, "the target accepted no connection")
}

func TestResetClosesOpenConnections(t *testing.T) {
	target, _ := startEcho(t)
	r := startRelay(t, target)
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 1))
	require.NoError(t, err, "the connection is open and forwards")
	r.Reset()
	_, err = c.Read(make([]byte, 1))
	assert.True(t, errors.Is(err, syscall.ECONNRESET), "read: %v", err)
}

func TestBlackholeDiscardsSilently(t *testing.T) {
	target, accepted := startEcho(t)
	r := startRelay(t, target)
	r.Set(Rule{Blackhole: true})
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, err = c.Write([]byte("anyone?"))
	require.NoError(t, err)
	c.(*net.TCPConn).CloseWrite()
	counts := r.AwaitEnded(1)
	assert.Equal(t, int64(7), counts.Discarded)
	assert.Equal(t, int64(0), counts.Forwarded)
	assert.Empty(t, accepted, "the target was never dialled")
	c.Close()
}

func TestUDPDropsEveryNth(t *testing.T) {
	sink, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer sink.Close()
	r, err := ListenUDP(sink.LocalAddr().String())
	require.NoError(t, err)
	defer r.Close()
	r.Set(Rule{DropEvery: 3})
	c, err := net.Dial("udp", r.Addr())
	require.NoError(t, err)
	for i := range 9 {
		_, err = c.Write([]byte{byte(i)})
		require.NoError(t, err)
	}
	var got []byte
	buf := make([]byte, 16)
	for len(got) < 6 {
		n, _, err := sink.ReadFromUDP(buf)
		require.NoError(t, err)
		got = append(got, buf[:n]...)
	}
	assert.Equal(t, []byte{0, 1, 3, 4, 6, 7}, got, "the third, sixth and ninth are dropped")
	assert.Equal(t, Counts{Forwarded: 6, Discarded: 3}, r.AwaitDatagrams(9))
}

// TestLatencyPreservesBytes checks that bytes sent with latency arrive complete, in order and not too
// early, and that a tap is given all of them.
func TestLatencyPreservesBytes(t *testing.T) {
	target, _ := startEcho(t)
	var toTarget, toClient atomic.Int64
	count := func(n *atomic.Int64) func([]byte) { return func(p []byte) { n.Add(int64(len(p))) } }
	r, err := ListenTapped(target, func() (func([]byte), func([]byte)) { return count(&toTarget), count(&toClient) })
	require.NoError(t, err)
	t.Cleanup(r.Close)
	const latency = 20 * time.Millisecond
	r.Set(Rule{Latency: latency})
	start := time.Now()
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	defer c.Close()
	var want []byte
	for i := range 500 {
		p := []byte{byte(i), byte(i >> 8)}
		want = append(want, p...)
		_, err = c.Write(p)
		require.NoError(t, err)
	}
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, want, got)
	assert.GreaterOrEqual(t, time.Since(start), 2*latency, "only a lower bound")
	assert.Equal(t, int64(2*len(want)), r.AwaitEnded(1).Forwarded)
	assert.Equal(t, int64(len(want)), toTarget.Load())
	assert.Equal(t, int64(len(want)), toClient.Load())
}
