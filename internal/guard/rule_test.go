package guard

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
)

var zero = time.Unix(1000, 0)

func at(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }

// TestBeginSaysNo: what is in order passes up to the last millisecond, and each rule that is broken alone is named, and no
// other.
func TestBeginSaysNo(t *testing.T) {
	good := Begin{At: at(100), Grace: 500 * time.Millisecond, Deadline: at(1000), Told: 900 * time.Millisecond, Effect: balance.Deduped,
		Window: time.Second}
	ran := Earlier{Began: at(50)}
	for name, c := range map[string]struct {
		change func(*Begin)
		want   []Rule
	}{
		"in order":                  {func(*Begin) {}, nil},
		"client just gone":          {func(b *Begin) { b.ClientGone = at(0) }, nil},
		"client gone":               {func(b *Begin) { b.ClientGone = at(-1) }, []Rule{BeginClientGone}},
		"drained, in the grace":     {func(b *Begin) { b.Drained = at(-400) }, nil},
		"drained":                   {func(b *Begin) { b.Drained = at(-401) }, []Rule{BeginDrained}},
		"about to end":              {func(b *Begin) { b.Ended = at(100) }, nil},
		"ended":                     {func(b *Begin) { b.Ended = at(99) }, []Rule{BeginEnded}},
		"told with slack":           {func(b *Begin) { b.Told = 1050 * time.Millisecond }, nil},
		"told too much":             {func(b *Begin) { b.Told = 1051 * time.Millisecond }, []Rule{TimeTold}},
		"told when nothing is left": {func(b *Begin) { b.Deadline, b.Told = at(0), 151*time.Millisecond }, []Rule{TimeTold}},
		"repeat in the window":      {func(b *Begin) { b.At, b.Told, b.Earlier = at(1050), 0, []Earlier{ran} }, nil},
		"repeat after it":           {func(b *Begin) { b.At, b.Told, b.Earlier = at(1051), 0, []Earlier{ran} }, []Rule{RepeatWindow}},
		"the first never ran":       {func(b *Begin) { b.At, b.Told, b.Earlier = at(1051), 0, []Earlier{{at(50), true}} }, nil},
		"the first never began":     {func(b *Begin) { b.Effect, b.Earlier = balance.Unsafe, []Earlier{{}} }, nil},
		"unsafe repeat":             {func(b *Begin) { b.Effect, b.Earlier = balance.Unsafe, []Earlier{ran} }, []Rule{RepeatUnsafe}},
		"unsafe, proven":            {func(b *Begin) { b.Effect, b.Earlier = balance.Unsafe, []Earlier{{at(50), true}} }, nil},
		"safe repeat":               {func(b *Begin) { b.Effect, b.Window, b.Earlier = balance.Safe, 0, []Earlier{ran} }, nil},
	} {
		b := good
		c.change(&b)
		assert.Equal(t, c.want, b.Check(), name)
	}
}

// TestFinalSaysNo is the same for final answers.
func TestFinalSaysNo(t *testing.T) {
	good := Final{At: at(1500), Deadline: at(1000), Effect: balance.Unsafe, Window: 2 * time.Second}
	ran := []Earlier{{Began: at(0)}}
	for name, c := range map[string]struct {
		change func(*Final)
		want   []Rule
	}{
		"in order":              {func(*Final) {}, nil},
		"late":                  {func(f *Final) { f.At = at(1501) }, []Rule{AnswerLate}},
		"again":                 {func(f *Final) { f.Again = true }, []Rule{AnswerTwice}},
		"failed though it ran":  {func(f *Final) { f.Attempts = ran }, nil},
		"refused though it ran": {func(f *Final) { f.Refused, f.Attempts = true, ran }, []Rule{RefuseMayHaveRun}},
		"refused, never ran":    {func(f *Final) { f.Refused, f.Attempts = true, []Earlier{{at(0), true}} }, nil},
		"refused, never began":  {func(f *Final) { f.Refused, f.Attempts = true, []Earlier{{}} }, nil},
		"refused, safe":         {func(f *Final) { f.Refused, f.Effect, f.Attempts = true, balance.Safe, ran }, nil},
		"refused, all drop it":  {func(f *Final) { f.Refused, f.Effect, f.Attempts = true, balance.Deduped, ran }, nil},
		"refused, a group drops": {func(f *Final) {
			f.Refused, f.Effect, f.Scope, f.Attempts = true, balance.Deduped, balance.ScopeCell, ran
		}, []Rule{RefuseMayHaveRun}},
		"refused after the window": {func(f *Final) { f.Refused, f.Effect, f.Window, f.Attempts = true, balance.Deduped, time.Second, ran }, []Rule{RefuseMayHaveRun}},
	} {
		f := good
		c.change(&f)
		assert.Equal(t, c.want, f.Check(), name)
	}
}

// TestRecorder: violations are counted by rule and logged with the request's last events alone, reasons are counted, the
// trace keeps the newest, and a nil recorder takes everything.
func TestRecorder(t *testing.T) {
	var log bytes.Buffer
	r := &Recorder{Log: zerolog.New(&log)}
	for i := range traced + 10 {
		r.Note(Event{At: at(i), Request: "other", Step: RequestTaken})
	}
	r.Note(Event{At: at(0), Request: "a", Step: RequestTaken})
	r.Note(Event{At: at(5), Request: "a", Step: AttemptSent, Why: AfterReturned})
	r.Violated(CloseOwed, 0, "a", "why")
	assert.EqualValues(t, 1, r.Violations(CloseOwed))
	assert.Zero(t, r.Violations(AnswerTwice))
	assert.Contains(t, log.String(), `"rule":"close_owed","request":"a"`)
	assert.Contains(t, log.String(), `-5.0ms session 0 request \"a\" request taken`)
	assert.NotContains(t, log.String(), "other")
	counts := map[string]int64{}
	r.Each(func(name string, n int64) { counts[name] = n })
	assert.EqualValues(t, 1, counts["again_returned"])
	assert.Contains(t, counts, "close_room_wanted")
	assert.Contains(t, counts, "refuse_out_of_time")
	assert.Len(t, r.trace.last(traced+100, func(*entry) bool { return true }), traced)
	assert.Zero(t, r.Ended())
	r.End(at(1))
	r.End(at(2))
	assert.Equal(t, at(1), r.Ended())
	log.Reset()
	r.Dump()
	assert.Contains(t, log.String(), "attempt sent: returned")

	var none *Recorder
	none.Note(Event{})
	none.Violated(CloseOwed, 0, "", "")
	none.End(at(0))
	none.Dump()
	none.Each(func(string, int64) { t.Fail() })
	assert.Zero(t, none.Violations(CloseOwed))
	assert.Zero(t, none.Ended())
}

// TestNames: every rule, step and reason has a name of its own.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for _, rule := range Rules() {
		assert.NotEmpty(t, rule.String())
		assert.False(t, seen[rule.String()])
		seen[rule.String()] = true
	}
	for why := NoReason + 1; why < reasons; why++ {
		assert.NotEmpty(t, why.String())
	}
	for s := Step(0); s < steps; s++ {
		assert.NotEmpty(t, s.String())
	}
	assert.True(t, TimeTold.Timed())
	assert.False(t, RepeatUnsafe.Timed())
}
