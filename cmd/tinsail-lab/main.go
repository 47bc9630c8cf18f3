// Command tinsail-lab plays scenarios and compares variants of the dispatcher on them. The commands of `tinsail lab`, such
// as `tinsail lab run`, start it. It is a separate program so that the dispatcher's binary contains no plotting code.
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
	exitOK           = 0
	exitFailed       = 1 // a rule was broken
	exitInvalidInput = 2 // the command line or a file is invalid
)

// inputError is an error in the command line or in a file that was given.
type inputError struct{ error }

// Unwrap returns the wrapped error.
func (e inputError) Unwrap() error { return e.error }

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs the command line args and returns the exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	c := &cobra.Command{Use: "tinsail-lab", Short: "Play scenarios of the laboratory", SilenceErrors: true, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return inputError{err} })
	c.AddCommand(labRunCommand(), labCompareCommand(), labSweepCommand(), labLiveCommand(),
		labRecordCommand(), labInspectCommand(), labScaleCommand(), labCutCommand())
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	err := c.Execute()
	if err == nil {
		return exitOK
	}
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintln(stderr, "tinsail-lab:", strings.TrimSuffix(line, "\n"))
	}
	if errors.As(err, new(inputError)) {
		return exitInvalidInput
	}
	return exitFailed
}
