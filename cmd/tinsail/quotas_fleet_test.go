package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/standin/platform"
)

// quotaFleet is a fleet of processes with quotas: three voters, each the lender of its region, and up to two
// more dispatchers, in the first two regions.
type quotaFleet struct {
	fleet
	quota        int // of the team "press"
	director     string
	voters       string
	dataDir      string
	lenderEvents []chan map[string]any // each member's log lines about lending
}

var memberRegions = []string{"east", "west", "north", "east", "west"}

func (f *quotaFleet) script(i int) string {
	return f.scriptFor(memberRegions[i], filepath.Join(f.dataDir, fmt.Sprint(i)))
}

func (f *quotaFleet) scriptFor(region, data string) string {
	return fmt.Sprintf("policy(quotas = {\"press\": %d}, urgent_reserve = 2, urgent_classes = [\"express\"], run_ms = 10 * 1000)\n"+
		"accord(voters = [%s], lease_ms = 900, data = %q, when_cut = \"keep\")\n"+
		"quotas(region = %q, lenders = [\"east=n0\", \"west=n1\", \"north=n2\"], lease_ms = 900, region_lease_ms = 60 * 1000)\n",
		f.quota, f.voters, data, region)
}

func startQuotaFleet(t *testing.T, quota, members int) *quotaFleet {
	director, err := platform.StartDirector()
	require.NoError(t, err)
	t.Cleanup(director.Close)
	f := &quotaFleet{director: director.Address, dataDir: t.TempDir(), quota: quota}
	for i := range 3 {
		b, err := platform.StartBackend(fmt.Sprintf("b%d", i), 64, func(string) time.Duration { return 5 * time.Millisecond })
		require.NoError(t, err)
		t.Cleanup(b.Close)
		director.Set(b.Entry("fast", "here", i, "Ready"))
		f.backends = append(f.backends, b)
		// An address that only this process uses, so that no other process is given the port between this close and
		// the start of the voter.
		pid := os.Getpid()
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8&0x3f, pid&0xff, 2+i))
		require.NoError(t, err)
		f.voters += fmt.Sprintf("%q, ", fmt.Sprintf("n%d=%s", i, l.Addr()))
		l.Close()
	}
	for i := range members {
		f.members = append(f.members, f.start(t, i))
	}
	return f
}

// config returns the configuration of a dispatcher, with a team and an urgent class added to those of the demo.
func (f *quotaFleet) config(t *testing.T, name string) string {
	var conf map[string]any
	require.NoError(t, json.Unmarshal(demoConfig, &conf))
	conf["name"], conf["discovery"] = name, f.director
	set := conf["settings"].(map[string]any)
	set["Balancers"] = len(memberRegions)
	set["Parties"] = []map[string]any{{"Name": "press", "Share": 0.5, "QuotaPerS": 1e6}}
	express := map[string]any{}
	for k, v := range set["Classes"].([]any)[0].(map[string]any) {
		express[k] = v
	}
	express["Name"] = "express"
	set["Classes"] = append(set["Classes"].([]any), express)
	text, err := json.Marshal(conf)
	require.NoError(t, err)
	return string(text)
}

func (f *quotaFleet) start(t *testing.T, i int) *member {
	m := &member{}
	var errs io.Reader
	m.cmd, errs = startServe(t, f.config(t, fmt.Sprintf("n%d", i)), f.script(i))
	lines, lastLine := bufio.NewScanner(errs), ""
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["event"] == "serving" {
			m.address, _ = line["listen"].(string)
			break
		}
		lastLine = lines.Text()
	}
	require.NotEmpty(t, m.address, "n%d did not log that it serves: %s", i, lastLine)
	events := make(chan map[string]any, 10_000)
	f.lenderEvents = append(f.lenderEvents, events)
	go func() {
		defer close(events)
		for lines.Scan() {
			var line map[string]any
			if json.Unmarshal(lines.Bytes(), &line) == nil && line["lender"] != nil {
				select {
				case events <- line:
				default:
				}
			}
		}
		_, _ = io.Copy(io.Discard, errs)
	}()
	return m
}

// send sends one request and returns its status and whether the answer has Retry-After.
func (f *quotaFleet) send(t *testing.T, to int, id, team, class string, left time.Duration) (status int, retryAfter bool) {
	r, err := http.NewRequest("POST", "http://"+f.members[to].address+"/"+class+"/1", strings.NewReader("b"))
	if !assert.NoError(t, err) {
		return 0, false
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("Idempotency-Key", id)
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", fmt.Sprint(left.Milliseconds()))
	if team != "" {
		r.Header.Set("X-Account", team)
	}
	r.Close = true // a dispatcher that ends may close a connection between two requests
	answer, err := http.DefaultClient.Do(r)
	if !assert.NoError(t, err, id) {
		return 0, false
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Header.Get("Retry-After") != ""
}

// startedReqs counts the requests with this prefix of their ids that reached a backend, each once.
func (f *quotaFleet) startedReqs(prefix string) int {
	seen := map[string]bool{}
	for _, b := range f.backends {
		for _, s := range b.AttemptStarts() {
			if strings.HasPrefix(s.Req, prefix) {
				seen[s.Req] = true
			}
		}
	}
	return len(seen)
}

// awaitStarted waits until at least so many requests have reached a backend, polling at most 2,000 times, 5 ms
// apart.
func (f *quotaFleet) awaitStarted(t *testing.T, prefix string, want int) {
	for range 2000 {
		if f.startedReqs(prefix) >= want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d of %s started, want %d", f.startedReqs(prefix), prefix, want)
}

func (f *quotaFleet) setFaults(set platform.Faults) {
	for _, b := range f.backends {
		b.Set(set)
	}
}

// checkLimit has the backends finish nothing and sends as many requests of the team as its quota has, all to the
// given members. All start, wherever the units were. Then it sends others to all members: none starts, and each
// is refused with Retry-After within its time. meanwhile runs next; the function that it returns is called at
// the end, after the backends go on and every started request is served.
func (f *quotaFleet) checkLimit(t *testing.T, prefix string, to []int, meanwhile func() (wait func())) {
	f.setFaults(platform.Faults{HoldJobs: true})
	var clients, late sync.WaitGroup
	for i := range f.quota {
		clients.Go(func() {
			status, _ := f.send(t, to[i%len(to)], fmt.Sprintf("%s-%d", prefix, i), "press", "photo", time.Minute)
			assert.Equal(t, 200, status, "%s-%d", prefix, i)
		})
	}
	f.awaitStarted(t, prefix+"-", f.quota)
	for i := range 2 * len(f.members) {
		late.Go(func() {
			status, retryAfter := f.send(t, i%len(f.members), fmt.Sprintf("%s-late-%d", prefix, i), "press", "photo", 600*time.Millisecond)
			assert.Equal(t, 503, status, "%s-late-%d", prefix, i)
			assert.True(t, retryAfter, "a refusal without Retry-After")
		})
	}
	late.Wait()
	wait := meanwhile()
	assert.Equal(t, f.quota, f.startedReqs(prefix+"-"), "started while none finished")
	f.setFaults(platform.Faults{})
	clients.Wait()
	wait()
}

// checkDrain terminates a member that has all units of the team in use while more requests wait for one. All are
// served, the waiting ones as units are returned, and the process ends by itself.
func (f *quotaFleet) checkDrain(t *testing.T, i int) {
	f.setFaults(platform.Faults{HoldJobs: true})
	var clients sync.WaitGroup
	send := func(id string) {
		clients.Go(func() {
			status, _ := f.send(t, i, id, "press", "photo", time.Minute)
			assert.Equal(t, 200, status, id)
		})
	}
	for k := range f.quota {
		send(fmt.Sprintf("c-%d", k))
	}
	f.awaitStarted(t, "c-", f.quota)
	for k := range 3 {
		send(fmt.Sprintf("d-%d", k))
	}
	f.members[i].awaitCounter(t, "quota_waiting", 3)
	require.NoError(t, f.members[i].cmd.Process.Signal(syscall.SIGTERM))
	f.setFaults(platform.Faults{})
	clients.Wait()
	assert.NoError(t, f.members[i].cmd.Wait())
	assert.Equal(t, 3, f.startedReqs("d-"))
}

// TestFleetQuotas: five processes in three regions share the quota of a team. While no backend finishes
// anything, exactly as many of its requests are in flight in the whole fleet as the quota has, whichever
// dispatchers they arrive at. A request of an urgent class starts all the same, on the reserve of its region;
// requests of no team are not limited. A changed quota holds at all dispatchers. A dispatcher that drains also
// serves the requests that wait for a unit. One that ends in an orderly way returns its units at once, not when
// its lease and run_ms are over.
func TestFleetQuotas(t *testing.T) {
	if testing.Short() {
		t.Skip("starts five processes")
	}
	f := startQuotaFleet(t, 6, 5)
	for _, m := range f.members {
		m.awaitCounter(t, "accord_version", 1)
		m.awaitCounter(t, "accord_ready", 1)
	}
	for _, m := range f.members { // a lender that has just started does not know what part of the reserve was lent before
		for rounds := 0; m.counter(t, "quota_held") < 1; rounds++ {
			require.Less(t, rounds, 6000, "no unit of the reserve was lent")
			time.Sleep(5 * time.Millisecond)
		}
	}
	f.checkLimit(t, "a", []int{0, 3}, func() func() {
		var others sync.WaitGroup
		for i := range f.members {
			for _, kind := range [][3]string{{"urgent", "press", "express"}, {"other", "", "photo"}} {
				others.Go(func() {
					status, _ := f.send(t, i, fmt.Sprintf("%s-%d", kind[0], i), kind[1], kind[2], time.Minute)
					assert.Equal(t, 200, status, "%s-%d", kind[0], i)
				})
			}
		}
		f.awaitStarted(t, "urgent-", len(f.members))
		f.awaitStarted(t, "other-", len(f.members))
		return others.Wait
	})

	f.quota = 9
	require.NoError(t, os.WriteFile(f.members[0].cmd.Args[3], []byte(f.script(0)), 0o600))
	require.NoError(t, f.members[0].cmd.Process.Signal(syscall.SIGHUP))
	for _, m := range f.members {
		m.awaitCounter(t, "accord_version", 2)
		m.awaitCounter(t, "accord_ready", 1)
	}
	f.checkLimit(t, "b", []int{1, 2, 3, 4, 0}, func() func() { return func() {} })

	f.checkDrain(t, 4)

	east, leaving := f.members[0], f.members[3]
	east.awaitCounterBelow(t, "quota_in_use", 1)
	leaving.awaitCounterBelow(t, "quota_in_use", 1)
	held := leaving.counter(t, "quota_held")
	assert.Positive(t, held, "it holds at least one unit of the reserve, lent in advance, to return")
	require.NoError(t, leaving.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, leaving.cmd.Wait())
	f.checkNothingLentAtExpiry(t, "n3")
}

// checkNothingLentAtExpiry waits until n0 logs that the lease of a dispatcher expired, and checks that it
// counted no units as lent to it any more.
func (f *quotaFleet) checkNothingLentAtExpiry(t *testing.T, child string) {
	for line := range f.lenderEvents[0] {
		if line["event"] == "quota: lapsed" && line["child"] == child {
			assert.EqualValues(t, 0, line["units"], "units that the lender still counted when the lease of %s expired", child)
			return
		}
	}
	t.Fatal("the log of n0 ended")
}

// TestQuotasDuringUpgrade: a process that takes over from another starts nothing on the units that the old one
// has in use. The old one serves what it accepted, including requests that wait for a unit, and returns its
// units when it ends.
func TestQuotasDuringUpgrade(t *testing.T) {
	if testing.Short() {
		t.Skip("starts five processes")
	}
	f := startQuotaFleet(t, 6, 3)
	h := newDeployment(t, "127.0.0.1:0")
	require.NoError(t, os.WriteFile(h.configPath, []byte(f.config(t, "n5")), 0o600))
	h.scriptPath = filepath.Join(t.TempDir(), "s.star")
	require.NoError(t, os.WriteFile(h.scriptPath, []byte(f.scriptFor("east", "")), 0o600))
	old := h.start()
	old.awaitReady()
	f.members = append(f.members, &member{address: h.clientAddress})
	f.members[3].awaitCounter(t, "accord_ready", 1)

	f.setFaults(platform.Faults{HoldJobs: true})
	var clients sync.WaitGroup
	send := func(id string) {
		clients.Go(func() {
			status, _ := f.send(t, 3, id, "press", "photo", time.Minute)
			assert.Equal(t, 200, status, id)
		})
	}
	for i := range f.quota {
		send(fmt.Sprintf("old-%d", i))
	}
	f.awaitStarted(t, "old-", f.quota)
	send("waits")
	f.members[3].awaitCounter(t, "quota_waiting", 1)

	next := h.start()
	next.awaitEvent(t, "hand-over: serves")
	status, retryAfter := f.send(t, 3, "new", "press", "photo", 600*time.Millisecond)
	assert.Equal(t, 503, status, "the old process has all units in use")
	assert.True(t, retryAfter)
	assert.Zero(t, f.startedReqs("new")+f.startedReqs("waits"))
	f.setFaults(platform.Faults{})
	clients.Wait()
	for range old.logLines {
	}
	assert.NoError(t, old.cmd.Wait())
	status, _ = f.send(t, 3, "again", "press", "photo", 5*time.Second)
	assert.Equal(t, 200, status)
	f.checkNothingLentAtExpiry(t, "n5")
	next.terminate(t)
}

// TestRestartedRegionAssumesLentUnits: the voter that leads and also lends to a region is terminated and started
// again. The next root knows what the region held. The new incarnation of the region takes that over and grants
// quota at once, not after its lease and run_ms.
func TestRestartedRegionAssumesLentUnits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	f := startQuotaFleet(t, 6, 3)
	at := -1
	for rounds := 0; at < 0; rounds++ {
		require.Less(t, rounds, 2000, "no leader")
		for i, m := range f.members {
			m.awaitCounter(t, "accord_ready", 1)
			if m.counter(t, "accord_leads") == 1 {
				at = i
			}
		}
	}
	f.members[at].awaitCounter(t, "quota_held", 1) // a unit of the reserve: its region lends
	require.NoError(t, f.members[at].cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, f.members[at].cmd.Wait())
	f.members[at] = f.start(t, at)
	bound := time.After(30 * time.Second)
	for {
		var line map[string]any
		select {
		case line = <-f.lenderEvents[(at+1)%3]:
		case line = <-f.lenderEvents[(at+2)%3]:
		case <-bound:
			require.Fail(t, "no root knew what the region held")
		}
		if line["event"] == "quota: inherited" && line["lender"] == "root" && line["child"] == memberRegions[at] {
			return
		}
	}
}
