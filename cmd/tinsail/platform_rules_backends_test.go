package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/standin/history"
	"tinsail/internal/standin/platform"
)

// TestMalformedBackendAnswers: a backend sends half a line, a whole second answer or a surplus line: together
// with the answer, while the connection is idle, or when the next request arrives. No request gets the result of
// another, each has an answer, and a connection that had surplus bytes when a request was assigned to it carries
// no further one.
func TestMalformedBackendAnswers(t *testing.T) {
	other := func(b *platform.RawBackend) string { return b.ResultAnswer("other") }
	for name, c := range map[string]struct {
		firstAnswer func(b *platform.RawBackend, q platform.RawReq) string // instead of the first answer
		whileIdle   func(b *platform.RawBackend) string                    // once the client has the first answer
		onSecondReq func(b *platform.RawBackend) string                    // once the second request has arrived, before its answer
		closesAfter bool                                                   // the backend then closes its sending side
		firstStatus int                                                    // status of the first answer
	}{
		"half a line, then nothing": {firstAnswer: func(b *platform.RawBackend, q platform.RawReq) string {
			return platform.AnswerHeader + "40\r\n" + b.StateLine(q.ID, `"done"`)[:20]
		}},
		"half a line, then the end": {closesAfter: true, firstAnswer: func(b *platform.RawBackend, q platform.RawReq) string {
			return platform.AnswerHeader + "40\r\n" + b.StateLine(q.ID, `"done"`)[:20]
		}},
		"half a status line, then the end": {closesAfter: true, firstAnswer: func(*platform.RawBackend, platform.RawReq) string { return "HTTP/1.1 20" }},
		"started, then the end": {closesAfter: true, firstAnswer: func(b *platform.RawBackend, q platform.RawReq) string {
			return platform.AnswerHeader + platform.EncodeChunk(b.StateLine(q.ID, `"started"`))
		}},
		"a result for another": {firstAnswer: func(b *platform.RawBackend, _ platform.RawReq) string { return b.ResultAnswer("other") }},
		"no last chunk, then the end": {firstStatus: 200, closesAfter: true, firstAnswer: func(b *platform.RawBackend, q platform.RawReq) string {
			return strings.TrimSuffix(b.ResultAnswer(q.ID), "0\r\n\r\n")
		}},
		"a second answer in the same piece": {firstStatus: 200, firstAnswer: func(b *platform.RawBackend, q platform.RawReq) string {
			return b.ResultAnswer(q.ID) + b.ResultAnswer("other")
		}},
		"a second line in the same piece": {firstStatus: 200, firstAnswer: func(b *platform.RawBackend, q platform.RawReq) string {
			return strings.TrimSuffix(b.ResultAnswer(q.ID), "0\r\n\r\n") + platform.EncodeChunk(b.StateLine("other", `"done","result":"small other"`)) + "0\r\n\r\n"
		}},
		"half an answer in the same piece": {firstStatus: 200, firstAnswer: func(b *platform.RawBackend, q platform.RawReq) string { return b.ResultAnswer(q.ID) + "HTTP/1.1 2" }},
		"a second answer while idle":       {firstStatus: 200, whileIdle: other},
		"a byte while idle":                {firstStatus: 200, whileIdle: func(*platform.RawBackend) string { return "H" }},
		"half a line while idle":           {firstStatus: 200, whileIdle: func(b *platform.RawBackend) string { return b.StateLine("other", `"done"`)[:20] }},
		"a line while idle":                {firstStatus: 200, whileIdle: func(b *platform.RawBackend) string { return b.StateLine("other", `"done","result":"small other"`) }},
		"a 503 while idle": {firstStatus: 200, whileIdle: func(*platform.RawBackend) string {
			return "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
		}},
		"half an answer while idle, then the end": {firstStatus: 200, closesAfter: true, whileIdle: func(*platform.RawBackend) string { return "HTTP/1.1 20" }},
		"an answer on the second request":         {firstStatus: 200, onSecondReq: other},
		"half a line on the second request":       {firstStatus: 200, onSecondReq: func(b *platform.RawBackend) string { return b.StateLine("other", `"done"`)[:20] }},
		"half an answer on the second request":    {firstStatus: 200, onSecondReq: func(*platform.RawBackend) string { return "HTTP/1.1 20" }},
	} {
		t.Run(name, func(t *testing.T) {
			var first atomic.Value // the first request of the current round
			var b *platform.RawBackend
			b, err := platform.StartRawBackend("b", func(q platform.RawReq) {
				old, _ := first.Load().(platform.RawReq)
				switch {
				case strings.HasPrefix(q.ID, "first-") && q.ID != old.ID: // its first attempt
					first.Store(q)
					if c.firstAnswer == nil {
						q.Write(b.ResultAnswer(q.ID))
						return
					}
					q.Write(c.firstAnswer(b, q))
					if c.closesAfter {
						_ = q.TCP.CloseWrite()
					}
				case c.onSecondReq != nil && strings.HasPrefix(q.ID, "second-") && q.Connection == old.Connection:
					q.Write(c.onSecondReq(b))
					q.Write(b.ResultAnswer(q.ID))
				default:
					q.Write(b.ResultAnswer(q.ID))
				}
			})
			require.NoError(t, err)
			h := newEditedDeployment(t, []string{`"HardLimitMs": 5000`, `"HardLimitMs": 2000`}, b)
			p := h.start()
			p.awaitReady()
			k, err := h.dial()
			require.NoError(t, err)
			defer func() { k.Close() }()
			wrong := map[string]int{} // by kind of fault
			ask := func(id string, want int) {
				require.NoError(t, k.sendReq(id))
				require.NoError(t, k.SetReadDeadline(time.Now().Add(waitTimeout)))
				status, body, closing, err := k.readAnswer()
				require.NoError(t, err, "%s has no answer", id)
				if status == 200 {
					assert.Equal(t, "small "+id, body)
				}
				if which := strings.SplitN(id, "-", 2)[0]; want != 0 && status != want && status != 503 { // a refusal is correct, though it counts against the service
					wrong[fmt.Sprint(which, " has ", status)]++
				}
				if closing {
					k.Close()
					k, err = h.dial()
					require.NoError(t, err)
				}
			}
			rounds := 1
			if c.firstStatus == 200 && c.onSecondReq == nil { // in a dispatcher that doesn't check for surplus bytes, their arrival and the next use of the connection race
				rounds = 20
			}
			surplusAt := map[int]int{} // by connection: the request (its turn) at which the surplus bytes came
			for i := range rounds {
				ask(fmt.Sprint("first-", i), c.firstStatus)
				bad := first.Load().(platform.RawReq)
				if surplusAt[bad.Connection] = bad.Number; c.onSecondReq != nil {
					surplusAt[bad.Connection] = bad.Number + 1
				}
				if c.whileIdle != nil {
					bad.Write(c.whileIdle(b))
					if c.closesAfter {
						_ = bad.TCP.CloseWrite()
					}
				}
				for _, which := range []string{"second", "third"} {
					want := 200
					if c.onSecondReq != nil {
						want = 0
					}
					ask(fmt.Sprint(which, "-", i), want)
				}
			}
			for _, q := range b.Reqs() {
				if turn, bad := surplusAt[q.Connection]; bad && q.Number > turn && !strings.HasPrefix(q.ID, "first-") {
					wrong["carried by a connection with surplus bytes"]++
				}
			}
			assert.Empty(t, wrong, "in %d rounds", rounds)
		})
	}
}

// countAttempts counts the attempts for an id: how many started, and how many arrived whole.
func countAttempts(id string, raws ...*platform.RawBackend) (started, whole int) {
	for _, r := range raws {
		for _, q := range r.Reqs() {
			if q.ID == id {
				started++
				if q.Complete {
					whole++
				}
			}
		}
	}
	return started, whole
}

// TestUnsafeReqSentOnce: an unsafe request arrives whole at one backend only, whether the connection was reset
// after its last byte, the backend sent nothing for long, or half a line came. Its client has one answer, which
// is not a refusal.
func TestUnsafeReqSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(b *platform.RawBackend, q platform.RawReq)
		want   int // status; 0: any but a refusal or a result
	}{
		"reset after the last byte": {answer: func(_ *platform.RawBackend, q platform.RawReq) { q.Reset() }},
		"ended after the last byte": {answer: func(_ *platform.RawBackend, q platform.RawReq) { _ = q.TCP.CloseWrite() }},
		"reset after the start": {answer: func(b *platform.RawBackend, q platform.RawReq) {
			q.Write(platform.AnswerHeader + b.StateLine(q.ID, `"started"`))
			q.Reset()
		}},
		"half a status line": {answer: func(_ *platform.RawBackend, q platform.RawReq) { q.Write("HTTP/1.1 5"); _ = q.TCP.CloseWrite() }},
		"503 without a word": {answer: func(_ *platform.RawBackend, q platform.RawReq) {
			q.Write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		}},
		"500": {answer: func(_ *platform.RawBackend, q platform.RawReq) {
			q.Write("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		}},
		"silent, then done": {want: 200, answer: func(b *platform.RawBackend, q platform.RawReq) {
			time.Sleep(3 * time.Second) // many times the aim and any hedging delay; no assertion depends on it
			q.Write(b.ResultAnswer(q.ID))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var raws []*platform.RawBackend
			for i := range 3 {
				var b *platform.RawBackend
				b, err := platform.StartRawBackend(fmt.Sprint("b", i), func(q platform.RawReq) { c.answer(b, q) })
				require.NoError(t, err)
				raws = append(raws, b)
			}
			h := newEditedDeployment(t, []string{`"idempotency_key"`, `"non_idempotent"`}, raws...)
			p := h.start()
			p.awaitReady()
			var all sync.WaitGroup
			for i := range 5 {
				id := fmt.Sprint("unsafe-", i)
				k, err := h.dial()
				require.NoError(t, err)
				defer k.Close()
				_, err = io.WriteString(k, strings.Replace(reqText(id), "Idempotency-Key: "+id+"\r\n", "", 1))
				require.NoError(t, err)
				all.Go(func() {
					_ = k.SetReadDeadline(time.Now().Add(waitTimeout))
					status, body, _, err := k.readAnswer()
					assert.NoError(t, err)
					if c.want != 0 {
						assert.Equal(t, c.want, status)
						assert.Equal(t, "small "+id, body)
					} else if started, _ := countAttempts(id, raws...); started > 0 {
						assert.NotContains(t, []int{200, 429, 503}, status)
					}
				})
			}
			all.Wait()
			p.terminate(t)
			for i := range 5 {
				started, _ := countAttempts(fmt.Sprint("unsafe-", i), raws...)
				assert.LessOrEqual(t, started, 1, "unsafe-%d", i)
			}
		})
	}
}

// TestUnsafeReqAfterRefusedConnection: a refused connection has carried nothing, so an unsafe request goes on to
// the backend that listens.
func TestUnsafeReqAfterRefusedConnection(t *testing.T) {
	var raws []*platform.RawBackend
	for i := range 3 {
		b, err := platform.StartRawBackend(fmt.Sprint("b", i), nil)
		require.NoError(t, err)
		raws = append(raws, b)
	}
	h := newEditedDeployment(t, []string{`"idempotency_key"`, `"non_idempotent"`}, raws...)
	p := h.start()
	p.awaitReady()
	raws[0].Close()
	raws[1].Close()
	for i := range 20 {
		id := fmt.Sprint("unsafe-", i)
		k, err := h.dial()
		require.NoError(t, err)
		_, err = io.WriteString(k, strings.Replace(reqText(id), "Idempotency-Key: "+id+"\r\n", "", 1))
		require.NoError(t, err)
		status, body, _, err := k.readAnswer()
		require.NoError(t, err)
		if assert.Equal(t, 200, status) {
			assert.Equal(t, "small "+id, body)
		}
		started, _ := countAttempts(id, raws...)
		assert.Equal(t, 1, started)
		k.Close()
	}
	p.terminate(t)
}

// TestNoRepeatAfterWindow: the first attempt is reset after the repeat window of its class: no other attempt
// follows.
func TestNoRepeatAfterWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	var raws []*platform.RawBackend
	for i := range 3 {
		b, err := platform.StartRawBackend(fmt.Sprint("b", i), func(q platform.RawReq) {
			time.Sleep(time.Until(q.FirstByteAt.Add(2 * window)))
			q.Reset()
		})
		require.NoError(t, err)
		raws = append(raws, b)
	}
	h := newEditedDeployment(t, []string{`"RepeatWindowMs": 7500`, `"RepeatWindowMs": 300`, `"HardLimitMs": 5000`, `"HardLimitMs": 60000`}, raws...)
	p := h.start()
	p.awaitReady()
	for i := range 5 {
		id := fmt.Sprint("window-", i)
		k, err := h.dial()
		require.NoError(t, err)
		require.NoError(t, k.sendReq(id))
		_ = k.SetReadDeadline(time.Now().Add(waitTimeout))
		status, _, _, err := k.readAnswer()
		assert.NoError(t, err, "answered long before its deadline")
		assert.NotContains(t, []int{200, 429, 503}, status)
		k.Close()
	}
	p.terminate(t)
	checkRepeatWindow(t, window, raws...)
}

// checkRepeatWindow checks that no attempt starts later than the window, plus the slack that the platform
// allows, after the first attempt that arrived whole.
func checkRepeatWindow(t *testing.T, window time.Duration, raws ...*platform.RawBackend) {
	first := map[string]time.Time{}
	for _, r := range raws {
		for _, q := range r.Reqs() {
			if at, known := first[q.ID]; q.Complete && (!known || q.FirstByteAt.Before(at)) {
				first[q.ID] = q.FirstByteAt
			}
		}
	}
	for _, r := range raws {
		for _, q := range r.Reqs() {
			if at, known := first[q.ID]; known && q.ID != "" {
				assert.LessOrEqual(t, q.FirstByteAt.Sub(at), window+history.Slack, "%s at %s", q.ID, r.Name)
			}
		}
	}
}

// TestNoRepeatWhenConnectOutlastsWindow: a repeat is decided within the window, but its connection is
// established only after the window.
func TestNoRepeatWhenConnectOutlastsWindow(t *testing.T) {
	const window = 3 * time.Second
	late, err := platform.StartStalledBackend("late", nil)
	require.NoError(t, err)
	var h *deployment
	var swapped sync.Once
	var b *platform.RawBackend
	b, err = platform.StartRawBackend("b", func(q platform.RawReq) {
		swapped.Do(func() {
			h.director.Set(b.Entry(0, "Terminating"))
			h.director.Set(late.Entry(0, "Ready"))
		})
		time.Sleep(time.Until(q.FirstByteAt.Add(window / 4))) // time for the new list to arrive; well within the window
		q.Reset()
	})
	require.NoError(t, err)
	h = newEditedDeployment(t, []string{`"RepeatWindowMs": 7500`, `"RepeatWindowMs": 3000`, `"HardLimitMs": 5000`, `"HardLimitMs": 60000`,
		`"ConnectTimeoutMs": 120`, `"ConnectTimeoutMs": 20000`}, b)
	t.Cleanup(late.Close)
	p := h.start()
	p.awaitReady()
	k, err := h.dial()
	require.NoError(t, err)
	defer k.Close()
	require.NoError(t, k.sendReq("window"))
	waitFor(t, "a connection being established", func() bool { return pendingConnects(t, late.Address) > 0 })
	time.Sleep(time.Until(b.Reqs()[0].FirstByteAt.Add(window + 500*time.Millisecond)))
	require.NoError(t, late.AcceptConnections())
	waitFor(t, "no connection being established", func() bool { return pendingConnects(t, late.Address) == 0 })
	_ = k.SetReadDeadline(time.Now().Add(waitTimeout))
	status, _, _, err := k.readAnswer()
	assert.NoError(t, err)
	assert.NotContains(t, []int{200, 429, 503}, status)
	assert.Equal(t, 200, h.sendJob())
	p.terminate(t)
	checkRepeatWindow(t, window, b, late)
}
