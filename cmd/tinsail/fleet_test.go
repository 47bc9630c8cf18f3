package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/faultnet"
	"tinsail/internal/standin/platform"
)

// member is one process of a fleet of dispatchers.
type member struct {
	cmd           *exec.Cmd
	address       string
	keeperAddress string // where it requests its shares; empty without a budget
	killed        bool
}

// startMember starts the program as one dispatcher, of this name and with this script, of a fleet of n.
func startMember(t testing.TB, name string, n int, director, script string) *member {
	text := strings.Replace(string(demoConfig), "127.0.0.1:1", director, 1)
	text = strings.Replace(text, `"name": "demo"`, fmt.Sprintf(`"name": %q`, name), 1)
	text = strings.Replace(text, `"Balancers": 1`, fmt.Sprintf(`"Balancers": %d`, n), 1)
	m := &member{}
	var errs io.Reader
	m.cmd, errs = startServe(t, text, script)
	lines := bufio.NewScanner(errs)
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["event"] == "serving" {
			m.address, _ = line["listen"].(string)
			break
		}
	}
	require.NotEmpty(t, m.address, "%s did not log that it serves", name)
	go func() { _, _ = io.Copy(io.Discard, errs) }()
	return m
}

// counter returns one counter of the member, -1 where it has none of that name.
func (m *member) counter(t testing.TB, name string) int64 {
	answer, err := http.Get("http://" + m.address + "/counters")
	require.NoError(t, err)
	defer answer.Body.Close()
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		var n int64
		if _, err := fmt.Sscanf(lines.Text(), "counter "+name+" %d", &n); err == nil {
			return n
		}
	}
	return -1
}

// awaitCounter polls a counter until it is at least want: at most 2,000 times, 5 ms apart.
func (m *member) awaitCounter(t testing.TB, name string, want int64) {
	for range 2000 {
		if m.counter(t, name) >= want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s never reached %d", name, want)
}

// awaitCounterBelow polls a counter until it is below want: at most 2,000 times, 5 ms apart.
func (m *member) awaitCounterBelow(t *testing.T, name string, want int64) {
	for range 2000 {
		if n := m.counter(t, name); n >= 0 && n < want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s never fell below %d", name, want)
}

// maxPerSecond returns the largest number of the times that fall within one second, whichever of them the second
// starts at.
func maxPerSecond(times []time.Time) int {
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	most := 0
	for i, j := 0, 0; j < len(times); j++ {
		for times[j].Sub(times[i]) >= time.Second {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

// TestFleetBudgetOfConnections: eight processes share a budget of 80 new connections per second to four backends
// that close each connection after its answer, so that every job needs a new one. One process, the keeper,
// grants the leases; the others reach it through relays of faultnet. Under load one link to the keeper is cut
// and restored, and one process is killed. In no second, counted at the backends from any connection on, may new
// connections of the whole fleet exceed 80 by more than one unit per process. Without the budget the same load
// opens several times as many.
func TestFleetBudgetOfConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("starts sixteen processes")
	}
	const total = 80
	without := maxFleetConnections(t, false)
	with := maxFleetConnections(t, true)
	assert.LessOrEqual(t, with, total+8, "new connections in a second, the whole fleet")
	assert.Greater(t, without, 2*total, "the same load without the budget")
}

// maxFleetConnections runs the load on eight members, with or without the budget, and returns the largest number
// of new connections in a second.
func maxFleetConnections(t *testing.T, budgeted bool) int {
	const n, total = 8, 80
	script := func(at string) string {
		if !budgeted {
			return ""
		}
		return budgetsScript(total, at)
	}
	f := startFleet(t, n, script)
	if budgeted {
		f.awaitShares(t, total, n)
	}
	served := f.runLoad(t, 16, 80, map[int64]func(){
		300: func() { f.relays[0].Set(faultnet.Rule{Blackhole: true}) }, // n1 cut off from the keeper
		600: func() { _ = f.members[2].cmd.Process.Signal(syscall.SIGKILL) },
		900: func() { f.relays[0].Set(faultnet.NoFaults) },
	})
	times := f.connectionTimes(time.Time{})
	most := maxPerSecond(times)
	t.Logf("budget %v: jobs served %d; new connections %d, most in a second %d (budget %d)",
		budgeted, served, len(times), most, total)
	assert.Positive(t, served)
	if budgeted {
		assert.Positive(t, f.relays[0].Counts().Discarded, "n1 was cut off")
	}
	return most
}

// TestFleetBudgetLowered: eight processes hold shares of 80 new connections per second when the total is lowered
// to 20, by a new script and a SIGHUP to each, under load, while one process is terminated. Once every remaining
// process reports a share within the new division, new connections of the whole fleet stay within 20 in every
// second, plus at most one unit per process.
func TestFleetBudgetLowered(t *testing.T) {
	if testing.Short() {
		t.Skip("starts twelve processes")
	}
	const n, before, after = 8, 80, 20
	// After the change each of the seven remaining members holds no reserve (⌊0.2·20/8⌋ = 0) and ⌊20/7⌋ = 2 of the
	// pool. A share of 4 or more is one of the old division.
	const newShare = after / (n - 1)
	f := startFleet(t, n, func(at string) string { return budgetsScript(before, at) })
	f.awaitShares(t, before, n)
	var read atomic.Pointer[time.Time]
	lowered := func() {
		for i, m := range f.members {
			if i == 3 {
				continue
			}
			require.NoError(t, os.WriteFile(m.cmd.Args[3], []byte(budgetsScript(after, m.keeperAddress)), 0o600))
			require.NoError(t, m.cmd.Process.Signal(syscall.SIGHUP))
		}
		for i, m := range f.members {
			if i != 3 {
				m.awaitCounterBelow(t, "budget_connections_share", 2*newShare)
			}
		}
		now := time.Now()
		read.Store(&now)
	}
	served := f.runLoad(t, 16, 200, map[int64]func(){
		100: func() { _ = f.members[3].cmd.Process.Signal(syscall.SIGTERM) },
		150: lowered,
	})
	require.NotNil(t, read.Load(), "the total was lowered")
	all, since := f.connectionTimes(time.Time{}), f.connectionTimes(*read.Load())
	most := maxPerSecond(since)
	t.Logf("jobs served %d; new connections %d, %d of them after all had read the new total; most in a second %d before and after, %d after (budget %d, then %d)",
		served, len(all), len(since), maxPerSecond(all), most, before, after)
	assert.Positive(t, len(since), "new connections after the change")
	assert.LessOrEqual(t, most, after+n, "new connections in a second, the whole fleet, after the change")
}

// budgetsScript returns the script of a budget of new connections whose keeper is n0 at the address at.
func budgetsScript(total int, at string) string {
	return fmt.Sprintf("budgets(connections = %d, reserve = 0.2, keeper = \"n0\", keeper_at = %q, lease_ms = 600)\n", total, at)
}

// fleet is members started together, their relays to the keeper, and the backends. The backends close each
// connection after its answer, so that every job needs a new one.
type fleet struct {
	members  []*member
	relays   []*faultnet.UDP // of members[1:]
	backends []*platform.Backend
}

// startFleet starts a director, four backends and n members. n0 gets the address of the keeper, each other
// member a relay of faultnet to it; script makes the script of a member from that address.
func startFleet(t *testing.T, n int, script func(at string) string) *fleet {
	director, err := platform.StartDirector()
	require.NoError(t, err)
	t.Cleanup(director.Close)
	f := &fleet{}
	for i := range 4 {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 64, func(string) time.Duration { return time.Millisecond })
		require.NoError(t, err)
		t.Cleanup(b.Close)
		b.Set(platform.Faults{CloseEach: true})
		director.Set(b.Entry("fast", "here", i, "Ready"))
		f.backends = append(f.backends, b)
	}
	free, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	keeperAt := free.LocalAddr().String()
	free.Close()
	f.members = []*member{startMember(t, "n0", n, director.Address, script(keeperAt))}
	f.members[0].keeperAddress = keeperAt
	for i := 1; i < n; i++ {
		r, err := faultnet.ListenUDP(keeperAt)
		require.NoError(t, err)
		t.Cleanup(r.Close)
		f.relays = append(f.relays, r)
		m := startMember(t, fmt.Sprintf("n%d", i), n, director.Address, script(r.Addr()))
		m.keeperAddress = r.Addr()
		f.members = append(f.members, m)
	}
	return f
}

// awaitShares waits until each member holds its reserve and its part of the pool, less one unit.
func (f *fleet) awaitShares(t *testing.T, total, n int) {
	fair := int64(total/5/n + (total-total/5/n*n)/n - 1)
	for _, m := range f.members {
		m.awaitCounter(t, "budget_connections_share", fair)
	}
}

// connectionTimes returns the times of new connections at the backends, from since on.
func (f *fleet) connectionTimes(since time.Time) []time.Time {
	var times []time.Time
	for _, b := range f.backends {
		for _, at := range b.ConnectionTimes() {
			if !at.Before(since) {
				times = append(times, at)
			}
		}
	}
	return times
}

// runLoad runs clients that each send jobs to the members in turn and wait 20 ms after a refusal. Faults start
// after a number of answered jobs, not at a time. It returns the number of jobs served.
func (f *fleet) runLoad(t *testing.T, clients, jobs int, faults map[int64]func()) int64 {
	var answered, served atomic.Int64
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
			for i := range jobs {
				m := f.members[(c+i)%len(f.members)]
				id := fmt.Sprintf("f-%d-%d", c, i)
				r, err := http.NewRequest("POST", "http://"+m.address+"/photo/1", strings.NewReader("b"))
				if !assert.NoError(t, err) {
					return
				}
				r.Header.Set("X-Correlation-Id", id)
				r.Header.Set("Idempotency-Key", id)
				answer, err := client.Do(r)
				if err != nil { // the member has ended
					continue
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				answer.Body.Close()
				switch answer.StatusCode {
				case 200:
					served.Add(1)
				case 429, 503:
					time.Sleep(20 * time.Millisecond) // waits before its next job
				}
				if fault := faults[answered.Add(1)]; fault != nil {
					fault()
				}
			}
		})
	}
	all.Wait()
	return served.Load()
}
