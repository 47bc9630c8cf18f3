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

// mutationFleet is one keeper and eight holders that talk by the real codec, each with a clock of its
// own at an edge of the drift or within it. What befalls them is a day's.
type mutationFleet struct {
	scenario        *scenario
	keeper          *budget.Keeper
	keeperClock     driftingClock
	keeperReplanned bool // the keeper has read the changed plan
	restarted       bool
	holders         []*holderNode
	random          *rand.Rand
}

// scenario is what happens and when, in real time from the end of the keeper's first quiet time;
// what is 0 never does.
type scenario struct {
	plan, changed           budget.Plan
	joinedBy                time.Duration // all have joined by then, one after another
	holderRestart           time.Duration // n1 starts again, knowing nothing
	leaveAt                 time.Duration // n2 leaves
	cutFrom, cutUntil       time.Duration // no message is sent by n3 or to it between them
	replanFrom              time.Duration // each holder reads the changed plan within a lease from here ...
	keeperReplan            time.Duration // ... and the keeper now
	keeperRestart           time.Duration // the keeper starts again, knowing nothing
	faultsFrom, faultsUntil time.Duration // messages sent in between are mutated
}

type driftingClock struct {
	rate   float64
	offset int64
}

func (c driftingClock) at(real time.Duration) budget.Time {
	return budget.Time(c.offset + int64(float64(real)*c.rate))
}

type holderNode struct {
	name                 string
	holder               *budget.Holder
	clock                driftingClock
	joinAt, replanAt     time.Duration
	restarted, replanned bool
}

const tick = 10 * time.Millisecond

// setup lays out a play. After the last fault comes the late message's time, then the design's for
// the end state: two leases, on the slowest clock, and two ticks, at which holders ask.
func (d *scenario) setup(name string) mutate.Setup {
	p := d.plan
	quiet := p.QuietPeriod() * 11 / 10
	for _, at := range []*time.Duration{&d.holderRestart, &d.leaveAt, &d.cutFrom, &d.cutUntil, &d.replanFrom, &d.keeperReplan, &d.keeperRestart, &d.faultsFrom, &d.faultsUntil} {
		if *at > 0 {
			*at += quiet
		}
	}
	late := p.Lease + 2*tick
	return mutate.Setup{Name: "budgets " + name, Seed: 1, Build: d.build, Tick: tick, From: d.faultsFrom, Faults: d.faultsUntil, Late: late,
		Length: d.faultsUntil + late + time.Duration(float64(2*p.Lease)/(1-p.Drift)) + 2*tick}
}

func (d *scenario) build(seed uint64) mutate.World {
	w := &mutationFleet{scenario: d, random: rand.New(rand.NewPCG(seed, 0))}
	clock := func() driftingClock {
		edge := []float64{1 - d.plan.Drift, 1 + d.plan.Drift, 1 + d.plan.Drift*(2*w.random.Float64()-1)}
		return driftingClock{edge[w.random.IntN(3)], w.random.Int64N(2e12) - 1e12}
	}
	w.keeperClock = clock()
	w.keeper = must(budget.NewKeeper(d.plan, w.keeperClock.at(0)))
	for i := range 8 {
		m := &holderNode{name: fmt.Sprintf("n%d", i), clock: clock(), joinAt: d.plan.QuietPeriod()*11/10 + d.joinedBy*time.Duration(i)/8,
			replanAt: d.replanFrom + time.Duration(w.random.Int64N(int64(d.plan.Lease)))}
		m.holder = must(budget.NewHolder(d.plan, m.name, uint64(i)*1000+w.random.Uint64N(1000)))
		w.holders = append(w.holders, m)
	}
	return w
}

// present says whether a holder spends and asks.
func (w *mutationFleet) present(m *holderNode, now time.Duration) bool {
	return now >= m.joinAt && (m.name != "n2" || w.scenario.leaveAt == 0 || now < w.scenario.leaveAt)
}

// cut says whether nothing is sent by a node or to it.
func (w *mutationFleet) cut(now time.Duration, node string) bool {
	return node == "n3" && now >= w.scenario.cutFrom && now < w.scenario.cutUntil
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (w *mutationFleet) Nodes() []string {
	return []string{"keeper", "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"}
}

// holder is the one with a name, nil for the keeper's.
func (w *mutationFleet) holder(name string) *holderNode {
	if name == "keeper" {
		return nil
	}
	return w.holders[name[1]-'0']
}

func (w *mutationFleet) message(now time.Duration, from, to string, b []byte) []mutate.Message {
	if w.cut(now, from) || w.cut(now, to) {
		return nil
	}
	return []mutate.Message{{From: from, To: to, Bytes: b, Delay: time.Millisecond + time.Duration(w.random.Int64N(int64(20*time.Millisecond)))}}
}

func (w *mutationFleet) Tick(now time.Duration, node string) []mutate.Message {
	m, d := w.holder(node), w.scenario
	if m == nil {
		if d.keeperReplan > 0 && !w.keeperReplanned && now >= d.keeperReplan {
			w.keeperReplanned = true
			check(w.keeper.Replan(d.changed))
		}
		if d.keeperRestart > 0 && !w.restarted && now >= d.keeperRestart {
			w.restarted = true
			w.keeper = must(budget.NewKeeper(d.plan, w.keeperClock.at(now)))
		}
		return nil
	}
	if !w.present(m, now) {
		return nil
	}
	if node == "n1" && d.holderRestart > 0 && !m.restarted && now >= d.holderRestart {
		m.restarted = true
		m.holder = must(budget.NewHolder(d.plan, m.name, 1e6))
	}
	if d.replanFrom > 0 && !m.replanned && now >= m.replanAt {
		m.replanned = true
		check(m.holder.Replan(d.changed))
	}
	if a, due := m.holder.NextAsk(m.clock.at(now)); due {
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
func (w *mutationFleet) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	msg, err := wire.Decode(m.Bytes)
	if err != nil || msg.Budget != w.scenario.plan.Name {
		return nil
	}
	if to := w.holder(m.To); to != nil {
		if msg.Grant != nil && w.present(to, now) {
			to.holder.HandleGrant(to.clock.at(now), *msg.Grant)
		}
		return nil
	}
	if msg.Ask == nil || m.From == "keeper" { // who has no socket of a holder's gets no answer
		return nil
	}
	return w.message(now, "keeper", m.From, wire.AppendGrant(nil, msg.Budget, w.keeper.HandleAsk(w.keeperClock.at(now), *msg.Ask)))
}

// inForce is the plan that all go by, or the old one while not all have read the changed one.
func (w *mutationFleet) inForce(now time.Duration) (p budget.Plan, all bool) {
	all = w.keeperReplanned
	for _, m := range w.holders {
		all = all && (m.replanned || !w.present(m, now))
	}
	if all {
		return w.scenario.changed, true
	}
	return w.scenario.plan, w.scenario.replanFrom == 0 || now < w.scenario.replanFrom
}

// Check: what the holders may spend is never above the whole: the plan's; while a changed plan is
// being read the larger of the two.
func (w *mutationFleet) Check(now time.Duration) error {
	sum := 0
	for _, m := range w.holders {
		if w.present(m, now) {
			sum += m.holder.Share(m.clock.at(now))
		}
	}
	p, all := w.inForce(now)
	whole := p.Total
	if !all {
		whole = max(w.scenario.plan.Total, w.scenario.changed.Total)
	}
	if sum > whole {
		return fmt.Errorf("the holders may spend %d of %d", sum, whole)
	}
	return nil
}

// End: every holder that is there has its reserve and its fair part of the pool, less one unit. What
// a changed plan moves from reserves to the pool or back is held by neither until the next start.
func (w *mutationFleet) End(now time.Duration) error {
	n := 0
	for _, m := range w.holders {
		if w.present(m, now) {
			n++
		}
	}
	p, _ := w.inForce(now)
	pool, reserve := p.Pool(), p.Reserve()
	if w.scenario.plan.Total == w.scenario.changed.Total {
		pool, reserve = min(pool, w.scenario.plan.Pool()), min(reserve, w.scenario.plan.Reserve())
	}
	want := reserve + pool/n - 1
	for _, m := range w.holders {
		if got := m.holder.Share(m.clock.at(now)); w.present(m, now) && got < want {
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
	for name, d := range map[string]scenario{
		"joins and leaves": {joinedBy: 60 * ms, holderRestart: 130 * ms, leaveAt: 350 * ms, cutFrom: 500 * ms, cutUntil: 1000 * ms, faultsFrom: 1, faultsUntil: 900 * ms},
		"lowered":          {changed: with(200, 0.25), replanFrom: 700 * ms, keeperReplan: 1000 * ms, faultsFrom: 500 * ms, faultsUntil: 1050 * ms},
		"raised":           {changed: with(600, 0.25), replanFrom: 700 * ms, keeperReplan: 700 * ms, faultsFrom: 500 * ms, faultsUntil: 1050 * ms},
		"less reserve":     {changed: with(400, 0.05), replanFrom: 700 * ms, keeperReplan: 750 * ms, faultsFrom: 500 * ms, faultsUntil: 1050 * ms},
		"more reserve":     {changed: with(400, 0.75), replanFrom: 700 * ms, keeperReplan: 950 * ms, faultsFrom: 500 * ms, faultsUntil: 1050 * ms},
		"keeper again":     {keeperRestart: 700 * ms, faultsFrom: 500 * ms, faultsUntil: 1200 * ms},
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
