package network

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"tinsail/internal/core"
)

// These tests guard against bodies that are held when nothing can need them any more (2026-12-04-held-bodies). They hold the
// moment in question, and look whether the body can be collected.

const longBody = 60_000 // bytes

// forgetfulBackends hold each attempt and keep nothing of its job. They report the body of each by a reference that doesn't
// keep it.
type forgetfulBackends struct {
	instantBackends
	attempts chan *core.Attempt
	bodies   chan weak.Pointer[byte]
}

func newForgetfulBackends() forgetfulBackends {
	return forgetfulBackends{attempts: make(chan *core.Attempt, 8), bodies: make(chan weak.Pointer[byte], 8)}
}

func (b forgetfulBackends) Send(a *core.Attempt, job *core.Job) func() {
	a.JobStarted()
	b.bodies <- weak.Make(&job.Body[0])
	b.attempts <- a
	return func() {}
}

// awaitCollected waits until nothing holds a body, while what is given lives on.
func awaitCollected(t *testing.T, what string, body weak.Pointer[byte], living ...any) {
	t.Helper()
	eventually(t, what, func() bool {
		runtime.GC()
		return body.Value() == nil
	})
	runtime.KeepAlive(living)
}

func TestWrittenRequestHoldsNoBody(t *testing.T) {
	r := newPoolRig(t)
	y, body := func() (*testExchange, weak.Pointer[byte]) {
		bytes := make([]byte, longBody)
		return r.newExchange("a", bytes), weak.Make(&bytes[0])
	}()
	r.pool.startExchange(y.exchange)
	c := r.accept()
	_, err := c.req()
	require.NoError(t, err)
	awaitCollected(t, "a written request lets go of its body while the reply is due", body, y)
	c.send(ok200 + doneLine("a") + end0)
	assert.Equal(t, exchangeEnd{core.Served, "of a"}, y.wait(t))
}

func TestHTTP1SessionHoldsNoBody(t *testing.T) {
	for name, do := range map[string]func(*rawClient, *core.Attempt){
		"answered, the session is idle": func(c *rawClient, a *core.Attempt) {
			a.Ended(core.Served, "r", nil)
			status, _, _ := c.readAnswer(t)
			assert.Equal(t, 200, status)
		},
		"the client is gone, its attempt runs on": func(c *rawClient, _ *core.Attempt) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newForgetfulBackends()
			s := startServer(t, b)
			conn := dialClient(t, s)
			_, err := io.WriteString(conn, photoReq("a", "X-Time-Left-Ms: 3600000\r\n", strings.Repeat("y", longBody)))
			require.NoError(t, err)
			attempt, body := <-b.attempts, <-b.bodies
			do(conn, attempt)
			awaitCollected(t, name, body, s, attempt, conn)
			assert.Zero(t, s.clients.bufferedBytes.Load())
		})
	}
}

func TestHTTP2StreamHoldsNoBody(t *testing.T) {
	for name, do := range map[string]func(*http2Client, *core.Attempt){
		"answered, the client reads nothing": func(c *http2Client, a *core.Attempt) {
			a.Ended(core.Served, strings.Repeat("r", longBody), nil)
			c.readUntil("head 1 200") // the stream's window holds nothing of the body
		},
		"reset, its attempt runs on": func(c *http2Client, _ *core.Attempt) {
			c.framer.WriteRSTStream(1, http2.ErrCodeCancel)
			c.flush()
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newForgetfulBackends()
			s := startWithLongDeadlines(t, b)
			s.changeLimits(func(l *HTTP2Limits) { l.StallTimeout, l.CancelOnReset = time.Hour, false })
			c := dialHTTP2(t, s.addresses[1], 0)
			c.out.WriteString(http2.ClientPreface)
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			c.appendLongPost(1)
			c.flush()
			attempt, body := <-b.attempts, <-b.bodies
			do(c, attempt)
			awaitCollected(t, name, body, s, attempt, c)
		})
	}
}

// appendLongPost buffers a request with a long body.
func (c *http2Client) appendLongPost(stream uint32) {
	c.appendHead(stream, true)
	const piece = 12_000
	for sent := piece; sent <= longBody; sent += piece {
		c.framer.WriteData(stream, sent == longBody, make([]byte, piece))
	}
}
