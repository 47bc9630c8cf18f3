package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/standin/history"
	"tinsail/internal/standin/platform"
)

// tally counts attempts for an id: begun, and whole.
func tally(id string, raws ...*platform.Raw) (begun, whole int) {
	for _, r := range raws {
		for _, q := range r.Seen() {
			if q.ID == id {
				begun++
				if q.Whole {
					whole++
				}
			}
		}
	}
	return begun, whole
}

// TestUnsafeOnce: an unsafe req is whole at one backend only, whether the connection was reset after its last byte, the backend
// said nothing for long, or half a line came; its client has one answer, and that is no refusal.
func TestUnsafeOnce(t *testing.T) {
	for name, c := range map[string]struct {
		does func(b *platform.Raw, q platform.RawReq)
		want int // status; 0: any that is no refusal and no result
	}{
		"reset after the last byte": {does: func(_ *platform.Raw, q platform.RawReq) { q.Reset() }},
		"ended after the last byte": {does: func(_ *platform.Raw, q platform.RawReq) { _ = q.C.CloseWrite() }},
		"reset after the start": {does: func(b *platform.Raw, q platform.RawReq) {
			q.Write(platform.Head + b.Line(q.ID, `"started"`))
			q.Reset()
		}},
		"half a status line": {does: func(_ *platform.Raw, q platform.RawReq) { q.Write("HTTP/1.1 5"); _ = q.C.CloseWrite() }},
		"503 without a word": {does: func(_ *platform.Raw, q platform.RawReq) { q.Write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n") }},
		"500":                {does: func(_ *platform.Raw, q platform.RawReq) { q.Write("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n") }},
		"silent, then done": {want: 200, does: func(b *platform.Raw, q platform.RawReq) {
			time.Sleep(3 * time.Second) // many times the aim and any hedge's delay; no verdict rests on it
			q.Write(b.Served(q.ID))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var raws []*platform.Raw
			for i := range 3 {
				var b *platform.Raw
				b, err := platform.StartRaw(fmt.Sprint("b", i), func(q platform.RawReq) { c.does(b, q) })
				require.NoError(t, err)
				raws = append(raws, b)
			}
			h := page(t, []string{`"idempotency_key"`, `"non_idempotent"`}, raws...)
			p := h.start()
			p.serves()
			var all sync.WaitGroup
			for i := range 5 {
				id := fmt.Sprint("unsafe-", i)
				k, err := h.dial()
				require.NoError(t, err)
				defer k.Close()
				_, err = io.WriteString(k, strings.Replace(req(id), "Idempotency-Key: "+id+"\r\n", "", 1))
				require.NoError(t, err)
				all.Go(func() {
					_ = k.SetReadDeadline(time.Now().Add(patience))
					status, body, _, err := k.answer()
					assert.NoError(t, err)
					if c.want != 0 {
						assert.Equal(t, c.want, status)
						assert.Equal(t, "small "+id, body)
					} else if begun, _ := tally(id, raws...); begun > 0 {
						assert.NotContains(t, []int{200, 429, 503}, status)
					}
				})
			}
			all.Wait()
			p.end(t)
			for i := range 5 {
				begun, _ := tally(fmt.Sprint("unsafe-", i), raws...)
				assert.LessOrEqual(t, begun, 1, "unsafe-%d", i)
			}
		})
	}
}

// TestUnsafeRefused: connections that are refused have carried nothing: an unsafe req goes on to the backend that listens.
func TestUnsafeRefused(t *testing.T) {
	var raws []*platform.Raw
	for i := range 3 {
		b, err := platform.StartRaw(fmt.Sprint("b", i), nil)
		require.NoError(t, err)
		raws = append(raws, b)
	}
	h := page(t, []string{`"idempotency_key"`, `"non_idempotent"`}, raws...)
	p := h.start()
	p.serves()
	raws[0].Close()
	raws[1].Close()
	for i := range 20 {
		id := fmt.Sprint("unsafe-", i)
		k, err := h.dial()
		require.NoError(t, err)
		_, err = io.WriteString(k, strings.Replace(req(id), "Idempotency-Key: "+id+"\r\n", "", 1))
		require.NoError(t, err)
		status, body, _, err := k.answer()
		require.NoError(t, err)
		if assert.Equal(t, 200, status) {
			assert.Equal(t, "small "+id, body)
		}
		begun, _ := tally(id, raws...)
		assert.Equal(t, 1, begun)
		k.Close()
	}
	p.end(t)
}

// TestWindowPast: the first attempt is reset once its class's window for repeats is over: none follows.
func TestWindowPast(t *testing.T) {
	const window = 300 * time.Millisecond
	var raws []*platform.Raw
	for i := range 3 {
		b, err := platform.StartRaw(fmt.Sprint("b", i), func(q platform.RawReq) {
			time.Sleep(time.Until(q.First.Add(2 * window)))
			q.Reset()
		})
		require.NoError(t, err)
		raws = append(raws, b)
	}
	h := page(t, []string{`"RepeatWindowMs": 7500`, `"RepeatWindowMs": 300`, `"HardLimitMs": 5000`, `"HardLimitMs": 60000`}, raws...)
	p := h.start()
	p.serves()
	for i := range 5 {
		id := fmt.Sprint("window-", i)
		k, err := h.dial()
		require.NoError(t, err)
		require.NoError(t, k.send(id))
		_ = k.SetReadDeadline(time.Now().Add(patience))
		status, _, _, err := k.answer()
		assert.NoError(t, err, "answered long before its time is up")
		assert.NotContains(t, []int{200, 429, 503}, status)
		k.Close()
	}
	p.end(t)
	judgeWindow(t, window, raws...)
}

// judgeWindow wants no attempt to begin later than the window, and the pages' slack, after the first one that was whole.
func judgeWindow(t *testing.T, window time.Duration, raws ...*platform.Raw) {
	first := map[string]time.Time{}
	for _, r := range raws {
		for _, q := range r.Seen() {
			if at, known := first[q.ID]; q.Whole && (!known || q.First.Before(at)) {
				first[q.ID] = q.First
			}
		}
	}
	for _, r := range raws {
		for _, q := range r.Seen() {
			if at, known := first[q.ID]; known && q.ID != "" {
				assert.LessOrEqual(t, q.First.Sub(at), window+history.Slack, "%s at %s", q.ID, r.Name)
			}
		}
	}
}
