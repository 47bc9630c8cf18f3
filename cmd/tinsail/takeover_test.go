package main

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/handover"
	"tinsail/internal/maintenance"
	"tinsail/internal/network/handoff"
)

// TestOldProcessFails: an old process dies after it has sent its state, or never reports that it has stopped
// accepting. The new process serves all the same, with the list and the bans of that state.
func TestOldProcessFails(t *testing.T) {
	for name, c := range map[string]struct {
		joined        func(*handoff.Link)
		stopAccepting func()
	}{
		"dies after it sent the state":            {func(l *handoff.Link) { l.Close() }, func() {}},
		"dies when the new process accepts":       {nil, nil},
		"never reports that it stopped accepting": {func(*handoff.Link) {}, func() { select {} }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			h.director.SetDown(true) // the list comes from the old process alone
			clients, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var link *handoff.Link
			joined, stopAccepting := c.joined, c.stopAccepting
			if joined == nil {
				joined, stopAccepting = func(l *handoff.Link) { link = l }, func() { link.Close() }
			}
			old := &handoff.Server{Path: h.socketPath(), Hello: h.hello(), Log: zerolog.Nop(), OnJoined: joined, StopAccepting: stopAccepting,
				OnNews: func(handover.StatusUpdate) {}, OnGone: func(bool) {},
				GiveState: func() (handover.State, []syscall.Conn) {
					s := handover.State{MaxSockets: 300, MemoryBytes: 64 << 20, Listeners: []string{"http1"},
						Marks: []maintenance.Mark{{Name: "b1", Banned: true, At: 1}}}
					for i, b := range h.backends {
						s.List = append(s.List, handover.Backend{Name: b.Name, Address: b.Address, Cell: i, State: 1, Weight: 4})
					}
					return s, []syscall.Conn{clients.(*net.TCPListener)}
				}}
			require.NoError(t, old.Listen())
			t.Cleanup(old.Close)
			next := h.start()
			assert.Equal(t, clients.Addr().String(), h.clientAddress)
			next.awaitReady()
			clients.Close() // the old process's descriptor: the new process has its own
			for range 20 {
				assert.Equal(t, 200, h.sendJob())
			}
			assert.Zero(t, h.backends[1].Counts().Jobs, "banned")
			assert.Equal(t, 20, h.jobCount())
		})
	}
}

// TestUnreadableState: a hand-over message that cannot be read does not keep the new process from serving.
func TestUnreadableState(t *testing.T) {
	for name, text := range map[string]string{
		"garbage":          "HTTP/1.1 400 Bad Request\r\n\r\n",
		"a state cut off":  "THO1\x00\x00\x01\x00{",
		"a future version": "THO1\x00\x00\x00\x0d{\"version\":9}",
		"no listener":      "THO1\x00\x00\x00\x0d{\"version\":1}",
		"without end":      "THO1\x7f\xff\xff\xff",
		"nothing":          "",
	} {
		t.Run(name, func(t *testing.T) {
			h := newDeployment(t, "127.0.0.1:0")
			l, err := net.Listen("unix", h.socketPath())
			require.NoError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				_ = c.(*net.UnixConn).CloseWrite()
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}()
			p := h.spawn()
			assert.NotEmpty(t, p.awaitEvent(t, "hand-over: nothing taken over, serves beside the other process")["error"])
			line := p.awaitEvent(t, "serving")
			p.adminAddress, h.clientAddress = line["admin"].(string), line["listen"].(string)
			p.awaitReady()
			a, err := http.Get("http://" + h.clientAddress + "/health/live")
			require.NoError(t, err)
			a.Body.Close()
			assert.Equal(t, 200, a.StatusCode)
		})
	}
}
