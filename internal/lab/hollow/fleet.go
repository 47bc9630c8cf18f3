package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tinsail/internal/faultnet"
	"tinsail/internal/standin/platform"
)

// Regions is how many regions a fleet stands in; a voter stands in each, and a dispatcher's is its number
// modulo Regions.
const Regions = 3

// FleetConfig is a fleet to be started.
type FleetConfig struct {
	Program []string // what starts a real dispatcher, before its "serve"
	Env     []string // of a real dispatcher, beside this process's

	Real          int // dispatchers that are processes, the voters among them; 0: the voters are in this process, too
	Hollow        int
	WithoutAccord bool // no accord and no budgets

	Lease         time.Duration
	RegionLatency time.Duration // one way between two regions
	Bans          []string      // of the first policy
	Workers       int           // of the list
}

func (p FleetConfig) dispatcherCount() int { return p.Real + p.Hollow }

// Fleet is real and hollow dispatchers around three voters, with a director and workers. Between each region and
// each voter, and before the director, stands a relay.
type Fleet struct {
	Config    FleetConfig
	Director  *platform.Director
	Workers   *Workers
	Meters    [Regions][Regions]Meter // by the region that asks and the voter
	ListMeter ListMeter

	dir            string
	voterAddresses []string // where they listen
	voterRelays    [Regions][Regions]*faultnet.TCP
	listRelay      *faultnet.TCP
	events         *eventLog

	mu     sync.Mutex
	Real   []*Process    // by number; the first three are the voters
	Hollow []*Dispatcher // number Plan.Real and on
}

// ListMeter counts the bytes that dispatchers and the director exchange, and the pieces in which they came.
type ListMeter struct{ RequestChunks, ResponseChunks, RequestBytes, ResponseBytes atomic.Int64 }

func (l *ListMeter) tap() (out, back func([]byte)) {
	one := func(n, size *atomic.Int64) func([]byte) {
		return func(p []byte) {
			if len(p) > 0 {
				n.Add(1)
				size.Add(int64(len(p)))
			}
		}
	}
	return one(&l.RequestChunks, &l.RequestBytes), one(&l.ResponseChunks, &l.ResponseBytes)
}

// MaxSizeForVoterTraffic is the size to which hollow dispatchers cost the voters among themselves what real ones do, within a tenth. What the
// members' links cost is true at any size. Timers of one process that end within its millisecond fire together, so that hollow dispatchers'
// asks come in clumps, which a round confirms together: at 100 there were 18% fewer heartbeats than with real ones.
const MaxSizeForVoterTraffic = 20

// startSpread is over what time hollow dispatchers start. Real ones take that long by themselves; hollow ones that all
// began in one moment would ask in step from then on, be confirmed together, and cost the voters fewer rounds than
// real ones do.
const startSpread = 2 * time.Second

// StartFleet starts a fleet. Close ends it, also one whose start failed.
func StartFleet(p FleetConfig) (*Fleet, error) {
	f := &Fleet{Config: p, events: newEvents()}
	err := f.startAll()
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() (err error) {
	p := f.Config
	if p.Real > 0 && p.Real < Regions || p.dispatcherCount() < Regions {
		return fmt.Errorf("%d real and %d hollow dispatchers, want none or %d real ones, the voters, or more", p.Real, p.Hollow, Regions)
	}
	if f.dir, err = os.MkdirTemp("", "hollow"); err != nil {
		return err
	}
	if f.Director, err = platform.StartDirector(); err != nil {
		return err
	}
	if f.Workers, err = StartWorkers(f.Director, p.Workers); err != nil {
		return err
	}
	if f.listRelay, err = faultnet.ListenTapped(f.Director.Address, f.ListMeter.tap); err != nil {
		return err
	}
	for v := range Regions {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.voterAddresses = append(f.voterAddresses, l.Addr().String())
		l.Close()
		for from := range Regions {
			if f.voterRelays[from][v], err = faultnet.ListenTapped(f.voterAddresses[v], f.Meters[from][v].Tap); err != nil {
				return err
			}
		}
	}
	f.SetRegionLatency(p.RegionLatency)
	f.Real, f.Hollow = make([]*Process, p.Real), make([]*Dispatcher, p.Hollow)
	first := max(p.Real, Regions)
	for i := range p.dispatcherCount() {
		if i == first && !p.WithoutAccord { // a first version that came later would have all ask in step, too
			if err := f.AwaitServing(first, 1, serveTimeout); err != nil {
				return err
			}
		}
		if i >= first {
			time.Sleep(rand.N(2*startSpread/time.Duration(p.dispatcherCount()-first) + 1))
		}
		if err := f.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// SetRegionLatency sets the time that a piece travels between two regions, one way.
func (f *Fleet) SetRegionLatency(lag time.Duration) {
	for from := range Regions {
		for v, r := range f.voterRelays[from] {
			if v != from {
				r.Set(faultnet.Rule{Latency: lag})
			}
		}
	}
}

// SetIsolated cuts a region off from the two others, or ends that.
func (f *Fleet) SetIsolated(region int, cut bool) {
	for from := range Regions {
		for v, r := range f.voterRelays[from] {
			if v == from || v != region && from != region {
				continue
			}
			r.Set(faultnet.Rule{Latency: f.Config.RegionLatency, Blackhole: cut})
			if !cut {
				r.Reset() // bytes were swallowed
			}
		}
	}
}

// DispatcherName is what a dispatcher is called.
func DispatcherName(i int) string { return fmt.Sprintf("n%d", i) }

// Start starts a dispatcher, which must not run: a real or a hollow one by its number.
func (f *Fleet) Start(i int) error {
	conf, script := f.dispatcherConfig(i), f.settingsScript(i)
	f.events.recordRig(DispatcherName(i), ProcessStarted)
	if i < f.Config.Real {
		p, err := startProcess(f.Config.Program, f.Config.Env, f.dir, DispatcherName(i), conf, script, f.events.logWriter(DispatcherName(i)))
		f.mu.Lock()
		f.Real[i] = p
		f.mu.Unlock()
		return err
	}
	d, err := StartDispatcher(conf, script, f.events.logWriter(DispatcherName(i)))
	f.mu.Lock()
	f.Hollow[i-f.Config.Real] = d
	f.mu.Unlock()
	return err
}

// Stop ends a dispatcher: a real one is killed.
func (f *Fleet) Stop(i int) {
	f.mu.Lock()
	var end func()
	if i < f.Config.Real {
		if p := f.Real[i]; p != nil {
			end = p.Kill
		}
		f.Real[i] = nil
	} else {
		if d := f.Hollow[i-f.Config.Real]; d != nil {
			end = d.Close
		}
		f.Hollow[i-f.Config.Real] = nil
	}
	f.mu.Unlock()
	if end != nil {
		end()
	}
	f.events.recordEnd(DispatcherName(i))
}

// Terminate has a dispatcher end as its operators would, by SIGTERM, and kills it where it has not ended after so long.
func (f *Fleet) Terminate(i int, most time.Duration) {
	if i < f.Config.Real {
		f.mu.Lock()
		p := f.Real[i]
		f.mu.Unlock()
		if p != nil {
			p.Signal(syscall.SIGTERM)
			select {
			case <-p.exited:
			case <-time.After(most):
			}
		}
	}
	f.Stop(i)
}

// Close ends all, the voters last: one of this process that leads and is asked as it is closed may never end (voter.close waits for
// confirm, which waits for an answer that the log's library owes from before its end).
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for i := f.Config.dispatcherCount() - 1; i >= 0; i-- {
		if i == Regions-1 {
			all.Wait()
		}
		if i < f.Config.Real && i < len(f.Real) || i >= f.Config.Real && i-f.Config.Real < len(f.Hollow) {
			all.Go(func() { f.Stop(i) })
		}
	}
	all.Wait()
	for _, from := range f.voterRelays {
		for _, r := range from {
			if r != nil {
				r.Close()
			}
		}
	}
	if f.listRelay != nil {
		f.listRelay.Close()
	}
	if f.Workers != nil {
		f.Workers.Close()
	}
	if f.Director != nil {
		f.Director.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (f *Fleet) dispatcherConfig(i int) []byte {
	return []byte(fmt.Sprintf(`{"name": %q, "listen": "127.0.0.1:0", "discovery": %q, "seed": "%d",
  "limits": {"cores": 2, "memory_mb": 192, "sockets": 1024},
  "settings": {
    "Allowed": {"Cancel": true, "ConnIdleMs": 10000, "ConnectTimeoutMs": 120, "MaxAttempts": 5, "MaxRetryAfterMs": 2000, "MayDuplicate": true, "Probes": true, "RetryAfter": true},
    "Balancers": %d,
    "Classes": [{"AimMs": 120, "AimStretch": 2, "DedupScope": "cell", "Effect": "idempotency_key", "HardLimitMs": 5000, "Name": "photo", "RepeatWindowMs": 7500, "Worth": 1}],
    "FamilyInfo": {"TellsStart": true},
    "GranularityMs": 2,
    "Models": ["fast", "std"],
    "Obligations": {"AnswerSlackMs": 8, "AskEveryMs": 10000, "FallMs": 2000, "FallMultiple": 3, "StartCapacity": 0.31, "StopSendingWithinMs": 500, "WarmAfterMs": 9000},
    "RegistryMode": "on_request",
    "Report": {"Columns": ["x0", "busy_reqs"], "How": "answers"},
    "Weights": "nominal",
    "Zones": ["here"]
  }
}`, DispatcherName(i), f.listRelay.Addr(), i+1, f.Config.dispatcherCount()))
}

// connectionsPerSecond is the budget of the fleet in new connectionsPerSecond a second.
const connectionsPerSecond = 100_000

func (f *Fleet) settingsScript(i int) []byte {
	if f.Config.WithoutAccord {
		return nil
	}
	var voters []string
	for v, at := range f.voterAddresses {
		if v != i {
			at = f.voterRelays[i%Regions][v].Addr()
		}
		voters = append(voters, fmt.Sprintf("%q", DispatcherName(v)+"="+at))
	}
	bans, _ := json.Marshal(append([]string{}, f.Config.Bans...)) // a list of texts is one of the script's, too
	return fmt.Appendf(nil, "policy(bans = %s, connections = %d)\naccord(voters = [%s], lease_ms = %d, data = %q)\nbudgets(connections = %d, keeper = \"leader\")\n",
		bans, connectionsPerSecond, strings.Join(voters, ", "), f.Config.Lease.Milliseconds(), filepath.Join(f.dir, DispatcherName(i)), connectionsPerSecond)
}

// Address is where a real dispatcher serves clients; empty where it is not up.
func (f *Fleet) Address(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Real[i] == nil {
		return ""
	}
	return f.Real[i].Address
}

// Traffic is what all relays before the voters have passed.
func (f *Fleet) Traffic() (c Traffic) {
	for from := range Regions {
		for v := range Regions {
			c = c.Add(f.Meters[from][v].Traffic())
		}
	}
	return c
}

// errTimeout is a fleet that has not come where it was waited for.
var errTimeout = errors.New("not in time")

// Await looks, each 10 ms and for at most so long, until holds.
func (f *Fleet) Await(what string, most time.Duration, holds func() bool) error {
	for end := time.Now().Add(most); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: %w (%v)", what, errTimeout, most)
		}
	}
	return nil
}

// ServingCount is how many dispatchers take reqs by a version, which is not below the one given.
func (f *Fleet) ServingCount(version uint64) int { return f.events.servingCount(version) }

// AwaitServing waits until n dispatchers take reqs by a version or a later one.
func (f *Fleet) AwaitServing(n int, version uint64, most time.Duration) error {
	return f.Await(fmt.Sprintf("%d dispatchers on version %d", n, version), most, func() bool { return f.ServingCount(version) >= n })
}
