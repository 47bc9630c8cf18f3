package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
	"tinsail/internal/mutate"
)

// quotaFleet is two roots, of which one leads, two regions and five dispatchers that exchange messages in their encoded
// form. Each node has a clock at an edge of the drift or without drift. Requests run at backends that know nothing of units.
type quotaFleet struct {
	scenario    *quotaScenario
	rand        *rand.Rand
	roots       []*rootMember
	regions     []*regionMember
	dispatchers []*dispatcherMember
	leader      int // index of the leading root, -1 for none
	term        uint64
	incarnation uint64
	quotas      map[string]int
	changes     []change // of the quota of team
	inFlight    []runningReq
	running     map[string]int // requests in flight by account; those that use the reserve by region
	lastFull    time.Duration  // when all units were last in use
	lastID      uint64
	done        map[string]bool // events of the scenario that have happened
	err         error           // the first violation
}

// quotaScenario is the events of a run by real time. An event at 0 does not happen.
type quotaScenario struct {
	lowerAt   time.Duration // team's quota falls from 10 to 5
	raiseAt   time.Duration // and rises to 14
	crashAt   time.Duration // d1 crashes, and d3 restarts in an orderly way
	replaceAt time.Duration // the lender of east is replaced
	electAt   time.Duration // the other root leads, 60 ms after the first has stopped
	cutAt     time.Duration // east is cut off from the root for 400 ms
	moveAt    time.Duration // the requests of team arrive only in west, before that only in east
	from, end time.Duration // messages sent between these times are mutated
}

// change is a change of a quota.
type change struct {
	at    time.Duration
	units int
}

// runningReq is a request in flight at a backend.
type runningReq struct {
	endsAt      time.Duration
	node        *dispatcherMember
	incarnation uint64
	id          uint64
	charged     string
}

// memberClock is the monotonic clock of a node.
type memberClock struct {
	rate   float64
	offset float64
}

func (c memberClock) at(real time.Duration) quota.Time {
	return quota.Time(c.offset + float64(real)*c.rate)
}

type rootMember struct {
	name string
	memberClock
	lender *quota.Lender
}

type regionMember struct {
	name string
	memberClock
	lender *quota.RegionLender
	root   int // to which it sends its requests
}

type dispatcherMember struct {
	name, region string
	memberClock
	incarnation uint64
	holder      *quota.Holder
	limiter     *quota.Limiter
	unanswered  map[uint64]string // accounts of requests that were neither started nor refused
	draining    bool
}

var (
	downLease = quota.LeaseConfig{Lease: 300 * time.Millisecond, MaxRunTime: 200 * time.Millisecond, Drift: 0.05}
	upLease   = quota.LeaseConfig{Lease: 1200 * time.Millisecond, MaxRunTime: 200 * time.Millisecond, Drift: 0.05}
)

const (
	mutateTick = 10 * time.Millisecond
	reserve    = 2
)

func (s *quotaScenario) setup(name string) mutate.Setup {
	late := downLease.Lease
	// How long after the end of all faults each team has its share, see docs/design/quota.md.
	recoveryBound := downLease.QuietPeriod() + downLease.DrainPeriod() + upLease.RenewInterval() + 2*upLease.ReportDelay() +
		4*downLease.RenewInterval() + 400*time.Millisecond
	return mutate.Setup{Name: "quota " + name, Seed: 1, Build: s.build, TickInterval: mutateTick, FaultsFrom: s.from, FaultsUntil: s.end, ExtraDelay: late,
		Duration: s.end + late + time.Duration(float64(recoveryBound)/(1-downLease.Drift)), MaxEvents: 200_000}
}

func (s *quotaScenario) build(seed uint64) mutate.System {
	f := &quotaFleet{scenario: s, rand: rand.New(rand.NewPCG(seed, 0)), quotas: map[string]int{"team": 10, "other": 4}, running: map[string]int{},
		changes: []change{{0, 10}}, leader: 0, term: 1, incarnation: 100, done: map[string]bool{}}
	clock := func() memberClock {
		return memberClock{1 + downLease.Drift*float64(f.rand.IntN(3)-1), 1e12 * f.rand.Float64()}
	}
	for i := range 2 {
		f.roots = append(f.roots, &rootMember{name: fmt.Sprint("root", i), memberClock: clock()})
	}
	for _, name := range []string{"east", "west"} {
		r := &regionMember{name: name, memberClock: clock()}
		f.regions = append(f.regions, r)
		f.startRegion(0, r)
		r.lender.SkipRecovery(r.at(0))
	}
	for i := range 5 {
		n := &dispatcherMember{name: fmt.Sprint("d", i), region: []string{"east", "west"}[i%2], memberClock: clock()}
		f.dispatchers = append(f.dispatchers, n)
		f.startDispatcher(n)
	}
	f.electRoot(0, 0, true)
	return f
}

// electRoot lets root i lead, with a new incarnation of the lender.
func (f *quotaFleet) electRoot(now time.Duration, i int, first bool) {
	r := f.roots[i]
	l, err := quota.NewLender(upLease, f.term, r.at(now), quota.LenderOptions{Preallocate: true, Children: []string{"east", "west"},
		SkipRecovery: first})
	if err != nil {
		panic(err)
	}
	largest := 0
	for _, c := range f.changes {
		largest = max(largest, c.units)
	}
	l.AssumeLent(r.at(now), []quota.Allocation{{Account: "team", Units: largest}})
	for _, a := range []string{"team", "other"} {
		l.SetCapacity(r.at(now), a, f.quotas[a])
	}
	r.lender, f.leader = l, i
	for _, region := range f.regions {
		region.root = i
		region.lender.HandleReconnect()
	}
}

// startRegion starts a new incarnation of a region's lender.
func (f *quotaFleet) startRegion(now time.Duration, r *regionMember) {
	f.incarnation++
	var err error
	if r.lender, err = quota.NewRegionLender(upLease, downLease, r.name, f.incarnation, r.at(now)); err != nil {
		panic(err)
	}
	r.lender.SetReserve(r.at(now), reserve)
}

// startDispatcher starts a new incarnation of a dispatcher.
func (f *quotaFleet) startDispatcher(n *dispatcherMember) {
	f.incarnation++
	var err error
	if n.holder, err = quota.NewHolder(downLease, n.name, f.incarnation, false); err != nil {
		panic(err)
	}
	n.incarnation, n.limiter, n.unanswered, n.draining = f.incarnation, quota.NewLimiter(), map[uint64]string{}, false
	n.limiter.SetQuotas(0, []string{"team", "other", quota.ReserveAccount})
}

func (f *quotaFleet) Nodes() []string {
	return []string{"root0", "root1", "east", "west", "d0", "d1", "d2", "d3", "d4"}
}

func (f *quotaFleet) fail(format string, a ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, a...)
	}
}

func (f *quotaFleet) region(name string) *regionMember {
	return f.regions[slices.IndexFunc(f.regions, func(r *regionMember) bool { return r.name == name })]
}

// send sends a message with a random delay, or none while its connection is cut.
func (f *quotaFleet) send(now time.Duration, from, to string, b []byte) []mutate.Message {
	if c := f.scenario.cutAt; c > 0 && now >= c && now < c+400*time.Millisecond &&
		(from == "east" && to[0] == 'r' || to == "east" && from[0] == 'r') {
		return nil
	}
	return []mutate.Message{{From: from, To: to, Bytes: b,
		Delay: time.Millisecond + time.Duration(f.rand.Int64N(int64(8*time.Millisecond)))}}
}

// once reports whether the time of an event has come, and only once.
func (f *quotaFleet) once(what string, at, now time.Duration) bool {
	if at == 0 || now < at || f.done[what] {
		return false
	}
	f.done[what] = true
	return true
}

// applyEvents applies the events of the scenario and ends requests, once in each round.
func (f *quotaFleet) applyEvents(now time.Duration) (out []mutate.Message) {
	s := f.scenario
	setQuota := func(units int) {
		f.quotas["team"] = units
		f.changes = append(f.changes, change{now, units})
		if f.leader >= 0 {
			r := f.roots[f.leader]
			r.lender.SetCapacity(r.at(now), "team", units)
		}
	}
	if f.once("lowered", s.lowerAt, now) {
		setQuota(5)
	}
	if f.once("raised", s.raiseAt, now) {
		setQuota(14)
	}
	if f.once("crash", s.crashAt, now) {
		f.startDispatcher(f.dispatchers[1])
		f.dispatchers[3].draining = true
	}
	if f.once("replaced", s.replaceAt, now) {
		f.startRegion(now, f.regions[0])
		for _, n := range f.dispatchers {
			if n.region == "east" {
				n.holder.HandleReconnect()
			}
		}
	}
	if f.once("deposed", s.electAt-60*time.Millisecond, now) && s.electAt > 0 {
		f.leader = -1
	}
	if f.once("elected", s.electAt, now) {
		f.term++
		f.electRoot(now, 1, false)
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(r runningReq) bool {
		if r.endsAt > now {
			return false
		}
		if f.running[r.charged]--; r.node.incarnation == r.incarnation {
			r.node.limiter.Release(r.id)
		}
		return true
	})
	return nil
}

func (f *quotaFleet) Tick(now time.Duration, node string) []mutate.Message {
	switch {
	case node == "root0":
		f.applyEvents(now)
		fallthrough
	case node == "root1":
		return f.sendPolls(now, int(node[4]-'0'))
	case node[0] == 'd':
		n := f.dispatchers[node[1]-'0']
		f.addDemand(now, n)
		return f.stepDispatcher(now, n)
	}
	return f.stepRegion(now, f.region(node))
}

// addDemand lets requests wait at a dispatcher.
func (f *quotaFleet) addDemand(now time.Duration, n *dispatcherMember) {
	if n.draining {
		return
	}
	waiting := map[string]int{}
	for _, a := range n.unanswered {
		waiting[a]++
	}
	demand := map[string]int{"team": 16, "other": 2}
	if m := f.scenario.moveAt; m > 0 && (n.region == "east") != (now < m) {
		demand["team"] = 0
	}
	for _, a := range []string{"team", "other"} {
		for range demand[a] - waiting[a] {
			f.lastID++
			n.unanswered[f.lastID] = a
			if n.limiter.Acquire(n.at(now), f.lastID, a, a == "other" && f.rand.IntN(2) == 0, n.at(now).Add(time.Second)) {
				f.fail("%s starts a request of an account with a quota at once", n.name)
			}
		}
	}
}

// stepDispatcher does what a dispatcher's driver does.
func (f *quotaFleet) stepDispatcher(now time.Duration, n *dispatcherMember) (out []mutate.Message) {
	t := n.at(now)
	if !n.draining {
		started, expired := n.limiter.Admit(t, func(a string) int { return n.holder.Units(t, a) })
		for _, id := range append(slices.Clone(started), expired...) {
			if _, waiting := n.unanswered[id]; !waiting {
				f.fail("%s starts or refuses request %d twice", n.name, id)
			}
			delete(n.unanswered, id)
		}
		for _, id := range started {
			f.startReq(now, n, id)
		}
	} else {
		for id := range n.unanswered {
			n.limiter.Release(id)
		}
		clear(n.unanswered)
	}
	n.limiter.TakeUsageChanges(n.holder.SetUsage)
	if n.draining && !slices.ContainsFunc(f.inFlight, func(r runningReq) bool { return r.incarnation == n.incarnation }) {
		n.holder.Close()
		n.holder.HandleReconnect()
		if a, due := n.holder.NextRequest(t); due {
			out = f.send(now, n.name, n.region, wire.EncodeLeaseRequest(wire.LeaseRequest{To: n.region, LeaseRequest: a}))
		}
		f.startDispatcher(n)
		return out
	}
	if a, due := n.holder.NextRequest(t); due {
		out = f.send(now, n.name, n.region, wire.EncodeLeaseRequest(wire.LeaseRequest{To: n.region, LeaseRequest: a}))
	}
	return out
}

// startReq starts a request and checks the quota or the reserve that it uses.
func (f *quotaFleet) startReq(now time.Duration, n *dispatcherMember, id uint64) {
	charged, ok := n.limiter.ChargedAccount(id)
	if !ok {
		f.fail("%s starts request %d without a unit", n.name, id)
	}
	limit, window := f.quotas[charged], time.Duration(float64(upLease.UsableLease())/(1-upLease.Drift))+2
	switch charged {
	case quota.ReserveAccount:
		charged, limit = n.region, reserve
	case "team":
		limit = 0
		for i, c := range f.changes {
			if i+1 == len(f.changes) || f.changes[i+1].at >= now-window {
				limit = max(limit, c.units)
			}
		}
	}
	if f.running[charged]++; f.running[charged] > limit {
		f.fail("%d requests of %s run when %s starts one, limit is %d", f.running[charged], charged, n.name, limit)
	}
	f.inFlight = append(f.inFlight, runningReq{now + time.Duration(float64(downLease.MaxRunTime)/n.memberClock.rate) - mutateTick,
		n, n.incarnation, id, charged})
}

// stepRegion does what the driver of a region's lender does.
func (f *quotaFleet) stepRegion(now time.Duration, r *regionMember) (out []mutate.Message) {
	t := r.at(now)
	r.lender.Tick(t)
	if a, due := r.lender.NextRequest(t); due {
		out = f.send(now, r.name, f.roots[r.root].name, wire.EncodeLeaseRequest(wire.LeaseRequest{LeaseRequest: a}))
	}
	for _, name := range r.lender.TakePolls() {
		out = append(out, f.send(now, r.name, name, wire.EncodePoll(r.name))...)
	}
	r.lender.TakeEvents()
	return out
}

// sendPolls sends the polls of root i if it leads.
func (f *quotaFleet) sendPolls(now time.Duration, i int) (out []mutate.Message) {
	r := f.roots[i]
	if r.lender == nil || f.leader != i {
		return nil
	}
	r.lender.Tick(r.at(now))
	for _, name := range r.lender.TakePolls() {
		out = append(out, f.send(now, r.name, name, wire.EncodePoll(""))...)
	}
	r.lender.TakeEvents()
	return out
}

// Deliver does what the drivers do. A lender handles requests that are addressed to it, and a holder handles responses of its
// own lender.
func (f *quotaFleet) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	msg, err := wire.Decode(m.Bytes)
	if err != nil {
		return nil
	}
	switch {
	case m.To[:2] == "ro":
		i := int(m.To[4] - '0')
		if msg.Request == nil || msg.Request.To != "" || f.leader != i {
			return nil
		}
		a, ok := f.roots[i].lender.Handle(f.roots[i].at(now), msg.Request.LeaseRequest)
		out := f.sendPolls(now, i)
		if ok {
			out = append(out, f.send(now, m.To, m.From, wire.EncodeLeaseResponse(wire.LeaseResponse{LeaseResponse: a}))...)
		}
		return out
	case m.To[0] == 'd':
		n := f.dispatchers[m.To[1]-'0']
		switch {
		case msg.Response != nil && msg.Response.From == n.region:
			n.holder.HandleResponse(n.at(now), msg.Response.LeaseResponse)
		case msg.Poll != nil && *msg.Poll == n.region:
			n.holder.HandlePoll()
		}
		return f.stepDispatcher(now, n)
	}
	r := f.region(m.To)
	var out []mutate.Message
	switch {
	case msg.Request != nil && msg.Request.To == r.name:
		if a, ok := r.lender.Handle(r.at(now), msg.Request.LeaseRequest); ok {
			out = f.send(now, r.name, m.From, wire.EncodeLeaseResponse(wire.LeaseResponse{From: r.name, LeaseResponse: a}))
		}
	case msg.Response != nil && msg.Response.From == "":
		r.lender.HandleResponse(r.at(now), msg.Response.LeaseResponse)
	case msg.Poll != nil && *msg.Poll == "":
		r.lender.HandlePoll()
	}
	return append(out, f.stepRegion(now, r)...)
}

// CheckInvariants records when all units are in use, and returns the first violation of a quota.
func (f *quotaFleet) CheckInvariants(now time.Duration) error {
	if f.running["team"] == f.quotas["team"] && f.running["other"] == f.quotas["other"] {
		f.lastFull = now
	}
	return f.err
}

// CheckEndState checks that all units are in use, as the demand is higher than the quotas.
func (f *quotaFleet) CheckEndState(now time.Duration) error {
	if now-f.lastFull > 100*time.Millisecond {
		return fmt.Errorf("requests in flight: %v, quotas: %v; all units were last in use at %v", f.running, f.quotas, f.lastFull)
	}
	return nil
}

// TestQuotaUnderMutation: whatever happens to any single message, requests in flight never exceed a quota, nor the reserve of
// a region, and in the end all units are in use.
func TestQuotaUnderMutation(t *testing.T) {
	const ms = time.Millisecond
	for name, d := range map[string]quotaScenario{
		"steady":               {from: 1, end: 250 * ms},
		"lowered, raised":      {lowerAt: 700 * ms, raiseAt: 1500 * ms, from: 680 * ms, end: 800 * ms},
		"raised":               {lowerAt: 500 * ms, raiseAt: 1100 * ms, from: 1080 * ms, end: 1250 * ms},
		"lives":                {crashAt: 700 * ms, from: 660 * ms, end: 900 * ms},
		"lender replaced":      {replaceAt: 700 * ms, from: 660 * ms, end: 850 * ms},
		"leader lost":          {electAt: 700 * ms, from: 600 * ms, end: 850 * ms},
		"leader and lender":    {electAt: 700 * ms, replaceAt: 700 * ms, from: 680 * ms, end: 850 * ms},
		"cut off, lowered":     {cutAt: 700 * ms, lowerAt: 800 * ms, from: 680 * ms, end: 1250 * ms},
		"moves":                {moveAt: 700 * ms, from: 680 * ms, end: 900 * ms},
		"replaced as it moves": {moveAt: 700 * ms, replaceAt: 740 * ms, from: 690 * ms, end: 900 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := d.setup(name)
			s.MaxRuns = 24
			assert.Positive(t, mutate.Test(t, s).Runs)
		})
	}
}
