package accepting

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// script is a listener whose accepts return scripted results.
type script struct {
	net.Listener
	steps []any // an error, a connection, or how long to wait
}

func (s *script) Accept() (net.Conn, error) {
	for len(s.steps) > 0 {
		step := s.steps[0]
		s.steps = s.steps[1:]
		switch step := step.(type) {
		case time.Duration:
			time.Sleep(step)
		case error:
			return nil, step
		case net.Conn:
			return step, nil
		}
	}
	return nil, net.ErrClosed
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
}

// TestAcceptFails: whatever error an accept returns, the next connections are admitted after a short delay. An error of
// one connection causes no delay, and an empty queue is reported.
func TestAcceptFails(t *testing.T) {
	for name, errno := range map[string]syscall.Errno{"ECONNABORTED": syscall.ECONNABORTED, "EMFILE": syscall.EMFILE, "ENFILE": syscall.ENFILE,
		"ENOBUFS": syscall.ENOBUFS, "ENOMEM": syscall.ENOMEM, "EPERM": syscall.EPERM, "EPROTO": syscall.EPROTO, "ENETDOWN": syscall.ENETDOWN} {
		synctest.Test(t, func(t *testing.T) {
			steps := []any{&net.TCPConn{}}
			for range 100 {
				steps = append(steps, acceptError(errno))
			}
			steps = append(steps, &net.TCPConn{}, time.Second, &net.TCPConn{}, os.ErrDeadlineExceeded, acceptError(errno), &net.TCPConn{})
			admitted, failed, paused, waited := 0, 0, 0, 0
			loop := Loop{Admit: func(net.Conn) { admitted++ }, OnError: func(err error) { assert.ErrorIs(t, err, errno); failed++ },
				AwaitResume: func() { paused++ }, OnQueueEmpty: func() { waited++ }, Log: zerolog.Nop()}
			begun := time.Now()
			loop.Run(&script{steps: steps})
			assert.Equal(t, 4, admitted, name)
			assert.Equal(t, 101, failed, name)
			assert.Equal(t, 1, paused, name)
			assert.Equal(t, 1, waited, name)
			took := time.Since(begun) - time.Second
			if ofOneConnection(errno) {
				assert.Zero(t, took, name)
			} else {
				assert.Greater(t, took, time.Second, "%s: it does not spin", name)
				assert.LessOrEqual(t, took, 101*maxBackoff, name)
			}
		})
	}
}

// TestListenerBroken: an error of the listener itself is distinguished from a temporary one.
func TestListenerBroken(t *testing.T) {
	assert.True(t, listenerBroken(acceptError(syscall.EBADF)))
	assert.False(t, listenerBroken(acceptError(syscall.EMFILE)))
	assert.False(t, listenerBroken(errors.New("x")))
}
