// Package counters counts what the dispatcher receives, sends and answers.
package counters

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Set holds all counters. Endings is indexed by the core's endings, HTTP2Abuse by the kinds of
// abuse in package http2, and LocalFaults by the local faults in package network. Names gives Each
// their names.
type Set struct {
	AcceptsFailed, ClientSessions, SessionsRefused, SessionsFlooded, BodiesShed atomic.Int64
	ReqsTaken, ReqsBad, ReqsShed, ReqsRepeated                                  atomic.Int64
	AnswersServed, AnswersRefused, AnswersFailed                                atomic.Int64
	Attempts, Probes, BackendConnections, BackendRetired                        atomic.Int64
	DirectorCalls, Overlooked, Reloads, ReloadsBad                              atomic.Int64
	DirectorSilent                                                              atomic.Int64 // calls that counted as silent, so that a backup call was made
	HTTP2Sessions, HTTP2Resets                                                  atomic.Int64
	HandoverReqsCut, HandoverSessionsLeft                                       atomic.Int64 // sessions closed with an incomplete request, or still open at the end, after a hand-over
	ReadyMS                                                                     atomic.Int64 // from the start of the process until it could serve, at least 1; 0 until then
	ReadyFromKnown, ReadyFromDirector                                           atomic.Int64 // 1 for the source of the first usable backend, 0 for the others
	ReadyFromHandover, ReadyFromSources                                         atomic.Int64
	Endings                                                                     [32]atomic.Int64
	HTTP2Abuse                                                                  [32]atomic.Int64
	LocalFaults                                                                 [8]atomic.Int64 // connections that failed for a reason on this machine
}

// Names are the names of the counters that are kept by index.
type Names struct{ Endings, HTTP2Abuse, LocalFaults []fmt.Stringer }

// Each calls f for every counter in a fixed order, those kept by index last.
func (s *Set) Each(names Names, f func(name string, n int64)) {
	for _, c := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"accepts_failed", &s.AcceptsFailed}, {"client_sessions", &s.ClientSessions}, {"sessions_refused", &s.SessionsRefused}, {"sessions_flooded", &s.SessionsFlooded},
		{"bodies_shed", &s.BodiesShed}, {"reqs_taken", &s.ReqsTaken}, {"reqs_bad", &s.ReqsBad}, {"reqs_repeated", &s.ReqsRepeated},
		{"reqs_shed", &s.ReqsShed}, {"answers_served", &s.AnswersServed}, {"answers_refused", &s.AnswersRefused},
		{"answers_failed", &s.AnswersFailed}, {"attempts", &s.Attempts}, {"probes", &s.Probes},
		{"backend_connections", &s.BackendConnections}, {"backend_retired", &s.BackendRetired},
		{"director_calls", &s.DirectorCalls}, {"director_silent", &s.DirectorSilent}, {"overlooked", &s.Overlooked},
		{"reloads", &s.Reloads}, {"reloads_bad", &s.ReloadsBad},
		{"ready_after_ms", &s.ReadyMS}, {"ready_from_known", &s.ReadyFromKnown}, {"ready_from_director", &s.ReadyFromDirector},
		{"ready_from_handover", &s.ReadyFromHandover}, {"ready_from_sources", &s.ReadyFromSources},
		{"http2_sessions", &s.HTTP2Sessions}, {"http2_resets", &s.HTTP2Resets},
		{"handover_reqs_cut", &s.HandoverReqsCut}, {"handover_sessions_left", &s.HandoverSessionsLeft},
	} {
		f(c.name, c.n.Load())
	}
	for i, name := range names.Endings {
		f("ending_"+name.String(), s.Endings[i].Load())
	}
	for i, name := range names.LocalFaults {
		f("local_fault_"+name.String(), s.LocalFaults[i].Load())
	}
	for i, name := range names.HTTP2Abuse {
		f("http2_abuse_"+name.String(), s.HTTP2Abuse[i].Load())
	}
}

// Print writes one line for each counter.
func (s *Set) Print(w io.Writer, names Names) {
	s.Each(names, func(name string, n int64) { fmt.Fprintf(w, "counter %s %d\n", name, n) })
}
