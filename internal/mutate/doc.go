// Package mutate tests a message exchange under faults. It runs the exchange in a deterministic
// simulation and records every message. Then it runs it again once for each message and each mutation
// of it: lost, duplicated, delayed past its successor, reordered, one byte corrupted, truncated,
// replaced by an earlier message, sent to the wrong node, or (for streams) split. The system's
// invariants are checked throughout each run and its end state at the end. A failure names the seed,
// the message and the mutation, which are enough to run it again alone.
//
// The package is for tests. It knows no protocol and no socket, and time is simulated.
//
// # Testing an exchange
//
// Implement System with the nodes' real decision code and real codecs, built from a seed. A node is
// given ticks and messages, and returns messages as bytes. All randomness must come from the seed and
// all time from the now argument. Systems must share no state, as runs are concurrent.
// CheckInvariants checks the invariants after each event; keep its oracle separate from the code
// under test. CheckEndState checks that the end state is reached; choose Setup.FaultsUntil and
// Setup.Duration so that the recovery has the time that the design states. Then, in a test:
//
//	mutate.Test(t, mutate.Setup{Name: "budgets", Seed: 1, Build: build, TickInterval: 5 * time.Millisecond,
//		FaultsUntil: 2 * time.Second, Duration: 4 * time.Second, ExtraDelay: 300 * time.Millisecond, MaxRuns: 600})
//
// If a receiver can't tell a mutated message from a genuine one, Setup.Exclude returns the reason, and
// the mutation is counted as excluded instead of run. Exclude as few mutations as possible, preferably
// only those of the bytes in question.
//
// internal/fleet/accord/mutate_test.go is an example with a majority log: voters that store entries as
// bytes, and dispatchers whose versions are compared at each event. Code whose messages belong to a
// log library is tested at the library's message boundary, as bytes. internal/budget/mutate_test.go
// is the example for datagrams, internal/platform/mutate_test.go for streams, and
// internal/network/mutate_test.go for code with goroutines (Setup.WrapRun runs each simulation in a
// bubble of testing/synctest).
//
// # Environment
//
// MUTATE_PLAYS is the maximum number of mutations to run ("all" for every one), in place of
// Setup.MaxRuns. MUTATE_SEED is the seed. MUTATE_ONLY is one mutation as a failure prints it, e.g.
// "17 changed 2"; it is run alone and its trace logged.
package mutate
