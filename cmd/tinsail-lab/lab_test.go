package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runLab runs tinsail-lab and returns its exit code and its output.
func runLab(args ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	code := execute(args, &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// TestLabRun checks that no scenario of the repository breaks a rule, with the module and with random choice, that a run
// can be repeated exactly, and that another seed gives another run.
func TestLabRun(t *testing.T) {
	files, err := filepath.Glob("../../lab/scenarios/*.star")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		for _, v := range []string{"module", "random"} {
			code, text := runLab("run", f, "--variant", v, "--seed", "7")
			assert.Equal(t, exitOK, code, "%s %s\n%s", f, v, text)
			_, again := runLab("run", f, "--variant", v, "--seed", "7")
			assert.Equal(t, text, again)
			_, other := runLab("run", f, "--variant", v, "--seed", "8")
			assert.NotEqual(t, text, other)
		}
	}
}

// TestLabCompare checks that the output names the worse variant, and that the report is written.
func TestLabCompare(t *testing.T) {
	out := filepath.Join(t.TempDir(), "r")
	code, text := runLab("compare", "../../lab/scenarios/slowed.star", "--seeds", "8", "--out", out)
	assert.Equal(t, exitOK, code)
	assert.Contains(t, text, "B serves less")
	files, err := os.ReadDir(out)
	require.NoError(t, err)
	assert.Len(t, files, 7)
}

// TestLabSweep checks that the table has a line for each point, and that the plot is written.
func TestLabSweep(t *testing.T) {
	out := filepath.Join(t.TempDir(), "s.png")
	code, text := runLab("sweep", "../../lab/scenarios/small.star", "--from", "30", "--to", "90", "--steps", "2", "--seeds", "2", "--png", out)
	assert.Equal(t, exitOK, code, text)
	for _, want := range []string{"module   30", "module   90", "random   30", "random   90"} {
		assert.Contains(t, text, want)
	}
	assert.FileExists(t, out)
}

// TestLabInvalidInput checks that invalid input is named in the output and reported by the exit code.
func TestLabInvalidInput(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.star")
	require.NoError(t, os.WriteFile(invalid, []byte("traffic(rate = 0)"), 0o600))
	valid := "../../lab/scenarios/calm.star"
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"run"}, "wants one scenario"},
		{[]string{"run", "none.star"}, "none.star"},
		{[]string{"run", invalid}, "bad.star:1:8: traffic: rate is 0"},
		{[]string{"run", valid, "--variant", "none.json"}, "a variant is module, random, stop, keep or a configuration file"},
		{[]string{"run", valid, "--variant", invalid}, "config line 1"},
		{[]string{"compare", valid, "--seeds", "0"}, "--seeds is 0"},
		{[]string{"sweep", valid, "--param", "colour"}, `parameter "colour", want one of`},
		{[]string{"sweep", valid, "--steps", "0"}, "--steps is 0"},
	} {
		code, text := runLab(c.args...)
		assert.Equal(t, exitInvalidInput, code, c.args)
		assert.Contains(t, text, c.want)
	}
}

// TestLabRecordings checks that the arrivals of a scenario can be recorded, replayed, summarized, multiplied and cut, and
// that a file that is no recording and a negative factor are reported as invalid input.
func TestLabRecordings(t *testing.T) {
	dir := t.TempDir()
	calm, busy, part := filepath.Join(dir, "calm.parquet"), filepath.Join(dir, "busy.parquet"), filepath.Join(dir, "part.parquet")
	code, text := runLab("record", "../../lab/scenarios/calm.star", "--out", calm)
	require.Equal(t, exitOK, code, text)
	var n int
	_, err := fmt.Sscanf(text, "%d arrivals", &n)
	require.NoError(t, err)
	code, text = runLab("run", "../../lab/scenarios/calm.star", "--seed", "9", "--replay", calm)
	require.Equal(t, exitOK, code, text)
	assert.Contains(t, text, fmt.Sprintf("first reqs         %d:", n), "the recording's arrivals, not those of seed 9")
	code, text = runLab("inspect", calm)
	require.Equal(t, exitOK, code, text)
	assert.Contains(t, text, "tinsail.from: calm.star")
	code, text = runLab("scale", calm, "--times", "2", "--stretch", "0.5", "--out", busy)
	require.Equal(t, exitOK, code, text)
	code, text = runLab("cut", busy, "--from", "1s", "--to", "2s", "--out", part)
	require.Equal(t, exitOK, code, text)
	code, text = runLab("inspect", part)
	require.Equal(t, exitOK, code, text)
	assert.Contains(t, text, "tinsail.scaled: stretch 0.5 times 2")

	require.NoError(t, os.WriteFile(filepath.Join(dir, "no.parquet"), []byte("nothing of the kind"), 0o600))
	code, text = runLab("inspect", filepath.Join(dir, "no.parquet"))
	assert.Equal(t, exitInvalidInput, code)
	assert.Contains(t, text, "not a Parquet file")
	code, text = runLab("scale", calm, "--times", "-1", "--out", busy)
	assert.Equal(t, exitInvalidInput, code)
	assert.Contains(t, text, "multiply by -1")
}
