package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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

// Regions is the number of regions of a fleet. Each region has one voter; dispatcher i is in region i modulo Regions.
const Regions = 3

// FleetConfig describes a fleet for StartFleet.
type FleetConfig struct {
	Program []string // command line of a real dispatcher up to its subcommand "serve"
	Env     []string // environment of a real dispatcher in addition to this process's

	Real          int  // dispatchers that are separate processes, including the voters; 0: the voters are hollow too
	Hollow        int  // dispatchers in this process
	WithoutAccord bool // the dispatchers run without accord and budgets

	Lease         time.Duration
	RegionLatency time.Duration // one-way latency between two regions
	Bans          []string      // banned names in the initial policy
	Workers       int           // workers in the director's list
}

func (p FleetConfig) dispatcherCount() int { return p.Real + p.Hollow }

// Fleet is a running fleet of real and hollow dispatchers, three of which are voters, with a director and workers. The
// traffic between each region and each voter passes its own relay, and so does the traffic with the director.
type Fleet struct {
	Config    FleetConfig
	Director  *platform.Director
	Workers   *Workers
	Meters    [Regions][Regions]Meter // by region of the member and voter
	ListMeter ListMeter

	dir            string
	voterAddresses []string // listen addresses, by voter
	voterRelays    [Regions][Regions]*faultnet.TCP
	listRelay      *faultnet.TCP
	eventLog       *eventLog

	mu     sync.Mutex
	Real   []*Process    // by number, nil if not running; the first three are the voters
	Hollow []*Dispatcher // dispatcher Config.Real+i at index i, nil if not running
}

// ListMeter counts the bytes between the dispatchers and the director, and the chunks in which the relay read them.
type ListMeter struct{ RequestChunks, ResponseChunks, RequestBytes, ResponseBytes atomic.Int64 }

// tap is a faultnet.Tap.
func (l *ListMeter) tap() (toTarget, toClient func([]byte)) {
	countTo := func(chunks, size *atomic.Int64) func([]byte) {
		return func(p []byte) {
			if len(p) > 0 {
				chunks.Add(1)
				size.Add(int64(len(p)))
			}
		}
	}
	return countTo(&l.RequestChunks, &l.RequestBytes), countTo(&l.ResponseChunks, &l.ResponseBytes)
}

// MaxSizeForVoterTraffic is the largest fleet in which the traffic between the voters is within a tenth of that of a
// fleet of real dispatchers. The traffic of the members' links matches at any size. Timers of one process that expire
// within the same millisecond fire together, so hollow dispatchers send their requests in bursts, and one round of
// heartbeats confirms the leader for a whole burst: a fleet of 100 had 18% fewer heartbeats than one of real
// dispatchers.
const MaxSizeForVoterTraffic = 20

// startSpread is about the time over which the starts of the hollow dispatchers are spread. Real ones take that long
// anyway. Hollow ones that all started at once would send their lease requests in step from then on, and the voters
// would confirm them together in fewer rounds than those of real ones.
const startSpread = 2 * time.Second

// StartFleet starts the director, the workers, the relays and then every dispatcher. The caller must call Close.
func StartFleet(config FleetConfig) (*Fleet, error) {
	f := &Fleet{Config: config, eventLog: newEventLog()}
	err := f.startAll()
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startAll starts the parts of the fleet. After an error, Close ends those that were started.
func (f *Fleet) startAll() (err error) {
	config := f.Config
	if config.Real > 0 && config.Real < Regions || config.dispatcherCount() < Regions {
		return fmt.Errorf("fleet of %d real and %d hollow dispatchers: want at least %d, and all %d voters real or none", config.Real, config.Hollow, Regions, Regions)
	}
	if f.dir, err = os.MkdirTemp("", "hollow"); err != nil {
		return err
	}
	if f.Director, err = platform.StartDirector(); err != nil {
		return err
	}
	if f.Workers, err = StartWorkers(f.Director, config.Workers); err != nil {
		return err
	}
	if f.listRelay, err = faultnet.ListenTapped(f.Director.Address, f.ListMeter.tap); err != nil {
		return err
	}
	for v := range Regions {
		address, err := faultnet.FreeAddress()
		if err != nil {
			return err
		}
		f.voterAddresses = append(f.voterAddresses, address)
		for from := range Regions {
			if f.voterRelays[from][v], err = faultnet.ListenTapped(f.voterAddresses[v], f.Meters[from][v].Tap); err != nil {
				return err
			}
		}
	}
	f.SetRegionLatency(config.RegionLatency)
	f.Real, f.Hollow = make([]*Process, config.Real), make([]*Dispatcher, config.Hollow)
	first := max(config.Real, Regions)
	for i := range config.dispatcherCount() {
		// If the initial policy came later, it would reach all members at once and put their lease requests in step.
		if i == first && !config.WithoutAccord {
			if err := f.AwaitServing(first, 1, serveTimeout); err != nil {
				return err
			}
		}
		if i >= first {
			time.Sleep(rand.N(2*startSpread/time.Duration(config.dispatcherCount()-first) + 1))
		}
		if err := f.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// SetRegionLatency sets the one-way latency between any two regions.
func (f *Fleet) SetRegionLatency(latency time.Duration) {
	for from := range Regions {
		for v, r := range f.voterRelays[from] {
			if v != from {
				r.Set(faultnet.Rule{Latency: latency})
			}
		}
	}
}

// SetIsolated cuts off a region from the voters of the other regions, and its voter from their dispatchers; isolated =
// false restores the connections.
func (f *Fleet) SetIsolated(region int, isolated bool) {
	for from := range Regions {
		for v, r := range f.voterRelays[from] {
			if v == from || v != region && from != region {
				continue
			}
			r.Set(faultnet.Rule{Latency: f.Config.RegionLatency, Blackhole: isolated})
			if !isolated {
				r.Reset() // the blackhole has discarded bytes of the open connections
			}
		}
	}
}

// DispatcherName returns the name of dispatcher i in its configuration and its log lines.
func DispatcherName(i int) string { return fmt.Sprintf("n%d", i) }

// Start starts dispatcher i, which must not be running: a process or a hollow one, by its number.
func (f *Fleet) Start(i int) error {
	configuration, script := f.dispatcherConfig(i), f.settingsScript(i)
	f.eventLog.recordRig(DispatcherName(i), ProcessStarted)
	if i < f.Config.Real {
		p, err := startProcess(f.Config.Program, f.Config.Env, f.dir, DispatcherName(i), configuration, script, f.eventLog.logWriter(DispatcherName(i)))
		f.mu.Lock()
		f.Real[i] = p
		f.mu.Unlock()
		return err
	}
	d, err := StartDispatcher(configuration, script, f.eventLog.logWriter(DispatcherName(i)))
	f.mu.Lock()
	f.Hollow[i-f.Config.Real] = d
	f.mu.Unlock()
	return err
}

// Stop ends dispatcher i, if it is running: a process by SIGKILL, a hollow one by Close.
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
	f.eventLog.recordEnd(DispatcherName(i))
}

// Terminate ends dispatcher i: a process by SIGTERM, as its operators would, and by SIGKILL if it is still running
// after timeout; a hollow one by Close.
func (f *Fleet) Terminate(i int, timeout time.Duration) {
	if i < f.Config.Real {
		f.mu.Lock()
		p := f.Real[i]
		f.mu.Unlock()
		if p != nil {
			p.Signal(syscall.SIGTERM)
			select {
			case <-p.exited:
			case <-time.After(timeout):
			}
		}
	}
	f.Stop(i)
}

// Close ends the dispatchers, the voters last, and then the relays, the workers and the director. The order matters for
// voters in this process: a leader that receives requests while it closes may never end, because voter.close waits for
// confirm, and confirm waits for a response that the Raft library has owed since before its shutdown.
func (f *Fleet) Close() {
	var stopping sync.WaitGroup
	for i := f.Config.dispatcherCount() - 1; i >= 0; i-- {
		if i == Regions-1 {
			stopping.Wait()
		}
		if i < f.Config.Real && i < len(f.Real) || i >= f.Config.Real && i-f.Config.Real < len(f.Hollow) {
			stopping.Go(func() { f.Stop(i) })
		}
	}
	stopping.Wait()
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

// dispatcherConfig returns the configuration file of dispatcher i.
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

// connectionsPerSecond is the budget of the fleet in new connections a second.
const connectionsPerSecond = 100_000

// settingsScript returns the settings script of dispatcher i. It reaches the other voters through the relays of its
// region, and itself, if it is a voter, directly.
func (f *Fleet) settingsScript(i int) []byte {
	if f.Config.WithoutAccord {
		return nil
	}
	var voters []string
	for v, address := range f.voterAddresses {
		if v != i {
			address = f.voterRelays[i%Regions][v].Addr()
		}
		voters = append(voters, fmt.Sprintf("%q", DispatcherName(v)+"="+address))
	}
	bans, _ := json.Marshal(append([]string{}, f.Config.Bans...)) // a JSON list of strings is also one in Starlark
	return fmt.Appendf(nil, "policy(bans = %s, connections = %d)\naccord(voters = [%s], lease_ms = %d, data = %q)\nbudgets(connections = %d, keeper = \"leader\")\n",
		bans, connectionsPerSecond, strings.Join(voters, ", "), f.Config.Lease.Milliseconds(), filepath.Join(f.dir, DispatcherName(i)), connectionsPerSecond)
}

// Address returns the address at which a real dispatcher serves clients, or "" if it is not running.
func (f *Fleet) Address(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Real[i] == nil {
		return ""
	}
	return f.Real[i].Address
}

// Traffic returns the traffic of all relays between members and voters since the start.
func (f *Fleet) Traffic() (sum Traffic) {
	for from := range Regions {
		for v := range Regions {
			sum = sum.Add(f.Meters[from][v].Traffic())
		}
	}
	return sum
}

// errTimeout is returned by Await if the condition does not hold in time.
var errTimeout = errors.New("timed out")

// Await checks condition every 10 ms until it holds, for at most timeout. description names it in the error.
func (f *Fleet) Await(description string, timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("wait for %s: %w (%v)", description, errTimeout, timeout)
		}
	}
	return nil
}

// ServingCount returns the number of dispatchers that serve by the given version of the policy or a later one.
func (f *Fleet) ServingCount(version uint64) int { return f.eventLog.servingCount(version) }

// AwaitServing waits until n dispatchers serve by the given version of the policy or a later one.
func (f *Fleet) AwaitServing(n int, version uint64, timeout time.Duration) error {
	return f.Await(fmt.Sprintf("%d dispatchers that serve by version %d", n, version), timeout, func() bool { return f.ServingCount(version) >= n })
}
