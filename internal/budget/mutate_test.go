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

// mutationFleet is a mutate.System of one keeper and eight holders that exchange encoded messages, each with a clock
// of its own within the drift or at its limit. A scenario says what happens.
type mutationFleet struct {
	scenario        *scenario
	keeper          *budget.Keeper
	keeperClock     driftingClock
	keeperReplanned bool // the keeper has applied the changed plan
	restarted       bool // the keeper has been restarted
	holders         []*holderNode
	random          *rand.Rand
}

// scenario says what happens when, in real time from the end of the keeper's first quiet period. An event whose time
// is 0 does not happen.
type scenario struct {
	plan, changed           budget.Plan
	joinedBy                time.Duration // the holders join one after another until then
	holderRestart           time.Duration // n1 starts again without any state
	leaveAt                 time.Duration // n2 leaves
	cutFrom, cutUntil       time.Duration // no message is sent by n3 or to it in between
	replanFrom              time.Duration // each holder applies the changed plan within a lease from here
	keeperReplan            time.Duration // the keeper applies the changed plan
	keeperRestart           time.Duration // the keeper starts again without any state
	faultsFrom, faultsUntil time.Duration // messages sent in between are mutated
}

// driftingClock turns real time into the readings of one process's clock.
type driftingClock struct {
	rate   float64
	offset int64
}

func (c driftingClock) at(real time.Duration) budget.Time {
	return budget.Time(c.offset + int64(float64(real)*c.rate))
}

// holderNode is a holder, with the times at which it joins and applies the changed plan.
type holderNode struct {
	name                 string
	holder               *budget.Holder
	clock                driftingClock
	joinAt, replanAt     time.Duration
	restarted, replanned bool
}

// tick is the interval at which the nodes' Tick is called.
const tick = 10 * time.Millisecond

// setup returns the setup of the scenario's runs. After the last fault comes the time for a late message, and then
// the time that the design allows until the end state: two leases on the slowest clock, and two ticks, since holders
// send lease requests only at ticks.
func (sc *scenario) setup(name string) mutate.Setup {
	p := sc.plan
	quiet := p.QuietPeriod() * 11 / 10
	for _, at := range []*time.Duration{&sc.holderRestart, &sc.leaveAt, &sc.cutFrom, &sc.cutUntil, &sc.replanFrom, &sc.keeperReplan, &sc.keeperRestart, &sc.faultsFrom, &sc.faultsUntil} {
		if *at > 0 {
			*at += quiet
		}
	}
	late := p.Lease + 2*tick
	return mutate.Setup{Name: "budgets " + name, Seed: 1, Build: sc.build, TickInterval: tick, FaultsFrom: sc.faultsFrom, FaultsUntil: sc.faultsUntil, ExtraDelay: late,
		Duration: sc.faultsUntil + late + time.Duration(float64(2*p.Lease)/(1-p.Drift)) + 2*tick}
}

func (sc *scenario) build(seed uint64) mutate.System {
	f := &mutationFleet{scenario: sc, random: rand.New(rand.NewPCG(seed, 0))}
	clock := func() driftingClock {
		rates := []float64{1 - sc.plan.Drift, 1 + sc.plan.Drift, 1 + sc.plan.Drift*(2*f.random.Float64()-1)}
		return driftingClock{rates[f.random.IntN(3)], f.random.Int64N(2e12) - 1e12}
	}
	f.keeperClock = clock()
	f.keeper = must(budget.NewKeeper(sc.plan, f.keeperClock.at(0)))
	for i := range 8 {
		h := &holderNode{name: fmt.Sprintf("n%d", i), clock: clock(), joinAt: sc.plan.QuietPeriod()*11/10 + sc.joinedBy*time.Duration(i)/8,
			replanAt: sc.replanFrom + time.Duration(f.random.Int64N(int64(sc.plan.Lease)))}
		h.holder = must(budget.NewHolder(sc.plan, h.name, uint64(i)*1000+f.random.Uint64N(1000)))
		f.holders = append(f.holders, h)
	}
	return f
}

// present reports whether a holder has joined and not left.
func (f *mutationFleet) present(h *holderNode, now time.Duration) bool {
	return now >= h.joinAt && (h.name != "n2" || f.scenario.leaveAt == 0 || now < f.scenario.leaveAt)
}

// cut reports whether no message is sent by a node or to it now.
func (f *mutationFleet) cut(now time.Duration, node string) bool {
	return node == "n3" && now >= f.scenario.cutFrom && now < f.scenario.cutUntil
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (f *mutationFleet) Nodes() []string {
	return []string{"keeper", "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"}
}

// holder returns the holder of that name, nil for the keeper.
func (f *mutationFleet) holder(name string) *holderNode {
	if name == "keeper" {
		return nil
	}
	return f.holders[name[1]-'0']
}

func (f *mutationFleet) message(now time.Duration, from, to string, b []byte) []mutate.Message {
	if f.cut(now, from) || f.cut(now, to) {
		return nil
	}
	return []mutate.Message{{From: from, To: to, Bytes: b, Delay: time.Millisecond + time.Duration(f.random.Int64N(int64(20*time.Millisecond)))}}
}

func (f *mutationFleet) Tick(now time.Duration, node string) []mutate.Message {
	h, sc := f.holder(node), f.scenario
	if h == nil {
		if sc.keeperReplan > 0 && !f.keeperReplanned && now >= sc.keeperReplan {
			f.keeperReplanned = true
			check(f.keeper.Replan(sc.changed))
		}
		if sc.keeperRestart > 0 && !f.restarted && now >= sc.keeperRestart {
			f.restarted = true
			f.keeper = must(budget.NewKeeper(sc.plan, f.keeperClock.at(now)))
		}
		return nil
	}
	if !f.present(h, now) {
		return nil
	}
	if node == "n1" && sc.holderRestart > 0 && !h.restarted && now >= sc.holderRestart {
		h.restarted = true
		h.holder = must(budget.NewHolder(sc.plan, h.name, 1e6))
	}
	if sc.replanFrom > 0 && !h.replanned && now >= h.replanAt {
		h.replanned = true
		check(h.holder.Replan(sc.changed))
	}
	if request, due := h.holder.NextRequest(h.clock.at(now)); due {
		return f.message(now, node, "keeper", wire.AppendLeaseRequest(nil, sc.plan.Name, request))
	}
	return nil
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// Deliver does what the drivers in internal/network/budgets do: the keeper sends a grant to whoever sent a lease
// request, and a holder handles grants of its budget.
func (f *mutationFleet) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	msg, err := wire.Decode(m.Bytes)
	if err != nil || msg.Budget != f.scenario.plan.Name {
		return nil
	}
	if to := f.holder(m.To); to != nil {
		if msg.Grant != nil && f.present(to, now) {
			to.holder.HandleGrant(to.clock.at(now), *msg.Grant)
		}
		return nil
	}
	if msg.LeaseRequest == nil || m.From == "keeper" { // a grant is sent to holders only
		return nil
	}
	return f.message(now, "keeper", m.From, wire.AppendGrant(nil, msg.Budget, f.keeper.Handle(f.keeperClock.at(now), *msg.LeaseRequest)))
}

// inForce returns the changed plan once all have applied it, else the old one. settled is false while some have
// applied the changed plan and others have not.
func (f *mutationFleet) inForce(now time.Duration) (p budget.Plan, settled bool) {
	settled = f.keeperReplanned
	for _, h := range f.holders {
		settled = settled && (h.replanned || !f.present(h, now))
	}
	if settled {
		return f.scenario.changed, true
	}
	return f.scenario.plan, f.scenario.replanFrom == 0 || now < f.scenario.replanFrom
}

// CheckInvariants checks that the holders together may not spend more than the plan's total, or than the larger of
// the two totals while not all have applied a changed plan.
func (f *mutationFleet) CheckInvariants(now time.Duration) error {
	sum := 0
	for _, h := range f.holders {
		if f.present(h, now) {
			sum += h.holder.Share(h.clock.at(now))
		}
	}
	p, settled := f.inForce(now)
	total := p.Total
	if !settled {
		total = max(f.scenario.plan.Total, f.scenario.changed.Total)
	}
	if sum > total {
		return fmt.Errorf("the holders may spend %d units, the total is %d", sum, total)
	}
	return nil
}

// CheckEndState checks that every present holder has its reserve and its fair share of the pool less one unit. Units
// that a changed plan moves from the reserves to the pool or back are in neither of them until the next start.
func (f *mutationFleet) CheckEndState(now time.Duration) error {
	n := 0
	for _, h := range f.holders {
		if f.present(h, now) {
			n++
		}
	}
	p, _ := f.inForce(now)
	pool, reserve := p.Pool(), p.Reserve()
	if f.scenario.plan.Total == f.scenario.changed.Total {
		pool, reserve = min(pool, f.scenario.plan.Pool()), min(reserve, f.scenario.plan.Reserve())
	}
	want := reserve + pool/n - 1
	for _, h := range f.holders {
		if got := h.holder.Share(h.clock.at(now)); f.present(h, now) && got < want {
			return fmt.Errorf("%s may spend %d units, want at least its fair share of %d", h.name, got, want)
		}
	}
	return nil
}

// TestFleetUnderMutation checks that whatever happens to any one message, the shares never sum to more than the
// total, and that all holders have their fair shares again within the time that docs/design/budget.md states.
func TestFleetUnderMutation(t *testing.T) {
	const ms = time.Millisecond
	p := budget.Plan{Name: "connections", Total: 400, MaxDispatchers: 9, ReserveShare: 0.25, Lease: 300 * ms, Drift: 0.05}
	with := func(total int, reserveShare float64) budget.Plan {
		changed := p
		changed.Total, changed.ReserveShare = total, reserveShare
		return changed
	}
	for name, sc := range map[string]scenario{
		"joins and leaves": {joinedBy: 60 * ms, holderRestart: 130 * ms, leaveAt: 350 * ms, cutFrom: 500 * ms, cutUntil: 1000 * ms, faultsFrom: 1, faultsUntil: 900 * ms},
		"lowered":          {changed: with(200, 0.25), replanFrom: 700 * ms, keeperReplan: 1000 * ms, faultsFrom: 500 * ms, faultsUntil: 1050 * ms},
		"raised":           {changed: with(600, 0.25), replanFrom: 700 * ms, keeperReplan: 700 * ms, faultsFrom: 500 * ms, faultsUntil: 1050 * ms},
		"less reserve":     {changed: with(400, 0.05), replanFrom: 700 * ms, keeperReplan: 750 * ms, faultsFrom: 500 * ms, faultsUntil: 1050 * ms},
		"more reserve":     {changed: with(400, 0.75), replanFrom: 700 * ms, keeperReplan: 950 * ms, faultsFrom: 500 * ms, faultsUntil: 1050 * ms},
		"keeper again":     {keeperRestart: 700 * ms, faultsFrom: 500 * ms, faultsUntil: 1200 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc.plan = p
			s := sc.setup(name)
			if s.MaxRuns = 120; name == "joins and leaves" { // the scenario with the most kinds of events
				s.MaxRuns = 800
			}
			assert.Positive(t, mutate.Test(t, s).Runs)
		})
	}
}
