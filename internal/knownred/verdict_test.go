package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Streams as go test -json printed them, less their times and most lines of stacks.
const (
	passes = `{"Action":"start","Package":"small/p"}
{"Action":"run","Package":"small/p","Test":"TestA"}
{"Action":"output","Package":"small/p","Test":"TestA","Output":"=== RUN   TestA\n"}
{"Action":"output","Package":"small/p","Test":"TestA","Output":"    a_test.go:3: a quiet word\n"}
{"Action":"output","Package":"small/p","Test":"TestA","Output":"--- PASS: TestA (0.00s)\n"}
{"Action":"pass","Package":"small/p","Test":"TestA"}
{"Action":"run","Package":"small/p","Test":"TestS"}
{"Action":"output","Package":"small/p","Test":"TestS","Output":"    a_test.go:4: not here\n"}
{"Action":"output","Package":"small/p","Test":"TestS","Output":"--- SKIP: TestS (0.00s)\n"}
{"Action":"skip","Package":"small/p","Test":"TestS"}
{"Action":"output","Package":"small/p","Output":"PASS\n"}
{"Action":"output","Package":"small/p","Output":"ok  \tsmall/p\t1.029s\n"}
{"Action":"pass","Package":"small/p"}
{"Action":"start","Package":"small/none"}
{"Action":"output","Package":"small/none","Output":"?   \tsmall/none\t[no test files]\n"}
{"Action":"skip","Package":"small/none"}
`
	red = `{"Action":"start","Package":"small/q"}
{"Action":"run","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"=== RUN   TestRed\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"    a_test.go:3: bad\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"        in two lines\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"--- FAIL: TestRed (0.00s)\n"}
{"Action":"fail","Package":"small/q","Test":"TestRed"}
{"Action":"run","Package":"small/q","Test":"TestGreen"}
{"Action":"output","Package":"small/q","Test":"TestGreen","Output":"=== RUN   TestGreen\n"}
{"Action":"output","Package":"small/q","Test":"TestGreen","Output":"    a_test.go:4: a quiet word\n"}
{"Action":"output","Package":"small/q","Test":"TestGreen","Output":"--- PASS: TestGreen (0.00s)\n"}
{"Action":"pass","Package":"small/q","Test":"TestGreen"}
{"Action":"output","Package":"small/q","Output":"FAIL\n"}
{"Action":"output","Package":"small/q","Output":"FAIL\tsmall/q\t0.108s\n"}
{"Action":"fail","Package":"small/q"}
`
	deep = `{"Action":"start","Package":"small/s"}
{"Action":"run","Package":"small/s","Test":"TestA"}
{"Action":"output","Package":"small/s","Test":"TestA","Output":"=== RUN   TestA\n"}
{"Action":"run","Package":"small/s","Test":"TestA/one"}
{"Action":"output","Package":"small/s","Test":"TestA/one","Output":"=== RUN   TestA/one\n"}
{"Action":"output","Package":"small/s","Test":"TestA/one","Output":"    a_test.go:3: bad\n"}
{"Action":"output","Package":"small/s","Test":"TestA/one","Output":"--- FAIL: TestA/one (0.00s)\n"}
{"Action":"fail","Package":"small/s","Test":"TestA/one"}
{"Action":"run","Package":"small/s","Test":"TestA/two"}
{"Action":"output","Package":"small/s","Test":"TestA/two","Output":"=== RUN   TestA/two\n"}
{"Action":"output","Package":"small/s","Test":"TestA/two","Output":"--- PASS: TestA/two (0.00s)\n"}
{"Action":"pass","Package":"small/s","Test":"TestA/two"}
{"Action":"output","Package":"small/s","Test":"TestA","Output":"--- FAIL: TestA (0.00s)\n"}
{"Action":"fail","Package":"small/s","Test":"TestA"}
{"Action":"output","Package":"small/s","Output":"FAIL\n"}
{"Action":"output","Package":"small/s","Output":"FAIL\tsmall/s\t0.108s\n"}
{"Action":"fail","Package":"small/s"}
`
	broken = `{"ImportPath":"small/b [small/b.test]","Action":"build-output","Output":"b/a_test.go:3:27: undefined: x\n"}
{"ImportPath":"small/b [small/b.test]","Action":"build-fail"}
{"Action":"start","Package":"small/b"}
{"Action":"output","Package":"small/b","Output":"FAIL\tsmall/b [build failed]\n"}
{"Action":"fail","Package":"small/b","FailedBuild":"small/b [small/b.test]"}
`
	panics = `{"Action":"start","Package":"small/q"}
{"Action":"run","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"=== RUN   TestRed\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"--- FAIL: TestRed (0.00s)\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"panic: x [recovered, repanicked]\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"goroutine 7 [running]:\n"}
{"Action":"fail","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Output":"FAIL\tsmall/q\t0.215s\n"}
{"Action":"fail","Package":"small/q"}
`
	timesOut = `{"Action":"start","Package":"small/q"}
{"Action":"run","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"=== RUN   TestRed\n"}
{"Action":"run","Package":"small/q","Test":"TestRed/deep"}
{"Action":"output","Package":"small/q","Test":"TestRed/deep","Output":"panic: test timed out after 10m0s\n"}
{"Action":"output","Package":"small/q","Output":"FAIL\tsmall/q\t600.3s\n"}
{"Action":"fail","Package":"small/q"}
`
	races = `{"Action":"start","Package":"small/q"}
{"Action":"run","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"=== RUN   TestRed\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"==================\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"WARNING: DATA RACE\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"==================\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"    testing.go:1712: race detected during execution of test\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"--- FAIL: TestRed (0.00s)\n"}
{"Action":"fail","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Output":"FAIL\n"}
{"Action":"output","Package":"small/q","Output":"FAIL\tsmall/q\t0.218s\n"}
{"Action":"fail","Package":"small/q"}
`
	exitsLate = `{"Action":"start","Package":"small/p"}
{"Action":"run","Package":"small/p","Test":"TestA"}
{"Action":"output","Package":"small/p","Test":"TestA","Output":"--- PASS: TestA (0.00s)\n"}
{"Action":"pass","Package":"small/p","Test":"TestA"}
{"Action":"output","Package":"small/p","Output":"PASS\n"}
{"Action":"output","Package":"small/p","Output":"FAIL\tsmall/p\t0.048s\n"}
{"Action":"fail","Package":"small/p"}
`
)

// play judges a stream under a list and returns the verdict and all that was printed.
func play(t *testing.T, stream, list string, exit int) (verdict, string) {
	t.Helper()
	entries, faults := parseList(list)
	require.Empty(t, faults)
	var out strings.Builder
	s := newStream("small", &out)
	require.NoError(t, s.read(strings.NewReader(stream)))
	v := s.judge(entries, exit)
	v.print(&out)
	return v, out.String()
}

func TestGreenRunPasses(t *testing.T) {
	v, out := play(t, passes, "", 0)
	assert.Empty(t, v.faults)
	assert.Equal(t, "ok  \tsmall/p\t1.029s\n?   \tsmall/none\t[no test files]\n\n1 passed, 0 failed, 1 skipped\n", out)
}

func TestUnlistedFailureFails(t *testing.T) {
	for _, list := range []string{"", "q TestGreen | why | issue 1", "p TestA | why | issue 1"} {
		v, out := play(t, passes+red, list, 1)
		assert.Equal(t, []string{"q TestRed: failed and is not listed"}, v.faults)
		assert.Contains(t, out, "    a_test.go:3: bad\n        in two lines\n--- FAIL: TestRed (0.00s)\nFAIL\nFAIL\tsmall/q\t0.108s\n")
		assert.NotContains(t, out, "a quiet word", "what passed says nothing")
		assert.Contains(t, out, "\n2 passed, 1 failed, 1 skipped\n")
	}
}

func TestListedFailureIsPassedOver(t *testing.T) {
	v, out := play(t, passes+red, "q TestRed | loses a byte | issue 9", 1)
	assert.Empty(t, v.faults)
	assert.Equal(t, []string{"failing, passed over: q TestRed | loses a byte | issue 9"}, v.listed)
	assert.Contains(t, out, "--- FAIL: TestRed (0.00s)\n", "it is shown in full all the same")
	assert.Contains(t, out, "\n2 passed, 1 failed, 1 skipped\n")
}

func TestListedTestThatPassesIsNamed(t *testing.T) {
	v, _ := play(t, passes, "p TestA | loses a byte | issue 9", 0)
	assert.Empty(t, v.faults)
	assert.Equal(t, []string{"passes now: take it off the list: p TestA | loses a byte | issue 9"}, v.listed)
}

func TestListedNameHasToExist(t *testing.T) {
	for _, name := range []string{"p TestGone", "p TestA/sub", "gone TestA", "small/p TestA"} {
		v, _ := play(t, passes, name+" | why | issue 1", 0)
		assert.Equal(t, []string{name + ": listed, but there is no such test, or it was not come to"}, v.faults)
		assert.Equal(t, 1, v.failed)
	}
}

func TestListedTestHasToRun(t *testing.T) {
	v, _ := play(t, passes, "p TestS | why | issue 1", 0)
	assert.Equal(t, []string{"p TestS: listed, but was skipped; a listed test has to run"}, v.faults)
}

// A listed subtest takes its parent's failure with it, but no other one's and none of the parent's own.
func TestSubtests(t *testing.T) {
	sub := "s TestA/one | why | issue 1"
	v, _ := play(t, deep, sub, 1)
	assert.Empty(t, v.faults)
	v, _ = play(t, deep, "s TestA | why | issue 1", 1)
	assert.Empty(t, v.faults, "the parent is listed")
	v, _ = play(t, deep, "", 1)
	assert.Equal(t, []string{"s TestA: failed and is not listed", "s TestA/one: failed and is not listed"}, v.faults)
	v, _ = play(t, deep, "s TestA/two | why | issue 1", 1)
	assert.Len(t, v.faults, 2, "another subtest is listed")

	other := strings.Replace(deep, `{"Action":"pass","Package":"small/s","Test":"TestA/two"}`,
		`{"Action":"fail","Package":"small/s","Test":"TestA/two"}`, 1)
	v, _ = play(t, other, sub, 1)
	assert.Equal(t, []string{"s TestA: failed and is not listed", "s TestA/two: failed and is not listed"}, v.faults)

	end := `{"Action":"output","Package":"small/s","Test":"TestA","Output":"--- FAIL: TestA (0.00s)\n"}`
	own := strings.Replace(deep, end, `{"Action":"output","Package":"small/s","Test":"TestA","Output":"    a_test.go:9: own\n"}`+"\n"+end, 1)
	v, _ = play(t, own, sub, 1)
	assert.Equal(t, []string{"s TestA: failed and is not listed"}, v.faults)
}

// The same name in another package is another test.
func TestSameNameElsewhere(t *testing.T) {
	v, _ := play(t, red+strings.ReplaceAll(red, "small/q", "small/q/r"), "q TestRed | why | issue 1", 1)
	assert.Equal(t, []string{"q/r TestRed: failed and is not listed"}, v.faults)
}

// What fails beside the tests is never passed over, though the one test that was run is listed.
func TestWhatNoListedTestExcuses(t *testing.T) {
	early := "ended before its tests did (panic, time-out, exit or a fault in its setup)"
	closing := `{"Action":"output","Package":"small/q","Output":"FAIL\n"}` + "\n"
	for name, c := range map[string]struct {
		stream string
		want   []string
	}{
		"panic":      {panics, []string{"q: " + early}},
		"false end":  {strings.Replace(panics, `{"Action":"run"`, closing+`{"Action":"run"`, 1), []string{"q: " + early}},
		"time-out":   {timesOut, []string{"q TestRed: did not finish", "q TestRed/deep: did not finish", "q: " + early}},
		"race":       {races, []string{"q: has a data race, which is passed over in no test"}},
		"late words": {strings.Replace(red, closing, closing+strings.Replace(closing, `FAIL\n`, `leak\n`, 1), 1), []string{"q: went on after its tests had ended"}},
		"cut off":    {red[:strings.LastIndex(red, `{"Action":"fail"`)], []string{"q: has no result", "go test exited with 1 and named no package that failed"}},
		"build":      {red + broken, []string{"b: does not build"}},
		"exit after": {red + exitsLate, []string{"p: failed, but none of its tests did"}},
		"unfinished": {strings.Replace(red, `{"Action":"pass","Package":"small/q","Test":"TestGreen"}`+"\n", "", 1), []string{"q TestGreen: did not finish"}},
	} {
		t.Run(name, func(t *testing.T) {
			v, out := play(t, c.stream, "q TestRed | why | issue 1", 1)
			assert.Equal(t, c.want, v.faults)
			for _, fault := range c.want {
				assert.Contains(t, out, "  "+fault+"\n")
			}
			assert.NotContains(t, out, " 0 failed")
		})
	}
}

// A panic of a test that had passed before, as one of its goroutines may cause, is shown.
func TestPanicAfterATestIsShown(t *testing.T) {
	late := strings.Replace(passes, `{"Action":"output","Package":"small/p","Output":"PASS\n"}
{"Action":"output","Package":"small/p","Output":"ok  \tsmall/p\t1.029s\n"}
{"Action":"pass","Package":"small/p"}`, `{"Action":"output","Package":"small/p","Test":"TestA","Output":"panic: late\n"}
{"Action":"output","Package":"small/p","Output":"FAIL\tsmall/p\t0.1s\n"}
{"Action":"fail","Package":"small/p"}`, 1)
	v, out := play(t, late, "", 1)
	assert.Len(t, v.faults, 1)
	assert.Contains(t, out, "panic: late\nFAIL\tsmall/p\t0.1s\n")
	assert.NotContains(t, out, "a quiet word")
}

func TestGoTestAtFaultItself(t *testing.T) {
	v, out := play(t, "not an event\n", "", 2)
	assert.Equal(t, []string{"no test was run", "go test exited with 2 and named no package that failed"}, v.faults)
	assert.Contains(t, out, "not an event\n")
	v, _ = play(t, passes, "", 1)
	assert.Len(t, v.faults, 1)
}

func TestBuildOutputIsShown(t *testing.T) {
	_, out := play(t, broken, "", 1)
	assert.Contains(t, out, "b/a_test.go:3:27: undefined: x\nFAIL\tsmall/b [build failed]\n")
}

func TestLongLines(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	_, out := play(t, strings.Replace(red, "bad", long, 1), "", 1)
	assert.True(t, strings.Contains(out, long), fmt.Sprintf("%d bytes printed", len(out)))
}
