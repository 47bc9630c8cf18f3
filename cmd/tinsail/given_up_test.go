package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/door"
	"tinsail/internal/handover"
	"tinsail/internal/network/handoff"
)

// awaitFailure waits for the process to end by itself, and checks that it says so with its exit code.
func (p *process) awaitFailure(t *testing.T) {
	ended := make(chan error, 1)
	go func() {
		for range p.logLines {
		}
		ended <- p.cmd.Wait()
	}()
	select {
	case err := <-ended:
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
		assert.Equal(t, exitFailed, exit.ExitCode())
	case <-time.After(waitTimeout):
		require.Fail(t, "the process did not end")
	}
}

// Guards against a new process that serves beside the old one, after that has given it up for having no list in time
// (2026-12-06-two-processes-serve).
func TestLateProcessEnds(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	h.scriptPath = filepath.Join(t.TempDir(), "s.star")
	require.NoError(t, os.WriteFile(h.scriptPath, []byte("backends(director = True)\n"), 0o600))
	old := h.start()
	waitFor(t, "the old process serves", func() bool { return old.call(door.Ready, "") })
	h.director.SetDown(true)
	next := h.start()
	assert.Equal(t, false, old.awaitEvent(t, "hand-over: the new process is gone")["accepts_again"])
	h.director.SetDown(false)
	next.awaitFailure(t)
	assert.Equal(t, 200, h.sendJob())
	assert.True(t, old.call(door.Ready, ""))
	last := h.start()
	last.awaitReady()
	old.terminate(t)
	assert.Equal(t, 200, h.sendJob())
	last.terminate(t)
}

// A new process that the old one gives up as it accepts, or after it took over, accepts no more and ends.
func TestGivenUpAfterAccepting(t *testing.T) {
	for name, stopped := range map[string]bool{"as it accepts": false, "after it took over": true} {
		t.Run(name, func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			clients, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer clients.Close()
			var link *handoff.Link
			giveUp := func() { _ = link.Send(handover.StatusUpdate{GivenUp: true}) }
			accepts := make(chan struct{})
			old := &handoff.Server{Path: h.socketPath(), Hello: h.hello(), Log: zerolog.Nop(), OnJoined: func(l *handoff.Link) { link = l },
				OnNews: func(handover.StatusUpdate) {}, OnGone: func(bool) {},
				StopAccepting: func() {
					if !stopped {
						giveUp()
					}
					close(accepts)
				},
				GiveState: func() (handover.State, []syscall.Conn) {
					return handover.State{MaxSockets: 300, MemoryBytes: 64 << 20, Listeners: []string{"http1"}}, []syscall.Conn{clients.(*net.TCPListener)}
				}}
			require.NoError(t, old.Listen())
			t.Cleanup(old.Close)
			next := h.start()
			<-accepts
			if stopped {
				next.awaitReady()
				giveUp()
			}
			next.awaitFailure(t)
			c, err := h.dial()
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, clients.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout)))
			_, err = clients.Accept()
			assert.NoError(t, err, "the connection is the old process's")
			if stopped {
				assert.FileExists(t, h.socketPath(), "the path is the old process's again")
			}
		})
	}
}
