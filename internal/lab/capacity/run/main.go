// Command run measures the slopes of docs/CAPACITY.md, one part or all. The rows of a part are written to
// docs/capacity/PART.csv, relative to the working directory, and replace the rows of the same slopes there.
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

// parts maps each part's name to its measurement at full size.
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
	"flight":    inFlightPart(measure.InFlightConfig{BodyBytes: 1, QuietWindow: 5 * time.Second}, "flight"),
	"flight-4k": inFlightPart(measure.InFlightConfig{BodyBytes: 4096}, "flight-4k"),
	"flight-h2": inFlightPart(measure.InFlightConfig{BodyBytes: 1, HTTP2: true}, "flight-h2"),
	"most": func(p measure.Program) ([]capacity.Row, error) {
		c := measure.InFlightConfig{BodyBytes: 1, MemoryMB: 192, Dispatchers: 1, Backends: 580}
		rows, err := measure.MaxInFlight(p, c, "most", 256, 1024, 4096, 10000, 20000)
		if err != nil {
			return nil, err
		}
		c.HTTP2 = true
		more, err := measure.MaxInFlight(p, c, "most-h2", 256, 1024, 4096, 10000, 16000)
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

// idle has the settings of all measurements of idle dispatchers.
var idle = measure.IdleConfig{Repeats: 2, Settle: 3 * time.Second, Window: 30 * time.Second}

// inFlightPart returns a measurement against the number of reqs in flight at one dispatcher with 580 backends.
func inFlightPart(c measure.InFlightConfig, name string) func(measure.Program) ([]capacity.Row, error) {
	c.Sockets, c.MemoryMB, c.Dispatchers, c.Backends = 20000, 512, 1, 580
	return func(p measure.Program) ([]capacity.Row, error) {
		return measure.InFlightCounts(p, c, name, 2, 30, 100, 300, 1000, 3000, 8900)
	}
}

func main() {
	part := flag.String("part", "", "`part` to measure; all if empty")
	program := flag.String("program", "bin/tinsail", "`path` of the dispatcher program")
	folder := flag.String("folder", "docs/capacity", "`folder` that the rows are written to")
	flag.Parse()
	maps.Copy(parts, accordParts)
	names := slices.Sorted(maps.Keys(parts))
	if *part != "" {
		if parts[*part] == nil {
			fmt.Fprintf(os.Stderr, "unknown part %q, want one of %q\n", *part, names)
			os.Exit(2)
		}
		names = []string{*part}
	}
	for _, name := range names {
		start := time.Now()
		rows, err := parts[name](measure.Program{Args: []string{*program}})
		if err == nil {
			err = capacity.ReplaceSlopes(filepath.Join(*folder, name+".csv"), rows...)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			os.Exit(1)
		}
		fmt.Printf("%s: %d rows in %.0f s\n", name, len(rows), time.Since(start).Seconds())
	}
}
