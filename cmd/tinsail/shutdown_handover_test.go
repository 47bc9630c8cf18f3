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

// TestTermDuringHandover: the connection of a new process, SIGTERM and SIGHUP reach the old process at the same
// moment. It answers what it has accepted, clients in the accept queue are answered by either process, and the
// new one serves.
func TestTermDuringHandover(t *testing.T) { runTimed(t, termDuringHandover) }

func termDuringHandover(t *testing.T, timing *timingCheck) {
	h := newDeployment(t, "127.0.0.1:0")
	old, _ := h.startReady(t)
	timing.allow(2 * time.Second)
	held, half := h.connect(), h.connect()
	rest := half.sendHalfHead(t, timing, "half")
	for _, b := range h.backends {
		b.Set(platform.Faults{HoldJobs: true})
	}
	held.write(t, reqHead("held", 1, "")+"b")
	for h.jobCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	old.suspend(t)
	next := h.spawn() // it asks for the state while the old process is stopped
	queued := h.connect()
	queued.write(t, reqHead("queued", 1, "")+"b")
	time.Sleep(200 * time.Millisecond) // most likely it has asked by now; if not, it does so a moment later
	old.sendSignals(t, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGCONT)
	line := next.awaitEvent(t, "serving")
	next.adminAddress, _ = line["admin"].(string)
	next.awaitReady()
	half.write(t, rest)
	for _, b := range h.backends {
		b.Set(platform.Faults{})
	}
	held.expectAnswer(t, timing, 200, "small held")
	half.expectAnswer(t, timing, 200, "small half")
	queued.expectAnswer(t, timing, 200, "small queued")
	for range old.logLines {
	}
	assert.NoError(t, old.cmd.Wait())
	assert.True(t, h.isReady())
	assert.Equal(t, 200, h.sendJob())
	next.terminate(t)
}

// TestTermBeforeTakeover: a new process that is terminated before it serves does not tell the old one to stop
// accepting. If the old process goes away meanwhile, the new one accepts after all, so that no client is left in
// the accept queue.
func TestTermBeforeTakeover(t *testing.T) {
	for _, oldEnds := range []bool{false, true} {
		t.Run(fmt.Sprint("old process ends: ", oldEnds), func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			h.director.SetDown(true)
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
			h.director.SetDown(false) // now the new process gets a list
			next.awaitEvent(t, "ready")
			c, err := h.dial()
			require.NoError(t, err)
			defer c.Close()
			_, err = fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
			require.NoError(t, err)
			if oldEnds {
				link.Close()
				status, _, _, err := c.readAnswer()
				require.NoError(t, err)
				assert.Equal(t, 503, status)
			}
			next.terminate(t)
			select {
			case <-handed:
				require.Fail(t, "the old process was told to stop accepting")
			default:
			}
			if !oldEnds {
				require.NoError(t, clients.(*net.TCPListener).SetDeadline(time.Now().Add(20*time.Second)))
				_, err = clients.Accept()
				require.NoError(t, err, "new connections are accepted by the old process")
			}
		})
	}
}
