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
// own at an edge of the drift or within it. Holders join one after another, one leaves, the plan is
// changed at each process at a moment of its own, and the keeper starts again once.
type fleetWorld struct {
	plan, lower budget.Plan
	keeper      *budget.Keeper
	kclock      ownClock
	kread       bool // the keeper has read the changed plan
	holders     []*fleetHolder
	at          fleetTimes
	rnd         *rand.Rand
	restarted   bool
}

// fleetTimes are when things happen, in real time.
type fleetTimes struct{ joins, leaves, replan, restart, faults, end time.Duration }

type ownClock struct {
	rate   float64
	offset int64
}

func (c ownClock) at(real time.Duration) budget.Time {
	return budget.Time(c.offset + int64(float64(real)*c.rate))
}

type fleetHolder struct {
	name                string
	h                   *budget.Holder
	clock               ownClock
	joins, leaves, read time.Duration
	told                bool // has read the changed plan
}

func (m *fleetHolder) there(now time.Duration) bool { return now >= m.joins && now < m.leaves }

const fleetTick = 10 * time.Millisecond

// times lays out a play. After the last fault comes Late, then the design's time for the end state:
// two leases, and the quiet time where the keeper started again; both on the slowest clock.
func times(p budget.Plan, late time.Duration) (t fleetTimes) {
	t.joins = p.Quiet()
	t.leaves = t.joins + 2*p.Lease
	t.replan = t.leaves + p.Lease
	t.restart = t.replan + 2*p.Lease
	t.faults = t.restart + p.Quiet() + p.Lease/2
	t.end = t.faults + late + time.Duration(float64(2*p.Lease)/(1-p.Drift)) + 4*fleetTick
	return t
}

func buildFleet(p, lower budget.Plan, at fleetTimes) func(uint64) mutate.World {
	return func(seed uint64) mutate.World {
		w := &fleetWorld{plan: p, lower: lower, at: at, rnd: rand.New(rand.NewPCG(seed, 0))}
		clock := func() ownClock {
			edge := []float64{1 - p.Drift, 1 + p.Drift, 1 + p.Drift*(2*w.rnd.Float64()-1)}
			return ownClock{edge[w.rnd.IntN(3)], w.rnd.Int64N(2e12) - 1e12}
		}
		w.kclock = clock()
		w.keeper = must(budget.NewKeeper(p, w.kclock.at(0)))
		for i := range 8 {
			m := &fleetHolder{name: fmt.Sprintf("n%d", i), clock: clock(), joins: at.joins * time.Duration(i) / 8, leaves: 1 << 60,
				read: at.replan + time.Duration(w.rnd.Int64N(int64(p.Lease)))}
			m.h = must(budget.NewHolder(p, m.name, w.rnd.Uint64N(1e4)+uint64(i)*1e4))
			w.holders = append(w.holders, m)
		}
		w.holders[w.rnd.IntN(8)].leaves = at.leaves
		return w
	}
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

func (w *fleetWorld) message(from, to string, b []byte) []mutate.Message {
	return []mutate.Message{{From: from, To: to, Bytes: b, Delay: time.Millisecond + time.Duration(w.rnd.Int64N(int64(20*time.Millisecond)))}}
}

func (w *fleetWorld) Tick(now time.Duration, node string) []mutate.Message {
	m := w.holder(node)
	if m == nil {
		if !w.kread && now >= w.at.replan+w.plan.Lease/3 {
			w.kread = true
			check(w.keeper.Replan(w.lower))
		}
		if !w.restarted && now >= w.at.restart {
			w.restarted = true
			w.keeper = must(budget.NewKeeper(w.lower, w.kclock.at(now)))
		}
		return nil
	}
	if !m.there(now) {
		return nil
	}
	if !m.told && now >= m.read {
		m.told = true
		check(m.h.Replan(w.lower))
	}
	if a, due := m.h.Due(m.clock.at(now)); due {
		return w.message(node, "keeper", wire.AppendAsk(nil, w.plan.Name, a))
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
	msg, err := wire.Read(m.Bytes)
	if err != nil || msg.Budget != w.plan.Name {
		return nil
	}
	if to := w.holder(m.To); to != nil {
		if msg.Grant != nil && to.there(now) {
			to.h.Granted(to.clock.at(now), *msg.Grant)
		}
		return nil
	}
	if msg.Ask == nil {
		return nil
	}
	return w.message("keeper", m.From, wire.AppendGrant(nil, msg.Budget, w.keeper.Take(w.kclock.at(now), *msg.Ask)))
}

// Check: what the holders may spend is never above the whole: the old one until the last process
// that is there has read the changed plan, the new one from then on.
func (w *fleetWorld) Check(now time.Duration) error {
	sum, all := 0, w.kread
	for _, m := range w.holders {
		if m.there(now) {
			sum += m.h.Share(m.clock.at(now))
			all = all && m.told
		}
	}
	whole := max(w.plan.Total, w.lower.Total)
	if all {
		whole = w.lower.Total
	}
	if sum > whole {
		return fmt.Errorf("the holders may spend %d of %d", sum, whole)
	}
	if lent := w.keeper.Lent(w.kclock.at(now)); lent > max(w.plan.Pool(), w.lower.Pool()) {
		return fmt.Errorf("%d lent of a pool of %d", lent, w.plan.Pool())
	}
	return nil
}

// End: every holder that is there has its reserve and its fair part of the pool, less one unit.
func (w *fleetWorld) End(now time.Duration) error {
	there := 0
	for _, m := range w.holders {
		if m.there(now) {
			there++
		}
	}
	want := w.lower.Reserve() + w.lower.Pool()/there - 1
	for _, m := range w.holders {
		if got := m.h.Share(m.clock.at(now)); m.there(now) && got < want {
			return fmt.Errorf("%s may spend %d, its fair part is %d", m.name, got, want)
		}
	}
	return nil
}

// TestFleetUnderMutation: whatever happens to any one message, the shares never sum to more than
// the whole, and all are back at their fair parts within the time that docs/design/budget.md names.
func TestFleetUnderMutation(t *testing.T) {
	p := budget.Plan{Name: "connections", Total: 400, Most: 9, Part: 0.25, Lease: 300 * time.Millisecond, Drift: 0.05}
	for name, c := range map[string]struct {
		total int
		part  float64
	}{"lowered": {200, 0.25}, "raised": {600, 0.25}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			changed := p
			changed.Total, changed.Part = c.total, c.part
			late := p.Lease + 20*time.Millisecond
			at := times(p, late)
			rep := mutate.Test(t, mutate.Setup{Name: "budgets " + name, Seed: 1, Build: buildFleet(p, changed, at),
				Tick: fleetTick, Length: at.end, Faults: at.faults, Late: late, Plays: 240})
			assert.Positive(t, rep.Played)
		})
	}
}
