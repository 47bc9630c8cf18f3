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

// quotaFleet is a fleet of real processes with quotas: three voters, each the lender of its region, and two more
// dispatchers, in the first two regions.
type quotaFleet struct {
	fleet
	quota        int // of the team press
	director     string
	voters       string
	dataDir      string
	lenderEvents []chan map[string]any // each member's log lines of lenders
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
		// An address of this process's own: between the close and the voter's start nobody else is given the port.
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

// config is a dispatcher's configuration, with a team and an urgent class beside the demo's.
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
	lines, said := bufio.NewScanner(errs), ""
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["event"] == "serving" {
			m.address, _ = line["listen"].(string)
			break
		}
		said = lines.Text()
	}
	require.NotEmpty(t, m.address, "n%d did not serve: %s", i, said)
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

// send sends one req and returns its status and whether a refusal had advice.
func (f *quotaFleet) send(t *testing.T, to int, id, team, class string, left time.Duration) (status int, advice bool) {
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
	r.Close = true // a dispatcher that leaves may close a connection between two reqs
	answer, err := http.DefaultClient.Do(r)
	if !assert.NoError(t, err, id) {
		return 0, false
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Header.Get("Retry-After") != ""
}

// startedReqs is how many reqs whose ids begin so came to the backends, each once.
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

// awaitStarted waits in rounds, at most 2,000 of 5 ms, until at least so many have.
func (f *quotaFleet) awaitStarted(t *testing.T, prefix string, want int) {
	for range 2000 {
		if f.startedReqs(prefix) >= want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d of %s began, want %d", f.startedReqs(prefix), prefix, want)
}

func (f *quotaFleet) setFaults(set platform.Faults) {
	for _, b := range f.backends {
		b.Set(set)
	}
}

// checkLimit has the backends end nothing, and sends as many reqs of the team as its quota has, all to the members named: all
// begin, wherever the units were. Then others, to all members: none begins, and each is refused with advice in its time.
// meanwhile happens then; what it returns is waited for at the end, when the backends go on and all that began is served.
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
			status, advice := f.send(t, i%len(f.members), fmt.Sprintf("%s-late-%d", prefix, i), "press", "photo", 600*time.Millisecond)
			assert.Equal(t, 503, status, "%s-late-%d", prefix, i)
			assert.True(t, advice, "a refusal without advice")
		})
	}
	late.Wait()
	wait := meanwhile()
	assert.Equal(t, f.quota, f.startedReqs(prefix+"-"), "began while none ended")
	f.setFaults(platform.Faults{})
	clients.Wait()
	wait()
}

// checkDrain has a member checkDrain while it has all units of the team in use and more reqs wait for one: all are served, the ones
// that wait as units come free, and it ends by itself.
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

// TestFleetQuotas: five real processes in three regions share the quota of a team. While no backend ends anything
// exactly as many reqs of it are in flight over the whole fleet as the quota has, whichever dispatchers they come to; a req
// of an urgent class begins all the same, on its region's reserve; reqs of no team are not bound. A changed quota holds at
// all. A dispatcher that is drained serves also what waits for a unit. One that ends in order gives back what it held at once, not when its lease and run_ms are over.
func TestFleetQuotas(t *testing.T) {
	if testing.Short() {
		t.Skip("starts five processes")
	}
	f := startQuotaFleet(t, 6, 5)
	for _, m := range f.members {
		m.awaitCounter(t, "accord_version", 1)
		m.awaitCounter(t, "accord_ready", 1)
	}
	for _, m := range f.members { // lenders that have just begun do not know what of the reserve was lent before
		for rounds := 0; m.counter(t, "quota_held") < 1; rounds++ {
			require.Less(t, rounds, 6000, "no unit of the reserve")
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

	east, leaves := f.members[0], f.members[3]
	east.awaitCounterBelow(t, "quota_in_use", 1)
	leaves.awaitCounterBelow(t, "quota_in_use", 1)
	held := leaves.counter(t, "quota_held")
	assert.Positive(t, held, "it has something to give back: a unit of the reserve, at least, ahead of need")
	require.NoError(t, leaves.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, leaves.cmd.Wait())
	f.checkNothingLentAtExpiry(t, "n3")
}

// checkNothingLentAtExpiry waits until n0 says that it heard nothing of a holder for a lease, and that it counted no units of it any more.
func (f *quotaFleet) checkNothingLentAtExpiry(t *testing.T, child string) {
	for line := range f.lenderEvents[0] {
		if line["event"] == "quota: lapsed" && line["child"] == child {
			assert.EqualValues(t, 0, line["units"], "what its lender counted still when the lease of %s was over", child)
			return
		}
	}
	t.Fatal("n0 has ended")
}

// TestQuotasDuringUpgrade: a process that takes over from another begins nothing on the units that the old one has in
// use, and that one serves what it took, also what waited for a unit, and gives back what it held when it ends.
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
	status, advice := f.send(t, 3, "new", "press", "photo", 600*time.Millisecond)
	assert.Equal(t, 503, status, "the old process has all units in use")
	assert.True(t, advice)
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

// TestRestartedRegionAssumesLentUnits: where the voter that leads, and lends to a region, is ended and started again, the next root
// knows what the region held: the region's next life inherits it and has room at once, not after its lease and run_ms.
func TestRestartedRegionAssumesLentUnits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	f := startQuotaFleet(t, 6, 3)
	at := -1
	for rounds := 0; at < 0; rounds++ {
		require.Less(t, rounds, 2000, "nobody leads")
		for i, m := range f.members {
			m.awaitCounter(t, "accord_ready", 1)
			if m.counter(t, "accord_leads") == 1 {
				at = i
			}
		}
	}
	f.members[at].awaitCounter(t, "quota_held", 1) // of the reserve: its region lends
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
			require.Fail(t, "no root knew the region")
		}
		if line["event"] == "quota: inherited" && line["lender"] == "root" && line["child"] == memberRegions[at] {
			return
		}
	}
}
