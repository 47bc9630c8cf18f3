// Package network connects sockets to the protocol's state machines: client sessions, the pool of connections to backends,
// and the watch of the director's list. It does the I/O and leaves the decisions to those state machines.
package network

import "syscall"

// DescriptorLimits divides the file descriptors of the process among their uses.
type DescriptorLimits struct {
	Clients     int // client sessions
	JobSessions int // client sessions that have had a job answered or have one now; idle ones beyond it are closed
	Backends    int // connections to backends, including those being established
}

// reservedDescriptors are left for the runtime, the listener, the director and the log (a dozen or so in all), and for the
// clients beyond the limit that are only told to come back.
const reservedDescriptors = 16 + maxExcessSessions

// MaxDescriptors returns how many descriptors the process may hold: the configured number, or the system's limit if that is
// lower. Beyond the system's limit no connection to discovery, to a backend or from an operator could be made.
func MaxDescriptors(configured int) int {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		return configured
	}
	return int(min(uint64(configured), system.Cur))
}

// SplitDescriptors divides a limit. A request takes one descriptor on each side, a second copy takes one more at the
// backends, and idle connections to backends save handshakes: backends get the larger part.
//
// The clients that send jobs can hold a third of the limit at most, including idle sessions. If they hold that many, they
// cannot send another request on a new connection, however idle this dispatcher is. JobSessions stays below that.
func SplitDescriptors(limit int) DescriptorLimits {
	free := max(limit-reservedDescriptors, 2)
	return DescriptorLimits{Clients: free * 9 / 20, JobSessions: limit / 5, Backends: free - free*9/20}
}
