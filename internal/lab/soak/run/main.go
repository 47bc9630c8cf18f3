// Command run plays seeds of the soak. It prints how many requests were judged, which seeds failed and why, and how often
// each pair of fault kinds overlapped. It is started by make soak SEEDS=1-200.
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
	minutes := flag.Float64("minutes", 15, "start no play after this many minutes")
	parallel := flag.Int("side", 4, "number of plays that run in parallel")
	shipped := flag.String("program", "bin/tinsail", "path of the dispatcher as it is shipped")
	shim := flag.String("shim", "bin/tinsail-shim", "path of the dispatcher built with the tag shim")
	shrink := flag.Bool("shrink", false, "repeat failed seeds with fewer faults")
	flag.Parse()
	var first, last uint64
	if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil || first < 1 || last < first {
		fmt.Fprintf(os.Stderr, "invalid --seeds %q, want FIRST-LAST\n", *seeds)
		os.Exit(2)
	}
	with := soak.Binaries{Shipped: *shipped, Shim: *shim}
	plan := soak.Plan(last)[first-1:]
	results := playAll(plan, with, *parallel, time.Now().Add(time.Duration(*minutes*float64(time.Minute))))
	if report(results, with, *shrink) {
		os.Exit(1)
	}
}

// playAll plays schedules, several in parallel, and returns their results in the order of the seeds. It starts none after
// lastStart.
func playAll(plan []soak.Schedule, with soak.Binaries, parallel int, lastStart time.Time) (out []*soak.Result) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := make(chan soak.Schedule)
	for range parallel {
		workers.Go(func() {
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
		if time.Now().After(lastStart) {
			break
		}
		next <- s
	}
	close(next)
	workers.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].Schedule.Seed < out[j].Schedule.Seed })
	return out
}

// report prints the results and reports whether a seed failed. With shrink, it first reduces the faults of failed seeds.
func report(results []*soak.Result, with soak.Binaries, shrink bool) (failed bool) {
	var pairs soak.PairCounts
	var judged, excused int64
	failedSeeds, shipped := 0, 0
	for _, r := range results {
		pairs.Add(r.Schedule)
		judged, excused = judged+r.Judged, excused+r.Excused
		if !r.Schedule.Shim {
			shipped++
		}
		if !r.Failed() {
			continue
		}
		if failedSeeds++; shrink {
			r = soak.Shrink(r, with)
		}
		fmt.Printf("seed %d FAILED: %d processes, shim %v, %+v\n", r.Schedule.Seed, r.Schedule.Processes, r.Schedule.Shim, r.Schedule.Site)
		for _, f := range r.Schedule.Faults {
			fmt.Printf("    fault %s\n", f)
		}
		for _, findings := range [][]string{r.Breaches, r.InvariantViolations, r.Failures} {
			for _, text := range findings[:min(len(findings), 12)] {
				fmt.Printf("    %s\n", text[:min(len(text), 1500)])
			}
		}
	}
	fmt.Print(formatPairs(&pairs))
	fmt.Printf("%d seeds (%d with the program as shipped), %d requests judged, %d excused on killed processes, %d seeds failed, each pair at least %d times\n",
		len(results), shipped, judged, excused, failedSeeds, pairs.Min())
	return failedSeeds > 0
}

// formatPairs formats how often each pair of kinds overlapped, with a row for each kind.
func formatPairs(pairs *soak.PairCounts) string {
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
