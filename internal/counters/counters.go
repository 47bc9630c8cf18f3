// Package counters counts what the dispatcher takes in, sends and answers.
package counters

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Set holds all counters. Endings is indexed by the core's endings, which Print names.
type Set struct {
	ClientSessions, SessionsRefused, BodiesShed          atomic.Int64
	ReqsTaken, ReqsBad, ReqsShed, ReqsRepeated           atomic.Int64
	AnswersServed, AnswersRefused, AnswersFailed         atomic.Int64
	Attempts, Probes, BackendConnections, BackendRetired atomic.Int64
	DirectorCalls, Overlooked, Reloads, ReloadsBad       atomic.Int64
	Endings                                              [32]atomic.Int64
}

// Each calls f for every counter, in a fixed order, those of the endings last.
func (s *Set) Each(endings []fmt.Stringer, f func(name string, n int64)) {
	for _, c := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"client_sessions", &s.ClientSessions}, {"sessions_refused", &s.SessionsRefused},
		{"bodies_shed", &s.BodiesShed}, {"reqs_taken", &s.ReqsTaken}, {"reqs_bad", &s.ReqsBad}, {"reqs_repeated", &s.ReqsRepeated},
		{"reqs_shed", &s.ReqsShed}, {"answers_served", &s.AnswersServed}, {"answers_refused", &s.AnswersRefused},
		{"answers_failed", &s.AnswersFailed}, {"attempts", &s.Attempts}, {"probes", &s.Probes},
		{"backend_connections", &s.BackendConnections}, {"backend_retired", &s.BackendRetired},
		{"director_calls", &s.DirectorCalls}, {"overlooked", &s.Overlooked},
		{"reloads", &s.Reloads}, {"reloads_bad", &s.ReloadsBad},
	} {
		f(c.name, c.n.Load())
	}
	for i, name := range endings {
		f("ending_"+name.String(), s.Endings[i].Load())
	}
}

// Print writes a line for each counter.
func (s *Set) Print(w io.Writer, endings []fmt.Stringer) {
	s.Each(endings, func(name string, n int64) { fmt.Fprintf(w, "counter %s %d\n", name, n) })
}
