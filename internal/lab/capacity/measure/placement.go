package measure

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"tinsail/internal/fleet/slices"
	"tinsail/internal/lab/capacity"
)

// photoDemands is the mix "photos" of docs/design/slices.md with demands for a whole device. A device has 1,000 parts
// and 16 GiB.
var photoDemands = []slices.TypicalDemand{
	typicalDemand(143, 2048, slices.SharedWithAny, 40), typicalDemand(250, 4096, slices.SharedWithAny, 25), typicalDemand(500, 6144, slices.SharedWithAny, 20), typicalDemand(1000, 16384, slices.Exclusive, 15),
}

// typicalDemand returns a demand for parts and memory of a device, with its weight in the mix.
func typicalDemand(parts, memory int, isolation slices.Isolation, weight float64) slices.TypicalDemand {
	return slices.TypicalDemand{Demand: slices.Demand{Size: slices.Amount{Parts: parts, Memory: memory}, Isolation: isolation, Lifetime: time.Hour}, Weight: weight}
}

// drawDemand draws a demand of a mix at random, by weight.
func drawDemand(r *rand.Rand, mix []slices.TypicalDemand, id string) slices.Demand {
	totalWeight := 0.0
	for _, typical := range mix {
		totalWeight += typical.Weight
	}
	x := r.Float64() * totalWeight
	for _, typical := range mix {
		if x -= typical.Weight; x < 0 {
			demand := typical.Demand
			demand.ID, demand.Tenant = id, fmt.Sprint("t", r.IntN(20))
			return demand
		}
	}
	return drawDemand(r, mix, id)
}

// Placements measures the time of one placement with its bookkeeping on devices that are full except for the slice that
// just ended, and the memory that the device table retains. Times are returned only if includeTimes is set.
func Placements(repeats, rounds int, includeTimes bool, devices ...int) (rows []capacity.Row, err error) {
	for _, n := range devices {
		for k := range repeats {
			us, heldBytes, err := measurePlacements(n, rounds, uint64(k))
			if err != nil {
				return nil, err
			}
			row := func(measure, unit string, y float64) {
				rows = append(rows, capacity.Row{Slope: "placement-" + measure, Unit: unit, Against: "devices", X: float64(n), Y: y, Method: capacity.InProcess, Note: "the mix photos, full devices"})
			}
			if includeTimes {
				row("us", "us a placement", us)
			}
			row("held", "KB held", heldBytes/1024)
		}
	}
	return rows, nil
}

// measurePlacements fills n devices, then releases a random slice and submits a demand in each round. It returns the
// time of a submission in µs and the bytes that the full table retains.
func measurePlacements(n, rounds int, seed uint64) (us, heldBytes float64, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := slices.New(slices.Limits{MaxTenants: 8, MaxSlices: 16, MaxPassedOver: 100, MaxLifetime: time.Hour, RetainEnded: 1, MaxKnownIDs: 1 << 30}, slices.Pattern, photoDemands)
	for i := range n {
		table.AcquireDevice(0, slices.Device{Name: fmt.Sprint("d", i), Size: slices.Amount{Parts: 1000, Memory: 16384}}, 1, nil)
	}
	for i := range n {
		table.HandleState(0, fmt.Sprint("d", i), slices.FencingToken{Term: 1, Sequence: 1}, nil)
	}
	r := rand.New(rand.NewPCG(seed, 1))
	var placed []slices.Action
	i := 0
	submit := func() time.Duration {
		i++
		demand := drawDemand(r, photoDemands, fmt.Sprint(i))
		start := time.Now()
		actions := table.Submit(time.Duration(i), demand)
		elapsed := time.Since(start)
		if actions[0].Kind == slices.Start {
			placed = append(placed, actions[0])
		}
		return elapsed
	}
	for range 3 * n {
		submit()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	heldBytes = float64(after.HeapAlloc) - float64(before.HeapAlloc)
	var total time.Duration
	for range rounds {
		if len(placed) == 0 {
			return 0, 0, fmt.Errorf("no slice is placed on %d devices", n)
		}
		k := r.IntN(len(placed))
		ended := placed[k]
		placed[k] = placed[len(placed)-1]
		placed = placed[:len(placed)-1]
		table.Release(time.Duration(i), ended.ID)
		table.HandleStopped(time.Duration(i), ended.Device, ended.ID, ended.PlacementID)
		total += submit()
	}
	runtime.KeepAlive(table)
	return float64(total.Nanoseconds()) / 1000 / float64(rounds), heldBytes, nil
}
