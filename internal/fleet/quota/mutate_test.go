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

// quotaWorld is two roots of which one leads, two regions and five dispatchers that talk by the real codec, each with a
// clock at an edge of the drift or within it. Reqs run at backends that know nothing of units.
type quotaWorld struct {
	day     *quotaDay
	rnd     *rand.Rand
	roots   []*rootMember
	regions []*regionMember
	disps   []*dispMember
	leads   int // -1: nobody
	term    uint64
	lives   uint64
	quota   map[string]int
	changes []change
	ends    []running
	runs    map[string]int // by account, of the reserve by region
	full    time.Duration  // when all units ran last
	ids     uint64
	done    map[string]bool
	bad     error
}

// quotaDay is what happens and when, in real time; what is 0 never does.
type quotaDay struct {
	lowered   time.Duration // team's quota from 10 to 5
	raised    time.Duration // and to 14
	crash     time.Duration // d1, and d3 ends in order
	replaced  time.Duration // the lender of east
	elected   time.Duration // the other root leads from here, 60 ms after the first stops
	cut       time.Duration // east from the root, for 400 ms
	moves     time.Duration // the reqs of team come to west alone, having come to east alone
	from, end time.Duration // of the messages that are mutated
}

type change struct {
	at    time.Duration
	units int
}

type running struct {
	at   time.Duration
	node *dispMember
	life uint64
	id   uint64
	of   string
}

type rate struct {
	rate   float64
	offset float64
}

func (c rate) at(real time.Duration) quota.Time { return quota.Time(c.offset + float64(real)*c.rate) }

type rootMember struct {
	name string
	rate
	l *quota.Lender
}

type regionMember struct {
	name string
	rate
	r  *quota.RegionLender
	to int
}

type dispMember struct {
	name, region string
	rate
	life     uint64
	h        *quota.Holder
	d        *quota.Limiter
	waits    map[uint64]string
	draining bool
}

var (
	downPlan = quota.LeaseConfig{Lease: 300 * time.Millisecond, MaxRunTime: 200 * time.Millisecond, Drift: 0.05}
	upPlan   = quota.LeaseConfig{Lease: 1200 * time.Millisecond, MaxRunTime: 200 * time.Millisecond, Drift: 0.05}
)

const (
	mutateTick = 10 * time.Millisecond
	reserve    = 2
)

func (d *quotaDay) setup(name string) mutate.Setup {
	late := downPlan.Lease
	// docs/design/quota.md: after faults end
	named := downPlan.QuietPeriod() + downPlan.DrainPeriod() + upPlan.RenewInterval() + 2*upPlan.ReportDelay() + 4*downPlan.RenewInterval() + 400*time.Millisecond
	return mutate.Setup{Name: "quota " + name, Seed: 1, Build: d.build, Tick: mutateTick, From: d.from, Faults: d.end, Late: late,
		Length: d.end + late + time.Duration(float64(named)/(1-downPlan.Drift)), Steps: 200_000}
}

func (d *quotaDay) build(seed uint64) mutate.World {
	w := &quotaWorld{day: d, rnd: rand.New(rand.NewPCG(seed, 0)), quota: map[string]int{"team": 10, "other": 4}, runs: map[string]int{},
		changes: []change{{0, 10}}, leads: 0, term: 1, lives: 100, done: map[string]bool{}}
	clock := func() rate {
		return rate{1 + downPlan.Drift*float64(w.rnd.IntN(3)-1), 1e12 * w.rnd.Float64()}
	}
	for i := range 2 {
		w.roots = append(w.roots, &rootMember{name: fmt.Sprint("root", i), rate: clock()})
	}
	for _, name := range []string{"east", "west"} {
		r := &regionMember{name: name, rate: clock()}
		w.regions = append(w.regions, r)
		w.startRegion(0, r)
		r.r.SkipRecovery(r.at(0))
	}
	for i := range 5 {
		n := &dispMember{name: fmt.Sprint("d", i), region: []string{"east", "west"}[i%2], rate: clock()}
		w.disps = append(w.disps, n)
		w.startDisp(n)
	}
	w.elect(0, 0, true)
	return w
}

func (w *quotaWorld) elect(now time.Duration, i int, first bool) {
	r := w.roots[i]
	l, err := quota.NewLender(upPlan, w.term, r.at(now), quota.LenderOptions{Preallocate: true, Children: []string{"east", "west"}, SkipRecovery: first})
	if err != nil {
		panic(err)
	}
	most := 0
	for _, c := range w.changes {
		most = max(most, c.units)
	}
	l.AssumeLent(r.at(now), []quota.Allocation{{Account: "team", Units: most}})
	for _, a := range []string{"team", "other"} {
		l.SetCapacity(r.at(now), a, w.quota[a])
	}
	r.l, w.leads = l, i
	for _, g := range w.regions {
		g.to = i
		g.r.HandleReconnect()
	}
}

func (w *quotaWorld) startRegion(now time.Duration, r *regionMember) {
	w.lives++
	var err error
	if r.r, err = quota.NewRegionLender(upPlan, downPlan, r.name, w.lives, r.at(now)); err != nil {
		panic(err)
	}
	r.r.SetReserve(r.at(now), reserve)
}

func (w *quotaWorld) startDisp(n *dispMember) {
	w.lives++
	var err error
	if n.h, err = quota.NewHolder(downPlan, n.name, w.lives, false); err != nil {
		panic(err)
	}
	n.life, n.d, n.waits, n.draining = w.lives, quota.NewLimiter(), map[uint64]string{}, false
	n.d.SetQuotas(0, []string{"team", "other", quota.ReserveAccount})
}

func (w *quotaWorld) Nodes() []string {
	return []string{"root0", "root1", "east", "west", "d0", "d1", "d2", "d3", "d4"}
}

func (w *quotaWorld) fail(format string, a ...any) {
	if w.bad == nil {
		w.bad = fmt.Errorf(format, a...)
	}
}

func (w *quotaWorld) region(name string) *regionMember {
	return w.regions[slices.IndexFunc(w.regions, func(r *regionMember) bool { return r.name == name })]
}

func (w *quotaWorld) message(now time.Duration, from, to string, b []byte) []mutate.Message {
	if c := w.day.cut; c > 0 && now >= c && now < c+400*time.Millisecond && (from == "east" && to[0] == 'r' || to == "east" && from[0] == 'r') {
		return nil
	}
	return []mutate.Message{{From: from, To: to, Bytes: b, Delay: time.Millisecond + time.Duration(w.rnd.Int64N(int64(8*time.Millisecond)))}}
}

// once says whether a time of the day has come, the first time that it has.
func (w *quotaWorld) once(what string, at, now time.Duration) bool {
	if at == 0 || now < at || w.done[what] {
		return false
	}
	w.done[what] = true
	return true
}

// turn is the world's own, once each round.
func (w *quotaWorld) turn(now time.Duration) (out []mutate.Message) {
	d := w.day
	requota := func(units int) {
		w.quota["team"] = units
		w.changes = append(w.changes, change{now, units})
		if w.leads >= 0 {
			r := w.roots[w.leads]
			r.l.SetCapacity(r.at(now), "team", units)
		}
	}
	if w.once("lowered", d.lowered, now) {
		requota(5)
	}
	if w.once("raised", d.raised, now) {
		requota(14)
	}
	if w.once("crash", d.crash, now) {
		w.startDisp(w.disps[1])
		w.disps[3].draining = true
	}
	if w.once("replaced", d.replaced, now) {
		w.startRegion(now, w.regions[0])
		for _, n := range w.disps {
			if n.region == "east" {
				n.h.HandleReconnect()
			}
		}
	}
	if w.once("deposed", d.elected-60*time.Millisecond, now) && d.elected > 0 {
		w.leads = -1
	}
	if w.once("elected", d.elected, now) {
		w.term++
		w.elect(now, 1, false)
	}
	w.ends = slices.DeleteFunc(w.ends, func(r running) bool {
		if r.at > now {
			return false
		}
		if w.runs[r.of]--; r.node.life == r.life {
			r.node.d.Release(r.id)
		}
		return true
	})
	return nil
}

func (w *quotaWorld) Tick(now time.Duration, node string) []mutate.Message {
	switch {
	case node == "root0":
		w.turn(now)
		fallthrough
	case node == "root1":
		return w.nudges(now, int(node[4]-'0'))
	case node[0] == 'd':
		n := w.disps[node[1]-'0']
		w.demand(now, n)
		return w.dispTurn(now, n)
	}
	return w.regionTurn(now, w.region(node))
}

// demand has reqs wait at a dispatcher.
func (w *quotaWorld) demand(now time.Duration, n *dispMember) {
	if n.draining {
		return
	}
	waiting := map[string]int{}
	for _, a := range n.waits {
		waiting[a]++
	}
	wants := map[string]int{"team": 16, "other": 2}
	if m := w.day.moves; m > 0 && (n.region == "east") != (now < m) {
		wants["team"] = 0
	}
	for _, a := range []string{"team", "other"} {
		for range wants[a] - waiting[a] {
			w.ids++
			n.waits[w.ids] = a
			if n.d.Acquire(n.at(now), w.ids, a, a == "other" && w.rnd.IntN(2) == 0, n.at(now).Add(time.Second)) {
				w.fail("%s begins a req that has a quota at once", n.name)
			}
		}
	}
}

func (w *quotaWorld) dispTurn(now time.Duration, n *dispMember) (out []mutate.Message) {
	t := n.at(now)
	if !n.draining {
		begin, refuse := n.d.Admit(t, func(a string) int { return n.h.Units(t, a) })
		for _, id := range append(slices.Clone(begin), refuse...) {
			if _, waits := n.waits[id]; !waits {
				w.fail("%s gives req %d a second verdict", n.name, id)
			}
			delete(n.waits, id)
		}
		for _, id := range begin {
			w.begin(now, n, id)
		}
	} else {
		for id := range n.waits {
			n.d.Release(id)
		}
		clear(n.waits)
	}
	n.d.TakeUsageChanges(n.h.SetUsage)
	if n.draining && !slices.ContainsFunc(w.ends, func(r running) bool { return r.life == n.life }) {
		n.h.Close()
		n.h.HandleReconnect()
		if a, due := n.h.NextRequest(t); due {
			out = w.message(now, n.name, n.region, wire.EncodeLeaseRequest(wire.LeaseRequest{To: n.region, LeaseRequest: a}))
		}
		w.startDisp(n)
		return out
	}
	if a, due := n.h.NextRequest(t); due {
		out = w.message(now, n.name, n.region, wire.EncodeLeaseRequest(wire.LeaseRequest{To: n.region, LeaseRequest: a}))
	}
	return out
}

func (w *quotaWorld) begin(now time.Duration, n *dispMember, id uint64) {
	of, ok := n.d.ChargedAccount(id)
	if !ok {
		w.fail("%s begins req %d by no unit", n.name, id)
	}
	most, window := w.quota[of], time.Duration(float64(upPlan.UsableLease())/(1-upPlan.Drift))+2
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
	if w.runs[of]++; w.runs[of] > most {
		w.fail("%d of %s run when %s begins one, of %d", w.runs[of], of, n.name, most)
	}
	w.ends = append(w.ends, running{now + time.Duration(float64(downPlan.MaxRunTime)/n.rate.rate) - mutateTick, n, n.life, id, of})
}

func (w *quotaWorld) regionTurn(now time.Duration, r *regionMember) (out []mutate.Message) {
	t := r.at(now)
	r.r.Tick(t)
	if a, due := r.r.NextRequest(t); due {
		out = w.message(now, r.name, w.roots[r.to].name, wire.EncodeLeaseRequest(wire.LeaseRequest{LeaseRequest: a}))
	}
	for _, name := range r.r.TakePolls() {
		out = append(out, w.message(now, r.name, name, wire.EncodePoll(r.name))...)
	}
	r.r.TakeEvents()
	return out
}

func (w *quotaWorld) nudges(now time.Duration, i int) (out []mutate.Message) {
	r := w.roots[i]
	if r.l == nil || w.leads != i {
		return nil
	}
	r.l.Tick(r.at(now))
	for _, name := range r.l.TakePolls() {
		out = append(out, w.message(now, r.name, name, wire.EncodePoll(""))...)
	}
	r.l.TakeEvents()
	return out
}

// Deliver does what the drivers do: a lender takes asks that are meant for it, of the child that the link is of; a holder
// answers of its own lender.
func (w *quotaWorld) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	msg, err := wire.Decode(m.Bytes)
	if err != nil {
		return nil
	}
	switch {
	case m.To[:2] == "ro":
		i := int(m.To[4] - '0')
		if msg.Request == nil || msg.Request.To != "" || w.leads != i {
			return nil
		}
		a, ok := w.roots[i].l.Handle(w.roots[i].at(now), msg.Request.LeaseRequest)
		out := w.nudges(now, i)
		if ok {
			out = append(out, w.message(now, m.To, m.From, wire.EncodeLeaseResponse(wire.LeaseResponse{LeaseResponse: a}))...)
		}
		return out
	case m.To[0] == 'd':
		n := w.disps[m.To[1]-'0']
		switch {
		case msg.Response != nil && msg.Response.From == n.region:
			n.h.HandleResponse(n.at(now), msg.Response.LeaseResponse)
		case msg.Poll != nil && *msg.Poll == n.region:
			n.h.HandlePoll()
		}
		return w.dispTurn(now, n)
	}
	r := w.region(m.To)
	var out []mutate.Message
	switch {
	case msg.Request != nil && msg.Request.To == r.name:
		if a, ok := r.r.Handle(r.at(now), msg.Request.LeaseRequest); ok {
			out = w.message(now, r.name, m.From, wire.EncodeLeaseResponse(wire.LeaseResponse{From: r.name, LeaseResponse: a}))
		}
	case msg.Response != nil && msg.Response.From == "":
		r.r.HandleResponse(r.at(now), msg.Response.LeaseResponse)
	case msg.Poll != nil && *msg.Poll == "":
		r.r.HandlePoll()
	}
	return append(out, w.regionTurn(now, r)...)
}

// Check notes when all units ran, and says what began beyond a quota.
func (w *quotaWorld) Check(now time.Duration) error {
	if w.runs["team"] == w.quota["team"] && w.runs["other"] == w.quota["other"] {
		w.full = now
	}
	return w.bad
}

// End: all units run, as there is demand for more.
func (w *quotaWorld) End(now time.Duration) error {
	if now-w.full > 100*time.Millisecond {
		return fmt.Errorf("%v run and the quotas are %v, the last time that all ran was %v", w.runs, w.quota, w.full)
	}
	return nil
}

// TestQuotaUnderMutation: whatever happens to any one message, no more than the quota runs, nor more than the reserve in
// a region, and in the end all units run.
func TestQuotaUnderMutation(t *testing.T) {
	const ms = time.Millisecond
	for name, d := range map[string]quotaDay{
		"steady":               {from: 1, end: 250 * ms},
		"lowered, raised":      {lowered: 700 * ms, raised: 1500 * ms, from: 680 * ms, end: 800 * ms},
		"raised":               {lowered: 500 * ms, raised: 1100 * ms, from: 1080 * ms, end: 1250 * ms},
		"lives":                {crash: 700 * ms, from: 660 * ms, end: 900 * ms},
		"lender replaced":      {replaced: 700 * ms, from: 660 * ms, end: 850 * ms},
		"leader lost":          {elected: 700 * ms, from: 600 * ms, end: 850 * ms},
		"leader and lender":    {elected: 700 * ms, replaced: 700 * ms, from: 680 * ms, end: 850 * ms},
		"cut off, lowered":     {cut: 700 * ms, lowered: 800 * ms, from: 680 * ms, end: 1250 * ms},
		"moves":                {moves: 700 * ms, from: 680 * ms, end: 900 * ms},
		"replaced as it moves": {moves: 700 * ms, replaced: 740 * ms, from: 690 * ms, end: 900 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := d.setup(name)
			s.Plays = 24
			assert.Positive(t, mutate.Test(t, s).Played)
		})
	}
}
