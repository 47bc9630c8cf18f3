package main

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/handover"
	"tinsail/internal/network/handoff"
	"tinsail/internal/standin/platform"
)

// TestTermDuringHandover: the old process hears of a new one, of SIGTERM and of SIGHUP in one instant: what it has taken it answers, who waits
// in the listener is answered by either, and the new one serves.
func TestTermDuringHandover(t *testing.T) { runTimed(t, termDuringHandover) }

func termDuringHandover(t *testing.T, pace *timingCheck) {
	h := newDeployment(t, "127.0.0.1:0")
	old, _ := h.startReady(t)
	pace.allow(2 * time.Second)
	held, half := h.connect(), h.connect()
	rest := half.sendHalfHead(t, pace, "half")
	for _, b := range h.backends {
		b.Set(platform.Faults{Hold: true})
	}
	held.write(t, reqHead("held", 1, "")+"b")
	for h.jobCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	old.suspend(t)
	next := h.spawn() // it asks for the state while the old one does nothing
	queued := h.connect()
	queued.write(t, reqHead("queued", 1, "")+"b")
	time.Sleep(200 * time.Millisecond) // most likely it has asked; if it has not, it does a moment later
	old.sendSignals(t, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGCONT)
	line := next.awaitEvent(t, "serving")
	next.adminAddress, _ = line["admin"].(string)
	next.awaitReady()
	half.write(t, rest)
	for _, b := range h.backends {
		b.Set(platform.Faults{})
	}
	held.expectAnswer(t, pace, 200, "small held")
	half.expectAnswer(t, pace, 200, "small half")
	queued.expectAnswer(t, pace, 200, "small queued")
	for range old.logLines {
	}
	assert.NoError(t, old.cmd.Wait())
	assert.True(t, h.isReady())
	assert.Equal(t, 200, h.sendJob())
	next.terminate(t)
}

// TestTermBeforeTakeover: a new process that is told to end before it serves does not have the old one stop accepting. If
// the old one goes meanwhile it accepts after all, so that nobody is left in the listener's queue.
func TestTermBeforeTakeover(t *testing.T) {
	for _, oldGoes := range []bool{false, true} {
		t.Run(fmt.Sprint("the old one goes: ", oldGoes), func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			h.director.Down(true)
			clients, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer clients.Close()
			joined, handed := make(chan *handoff.Link, 1), make(chan struct{})
			old := &handoff.Server{Path: h.socketPath(), Hello: h.hello(), Log: zerolog.Nop(), OnJoined: func(l *handoff.Link) { joined <- l },
				StopAccepting: func() { close(handed) }, OnNews: func(handover.StatusUpdate) {}, OnGone: func(bool) {},
				GiveState: func() (handover.State, []syscall.Conn) {
					return handover.State{MaxSockets: 300, MemoryBytes: 64 << 20, Listeners: []string{"http1"}}, []syscall.Conn{clients.(*net.TCPListener)}
				}}
			require.NoError(t, old.Listen())
			t.Cleanup(old.Close)
			next := h.start()
			link := <-joined
			require.NoError(t, next.cmd.Process.Signal(syscall.SIGTERM))
			for next.awaitEvent(t, "service")["to"] != "shutting down" {
			}
			h.director.Down(false) // now it has a list
			next.awaitEvent(t, "ready")
			c, err := h.dial()
			require.NoError(t, err)
			defer c.Close()
			_, err = fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
			require.NoError(t, err)
			if oldGoes {
				link.Close()
				status, _, _, err := c.readAnswer()
				require.NoError(t, err)
				assert.Equal(t, 503, status)
			}
			next.terminate(t)
			select {
			case <-handed:
				require.Fail(t, "the old one was told to stop accepting")
			default:
			}
			if !oldGoes {
				require.NoError(t, clients.(*net.TCPListener).SetDeadline(time.Now().Add(20*time.Second)))
				_, err = clients.Accept()
				require.NoError(t, err, "who comes is the old one's")
			}
		})
	}
}
