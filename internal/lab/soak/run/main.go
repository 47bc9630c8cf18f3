// Run plays the soak's seeds and prints what was judged, what failed and how often each pair of troubles was played:
// make soak SEEDS=1-200.
package main

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"tinsail/internal/lab/soak"
)

func main() {
	seeds := flag.String("seeds", "1-200", "first and last seed")
	minutes := flag.Float64("minutes", 15, "no play begins after so many minutes")
	side := flag.Int("side", 4, "plays side by side")
	shipped := flag.String("program", "bin/tinsail", "the program as it is shipped")
	shim := flag.String("shim", "bin/tinsail-shim", "the program built with the tag shim")
	shrink := flag.Bool("shrink", false, "play failed seeds again with fewer troubles")
	flag.Parse()
	var first, last uint64
	if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil || first < 1 || last < first {
		fmt.Fprintf(os.Stderr, "--seeds is %q, want FIRST-LAST\n", *seeds)
		os.Exit(2)
	}
	with := soak.Binaries{Shipped: *shipped, Shim: *shim}
	plan := soak.Plan(last)[first-1:]
	results := playAll(plan, with, *side, time.Now().Add(time.Duration(*minutes*float64(time.Minute))))
	if report(results, with, *shrink) {
		os.Exit(1)
	}
}

// playAll plays schedules, some side by side, in the order of their seeds.
func playAll(plan []soak.Schedule, with soak.Binaries, side int, until time.Time) (out []*soak.Result) {
	var mu sync.Mutex
	var all sync.WaitGroup
	next := make(chan soak.Schedule)
	for range side {
		all.Go(func() {
			for s := range next {
				r, err := soak.Play(s, with)
				if err != nil {
					r = &soak.Result{Schedule: s, Failures: []string{err.Error()}}
				}
				mu.Lock()
				out = append(out, r)
				mu.Unlock()
			}
		})
	}
	for _, s := range plan {
		if time.Now().After(until) {
			break
		}
		next <- s
	}
	close(next)
	all.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].Schedule.Seed < out[j].Schedule.Seed })
	return out
}

// report prints, and returns whether a seed failed.
func report(results []*soak.Result, with soak.Binaries, shrink bool) (failed bool) {
	var pairs soak.PairCounts
	var judged, excused int64
	bad, shipped := 0, 0
	for _, r := range results {
		pairs.Add(r.Schedule)
		judged, excused = judged+r.Judged, excused+r.Excused
		if !r.Schedule.Shim {
			shipped++
		}
		if !r.Failed() {
			continue
		}
		if bad++; shrink {
			r = soak.Shrink(r, with)
		}
		fmt.Printf("seed %d FAILED: %d processes, shim %v, %+v\n", r.Schedule.Seed, r.Schedule.Processes, r.Schedule.Shim, r.Schedule.Site)
		for _, t := range r.Schedule.Faults {
			fmt.Printf("    trouble %s\n", t)
		}
		for _, list := range [][]string{r.Breaches, r.InvariantViolations, r.Failures} {
			for _, text := range list[:min(len(list), 12)] {
				fmt.Printf("    %s\n", text[:min(len(text), 1500)])
			}
		}
	}
	fmt.Print(matrix(&pairs))
	fmt.Printf("%d seeds (%d with the program as shipped), %d requests judged, %d excused on killed processes, %d seeds failed, each pair at least %d times\n",
		len(results), shipped, judged, excused, bad, pairs.Min())
	return bad > 0
}

// matrix is how often each pair of kinds overlapped, one row a kind.
func matrix(pairs *soak.PairCounts) string {
	var b strings.Builder
	for a := range pairs {
		fmt.Fprintf(&b, "%-12s", soak.FaultKind(a))
		for _, n := range pairs[a] {
			fmt.Fprintf(&b, "%4d", n)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
