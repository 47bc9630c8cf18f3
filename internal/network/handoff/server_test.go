package handoff

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/handover"
)

// TestSilentCallersDoNotBlockHello: silent connections reach the limit of pending hellos. A process that
// connects after them still gets its answer, a refusal with its reason, instead of being closed.
func TestSilentCallersDoNotBlockHello(t *testing.T) {
	me := handover.Hello{Version: handover.Version, Name: "regina", Listen: "127.0.0.1:1"}
	s := &Server{Path: filepath.Join(t.TempDir(), "h.sock"), Hello: me, Log: zerolog.Nop()}
	require.NoError(t, s.Listen())
	t.Cleanup(s.Close)
	for range maxPendingHellos + 2 {
		c, err := net.Dial("unix", s.Path)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	other := me
	other.Name = "moose-jaw"
	_, _, files, err := Join(s.Path, other)
	assert.Empty(t, files)
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal, "its hello is answered, with a reason")
	assert.False(t, refusal.Busy)
	assert.Contains(t, refusal.Error(), "moose-jaw")
}

// Guards against a new process that takes the old one for ended, and serves, when it has not accepted in time
// (2026-12-06-two-processes-serve).
func TestNewProcessIsToldThatItIsGivenUp(t *testing.T) {
	me := handover.Hello{Version: handover.Version, Name: "regina", Listen: "127.0.0.1:1"}
	gone := make(chan bool, 1)
	s := &Server{Path: filepath.Join(t.TempDir(), "h.sock"), Hello: me, Log: zerolog.Nop(),
		GiveState: func() (handover.State, []syscall.Conn) { return handover.State{}, nil },
		OnJoined:  func(l *Link) { assert.NoError(t, l.conn.SetReadDeadline(time.Unix(1, 0))) }, // the time to accept is over at once
		OnGone:    func(accept bool) { gone <- accept }}
	require.NoError(t, s.Listen())
	t.Cleanup(s.Close)
	link, _, _, err := Join(s.Path, me)
	require.NoError(t, err)
	defer link.Close()
	var updates []handover.StatusUpdate
	assert.ErrorIs(t, link.Read(func(n handover.StatusUpdate) { updates = append(updates, n) }), ErrPeerClosed)
	assert.Equal(t, []handover.StatusUpdate{{GivenUp: true}}, updates)
	assert.False(t, <-gone)
}
