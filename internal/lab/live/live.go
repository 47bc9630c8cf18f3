package live

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/judge"
	"tinsail/internal/lab/load"
	"tinsail/internal/lab/sim"
	"tinsail/internal/standin/platform"
)

// Options configure a run.
type Options struct {
	Program  string            // path of the dispatcher's binary
	Progress func(load.Result) // called during the run; may be nil
}

// Result is the outcome of a scenario on sockets.
type Result struct {
	FirstReqs, InTime, Served, Refused, Failed int     // first requests, without their retries, and what became of them
	WorstWindow                                float64 // fraction served in time in the worst 10 s
	Clients                                    load.Result
	JobsByBackend                              map[string]int // jobs that each backend received, including those that it rejected
	Unserved                                   []string       // the first few requests that were not served, with their times and last status
}

const maxUnserved = 10

// Service returns the service level that the operators use, computed as in the model's result.
func (r *Result) Service() float64 {
	return 0.85*float64(r.InTime)/float64(max(r.FirstReqs, 1)) + 0.15*r.WorstWindow
}

// configFormat is the format of a dispatcher's configuration file. Its settings are those of package defaults.
const configFormat = `{"name":"lab-%d","listen":"127.0.0.1:0","admin":"127.0.0.1:0","discovery":%q,"seed":"%x",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"settings":{"Allowed":{"Cancel":true,"ConnIdleMs":60000,"ConnectTimeoutMs":120,"MaxAttempts":5,"MaxRetryAfterMs":2000,"MayDuplicate":true,"Probes":false,"RetryAfter":true},
"Balancers":%d,"Classes":[{"AimMs":120,"AimStretch":2,"DedupScope":"cell","Effect":"idempotency_key","HardLimitMs":5000,"Name":"photo","RepeatWindowMs":7500,"Worth":1}],
"FamilyInfo":{"TellsStart":true},"GranularityMs":2,"Models":%s,
"Obligations":{"AnswerSlackMs":8,"AskEveryMs":10000,"FallMs":2000,"FallMultiple":3,"StartCapacity":0.31,"StopSendingWithinMs":500,"WarmAfterMs":9000},
"RegistryMode":"on_request",%s"Weights":"nominal","Zones":["here"]}}`

// testbed holds the director, the backends and the dispatchers of a run.
type testbed struct {
	scenario       sim.Scenario
	startedAt      atomic.Pointer[time.Time] // time 0 of the scenario; nil until the dispatchers are ready
	director       *platform.Director
	backends       map[string]*backend
	workByKey      map[string]float64
	adminAddresses []string
}

// Play plays a scenario in real time. It starts a process of the binary for each dispatcher and ends these processes, and
// no others, with SIGTERM.
func Play(ctx context.Context, sc sim.Scenario, o Options) (res Result, err error) {
	if len(sc.Classes)+len(sc.Restarts)+len(sc.HeavyPeriods)+len(sc.ListDelays) > 0 || sc.Site != (sim.Site{}) {
		return res, errors.New("scenarios with classes, restarts, heavy or stale periods or a site can be played in virtual time only")
	}
	tb := &testbed{scenario: sc, backends: map[string]*backend{}, workByKey: map[string]float64{}}
	if tb.director, err = platform.StartDirector(); err != nil {
		return res, err
	}
	defer tb.director.Close()
	for _, b := range sc.Backends {
		simulated, err := tb.addBackend(b)
		if err != nil {
			return res, err
		}
		defer simulated.kill()
	}
	folder, err := os.MkdirTemp("", "tinsail-live-")
	if err != nil {
		return res, err
	}
	defer os.RemoveAll(folder)
	var targets []string
	for i := range max(sc.Dispatchers, 1) {
		p, err := tb.startDispatcher(ctx, o.Program, folder, i)
		if err != nil {
			return res, err
		}
		defer p.stop()
		targets, tb.adminAddresses = append(targets, p.listenAddress), append(tb.adminAddresses, p.adminAddress)
	}
	for _, target := range targets {
		if err := awaitReady(ctx, target); err != nil {
			return res, err
		}
	}
	var reqs []load.Req
	for a := range sc.Arrivals() {
		key := fmt.Sprint("k", len(reqs)+1)
		tb.workByKey[key] = a.Work
		reqs = append(reqs, load.Req{At: time.Duration(a.At * float64(time.Millisecond)), Key: key})
	}
	now := time.Now()
	tb.startedAt.Store(&now)
	eventsDone := make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { eventsDone <- tb.runEvents(ctx) }()
	var service judge.ServiceLevel
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	res.Clients, err = load.Run(ctx, reqs, load.Options{Targets: targets, Class: "photo", Deadline: time.Duration(sc.Deadline * float64(time.Millisecond)),
		Retries: sc.Retries, Backoff: time.Duration(sc.Backoff * float64(time.Millisecond)), Seed: sc.Seed, Progress: o.Progress,
		Done: func(key string, scheduled, answered time.Duration, status int) {
			if status != http.StatusOK && len(res.Unserved) < maxUnserved {
				res.Unserved = append(res.Unserved, fmt.Sprintf("%s at %.3f s: status %d after %.0f ms", key, scheduled.Seconds(), status, ms(answered-scheduled)))
			}
			inTime := status == http.StatusOK && ms(answered-scheduled) <= sc.Aim+sc.Stretch*tb.workByKey[key]
			if inTime {
				res.InTime++
			}
			service.Add(ms(scheduled), inTime)
		}})
	if err != nil {
		return res, err
	}
	cancel()
	if err := <-eventsDone; err != nil && ctx.Err() == nil {
		return res, err
	}
	res.FirstReqs, res.Served, res.Refused, res.Failed = res.Clients.FirstReqs, res.Clients.Served, res.Clients.Refused, res.Clients.Failed
	res.WorstWindow, res.JobsByBackend = service.WorstWindow(), map[string]int{}
	for name, b := range tb.backends {
		b.mu.Lock()
		res.JobsByBackend[name] = b.receivedJobs
		b.mu.Unlock()
	}
	return res, nil
}

// clock returns the time of the scenario in ms; 0 before it starts.
func (tb *testbed) clock() float64 {
	if startedAt := tb.startedAt.Load(); startedAt != nil {
		return float64(time.Since(*startedAt)) / float64(time.Millisecond)
	}
	return 0
}

// addBackend starts a backend and lists it as ready. Each backend remembers idempotency keys by itself, although the
// backends of a pod would share them, since the model has no lock. So a copy of a job that begins after another backend
// of the pod has done the job is not dropped, which is rare.
func (tb *testbed) addBackend(b sim.Backend) (*backend, error) {
	startedAt := -1e12
	if b.Cold {
		startedAt = 0
	}
	simulated := &backend{name: b.Name, clock: tb.clock, work: func(key string) float64 { return tb.workByKey[key] }, jobs: map[uint64]chan fleet.EventKind{},
		model:  fleet.New(b.Kind, fleet.NewDedupGroup(), startedAt, 0, fleet.RandomStream(tb.scenario.Seed, "backend "+b.Name)),
		random: fleet.RandomStream(tb.scenario.Seed, "reports "+b.Name), reporter: fleet.NewReporter(tb.scenario.Report, b.Kind.Slots)}
	if err := simulated.listen(); err != nil {
		return nil, err
	}
	tb.backends[b.Name] = simulated
	tb.listBackend(b, "Ready")
	return simulated, nil
}

// listBackend sets the backend's entry in the director's list.
func (tb *testbed) listBackend(b sim.Backend, status string) {
	simulated := tb.backends[b.Name]
	entry := platform.Entry{Name: b.Name, Address: simulated.address, Zone: "here", Type: b.Kind.Name, Group: b.Pod, Status: status, Weight: b.Kind.Slots}
	simulated.mu.Lock()
	if startedAt := simulated.model.StartedAt(); startedAt >= 0 {
		origin := time.Now()
		if scenarioStart := tb.startedAt.Load(); scenarioStart != nil {
			origin = *scenarioStart
		}
		entry.SinceMS = origin.UnixMilli() + int64(startedAt)
	}
	simulated.mu.Unlock()
	tb.director.Set(entry)
}

// runEvents causes the events of the scenario, each at its time.
func (tb *testbed) runEvents(ctx context.Context) error {
	events := append([]sim.Event{}, tb.scenario.Events...)
	for i := range events { // changes of the list that the dispatchers hear of late are made late
		switch events[i].Action {
		case "list", "unlist":
			events[i].At += events[i].NotifyDelay
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	backends := map[string]sim.Backend{}
	for _, b := range tb.scenario.Backends {
		backends[b.Name] = b
	}
	var delayed sync.WaitGroup
	defer delayed.Wait()
	for _, e := range events {
		select {
		case <-time.After(time.Until(tb.startedAt.Load().Add(time.Duration(e.At * float64(time.Millisecond))))):
		case <-ctx.Done():
			return nil
		}
		simulated, b := tb.backends[e.Backend], backends[e.Backend]
		var err error
		switch e.Action {
		case "kill":
			simulated.kill()
		case "start":
			err = simulated.start()
		case "trouble":
			simulated.update(func(now float64) []fleet.Event { return simulated.model.SetFaults(now, e.Faults) })
		case "drain":
			simulated.update(func(now float64) []fleet.Event { return simulated.model.Drain(now, true) })
			delayed.Go(func() {
				select {
				case <-time.After(time.Duration(e.NotifyDelay * float64(time.Millisecond))):
					tb.listBackend(b, "Terminating")
				case <-ctx.Done():
				}
			})
		case "list":
			tb.listBackend(b, "Ready")
		case "unlist":
			tb.listBackend(b, "Gone")
		case "ban":
			err = tb.callDoors(e.Backend, "offline")
		case "lift":
			err = tb.callDoors(e.Backend, "online")
		}
		if err != nil {
			return fmt.Errorf("%s of %s: %w", e.Action, e.Backend, err)
		}
	}
	return nil
}

// callDoors makes an operators' call for a backend at the door of every dispatcher.
func (tb *testbed) callDoors(backend, verb string) error {
	for _, address := range tb.adminAddresses {
		answer, err := http.Post("http://"+address+"/control/photo-workers/"+backend+"/"+verb, "", nil)
		if err != nil {
			return err
		}
		answer.Body.Close()
		if answer.StatusCode/100 != 2 {
			return fmt.Errorf("the door at %s answered with status %d", address, answer.StatusCode)
		}
	}
	return nil
}

// process is a dispatcher's process.
type process struct {
	cmd                         *exec.Cmd
	listenAddress, adminAddress string
	stderrClosed                chan struct{} // closed at the end of its log
}

// startDispatcher starts the i-th dispatcher and waits until it has logged its addresses.
func (tb *testbed) startDispatcher(ctx context.Context, program, folder string, i int) (*process, error) {
	kindNames, seen := []string{}, map[string]bool{}
	for _, b := range tb.scenario.Backends {
		if !seen[b.Kind.Name] {
			seen[b.Kind.Name] = true
			kindNames = append(kindNames, b.Kind.Name)
		}
	}
	models, err := json.Marshal(kindNames)
	if err != nil {
		return nil, err
	}
	reportSetting := ""
	if tb.scenario.Report.Period > 0 {
		reportSetting = `"Report":{"Columns":["x0"],"How":"answers"},`
	}
	configPath, tempDir := filepath.Join(folder, fmt.Sprint(i, ".json")), filepath.Join(folder, fmt.Sprint("tmp", i))
	config := fmt.Sprintf(configFormat, i, tb.director.Address, tb.scenario.Seed*1_000_003+uint64(i), max(tb.scenario.Dispatchers, 1), models, reportSetting)
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		return nil, err
	}
	if err := os.Mkdir(tempDir, 0o700); err != nil {
		return nil, err
	}
	p := &process{cmd: exec.CommandContext(ctx, program, "serve", "--log-format", "json"), stderrClosed: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+configPath, "TMPDIR="+tempDir)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	started := make(chan error, 1)
	go func() {
		defer close(p.stderrClosed)
		lines := bufio.NewScanner(stderr)
		lastLine := ""
		for lines.Scan() {
			var line struct{ Event, Listen, Admin string }
			lastLine = lines.Text()
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "serving" {
				p.listenAddress, p.adminAddress = line.Listen, line.Admin
				started <- nil
				break
			}
		}
		if p.listenAddress == "" {
			started <- fmt.Errorf("%s did not start to serve; last log line: %s", program, lastLine)
		}
		_, _ = io.Copy(io.Discard, stderr)
	}()
	if err := <-started; err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

// stop ends the process with SIGTERM and waits for it.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.stderrClosed
	_ = p.cmd.Wait()
}

// awaitReady waits until a dispatcher reports that it is ready, which means that it has a list of backends.
func awaitReady(ctx context.Context, address string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	for ctx.Err() == nil {
		if answer, err := client.Get("http://" + address + "/health/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}
