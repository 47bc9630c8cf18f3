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

// echo is a target that sends back what it gets and counts its connections.
func echo(t *testing.T) (string, <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	came := make(chan struct{}, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			came <- struct{}{}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String(), came
}

func relay(t *testing.T, target string) *TCP {
	r, err := ListenTCP(target)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// TestPassAndDelayKeepTheBytes: bytes pass whole, and a delay holds each way back.
func TestPassAndDelayKeepTheBytes(t *testing.T) {
	target, _ := echo(t)
	r := relay(t, target)
	for _, rule := range []Rule{NoFaults, {Delay: 20 * time.Millisecond}} {
		r.Set(rule)
		began := time.Now()
		c, err := net.Dial("tcp", r.Addr())
		require.NoError(t, err)
		_, err = c.Write([]byte("hello, backend"))
		require.NoError(t, err)
		c.(*net.TCPConn).CloseWrite()
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		assert.Equal(t, "hello, backend", string(got), "%+v", rule)
		// a lower bound alone: held back once each way, the answer cannot come sooner
		assert.GreaterOrEqual(t, time.Since(began), 2*rule.Delay, "%+v", rule)
		c.Close()
	}
	assert.Equal(t, int64(4*14), r.AwaitEnded(2).Forwarded, "both ways, twice")
}

func TestRefuseResetsNewConnections(t *testing.T) {
	target, came := echo(t)
	r := relay(t, target)
	r.Set(Rule{Refuse: true})
	c, err := net.Dial("tcp", r.Addr())
	if err == nil { // the reset may come before the dial is through, or after
		_, err = c.Read(make([]byte, 1))
	}
	assert.True(t, errors.Is(err, syscall.ECONNRESET), "dial or read: %v", err)
	assert.Equal(t, 1, r.Counts().Refused)
	assert.Empty(t, came, "nothing reached the target")
}

func TestResetCutsOpenConnections(t *testing.T) {
	target, _ := echo(t)
	r := relay(t, target)
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 1))
	require.NoError(t, err, "up and passing")
	r.Reset()
	_, err = c.Read(make([]byte, 1))
	assert.True(t, errors.Is(err, syscall.ECONNRESET), "read: %v", err)
}

func TestBlackholeSwallowsInSilence(t *testing.T) {
	target, came := echo(t)
	r := relay(t, target)
	r.Set(Rule{Blackhole: true})
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, err = c.Write([]byte("anyone?"))
	require.NoError(t, err)
	c.(*net.TCPConn).CloseWrite()
	n := r.AwaitEnded(1)
	assert.Equal(t, int64(7), n.Discarded)
	assert.Equal(t, int64(0), n.Forwarded)
	assert.Empty(t, came, "the target was never dialled")
	c.Close()
}

func TestUDPDropsOneInSo(t *testing.T) {
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

// TestLagKeepsTheBytes: pieces that travel come whole, in order and none before its time, and a tap sees them all.
func TestLagKeepsTheBytes(t *testing.T) {
	target, _ := echo(t)
	var out, back atomic.Int64
	count := func(n *atomic.Int64) func([]byte) { return func(p []byte) { n.Add(int64(len(p))) } }
	r, err := ListenTapped(target, func() (func([]byte), func([]byte)) { return count(&out), count(&back) })
	require.NoError(t, err)
	t.Cleanup(r.Close)
	const lag = 20 * time.Millisecond
	r.Set(Rule{Latency: lag})
	began := time.Now()
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
	assert.GreaterOrEqual(t, time.Since(began), 2*lag, "a lower bound alone")
	assert.Equal(t, int64(2*len(want)), r.AwaitEnded(1).Forwarded)
	assert.Equal(t, int64(len(want)), out.Load())
	assert.Equal(t, int64(len(want)), back.Load())
}
