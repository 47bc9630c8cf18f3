// Command tinsail-lab is the laboratory: it plays scenarios and compares variants. It is a program of its own, so that what
// serves carries no plots: `tinsail lab run` and `tinsail lab compare` start it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // a rule was broken
	exitFaulty = 2 // the command line or a file is faulty
)

// faulty is an error of what the program was given, not of what it did.
type faulty struct{ error }

func (f faulty) Unwrap() error { return f.error }

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

func execute(args []string, out, errs io.Writer) int {
	c := &cobra.Command{Use: "tinsail-lab", Short: "Play scenarios of the laboratory", SilenceErrors: true, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return faulty{err} })
	c.AddCommand(labRunCommand(), labCompareCommand(), labSweepCommand(), labLiveCommand(),
		labRecordCommand(), labInspectCommand(), labScaleCommand(), labCutCommand())
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(errs)
	err := c.Execute()
	if err == nil {
		return exitOK
	}
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintln(errs, "tinsail-lab:", strings.TrimSuffix(line, "\n"))
	}
	if errors.As(err, new(faulty)) {
		return exitFaulty
	}
	return exitFailed
}
