package network

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/faultnet"
	"tinsail/internal/platform"
	"tinsail/internal/standin/history"
	standin "tinsail/internal/standin/platform"
)

// site is a whole dispatcher on the fake clock with stand-ins for the director and three backends,
// and a history of what clients and backends saw.
type site struct {
	director *standin.Director
	seat     *standin.DirectorListener
	terms    standin.ProcessInfo
	backends []*standin.Backend
	clients  *Clients
	history  *history.History
}

// withSite calls play with a site of one class. If lists are pushed, the settings name no AskEvery.
func withSite(t *testing.T, pushed bool, effect balance.Effect, play func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		set := balance.Settings{Seed: 1, Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 5, MayDuplicate: true, MayCancel: true,
			TellsStart: true, MaxPause: 2000, ConnectTimeout: 120, Tick: 2, Subscribe: !pushed,
			Rules:   balance.Rules{AnswerSlack: 8, FallMultiple: 3, FallWindow: 2000, StartCapacity: 0.31, WarmAfter: 9000, DrainGrace: 500},
			Classes: []balance.Class{{Worth: 1, Aim: 120, Stretch: 2, Deadline: 5000, Kind: -1, Effect: effect, Scope: balance.ScopeCell, RepeatWindow: 7500}}}
		if !pushed {
			set.Rules.AskEvery = 10_000
		}
		names := &platform.Names{Classes: []string{"ingest"}, RequiresKey: []bool{effect == balance.Deduped}, Deadlines: []time.Duration{5 * time.Second}}
		s := &site{history: &history.History{}, terms: standin.ProcessInfo{StartedAt: time.Now(), PollInterval: time.Duration(set.Rules.AskEvery) * time.Millisecond}}
		at := map[string]*faultnet.PipeListener{"d": faultnet.ListenPipe("d")}
		s.director = standin.NewDirector(faultnet.ListenPipe("unused"))
		s.seat = s.director.AddListener(at["d"], pushed)
		for i := range 3 {
			name := fmt.Sprint("b", i)
			at[name] = faultnet.ListenPipe(name)
			b := standin.NewBackend(at[name], name, 8, func(string) time.Duration { return 10 * time.Millisecond })
			s.backends = append(s.backends, b)
			s.director.Set(b.Entry("", "", 1, "Ready")) // one group: only its class limits a request's repeats
		}
		dial := func(ctx context.Context, address string) (net.Conn, error) { return at[address].Dial(ctx, address) }
		count, stop := &counters.Set{}, make(chan struct{})
		pool := &Pool{Names: names, Count: count, ConnectTimeout: 120 * time.Millisecond, IdleTimeout: 7 * time.Second, MaxConnections: 64, Dial: dial}
		dir := &Director{Names: names, Count: count, Address: "d", Timings: AgentTimings(), Dial: dial, Stop: stop}
		if !pushed {
			dir.Timings = PollTimings(s.terms.PollInterval)
		}
		c, err := core.New(set, pool, dir, count)
		require.NoError(t, err)
		dir.OnList = c.HandleList
		go c.Run(stop)
		dir.Subscribe()
		s.clients = &Clients{Names: names, Count: count, Core: c, MaxSessions: 64, MaxJobSessions: 64, MaxBufferedBytes: 1 << 20, LongestDeadline: 5 * time.Second, Stats: func() string { return "" }}
		synctest.Wait()
		require.Equal(t, 3, c.ReadyBackends())
		play(s)
		for _, b := range s.backends {
			b.Close()
		}
		close(stop)
		s.director.Close()
		time.Sleep(time.Minute) // all that still waits times out
	})
}

// ask sends a request on a connection of its own, and returns the status of its answer, 0 for none, and how
// long that took.
func (s *site) ask(id, body string) (status int, took time.Duration) {
	near, far := net.Pipe()
	defer far.Close()
	go s.clients.admit(near)
	began := time.Now()
	r := history.Req{Dispatcher: "n", ID: id, Unsafe: !s.clients.Names.RequiresKey[0], Deadline: began.Add(5 * time.Second)}
	_, err := fmt.Fprintf(far, "POST /ingest/1 HTTP/1.1\r\nX-Correlation-Id: %s\r\nIdempotency-Key: k%s\r\nX-Time-Left-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
		id, id, len(body), body)
	if err == nil {
		r.SentAt = time.Now()
	}
	s.history.AddReq(r)
	a, err := http.ReadResponse(bufio.NewReader(far), nil)
	if err != nil {
		s.history.AddReset(id, err.Error())
		return 0, time.Since(began)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		s.history.AddReset(id, err.Error())
		return 0, time.Since(began)
	}
	s.history.AddAnswer(history.Answer{ID: id, At: time.Now(), Status: a.StatusCode, Body: string(text)})
	return a.StatusCode, time.Since(began)
}

// load starts clients that each send requests, with a pause after each answer, for a duration.
func (s *site) load(clients int, pause, duration time.Duration) *sync.WaitGroup {
	all, until := &sync.WaitGroup{}, time.Now().Add(duration)
	for c := range clients {
		all.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				s.ask(fmt.Sprintf("%d-%d", c, i), "photo")
				time.Sleep(pause)
			}
		})
	}
	return all
}

// judge checks the history against the rules.
func (s *site) judge() []history.Breach {
	for _, b := range s.backends {
		s.history.AddAttempts(b.Attempts()...)
	}
	return s.history.Check(history.BasicRules(500 * time.Millisecond))
}

// TestUnsafeReset: the connection of a request that must not run twice is reset. Before its last byte
// was written it cannot have run, and goes to another backend. After that it is neither sent again, whether or not its
// start was reported, nor refused. Its client gets one answer at once, not at the deadline.
func TestUnsafeReset(t *testing.T) {
	const atOnce = 200 * time.Millisecond // on the fake clock: time for a new connection and a run, of a deadline of 5 s
	body := strings.Repeat("z", 60_000)
	for point, want := range map[standin.ResetPoint]struct{ status, received int }{
		standin.BeforeLastByte: {200, 1}, standin.BeforeStart: {502, 1}, standin.AfterStart: {502, 1},
	} {
		for round := range 8 { // the backend that is tried first is random
			withSite(t, false, balance.Unsafe, func(s *site) {
				for i, b := range s.backends {
					if point != standin.BeforeLastByte || i != round%3 { // the backend without a fault is found
						b.Set(standin.Faults{Reset: point})
					}
				}
				status, took := s.ask(fmt.Sprint("u", round), body)
				assert.Equal(t, want.status, status, "point %d", point)
				assert.LessOrEqual(t, took, atOnce, "point %d", point)
				time.Sleep(6 * time.Second) // for any later attempt
				assert.Empty(t, s.judge(), "point %d", point)
				received := 0
				for _, b := range s.backends {
					for _, a := range b.Attempts() {
						if !a.LastByteAt.IsZero() {
							received++
						}
					}
				}
				assert.Equal(t, want.received, received, "point %d", point)
			})
		}
	}
}
