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

// Quotas has the tenants' quotas lent in levels (docs/design/quota.md): the real Lender at the root, a real Region in each
// region, the real Desk and Holder at each dispatcher, and links between them. The zero value is a fleet without. Times
// are milliseconds.
type Quotas struct {
	Lease        float64 // of a dispatcher's units; 0: no quotas
	RegionLease  float64
	Drift        float64 // of each clock's rate, drawn: slowest, right or fastest
	MaxRunTime   float64 // the longest that a req may be in flight once it has room
	Reserve      int     // units for urgent reqs, in each region
	Latency      float64 // one way within a region; half of it varies
	RegionDelays []float64
	Loss         float64 // part of the messages that never arrive
	ElectionTime float64 // from the root's region being cut off to another leader's first word

	faultKeepUnits bool // a seeded fault for tests: a dispatcher begins by a lease until its whole length, and past it
}

// Partition is the part of a day in which regions lose each other: what is between In and the others, or only between In and To.
type Partition struct {
	At, Length    float64
	Region, Other int // To -1: all others
}

// LenderCrash is a lender that is killed, and started again with nothing but its reserve: that of a region, or the root (Region
// -1), whose next life is in region To.
type LenderCrash struct {
	At, Down           float64
	Region, NextRegion int
}

// QuotaChange is a change of a tenant's quota, in force at all lenders and dispatchers at once.
type QuotaChange struct {
	At     float64
	Tenant string
	Quota  int
}

// QuotasResult is what came of the quotas.
type QuotasResult struct {
	Requests, Responses, Polls int // of dispatchers
	InterRegionMessages        int // messages between regions
	Bytes                      int // of all messages between dispatchers and their region's lender
	InterRegionBytes           int
	// Of dispatchers and their lender, both ways, a second of the window: bytes of the one that had most, bytes and messages of all.
	MaxByteRate, MeanByteRate, MeanMessageRate float64
	UrgentGrantDelay                           *hdrhistogram.Histogram // of urgent reqs in the window: from the try to room for it, us
	StartedIsolated                            int                     // reqs that had room in a region while it was cut off from all others
	Refused                                    int                     // reqs that were out of patience before they had room
	Events                                     map[string]int
	ViolationCount                             int // begins beyond a quota, at the backends or at the dispatchers
	Violations                                 []judge.Violation
}

func (sc *Scenario) checkQuotas() error {
	q := &sc.Quotas
	if q.Lease == 0 {
		if len(sc.Partitions)+len(sc.LenderCrashes)+len(sc.QuotaChanges) > 0 {
			return fmt.Errorf("spans, crashes and changes of quotas want quotas")
		}
		return nil
	}
	n := len(sc.Regions)
	for _, s := range sc.Partitions {
		if s.Region < 0 || s.Region >= n || s.Other < -1 || s.Other >= n {
			return fmt.Errorf("region %d is cut off from %d, of %d", s.Region, s.Other, n)
		}
	}
	for _, c := range sc.LenderCrashes {
		if c.Region < -1 || c.Region >= n || c.NextRegion < 0 || c.NextRegion >= n {
			return fmt.Errorf("the lender of region %d is killed, of %d", c.Region, n)
		}
	}
	if !slices.IsSortedFunc(sc.QuotaChanges, func(a, b QuotaChange) int { return cmp.Compare(a.At, b.At) }) {
		return fmt.Errorf("changes of quotas out of the order of their times")
	}
	for _, r := range sc.QuotaChanges {
		if !slices.ContainsFunc(sc.Tenants, func(t Tenant) bool { return t.Name == r.Tenant }) {
			return fmt.Errorf("a change of the quota of tenant %q, which is none", r.Tenant)
		}
	}
	if n == 0 || len(sc.Tenants) == 0 || len(q.RegionDelays) != n*(n-1)/2 {
		return fmt.Errorf("quotas want tenants, regions and a delay for each pair of them")
	}
	if err := q.regionLeaseConfig().Check(); err != nil {
		return err
	}
	return q.dispatcherLeaseConfig().Check()
}

func (q *Quotas) regionLeaseConfig() quota.LeaseConfig {
	return quota.LeaseConfig{Lease: msToDuration(q.RegionLease), MaxRunTime: msToDuration(q.MaxRunTime), Drift: q.Drift}
}

func (q *Quotas) dispatcherLeaseConfig() quota.LeaseConfig {
	return quota.LeaseConfig{Lease: msToDuration(q.Lease), MaxRunTime: msToDuration(q.MaxRunTime), Drift: q.Drift}
}

// quotaSimulation is all of it in a run.
type quotaSimulation struct {
	w                  *world
	config             Quotas
	random             *rand.Rand
	epochs             uint64
	root               *rootLender
	regions            []*regionLender
	current            map[string]int             // the quotas in force
	urgentClass        []bool                     // by class
	backendChecker     judge.QuotaChecker         // what runs at backends
	dispatcherChecker  judge.QuotaChecker         // what is in flight at dispatchers
	dispatcherMessages int                        // of all dispatchers, in the window
	inFlight           map[string]*tenantInFlight // by tenant
	dispatcherBytes    []int                      // of each dispatcher, in the window
}

// processClock is a process's own, with the event that is set for its next turn.
type processClock struct {
	rate   float64
	wakeAt float64
}

func (c *processClock) now(w *world) quota.Time { return quota.Time(w.now * 1e6 * c.rate) }

// schedule sets an event for a time of the clock, unless one is set for an earlier one.
func (c *processClock) schedule(w *world, next quota.Time, turn func()) {
	if next == quota.Never {
		return
	}
	// Rounded up: an event that came a hair too early would set itself again and again.
	at := max(float64(next)/1e6/c.rate, w.now) + 0.01
	if at >= c.wakeAt {
		return
	}
	c.wakeAt = at
	w.at(at, func() {
		if c.wakeAt == at {
			c.wakeAt = math.Inf(1)
			turn()
		}
	})
}

func (q *quotaSimulation) newClock() processClock {
	return processClock{rate: 1 + q.config.Drift*float64(q.random.IntN(3)-1), wakeAt: math.Inf(1)}
}

func (q *quotaSimulation) nextEpoch() uint64 { q.epochs++; return q.epochs }

func newQuotas(w *world) (*quotaSimulation, error) {
	q := &quotaSimulation{w: w, config: w.sc.Quotas, random: fleet.RandomStream(w.sc.Seed, "quotas"), current: map[string]int{}, inFlight: map[string]*tenantInFlight{}, dispatcherBytes: make([]int, max(w.sc.Dispatchers, 1))}
	// A region that is cut off hears of no change, and may begin by what it holds until its lease and one of its own are over.
	grace := (q.config.RegionLease + q.config.Lease) * (1 + q.config.Drift) / (1 - q.config.Drift)
	q.backendChecker = judge.QuotaChecker{Reserve: q.config.Reserve * len(w.sc.Regions), LoweringGrace: grace}
	q.dispatcherChecker = q.backendChecker
	for _, t := range w.sc.Tenants {
		q.setQuota(t.Name, t.Quota)
	}
	for _, c := range w.classes {
		q.urgentClass = append(q.urgentClass, c.Urgent)
	}
	w.res.Quotas.Events = map[string]int{}
	w.res.Quotas.UrgentGrantDelay = hdrhistogram.New(1, 100_000_000_000, 3)
	for i := range w.sc.Regions {
		q.regions = append(q.regions, &regionLender{q: q, index: i})
		if err := q.regions[i].start(); err != nil {
			return nil, err
		}
	}
	return q, q.elect(0, true)
}

func (q *quotaSimulation) setQuota(name string, units int) {
	q.current[name] = units
	q.backendChecker.SetQuota(q.w.now, name, units)
	q.dispatcherChecker.SetQuota(q.w.now, name, units)
}

// accounts are those that have a quota, by name.
func (q *quotaSimulation) accounts() []string {
	var out []string
	for _, t := range q.w.sc.Tenants {
		out = append(out, t.Name)
	}
	if q.config.Reserve > 0 {
		out = append(out, quota.ReserveAccount)
	}
	slices.Sort(out)
	return out
}

// delay is the delay between two regions, one way.
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

func (q *quotaSimulation) partitioned(a, b int) bool {
	for _, s := range q.w.sc.Partitions {
		if a != b && q.w.now >= s.At && q.w.now < s.At+s.Length &&
			(s.Other < 0 && (a == s.Region || b == s.Region) || s.Other >= 0 && (a == s.Region && b == s.Other || a == s.Other && b == s.Region)) {
			return true
		}
	}
	return false
}

// isolated says whether a region is cut off from all others.
func (q *quotaSimulation) isolated(region int) bool {
	for i := range q.regions {
		if i != region && !q.partitioned(i, region) {
			return false
		}
	}
	return len(q.regions) > 1
}

// send has a message between two regions, or within one, arrive, or not.
func (q *quotaSimulation) send(a, b int, arrive func()) {
	w := q.w
	if q.random.Float64() < q.config.Loss || q.partitioned(a, b) {
		return
	}
	w.at(w.now+q.delay(a, b)*(0.75+0.5*q.random.Float64()), func() {
		if !q.partitioned(a, b) {
			arrive()
		}
	})
}

// rootLender is the root: the accord's leader.
type rootLender struct {
	processClock
	q      *quotaSimulation
	lender *quota.Lender
	region int
	dead   bool
}

// elect starts a life of the root in a region; the one before may grant nothing from then on.
func (q *quotaSimulation) elect(region int, first bool) error {
	if q.root != nil {
		q.root.dead = true
	}
	r := &rootLender{processClock: q.newClock(), q: q, region: region}
	var known []string
	for _, g := range q.w.sc.Regions {
		known = append(known, g.Name)
	}
	var err error
	r.lender, err = quota.NewLender(q.config.regionLeaseConfig(), q.nextEpoch(), r.now(q.w), quota.LenderOptions{Preallocate: true, Children: known, SkipRecovery: first})
	if err != nil {
		return err
	}
	for _, a := range q.accounts() {
		if a != quota.ReserveAccount {
			r.lender.SetCapacity(r.now(q.w), a, q.current[a])
		}
	}
	q.root = r
	r.step()
	return nil
}

// handleRequest answers a region's ask, once another voter has confirmed by a round trip that this one leads.
func (r *rootLender) handleRequest(g *regionLender, a quota.LeaseRequest) {
	q, nearest := r.q, -1
	for i := range q.regions {
		if i != r.region && !q.partitioned(i, r.region) && (nearest < 0 || q.delay(i, r.region) < q.delay(nearest, r.region)) {
			nearest = i
		}
	}
	if r.dead || nearest < 0 && len(q.regions) > 1 {
		return
	}
	confirm := func() {
		if r.dead {
			return
		}
		if answer, ok := r.lender.Handle(r.now(q.w), a); ok {
			q.countInterRegionMessage(responseSize(answer))
			q.send(r.region, g.index, func() { g.handleResponse(answer) })
		}
		r.step()
	}
	if nearest < 0 {
		confirm()
		return
	}
	q.send(r.region, nearest, func() { q.send(nearest, r.region, confirm) })
}

func (r *rootLender) step() {
	if r.dead {
		return
	}
	q := r.q
	r.lender.Tick(r.now(q.w))
	for _, name := range r.lender.TakePolls() {
		g := q.regions[slices.IndexFunc(q.w.sc.Regions, func(x Region) bool { return x.Name == name })]
		q.countInterRegionMessage(pollSize)
		q.send(r.region, g.index, func() {
			if !g.dead {
				g.lender.HandlePoll()
				g.step()
			}
		})
	}
	q.countEvents("root ", r.lender.TakeEvents())
	r.schedule(q.w, r.lender.NextTick(), r.step)
}

func (q *quotaSimulation) countInterRegionMessage(bytes int) {
	q.w.res.Quotas.InterRegionMessages++
	q.w.res.Quotas.InterRegionBytes += bytes
}

func (q *quotaSimulation) countEvents(level string, list []quota.Event) {
	for _, n := range list {
		q.w.res.Quotas.Events[level+n.Step]++
	}
}

// regionLender is a region's lender.
type regionLender struct {
	processClock
	q      *quotaSimulation
	index  int
	lender *quota.RegionLender
	dead   bool
}

func (g *regionLender) start() (err error) {
	q := g.q
	g.processClock, g.dead = q.newClock(), false
	g.lender, err = quota.NewRegionLender(q.config.regionLeaseConfig(), q.config.dispatcherLeaseConfig(), q.w.sc.Regions[g.index].Name, q.nextEpoch(), g.now(q.w))
	if err == nil {
		if q.root == nil { // the run's first lives
			g.lender.SkipRecovery(g.now(q.w))
		}
		g.lender.SetReserve(g.now(q.w), q.config.Reserve)
		q.w.at(q.w.now, g.step)
	}
	return err
}

func (g *regionLender) handleResponse(a quota.LeaseResponse) {
	if !g.dead {
		g.lender.HandleResponse(g.now(g.q.w), a)
		g.step()
	}
}

// handleRequest answers a dispatcher's ask.
func (g *regionLender) handleRequest(d *dispatcherQuotas, a quota.LeaseRequest) {
	if g.dead {
		return
	}
	q := g.q
	if answer, ok := g.lender.Handle(g.now(q.w), a); ok {
		q.w.res.Quotas.Responses++
		q.countDispatcherMessage(d.side.at, responseSize(answer))
		q.send(g.index, g.index, func() { d.handleResponse(answer) })
	}
	g.step()
}

func (g *regionLender) step() {
	if g.dead {
		return
	}
	q := g.q
	g.lender.Tick(g.now(q.w))
	if a, ok := g.lender.NextRequest(g.now(q.w)); ok {
		q.countInterRegionMessage(requestSize(a))
		root := q.root
		q.send(g.index, root.region, func() { root.handleRequest(g, a) })
	}
	for _, name := range g.lender.TakePolls() {
		node := 0
		_, _ = fmt.Sscanf(name, "n%d", &node)
		q.w.res.Quotas.Polls++
		q.countDispatcherMessage(node, pollSize)
		q.send(g.index, g.index, func() {
			if d := q.w.sides[node].quotas; !d.side.dead {
				d.holder.HandlePoll()
				d.step()
			}
		})
	}
	q.countEvents("region ", g.lender.TakeEvents())
	g.schedule(q.w, g.lender.NextTick(), g.step)
}

// countDispatcherMessage counts the bytes of a message between a dispatcher and its region's lender.
func (q *quotaSimulation) countDispatcherMessage(node, bytes int) {
	q.w.res.Quotas.Bytes += bytes
	if q.w.tenants.inWindow(q.w.now) {
		q.dispatcherBytes[node] += bytes
		q.dispatcherMessages++
	}
}

// scheduleFaults sets the events of the day: leaders that are cut off and replaced, lenders that are killed, changes of quotas.
func (q *quotaSimulation) scheduleFaults() {
	w := q.w
	for _, s := range w.sc.Partitions {
		w.at(s.At+q.config.ElectionTime, func() {
			if s.Other < 0 && q.root.region == s.Region && w.now < s.At+s.Length {
				q.panicOnError(q.elect((s.Region+1)%len(q.regions), false))
			}
		})
	}
	for _, c := range w.sc.LenderCrashes {
		w.at(c.At, func() {
			if c.Region < 0 {
				q.root.dead = true
				w.at(w.now+c.Down, func() { q.panicOnError(q.elect(c.NextRegion, false)) })
				return
			}
			g := q.regions[c.Region]
			g.dead = true
			w.at(w.now+c.Down, func() { q.panicOnError(g.start()) })
		})
	}
	for _, r := range w.sc.QuotaChanges {
		w.at(r.At, func() {
			q.setQuota(r.Tenant, r.Quota)
			if !q.root.dead {
				q.root.lender.SetCapacity(q.root.now(w), r.Tenant, r.Quota)
				q.root.step()
			}
		})
	}
}

// panicOnError is for what the scenario's check has found sound.
func (q *quotaSimulation) panicOnError(err error) {
	if err != nil {
		panic(err)
	}
}

func (q *quotaSimulation) finish() {
	for i := range q.w.res.Tenants.ByTenant {
		e, win := &q.w.res.Tenants.ByTenant[i], &q.w.sc.Window
		q.countInFlight(e.Name, false, 0)
		e.InFlight = q.inFlight[e.Name].sum / (win.To - win.From)
	}
	r := &q.w.res.Quotas
	r.ViolationCount = q.backendChecker.Count() + q.dispatcherChecker.Count()
	r.Violations = append(q.backendChecker.Violations(), q.dispatcherChecker.Violations()...)
	win := &q.w.sc.Window
	s, n := (win.To-win.From)/1000, float64(len(q.dispatcherBytes))
	sum := 0
	for _, b := range q.dispatcherBytes {
		sum += b
	}
	r.MaxByteRate, r.MeanByteRate, r.MeanMessageRate = float64(slices.Max(q.dispatcherBytes))/s, float64(sum)/s/n, float64(q.dispatcherMessages)/s/n
}

// What messages cost, as the codec writes them.
var pollSize = len(wire.EncodePoll("v1"))

func requestSize(a quota.LeaseRequest) int {
	return len(wire.EncodeLeaseRequest(wire.LeaseRequest{To: "v1", LeaseRequest: a}))
}

func responseSize(a quota.LeaseResponse) int {
	return len(wire.EncodeLeaseResponse(wire.LeaseResponse{From: "v1", LeaseResponse: a}))
}
