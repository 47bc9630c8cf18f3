package slices

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"gonum.org/v1/gonum/stat"
)

func typical(parts, memory int, iso Isolation, weight float64) TypicalDemand {
	return TypicalDemand{Demand: Demand{Size: Amount{parts, memory}, Isolation: iso, Lifetime: time.Hour}, Weight: weight}
}

// mixes are invented for the tests. Each lists what several kinds of requests need of a device of 1,000 parts and 16 GiB.
var mixes = map[string][]TypicalDemand{
	"photos":  {typical(143, 2048, SharedWithAny, 40), typical(250, 4096, SharedWithAny, 25), typical(500, 6144, SharedWithAny, 20), typical(1000, 16384, Exclusive, 15)},
	"skewed":  {typical(100, 6144, SharedWithAny, 35), typical(600, 2048, SharedWithAny, 35), typical(300, 4096, SharedWithAny, 20), typical(1000, 12288, SharedWithAny, 10)},
	"large":   {typical(700, 8192, SharedWithAny, 30), typical(300, 4096, SharedWithAny, 30), typical(400, 10240, SharedWithAny, 30), typical(150, 1024, SharedWithAny, 10)},
	"tenants": {typical(143, 2048, SharedWithTenant, 30), typical(250, 4096, SharedWithAny, 40), typical(500, 8192, SharedWithAny, 30)},
}

var strategyNames = map[Strategy]string{FirstFit: "first fit", BestFit: "best fit", DotProduct: "dot product", Gradient: "gradient", Pattern: "pattern"}

var wideLimits = Limits{MaxTenants: 8, MaxSlices: 16, MaxWaiting: 0, MaxPassedOver: 100, MaxLifetime: time.Hour, RetainEnded: 1, MaxKnownIDs: 1 << 30}

func draw(r *rand.Rand, mix []TypicalDemand, id string, tenants int) Demand {
	all := 0.0
	for _, m := range mix {
		all += m.Weight
	}
	x := r.Float64() * all
	for _, m := range mix {
		if x -= m.Weight; x < 0 {
			d := m.Demand
			d.ID, d.Tenant = id, fmt.Sprint("t", r.IntN(tenants))
			return d
		}
	}
	return draw(r, mix, id, tenants)
}

// fill submits demands of a mix to n empty devices until the demands add up to load times the devices' parts or
// memory. With churn each slice lives for an exponentially distributed time, such that the same amount would be
// placed at any moment if no demand were refused.
func fill(c Strategy, mix []TypicalDemand, n int, load float64, churn bool, seed uint64) (accepted, unusable float64) {
	r := rand.New(rand.NewPCG(seed, 7))
	var ds []Device
	for i := range n {
		ds = append(ds, testDevice(fmt.Sprint("d", i)))
	}
	tab := readyTable(wideLimits, c, mix, ds...)
	var offered, placed Amount
	type placement struct {
		id, device  string
		placementID uint64
	}
	each := 0.0 // average part of a device that a demand takes: the larger of processor and memory
	var all, p, m float64
	for _, k := range mix {
		all, p, m = all+k.Weight, p+k.Weight*float64(k.Demand.Size.Parts)/1000, m+k.Weight*float64(k.Demand.Size.Memory)/16384
	}
	each = max(p, m) / all
	life := load * float64(n) / each // in arrivals: as many are placed at once if none is refused
	ends := map[int][]placement{}
	last := int(life)
	if churn {
		last *= 5
	}
	samples := 0
	for i := range last {
		now := time.Duration(i)
		for _, s := range ends[i] {
			tab.Release(now, s.id)
			tab.HandleStopped(now, s.device, s.id, s.placementID)
		}
		delete(ends, i)
		d := draw(r, mix, fmt.Sprint(i), 20)
		until := i + 1 + int(r.ExpFloat64()*life)
		counts := !churn || i > last*2/5
		if counts {
			offered = offered.plus(d.Size)
		}
		if a := tab.Submit(now, d)[0]; a.Kind == Start {
			if counts {
				placed = placed.plus(d.Size)
			}
			if churn {
				ends[until] = append(ends[until], placement{d.ID, a.Device, a.PlacementID})
			}
		}
		if churn && counts && i%50 == 0 || i == last-1 {
			u, _ := tab.Unusable()
			unusable += u / float64(n)
			samples++
		}
	}
	return float64(placed.Parts) / float64(offered.Parts), unusable / float64(samples)
}

// meanInterval returns the mean of 20 samples and half the width of its 95% confidence interval.
func meanInterval(xs []float64) (m, half float64) {
	m, sd := stat.MeanStdDev(xs, nil)
	return m, 2.093 * sd / math.Sqrt(float64(len(xs))) // t, 19 degrees of freedom
}

// acceptedBound is the largest share of the offered parts that any strategy can accept. It solves a linear program
// over all ways to fill one device, with the demands in their expected numbers.
func acceptedBound(mix []TypicalDemand, load float64) float64 {
	var ways [][]int
	var grow func(k int, way []int, left Amount)
	grow = func(k int, way []int, left Amount) {
		if k == len(mix) {
			ways = append(ways, slices.Clone(way))
			return
		}
		for n := 0; left.contains(Amount{}); n++ {
			grow(k+1, append(way, n), left)
			left = left.minus(mix[k].Demand.Size)
		}
	}
	grow(0, nil, Amount{1000, 16384})
	var all, p, m float64
	for _, k := range mix {
		all, p, m = all+k.Weight, p+k.Weight*float64(k.Demand.Size.Parts)/1000, m+k.Weight*float64(k.Demand.Size.Memory)/16384
	}
	per := load / max(p, m) // demands a device, times weight
	// Columns: the share of devices filled in each way, then slack variables. Rows: demands of each kind, devices.
	cols := len(ways) + len(mix) + 1
	a, b, c := mat.NewDense(len(mix)+1, cols, nil), make([]float64, len(mix)+1), make([]float64, cols)
	for j, way := range ways {
		for k, n := range way {
			a.Set(k, j, float64(n))
			c[j] -= float64(n*mix[k].Demand.Size.Parts) / 1000
		}
		a.Set(len(mix), j, 1)
	}
	for k := range mix {
		b[k] = per * mix[k].Weight
		a.Set(k, len(ways)+k, 1)
	}
	b[len(mix)] = 1
	a.Set(len(mix), cols-1, 1)
	most, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	if err != nil {
		return math.NaN()
	}
	return -most / (per * p)
}

// TestPatternLeavesLessUnusable: Pattern leaves at most half as much unusable as FirstFit, with confidence intervals
// that do not overlap. SLICES_QUALITY=1 prints the whole table of docs/design/slices.md (1,000 devices, 20 seeds,
// all mixes).
func TestPatternLeavesLessUnusable(t *testing.T) {
	names, n, seeds := []string{"photos"}, 100, 20
	if os.Getenv("SLICES_QUALITY") != "" {
		names, n = slices.Sorted(maps.Keys(mixes)), 1000
	}
	for _, name := range names {
		t.Logf("%-8s no strategy can accept more than %.4f (filling, expected counts)", name, acceptedBound(mixes[name], 0.95))
		for _, churn := range []bool{false, true} {
			if churn && n < 1000 {
				continue
			}
			got := map[Strategy][2]float64{}
			for c := FirstFit; c <= Pattern; c++ {
				var as, us []float64
				for s := range seeds {
					a, u := fill(c, mixes[name], n, 0.95, churn, uint64(s))
					as, us = append(as, a), append(us, u)
				}
				a, ha := meanInterval(as)
				u, hu := meanInterval(us)
				got[c] = [2]float64{u, hu}
				t.Logf("%-8s churn=%-5v %-12s accepted %.4f ± %.4f  unusable %.4f ± %.4f", name, churn, strategyNames[c], a, ha, u, hu)
			}
			if n < 1000 {
				g, f := got[Pattern], got[FirstFit]
				assert.Less(t, g[0]+g[1], (f[0]-f[1])/2)
			}
		}
	}
}

// optimum is the largest sum of parts that the devices can hold of the demands. It uses branch and bound and has
// its own copy of the placement rules.
func optimum(ds []Device, all []Demand) int {
	on := make([][]Demand, len(ds))
	rest := make([]int, len(all)+1)
	for i := len(all) - 1; i >= 0; i-- {
		rest[i] = rest[i+1] + all[i].Size.Parts
	}
	best := 0
	var try func(i, sum int)
	try = func(i, sum int) {
		best = max(best, sum)
		if i == len(all) || sum+rest[i] <= best {
			return
		}
		d := all[i]
		for k := range ds {
			if k > 0 && len(on[k]) == 0 && len(on[k-1]) == 0 {
				continue // devices are identical: trying the first empty one is enough
			}
			p, m, ok := d.Size.Parts, d.Size.Memory, true
			for _, o := range on[k] {
				p, m = p+o.Size.Parts, m+o.Size.Memory
				ok = ok && d.Isolation != Exclusive && o.Isolation != Exclusive &&
					(d.Tenant == o.Tenant || d.Isolation != SharedWithTenant && o.Isolation != SharedWithTenant)
			}
			if ok && p <= ds[k].Size.Parts && m <= ds[k].Size.Memory {
				on[k] = append(on[k], d)
				try(i+1, sum+d.Size.Parts)
				on[k] = on[k][:len(on[k])-1]
			}
		}
		try(i+1, sum)
	}
	try(0, 0)
	return best
}

// TestAgainstOptimum compares the strategies with the optimum that knows all demands beforehand, in 240 cases of 6
// to 12 demands on 3 devices.
func TestAgainstOptimum(t *testing.T) {
	ds := []Device{testDevice("d0"), testDevice("d1"), testDevice("d2")}
	got, largest, best := map[Strategy]int{}, map[Strategy]int{}, 0
	names := slices.Sorted(maps.Keys(mixes))
	for seed := range 240 {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		mix := mixes[names[seed%len(names)]]
		var all []Demand
		for i := range 6 + r.IntN(7) {
			all = append(all, draw(r, mix, fmt.Sprint(i), 3))
		}
		o := optimum(ds, all)
		best += o
		for c := FirstFit; c <= Pattern; c++ {
			tab := readyTable(wideLimits, c, mix, ds...)
			sum := 0
			for _, d := range all {
				if tab.Submit(0, d)[0].Kind == Start {
					sum += d.Size.Parts
				}
			}
			require.LessOrEqual(t, sum, o, "seed %d", seed)
			got[c] += sum
			tab = readyTable(wideLimits, c, mix, ds...)
			for _, a := range tab.SubmitAll(0, slices.Clone(all)) {
				if a.Kind == Start {
					largest[c] += a.Demand.Size.Parts
				}
			}
		}
	}
	for c := FirstFit; c <= Pattern; c++ {
		t.Logf("%-12s %.4f of the optimum; asked together %.4f", strategyNames[c], float64(got[c])/float64(best), float64(largest[c])/float64(best))
	}
	assert.Greater(t, float64(got[Pattern])/float64(best), 0.9)
	assert.Greater(t, float64(largest[Pattern])/float64(best), 0.97)
}

// TestWasteEvaluationsAreBounded: a mix of very small demands has too many combinations to try, and the work for
// one demand stays bounded.
func TestWasteEvaluationsAreBounded(t *testing.T) {
	tab := readyTable(wideLimits, Pattern, []TypicalDemand{typical(1, 1, SharedWithAny, 1), typical(1, 2, SharedWithAny, 1), typical(2, 1, SharedWithAny, 1)}, testDevice("d"), testDevice("e"))
	assert.Equal(t, Start, tab.Submit(0, testDemand("x", 3, 3))[0].Kind)
	assert.LessOrEqual(t, len(tab.classes[0].wasteCache), 5*MaxWasteEvaluations)
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		for _, name := range append(slices.Sorted(maps.Keys(mixes)), "any") {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				r, mix := rand.New(rand.NewPCG(1, 1)), mixes[name]
				if name == "any" {
					mix = mixes["photos"]
				}
				var ds []Device
				for i := range n {
					ds = append(ds, testDevice(fmt.Sprint("d", i)))
				}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				tab := readyTable(wideLimits, Pattern, mix, ds...)
				var placed []Action
				i := 0
				one := func() {
					i++
					d := draw(r, mix, fmt.Sprint(i), 20)
					if name == "any" { // sizes outside every mix: as many shapes as possible
						d.Size, d.Isolation = Amount{1 + r.IntN(500), 1 + r.IntN(8000)}, SharedWithAny
					}
					if a := tab.Submit(time.Duration(i), d)[0]; a.Kind == Start {
						placed = append(placed, a)
					}
				}
				for range 3 * n {
					one()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				for b.Loop() {
					b.StopTimer()
					k := r.IntN(len(placed))
					s := placed[k]
					placed[k] = placed[len(placed)-1]
					placed = placed[:len(placed)-1]
					tab.Release(time.Duration(i), s.ID)
					tab.HandleStopped(time.Duration(i), s.Device, s.ID, s.PlacementID)
					b.StartTimer()
					one()
				}
				b.ReportMetric(float64(len(tab.openIndex.list)), "shapes")
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "B/device")
			})
		}
	}
}
