package network

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
	"tinsail/internal/scenario"
)

// fixture is a whole dispatcher on pipes, with a fake clock that advances only when all goroutines wait. Its peers are named in
// scenarios: clients are c1, c2 and so on; s1/2 is the second connection made to backend s1, d/1 the first to the director; s1
// or d alone stands for all connections still to be made there. h1 and so on are clients of the HTTP/2 front; they send and
// expect frames, one at a time.
type fixture struct {
	t            *testing.T
	core         *core.Core
	pool         *Pool
	clients      *Clients
	director     *Director
	count        *counters.Set
	mu           sync.Mutex
	peers        map[string]*peer
	http2        *HTTP2
	service      *Service
	refusedDials map[string]bool
	dialDelays   map[string]time.Duration
	dialCounts   map[string]int
}

// peer is the far end of a connection.
type peer struct {
	conn     net.Conn
	mu       sync.Mutex
	received []byte
	closed   bool

	frames     *scenario.FrameCodec // of an HTTP/2 client
	frameTexts []string
}

func (w *fixture) newPeer(name string) net.Conn {
	near, far := net.Pipe()
	p := &peer{conn: far}
	w.peers[name] = p
	go func() {
		b := make([]byte, 1<<17)
		for {
			n, err := far.Read(b)
			p.mu.Lock()
			p.received, p.closed = append(p.received, b[:n]...), err != nil
			p.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return near
}

func (w *fixture) dial(ctx context.Context, name string) (net.Conn, error) {
	w.mu.Lock()
	delay := w.dialDelays[name]
	w.mu.Unlock()
	if delay > 0 { // a hundred timers of zero duration at once crash the runtime under synctest
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refusedDials[name] {
		return nil, errors.New("refused")
	}
	w.dialCounts[name]++
	return w.newPeer(fmt.Sprint(name, "/", w.dialCounts[name])), nil
}

// newEntries lists backends by name: s1 is of cell 1 and so on.
func newEntries(state balance.State, names ...string) (list []core.Entry) {
	for i, n := range names {
		list = append(list, core.Entry{Name: n, Address: n, Worker: balance.Worker{
			ID: balance.WorkerID(platform.Hash(n)), State: state, Weight: 4, Cell: i + 1}})
	}
	return list
}

// runScenario plays scenarios and functions in turn, on a fixture with these backends.
func runScenario(t *testing.T, backends []core.Entry, limit int, parts ...any) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := balance.Settings{Seed: 1, Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 5, MayDuplicate: true, MayCancel: true,
			TellsStart: true, MaxPause: 2000, ConnectTimeout: 120, Tick: 2, Subscribe: true,
			Rules:   balance.Rules{AnswerSlack: 8, AskEvery: 10000, FallMultiple: 3, FallWindow: 2000, StartCapacity: 0.31, WarmAfter: 9000, DrainGrace: 500},
			Classes: []balance.Class{{Worth: 1, Aim: 120, Stretch: 2, Deadline: 5000, Kind: -1, Effect: balance.Deduped, Scope: balance.ScopeCell, RepeatWindow: 7500}}}
		names := &platform.Names{Classes: []string{"ingest"}, RequiresKey: []bool{true}, Deadlines: []time.Duration{5 * time.Second}, Columns: []string{"x0"}}
		w := &fixture{t: t, count: &counters.Set{}, peers: map[string]*peer{}, refusedDials: map[string]bool{},
			dialDelays: map[string]time.Duration{}, dialCounts: map[string]int{}}
		w.pool = &Pool{Names: names, Count: w.count, ConnectTimeout: 120 * time.Millisecond, IdleTimeout: 7 * time.Second, MaxConnections: limit, Dial: w.dial}
		stop := make(chan struct{})
		d := &Director{Names: names, Count: w.count, Address: "d", Timings: PollTimings(10 * time.Second), Dial: w.dial, Stop: stop}
		var err error
		w.director = d
		w.core, err = core.New(s, w.pool, d, w.count)
		require.NoError(t, err)
		d.OnList = w.core.HandleList
		d.SetIndex(41)
		w.core.HandleList(balance.ListCached, backends)
		go w.core.Run(stop)
		w.clients = &Clients{Names: names, Count: w.count, Core: w.core, MaxSessions: limit, MaxJobSessions: 9, MaxBufferedBytes: 8 << 10, LongestDeadline: 5 * time.Second, Stats: func() string { return "counters" }}
		w.http2 = &HTTP2{Clients: w.clients}
		w.http2.SetLimits(HTTP2Limits{MaxStreams: 4, MaxHeaderBytes: 4096, MaxFrameBytes: 16384, StallTimeout: 5 * time.Second, DrainTimeout: 300 * time.Millisecond, CancelOnReset: true})
		w.service = NewService(w.clients, w.http2)
		defer func() {
			w.mu.Lock()
			w.refusedDials["d"], w.refusedDials["e"], w.refusedDials["s1"], w.refusedDials["s2"] = true, true, true, true
			for _, p := range w.peers {
				p.conn.Close()
			}
			w.mu.Unlock()
			time.Sleep(10 * time.Second) // everything that waits gives up
			close(stop)
		}()
		for _, p := range parts {
			synctest.Wait()
			switch p := p.(type) {
			case string:
				w.play(p)
			case func(*fixture):
				p(w)
			}
		}
	})
}

var macroPattern = regexp.MustCompile(`\{(\w+) ?([^\s}]*) ?([^}]*)\}`)

// expand replaces the macros for frequent messages: {req ID BODY} of a client, {started ID}, {done ID RESULT} and {failed
// ID} of a backend, {last ID RESULT} without the end of the reply.
func expand(s string) string {
	return macroPattern.ReplaceAllStringFunc(s, func(m string) string {
		p := macroPattern.FindStringSubmatch(m)
		line := func(rest string) string { return fmt.Sprintf(`{"id":"%s","from":"s",%s}`+"\n", p[2], rest) }
		chunk := func(l string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(l), l) }
		switch p[1] {
		case "req":
			return fmt.Sprintf("POST /ingest?v=1 HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 2000\r\nIdempotency-Key: k%s\r\nContent-Length: %d\r\n\r\n%s", p[2], p[2], len(p[3]), p[3])
		case "started":
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line(`"state":"started"`))
		case "done":
			return chunk(line(`"state":"done","result":"`+p[3]+`"`)) + "0\r\n\r\n"
		case "last":
			return chunk(line(`"state":"done","result":"` + p[3] + `"`))
		case "failed":
			return chunk(line(`"state":"failed"`)) + "0\r\n\r\n"
		}
		return m
	})
}

func (w *fixture) play(text string) {
	w.t.Helper()
	for _, s := range scenario.Steps(w.t, text) {
		w.mu.Lock()
		p := w.peers[s.Actor]
		if p == nil && s.Verb == "send" && s.Actor[0] == 'c' {
			conn := w.newPeer(s.Actor)
			p = w.peers[s.Actor]
			go w.clients.admit(conn) // "send" with no text only connects
		}
		if p == nil && s.Verb == "send" && s.Actor[0] == 'h' {
			conn := w.newPeer(s.Actor)
			p = w.peers[s.Actor]
			p.frames = scenario.NewFrameCodec(w.t)
			p.frames.PostFields = ":method=POST :scheme=http :path=/ingest x-correlation-id=r%d idempotency-key=k%d x-time-left-ms=2000"
			go w.http2.admit(conn)
		}
		if s.Verb == "close" && p == nil {
			w.refusedDials[s.Actor] = true
		}
		w.mu.Unlock()
		switch {
		case s.Verb == "wait":
			d, err := time.ParseDuration(s.Arg)
			require.NoError(w.t, err, s.Line)
			if s.Actor != "" { // its connections take that long to come up
				w.mu.Lock()
				w.dialDelays[s.Actor] = d
				w.mu.Unlock()
			} else {
				time.Sleep(d)
			}
		case s.Verb == "expect":
			got := "no connection"
			if p != nil && p.frames != nil {
				got = p.nextFrame()
			} else if p != nil {
				got = p.nextMessage(s.Actor[0] == 'c')
			}
			require.Equal(w.t, s.Arg, got, s.Line)
		case p == nil || s.Verb == "send" && s.Arg == "":
		case s.Verb == "send" && p.frames != nil:
			_, err := p.conn.Write(p.frames.Encode(s.Arg))
			require.NoError(w.t, err, s.Line)
		case s.Verb == "send":
			_, err := p.conn.Write([]byte(expand(s.Arg)))
			require.NoError(w.t, err, s.Line)
		case s.Verb == "close":
			p.conn.Close()
		}
		synctest.Wait()
	}
}

// nextFrame returns the text of the next frame that has arrived.
func (p *peer) nextFrame() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frameTexts = append(p.frameTexts, p.frames.Describe(p.received)...)
	p.received = nil
	if len(p.frameTexts) == 0 {
		if p.closed {
			return "closed"
		}
		return "nothing"
	}
	first := p.frameTexts[0]
	p.frameTexts = p.frameTexts[1:]
	return first
}

// nextMessage returns the next HTTP/1.1 message that has arrived, as the standard library parses it.
func (p *peer) nextMessage(client bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.received) == 0 {
		if p.closed {
			return "closed"
		}
		return "nothing"
	}
	src := bytes.NewReader(p.received)
	r := bufio.NewReader(src)
	var b strings.Builder
	var body io.Reader
	if client {
		m, err := http.ReadResponse(r, nil)
		if err != nil {
			return err.Error()
		}
		fmt.Fprint(&b, m.StatusCode)
		if after := m.Header.Get("Retry-After"); after != "" {
			b.WriteString(" after " + after)
		}
		if m.Close {
			b.WriteString(" close")
		}
		body = m.Body
	} else {
		m, err := http.ReadRequest(r)
		if err != nil {
			return err.Error()
		}
		b.WriteString(m.Method + " " + m.RequestURI)
		for _, h := range []string{"X-Correlation-Id", "Idempotency-Key", "X-Time-Left-Ms"} {
			if v := m.Header.Get(h); v != "" {
				b.WriteString(" " + v)
			}
		}
		body = m.Body
	}
	text, err := io.ReadAll(body)
	if err != nil {
		return err.Error()
	}
	if len(text) > 0 {
		b.WriteString(" " + strings.TrimSpace(string(text)))
	}
	p.received = p.received[len(p.received)-src.Len()-r.Buffered():]
	return b.String()
}
