// Package sim plays a scenario in virtual time: the real core and decision module of one dispatcher or many between modelled
// clients, backends and network, without sockets and on one goroutine. The same scenario and seed
// give the same log to the byte, whose hash is the run's identity. The log is judged as it is written.
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

// Scenario is what is played. Times are milliseconds from the start.
type Scenario struct {
	Seed        uint64
	Dispatchers int     // 0 means 1
	Length      float64 // arrivals end then
	Rate        float64 // reqs a second, over all dispatchers
	Bursts      []Burst
	// ArrivalTimes, where given, are the first reqs' arrivals in ms, in order, from a recording: they stand for Rate and
	// Bursts, and works are still drawn from Work and Spread.
	ArrivalTimes []float64
	Work         float64 // mean of a job on the yardstick
	Spread       float64 // of the logarithm of a job's work
	Aim          float64 // served in time is within this and Stretch times the job's own running time
	Stretch      float64 // 0 means 2
	Deadline     float64
	Retries      int     // of a client, after a refusal or a failure
	Backoff      float64 // before a retry, where no longer pause was advised
	Latency      float64 // one way, between any two; half of it varies
	Connect      float64 // further time that a new connection takes
	Report       fleet.ReportConfig
	Backends     []Backend
	Events       []Event
	// Classes, where given, stand for Work, Spread, Aim, Stretch and Deadline.
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

// Burst multiplies the rate for a while.
type Burst struct{ From, To, RateFactor float64 }

// Backend is one machine of a scenario.
type Backend struct {
	Name string
	Kind fleet.Kind
	Pod  int
	Cold bool // starts at the beginning, and is not warm
	// SpeedSpread is the spread of the logarithm of its speed: machines of a kind differ, by the seed.
	SpeedSpread float64
}

// EventActions are what can happen to a backend; see Event.
var EventActions = []string{"kill", "start", "drain", "list", "unlist", "trouble", "ban", "lift"}

// Event is something that happens to a backend.
type Event struct {
	At      float64
	Backend string
	// Action is one of Dos. drain, list and unlist are what the director says of it: that it drains, is ready, is gone. ban and lift
	// are operators' calls at all dispatchers.
	Action      string
	Faults      fleet.Faults
	NotifyDelay float64 // for how long the dispatchers do not hear of it: drain, list and unlist
}

// SecondCounts is what became of the first reqs that came in a second, and of all answers in it. Kept are those first reqs that
// were served in the end, in time or not.
type SecondCounts struct{ Arrived, InTime, Served, Refused, Failed, EventuallyServed int }

// ClassResult is what became of a class's first reqs.
type ClassResult struct {
	Name                    string
	Reqs, InTime            int
	TotalWorth, InTimeWorth float64 // worth, in reqs or in work as the site counts it, of all and of those in time
	// NotInTime counts those that were not in time by how their last try ended: late, unreachable (no dispatcher took it),
	// or refused, failed and lost (its dispatcher was killed), each held (not sent), turned away (proven not to
	// have run), waiting (at a backend, not begun) or begun.
	NotInTime map[string]int
	// GivenUpEarly of these were refused or failed by a dispatcher though no attempt of theirs may have run, and would have been in
	// time on a core of speed 1 if they had begun then.
	GivenUpEarly int
}

// InTimeShare is the part of the class's worth that was served in time.
func (c *ClassResult) InTimeShare() float64 {
	if c.TotalWorth == 0 {
		return 1
	}
	return c.InTimeWorth / c.TotalWorth
}

// Result is what came of it.
type Result struct {
	Classes            []ClassResult
	RanTwice           int         // first reqs of classes that must not, whose job began twice
	Mix                balance.Mix // how the figures of service are put together; zero for 85% and 15%
	WholeRun           float64     // part of the worth in time
	Reqs               int         // reqs, a client's retries not counted
	InTime             int         // of First, served within the aim, retries credited
	Served             int
	Refused            int // given up by their clients after a refusal
	Failed             int
	Unanswered         int // at the end of a run with tenants, which ends with its arrivals
	Answers            int // final answers, retries' too
	Attempts           int
	OverloadedBackends int     // backends that fell over
	WorstWindow        float64 // part in time in the worst 10 s
	Steps              int     // events of the run
	LogEvents          int     // of the log
	LogHash            uint64  // of the log
	Violations         []judge.Violation
	ViolationCount     int // all, where only the first are kept
	Seconds            []SecondCounts
	JobsByBackend      map[string]int // jobs begun, by backend
	Accord             AccordResult
	Tenants            TenantsResult
	Quotas             QuotasResult
	Latency            *hdrhistogram.Histogram // of served first reqs, from the first try to the answer, us
}

// InTimeShare is the part of all first reqs that were served in time.
func (r *Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Reqs, 1)) }

// ServedShare is the part of all first reqs that were served, in time or not.
func (r *Result) ServedShare() float64 { return float64(r.Served) / float64(max(r.Reqs, 1)) }

// Service is the operators' figure: 85% of the whole run, 15% of the worst 10 s, where the site says nothing else.
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

// Policy makes a dispatcher's decisions; New is the real module's.
type Policy func(balance.Settings, balance.Actions) (balance.Events, error)

// Module is the real decision module.
func Module(s balance.Settings, a balance.Actions) (balance.Events, error) { return balance.New(s, a) }

// Run plays a scenario to its end, with the real module.
func Run(sc Scenario, settings balance.Settings) (Result, error) {
	return RunWithPolicy(sc, settings, Module)
}

// RunWithPolicy plays it with a policy. The error is the scenario's fault, or that of a run that gets nowhere.
func RunWithPolicy(sc Scenario, settings balance.Settings, p Policy) (Result, error) {
	if err := sc.check(); err != nil {
		return Result{}, err
	}
	w, err := newWorld(sc, settings, p)
	if err != nil {
		return Result{}, err
	}
	for _, s := range w.dispatchers {
		s.whole(w.list())
	}
	for _, r := range sc.Restarts {
		w.schedule(r.At, func() { w.restart(r) })
	}
	if w.leader != nil {
		w.startAccord()
	}
	for _, e := range sc.Events {
		w.schedule(e.At, func() { w.happen(e) })
	}
	var stop func()
	w.next, stop = iter.Pull(sc.Arrivals())
	defer stop()
	w.arrive()
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

// Bounds on a scenario: more is a slip of the pen, or takes longer than anybody waits.
const (
	mostDispatchers = 1000
	mostBackends    = 100_000
	mostReqs        = 50_000_000
)

func (sc *Scenario) check() error {
	names := map[string]bool{}
	for _, b := range sc.Backends {
		if names[b.Name] {
			return fmt.Errorf("backend %q stands there twice", b.Name)
		}
		names[b.Name] = true
	}
	dos := map[string]bool{}
	for _, d := range EventActions {
		dos[d] = true
	}
	for _, e := range sc.Events {
		switch {
		case !names[e.Backend]:
			return fmt.Errorf("an event at %v names backend %q, which is none", e.At, e.Backend)
		case !dos[e.Action]:
			return fmt.Errorf("an event at %v does %q, want one of %q", e.At, e.Action, EventActions)
		}
	}
	most := 1.0
	for _, b := range sc.Bursts {
		most = max(most, b.RateFactor)
	}
	for _, f := range []struct {
		bad  bool
		says string
	}{
		{len(sc.Backends) == 0 || len(sc.Backends) > mostBackends, fmt.Sprintf("%d backends, want 1 to %d", len(sc.Backends), mostBackends)},
		{sc.Dispatchers < 0 || sc.Dispatchers > mostDispatchers, fmt.Sprintf("%d dispatchers, want 1 to %d", sc.Dispatchers, mostDispatchers)},
		{!(sc.Length > 0) || math.IsInf(sc.Length, 0), fmt.Sprintf("a length of %v ms", sc.Length)},
		{len(sc.ArrivalTimes) > mostReqs, fmt.Sprintf("%d recorded arrivals, want at most %d", len(sc.ArrivalTimes), mostReqs)},
		{!slices.IsSorted(sc.ArrivalTimes), "recorded arrivals out of the order of their times"},
		{sc.ArrivalTimes == nil && (!(sc.Rate > 0) || sc.Rate*most*sc.Length/1000 > mostReqs), fmt.Sprintf("%v reqs a second for %v ms, want more than none and at most %d in all", sc.Rate, sc.Length, mostReqs)},
		{!(sc.Work > 0) || !(sc.Deadline > 0), "work and deadline must be more than 0"},
	} {
		if f.bad {
			return fmt.Errorf("scenario: %s", f.says)
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

// origin is the wall clock at the start of every run.
var origin = time.Unix(1_000_000_000, 0)
