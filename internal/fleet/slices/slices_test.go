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

// schedules sets rapid's count: SLICES_SCHEDULES, or few.
func schedules(t *testing.T, few string) {
	n := few
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

// Whatever is lost, doubled, late, stalled, restarted or broken: nothing oversold, no isolation breached, no id
// twice; and when the faults end every demand has an end and no device holds what nobody needs.
func TestWorld(t *testing.T) {
	schedules(t, "250")
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.now = QuietPeriod(w.lease)
		w.choice = Strategy(rapid.IntRange(int(FirstFit), int(Pattern)).Draw(t, "choice"))
		w.handOver(0)
		n := 0
		some := func() *far { return w.far[rapid.SampledFrom(w.names).Draw(t, "device")] }
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
			case 10: // a dispatcher dies, and is started again with its disk
				i := rapid.IntRange(0, 1).Draw(t, "dies")
				w.owner[i], w.table[i] = NewOwner(w.lease), nil
			case 11: // a device fails; with chance its slices are gone
				if rapid.IntRange(0, 3).Draw(t, "truly") == 0 {
					w.fail(some(), rapid.Bool().Draw(t, "loses"))
				}
			case 12:
				w.back(some())
			case 13:
				if rapid.Bool().Draw(t, "now") {
					w.handOver(rapid.IntRange(0, 1).Draw(t, "to"))
					for i := max(1, n-4); i <= n; i++ {
						w.ask(fmt.Sprint("r", i))
					}
				}
			case 14:
				some().refuse = true
			case 15:
				w.endOne(some())
			default:
				for range 3 {
					w.deliver()
				}
			}
			w.check()
		}
		w.settleDown(t, n)
	})
}

func (w *world) fail(b *far, loses bool) {
	b.failed, b.marred = true, true
	if loses {
		for try := range b.holds {
			b.over[try] = true
		}
		clear(b.holds)
	}
	for i := range w.table {
		if w.table[i] != nil {
			w.do(i, w.table[i].MarkFailed(w.now, b.dev.Name))
		}
	}
}

func (w *world) back(b *far) {
	b.failed = false
	for i := range w.table {
		if w.table[i] != nil {
			w.do(i, w.table[i].MarkRecovered(w.now, b.dev.Name))
		}
	}
}

// settleDown ends the faults and asks that all comes to an end.
func (w *world) settleDown(t *rapid.T, n int) {
	w.calm = true
	for _, name := range w.names {
		w.back(w.far[name])
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
	clear(w.said) // what was heard before does not count
	for i := 1; i <= n; i++ {
		w.ask(fmt.Sprint("r", i))
	}
	for range 120 { // waits end as lifetimes do
		round()
	}
	for i := 1; i <= n; i++ {
		id := fmt.Sprint("r", i)
		a, heard := w.said[id]
		if !heard && !w.gone[id] {
			t.Fatalf("the demander of %s heard nothing", id)
		}
		if tab := w.table[0]; a.Kind == Pending && tab.byID[id] == nil && tab.placed[id] == nil {
			t.Fatalf("%s was lost: told to wait, and the table does not know it", id)
		}
		w.release(id)
	}
	for range 60 {
		round()
	}
	for name, b := range w.far {
		if len(b.holds) > 0 {
			t.Fatalf("%s still holds %+v", name, b.holds)
		}
	}
	if w.table[0] == nil || len(w.table[0].placed)+len(w.table[0].waiting) > 0 {
		t.Fatalf("the table is not empty: %+v", w.table[0])
	}
}

var plain = Limits{MaxTenants: 4, MaxSlices: 8, MaxWaiting: 10, MaxPassedOver: 3, MaxLifetime: time.Hour, RetainEnded: time.Hour, MaxKnownIDs: 1000}

// ready makes a table of devices that have all stated that they hold nothing.
func ready(l Limits, c Strategy, mix []TypicalDemand, ds ...Device) *Table {
	t := New(l, c, mix)
	for _, d := range ds {
		t.AcquireDevice(0, d, 1, nil)
	}
	for _, d := range ds {
		t.HandleState(0, d.Name, FencingToken{1, 1}, nil)
	}
	return t
}

func free(name string) Device { return Device{Name: name, Size: Amount{1000, 16384}} }

func dem(id string, parts, memory int) Demand {
	return Demand{ID: id, Size: Amount{parts, memory}, Tenant: "a", Lifetime: time.Minute}
}

func last(t *testing.T, out []Action) Action {
	require.NotEmpty(t, out)
	return out[len(out)-1]
}

func TestRefusedAtOnceNamesTheLimit(t *testing.T) {
	walls := Device{Name: "p", Zone: "z1", Size: Amount{1000, 16384}, Profiles: []Amount{{500, 8192}}}
	for _, c := range []struct {
		says  string
		on    Device
		alter func(*Demand)
	}{
		{"parts: 1001 of at most 1000", free("d"), func(d *Demand) { d.Size.Parts = 1001 }},
		{"memory: 16385 MiB of at most 16384", free("d"), func(d *Demand) { d.Size.Memory = 16385 }},
		{"isolation: no fixed profiles", free("d"), func(d *Demand) { d.Isolation = Partitioned }},
		{"profiles: none is large enough", walls, func(d *Demand) { d.Size.Parts = 501 }},
		{"zone", walls, func(d *Demand) { d.Zone = "z2" }},
		{"lifetime: 2h0m0s, above 0 and at most 1h0m0s", free("d"), func(d *Demand) { d.Lifetime = 2 * time.Hour }},
	} {
		d := dem("x", 100, 100)
		c.alter(&d)
		a := last(t, ready(plain, Pattern, nil, c.on).Submit(0, d))
		assert.Equal(t, Refused, a.Kind)
		assert.Equal(t, c.says, a.Reason)
	}
	assert.Equal(t, "no device", last(t, New(plain, Pattern, nil).Submit(0, dem("x", 1, 1))).Reason)
}

func TestCountsUntilTheEndIsConfirmed(t *testing.T) {
	tab := ready(plain, BestFit, nil, free("d"))
	b := last(t, tab.Submit(0, dem("x", 600, 100)))
	require.Equal(t, Start, b.Kind)
	assert.Equal(t, Pending, last(t, tab.Submit(0, dem("x", 600, 100))).Kind, "asked again")
	tab.HandleStarted(0, "d", "x", b.PlacementID)
	assert.Equal(t, Placed, last(t, tab.Submit(0, dem("x", 600, 100))).Kind)
	assert.Equal(t, Pending, last(t, tab.Submit(0, dem("y", 600, 100))).Kind)
	tab.Release(0, "x")
	assert.Contains(t, tab.Unconfirmed(), Action{Kind: Stop, ID: "x", Device: "d", PlacementID: b.PlacementID, Token: FencingToken{1, 1}})
	assert.Len(t, tab.waiting, 1, "the end is not confirmed")
	assert.Equal(t, Ended, last(t, tab.Submit(0, dem("x", 600, 100))).Kind)
	out := tab.HandleStopped(0, "d", "x", b.PlacementID)
	assert.Equal(t, "y", last(t, out).ID)
	assert.Equal(t, Start, last(t, out).Kind)
	assert.Equal(t, Ended, last(t, tab.Submit(0, dem("x", 1, 1))).Kind, "an ended id is not placed again")
	tab.Release(0, "late")
	assert.Equal(t, Ended, last(t, tab.Submit(0, dem("late", 1, 1))).Kind, "the release came first")
}

func TestNotBegunIsToldToWait(t *testing.T) {
	tab := ready(plain, BestFit, nil, free("d"))
	b := last(t, tab.Submit(0, dem("x", 600, 100)))
	out := tab.HandleNotStarted(0, "d", "x", b.PlacementID)
	assert.Contains(t, out, Action{Kind: Pending, ID: "x", Reason: "the backend did not begin it"})
	assert.Equal(t, Start, last(t, tab.HandleState(0, "d", FencingToken{1, 2}, nil)).Kind)
}

func TestLoweredLimitEvictsNothing(t *testing.T) {
	tab := ready(plain, Pattern, nil, free("d"))
	for i := range 3 {
		tab.Submit(0, dem(fmt.Sprint(i), 100, 4000))
	}
	l := plain
	l.MaxSlices, l.ReservedMemory = 2, 8192
	tab.Submit(0, dem("w", 900, 100))
	assert.Empty(t, tab.SetLimits(0, l))
	assert.Len(t, tab.placed, 3)
	assert.Equal(t, Pending, last(t, tab.Submit(0, dem("x", 1, 1))).Kind)
	assert.Equal(t, "memory: 9000 MiB of at most 8192", last(t, tab.Submit(0, dem("y", 1, 9000))).Reason)
	assert.Equal(t, Start, last(t, tab.SetLimits(0, plain)).Kind, "raised again: x is placed")
}

// Small demands come without end beside a large one: it is passed at most P+R times and placed in L+C after that.
func TestPassedOverAtMost(t *testing.T) {
	schedules(t, "30")
	rapid.Check(t, func(t *rapid.T) {
		l := plain
		l.MaxPassedOver, l.MaxWaiting, l.MaxLifetime = rapid.IntRange(1, 6).Draw(t, "P"), 400, 50
		var ds []Device
		for i := range rapid.IntRange(1, 5).Draw(t, "devices") {
			ds = append(ds, free(fmt.Sprint("d", i)))
		}
		tab := ready(l, Pattern, mixes["photos"], ds...)
		passed, asked, starvedAt := map[string]int{}, map[string]int{}, map[string]time.Duration{}
		ahead := map[string]int{}
		n := 0
		const confirm = 3
		for now := time.Duration(0); now < 400; now++ {
			var out []Action
			for range rapid.IntRange(0, 3).Draw(t, "come") {
				n++
				d := dem(fmt.Sprint(n), rapid.SampledFrom([]int{100, 200, 1000}).Draw(t, "parts"), 1000)
				d.Lifetime = time.Duration(rapid.IntRange(1, 50).Draw(t, "life"))
				d.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				asked[d.ID] = n
				out = append(out, tab.Submit(now, d)...)
			}
			out = append(out, tab.StopExpired(now)...)
			for _, v := range tab.order {
				for _, s := range append([]*slice(nil), v.slices...) {
					if s.stage == ending && s.until+confirm <= now {
						out = append(out, tab.HandleStopped(now, v.Name, s.demand.ID, s.try)...)
					}
				}
			}
			for _, a := range out {
				if a.Kind != Start {
					continue
				}
				if at, is := starvedAt[a.ID]; is {
					if most := time.Duration(ahead[a.ID]+1) * (50 + confirm); now-at > most {
						t.Fatalf("%s was placed %v after it starved, bound %v", a.ID, now-at, most)
					}
				}
				for _, w := range tab.waiting { // all that still wait, whatever the table counted
					if asked[w.demand.ID] < asked[a.ID] {
						passed[w.demand.ID]++
					}
				}
			}
			for _, w := range tab.waiting {
				if _, is := starvedAt[w.demand.ID]; w.starved && !is {
					starvedAt[w.demand.ID], ahead[w.demand.ID] = now, w.ahead
				}
				if p := passed[w.demand.ID]; w.keeps == nil && p > l.MaxPassedOver+w.ahead {
					t.Fatalf("%s was passed %d times, bound %d+%d", w.demand.ID, p, l.MaxPassedOver, w.ahead)
				}
			}
			if err := tab.sound(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
