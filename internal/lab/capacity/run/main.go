// Command run measures the slopes of docs/CAPACITY.md, by parts, in the folder where it is started: rows go to
// docs/capacity/PART.csv in place of those of the same slopes.
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/capacity/measure"
)

// parts are what can be measured, at its full size.
var parts = map[string]func(measure.Program) ([]capacity.Row, error){
	"list": func(p measure.Program) ([]capacity.Row, error) {
		return measure.ListSizes(p, idle, 50, 100, 200, 580, 1000, 2000)
	},
	"agent": func(p measure.Program) ([]capacity.Row, error) {
		return measure.ListSizesPushed(p, idle, 50, 200, 580, 1000, 2000)
	},
	"changes": func(p measure.Program) ([]capacity.Row, error) {
		return measure.ListChangeRates(p, idle, 580, 0, 1, 2, 5, 10)
	},
	"tenants": func(p measure.Program) ([]capacity.Row, error) {
		return measure.TenantCounts(p, idle, 580, 10, 50, 100, 310, 620)
	},
	"flight":    flight(measure.InFlightConfig{BodyBytes: 1, QuietWindow: 5 * time.Second}, "flight"),
	"flight-4k": flight(measure.InFlightConfig{BodyBytes: 4096}, "flight-4k"),
	"flight-h2": flight(measure.InFlightConfig{BodyBytes: 1, HTTP2: true}, "flight-h2"),
	"most": func(p measure.Program) ([]capacity.Row, error) {
		f := measure.InFlightConfig{BodyBytes: 1, MemoryMB: 192, Dispatchers: 1, Backends: 580}
		rows, err := measure.MaxInFlight(p, f, "most", 256, 1024, 4096, 10000, 20000)
		if err != nil {
			return nil, err
		}
		f.HTTP2 = true
		more, err := measure.MaxInFlight(p, f, "most-h2", 256, 1024, 4096, 10000, 16000)
		return append(rows, more...), err
	},
	"few": func(p measure.Program) ([]capacity.Row, error) {
		return measure.DispatcherCounts(p, measure.InFlightConfig{BodyBytes: 1, Sockets: 1024, MemoryMB: 192, Backends: 580}, "few", 9100, 5, 10, 15, 20)
	},
	"memory": func(p measure.Program) ([]capacity.Row, error) {
		return measure.MemoryLimits(p, measure.InFlightConfig{BodyBytes: 1, Sockets: 20000, Dispatchers: 1, Backends: 580, QuietWindow: time.Second}, "memory", 8900, 128, 192, 256, 320, 384, 512)
	},
	"module": func(measure.Program) ([]capacity.Row, error) {
		return measure.ModuleSlopes(measure.ModuleConfig{Workers: 580, InFlight: 100, Teams: 310, Rounds: 20000, Repeats: 3, IncludeTimes: true},
			[]int{50, 100, 200, 580, 1000, 2000, 4000}, []int{100, 300, 1000, 3000, 9100}, []int{10, 50, 100, 310, 620})
	},
	"placements": func(measure.Program) ([]capacity.Row, error) {
		return measure.Placements(3, 20000, true, 100, 300, 600, 1100, 2200)
	},
	"restart": func(p measure.Program) ([]capacity.Row, error) {
		return measure.RestartOne(p, 3, true, 50, 100, 200, 580, 1000, 2000)
	},
	"restart-all": func(p measure.Program) ([]capacity.Row, error) {
		return measure.RestartAll(p, 2, true, 580, 5, 10, 20, 40)
	},
}

var idle = measure.IdleConfig{Repeats: 2, Settle: 3 * time.Second, Window: 30 * time.Second}

func flight(f measure.InFlightConfig, name string) func(measure.Program) ([]capacity.Row, error) {
	f.Sockets, f.MemoryMB, f.Dispatchers, f.Backends = 20000, 512, 1, 580
	return func(p measure.Program) ([]capacity.Row, error) {
		return measure.InFlightCounts(p, f, name, 2, 30, 100, 300, 1000, 3000, 8900)
	}
}

func main() {
	part := flag.String("part", "", "the part to measure; empty for all")
	program := flag.String("program", "bin/tinsail", "the dispatcher")
	folder := flag.String("folder", "docs/capacity", "where rows go")
	flag.Parse()
	maps.Copy(parts, accordParts)
	names := slices.Sorted(maps.Keys(parts))
	if *part != "" {
		if parts[*part] == nil {
			fmt.Fprintf(os.Stderr, "no part is named %q, but %q\n", *part, names)
			os.Exit(2)
		}
		names = []string{*part}
	}
	for _, name := range names {
		begun := time.Now()
		rows, err := parts[name](measure.Program{Args: []string{*program}})
		if err == nil {
			err = capacity.ReplaceSlopes(filepath.Join(*folder, name+".csv"), rows...)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			os.Exit(1)
		}
		fmt.Printf("%s: %d rows in %.0f s\n", name, len(rows), time.Since(begun).Seconds())
	}
}
