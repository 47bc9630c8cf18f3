// Command tinsail is the dispatcher: it takes reqs from clients and has backends carry them
// out, as the decision module says. This folder holds the edge: the command line, the wiring
// of the parts, signals.
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
	exitFailed       = 1 // the program could not do what it was told, a port in use, say
	exitInvalidInput = 2 // the command line, the configuration or the settings are faulty
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// inputError is an error of what the program was given, not of what it did.
type inputError struct{ error }

func (f inputError) Unwrap() error { return f.error }

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
