// Package mutate plays a run of an exchange in a deterministic world, notes every message, then
// plays it again once for each message and each mutation: lost, twice, late past its successor,
// swapped with it, a byte changed, cut short, replaced by an older one, sent to the wrong peer,
// or (for streams) split. Throughout each play the world's invariants hold or the play fails, and
// at its end the world must have reached its end state. A failure names its seed, message and
// mutation, by which it is played again alone.
//
// It is a rig for tests: it knows no protocol and no socket, and time is the world's own.
//
// # How to put an exchange under it
//
// Write a World: the nodes' real decision code and real codecs, built from a seed. A node is
// ticked and handed messages, and hands out messages as bytes. All chance comes from the seed,
// all time from the now handed in, and worlds share nothing: plays run side by side. Check says
// at each event whether the invariants hold; keep its oracle apart from the code it judges. End
// says whether the end state is reached; Setup.Faults and Setup.Length leave the time for it that
// the design names. Then, in a test:
//
//	mutate.Test(t, mutate.Setup{Name: "budgets", Seed: 1, Build: build, Tick: 5 * time.Millisecond,
//		Faults: 2 * time.Second, Length: 4 * time.Second, Late: 300 * time.Millisecond, Plays: 600})
//
// Where a mutation cannot be told from an honest message, Excuse names why, and the play is
// counted as excused rather than played. Prefer to narrow Excuse to the bytes in question.
//
// internal/fleet/accord/mutate_test.go is an example of a fleet part on a majority log: voters that
// store entries as bytes beside dispatchers whose versions are compared at each event.
// A part whose messages are a log library's own is fed at the library's message boundary, as
// bytes. internal/budget/mutate_test.go is the model to follow for datagrams,
// internal/platform/mutate_test.go for streams, and internal/network/mutate_test.go for code that
// has goroutines (Setup.Around puts each play in a bubble of testing/synctest).
//
// # Environment
//
// MUTATE_PLAYS is how many mutations to play at most ("all" for every one) in place of
// Setup.Plays, MUTATE_SEED the seed, and MUTATE_ONLY one play as a failure names it, e.g.
// "17 changed 2", with its trace.
package mutate
