package slices

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// setSchedules sets the number of runs of rapid.Check: SLICES_SCHEDULES, or byDefault.
func setSchedules(t *testing.T, byDefault string) {
	n := byDefault
	if env := os.Getenv("SLICES_SCHEDULES"); env != "" {
		n = env
	}
	old := flag.Lookup("rapid.checks").Value.String()
	require.NoError(t, flag.Set("rapid.checks", n))
	t.Cleanup(func() { _ = flag.Set("rapid.checks", old) })
}

func drawDemand(t *rapid.T, id string) Demand {
	return Demand{ID: id, Size: Amount{rapid.SampledFrom([]int{50, 143, 250, 500, 571, 1000}).Draw(t, "parts"),
		rapid.SampledFrom([]int{512, 2048, 4096, 9000, 16384}).Draw(t, "memory")},
		Isolation: rapid.SampledFrom([]Isolation{SharedWithAny, SharedWithAny, SharedWithTenant, Partitioned, Exclusive}).Draw(t, "isolation"),
		Tenant:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"),
		Lifetime:  time.Duration(rapid.IntRange(1, 200).Draw(t, "life")),
		Priority:  rapid.IntRange(0, 2).Draw(t, "priority")}
}

// TestTableUnderFaults runs tables and backends while messages are lost, duplicated or delayed, owners stall or
// restart, and devices fail. No device may be oversold, no isolation violated, no id placed twice. After the faults
// end, every demand must come to an end and no device may hold a slice that nobody needs.
func TestTableUnderFaults(t *testing.T) {
	setSchedules(t, "250")
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.now = QuietPeriod(w.lease)
		w.strategy = Strategy(rapid.IntRange(int(FirstFit), int(Pattern)).Draw(t, "choice"))
		w.handOver(0)
		n := 0
		some := func() *simBackend { return w.backends[rapid.SampledFrom(w.names).Draw(t, "device")] }
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch k := rapid.IntRange(0, 19).Draw(t, "do"); k {
			case 0, 1, 2, 3:
				n++
				id := fmt.Sprint("r", n)
				w.demands[id] = drawDemand(t, id)
				w.ask(id)
			case 4:
				for i := max(1, n-4); i <= n; i++ {
					w.ask(fmt.Sprint("r", i))
				}
			case 5, 6:
				if n > 0 {
					w.release(fmt.Sprint("r", rapid.IntRange(1, n).Draw(t, "release")))
				}
			case 7, 8:
				w.askLease(rapid.IntRange(0, 1).Draw(t, "asks"))
			case 9:
				w.tick(time.Duration(rapid.IntRange(1, 25).Draw(t, "time")))
			case 10: // a dispatcher dies and is started again with its records on disk
				i := rapid.IntRange(0, 1).Draw(t, "dies")
				w.owner[i], w.table[i] = NewOwner(w.lease), nil
			case 11: // a device fails, and may lose its slices
				if rapid.IntRange(0, 3).Draw(t, "truly") == 0 {
					w.failDevice(some(), rapid.Bool().Draw(t, "loses"))
				}
			case 12:
				w.recoverDevice(some())
			case 13:
				if rapid.Bool().Draw(t, "now") {
					w.handOver(rapid.IntRange(0, 1).Draw(t, "to"))
					for i := max(1, n-4); i <= n; i++ {
						w.ask(fmt.Sprint("r", i))
					}
				}
			case 14:
				some().refuseNext = true
			case 15:
				w.stopOne(some())
			default:
				for range 3 {
					w.deliver()
				}
			}
			w.check()
		}
		w.checkConvergence(t, n)
	})
}

func (w *simulation) failDevice(b *simBackend, loses bool) {
	b.failed, b.everFailed = true, true
	if loses {
		for placementID := range b.slices {
			b.stopped[placementID] = true
		}
		clear(b.slices)
	}
	for i := range w.table {
		if w.table[i] != nil {
			w.perform(i, w.table[i].MarkFailed(w.now, b.device.Name))
		}
	}
}

func (w *simulation) recoverDevice(b *simBackend) {
	b.failed = false
	for i := range w.table {
		if w.table[i] != nil {
			w.perform(i, w.table[i].MarkRecovered(w.now, b.device.Name))
		}
	}
}

// checkConvergence ends the faults and checks that every demand comes to an end.
func (w *simulation) checkConvergence(t *rapid.T, n int) {
	w.reliable = true
	for _, name := range w.names {
		w.recoverDevice(w.backends[name])
	}
	round := func() {
		w.askLease(0)
		for len(w.net) > 0 {
			w.deliver()
			w.check()
		}
		w.tick(5)
	}
	for range 60 {
		round()
	}
	clear(w.lastActions) // earlier messages do not count
	for i := 1; i <= n; i++ {
		w.ask(fmt.Sprint("r", i))
	}
	for range 120 { // demands wait no longer than the lifetimes of others
		round()
	}
	for i := 1; i <= n; i++ {
		id := fmt.Sprint("r", i)
		a, found := w.lastActions[id]
		if !found && !w.released[id] {
			t.Fatalf("the requester of %s got no message", id)
		}
		if tab := w.table[0]; a.Kind == Pending && tab.waitingByID[id] == nil && tab.placed[id] == nil {
			t.Fatalf("%s was lost: the requester was told to wait, and the table does not know the id", id)
		}
		w.release(id)
	}
	for range 60 {
		round()
	}
	for name, b := range w.backends {
		if len(b.slices) > 0 {
			t.Fatalf("%s still holds %+v", name, b.slices)
		}
	}
	if w.table[0] == nil || len(w.table[0].placed)+len(w.table[0].waiting) > 0 {
		t.Fatalf("the table is not empty: %+v", w.table[0])
	}
}

var testLimits = Limits{MaxTenants: 4, MaxSlices: 8, MaxWaiting: 10, MaxPassedOver: 3, MaxLifetime: time.Hour, RetainEnded: time.Hour, MaxKnownIDs: 1000}

// readyTable makes a table whose devices have all reported that they hold no slice.
func readyTable(l Limits, c Strategy, mix []TypicalDemand, ds ...Device) *Table {
	t := New(l, c, mix)
	for _, d := range ds {
		t.AcquireDevice(0, d, 1, nil)
	}
	for _, d := range ds {
		t.HandleState(0, d.Name, FencingToken{1, 1}, nil)
	}
	return t
}

func testDevice(name string) Device { return Device{Name: name, Size: Amount{1000, 16384}} }

func testDemand(id string, parts, memory int) Demand {
	return Demand{ID: id, Size: Amount{parts, memory}, Tenant: "a", Lifetime: time.Minute}
}

func lastAction(t *testing.T, out []Action) Action {
	require.NotEmpty(t, out)
	return out[len(out)-1]
}

func TestImpossibleDemandNamesLimit(t *testing.T) {
	partitioned := Device{Name: "p", Zone: "z1", Size: Amount{1000, 16384}, Profiles: []Amount{{500, 8192}}}
	for _, c := range []struct {
		reason string
		device Device
		alter  func(*Demand)
	}{
		{"parts: 1001 of at most 1000", testDevice("d"), func(d *Demand) { d.Size.Parts = 1001 }},
		{"memory: 16385 MiB of at most 16384", testDevice("d"), func(d *Demand) { d.Size.Memory = 16385 }},
		{"isolation: no fixed profiles", testDevice("d"), func(d *Demand) { d.Isolation = Partitioned }},
		{"profiles: none is large enough", partitioned, func(d *Demand) { d.Size.Parts = 501 }},
		{"zone", partitioned, func(d *Demand) { d.Zone = "z2" }},
		{"lifetime: 2h0m0s, above 0 and at most 1h0m0s", testDevice("d"), func(d *Demand) { d.Lifetime = 2 * time.Hour }},
	} {
		d := testDemand("x", 100, 100)
		c.alter(&d)
		a := lastAction(t, readyTable(testLimits, Pattern, nil, c.device).Submit(0, d))
		assert.Equal(t, Refused, a.Kind)
		assert.Equal(t, c.reason, a.Reason)
	}
	assert.Equal(t, "no device", lastAction(t, New(testLimits, Pattern, nil).Submit(0, testDemand("x", 1, 1))).Reason)
}

func TestSliceCountsUntilStopConfirmed(t *testing.T) {
	tab := readyTable(testLimits, BestFit, nil, testDevice("d"))
	b := lastAction(t, tab.Submit(0, testDemand("x", 600, 100)))
	require.Equal(t, Start, b.Kind)
	assert.Equal(t, Pending, lastAction(t, tab.Submit(0, testDemand("x", 600, 100))).Kind, "submitted again")
	tab.HandleStarted(0, "d", "x", b.PlacementID)
	assert.Equal(t, Placed, lastAction(t, tab.Submit(0, testDemand("x", 600, 100))).Kind)
	assert.Equal(t, Pending, lastAction(t, tab.Submit(0, testDemand("y", 600, 100))).Kind)
	tab.Release(0, "x")
	assert.Contains(t, tab.Unconfirmed(), Action{Kind: Stop, ID: "x", Device: "d", PlacementID: b.PlacementID, Token: FencingToken{1, 1}})
	assert.Len(t, tab.waiting, 1, "the stop is not confirmed")
	assert.Equal(t, Ended, lastAction(t, tab.Submit(0, testDemand("x", 600, 100))).Kind)
	out := tab.HandleStopped(0, "d", "x", b.PlacementID)
	assert.Equal(t, "y", lastAction(t, out).ID)
	assert.Equal(t, Start, lastAction(t, out).Kind)
	assert.Equal(t, Ended, lastAction(t, tab.Submit(0, testDemand("x", 1, 1))).Kind, "an ended id is not placed again")
	tab.Release(0, "late")
	assert.Equal(t, Ended, lastAction(t, tab.Submit(0, testDemand("late", 1, 1))).Kind, "the release came first")
}

func TestNotStartedIsPendingAgain(t *testing.T) {
	tab := readyTable(testLimits, BestFit, nil, testDevice("d"))
	b := lastAction(t, tab.Submit(0, testDemand("x", 600, 100)))
	out := tab.HandleNotStarted(0, "d", "x", b.PlacementID)
	assert.Contains(t, out, Action{Kind: Pending, ID: "x", Reason: "the backend did not begin it"})
	assert.Equal(t, Start, lastAction(t, tab.HandleState(0, "d", FencingToken{1, 2}, nil)).Kind)
}

func TestLoweredLimitStopsNothing(t *testing.T) {
	tab := readyTable(testLimits, Pattern, nil, testDevice("d"))
	for i := range 3 {
		tab.Submit(0, testDemand(fmt.Sprint(i), 100, 4000))
	}
	l := testLimits
	l.MaxSlices, l.ReservedMemory = 2, 8192
	tab.Submit(0, testDemand("w", 900, 100))
	assert.Empty(t, tab.SetLimits(0, l))
	assert.Len(t, tab.placed, 3)
	assert.Equal(t, Pending, lastAction(t, tab.Submit(0, testDemand("x", 1, 1))).Kind)
	assert.Equal(t, "memory: 9000 MiB of at most 8192", lastAction(t, tab.Submit(0, testDemand("y", 1, 9000))).Reason)
	assert.Equal(t, Start, lastAction(t, tab.SetLimits(0, testLimits)).Kind, "raised again: x is placed")
}

// TestPassedOverIsBounded submits small demands without end beside large ones. A demand is passed over at most P+R
// times (P: MaxPassedOver, R: demands that had starved before it). Once starved it is placed within (R+1)*(L+C)
// (L: longest lifetime, C: time until a stop is confirmed).
func TestPassedOverIsBounded(t *testing.T) {
	setSchedules(t, "30")
	rapid.Check(t, func(t *rapid.T) {
		l := testLimits
		l.MaxPassedOver, l.MaxWaiting, l.MaxLifetime = rapid.IntRange(1, 6).Draw(t, "P"), 400, 50
		var ds []Device
		for i := range rapid.IntRange(1, 5).Draw(t, "devices") {
			ds = append(ds, testDevice(fmt.Sprint("d", i)))
		}
		tab := readyTable(l, Pattern, mixes["photos"], ds...)
		passed, asked, starvedAt := map[string]int{}, map[string]int{}, map[string]time.Duration{}
		starvedBefore := map[string]int{}
		n := 0
		const confirm = 3
		for now := time.Duration(0); now < 400; now++ {
			var out []Action
			for range rapid.IntRange(0, 3).Draw(t, "come") {
				n++
				d := testDemand(fmt.Sprint(n), rapid.SampledFrom([]int{100, 200, 1000}).Draw(t, "parts"), 1000)
				d.Lifetime = time.Duration(rapid.IntRange(1, 50).Draw(t, "life"))
				d.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				asked[d.ID] = n
				out = append(out, tab.Submit(now, d)...)
			}
			out = append(out, tab.StopExpired(now)...)
			for _, v := range tab.order {
				for _, s := range append([]*slice(nil), v.slices...) {
					if s.stage == stopping && s.expiresAt+confirm <= now {
						out = append(out, tab.HandleStopped(now, v.Name, s.demand.ID, s.placementID)...)
					}
				}
			}
			for _, a := range out {
				if a.Kind != Start {
					continue
				}
				if at, starved := starvedAt[a.ID]; starved {
					if bound := time.Duration(starvedBefore[a.ID]+1) * (50 + confirm); now-at > bound {
						t.Fatalf("%s was placed %v after it starved, the bound is %v", a.ID, now-at, bound)
					}
				}
				for _, w := range tab.waiting { // counted here for all that still wait, independent of the table's count
					if asked[w.demand.ID] < asked[a.ID] {
						passed[w.demand.ID]++
					}
				}
			}
			for _, w := range tab.waiting {
				if _, recorded := starvedAt[w.demand.ID]; w.starved && !recorded {
					starvedAt[w.demand.ID], starvedBefore[w.demand.ID] = now, w.starvedBefore
				}
				if p := passed[w.demand.ID]; w.reserved == nil && p > l.MaxPassedOver+w.starvedBefore {
					t.Fatalf("%s was passed over %d times, the bound is %d+%d", w.demand.ID, p, l.MaxPassedOver, w.starvedBefore)
				}
			}
			if err := tab.checkInvariants(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
