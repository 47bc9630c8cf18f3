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

// scenarioOf reads a scenario.
func scenarioOf(path string) (sim.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return sim.Scenario{}, faulty{err}
	}
	sc, err := script.Load(filepath.Base(path), text)
	if err != nil {
		return sc, faulty{err}
	}
	return sc, nil
}

// variantOf finds what a variant's name stands for: module and random are built in, with the
// laboratory's own settings, stop and keep the module under an accord's when_cut; anything else is a platform's configuration file, whose settings the module is given.
func variantOf(name string) (experiment.Variant, error) {
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
		return experiment.Variant{}, faulty{fmt.Errorf("a variant is module, random, stop, keep or a configuration file: %w", err)}
	}
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		return experiment.Variant{}, faulty{err}
	}
	return experiment.Variant{Name: strings.TrimSuffix(filepath.Base(name), ".json"), Settings: labSettings(cfg.Settings), Policy: sim.Module}, nil
}

// labSettings are a platform's, for a fleet of the laboratory's: lists come by themselves there.
func labSettings(s balance.Settings) balance.Settings {
	s.Subscribe, s.Zones, s.Zone = false, 1, 0
	return s
}

func oneScenario(c *cobra.Command, args []string) error {
	if len(args) != 1 {
		return faulty{fmt.Errorf("%s wants one scenario, see %s --help", c.CommandPath(), c.CommandPath())}
	}
	return nil
}

func labRunCommand() *cobra.Command {
	var replay string
	var seed uint64
	var name string
	c := &cobra.Command{
		Use: "run SCENARIO.star", Short: "Play a scenario in virtual time and judge it", Args: oneScenario,
		Long: `run plays a scenario in virtual time, with the real core and decision module between modelled
clients, network and backends, and holds its log to the rules. The same scenario, variant and
seed give the same log to the byte; its hash is printed.

Exit codes: 0 all rules kept, 1 a rule was broken, 2 the scenario or a flag is faulty.`,
		Example: `  tinsail lab run lab/scenarios/deploy.star --seed 3
  tinsail lab run lab/scenarios/deploy.star --variant random`,
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenarioOf(args[0])
			if err != nil {
				return err
			}
			v, err := variantOf(name)
			if err != nil {
				return err
			}
			sc.Seed = seed
			if v.Alter != nil {
				v.Alter(&sc)
			}
			if replay != "" {
				if sc.Times, err = timesOf(replay); err != nil {
					return err
				}
			}
			r, err := sim.PlayWith(sc, v.Settings, v.Policy)
			if err != nil {
				return faulty{err}
			}
			report.Run(c.OutOrStdout(), &r)
			if r.Breaches > 0 {
				return fmt.Errorf("%d breaches of the rules", r.Breaches)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "of all chance")
	c.Flags().StringVar(&name, "variant", "module", "module, random, stop or keep (an accord's when_cut), or a platform's configuration file")
	c.Flags().StringVar(&replay, "replay", "", "a recording whose first reqs come in place of the scenario's rate and bursts")
	return c
}

func labCompareCommand() *cobra.Command {
	var nameA, nameB, folder string
	o := experiment.Options{}
	c := &cobra.Command{
		Use: "compare SCENARIO.star", Short: "Compare two variants on a scenario, with an interval", Args: oneScenario,
		Long: `compare plays two variants on the same seeds and tells the difference of their service (85% of
the whole run, 15% of the worst 10 s), with a 95% interval by the bootstrap. It stops early once the
interval is narrow enough. Runs that break a rule are told by themselves and are in no mean.

Exit codes: 0 done, 1 a rule was broken, 2 the scenario or a flag is faulty.`,
		Example: `  tinsail lab compare lab/scenarios/slowed.star --b random
  tinsail lab compare lab/scenarios/jump.star --b proposed.json --seeds 60 --out report/`,
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := scenarioOf(args[0])
			if err != nil {
				return err
			}
			a, err := variantOf(nameA)
			if err != nil {
				return err
			}
			b, err := variantOf(nameB)
			if err != nil {
				return err
			}
			if o.MaxSeeds < 1 || o.MaxSeeds > 100_000 {
				return faulty{fmt.Errorf("--seeds is %d, want 1 to 100000", o.MaxSeeds)}
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
				return faulty{err}
			}
			report.Text(c.OutOrStdout(), &r)
			if folder != "" {
				if err := save(folder, fmt.Sprintf("%s: %s and %s", filepath.Base(args[0]), r.A, r.B), &r); err != nil {
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

// save writes a report's files.
func save(folder, title string, r *experiment.Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	write := func(name string, f func(io.Writer) error) error {
		out, err := os.Create(filepath.Join(folder, name))
		if err != nil {
			return err
		}
		if err := f(out); err != nil {
			out.Close()
			return err
		}
		return out.Close()
	}
	if err := write("report.html", func(w io.Writer) error { return report.HTML(w, title, r) }); err != nil {
		return err
	}
	if err := write("report.txt", func(w io.Writer) error { report.Text(w, r); return nil }); err != nil {
		return err
	}
	images, names, err := report.Images(r, "png")
	if err != nil {
		return err
	}
	for _, n := range names {
		if err := write(n+".png", func(w io.Writer) error { _, err := w.Write(images[n]); return err }); err != nil {
			return err
		}
	}
	return nil
}
