package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeFiles writes a module's files, given by name, into dir.
func writeFiles(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	for name, text := range files {
		file := filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
	}
}

// TestRunOnModule runs the program with the real go test on a module with a failing and a passing test,
// then adds a package that panics and one that doesn't build, then a malformed list.
func TestRunOnModule(t *testing.T) {
	t.Setenv("GOFLAGS", "")
	t.Setenv("GOWORK", "off")
	dir := t.TempDir()
	goTest := func() (int, string) {
		var out strings.Builder
		exit := run(dir, []string{"./..."}, &out)
		return exit, out.String()
	}
	const head = "import \"testing\"\n\n"
	writeFiles(t, dir, map[string]string{
		"go.mod":          "module small\n\ngo 1.26\n",
		"a/a_test.go":     "package a\n\n" + head + "func TestGreen(t *testing.T) {}\n\nfunc TestRed(t *testing.T) { t.Run(\"sub\", func(t *testing.T) { t.Error(\"bad\") }) }\n",
		"root_test.go":    "package small\n\n" + head + "func TestRoot(t *testing.T) {}\n",
		"KNOWN-RED.txt":   "a TestRed/sub | loses a byte | issue 9\n. TestRoot | was slow | issue 8\n",
		"none/nothing.go": "package none\n",
	})
	exit, out := goTest()
	assert.Zero(t, exit, out)
	assert.Regexp(t, `(?m)^ok  \tsmall\t`, out)
	assert.Regexp(t, `(?m)^FAIL\tsmall/a\t`, out)
	assert.Contains(t, out, "failing, passed over: a TestRed/sub | loses a byte | issue 9\n")
	assert.Contains(t, out, "passes now: take it off the list: . TestRoot | was slow | issue 8\n")
	assert.Contains(t, out, "\n2 passed, 1 failed\n")

	writeFiles(t, dir, map[string]string{
		"b/b_test.go":   "package b\n\n" + head + "func TestBroken(t *testing.T) { undefined() }\n",
		"c/c_test.go":   "package c\n\n" + head + "func TestPanic(t *testing.T) { panic(\"x\") }\n\nfunc TestAfter(t *testing.T) {}\n",
		"KNOWN-RED.txt": "c TestPanic | panics | issue 9\na TestGone | why | issue 8\n",
	})
	exit, out = goTest()
	assert.Equal(t, 1, exit)
	for _, fault := range []string{"a TestRed: failed and is not listed", "a TestRed/sub: failed and is not listed", "b: does not build",
		"c: ended before its tests did", "a TestGone: listed, but there is no such test"} {
		assert.Contains(t, out, "\n  "+fault)
	}
	assert.Contains(t, out, "undefined: undefined")
	assert.Contains(t, out, "panic: x")

	writeFiles(t, dir, map[string]string{"KNOWN-RED.txt": "a TestRed | | issue 9\n"})
	exit, out = goTest()
	assert.Equal(t, 1, exit)
	assert.Equal(t, "\nfails for:\n  KNOWN-RED.txt:1: no cause, wanted PACKAGE TEST | CAUSE | issue NUMBER: \"a TestRed | | issue 9\"\n\n0 passed, 1 failed\n", out)
}
