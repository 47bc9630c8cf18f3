package consul

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/membership"
	standin "tinsail/internal/standin/consul"
)

// recorder is a Sink that records each event of a watch as one text.
type recorder chan string

func (r recorder) ReplaceAll(list []membership.Backend) {
	var entries []string
	for _, b := range list {
		entries = append(entries, fmt.Sprintf("%s=%s/%d", b.Name, b.Address[strings.LastIndexByte(b.Address, ':')+1:], b.Health))
	}
	sort.Strings(entries)
	r <- "[" + strings.Join(entries, " ") + "]"
}
func (r recorder) Unchanged() { r <- "same" }
func (r recorder) Failed()    { r <- "failed" }

// waitFor discards events until the wanted one arrives, and fails after 30 s.
func (r recorder) waitFor(t *testing.T, want string) {
	t.Helper()
	var seen []string
	timeout := time.After(30 * time.Second)
	for {
		select {
		case got := <-r:
			if got == want {
				return
			}
			seen = append(seen, got)
		case <-timeout:
			t.Fatalf("event %s did not arrive, only %v", want, seen)
		}
	}
}

// logBuffer is a buffer for log lines that is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fixture is a watch that runs against simulated agents.
type fixture struct {
	agents []*standin.Agent
	watch  *Watch
	events recorder
	log    *logBuffer
}

func startWatch(t *testing.T, n int, change func(*Config)) *fixture {
	r := &fixture{events: make(recorder, 10_000), log: &logBuffer{}}
	c := Config{Scheme: "http", Service: "photo", AllowStale: true, MaxStaleness: 10 * time.Second, WaitTime: time.Second, Timeout: 5 * time.Second,
		MaxBodyBytes: 64 << 10, CallsPerSecond: 1000, MaxEntries: 1000}
	for range n {
		a, err := standin.Start()
		require.NoError(t, err)
		t.Cleanup(a.Close)
		a.Put(standin.Service{ID: "p1", Service: "photo", Address: "127.0.0.1", Port: 81})
		r.agents = append(r.agents, a)
		c.Addresses = append(c.Addresses, a.Address)
	}
	if change != nil {
		change(&c)
	}
	r.watch = &Watch{Config: c, Sink: r.events, Counts: &Counts{}, Log: zerolog.New(r.log),
		Meta: MetaMapping{Kind: "kind", Zone: "zone", Group: "group", Weight: "weight", Started: "started_ms", Kinds: []string{"a", "b"}, Zones: []string{"x", "y"}}}
	require.NoError(t, r.watch.Init())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.watch.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// TestWatchReportsChanges: changes arrive as they are made, and the health of an instance follows its checks.
func TestWatchReportsChanges(t *testing.T) {
	r := startWatch(t, 1, nil)
	a := r.agents[0]
	r.events.waitFor(t, "[p1=81/0]")
	a.Put(standin.Service{ID: "p2", Service: "photo", Port: 82})
	r.events.waitFor(t, "[p1=81/0 p2=82/0]")
	a.Put(standin.Service{ID: "q1", Service: "other", Address: "127.0.0.1", Port: 99})
	a.SetCheckStatus("p1", "warning")
	r.events.waitFor(t, "[p1=81/1 p2=82/0]")
	a.SetCheckStatus("p1", "critical")
	r.events.waitFor(t, "[p1=81/2 p2=82/0]")
	a.SetMaintenance("p2", true)
	r.events.waitFor(t, "[p1=81/2 p2=82/3]")
	a.SetMaintenance("p2", false)
	a.RemoveService("p1")
	r.events.waitFor(t, "[p2=82/0]")
	r.events.waitFor(t, "same") // the wait time passed without a change
}

// TestFaultsAreCountedByKind: each fault is counted under its kind, and the watch continues after the fault.
func TestFaultsAreCountedByKind(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault standin.Faults
		count func(*Counts) int64
	}{
		{"500", standin.Faults{Status: 500}, func(c *Counts) int64 { return c.Errors.Load() }},
		{"429", standin.Faults{Status: 429}, func(c *Counts) int64 { return c.RateLimited.Load() }},
		{"403", standin.Faults{Status: 403}, func(c *Counts) int64 { return c.Forbidden.Load() }},
		{"reset", standin.Faults{Reset: true}, func(c *Counts) int64 { return c.Unreachable.Load() }},
		{"truncated body", standin.Faults{Half: true}, func(c *Counts) int64 { return c.Unreadable.Load() }},
		{"no leader", standin.Faults{NoLeader: true}, func(c *Counts) int64 { return c.NoLeader.Load() }},
		{"stale", standin.Faults{Stale: time.Minute}, func(c *Counts) int64 { return c.TooStale.Load() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startWatch(t, 1, nil)
			r.events.waitFor(t, "[p1=81/0]")
			r.agents[0].SetFaults(c.fault)
			r.events.waitFor(t, "failed")
			assert.Positive(t, c.count(r.watch.Counts))
			r.agents[0].Put(standin.Service{ID: "p2", Service: "photo", Port: 82})
			r.agents[0].SetFaults(standin.Faults{})
			r.events.waitFor(t, "[p1=81/0 p2=82/0]")
		})
	}
}

// TestSilentAgentTimesOut: a call to an agent that does not answer fails after the timeout.
func TestSilentAgentTimesOut(t *testing.T) {
	r := startWatch(t, 1, func(c *Config) { c.Timeout = 100 * time.Millisecond })
	r.events.waitFor(t, "[p1=81/0]")
	r.agents[0].SetFaults(standin.Faults{Silent: true})
	r.events.waitFor(t, "failed")
	r.agents[0].SetFaults(standin.Faults{})
	r.events.waitFor(t, "[p1=81/0]")
}

// TestIndexGoesBack: an answer whose index is lower than before is ignored, and the next call requests the full
// list.
func TestIndexGoesBack(t *testing.T) {
	r := startWatch(t, 1, nil)
	r.events.waitFor(t, "[p1=81/0]")
	r.agents[0].SetFaults(standin.Faults{Back: 5, Empty: true})
	for r.watch.Counts.Restarted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.agents[0].SetFaults(standin.Faults{})
	r.events.waitFor(t, "[p1=81/0]")
}

// TestFailoverToNextAgent: the next agent is asked when one fails, and its different list replaces the first.
func TestFailoverToNextAgent(t *testing.T) {
	r := startWatch(t, 2, nil)
	r.agents[1].Put(standin.Service{ID: "p2", Service: "photo", Port: 82})
	r.events.waitFor(t, "[p1=81/0]")
	r.agents[0].Close()
	r.events.waitFor(t, "[p1=81/0 p2=82/0]")
	assert.Positive(t, r.watch.Counts.Failovers.Load())
}

// TestInvalidEntriesAreRefused: each invalid entry is refused and logged, the others are used, and of two entries
// with one id the newer is used.
func TestInvalidEntriesAreRefused(t *testing.T) {
	r := startWatch(t, 1, nil)
	a := r.agents[0]
	r.events.waitFor(t, "[p1=81/0]")
	a.SetFaults(standin.Faults{Malformed: true, Double: true})
	a.Put(standin.Service{ID: "p2", Service: "photo", Port: 82, Meta: map[string]string{"weight": "much"}})
	a.Put(standin.Service{ID: "p3", Service: "photo", Port: 83, Meta: map[string]string{"weight": "8", "kind": "b", "zone": "y", "group": "7"}})
	r.events.waitFor(t, "[p1=81/0 p3=83/0]")
	assert.Positive(t, r.watch.Counts.Duplicates.Load())
	for _, want := range []string{"no address", "invalid port", "invalid id", `con\\x01trol`, "invalid number in its metadata", "consul entry refused"} {
		assert.Contains(t, r.log.String(), want)
	}
}

// TestAnswerAndListLengthBounded: an answer above the size limit is not read, and a list with too many entries is
// truncated.
func TestAnswerAndListLengthBounded(t *testing.T) {
	r := startWatch(t, 1, func(c *Config) { c.MaxBodyBytes = 2000 })
	r.events.waitFor(t, "[p1=81/0]")
	for i := range 20 {
		r.agents[0].Put(standin.Service{ID: fmt.Sprint("x", i), Service: "photo", Port: 1})
	}
	r.events.waitFor(t, "failed")
	for r.watch.Counts.Unreadable.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r = startWatch(t, 1, func(c *Config) { c.MaxEntries = 1 })
	r.agents[0].Put(standin.Service{ID: "p0", Service: "photo", Port: 80})
	r.events.waitFor(t, "[p0=80/0]")
	assert.Positive(t, r.watch.Counts.EntriesRefused.Load())
}

// TestTokenIsNeverLogged: the token is sent but does not appear in the log.
func TestTokenIsNeverLogged(t *testing.T) {
	r := startWatch(t, 1, func(c *Config) { c.Token = "secret-1" })
	r.events.waitFor(t, "[p1=81/0]")
	r.agents[0].RequireToken("secret-2")
	r.events.waitFor(t, "failed")
	assert.NotContains(t, r.log.String(), "secret")
	assert.Positive(t, r.watch.Counts.Forbidden.Load())
}

// TestMetaMapping: kind, zone, group and weight are read from the metadata keys that the settings name. What is not told, or
// names no zone of the platform, is unknown.
func TestMetaMapping(t *testing.T) {
	r := startWatch(t, 1, nil)
	r.events.waitFor(t, "[p1=81/0]")
	f := r.watch.Meta
	agents, err := r.watch.Config.agents()
	require.NoError(t, err)
	r.agents[0].Put(standin.Service{ID: "p3", Service: "photo", Port: 83, Weights: standin.Weights{Passing: 10, Warning: 2},
		Meta: map[string]string{"kind": "b", "zone": "nowhere", "group": "7", "started_ms": "99"}})
	r.agents[0].SetCheckStatus("p3", "warning")
	list, _, err := agents[0].Health().Service("photo", "", false, nil)
	require.NoError(t, err)
	b, reason := f.backend(list[1])
	assert.Empty(t, reason)
	assert.Equal(t, membership.Backend{Name: "p3", Address: "127.0.0.1:83", Kind: 1, Zone: membership.Unknown, Group: 7, Weight: 2, Started: 99, Health: membership.Warning}, b)
	list[1].Service.Meta = nil
	b, reason = f.backend(list[1])
	assert.Empty(t, reason)
	assert.Equal(t, membership.Backend{Name: "p3", Address: "127.0.0.1:83", Kind: membership.Unknown, Zone: membership.Unknown, Group: membership.Unknown,
		Weight: 2, Started: membership.Unknown, Health: membership.Warning}, b)
	list[1].Service.Meta = map[string]string{"group": "1.5"} // else 1.5 and 1.2 would be one group
	_, reason = f.backend(list[1])
	assert.NotEmpty(t, reason)
	_, reason = f.backend(nil)
	assert.NotEmpty(t, reason)
}

// TestRegistrationLifecycle: an instance is registered and passes its check, is registered again after the agent
// lost it, is in maintenance mode while it drains, and is removed at the end.
func TestRegistrationLifecycle(t *testing.T) {
	for _, http := range []bool{false, true} {
		testRegistration(t, http)
	}
}

func testRegistration(t *testing.T, http bool) {
	a, err := standin.Start()
	require.NoError(t, err)
	defer a.Close()
	r := &Registration{Config: Config{Addresses: []string{a.Address}, Scheme: "http", MaxBodyBytes: 1 << 20}, Name: "tinsail", ID: "tinsail-1",
		Address: "127.0.0.1:8081", TTL: 60 * time.Millisecond, HTTPCheck: http}
	require.NoError(t, r.Init())
	r.Start()
	state := func(want string) {
		t.Helper()
		for start := time.Now(); a.ServiceStatuses()["tinsail-1"] != want; time.Sleep(time.Millisecond) {
			require.Less(t, time.Since(start), 30*time.Second, "state %s was not reached", want)
		}
	}
	up := map[bool]string{false: "passing", true: "critical"}[http] // the simulated agent makes no HTTP checks
	state(up)
	a.RemoveAll()
	state(up)
	r.EnterMaintenance()
	state("maintenance")
	a.RemoveAll()
	state("maintenance")
	r.Deregister()
	state("")
}

// TestOneOwnerOfAnEntry: of two processes that share an entry only the one that owns it writes to it, and one that starts ends
// the maintenance that another has left, but not an operator's.
func TestOneOwnerOfAnEntry(t *testing.T) {
	a, err := standin.Start()
	require.NoError(t, err)
	defer a.Close()
	newProcess := func() *Registration {
		r := &Registration{Config: Config{Addresses: []string{a.Address}, Scheme: "http", MaxBodyBytes: 1 << 20}, Name: "tinsail", ID: "tinsail-1",
			Address: "127.0.0.1:8081", TTL: 60 * time.Millisecond}
		require.NoError(t, r.Init())
		return r
	}
	status := func() string { return a.ServiceStatuses()["tinsail-1"] }
	await := func(want string) {
		t.Helper()
		require.Eventually(t, func() bool { return status() == want }, 30*time.Second, time.Millisecond, want)
	}
	old, next := newProcess(), newProcess()
	old.Start()
	await("passing")
	old.EnterMaintenance()
	require.Equal(t, "maintenance", status())
	old.Release()
	require.Equal(t, "passing", status(), "the maintenance that it had begun is ended")
	next.Start()
	old.EnterMaintenance()
	old.Deregister()
	old.Release()
	assert.Contains(t, []string{"passing", "critical"}, status(), "what does not own the entry writes nothing to it")
	await("passing")

	next.Release()
	old.Start() // the next process has died, and this one is about to end
	await("maintenance")
	old.Release()
	require.Equal(t, "passing", status())
	next.Start()
	await("passing")

	next.EnterMaintenance()
	next.stop() // killed
	<-next.done
	last := newProcess()
	last.Start()
	await("passing")
	last.stop()
	<-last.done
	a.SetMaintenance("tinsail-1", true)
	again, before := newProcess(), a.Calls()
	again.Start()
	again.Start()
	const callsUntilPassed = 4 // it registers, asks for the checks, passes its own, and passes it again
	require.Eventually(t, func() bool { return a.Calls() >= before+callsUntilPassed }, 30*time.Second, time.Millisecond)
	assert.Equal(t, "maintenance", status(), "an operator's maintenance stays")
	again.Deregister()
	again.Deregister()
	assert.Empty(t, status())
}

// FuzzEntries: no entry makes the parser panic or produce an invalid backend.
func FuzzEntries(f *testing.F) {
	f.Add("p1", "127.0.0.1", 80, "4", "7")
	f.Add("p1", "127.0.0.1", 80, "", "")
	f.Add("", "", -1, "NaN", "1e99")
	f.Fuzz(func(t *testing.T, id, address string, port int, weight, group string) {
		a := entry(id, address, port, map[string]string{"weight": weight, "group": group})
		mapping := MetaMapping{Weight: "weight", Group: "group"}
		b, reason := mapping.backend(a)
		if reason == "" {
			assert.NotEmpty(t, b.Name)
			assert.True(t, printable(b.Name) && printable(b.Address))
			assert.GreaterOrEqual(t, b.Weight, 0.0)
			if group == "" {
				assert.Equal(t, membership.Unknown, b.Group)
			} else {
				assert.GreaterOrEqual(t, b.Group, 0)
			}
		}
	})
}

func entry(id, address string, port int, meta map[string]string) *api.ServiceEntry {
	return &api.ServiceEntry{Service: &api.AgentService{ID: id, Address: address, Port: port, Meta: meta}}
}
