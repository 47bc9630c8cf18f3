package sim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/judge"
)

// Quotas enables the lending of tenants' quotas in levels (docs/design/quota.md), with a real quota.Lender at the
// root, a real quota.RegionLender in each region, a real quota.Limiter and quota.Holder in each dispatcher, and
// simulated links between them. The zero value is a fleet without quotas. Times are milliseconds.
type Quotas struct {
	Lease        float64   // of the units lent to a dispatcher; 0 means no quotas
	RegionLease  float64   // of the units lent to a region
	Drift        float64   // maximum error of a clock's rate; each clock is drawn to be slowest, exact or fastest
	MaxRunTime   float64   // the longest time that a req may be in flight once it has a unit
	Reserve      int       // units for urgent reqs in each region
	Latency      float64   // mean one-way delay within a region; each message takes 0.75 to 1.25 times the mean
	RegionDelays []float64 // like Latency, for each pair of regions: first with second, first with third, and so on
	Loss         float64   // share of the messages that are lost
	ElectionTime float64   // from the isolation of the root's region until another leader starts

	faultKeepUnits bool // a fault injected by tests: a dispatcher starts reqs with units whose lease has ended or that it has returned
}

// Partition drops all messages between a region and another one, or all others, for some time.
type Partition struct {
	At, Length    float64
	Region, Other int // Other is -1 for all other regions
}

// LenderCrash kills a lender and starts it again after the time Down, without any state but its reserve. It is the
// lender of a region, or the root if Region is -1. The next incarnation of the root is in NextRegion.
type LenderCrash struct {
	At, Down           float64
	Region, NextRegion int
}

// QuotaChange changes a tenant's quota at all lenders and dispatchers at once.
type QuotaChange struct {
	At     float64
	Tenant string
	Quota  int
}

// QuotasResult is what a run measured about quotas.
type QuotasResult struct {
	Requests, Responses, Polls int // between dispatchers and their region's lender
	InterRegionMessages        int // sent between regions
	Bytes                      int // of all messages between dispatchers and their region's lender
	InterRegionBytes           int // of the messages between regions
	// Traffic between a dispatcher and its lender in both directions, per second of the window: the bytes of the
	// dispatcher with most, and the mean bytes and messages of all dispatchers.
	MaxByteRate, MeanByteRate, MeanMessageRate float64
	UrgentGrantDelay                           *hdrhistogram.Histogram // of urgent reqs in the window: from the try to its unit, us
	StartedIsolated                            int                     // reqs that got a unit in a region while it was cut off from all others
	Refused                                    int                     // reqs that got no unit before their deadline
	Events                                     map[string]int          // events of the lenders, by level and step
	ViolationCount                             int                     // starts beyond a quota, seen at the backends or at the dispatchers
	Violations                                 []judge.Violation       // the first hundred of each
}

func (sc *Scenario) checkQuotas() error {
	q := &sc.Quotas
	if q.Lease == 0 {
		if len(sc.Partitions)+len(sc.LenderCrashes)+len(sc.QuotaChanges) > 0 {
			return fmt.Errorf("partitions, lender crashes and quota changes require quotas")
		}
		return nil
	}
	n := len(sc.Regions)
	for _, p := range sc.Partitions {
		if p.Region < 0 || p.Region >= n || p.Other < -1 || p.Other >= n {
			return fmt.Errorf("a partition separates region %d from %d, but there are only %d regions", p.Region, p.Other, n)
		}
	}
	for _, c := range sc.LenderCrashes {
		if c.Region < -1 || c.Region >= n || c.NextRegion < 0 || c.NextRegion >= n {
			return fmt.Errorf("a lender crash names region %d and next region %d, but there are only %d regions", c.Region, c.NextRegion, n)
		}
	}
	if !slices.IsSortedFunc(sc.QuotaChanges, func(a, b QuotaChange) int { return cmp.Compare(a.At, b.At) }) {
		return fmt.Errorf("quota changes are not in order of time")
	}
	for _, c := range sc.QuotaChanges {
		if !slices.ContainsFunc(sc.Tenants, func(t Tenant) bool { return t.Name == c.Tenant }) {
			return fmt.Errorf("a quota change names tenant %q, which does not exist", c.Tenant)
		}
	}
	if n == 0 || len(sc.Tenants) == 0 || len(q.RegionDelays) != n*(n-1)/2 {
		return fmt.Errorf("quotas require tenants, regions and one delay for each pair of regions")
	}
	if err := q.regionLeaseConfig().Check(); err != nil {
		return err
	}
	return q.dispatcherLeaseConfig().Check()
}

// regionLeaseConfig returns the leases between the root and the regions.
func (q *Quotas) regionLeaseConfig() quota.LeaseConfig {
	return quota.LeaseConfig{Lease: msToDuration(q.RegionLease), MaxRunTime: msToDuration(q.MaxRunTime), Drift: q.Drift}
}

// dispatcherLeaseConfig returns the leases between a region and its dispatchers.
func (q *Quotas) dispatcherLeaseConfig() quota.LeaseConfig {
	return quota.LeaseConfig{Lease: msToDuration(q.Lease), MaxRunTime: msToDuration(q.MaxRunTime), Drift: q.Drift}
}

// quotaSimulation is the lenders of a run, the links between them, and what is measured.
type quotaSimulation struct {
	world              *world
	config             Quotas
	random             *rand.Rand
	epochs             uint64 // the last epoch given to an incarnation
	root               *rootLender
	regions            []*regionLender
	current            map[string]int             // the quotas in force
	urgentClass        []bool                     // by index of the class
	backendChecker     judge.QuotaChecker         // of the reqs that run at backends
	dispatcherChecker  judge.QuotaChecker         // of the reqs that are in flight at dispatchers
	dispatcherMessages int                        // of all dispatchers in the window
	inFlight           map[string]*tenantInFlight // by tenant
	dispatcherBytes    []int                      // of each dispatcher in the window
}

// processClock is the clock of a process, and the time at which its next step is scheduled.
type processClock struct {
	rate   float64
	wakeAt float64 // in simulated time, ms; +Inf if no step is scheduled
}

func (c *processClock) now(w *world) quota.Time { return quota.Time(w.now * 1e6 * c.rate) }

// schedule schedules a step for a time by the clock, unless one is scheduled that is not later.
func (c *processClock) schedule(w *world, next quota.Time, step func()) {
	if next == quota.Never {
		return
	}
	// Rounded up: a step slightly before its time would find nothing due and schedule itself again and again.
	at := max(float64(next)/1e6/c.rate, w.now) + 0.01
	if at >= c.wakeAt {
		return
	}
	c.wakeAt = at
	w.schedule(at, func() {
		if c.wakeAt == at {
			c.wakeAt = math.Inf(1)
			step()
		}
	})
}

// newClock returns a clock with a random rate.
func (q *quotaSimulation) newClock() processClock {
	return processClock{rate: 1 + q.config.Drift*float64(q.random.IntN(3)-1), wakeAt: math.Inf(1)}
}

func (q *quotaSimulation) nextEpoch() uint64 { q.epochs++; return q.epochs }

func newQuotaSimulation(w *world) (*quotaSimulation, error) {
	q := &quotaSimulation{world: w, config: w.scenario.Quotas, random: fleet.RandomStream(w.scenario.Seed, "quotas"), current: map[string]int{}, inFlight: map[string]*tenantInFlight{}, dispatcherBytes: make([]int, max(w.scenario.Dispatchers, 1))}
	// A region that is cut off does not learn of a lowered quota. Reqs may start with the units it holds until its
	// lease and then a lease that it granted to a dispatcher have ended.
	grace := (q.config.RegionLease + q.config.Lease) * (1 + q.config.Drift) / (1 - q.config.Drift)
	q.backendChecker = judge.QuotaChecker{Reserve: q.config.Reserve * len(w.scenario.Regions), LoweringGrace: grace}
	q.dispatcherChecker = q.backendChecker
	for _, t := range w.scenario.Tenants {
		q.setQuota(t.Name, t.Quota)
	}
	for _, c := range w.classes {
		q.urgentClass = append(q.urgentClass, c.Urgent)
	}
	w.result.Quotas.Events = map[string]int{}
	w.result.Quotas.UrgentGrantDelay = hdrhistogram.New(1, 100_000_000_000, 3)
	for i := range w.scenario.Regions {
		q.regions = append(q.regions, &regionLender{simulation: q, index: i})
		if err := q.regions[i].start(); err != nil {
			return nil, err
		}
	}
	return q, q.elect(0, true)
}

// setQuota sets the quota that is in force from now on, also for the checkers.
func (q *quotaSimulation) setQuota(name string, units int) {
	q.current[name] = units
	q.backendChecker.SetQuota(q.world.now, name, units)
	q.dispatcherChecker.SetQuota(q.world.now, name, units)
}

// accounts returns the accounts that have a quota, sorted by name.
func (q *quotaSimulation) accounts() []string {
	var out []string
	for _, t := range q.world.scenario.Tenants {
		out = append(out, t.Name)
	}
	if q.config.Reserve > 0 {
		out = append(out, quota.ReserveAccount)
	}
	slices.Sort(out)
	return out
}

// delay returns the mean one-way delay between two regions, or within one.
func (q *quotaSimulation) delay(a, b int) float64 {
	if a == b {
		return q.config.Latency
	}
	if a > b {
		a, b = b, a
	}
	n := len(q.regions)
	return q.config.RegionDelays[a*n-a*(a+1)/2+b-a-1]
}

// partitioned reports whether two regions are cut off from each other now.
func (q *quotaSimulation) partitioned(a, b int) bool {
	for _, p := range q.world.scenario.Partitions {
		if a != b && q.world.now >= p.At && q.world.now < p.At+p.Length &&
			(p.Other < 0 && (a == p.Region || b == p.Region) || p.Other >= 0 && (a == p.Region && b == p.Other || a == p.Other && b == p.Region)) {
			return true
		}
	}
	return false
}

// isolated reports whether a region is cut off from all others now.
func (q *quotaSimulation) isolated(region int) bool {
	for i := range q.regions {
		if i != region && !q.partitioned(i, region) {
			return false
		}
	}
	return len(q.regions) > 1
}

// send delivers a message between two regions, or within one, after a random delay, unless it is lost.
func (q *quotaSimulation) send(a, b int, deliver func()) {
	w := q.world
	if q.random.Float64() < q.config.Loss || q.partitioned(a, b) {
		return
	}
	w.schedule(w.now+q.delay(a, b)*(0.75+0.5*q.random.Float64()), func() {
		if !q.partitioned(a, b) {
			deliver()
		}
	})
}

func (q *quotaSimulation) countInterRegionMessage(bytes int) {
	q.world.result.Quotas.InterRegionMessages++
	q.world.result.Quotas.InterRegionBytes += bytes
}

// countEvents counts events of a lender by its level and the step that they report.
func (q *quotaSimulation) countEvents(level string, events []quota.Event) {
	for _, event := range events {
		q.world.result.Quotas.Events[level+event.Step]++
	}
}

// countDispatcherMessage counts a message between a dispatcher and its region's lender.
func (q *quotaSimulation) countDispatcherMessage(dispatcher, bytes int) {
	q.world.result.Quotas.Bytes += bytes
	if q.world.tenants.inWindow(q.world.now) {
		q.dispatcherBytes[dispatcher] += bytes
		q.dispatcherMessages++
	}
}

// scheduleFaults schedules the events of the scenario: replacements of a root that is cut off, crashes of lenders,
// and quota changes. Partitions need no events, as send looks them up.
func (q *quotaSimulation) scheduleFaults() {
	w := q.world
	for _, p := range w.scenario.Partitions {
		w.schedule(p.At+q.config.ElectionTime, func() {
			if p.Other < 0 && q.root.region == p.Region && w.now < p.At+p.Length {
				q.panicOnError(q.elect((p.Region+1)%len(q.regions), false))
			}
		})
	}
	for _, c := range w.scenario.LenderCrashes {
		w.schedule(c.At, func() {
			if c.Region < 0 {
				q.root.dead = true
				w.schedule(w.now+c.Down, func() { q.panicOnError(q.elect(c.NextRegion, false)) })
				return
			}
			l := q.regions[c.Region]
			l.dead = true
			w.schedule(w.now+c.Down, func() { q.panicOnError(l.start()) })
		})
	}
	for _, c := range w.scenario.QuotaChanges {
		w.schedule(c.At, func() {
			q.setQuota(c.Tenant, c.Quota)
			if !q.root.dead {
				q.root.lender.SetCapacity(q.root.now(w), c.Tenant, c.Quota)
				q.root.step()
			}
		})
	}
}

// panicOnError panics on errors that cannot happen because Scenario.check accepted the configuration.
func (q *quotaSimulation) panicOnError(err error) {
	if err != nil {
		panic(err)
	}
}

func (q *quotaSimulation) finish() {
	for i := range q.world.result.Tenants.ByTenant {
		result, window := &q.world.result.Tenants.ByTenant[i], &q.world.scenario.Window
		q.countInFlight(result.Name, false, 0)
		result.InFlight = q.inFlight[result.Name].sum / (window.To - window.From)
	}
	r := &q.world.result.Quotas
	r.ViolationCount = q.backendChecker.Count() + q.dispatcherChecker.Count()
	r.Violations = append(q.backendChecker.Violations(), q.dispatcherChecker.Violations()...)
	window := &q.world.scenario.Window
	seconds, dispatchers := (window.To-window.From)/1000, float64(len(q.dispatcherBytes))
	totalBytes := 0
	for _, b := range q.dispatcherBytes {
		totalBytes += b
	}
	r.MaxByteRate, r.MeanByteRate, r.MeanMessageRate = float64(slices.Max(q.dispatcherBytes))/seconds, float64(totalBytes)/seconds/dispatchers, float64(q.dispatcherMessages)/seconds/dispatchers
}

// pollSize is the encoded size of a poll.
var pollSize = len(wire.EncodePoll("v1"))

// requestSize returns the encoded size of a lease request.
func requestSize(request quota.LeaseRequest) int {
	return len(wire.EncodeLeaseRequest(wire.LeaseRequest{To: "v1", LeaseRequest: request}))
}

// responseSize returns the encoded size of a response.
func responseSize(response quota.LeaseResponse) int {
	return len(wire.EncodeLeaseResponse(wire.LeaseResponse{From: "v1", LeaseResponse: response}))
}
