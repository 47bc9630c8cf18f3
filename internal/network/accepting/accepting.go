// Package accepting is the accept loop of every listener. An accept may fail temporarily in all the ways that accept(2)
// lists (no descriptors, no memory, errors of a connection that was still in the queue); the loop goes on until the
// listener is closed.
package accepting

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// Delays after a failed accept, doubled from the first to the last: a process without descriptors must not spin, and
// must accept again soon after it has some.
const (
	minBackoff = time.Millisecond
	maxBackoff = 20 * time.Millisecond
)

// emptyQueueAfter is how long an accept has to take to count as having found the queue empty.
const emptyQueueAfter = time.Millisecond

// Loop holds the callbacks of an accept loop. Only Admit must be set.
type Loop struct {
	Admit        func(net.Conn)  // handles an accepted connection
	AwaitResume  func()          // called after the listener's deadline has passed; returns once accepting may go on; nil if no deadline is used
	OnError      func(err error) // called after a failed accept, but not at the listener's end; may be nil
	OnQueueEmpty func()          // called after an accept that found the queue empty; may be nil
	Log          zerolog.Logger
	Name         string // of the listener, for the log
}

// Run accepts until the listener is closed.
func (a *Loop) Run(l net.Listener) {
	backoff := minBackoff
	for {
		begun := time.Now()
		conn, err := l.Accept()
		switch {
		case err == nil:
			backoff = minBackoff
			if a.OnQueueEmpty != nil && time.Since(begun) >= emptyQueueAfter {
				a.OnQueueEmpty()
			}
			a.Admit(conn)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && a.AwaitResume != nil:
			a.AwaitResume()
		default:
			a.fail(err)
			if ofOneConnection(err) {
				continue
			}
			time.Sleep(backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (a *Loop) fail(err error) {
	if a.OnError != nil {
		a.OnError(err)
	}
	e := a.Log.Warn()
	if listenerBroken(err) { // it will not recover by itself
		e = a.Log.Error()
	}
	e.Str("listener", a.Name).Err(err).Msg("accept failed")
}

// ofOneConnection says that the error is of a single connection, which ended in the queue: the next accept may succeed.
func ofOneConnection(err error) bool {
	return errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EPROTO) || errors.Is(err, syscall.EINTR)
}

// listenerBroken says that the listener itself cannot be used.
func listenerBroken(err error) bool {
	for _, e := range []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
