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

// Options say with what a scenario is played.
type Options struct {
	Program  string // the dispatcher's binary
	Progress func(load.Result)
}

// Result is what came of it on sockets.
type Result struct {
	FirstReqs, InTime, Served, Refused, Failed int
	WorstWindow                                float64
	Clients                                    load.Result
	JobsByBackend                              map[string]int // jobs begun, by backend
	Unserved                                   []string       // the first few, with when each came and its last status
}

const mostUnserved = 10

// Service is the operators' figure, as the model's.
func (r *Result) Service() float64 {
	return 0.85*float64(r.InTime)/float64(max(r.FirstReqs, 1)) + 0.15*r.WorstWindow
}

// configText is a dispatcher's configuration; it has the settings that package defaults has.
const configText = `{"name":"lab-%d","listen":"127.0.0.1:0","admin":"127.0.0.1:0","discovery":%q,"seed":"%x",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"settings":{"Allowed":{"Cancel":true,"ConnIdleMs":60000,"ConnectTimeoutMs":120,"MaxAttempts":5,"MaxRetryAfterMs":2000,"MayDuplicate":true,"Probes":false,"RetryAfter":true},
"Balancers":%d,"Classes":[{"AimMs":120,"AimStretch":2,"DedupScope":"cell","Effect":"idempotency_key","HardLimitMs":5000,"Name":"photo","RepeatWindowMs":7500,"Worth":1}],
"FamilyInfo":{"TellsStart":true},"GranularityMs":2,"Models":%s,
"Obligations":{"AnswerSlackMs":8,"AskEveryMs":10000,"FallMs":2000,"FallMultiple":3,"StartCapacity":0.31,"StopSendingWithinMs":500,"WarmAfterMs":9000},
"RegistryMode":"on_request",%s"Weights":"nominal","Zones":["here"]}}`

type stage struct {
	sc       sim.Scenario
	begun    atomic.Pointer[time.Time] // nil before the first req may come
	director *platform.Director
	backends map[string]*backend
	works    map[string]float64
	doors    []string
}

// Play plays a scenario in real time. It starts the program once for each dispatcher, ends those processes by SIGTERM, and touches no other.
func Play(ctx context.Context, sc sim.Scenario, o Options) (res Result, err error) {
	if len(sc.Classes)+len(sc.Restarts)+len(sc.Heavy)+len(sc.Stale) > 0 || sc.Site != (sim.Site{}) {
		return res, errors.New("classes, restarts and sites are played in virtual time alone so far")
	}
	st := &stage{sc: sc, backends: map[string]*backend{}, works: map[string]float64{}}
	if st.director, err = platform.StartDirector(); err != nil {
		return res, err
	}
	defer st.director.Close()
	for _, b := range sc.Backends {
		x, err := st.add(b)
		if err != nil {
			return res, err
		}
		defer x.kill()
	}
	folder, err := os.MkdirTemp("", "tinsail-live-")
	if err != nil {
		return res, err
	}
	defer os.RemoveAll(folder)
	var targets []string
	for i := range max(sc.Dispatchers, 1) {
		p, err := st.start(ctx, o.Program, folder, i)
		if err != nil {
			return res, err
		}
		defer p.end()
		targets, st.doors = append(targets, p.listen), append(st.doors, p.admin)
	}
	for _, t := range targets {
		if err := ready(ctx, t); err != nil {
			return res, err
		}
	}
	var reqs []load.Req
	for a := range sc.Arrivals() {
		key := fmt.Sprint("k", len(reqs)+1)
		st.works[key] = a.Work
		reqs = append(reqs, load.Req{At: time.Duration(a.At * float64(time.Millisecond)), Key: key})
	}
	now := time.Now()
	st.begun.Store(&now)
	ended := make(chan error, 1)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { ended <- st.events(ctx) }()
	var service judge.ServiceLevel
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	res.Clients, err = load.Run(ctx, reqs, load.Options{Targets: targets, Class: "photo", Deadline: time.Duration(sc.Deadline * float64(time.Millisecond)),
		Retries: sc.Retries, Backoff: time.Duration(sc.Backoff * float64(time.Millisecond)), Seed: sc.Seed, Progress: o.Progress,
		Done: func(key string, came, answered time.Duration, status int) {
			if status != http.StatusOK && len(res.Unserved) < mostUnserved {
				res.Unserved = append(res.Unserved, fmt.Sprintf("%s came at %.3f s, %d after %.0f ms", key, came.Seconds(), status, ms(answered-came)))
			}
			ok := status == http.StatusOK && ms(answered-came) <= sc.Aim+sc.Stretch*st.works[key]
			if ok {
				res.InTime++
			}
			service.Add(ms(came), ok)
		}})
	if err != nil {
		return res, err
	}
	stop()
	if err := <-ended; err != nil && ctx.Err() == nil {
		return res, err
	}
	res.FirstReqs, res.Served, res.Refused, res.Failed = res.Clients.FirstReqs, res.Clients.Served, res.Clients.Refused, res.Clients.Failed
	res.WorstWindow, res.JobsByBackend = service.WorstWindow(), map[string]int{}
	for name, b := range st.backends {
		b.mu.Lock()
		res.JobsByBackend[name] = b.begun
		b.mu.Unlock()
	}
	return res, nil
}

func (st *stage) clock() float64 {
	if at := st.begun.Load(); at != nil {
		return float64(time.Since(*at)) / float64(time.Millisecond)
	}
	return 0
}

// add makes a backend. Its memory of keys is its own: the model locks nothing, and what a pod would drop
// beyond that is a copy that begins after another backend has done the job, which is rare.
func (st *stage) add(b sim.Backend) (*backend, error) {
	started := -1e12
	if b.Cold {
		started = 0
	}
	x := &backend{name: b.Name, clock: st.clock, work: func(key string) float64 { return st.works[key] }, jobs: map[uint64]chan fleet.EventKind{},
		model:  fleet.New(b.Kind, fleet.NewDedupGroup(), started, 0, fleet.RandomStream(st.sc.Seed, "backend "+b.Name)),
		chance: fleet.RandomStream(st.sc.Seed, "reports "+b.Name), reporter: fleet.NewReporter(st.sc.Report, b.Kind.Slots)}
	if err := x.listen(); err != nil {
		return nil, err
	}
	st.backends[b.Name] = x
	st.list(b, "Ready")
	return x, nil
}

func (st *stage) list(b sim.Backend, status string) {
	x := st.backends[b.Name]
	e := platform.Entry{Name: b.Name, Address: x.address, Zone: "here", Type: b.Kind.Name, Group: b.Pod, Status: status, Weight: b.Kind.Slots}
	x.mu.Lock()
	if at := x.model.StartedAt(); at >= 0 {
		origin := time.Now()
		if b := st.begun.Load(); b != nil {
			origin = *b
		}
		e.SinceMS = origin.UnixMilli() + int64(at)
	}
	x.mu.Unlock()
	st.director.Set(e)
}

// events has happen what the scenario says, each at its time.
func (st *stage) events(ctx context.Context) error {
	list := append([]sim.Event{}, st.sc.Events...)
	for i := range list { // what is heard late happens late here
		switch list[i].Do {
		case "list", "unlist":
			list[i].At += list[i].Heard
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	known := map[string]sim.Backend{}
	for _, b := range st.sc.Backends {
		known[b.Name] = b
	}
	var later sync.WaitGroup
	defer later.Wait()
	for _, e := range list {
		select {
		case <-time.After(time.Until(st.begun.Load().Add(time.Duration(e.At * float64(time.Millisecond))))):
		case <-ctx.Done():
			return nil
		}
		x, b := st.backends[e.Backend], known[e.Backend]
		var err error
		switch e.Do {
		case "kill":
			x.kill()
		case "start":
			err = x.start()
		case "trouble":
			x.change(func(now float64) []fleet.Event { return x.model.SetFaults(now, e.Trouble) })
		case "drain":
			x.change(func(now float64) []fleet.Event { return x.model.Drain(now, true) })
			later.Go(func() {
				select {
				case <-time.After(time.Duration(e.Heard * float64(time.Millisecond))):
					st.list(b, "Terminating")
				case <-ctx.Done():
				}
			})
		case "list":
			st.list(b, "Ready")
		case "unlist":
			st.list(b, "Gone")
		case "ban":
			err = st.call(e.Backend, "offline")
		case "lift":
			err = st.call(e.Backend, "online")
		}
		if err != nil {
			return fmt.Errorf("%s of %s: %w", e.Do, e.Backend, err)
		}
	}
	return nil
}

// call makes an operators' call at every dispatcher.
func (st *stage) call(backend, verb string) error {
	for _, d := range st.doors {
		a, err := http.Post("http://"+d+"/control/photo-workers/"+backend+"/"+verb, "", nil)
		if err != nil {
			return err
		}
		a.Body.Close()
		if a.StatusCode/100 != 2 {
			return fmt.Errorf("the door of %s says %d", d, a.StatusCode)
		}
	}
	return nil
}

// process is one dispatcher.
type process struct {
	cmd           *exec.Cmd
	listen, admin string
	over          chan struct{}
}

func (st *stage) start(ctx context.Context, program, folder string, i int) (*process, error) {
	kinds, seen := []string{}, map[string]bool{}
	for _, b := range st.sc.Backends {
		if !seen[b.Kind.Name] {
			seen[b.Kind.Name] = true
			kinds = append(kinds, b.Kind.Name)
		}
	}
	models, err := json.Marshal(kinds)
	if err != nil {
		return nil, err
	}
	reports := ""
	if st.sc.Report.Period > 0 {
		reports = `"Report":{"Columns":["x0"],"How":"answers"},`
	}
	path, tmp := filepath.Join(folder, fmt.Sprint(i, ".json")), filepath.Join(folder, fmt.Sprint("tmp", i))
	text := fmt.Sprintf(configText, i, st.director.Address, st.sc.Seed*1_000_003+uint64(i), max(st.sc.Dispatchers, 1), models, reports)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	p := &process{cmd: exec.CommandContext(ctx, program, "serve", "--log-format", "json"), over: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "TMPDIR="+tmp)
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	told := make(chan error, 1)
	go func() {
		defer close(p.over)
		lines := bufio.NewScanner(errs)
		last := ""
		for lines.Scan() {
			var l struct{ Event, Listen, Admin string }
			last = lines.Text()
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Event == "serving" {
				p.listen, p.admin = l.Listen, l.Admin
				told <- nil
				break
			}
		}
		if p.listen == "" {
			told <- fmt.Errorf("%s does not serve: %s", program, last)
		}
		_, _ = io.Copy(io.Discard, errs)
	}()
	if err := <-told; err != nil {
		p.end()
		return nil, err
	}
	return p, nil
}

// end ends this process, which is ours.
func (p *process) end() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.over
	_ = p.cmd.Wait()
}

// ready waits until a dispatcher has heard of its backends.
func ready(ctx context.Context, address string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	for ctx.Err() == nil {
		if a, err := client.Get("http://" + address + "/health/ready"); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}
