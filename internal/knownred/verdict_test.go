package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Streams as printed by go test -json, without times and most lines of stacks.
const (
	passingRun = `{"Action":"start","Package":"small/p"}
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
	failingRun = `{"Action":"start","Package":"small/q"}
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
	failingSubtest = `{"Action":"start","Package":"small/s"}
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
	failingBuild = `{"ImportPath":"small/b [small/b.test]","Action":"build-output","Output":"b/a_test.go:3:27: undefined: x\n"}
{"ImportPath":"small/b [small/b.test]","Action":"build-fail"}
{"Action":"start","Package":"small/b"}
{"Action":"output","Package":"small/b","Output":"FAIL\tsmall/b [build failed]\n"}
{"Action":"fail","Package":"small/b","FailedBuild":"small/b [small/b.test]"}
`
	panickingRun = `{"Action":"start","Package":"small/q"}
{"Action":"run","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"=== RUN   TestRed\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"--- FAIL: TestRed (0.00s)\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"panic: x [recovered, repanicked]\n"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"goroutine 7 [running]:\n"}
{"Action":"fail","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Output":"FAIL\tsmall/q\t0.215s\n"}
{"Action":"fail","Package":"small/q"}
`
	timedOutRun = `{"Action":"start","Package":"small/q"}
{"Action":"run","Package":"small/q","Test":"TestRed"}
{"Action":"output","Package":"small/q","Test":"TestRed","Output":"=== RUN   TestRed\n"}
{"Action":"run","Package":"small/q","Test":"TestRed/deep"}
{"Action":"output","Package":"small/q","Test":"TestRed/deep","Output":"panic: test timed out after 10m0s\n"}
{"Action":"output","Package":"small/q","Output":"FAIL\tsmall/q\t600.3s\n"}
{"Action":"fail","Package":"small/q"}
`
	racingRun = `{"Action":"start","Package":"small/q"}
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
	exitAfterTests = `{"Action":"start","Package":"small/p"}
{"Action":"run","Package":"small/p","Test":"TestA"}
{"Action":"output","Package":"small/p","Test":"TestA","Output":"--- PASS: TestA (0.00s)\n"}
{"Action":"pass","Package":"small/p","Test":"TestA"}
{"Action":"output","Package":"small/p","Output":"PASS\n"}
{"Action":"output","Package":"small/p","Output":"FAIL\tsmall/p\t0.048s\n"}
{"Action":"fail","Package":"small/p"}
`
)

// evaluate judges a stream with a list and returns the verdict and everything printed.
func evaluate(t *testing.T, stream, list string, exit int) (verdict, string) {
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

func TestPassingRunSucceeds(t *testing.T) {
	v, out := evaluate(t, passingRun, "", 0)
	assert.Empty(t, v.faults)
	assert.Equal(t, "ok  \tsmall/p\t1.029s\n?   \tsmall/none\t[no test files]\n\n1 passed, 0 failed, 1 skipped\n", out)
}

func TestUnlistedFailureFails(t *testing.T) {
	for _, list := range []string{"", "q TestGreen | why | issue 1", "p TestA | why | issue 1"} {
		v, out := evaluate(t, passingRun+failingRun, list, 1)
		assert.Equal(t, []string{"q TestRed: failed and is not listed"}, v.faults)
		assert.Contains(t, out, "    a_test.go:3: bad\n        in two lines\n--- FAIL: TestRed (0.00s)\nFAIL\nFAIL\tsmall/q\t0.108s\n")
		assert.NotContains(t, out, "a quiet word", "output of passed tests is not shown")
		assert.Contains(t, out, "\n2 passed, 1 failed, 1 skipped\n")
	}
}

func TestListedFailureIsTolerated(t *testing.T) {
	v, out := evaluate(t, passingRun+failingRun, "q TestRed | loses a byte | issue 9", 1)
	assert.Empty(t, v.faults)
	assert.Equal(t, []string{"failing, passed over: q TestRed | loses a byte | issue 9"}, v.listed)
	assert.Contains(t, out, "--- FAIL: TestRed (0.00s)\n", "a listed failure is shown in full too")
	assert.Contains(t, out, "\n2 passed, 1 failed, 1 skipped\n")
}

func TestListedTestThatPassesIsReported(t *testing.T) {
	v, _ := evaluate(t, passingRun, "p TestA | loses a byte | issue 9", 0)
	assert.Empty(t, v.faults)
	assert.Equal(t, []string{"passes now: take it off the list: p TestA | loses a byte | issue 9"}, v.listed)
}

func TestListedTestMustExist(t *testing.T) {
	for _, name := range []string{"p TestGone", "p TestA/sub", "gone TestA", "small/p TestA"} {
		v, _ := evaluate(t, passingRun, name+" | why | issue 1", 0)
		assert.Equal(t, []string{name + ": listed, but there is no such test, or it was not come to"}, v.faults)
		assert.Equal(t, 1, v.failed)
	}
}

func TestListedTestMustRun(t *testing.T) {
	v, _ := evaluate(t, passingRun, "p TestS | why | issue 1", 0)
	assert.Equal(t, []string{"p TestS: listed, but was skipped; a listed test has to run"}, v.faults)
}

// TestSubtests checks that a listed subtest excuses its parent's failure, but not a failure of another
// subtest or of the parent itself.
func TestSubtests(t *testing.T) {
	listedSubtest := "s TestA/one | why | issue 1"
	v, _ := evaluate(t, failingSubtest, listedSubtest, 1)
	assert.Empty(t, v.faults)
	v, _ = evaluate(t, failingSubtest, "s TestA | why | issue 1", 1)
	assert.Empty(t, v.faults, "the parent is listed")
	v, _ = evaluate(t, failingSubtest, "", 1)
	assert.Equal(t, []string{"s TestA: failed and is not listed", "s TestA/one: failed and is not listed"}, v.faults)
	v, _ = evaluate(t, failingSubtest, "s TestA/two | why | issue 1", 1)
	assert.Len(t, v.faults, 2, "another subtest is listed")

	otherFails := strings.Replace(failingSubtest, `{"Action":"pass","Package":"small/s","Test":"TestA/two"}`,
		`{"Action":"fail","Package":"small/s","Test":"TestA/two"}`, 1)
	v, _ = evaluate(t, otherFails, listedSubtest, 1)
	assert.Equal(t, []string{"s TestA: failed and is not listed", "s TestA/two: failed and is not listed"}, v.faults)

	parentResult := `{"Action":"output","Package":"small/s","Test":"TestA","Output":"--- FAIL: TestA (0.00s)\n"}`
	parentFails := strings.Replace(failingSubtest, parentResult, `{"Action":"output","Package":"small/s","Test":"TestA","Output":"    a_test.go:9: own\n"}`+"\n"+parentResult, 1)
	v, _ = evaluate(t, parentFails, listedSubtest, 1)
	assert.Equal(t, []string{"s TestA: failed and is not listed"}, v.faults)
}

// TestSameNameInOtherPackage checks that an entry doesn't excuse a test of the same name in another
// package.
func TestSameNameInOtherPackage(t *testing.T) {
	v, _ := evaluate(t, failingRun+strings.ReplaceAll(failingRun, "small/q", "small/q/r"), "q TestRed | why | issue 1", 1)
	assert.Equal(t, []string{"q/r TestRed: failed and is not listed"}, v.faults)
}

// TestGeneralFaultsAreNeverExcused checks that faults other than a test's own failure fail the run,
// even if the only failing test is listed.
func TestGeneralFaultsAreNeverExcused(t *testing.T) {
	endedEarly := "ended before its tests did (panic, time-out, exit or a fault in its setup)"
	summary := `{"Action":"output","Package":"small/q","Output":"FAIL\n"}` + "\n"
	for name, c := range map[string]struct {
		stream string
		want   []string
	}{
		"panic":      {panickingRun, []string{"q: " + endedEarly}},
		"false end":  {strings.Replace(panickingRun, `{"Action":"run"`, summary+`{"Action":"run"`, 1), []string{"q: " + endedEarly}},
		"time-out":   {timedOutRun, []string{"q TestRed: did not finish", "q TestRed/deep: did not finish", "q: " + endedEarly}},
		"race":       {racingRun, []string{"q: has a data race, which is passed over in no test"}},
		"late words": {strings.Replace(failingRun, summary, summary+strings.Replace(summary, `FAIL\n`, `leak\n`, 1), 1), []string{"q: went on after its tests had ended"}},
		"cut off":    {failingRun[:strings.LastIndex(failingRun, `{"Action":"fail"`)], []string{"q: has no result", "go test exited with 1 and named no package that failed"}},
		"build":      {failingRun + failingBuild, []string{"b: does not build"}},
		"exit after": {failingRun + exitAfterTests, []string{"p: failed, but none of its tests did"}},
		"unfinished": {strings.Replace(failingRun, `{"Action":"pass","Package":"small/q","Test":"TestGreen"}`+"\n", "", 1), []string{"q TestGreen: did not finish"}},
	} {
		t.Run(name, func(t *testing.T) {
			v, out := evaluate(t, c.stream, "q TestRed | why | issue 1", 1)
			assert.Equal(t, c.want, v.faults)
			for _, fault := range c.want {
				assert.Contains(t, out, "  "+fault+"\n")
			}
			assert.NotContains(t, out, " 0 failed")
		})
	}
}

// TestPanicAfterPassedTestIsShown checks that a panic attributed to a test that has passed, as one of its
// goroutines may cause, is shown.
func TestPanicAfterPassedTestIsShown(t *testing.T) {
	panicsLater := strings.Replace(passingRun, `{"Action":"output","Package":"small/p","Output":"PASS\n"}
{"Action":"output","Package":"small/p","Output":"ok  \tsmall/p\t1.029s\n"}
{"Action":"pass","Package":"small/p"}`, `{"Action":"output","Package":"small/p","Test":"TestA","Output":"panic: late\n"}
{"Action":"output","Package":"small/p","Output":"FAIL\tsmall/p\t0.1s\n"}
{"Action":"fail","Package":"small/p"}`, 1)
	v, out := evaluate(t, panicsLater, "", 1)
	assert.Len(t, v.faults, 1)
	assert.Contains(t, out, "panic: late\nFAIL\tsmall/p\t0.1s\n")
	assert.NotContains(t, out, "a quiet word")
}

func TestGoTestFailsItself(t *testing.T) {
	v, out := evaluate(t, "not an event\n", "", 2)
	assert.Equal(t, []string{"no test was run", "go test exited with 2 and named no package that failed"}, v.faults)
	assert.Contains(t, out, "not an event\n")
	v, _ = evaluate(t, passingRun, "", 1)
	assert.Len(t, v.faults, 1)
}

func TestBuildOutputIsShown(t *testing.T) {
	_, out := evaluate(t, failingBuild, "", 1)
	assert.Contains(t, out, "b/a_test.go:3:27: undefined: x\nFAIL\tsmall/b [build failed]\n")
}

func TestLongLines(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	_, out := evaluate(t, strings.Replace(failingRun, "bad", long, 1), "", 1)
	assert.True(t, strings.Contains(out, long), fmt.Sprintf("%d bytes printed", len(out)))
}
