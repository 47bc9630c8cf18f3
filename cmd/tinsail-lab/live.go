package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/live"
	"tinsail/internal/lab/load"
	"tinsail/internal/lab/sim"
)

func labLiveCommand() *cobra.Command {
	var seed uint64
	var program, replay string
	var quiet bool
	c := &cobra.Command{
		Use: "live SCENARIO.star", Short: "Play a scenario on loopback sockets with the real program, and hold the model against it", Args: requireOneScenario,
		Long: `live plays a scenario in real time: the real program between stand-ins on loopback addresses, under
open-loop clients. The model plays the same arrivals in virtual time; both services and their
difference are printed.

Exit codes: 0 done, 1 the run failed, 2 the scenario or a flag is faulty.`,
		Example: `  tinsail lab live lab/scenarios/slowed.star --program bin/tinsail`,
		RunE: func(c *cobra.Command, args []string) error {
			sc, err := loadScenario(args[0])
			if err != nil {
				return err
			}
			sc.Seed = seed
			if replay != "" { // for both the sockets and the model
				if sc.ArrivalTimes, err = readFirstReqTimes(replay); err != nil {
					return err
				}
			}
			model, err := sim.Run(sc, defaults.Settings())
			if err != nil {
				return inputError{err}
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			startedAt, o := time.Now(), live.Options{Program: program}
			if !quiet {
				o.Progress = func(r load.Result) {
					fmt.Fprintf(c.ErrOrStderr(), "\r%3.0f s: %d reqs, %d served, %d refused, %d failed, %d open   ", time.Since(startedAt).Seconds(), r.FirstReqs, r.Served, r.Refused, r.Failed, r.Open)
				}
			}
			r, err := live.Play(ctx, sc, o)
			if err != nil {
				return err
			}
			if !quiet {
				fmt.Fprintln(c.ErrOrStderr())
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: sockets %.4f, model %.4f, difference %+.4f\n", args[0], r.Service(), model.Service(), r.Service()-model.Service())
			fmt.Fprintf(c.OutOrStdout(), "  sockets: %d first, %d in time, %d served, %d refused, %d failed; p50 %d ms, p99 %d ms; the tool's own lateness p99 %d us, most %d us\n",
				r.FirstReqs, r.InTime, r.Served, r.Refused, r.Failed, r.Clients.Latency.ValueAtQuantile(50)/1000, r.Clients.Latency.ValueAtQuantile(99)/1000,
				r.Clients.SendDelay.ValueAtQuantile(99), r.Clients.SendDelay.Max())
			fmt.Fprintf(c.OutOrStdout(), "  model:   %d first, %d in time, %d served, %d refused, %d failed; p50 %d ms, p99 %d ms\n",
				model.Reqs, model.InTime, model.Served, model.Refused, model.Failed, model.Latency.ValueAtQuantile(50)/1000, model.Latency.ValueAtQuantile(99)/1000)
			for _, u := range r.Unserved {
				fmt.Fprintln(c.OutOrStdout(), "  not served:", u)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "of all chance")
	c.Flags().StringVar(&program, "program", "bin/tinsail", "the dispatcher's binary")
	c.Flags().BoolVar(&quiet, "quiet", false, "no progress line")
	c.Flags().StringVar(&replay, "replay", "", "a recording whose first reqs come in place of the scenario's rate and bursts")
	return c
}
