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

// quotaFleet is two roots of which one leads, two regions and five dispatchers that talk by the real codec, each with a
// clock at an edge of the drift or within it. Reqs run at backends that know nothing of units.
type quotaFleet struct {
	scenario    *quotaScenario
	rand        *rand.Rand
	roots       []*rootMember
	regions     []*regionMember
	dispatchers []*dispatcherMember
	leader      int // -1: nobody
	term        uint64
	incarnation uint64
	quotas      map[string]int
	changes     []change
	inFlight    []runningReq
	running     map[string]int // by account, of the reserve by region
	lastFull    time.Duration  // when all units ran last
	lastID      uint64
	done        map[string]bool
	err         error
}

// quotaScenario is what happens and when, in real time; what is 0 never does.
type quotaScenario struct {
	lowerAt   time.Duration // team's quota from 10 to 5
	raiseAt   time.Duration // and to 14
	crashAt   time.Duration // d1, and d3 ends in order
	replaceAt time.Duration // the lender of east
	electAt   time.Duration // the other root leads from here, 60 ms after the first stops
	cutAt     time.Duration // east from the root, for 400 ms
	moveAt    time.Duration // the reqs of team come to west alone, having come to east alone
	from, end time.Duration // of the messages that are mutated
}

type change struct {
	at    time.Duration
	units int
}

type runningReq struct {
	endsAt      time.Duration
	node        *dispatcherMember
	incarnation uint64
	id          uint64
	charged     string
}

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
	root   int
}

type dispatcherMember struct {
	name, region string
	memberClock
	incarnation uint64
	holder      *quota.Holder
	limiter     *quota.Limiter
	unanswered  map[uint64]string
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

func (d *quotaScenario) setup(name string) mutate.Setup {
	late := downLease.Lease
	// docs/design/quota.md: after faults end
	named := downLease.QuietPeriod() + downLease.DrainPeriod() + upLease.RenewInterval() + 2*upLease.ReportDelay() + 4*downLease.RenewInterval() + 400*time.Millisecond
	return mutate.Setup{Name: "quota " + name, Seed: 1, Build: d.build, Tick: mutateTick, From: d.from, Faults: d.end, Late: late,
		Length: d.end + late + time.Duration(float64(named)/(1-downLease.Drift)), Steps: 200_000}
}

func (d *quotaScenario) build(seed uint64) mutate.World {
	w := &quotaFleet{scenario: d, rand: rand.New(rand.NewPCG(seed, 0)), quotas: map[string]int{"team": 10, "other": 4}, running: map[string]int{},
		changes: []change{{0, 10}}, leader: 0, term: 1, incarnation: 100, done: map[string]bool{}}
	clock := func() memberClock {
		return memberClock{1 + downLease.Drift*float64(w.rand.IntN(3)-1), 1e12 * w.rand.Float64()}
	}
	for i := range 2 {
		w.roots = append(w.roots, &rootMember{name: fmt.Sprint("root", i), memberClock: clock()})
	}
	for _, name := range []string{"east", "west"} {
		r := &regionMember{name: name, memberClock: clock()}
		w.regions = append(w.regions, r)
		w.startRegion(0, r)
		r.lender.SkipRecovery(r.at(0))
	}
	for i := range 5 {
		n := &dispatcherMember{name: fmt.Sprint("d", i), region: []string{"east", "west"}[i%2], memberClock: clock()}
		w.dispatchers = append(w.dispatchers, n)
		w.startDispatcher(n)
	}
	w.electRoot(0, 0, true)
	return w
}

func (w *quotaFleet) electRoot(now time.Duration, i int, first bool) {
	r := w.roots[i]
	l, err := quota.NewLender(upLease, w.term, r.at(now), quota.LenderOptions{Preallocate: true, Children: []string{"east", "west"}, SkipRecovery: first})
	if err != nil {
		panic(err)
	}
	most := 0
	for _, c := range w.changes {
		most = max(most, c.units)
	}
	l.AssumeLent(r.at(now), []quota.Allocation{{Account: "team", Units: most}})
	for _, a := range []string{"team", "other"} {
		l.SetCapacity(r.at(now), a, w.quotas[a])
	}
	r.lender, w.leader = l, i
	for _, g := range w.regions {
		g.root = i
		g.lender.HandleReconnect()
	}
}

func (w *quotaFleet) startRegion(now time.Duration, r *regionMember) {
	w.incarnation++
	var err error
	if r.lender, err = quota.NewRegionLender(upLease, downLease, r.name, w.incarnation, r.at(now)); err != nil {
		panic(err)
	}
	r.lender.SetReserve(r.at(now), reserve)
}

func (w *quotaFleet) startDispatcher(n *dispatcherMember) {
	w.incarnation++
	var err error
	if n.holder, err = quota.NewHolder(downLease, n.name, w.incarnation, false); err != nil {
		panic(err)
	}
	n.incarnation, n.limiter, n.unanswered, n.draining = w.incarnation, quota.NewLimiter(), map[uint64]string{}, false
	n.limiter.SetQuotas(0, []string{"team", "other", quota.ReserveAccount})
}

func (w *quotaFleet) Nodes() []string {
	return []string{"root0", "root1", "east", "west", "d0", "d1", "d2", "d3", "d4"}
}

func (w *quotaFleet) fail(format string, a ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, a...)
	}
}

func (w *quotaFleet) region(name string) *regionMember {
	return w.regions[slices.IndexFunc(w.regions, func(r *regionMember) bool { return r.name == name })]
}

func (w *quotaFleet) send(now time.Duration, from, to string, b []byte) []mutate.Message {
	if c := w.scenario.cutAt; c > 0 && now >= c && now < c+400*time.Millisecond && (from == "east" && to[0] == 'r' || to == "east" && from[0] == 'r') {
		return nil
	}
	return []mutate.Message{{From: from, To: to, Bytes: b, Delay: time.Millisecond + time.Duration(w.rand.Int64N(int64(8*time.Millisecond)))}}
}

// once says whether a time of the day has come, the first time that it has.
func (w *quotaFleet) once(what string, at, now time.Duration) bool {
	if at == 0 || now < at || w.done[what] {
		return false
	}
	w.done[what] = true
	return true
}

// applyEvents is the world's own, once each round.
func (w *quotaFleet) applyEvents(now time.Duration) (out []mutate.Message) {
	d := w.scenario
	requota := func(units int) {
		w.quotas["team"] = units
		w.changes = append(w.changes, change{now, units})
		if w.leader >= 0 {
			r := w.roots[w.leader]
			r.lender.SetCapacity(r.at(now), "team", units)
		}
	}
	if w.once("lowered", d.lowerAt, now) {
		requota(5)
	}
	if w.once("raised", d.raiseAt, now) {
		requota(14)
	}
	if w.once("crash", d.crashAt, now) {
		w.startDispatcher(w.dispatchers[1])
		w.dispatchers[3].draining = true
	}
	if w.once("replaced", d.replaceAt, now) {
		w.startRegion(now, w.regions[0])
		for _, n := range w.dispatchers {
			if n.region == "east" {
				n.holder.HandleReconnect()
			}
		}
	}
	if w.once("deposed", d.electAt-60*time.Millisecond, now) && d.electAt > 0 {
		w.leader = -1
	}
	if w.once("elected", d.electAt, now) {
		w.term++
		w.electRoot(now, 1, false)
	}
	w.inFlight = slices.DeleteFunc(w.inFlight, func(r runningReq) bool {
		if r.endsAt > now {
			return false
		}
		if w.running[r.charged]--; r.node.incarnation == r.incarnation {
			r.node.limiter.Release(r.id)
		}
		return true
	})
	return nil
}

func (w *quotaFleet) Tick(now time.Duration, node string) []mutate.Message {
	switch {
	case node == "root0":
		w.applyEvents(now)
		fallthrough
	case node == "root1":
		return w.sendPolls(now, int(node[4]-'0'))
	case node[0] == 'd':
		n := w.dispatchers[node[1]-'0']
		w.addDemand(now, n)
		return w.stepDispatcher(now, n)
	}
	return w.stepRegion(now, w.region(node))
}

// addDemand has reqs wait at a dispatcher.
func (w *quotaFleet) addDemand(now time.Duration, n *dispatcherMember) {
	if n.draining {
		return
	}
	waiting := map[string]int{}
	for _, a := range n.unanswered {
		waiting[a]++
	}
	wants := map[string]int{"team": 16, "other": 2}
	if m := w.scenario.moveAt; m > 0 && (n.region == "east") != (now < m) {
		wants["team"] = 0
	}
	for _, a := range []string{"team", "other"} {
		for range wants[a] - waiting[a] {
			w.lastID++
			n.unanswered[w.lastID] = a
			if n.limiter.Acquire(n.at(now), w.lastID, a, a == "other" && w.rand.IntN(2) == 0, n.at(now).Add(time.Second)) {
				w.fail("%s begins a req that has a quota at once", n.name)
			}
		}
	}
}

func (w *quotaFleet) stepDispatcher(now time.Duration, n *dispatcherMember) (out []mutate.Message) {
	t := n.at(now)
	if !n.draining {
		begin, refuse := n.limiter.Admit(t, func(a string) int { return n.holder.Units(t, a) })
		for _, id := range append(slices.Clone(begin), refuse...) {
			if _, waits := n.unanswered[id]; !waits {
				w.fail("%s gives req %d a second verdict", n.name, id)
			}
			delete(n.unanswered, id)
		}
		for _, id := range begin {
			w.startReq(now, n, id)
		}
	} else {
		for id := range n.unanswered {
			n.limiter.Release(id)
		}
		clear(n.unanswered)
	}
	n.limiter.TakeUsageChanges(n.holder.SetUsage)
	if n.draining && !slices.ContainsFunc(w.inFlight, func(r runningReq) bool { return r.incarnation == n.incarnation }) {
		n.holder.Close()
		n.holder.HandleReconnect()
		if a, due := n.holder.NextRequest(t); due {
			out = w.send(now, n.name, n.region, wire.EncodeLeaseRequest(wire.LeaseRequest{To: n.region, LeaseRequest: a}))
		}
		w.startDispatcher(n)
		return out
	}
	if a, due := n.holder.NextRequest(t); due {
		out = w.send(now, n.name, n.region, wire.EncodeLeaseRequest(wire.LeaseRequest{To: n.region, LeaseRequest: a}))
	}
	return out
}

func (w *quotaFleet) startReq(now time.Duration, n *dispatcherMember, id uint64) {
	of, ok := n.limiter.ChargedAccount(id)
	if !ok {
		w.fail("%s begins req %d by no unit", n.name, id)
	}
	most, window := w.quotas[of], time.Duration(float64(upLease.UsableLease())/(1-upLease.Drift))+2
	switch of {
	case quota.ReserveAccount:
		of, most = n.region, reserve
	case "team":
		most = 0
		for i, c := range w.changes {
			if i+1 == len(w.changes) || w.changes[i+1].at >= now-window {
				most = max(most, c.units)
			}
		}
	}
	if w.running[of]++; w.running[of] > most {
		w.fail("%d of %s run when %s begins one, of %d", w.running[of], of, n.name, most)
	}
	w.inFlight = append(w.inFlight, runningReq{now + time.Duration(float64(downLease.MaxRunTime)/n.memberClock.rate) - mutateTick, n, n.incarnation, id, of})
}

func (w *quotaFleet) stepRegion(now time.Duration, r *regionMember) (out []mutate.Message) {
	t := r.at(now)
	r.lender.Tick(t)
	if a, due := r.lender.NextRequest(t); due {
		out = w.send(now, r.name, w.roots[r.root].name, wire.EncodeLeaseRequest(wire.LeaseRequest{LeaseRequest: a}))
	}
	for _, name := range r.lender.TakePolls() {
		out = append(out, w.send(now, r.name, name, wire.EncodePoll(r.name))...)
	}
	r.lender.TakeEvents()
	return out
}

func (w *quotaFleet) sendPolls(now time.Duration, i int) (out []mutate.Message) {
	r := w.roots[i]
	if r.lender == nil || w.leader != i {
		return nil
	}
	r.lender.Tick(r.at(now))
	for _, name := range r.lender.TakePolls() {
		out = append(out, w.send(now, r.name, name, wire.EncodePoll(""))...)
	}
	r.lender.TakeEvents()
	return out
}

// Deliver does what the drivers do: a lender takes asks that are meant for it, of the child that the link is of; a holder
// answers of its own lender.
func (w *quotaFleet) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	msg, err := wire.Decode(m.Bytes)
	if err != nil {
		return nil
	}
	switch {
	case m.To[:2] == "ro":
		i := int(m.To[4] - '0')
		if msg.Request == nil || msg.Request.To != "" || w.leader != i {
			return nil
		}
		a, ok := w.roots[i].lender.Handle(w.roots[i].at(now), msg.Request.LeaseRequest)
		out := w.sendPolls(now, i)
		if ok {
			out = append(out, w.send(now, m.To, m.From, wire.EncodeLeaseResponse(wire.LeaseResponse{LeaseResponse: a}))...)
		}
		return out
	case m.To[0] == 'd':
		n := w.dispatchers[m.To[1]-'0']
		switch {
		case msg.Response != nil && msg.Response.From == n.region:
			n.holder.HandleResponse(n.at(now), msg.Response.LeaseResponse)
		case msg.Poll != nil && *msg.Poll == n.region:
			n.holder.HandlePoll()
		}
		return w.stepDispatcher(now, n)
	}
	r := w.region(m.To)
	var out []mutate.Message
	switch {
	case msg.Request != nil && msg.Request.To == r.name:
		if a, ok := r.lender.Handle(r.at(now), msg.Request.LeaseRequest); ok {
			out = w.send(now, r.name, m.From, wire.EncodeLeaseResponse(wire.LeaseResponse{From: r.name, LeaseResponse: a}))
		}
	case msg.Response != nil && msg.Response.From == "":
		r.lender.HandleResponse(r.at(now), msg.Response.LeaseResponse)
	case msg.Poll != nil && *msg.Poll == "":
		r.lender.HandlePoll()
	}
	return append(out, w.stepRegion(now, r)...)
}

// Check notes when all units ran, and says what began beyond a quota.
func (w *quotaFleet) Check(now time.Duration) error {
	if w.running["team"] == w.quotas["team"] && w.running["other"] == w.quotas["other"] {
		w.lastFull = now
	}
	return w.err
}

// End: all units run, as there is demand for more.
func (w *quotaFleet) End(now time.Duration) error {
	if now-w.lastFull > 100*time.Millisecond {
		return fmt.Errorf("%v run and the quotas are %v, the last time that all ran was %v", w.running, w.quotas, w.lastFull)
	}
	return nil
}

// TestQuotaUnderMutation: whatever happens to any one message, no more than the quota runs, nor more than the reserve in
// a region, and in the end all units run.
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
			s.Plays = 24
			assert.Positive(t, mutate.Test(t, s).Played)
		})
	}
}
