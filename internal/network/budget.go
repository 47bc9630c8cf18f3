// Package network holds the thin drivers between sockets and the protocol's state machines:
// client sessions, the pool of connections to backends, and the director's watch.
package network

import "syscall"

// Budget shares out the file descriptors that the process may hold.
type Budget struct {
	Clients  int // client sessions
	Usual    int // of those that have had a job answered, or have one: beyond it idle ones are closed
	Backends int // connections to backends, those being made among them
}

// kept is how many descriptors are left for the runtime, the listener, the director and the
// log, a dozen or so in all, and for the clients beyond the budget that are told to come back.
const kept = 16 + excessMost

// Allowed is how many descriptors the process may hold: what the configuration says, or the system's own limit where that is
// lower. Past it no connection to discovery, to a backend or from an operator could be made.
func Allowed(configured int) int {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		return configured
	}
	return int(min(uint64(configured), system.Cur))
}

// Share divides a limit. A req takes one descriptor on each side, a second copy one more at
// the backends, and idle connections there save handshakes: backends get the larger part.
// Usual clients hold a third of the limit at most, idle sessions among them: one that is at
// its end cannot send a req, however idle this dispatcher is. Usual stays below that.
func Share(limit int) Budget {
	free := max(limit-kept, 2)
	return Budget{Clients: free * 9 / 20, Usual: limit / 5, Backends: free - free*9/20}
}
