package guard

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestAttemptStartCheck checks that an attempt within the limits passes up to the last millisecond,
// and that a rule broken alone is reported alone.
func TestAttemptStartCheck(t *testing.T) {
	good := AttemptStart{At: at(100), Grace: 500 * time.Millisecond, Deadline: at(1000), SentTimeLeft: 900 * time.Millisecond, Effect: balance.Deduped,
		Window: time.Second}
	ran := PriorAttempt{StartedAt: at(50)}
	for name, c := range map[string]struct {
		change func(*AttemptStart)
		want   []Rule
	}{
		"in order":                  {func(*AttemptStart) {}, nil},
		"client just gone":          {func(b *AttemptStart) { b.ClientGone = at(0) }, nil},
		"client gone":               {func(b *AttemptStart) { b.ClientGone = at(-1) }, []Rule{StartedAfterClientGone}},
		"drained, in the grace":     {func(b *AttemptStart) { b.Drained = at(-400) }, nil},
		"drained":                   {func(b *AttemptStart) { b.Drained = at(-401) }, []Rule{StartedAfterDrain}},
		"about to end":              {func(b *AttemptStart) { b.ShutdownAt = at(100) }, nil},
		"ended":                     {func(b *AttemptStart) { b.ShutdownAt = at(99) }, []Rule{StartedAfterShutdown}},
		"told with slack":           {func(b *AttemptStart) { b.SentTimeLeft = 1050 * time.Millisecond }, nil},
		"told too much":             {func(b *AttemptStart) { b.SentTimeLeft = 1051 * time.Millisecond }, []Rule{TimeLeftTooLong}},
		"told when nothing is left": {func(b *AttemptStart) { b.Deadline, b.SentTimeLeft = at(0), 151*time.Millisecond }, []Rule{TimeLeftTooLong}},
		"repeat in the window":      {func(b *AttemptStart) { b.At, b.SentTimeLeft, b.Prior = at(1050), 0, []PriorAttempt{ran} }, nil},
		"repeat after it":           {func(b *AttemptStart) { b.At, b.SentTimeLeft, b.Prior = at(1051), 0, []PriorAttempt{ran} }, []Rule{RepeatOutsideWindow}},
		"the first never ran":       {func(b *AttemptStart) { b.At, b.SentTimeLeft, b.Prior = at(1051), 0, []PriorAttempt{{at(50), true}} }, nil},
		"the first never started":   {func(b *AttemptStart) { b.Effect, b.Prior = balance.Unsafe, []PriorAttempt{{}} }, nil},
		"unsafe repeat":             {func(b *AttemptStart) { b.Effect, b.Prior = balance.Unsafe, []PriorAttempt{ran} }, []Rule{RepeatUnsafe}},
		"unsafe, proven":            {func(b *AttemptStart) { b.Effect, b.Prior = balance.Unsafe, []PriorAttempt{{at(50), true}} }, nil},
		"safe repeat":               {func(b *AttemptStart) { b.Effect, b.Window, b.Prior = balance.Safe, 0, []PriorAttempt{ran} }, nil},
	} {
		b := good
		c.change(&b)
		assert.Equal(t, c.want, b.Check(), name)
	}
}

// TestFinalAnswerCheck does the same for final answers.
func TestFinalAnswerCheck(t *testing.T) {
	good := FinalAnswer{At: at(1500), Deadline: at(1000), Effect: balance.Unsafe, Window: 2 * time.Second}
	ran := []PriorAttempt{{StartedAt: at(0)}}
	for name, c := range map[string]struct {
		change func(*FinalAnswer)
		want   []Rule
	}{
		"in order":               {func(*FinalAnswer) {}, nil},
		"late":                   {func(f *FinalAnswer) { f.At = at(1501) }, []Rule{AnswerLate}},
		"again":                  {func(f *FinalAnswer) { f.Duplicate = true }, []Rule{AnswerTwice}},
		"failed though it ran":   {func(f *FinalAnswer) { f.Attempts = ran }, nil},
		"refused though it ran":  {func(f *FinalAnswer) { f.Refused, f.Attempts = true, ran }, []Rule{RefuseMayHaveRun}},
		"refused, never ran":     {func(f *FinalAnswer) { f.Refused, f.Attempts = true, []PriorAttempt{{at(0), true}} }, nil},
		"refused, never started": {func(f *FinalAnswer) { f.Refused, f.Attempts = true, []PriorAttempt{{}} }, nil},
		"refused, safe":          {func(f *FinalAnswer) { f.Refused, f.Effect, f.Attempts = true, balance.Safe, ran }, nil},
		"refused, all drop it":   {func(f *FinalAnswer) { f.Refused, f.Effect, f.Attempts = true, balance.Deduped, ran }, nil},
		"refused, a group drops": {func(f *FinalAnswer) {
			f.Refused, f.Effect, f.Scope, f.Attempts = true, balance.Deduped, balance.ScopeCell, ran
		}, []Rule{RefuseMayHaveRun}},
		"refused after the window": {func(f *FinalAnswer) {
			f.Refused, f.Effect, f.Window, f.Attempts = true, balance.Deduped, time.Second, ran
		}, []Rule{RefuseMayHaveRun}},
	} {
		f := good
		c.change(&f)
		assert.Equal(t, c.want, f.Check(), name)
	}
}

// TestRecorder checks that violations are counted by rule and logged with the last events of their
// request only, that reasons are counted, that the trace keeps the newest events, and that a nil
// recorder accepts every call.
func TestRecorder(t *testing.T) {
	var log bytes.Buffer
	r := &Recorder{Log: zerolog.New(&log)}
	for i := range traceLength + 10 {
		r.Record(Event{At: at(i), Request: "other", Step: RequestAccepted})
	}
	r.Record(Event{At: at(0), Request: "a", Step: RequestAccepted})
	r.Record(Event{At: at(5), Request: "a", Step: AttemptSent, Reason: AfterReturned})
	r.ReportViolation(ClosedUnanswered, 0, "a", "why")
	assert.EqualValues(t, 1, r.Violations(ClosedUnanswered))
	assert.Zero(t, r.Violations(AnswerTwice))
	assert.Contains(t, log.String(), `"rule":"close_owed","request":"a"`)
	assert.Contains(t, log.String(), `-5.0ms session 0 request \"a\" request taken`)
	assert.NotContains(t, log.String(), "other")
	counts := map[string]int64{}
	r.Each(func(name string, n int64) { counts[name] = n })
	assert.EqualValues(t, 1, counts["again_returned"])
	assert.Contains(t, counts, "close_room_wanted")
	assert.Contains(t, counts, "refuse_out_of_time")
	assert.Len(t, r.trace.last(traceLength+100, func(*entry) bool { return true }), traceLength)
	assert.Zero(t, r.ShutdownTime())
	r.MarkShutdown(at(1))
	r.MarkShutdown(at(2))
	assert.Equal(t, at(1), r.ShutdownTime())
	log.Reset()
	r.LogTrace()
	assert.Contains(t, log.String(), "attempt sent: returned")

	var none *Recorder
	none.Record(Event{})
	none.ReportViolation(ClosedUnanswered, 0, "", "")
	none.MarkShutdown(at(0))
	none.LogTrace()
	none.Each(func(string, int64) { t.Fail() })
	assert.Zero(t, none.Violations(ClosedUnanswered))
	assert.Zero(t, none.ShutdownTime())
}

// TestRuleStepAndReasonNames checks that rules have unique names and that no step or reason lacks one.
func TestRuleStepAndReasonNames(t *testing.T) {
	seen := map[string]bool{}
	for _, rule := range Rules() {
		assert.NotEmpty(t, rule.String())
		assert.False(t, seen[rule.String()])
		seen[rule.String()] = true
	}
	for why := NoReason + 1; why < reasonCount; why++ {
		assert.NotEmpty(t, why.String())
	}
	for s := Step(0); s < stepCount; s++ {
		assert.NotEmpty(t, s.String())
	}
	assert.True(t, TimeLeftTooLong.TimingDependent())
	assert.False(t, RepeatUnsafe.TimingDependent())
}
