package network

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/core"
)

// floods are endless replies: how they begin, what is repeated, and how the attempt ends.
var floods = map[string]struct {
	head, more string
	want       core.Ending
}{
	"progress":            {ok200, replyLine("a", "running", `,"share":0.5`), core.Garbled},
	"starts":              {ok200, replyLine("a", "started", ""), core.Garbled},
	"a line":              {ok200, chunk(strings.Repeat("x", 999)), core.Garbled},
	"empty lines":         {ok200, chunk(strings.Repeat("\n", 999)), core.Garbled},
	"a head":              {"HTTP/1.1 200 OK\r\n", "X: y\r\n", core.Garbled},
	"interim heads":       {"", "HTTP/1.1 100 Go\r\n\r\n", core.Garbled},
	"a chunk's size":      {ok200, "0", core.Garbled},
	"a trailer":           {ok200 + "0\r\n", "X: y\r\n", core.Garbled},
	"a trailer behind it": {ok200 + doneLine("a") + "0\r\n", "X: y\r\n", core.Served},
	"an error's body":     {"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("x\n", 99)), core.Failed},
	"answers":             {"", ok200 + doneLine("a") + end0, core.Served},
}

// TestEndlessReplies: an endless reply is given up after a limited number of bytes, with one ending.
func TestEndlessReplies(t *testing.T) {
	const buffers = 16 << 20 // upper bound of the kernel's buffers on both sides
	for name, f := range floods {
		t.Run(name, func(t *testing.T) {
			r := newPoolRig(t)
			a := r.newExchange("a", nil)
			r.pool.startExchange(a.exchange)
			c := r.accept()
			_, err := c.req()
			require.NoError(t, err)
			c.send(f.head)
			more := []byte(strings.Repeat(f.more, 1+8192/len(f.more)))
			total := 0
			for err == nil && total < 4*buffers {
				var n int
				n, err = c.Write(more)
				total += n
			}
			assert.Error(t, err, "the connection is still open")
			assert.Equal(t, f.want, a.wait(t).ending)
			assert.Less(t, total, buffers)
			c.expectClosed()
			assert.Empty(t, a.ends, "a second ending")
		})
	}
}
