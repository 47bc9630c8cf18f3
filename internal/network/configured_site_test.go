package network

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/config"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/faultnet"
	"tinsail/internal/standin/history"
	standin "tinsail/internal/standin/platform"
)

// configuredSite is a dispatcher built from a configuration alone, as the program does it, on the fake clock
// with stand-ins: two backends in each zone, and one group per zone.
type configuredSite struct {
	cfg      *config.Config
	clients  *Clients
	backends []*standin.Backend
	zones    []string // of the backends
}

// withConfiguredSite calls play with a site that is built from a file in package config's test data, after change was
// applied to its text.
func withConfiguredSite(t *testing.T, file string, change *strings.Replacer, play func(s *configuredSite)) {
	t.Helper()
	text, err := os.ReadFile("../config/testdata/" + file)
	require.NoError(t, err)
	if change != nil {
		changed := change.Replace(string(text))
		require.NotEqual(t, string(text), changed)
		text = []byte(changed)
	}
	cfg, err := config.Parse(text, func(string) string { return "" })
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		s := &configuredSite{cfg: cfg}
		ports := map[string]*faultnet.PipeListener{cfg.Discovery: faultnet.ListenPipe(cfg.Discovery)}
		d := standin.NewDirector(faultnet.ListenPipe("unused"))
		d.AddListener(ports[cfg.Discovery], !cfg.Settings.Subscribe)
		for i := range 2 * len(cfg.Names.Zones) {
			name, zone := fmt.Sprint("b", i), cfg.Names.Zones[i/2]
			ports[name] = faultnet.ListenPipe(name)
			b := standin.NewBackend(ports[name], name, 8, func(string) time.Duration { return 10 * time.Millisecond })
			s.backends, s.zones = append(s.backends, b), append(s.zones, zone)
			d.Set(b.Entry(cfg.Names.Kinds[0], zone, 1+i/2, "Ready"))
		}
		dial := func(ctx context.Context, address string) (net.Conn, error) { return ports[address].Dial(ctx, address) }
		count, stop := &counters.Set{}, make(chan struct{})
		pool := &Pool{Names: &cfg.Names, Count: count, ConnectTimeout: millis(cfg.Settings.ConnectTimeout), IdleTimeout: cfg.BackendIdleTimeout * 7 / 10, MaxConnections: 64, Dial: dial}
		dir := &Director{Names: &cfg.Names, Count: count, Address: cfg.Discovery, Timings: AgentTimings(), Dial: dial, Stop: stop}
		if cfg.Settings.Subscribe {
			dir.Timings = PollTimings(millis(cfg.Settings.Rules.AskEvery))
		}
		c, err := core.New(cfg.Settings, pool, dir, count)
		require.NoError(t, err)
		dir.OnList = c.HandleList
		go c.Run(stop)
		dir.Subscribe()
		s.clients = &Clients{Names: &cfg.Names, Count: count, Core: c, MaxSessions: 64, MaxJobSessions: 64, MaxBufferedBytes: 1 << 20, LongestDeadline: cfg.LongestDeadline(), Stats: func() string { return "" }}
		synctest.Wait()
		require.Equal(t, len(s.backends), c.ReadyBackends())
		play(s)
		for _, b := range s.backends {
			b.Close()
		}
		close(stop)
		d.Close()
		time.Sleep(time.Minute) // all that still waits times out
	})
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ask sends a request of a class as that class's clients do: with a key if its effect needs one, and
// with all the time that the settings give. It returns the status, 0 for no answer, and how long that took.
func (s *configuredSite) ask(class int, id, body string) (status int, took time.Duration) {
	c, name := s.cfg.Settings.Classes[class], s.cfg.Names.Classes[class]
	near, far := net.Pipe()
	defer far.Close()
	go s.clients.admit(near)
	began, key := time.Now(), ""
	if c.Effect == balance.Deduped {
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	if _, err := fmt.Fprintf(far, "POST /%s HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n%sX-Time-Left-Ms: %.0f\r\nContent-Length: %d\r\n\r\n%s",
		name, id, name, key, c.Deadline, len(body), body); err != nil {
		return 0, time.Since(began)
	}
	a, err := http.ReadResponse(bufio.NewReader(far), nil)
	if err != nil {
		return 0, time.Since(began)
	}
	defer a.Body.Close()
	if _, err := io.ReadAll(a.Body); err != nil {
		return 0, time.Since(began)
	}
	return a.StatusCode, time.Since(began)
}

// set injects these faults into all backends.
func (s *configuredSite) set(f standin.Faults) {
	for _, b := range s.backends {
		b.Set(f)
	}
}

// fullyReceived returns the attempts whose last byte a backend has received, by backend.
func (s *configuredSite) fullyReceived() map[int][]history.Attempt {
	all := map[int][]history.Attempt{}
	for i, b := range s.backends {
		for _, a := range b.Attempts() {
			if !a.LastByteAt.IsZero() {
				all[i] = append(all[i], a)
			}
		}
	}
	return all
}

// TestOtherSitesServe: each class of either site is served, configured by its settings and the list alone.
func TestOtherSitesServe(t *testing.T) {
	for _, file := range []string{"short.json", "long.json"} {
		withConfiguredSite(t, file, nil, func(s *configuredSite) {
			for i, name := range s.cfg.Names.Classes {
				status, took := s.ask(i, "r"+name, "photo")
				assert.Equal(t, 200, status, name)
				assert.Less(t, took, millis(s.cfg.Settings.Classes[i].Aim), name)
			}
		})
	}
}

// TestOtherSitesDeadlines: if all backends hang, each request gets its final answer by its own class's deadline, be that
// 0.6 or 40 s, and not long before it, as its client would have waited.
func TestOtherSitesDeadlines(t *testing.T) {
	for _, file := range []string{"short.json", "long.json"} {
		for class := range 4 {
			withConfiguredSite(t, file, nil, func(s *configuredSite) {
				if class >= len(s.cfg.Names.Classes) {
					return
				}
				s.set(standin.Faults{HoldJobs: true})
				c, name := s.cfg.Settings.Classes[class], s.cfg.Names.Classes[class]
				status, took := s.ask(class, "h"+name, "photo")
				assert.NotContains(t, []int{0, 200}, status, name)
				if c.Effect == balance.Unsafe || c.Effect == balance.Deduped && c.Scope != balance.ScopeAll {
					assert.NotContains(t, []int{429, 503}, status, "%s: it may have run, and not every backend recognises its repeat", name)
				}
				assert.GreaterOrEqual(t, took, millis(c.Deadline-4*s.cfg.Settings.Tick), name)
				assert.LessOrEqual(t, took, millis(c.Deadline+s.cfg.Settings.Rules.AnswerSlack), name)
			})
		}
	}
}

// TestOtherSitesUnsafe: the connection of a request is reset whose class must not run twice and has no key. Before the last
// byte it goes to another backend, after it nowhere, and its client gets its answer at once. The site allows no copies and
// no cancelling.
func TestOtherSitesUnsafe(t *testing.T) {
	body := strings.Repeat("z", 60_000)
	for point, status := range map[standin.ResetPoint]int{standin.BeforeLastByte: 200, standin.BeforeStart: 502, standin.AfterStart: 502} {
		for round := range 6 {
			withConfiguredSite(t, "short.json", nil, func(s *configuredSite) {
				require.Equal(t, balance.Unsafe, s.cfg.Settings.Classes[2].Effect)
				for i, b := range s.backends {
					if point != standin.BeforeLastByte || i != round { // the backend without a fault is found, or the attempts are used up
						b.Set(standin.Faults{Reset: point})
					}
				}
				got, took := s.ask(2, fmt.Sprint("u", round), body)
				if point != standin.BeforeLastByte {
					assert.Equal(t, status, got, "point %d", point)
					assert.LessOrEqual(t, took, 200*time.Millisecond)
				} else if got != status {
					assert.Equal(t, 503, got, "it never ran: a retry by the client is harmless")
				}
				time.Sleep(5 * time.Second) // for any later attempt
				runs := 0
				for _, list := range s.fullyReceived() {
					runs += len(list)
				}
				assert.LessOrEqual(t, runs, 1, "point %d", point)
			})
		}
	}
}

// TestOtherSitesWindow: the repeat window is far shorter than usual, and shorter than the deadline. The connection of a
// keyed class's attempt breaks some time after its send. Inside the window the request is repeated, within its zone and
// before the window's end; after it never. Its client is not told that a retry is harmless, which holds only if one
// group has all backends.
func TestOtherSitesWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	for after, repeated := range map[time.Duration]bool{75 * time.Millisecond: true, 140 * time.Millisecond: true, 160 * time.Millisecond: false, 450 * time.Millisecond: false} {
		change := strings.NewReplacer(`"RepeatWindowMs":1500.0`, `"RepeatWindowMs":300.0`)
		withConfiguredSite(t, "short.json", change, func(s *configuredSite) {
			require.Equal(t, balance.Millis(300), s.cfg.Settings.Classes[1].RepeatWindow)
			s.set(standin.Faults{HoldJobs: true})
			type end struct {
				status int
				took   time.Duration
			}
			ended := make(chan end, 1)
			go func() {
				status, took := s.ask(1, "w", "photo")
				ended <- end{status, took}
			}()
			synctest.Wait()
			first := s.fullyReceived()
			require.Len(t, first, 1)
			time.Sleep(after)
			for i := range s.backends {
				if _, hit := first[i]; !hit {
					s.backends[i].Set(standin.Faults{})
				}
			}
			for i := range first {
				s.backends[i].Close() // its connections break
			}
			e := <-ended
			time.Sleep(5 * time.Second)
			for i, list := range first {
				sent := list[0].LastByteAt
				for j, more := range s.fullyReceived() {
					if j == i {
						assert.Len(t, more, 1)
						continue
					}
					assert.True(t, repeated, "sent again %v after the first send", more[0].FirstByteAt.Sub(sent))
					assert.Equal(t, s.zones[i], s.zones[j], "only backends of its zone know the key")
					assert.Less(t, more[0].FirstByteAt.Sub(sent), window)
				}
			}
			if repeated {
				assert.Equal(t, 200, e.status, "%v", after)
			} else {
				assert.Equal(t, 502, e.status, "%v", after)
			}
			assert.LessOrEqual(t, e.took, millis(s.cfg.Settings.Classes[1].Deadline+s.cfg.Settings.Rules.AnswerSlack))
		})
	}
}
