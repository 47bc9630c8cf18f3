package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readerOf returns a read function for Parse that takes the files from a map.
func readerOf(m map[string]string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) {
		text, ok := m[name]
		if !ok {
			return nil, os.ErrNotExist
		}
		return []byte(text), nil
	}
}

func parse(text string) (*Settings, error) {
	return Parse("s.star", readerOf(map[string]string{"s.star": text, "more.star": "port = 8083\nhost = \"127.0.0.1\"\n",
		"self.star": "load(\"self.star\", \"x\")\n"}))
}

func TestValuesAndDefaults(t *testing.T) {
	s, err := parse(`http2(listen = "127.0.0.1:8082", max_streams = 2 * 32, on_reset = "finish" if True else "stop")`)
	require.NoError(t, err)
	assert.Equal(t, &HTTP2{Listen: "127.0.0.1:8082", MaxStreams: 64, MaxHeaderBytes: 16384, MaxFrameBytes: 16384,
		OnReset: "finish", StallMS: 5000, DrainMS: 300}, s.HTTP2)
	s, err = parse("load(\"more.star\", \"host\")\naddress = host + \":1\"\nhttp2(listen = address)")
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:1", s.HTTP2.Listen)
	s, err = parse("")
	require.NoError(t, err)
	assert.Nil(t, s.HTTP2)
	s, err = Load("")
	require.NoError(t, err)
	assert.Equal(t, &Settings{}, s)
}

// TestFaultsNamePositionAndKey: each fault names the file, the line, the key and the valid values.
func TestFaultsNamePositionAndKey(t *testing.T) {
	deep := "x = [1]\n" + strings.Repeat("x = [x, x]\n", 1)
	for _, c := range []struct{ text, want string }{
		{"http2()", "s.star:1:6: http2.listen: is missing, want host:port"},
		{"\nhttp2(listen = \"here\")", `s.star:2:7: http2.listen: is "here", want host:port`},
		{"http2(\n  listen = \"a:1\",\n  max_streams = 0)", "s.star:3:3: http2.max_streams: is 0, want a whole number from 1 to 1000"},
		{"http2(listen = \"a:1\", max_streams = \"9\")", `http2.max_streams: is "9", want a whole number from 1 to 1000`},
		{"http2(listen = \"a:1\", stall_ms = 0.5)", "http2.stall_ms: is 0.5, want a whole number"},
		{"http2(listen = \"a:1\", on_reset = \"go\")", `http2.on_reset: is "go", want "stop" or "finish"`},
		{"http2(listen = \"a:1\", strems = 3)", "http2.strems: is no key of http2, want one of listen, drain_ms"},
		{"http2(\"a:1\")", "http2: takes named values only"},
		{"http2(listen = \"a:1\")\nhttp2(listen = \"a:2\")", "s.star:2:6: http2: is called a second time, first at s.star:1"},
		{"http3(listen = \"a:1\")", "s.star:1:1: http3: is not known, the calls are accord, backends, budgets, consul, http2, member_rules, policy, quotas"},
		{"http2(listen = \"a:1\"", "s.star:1:21: got end of file"},
		{"http2(listen = 1 // 0)", "s.star:1:18: floored division by zero"},
		{"http2(listen = len)", "http2.listen: is a builtin_function_or_method, which no setting takes"},
		{"http2(listen = 1 << 90)", "http2.listen: is too large a number"},
		{"policy(\n  quotas = {\"a\": 3, \"b\": -1})", `s.star:2:3: policy.quotas: has "b": -1, want a dictionary of at most 1024 teams`},
		{"policy(quotas = [3])", "policy.quotas: is [3], want a dictionary"},
		{"policy(quotas = {1: 3})", "policy.quotas: has a key that is no text"},
		{"policy(quotas = {\"a\": 3, \"a\": 4})", "duplicate key"},
		{"policy(run_ms = -1)", "policy.run_ms: is -1, want a whole number from 100"},
		{"quotas(lenders = [\"east=n0\"])", "quotas.region: is missing, want a region's name"},
		{"quotas(region = \"east\",\n lenders = [\"n0\"])", `s.star:2:2: quotas.lenders: is ["n0"], want a list of 1 to 5 region=voter`},
		{deep, "s.star:2:1: cannot reassign global x"},
		{"load(\"none.star\", \"x\")", "none.star: file does not exist"},
		{"load(\"../s.star\", \"x\")", "load takes the name of a .star file beside the script"},
		{"load(\"self.star\", \"x\")", "self.star is loaded by itself"},
		{"def f():\n  pass\n", "s.star:1:1: the settings have no functions"},
		{"x = (1, 2)", "the settings have no tuples"},
		{"x = \"\".join([])", "the settings have no methods"},
		{"x = \"a\"\ny = x * 1000000000", "s.star:2:5: * and % and << take numbers that are written out"},
		{"x = [a for a in range(9)]", "range is not part of the settings"},
		{"x = [range for range in [1]]", "range is not part of the settings"},
		{"http2(range = 1)\nx = range(3)", "s.star:2:5: range is not part of the settings"},
		{"print(1)", "print is not part of the settings"},
	} {
		_, err := parse(c.text)
		assert.ErrorContains(t, err, c.want, c.text)
	}
	var many strings.Builder
	for i := range 1025 {
		fmt.Fprintf(&many, "%q: 1, ", fmt.Sprint("team", i))
	}
	_, err := parse("policy(quotas = {" + many.String() + "})")
	assert.ErrorContains(t, err, "..., want a dictionary of at most 1024 teams")
	assert.Less(t, len(err.Error()), 500)
	_, err = parse("policy(quotas = {" + many.String()[:strings.Index(many.String(), "\"team1024\"")] + "})")
	assert.NoError(t, err, "1024 teams are within the bounds of a script")
	_, err = parse("http2(max_streams = 0,\n stall_ms = 1)")
	assert.Len(t, err, 3, "all faults are reported at once")
}

// TestScriptStepsAndMemoryBounded: the bounds stop scripts that repeatedly double a value or nest loops.
func TestScriptStepsAndMemoryBounded(t *testing.T) {
	var b strings.Builder
	b.WriteString("x0 = \"" + strings.Repeat("a", 1000) + "\"\n")
	for i := range 60 {
		b.WriteString("x" + string(rune('A'+i/26)) + string(rune('a'+i%26)) + " = ")
		if i == 0 {
			b.WriteString("x0 + x0\n")
		} else {
			last := "x" + string(rune('A'+(i-1)/26)) + string(rune('a'+(i-1)%26))
			b.WriteString(last + " + " + last + "\n")
		}
	}
	_, err := parse(b.String())
	assert.ErrorContains(t, err, "uses more than 32 MiB")
	ten := "l = [" + strings.Repeat("0, ", 20) + "]\n"
	_, err = parse(ten + "x = [0 for a in l for b in l for c in l for d in l for e in l]")
	assert.ErrorContains(t, err, "takes more than 100000 steps")
	_, err = parse("a = [1]\nb = [a, a]\nc = [b, b]\nd = [c, c]\ne = [d, d]\nf = [e, e]\nhttp2(listen = f)")
	assert.ErrorContains(t, err, "http2.listen: holds too much")
}

// TestLoadReadsOnlyItsDirectory: links out of the directory, files that are not regular and files that are too long
// are not read.
func TestLoadReadsOnlyItsDirectory(t *testing.T) {
	dir := t.TempDir()
	inner := filepath.Join(dir, "in")
	require.NoError(t, os.Mkdir(inner, 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "out.star"), []byte("x = 1"), 0o600))
	require.NoError(t, os.Symlink("../out.star", filepath.Join(inner, "link.star")))
	path := filepath.Join(inner, "s.star")
	require.NoError(t, os.WriteFile(path, []byte("load(\"link.star\", \"x\")"), 0o600))
	_, err := Load(path)
	assert.ErrorContains(t, err, "link.star")
	require.NoError(t, os.WriteFile(path, []byte("http2(listen = \"127.0.0.1:1\")"), 0o600))
	s, err := Load(path)
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:1", s.HTTP2.Listen)
	_, err = Load(inner)
	assert.ErrorContains(t, err, "no regular file")
	require.NoError(t, os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600))
	_, err = Load(path)
	assert.ErrorContains(t, err, "more than 262144 bytes")
}

// TestChangesByWhenTheyApply: the changes of a new script are grouped by when they take effect.
func TestChangesByWhenTheyApply(t *testing.T) {
	a, err := parse(`http2(listen = "a:1")`)
	require.NoError(t, err)
	b, err := parse(`http2(listen = "a:2", max_streams = 3)`)
	require.NoError(t, err)
	now, later := a.Changes(b)
	assert.Equal(t, [][]string{{"http2.max_streams"}, {"http2.listen"}}, [][]string{now, later})
	now, later = a.Changes(&Settings{})
	assert.Equal(t, [][]string{nil, {"http2"}}, [][]string{now, later})
	now, later = a.Changes(a)
	assert.Empty(t, append(now, later...))
}

// TestReferencePageMatchesSchema: the page in docs equals the reference generated from the schema, and the example
// script sets every key.
func TestReferencePageMatchesSchema(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	assert.Equal(t, Reference(), string(page), "regenerate it: bin/tinsail reference > docs/settings.md")
	_, err = Load("../../deploy/example.star")
	require.NoError(t, err)
	text, err := os.ReadFile("../../deploy/example.star")
	require.NoError(t, err)
	for _, call := range calls() {
		for _, key := range keys(call) {
			assert.Contains(t, string(text), key+" = ", call)
		}
	}
}

// FuzzParse: no text makes the parser panic, hang or use unbounded memory.
func FuzzParse(f *testing.F) {
	f.Add("http2(listen = \"127.0.0.1:8082\", max_streams = 128)")
	f.Add("load(\"more.star\", \"port\")\nx = [a for a in [1] if a]\nhttp2(**{\"listen\": \"a:1\"})")
	f.Add("a = [1]\nb = {\"k\": [a, a]}\nhttp2(listen = b)")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := parse(text); (s == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
	})
}
