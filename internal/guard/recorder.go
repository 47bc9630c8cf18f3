package guard

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Recorder counts violations and reasons and keeps the trace. A nil Recorder records nothing. Its
// methods may be called from any goroutine.
type Recorder struct {
	Log zerolog.Logger

	violations [ruleCount]atomic.Int64
	reasons    [reasonCount]atomic.Int64
	shutdownAt atomic.Pointer[time.Time]
	trace      trace
}

// Limits on the events that are logged: of one request with a violation, and of the whole trace on
// demand.
const (
	violationEvents = 24
	dumpEvents      = 200
)

// Record adds an event to the trace and counts its reason.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	if why, ok := e.Reason.(Reason); ok {
		r.reasons[why].Add(1)
	}
	r.trace.add(&e)
}

// MarkShutdown records when the process decided to end. Only the first call counts.
func (r *Recorder) MarkShutdown(at time.Time) {
	if r != nil {
		r.shutdownAt.CompareAndSwap(nil, &at)
	}
}

// ShutdownTime returns when the process decided to end, or zero if it has not.
func (r *Recorder) ShutdownTime() time.Time {
	if r == nil {
		return time.Time{}
	}
	if at := r.shutdownAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ReportViolation counts a broken rule and logs it with the last events of the request, or of the
// session if that is known.
func (r *Recorder) ReportViolation(rule Rule, session uint64, request, details string) {
	if r == nil {
		return
	}
	r.violations[rule].Add(1)
	events := r.trace.last(violationEvents, func(e *entry) bool {
		return request != "" && e.request() == request[:min(len(request), maxIDBytes)] || session != 0 && e.session == session
	})
	r.Log.Error().Stringer("rule", rule).Str("request", request).Uint64("session", session).Str("says", details).
		Strs("trace", formatEvents(events)).Msg("invariant violated")
}

// Violations returns how often a rule was broken.
func (r *Recorder) Violations(rule Rule) int64 {
	if r == nil {
		return 0
	}
	return r.violations[rule].Load()
}

// Each calls f with the name and count of every reason.
func (r *Recorder) Each(f func(name string, n int64)) {
	if r == nil {
		return
	}
	for why := NoReason + 1; why < reasonCount; why++ {
		kind := "close_"
		switch {
		case why >= NoBackend:
			kind = "refuse_"
		case why >= AfterReturned:
			kind = "again_"
		}
		f(kind+why.String(), r.reasons[why].Load())
	}
}

// LogTrace logs the newest events of the trace.
func (r *Recorder) LogTrace() {
	if r == nil {
		return
	}
	r.Log.Info().Strs("trace", formatEvents(r.trace.last(dumpEvents, func(*entry) bool { return true }))).Msg("trace")
}

// formatEvents formats events with their times relative to the last one.
func formatEvents(events []entry) []string {
	out := make([]string, len(events))
	for i := range events {
		out[i] = events[i].text(events[len(events)-1].at)
	}
	return out
}
