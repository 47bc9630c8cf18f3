package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/faultnet"
	"tinsail/internal/standin/platform"
	history "tinsail/internal/standin/quotahistory"
)

// Times of the quota rig: the leases of dispatchers and of regions, and the longest time that a request runs.
const (
	dispatcherLease = 900 * time.Millisecond
	regionLease     = 5 * time.Second
	reqRunTime      = 1600 * time.Millisecond
	clientTimeLeft  = 1200 * time.Millisecond // deadline that clients send
)

var regionNames = []string{"east", "west", "north"}

// recordedQuotaFleet is a fleet of processes whose teams have quotas, and whose history the backends record. The
// first three are voters and the lenders of their regions; dispatcher i is in region i mod 3. Each process
// reaches each voter other than itself through a relay of its own, which carries its links of the accord, of the
// quotas and of the majority log.
type recordedQuotaFleet struct {
	t        *testing.T
	size     int
	director *platform.Director
	backends []*platform.Backend
	voters   []string
	relays   [][]*faultnet.TCP // by dispatcher and voter
	dataDir  string
	stop     chan struct{}
	clients  sync.WaitGroup

	mu            sync.Mutex
	policy        string // in the scripts of processes that start from now on
	processes     []*quotaProcess
	lines         []history.Line
	runningByTeam map[string]int // attempts at the backends now
	startsByKey   map[string]int // attempts so far, by team and by dispatcher
	outcomes      map[string]int // number of requests by status, or "broken"
	earlyFailures []string       // requests that ended without a result before their deadline
}

// quotaProcess is one process of a dispatcher.
type quotaProcess struct {
	member
	receivesReqs bool // clients send requests to it
}

func startRecordedQuotaFleet(t *testing.T, n int, policy string) *recordedQuotaFleet {
	f := &recordedQuotaFleet{t: t, size: n, dataDir: t.TempDir(), stop: make(chan struct{}), policy: policy, processes: make([]*quotaProcess, n),
		runningByTeam: map[string]int{}, startsByKey: map[string]int{}, outcomes: map[string]int{}}
	var err error
	f.director, err = platform.StartDirector()
	require.NoError(t, err)
	t.Cleanup(f.director.Close)
	for i := range 3 {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 256, func(id string) time.Duration { return time.Duration(30+len(id)%5*15) * time.Millisecond })
		require.NoError(t, err)
		t.Cleanup(b.Close)
		b.OnAttempt = func(at time.Time, id string, event platform.Event) { f.recordBackendEvent(b.Name, at, id, event) }
		f.director.Set(b.Entry("fast", "here", i, "Ready"))
		f.backends = append(f.backends, b)
	}
	f.voters, f.relays = startVoterRelays(t, n)
	t.Cleanup(f.writeHistory)
	t.Cleanup(f.stopLoad)
	for i := range n {
		f.start(i)
	}
	return f
}

// stopLoad ends the load and waits for the clients.
func (f *recordedQuotaFleet) stopLoad() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.clients.Wait()
}

// recordBackendEvent records what a backend saw. An id is "team-", or "team!-" for an urgent request, then
// "dispatcher-" and numbers.
func (f *recordedQuotaFleet) recordBackendEvent(backend string, at time.Time, id string, event platform.Event) {
	team, rest, _ := strings.Cut(id, "-")
	on, _, _ := strings.Cut(rest, "-")
	plain, urgent := strings.CutSuffix(team, "!")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, history.Line{Time: at.UnixNano(), Event: string(event), Team: plain, Req: id, Backend: backend, Urgent: urgent && event == platform.Started})
	if event != platform.Started {
		f.runningByTeam[plain]--
		return
	}
	f.runningByTeam[plain]++
	f.startsByKey[team]++
	f.startsByKey[on]++
}

// recordLimit records a quota or a reserve that holds from now on.
func (f *recordedQuotaFleet) recordLimit(event, team string, units int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, history.Line{Time: time.Now().UnixNano(), Event: event, Team: team, Units: units})
}

func (f *recordedQuotaFleet) script(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("policy(%s, urgent_classes = [\"express\"], run_ms = %d)\n"+
		"accord(voters = [%s], lease_ms = 900, data = %q, when_cut = \"keep\")\n"+
		"quotas(region = %q, lenders = [\"east=n0\", \"west=n1\", \"north=n2\"], lease_ms = %d, region_lease_ms = %d)\n",
		f.policy, reqRunTime.Milliseconds(), votersArg(i, f.voters, f.relays), filepath.Join(f.dataDir, memberName(i)),
		regionNames[i%3], dispatcherLease.Milliseconds(), regionLease.Milliseconds())
}

func (f *recordedQuotaFleet) start(i int) {
	var conf map[string]any
	require.NoError(f.t, json.Unmarshal(demoConfig, &conf))
	conf["name"], conf["discovery"] = memberName(i), f.director.Address
	set := conf["settings"].(map[string]any)
	set["Balancers"] = f.size
	set["Parties"] = []map[string]any{{"Name": "press", "Share": 0.3, "QuotaPerS": 1e6}, {"Name": "atelier", "Share": 0.3, "QuotaPerS": 1e6}}
	photo := set["Classes"].([]any)[0].(map[string]any)
	photo["HardLimitMs"] = 1500
	express := map[string]any{}
	for k, v := range photo {
		express[k] = v
	}
	express["Name"] = "express"
	set["Classes"] = append(set["Classes"].([]any), express)
	text, err := json.Marshal(conf)
	require.NoError(f.t, err)
	l := &quotaProcess{}
	var errs io.Reader
	l.cmd, errs = startServe(f.t, string(text), f.script(i))
	at := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(errs)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var e struct{ Event, Listen string }
			if json.Unmarshal(lines.Bytes(), &e) != nil {
				fmt.Fprintln(os.Stderr, lines.Text()) // for example the race detector's report
			} else if e.Event == "serving" {
				at <- e.Listen
			}
		}
		close(at)
	}()
	l.address = <-at
	require.NotEmpty(f.t, l.address, "%s did not log that it serves", memberName(i))
	l.receivesReqs = true
	f.mu.Lock()
	f.processes[i] = l
	f.mu.Unlock()
}

func (f *recordedQuotaFleet) stopClients(i int) *quotaProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[i].receivesReqs = false
	return f.processes[i]
}

func (f *recordedQuotaFleet) kill(i int) {
	l := f.stopClients(i)
	_ = l.cmd.Process.Kill()
	_, _ = l.cmd.Process.Wait()
	l.killed = true
}

func (f *recordedQuotaFleet) pause(i int) {
	require.NoError(f.t, f.stopClients(i).cmd.Process.Signal(syscall.SIGSTOP))
}

func (f *recordedQuotaFleet) resume(i int) {
	require.NoError(f.t, f.processes[i].cmd.Process.Signal(syscall.SIGCONT))
	f.mu.Lock()
	f.processes[i].receivesReqs = true
	f.mu.Unlock()
}

// setRegionRule sets the rule of the links between a region and all others.
func (f *recordedQuotaFleet) setRegionRule(region int, rule faultnet.Rule) {
	f.setRelayRules(rule, func(from, to int) bool { return (from == region) != (to == region) })
}

// setRuleBetween sets the rule of the links between two regions.
func (f *recordedQuotaFleet) setRuleBetween(a, b int, rule faultnet.Rule) {
	f.setRelayRules(rule, func(from, to int) bool { return from == a && to == b || from == b && to == a })
}

// setDispatcherRule sets the rule of the links of one dispatcher, and resets their connections.
func (f *recordedQuotaFleet) setDispatcherRule(i int, rule faultnet.Rule) {
	for _, r := range f.relays[i] {
		r.Set(rule)
		r.Reset()
	}
}

// setRelayRules sets the rule of the links from the processes of one region to the voter of another, of those
// pairs that which selects.
func (f *recordedQuotaFleet) setRelayRules(rule faultnet.Rule, which func(from, to int) bool) {
	for i, all := range f.relays {
		for v, r := range all {
			if !which(i%3, v) {
				continue
			}
			r.Set(rule)
			if rule == faultnet.NoFaults { // bytes were dropped or are delayed
				r.Reset()
			}
		}
	}
}

// proposePolicy has a process propose a policy. Processes started from now on have it in their scripts too.
func (f *recordedQuotaFleet) proposePolicy(i int, policy string) {
	f.mu.Lock()
	f.policy = policy
	l := f.processes[i]
	f.mu.Unlock()
	require.NoError(f.t, os.WriteFile(l.cmd.Args[3], []byte(f.script(i)), 0o600))
	require.NoError(f.t, l.cmd.Process.Signal(syscall.SIGHUP))
}

// waitFor polls until the condition holds: at most 6,000 times, 5 ms apart.
func (f *recordedQuotaFleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Fatalf("timed out waiting for: %s; running %v, starts %v, answers %v", what, f.runningByTeam, f.startsByKey, f.outcomes)
}

// runningAtLeast tells whether at least n attempts of a team are at the backends now.
func (f *recordedQuotaFleet) runningAtLeast(team string, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runningByTeam[team] >= n
}

// awaitMoreStarts waits until n more attempts have started under these keys, each a team or the name of a
// dispatcher.
func (f *recordedQuotaFleet) awaitMoreStarts(n int, keys ...string) {
	f.t.Helper()
	was := f.startCount(keys)
	f.waitFor(fmt.Sprintf("%d more of %v", n, keys), func() bool { return f.startCount(keys) >= was+n })
}

func (f *recordedQuotaFleet) startCount(keys []string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range keys {
		n += f.startsByKey[k]
	}
	return n
}

// dispatchersOf returns the names of the dispatchers of these regions.
func (f *recordedQuotaFleet) dispatchersOf(regions ...int) (out []string) {
	for i := range f.size {
		if slices.Contains(regions, i%3) {
			out = append(out, memberName(i))
		}
	}
	return out
}

// runningProcesses returns the processes that run and are not suspended.
func (f *recordedQuotaFleet) runningProcesses() (out []*quotaProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.processes {
		if l.receivesReqs {
			out = append(out, l)
		}
	}
	return out
}

// awaitVersion waits until all running processes are ready at a version.
func (f *recordedQuotaFleet) awaitVersion(version int64) {
	for _, l := range f.runningProcesses() {
		l.awaitCounter(f.t, "accord_version", version)
		l.awaitCounter(f.t, "accord_ready", 1)
	}
}

// leader returns the running voter that leads.
func (f *recordedQuotaFleet) leader() (at int) {
	f.waitFor("a leader", func() bool {
		for i, l := range f.processes[:3] {
			if l.receivesReqs && l.counter(f.t, "accord_leads") == 1 {
				at = i
				return true
			}
		}
		return false
	})
	return at
}

// awaitLentAtMost waits until the root counts no more units as lent than the quotas have, in twenty consecutive
// polls.
func (f *recordedQuotaFleet) awaitLentAtMost(units int64) {
	rounds := 0
	f.waitFor("units lent within the lowered quotas", func() bool {
		rounds++
		if n := f.processes[f.leader()].counter(f.t, "quota_lent_root"); n <= 0 || n > units {
			rounds = 0
		}
		return rounds == 20
	})
}

// startLoad runs clients of a team at a dispatcher, each with one request at a time.
func (f *recordedQuotaFleet) startLoad(i, clients int, team, class string) {
	for c := range clients {
		f.clients.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-f.stop:
					return
				default:
				}
				f.mu.Lock()
				l := f.processes[i]
				up := l != nil && l.receivesReqs
				f.mu.Unlock()
				if !up {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				f.sendReq(client, l.address, fmt.Sprintf("%s-%s-%d-%d", team, memberName(i), c, n), strings.TrimSuffix(team, "!"), class)
			}
		})
	}
}

func (f *recordedQuotaFleet) sendReq(client *http.Client, address, id, team, class string) {
	r, err := http.NewRequest("POST", "http://"+address+"/"+class+"/1", strings.NewReader("b"))
	if !assert.NoError(f.t, err) {
		return
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("Idempotency-Key", id)
	r.Header.Set("X-Account", team)
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", fmt.Sprint(clientTimeLeft.Milliseconds()))
	what, from := "broken", time.Now()
	if answer, err := client.Do(r); err == nil {
		if _, err = io.Copy(io.Discard, answer.Body); err == nil {
			what = strconv.Itoa(answer.StatusCode)
		}
		answer.Body.Close()
	}
	f.mu.Lock()
	if f.outcomes[what]++; what != "200" && what != "503" && what != "broken" && time.Since(from) < clientTimeLeft-50*time.Millisecond {
		f.earlyFailures = append(f.earlyFailures, fmt.Sprintf("%s: %s after %v", id, what, time.Since(from)))
	}
	f.mu.Unlock()
	if what == "broken" {
		time.Sleep(5 * time.Millisecond)
	}
}

// checkHistory ends the load and checks the history.
func (f *recordedQuotaFleet) checkHistory(rules history.Rules) {
	f.t.Helper()
	f.stopLoad()
	f.mu.Lock()
	lines := slices.Clone(f.lines)
	f.mu.Unlock()
	verdicts := history.Check(lines, rules)
	for i, v := range verdicts {
		if i == 20 {
			f.t.Errorf("and %d further violations", len(verdicts)-i)
			break
		}
		f.t.Error(v)
	}
	assert.Positive(f.t, f.outcomes["200"])
	assert.Empty(f.t, f.earlyFailures, "requests failed before their deadline") // one that got quota late, or was in flight at a suspension, fails at its deadline
	f.t.Logf("%d lines of history; most running at once %v; starts %v; answers %v", len(lines), history.MaxRunning(lines, rules), f.startsByKey, f.outcomes)
}

// writeHistory writes the history to the file named by TINSAIL_HISTORY, if it is set, also when the test failed.
func (f *recordedQuotaFleet) writeHistory() {
	at := os.Getenv("TINSAIL_HISTORY")
	if at == "" {
		return
	}
	file, err := os.Create(at)
	require.NoError(f.t, err)
	defer file.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.lines {
		require.NoError(f.t, json.NewEncoder(file).Encode(l))
	}
}
