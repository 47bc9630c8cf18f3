package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/config"
	"tinsail/internal/faultnet"
	"tinsail/internal/settings"
	"tinsail/internal/standin/platform"
)

// accordFleet is a fleet of processes with an accord, three of them voters.
type accordFleet struct {
	fleet
	mu           sync.Mutex // guards the addresses of members while clients run
	director     string
	voters       string // as written in the script
	dataDir      string
	budgetKeeper string // arguments of budgets(...) that name the keeper of the leases; may be empty
}

func (f *accordFleet) script(i, connections int, bans string) string {
	return fmt.Sprintf("budgets(connections = 1000, %s)\npolicy(connections = %d, bans = [%s])\n"+
		"accord(voters = [%s], lease_ms = 900, data = %q)\n", f.budgetKeeper, connections, bans, f.voters, filepath.Join(f.dataDir, fmt.Sprint(i)))
}

func startAccordFleet(t testing.TB, n int, keeper string) *accordFleet {
	director, err := platform.StartDirector()
	require.NoError(t, err)
	t.Cleanup(director.Close)
	f := &accordFleet{director: director.Address, dataDir: t.TempDir(), budgetKeeper: keeper}
	for i := range 3 {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 64, func(string) time.Duration { return 5 * time.Millisecond })
		require.NoError(t, err)
		t.Cleanup(b.Close)
		director.Set(b.Entry("fast", "here", i, "Ready"))
		f.backends = append(f.backends, b)
		address, err := faultnet.FreeAddress()
		require.NoError(t, err)
		f.voters += fmt.Sprintf("%q, ", fmt.Sprintf("n%d=%s", i, address))
	}
	for i := range n {
		f.members = append(f.members, nil)
		f.start(t, i, n)
	}
	return f
}

func (f *accordFleet) start(t testing.TB, i, n int) {
	m := startMember(t, fmt.Sprintf("n%d", i), n, f.director, f.script(i, 500, ""))
	f.mu.Lock()
	f.members[i] = m
	f.mu.Unlock()
}

func (f *accordFleet) addresses() (all []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		all = append(all, m.address)
	}
	return all
}

// kill ends a member with SIGKILL.
func (f *accordFleet) kill(i int) {
	m := f.members[i]
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	m.killed = true
}

// awaitRunning waits until the members that were not killed are ready at a version.
func (f *accordFleet) awaitRunning(t *testing.T, version int64) {
	for _, m := range f.members {
		if !m.killed {
			m.awaitCounter(t, "accord_version", version)
			m.awaitCounter(t, "accord_ready", 1)
		}
	}
}

// proposePolicy rewrites the script of a member and has it reload.
func (f *accordFleet) proposePolicy(t testing.TB, i, connections int, bans string) {
	m := f.members[i]
	assert.NoError(t, os.WriteFile(m.cmd.Args[3], []byte(f.script(i, connections, bans)), 0o600))
	assert.NoError(t, m.cmd.Process.Signal(syscall.SIGHUP))
}

// awaitVersion waits until all members but one are ready at a version; skip -1 waits for all.
func (f *accordFleet) awaitVersion(t testing.TB, version int64, skip int) {
	for i, m := range f.members {
		if i != skip {
			m.awaitCounter(t, "accord_version", version)
			m.awaitCounter(t, "accord_ready", 1)
		}
	}
}

// countByVersion counts the attempts at all backends by version. It checks that no attempt of a version arrives
// after the first one of a later version, with a tolerance for bytes that are delayed on a loaded machine.
func (f *accordFleet) countByVersion(t *testing.T) map[int]int {
	const slack = 20 * time.Millisecond
	count, first, last := map[int]int{}, map[int]time.Time{}, map[int]time.Time{}
	for _, b := range f.backends {
		for _, s := range b.AttemptStarts() {
			v, err := strconv.Atoi(s.Version)
			require.NoError(t, err, "an attempt without a version")
			require.NotEmpty(t, s.Dispatcher)
			if count[v]++; count[v] == 1 || s.At.Before(first[v]) {
				first[v] = s.At
			}
			if s.At.After(last[v]) {
				last[v] = s.At
			}
		}
	}
	for a := range count {
		for b := range count {
			if a < b {
				assert.True(t, last[a].Add(-slack).Before(first[b]), "version %d until %v, version %d from %v", a, last[a], b, first[b])
			}
		}
	}
	return count
}

// TestFleetPolicyChange: five processes under load take a change of the budget and a ban from one script and a
// SIGHUP. All of them take it, and the backends never see two versions at once. A voter is killed, and the next
// change takes effect without it; when it is back it is on the version in force.
func TestFleetPolicyChange(t *testing.T) {
	if testing.Short() {
		t.Skip("starts six processes")
	}
	const n = 5
	f := startAccordFleet(t, n, "")
	f.awaitVersion(t, 1, -1)
	served := f.runLoad(t, 8, 150, map[int64]func(){
		200: func() { f.proposePolicy(t, 4, 400, `"b0"`) },
		700: func() {
			f.awaitVersion(t, 2, -1)
			_ = f.members[1].cmd.Process.Signal(syscall.SIGKILL)
			f.proposePolicy(t, 3, 300, "")
		},
	})
	f.awaitVersion(t, 3, 1)
	f.start(t, 1, n)
	f.awaitVersion(t, 3, -1)
	for _, m := range f.members {
		assert.EqualValues(t, 300/n, m.counter(t, "budget_connections_share"), "from the version in force, not from its script")
	}
	count := f.countByVersion(t)
	t.Logf("served %d of 1200; attempts by version %v", served, count)
	assert.Positive(t, count[1])
	assert.Positive(t, count[2])
	assert.Greater(t, served, int64(300))
	assert.Empty(t, startsOfVersion(f.backends[0], "2"), "b0 is banned by version 2")
	assert.NotEmpty(t, startsOfVersion(f.backends[1], "2"))
}

// leader returns the voter that leads, polling at most 2,000 times, 5 ms apart.
func (f *accordFleet) leader(t *testing.T) int {
	for range 2000 {
		for i, m := range f.members[:3] {
			if m.counter(t, "accord_leads") == 1 {
				return i
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no leader")
	return -1
}

// TestPolicyUnderFaults: six processes under load. The leader is suspended past its lease while a change is
// made, and resumed. Two changes are proposed at once, of which one takes effect. Two of the six are down during
// a change and started after it. All voters are killed and started again. The backends never see two versions
// mixed, and after each fault all are on one version.
func TestPolicyUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eleven processes")
	}
	const n = 6
	f := startAccordFleet(t, n, `keeper = "leader", lease_ms = 600`)
	f.awaitVersion(t, 1, -1)
	stop := make(chan struct{})
	var served, refused atomic.Int64
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{}}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("u-%d-%d", c, i)
				r, err := http.NewRequest("POST", "http://"+f.addresses()[(c+i)%n]+"/photo/1", strings.NewReader("b"))
				if !assert.NoError(t, err) {
					return
				}
				r.Header.Set("X-Correlation-Id", id)
				r.Header.Set("Idempotency-Key", id)
				answer, err := client.Do(r)
				if err != nil { // the member is suspended or was killed
					time.Sleep(5 * time.Millisecond)
					continue
				}
				answer.Body.Close()
				if answer.StatusCode == 200 {
					served.Add(1)
				} else {
					refused.Add(1)
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}

	stopped := f.leader(t)
	require.NoError(t, f.members[stopped].cmd.Process.Signal(syscall.SIGSTOP))
	f.proposePolicy(t, 5, 490, "")
	f.awaitVersion(t, 2, stopped)
	require.NoError(t, f.members[stopped].cmd.Process.Signal(syscall.SIGCONT))
	f.awaitVersion(t, 2, -1)

	f.proposePolicy(t, 3, 480, "")
	f.proposePolicy(t, 4, 470, "")
	f.awaitVersion(t, 3, -1)

	f.kill(2)
	f.kill(5)
	f.proposePolicy(t, 3, 460, "")
	f.awaitRunning(t, 4)
	f.start(t, 2, n)
	f.start(t, 5, n)
	f.awaitVersion(t, 4, -1)

	for i := range 3 {
		f.kill(i)
	}
	for i := range 3 {
		f.start(t, i, n)
	}
	f.awaitVersion(t, 4, -1)
	f.proposePolicy(t, 4, 450, "")
	f.awaitVersion(t, 5, -1)
	f.awaitShares(t, 450, n) // granted by the current leader
	sum := int64(0)
	for _, m := range f.members {
		sum += m.counter(t, "budget_connections_share")
	}
	assert.LessOrEqual(t, sum, int64(450))
	close(stop)
	clients.Wait()
	count := f.countByVersion(t)
	t.Logf("served %d, refused %d; attempts by version %v", served.Load(), refused.Load(), count)
	for v := 1; v <= 5; v++ {
		assert.Positive(t, count[v], "version %d", v)
	}
}

// TestUpgradesOfParticipant: a dispatcher that is not a voter is replaced by a new process of it without losing
// a request. The new process accepts clients once it knows the version in force, and both mark their attempts
// with that version.
func TestUpgradesOfParticipant(t *testing.T) {
	f := startAccordFleet(t, 3, "")
	f.awaitVersion(t, 1, -1)
	h := newDeployment(t, "127.0.0.1:0")
	h.scriptPath = filepath.Join(t.TempDir(), "s.star")
	require.NoError(t, os.WriteFile(h.scriptPath, []byte(f.script(9, 500, "")), 0o600))
	runUpgrades(t, h, 3)
	for _, b := range h.backends {
		for _, s := range b.AttemptStarts() {
			assert.Equal(t, "1 by demo", s.Version+" by "+s.Dispatcher)
		}
	}
}

// BenchmarkPropose measures, with 9 and with 20 processes and leases of 0.9 s, the time from the SIGHUP at one
// of them until all report the version in force. Their counters are polled, which takes some 5 ms per process.
func BenchmarkPropose(b *testing.B) {
	for _, n := range []int{9, 20} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := startAccordFleet(b, n, "")
			f.awaitVersion(b, 1, -1)
			var took []time.Duration
			for b.Loop() {
				for i := range 15 {
					start := time.Now()
					f.proposePolicy(b, n-1, 499-len(took), "")
					f.awaitVersion(b, int64(len(took)+2), -1)
					took = append(took, time.Since(start))
					time.Sleep(time.Duration(i*17) * time.Millisecond) // not in step with the lease renewals
				}
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "ms-median")
			b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "ms-most")
		})
	}
}

// startsOfVersion returns the attempts at a backend under one version.
func startsOfVersion(b *platform.Backend, version string) (all []platform.AttemptStart) {
	for _, s := range b.AttemptStarts() {
		if s.Version == version {
			all = append(all, s)
		}
	}
	return all
}

// TestNotReadyWithoutMajority: with one voter of three up, it is not ready and answers 503 with Retry-After.
func TestNotReadyWithoutMajority(t *testing.T) {
	f := startAccordFleet(t, 1, "")
	m := f.members[0]
	ready, err := http.Get("http://" + m.address + "/health/ready")
	require.NoError(t, err)
	ready.Body.Close()
	assert.Equal(t, 503, ready.StatusCode)
	r, err := http.NewRequest("POST", "http://"+m.address+"/photo/1", strings.NewReader("b"))
	require.NoError(t, err)
	r.Header.Set("X-Correlation-Id", "a")
	r.Header.Set("Idempotency-Key", "a")
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	answer.Body.Close()
	assert.Equal(t, 503, answer.StatusCode)
	assert.NotEmpty(t, answer.Header.Get("Retry-After"))
	assert.EqualValues(t, 1, m.counter(t, "accord_fenced_reqs"))
}

// TestCheckAccord: faults that the schema cannot express are reported with their key.
func TestCheckAccord(t *testing.T) {
	for script, key := range map[string]string{
		`policy()`:                           "policy: ",
		`accord(voters = ["a=127.0.0.1:1"])`: "accord: ",
		"policy()\n" + `accord(voters = ["a=127.0.0.1:1", "b=127.0.0.1:2"])`: "accord.voters: ",
		"policy()\n" + `accord(voters = ["a=127.0.0.1:1"])`:                  "accord.data: ",
		"policy()\n" + `accord(voters = ["b=127.0.0.1:1"])`:                  "",
		"policy()\n" + `accord(voters = ["a=127.0.0.1:1"], data = "d")`:      "",
	} {
		set, err := settings.Parse("s.star", func(string) ([]byte, error) { return []byte(script), nil })
		require.NoError(t, err, script)
		err = checkAccord(&config.Config{Name: "a"}, set)
		if key == "" {
			assert.NoError(t, err, script)
		} else {
			assert.ErrorContains(t, err, key, script)
		}
	}
}
