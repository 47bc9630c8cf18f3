// Package sim runs a scenario in virtual time: the real core and decision module of one or more dispatchers, between
// modelled clients, backends and network, without sockets and on one goroutine. The same scenario and seed give the
// same log byte for byte, and the log's hash identifies the run. The log is checked as it is written.
package sim

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tinsail/internal/balance"
	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/judge"
)

// Scenario describes a run. Times are in milliseconds from the run's start.
type Scenario struct {
	Seed        uint64
	Dispatchers int     // 0 means 1
	Length      float64 // end of the arrivals
	Rate        float64 // reqs per second over all dispatchers
	Bursts      []Burst
	// ArrivalTimes, if not nil, are the arrivals of the reqs in ms, in order, taken from a recording. They replace Rate
	// and Bursts; the work of each req is still drawn from Work and Spread.
	ArrivalTimes []float64
	Work         float64 // mean running time of a job on one core of the reference machine
	Spread       float64 // standard deviation of the logarithm of a job's work
	Aim          float64 // a req is in time if it is served within Aim + Stretch times its job's own running time
	Stretch      float64 // 0 means 2
	Deadline     float64
	Retries      int     // that a client makes after refusals and failures
	Backoff      float64 // pause before a retry, unless the answer advised a longer one
	Latency      float64 // one way, between any two processes; drawn from half to one and a half times this
	Connect      float64 // additional time for a new connection
	Report       fleet.ReportConfig
	Backends     []Backend
	Events       []Event
	// Classes, if not empty, replace Work, Spread, Aim, Stretch and Deadline.
	Classes       []Class
	Site          Site
	HeavyPeriods  []HeavyPeriod
	ListDelays    []ListDelay
	Restarts      []Restart
	Accord        Accord
	Cuts          []Cut
	PolicyChanges []PolicyChange
	Tenants       []Tenant
	Window        Window
	Regions       []Region
	Quotas        Quotas
	Partitions    []Partition
	LenderCrashes []LenderCrash
	QuotaChanges  []QuotaChange
}

// Burst multiplies the arrival rate between two times.
type Burst struct{ From, To, RateFactor float64 }

// Backend is one backend of a scenario.
type Backend struct {
	Name string
	Kind fleet.Kind
	Pod  int
	Cold bool // starts at the beginning of the run, not warmed up
	// SpeedSpread is the standard deviation of the logarithm of its speed: machines of a kind differ, by the seed.
	SpeedSpread float64
}

// EventActions are the actions that can be done to a backend; see Event.
var EventActions = []string{"kill", "start", "drain", "list", "unlist", "trouble", "ban", "lift"}

// Event is an action done to a backend at a time.
type Event struct {
	At      float64
	Backend string
	// Action is one of EventActions. drain, list and unlist have the director announce the backend as draining, ready
	// and gone; drain also starts draining the backend itself. ban and lift are operators' calls at all dispatchers.
	Action      string
	Faults      fleet.Faults
	NotifyDelay float64 // delay until the dispatchers learn of it, for drain, list and unlist
}

// SecondCounts counts the reqs that arrived in a second and the tries that ended in it. Arrived, InTime and
// EventuallyServed count reqs by their arrival, without retries; EventuallyServed are those that were served in the end,
// in time or not. Served, Refused and Failed count tries by their end.
type SecondCounts struct{ Arrived, InTime, Served, Refused, Failed, EventuallyServed int }

// ClassResult holds the outcomes of a class's reqs, without retries.
type ClassResult struct {
	Name                    string
	Reqs, InTime            int
	TotalWorth, InTimeWorth float64 // worth of all reqs and of those in time, in reqs or in work as the site counts it
	// NotInTime counts the reqs that were not in time by how their last try ended: late, unreachable (no dispatcher
	// took it), or refused, failed and lost (its dispatcher was killed), each followed by held (no attempt was sent),
	// turned away (proven not to have run), waiting (at a backend, not started) or begun.
	NotInTime map[string]int
	// GivenUpEarly of these were refused or failed by a dispatcher although no attempt of theirs can have run, and would
	// have been in time if they had started at that moment on a core of speed 1.
	GivenUpEarly int
}

// InTimeShare returns the share of the class's worth that was served in time.
func (c *ClassResult) InTimeShare() float64 {
	if c.TotalWorth == 0 {
		return 1
	}
	return c.InTimeWorth / c.TotalWorth
}

// Result is the outcome of a run.
type Result struct {
	Classes            []ClassResult
	RanTwice           int         // reqs of non-idempotent classes whose job was started twice
	Mix                balance.Mix // weights of the service figure; zero for 85% and 15%
	WholeRun           float64     // share of the worth served in time, over the whole run
	Reqs               int         // without clients' retries
	InTime             int         // of Reqs, served within the aim, on a retry too
	Served             int
	Refused            int // given up by their clients after a refusal
	Failed             int
	Unanswered         int // at the end of a run with tenants, which ends with its arrivals; 0 in other runs
	Answers            int // final answers, those to retries included
	Attempts           int
	OverloadedBackends int     // backends that went down from overload
	WorstWindow        float64 // share of the worth served in time in the worst 10 s
	Steps              int     // events processed by the run
	LogEvents          int     // events written to the log
	LogHash            uint64  // identifies the run
	Violations         []judge.Violation
	ViolationCount     int // of all violations; Violations keeps only the first ones
	Seconds            []SecondCounts
	AttemptsByBackend  map[string]int // attempts sent, by backend
	Accord             AccordResult
	Tenants            TenantsResult
	Quotas             QuotasResult
	Latency            *hdrhistogram.Histogram // of served reqs, from the first try to the answer, us
}

// InTimeShare returns the share of all reqs that were served in time.
func (r *Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Reqs, 1)) }

// ServedShare returns the share of all reqs that were served, in time or not.
func (r *Result) ServedShare() float64 { return float64(r.Served) / float64(max(r.Reqs, 1)) }

// Service returns the operators' service figure: 85% for the whole run and 15% for the worst 10 s, unless the site sets
// other weights.
func (r *Result) Service() float64 {
	if r.Mix == (balance.Mix{}) {
		return 0.85*r.InTimeShare() + 0.15*r.WorstWindow
	}
	worst := 1.0
	for i := range r.Classes {
		worst = min(worst, r.Classes[i].InTimeShare())
	}
	return r.Mix.Whole*r.WholeRun + r.Mix.WorstWindow*r.WorstWindow + r.Mix.WorstClass*worst
}

// Policy creates the decision module of a dispatcher; Module creates the real one.
type Policy func(balance.Settings, balance.Actions) (balance.Events, error)

// Module creates the real decision module.
func Module(s balance.Settings, a balance.Actions) (balance.Events, error) { return balance.New(s, a) }

// Run runs a scenario to its end with the real decision module.
func Run(sc Scenario, settings balance.Settings) (Result, error) {
	return RunWithPolicy(sc, settings, Module)
}

// RunWithPolicy runs a scenario to its end with a policy. The error reports a faulty scenario, or a run whose virtual
// time stops advancing.
func RunWithPolicy(sc Scenario, settings balance.Settings, policy Policy) (Result, error) {
	if err := sc.check(); err != nil {
		return Result{}, err
	}
	w, err := newWorld(sc, settings, policy)
	if err != nil {
		return Result{}, err
	}
	for _, d := range w.dispatchers {
		d.sendFullList(w.backendList())
	}
	for _, r := range sc.Restarts {
		w.schedule(r.At, func() { w.restart(r) })
	}
	if w.leader != nil {
		w.startAccord()
	}
	for _, e := range sc.Events {
		w.schedule(e.At, func() { w.applyEvent(e) })
	}
	var stop func()
	w.nextArrival, stop = iter.Pull(sc.Arrivals())
	defer stop()
	w.scheduleArrival()
	if w.quotas != nil {
		w.quotas.scheduleFaults()
	}
	if w.tenants != nil {
		w.tenants.startDemand()
	}
	if err := w.run(); err != nil {
		return Result{}, err
	}
	w.finish()
	return w.result, nil
}

// Bounds on a scenario: larger values are typing errors, or take longer to run than anybody waits.
const (
	maxDispatchers = 1000
	maxBackends    = 100_000
	maxReqs        = 50_000_000
)

func (sc *Scenario) check() error {
	names := map[string]bool{}
	for _, b := range sc.Backends {
		if names[b.Name] {
			return fmt.Errorf("backend %q is listed twice", b.Name)
		}
		names[b.Name] = true
	}
	actions := map[string]bool{}
	for _, action := range EventActions {
		actions[action] = true
	}
	for _, e := range sc.Events {
		switch {
		case !names[e.Backend]:
			return fmt.Errorf("event at %v ms names backend %q, which does not exist", e.At, e.Backend)
		case !actions[e.Action]:
			return fmt.Errorf("event at %v ms has action %q, want one of %q", e.At, e.Action, EventActions)
		}
	}
	maxFactor := 1.0
	for _, b := range sc.Bursts {
		maxFactor = max(maxFactor, b.RateFactor)
	}
	for _, rule := range []struct {
		invalid bool
		message string
	}{
		{len(sc.Backends) == 0 || len(sc.Backends) > maxBackends, fmt.Sprintf("%d backends, want 1 to %d", len(sc.Backends), maxBackends)},
		{sc.Dispatchers < 0 || sc.Dispatchers > maxDispatchers, fmt.Sprintf("%d dispatchers, want 1 to %d", sc.Dispatchers, maxDispatchers)},
		{!(sc.Length > 0) || math.IsInf(sc.Length, 0), fmt.Sprintf("length is %v ms, want a finite length above 0", sc.Length)},
		{len(sc.ArrivalTimes) > maxReqs, fmt.Sprintf("%d recorded arrivals, want at most %d", len(sc.ArrivalTimes), maxReqs)},
		{!slices.IsSorted(sc.ArrivalTimes), "recorded arrivals are not in time order"},
		{sc.ArrivalTimes == nil && (!(sc.Rate > 0) || sc.Rate*maxFactor*sc.Length/1000 > maxReqs), fmt.Sprintf("%v reqs per second for %v ms, want more than 0 and at most %d reqs in total", sc.Rate, sc.Length, maxReqs)},
		{!(sc.Work > 0) || !(sc.Deadline > 0), "work and deadline must be more than 0"},
	} {
		if rule.invalid {
			return fmt.Errorf("scenario: %s", rule.message)
		}
	}
	if err := sc.checkAccord(); err != nil {
		return err
	}
	if err := sc.checkSite(); err != nil {
		return err
	}
	return sc.checkQuotas()
}

// origin is the wall-clock time at the start of every run.
var origin = time.Unix(1_000_000_000, 0)
