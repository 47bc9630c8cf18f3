// Command run measures the slopes of docs/CAPACITY.md that need the accord, by parts, in the folder where it is started: rows go to
// docs/capacity/PART.csv in place of those of the same slopes.
package main

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/hollow"
	"tinsail/internal/lab/hollow/measure"
)

// steady is a fleet in which nothing changes; changing is one that does.
var (
	steady   = measure.Run{Real: 12, Workers: 30, Lease: 3 * time.Second, Settle: 2 * time.Second, Window: 10 * time.Second, Repeats: 2}
	changing = measure.Run{Real: 6, Workers: 6, Lease: 3 * time.Second, Bans: measure.Teams, Repeats: 5}
)

func ms(n ...int) (all []time.Duration) {
	for _, n := range n {
		all = append(all, time.Duration(n)*time.Millisecond)
	}
	return all
}

var parts = map[string]func(program []string) ([]capacity.Row, error){
	"accord":      func(p []string) ([]capacity.Row, error) { return with(steady, p).Voters(9, 20, 40, 80, 160, 300) },
	"accord-bare": func(p []string) ([]capacity.Row, error) { return with(steady, p).Bare(3, 6, 9, 12) },
	"accord-lease": func(p []string) ([]capacity.Row, error) {
		return with(steady, p).Leases(20, ms(300, 600, 1000, 3000, 9000)...)
	},
	"accord-lag": func(p []string) ([]capacity.Row, error) { return with(steady, p).Lags(40, ms(0, 5, 25, 75, 150)...) },
	"rounds": func(p []string) ([]capacity.Row, error) {
		r := with(steady, p)
		rows, err := r.Rounds(3, 9, 20, 40, 80, 160, 300)
		if err != nil {
			return nil, err
		}
		r.Lag = 25 * time.Millisecond
		more, err := r.Rounds(3, 9, 20, 40, 80, 160, 300)
		return append(rows, more...), err
	},
	"recovery": func(p []string) ([]capacity.Row, error) {
		r := with(steady, p)
		r.Workers, r.Bans = 580, measure.Teams
		return r.Recoveries(9, 20, 40, 80, 160)
	},
	"recovery-all": func(p []string) ([]capacity.Row, error) {
		r := with(steady, p)
		r.Workers, r.Bans, r.Real = 580, measure.Teams, 40
		return r.Cold(9, 20, 40, 80)
	},
	"change":      func(p []string) ([]capacity.Row, error) { return with(changing, p).Changes(9, 20, 40, 80, 160, 300) },
	"change-size": func(p []string) ([]capacity.Row, error) { return with(changing, p).Sizes(20, 0, 77, 155, 310, 620) },
	"change-lag": func(p []string) ([]capacity.Row, error) {
		return with(changing, p).Distances(20, ms(0, 5, 25, 75, 150)...)
	},
	"change-down": func(p []string) ([]capacity.Row, error) {
		return with(changing, p).Downs(20, ms(600, 1000, 2000, 3000)...)
	},
}

func with(r measure.Run, program []string) measure.Run {
	r.Program = program
	return r
}

func main() {
	part := flag.String("part", "", "the part to measure; empty for all")
	program := flag.String("program", "bin/tinsail", "the dispatcher")
	folder := flag.String("folder", "docs/capacity", "where rows go")
	profile := flag.String("profile", "", "file for a profile of this process's processor time; with it 300 hollow dispatchers are profiled and no rows kept")
	flag.Parse()
	if err := measureAll(*part, *program, *folder, *profile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measureAll(part, program, folder, profile string) error {
	if profile != "" {
		r := with(steady, []string{program})
		r.Repeats, r.Window = 1, 12*time.Second
		r.Measuring = func() func() {
			f, err := os.Create(profile)
			if err == nil {
				err = pprof.StartCPUProfile(f)
			}
			return func() {
				pprof.StopCPUProfile()
				if err = errors.Join(err, f.Close()); err != nil {
					fmt.Fprintln(os.Stderr, err)
				}
			}
		}
		r.Real = hollow.Regions
		_, err := r.Voters(300)
		return err
	}
	names := slices.Sorted(maps.Keys(parts))
	if part != "" {
		if parts[part] == nil {
			return fmt.Errorf("no part is named %q, but %q", part, names)
		}
		names = []string{part}
	}
	for _, name := range names {
		begun := time.Now()
		rows, err := parts[name]([]string{program})
		if err == nil {
			err = capacity.Replace(filepath.Join(folder, name+".csv"), rows...)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		fmt.Printf("%s: %d rows in %.0f s\n", name, len(rows), time.Since(begun).Seconds())
	}
	return nil
}
