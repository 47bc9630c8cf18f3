package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/faultnet"
)

// TestPublishedAt checks when a change counts as published, one case for each sentence of the documentation. Times are
// in seconds.
func TestPublishedAt(t *testing.T) {
	at := func(s float64) time.Time {
		if s < 0 {
			return time.Time{}
		}
		return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
	}
	watch := func(from, wait, silent, done float64) Call {
		return Call{At: at(from), Watch: true, Wait: time.Duration(wait * 1e9), SilentAt: at(silent), EndedAt: at(done), Failed: silent >= 0}
	}
	failed := func(from, done float64) Call { return Call{At: at(from), EndedAt: at(done), Failed: true} }
	delivers := func(c Call, index uint64) Call { c.Index = index; return c }
	polling := ProcessInfo{StartedAt: at(0), PollInterval: 10 * time.Second}
	for name, c := range map[string]struct {
		agent     bool
		calls     []Call
		outages   []span
		process   ProcessInfo
		changed   float64
		published float64
	}{
		"delivered":                         {calls: []Call{delivers(watch(0, 4, -1, 3.1), 7)}, process: polling, changed: 3, published: 3.1},
		"a watch that delivers nothing":     {calls: []Call{watch(0, 4, -1, -1)}, process: polling, changed: 3, published: 9},
		"a long wait that delivers nothing": {calls: []Call{watch(0, 20, -1, -1)}, process: polling, changed: 3, published: 22},
		"a silenced watch":                  {calls: []Call{watch(0, 4, 1, -1)}, process: polling, changed: 2, published: 7},
		"a watch silenced at its start":     {calls: []Call{watch(0, 4, 0, -1)}, process: polling, changed: 2, published: 6},
		"a long wait, silenced":             {calls: []Call{watch(0, 20, 1, -1)}, process: polling, changed: 2, published: 22},
		"silenced long before":              {calls: []Call{watch(0, 4, 1, -1)}, process: polling, changed: 30, published: 30},
		"silenced, called again, delivered": {calls: []Call{watch(0, 4, 1, 5), delivers(watch(5, 4, -1, 5.1), 7)}, process: polling, changed: 2, published: 5.1},
		"silenced twice":                    {calls: []Call{watch(0, 4, 1, 5), watch(5, 4, 5, -1)}, process: polling, changed: 6, published: 7},
		"between two calls of a watch":      {calls: []Call{watch(0, 4, -1, 3), watch(3.15, 4, -1, -1)}, process: polling, changed: 3.1, published: 9.1},
		"watch ended":                       {calls: []Call{watch(0, 4, -1, 3), watch(3.25, 4, -1, -1)}, process: polling, changed: 3.1, published: 13.1},
		"no watch, after a failed call":     {calls: []Call{failed(0, 3)}, process: polling, changed: 5, published: 45},
		"no call at all":                    {process: polling, changed: 5, published: 15},
		"failed call, director back":        {calls: []Call{failed(0, 0.1)}, outages: []span{{at(0), at(8)}}, process: polling, changed: 5, published: 48},
		"agent has the change":              {agent: true, changed: 5, published: 5},
		"before the process started":        {agent: true, process: ProcessInfo{StartedAt: at(9)}, changed: 5, published: 9},
		"after SIGHUP":                      {agent: true, process: ProcessInfo{MovedAt: at(4)}, changed: 5, published: 8},
		"long after SIGHUP":                 {agent: true, process: ProcessInfo{MovedAt: at(4)}, changed: 9, published: 9},
		"in an outage":                      {agent: true, outages: []span{{at(4), at(14)}}, changed: 5, published: 14},
		"in an outage that continues":       {agent: true, outages: []span{{at(4), at(-1)}}, changed: 5, published: -1},
		"a short outage, a silenced watch":  {agent: true, calls: []Call{watch(3, 4, 4, -1)}, outages: []span{{at(4), at(6)}}, changed: 5, published: 10},
		"an agent's silenced watch":         {agent: true, calls: []Call{watch(3, 4, 4, -1)}, changed: 5, published: 10},
	} {
		change := Change{Index: 7, ChangedAt: at(c.changed)}
		got := publishedByPolling(c.calls, c.outages, change, c.process)
		if c.agent {
			got = publishedByAgent(c.calls, c.outages, change, c.process)
		}
		assert.Equal(t, at(c.published).UTC(), got.UTC(), name)
	}
}

// TestSilenceAndOutage checks that silenced calls stay open without an answer while new ones are answered, that calls made in
// an agent's outage are never answered, that all calls are recorded, and that lists can be indented.
func TestSilenceAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes := faultnet.ListenPipe("d")
		d := NewDirector(faultnet.ListenPipe("unused"))
		defer d.Close()
		listener := d.AddListener(pipes, true)
		d.Set(Entry{Name: "b0", Status: "Ready"})
		get := func(query string) <-chan string {
			out := make(chan string, 1)
			go func() {
				tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return pipes.Dial(ctx, a) }}
				client := &http.Client{Transport: tr, Timeout: 20 * time.Second}
				resp, err := client.Get("http://d/registry/instances" + query)
				if err != nil {
					out <- "no answer"
					return
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				out <- string(body)
			}()
			synctest.Wait()
			return out
		}
		open := get("?since=2&timeout_ms=4000")
		require.Equal(t, 1, listener.SilenceOpenCalls())
		d.Set(Entry{Name: "b0", Status: "Terminating"})
		assert.Contains(t, <-get("?since=2&timeout_ms=4000"), `"status":"Terminating"`, "a new call is answered")
		assert.Empty(t, open, "the silenced call gets no answer")
		listener.SetOutage(true)
		cut := get("")
		d.Set(Entry{Name: "b0", Status: "Ready"})
		d.Set(Entry{Name: "b1", Status: "Ready"})
		time.Sleep(time.Second)
		assert.Empty(t, cut)
		listener.SetOutage(false)
		time.Sleep(time.Second)
		assert.Empty(t, cut, "a call made in the outage is never answered")
		d.SetIndent(true)
		text := <-get("")
		assert.Greater(t, strings.Count(text, "\n"), 10)
		var list struct{ Index uint64 }
		require.NoError(t, json.Unmarshal([]byte(text), &list))
		assert.Equal(t, uint64(5), list.Index, "includes both changes made in the outage")
		assert.Equal(t, "no answer", <-open)
		assert.Equal(t, "no answer", <-cut)
		synctest.Wait()
		var recorded []string
		for _, c := range listener.Calls() {
			recorded = append(recorded, fmt.Sprint(c.Watch, !c.SilentAt.IsZero(), c.Failed, c.Index))
		}
		assert.Equal(t, []string{"true true true 0", "true false false 3", "false true true 0", "false false false 5"}, recorded)
	})
}

// TestResetPoints checks that a backend resets the connection at the point that its faults give, and that it records the first
// and the last byte of each attempt, also of one that breaks off within its header.
func TestResetPoints(t *testing.T) {
	for reset, want := range map[ResetPoint]struct{ complete, started, result bool }{
		BeforeLastByte: {}, BeforeStart: {complete: true}, AfterStart: {complete: true, started: true},
		NoReset: {complete: true, started: true, result: true},
	} {
		b, err := StartBackend("b0", 1, func(string) time.Duration { return 0 })
		require.NoError(t, err)
		b.Set(Faults{Reset: reset})
		c, err := net.Dial("tcp", b.Address)
		require.NoError(t, err)
		_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Correlation-Id: 9b\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("z", 60000))
		text, _ := io.ReadAll(c)
		c.Close()
		half, err := net.Dial("tcp", b.Address)
		require.NoError(t, err)
		_, _ = io.WriteString(half, "POST /a HT")
		half.(*net.TCPConn).CloseWrite()
		_, _ = io.ReadAll(half)
		half.Close()
		b.Close()
		attempts := b.Attempts()
		require.NotEmpty(t, attempts)
		assert.Equal(t, "9b", attempts[0].ID)
		assert.False(t, attempts[0].FirstByteAt.IsZero())
		assert.Equal(t, want.complete, !attempts[0].LastByteAt.IsZero(), "point %d", reset)
		assert.Equal(t, want.started, strings.Contains(string(text), `"started"`) || reset == AfterStart, "point %d", reset)
		assert.Equal(t, want.result, attempts[0].Result == "small 9b", "point %d", reset)
		if assert.Len(t, attempts, 2, "part of a header counts as an attempt") {
			assert.Empty(t, attempts[1].ID)
			assert.True(t, attempts[1].LastByteAt.IsZero() && !attempts[1].FirstByteAt.IsZero())
		}
	}
}
