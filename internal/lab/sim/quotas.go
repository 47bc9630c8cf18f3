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
	if err := q.up().Check(); err != nil {
		return err
	}
	return q.down().Check()
}

func (q *Quotas) up() quota.LeaseConfig {
	return quota.LeaseConfig{Lease: msToDuration(q.RegionLease), MaxRunTime: msToDuration(q.MaxRunTime), Drift: q.Drift}
}

func (q *Quotas) down() quota.LeaseConfig {
	return quota.LeaseConfig{Lease: msToDuration(q.Lease), MaxRunTime: msToDuration(q.MaxRunTime), Drift: q.Drift}
}

// quotaSimulation is all of it in a run.
type quotaSimulation struct {
	w        *world
	set      Quotas
	chance   *rand.Rand
	lives    uint64
	root     *rootAt
	regions  []*regionAt
	now      map[string]int       // the quotas in force
	urgent   []bool               // by class
	at       judge.QuotaChecker   // what runs at backends
	flight   judge.QuotaChecker   // what is in flight at dispatchers
	messages int                  // of all dispatchers, in the window
	mean     map[string]*inFlight // by tenant
	bytes    []int                // of each dispatcher, in the window
}

// clock is a process's own, with the event that is set for its next turn.
type clock struct {
	rate float64
	wake float64
}

func (c *clock) now(w *world) quota.Time { return quota.Time(w.now * 1e6 * c.rate) }

// again sets an event for a time of the clock, unless one is set for an earlier one.
func (c *clock) again(w *world, next quota.Time, turn func()) {
	if next == quota.Never {
		return
	}
	// Rounded up: an event that came a hair too early would set itself again and again.
	at := max(float64(next)/1e6/c.rate, w.now) + 0.01
	if at >= c.wake {
		return
	}
	c.wake = at
	w.at(at, func() {
		if c.wake == at {
			c.wake = math.Inf(1)
			turn()
		}
	})
}

func (q *quotaSimulation) clock() clock {
	return clock{rate: 1 + q.set.Drift*float64(q.chance.IntN(3)-1), wake: math.Inf(1)}
}

func (q *quotaSimulation) life() uint64 { q.lives++; return q.lives }

func newQuotas(w *world) (*quotaSimulation, error) {
	q := &quotaSimulation{w: w, set: w.sc.Quotas, chance: fleet.RandomStream(w.sc.Seed, "quotas"), now: map[string]int{}, mean: map[string]*inFlight{}, bytes: make([]int, max(w.sc.Dispatchers, 1))}
	// A region that is cut off hears of no change, and may begin by what it holds until its lease and one of its own are over.
	grace := (q.set.RegionLease + q.set.Lease) * (1 + q.set.Drift) / (1 - q.set.Drift)
	q.at = judge.QuotaChecker{Reserve: q.set.Reserve * len(w.sc.Regions), LoweringGrace: grace}
	q.flight = q.at
	for _, t := range w.sc.Tenants {
		q.decide(t.Name, t.Quota)
	}
	for _, c := range w.classes {
		q.urgent = append(q.urgent, c.Urgent)
	}
	w.res.Quotas.Events = map[string]int{}
	w.res.Quotas.UrgentGrantDelay = hdrhistogram.New(1, 100_000_000_000, 3)
	for i := range w.sc.Regions {
		q.regions = append(q.regions, &regionAt{q: q, at: i})
		if err := q.regions[i].start(); err != nil {
			return nil, err
		}
	}
	return q, q.elect(0, true)
}

func (q *quotaSimulation) decide(name string, units int) {
	q.now[name] = units
	q.at.SetQuota(q.w.now, name, units)
	q.flight.SetQuota(q.w.now, name, units)
}

// accounts are those that have a quota, by name.
func (q *quotaSimulation) accounts() []string {
	var out []string
	for _, t := range q.w.sc.Tenants {
		out = append(out, t.Name)
	}
	if q.set.Reserve > 0 {
		out = append(out, quota.ReserveAccount)
	}
	slices.Sort(out)
	return out
}

// far is the delay between two regions, one way.
func (q *quotaSimulation) far(a, b int) float64 {
	if a == b {
		return q.set.Latency
	}
	if a > b {
		a, b = b, a
	}
	n := len(q.regions)
	return q.set.RegionDelays[a*n-a*(a+1)/2+b-a-1]
}

func (q *quotaSimulation) severed(a, b int) bool {
	for _, s := range q.w.sc.Partitions {
		if a != b && q.w.now >= s.At && q.w.now < s.At+s.Length &&
			(s.Other < 0 && (a == s.Region || b == s.Region) || s.Other >= 0 && (a == s.Region && b == s.Other || a == s.Other && b == s.Region)) {
			return true
		}
	}
	return false
}

// alone says whether a region is cut off from all others.
func (q *quotaSimulation) alone(region int) bool {
	for i := range q.regions {
		if i != region && !q.severed(i, region) {
			return false
		}
	}
	return len(q.regions) > 1
}

// carry has a message between two regions, or within one, arrive, or not.
func (q *quotaSimulation) carry(a, b int, arrive func()) {
	w := q.w
	if q.chance.Float64() < q.set.Loss || q.severed(a, b) {
		return
	}
	w.at(w.now+q.far(a, b)*(0.75+0.5*q.chance.Float64()), func() {
		if !q.severed(a, b) {
			arrive()
		}
	})
}

// rootAt is the root: the accord's leader.
type rootAt struct {
	clock
	q      *quotaSimulation
	lender *quota.Lender
	region int
	gone   bool
}

// elect starts a life of the root in a region; the one before may grant nothing from then on.
func (q *quotaSimulation) elect(region int, first bool) error {
	if q.root != nil {
		q.root.gone = true
	}
	r := &rootAt{clock: q.clock(), q: q, region: region}
	var known []string
	for _, g := range q.w.sc.Regions {
		known = append(known, g.Name)
	}
	var err error
	r.lender, err = quota.NewLender(q.set.up(), q.life(), r.now(q.w), quota.LenderOptions{Preallocate: true, Children: known, SkipRecovery: first})
	if err != nil {
		return err
	}
	for _, a := range q.accounts() {
		if a != quota.ReserveAccount {
			r.lender.SetCapacity(r.now(q.w), a, q.now[a])
		}
	}
	q.root = r
	r.turn()
	return nil
}

// take answers a region's ask, once another voter has confirmed by a round trip that this one leads.
func (r *rootAt) take(g *regionAt, a quota.LeaseRequest) {
	q, nearest := r.q, -1
	for i := range q.regions {
		if i != r.region && !q.severed(i, r.region) && (nearest < 0 || q.far(i, r.region) < q.far(nearest, r.region)) {
			nearest = i
		}
	}
	if r.gone || nearest < 0 && len(q.regions) > 1 {
		return
	}
	confirm := func() {
		if r.gone {
			return
		}
		if answer, ok := r.lender.Handle(r.now(q.w), a); ok {
			q.far2(sizeOfAnswer(answer))
			q.carry(r.region, g.at, func() { g.answered(answer) })
		}
		r.turn()
	}
	if nearest < 0 {
		confirm()
		return
	}
	q.carry(r.region, nearest, func() { q.carry(nearest, r.region, confirm) })
}

func (r *rootAt) turn() {
	if r.gone {
		return
	}
	q := r.q
	r.lender.Tick(r.now(q.w))
	for _, name := range r.lender.TakePolls() {
		g := q.regions[slices.IndexFunc(q.w.sc.Regions, func(x Region) bool { return x.Name == name })]
		q.far2(sizeOfNudge)
		q.carry(r.region, g.at, func() {
			if !g.dead {
				g.region.HandlePoll()
				g.turn()
			}
		})
	}
	q.notes("root ", r.lender.TakeEvents())
	r.again(q.w, r.lender.NextTick(), r.turn)
}

func (q *quotaSimulation) far2(bytes int) {
	q.w.res.Quotas.InterRegionMessages++
	q.w.res.Quotas.InterRegionBytes += bytes
}

func (q *quotaSimulation) notes(level string, list []quota.Event) {
	for _, n := range list {
		q.w.res.Quotas.Events[level+n.Step]++
	}
}

// regionAt is a region's lender.
type regionAt struct {
	clock
	q      *quotaSimulation
	at     int
	region *quota.RegionLender
	dead   bool
}

func (g *regionAt) start() (err error) {
	q := g.q
	g.clock, g.dead = q.clock(), false
	g.region, err = quota.NewRegionLender(q.set.up(), q.set.down(), q.w.sc.Regions[g.at].Name, q.life(), g.now(q.w))
	if err == nil {
		if q.root == nil { // the run's first lives
			g.region.SkipRecovery(g.now(q.w))
		}
		g.region.SetReserve(g.now(q.w), q.set.Reserve)
		q.w.at(q.w.now, g.turn)
	}
	return err
}

func (g *regionAt) answered(a quota.LeaseResponse) {
	if !g.dead {
		g.region.HandleResponse(g.now(g.q.w), a)
		g.turn()
	}
}

// take answers a dispatcher's ask.
func (g *regionAt) take(d *dispatcherQuotas, a quota.LeaseRequest) {
	if g.dead {
		return
	}
	q := g.q
	if answer, ok := g.region.Handle(g.now(q.w), a); ok {
		q.w.res.Quotas.Responses++
		q.near(d.side.at, sizeOfAnswer(answer))
		q.carry(g.at, g.at, func() { d.answered(answer) })
	}
	g.turn()
}

func (g *regionAt) turn() {
	if g.dead {
		return
	}
	q := g.q
	g.region.Tick(g.now(q.w))
	if a, ok := g.region.NextRequest(g.now(q.w)); ok {
		q.far2(sizeOfAsk(a))
		root := q.root
		q.carry(g.at, root.region, func() { root.take(g, a) })
	}
	for _, name := range g.region.TakePolls() {
		node := 0
		_, _ = fmt.Sscanf(name, "n%d", &node)
		q.w.res.Quotas.Polls++
		q.near(node, sizeOfNudge)
		q.carry(g.at, g.at, func() {
			if d := q.w.sides[node].quotas; !d.side.dead {
				d.holder.HandlePoll()
				d.turn()
			}
		})
	}
	q.notes("region ", g.region.TakeEvents())
	g.again(q.w, g.region.NextTick(), g.turn)
}

// near counts the bytes of a message between a dispatcher and its region's lender.
func (q *quotaSimulation) near(node, bytes int) {
	q.w.res.Quotas.Bytes += bytes
	if q.w.tenants.inWindow(q.w.now) {
		q.bytes[node] += bytes
		q.messages++
	}
}

// scheduleFaults sets the events of the day: leaders that are cut off and replaced, lenders that are killed, changes of quotas.
func (q *quotaSimulation) scheduleFaults() {
	w := q.w
	for _, s := range w.sc.Partitions {
		w.at(s.At+q.set.ElectionTime, func() {
			if s.Other < 0 && q.root.region == s.Region && w.now < s.At+s.Length {
				q.must(q.elect((s.Region+1)%len(q.regions), false))
			}
		})
	}
	for _, c := range w.sc.LenderCrashes {
		w.at(c.At, func() {
			if c.Region < 0 {
				q.root.gone = true
				w.at(w.now+c.Down, func() { q.must(q.elect(c.NextRegion, false)) })
				return
			}
			g := q.regions[c.Region]
			g.dead = true
			w.at(w.now+c.Down, func() { q.must(g.start()) })
		})
	}
	for _, r := range w.sc.QuotaChanges {
		w.at(r.At, func() {
			q.decide(r.Tenant, r.Quota)
			if !q.root.gone {
				q.root.lender.SetCapacity(q.root.now(w), r.Tenant, r.Quota)
				q.root.turn()
			}
		})
	}
}

// must is for what the scenario's check has found sound.
func (q *quotaSimulation) must(err error) {
	if err != nil {
		panic(err)
	}
}

func (q *quotaSimulation) finish() {
	for i := range q.w.res.Tenants.ByTenant {
		e, win := &q.w.res.Tenants.ByTenant[i], &q.w.sc.Window
		q.passes(e.Name, false, 0)
		e.InFlight = q.mean[e.Name].sum / (win.To - win.From)
	}
	r := &q.w.res.Quotas
	r.ViolationCount = q.at.Count() + q.flight.Count()
	r.Violations = append(q.at.Violations(), q.flight.Violations()...)
	win := &q.w.sc.Window
	s, n := (win.To-win.From)/1000, float64(len(q.bytes))
	sum := 0
	for _, b := range q.bytes {
		sum += b
	}
	r.MaxByteRate, r.MeanByteRate, r.MeanMessageRate = float64(slices.Max(q.bytes))/s, float64(sum)/s/n, float64(q.messages)/s/n
}

// What messages cost, as the codec writes them.
var sizeOfNudge = len(wire.EncodePoll("v1"))

func sizeOfAsk(a quota.LeaseRequest) int {
	return len(wire.EncodeLeaseRequest(wire.LeaseRequest{To: "v1", LeaseRequest: a}))
}

func sizeOfAnswer(a quota.LeaseResponse) int {
	return len(wire.EncodeLeaseResponse(wire.LeaseResponse{From: "v1", LeaseResponse: a}))
}
