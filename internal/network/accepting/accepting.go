// Package accepting is the accept loop of every listener. An accept may fail for a moment in all the ways that accept(2)
// lists (descriptors, memory, errors of a connection that was still in the queue); the loop goes on until the listener is
// closed.
package accepting

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// Pauses after an accept that failed, doubled from the first to the last: a process without descriptors must not spin, and
// must be back at once when it has some again.
const (
	leastPause = time.Millisecond
	mostPause  = 20 * time.Millisecond
)

// waited is how long an accept takes at least that found nobody in the queue.
const waited = time.Millisecond

// Loop are the things that an accept loop calls. Only Admit must be set.
type Loop struct {
	Admit  func(net.Conn)
	Paused func()          // returns once the listener's deadline, which has passed, is taken back; nil: there is none
	Failed func(err error) // an accept failed, but not for the listener's end; nil for none
	Waited func()          // an accept found nobody in the queue; nil for none
	Log    zerolog.Logger
	Name   string // of the listener, for the log
}

// Run accepts until the listener is closed.
func (a *Loop) Run(l net.Listener) {
	pause := leastPause
	for {
		begun := time.Now()
		conn, err := l.Accept()
		switch {
		case err == nil:
			pause = leastPause
			if a.Waited != nil && time.Since(begun) >= waited {
				a.Waited()
			}
			a.Admit(conn)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && a.Paused != nil:
			a.Paused()
		default:
			a.fail(err)
			if ofOneConnection(err) {
				continue
			}
			time.Sleep(pause)
			pause = min(2*pause, mostPause)
		}
	}
}

func (a *Loop) fail(err error) {
	if a.Failed != nil {
		a.Failed(err)
	}
	e := a.Log.Warn()
	if broken(err) { // it will not get better by itself
		e = a.Log.Error()
	}
	e.Str("listener", a.Name).Err(err).Msg("accept failed")
}

// ofOneConnection says that the error is that of a connection which ended in the queue: the next may be well.
func ofOneConnection(err error) bool {
	return errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EPROTO) || errors.Is(err, syscall.EINTR)
}

// broken says that the listener itself is at fault.
func broken(err error) bool {
	for _, e := range []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
