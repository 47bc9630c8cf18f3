// Command tinsail is the dispatcher: it accepts requests from clients and sends them to backends as the decision module
// (internal/balance) decides. This package holds the command line, the wiring of the parts, and the handling of signals.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"tinsail/internal/config"
	"tinsail/internal/settings"
)

// Exit codes.
const (
	exitOK           = 0
	exitFailed       = 1 // the program failed, for example because a port is in use
	exitInvalidInput = 2 // the command line, the configuration or the settings are faulty
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// inputError is a fault in the command line, the configuration or the settings.
type inputError struct{ error }

func (f inputError) Unwrap() error { return f.error }

// execute runs the command line args and returns the exit code.
func execute(args []string, out, errs io.Writer) int {
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(errs)
	err := c.Execute()
	var conf config.Faults
	var set settings.Faults
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &conf), errors.As(err, &set):
		for line := range strings.Lines(err.Error()) {
			fmt.Fprintln(errs, "tinsail:", strings.TrimSuffix(line, "\n"))
		}
		return exitInvalidInput
	case errors.As(err, new(inputError)):
		fmt.Fprintln(errs, "tinsail:", err)
		return exitInvalidInput
	}
	fmt.Fprintln(errs, "tinsail:", err)
	return exitFailed
}
