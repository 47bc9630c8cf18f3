package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"tinsail/internal/config"
	"tinsail/internal/logs"
	"tinsail/internal/settings"
)

const about = `tinsail is a dispatcher: clients send it reqs, it chooses a backend for each and
gives each client exactly one final answer.

The platform's configuration is a JSON file that ROUTER_CONFIG names. What is set
beyond it is a Starlark script, given by --settings; without one, all of that is off.

Exit codes: 0 done, 1 failed, 2 the command line, the configuration or the settings
are faulty.`

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "tinsail", Short: "A dispatcher of jobs to backends", Long: about,
		SilenceErrors: true, SilenceUsage: true,
		Example: `  tinsail demo
  ROUTER_CONFIG=config.json tinsail check --settings deploy/example.star
  ROUTER_CONFIG=config.json tinsail serve
  tinsail completion bash > /etc/bash_completion.d/tinsail`,
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return inputError{err} })
	c.AddCommand(serveCommand(), checkCommand(), versionCommand(), demoCommand(), membersCommand(), controlCommand(), labCommand(), referenceCommand())
	for _, sub := range c.Commands() {
		sub.Args = noArgs
	}
	c.Args = noArgs
	c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	return c
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return inputError{fmt.Errorf("%s takes no %q, see %s --help", c.CommandPath(), args[0], c.CommandPath())}
	}
	return nil
}

// options holds the flags that commands share.
type options struct {
	settingsPath, logLevel, logFormat string
	countersEvery                     time.Duration // interval at which serve logs the counters; 0: only on SIGUSR1 and at the end
}

func (o *options) addFlags(c *cobra.Command, withLog bool) {
	c.Flags().StringVar(&o.settingsPath, "settings", "", "the settings script (Starlark); none: all that it could set is off")
	_ = c.MarkFlagFilename("settings", "star")
	if !withLog {
		return
	}
	c.Flags().StringVar(&o.logLevel, "log-level", "info", "trace, debug, info, warn, error or off")
	c.Flags().StringVar(&o.logFormat, "log-format", logs.Auto, "auto (text on a terminal, else JSON lines), json or text")
	fixed := func(words ...string) func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return words, cobra.ShellCompDirectiveNoFileComp
		}
	}
	_ = c.RegisterFlagCompletionFunc("log-level", fixed("trace", "debug", "info", "warn", "error", "off"))
	_ = c.RegisterFlagCompletionFunc("log-format", fixed(logs.Auto, logs.JSON, logs.Text))
}

func serveCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "serve", Short: "Serve clients until SIGTERM",
		Long: `serve reads the configuration and the settings, listens, and serves until SIGTERM or
SIGINT; it then answers all that it has taken and ends.

Signals: SIGHUP reads both files again, SIGUSR1 logs the counters.
Exit codes: 0 ended on a signal, 1 failed, 2 faulty configuration, settings or flags.`,
		Example: `  ROUTER_CONFIG=config.json tinsail serve
  ROUTER_CONFIG=config.json tinsail serve --settings deploy/example.star --log-level debug`,
		RunE: func(c *cobra.Command, _ []string) error { return serve(o, c.ErrOrStderr()) },
	}
	o.addFlags(c, true)
	c.Flags().DurationVar(&o.countersEvery, "counters-every", 0, "log the counters this often (e.g. 1s), to follow a day in the logs; 0: only on SIGUSR1 and at the end")
	return c
}

func checkCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "check", Short: "Read the configuration and the settings, and start nothing",
		Long: `check reads all that serve would read and names every fault by its key and line.

Exit codes: 0 all is well, 2 something is faulty.`,
		Example: `  ROUTER_CONFIG=config.json tinsail check
  ROUTER_CONFIG=config.json tinsail check --settings deploy/example.star`,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := config.Load(os.Getenv)
			set, err2 := settings.Load(o.settingsPath)
			if err = errors.Join(err, err2, checkAddresses(cfg, set), checkSources(cfg, set), checkBudgets(set), checkAccord(cfg, set), checkQuotas(cfg, set)); err != nil {
				return inputError{err}
			}
			fmt.Fprintln(c.OutOrStdout(), "the configuration and the settings are well")
			return nil
		},
	}
	o.addFlags(c, false)
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print what was built",
		Run: func(c *cobra.Command, _ []string) {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				fmt.Fprintln(c.OutOrStdout(), "tinsail, without a record of its build")
				return
			}
			fmt.Fprintf(c.OutOrStdout(), "tinsail %s, %s\n", info.Main.Version, info.GoVersion)
		},
	}
}

func referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "reference", Short: "Print the reference of the settings script", Hidden: true,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprint(c.OutOrStdout(), settings.Reference()) },
	}
}
