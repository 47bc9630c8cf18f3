package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/budget"
	"tinsail/internal/budget/wire"
	"tinsail/internal/mutate"
)

// fleetWorld is one keeper and eight holders that talk by the real codec, each with a clock of its
// own at an edge of the drift or within it. What befalls them is a day's.
type fleetWorld struct {
	day       *fleetDay
	keeper    *budget.Keeper
	kclock    ownClock
	kread     bool // the keeper has read the changed plan
	restarted bool
	holders   []*fleetHolder
	rnd       *rand.Rand
}

// fleetDay is what happens and when, in real time from the end of the keeper's first quiet time;
// what is 0 never does.
type fleetDay struct {
	plan, changed budget.Plan
	joins         time.Duration // all have joined by then, one after another
	again         time.Duration // n1 starts again, knowing nothing
	leaves        time.Duration // n2 leaves
	cut, mends    time.Duration // no message is sent by n3 or to it between them
	replan        time.Duration // each holder reads the changed plan within a lease from here ...
	kread         time.Duration // ... and the keeper now
	restart       time.Duration // the keeper starts again, knowing nothing
	from, faults  time.Duration // messages sent in between are mutated
}

type ownClock struct {
	rate   float64
	offset int64
}

func (c ownClock) at(real time.Duration) budget.Time {
	return budget.Time(c.offset + int64(float64(real)*c.rate))
}

type fleetHolder struct {
	name        string
	h           *budget.Holder
	clock       ownClock
	joins, read time.Duration
	again, told bool
}

const fleetTick = 10 * time.Millisecond

// setup lays out a play. After the last fault comes the late message's time, then the design's for
// the end state: two leases, on the slowest clock, and two ticks, at which holders ask.
func (d *fleetDay) setup(name string) mutate.Setup {
	p := d.plan
	quiet := p.QuietPeriod() * 11 / 10
	for _, at := range []*time.Duration{&d.again, &d.leaves, &d.cut, &d.mends, &d.replan, &d.kread, &d.restart, &d.from, &d.faults} {
		if *at > 0 {
			*at += quiet
		}
	}
	late := p.Lease + 2*fleetTick
	return mutate.Setup{Name: "budgets " + name, Seed: 1, Build: d.build, Tick: fleetTick, From: d.from, Faults: d.faults, Late: late,
		Length: d.faults + late + time.Duration(float64(2*p.Lease)/(1-p.Drift)) + 2*fleetTick}
}

func (d *fleetDay) build(seed uint64) mutate.World {
	w := &fleetWorld{day: d, rnd: rand.New(rand.NewPCG(seed, 0))}
	clock := func() ownClock {
		edge := []float64{1 - d.plan.Drift, 1 + d.plan.Drift, 1 + d.plan.Drift*(2*w.rnd.Float64()-1)}
		return ownClock{edge[w.rnd.IntN(3)], w.rnd.Int64N(2e12) - 1e12}
	}
	w.kclock = clock()
	w.keeper = must(budget.NewKeeper(d.plan, w.kclock.at(0)))
	for i := range 8 {
		m := &fleetHolder{name: fmt.Sprintf("n%d", i), clock: clock(), joins: d.plan.QuietPeriod()*11/10 + d.joins*time.Duration(i)/8,
			read: d.replan + time.Duration(w.rnd.Int64N(int64(d.plan.Lease)))}
		m.h = must(budget.NewHolder(d.plan, m.name, uint64(i)*1000+w.rnd.Uint64N(1000)))
		w.holders = append(w.holders, m)
	}
	return w
}

// there says whether a holder spends and asks.
func (w *fleetWorld) there(m *fleetHolder, now time.Duration) bool {
	return now >= m.joins && (m.name != "n2" || w.day.leaves == 0 || now < w.day.leaves)
}

// cut says whether nothing is sent by a node or to it.
func (w *fleetWorld) cut(now time.Duration, node string) bool {
	return node == "n3" && now >= w.day.cut && now < w.day.mends
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (w *fleetWorld) Nodes() []string {
	return []string{"keeper", "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"}
}

// holder is the one with a name, nil for the keeper's.
func (w *fleetWorld) holder(name string) *fleetHolder {
	if name == "keeper" {
		return nil
	}
	return w.holders[name[1]-'0']
}

func (w *fleetWorld) message(now time.Duration, from, to string, b []byte) []mutate.Message {
	if w.cut(now, from) || w.cut(now, to) {
		return nil
	}
	return []mutate.Message{{From: from, To: to, Bytes: b, Delay: time.Millisecond + time.Duration(w.rnd.Int64N(int64(20*time.Millisecond)))}}
}

func (w *fleetWorld) Tick(now time.Duration, node string) []mutate.Message {
	m, d := w.holder(node), w.day
	if m == nil {
		if d.kread > 0 && !w.kread && now >= d.kread {
			w.kread = true
			check(w.keeper.Replan(d.changed))
		}
		if d.restart > 0 && !w.restarted && now >= d.restart {
			w.restarted = true
			w.keeper = must(budget.NewKeeper(d.plan, w.kclock.at(now)))
		}
		return nil
	}
	if !w.there(m, now) {
		return nil
	}
	if node == "n1" && d.again > 0 && !m.again && now >= d.again {
		m.again = true
		m.h = must(budget.NewHolder(d.plan, m.name, 1e6))
	}
	if d.replan > 0 && !m.told && now >= m.read {
		m.told = true
		check(m.h.Replan(d.changed))
	}
	if a, due := m.h.NextAsk(m.clock.at(now)); due {
		return w.message(now, node, "keeper", wire.AppendAsk(nil, d.plan.Name, a))
	}
	return nil
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// Deliver does what the drivers do (internal/network/budgets): the keeper answers whoever sent an
// ask, a holder takes grants of its budget.
func (w *fleetWorld) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	msg, err := wire.Decode(m.Bytes)
	if err != nil || msg.Budget != w.day.plan.Name {
		return nil
	}
	if to := w.holder(m.To); to != nil {
		if msg.Grant != nil && w.there(to, now) {
			to.h.HandleGrant(to.clock.at(now), *msg.Grant)
		}
		return nil
	}
	if msg.Ask == nil || m.From == "keeper" { // who has no socket of a holder's gets no answer
		return nil
	}
	return w.message(now, "keeper", m.From, wire.AppendGrant(nil, msg.Budget, w.keeper.HandleAsk(w.kclock.at(now), *msg.Ask)))
}

// inForce is the plan that all go by, or the old one while not all have read the changed one.
func (w *fleetWorld) inForce(now time.Duration) (p budget.Plan, all bool) {
	all = w.kread
	for _, m := range w.holders {
		all = all && (m.told || !w.there(m, now))
	}
	if all {
		return w.day.changed, true
	}
	return w.day.plan, w.day.replan == 0 || now < w.day.replan
}

// Check: what the holders may spend is never above the whole: the plan's; while a changed plan is
// being read the larger of the two.
func (w *fleetWorld) Check(now time.Duration) error {
	sum := 0
	for _, m := range w.holders {
		if w.there(m, now) {
			sum += m.h.Share(m.clock.at(now))
		}
	}
	p, all := w.inForce(now)
	whole := p.Total
	if !all {
		whole = max(w.day.plan.Total, w.day.changed.Total)
	}
	if sum > whole {
		return fmt.Errorf("the holders may spend %d of %d", sum, whole)
	}
	return nil
}

// End: every holder that is there has its reserve and its fair part of the pool, less one unit. What
// a changed plan moves from reserves to the pool or back is held by neither until the next start.
func (w *fleetWorld) End(now time.Duration) error {
	n := 0
	for _, m := range w.holders {
		if w.there(m, now) {
			n++
		}
	}
	p, _ := w.inForce(now)
	pool, reserve := p.Pool(), p.Reserve()
	if w.day.plan.Total == w.day.changed.Total {
		pool, reserve = min(pool, w.day.plan.Pool()), min(reserve, w.day.plan.Reserve())
	}
	want := reserve + pool/n - 1
	for _, m := range w.holders {
		if got := m.h.Share(m.clock.at(now)); w.there(m, now) && got < want {
			return fmt.Errorf("%s may spend %d, its fair part is %d", m.name, got, want)
		}
	}
	return nil
}

// TestFleetUnderMutation: whatever happens to any one message, the shares never sum to more than
// the whole, and all are back at their fair parts within the time that docs/design/budget.md names.
func TestFleetUnderMutation(t *testing.T) {
	const ms = time.Millisecond
	p := budget.Plan{Name: "connections", Total: 400, MaxDispatchers: 9, ReserveShare: 0.25, Lease: 300 * ms, Drift: 0.05}
	with := func(total int, part float64) budget.Plan {
		changed := p
		changed.Total, changed.ReserveShare = total, part
		return changed
	}
	for name, d := range map[string]fleetDay{
		"joins and leaves": {joins: 60 * ms, again: 130 * ms, leaves: 350 * ms, cut: 500 * ms, mends: 1000 * ms, from: 1, faults: 900 * ms},
		"lowered":          {changed: with(200, 0.25), replan: 700 * ms, kread: 1000 * ms, from: 500 * ms, faults: 1050 * ms},
		"raised":           {changed: with(600, 0.25), replan: 700 * ms, kread: 700 * ms, from: 500 * ms, faults: 1050 * ms},
		"less reserve":     {changed: with(400, 0.05), replan: 700 * ms, kread: 750 * ms, from: 500 * ms, faults: 1050 * ms},
		"more reserve":     {changed: with(400, 0.75), replan: 700 * ms, kread: 950 * ms, from: 500 * ms, faults: 1050 * ms},
		"keeper again":     {restart: 700 * ms, from: 500 * ms, faults: 1200 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.plan = p
			s := d.setup(name)
			if s.Plays = 120; name == "joins and leaves" { // where most can go wrong
				s.Plays = 800
			}
			assert.Positive(t, mutate.Test(t, s).Played)
		})
	}
}
