package main

import (
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tinsail/internal/lab/recording"
	"tinsail/internal/lab/sim"
)

// readRecording reads a whole recording and its metadata. All its errors are input errors.
func readRecording(path string) ([]recording.Arrival, map[string]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, inputError{err}
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, nil, inputError{err}
	}
	a, meta, err := recording.Read(f, info.Size())
	if err != nil {
		return nil, nil, inputError{fmt.Errorf("%s: %w", path, err)}
	}
	return a, meta, nil
}

// writeRecording writes a recording to a temporary file and then renames it, so that path never holds part of one.
func writeRecording(path string, a []recording.Arrival, meta map[string]string) error {
	if path == "" {
		return inputError{fmt.Errorf("--out is required")}
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".recording-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := recording.Write(f, a, meta); err != nil {
		f.Close()
		return inputError{err}
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// readFirstReqTimes returns the times in ms of the first reqs of a recording, for a scenario to play. Retries are left
// out, since the scenario defines how its clients retry.
func readFirstReqTimes(path string) ([]float64, error) {
	a, _, err := readRecording(path)
	if err != nil {
		return nil, err
	}
	times := make([]float64, 0, len(a))
	for _, x := range a {
		if !x.Retry {
			times = append(times, float64(x.At)/float64(time.Millisecond))
		}
	}
	return times, nil
}

// scenarioArrivals returns the first reqs that a scenario's generator sends, each with its own key. Their sizes are 0,
// since the reqs of a scenario have work and no bodies.
func scenarioArrivals(sc *sim.Scenario) []recording.Arrival {
	var a []recording.Arrival
	for x := range sc.Arrivals() {
		a = append(a, recording.Arrival{At: time.Duration(math.Round(x.At * float64(time.Millisecond))), Class: "lab",
			Key: fmt.Sprint("k", len(a)+1)})
	}
	return a
}

func labRecordCommand() *cobra.Command {
	var out string
	var seed uint64
	c := &cobra.Command{
		Use: "record SCENARIO.star", Short: "Write the arrivals of a scenario as a recording", Args: requireOneScenario,
		Long: `lab record writes the first reqs that a scenario's generator sends, at their times, as a recording:
one Parquet file of at_us, class, key, size and retry, with its schema's version in its metadata.`,
		Example: `  tinsail lab record lab/scenarios/calm.star --seed 3 --out calm.parquet`,
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := loadScenario(args[0])
			if err != nil {
				return err
			}
			sc.Seed = seed
			a := scenarioArrivals(&sc)
			if err := writeRecording(out, a, map[string]string{"tinsail.from": filepath.Base(args[0]), "tinsail.seed": fmt.Sprint(sc.Seed)}); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d arrivals to %s\n", len(a), out)
			return nil
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "file to write")
	c.Flags().Uint64Var(&seed, "seed", 1, "of all chance, as for lab run")
	return c
}

func labInspectCommand() *cobra.Command {
	return &cobra.Command{
		Use: "inspect RECORDING.parquet", Short: "Sum a recording up", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			a, meta, err := readRecording(args[0])
			if err != nil {
				return err
			}
			s := recording.Summarize(a)
			w := c.OutOrStdout()
			fmt.Fprintf(w, "arrivals %d, retries %d, keys %d, over %v\n", s.Arrivals, s.Retries, s.Keys, s.Span)
			fmt.Fprintf(w, "a second: %.1f on average, %d in the busiest\n", s.PerSecond, s.BusiestSecond)
			fmt.Fprintf(w, "sizes: median %d bytes, largest %d\n", s.MedianSize, s.MaxSize)
			for _, k := range slices.Sorted(maps.Keys(s.Classes)) {
				fmt.Fprintf(w, "class %-16s %d\n", k, s.Classes[k])
			}
			for _, k := range slices.Sorted(maps.Keys(meta)) {
				fmt.Fprintf(w, "%s: %s\n", k, meta[k])
			}
			return nil
		},
	}
}

// rewriteRecording reads the recording in, changes it and writes the result to out. It prints the number of arrivals.
func rewriteRecording(c *cobra.Command, in, out string, change func([]recording.Arrival, map[string]string) ([]recording.Arrival, error)) error {
	a, meta, err := readRecording(in)
	if err != nil {
		return err
	}
	if a, err = change(a, meta); err != nil {
		return inputError{err}
	}
	if err := writeRecording(out, a, meta); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%d arrivals to %s\n", len(a), out)
	return nil
}

func labScaleCommand() *cobra.Command {
	var out string
	var stretch, times float64
	var spread time.Duration
	var seed uint64
	c := &cobra.Command{
		Use: "scale RECORDING.parquet", Short: "Stretch a recording in time, or multiply its arrivals", Args: cobra.ExactArgs(1),
		Long: `lab scale writes a recording played over --stretch times the time, with --times as many families
(a req and its retries, copied together, each copy with a key of its own, up to --spread later).`,
		Example: `  tinsail lab scale calm.parquet --times 2.5 --out busy.parquet`,
		RunE: func(c *cobra.Command, args []string) error {
			return rewriteRecording(c, args[0], out, func(a []recording.Arrival, meta map[string]string) ([]recording.Arrival, error) {
				a, err := recording.Stretch(a, stretch)
				if err != nil {
					return nil, err
				}
				meta["tinsail.scaled"] = strings.TrimSpace(fmt.Sprintf("%s stretch %v times %v", meta["tinsail.scaled"], stretch, times))
				return recording.Multiply(a, times, spread, seed)
			})
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "file to write")
	c.Flags().Float64Var(&stretch, "stretch", 1, "factor of time: 2 is half the rate")
	c.Flags().Float64Var(&times, "times", 1, "factor of arrivals, 0 to 1000")
	c.Flags().DurationVar(&spread, "spread", 50*time.Millisecond, "copies come up to this much after their original")
	c.Flags().Uint64Var(&seed, "seed", 1, "chance of the copies")
	return c
}

func labCutCommand() *cobra.Command {
	var out string
	var from, to time.Duration
	c := &cobra.Command{
		Use: "cut RECORDING.parquet", Short: "Keep a stretch of a recording, moved to start at 0", Args: cobra.ExactArgs(1),
		Example: `  tinsail lab cut day.parquet --from 10m --to 15m --out evening.parquet`,
		RunE: func(c *cobra.Command, args []string) error {
			return rewriteRecording(c, args[0], out, func(a []recording.Arrival, _ map[string]string) ([]recording.Arrival, error) {
				return recording.Cut(a, from, to)
			})
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "file to write")
	c.Flags().DurationVar(&from, "from", 0, "start of what is kept")
	c.Flags().DurationVar(&to, "to", 0, "end of what is kept, 0 for the end")
	return c
}
