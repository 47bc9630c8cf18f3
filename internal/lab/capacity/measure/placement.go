package measure

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"tinsail/internal/fleet/slices"
	"tinsail/internal/lab/capacity"
)

// photos is the mix of docs/design/slices.md with demands of a whole device: parts of a device of 1,000 parts and 16 GiB.
var photos = []slices.TypicalDemand{
	typical(143, 2048, slices.SharedWithAny, 40), typical(250, 4096, slices.SharedWithAny, 25), typical(500, 6144, slices.SharedWithAny, 20), typical(1000, 16384, slices.Exclusive, 15),
}

func typical(parts, memory int, iso slices.Isolation, w float64) slices.TypicalDemand {
	return slices.TypicalDemand{Demand: slices.Demand{Size: slices.Amount{Parts: parts, Memory: memory}, Isolation: iso, Lifetime: time.Hour}, Weight: w}
}

func draw(r *rand.Rand, mix []slices.TypicalDemand, id string) slices.Demand {
	all := 0.0
	for _, m := range mix {
		all += m.Weight
	}
	x := r.Float64() * all
	for _, m := range mix {
		if x -= m.Weight; x < 0 {
			d := m.Demand
			d.ID, d.Tenant = id, fmt.Sprint("t", r.IntN(20))
			return d
		}
	}
	return draw(r, mix, id)
}

// Placements is the time of one placement with its bookkeeping at devices that are full but for what just ended, and what the
// table holds.
func Placements(repeats, rounds int, timed bool, devices ...int) (rows []capacity.Row, err error) {
	for _, n := range devices {
		for k := range repeats {
			us, held, err := placements(n, rounds, uint64(k))
			if err != nil {
				return nil, err
			}
			row := func(what, unit string, y float64) {
				rows = append(rows, capacity.Row{Slope: "placement-" + what, Unit: unit, Against: "devices", X: float64(n), Y: y, Method: capacity.InProcess, Note: "the mix photos, full devices"})
			}
			if timed {
				row("us", "us a placement", us)
			}
			row("held", "KB held", held/1024)
		}
	}
	return rows, nil
}

func placements(n, rounds int, seed uint64) (us, held float64, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := slices.New(slices.Limits{MaxTenants: 8, MaxSlices: 16, MaxPassedOver: 100, MaxLifetime: time.Hour, RetainEnded: 1, MaxKnownIDs: 1 << 30}, slices.Pattern, photos)
	for i := range n {
		t.AcquireDevice(0, slices.Device{Name: fmt.Sprint("d", i), Size: slices.Amount{Parts: 1000, Memory: 16384}}, 1, nil)
	}
	for i := range n {
		t.HandleState(0, fmt.Sprint("d", i), slices.FencingToken{Term: 1, Sequence: 1}, nil)
	}
	r := rand.New(rand.NewPCG(seed, 1))
	var sits []slices.Action
	i := 0
	ask := func() time.Duration {
		i++
		d := draw(r, photos, fmt.Sprint(i))
		begun := time.Now()
		a := t.Submit(time.Duration(i), d)
		took := time.Since(begun)
		if a[0].Kind == slices.Start {
			sits = append(sits, a[0])
		}
		return took
	}
	for range 3 * n {
		ask()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held = float64(after.HeapAlloc) - float64(before.HeapAlloc)
	var all time.Duration
	for range rounds {
		if len(sits) == 0 {
			return 0, 0, fmt.Errorf("nothing sits on %d devices", n)
		}
		k := r.IntN(len(sits))
		s := sits[k]
		sits[k] = sits[len(sits)-1]
		sits = sits[:len(sits)-1]
		t.Release(time.Duration(i), s.ID)
		t.HandleStopped(time.Duration(i), s.Device, s.ID, s.PlacementID)
		all += ask()
	}
	runtime.KeepAlive(t)
	return float64(all.Nanoseconds()) / 1000 / float64(rounds), held, nil
}
