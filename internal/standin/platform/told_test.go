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

// TestWhenAChangeCounts holds Told to the pages' sentences, one case each; times are seconds.
func TestWhenAChangeCounts(t *testing.T) {
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
	brings := func(c Call, index uint64) Call { c.Index = index; return c }
	ask := ProcessInfo{StartedAt: at(0), PollInterval: 10 * time.Second}
	for name, c := range map[string]struct {
		agent  bool
		calls  []Call
		out    []span
		terms  ProcessInfo
		made   float64
		counts float64
	}{
		"written":                         {calls: []Call{brings(watch(0, 4, -1, 3.1), 7)}, terms: ask, made: 3, counts: 3.1},
		"a watch that never tells":        {calls: []Call{watch(0, 4, -1, -1)}, terms: ask, made: 3, counts: 9},
		"a long wait that never tells":    {calls: []Call{watch(0, 20, -1, -1)}, terms: ask, made: 3, counts: 22},
		"after it fell silent":            {calls: []Call{watch(0, 4, 1, -1)}, terms: ask, made: 2, counts: 7},
		"silent from its first moment":    {calls: []Call{watch(0, 4, 0, -1)}, terms: ask, made: 2, counts: 6},
		"a long wait, fallen silent":      {calls: []Call{watch(0, 20, 1, -1)}, terms: ask, made: 2, counts: 22},
		"silent for long":                 {calls: []Call{watch(0, 4, 1, -1)}, terms: ask, made: 30, counts: 30},
		"silent, opened anew, written":    {calls: []Call{watch(0, 4, 1, 5), brings(watch(5, 4, -1, 5.1), 7)}, terms: ask, made: 2, counts: 5.1},
		"silent twice":                    {calls: []Call{watch(0, 4, 1, 5), watch(5, 4, 5, -1)}, terms: ask, made: 6, counts: 7},
		"between two calls of a watch":    {calls: []Call{watch(0, 4, -1, 3), watch(3.15, 4, -1, -1)}, terms: ask, made: 3.1, counts: 9.1},
		"no watch":                        {calls: []Call{watch(0, 4, -1, 3), watch(3.25, 4, -1, -1)}, terms: ask, made: 3.1, counts: 13.1},
		"no watch, after a failed call":   {calls: []Call{failed(0, 3)}, terms: ask, made: 5, counts: 45},
		"no watch, never asked":           {terms: ask, made: 5, counts: 15},
		"failed, and discovery came back": {calls: []Call{failed(0, 0.1)}, out: []span{{at(0), at(8)}}, terms: ask, made: 5, counts: 48},
		"agent has it":                    {agent: true, made: 5, counts: 5},
		"before the process began":        {agent: true, terms: ProcessInfo{StartedAt: at(9)}, made: 5, counts: 9},
		"after SIGHUP":                    {agent: true, terms: ProcessInfo{MovedAt: at(4)}, made: 5, counts: 8},
		"long after SIGHUP":               {agent: true, terms: ProcessInfo{MovedAt: at(4)}, made: 9, counts: 9},
		"in an outage":                    {agent: true, out: []span{{at(4), at(14)}}, made: 5, counts: 14},
		"in an outage that goes on":       {agent: true, out: []span{{at(4), at(-1)}}, made: 5, counts: -1},
		"a short outage, a silent watch":  {agent: true, calls: []Call{watch(3, 4, 4, -1)}, out: []span{{at(4), at(6)}}, made: 5, counts: 10},
		"an agent's watch fallen silent":  {agent: true, calls: []Call{watch(3, 4, 4, -1)}, made: 5, counts: 10},
	} {
		change := Change{Index: 7, ChangedAt: at(c.made)}
		got := toldWhenAsked(c.calls, c.out, change, c.terms)
		if c.agent {
			got = toldByAgent(c.calls, c.out, change, c.terms)
		}
		assert.Equal(t, at(c.counts).UTC(), got.UTC(), name)
	}
}

// TestSeats: open calls fall silent and stay open, new ones are answered; an agent's outage answers
// none made in it; each is noted; lists come indented when told to.
func TestSeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes := faultnet.ListenPipes("d")
		d := NewDirector(faultnet.ListenPipes("unused"))
		defer d.Close()
		s := d.AddListener(pipes, true)
		d.Set(Entry{Name: "b0", Status: "Ready"})
		get := func(rest string) <-chan string {
			out := make(chan string, 1)
			go func() {
				tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return pipes.Dial(ctx, a) }}
				client := &http.Client{Transport: tr, Timeout: 20 * time.Second}
				a, err := client.Get("http://d/registry/instances" + rest)
				if err != nil {
					out <- "nothing"
					return
				}
				body, _ := io.ReadAll(a.Body)
				a.Body.Close()
				out <- string(body)
			}()
			synctest.Wait()
			return out
		}
		open := get("?since=2&timeout_ms=4000")
		require.Equal(t, 1, s.SilenceOpenCalls())
		d.Set(Entry{Name: "b0", Status: "Terminating"})
		assert.Contains(t, <-get("?since=2&timeout_ms=4000"), `"status":"Terminating"`, "a new call works")
		assert.Empty(t, open, "the open one was told nothing")
		s.SetOutage(true)
		cut := get("")
		d.Set(Entry{Name: "b0", Status: "Ready"})
		d.Set(Entry{Name: "b1", Status: "Ready"})
		time.Sleep(time.Second)
		assert.Empty(t, cut)
		s.SetOutage(false)
		time.Sleep(time.Second)
		assert.Empty(t, cut, "made in the outage: never answered")
		d.SetIndent(true)
		text := <-get("")
		assert.Greater(t, strings.Count(text, "\n"), 10)
		var list struct{ Index uint64 }
		require.NoError(t, json.Unmarshal([]byte(text), &list))
		assert.Equal(t, uint64(5), list.Index, "both changes of the outage")
		assert.Equal(t, "nothing", <-open)
		assert.Equal(t, "nothing", <-cut)
		synctest.Wait()
		var was []string
		for _, c := range s.Calls() {
			was = append(was, fmt.Sprint(c.Watch, !c.SilentAt.IsZero(), c.Failed, c.Index))
		}
		assert.Equal(t, []string{"true true true 0", "true false false 3", "false true true 0", "false false false 5"}, was)
	})
}

// TestResets: a backend notes the first and the last byte of each attempt, and breaks the connection
// where it is told to.
func TestResets(t *testing.T) {
	for reset, want := range map[ResetPoint]struct{ whole, started, result bool }{
		BeforeLastByte: {}, BeforeStart: {whole: true}, AfterStart: {whole: true, started: true},
		NoReset: {whole: true, started: true, result: true},
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
		seen := b.Attempts()
		require.NotEmpty(t, seen)
		assert.Equal(t, "9b", seen[0].ID)
		assert.False(t, seen[0].First.IsZero())
		assert.Equal(t, want.whole, !seen[0].Last.IsZero(), "point %d", reset)
		assert.Equal(t, want.started, strings.Contains(string(text), `"started"`) || reset == AfterStart, "point %d", reset)
		assert.Equal(t, want.result, seen[0].Result == "small 9b", "point %d", reset)
		if assert.Len(t, seen, 2, "half a head is an attempt") {
			assert.Empty(t, seen[1].ID)
			assert.True(t, seen[1].Last.IsZero() && !seen[1].First.IsZero())
		}
	}
}
