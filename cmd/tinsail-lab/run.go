package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"tinsail/internal/balance"
	"tinsail/internal/config"
	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/experiment"
	"tinsail/internal/lab/report"
	"tinsail/internal/lab/script"
	"tinsail/internal/lab/sim"
)

// loadScenario loads a scenario from a file.
func loadScenario(path string) (sim.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return sim.Scenario{}, inputError{err}
	}
	sc, err := script.Load(filepath.Base(path), text)
	if err != nil {
		return sc, inputError{err}
	}
	return sc, nil
}

// parseVariant returns the variant of a name. "module" chooses backends by the decision module and "random" at random, both
// with the default settings of package defaults. "stop" and "keep" are the module with that value of an accord's when_cut.
// Any other name is the path of a platform's configuration file, whose settings the module uses.
func parseVariant(name string) (experiment.Variant, error) {
	switch name {
	case "module":
		return experiment.Variant{Name: name, Settings: defaults.Settings(), Policy: sim.Module}, nil
	case "stop", "keep":
		return experiment.Variant{Name: name, Settings: defaults.Settings(), Policy: sim.Module,
			Alter: func(sc *sim.Scenario) { sc.Accord.ContinueWhenCut = name == "keep" }}, nil
	case "random":
		return experiment.Variant{Name: name, Settings: defaults.Settings(), Policy: experiment.Random}, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return experiment.Variant{}, inputError{fmt.Errorf("a variant is module, random, stop, keep or a configuration file: %w", err)}
	}
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		return experiment.Variant{}, inputError{err}
	}
	return experiment.Variant{Name: strings.TrimSuffix(filepath.Base(name), ".json"), Settings: simulatorSettings(cfg.Settings), Policy: sim.Module}, nil
}

// simulatorSettings adapts the settings of a configuration file to the simulator, which has a single zone and delivers
// lists of backends without a subscription.
func simulatorSettings(s balance.Settings) balance.Settings {
	s.Subscribe, s.Zones, s.Zone = false, 1, 0
	return s
}

// requireOneScenario checks that a command has exactly one argument.
func requireOneScenario(c *cobra.Command, args []string) error {
	if len(args) != 1 {
		return inputError{fmt.Errorf("%s wants one scenario, see %s --help", c.CommandPath(), c.CommandPath())}
	}
	return nil
}

func labRunCommand() *cobra.Command {
	var replay string
	var seed uint64
	var variantName string
	c := &cobra.Command{
		Use: "run SCENARIO.star", Short: "Play a scenario in virtual time and judge it", Args: requireOneScenario,
		Long: `run plays a scenario in virtual time, with the real core and decision module between modelled
clients, network and backends, and holds its log to the rules. The same scenario, variant and
seed give the same log to the byte; its hash is printed.

Exit codes: 0 all rules kept, 1 a rule was broken, 2 the scenario or a flag is faulty.`,
		Example: `  tinsail lab run lab/scenarios/deploy.star --seed 3
  tinsail lab run lab/scenarios/deploy.star --variant random`,
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := loadScenario(args[0])
			if err != nil {
				return err
			}
			variant, err := parseVariant(variantName)
			if err != nil {
				return err
			}
			sc.Seed = seed
			if variant.Alter != nil {
				variant.Alter(&sc)
			}
			if replay != "" {
				if sc.ArrivalTimes, err = readFirstReqTimes(replay); err != nil {
					return err
				}
			}
			r, err := sim.RunWithPolicy(sc, variant.Settings, variant.Policy)
			if err != nil {
				return inputError{err}
			}
			report.Run(c.OutOrStdout(), &r)
			if r.ViolationCount > 0 {
				return fmt.Errorf("%d breaches of the rules", r.ViolationCount)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "of all chance")
	c.Flags().StringVar(&variantName, "variant", "module", "module, random, stop or keep (an accord's when_cut), or a platform's configuration file")
	c.Flags().StringVar(&replay, "replay", "", "a recording whose first reqs come in place of the scenario's rate and bursts")
	return c
}

func labCompareCommand() *cobra.Command {
	var nameA, nameB, folder string
	o := experiment.Options{}
	c := &cobra.Command{
		Use: "compare SCENARIO.star", Short: "Compare two variants on a scenario, with an interval", Args: requireOneScenario,
		Long: `compare plays two variants on the same seeds and tells the difference of their service (85% of
the whole run, 15% of the worst 10 s), with a 95% interval by the bootstrap. It stops early once the
interval is narrow enough. Runs that break a rule are told by themselves and are in no mean.

Exit codes: 0 done, 1 a rule was broken, 2 the scenario or a flag is faulty.`,
		Example: `  tinsail lab compare lab/scenarios/slowed.star --b random
  tinsail lab compare lab/scenarios/jump.star --b proposed.json --seeds 60 --out report/`,
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := loadScenario(args[0])
			if err != nil {
				return err
			}
			a, err := parseVariant(nameA)
			if err != nil {
				return err
			}
			b, err := parseVariant(nameB)
			if err != nil {
				return err
			}
			if o.MaxSeeds < 1 || o.MaxSeeds > 100_000 {
				return inputError{fmt.Errorf("--seeds is %d, want 1 to 100000", o.MaxSeeds)}
			}
			o.MinSeeds, o.Workers = min(8, o.MaxSeeds), runtime.GOMAXPROCS(0)
			o.Progress = func(done, most int, diff experiment.Estimate) {
				fmt.Fprintf(c.ErrOrStderr(), "\r%d of %d seeds, B - A %v   ", done, most, diff)
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			r, err := experiment.Compare(ctx, sc, a, b, o)
			fmt.Fprintln(c.ErrOrStderr())
			if err != nil && ctx.Err() == nil {
				return inputError{err}
			}
			report.Text(c.OutOrStdout(), &r)
			if folder != "" {
				if err := saveReport(folder, fmt.Sprintf("%s: %s and %s", filepath.Base(args[0]), r.A, r.B), &r); err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), "written to", folder)
			}
			if len(r.InvalidRuns) > 0 {
				return fmt.Errorf("%d runs broke a rule", len(r.InvalidRuns))
			}
			return nil
		},
	}
	c.Flags().StringVar(&nameA, "a", "module", "module, random, stop or keep (an accord's when_cut), or a platform's configuration file")
	c.Flags().StringVar(&nameB, "b", "random", "the same")
	c.Flags().IntVar(&o.MaxSeeds, "seeds", 40, "at most")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "the first; the next are those that follow")
	c.Flags().Float64Var(&o.StopWidth, "width", 0.01, "stop once the interval of the difference is no wider; negative: never")
	c.Flags().StringVar(&folder, "out", "", "a folder for report.html, report.txt and the plots as PNG; none: text only")
	return c
}

// saveReport writes a report as HTML and text, with its plots, to a folder.
func saveReport(folder, title string, r *experiment.Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	writeFile := func(name string, write func(io.Writer) error) error {
		out, err := os.Create(filepath.Join(folder, name))
		if err != nil {
			return err
		}
		if err := write(out); err != nil {
			out.Close()
			return err
		}
		return out.Close()
	}
	if err := writeFile("report.html", func(w io.Writer) error { return report.HTML(w, title, r) }); err != nil {
		return err
	}
	if err := writeFile("report.txt", func(w io.Writer) error { report.Text(w, r); return nil }); err != nil {
		return err
	}
	images, names, err := report.Images(r, "png")
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := writeFile(name+".png", func(w io.Writer) error { _, err := w.Write(images[name]); return err }); err != nil {
			return err
		}
	}
	return nil
}
