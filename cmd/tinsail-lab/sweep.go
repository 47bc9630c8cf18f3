package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"tinsail/internal/lab/experiment"
	"tinsail/internal/lab/report"
)

func labSweepCommand() *cobra.Command {
	var param, out string
	var from, to float64
	var steps int
	var variantNames []string
	o := experiment.Options{}
	c := &cobra.Command{
		Use: "sweep SCENARIO.star", Short: "Play a scenario over a range of one parameter", Args: requireOneScenario,
		Long: `sweep plays each variant at each value of a parameter, on the same seeds, and prints its service
with a 95% interval. Parameters: ` + strings.Join(experiment.Params(), ", ") + `.

Exit codes: 0 done, 1 a rule was broken, 2 the scenario or a flag is faulty.`,
		Example: `  tinsail lab sweep lab/scenarios/calm.star --param rate --from 60 --to 180 --steps 7 --png rate.png`,
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := loadScenario(args[0])
			if err != nil {
				return err
			}
			if steps < 1 || steps > 1000 || o.MaxSeeds < 1 || o.MaxSeeds > 10_000 {
				return inputError{fmt.Errorf("--steps is %d, want 1 to 1000; --seeds is %d, want 1 to 10000", steps, o.MaxSeeds)}
			}
			values := make([]float64, steps)
			for i := range values {
				values[i] = from + (to-from)*float64(i)/float64(max(steps-1, 1))
			}
			var variants []experiment.Variant
			for _, name := range variantNames {
				v, err := parseVariant(name)
				if err != nil {
					return err
				}
				variants = append(variants, v)
			}
			o.MinSeeds, o.Workers = o.MaxSeeds, runtime.GOMAXPROCS(0)
			o.Progress = func(done, most int, _ experiment.Estimate) {
				fmt.Fprintf(c.ErrOrStderr(), "\r%d of %d points   ", done, most)
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			points, err := experiment.Sweep(ctx, sc, param, values, variants, o)
			fmt.Fprintln(c.ErrOrStderr())
			if err != nil {
				return inputError{err}
			}
			report.SweepText(c.OutOrStdout(), param, points)
			if out != "" {
				png, err := report.SweepPNG(param, points)
				if err != nil {
					return err
				}
				if err := os.WriteFile(out, png, 0o644); err != nil {
					return err
				}
			}
			for _, p := range points {
				if len(p.InvalidRuns) > 0 {
					return fmt.Errorf("a rule was broken")
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&param, "param", "rate", "what is varied")
	c.Flags().Float64Var(&from, "from", 60, "its first value")
	c.Flags().Float64Var(&to, "to", 160, "its last value")
	c.Flags().IntVar(&steps, "steps", 6, "how many values")
	c.Flags().StringSliceVar(&variantNames, "variant", []string{"module", "random"}, "module, random, or platform's configuration files")
	c.Flags().IntVar(&o.MaxSeeds, "seeds", 8, "for each point")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "the first; the next are those that follow")
	c.Flags().StringVar(&out, "png", "", "a file for the plot; none: text only")
	return c
}
