package network

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"tinsail/internal/core"
	ours "tinsail/internal/http2"
)

// readEnd reads frames until a stream ends, and returns how many bytes of its answer came, and the code of its reset, if it was one.
func (c *http2Client) readEnd(id uint32) (size int, reset *http2.ErrCode) {
	for {
		word, f := c.nextFrame()
		switch f := f.(type) {
		case nil:
			require.Fail(c.t, "the connection ended", word)
		case *http2.DataFrame:
			if f.StreamID != id {
				continue
			}
			if size += len(f.Data()); f.StreamEnded() {
				return size, nil
			}
		case *http2.RSTStreamFrame:
			if f.StreamID == id {
				return size, &f.ErrCode
			}
		}
	}
}

// Guards against results of jobs that ran being dropped, because clients that send their bodies slowly hold the memory for bodies
// (2026-12-06-answers-dropped).
func TestHTTP2AnswerWhileBodiesHoldMemory(t *testing.T) {
	const size = 40_000
	h := newHoldingBackends()
	s := startWithLongReply(t, h, time.Hour)
	c := connectHTTP2(t, s.addresses[1], 0)
	var running []*core.Attempt
	for i := range uint32(5) {
		c.appendPost(1 + 2*i)
		c.flush()
		running = append(running, receive(t, "an attempt", h.attempts))
	}
	require.True(t, s.clients.reserveBytes(int(s.clients.MaxBufferedBytes-s.clients.bufferedBytes.Load())), "bodies of others")
	for i, a := range running {
		a.Ended(core.Served, strings.Repeat("r", size), nil)
		got, reset := c.readEnd(uint32(1 + 2*i))
		assert.Nil(t, reset)
		assert.Equal(t, size, got)
	}
	assert.False(t, s.clients.reserveBytes(1), "a body has no room")
	assert.Zero(t, s.count.HTTP2Abuse[ours.UnreadOutput].Load())
	assert.Equal(t, s.clients.MaxBufferedBytes, s.clients.bufferedBytes.Load(), "the answers' bytes are released")
}

// Guards against results being dropped because other clients read none of theirs: the answers that have waited for longest make
// room (2026-12-06-answers-dropped).
func TestHTTP2UnreadAnswersMakeRoom(t *testing.T) {
	const size = 100 << 10
	h := newHoldingBackends()
	s := startWithLongReply(t, h, time.Hour)
	max := s.clients.MaxBufferedBytes
	require.True(t, s.clients.reserveBytes(int(max)), "bodies of others")
	silent := connectHTTP2(t, s.addresses[1], 0)
	silent.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}) // it takes no byte of any answer
	last := uint32(0)
	for held := int64(0); held+size <= max/answerHeadroom; held += size {
		last = 1 + 2*uint32(held/size)
		silent.appendPost(last)
		silent.flush()
		receive(t, "an attempt", h.attempts).Ended(core.Served, strings.Repeat("r", size), nil)
	}
	f := s.sessions()[0]
	eventually(t, "the answers wait", func() bool {
		bytes, since := f.unread()
		return int64(bytes) > max/answerHeadroom-size && time.Since(since) > minUnreadTime
	})
	reader := connectHTTP2(t, s.addresses[1], 0)
	for i := range uint32(20) {
		reader.appendPost(1 + 2*i)
		reader.flush()
		receive(t, "an attempt", h.attempts).Ended(core.Served, strings.Repeat("r", size), nil)
		got, reset := reader.readEnd(1 + 2*i)
		assert.Nil(t, reset)
		assert.Equal(t, size, got)
	}
	_, reset := silent.readEnd(last)
	require.NotNil(t, reset)
	assert.Equal(t, http2.ErrCodeEnhanceYourCalm, *reset)
	bytes, _ := f.unread()
	assert.Zero(t, bytes)
	assert.Equal(t, max, s.clients.bufferedBytes.Load())
}
