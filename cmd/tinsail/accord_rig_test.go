package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
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
	history "tinsail/internal/standin/accordhistory"
	"tinsail/internal/standin/platform"
)

// Times of the rig's fleet: its lease, and the time within which it has to settle after faults end. That is
// E + W + 5 L + d by the section "Times" of the accord's design note: E is five heartbeat timeouts of a third of a
// lease each, W a lease prolonged by the clock drift, L the lease, and d a sixth of it.
const (
	accordLease   = 900 * time.Millisecond
	settleTimeout = 5*accordLease/3 + accordLease*1001/999 + 5*accordLease + accordLease/6
	timingSlack   = 20 * time.Millisecond
)

// recordedFleet is a fleet of processes whose history is recorded and then checked. Each process reaches each
// voter other than itself through a relay of its own.
type recordedFleet struct {
	t        *testing.T
	size     int
	director *platform.Director
	backends []*platform.Backend
	voters   []string          // their listen addresses
	relays   [][]*faultnet.TCP // by dispatcher and voter
	dataDir  string
	stop     chan struct{}
	clients  sync.WaitGroup

	mu                sync.Mutex
	processes         []*fleetProcess
	lines             []history.Line // from the logs of processes and the actions of the rig
	clientLines       []history.Line // from the clients
	hooks             map[string]func(process string)
	answersByStatus   map[int]int // since the last case; status 0: the connection failed
	missingRetryAfter int         // answers 503 without Retry-After
}

// fleetProcess is one process of a dispatcher.
type fleetProcess struct {
	cmd          *exec.Cmd
	address      string
	receivesReqs bool // clients send requests to it
	logRead      chan struct{}
}

func startRecordedFleet(t *testing.T, n int) *recordedFleet {
	j := &recordedFleet{t: t, size: n, dataDir: t.TempDir(), stop: make(chan struct{}), hooks: map[string]func(string){}, answersByStatus: map[int]int{},
		processes: make([]*fleetProcess, n)}
	var err error
	j.director, err = platform.StartDirector()
	require.NoError(t, err)
	t.Cleanup(j.director.Close)
	for i := range 3 {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 64, func(id string) time.Duration { return time.Duration(2+len(id)%7) * time.Millisecond })
		require.NoError(t, err)
		t.Cleanup(b.Close)
		b.Set(platform.Faults{Refuse: i == 2, RefuseAfter: 60 * time.Millisecond}) // refused after a delay, so that some requests need another attempt late
		j.director.Set(b.Entry("fast", "here", i, "Ready"))
		j.backends = append(j.backends, b)
	}
	j.voters, j.relays = startVoterRelays(t, n)
	t.Cleanup(j.writeHistory)
	for i := range n {
		j.start(i)
	}
	return j
}

// startVoterRelays finds addresses for three voters and starts, for each of n dispatchers, a relay to each
// voter, which runs until the test ends.
func startVoterRelays(t *testing.T, n int) (voters []string, relays [][]*faultnet.TCP) {
	for range 3 {
		address, err := faultnet.FreeAddress()
		require.NoError(t, err)
		voters = append(voters, address)
	}
	relays = make([][]*faultnet.TCP, n)
	for i := range relays {
		for _, at := range voters {
			r, err := faultnet.ListenTCP(at)
			require.NoError(t, err)
			t.Cleanup(r.Close)
			relays[i] = append(relays[i], r)
		}
	}
	return voters, relays
}

// votersArg returns the voters as they stand in the script of dispatcher i: the others by its relays, itself by
// its own address.
func votersArg(i int, voters []string, relays [][]*faultnet.TCP) string {
	var texts []string
	for v, at := range voters {
		if v != i {
			at = relays[i][v].Addr()
		}
		texts = append(texts, fmt.Sprintf("%q", memberName(v)+"="+at))
	}
	return strings.Join(texts, ", ")
}

// memberName returns the name of dispatcher i.
func memberName(i int) string { return fmt.Sprintf("n%d", i) }

// script returns the script of a dispatcher; policy is the arguments of policy(...). The last dispatcher has no
// budgets(...), so that it cannot accept a policy that sets the total of a budget.
func (j *recordedFleet) script(i int, policy string) string {
	text := fmt.Sprintf("policy(%s)\naccord(voters = [%s], lease_ms = %d, data = %q)\n", policy, votersArg(i, j.voters, j.relays),
		accordLease.Milliseconds(), filepath.Join(j.dataDir, memberName(i)))
	if i < j.size-1 {
		text += "budgets(connections = 1000)\n"
	}
	return text
}

// recordEvent adds a line about an action of the rig, with the time of the call.
func (j *recordedFleet) recordEvent(event, process string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, history.Line{Time: time.Now().UnixNano(), Source: history.SourceRig, Event: event, Process: process})
}

// onEvent has f called once, when a process first logs this event of the accord from now on; "event n7" means
// that process alone.
func (j *recordedFleet) onEvent(event string, f func(process string)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.hooks[event] = f
}

func (j *recordedFleet) start(i int) {
	text := strings.Replace(string(demoConfig), "127.0.0.1:1", j.director.Address, 1)
	text = strings.Replace(text, `"name": "demo"`, fmt.Sprintf(`"name": %q`, memberName(i)), 1)
	text = strings.Replace(text, `"Balancers": 1`, fmt.Sprintf(`"Balancers": %d`, j.size), 1)
	j.recordEvent(history.ProcessStarted, memberName(i))
	l := &fleetProcess{logRead: make(chan struct{})}
	var errs io.Reader
	l.cmd, errs = startServe(j.t, text, j.script(i, `bans = []`))
	at := make(chan string, 1)
	go func() {
		defer close(l.logRead)
		for r := bufio.NewScanner(errs); r.Scan(); {
			j.handleLogLine(r.Bytes(), at)
		}
		close(at)
	}()
	l.address = <-at
	require.NotEmpty(j.t, l.address, "%s did not log that it serves", memberName(i))
	l.receivesReqs = true
	j.mu.Lock()
	j.processes[i] = l
	j.mu.Unlock()
}

// handleLogLine records a line of a log, with the time in the line.
func (j *recordedFleet) handleLogLine(text []byte, at chan string) {
	var e struct {
		Time                            time.Time
		Event, Listen, Process, By, Why string
		Change                          string
		Version                         uint64
		Accepted                        *bool
		LeftOut                         int `json:"left_out"`
	}
	if json.Unmarshal(text, &e) != nil {
		fmt.Fprintln(os.Stderr, string(text)) // for example the race detector's report
		return
	}
	if e.Event == "serving" {
		at <- e.Listen
	}
	step, ok := strings.CutPrefix(e.Event, "accord: ")
	assert.NotEqual(j.t, "not proposed", step)
	if !ok || e.Process == "" {
		return
	}
	assert.Zero(j.t, e.LeftOut, "log lines were left out at %s", e.Event)
	line := history.Line{Time: e.Time.UnixNano(), Source: history.SourceLog, Process: e.Process, Event: step, Version: e.Version, Change: e.Change, Proposer: e.By, Reason: e.Why}
	j.mu.Lock()
	j.lines = append(j.lines, line)
	key := step
	if j.hooks[key] == nil {
		key += " " + e.Process
	}
	hook := j.hooks[key]
	delete(j.hooks, key)
	j.mu.Unlock()
	if hook != nil {
		hook(e.Process)
	}
}

// kill ends a process with SIGKILL.
func (j *recordedFleet) kill(i int) {
	l := j.stopClients(i)
	_ = l.cmd.Process.Kill()
	_, _ = l.cmd.Process.Wait()
	j.recordEvent(history.ProcessEnded, memberName(i))
}

// stopClients has clients send no further requests to a process.
func (j *recordedFleet) stopClients(i int) *fleetProcess {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.processes[i].receivesReqs = false
	return j.processes[i]
}

func (j *recordedFleet) pause(i int) {
	j.recordEvent(history.ProcessSuspended, memberName(i))
	require.NoError(j.t, j.processes[i].cmd.Process.Signal(syscall.SIGSTOP))
	j.stopClients(i) // requests in flight wait until it is resumed
}

func (j *recordedFleet) resume(i int) {
	j.recordEvent(history.ProcessResumed, memberName(i))
	require.NoError(j.t, j.processes[i].cmd.Process.Signal(syscall.SIGCONT))
	j.mu.Lock()
	j.processes[i].receivesReqs = true
	j.mu.Unlock()
}

// relaysOf returns the relays from a dispatcher and, for a voter, those to it.
func (j *recordedFleet) relaysOf(i int) []*faultnet.TCP {
	all := slices.Clone(j.relays[i])
	if i < len(j.voters) {
		for _, from := range j.relays {
			all = append(all, from[i])
		}
	}
	return all
}

// voterRelays returns the relays between a voter and the other voters, in both directions.
func (j *recordedFleet) voterRelays(i int) (all []*faultnet.TCP) {
	for v := range j.voters {
		if v != i {
			all = append(all, j.relays[i][v], j.relays[v][i])
		}
	}
	return all
}

// disconnect cuts all links of a dispatcher.
func (j *recordedFleet) disconnect(i int) {
	j.setRule(i, faultnet.Rule{Blackhole: true})
	j.recordEvent(history.CutOff, memberName(i))
}

func (j *recordedFleet) reconnect(i int) {
	j.setRule(i, faultnet.NoFaults)
	for _, r := range j.relaysOf(i) {
		r.Reset() // bytes were dropped or are delayed
	}
	j.recordEvent(history.Reconnected, memberName(i))
}

func (j *recordedFleet) setRule(i int, rule faultnet.Rule) {
	for _, r := range j.relaysOf(i) {
		r.Set(rule)
	}
}

// proposePolicy has a dispatcher propose a policy, by a new script and a SIGHUP.
func (j *recordedFleet) proposePolicy(i int, policy string) {
	j.writeScript(i, policy)
	j.reload(i)
}

func (j *recordedFleet) writeScript(i int, policy string) {
	assert.NoError(j.t, os.WriteFile(j.processes[i].cmd.Args[3], []byte(j.script(i, policy)), 0o600))
}

func (j *recordedFleet) reload(i int) {
	assert.NoError(j.t, j.processes[i].cmd.Process.Signal(syscall.SIGHUP))
}

// waitFor polls the history until the condition holds: at most 2,000 times, 5 ms apart.
func (j *recordedFleet) waitFor(what string, holds func(lines []history.Line) bool) {
	j.t.Helper()
	for range 2000 {
		j.mu.Lock()
		lines := slices.Clone(j.lines)
		j.mu.Unlock()
		slices.SortStableFunc(lines, func(a, b history.Line) int { return int(min(max(a.Time-b.Time, -1), 1)) })
		if holds(lines) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, v := range history.Check(j.fullHistory(), accordRules) { // may give the reason; requests are still in flight
		if v.Rule != history.NoReqLost {
			j.t.Error(v)
		}
	}
	j.t.Fatalf("timed out waiting for: %s", what)
}

// lastDecided returns the highest version that was decided.
func lastDecided(lines []history.Line) (v uint64) {
	for _, l := range lines {
		if l.Event == "decided" {
			v = max(v, l.Version)
		}
	}
	return v
}

// awaitSettled waits until all running processes are on the version decided last, which is at least v.
func (j *recordedFleet) awaitSettled(v uint64) {
	j.t.Helper()
	j.waitFor(fmt.Sprintf("all on version %d", v), func(lines []history.Line) bool {
		return lastDecided(lines) >= v && len(history.Unsettled(lines)) == 0
	})
}

// leader returns the voter that became leader last, once that voter runs.
func (j *recordedFleet) leader() (at int) {
	j.waitFor("a leader", func(lines []history.Line) bool {
		for _, l := range lines {
			if l.Event == "leads" {
				at, _ = strconv.Atoi(l.Process[1:])
			}
		}
		return j.processes[at].receivesReqs
	})
	return at
}

// startLoad runs clients, each with one request at a time, until the rig ends or each has sent as many as it
// may.
func (j *recordedFleet) startLoad(clients, most int) {
	for c := range clients {
		j.clients.Go(func() {
			client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{}}
			for i := range most {
				select {
				case <-j.stop:
					return
				default:
				}
				j.sendReq(client, fmt.Sprintf("h-%d-%d", c, i), (c+i)%j.size)
				time.Sleep(3 * time.Millisecond)
			}
		})
	}
}

func (j *recordedFleet) sendReq(client *http.Client, id string, to int) {
	j.mu.Lock()
	l := j.processes[to]
	if l == nil || !l.receivesReqs {
		j.mu.Unlock()
		return
	}
	j.clientLines = append(j.clientLines, history.Line{Time: time.Now().UnixNano(), Source: history.SourceClient, Req: id, Dispatcher: memberName(to), Sent: true})
	j.mu.Unlock()
	status, bare := 0, false
	r, err := http.NewRequest("POST", "http://"+l.address+"/photo/1", strings.NewReader("b"))
	if !assert.NoError(j.t, err) {
		return
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("Idempotency-Key", id)
	if answer, err := client.Do(r); err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if err == nil {
			status = answer.StatusCode
		}
		bare = status == 503 && answer.Header.Get("Retry-After") == ""
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.clientLines = append(j.clientLines, history.Line{Time: time.Now().UnixNano(), Source: history.SourceClient, Req: id, Dispatcher: memberName(to), Status: status})
	j.answersByStatus[status]++
	if bare {
		j.missingRetryAfter++
	}
}

var accordRules = history.Rules{ClockTolerance: timingSlack, Lease: accordLease, SettleTimeout: settleTimeout, MaxStartsAfterResume: 8}

// reportViolations checks a history and fails the test for each violation.
func (j *recordedFleet) reportViolations(lines []history.Line) {
	j.t.Helper()
	for _, v := range history.Check(lines, accordRules) {
		j.t.Error(v)
	}
}

// fullHistory returns the history so far, of the processes, the clients and the backends, in order of time.
func (j *recordedFleet) fullHistory() []history.Line {
	j.mu.Lock()
	out := append(slices.Clone(j.lines), j.clientLines...)
	j.mu.Unlock()
	for _, b := range j.backends {
		for _, s := range b.AttemptStarts() {
			v, _ := strconv.ParseUint(s.Version, 10, 64) // without a version: 0, which the checker rejects
			out = append(out, history.Line{Time: s.At.UnixNano(), Source: history.SourceBackend, Backend: b.Name, Dispatcher: s.Dispatcher, Req: s.Req, Version: v, Started: true})
		}
	}
	slices.SortStableFunc(out, func(a, b history.Line) int { return int(min(max(a.Time-b.Time, -1), 1)) })
	return out
}

// writeHistory writes the history to the file named by TINSAIL_HISTORY, if it is set, also when the test failed.
func (j *recordedFleet) writeHistory() {
	at := os.Getenv("TINSAIL_HISTORY")
	if at == "" {
		return
	}
	f, err := os.Create(at)
	require.NoError(j.t, err)
	defer f.Close()
	for _, l := range j.fullHistory() {
		require.NoError(j.t, json.NewEncoder(f).Encode(l))
	}
}
