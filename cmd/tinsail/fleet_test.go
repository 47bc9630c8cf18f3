package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// member is one real process of a fleet of dispatchers.
type member struct {
	cmd     *exec.Cmd
	address string
}

// startMember starts the program as one dispatcher of a fleet of n, named name, with a script.
func startMember(t *testing.T, name string, n int, director, script string) *member {
	text := strings.Replace(string(demoConfig), "127.0.0.1:1", director, 1)
	text = strings.Replace(text, `"name": "demo"`, fmt.Sprintf(`"name": %q`, name), 1)
	text = strings.Replace(text, `"Balancers": 1`, fmt.Sprintf(`"Balancers": %d`, n), 1)
	m := &member{}
	var errs io.Reader
	m.cmd, errs = launch(t, text, script)
	lines := bufio.NewScanner(errs)
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["event"] == "serving" {
			m.address, _ = line["listen"].(string)
			break
		}
	}
	require.NotEmpty(t, m.address, "%s did not serve", name)
	go func() { _, _ = io.Copy(io.Discard, errs) }()
	return m
}

// counter asks a member for one counter; -1 where it has none.
func (m *member) counter(t *testing.T, name string) int64 {
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

// await asks a member for a counter in rounds, at most 2,000 of 5 ms, until it is at least want.
func (m *member) await(t *testing.T, name string, want int64) {
	for range 2000 {
		if m.counter(t, name) >= want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s never reached %d", name, want)
}

// mostInASecond is the most of the times that fall within any second, beginning at any of them.
func mostInASecond(times []time.Time) int {
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

// TestFleetBudgetOfConnections: eight real processes share a budget of 80 new connections a
// second to four backends that close each connection after its answer, so that every job needs
// one. One process keeps the leases; the others ask it through relays of faultnet. Under load, a
// link to the keeper is cut and mended, and a process is killed outright. At no second, counted
// at the backends from any connection on, do new connections from the whole fleet exceed 80
// beyond one unit for each process. Without the budget the same load opens several times as many.
func TestFleetBudgetOfConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("starts sixteen processes")
	}
	const total = 80
	without := fleetConnections(t, false)
	with := fleetConnections(t, true)
	assert.LessOrEqual(t, with, total+8, "new connections in a second, the whole fleet")
	assert.Greater(t, without, 2*total, "the same load without the budget")
}

// fleetConnections plays the load on eight members, with the budget or without, and returns the
// most new connections in a second.
func fleetConnections(t *testing.T, budgeted bool) int {
	const n, total = 8, 80
	director, err := platform.StartDirector()
	require.NoError(t, err)
	t.Cleanup(director.Close)
	var backends []*platform.Backend
	for i := range 4 {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 64, func(string) time.Duration { return time.Millisecond })
		require.NoError(t, err)
		t.Cleanup(b.Close)
		b.Set(platform.Faults{CloseEach: true})
		director.Set(b.Entry("fast", "here", i, "Ready"))
		backends = append(backends, b)
	}
	free, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	keeperAt := free.LocalAddr().String()
	free.Close()

	script := func(at string) string {
		if !budgeted {
			return ""
		}
		return fmt.Sprintf("budgets(connections = %d, reserve = 0.2, keeper = \"n0\", keeper_at = %q, lease_ms = 600)\n", total, at)
	}
	members := []*member{startMember(t, "n0", n, director.Address, script(keeperAt))}
	var relays []*faultnet.UDP
	for i := 1; i < n; i++ {
		r, err := faultnet.ListenUDP(keeperAt)
		require.NoError(t, err)
		t.Cleanup(r.Close)
		relays = append(relays, r)
		members = append(members, startMember(t, fmt.Sprintf("n%d", i), n, director.Address, script(r.Addr())))
	}

	fair := int64(total/5/n + (total-total/5/n*n)/n - 1) // reserve and part of the pool, less one
	for _, m := range members {
		if budgeted {
			m.await(t, "budget_connections_share", fair)
		}
	}

	// Load: 16 clients, each sends jobs in turn to the members, 80 jobs each, and waits 20 ms after
	// a refusal; faults are set by how many jobs have been answered, not by the clock.
	var answered, served, refused atomic.Int64
	faults := map[int64]func(){
		300: func() { relays[0].Set(faultnet.Rule{Blackhole: true}) }, // n1 cut off from the keeper
		600: func() { _ = members[2].cmd.Process.Signal(syscall.SIGKILL) },
		900: func() { relays[0].Set(faultnet.Pass) },
	}
	var all sync.WaitGroup
	for c := range 16 {
		all.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
			for i := range 80 {
				m := members[(c+i)%n]
				id := fmt.Sprintf("f-%d-%d", c, i)
				r, err := http.NewRequest("POST", "http://"+m.address+"/photo/1", strings.NewReader("b"))
				if !assert.NoError(t, err) {
					return
				}
				r.Header.Set("X-Correlation-Id", id)
				r.Header.Set("Idempotency-Key", id)
				answer, err := client.Do(r)
				if err != nil { // the killed member
					continue
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				answer.Body.Close()
				switch answer.StatusCode {
				case 200:
					served.Add(1)
				case 429, 503:
					refused.Add(1)
					time.Sleep(20 * time.Millisecond) // a client that waits a little before its next job
				}
				if f := faults[answered.Add(1)]; f != nil {
					f()
				}
			}
		})
	}
	all.Wait()

	var times []time.Time
	for _, b := range backends {
		times = append(times, b.Connections()...)
	}
	most := mostInASecond(times)
	t.Logf("budget %v: jobs served %d, refused %d; new connections %d, most in a second %d (budget %d)",
		budgeted, served.Load(), refused.Load(), len(times), most, total)
	assert.Positive(t, served.Load())
	if budgeted {
		assert.Positive(t, relays[0].Counts().Swallowed, "n1 was cut off")
	}
	return most
}
