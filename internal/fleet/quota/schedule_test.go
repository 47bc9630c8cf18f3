package quota

import (
	"cmp"
	"flag"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawSetup draws a fleet whose messages are lost, doubled and late.
func drawSetup(t *rapid.T) setup {
	short := time.Duration(rapid.IntRange(300, 3000).Draw(t, "lease_ms")) * time.Millisecond
	drift := rapid.SampledFrom([]float64{0, 0.001, 0.02, 0.1, 0.1}).Draw(t, "drift")
	run := time.Duration(rapid.IntRange(100, 4000).Draw(t, "run_ms")) * time.Millisecond
	s := setup{
		up:      LeaseConfig{Lease: short * time.Duration(rapid.IntRange(4, 12).Draw(t, "leases")), MaxRunTime: run, Drift: drift},
		down:    LeaseConfig{Lease: short, MaxRunTime: run, Drift: drift},
		quotas:  map[string]int{"a": rapid.IntRange(0, 40).Draw(t, "a"), "b": rapid.IntRange(0, 6).Draw(t, "b")},
		reserve: rapid.IntRange(0, 3).Draw(t, "reserve"),
		regions: rapid.IntRange(2, 3).Draw(t, "regions"),
		disps:   rapid.IntRange(2, 12).Draw(t, "dispatchers"),
		seed:    rapid.Uint64().Draw(t, "seed"),
		near:    short / time.Duration(rapid.IntRange(20, 200).Draw(t, "near")),
		loses:   rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loses"),
		doubles: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "doubles"),
		lates:   rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lates"),
		first:   rapid.Bool().Draw(t, "first"),
	}
	s.far = s.near * time.Duration(rapid.IntRange(1, 4).Draw(t, "far"))
	s.late = s.up.Lease * time.Duration(rapid.IntRange(1, 20).Draw(t, "late")) / 10
	return s
}

// fault makes one thing go wrong, or right again.
func (w *world) fault(kind, who, n int) {
	r, d := who%len(w.regions), w.disps[who%len(w.disps)]
	switch kind {
	case 0: // a leader is lost, or the next is elected
		if w.root != nil {
			w.root = nil
		} else {
			w.elect(false)
		}
	case 1: // a region's lender is replaced
		w.newRegion(r)
	case 2:
		w.stallRegion(r)
	case 3:
		w.regions[r].cut = !w.regions[r].cut
	case 4: // a dispatcher crashes
		w.newDisp(who % len(w.disps))
	case 5:
		w.stallDisp(d)
	case 6:
		d.cut = !d.cut
	case 7:
		w.restart(who % len(w.disps))
	case 8:
		w.requota([]string{"a", "b"}[who%2], n)
	case 9:
		w.rereserve(n % 4)
	case 11: // the leader's machine is a region's lender too, or is not alone
		w.elect(false)
		w.newRegion(r)
		if n%2 == 0 {
			w.newRegion((r + 1) % len(w.regions))
		}
	case 10: // a team loses its quota, or gains one
		if _, has := w.quotas["b"]; has {
			w.unquota("b")
		} else {
			w.requota("b", n%7)
		}
	}
}

func (w *world) stallRegion(i int) {
	r := w.regions[i]
	if r.stalled = !r.stalled; r.stalled {
		return
	}
	inbox := r.inbox
	r.inbox = nil
	for _, e := range inbox { // what waits is read before it looks at anything else
		e.do()
	}
	w.regionTurn(i, r)
}

func (w *world) stallDisp(n *dispNode) {
	if n.stalled = !n.stalled; n.stalled {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		e.do()
	}
	w.dispTurn(n)
}

// restart ends a dispatcher in order: what waits is refused, and once nothing runs all is given back and a new life
// begins.
func (w *world) restart(i int) {
	n := w.disps[i]
	if n.stalled || n.draining {
		return
	}
	n.draining = true
	for _, id := range slices.Sorted(maps.Keys(n.waits)) {
		n.d.Release(id)
	}
	clear(n.waits)
	clear(n.waiting)
	h := n.h
	var wait func()
	wait = func() {
		switch {
		case n.h != h:
		case len(n.d.reqs) > 0 || n.stalled:
			w.after(20*time.Millisecond, n.name, n.name, wait)
		default:
			n.d.TakeUsageChanges(n.h.SetUsage)
			n.h.Close()
			n.h.inFlight = false
			if a, due := n.h.NextRequest(n.at(w.now)); due {
				w.ask(n, a)
			}
			w.newDisp(i)
		}
	}
	wait()
}

// requota decides another quota, where there is a leader. What names the accounts is in force at all dispatchers at
// once, as the accord has it.
func (w *world) requota(account string, units int) {
	if w.root == nil {
		return
	}
	_, had := w.quotas[account]
	w.quotas[account] = units
	w.truth.quota(account, units)
	w.root.l.SetCapacity(w.root.at(w.now), account, units)
	w.rootNudges()
	if !had {
		w.tellAccounts()
	}
}

func (w *world) unquota(account string) {
	if w.root == nil {
		return
	}
	delete(w.quotas, account)
	w.truth.quota(account, MaxUnits)
	w.root.l.SetCapacity(w.root.at(w.now), account, 0)
	w.tellAccounts()
}

// rereserve decides another reserve for each region.
func (w *world) rereserve(units int) {
	w.reserve = units
	w.truth.reserve = append(w.truth.reserve, decided{w.now, units})
	for i, r := range w.regions {
		r.r.SetReserve(r.at(w.now), units)
		w.regionTurn(i, r)
	}
	w.tellAccounts()
}

func (w *world) tellAccounts() {
	for _, n := range w.disps {
		n.d.SetQuotas(n.at(w.now), w.accounts())
		w.dispTurn(n)
	}
}

// heal ends all faults: links are good and quick, all are there.
func (w *world) heal() {
	w.setup.loses, w.setup.doubles, w.setup.lates = 0, 0, 0
	for i, r := range w.regions {
		if r.cut = false; r.stalled {
			w.stallRegion(i)
		}
	}
	for _, n := range w.disps {
		if n.cut = false; n.stalled {
			w.stallDisp(n)
		}
	}
	if w.root == nil {
		w.elect(false)
	}
}

// named is how long after faults end each team has its share, docs/design/quota.md: what nobody can account for is over,
// the wait of an ask that was lost, and some rounds in which units come back and go out.
func (w *world) named() time.Duration {
	up, down := w.setup.up, w.setup.down
	slow := 1 - down.Drift
	return time.Duration(float64(down.QuietPeriod()+down.DrainPeriod()+min(maxRetryDelay, up.RenewInterval())+2*up.ReportDelay()+4*down.RenewInterval())/slow) + 20*w.setup.far + 20*w.setup.near + 10*20*time.Millisecond + w.setup.late
}

// crowd has more reqs wait at each dispatcher than any quota has units.
func (w *world) crowd() {
	accounts := slices.Sorted(maps.Keys(w.quotas))
	for _, n := range w.disps {
		for _, a := range accounts {
			for range cmp.Or(w.deep, w.quotas[a]+2) - n.waiting[a] {
				w.take(n, a, false, 0)
			}
		}
	}
}

// schedule plays one drawn schedule.
func schedule(t *rapid.T, s setup) *world {
	w := newWorld(s)
	w.crowded = rapid.Bool().Draw(t, "crowded")
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
			w.fault(rapid.IntRange(0, 11).Draw(t, "fault"), rapid.IntRange(0, 11).Draw(t, "who"), rapid.IntRange(0, 40).Draw(t, "units"))
		}
		for range w.rnd.IntN(2 * len(w.disps)) {
			n := w.disps[w.rnd.IntN(len(w.disps))]
			account := []string{"a", "a", "a", "b"}[w.rnd.IntN(4)]
			for range 1 + w.rnd.IntN(4) {
				w.take(n, account, w.rnd.IntN(5) == 0, time.Duration(w.rnd.Int64N(int64(2*s.down.Lease))))
			}
		}
		w.advance(time.Duration(w.rnd.Int64N(int64(s.down.Lease))))
		if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
			w.advance(time.Duration(w.rnd.Int64N(int64(2 * s.up.Lease))))
		}
		if w.truth.bad != nil {
			return w
		}
	}
	return w
}

// live lets faults end and says whether each team has its share in time.
func (w *world) live() {
	w.heal()
	if _, has := w.quotas["b"]; !has {
		w.requota("b", 3)
	}
	w.crowded = true
	for end := w.now + w.named(); w.now < end && w.truth.bad == nil; {
		w.advance(w.setup.down.Lease / 10)
	}
	// Units of which there are fewer than dispatchers that want one go round, and run nothing on their way.
	const samples = 100
	sum, full := map[string]int{}, map[string]bool{}
	for range samples {
		w.advance(2 * w.setup.down.RotationPeriod() / samples)
		for _, a := range []string{"a", "b"} {
			sum[a] += w.truth.running[a]
			full[a] = full[a] || w.truth.running[a] == w.quotas[a]
		}
	}
	for _, a := range []string{"a", "b"} {
		q := w.quotas[a]
		if w.used = min(w.used, float64(sum[a]+1)/float64(q*samples+1)); !full[a] || w.used < leastUse {
			w.truth.fail("%.2f of %q run, all at once: %v, and the quota is %d, %v after the faults ended", float64(sum[a])/samples, a, full[a], q, w.named())
		}
	}
}

// leastUse is the part of a quota that is in use on average where a link takes up to a twentieth of a lease and units go
// round every other lease; TestGoingRound has the part where links are as operators have them.
const leastUse = 0.5

// TestNeverMoreThanTheQuota: whatever is lost, late, cut, stalled, crashed and replaced, what truly runs of a team never
// passes its quota, no region runs more urgent reqs by its reserve than it is, each req has one verdict; and once the
// faults end each team with demand runs as many as its quota within the time named. QUOTA_CASES is the count of
// schedules, drawn anew each time; without it 200 are played, the same ones each time.
func TestNeverMoreThanTheQuota(t *testing.T) {
	cases, parts := 200, 1
	if v := os.Getenv("QUOTA_CASES"); v != "" {
		n, err := strconv.Atoi(v)
		require.NoError(t, err)
		cases, parts = n, 4
	} else {
		require.NoError(t, flag.Set("rapid.seed", "1"))
		t.Cleanup(func() { _ = flag.Set("rapid.seed", "0") })
	}
	var least [4]float64
	t.Cleanup(func() { t.Logf("least use of a quota after the faults: %.2f of it", slices.Min(least[:parts])) })
	require.NoError(t, flag.Set("rapid.checks", strconv.Itoa(cases/parts)))
	for i := range parts {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			least[i] = 1
			rapid.Check(t, func(t *rapid.T) {
				w := schedule(t, drawSetup(t))
				if w.truth.bad == nil {
					w.live()
				}
				least[i] = min(least[i], w.used)
				if w.truth.bad != nil && os.Getenv("QUOTA_DUMP") != "" {
					w.dump()
				}
				require.NoError(t, w.truth.bad)
			})
		})
	}
}
