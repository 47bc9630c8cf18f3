// Knownred runs `go test -json` with its arguments and fails as go test does, but for the tests that
// KNOWN-RED.txt lists: they are run too, and their result is printed beside their cause and issue.
// It is started from the module's root by `make test`, and no part of what is built for a site.
//
// Passed over is only a failure that a listed test itself reported. A package that does not build,
// panics, runs out of time, races or is not come to the end of fails the run, whatever is listed.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
)

func main() { os.Exit(run(".", os.Args[1:], os.Stdout)) }

// run tests the module at dir and returns the exit code: 0 if all is well, 1 if a test or the list
// is at fault, 2 if go could not be run.
func run(dir string, args []string, out io.Writer) int {
	list, faults := readList(filepath.Join(dir, listName))
	if len(faults) > 0 {
		// A list that can't be used would only be found out after minutes of tests.
		verdict{faults: faults, failed: len(faults)}.print(out)
		return 1
	}
	module := exec.Command("go", "list", "-m")
	module.Dir, module.Stderr = dir, os.Stderr
	path, err := module.Output()
	if err != nil {
		fmt.Fprintln(out, "go list -m:", err)
		return 2
	}
	s := newStream(string(bytes.TrimSpace(path)), out)
	exit, err := s.goTest(dir, args)
	if err != nil {
		fmt.Fprintln(out, "go test:", err)
		return 2
	}
	v := s.judge(list, exit)
	v.print(out)
	if len(v.faults) > 0 {
		return 1
	}
	return 0
}

// goTest feeds the stream from `go test -json` and returns go test's exit code, -1 if a signal ended it.
func (s *stream) goTest(dir string, args []string) (exit int, err error) {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Dir, cmd.Stderr = dir, os.Stderr
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	readErr := s.read(pipe)
	if readErr != nil {
		io.Copy(io.Discard, pipe) // go test would wait for a reader
	}
	err = cmd.Wait()
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		return ended.ExitCode(), readErr
	}
	return 0, errors.Join(readErr, err)
}

// read takes a whole stream. Lines have no bound: a test may print without a line's end.
func (s *stream) read(from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 {
			s.line(line)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
