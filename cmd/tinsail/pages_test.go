package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/standin/platform"
)

// These tests are written from the platform's pages alone. They start the real program, force two events to cross by order,
// and judge by what the far sides saw.

// patience bounds every wait; no verdict rests on it but that nothing came at all.
const patience = 60 * time.Second

// page is a house with these backends alone, and its configuration edited: old, new, old, new.
func page(t *testing.T, edits []string, raws ...*platform.Raw) *house {
	h := newHouse(t, "127.0.0.1:0")
	for i, b := range h.backends {
		h.director.Set(b.Entry("fast", "here", i, "Gone"))
	}
	for _, r := range raws {
		t.Cleanup(r.Close)
		h.director.Set(r.Entry(0, "Ready"))
	}
	h.edit(edits...)
	return h
}

func (h *house) edit(edits ...string) {
	text, err := os.ReadFile(h.conf)
	require.NoError(h.t, err)
	for i := 0; i < len(edits); i += 2 {
		require.Contains(h.t, string(text), edits[i])
		text = []byte(strings.ReplaceAll(string(text), edits[i], edits[i+1]))
	}
	require.NoError(h.t, os.WriteFile(h.conf, text, 0o600))
}

// count reads one of the program's counters.
func (h *house) count(name string) (n int) {
	a, err := http.Get("http://" + h.clients + "/counters")
	require.NoError(h.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(h.t, err)
	for _, line := range strings.Split(string(text), "\n") {
		if _, err = fmt.Sscanf(line, "counter "+name+" %d", &n); err == nil {
			return n
		}
	}
	return 0
}

// until polls for something that has to come.
func until(t testing.TB, what string, holds func() bool) {
	for end := time.Now().Add(patience); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			require.Fail(t, "never came", what)
		}
	}
}

// req is a whole req; more are further header lines.
func req(id string, more ...string) string {
	return fmt.Sprintf("POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\n%sContent-Length: 1\r\n\r\nb", id, id, strings.Join(more, ""))
}

// TestPipelined: reqs written in one piece are answered in their order; half a req behind them has a 408 or a close.
func TestPipelined(t *testing.T) {
	h := newHouse(t, "127.0.0.1:0")
	p := h.start()
	p.serves()
	for _, n := range []int{2, 5} {
		for name, half := range map[string]string{"none": "", "byte": "P", "head": strings.TrimSuffix(req("half"), "\r\n\r\nb"), "all-but-a-byte": strings.TrimSuffix(req("half"), "b")} {
			c, err := h.dial()
			require.NoError(t, err)
			text := ""
			for i := range n {
				text += req(fmt.Sprint(name, "-", n, "-", i))
			}
			_, err = io.WriteString(c, text+half)
			require.NoError(t, err)
			_ = c.SetReadDeadline(time.Now().Add(patience))
			for i := range n {
				status, body, _, err := c.answer()
				require.NoError(t, err, "%s %d of %d", name, i, n)
				assert.Equal(t, 200, status)
				assert.Equal(t, fmt.Sprint("small ", name, "-", n, "-", i), body)
			}
			if half != "" {
				status, _, _, err := c.answer()
				if !errors.Is(err, io.EOF) {
					assert.NoError(t, err, name)
					assert.Equal(t, 408, status, name)
				}
			}
			c.Close()
		}
	}
	for _, b := range h.backends {
		for key := range b.Ran() {
			assert.NotEqual(t, "half", key)
		}
	}
	p.end(t)
}
