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

func lab(args ...string) (int, string) {
	var out, errs bytes.Buffer
	code := execute(args, &out, &errs)
	return code, out.String() + errs.String()
}

// TestLabRun: every scenario of the repository keeps the rules, with the module and with random choice, and a run
// is the same each time.
func TestLabRun(t *testing.T) {
	files, err := filepath.Glob("../../lab/scenarios/*.star")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		for _, v := range []string{"module", "random"} {
			code, text := lab("run", f, "--variant", v, "--seed", "7")
			assert.Equal(t, exitOK, code, "%s %s\n%s", f, v, text)
			_, again := lab("run", f, "--variant", v, "--seed", "7")
			assert.Equal(t, text, again)
			_, other := lab("run", f, "--variant", v, "--seed", "8")
			assert.NotEqual(t, text, other)
		}
	}
}

// TestLabCompare: what is worse is told, and the report is written.
func TestLabCompare(t *testing.T) {
	out := filepath.Join(t.TempDir(), "r")
	code, text := lab("compare", "../../lab/scenarios/slowed.star", "--seeds", "8", "--out", out)
	assert.Equal(t, exitOK, code)
	assert.Contains(t, text, "B serves less")
	files, err := os.ReadDir(out)
	require.NoError(t, err)
	assert.Len(t, files, 7)
}

// TestLabSweep: the table has a line for each point, and the plot is written.
func TestLabSweep(t *testing.T) {
	out := filepath.Join(t.TempDir(), "s.png")
	code, text := lab("sweep", "../../lab/scenarios/small.star", "--from", "30", "--to", "90", "--steps", "2", "--seeds", "2", "--png", out)
	assert.Equal(t, exitOK, code, text)
	for _, want := range []string{"module   30", "module   90", "random   30", "random   90"} {
		assert.Contains(t, text, want)
	}
	assert.FileExists(t, out)
}

// TestLabFaults: faults are named, and told by the exit code.
func TestLabFaults(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.star")
	require.NoError(t, os.WriteFile(bad, []byte("traffic(rate = 0)"), 0o600))
	fine := "../../lab/scenarios/calm.star"
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"run"}, "wants one scenario"},
		{[]string{"run", "none.star"}, "none.star"},
		{[]string{"run", bad}, "bad.star:1:8: traffic: rate is 0"},
		{[]string{"run", fine, "--variant", "none.json"}, "a variant is module, random, stop, keep or a configuration file"},
		{[]string{"run", fine, "--variant", bad}, "config line 1"},
		{[]string{"compare", fine, "--seeds", "0"}, "--seeds is 0"},
		{[]string{"sweep", fine, "--param", "colour"}, `parameter "colour", want one of`},
		{[]string{"sweep", fine, "--steps", "0"}, "--steps is 0"},
	} {
		code, text := lab(c.args...)
		assert.Equal(t, exitFaulty, code, c.args)
		assert.Contains(t, text, c.want)
	}
}

// TestLabRecordings: a scenario's arrivals are recorded, summed up, multiplied and cut, and a file that is not a
// recording is named as such with a faulty exit.
func TestLabRecordings(t *testing.T) {
	dir := t.TempDir()
	calm, busy, part := filepath.Join(dir, "calm.parquet"), filepath.Join(dir, "busy.parquet"), filepath.Join(dir, "part.parquet")
	code, text := lab("record", "../../lab/scenarios/calm.star", "--out", calm)
	require.Equal(t, exitOK, code, text)
	var n int
	_, err := fmt.Sscanf(text, "%d arrivals", &n)
	require.NoError(t, err)
	code, text = lab("run", "../../lab/scenarios/calm.star", "--seed", "9", "--replay", calm)
	require.Equal(t, exitOK, code, text)
	assert.Contains(t, text, fmt.Sprintf("first reqs         %d:", n), "the recording's arrivals, not those of seed 9")
	code, text = lab("inspect", calm)
	require.Equal(t, exitOK, code, text)
	assert.Contains(t, text, "tinsail.from: calm.star")
	code, text = lab("scale", calm, "--times", "2", "--stretch", "0.5", "--out", busy)
	require.Equal(t, exitOK, code, text)
	code, text = lab("cut", busy, "--from", "1s", "--to", "2s", "--out", part)
	require.Equal(t, exitOK, code, text)
	code, text = lab("inspect", part)
	require.Equal(t, exitOK, code, text)
	assert.Contains(t, text, "tinsail.scaled: stretch 0.5 times 2")

	require.NoError(t, os.WriteFile(filepath.Join(dir, "no.parquet"), []byte("nothing of the kind"), 0o600))
	code, text = lab("inspect", filepath.Join(dir, "no.parquet"))
	assert.Equal(t, exitFaulty, code)
	assert.Contains(t, text, "not a Parquet file")
	code, text = lab("scale", calm, "--times", "-1", "--out", busy)
	assert.Equal(t, exitFaulty, code)
	assert.Contains(t, text, "multiply by -1")
}
