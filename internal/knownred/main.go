// Knownred runs `go test -json` with its arguments and fails as go test does, but tolerates failures of
// the tests listed in KNOWN-RED.txt. Listed tests are run too, and their results are printed with
// their causes and issues. `make test` runs it at the module's root; it isn't deployed.
//
// Only a failure that a listed test itself reports is tolerated. A package that doesn't build, panics,
// times out, has a data race or doesn't finish fails the run, whatever is listed.
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

// run tests the module at dir and returns the exit code: 0 on success, 1 if a test or the list is
// faulty, 2 if go could not be run.
func run(dir string, args []string, out io.Writer) int {
	list, faults := readList(filepath.Join(dir, listName))
	if len(faults) > 0 {
		// An unusable list is reported before the tests, which take minutes.
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

// goTest runs `go test -json`, reads its output into s and returns its exit code, or -1 if a signal
// ended it.
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
		io.Copy(io.Discard, pipe) // go test would block on a full pipe
	}
	err = cmd.Wait()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return exitErr.ExitCode(), readErr
	}
	return 0, errors.Join(readErr, err)
}

// read handles a whole stream. Line length isn't limited, as a test may print without a newline.
func (s *stream) read(from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 {
			s.handleLine(line)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
