package quota

import (
	"fmt"
	"time"
)

// oracle checks what really runs. It counts starts and ends as the backends see them and knows the quotas that were decided.
// It shares no code with the packages under test.
type oracle struct {
	sim           *simulation
	running       map[string]int        // requests by the account of their unit
	runningOwn    map[string]int        // requests by their own account
	runningUrgent map[string]int        // requests that use the reserve, by region
	quotas        map[string][]decision // by account
	reserves      []decision
	started       map[string]int // requests started, by account and by region
	err           error          // the first violation
}

// decision is a quota that is in force from a time on.
type decision struct {
	from  time.Duration
	units int
}

func newOracle(sim *simulation) *oracle {
	o := &oracle{sim: sim, running: map[string]int{}, runningOwn: map[string]int{}, runningUrgent: map[string]int{},
		quotas: map[string][]decision{}, started: map[string]int{}}
	o.reserves = []decision{{0, sim.reserve}}
	return o
}

func (o *oracle) fail(format string, a ...any) {
	if o.err == nil {
		o.err = fmt.Errorf("at %v: %s", o.sim.now, fmt.Sprintf(format, a...))
	}
}

func (o *oracle) setQuota(account string, units int) {
	o.quotas[account] = append(o.quotas[account], decision{o.sim.now, units})
}

// largestWithin returns the largest quota that was in force within a window before now. For decisions without a limit the
// longer window unlimited counts.
func largestWithin(history []decision, now, window, unlimited time.Duration) int {
	largest := 0
	for i, d := range history {
		length := window
		if d.units == MaxUnits {
			length = unlimited
		}
		if i+1 == len(history) || history[i+1].from >= now-length {
			largest = max(largest, d.units)
		}
	}
	return largest
}

// largestQuota returns the largest quota of an account that was in force within a window before now. A team that had no
// quota counts as unlimited for longer, by the time that requests run: those started then were not counted and may run
// beside units that were lent by nodes that did not know of them yet.
func (o *oracle) largestQuota(account string, now, window time.Duration) int {
	return largestWithin(o.quotas[account], now, window, window+realTime(o.sim.setup.down.MaxRunTime, o.sim.setup.down.Drift))
}

// realTime returns the longest real time that d by the clock of a node can take.
func realTime(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d)/(1-drift)) + 2
}

// awareWithin is how long after a decision a region that does not know of it may start requests under the previous quota:
// the length of a lease that it requested before the decision, by its own clock.
func (o *oracle) awareWithin() time.Duration {
	up := o.sim.setup.up
	return realTime(up.UsableLease(), up.Drift)
}

// effectiveWithin is how long after a decision requests that were started under the previous quota may run.
func (o *oracle) effectiveWithin() time.Duration {
	return o.awareWithin() + realTime(o.sim.setup.down.MaxRunTime, o.sim.setup.down.Drift)
}

// start records the start of a request and checks it against the quotas.
func (o *oracle) start(account, charged, region string) {
	o.runningOwn[account]++
	o.started[account]++
	o.started[region]++
	if charged == ReserveAccount {
		o.runningUrgent[region]++
		if limit := largestWithin(o.reserves, o.sim.now, o.effectiveWithin(), o.effectiveWithin()); o.runningUrgent[region] > limit {
			o.fail("%d requests use the urgent reserve of %s, limit is %d", o.runningUrgent[region], region, limit)
		}
		return
	}
	if charged != account {
		o.fail("a request of %q uses a unit of %q", account, charged)
	}
	// No request may start beyond the largest quota that a node may still apply.
	if limit := o.largestQuota(account, o.sim.now, o.awareWithin()); o.running[account]+1 > limit {
		o.fail("a request of %q starts while %d run, quota is %d", account, o.running[account], limit)
	}
	o.running[account]++
}

// end records the end of a request.
func (o *oracle) end(account, charged, region string) {
	if o.runningOwn[account]--; charged == ReserveAccount {
		o.runningUrgent[region]--
		return
	}
	o.running[account]--
}

// check checks what runs at a moment, whoever started it. Beyond an account's quota at most as many requests may run as all
// reserves have units.
func (o *oracle) check(now time.Duration) {
	beyond := 0
	for account, n := range o.running {
		if limit := o.largestQuota(account, now, o.effectiveWithin()); n > limit {
			o.fail("%d requests of %q run, largest quota was %d", n, account, limit)
		}
		beyond += max(o.runningOwn[account]-o.largestQuota(account, now, o.effectiveWithin()), 0)
	}
	if limit := largestWithin(o.reserves, now, o.effectiveWithin(), o.effectiveWithin()) * len(o.sim.regions); beyond > limit {
		o.fail("%d requests run beyond all quotas, the reserves have %d units", beyond, limit)
	}
}
